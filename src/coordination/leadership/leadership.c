/* Membership and leadership. The leader's key lives with a lease of the state
 * service; whoever creates it writes the leader record in the same transaction, with a
 * higher token (fencing token). Ownership is what the leader record says, nothing else. */
#include "coordination/leadership/leadership.h"
#include "bookkeeping/record_format.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "coordination/jobs/failover.h"
#include "coordination/membership/cancellation_log.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

#define MAX_ELECTION_JITTER_S 0.4
/* A leader whose latest read is older, s, believes a peer that knows of a newer one. */
#define UNCONFIRMED_S 1.5

/* hold_s bounds how long a leader may answer without a reading, or the attestation of all other
 * members that they have none to go by either: a cut of them all, behind which workers
 * would lose their tasks for nothing. One that is cut off from members and state service
 * alike stops sooner: another leads by then, and while its workers still hear us they do
 * not look for that one. */
gboolean
hr_leadership_may_answer (const HrCore *core)
{
  double hold = core->policy.hold_s;
  if (!hr_membership_store_outage_for_all (core))
    hold = MIN (hold, core->policy.alone_s);
  return core->leadership.is_leader &&
         core->now - MAX (core->store.replica.confirmed_at, hr_membership_attested_until (core)) <=
             hold;
}

static void
begin_term (HrCore *core)
{
  core->leadership.is_leader = TRUE;
  core->leadership.term_began_at = core->now;
  core->leadership.term_token = core->leadership.fencing_token;
  core->scaling.list_is_complete = FALSE;
  core->scaling.list_requested_at = 0;
  core->scaling.paused_until = core->now;
  core->metrics.counters.terms++;
  hr_failover_take_over (core);
}

void
hr_leadership_step_down (HrCore *core, const char *why)
{
  if (core->leadership.is_leader)
    g_message ("this node no longer leads: %s; token=%" G_GUINT64_FORMAT " reading_age=%.2f", why,
               core->leadership.fencing_token, core->now - core->store.replica.confirmed_at);
  core->leadership.is_leader = FALSE;
  core->leadership.token_raise_wanted = FALSE;
  core->leadership.token_raise_in_flight = FALSE;
  /* Our view goes beyond the record: read everything anew. */
  hr_replica_reset (&core->store);
}

void
hr_leadership_record_changed (HrCore *core, const json_t *value, guint64 revision)
{
  HrLeadership *leadership = &core->leadership;
  guint64 fencing_token = 0;
  if (!value || revision <= leadership->record_revision)
    return;
  const char *label = hr_json_str (value, "o"), *incarnation = hr_json_str (value, "i");
  if (!label || !incarnation || !hr_json_count (value, "b", G_MAXINT64, &fencing_token)) {
    g_warning ("the leader record in the state service makes no sense; left as it was");
    return;
  }
  leadership->record_revision = revision;
  leadership->fencing_token = fencing_token;
  g_free (leadership->leader_label);
  g_free (leadership->leader_incarnation);
  leadership->leader_label = g_strdup (label);
  leadership->leader_incarnation = g_strdup (incarnation);
}

static void
forget_lock (HrLeadership *leadership)
{
  g_clear_pointer (&leadership->lock_label, g_free);
  g_clear_pointer (&leadership->lock_incarnation, g_free);
  leadership->lock_revision = 0;
}

void
hr_leadership_lock_changed (HrCore *core, const json_t *value, guint64 revision)
{
  HrLeadership *leadership = &core->leadership;
  forget_lock (leadership);
  if (value) {
    leadership->lock_revision = revision;
    leadership->lock_label = g_strdup (hr_json_str (value, "o"));
    leadership->lock_incarnation = g_strdup (hr_json_str (value, "i"));
    return;
  }
  /* Jitter, so that the members do not all try in the same instant. */
  double wait =
      leadership->is_leader ? 0 : g_rand_double_range (core->random, 0, MAX_ELECTION_JITTER_S);
  leadership->next_election_at = core->now + wait;
  leadership->leaderless_since = core->now;
}

void
hr_leadership_listing_begins (HrCore *core)
{
  core->leadership.record_revision = 0;
  forget_lock (&core->leadership);
}

/* After every reading: does the leader record name this very process? */
void
hr_leadership_record_read (HrCore *core)
{
  gboolean mine = core->leadership.record_revision &&
                  g_strcmp0 (core->leadership.leader_incarnation, core->incarnation) == 0 &&
                  core->leadership.fencing_token > core->leadership.resigned_token;
  if (mine && !core->leadership.is_leader)
    begin_term (core);
  else if (!mine && core->leadership.is_leader)
    hr_leadership_step_down (core, "the leader record names another leader");
}

