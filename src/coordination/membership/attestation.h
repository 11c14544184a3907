/* Attestation by all members: while the store answers no controller, the leader goes on answering
 * workers for hold_s after the time as of which every other member has stated that it knows of no
 * newer leader, and of no cancellation that the leader does not know. The proof that this is safe
 * is in docs/design.md, "Leadership". Times are in seconds of our steady clock. */
#pragma once
#include "coordination/core.h"
#include "coordination/membership/membership_state.h"

/* Does a peer's status attest that we may go on as the leader? */
typedef enum {
  HR_ATTESTATION_HOLDS,
  HR_ATTESTATION_NOT_SYNCED,          /* the peer has not read the whole store yet */
  HR_ATTESTATION_NEWER_LEADER,        /* it knows of a newer leader record */
  HR_ATTESTATION_CANCELLATION_UNKNOWN /* it knows of a cancellation that we may not know */
} HrAttestationVerdict;

/**
 * hr_attestation_verdict:
 * @core: the controller
 * @peer: another one, whose latest status counts
 *
 * What the peer names of its log must have been taken in before
 * (hr_cancellation_log_take_named()). Whether the store serves the peer does not matter: what it
 * decides or reads later is in what it states later.
 *
 * Returns: whether the status is an attestation, or why not
 */
HrAttestationVerdict hr_attestation_verdict (const HrCore *core, const HrPeer *peer);

/**
 * hr_attestation_note:
 * @core: the controller
 * @peer: another one, whose status has just come
 *
 * Takes note of the peer's attestation, if it is one. It counts as of the clock of ours that the
 * status echoes, so that a late copy of a status is as old as that clock.
 */
void hr_attestation_note (const HrCore *core, HrPeer *peer);

/**
 * hr_attestation_valid_until:
 * @core: the controller
 *
 * Returns: the time up to which nobody else can have confirmed a cancellation that we do not know,
 * or become the leader: the earliest that any other member attests; now, where there are no other
 * members; 0, when some member has attested nothing or we have not read the whole store
 */
double hr_attestation_valid_until (const HrCore *core);
