/* An upgrade: controllers of production come back new one after the other, and some time after
 * the last the state service has its new limits, without notice. */
#include "coordination/core.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/cluster.h"

/* Down for so long in its turn. */
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

/* Its process ends, if it is there; from now on it comes back new. */
static void
turn (SimCluster *cluster, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (cluster, i);
  cluster->nodes[i].record_format = HR_FORMAT;
  cluster->nodes[i].upgraded = TRUE;
  node_start_at (cluster, GPOINTER_TO_INT (data),
                 cluster->now + (i == 0 ? cluster->last_node_down_s : DOWN_S));
}

/* The first node's turn is the last. */
double
upgrade_roll (SimCluster *cluster, double from, double gap, double last_down)
{
  cluster->last_node_down_s = last_down;
  for (int i = 0; i < cluster->n; i++)
    sim_schedule (cluster, from + i * gap, turn, GINT_TO_POINTER ((i + 1) % cluster->n));
  return from + (cluster->n - 1) * gap;
}

void
upgrade_limits_fall (SimCluster *cluster, double at)
{
  cluster->limits_drop_at = at;
}
