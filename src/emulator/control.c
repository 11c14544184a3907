#include "emulator/control.h"
#include "protocol/json_util.h"
#include "sim/user.h"
#include "sim/worker.h"
#include <string.h>

static void
reply (SoupServerMessage *msg, int status, json_t *body)
{
  g_autofree char *text = hr_json_take_text (body);
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, text, strlen (text));
}

static json_t *
describe (const World *world)
{
  guint up = 0, tasks = 0, done = 0;
  json_t *nodes = json_array (), *broken = json_array ();
  for (guint i = 0; i < world->machines->len; i++) {
    const SimMachine *machine = world->machines->pdata[i];
    up += machine->up && !machine->gone;
    for (guint k = 0; k < machine->tasks->len; k++)
      tasks += !machine->gone && g_array_index (machine->tasks, SimTask, k).on;
  }
  for (guint i = 0; i < world->jobs->len; i++)
    done += ((const SimJob *)world->jobs->pdata[i])->told_done > 0;
  for (int i = 0; i < world->n; i++)
    json_array_append_new (nodes, json_boolean (world->nodes[i].up));
  for (guint i = 0; i < world->broken->len; i++)
    json_array_append_new (broken, json_string (world->broken->pdata[i]));
  return json_pack ("{sfsososisisisisi}", "seconds", world->now, "controllers_up", nodes, "broken",
                    broken, "machines", (int)up, "tasks", (int)tasks, "jobs", (int)world->jobs->len,
                    "jobs_done", (int)done, "terms", (int)world->troubles.leaders);
}

gboolean
control_plan (Emulator *emulator, const char *text, GError **error)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autoptr (GArray) faults = g_array_new (FALSE, FALSE, sizeof (HrFault));
  for (guint i = 0; lines[i]; i++) {
    HrFault fault;
    g_strstrip (lines[i]);
    if (!*lines[i] || *lines[i] == '#')
      continue;
    if (!fault_parse (lines[i], &fault)) {
      g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "line %u is no trouble: %s", i + 1,
                   lines[i]);
      return FALSE;
    }
    fault.at_s += emulator->world->now;
    g_array_append_val (faults, fault);
  }
  faults_plan (emulator->world, (const HrFault *)faults->data, faults->len);
  return TRUE;
}

gboolean
control_request (Emulator *emulator, SoupServerMessage *msg, const char *path, const char *body)
{
  g_autoptr (GError) error = NULL;
  if (strcmp (path, "/emulator") == 0)
    reply (msg, 200, describe (emulator->world));
  else if (strcmp (path, "/emulator/troubles") != 0)
    return FALSE;
  else if (control_plan (emulator, body ? body : "", &error))
    reply (msg, 200, json_object ());
  else
    reply (msg, 400, json_pack ("{ss}", "error", error->message));
  return TRUE;
}
