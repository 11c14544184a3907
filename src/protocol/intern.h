/* String interning: maps names of jobs, machines, teams and so on to dense indices, so that the
 * rest of the program compares and stores numbers. An index stays valid for the life of the table,
 * unless hr_intern_truncate() removes it before anything refers to it. */
#pragma once
#include <glib.h>

/* The value of an index that means "none". */
#define HR_NONE G_MAXUINT32

typedef struct {
  GHashTable *by_name; /* name -> index + 1 */
  GPtrArray *names;    /* by index */
} HrIntern;

/**
 * hr_intern_init:
 *
 * Initialises an empty table.
 */
void hr_intern_init (HrIntern *intern);

/**
 * hr_intern_clear:
 *
 * Frees all names. Does nothing if the table has been cleared before.
 */
void hr_intern_clear (HrIntern *intern);

/**
 * hr_intern:
 *
 * Adds the name if the table does not contain it.
 *
 * Returns: the index of the name
 */
guint32 hr_intern (HrIntern *intern, const char *name);

/**
 * hr_intern_truncate:
 * @n: number of names to keep; at most their present number
 *
 * Removes the names that were added last. Nothing may refer to their indices any more.
 */
void hr_intern_truncate (HrIntern *intern, guint n);

/**
 * hr_intern_find:
 *
 * Returns: the index of the name; %HR_NONE if the table does not contain it
 */
guint32 hr_intern_find (const HrIntern *intern, const char *name);

/**
 * hr_intern_name:
 *
 * Returns: (transfer none): the name with this index; "" if there is none
 */
const char *hr_intern_name (const HrIntern *intern, guint32 i);
