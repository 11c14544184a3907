/* Membership and leadership. The leader's key lives with a lease of the state
 * service; whoever creates it writes the map in the same transaction, with a
 * higher token (baton). Ownership is what the map says, nothing else. */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

#define CONTACT_WINDOW 6.0
/* Between hints, and while there is news for a member that the state service does not serve. */
#define STATUS_INTERVAL_S 1.0
#define STATUS_SOON_INTERVAL_S 0.2

static gboolean
peer_is_fresh (const HrCore *c, const HrPeer *p)
{
  return c->now - p->received_at < 3.5;
}

/* A node that hears no other cannot tell an outage from a cut of its own. It takes it
 * for a cut: not ready, so that users go elsewhere, and soon silent to workers. */
gboolean
hr_membership_store_outage_for_all (const HrCore *c)
{
  gboolean heard = c->settings->members->len == 0;
  for (guint i = 0; i < c->membership.peers->len; i++) {
    const HrPeer *p = &g_array_index (c->membership.peers, HrPeer, i);
    if (!peer_is_fresh (c, p))
      continue;
    heard = TRUE;
    if (p->status.store_served)
      return FALSE;
  }
  return heard;
}

/* Up to when nobody else can have confirmed a withdrawal that we have not read, or become
 * the owner: each of the other members said so, after it had heard our clock. With none,
 * there is nobody who could. */
static double
attested_until (const HrCore *c)
{
  double t = c->now;
  if (!c->store.replica.synced_once)
    return 0;
  for (guint i = 0; i < c->settings->members->len; i++) {
    const char *label = g_array_index (c->settings->members, HrMember, i).label;
    double said = 0;
    for (guint k = 0; k < c->membership.peers->len; k++) {
      const HrPeer *p = &g_array_index (c->membership.peers, HrPeer, k);
      if (g_str_equal (p->status.label, label))
        said = p->attested_at;
    }
    t = MIN (t, said);
  }
  return t;
}

/* hold_s bounds how long an owner may answer without a reading, or the attestation of all other
 * members that they have none to go by either: a cut of them all, behind which workers
 * would lose their tasks for nothing. One that is cut off from members and state service
 * alike stops sooner: another leads by then, and while its workers still hear us they do
 * not look for that one. */
gboolean
hr_leadership_may_answer (const HrCore *c)
{
  double hold = c->policy.hold_s;
  if (!hr_membership_store_outage_for_all (c))
    hold = MIN (hold, c->policy.alone_s);
  return c->leadership.is_leader &&
         c->now - MAX (c->store.replica.confirmed_at, attested_until (c)) <= hold;
}

static void
begin_term (HrCore *c)
{
  c->leadership.is_leader = TRUE;
  c->leadership.term_began_at = c->now;
  c->leadership.term_token = c->leadership.fencing_token;
  c->scaling.list_is_complete = FALSE;
  c->scaling.list_requested_at = 0;
  c->scaling.paused_until = c->now;
  c->metrics.counters.terms++;
  hr_failover_take_over (c);
}

void
hr_leadership_step_down (HrCore *c, const char *why)
{
  if (c->leadership.is_leader)
    g_message ("this node no longer leads: %s; token=%" G_GUINT64_FORMAT " reading_age=%.2f", why,
               c->leadership.fencing_token, c->now - c->store.replica.confirmed_at);
  c->leadership.is_leader = FALSE;
  c->leadership.token_raise_wanted = FALSE;
  c->leadership.token_raise_in_flight = FALSE;
  /* Our view goes beyond the record: read everything anew. */
  hr_replica_reset (c);
}

/* After every reading: does the map name this very process? */
void
hr_leadership_record_read (HrCore *c)
{
  gboolean mine = c->leadership.record_revision &&
                  g_strcmp0 (c->leadership.leader_incarnation, c->incarnation) == 0 &&
                  c->leadership.fencing_token > c->leadership.resigned_token;
  if (mine && !c->leadership.is_leader)
    begin_term (c);
  else if (!mine && c->leadership.is_leader)
    hr_leadership_step_down (c, "the map names another owner");
}

static char *
leader_record_text (HrCore *c, guint64 baton)
{
  return hr_json_take_text (
      json_pack ("{sIssss}", "b", (json_int_t)baton, "o", c->settings->label, "i", c->incarnation));
}

static void
on_reread (HrCore *c, gboolean ok, gpointer data)
{
  c->leadership.election_in_flight = c->leadership.token_raise_in_flight = FALSE;
}

