#include "coordination/agents/silent_machines.h"
#include "bookkeeping/replica.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/fleet.h"
#include "coordination/state.h"

/* Up to so many machines that are overdue or unreachable tell nothing about this node itself. */
#define FEW_MACHINES 2
/* Seconds beyond `silent_s` that workers are given to find a new leader, or one that was cut off.
 */
#define FIND_LEADER_S 6

/* Why a machine is returned; NULL: it is not. */
static const char *const return_reasons[] = {
    [HR_SILENCE_NONE] = NULL,
    [HR_SILENCE_WAIT] = NULL,
    [HR_SILENCE_UNREACHABLE] = "it reports, but what it is told does not reach it",
    [HR_SILENCE_NOT_LISTED] = "its worker is silent, and the cloud no longer lists it",
    [HR_SILENCE_LONG] = "its worker is silent",
};

/* How long nothing was heard of the machine's worker. A new leader counts from its start. */
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

/* The cloud's list lacks it, though no list is so old that it could not be there yet: gone,
 * most likely. No proof, but reason enough to have it deleted, which is one. */
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
  gboolean is_served = hr_replica_is_current (&core->store);
  if (silence_s (core, machine) > core->policy.overdue_s && is_missing_from_list (core, machine) &&
      is_served)
    return HR_SILENCE_NOT_LISTED;
  if (silence_s (core, machine) <= core->policy.silent_s)
    return HR_SILENCE_NONE;
  /* Past its lease a machine holds nothing that deleting it could cost. */
  if (fleet->is_early || !is_served || (fleet->is_cut_off && !hr_lease_has_expired (core, machine)))
    return HR_SILENCE_WAIT;
  return HR_SILENCE_LONG;
}

/* A machine that is being returned is answered no more, so its lease runs out like that of a silent
 * one. While the cloud answers no deletion, that is the only proof about what it held. */
static void
expire_returned_lease (HrCore *core, HrMachine *machine)
{
  if (machine->state == HR_MACHINE_DELETING && machine->tasks->len &&
      hr_lease_has_expired (core, machine))
    hr_termination_incarnations_over (core, machine, G_MAXUINT32,
                                      HR_PROOF_LEASE_EXPIRED_IN_DELETION);
}

static void
act_on_silence (HrCore *core, HrMachine *machine, HrSilenceVerdict verdict)
{
  gboolean is_silent = verdict == HR_SILENCE_WAIT || verdict == HR_SILENCE_LONG;
  if (is_silent && hr_lease_has_expired (core, machine) && machine->tasks->len)
    hr_termination_incarnations_over (core, machine, G_MAXUINT32, HR_PROOF_LEASE_EXPIRED);
  if (return_reasons[verdict])
    hr_fleet_delete (core, machine, return_reasons[verdict]);
}

/* Machines of the fleet that are up, and what is wrong with them. */
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

/* So many of the machines that are up that this node itself is the likely cause. */
static gboolean
is_large_share (const HrCore *core, guint count, guint up)
{
  return count > FEW_MACHINES && count > core->policy.silent_share * up;
}

static HrFleetSilence
fleet_silence (const HrCore *core, const FleetCounts *counts)
{
  /* Reports come spread over a period, so the first machines reach silent_s well before the rest:
   * what tells is how many are overdue by then, or they would be deleted a few at a time. */
  gboolean is_cut_off = is_large_share (core, counts->overdue, counts->up);
  /* A new leader lets workers find it first; so does one that was cut off itself, or
   * it would return every machine that the same cut kept from it. */
  double served_since = MAX (core->leadership.term_began_at, core->store.replica.current_since);
  gboolean is_early = core->now - served_since < core->policy.silent_s + FIND_LEADER_S;
  return (HrFleetSilence){is_cut_off, is_early};
}

void
hr_agents_tick (HrCore *core)
{
  if (!core->leadership.is_leader)
    return;
  FleetCounts counts = count_fleet (core);
  if (is_large_share (core, counts.unreachable, counts.up)) {
    hr_leadership_resign (core, "what this node answers reaches few workers");
    return;
  }
  HrFleetSilence silence = fleet_silence (core, &counts);
  /* Copied: a deletion may change the fleet. */
  g_autoptr (GPtrArray) fleet = g_ptr_array_copy (core->scaling.fleet, NULL, NULL);
  for (guint i = 0; i < fleet->len; i++) {
    HrMachine *machine = fleet->pdata[i];
    expire_returned_lease (core, machine);
    act_on_silence (core, machine, hr_silence_verdict (core, machine, &silence));
  }
}
