/* Proof that a task is not on a machine. A recorded task is placed anew only
 * after one of: the worker showed that it is gone, with no order of ours still
 * on its way; a later incarnation; the cloud's 200 to the machine's deletion; a
 * lease that is surely over. */
#include "coordination/agents/termination_proof.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/fleet.h"
#include "coordination/state.h"

/* No launch that we sent may still take effect. */
gboolean
hr_termination_orders_settled (const HrMachine *machine)
{
  return machine->agent.direct_calls_in_flight == 0 &&
         machine->agent.unanswered_launch_token == 0 &&
         machine->agent.launch_answered_sequence == 0;
}

/* A launch whose answer was lost, of a job that was cancelled since, may come at any time while
 * the worker is in this incarnation and has seen no newer token. Without the state service no newer
 * token is to be had; with it one is asked for (take_items in heartbeats.c), but its write may fail
 * again and again. So there is a bound: the worker's lease has to end by `cancel_s` after the user
 * was told, which was after the last reading that did not show the cancellation. */
gboolean
hr_termination_cancelled_may_start (const HrCore *core, const HrMachine *machine)
{
  gboolean on_its_way =
               machine->agent.unanswered_launch_token || machine->agent.direct_calls_in_flight,
           served = hr_replica_is_served (&core->store);
  for (guint i = 0; on_its_way && i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    const HrTask *task = &job->tasks[ref.task];
    if (job->state == HR_JOB_CANCELLED && task->state == HR_TASK_BOUND &&
        task->placement.incarnation == machine->agent.incarnation &&
        task->reported_state == HR_NOT_REPORTED &&
        ((!served && machine->agent.unanswered_launch_token) ||
         core->now - job->cancellation.unknown_until > core->policy.hold_s))
      return TRUE;
  }
  return FALSE;
}

void
hr_termination_note_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                   guint32 attempt, guint64 token)
{
  for (guint i = 0; i < machine->agent.direct_launches->len; i++) {
    HrDirectLaunch *launch = &g_array_index (machine->agent.direct_launches, HrDirectLaunch, i);
    if (launch->job == job_index && launch->task == task_index && launch->attempt == attempt) {
      launch->fencing_token = token;
      return;
    }
  }
  HrDirectLaunch launch = {job_index, task_index, attempt, token};
  g_array_append_val (machine->agent.direct_launches, launch);
}

/* May the worker forget this attempt? A copy of a direct launch may come minutes
 * later, and would start it again; it is void once the worker has seen a newer
 * token than the launch had. Orders in the answer to a report are never late. */
gboolean
hr_termination_may_clear (const HrCore *core, HrMachine *machine, guint32 job_index,
                          guint32 task_index, guint32 attempt)
{
  if (!hr_termination_orders_settled (machine) ||
      machine->agent.fencing_token < core->leadership.term_token)
    return FALSE;
  for (guint i = 0; i < machine->agent.direct_launches->len; i++) {
    HrDirectLaunch *launch = &g_array_index (machine->agent.direct_launches, HrDirectLaunch, i);
    if (launch->job != job_index || launch->task != task_index || launch->attempt != attempt)
      continue;
    if (launch->fencing_token >= machine->agent.fencing_token)
      return FALSE;
    g_array_remove_index_fast (machine->agent.direct_launches, i);
    return TRUE;
  }
  return TRUE;
}

double
hr_lease_duration_s (const HrCore *core)
{
  return core->settings->lease_s * 1.002 + core->policy.lease_margin_s;
}

gboolean
hr_lease_has_expired (const HrCore *core, const HrMachine *machine)
{
  /* Before a worker has seen our token an earlier leader may have answered it,
   * for up to `hold` after our leader record was written. Afterwards only we can. */
  double base = machine->agent.lease_renewed_at;
  if (machine->agent.fencing_token < core->leadership.term_token)
    base = MAX (base, core->leadership.term_began_at + core->policy.hold_s);
  return core->now > base + hr_lease_duration_s (core);
}

