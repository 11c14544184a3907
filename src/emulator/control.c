#include "emulator/control.h"
#include "protocol/json_util.h"
#include <string.h>

static void
reply (SoupServerMessage *msg, int status, json_t *body)
{
  g_autofree char *text = hr_json_take_text (body);
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, text, strlen (text));
}

static json_t *
describe (const World *w)
{
  guint up = 0, tasks = 0, done = 0;
  json_t *nodes = json_array (), *broken = json_array ();
  for (guint i = 0; i < w->machines->len; i++) {
    const SMachine *m = w->machines->pdata[i];
    up += m->up && !m->gone;
    for (guint k = 0; k < m->tasks->len; k++)
      tasks += !m->gone && g_array_index (m->tasks, STask, k).on;
  }
  for (guint i = 0; i < w->jobs->len; i++)
    done += ((const SJob *)w->jobs->pdata[i])->told_done > 0;
  for (int i = 0; i < w->n; i++)
    json_array_append_new (nodes, json_boolean (w->nodes[i].up));
  for (guint i = 0; i < w->broken->len; i++)
    json_array_append_new (broken, json_string (w->broken->pdata[i]));
  return json_pack ("{sfsososisisisisi}", "seconds", w->now, "controllers_up", nodes, "broken",
                    broken, "machines", (int)up, "tasks", (int)tasks, "jobs", (int)w->jobs->len,
                    "jobs_done", (int)done, "terms", (int)w->troubles.leaders);
}

gboolean
control_plan (Live *s, const char *text, GError **error)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autoptr (GArray) day = g_array_new (FALSE, FALSE, sizeof (HrTrouble));
  for (guint i = 0; lines[i]; i++) {
    HrTrouble t;
    g_strstrip (lines[i]);
    if (!*lines[i] || *lines[i] == '#')
      continue;
    if (!trouble_parse (lines[i], &t)) {
      g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "line %u is no trouble: %s", i + 1,
                   lines[i]);
      return FALSE;
    }
    t.at_s += s->w->now;
    g_array_append_val (day, t);
  }
  troubles_plan (s->w, (const HrTrouble *)day->data, day->len);
  return TRUE;
}

gboolean
control_request (Live *s, SoupServerMessage *msg, const char *path, const char *body)
{
  g_autoptr (GError) error = NULL;
  if (strcmp (path, "/emulator") == 0)
    reply (msg, 200, describe (s->w));
  else if (strcmp (path, "/emulator/troubles") != 0)
    return FALSE;
  else if (control_plan (s, body ? body : "", &error))
    reply (msg, 200, json_object ());
  else
    reply (msg, 400, json_pack ("{ss}", "error", error->message));
  return TRUE;
}
