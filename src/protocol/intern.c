#include "protocol/intern.h"

void
hr_intern_init (HrIntern *in)
{
  in->names = g_ptr_array_new_with_free_func (g_free);
  in->by_name = g_hash_table_new (g_str_hash, g_str_equal);
}

void
hr_intern_clear (HrIntern *in)
{
  g_clear_pointer (&in->by_name, g_hash_table_unref);
  g_clear_pointer (&in->names, g_ptr_array_unref);
}

guint32
hr_intern (HrIntern *in, const char *name)
{
  guint32 i = hr_intern_find (in, name);
  if (i != HR_NONE)
    return i;
  char *own = g_strdup (name);
  g_ptr_array_add (in->names, own);
  g_hash_table_insert (in->by_name, own, GUINT_TO_POINTER (in->names->len));
  return in->names->len - 1;
}

guint32
hr_intern_find (const HrIntern *in, const char *name)
{
  guint v = GPOINTER_TO_UINT (g_hash_table_lookup (in->by_name, name));
  return v ? v - 1 : HR_NONE;
}

const char *
hr_intern_name (const HrIntern *in, guint32 i)
{
  return i < in->names->len ? in->names->pdata[i] : "";
}
