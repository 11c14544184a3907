#include "coordination/agents/heartbeats.h"
#include "coordination/agents/lease_renewal.h"
#include "coordination/agents/preemption_notice.h"
#include "coordination/agents/renewal_checks.h"
#include "coordination/agents/reported_tasks.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/effects.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
#include "protocol/worker.h"
#include <string.h>

/* An incarnation that ends at most so many seconds ahead of its lease may have ended by it. */
#define LEASE_END_MARGIN_S 1

/* Fills in what a machine is and where. Its type is known (hr_renewal_check_machine). */
static void
describe_machine (HrCore *core, HrMachine *machine, const HrHeartbeat *report)
{
  guint32 type = hr_intern_find (&core->names->types, report->type);
  hr_machine_set_type (machine, hr_machine_type_find (core, type),
                       hr_intern (&core->names->zones, report->zone), report->is_spot);
  if (g_strcmp0 (machine->address, report->address) != 0) {
    g_free (machine->address);
    machine->address = g_strdup (report->address);
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

/* The machine's previous incarnation is over. One that ended within a lease of our answer shows
 * that the answer was not received: reports come from there, but no answer of ours arrives. Once
 * may also be a report that a cut delayed; such ones come in a bunch, not a lease apart. */
static void
note_unreceived_answer (HrCore *core, HrMachine *machine)
{
  HrMachineAgent *agent = &machine->agent;
  gboolean is_unreceived =
      agent->lease_renewed_at &&
      core->now - agent->lease_renewed_at < core->settings->lease_s - LEASE_END_MARGIN_S;
  if (!is_unreceived) {
    agent->response_missed_at = 0;
    return;
  }
  gboolean is_first = !agent->response_missed_at;
  gboolean is_in_bunch =
      !is_first && core->now - agent->response_missed_at <= core->settings->lease_s / 2;
  if (is_in_bunch)
    return;
  if (!is_first)
    agent->unreachable_at = core->now;
  agent->response_missed_at = core->now;
}

static void
begin_incarnation (HrCore *core, HrMachine *machine, guint32 incarnation)
{
  note_unreceived_answer (core, machine);
  machine->agent.incarnation = incarnation;
  /* Orders of the old incarnation are void. */
  machine->agent.launch_answered_sequence = 0;
  machine->agent.unanswered_launch_token = 0;
  g_array_set_size (machine->agent.direct_launches, 0);
}

/* The message is the newest one of its worker's incarnation. */
static void
note_sequence (HrCore *core, HrMachine *machine, const HrHeartbeat *message)
{
  machine->agent.sequence = message->sequence;
  machine->agent.sequence_at = core->now;
  machine->agent.fencing_token = MAX (machine->agent.fencing_token, message->fencing_token);
}

/* The message is the newest one of its worker. Its incarnation and number count from here on. */
static void
note_incarnation (HrCore *core, HrMachine *machine, const HrHeartbeat *report)
{
  if (report->incarnation > machine->agent.incarnation)
    begin_incarnation (core, machine, report->incarnation);
  /* Not only when the incarnation moves on: a new leader may know the incarnation from
   * before, and read older ones in the records. */
  hr_termination_incarnations_over (core, machine, machine->agent.incarnation - 1,
                                    HR_PROOF_LATER_INCARNATION);
  note_sequence (core, machine, report);
}

/* What the report may be relied on for. To be found out before its order is noted. */
static HrHeartbeatKind
heartbeat_kind (const HrCore *core, const HrMachine *machine, const HrHeartbeat *report)
{
  /* Overtaken by a newer list, of an answer to /do perhaps, or a late copy: nothing in
   * it counts. */
  if (report->incarnation == machine->agent.incarnation &&
      report->sequence <= machine->agent.sequence)
    return HR_HEARTBEAT_OVERTAKEN;
  /* Sent before the worker heard from this leader, how long ago nobody knows: it may be a late copy
   * of a machine that is gone. Only its order counts. A worker that is there gets our token now,
   * and reports again because of it; but when, and whether we are there by then, is open: so the
   * answer has to stop now what must not run. */
  gboolean is_first_boot = machine->state == HR_MACHINE_BOOTING && machine->instance.requested_here;
  if (report->fencing_token < core->leadership.term_token && !is_first_boot)
    return HR_HEARTBEAT_BEFORE_TOKEN;
  return HR_HEARTBEAT_CURRENT;
}

/* The report is current: its list of tasks is what the machine has. */
static void
take_current_report (HrCore *core, HrMachine *machine, const HrHeartbeat *report, GArray *orders)
{
  if (machine->state != HR_MACHINE_UP || !machine->agent.last_heartbeat_at)
    admit_machine (core, machine);
  machine->agent.last_heartbeat_at = core->now;
  if (report->sequence > machine->agent.launch_answered_sequence)
    machine->agent.launch_answered_sequence = 0;
  if (report->fencing_token > machine->agent.unanswered_launch_token)
    machine->agent.unanswered_launch_token = 0;
  hr_reported_tasks_take (core, machine, report, TRUE, orders);
  hr_preemption_notice_take (core, machine, report);
}

static void
take_report (HrCore *core, HrCommand *command, HrMachine *machine, const HrHeartbeat *report)
{
  g_autoptr (GArray) orders = hr_order_list_new ();
  HrHeartbeatKind kind = heartbeat_kind (core, machine, report);
  if (kind != HR_HEARTBEAT_OVERTAKEN)
    note_incarnation (core, machine, report);
  if (kind == HR_HEARTBEAT_CURRENT)
    take_current_report (core, machine, report, orders);
  hr_lease_renewal_answer (core, command, machine, report, kind, orders);
}

/* The report in the request's body; NULL: there is none, and the request was refused. */
static HrHeartbeat *
read_report (HrCore *core, HrCommand *command)
{
  gsize len = 0;
  const char *data = command->body ? g_bytes_get_data (command->body, &len) : NULL;
  g_autoptr (GError) error = NULL;
  HrHeartbeat *report = hr_heartbeat_parse (data, len, &error);
  if (!report) {
    g_info ("a report was dropped: %s", error->message);
    core->metrics.counters.reports_malformed++;
    hr_core_refuse (core, command->id, 400, 0, error->message);
  }
  return report;
}

void
hr_heartbeat_received (HrCore *core, HrCommand *command)
{
  if (command->request.method != HR_POST) {
    hr_core_refuse (core, command->id, 405, 0, "use POST");
    return;
  }
  core->membership.contacts_in_window++;
  HrRenewalVerdict verdict = hr_renewal_check_node (core);
  if (verdict != HR_RENEWAL_ALLOWED) {
    hr_lease_renewal_refuse (core, command, NULL, verdict);
    return;
  }
  g_autoptr (HrHeartbeat) report = read_report (core, command);
  if (!report)
    return;
  verdict = hr_renewal_check_token (core, report);
  if (verdict != HR_RENEWAL_ALLOWED) {
    g_info ("%s has seen fencing token %" G_GUINT64_FORMAT ", ours is older", report->machine,
            report->fencing_token);
    hr_lease_renewal_refuse (core, command, report->machine, verdict);
    return;
  }
  HrMachine *machine = hr_machine_get (&core->store.tables, report->machine);
  verdict = hr_renewal_check_machine (core, machine, report);
  if (verdict != HR_RENEWAL_ALLOWED) {
    hr_lease_renewal_refuse (core, command, report->machine, verdict);
    return;
  }
  describe_machine (core, machine, report);
  take_report (core, command, machine, report);
}

void
hr_heartbeat_direct_answer (HrCore *core, HrMachine *machine, const HrHeartbeat *answer)
{
  if (strcmp (answer->machine, machine->name) != 0 || machine->state != HR_MACHINE_UP ||
      answer->incarnation != machine->agent.incarnation ||
      answer->sequence <= machine->agent.sequence)
    return;
  note_sequence (core, machine, answer);
  /* Not sent: the answer to the next report has them. */
  g_autoptr (GArray) orders = hr_order_list_new ();
  hr_reported_tasks_take (core, machine, answer, FALSE, orders);
}
