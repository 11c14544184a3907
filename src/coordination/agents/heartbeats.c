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

/* An incarnation that ends at most this many seconds before its lease may have ended because the
 * lease expired. */
#define LEASE_END_MARGIN_S 1

/* Sets the machine's type, zone and address. The type is known: hr_renewal_check_machine() checks
 * it. */
static void
describe_machine (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  guint32 type = hr_intern_find (&core->names->types, heartbeat->type);
  hr_machine_set_type (machine, hr_machine_type_find (core, type),
                       hr_intern (&core->names->zones, heartbeat->zone), heartbeat->is_spot);
  if (g_strcmp0 (machine->address, heartbeat->address) != 0) {
    g_free (machine->address);
    machine->address = g_strdup (heartbeat->address);
  }
}

static void
admit_machine (HrCore *core, HrMachine *machine)
{
  if (machine->state == HR_MACHINE_GONE) {
    g_info ("machine %s sent a heartbeat but was not in the fleet; adding it", machine->name);
    hr_fleet_add (core, machine);
  } else if (machine->state == HR_MACHINE_BOOTING)
    g_info ("machine %s is up after %.0f s", machine->name,
            core->now - machine->instance.requested_at);
  machine->state = HR_MACHINE_UP;
  machine->idle_since = machine->tasks->len ? 0 : core->now;
  core->scheduling.plan_is_stale = TRUE;
}

/* Detects, when the machine's previous incarnation has ended, that answers do not reach its worker.
 * An incarnation that ends before the lease renewed by the last answer shows that the worker did
 * not receive that answer, though its heartbeats arrive. A single case may also be a heartbeat that
 * a network partition delayed; delayed heartbeats arrive in a burst, not a lease apart. */
static void
detect_unreceived_answer (HrCore *core, HrMachine *machine)
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
  gboolean is_in_burst =
      !is_first && core->now - agent->response_missed_at <= core->settings->lease_s / 2;
  if (is_in_burst)
    return;
  if (!is_first)
    agent->unreachable_at = core->now;
  agent->response_missed_at = core->now;
}

static void
begin_incarnation (HrCore *core, HrMachine *machine, guint64 incarnation)
{
  detect_unreceived_answer (core, machine);
  machine->agent.incarnation = incarnation;
  /* Orders to the previous incarnation are void. */
  machine->agent.launch_answered_sequence = 0;
  machine->agent.unanswered_launch_token = 0;
  g_array_set_size (machine->agent.direct_launches, 0);
}

/* Records the message as the newest one of its worker's incarnation. */
static void
record_sequence (HrCore *core, HrMachine *machine, const HrHeartbeat *message)
{
  machine->agent.sequence = message->sequence;
  machine->agent.sequence_at = core->now;
  machine->agent.fencing_token = MAX (machine->agent.fencing_token, message->fencing_token);
}

/* Records the heartbeat as the newest message of its worker, and ends earlier incarnations. */
static void
record_incarnation (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  if (heartbeat->incarnation > machine->agent.incarnation)
    begin_incarnation (core, machine, heartbeat->incarnation);
  /* Done even if the incarnation is unchanged: a new leader may know it from before its term, and
   * read tasks of older incarnations in the records. */
  hr_termination_end_incarnations (core, machine, machine->agent.incarnation - 1,
                                   HR_PROOF_LATER_INCARNATION);
  record_sequence (core, machine, heartbeat);
}

/* Decides how far the heartbeat may be relied on. Called before its incarnation and sequence number
 * are recorded. */
static HrHeartbeatKind
classify_heartbeat (const HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat)
{
  /* A newer message arrived first, perhaps an answer to /do, or this is a late copy: nothing in the
   * heartbeat counts. */
  if (heartbeat->incarnation == machine->agent.incarnation &&
      heartbeat->sequence <= machine->agent.sequence)
    return HR_HEARTBEAT_SUPERSEDED;
  /* The heartbeat was sent before the worker heard from this leader, at an unknown time: it may be
   * a late copy from a machine that no longer exists. Only its incarnation and sequence number
   * count. A worker that is alive gets the new token with the answer and then sends another
   * heartbeat, but at an unknown time, and another controller may lead by then. So this answer
   * already has to stop the tasks that must not run. */
  gboolean is_first_boot = machine->state == HR_MACHINE_BOOTING && machine->instance.requested_here;
  if (heartbeat->fencing_token < core->leadership.term_token && !is_first_boot)
    return HR_HEARTBEAT_BEFORE_TOKEN;
  return HR_HEARTBEAT_CURRENT;
}

