#include "coordination/membership/membership.h"
#include "bookkeeping/record_format.h"
#include "coordination/leadership/leadership.h"
#include "coordination/membership/cancellation_log.h"
#include "coordination/state.h"
#include <string.h>

/* A peer that was last heard longer ago says nothing about now, s. */
#define FRESH_S 3.5
/* Seconds between statuses, and while there is news for a peer that the store does not serve. */
#define STATUS_INTERVAL_S 1.0
#define STATUS_SOON_INTERVAL_S 0.2

HrPeer *
hr_membership_peer (const HrCore *core, const char *label)
{
  for (guint i = 0; i < core->membership.peers->len; i++) {
    HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (g_str_equal (peer->status.label, label))
      return peer;
  }
  return NULL;
}

gboolean
hr_membership_peer_is_fresh (const HrCore *core, const HrPeer *peer)
{
  return core->now - peer->received_at < FRESH_S;
}

/* A node that hears no other cannot tell an outage from a cut of its own. It takes it
 * for a cut: not ready, so that users go elsewhere, and soon silent to workers. */
gboolean
hr_membership_store_outage_for_all (const HrCore *core)
{
  gboolean heard = core->settings->members->len == 0;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (!hr_membership_peer_is_fresh (core, peer))
      continue;
    heard = TRUE;
    if (peer->status.store_served)
      return FALSE;
  }
  return heard;
}

/* Up to when nobody else can have confirmed a cancellation that we have not read, or become
 * the leader: each of the other members said so, after it had heard our clock. With none,
 * there is nobody who could. */
double
hr_membership_attested_until (const HrCore *core)
{
  double until = core->now;
  if (!core->store.replica.synced_once)
    return 0;
  for (guint i = 0; i < core->settings->members->len; i++) {
    const char *label = g_array_index (core->settings->members, HrMember, i).label;
    const HrPeer *peer = hr_membership_peer (core, label);
    until = MIN (until, peer ? peer->attested_at : 0);
  }
  return until;
}

guint
hr_membership_count_contacts (HrCore *core)
{
  if (core->now - core->membership.contact_window_began_at >= HR_CONTACT_WINDOW_S) {
    core->membership.contacts_in_last_window =
        core->now - core->membership.contact_window_began_at < 2 * HR_CONTACT_WINDOW_S
            ? core->membership.contacts_in_window
            : 0;
    core->membership.contacts_in_window = 0;
    core->membership.contact_window_began_at = core->now;
  }
  return MAX (core->membership.contacts_in_window, core->membership.contacts_in_last_window);
}

gboolean
hr_membership_may_lead (const HrCore *core, const HrPeer *peer)
{
  return hr_membership_peer_is_fresh (core, peer) && peer->status.store_served;
}

/* What a peer stated holds on: after an upgrade its processes come back new. */
gboolean
hr_membership_peers_support_format (const HrCore *core, guint format)
{
  for (guint i = 0; i < core->settings->members->len; i++) {
    const char *label = g_array_index (core->settings->members, HrMember, i).label;
    const HrPeer *peer = hr_membership_peer (core, label);
    if ((peer ? peer->status.format : 0) < format)
      return FALSE;
  }
  return TRUE;
}

static void
broadcast_status (HrCore *core)
{
  core->membership.status_sent_at = core->now;
  core->membership.status_due_soon = FALSE;
  HrEffect *effect = g_new0 (HrEffect, 1);
  effect->kind = HR_EFFECT_PEER_STATUS;
  HrPeerStatus *status = effect->peer_status = g_new0 (HrPeerStatus, 1);
  g_strlcpy (status->label, core->settings->label, sizeof status->label);
  g_strlcpy (status->incarnation, core->incarnation, sizeof status->incarnation);
  status->fencing_token = core->leadership.fencing_token;
  status->leader_record_revision = core->leadership.record_revision;
  status->store_served =
      core->store.replica.synced_once && core->now - core->store.replica.confirmed_at < 2.5;
  status->is_leader = core->leadership.is_leader;
  status->worker_contacts = hr_membership_count_contacts (core);
  status->clock = core->now;
  status->synced = core->store.replica.synced_once;
  status->latest_cancellation = core->cancellations.latest_revision;
  status->format = core->store.format.supported;
  status->n_oversized = core->store.splitter.n_oversized;
  memcpy (status->oversized, core->store.splitter.oversized, sizeof status->oversized);
  status->applied_revision = core->store.replica.applied_revision;
  hr_cancellation_log_fill_status (core, status);
  for (guint i = 0; i < MIN (core->membership.peers->len, HR_MAX_ECHOES); i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    HrEcho *echo = &status->echoes[status->n_echoes++];
    g_strlcpy (echo->label, peer->status.label, sizeof echo->label);
    g_strlcpy (echo->incarnation, peer->status.incarnation, sizeof echo->incarnation);
    echo->clock = peer->status.clock;
    echo->cancellations_taken = peer->cancellations_taken;
  }
  g_ptr_array_add (core->effects, effect);
}

/* Takes note of what a member states, and of when by our clock it was still so: that it knows
 * of no newer leader and of no cancellation that we have neither read nor been told. Whether the
 * state service serves it does not matter: what it decides or reads later is in what it states
 * later. */
static void
note_attestation (HrCore *core, HrPeer *peer)
{
  const HrPeerStatus *status = &peer->status;
  if (!status->synced || status->fencing_token > core->leadership.fencing_token ||
      (status->latest_cancellation > core->store.replica.applied_revision &&
       !hr_cancellation_log_all_taken (core, peer)))
    return;
  for (guint i = 0; i < status->n_echoes; i++) {
    const HrEcho *echo = &status->echoes[i];
    if (g_str_equal (echo->label, core->settings->label) &&
        g_str_equal (echo->incarnation, core->incarnation) && echo->clock <= core->now)
      peer->attested_at = MAX (peer->attested_at, echo->clock);
  }
}

void
hr_membership_status_received (HrCore *core, const HrPeerStatus *status)
{
  gboolean member = FALSE;
  for (guint i = 0; i < core->settings->members->len; i++)
    member |=
        g_str_equal (g_array_index (core->settings->members, HrMember, i).label, status->label);
  if (!member) {
    g_info ("a status from %s, which is no member; dropped", status->label);
    return;
  }
  HrPeer *peer = hr_membership_peer (core, status->label);
  if (!peer) {
    g_array_set_size (core->membership.peers, core->membership.peers->len + 1);
    peer = &g_array_index (core->membership.peers, HrPeer, core->membership.peers->len - 1);
  }
  if (strcmp (peer->status.incarnation, status->incarnation) != 0)
    peer->cancellations_taken = 0; /* positions count anew in each process */
  peer->status = *status;
  peer->received_at = core->now;
  hr_cancellation_log_take_named (core, peer);
  hr_cancellation_log_acknowledged (core, peer);
  note_attestation (core, peer);
  for (guint i = 0; i < status->n_oversized; i++)
    hr_record_format_peer_oversized (&core->store, status->oversized[i]);
  hr_leadership_peer_status (core, status);
}

void
hr_membership_tick (HrCore *core)
{
  double interval = core->membership.status_due_soon ? STATUS_SOON_INTERVAL_S : STATUS_INTERVAL_S;
  if (core->now - core->membership.status_sent_at >= interval)
    broadcast_status (core);
}
