/* The other controllers: what they state about once a second, and what follows from it. Times are
 * in seconds of the steady clock. */
#pragma once
#include "coordination/core.h"
#include "coordination/membership/membership_state.h"

/* Workers' heartbeats are counted in windows of so many seconds. */
#define HR_CONTACT_WINDOW_S 6.0

/* The controller with this label, or NULL when it was never heard. */
HrPeer *hr_membership_peer (const HrCore *core, const char *label);
/* Was it heard of late? */
gboolean hr_membership_peer_is_fresh (const HrCore *core, const HrPeer *peer);
/* Could it lead: heard of late, and served by the store? */
gboolean hr_membership_may_lead (const HrCore *core, const HrPeer *peer);
/* As far as the others say, does the store answer no controller? */
gboolean hr_membership_store_outage_for_all (const HrCore *core);
/* Up to when nobody else can have confirmed a cancellation that we have not read, or become the
 * leader: the least that any other controller has attested. 0: unknown. */
double hr_membership_attested_until (const HrCore *core);
/* Has every other controller stated that it reads records of this format? */
gboolean hr_membership_peers_support_format (const HrCore *core, guint format);
/* Heartbeats of workers in this window or the last one, whichever are more. */
guint hr_membership_count_contacts (HrCore *core);
/* Another controller's status has come. */
void hr_membership_status_received (HrCore *core, const HrPeerStatus *status);
/* Broadcasts our own status when it is due. */
void hr_membership_tick (HrCore *core);