static char *
leader_record_text (HrCore *core, guint64 fencing_token)
{
  return hr_json_take_text (json_pack ("{sIssss}", "b", (json_int_t)fencing_token, "o",
                                       core->settings->label, "i", core->incarnation));
}

static void
on_reread (HrStore *store, gboolean ok, gpointer data)
{
  HrCore *core = store->core;
  core->leadership.election_in_flight = core->leadership.token_raise_in_flight = FALSE;
}

static void
on_leader_record_written (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  HrCore *core = store->core;
  if (status == 400)
    core->leadership.lock_lease_id = 0;
  core->leadership.next_election_at = core->now + g_rand_double_range (core->random, 0.3, 0.8);
  /* Won, lost or unknown: the next reading says who owns the leader record. */
  hr_replica_read (&core->store, on_reread, NULL);
}

static void
on_lock_lease_granted (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  core->leadership.lock_lease_requested_at = 0;
  guint64 lease_id;
  if (status == 200 && hr_store_read_lease_id (body, &lease_id)) {
    core->leadership.lock_lease_id = lease_id;
    core->leadership.lock_lease_renewed_at = sent;
  } else
    core->leadership.next_election_at = core->now + g_rand_double_range (core->random, 0.5, 1);
}

static void
on_lock_lease_renewed (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  core->leadership.lock_lease_renewal_in_flight = FALSE;
  if (status == 200)
    core->leadership.lock_lease_renewed_at = sent;
  else if (status == 404)
    core->leadership.lock_lease_id = 0; /* the key is gone with it; we may stand again */
}

/* The leader of the leader record is there and only lost its key, in a cut of us all perhaps. It
 * takes the key again at once; to change owners would cost time and proofs. */
static gboolean
incumbent_returns (const HrCore *core)
{
  if (core->leadership.is_leader || core->now - core->leadership.leaderless_since > 2)
    return FALSE;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (hr_membership_peer_is_fresh (core, peer) && peer->status.is_leader &&
        g_strcmp0 (peer->status.incarnation, core->leadership.leader_incarnation) == 0)
      return peer->status.store_served || core->now - core->store.replica.served_since < 2;
  }
  return FALSE;
}

static void
consider_election (HrCore *core)
{
  /* A key of our own label and another incarnation is of a process that ended. */
  gboolean ours_of_old = core->leadership.lock_revision &&
                         g_strcmp0 (core->leadership.lock_label, core->settings->label) == 0 &&
                         g_strcmp0 (core->leadership.lock_incarnation, core->incarnation) != 0;
  if ((core->leadership.lock_revision && !ours_of_old) || core->leadership.election_in_flight ||
      core->now < core->leadership.next_election_at ||
      core->now < core->leadership.abstains_until ||
      core->now - core->store.replica.confirmed_at > 2 || !core->scaling.machine_types ||
      incumbent_returns (core))
    return;
  if (!core->leadership.lock_lease_id) {
    if (!core->leadership.lock_lease_requested_at) {
      core->leadership.lock_lease_requested_at = core->now;
      hr_core_call (core, HR_TO_STORE, NULL, HR_POST, g_strdup (HR_STORE_LEASES_PATH),
                    hr_store_lease_text ((int)(core->policy.leader_lease_s * 1000)), 2,
                    on_lock_lease_granted, NULL);
    }
    return;
  }
  core->leadership.election_in_flight = TRUE;
  json_t *when = hr_transaction_require (
      hr_transaction_require (json_array (), "h/leader", core->leadership.lock_revision), "h/map",
      core->leadership.record_revision);
  json_t *writes = hr_transaction_put (json_array (), "h/leader", leader_record_text (core, 0),
                                       core->leadership.lock_lease_id);
  hr_transaction_put (
      writes, "h/map",
      leader_record_text (
          core, MAX (core->leadership.fencing_token, core->leadership.resigned_token) + 1),
      0);
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, when, writes, 2, 2,
                         on_leader_record_written, NULL);
}

/* A new token makes every order sent with an older one void wherever it is seen. */
void
hr_leadership_raise_token (HrCore *core, const char *why)
{
  if (!core->leadership.token_raise_wanted)
    g_info ("the fencing token is to be raised: %s", why);
  core->leadership.token_raise_wanted = TRUE;
}

