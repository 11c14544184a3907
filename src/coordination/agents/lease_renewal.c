#include "coordination/agents/lease_renewal.h"
#include "coordination/agents/orders.h"
#include "coordination/effects.h"
#include "coordination/invariant.h"
#include "coordination/state.h"
#include "protocol/worker.h"

static const char *const kind_names[] = {
    [HR_HEARTBEAT_CURRENT] = "current",
    [HR_HEARTBEAT_SUPERSEDED] = "overtaken",
    [HR_HEARTBEAT_BEFORE_TOKEN] = "before_token",
};

#define NODE_NOT_ENTITLED "this node may not act for the controllers now"
#define MACHINE_REFUSED "this machine is being returned, or not known yet"
#define LAUNCH_OUTSTANDING "an order to this worker may still come"

#define COUNTER(suffix) offsetof (HrCounters, reports_refused_##suffix)

/* The error text for the worker and the counter of each refusal, by HrRenewalVerdict. */
static const struct {
  const char *text;
  gsize counter; /* offset in HrCounters */
} refusals[] = {
    [HR_RENEWAL_NOT_LEADER] = {NODE_NOT_ENTITLED, COUNTER (not_entitled)},
    [HR_RENEWAL_READ_TOO_OLD] = {NODE_NOT_ENTITLED, COUNTER (not_entitled)},
    [HR_RENEWAL_NEWER_TOKEN] = {"a newer baton is about", COUNTER (token)},
    [HR_RENEWAL_MACHINE_RETURNED] = {MACHINE_REFUSED, COUNTER (machine)},
    [HR_RENEWAL_EARLIER_INCARNATION] = {MACHINE_REFUSED, COUNTER (machine)},
    [HR_RENEWAL_TYPE_UNKNOWN] = {MACHINE_REFUSED, COUNTER (machine)},
    [HR_RENEWAL_LAUNCH_OUTSTANDING] = {LAUNCH_OUTSTANDING, COUNTER (order)},
    [HR_RENEWAL_STOP_MISSING] = {LAUNCH_OUTSTANDING, COUNTER (order)},
};

/* Returns whether the label in the leader record is that of a configured controller. */
static gboolean
leader_is_known (const HrCore *core)
{
  for (guint i = 0; i < core->settings->members->len; i++) {
    const HrMember *member = &g_array_index (core->settings->members, HrMember, i);
    if (g_strcmp0 (member->label, core->leadership.leader_label) == 0)
      return TRUE;
  }
  return FALSE;
}

void
hr_lease_renewal_refuse (HrCore *core, HrCommand *command, const char *machine_name,
                         HrRenewalVerdict verdict)
{
  G_STRUCT_MEMBER (guint64, &core->metrics.counters, refusals[verdict].counter)++;
  g_debug ("refused: machine=%s reason=%s leads=%d token=%" G_GUINT64_FORMAT " reading_age=%.2f",
           machine_name ? machine_name : "-", hr_renewal_verdict_name (verdict),
           core->leadership.is_leader, core->leadership.fencing_token,
           core->now - core->store.replica.confirmed_at);
  if (verdict == HR_RENEWAL_NOT_LEADER && leader_is_known (core))
    hr_core_reply (core, command->id, 421, hr_redirect_answer (core->leadership.leader_label), 0);
  else
    hr_core_refuse (core, command->id, 503, 0, refusals[verdict].text);
}

char *
hr_lease_renewal_missing_stop (const HrCore *core, const HrMachine *machine,
                               const HrHeartbeat *heartbeat, const GArray *orders)
{
  char *missing;
  hr_renewal_check_orders (core, machine, heartbeat, orders, &missing);
  return missing;
}

/* Appends the required stops that the orders do not contain yet. */
static void
append_required_stops (HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat,
                       GArray *orders)
{
  g_autoptr (GArray) stops = hr_renewal_required_stops (core, machine, heartbeat);
  for (guint i = 0; i < stops->len; i++) {
    const HrOrder *stop = &g_array_index (stops, HrOrder, i);
    if (!hr_orders_contain_stop (orders, stop->job, stop->task, stop->attempt))
      hr_orders_append_stop (core, machine, orders, stop->job, stop->task, stop->attempt,
                             HR_STOP_REASON_JOB_FINAL);
  }
}

