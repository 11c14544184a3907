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
describe (const SimCluster *cluster)
{
  guint up = 0, tasks = 0, done = 0;
  json_t *nodes = json_array (), *broken = json_array ();
  for (guint i = 0; i < cluster->machines->len; i++) {
    const SimMachine *machine = cluster->machines->pdata[i];
    up += machine->up && !machine->gone;
    for (guint k = 0; k < machine->tasks->len; k++)
      tasks += !machine->gone && g_array_index (machine->tasks, SimTask, k).active;
  }
  for (guint i = 0; i < cluster->jobs->len; i++)
    done += ((const SimJob *)cluster->jobs->pdata[i])->done_reply_at > 0;
  for (int i = 0; i < cluster->n; i++)
    json_array_append_new (nodes, json_boolean (cluster->nodes[i].up));
  for (guint i = 0; i < cluster->violations->len; i++)
    json_array_append_new (broken, json_string (cluster->violations->pdata[i]));
  return json_pack ("{sfsososisisisisi}", "seconds", cluster->now, "controllers_up", nodes,
                    "broken", broken, "machines", (int)up, "tasks", (int)tasks, "jobs",
                    (int)cluster->jobs->len, "jobs_done", (int)done, "terms",
                    (int)cluster->faults.leaders);
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
    fault.at_s += emulator->cluster->now;
    g_array_append_val (faults, fault);
  }
  faults_plan (emulator->cluster, (const HrFault *)faults->data, faults->len);
  return TRUE;
}

gboolean
control_request (Emulator *emulator, SoupServerMessage *msg, const char *path, const char *body)
{
  g_autoptr (GError) error = NULL;
  if (strcmp (path, "/emulator") == 0)
    reply (msg, 200, describe (emulator->cluster));
  else if (strcmp (path, "/emulator/troubles") != 0)
    return FALSE;
  else if (control_plan (emulator, body ? body : "", &error))
    reply (msg, 200, json_object ());
  else
    reply (msg, 400, json_pack ("{ss}", "error", error->message));
  return TRUE;
}
