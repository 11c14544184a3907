/* Attestation by all members: while the store answers no controller, the leader continues to answer
 * workers for hold_s after the time as of which every other member has stated that it knows of no
 * newer leader and of no cancellation that the leader does not know. The proof that this is safe is
 * in docs/design.md, "Leadership". Times are in seconds of this node's monotonic clock. */
#pragma once
#include "coordination/core.h"
#include "coordination/membership/membership_state.h"

/* Whether a peer's status attests that this node may continue as the leader. */
typedef enum {
  HR_ATTESTATION_HOLDS,
  HR_ATTESTATION_NOT_SYNCED,          /* the peer has not read the whole store yet */
  HR_ATTESTATION_NEWER_LEADER,        /* the peer knows of a newer leader record */
  HR_ATTESTATION_CANCELLATION_UNKNOWN /* the peer knows of a cancellation that this node
                                         may not know */
} HrAttestationVerdict;

/**
 * hr_attestation_verdict:
 * @core: the controller
 * @peer: the peer whose latest status is checked
 *
 * The cancellations that the status names must have been applied before
 * (hr_cancellation_log_apply_named()). Whether the store answers the peer does not matter: what the
 * peer decides or reads after this status appears in its later statuses.
 *
 * Returns: whether the status is an attestation, or why not
 */
HrAttestationVerdict hr_attestation_verdict (const HrCore *core, const HrPeer *peer);

/**
 * hr_attestation_record:
 * @core: the controller
 * @peer: the peer whose status was just received
 *
 * Records the peer's attestation, if its status is one. The attestation is valid as of this node's
 * clock value that the status echoes, so a delayed copy of a status counts only from that time.
 */
void hr_attestation_record (const HrCore *core, HrPeer *peer);

/**
 * hr_attestation_valid_until:
 * @core: the controller
 *
 * Returns: the time up to which no other controller can have become the leader or confirmed a
 * cancellation that this node does not know. This is the earliest attestation time of all other
 * members; now, if there are no other members; 0, if some member has attested nothing or this node
 * has not read the whole store
 */
double hr_attestation_valid_until (const HrCore *core);
