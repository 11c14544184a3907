/* Reports of workers and the orders they get. */
#include "coordination/agents/heartbeats.h"
#include "coordination/agents/lease_renewal.h"
#include "coordination/agents/orders.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/effects.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scheduling/projection.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include <string.h>

/* Ended attempts that a worker may hold before the fencing token is raised to clear them. */
#define MAX_UNCLEARED 12

/* Fills in what a machine is and where; FALSE while its type is not known. */
static gboolean
describe (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  guint32 type = hr_intern_find (&core->names->types, heartbeat->type);
  const HrMachineType *machine_type = type == HR_NONE ? NULL : hr_machine_type_find (core, type);
  if (!machine_type)
    return FALSE;
  hr_machine_describe (machine, machine_type, hr_intern (&core->names->zones, heartbeat->zone),
                       heartbeat->is_spot);
  if (g_strcmp0 (machine->address, heartbeat->address) != 0) {
    g_free (machine->address);
    machine->address = g_strdup (heartbeat->address);
  }
  return TRUE;
}

static HrTask *
find_reported_task (HrCore *core, HrMachine *machine, const HrReportedTask *reported, HrJob **job)
{
  HrJob *found = hr_job_find (&core->store.tables, reported->job);
  *job = found;
  if (!found || !found->tasks || reported->task >= found->n_tasks)
    return NULL;
  HrTask *task = &found->tasks[reported->task];
  return task->placement.machine == machine->index &&
                 task->placement.incarnation == machine->agent.incarnation &&
                 task->placement.attempt == reported->attempt
             ? task
             : NULL;
}

/* The item shows that the machine has the task's image. One that was stopped, or refused,
 * may have ended before that: the fetch is given up with it. */
static gboolean
had_image (const HrReportedTask *reported)
{
  if (reported->state == HR_REPORTED_EXITED)
    return reported->cause == HR_EXIT_DONE || reported->cause == HR_EXIT_INCOMPLETE ||
           reported->cause == HR_EXIT_PEERS;
  return reported->state != HR_REPORTED_FETCHING;
}

static void
note_exit (HrCore *core, HrJob *job, const HrReportedTask *reported)
{
  if (reported->cause == HR_EXIT_DONE && job->state == HR_JOB_QUEUED)
    hr_task_done (core, job, reported->task);
  else
    hr_task_gone (core, job, reported->task, reported->cause, hr_exit_name (reported->cause));
}

static void
handle_unrecognized (HrCore *core, HrMachine *machine, HrJob *job, const HrReportedTask *reported,
                     json_t *orders, guint *kept)
{
  if (reported->state == HR_REPORTED_EXITED) {
    if (hr_termination_may_clear (core, machine, job ? job->index : HR_NONE, reported->task,
                                  reported->attempt))
      hr_orders_clear (core, machine, orders, reported->job, reported->task, reported->attempt);
    else if (++*kept >= MAX_UNCLEARED)
      hr_leadership_raise_token (core,
                                 "a worker holds many ended attempts that cannot be cleared yet");
    return;
  }
  /* It takes room until it is gone. */
  if (job && job->is_known && job->n_tasks) {
    machine->unrecognized.cpus += job->spec.cpus;
    machine->unrecognized.gpus += job->spec.gpus;
    machine->unrecognized.memory_gb += job->spec.memory_gb;
  }
  hr_orders_stop (core, machine, orders, reported->job, reported->task, reported->attempt,
                  job && job->state == HR_JOB_CANCELLED ? "withdrawn" : "not_recorded_here");
}

