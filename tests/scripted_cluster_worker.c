/* The workers of tests/scripted_cluster.h. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "scripted_cluster.h"
#include <string.h>

void
cluster_worker_free (gpointer data)
{
  ClusterWorker *worker = data;
  g_ptr_array_unref (worker->tasks);
  g_free (worker->name);
  g_free (worker);
}

ClusterWorker *
cluster_worker (Cluster *cluster, const char *name)
{
  ClusterWorker *worker = g_new0 (ClusterWorker, 1);
  worker->name = g_strdup (name);
  worker->incarnation = 1;
  worker->tasks = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  g_ptr_array_add (cluster->workers, worker);
  return worker;
}

static void
apply_order (ClusterWorker *worker, json_t *order)
{
  const char *verb = hr_json_str (order, "verb"), *task_id = hr_json_str (order, "piece");
  json_t *attempt = json_object_get (order, "try"), *task = NULL;
  guint at = 0;
  for (guint i = 0; i < worker->tasks->len; i++)
    if (g_strcmp0 (hr_json_str (worker->tasks->pdata[i], "piece"), task_id) == 0 &&
        json_equal (json_object_get (worker->tasks->pdata[i], "try"), attempt)) {
      task = worker->tasks->pdata[i];
      at = i;
    }
  if (strcmp (verb, "launch") == 0 && !task)
    g_ptr_array_add (worker->tasks,
                     json_pack ("{sssOss}", "piece", task_id, "try", attempt, "stance", "running"));
  else if (strcmp (verb, "kill") == 0 && task) {
    json_object_set_new (task, "stance", json_string ("exited"));
    json_object_set_new (task, "cause", json_string ("halted"));
  } else if (strcmp (verb, "clear") == 0 && task)
    g_ptr_array_remove_index (worker->tasks, at);
}

char *
cluster_worker_heartbeat_text (ClusterWorker *worker)
{
  json_t *tasks = json_array ();
  for (guint i = 0; i < worker->tasks->len; i++)
    json_array_append (tasks, worker->tasks->pdata[i]);
  return hr_json_take_text (json_pack (
      "{sssssssssbsisisIsnso}", "rockhand", worker->name, "addr", worker->name, "hull", "g2",
      "quarry", "z0", "loaners", 0, "tenure", (int)worker->incarnation, "tally",
      (int)++worker->sequence, "baton", (json_int_t)worker->token, "warning_s", "pieces", tasks));
}

int
cluster_deliver_direct_call (ClusterWorker *worker, const ClusterCall *call)
{
  json_t *object = json_loads (call->body, 0, NULL), *order;
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  guint64 incarnation = json_integer_value (json_object_get (object, "tenure"));
  gboolean accepted = fencing_token >= worker->token && incarnation == worker->incarnation;
  size_t i;
  if (accepted) {
    worker->token = fencing_token;
    json_array_foreach (json_object_get (object, "orders"), i, order) apply_order (worker, order);
  }
  json_decref (object);
  return accepted ? 200 : 409;
}

int
cluster_send_heartbeat (Cluster *cluster, ClusterWorker *worker, int node)
{
  json_t *order;
  g_autofree char *body = cluster_worker_heartbeat_text (worker);
  guint64 id = cluster_request (cluster, node, HR_POST, "/hello", body);
  const ClusterReply *reply = cluster_reply (cluster, node, id);
  if (!reply || reply->status != 200)
    return reply ? reply->status : 0;
  guint64 fencing_token = json_integer_value (json_object_get (reply->body, "baton"));
  if (fencing_token < worker->token)
    return reply->status;
  worker->token = fencing_token;
  size_t i;
  json_array_foreach (json_object_get (reply->body, "orders"), i, order)
      apply_order (worker, order);
  return reply->status;
}

void
cluster_submit_and_start (Cluster *cluster, ClusterWorker *worker, int node, const char *id)
{
  cluster_submit (cluster, node, id, 1);
  for (int i = 0; i < 20 && !cluster_worker_runs (worker, id); i++) {
    cluster_run (cluster, 0.5);
    cluster_send_heartbeat (cluster, worker, cluster_leader (cluster));
  }
  if (!cluster_worker_runs (worker, id))
    g_error ("scripted cluster: %s was not placed on %s", id, worker->name);
  cluster_run (cluster, 0.5);
  cluster_send_heartbeat (cluster, worker,
                          cluster_leader (cluster)); /* states that the task runs */
  cluster_run (cluster, 0.5);
}

void
cluster_worker_exit_tasks (ClusterWorker *worker, const char *cause)
{
  for (guint i = 0; i < worker->tasks->len; i++) {
    json_object_set_new (worker->tasks->pdata[i], "stance", json_string ("exited"));
    json_object_set_new (worker->tasks->pdata[i], "cause", json_string (cause));
  }
}

gboolean
cluster_worker_runs (const ClusterWorker *worker, const char *job_id)
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