static void
on_leader_record_written (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  if (status == 400)
    c->leadership.lock_lease_id = 0;
  c->leadership.next_election_at = c->now + g_rand_double_range (c->random, 0.3, 0.8);
  /* Won, lost or unknown: the next reading says who owns the map. */
  hr_replica_read (c, on_reread, NULL);
}

static void
on_lock_lease_granted (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->leadership.lock_lease_requested_at = 0;
  guint64 claim;
  if (status == 200 && hr_json_count (body, "claim", G_MAXINT64, &claim) && claim) {
    c->leadership.lock_lease_id = claim;
    c->leadership.lock_lease_renewed_at = sent;
  } else
    c->leadership.next_election_at = c->now + g_rand_double_range (c->random, 0.5, 1);
}

static void
on_lock_lease_renewed (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->leadership.lock_lease_renewal_in_flight = FALSE;
  if (status == 200)
    c->leadership.lock_lease_renewed_at = sent;
  else if (status == 404)
    c->leadership.lock_lease_id = 0; /* the key is gone with it; we may stand again */
}

/* The owner of the map is there and only lost its key, in a cut of us all perhaps. It
 * takes the key again at once; to change owners would cost time and proofs. */
static gboolean
incumbent_returns (const HrCore *c)
{
  if (c->leadership.is_leader || c->now - c->leadership.leaderless_since > 2)
    return FALSE;
  for (guint i = 0; i < c->membership.peers->len; i++) {
    const HrPeer *p = &g_array_index (c->membership.peers, HrPeer, i);
    if (peer_is_fresh (c, p) && p->status.is_leader &&
        g_strcmp0 (p->status.incarnation, c->leadership.leader_incarnation) == 0)
      return p->status.store_served || c->now - c->store.replica.served_since < 2;
  }
  return FALSE;
}

static void
consider_election (HrCore *c)
{
  /* A key of our own label and another incarnation is of a process that ended. */
  gboolean ours_of_old = c->leadership.lock_revision &&
                         g_strcmp0 (c->leadership.lock_label, c->settings->label) == 0 &&
                         g_strcmp0 (c->leadership.lock_incarnation, c->incarnation) != 0;
  if ((c->leadership.lock_revision && !ours_of_old) || c->leadership.election_in_flight ||
      c->now < c->leadership.next_election_at || c->now < c->leadership.abstains_until ||
      c->now - c->store.replica.confirmed_at > 2 || !c->scaling.machine_types ||
      incumbent_returns (c))
    return;
  if (!c->leadership.lock_lease_id) {
    if (!c->leadership.lock_lease_requested_at) {
      c->leadership.lock_lease_requested_at = c->now;
      hr_core_call (c, HR_TO_STORE, NULL, HR_POST, g_strdup ("/leases"),
                    g_strdup_printf ("{\"life_ms\":%d}", (int)(c->policy.leader_lease_s * 1000)), 2,
                    on_lock_lease_granted, NULL);
    }
    return;
  }
  c->leadership.election_in_flight = TRUE;
  json_t *when = hr_transaction_require (
      hr_transaction_require (json_array (), "h/leader", c->leadership.lock_revision), "h/map",
      c->leadership.record_revision);
  json_t *writes = hr_transaction_put (json_array (), "h/leader", leader_record_text (c, 0),
                                       c->leadership.lock_lease_id);
  hr_transaction_put (
      writes, "h/map",
      leader_record_text (c, MAX (c->leadership.fencing_token, c->leadership.resigned_token) + 1),
      0);
  hr_transaction_submit (c, HR_TRANSACTION_USER, when, writes, 2, 2, on_leader_record_written,
                         NULL);
}

/* A new token makes every order sent with an older one void wherever it is seen. */
void
hr_leadership_raise_token (HrCore *c, const char *why)
{
  if (!c->leadership.token_raise_wanted)
    g_info ("the baton is to be raised: %s", why);
  c->leadership.token_raise_wanted = TRUE;
}

static void
consider_token_raise (HrCore *c)
{
  if (!c->leadership.token_raise_wanted || c->leadership.token_raise_in_flight ||
      c->leadership.election_in_flight || c->now - c->leadership.token_raised_at < 3 ||
      c->store.replica.is_unavailable)
    return;
  c->leadership.token_raise_wanted = FALSE;
  c->leadership.token_raise_in_flight = TRUE;
  c->leadership.token_raised_at = c->now;
  json_t *when = hr_transaction_require (json_array (), "h/map", c->leadership.record_revision);
  json_t *writes = hr_transaction_put (json_array (), "h/map",
                                       leader_record_text (c, c->leadership.fencing_token + 1), 0);
  hr_transaction_submit (c, HR_TRANSACTION_USER, when, writes, 1, 2, on_leader_record_written,
                         NULL);
}

