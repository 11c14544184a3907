#include "coordination/membership/membership.h"
#include "bookkeeping/record_format.h"
#include "coordination/effects.h"
#include "coordination/membership/attestation.h"
#include "coordination/membership/cancellation_log.h"
#include "coordination/state.h"
#include <string.h>

/* A status older than this no longer describes the peer's present state: three statuses in a row
 * are missing. */
#define PEER_FRESH_S 3.5
/* This node states that it reaches the store while its latest successful read is younger than this.
 */
#define STORE_REACHABLE_MAX_READ_AGE_S 2.5
/* Interval between two statuses, normally and while named cancellations, or acknowledgements of
 * them, are to be sent. */
#define STATUS_INTERVAL_S 1.0
#define STATUS_SOON_INTERVAL_S 0.2

void
hr_membership_init (HrMembership *membership)
{
  membership->peers = g_array_new (FALSE, TRUE, sizeof (HrPeer));
}

void
hr_membership_clear (HrMembership *membership)
{
  g_clear_pointer (&membership->peers, g_array_unref);
}

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
  return core->now - peer->received_at < PEER_FRESH_S;
}

gboolean
hr_membership_store_outage_for_all (const HrCore *core)
{
  gboolean has_fresh_peer = core->settings->members->len == 0;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (!hr_membership_peer_is_fresh (core, peer))
      continue;
    has_fresh_peer = TRUE;
    if (peer->status.store_reachable)
      return FALSE;
  }
  return has_fresh_peer;
}

guint
hr_membership_count_contacts (HrCore *core)
{
  HrMembership *membership = &core->membership;
  double age = core->now - membership->contact_window_began_at;
  if (age >= HR_CONTACT_WINDOW_S) {
    /* If no step has run for a whole window, the counts belong to an older window than the previous
     * one. */
    gboolean is_previous_window = age < 2 * HR_CONTACT_WINDOW_S;
    membership->contacts_in_last_window = is_previous_window ? membership->contacts_in_window : 0;
    membership->contacts_in_window = 0;
    membership->contact_window_began_at = core->now;
  }
  return MAX (membership->contacts_in_window, membership->contacts_in_last_window);
}

gboolean
hr_membership_may_lead (const HrCore *core, const HrPeer *peer)
{
  return hr_membership_peer_is_fresh (core, peer) && peer->status.store_reachable;
}

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

/* Echoes the latest clock of each peer, so that the peer can tell the age of this node's status. */
static void
fill_echoes (const HrCore *core, HrPeerStatus *status)
{
  const GArray *peers = core->membership.peers;
  for (guint i = 0; i < MIN (peers->len, HR_MAX_ECHOES); i++) {
    const HrPeer *peer = &g_array_index (peers, HrPeer, i);
    HrEcho *echo = &status->echoes[status->n_echoes++];
    g_strlcpy (echo->label, peer->status.label, sizeof echo->label);
    g_strlcpy (echo->incarnation, peer->status.incarnation, sizeof echo->incarnation);
    echo->clock = peer->status.clock;
    echo->cancellations_applied = peer->cancellations_applied;
  }
}

static HrPeerStatus *
build_status (HrCore *core)
{
  const HrReplica *replica = &core->store.replica;
  const HrRecordSplitter *splitter = &core->store.splitter;
  HrPeerStatus *status = g_new0 (HrPeerStatus, 1);
  g_strlcpy (status->label, core->settings->label, sizeof status->label);
  g_strlcpy (status->incarnation, core->incarnation, sizeof status->incarnation);
  status->fencing_token = core->leadership.fencing_token;
  status->leader_record_revision = core->leadership.record_revision;
  status->store_reachable =
      replica->synced_once && core->now - replica->confirmed_at < STORE_REACHABLE_MAX_READ_AGE_S;
  status->is_leader = core->leadership.is_leader;
  status->worker_contacts = hr_membership_count_contacts (core);
  status->clock = core->now;
  status->synced = replica->synced_once;
  status->latest_cancellation = core->cancellations.latest_revision;
  status->format = core->store.format.supported;
  status->n_oversized = splitter->n_oversized;
  memcpy (status->oversized, splitter->oversized, sizeof status->oversized);
  status->applied_revision = replica->applied_revision;
  hr_cancellation_log_fill_status (core, status);
  fill_echoes (core, status);
  return status;
}

static void
broadcast_status (HrCore *core)
{
  core->membership.status_sent_at = core->now;
  core->membership.status_due_soon = FALSE;
  hr_core_broadcast_status (core, build_status (core));
}

static gboolean
is_member (const HrCore *core, const char *label)
{
  for (guint i = 0; i < core->settings->members->len; i++)
    if (g_str_equal (g_array_index (core->settings->members, HrMember, i).label, label))
      return TRUE;
  return FALSE;
}

static HrPeer *
add_peer (HrCore *core)
{
  GArray *peers = core->membership.peers;
  g_array_set_size (peers, peers->len + 1);
  return &g_array_index (peers, HrPeer, peers->len - 1);
}

gboolean
hr_membership_status_received (HrCore *core, const HrPeerStatus *status)
{
  if (!is_member (core, status->label)) {
    g_info ("dropping a status from controller %s, which is not a member in the settings",
            status->label);
    return FALSE;
  }
  HrPeer *peer = hr_membership_peer (core, status->label);
  if (!peer)
    peer = add_peer (core);
  if (strcmp (peer->status.incarnation, status->incarnation) != 0)
    peer->cancellations_applied = 0; /* each process counts positions from 0 */
  peer->status = *status;
  peer->received_at = core->now;
  hr_cancellation_log_apply_named (core, peer);
  hr_cancellation_log_acknowledgement_received (core, peer);
  hr_attestation_record (core, peer);
  for (guint i = 0; i < status->n_oversized; i++)
    hr_record_format_handle_oversized_report (&core->store, status->oversized[i]);
  return TRUE;
}

void
hr_membership_tick (HrCore *core)
{
  double interval = core->membership.status_due_soon ? STATUS_SOON_INTERVAL_S : STATUS_INTERVAL_S;
  if (core->now - core->membership.status_sent_at >= interval)
    broadcast_status (core);
}
