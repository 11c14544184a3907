#include "client/history.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <glib/gstdio.h>

static char *
history_file (void)
{
  return g_build_filename (g_get_user_state_dir (), "hoprock", "submitted", NULL);
}

void
hr_history_add (const char *id)
{
  g_autofree char *file = history_file ();
  g_autofree char *folder = g_path_get_dirname (file);
  g_mkdir_with_parents (folder, 0700);
  FILE *stream = g_fopen (file, "a");
  if (!stream) {
    fprintf (stderr, "hoprock: %s: %s; the job is not in `hoprock list`\n", file,
             g_strerror (errno));
    return;
  }
  fprintf (stream, "%" G_GINT64_FORMAT " %s\n", g_get_real_time () / G_USEC_PER_SEC, id);
  fclose (stream);
}

GPtrArray *
hr_history_ids (void)
{
  GPtrArray *ids = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *file = history_file ();
  g_autofree char *text = NULL;
  if (!g_file_get_contents (file, &text, NULL, NULL))
    return ids;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i]; i++) {
    const char *space = strchr (lines[i], ' ');
    if (space && !g_ptr_array_find_with_equal_func (ids, space + 1, g_str_equal, NULL))
      g_ptr_array_add (ids, g_strdup (space + 1));
  }
  return ids;
}
