/* The other controllers: the statuses that they and we broadcast about once a second, and what
 * follows from them. The settings list the other members; a peer is one that was heard. Any module
 * of the core may ask; times are in seconds of the steady clock. */
#pragma once
#include "coordination/core.h"
#include "coordination/membership/membership_state.h"

/* Workers' heartbeats are counted in windows of so many seconds. */
#define HR_CONTACT_WINDOW_S 6.0

/**
 * hr_membership_init:
 * @membership: the part, zeroed
 */
void hr_membership_init (HrMembership *membership);

/**
 * hr_membership_clear:
 * @membership: the part to clear
 *
 * Frees what it holds, but not the struct.
 */
void hr_membership_clear (HrMembership *membership);

/**
 * hr_membership_peer:
 * @core: the controller
 * @label: another controller's label
 *
 * Returns: (transfer none) (nullable): what is known of it; %NULL when it was never heard. Valid
 * until the next status is received.
 */
HrPeer *hr_membership_peer (const HrCore *core, const char *label);

/**
 * hr_membership_peer_is_fresh:
 * @core: the controller
 * @peer: another one
 *
 * Returns: whether its latest status is recent enough to say something about now
 */
gboolean hr_membership_peer_is_fresh (const HrCore *core, const HrPeer *peer);

/**
 * hr_membership_may_lead:
 * @core: the controller
 * @peer: another one
 *
 * Returns: whether it could lead: it was heard of late, and the store serves it
 */
gboolean hr_membership_may_lead (const HrCore *core, const HrPeer *peer);

/**
 * hr_membership_store_outage_for_all:
 * @core: the controller
 *
 * A node that hears no other one cannot tell an outage of the store from a cut of its own. It takes
 * it for a cut: it is not ready, so that users go elsewhere, and soon no longer answers workers.
 *
 * Returns: whether some other controller is heard, or there is none, and the store serves none of
 * those that are heard
 */
gboolean hr_membership_store_outage_for_all (const HrCore *core);

/**
 * hr_membership_peers_support_format:
 * @core: the controller
 * @format: a format of records
 *
 * What a peer stated once goes on to hold: after an upgrade its processes come back newer.
 *
 * Returns: whether every other member has stated that it understands the format
 */
gboolean hr_membership_peers_support_format (const HrCore *core, guint format);

/**
 * hr_membership_count_contacts:
 * @core: the controller
 *
 * Begins a new window when the current one is over.
 *
 * Returns: how many heartbeats came in this window or the last one, whichever are more
 */
guint hr_membership_count_contacts (HrCore *core);

/**
 * hr_membership_status_received:
 * @core: the controller
 * @status: what another controller states
 *
 * Takes the status over and acts on it, but for what concerns leadership. One whose sender is no
 * member is logged and dropped.
 *
 * Returns: %FALSE when it was dropped
 */
gboolean hr_membership_status_received (HrCore *core, const HrPeerStatus *status);

/**
 * hr_membership_tick:
 * @core: the controller
 *
 * Broadcasts our own status when it is due.
 */
void hr_membership_tick (HrCore *core);
