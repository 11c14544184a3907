/* Work for days on which a team is at its limit (cluster.h: quota_gpus). Each task of an array
 * and each replica takes one GPU, each task of a gang a machine with its two. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* One job. due_s: an array's deadline, from its submission; 0: by its run time. */
typedef struct {
  double at_s;
  HrShape shape;
  guint tasks;
  double run_s;
  const char *rank; /* NULL: as its shape has it */
  double due_s;
  gboolean large;
  const char *team; /* NULL: the first one */
} HrLimitJob;

void limits_submit (SimCluster *cluster, const HrLimitJob *jobs, guint n);
/* Gangs of one task, each gap_s after the one before. */
void limits_stream (SimCluster *cluster, double from, double to, double gap_s, double run_s);
/* The nth job of the plan, as submitted. */
SimJob *limits_job (SimCluster *cluster, guint n);
