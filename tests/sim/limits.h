/* Workloads for days on which a team is at its limit (its quota, quota_gpus in cluster.h). Each
 * task of an array and each replica takes one GPU; each task of a gang takes a machine with both of
 * its GPUs. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* One job. due_s: an array's deadline, in seconds from its submission; 0: derived from its run
 * time. */
typedef struct {
  double at_s;
  HrShape shape;
  guint tasks;
  double run_s;
  const char *rank; /* NULL: the default of its shape */
  double due_s;
  gboolean large;
  const char *team; /* NULL: the first one */
} HrLimitJob;

void limits_submit (SimCluster *cluster, const HrLimitJob *jobs, guint n);
/* Submits gangs of one task at intervals of gap_s. */
void limits_stream (SimCluster *cluster, double from, double to, double gap_s, double run_s);
/* Returns the nth submitted job of the day. */
SimJob *limits_job (SimCluster *cluster, guint n);
