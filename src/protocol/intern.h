/* Interned names: names of jobs, machines, teams and so on become dense indices as they come in, so
 * that the rest of the program compares and stores numbers. Names are never removed; an index stays
 * valid for the life of the table. */
#pragma once
#include <glib.h>

/* No index. */
#define HR_NONE G_MAXUINT32

typedef struct {
  GHashTable *by_name; /* name -> index + 1 */
  GPtrArray *names;    /* by index */
} HrIntern;

/**
 * hr_intern_init:
 *
 * Makes an empty table.
 */
void hr_intern_init (HrIntern *intern);

/**
 * hr_intern_clear:
 *
 * Frees all names. Does nothing to a table that is cleared already.
 */
void hr_intern_clear (HrIntern *intern);

/**
 * hr_intern:
 *
 * Returns: the index of the name, which is added if it is new
 */
guint32 hr_intern (HrIntern *intern, const char *name);

/**
 * hr_intern_find:
 *
 * Returns: the index of the name; %HR_NONE if it was never added
 */
guint32 hr_intern_find (const HrIntern *intern, const char *name);

/**
 * hr_intern_name:
 *
 * Returns: (transfer none): the name of an index; "" if it has none
 */
const char *hr_intern_name (const HrIntern *intern, guint32 i);