static void
consider_token_raise (HrCore *core)
{
  if (!core->leadership.token_raise_wanted || core->leadership.token_raise_in_flight ||
      core->leadership.election_in_flight || core->now - core->leadership.token_raised_at < 3 ||
      core->store.replica.is_unavailable)
    return;
  core->leadership.token_raise_wanted = FALSE;
  core->leadership.token_raise_in_flight = TRUE;
  core->leadership.token_raised_at = core->now;
  json_t *when = hr_transaction_require (json_array (), "h/map", core->leadership.record_revision);
  json_t *writes = hr_transaction_put (
      json_array (), "h/map", leader_record_text (core, core->leadership.fencing_token + 1), 0);
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, when, writes, 1, 2,
                         on_leader_record_written, NULL);
}

/* A leader that hears no worker while others do stands back, early enough for the workers to
 * find the next one within their leases. */
static void
consider_resigning (HrCore *core)
{
  guint up = 0, heard = 0, elsewhere = 0;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    up += machine->state == HR_MACHINE_UP;
    heard += machine->state == HR_MACHINE_UP &&
             core->now - machine->agent.heard_at < core->policy.overdue_s;
  }
  for (guint i = 0; i < core->membership.peers->len; i++) {
    HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (hr_membership_may_lead (core, peer))
      elsewhere = MAX (elsewhere, peer->status.worker_contacts);
  }
  /* After a cut of us all, workers may try the others first. */
  double since = MAX (core->leadership.term_began_at, core->store.replica.served_since);
  if (up >= 2 && !heard && elsewhere >= 2 && core->now - since >= 2 * HR_CONTACT_WINDOW_S)
    hr_leadership_resign (core, "no worker reaches this node, others are reached");
}

/* No order of ours counts any more, and the key is free at once. */
static void
release_lock (HrCore *core)
{
  core->leadership.resigned_token = core->leadership.fencing_token;
  if (core->leadership.lock_lease_id)
    hr_core_call (core, HR_TO_STORE, NULL, HR_DELETE,
                  hr_store_lease_path (core->leadership.lock_lease_id), NULL, 2,
                  on_lock_lease_renewed, NULL);
  core->leadership.lock_lease_id = 0;
}

/* A leader that reads the state store anew has forgotten which of its orders are still on their
 * way. The leader record names it all the same; under the same token a late launch would count, of
 * a task that has been placed elsewhere since. So it leads again only by a new leader record. */
void
hr_leadership_reset (HrCore *core, const char *why)
{
  if (core->leadership.is_leader)
    release_lock (core);
  hr_leadership_step_down (core, why);
}

void
hr_leadership_resign (HrCore *core, const char *why)
{
  gboolean other = FALSE;
  for (guint i = 0; i < core->membership.peers->len; i++)
    other |= hr_membership_may_lead (core, &g_array_index (core->membership.peers, HrPeer, i));
  if (!other)
    return; /* better a poor leader than none */
  core->leadership.abstains_until = core->now + 15;
  release_lock (core);
  hr_leadership_step_down (core, why);
}

void
hr_leadership_peer_status (HrCore *core, const HrPeerStatus *status)
{
  /* A controller that the store serves has read a newer leader record, and we, who think that we
   * lead, have not: whoever is refused steps down at once. */
  if (core->leadership.is_leader && status->store_served &&
      status->fencing_token > core->leadership.fencing_token &&
      core->now - core->store.replica.confirmed_at > UNCONFIRMED_S) {
    core->leadership.resigned_token = core->leadership.fencing_token;
    hr_leadership_step_down (core, "a member has read a newer leader record");
  }
}

void
hr_leadership_tick (HrCore *core)
{
  hr_membership_count_contacts (core);
  if (core->leadership.lock_lease_id &&
      core->now - core->leadership.lock_lease_renewed_at > core->policy.leader_lease_s &&
      !core->leadership.is_leader && !core->leadership.election_in_flight)
    core->leadership.lock_lease_id = 0; /* not kept alive while there is nothing to hold */
  if (core->leadership.lock_lease_id &&
      (core->leadership.is_leader || core->leadership.election_in_flight) &&
      !core->leadership.lock_lease_renewal_in_flight &&
      core->now - core->leadership.lock_lease_renewal_sent_at > core->policy.leader_lease_s / 4) {
    core->leadership.lock_lease_renewal_in_flight = TRUE;
    core->leadership.lock_lease_renewal_sent_at = core->now;
    hr_core_call (core, HR_TO_STORE, NULL, HR_POST,
                  hr_store_lease_renewal_path (core->leadership.lock_lease_id), NULL,
                  core->policy.leader_lease_s / 4, on_lock_lease_renewed, NULL);
  }
  if (core->store.replica.state == HR_REPLICA_FOLLOWING) {
    consider_election (core);
    if (core->leadership.is_leader) {
      consider_token_raise (core);
      consider_resigning (core);
    }
  }
}
