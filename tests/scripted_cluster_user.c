/* User requests of tests/scripted_cluster.h. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "scripted_cluster.h"
#include <string.h>

json_t *
cluster_job_body (const char *id, guint tasks)
{
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", id, "jobclass",
                    "array", "crew", "crew", "shape", "batch", "rank", "normal", "pieces",
                    (int)tasks, "vcpus", 1.0, "accelerators", 0.0, "memory_gb", 1.0, "bundle",
                    "img-0", "size_gb", 1.0, "hulls", "quarry", "together", 0, "apart", 0,
                    "loaners", 0, "guess_s", 60.0, "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

guint64
cluster_submit (Cluster *cluster, int node, const char *id, guint tasks)
{
  g_autofree char *body = hr_json_take_text (cluster_job_body (id, tasks));
  return cluster_request (cluster, node, HR_POST, HR_JOBS_PATH, body);
}

guint64
cluster_poll (Cluster *cluster, int node, const char *id)
{
  g_autofree char *path = g_strconcat (HR_JOBS_PATH "/", id, NULL);
  return cluster_request (cluster, node, HR_GET, path, NULL);
}

guint64
cluster_cancel (Cluster *cluster, int node, const char *id)
{
  g_autofree char *path = g_strconcat (HR_JOBS_PATH "/", id, "/abort", NULL);
  return cluster_request (cluster, node, HR_POST, path, NULL);
}

const ClusterReply *
cluster_reply (Cluster *cluster, int node, guint64 request)
{
  return g_hash_table_lookup (cluster->nodes[node].replies, &request);
}

int
cluster_reply_status (Cluster *cluster, int node, guint64 request)
{
  const ClusterReply *reply = cluster_reply (cluster, node, request);
  return reply ? reply->status : 0;
}

const char *
cluster_job_state (Cluster *cluster, int node, guint64 request)
{
  const ClusterReply *reply = cluster_reply (cluster, node, request);
  return reply ? hr_json_str (reply->body, "stance") : NULL;
}

const char *
cluster_poll_state (Cluster *cluster, int node, const char *id)
{
  guint64 request = cluster_poll (cluster, node, id);
  for (int i = 0; i < 10 && !cluster_reply (cluster, node, request); i++)
    cluster_run (cluster, 0.05);
  return cluster_job_state (cluster, node, request);
}