static guint
count_contacts (HrCore *c)
{
  if (c->now - c->membership.contact_window_began_at >= CONTACT_WINDOW) {
    c->membership.contacts_in_last_window =
        c->now - c->membership.contact_window_began_at < 2 * CONTACT_WINDOW
            ? c->membership.contacts_in_window
            : 0;
    c->membership.contacts_in_window = 0;
    c->membership.contact_window_began_at = c->now;
  }
  return MAX (c->membership.contacts_in_window, c->membership.contacts_in_last_window);
}

static gboolean
is_candidate (const HrCore *c, const HrPeer *p)
{
  return peer_is_fresh (c, p) && p->status.store_served;
}

/* A leader that hears no worker while others do stands back, early enough for the workers to
 * find the next one within their leases. */
static void
consider_resigning (HrCore *c)
{
  guint up = 0, heard = 0, elsewhere = 0;
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    up += m->state == HR_MACHINE_UP;
    heard += m->state == HR_MACHINE_UP && c->now - m->agent.heard_at < c->policy.overdue_s;
  }
  for (guint i = 0; i < c->membership.peers->len; i++) {
    HrPeer *p = &g_array_index (c->membership.peers, HrPeer, i);
    if (is_candidate (c, p))
      elsewhere = MAX (elsewhere, p->status.worker_contacts);
  }
  /* After a cut of us all, workers may try the others first. */
  double since = MAX (c->leadership.term_began_at, c->store.replica.served_since);
  if (up >= 2 && !heard && elsewhere >= 2 && c->now - since >= 2 * CONTACT_WINDOW)
    hr_leadership_resign (c, "no worker reaches this node, others are reached");
}

/* No order of ours counts any more, and the key is free at once. */
static void
release_lock (HrCore *c)
{
  c->leadership.resigned_token = c->leadership.fencing_token;
  if (c->leadership.lock_lease_id)
    hr_core_call (c, HR_TO_STORE, NULL, HR_DELETE,
                  g_strdup_printf ("/leases/%" G_GUINT64_FORMAT, c->leadership.lock_lease_id), NULL,
                  2, on_lock_lease_renewed, NULL);
  c->leadership.lock_lease_id = 0;
}

/* A leader that reads the ledger anew has forgotten which of its orders are still on their way.
 * The map names it all the same; under the same token a late launch would count, of a task that
 * has been placed elsewhere since. So it leads again only by a new map. */
void
hr_leadership_reset (HrCore *c, const char *why)
{
  if (c->leadership.is_leader)
    release_lock (c);
  hr_leadership_step_down (c, why);
}

void
hr_leadership_resign (HrCore *c, const char *why)
{
  gboolean other = FALSE;
  for (guint i = 0; i < c->membership.peers->len; i++)
    other |= is_candidate (c, &g_array_index (c->membership.peers, HrPeer, i));
  if (!other)
    return; /* better a poor leader than none */
  c->leadership.abstains_until = c->now + 15;
  release_lock (c);
  hr_leadership_step_down (c, why);
}

static void
broadcast_status (HrCore *c)
{
  c->membership.status_sent_at = c->now;
  c->membership.status_due_soon = FALSE;
  HrEffect *e = g_new0 (HrEffect, 1);
  e->kind = HR_EFFECT_PEER_STATUS;
  HrPeerStatus *h = e->peer_status = g_new0 (HrPeerStatus, 1);
  g_strlcpy (h->label, c->settings->label, sizeof h->label);
  g_strlcpy (h->incarnation, c->incarnation, sizeof h->incarnation);
  h->fencing_token = c->leadership.fencing_token;
  h->leader_record_revision = c->leadership.record_revision;
  h->store_served = c->store.replica.synced_once && c->now - c->store.replica.confirmed_at < 2.5;
  h->is_leader = c->leadership.is_leader;
  h->worker_contacts = count_contacts (c);
  h->clock = c->now;
  h->synced = c->store.replica.synced_once;
  h->latest_cancellation = c->cancellations.latest_revision;
  hr_record_format_fill_status (c, h);
  h->applied_revision = c->store.replica.applied_revision;
  hr_cancellation_log_fill_status (c, h);
  for (guint i = 0; i < MIN (c->membership.peers->len, HR_MAX_ECHOES); i++) {
    const HrPeer *p = &g_array_index (c->membership.peers, HrPeer, i);
    HrEcho *o = &h->echoes[h->n_echoes++];
    g_strlcpy (o->label, p->status.label, sizeof o->label);
    g_strlcpy (o->incarnation, p->status.incarnation, sizeof o->incarnation);
    o->clock = p->status.clock;
    o->cancellations_taken = p->cancellations_taken;
  }
  g_ptr_array_add (c->effects, e);
}