/* Takes in a worker's task list. full: a report, whose silence about a task counts. */
static void
take_reported_tasks (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat, gboolean full,
                     json_t *orders)
{
  g_autoptr (GArray) before = g_array_copy (machine->tasks);
  g_autoptr (GHashTable) seen = g_hash_table_new (g_direct_hash, g_direct_equal);
  guint kept = 0;
  machine->unrecognized.cpus = machine->unrecognized.gpus = machine->unrecognized.memory_gb = 0;
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    HrReportedTask *reported = &g_array_index (heartbeat->tasks, HrReportedTask, i);
    HrJob *job;
    HrTask *task = find_reported_task (core, machine, reported, &job);
    if (task && task->state == HR_TASK_BOUND) {
      g_hash_table_add (seen, task);
      task->from_earlier_term = 0;
      /* Records tell a new leader where an image should be; one that is still being fetched
       * at the second look is not there. */
      if (reported->state == HR_REPORTED_FETCHING && task->reported_state == HR_REPORTED_FETCHING)
        hr_machine_forget_image (machine, job->spec.image);
      if (task->reported_state != reported->state)
        core->scheduling.plan_is_stale = TRUE;
      task->reported_state = reported->state;
      if (reported->state == HR_REPORTED_RUNNING && !task->running_since) {
        task->running_since = core->now;
        g_debug ("%s/%u runs on %s", job->id, reported->task, machine->name);
      }
      if (had_image (reported))
        hr_machine_touch_image (machine, job->spec.image);
      if (reported->state == HR_REPORTED_EXITED)
        note_exit (core, job, reported);
      continue;
    }
    if (task && task->state == HR_TASK_DONE && !task->done_recorded && !job->record.is_compacted)
      continue; /* its ending is still to be recorded: no clear before that */
    if (task && task->state == HR_TASK_ASSIGNING)
      continue;
    handle_unrecognized (core, machine, job, reported, orders, &kept);
  }
  if (!full)
    return;
  gboolean proof = hr_termination_orders_settled (machine) &&
                   heartbeat->fencing_token >= core->leadership.fencing_token;
  for (guint i = 0; i < before->len; i++) {
    HrTaskRef ref = g_array_index (before, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    HrTask *task = job->tasks ? &job->tasks[ref.task] : NULL;
    if (!task || task->state != HR_TASK_BOUND || task->placement.machine != machine->index ||
        task->placement.incarnation != machine->agent.incarnation ||
        g_hash_table_contains (seen, task))
      continue;
    task->reported_state = HR_NOT_REPORTED;
    if (job->state == HR_JOB_QUEUED && !task->stop_wanted && !task->from_earlier_term &&
        !job->run.attempt_ending)
      continue; /* it is launched (again) where it is recorded */
    if (proof)
      hr_task_gone (core, job, ref.task, HR_EXIT_NONE, "its worker's report lacks it");
    else if (machine->agent.unanswered_launch_token)
      hr_leadership_raise_token (core, "an order to a worker got no answer");
  }
}

static void
take_preemption_notice (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  if (heartbeat->preemption_notice_s < 0)
    return;
  if (!machine->instance.preempted_at)
    g_info ("%s will be taken in about %.0f s", machine->name, heartbeat->preemption_notice_s);
  machine->instance.preempted_at = core->now + heartbeat->preemption_notice_s;
  machine->is_draining = TRUE;
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    HrTask *task = &job->tasks[ref.task];
    if (task->state != HR_TASK_BOUND || task->stop_wanted)
      continue;
    if (job->spec.shape == HR_GANG) {
      hr_gang_end_attempt (core, job, job->spec.save_s + 1);
      continue;
    }
    double est = hr_estimate_run_time (core, job, machine);
    double left = task->running_since ? est - (core->now - task->running_since) : est;
    /* What ends in time is left alone; what saves is stopped while it still
     * can; the rest is moved at once. */
    if (left < heartbeat->preemption_notice_s * 0.7)
      continue;
    if (job->spec.checkpoint_s > 0 && heartbeat->preemption_notice_s > job->spec.save_s + 4 &&
        task->reported_state == HR_REPORTED_RUNNING)
      hr_task_stop (core, job, ref.task, job->spec.save_s + 1);
    else
      hr_task_stop (core, job, ref.task, 0);
  }
}

