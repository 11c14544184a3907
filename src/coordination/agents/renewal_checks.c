#include "coordination/agents/renewal_checks.h"
#include "coordination/agents/orders.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/state.h"

static const char *const verdict_names[] = {
    [HR_RENEWAL_ALLOWED] = "allowed",
    [HR_RENEWAL_NOT_LEADER] = "not_leader",
    [HR_RENEWAL_READ_TOO_OLD] = "reading_too_old",
    [HR_RENEWAL_NEWER_TOKEN] = "newer_token",
    [HR_RENEWAL_MACHINE_RETURNED] = "returned_or_unknown",
    [HR_RENEWAL_EARLIER_INCARNATION] = "returned_or_unknown",
    [HR_RENEWAL_TYPE_UNKNOWN] = "returned_or_unknown",
    [HR_RENEWAL_LAUNCH_OUTSTANDING] = "order_may_come",
    [HR_RENEWAL_STOP_MISSING] = "stop_not_named",
};

const char *
hr_renewal_verdict_name (HrRenewalVerdict verdict)
{
  return verdict_names[verdict];
}

HrRenewalVerdict
hr_renewal_check_node (const HrCore *core)
{
  if (hr_leadership_may_answer (core))
    return HR_RENEWAL_ALLOWED;
  return core->leadership.is_leader ? HR_RENEWAL_READ_TOO_OLD : HR_RENEWAL_NOT_LEADER;
}

HrRenewalVerdict
hr_renewal_check_token (const HrCore *core, const HrHeartbeat *heartbeat)
{
  return heartbeat->fencing_token > core->leadership.fencing_token ? HR_RENEWAL_NEWER_TOKEN
                                                                   : HR_RENEWAL_ALLOWED;
}

HrRenewalVerdict
hr_renewal_check_machine (const HrCore *core, const HrMachine *machine,
                          const HrHeartbeat *heartbeat)
{
  if (machine->state == HR_MACHINE_DELETING ||
      (machine->state == HR_MACHINE_GONE && machine->instance.is_deleted))
    return HR_RENEWAL_MACHINE_RETURNED;
  if (heartbeat->incarnation < machine->agent.incarnation)
    return HR_RENEWAL_EARLIER_INCARNATION;
  guint32 type = hr_intern_find (&core->names->types, heartbeat->type);
  if (type == HR_NONE || !hr_machine_type_find (core, type))
    return HR_RENEWAL_TYPE_UNKNOWN;
  return HR_RENEWAL_ALLOWED;
}

HrRenewalVerdict
hr_renewal_check_launches (const HrCore *core, const HrMachine *machine)
{
  return hr_termination_cancelled_task_may_start (core, machine) ? HR_RENEWAL_LAUNCH_OUTSTANDING
                                                                 : HR_RENEWAL_ALLOWED;
}

/* Returns whether the job is cancelled or done, as far as this node knows. Both states are final,
 * so a stop of a task of the job is correct whenever it arrives and whatever caused it. */
static gboolean
is_final (const HrJob *job)
{
  return job->cancellation.reported_by_peer || (job->is_known && job->state != HR_JOB_QUEUED);
}

/* Returns whether the heartbeat shows that the task has not exited, and its job is final. A job
 * whose record has not been read counts too: a peer may have stated its cancellation. */
static gboolean
is_reported_and_final (const HrCore *core, const HrReportedTask *reported)
{
  if (reported->state == HR_REPORTED_EXITED)
    return FALSE;
  guint32 index = hr_intern_find (&core->store.tables.job_ids, reported->job);
  const HrJob *job = index == HR_NONE ? NULL : core->store.tables.jobs->pdata[index];
  return job && is_final (job);
}

/* Returns whether the job is final and the task is recorded on this machine in this incarnation. A
 * launch may have started such a task after the heartbeat was sent, which then does not list it. */
static gboolean
is_recorded_and_final (const HrMachine *machine, const HrJob *job, const HrTask *task)
{
  return is_final (job) && task->state == HR_TASK_BOUND &&
         task->run->placement.incarnation == machine->agent.incarnation;
}

GArray *
hr_renewal_required_stops (const HrCore *core, const HrMachine *machine,
                           const HrHeartbeat *heartbeat)
{
  GArray *stops = hr_order_list_new ();
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const HrReportedTask *reported = &g_array_index (heartbeat->tasks, HrReportedTask, i);
    if (is_reported_and_final (core, reported))
      hr_order_stop (stops, reported->job, reported->task, reported->attempt, 0);
  }
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    const HrTask *task = &job->tasks[ref.task];
    if (is_recorded_and_final (machine, job, task))
      hr_order_stop (stops, job->id, ref.task, task->run->placement.attempt, 0);
  }
  return stops;
}

HrRenewalVerdict
hr_renewal_check_orders (const HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat,
                         const GArray *orders, char **missing)
{
  *missing = NULL;
  g_autoptr (GArray) stops = hr_renewal_required_stops (core, machine, heartbeat);
  for (guint i = 0; i < stops->len; i++) {
    const HrOrder *stop = &g_array_index (stops, HrOrder, i);
    if (hr_orders_contain_stop (orders, stop->job, stop->task, stop->attempt))
      continue;
    *missing = g_strdup_printf ("%s/%u", stop->job, stop->task);
    return HR_RENEWAL_STOP_MISSING;
  }
  return HR_RENEWAL_ALLOWED;
}
