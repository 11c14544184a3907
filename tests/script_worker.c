/* The workers of tests/script.h. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "script.h"
#include <string.h>

void
script_worker_free (gpointer data)
{
  ScriptWorker *worker = data;
  g_ptr_array_unref (worker->tasks);
  g_free (worker->name);
  g_free (worker);
}

ScriptWorker *
script_worker (Script *script, const char *name)
{
  ScriptWorker *worker = g_new0 (ScriptWorker, 1);
  worker->name = g_strdup (name);
  worker->tenure = 1;
  worker->tasks = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  g_ptr_array_add (script->workers, worker);
  return worker;
}

static void
obey (ScriptWorker *worker, json_t *order)
{
  const char *verb = hr_json_str (order, "verb"), *piece = hr_json_str (order, "piece");
  json_t *attempt = json_object_get (order, "try"), *task = NULL;
  guint at = 0;
  for (guint i = 0; i < worker->tasks->len; i++)
    if (g_strcmp0 (hr_json_str (worker->tasks->pdata[i], "piece"), piece) == 0 &&
        json_equal (json_object_get (worker->tasks->pdata[i], "try"), attempt)) {
      task = worker->tasks->pdata[i];
      at = i;
    }
  if (strcmp (verb, "launch") == 0 && !task)
    g_ptr_array_add (worker->tasks,
                     json_pack ("{sssOss}", "piece", piece, "try", attempt, "stance", "running"));
  else if (strcmp (verb, "kill") == 0 && task) {
    json_object_set_new (task, "stance", json_string ("exited"));
    json_object_set_new (task, "cause", json_string ("halted"));
  } else if (strcmp (verb, "clear") == 0 && task)
    g_ptr_array_remove_index (worker->tasks, at);
}

char *
script_worker_text (ScriptWorker *worker)
{
  json_t *pieces = json_array ();
  for (guint i = 0; i < worker->tasks->len; i++)
    json_array_append (pieces, worker->tasks->pdata[i]);
  return hr_json_take_text (json_pack (
      "{sssssssssbsisisIsnso}", "rockhand", worker->name, "addr", worker->name, "hull", "g2",
      "quarry", "z0", "loaners", 0, "tenure", (int)worker->tenure, "tally", (int)++worker->tally,
      "baton", (json_int_t)worker->baton, "warning_s", "pieces", pieces));
}

int
script_direct (ScriptWorker *worker, const ScriptCall *call)
{
  json_t *object = json_loads (call->body, 0, NULL), *order;
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  guint64 tenure = json_integer_value (json_object_get (object, "tenure"));
  gboolean counts = fencing_token >= worker->baton && tenure == worker->tenure;
  size_t i;
  if (counts) {
    worker->baton = fencing_token;
    json_array_foreach (json_object_get (object, "orders"), i, order) obey (worker, order);
  }
  json_decref (object);
  return counts ? 200 : 409;
}

int
script_report (Script *script, ScriptWorker *worker, int node)
{
  json_t *order;
  g_autofree char *body = script_worker_text (worker);
  guint64 id = script_request (script, node, HR_POST, "/hello", body);
  const ScriptReply *reply = script_reply (script, node, id);
  if (!reply || reply->status != 200)
    return reply ? reply->status : 0;
  guint64 fencing_token = json_integer_value (json_object_get (reply->body, "baton"));
  if (fencing_token < worker->baton)
    return reply->status;
  worker->baton = fencing_token;
  size_t i;
  json_array_foreach (json_object_get (reply->body, "orders"), i, order) obey (worker, order);
  return reply->status;
}

void
script_place (Script *script, ScriptWorker *worker, int node, const char *id)
{
  script_submit (script, node, id, 1);
  for (int i = 0; i < 20 && !script_worker_has (worker, id); i++) {
    script_run (script, 0.5);
    script_report (script, worker, script_leader (script));
  }
  if (!script_worker_has (worker, id))
    g_error ("script: %s was not placed on %s", id, worker->name);
  script_run (script, 0.5);
  script_report (script, worker, script_leader (script)); /* it is seen there */
  script_run (script, 0.5);
}

void
script_worker_ends (ScriptWorker *worker, const char *cause)
{
  for (guint i = 0; i < worker->tasks->len; i++) {
    json_object_set_new (worker->tasks->pdata[i], "stance", json_string ("exited"));
    json_object_set_new (worker->tasks->pdata[i], "cause", json_string (cause));
  }
}

gboolean
script_worker_has (const ScriptWorker *worker, const char *job_id)
{
  g_autofree char *prefix = g_strconcat (job_id, "/", NULL);
  for (guint i = 0; i < worker->tasks->len; i++) {
    json_t *task = worker->tasks->pdata[i];
    if (g_str_has_prefix (hr_json_str (task, "piece"), prefix) &&
        strcmp (hr_json_str (task, "stance"), "exited") != 0)
      return TRUE;
  }
  return FALSE;
}