static void
admit_machine (HrCore *core, HrMachine *machine)
{
  if (machine->state == HR_MACHINE_GONE) {
    g_info ("%s reports and was not expected; it is taken on", machine->name);
    hr_fleet_add (core, machine);
  } else if (machine->state == HR_MACHINE_BOOTING)
    g_info ("%s is up after %.0f s", machine->name, core->now - machine->instance.requested_at);
  machine->state = HR_MACHINE_UP;
  machine->idle_since = machine->tasks->len ? 0 : core->now;
  core->scheduling.plan_is_stale = TRUE;
}

/* Not entitled to act for the controllers: the worker is sent to the one that is, if known. */
static void
redirect_to_leader (HrCore *core, HrCommand *command)
{
  gboolean known = FALSE;
  for (guint i = 0; i < core->settings->members->len; i++)
    known |= g_strcmp0 (g_array_index (core->settings->members, HrMember, i).label,
                        core->leadership.leader_label) == 0;
  if (core->leadership.is_leader || !known)
    hr_core_refuse (core, command->id, 503, 0, "this node may not act for the controllers now");
  else
    hr_core_reply (core, command->id, 421, hr_redirect_answer (core->leadership.leader_label), 0);
}

static void
begin_incarnation (HrCore *core, HrMachine *machine, guint32 incarnation)
{
  /* An incarnation that ends within a lease of our answer shows that the answer was not
   * received: reports come from there, but nothing that we say arrives. Once may also be
   * a report that a cut held back; such ones come in a bunch, not a lease apart. */
  gboolean unreceived = machine->agent.lease_renewed_at &&
                        core->now - machine->agent.lease_renewed_at < core->settings->lease_s - 1;
  if (unreceived && machine->agent.answer_unreceived_at &&
      core->now - machine->agent.answer_unreceived_at > core->settings->lease_s / 2)
    machine->agent.unreachable_at = core->now;
  if (!unreceived || !machine->agent.answer_unreceived_at ||
      core->now - machine->agent.answer_unreceived_at > core->settings->lease_s / 2)
    machine->agent.answer_unreceived_at = unreceived ? core->now : 0;
  machine->agent.launch_answered_sequence = machine->agent.unanswered_launch_token =
      0; /* orders of the old incarnation are void */
  machine->agent.incarnation = incarnation;
  g_array_set_size (machine->agent.direct_launches, 0);
}

/* The message is the newest one of its worker. Its incarnation and number count from here on. */
static void
note_sequence (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  if (heartbeat->incarnation > machine->agent.incarnation)
    begin_incarnation (core, machine, heartbeat->incarnation);
  /* Not only when the incarnation moves on: a new leader may know the incarnation from
   * before, and read older ones in the records. */
  hr_termination_incarnations_over (core, machine, machine->agent.incarnation - 1,
                                    "its worker is in a later session");
  machine->agent.sequence = heartbeat->sequence;
  machine->agent.sequence_at = core->now;
  machine->agent.fencing_token = MAX (machine->agent.fencing_token, heartbeat->fencing_token);
}

/* The report is current: its list of tasks is what the machine has. */
static void
take_heartbeat (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat, json_t *orders)
{
  if (machine->state != HR_MACHINE_UP || !machine->agent.heard_at)
    admit_machine (core, machine);
  machine->agent.heard_at = core->now;
  if (heartbeat->sequence > machine->agent.launch_answered_sequence)
    machine->agent.launch_answered_sequence = 0;
  if (heartbeat->fencing_token > machine->agent.unanswered_launch_token)
    machine->agent.unanswered_launch_token = 0;
  take_reported_tasks (core, machine, heartbeat, TRUE, orders);
  take_preemption_notice (core, machine, heartbeat);
}

static void
refuse_heartbeat (HrCore *core, HrCommand *command, const HrHeartbeat *heartbeat, guint64 *counter,
                  const char *reason, const char *text)
{
  ++*counter;
  hr_lease_renewal_log_refusal (core, heartbeat->machine, reason);
  hr_core_refuse (core, command->id, 503, 0, text);
}