/* Checks the invariant of lease_renewal.h. A failure is a bug in this program. */
static HrRenewalVerdict
check_finished_orders (HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat,
                       HrHeartbeatKind kind, const GArray *orders)
{
  g_autofree char *missing = NULL;
  HrRenewalVerdict verdict = hr_renewal_check_orders (core, machine, heartbeat, orders, &missing);
  if (verdict != HR_RENEWAL_ALLOWED)
    hr_invariant_violated (core,
                           "a lease would be renewed without a stop: machine=%s task=%s kind=%s "
                           "token=%" G_GUINT64_FORMAT,
                           machine->name, missing, kind_names[kind],
                           core->leadership.fencing_token);
  return verdict;
}

/* Returns when, by this node's clock, the worker's lease starts if it receives this answer. */
static double
lease_start (const HrCore *core, const HrMachine *machine, HrHeartbeatKind kind)
{
  /* A worker that still waits for the answer to a superseded heartbeat sent it before the newer
   * message arrived here. */
  return kind == HR_HEARTBEAT_SUPERSEDED
             ? MAX (machine->agent.lease_renewed_at, machine->agent.sequence_at)
             : core->now;
}

static void
log_answer (const HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat,
            HrHeartbeatKind kind, const GArray *orders)
{
  if (kind == HR_HEARTBEAT_CURRENT && !orders->len)
    return;
  g_debug ("answer: machine=%s kind=%s seq=%" G_GUINT64_FORMAT " incarnation=%" G_GUINT64_FORMAT
           " token=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT
           " tasks=%u stops=%u launches=%u clears=%u",
           machine->name, kind_names[kind], heartbeat->sequence, heartbeat->incarnation,
           core->leadership.fencing_token, heartbeat->fencing_token, heartbeat->tasks->len,
           hr_orders_count (orders, HR_ORDER_STOP), hr_orders_count (orders, HR_ORDER_LAUNCH),
           hr_orders_count (orders, HR_ORDER_CLEAR));
}

/* Renews the lease by answering with status 200. */
static void
renew (HrCore *core, HrCommand *command, HrMachine *machine, const HrHeartbeat *heartbeat,
       HrHeartbeatKind kind, const GArray *orders)
{
  machine->agent.lease_renewed_at = lease_start (core, machine, kind);
  hr_histogram_add (&core->metrics.renewal_age, core->now - core->store.replica.confirmed_at);
  core->metrics.counters.reports_answered += kind == HR_HEARTBEAT_CURRENT;
  core->metrics.counters.reports_superseded += kind == HR_HEARTBEAT_SUPERSEDED;
  core->metrics.counters.reports_before_token += kind == HR_HEARTBEAT_BEFORE_TOKEN;
  log_answer (core, machine, heartbeat, kind, orders);
  hr_core_reply_json (core, command->id, 200,
                      hr_orders_text (core->leadership.fencing_token, 0, orders));
}

void
hr_lease_renewal_answer (HrCore *core, HrCommand *command, HrMachine *machine,
                         const HrHeartbeat *heartbeat, HrHeartbeatKind kind, GArray *orders)
{
  HrRenewalVerdict verdict = hr_renewal_check_launches (core, machine);
  if (verdict == HR_RENEWAL_ALLOWED) {
    if (kind == HR_HEARTBEAT_CURRENT && hr_orders_append_recorded (core, machine, orders, FALSE))
      machine->agent.launch_answered_sequence = heartbeat->sequence;
    append_required_stops (core, machine, heartbeat, orders);
    verdict = check_finished_orders (core, machine, heartbeat, kind, orders);
  }
  if (verdict == HR_RENEWAL_ALLOWED)
    renew (core, command, machine, heartbeat, kind, orders);
  else
    hr_lease_renewal_refuse (core, command, machine->name, verdict);
}
