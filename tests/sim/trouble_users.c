/* Simulates the user requests that planned faults consist of: close polling and cancellations. */
#include "sim/malformed_requests.h"
#include "sim/trouble_hooks.h"
#include "sim/trouble_parts.h"
#include "sim/user.h"
#include "sim/worker.h"

#define CANCEL_NOW_SPAN_S 0.2
#define CANCEL_NOW_MAX_HANGS 8
#define MIN_REMAINING_S 20.0
#define CANCEL_AT_END_SPAN_S 0.6
#define CLOSE_POLL_SPAN_S 0.03
#define LATER_POLL_SPAN_S 0.5

typedef enum { REQUEST_POLL, REQUEST_SUBMIT, REQUEST_CANCEL } RequestKind;
typedef struct {
  SimJob *job;
  RequestKind kind;
  int node;
} PlannedRequest;

static void
send_planned_request (SimCluster *cluster, gpointer data)
{
  PlannedRequest *planned = data;
  if (planned->kind == REQUEST_POLL)
    user_poll_at (cluster, planned->job, planned->node);
  else if (planned->kind == REQUEST_SUBMIT)
    user_submit_at (cluster, planned->job, planned->node);
  else
    user_cancel_at (cluster, planned->job, planned->node);
  g_free (planned);
}

static void
request_after (SimCluster *cluster, SimJob *job, RequestKind kind, int node, double after)
{
  PlannedRequest *planned = g_new (PlannedRequest, 1);
  *planned = (PlannedRequest){job, kind, node};
  sim_schedule (cluster, cluster->now + after, send_planned_request, planned);
}

static void
poll_closely (SimCluster *cluster, SimJob *job)
{
  for (int node = 0; node < cluster->n; node++) {
    for (guint i = 0; i < 3; i++)
      request_after (cluster, job, REQUEST_POLL, node, fault_rand (cluster, 0, CLOSE_POLL_SPAN_S));
    request_after (cluster, job, REQUEST_POLL, node,
                   fault_rand (cluster, CLOSE_POLL_SPAN_S, LATER_POLL_SPAN_S));
  }
  double delay_s = fault_rand (cluster, 0, CLOSE_POLL_SPAN_S);
  request_after (cluster, job, REQUEST_SUBMIT, fault_random_node (cluster), delay_s);
  cluster->faults.effects[FAULT_CLOSE_POLLS]++;
}

void
faults_on_job_state_reported (SimCluster *cluster, SimJob *job, gboolean accepted)
{
  const HrFaultWindow *close_polls = &cluster->faults.close_polls;
  if (accepted && cluster->faults.malformed_until > cluster->now)
    malformed_requests_repeat (cluster, job);
  if (!fault_window_active (cluster, close_polls))
    return;
  poll_closely (cluster, job);
  if (accepted && fault_rand (cluster, 0, 1) < close_polls->share) {
    double delay_s = fault_rand (cluster, 0, CLOSE_POLL_SPAN_S);
    request_after (cluster, job, REQUEST_CANCEL, fault_random_node (cluster), delay_s);
  }
}

void
faults_on_job_ended (SimCluster *cluster, SimJob *job)
{
  if (fault_window_active (cluster, &cluster->faults.close_polls))
    poll_closely (cluster, job);
  if (job->cancel_requested || !fault_window_hits (cluster, &cluster->faults.cancel_at_end))
    return;
  double after = fault_rand (cluster, -CANCEL_AT_END_SPAN_S, CANCEL_AT_END_SPAN_S);
  request_after (cluster, job, REQUEST_CANCEL, fault_random_node (cluster), MAX (0, after));
  cluster->faults.effects[FAULT_CANCEL_AT_END]++;
}

/* Returns whether the task is running, does not end soon and its job is not cancelled. */
static gboolean
runs_for_long (SimCluster *cluster, const SimTask *task)
{
  const SimJob *job = cluster->jobs->pdata[task->job];
  return task->state == SIM_TASK_RUN && job->accepted && !job->cancel_requested &&
         (job->shape == HR_SERVICE ||
          job->run - task->progress_at_start - (cluster->now - task->since) > MIN_REMAINING_S);
}

void
fault_cancel_now (SimCluster *cluster, const HrFault *fault)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  for (guint i = 0; cluster->jobs && i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = cluster->jobs->pdata[task->job];
      if (runs_for_long (cluster, task) && !g_ptr_array_find (jobs, job, NULL))
        g_ptr_array_add (jobs, job);
    }
  }
  fault_shuffle (cluster, jobs);
  g_ptr_array_set_size (jobs, MIN (jobs->len, fault->count));
  for (guint i = 0; i < jobs->len; i++) {
    double delay_s = fault_rand (cluster, 0, CANCEL_NOW_SPAN_S);
    request_after (cluster, jobs->pdata[i], REQUEST_CANCEL, fault_random_node (cluster), delay_s);
  }
  cluster->faults.effects[FAULT_CANCEL_NOW] += jobs->len;
  if (fault->hang_s <= 0)
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
  fault_shuffle (cluster, machines);
  for (guint i = 0; i < MIN (machines->len, CANCEL_NOW_MAX_HANGS); i++)
    ((SimMachine *)machines->pdata[i])->hang_until = cluster->now + fault->hang_s;
}
