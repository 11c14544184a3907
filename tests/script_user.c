/* What the users of tests/script.h ask. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "script.h"
#include <string.h>

json_t *
script_job (const char *id, guint tasks)
{
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", id, "jobclass",
                    "array", "crew", "crew", "shape", "batch", "rank", "normal", "pieces",
                    (int)tasks, "vcpus", 1.0, "accelerators", 0.0, "memory_gb", 1.0, "bundle",
                    "img-0", "size_gb", 1.0, "hulls", "quarry", "together", 0, "apart", 0,
                    "loaners", 0, "guess_s", 60.0, "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

guint64
script_submit (Script *script, int node, const char *id, guint tasks)
{
  g_autofree char *body = hr_json_take_text (script_job (id, tasks));
  return script_request (script, node, HR_POST, HR_JOBS_PATH, body);
}

guint64
script_poll (Script *script, int node, const char *id)
{
  g_autofree char *path = g_strconcat (HR_JOBS_PATH "/", id, NULL);
  return script_request (script, node, HR_GET, path, NULL);
}

guint64
script_abort (Script *script, int node, const char *id)
{
  g_autofree char *path = g_strconcat (HR_JOBS_PATH "/", id, "/abort", NULL);
  return script_request (script, node, HR_POST, path, NULL);
}

const ScriptReply *
script_reply (Script *script, int node, guint64 request)
{
  return g_hash_table_lookup (script->nodes[node].replies, &request);
}

int
script_status (Script *script, int node, guint64 request)
{
  const ScriptReply *reply = script_reply (script, node, request);
  return reply ? reply->status : 0;
}

const char *
script_stance (Script *script, int node, guint64 request)
{
  const ScriptReply *reply = script_reply (script, node, request);
  return reply ? hr_json_str (reply->body, "stance") : NULL;
}

const char *
script_asked (Script *script, int node, const char *id)
{
  guint64 request = script_poll (script, node, id);
  for (int i = 0; i < 10 && !script_reply (script, node, request); i++)
    script_run (script, 0.05);
  return script_stance (script, node, request);
}
