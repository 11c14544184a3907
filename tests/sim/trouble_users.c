/* Users that planned troubles bring: they look closely, and call jobs off. */
#include "sim/malformed_requests.h"
#include "sim/trouble_hooks.h"
#include "sim/trouble_parts.h"
#include "sim/user.h"
#include "sim/worker.h"

#define CANCEL_NOW_SPAN_S 0.2
#define CANCEL_NOW_HANGS 8
#define LONG_TO_GO_S 20.0
#define CANCEL_AT_END_SPAN_S 0.6
#define LOOK_SPAN_S 0.03
#define LOOK_LATER_S 0.5

typedef enum { ASK_POLL, ASK_SUBMIT, ASK_CANCEL } AskKind;
typedef struct {
  SimJob *job;
  AskKind kind;
  int node;
} PlannedAsk;

static void
planned_ask (SimCluster *cluster, gpointer data)
{
  PlannedAsk *planned = data;
  if (planned->kind == ASK_POLL)
    user_poll_at (cluster, planned->job, planned->node);
  else if (planned->kind == ASK_SUBMIT)
    user_submit_at (cluster, planned->job, planned->node);
  else
    user_cancel_at (cluster, planned->job, planned->node);
  g_free (planned);
}

static void
ask_after (SimCluster *cluster, SimJob *job, AskKind kind, int node, double after)
{
  PlannedAsk *planned = g_new (PlannedAsk, 1);
  *planned = (PlannedAsk){job, kind, node};
  sim_schedule (cluster, cluster->now + after, planned_ask, planned);
}

static void
look_closely (SimCluster *cluster, SimJob *job)
{
  for (int node = 0; node < cluster->n; node++) {
    for (guint i = 0; i < 3; i++)
      ask_after (cluster, job, ASK_POLL, node, trouble_rand (cluster, 0, LOOK_SPAN_S));
    ask_after (cluster, job, ASK_POLL, node, trouble_rand (cluster, LOOK_SPAN_S, LOOK_LATER_S));
  }
  ask_after (cluster, job, ASK_SUBMIT, trouble_any_node (cluster),
             trouble_rand (cluster, 0, LOOK_SPAN_S));
  cluster->troubles.played[TROUBLE_CLOSE_LOOKS]++;
}

void
troubles_told (SimCluster *cluster, SimJob *job, gboolean accepted)
{
  const HrSwitch *looks = &cluster->troubles.close_looks;
  if (accepted && cluster->troubles.odd_until > cluster->now)
    malformed_requests_repeat (cluster, job);
  if (!trouble_on (cluster, looks))
    return;
  look_closely (cluster, job);
  if (accepted && trouble_rand (cluster, 0, 1) < looks->share)
    ask_after (cluster, job, ASK_CANCEL, trouble_any_node (cluster),
               trouble_rand (cluster, 0, LOOK_SPAN_S));
}

void
troubles_job_ended (SimCluster *cluster, SimJob *job)
{
  if (trouble_on (cluster, &cluster->troubles.close_looks))
    look_closely (cluster, job);
  if (job->cancel_requested || !trouble_strikes (cluster, &cluster->troubles.cancel_at_end))
    return;
  double after = trouble_rand (cluster, -CANCEL_AT_END_SPAN_S, CANCEL_AT_END_SPAN_S);
  ask_after (cluster, job, ASK_CANCEL, trouble_any_node (cluster), MAX (0, after));
  cluster->troubles.played[TROUBLE_CANCEL_AT_END]++;
}

/* It runs, and neither ends soon nor was called off. */
static gboolean
long_to_go (SimCluster *cluster, const SimTask *task)
{
  const SimJob *job = cluster->jobs->pdata[task->job];
  return task->state == SIM_TASK_RUN && job->accepted && !job->cancel_requested &&
         (job->shape == HR_SERVICE ||
          job->run - task->progress_at_start - (cluster->now - task->since) > LONG_TO_GO_S);
}

void
trouble_cancel_now (SimCluster *cluster, const HrTrouble *trouble)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  for (guint i = 0; cluster->jobs && i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = cluster->jobs->pdata[task->job];
      if (long_to_go (cluster, task) && !g_ptr_array_find (jobs, job, NULL))
        g_ptr_array_add (jobs, job);
    }
  }
  trouble_shuffle (cluster, jobs);
  g_ptr_array_set_size (jobs, MIN (jobs->len, trouble->count));
  for (guint i = 0; i < jobs->len; i++)
    ask_after (cluster, jobs->pdata[i], ASK_CANCEL, trouble_any_node (cluster),
               trouble_rand (cluster, 0, CANCEL_NOW_SPAN_S));
  cluster->troubles.played[TROUBLE_CANCEL_NOW] += jobs->len;
  if (trouble->hang_s <= 0)
    return;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (task->active && g_ptr_array_find (jobs, cluster->jobs->pdata[task->job], NULL)) {
        g_ptr_array_add (machines, machine);
        break;
      }
    }
  }
  trouble_shuffle (cluster, machines);
  for (guint i = 0; i < MIN (machines->len, CANCEL_NOW_HANGS); i++)
    ((SimMachine *)machines->pdata[i])->hang_until = cluster->now + trouble->hang_s;
}
