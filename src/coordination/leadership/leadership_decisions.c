#include "coordination/leadership/leadership_decisions.h"
#include "coordination/membership/attestation.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"

/* A leader ignores a peer that knows of a newer leader record while its own latest successful read
 * is no older than this. */
#define OWN_READ_RECENT_S 1.5
/* A node that starts an election must have read the store within this time. With an older read the
 * write would most likely fail because its condition is outdated. */
#define ELECTION_MAX_READ_AGE_S 2.0
/* For this long after the lock was deleted, or after the store answers again, other members start
 * no election while the current leader is still running. */
#define INCUMBENT_PREFERENCE_S 2.0
/* Minimum time between two raises, so that a series of unanswered orders does not use up the rate
 * limit for changes of the store. */
#define TOKEN_RAISE_INTERVAL_S 3.0
/* A single silent worker is more likely to have failed itself than to show that the leader is
 * unreachable, and a single heartbeat at another controller may be a stray one. */
#define RESIGN_MIN_MACHINES 2
#define RESIGN_MIN_PEER_CONTACTS 2
/* After a store outage for all controllers, workers may try the other controllers first, so two
 * whole windows of heartbeat counts pass before the counts are compared. */
#define RESIGN_MIN_OBSERVATION_S (2 * HR_CONTACT_WINDOW_S)

/* hold_s limits how long a leader may answer workers without a successful read or an attestation by
 * all other members that they know of no newer leader and of no cancellation that it lacks. It
 * answers that long because in a store outage for all controllers workers would lose their tasks
 * for no reason. A leader that is cut off from both the members and the store stops after alone_s:
 * another controller leads by then, and workers that still get answers from this node do not look
 * for the new leader. */
HrAnswerVerdict
hr_leadership_answer_verdict (const HrCore *core)
{
  if (!core->leadership.is_leader)
    return HR_ANSWER_NOT_LEADER;
  double confirmed_at = MAX (core->store.replica.confirmed_at, hr_attestation_valid_until (core));
  double age = core->now - confirmed_at;
  if (age > core->policy.hold_s)
    return HR_ANSWER_LAST_READ_TOO_OLD;
  if (age > core->policy.alone_s && !hr_membership_store_outage_for_all (core))
    return HR_ANSWER_ISOLATED;
  return HR_ANSWER_ALLOWED;
}

HrTermVerdict
hr_leadership_term_verdict (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  gboolean names_this_process =
      leadership->record_revision &&
      g_strcmp0 (leadership->leader_incarnation, core->incarnation) == 0 &&
      leadership->fencing_token > leadership->resigned_token;
  if (names_this_process == leadership->is_leader)
    return HR_TERM_UNCHANGED;
  return names_this_process ? HR_TERM_BEGINS : HR_TERM_ENDS;
}

/* Checks whether the leader that the leader record names is running and has only lost its lock, for
 * example because the store answered no controller. It retakes the lock at once; a change of leader
 * would cost time, since the next leader has to prove which tasks have ended. */
static gboolean
incumbent_returns (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  if (leadership->is_leader || core->now - leadership->lock_free_since > INCUMBENT_PREFERENCE_S)
    return FALSE;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (hr_membership_peer_is_fresh (core, peer) && peer->status.is_leader &&
        g_strcmp0 (peer->status.incarnation, leadership->leader_incarnation) == 0)
      return peer->status.store_reachable ||
             core->now - core->store.replica.current_since < INCUMBENT_PREFERENCE_S;
  }
  return FALSE;
}

/* A lock with this node's label and another incarnation belongs to a process that has ended. */
static gboolean
lock_held_by_previous_process (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  return leadership->lock_revision &&
         g_strcmp0 (leadership->lock_label, core->settings->label) == 0 &&
         g_strcmp0 (leadership->lock_incarnation, core->incarnation) != 0;
}

HrElectionVerdict
hr_leadership_election_verdict (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  if (leadership->lock_revision && !lock_held_by_previous_process (core))
    return HR_ELECTION_LOCK_HELD;
  if (leadership->election_in_flight)
    return HR_ELECTION_IN_FLIGHT;
  if (core->now < leadership->next_election_at)
    return HR_ELECTION_WAITING;
  if (core->now < leadership->resign_backoff_until)
    return HR_ELECTION_RESIGNED_RECENTLY;
  if (core->now - core->store.replica.confirmed_at > ELECTION_MAX_READ_AGE_S)
    return HR_ELECTION_LAST_READ_TOO_OLD;
  if (!core->scaling.machine_types)
    return HR_ELECTION_MACHINE_TYPES_UNKNOWN;
  if (incumbent_returns (core))
    return HR_ELECTION_INCUMBENT_RETURNS;
  return HR_ELECTION_START;
}

