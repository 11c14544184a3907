#include "coordination/leadership/leadership_decisions.h"
#include "coordination/membership/attestation.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"

/* A leader whose latest read is older believes a peer that knows of a newer leader record. */
#define UNCONFIRMED_S 1.5
/* Who stands for election has read the store within this time. Otherwise the write would most
 * likely fail on an outdated condition. */
#define ELECTION_MAX_READ_AGE_S 2.0
/* For so long after the lock was lost, or after the store answers again, others leave it to an
 * incumbent that is still there. */
#define INCUMBENT_PREFERENCE_S 2.0
/* Between two raises, so that a run of orders without an answer does not use up the allowance for
 * changes. */
#define TOKEN_RAISE_INTERVAL_S 3.0
/* The silence of a single worker says more about it than about us, and one heartbeat elsewhere may
 * be a stray one. */
#define RESIGN_MIN_MACHINES 2
#define RESIGN_MIN_CONTACTS_ELSEWHERE 2
/* After an outage for all, workers may try the other controllers first: two whole windows of
 * contacts pass before their counts are compared. */
#define RESIGN_MIN_SERVED_S (2 * HR_CONTACT_WINDOW_S)

/* hold_s bounds how long a leader may answer without a read, or without the attestation of all
 * other members that they have none to go by either: in an outage for them all, workers would lose
 * their tasks for nothing. A leader that is cut off from members and store alike stops sooner:
 * another one leads by then, and as long as its workers still hear this one they do not look for
 * that one. */
HrAnswerVerdict
hr_leadership_answer_verdict (const HrCore *core)
{
  if (!core->leadership.is_leader)
    return HR_ANSWER_NOT_LEADER;
  double confirmed_at = MAX (core->store.replica.confirmed_at, hr_attestation_valid_until (core));
  double age = core->now - confirmed_at;
  if (age > core->policy.hold_s)
    return HR_ANSWER_READING_TOO_OLD;
  if (age > core->policy.alone_s && !hr_membership_store_outage_for_all (core))
    return HR_ANSWER_ALONE;
  return HR_ANSWER_ALLOWED;
}

HrTermVerdict
hr_leadership_term_verdict (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  gboolean is_ours = leadership->record_revision &&
                     g_strcmp0 (leadership->leader_incarnation, core->incarnation) == 0 &&
                     leadership->fencing_token > leadership->resigned_token;
  if (is_ours == leadership->is_leader)
    return HR_TERM_UNCHANGED;
  return is_ours ? HR_TERM_BEGINS : HR_TERM_ENDS;
}

/* The leader of the leader record is alive and only lost its lock, perhaps because the store
 * answered nobody. It takes the lock again at once; to change leaders would cost time, since the
 * next one has to prove which tasks are gone. */
static gboolean
incumbent_returns (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  if (leadership->is_leader || core->now - leadership->leaderless_since > INCUMBENT_PREFERENCE_S)
    return FALSE;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (hr_membership_peer_is_fresh (core, peer) && peer->status.is_leader &&
        g_strcmp0 (peer->status.incarnation, leadership->leader_incarnation) == 0)
      return peer->status.store_served ||
             core->now - core->store.replica.current_since < INCUMBENT_PREFERENCE_S;
  }
  return FALSE;
}

/* A lock of our own label and another incarnation is of a process that has ended. */
static gboolean
lock_is_of_our_predecessor (const HrCore *core)
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
  if (leadership->lock_revision && !lock_is_of_our_predecessor (core))
    return HR_ELECTION_LOCK_HELD;
  if (leadership->election_in_flight)
    return HR_ELECTION_IN_FLIGHT;
  if (core->now < leadership->next_election_at)
    return HR_ELECTION_WAITING;
  if (core->now < leadership->abstains_until)
    return HR_ELECTION_ABSTAINING;
  if (core->now - core->store.replica.confirmed_at > ELECTION_MAX_READ_AGE_S)
    return HR_ELECTION_READING_TOO_OLD;
  if (!core->scaling.machine_types)
    return HR_ELECTION_MACHINE_TYPES_UNKNOWN;
  if (incumbent_returns (core))
    return HR_ELECTION_INCUMBENT_RETURNS;
  return HR_ELECTION_STAND;
}

HrLockLeaseVerdict
hr_leadership_lock_lease_verdict (const HrCore *core)
{
  const HrLeadership *leadership = &core->leadership;
  double life_s = core->policy.leader_lease_s;
  if (!leadership->lock_lease_id)
    return HR_LOCK_LEASE_KEEP;
  if (!leadership->is_leader && !leadership->election_in_flight)
    return core->now - leadership->lock_lease_renewed_at > life_s ? HR_LOCK_LEASE_LAPSED
                                                                  : HR_LOCK_LEASE_KEEP;
  if (!leadership->lock_lease_renewal_in_flight &&
      core->now - leadership->lock_lease_renewal_sent_at > life_s / HR_LOCK_LEASE_RENEWALS)
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

/* The most heartbeats that any controller which could lead has received of late. */
static guint
contacts_elsewhere (const HrCore *core)
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
    return HR_KEEP_TERM_HEARD;
  if (contacts_elsewhere (core) < RESIGN_MIN_CONTACTS_ELSEWHERE)
    return HR_KEEP_TERM_NO_BETTER_LEADER;
  double since = MAX (core->leadership.term_began_at, core->store.replica.current_since);
  if (core->now - since < RESIGN_MIN_SERVED_S)
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

/* A controller that the store serves has read a newer leader record, and this node, which takes
 * itself for the leader, has not: it is the one that the store refuses, and steps down at once. */
HrStepDownVerdict
hr_leadership_step_down_verdict (const HrCore *core, const HrPeerStatus *status)
{
  if (!core->leadership.is_leader)
    return HR_IGNORE_PEER_NOT_LEADER;
  if (!status->store_served)
    return HR_IGNORE_PEER_NOT_SERVED;
  if (status->fencing_token <= core->leadership.fencing_token)
    return HR_IGNORE_PEER_NO_NEWER_TOKEN;
  if (core->now - core->store.replica.confirmed_at <= UNCONFIRMED_S)
    return HR_IGNORE_PEER_OUR_READ_IS_RECENT;
  return HR_STEP_DOWN_NEWER_LEADER;
}
