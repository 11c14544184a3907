#include "protocol/intern.h"

void
hr_intern_init (HrIntern *intern)
{
  intern->names = g_ptr_array_new_with_free_func (g_free);
  intern->by_name = g_hash_table_new (g_str_hash, g_str_equal);
}

void
hr_intern_clear (HrIntern *intern)
{
  g_clear_pointer (&intern->by_name, g_hash_table_unref);
  g_clear_pointer (&intern->names, g_ptr_array_unref);
}

guint32
hr_intern (HrIntern *intern, const char *name)
{
  guint32 i = hr_intern_find (intern, name);
  if (i != HR_NONE)
    return i;
  char *copy = g_strdup (name);
  g_ptr_array_add (intern->names, copy);
  g_hash_table_insert (intern->by_name, copy, GUINT_TO_POINTER (intern->names->len));
  return intern->names->len - 1;
}

void
hr_intern_truncate (HrIntern *intern, guint n)
{
  for (guint i = n; i < intern->names->len; i++)
    g_hash_table_remove (intern->by_name, intern->names->pdata[i]);
  g_ptr_array_set_size (intern->names, n);
}

guint32
hr_intern_find (const HrIntern *intern, const char *name)
{
  guint index_plus_one = GPOINTER_TO_UINT (g_hash_table_lookup (intern->by_name, name));
  return index_plus_one ? index_plus_one - 1 : HR_NONE;
}

const char *
hr_intern_name (const HrIntern *intern, guint32 i)
{
  return i < intern->names->len ? intern->names->pdata[i] : "";
}
