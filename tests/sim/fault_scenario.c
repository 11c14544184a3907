/* Plays days on which planned faults overlap, and checks the state at their end. */
#include "sim/fault_scenario.h"
#include "sim/test_runner.h"
#include "sim/user.h"

#define DAY_S 700.0 /* leaves enough time after the last fault for all work to end */

/* Checks that all work is done and that each planned fault had an effect. */
static void
check_end (SimCluster *cluster, const HrFault *day, guint n)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (!job->accepted)
      sim_report_violation (cluster, "liveness", "%s was never accepted", job->id);
    else if (job->cancel_requested && !job->cancelled_reply_at && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s was not withdrawn", job->id);
    else if (!job->cancel_requested && job->shape != HR_SERVICE && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
    else if (!job->cancel_requested && job->shape == HR_SERVICE && !job->started)
      sim_report_violation (cluster, "liveness", "%s never ran", job->id);
  }
  for (guint i = 0; i < n; i++)
    if (!cluster->faults.effects[day[i].kind])
      sim_report_violation (cluster, "played", "fault %s had no effect",
                            fault_kind_name (day[i].kind));
}

guint
fault_scenario_play (guint32 seed, const FaultScenario *settings, const HrFault *day, guint n)
{
  SimCluster *cluster = sim_cluster_new (seed, seed % 3 == 2 ? 5 : 3);
  cluster->quota_gpus = settings->quota_gpus;
  if (settings->capacity)
    cluster->capacity = settings->capacity;
  if (settings->quota_gpus > 0)
    sim_cluster_restart_nodes (cluster);
  users_init (cluster, settings->users ? 0 : 40, 300);
  if (settings->users)
    settings->users (cluster);
  users_probe (cluster);
  faults_plan (cluster, day, n);
  sim_cluster_run (cluster, settings->until > 0 ? settings->until : DAY_S);
  check_end (cluster, day, n);
  if (settings->started_cancelled && cluster->started_cancelled > settings->started_cancelled)
    sim_report_violation (cluster, "started_withdrawn",
                          "%u tasks start after a confirmed cancellation",
                          cluster->started_cancelled);
  return sim_day_finish (cluster, seed);
}