/* Takes note of what a member states, and of when by our clock it was still so: that it knows
 * of no newer owner and of no withdrawal that we have neither read nor been told. Whether the state
 * service serves it does not matter: what it decides or reads later is in what it states later. */
static void
note_attestation (HrCore *c, HrPeer *p)
{
  const HrPeerStatus *h = &p->status;
  if (!h->synced || h->fencing_token > c->leadership.fencing_token ||
      (h->latest_cancellation > c->store.replica.applied_revision &&
       !hr_cancellation_log_all_taken (c, p)))
    return;
  for (guint i = 0; i < h->n_echoes; i++) {
    const HrEcho *e = &h->echoes[i];
    if (g_str_equal (e->label, c->settings->label) &&
        g_str_equal (e->incarnation, c->incarnation) && e->clock <= c->now)
      p->attested_at = MAX (p->attested_at, e->clock);
  }
}

void
hr_membership_status_received (HrCore *c, const HrPeerStatus *h)
{
  gboolean member = FALSE;
  for (guint i = 0; i < c->settings->members->len; i++)
    member |= g_str_equal (g_array_index (c->settings->members, HrMember, i).label, h->label);
  if (!member) {
    g_info ("a hint from %s, which is no member; dropped", h->label);
    return;
  }
  HrPeer *p = NULL;
  for (guint i = 0; i < c->membership.peers->len && !p; i++)
    if (g_str_equal (g_array_index (c->membership.peers, HrPeer, i).status.label, h->label))
      p = &g_array_index (c->membership.peers, HrPeer, i);
  if (!p) {
    g_array_set_size (c->membership.peers, c->membership.peers->len + 1);
    p = &g_array_index (c->membership.peers, HrPeer, c->membership.peers->len - 1);
  }
  if (strcmp (p->status.incarnation, h->incarnation) != 0)
    p->cancellations_taken = 0; /* positions count anew in each process */
  p->status = *h;
  p->received_at = c->now;
  hr_cancellation_log_take_named (c, p);
  hr_cancellation_log_acknowledged (c, p);
  note_attestation (c, p);
  hr_record_format_status_received (c, h);
  /* A member that the state service serves has read a newer map, and we, who
   * think we own it, have not: whoever is refused steps down at once. */
  if (c->leadership.is_leader && h->store_served &&
      h->fencing_token > c->leadership.fencing_token &&
      c->now - c->store.replica.confirmed_at > 1.5) {
    c->leadership.resigned_token = c->leadership.fencing_token;
    hr_leadership_step_down (c, "a member has read a newer map");
  }
}

void
hr_leadership_tick (HrCore *c)
{
  count_contacts (c);
  if (c->leadership.lock_lease_id &&
      c->now - c->leadership.lock_lease_renewed_at > c->policy.leader_lease_s &&
      !c->leadership.is_leader && !c->leadership.election_in_flight)
    c->leadership.lock_lease_id = 0; /* not kept alive while there is nothing to hold */
  if (c->leadership.lock_lease_id &&
      (c->leadership.is_leader || c->leadership.election_in_flight) &&
      !c->leadership.lock_lease_renewal_in_flight &&
      c->now - c->leadership.lock_lease_renewal_sent_at > c->policy.leader_lease_s / 4) {
    c->leadership.lock_lease_renewal_in_flight = TRUE;
    c->leadership.lock_lease_renewal_sent_at = c->now;
    hr_core_call (
        c, HR_TO_STORE, NULL, HR_POST,
        g_strdup_printf ("/leases/%" G_GUINT64_FORMAT "/touch", c->leadership.lock_lease_id), NULL,
        c->policy.leader_lease_s / 4, on_lock_lease_renewed, NULL);
  }
  if (c->store.replica.state == HR_REPLICA_FOLLOWING) {
    consider_election (c);
    if (c->leadership.is_leader) {
      consider_token_raise (c);
      consider_resigning (c);
    }
  }
  if (c->now - c->membership.status_sent_at >=
      (c->membership.status_due_soon ? STATUS_SOON_INTERVAL_S : STATUS_INTERVAL_S))
    broadcast_status (c);
}
