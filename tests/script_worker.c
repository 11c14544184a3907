/* The workers of tests/script.h. */
#include "script.h"
#include "protocol/json_util.h"
#include <string.h>

void
script_worker_free (gpointer data)
{
  ScriptWorker *w = data;
  g_ptr_array_unref (w->tasks);
  g_free (w->name);
  g_free (w);
}

ScriptWorker *
script_worker (Script *s, const char *name)
{
  ScriptWorker *w = g_new0 (ScriptWorker, 1);
  w->name = g_strdup (name);
  w->tenure = 1;
  w->tasks = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  g_ptr_array_add (s->workers, w);
  return w;
}

static void
obey (ScriptWorker *w, json_t *order)
{
  const char *verb = hr_json_str (order, "verb"), *piece = hr_json_str (order, "piece");
  json_t *attempt = json_object_get (order, "try"), *task = NULL;
  guint at = 0;
  for (guint i = 0; i < w->tasks->len; i++)
    if (g_strcmp0 (hr_json_str (w->tasks->pdata[i], "piece"), piece) == 0 &&
        json_equal (json_object_get (w->tasks->pdata[i], "try"), attempt)) {
      task = w->tasks->pdata[i];
      at = i;
    }
  if (strcmp (verb, "launch") == 0 && !task)
    g_ptr_array_add (w->tasks,
                     json_pack ("{sssOss}", "piece", piece, "try", attempt, "stance", "running"));
  else if (strcmp (verb, "kill") == 0 && task) {
    json_object_set_new (task, "stance", json_string ("exited"));
    json_object_set_new (task, "cause", json_string ("halted"));
  } else if (strcmp (verb, "clear") == 0 && task)
    g_ptr_array_remove_index (w->tasks, at);
}

char *
script_worker_text (ScriptWorker *w)
{
  json_t *pieces = json_array ();
  for (guint i = 0; i < w->tasks->len; i++)
    json_array_append (pieces, w->tasks->pdata[i]);
  return hr_json_take_text (json_pack ("{sssssssssbsisisIsnso}", "rockhand", w->name, "addr",
                                       w->name, "hull", "g2", "quarry", "z0", "loaners", 0,
                                       "tenure", (int)w->tenure, "tally", (int)++w->tally, "baton",
                                       (json_int_t)w->baton, "warning_s", "pieces", pieces));
}

int
script_direct (Script *s, ScriptWorker *w, const ScriptCall *call)
{
  json_t *object = json_loads (call->body, 0, NULL), *order;
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  guint64 tenure = json_integer_value (json_object_get (object, "tenure"));
  gboolean counts = fencing_token >= w->baton && tenure == w->tenure;
  size_t i;
  if (counts) {
    w->baton = fencing_token;
    json_array_foreach (json_object_get (object, "orders"), i, order) obey (w, order);
  }
  json_decref (object);
  return counts ? 200 : 409;
}

int
script_report (Script *s, ScriptWorker *w, int node)
{
  json_t *order;
  g_autofree char *body = script_worker_text (w);
  guint64 id = script_request (s, node, HR_POST, "/hello", body);
  const ScriptReply *r = script_reply (s, node, id);
  if (!r || r->status != 200)
    return r ? r->status : 0;
  guint64 fencing_token = json_integer_value (json_object_get (r->body, "baton"));
  if (fencing_token < w->baton)
    return r->status;
  w->baton = fencing_token;
  size_t i;
  json_array_foreach (json_object_get (r->body, "orders"), i, order) obey (w, order);
  return r->status;
}

void
script_place (Script *s, ScriptWorker *w, int node, const char *id)
{
  script_submit (s, node, id, 1);
  for (int i = 0; i < 20 && !script_worker_has (w, id); i++) {
    script_run (s, 0.5);
    script_report (s, w, script_leader (s));
  }
  if (!script_worker_has (w, id))
    g_error ("script: %s was not placed on %s", id, w->name);
  script_run (s, 0.5);
  script_report (s, w, script_leader (s)); /* it is seen there */
  script_run (s, 0.5);
}

void
script_worker_ends (ScriptWorker *w, const char *cause)
{
  for (guint i = 0; i < w->tasks->len; i++) {
    json_object_set_new (w->tasks->pdata[i], "stance", json_string ("exited"));
    json_object_set_new (w->tasks->pdata[i], "cause", json_string (cause));
  }
}

gboolean
script_worker_has (const ScriptWorker *w, const char *job_id)
{
  g_autofree char *prefix = g_strconcat (job_id, "/", NULL);
  for (guint i = 0; i < w->tasks->len; i++) {
    json_t *task = w->tasks->pdata[i];
    if (g_str_has_prefix (hr_json_str (task, "piece"), prefix) &&
        strcmp (hr_json_str (task, "stance"), "exited") != 0)
      return TRUE;
  }
  return FALSE;
}
