#include "coordination/agents/lease_renewal.h"
#include "coordination/agents/orders.h"
#include "coordination/effects.h"
#include "coordination/invariant.h"
#include "coordination/state.h"
#include "protocol/worker.h"

static const char *const kind_names[] = {
    [HR_HEARTBEAT_CURRENT] = "current",
    [HR_HEARTBEAT_OVERTAKEN] = "overtaken",
    [HR_HEARTBEAT_BEFORE_TOKEN] = "before_token",
};

#define NOT_ENTITLED "this node may not act for the controllers now"
#define MACHINE_NOT_ANSWERED "this machine is being returned, or not known yet"
#define ORDER_MAY_COME "an order to this worker may still come"

#define COUNTER(suffix) offsetof (HrCounters, reports_refused_##suffix)

/* What the worker reads in a refusal, and which counter counts it, by HrRenewalVerdict. */
static const struct {
  const char *text;
  gsize counter; /* offset in HrCounters */
} refusals[] = {
    [HR_RENEWAL_NOT_LEADER] = {NOT_ENTITLED, COUNTER (not_entitled)},
    [HR_RENEWAL_READING_TOO_OLD] = {NOT_ENTITLED, COUNTER (not_entitled)},
    [HR_RENEWAL_NEWER_TOKEN] = {"a newer baton is about", COUNTER (token)},
    [HR_RENEWAL_MACHINE_RETURNED] = {MACHINE_NOT_ANSWERED, COUNTER (machine)},
    [HR_RENEWAL_EARLIER_INCARNATION] = {MACHINE_NOT_ANSWERED, COUNTER (machine)},
    [HR_RENEWAL_TYPE_UNKNOWN] = {MACHINE_NOT_ANSWERED, COUNTER (machine)},
    [HR_RENEWAL_LAUNCH_MAY_COME] = {ORDER_MAY_COME, COUNTER (order)},
    [HR_RENEWAL_STOP_NOT_NAMED] = {ORDER_MAY_COME, COUNTER (order)},
};

/* Is the label in the leader record that of one of the controllers? */
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
                               const HrHeartbeat *report, const GArray *orders)
{
  char *missing;
  hr_renewal_check_orders (core, machine, report, orders, &missing);
  return missing;
}

/* Appends the required stops that the orders do not name yet. */
static void
append_required_stops (HrCore *core, const HrMachine *machine, const HrHeartbeat *report,
                       GArray *orders)
{
  g_autoptr (GArray) stops = hr_renewal_required_stops (core, machine, report);
  for (guint i = 0; i < stops->len; i++) {
    const HrOrder *stop = &g_array_index (stops, HrOrder, i);
    if (!hr_orders_name_stop (orders, stop->job, stop->task, stop->attempt))
      hr_orders_stop (core, machine, orders, stop->job, stop->task, stop->attempt,
                      HR_STOP_REASON_JOB_OVER);
  }
}

/* The check that must never fail: see the invariant in the header. */
static HrRenewalVerdict
check_finished_orders (HrCore *core, const HrMachine *machine, const HrHeartbeat *report,
                       HrHeartbeatKind kind, const GArray *orders)
{
  g_autofree char *missing = NULL;
  HrRenewalVerdict verdict = hr_renewal_check_orders (core, machine, report, orders, &missing);
  if (verdict != HR_RENEWAL_ALLOWED)
    hr_invariant_violated (core,
                           "a lease would be renewed without a stop: machine=%s task=%s kind=%s "
                           "token=%" G_GUINT64_FORMAT,
                           machine->name, missing, kind_names[kind],
                           core->leadership.fencing_token);
  return verdict;
}

/* From when on the worker's lease counts, by our clock, if it gets this answer. */
static double
lease_counts_from (const HrCore *core, const HrMachine *machine, HrHeartbeatKind kind)
{
  /* Should the worker still wait for the answer to an overtaken report, it sent that before the
   * newer message came to us. */
  return kind == HR_HEARTBEAT_OVERTAKEN
             ? MAX (machine->agent.lease_renewed_at, machine->agent.sequence_at)
             : core->now;
}

static void
log_answer (const HrCore *core, const HrMachine *machine, const HrHeartbeat *report,
            HrHeartbeatKind kind, const GArray *orders)
{
  if (kind == HR_HEARTBEAT_CURRENT && !orders->len)
    return;
  g_debug ("answer: machine=%s kind=%s seq=%" G_GUINT64_FORMAT " incarnation=%" G_GUINT64_FORMAT
           " token=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT
           " tasks=%u stops=%u launches=%u clears=%u",
           machine->name, kind_names[kind], report->sequence, report->incarnation,
           core->leadership.fencing_token, report->fencing_token, report->tasks->len,
           hr_orders_count (orders, HR_ORDER_STOP), hr_orders_count (orders, HR_ORDER_LAUNCH),
           hr_orders_count (orders, HR_ORDER_CLEAR));
}

/* Renews the lease: the answer of 200. */
static void
renew (HrCore *core, HrCommand *command, HrMachine *machine, const HrHeartbeat *report,
       HrHeartbeatKind kind, const GArray *orders)
{
  machine->agent.lease_renewed_at = lease_counts_from (core, machine, kind);
  hr_histogram_add (&core->metrics.renewal_age, core->now - core->store.replica.confirmed_at);
  core->metrics.counters.reports_answered += kind == HR_HEARTBEAT_CURRENT;
  core->metrics.counters.reports_superseded += kind == HR_HEARTBEAT_OVERTAKEN;
  core->metrics.counters.reports_before_token += kind == HR_HEARTBEAT_BEFORE_TOKEN;
  log_answer (core, machine, report, kind, orders);
  json_t *body = hr_heartbeat_answer (core->leadership.fencing_token, orders);
  hr_core_reply (core, command->id, 200, body, 0);
}

void
hr_lease_renewal_answer (HrCore *core, HrCommand *command, HrMachine *machine,
                         const HrHeartbeat *report, HrHeartbeatKind kind, GArray *orders)
{
  HrRenewalVerdict verdict = hr_renewal_check_launches (core, machine);
  if (verdict == HR_RENEWAL_ALLOWED) {
    if (kind == HR_HEARTBEAT_CURRENT && hr_orders_recorded (core, machine, orders, FALSE))
      machine->agent.launch_answered_sequence = report->sequence;
    append_required_stops (core, machine, report, orders);
    verdict = check_finished_orders (core, machine, report, kind, orders);
  }
  if (verdict == HR_RENEWAL_ALLOWED)
    renew (core, command, machine, report, kind, orders);
  else
    hr_lease_renewal_refuse (core, command, machine->name, verdict);
}
