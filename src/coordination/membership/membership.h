/* Cluster membership: the statuses that all controllers broadcast about once a second, and the
 * conclusions drawn from them. The settings list the other members; a peer is a member that has
 * sent at least one status. Any module of the core may call these functions. Times are monotonic,
 * in seconds. */
#pragma once
#include "coordination/core.h"
#include "coordination/membership/membership_state.h"

/* Length of the windows in which workers' heartbeats are counted. */
#define HR_CONTACT_WINDOW_S 6.0

/**
 * hr_membership_init:
 * @membership: the zeroed membership state
 *
 * Allocates the list of peers.
 */
void hr_membership_init (HrMembership *membership);

/**
 * hr_membership_clear:
 * @membership: the membership state to clear
 *
 * Frees the members of the struct, but not the struct itself.
 */
void hr_membership_clear (HrMembership *membership);

/**
 * hr_membership_peer:
 * @core: the controller
 * @label: another controller's label
 *
 * Returns: (transfer none) (nullable): the peer with this label; %NULL if it has sent no status.
 * Valid until the next status is received.
 */
HrPeer *hr_membership_peer (const HrCore *core, const char *label);

/**
 * hr_membership_peer_is_fresh:
 * @core: the controller
 * @peer: another controller
 *
 * Returns: whether the peer's latest status is recent enough to describe its present state
 */
gboolean hr_membership_peer_is_fresh (const HrCore *core, const HrPeer *peer);

/**
 * hr_membership_may_lead:
 * @core: the controller
 * @peer: another controller
 *
 * Returns: whether the peer could lead: its latest status is recent, and the store answers it
 */
gboolean hr_membership_may_lead (const HrCore *core, const HrPeer *peer);

/**
 * hr_membership_store_outage_for_all:
 * @core: the controller
 *
 * A node that receives no statuses cannot distinguish an outage of the store from a network
 * partition of its own. It assumes a partition: it reports that it is not ready, so that users go
 * to another controller, and soon stops answering workers.
 *
 * Returns: whether the store answers no peer whose status is recent, and there is at least one such
 * peer or this node is the only member
 */
gboolean hr_membership_store_outage_for_all (const HrCore *core);

/**
 * hr_membership_peers_support_format:
 * @core: the controller
 * @format: a version of the record format
 *
 * The format that a peer has stated stays valid after its status is no longer recent, since an
 * upgrade only replaces its process by a newer version.
 *
 * Returns: whether every other member has stated that it understands the format
 */
gboolean hr_membership_peers_support_format (const HrCore *core, guint format);

/**
 * hr_membership_count_contacts:
 * @core: the controller
 *
 * Begins a new window if the current one has ended.
 *
 * Returns: the number of heartbeats in the current or the previous window, whichever is larger
 */
guint hr_membership_count_contacts (HrCore *core);

/**
 * hr_membership_status_received:
 * @core: the controller
 * @status: the status of another controller
 *
 * Stores the status and acts on it, except on the parts that concern leadership. A status whose
 * sender is not a member is logged and dropped.
 *
 * Returns: %FALSE if the status was dropped
 */
gboolean hr_membership_status_received (HrCore *core, const HrPeerStatus *status);

/**
 * hr_membership_tick:
 * @core: the controller
 *
 * Broadcasts this node's status when it is due.
 */
void hr_membership_tick (HrCore *core);
