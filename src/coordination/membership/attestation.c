#include "coordination/membership/attestation.h"
#include "coordination/membership/cancellation_log.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"

HrAttestationVerdict
hr_attestation_verdict (const HrCore *core, const HrPeer *peer)
{
  const HrPeerStatus *status = &peer->status;
  if (!status->synced)
    return HR_ATTESTATION_NOT_SYNCED;
  if (status->fencing_token > core->leadership.fencing_token)
    return HR_ATTESTATION_NEWER_LEADER;
  if (status->latest_cancellation > core->store.replica.applied_revision &&
      !hr_cancellation_log_all_applied (core, peer))
    return HR_ATTESTATION_CANCELLATION_UNKNOWN;
  return HR_ATTESTATION_HOLDS;
}

void
hr_attestation_record (const HrCore *core, HrPeer *peer)
{
  if (hr_attestation_verdict (core, peer) != HR_ATTESTATION_HOLDS)
    return;
  for (guint i = 0; i < peer->status.n_echoes; i++) {
    const HrEcho *echo = &peer->status.echoes[i];
    /* An echoed clock value of an earlier process of this node is meaningless: each process has its
     * own clock. */
    if (hr_echo_is_for (echo, core->settings->label, core->incarnation) && echo->clock <= core->now)
      peer->attested_at = MAX (peer->attested_at, echo->clock);
  }
}

double
hr_attestation_valid_until (const HrCore *core)
{
  if (!core->store.replica.synced_once)
    return 0;
  double until = core->now;
  for (guint i = 0; i < core->settings->members->len; i++) {
    const char *label = g_array_index (core->settings->members, HrMember, i).label;
    const HrPeer *peer = hr_membership_peer (core, label);
    until = MIN (until, peer ? peer->attested_at : 0);
  }
  return until;
}
