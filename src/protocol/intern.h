/* Names to dense indices, at the door: inside, everything is an index. */
#pragma once
#include <glib.h>

#define HR_NONE G_MAXUINT32

typedef struct {
  GHashTable *by_name; /* name -> index + 1 */
  GPtrArray *names;
} HrIntern;

void hr_intern_init (HrIntern *intern);
void hr_intern_clear (HrIntern *intern);
guint32 hr_intern (HrIntern *intern, const char *name);
guint32 hr_intern_find (const HrIntern *intern, const char *name);
const char *hr_intern_name (const HrIntern *intern, guint32 i);