HrLockLeaseVerdict
hr_leadership_lock_lease_verdict (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  double ttl_s = core->policy.leader_lease_s;
  if (!leadership->lock_lease_id)
    return HR_LOCK_LEASE_KEEP;
  if (!leadership->is_leader && !leadership->election_in_flight)
    return core->now - leadership->lock_lease_renewed_at > ttl_s ? HR_LOCK_LEASE_EXPIRED
                                                                 : HR_LOCK_LEASE_KEEP;
  if (!leadership->lock_lease_renewal_in_flight &&
      core->now - leadership->lock_lease_renewal_sent_at > ttl_s / HR_LOCK_LEASE_RENEWALS)
    return HR_LOCK_LEASE_RENEW;
  return HR_LOCK_LEASE_KEEP;
}

HrTokenRaiseVerdict
hr_leadership_token_raise_verdict (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  if (!leadership->token_raise_wanted)
    return HR_TOKEN_RAISE_NOT_WANTED;
  if (leadership->token_raise_in_flight)
    return HR_TOKEN_RAISE_IN_FLIGHT;
  if (leadership->election_in_flight)
    return HR_TOKEN_RAISE_ELECTION_IN_FLIGHT;
  if (core->now - leadership->token_raised_at < TOKEN_RAISE_INTERVAL_S)
    return HR_TOKEN_RAISE_TOO_SOON;
  if (core->store.replica.is_unavailable)
    return HR_TOKEN_RAISE_STORE_UNAVAILABLE;
  return HR_TOKEN_RAISE_NOW;
}

/* Returns the largest number of recent heartbeats at any other controller that could lead. */
static guint
max_peer_contacts (const HrCore *core)
{
  guint most = 0;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (hr_membership_may_lead (core, peer))
      most = MAX (most, peer->status.worker_contacts);
  }
  return most;
}

HrResignVerdict
hr_leadership_resign_verdict (const HrCore *core)
{
  guint n_up = 0, n_heard = 0;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    const HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state != HR_MACHINE_UP)
      continue;
    n_up++;
    n_heard += core->now - machine->agent.last_heartbeat_at < core->policy.overdue_s;
  }
  if (n_up < RESIGN_MIN_MACHINES)
    return HR_KEEP_TERM_TOO_FEW_MACHINES;
  if (n_heard)
    return HR_KEEP_TERM_WORKER_HEARD;
  if (max_peer_contacts (core) < RESIGN_MIN_PEER_CONTACTS)
    return HR_KEEP_TERM_NO_BETTER_LEADER;
  double since = MAX (core->leadership.term_began_at, core->store.replica.current_since);
  if (core->now - since < RESIGN_MIN_OBSERVATION_S)
    return HR_KEEP_TERM_TOO_EARLY;
  return HR_RESIGN_UNREACHED;
}

gboolean
hr_leadership_successor_exists (const HrCore *core)
{
  for (guint i = 0; i < core->membership.peers->len; i++)
    if (hr_membership_may_lead (core, &g_array_index (core->membership.peers, HrPeer, i)))
      return TRUE;
  return FALSE;
}

/* If a peer whose reads of the store succeed has read a newer leader record, and this node, which
 * still considers itself the leader, has not, then the store does not answer this node. It steps
 * down at once. */
HrStepDownVerdict
hr_leadership_step_down_verdict (const HrCore *core, const HrPeerStatus *status)
{
  if (!core->leadership.is_leader)
    return HR_IGNORE_PEER_NOT_LEADER;
  if (!status->store_reachable)
    return HR_IGNORE_PEER_STORE_UNREACHABLE;
  if (status->fencing_token <= core->leadership.fencing_token)
    return HR_IGNORE_PEER_NO_NEWER_TOKEN;
  if (core->now - core->store.replica.confirmed_at <= OWN_READ_RECENT_S)
    return HR_IGNORE_PEER_OWN_READ_RECENT;
  return HR_STEP_DOWN_NEWER_LEADER;
}
