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
send_planned_request (World *world, gpointer data)
{
  PlannedRequest *planned = data;
  if (planned->kind == REQUEST_POLL)
    user_poll_at (world, planned->job, planned->node);
  else if (planned->kind == REQUEST_SUBMIT)
    user_submit_at (world, planned->job, planned->node);
  else
    user_cancel_at (world, planned->job, planned->node);
  g_free (planned);
}

static void
request_after (World *world, SimJob *job, RequestKind kind, int node, double after)
{
  PlannedRequest *planned = g_new (PlannedRequest, 1);
  *planned = (PlannedRequest){job, kind, node};
  w_at (world, world->now + after, send_planned_request, planned);
}

static void
poll_closely (World *world, SimJob *job)
{
  for (int node = 0; node < world->n; node++) {
    for (guint i = 0; i < 3; i++)
      request_after (world, job, REQUEST_POLL, node, fault_rand (world, 0, CLOSE_POLL_SPAN_S));
    request_after (world, job, REQUEST_POLL, node,
                   fault_rand (world, CLOSE_POLL_SPAN_S, LATER_POLL_SPAN_S));
  }
  request_after (world, job, REQUEST_SUBMIT, fault_random_node (world),
                 fault_rand (world, 0, CLOSE_POLL_SPAN_S));
  world->troubles.effects[FAULT_CLOSE_LOOKS]++;
}

void
faults_on_job_state_reported (World *world, SimJob *job, gboolean accepted)
{
  const HrFaultWindow *close_polls = &world->troubles.close_looks;
  if (accepted && world->troubles.malformed_until > world->now)
    malformed_requests_repeat (world, job);
  if (!fault_window_active (world, close_polls))
    return;
  poll_closely (world, job);
  if (accepted && fault_rand (world, 0, 1) < close_polls->share)
    request_after (world, job, REQUEST_CANCEL, fault_random_node (world),
                   fault_rand (world, 0, CLOSE_POLL_SPAN_S));
}

void
faults_on_job_ended (World *world, SimJob *job)
{
  if (fault_window_active (world, &world->troubles.close_looks))
    poll_closely (world, job);
  if (job->asked_cancel || !fault_window_hits (world, &world->troubles.cancel_at_end))
    return;
  double after = fault_rand (world, -CANCEL_AT_END_SPAN_S, CANCEL_AT_END_SPAN_S);
  request_after (world, job, REQUEST_CANCEL, fault_random_node (world), MAX (0, after));
  world->troubles.effects[FAULT_CANCEL_AT_END]++;
}

/* Returns whether the task is running, does not end soon and its job is not cancelled. */
static gboolean
runs_for_long (World *world, const SimTask *task)
{
  const SimJob *job = world->jobs->pdata[task->job];
  return task->state == SIM_TASK_RUN && job->accepted && !job->asked_cancel &&
         (job->shape == HR_SERVICE ||
          job->run - task->base - (world->now - task->since) > MIN_REMAINING_S);
}

void
fault_cancel_now (World *world, const HrFault *fault)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  for (guint i = 0; world->jobs && i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = world->jobs->pdata[task->job];
      if (runs_for_long (world, task) && !g_ptr_array_find (jobs, job, NULL))
        g_ptr_array_add (jobs, job);
    }
  }
  fault_shuffle (world, jobs);
  g_ptr_array_set_size (jobs, MIN (jobs->len, fault->count));
  for (guint i = 0; i < jobs->len; i++)
    request_after (world, jobs->pdata[i], REQUEST_CANCEL, fault_random_node (world),
                   fault_rand (world, 0, CANCEL_NOW_SPAN_S));
  world->troubles.effects[FAULT_CANCEL_NOW] += jobs->len;
  if (fault->hang_s <= 0)
    return;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (task->on && g_ptr_array_find (jobs, world->jobs->pdata[task->job], NULL)) {
        g_ptr_array_add (machines, machine);
        break;
      }
    }
  }
  fault_shuffle (world, machines);
  for (guint i = 0; i < MIN (machines->len, CANCEL_NOW_MAX_HANGS); i++)
    ((SimMachine *)machines->pdata[i])->hang = world->now + fault->hang_s;
}
