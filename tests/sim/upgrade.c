/* A rolling upgrade: controllers of the version in production restart as the new version one after
 * the other. Some time after the last one the state store's new limits apply, without notice. */
#include "coordination/core.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/cluster.h"

/* Downtime of each controller except the last one. */
#define DOWN_S 5.0

void
upgrade_init (SimCluster *cluster)
{
  cluster->production = TRUE;
  store_set_format (cluster, FALSE);
  for (int i = 0; i < cluster->n; i++)
    cluster->nodes[i].record_format = 0;
  sim_cluster_restart_nodes (cluster);
}

/* Kills the controller's process, if it is running, and restarts it as the new version. */
static void
upgrade_node (SimCluster *cluster, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (cluster, i);
  cluster->nodes[i].record_format = HR_NEWEST_RECORD_FORMAT;
  cluster->nodes[i].upgraded = TRUE;
  node_start_at (cluster, GPOINTER_TO_INT (data),
                 cluster->now + (i == 0 ? cluster->last_node_down_s : DOWN_S));
}

/* Node 0 is upgraded last. */
double
upgrade_roll (SimCluster *cluster, double from, double gap, double last_down)
{
  cluster->last_node_down_s = last_down;
  for (int i = 0; i < cluster->n; i++)
    sim_schedule (cluster, from + i * gap, upgrade_node, GINT_TO_POINTER ((i + 1) % cluster->n));
  return from + (cluster->n - 1) * gap;
}

void
upgrade_lower_limits (SimCluster *cluster, double at)
{
  cluster->limits_drop_at = at;
}