/* Applies a current heartbeat, which lists all tasks that the machine has. */
static void
apply_current_heartbeat (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat,
                         GArray *orders)
{
  if (machine->state != HR_MACHINE_UP || !machine->agent.last_heartbeat_at)
    admit_machine (core, machine);
  machine->agent.last_heartbeat_at = core->now;
  if (heartbeat->sequence > machine->agent.launch_answered_sequence)
    machine->agent.launch_answered_sequence = 0;
  if (heartbeat->fencing_token > machine->agent.unanswered_launch_token)
    machine->agent.unanswered_launch_token = 0;
  hr_reported_tasks_apply (core, machine, heartbeat, TRUE, orders);
  hr_preemption_notice_handle (core, machine, heartbeat);
}

static void
handle_heartbeat (HrCore *core, HrCommand *command, HrMachine *machine,
                  const HrHeartbeat *heartbeat)
{
  g_autoptr (GArray) orders = hr_order_list_new ();
  HrHeartbeatKind kind = classify_heartbeat (core, machine, heartbeat);
  if (kind != HR_HEARTBEAT_SUPERSEDED)
    record_incarnation (core, machine, heartbeat);
  if (kind == HR_HEARTBEAT_CURRENT)
    apply_current_heartbeat (core, machine, heartbeat, orders);
  hr_lease_renewal_answer (core, command, machine, heartbeat, kind, orders);
}

/* Parses the heartbeat in the request's body. Refuses the request and returns NULL if it is missing
 * or malformed. */
static HrHeartbeat *
parse_request (HrCore *core, HrCommand *command)
{
  gsize len = 0;
  const char *data = command->body ? g_bytes_get_data (command->body, &len) : NULL;
  g_autoptr (GError) error = NULL;
  HrHeartbeat *heartbeat = hr_heartbeat_parse (data, len, &error);
  if (!heartbeat) {
    hr_refusal_record (core, HR_REFUSAL_REPORT, NULL, error->message);
    hr_core_refuse (core, command->id, 400, 0, error->message);
  }
  return heartbeat;
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
  g_autoptr (HrHeartbeat) heartbeat = parse_request (core, command);
  if (!heartbeat)
    return;
  verdict = hr_renewal_check_token (core, heartbeat);
  if (verdict != HR_RENEWAL_ALLOWED) {
    g_info ("the worker of machine %s has seen fencing token %" G_GUINT64_FORMAT
            ", newer than this node's",
            heartbeat->machine, heartbeat->fencing_token);
    hr_lease_renewal_refuse (core, command, heartbeat->machine, verdict);
    return;
  }
  HrMachine *machine = hr_machine_get (&core->store.tables, heartbeat->machine);
  verdict = hr_renewal_check_machine (core, machine, heartbeat);
  if (verdict != HR_RENEWAL_ALLOWED) {
    hr_lease_renewal_refuse (core, command, heartbeat->machine, verdict);
    return;
  }
  describe_machine (core, machine, heartbeat);
  handle_heartbeat (core, command, machine, heartbeat);
}

void
hr_heartbeat_direct_answer_received (HrCore *core, HrMachine *machine, const HrHeartbeat *answer)
{
  if (strcmp (answer->machine, machine->name) != 0 || machine->state != HR_MACHINE_UP ||
      answer->incarnation != machine->agent.incarnation ||
      answer->sequence <= machine->agent.sequence)
    return;
  record_sequence (core, machine, answer);
  /* These orders are not sent: the answer to the next heartbeat contains them. */
  g_autoptr (GArray) orders = hr_order_list_new ();
  hr_reported_tasks_apply (core, machine, answer, FALSE, orders);
}