void
hr_termination_incarnations_over (HrCore *core, HrMachine *machine, guint32 upto, const char *why)
{
  g_autoptr (GArray) tasks = g_array_copy (machine->tasks);
  for (guint i = 0; i < tasks->len; i++) {
    HrTaskRef ref = g_array_index (tasks, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    HrTask *task = job->tasks ? &job->tasks[ref.task] : NULL;
    if (task && task->state == HR_TASK_BOUND && task->placement.machine == machine->index &&
        task->placement.incarnation <= upto)
      hr_task_gone (core, job, ref.task, HR_EXIT_NONE, why);
  }
}

static double
last_heard (const HrCore *core, const HrMachine *machine)
{
  return MAX (machine->agent.heard_at, core->leadership.term_began_at);
}

/* A machine that is being returned is answered no more, so its lease runs out like that of a silent
 * one. While the cloud answers no deletion, that is the only proof about what it held. */
static void
expire_returned_lease (HrCore *core, HrMachine *machine)
{
  if (machine->state == HR_MACHINE_DELETING && machine->tasks->len &&
      hr_lease_has_expired (core, machine))
    hr_termination_incarnations_over (core, machine, G_MAXUINT32,
                                      "it is being returned, and its lease is surely over");
}

static gboolean
is_unreachable_now (const HrCore *core, const HrMachine *machine)
{
  return machine->agent.unreachable_at > 0 &&
         core->now - machine->agent.unreachable_at < core->settings->lease_s;
}

/* The cloud's list lacks it, though no list is so old that it could not be there yet: gone,
 * most likely. No proof, but reason enough to have it deleted, which is one. */
static gboolean
is_missing_from_list (const HrCore *core, const HrMachine *machine)
{
  return machine->instance.listed_at < core->scaling.listed_at &&
         core->scaling.listed_at > machine->instance.known_since + 2 * core->settings->list_lag_s;
}

void
hr_agents_tick (HrCore *core)
{
  if (!core->leadership.is_leader)
    return;
  guint up = 0, overdue = 0, unreachable = 0;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state != HR_MACHINE_UP)
      continue;
    up++;
    overdue += core->now - last_heard (core, machine) > core->policy.overdue_s;
    unreachable += is_unreachable_now (core, machine);
  }
  if (unreachable > 2 && unreachable > core->policy.silent_share * up) {
    hr_leadership_resign (core, "what this node answers reaches few workers");
    return;
  }
  /* When many fall silent at once it is more likely us than them. Their reports come spread
   * over a period, so the first ones reach silent_s well before the rest: what tells is
   * how many are overdue by then, or they would be deleted a few at a time. */
  gboolean cut_off = overdue > 2 && overdue > core->policy.silent_share * up;
  /* A new leader lets workers find it first; so does one that was cut off itself, or
   * it would return every machine that the same cut kept from it. */
  gboolean early =
      core->now - MAX (core->leadership.term_began_at, core->store.replica.served_since) <
      core->policy.silent_s + 6;
  g_autoptr (GPtrArray) fleet = g_ptr_array_copy (core->scaling.fleet, NULL, NULL);
  for (guint i = 0; i < fleet->len; i++) {
    HrMachine *machine = fleet->pdata[i];
    expire_returned_lease (core, machine);
    if (machine->state == HR_MACHINE_UP && is_unreachable_now (core, machine))
      hr_fleet_delete (core, machine, "it reports, but what it is told does not reach it");
    if (machine->state == HR_MACHINE_UP &&
        core->now - last_heard (core, machine) > core->policy.overdue_s &&
        is_missing_from_list (core, machine) && hr_replica_is_served (&core->store))
      hr_fleet_delete (core, machine, "its worker is silent, and the cloud no longer lists it");
    if (machine->state != HR_MACHINE_UP ||
        core->now - last_heard (core, machine) <= core->policy.silent_s)
      continue;
    if (hr_lease_has_expired (core, machine) && machine->tasks->len)
      hr_termination_incarnations_over (core, machine, G_MAXUINT32, "its lease is surely over");
    /* Past its lease a machine holds nothing that deleting it could cost. */
    if ((!cut_off || hr_lease_has_expired (core, machine)) && !early &&
        hr_replica_is_served (&core->store))
      hr_fleet_delete (core, machine, "its worker is silent");
  }
}
