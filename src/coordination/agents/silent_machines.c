#include "coordination/agents/silent_machines.h"
#include "bookkeeping/replica.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/fleet.h"
#include "coordination/state.h"

/* Up to this many overdue or unreachable machines do not indicate a fault of this node. */
#define INSIGNIFICANT_COUNT 2
/* Seconds beyond `silent_s` that workers get to find a new leader, or one that was cut off from the
 * store. */
#define LEADER_DISCOVERY_S 6

/* Why a machine is returned, for the log; NULL if it is not returned. */
static const char *const return_reasons[] = {
    [HR_SILENCE_NONE] = NULL,
    [HR_SILENCE_WAIT] = NULL,
    [HR_SILENCE_UNREACHABLE] = "it sends heartbeats, but does not receive the answers",
    [HR_SILENCE_NOT_LISTED] = "its worker is silent, and the cloud no longer lists it",
    [HR_SILENCE_LONG] = "its worker is silent",
};

/* Returns the seconds since the last heartbeat of the machine's worker, counted from the start of
 * the term at the earliest. */
static double
silence_s (const HrCore *core, const HrMachine *machine)
{
  return core->now - MAX (machine->agent.last_heartbeat_at, core->leadership.term_began_at);
}

static gboolean
is_unreachable_now (const HrCore *core, const HrMachine *machine)
{
  return machine->agent.unreachable_at > 0 &&
         core->now - machine->agent.unreachable_at < core->settings->lease_s;
}

/* Returns whether the cloud's latest list lacks the machine, although the machine has been known
 * for more than twice the list's lag. The machine most likely no longer exists. That does not
 * prove that its tasks have ended, but it justifies a deletion request, and the confirmation of the
 * deletion proves it. */
static gboolean
is_missing_from_list (const HrCore *core, const HrMachine *machine)
{
  return machine->instance.listed_at < core->scaling.listed_at &&
         core->scaling.listed_at >
             machine->instance.in_fleet_since + 2 * core->settings->list_lag_s;
}

HrSilenceVerdict
hr_silence_verdict (const HrCore *core, const HrMachine *machine, const HrFleetSilence *fleet)
{
  if (machine->state != HR_MACHINE_UP)
    return HR_SILENCE_NONE;
  if (is_unreachable_now (core, machine))
    return HR_SILENCE_UNREACHABLE;
  gboolean store_is_current = hr_replica_is_current (&core->store);
  if (silence_s (core, machine) > core->policy.overdue_s && is_missing_from_list (core, machine) &&
      store_is_current)
    return HR_SILENCE_NOT_LISTED;
  if (silence_s (core, machine) <= core->policy.silent_s)
    return HR_SILENCE_NONE;
  /* Once its lease has expired, a machine runs no task that its deletion could lose. */
  if (fleet->is_grace_period || !store_is_current ||
      (fleet->is_node_isolated && !hr_lease_has_expired (core, machine)))
    return HR_SILENCE_WAIT;
  return HR_SILENCE_LONG;
}

/* If the machine is being returned and its lease has expired, ends its tasks. Its heartbeats get no
 * answers that renew the lease, so the lease runs out like that of a silent machine. Until the
 * cloud answers the deletion, this is the only proof that its tasks do not run. */
static void
expire_returned_lease (HrCore *core, HrMachine *machine)
{
  if (machine->state == HR_MACHINE_DELETING && machine->tasks->len &&
      hr_lease_has_expired (core, machine))
    hr_termination_end_incarnations (core, machine, G_MAXUINT64,
                                     HR_PROOF_LEASE_EXPIRED_IN_DELETION);
}

static void
act_on_silence (HrCore *core, HrMachine *machine, HrSilenceVerdict verdict)
{
  gboolean is_silent = verdict == HR_SILENCE_WAIT || verdict == HR_SILENCE_LONG;
  if (is_silent && hr_lease_has_expired (core, machine) && machine->tasks->len)
    hr_termination_end_incarnations (core, machine, G_MAXUINT64, HR_PROOF_LEASE_EXPIRED);
  if (return_reasons[verdict])
    hr_fleet_request_deletion (core, machine, return_reasons[verdict]);
}

/* Numbers of machines that are up, and of the overdue and unreachable ones among them. */
typedef struct {
  guint up, overdue, unreachable;
} FleetCounts;

static FleetCounts
count_fleet (const HrCore *core)
{
  FleetCounts counts = {0};
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    const HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state != HR_MACHINE_UP)
      continue;
    counts.up++;
    counts.overdue += silence_s (core, machine) > core->policy.overdue_s;
    counts.unreachable += is_unreachable_now (core, machine);
  }
  return counts;
}

/* Returns whether @count of @up machines are so many that a fault of this node is the likely
 * cause. */
static gboolean
is_large_share (const HrCore *core, guint count, guint up)
{
  return count > INSIGNIFICANT_COUNT && count > core->policy.silent_share * up;
}

static HrFleetSilence
fleet_silence (const HrCore *core, const FleetCounts *counts)
{
  /* Heartbeats are spread over a period, so the first machines reach silent_s well before the rest.
   * The machines that are overdue by then are counted, or they would be deleted a few at a time. */
  gboolean is_node_isolated = is_large_share (core, counts->overdue, counts->up);
  /* A new leader first gives workers time to find it. So does a leader that was itself cut off from
   * the store: otherwise it would return every machine from which the same partition cut it off. */
  double grace_began_at = MAX (core->leadership.term_began_at, core->store.replica.current_since);
  gboolean is_grace_period =
      core->now - grace_began_at < core->policy.silent_s + LEADER_DISCOVERY_S;
  return (HrFleetSilence){is_node_isolated, is_grace_period};
}

void
hr_agents_tick (HrCore *core)
{
  if (!core->leadership.is_leader)
    return;
  FleetCounts counts = count_fleet (core);
  if (is_large_share (core, counts.unreachable, counts.up)) {
    hr_leadership_resign (core, "too few workers receive this node's answers");
    return;
  }
  HrFleetSilence silence = fleet_silence (core, &counts);
  /* Iterates over a copy because a deletion may change the fleet. */
  g_autoptr (GPtrArray) fleet = g_ptr_array_copy (core->scaling.fleet, NULL, NULL);
  for (guint i = 0; i < fleet->len; i++) {
    HrMachine *machine = fleet->pdata[i];
    expire_returned_lease (core, machine);
    act_on_silence (core, machine, hr_silence_verdict (core, machine, &silence));
  }
}