/* May the machine be answered at all? If not, the report is refused. */
static gboolean
may_be_answered (HrCore *core, HrCommand *command, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  if (machine->state != HR_MACHINE_DELETING &&
      !(machine->state == HR_MACHINE_GONE && machine->instance.is_deleted) &&
      heartbeat->incarnation >= machine->agent.incarnation && describe (core, machine, heartbeat))
    return TRUE;
  refuse_heartbeat (core, command, heartbeat, &core->metrics.counters.reports_refused_machine,
                    "returned_or_unknown", "this machine is being returned, or not known yet");
  return FALSE;
}

static void
answer_heartbeat (HrCore *core, HrCommand *command, HrMachine *machine,
                  const HrHeartbeat *heartbeat)
{
  json_t *orders = json_array ();
  if (heartbeat->incarnation == machine->agent.incarnation &&
      heartbeat->sequence <= machine->agent.sequence) {
    /* Overtaken by a newer list, of an answer to /do perhaps, or a late copy: nothing in
     * it counts. */
    hr_lease_renewal_answer (core, command, machine, heartbeat, HR_HEARTBEAT_OVERTAKEN, orders);
    return;
  }
  note_sequence (core, machine, heartbeat);
  if (heartbeat->fencing_token < core->leadership.term_token &&
      !(machine->state == HR_MACHINE_BOOTING && machine->instance.requested_here)) {
    /* Sent before the worker heard from this leader, how long ago nobody knows: it may be
     * a late copy of a machine that is gone. Only its order counts. A worker that is
     * there gets our token now, and reports again because of it; but when, and whether we
     * are there by then, is open: so it is told now what must not run. */
    hr_lease_renewal_answer (core, command, machine, heartbeat, HR_HEARTBEAT_BEFORE_TOKEN, orders);
    return;
  }
  take_heartbeat (core, machine, heartbeat, orders);
  hr_lease_renewal_answer (core, command, machine, heartbeat, HR_HEARTBEAT_CURRENT, orders);
}

void
hr_heartbeat_received (HrCore *core, HrCommand *command)
{
  if (command->request.method != HR_POST) {
    hr_core_refuse (core, command->id, 405, 0, "use POST");
    return;
  }
  core->membership.contacts_in_window++;
  if (!hr_leadership_may_answer (core)) {
    core->metrics.counters.reports_refused_not_entitled++;
    hr_lease_renewal_log_refusal (core, NULL,
                                  core->leadership.is_leader ? "reading_too_old" : "not_leader");
    redirect_to_leader (core, command);
    return;
  }
  gsize len = 0;
  const char *data = command->body ? g_bytes_get_data (command->body, &len) : NULL;
  g_autoptr (GError) error = NULL;
  g_autoptr (HrHeartbeat) heartbeat = hr_heartbeat_parse (data, len, &error);
  if (!heartbeat) {
    g_info ("a report was dropped: %s", error->message);
    core->metrics.counters.reports_malformed++;
    hr_core_refuse (core, command->id, 400, 0, error->message);
    return;
  }
  if (heartbeat->fencing_token > core->leadership.fencing_token) {
    g_info ("%s has seen fencing token %" G_GUINT64_FORMAT ", ours is older", heartbeat->machine,
            heartbeat->fencing_token);
    refuse_heartbeat (core, command, heartbeat, &core->metrics.counters.reports_refused_token,
                      "newer_token", "a newer baton is about");
    return;
  }
  HrMachine *machine = hr_machine_get (&core->store.tables, heartbeat->machine);
  if (may_be_answered (core, command, machine, heartbeat))
    answer_heartbeat (core, command, machine, heartbeat);
}

void
hr_heartbeat_direct_answer (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  if (strcmp (heartbeat->machine, machine->name) != 0 || machine->state != HR_MACHINE_UP ||
      heartbeat->incarnation != machine->agent.incarnation ||
      heartbeat->sequence <= machine->agent.sequence)
    return;
  machine->agent.sequence = heartbeat->sequence;
  machine->agent.sequence_at = core->now;
  machine->agent.fencing_token = MAX (machine->agent.fencing_token, heartbeat->fencing_token);
  json_t *orders = json_array ();
  take_reported_tasks (core, machine, heartbeat, FALSE,
                       orders); /* its orders go out with the next report's answer */
  json_decref (orders);
}
