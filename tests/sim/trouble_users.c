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
planned_ask (World *world, gpointer data)
{
  PlannedAsk *planned = data;
  if (planned->kind == ASK_POLL)
    user_poll_at (world, planned->job, planned->node);
  else if (planned->kind == ASK_SUBMIT)
    user_submit_at (world, planned->job, planned->node);
  else
    user_cancel_at (world, planned->job, planned->node);
  g_free (planned);
}

static void
ask_after (World *world, SimJob *job, AskKind kind, int node, double after)
{
  PlannedAsk *planned = g_new (PlannedAsk, 1);
  *planned = (PlannedAsk){job, kind, node};
  w_at (world, world->now + after, planned_ask, planned);
}

static void
look_closely (World *world, SimJob *job)
{
  for (int node = 0; node < world->n; node++) {
    for (guint i = 0; i < 3; i++)
      ask_after (world, job, ASK_POLL, node, trouble_rand (world, 0, LOOK_SPAN_S));
    ask_after (world, job, ASK_POLL, node, trouble_rand (world, LOOK_SPAN_S, LOOK_LATER_S));
  }
  ask_after (world, job, ASK_SUBMIT, trouble_any_node (world),
             trouble_rand (world, 0, LOOK_SPAN_S));
  world->troubles.played[TROUBLE_CLOSE_LOOKS]++;
}

void
troubles_told (World *world, SimJob *job, gboolean accepted)
{
  const HrSwitch *looks = &world->troubles.close_looks;
  if (accepted && world->troubles.odd_until > world->now)
    malformed_requests_repeat (world, job);
  if (!trouble_on (world, looks))
    return;
  look_closely (world, job);
  if (accepted && trouble_rand (world, 0, 1) < looks->share)
    ask_after (world, job, ASK_CANCEL, trouble_any_node (world),
               trouble_rand (world, 0, LOOK_SPAN_S));
}

void
troubles_job_ended (World *world, SimJob *job)
{
  if (trouble_on (world, &world->troubles.close_looks))
    look_closely (world, job);
  if (job->asked_cancel || !trouble_strikes (world, &world->troubles.cancel_at_end))
    return;
  double after = trouble_rand (world, -CANCEL_AT_END_SPAN_S, CANCEL_AT_END_SPAN_S);
  ask_after (world, job, ASK_CANCEL, trouble_any_node (world), MAX (0, after));
  world->troubles.played[TROUBLE_CANCEL_AT_END]++;
}

/* It runs, and neither ends soon nor was called off. */
static gboolean
long_to_go (World *world, const SimTask *task)
{
  const SimJob *job = world->jobs->pdata[task->job];
  return task->state == SIM_TASK_RUN && job->accepted && !job->asked_cancel &&
         (job->shape == HR_SERVICE ||
          job->run - task->base - (world->now - task->since) > LONG_TO_GO_S);
}

void
trouble_cancel_now (World *world, const HrTrouble *trouble)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  for (guint i = 0; world->jobs && i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = world->jobs->pdata[task->job];
      if (long_to_go (world, task) && !g_ptr_array_find (jobs, job, NULL))
        g_ptr_array_add (jobs, job);
    }
  }
  trouble_shuffle (world, jobs);
  g_ptr_array_set_size (jobs, MIN (jobs->len, trouble->count));
  for (guint i = 0; i < jobs->len; i++)
    ask_after (world, jobs->pdata[i], ASK_CANCEL, trouble_any_node (world),
               trouble_rand (world, 0, CANCEL_NOW_SPAN_S));
  world->troubles.played[TROUBLE_CANCEL_NOW] += jobs->len;
  if (trouble->hang_s <= 0)
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
  trouble_shuffle (world, machines);
  for (guint i = 0; i < MIN (machines->len, CANCEL_NOW_HANGS); i++)
    ((SimMachine *)machines->pdata[i])->hang = world->now + trouble->hang_s;
}
