/* The wire format of a status between controllers: a protobuf message, see peer.proto. Versions of
 * the program exchange it, so fields are only added. */
#pragma once
#include "coordination/membership/peer_status.h"

/* Bytes. A frame that claims to be larger ends its connection, in all versions. */
#define HR_MAX_FRAME 4096

/**
 * hr_peer_status_pack:
 * @status: to be sent
 * @frame: (out): the message
 *
 * Returns: the bytes used; 0 when the status does not fit
 */
gsize hr_peer_status_pack (const HrPeerStatus *status, guint8 frame[HR_MAX_FRAME]);

/**
 * hr_peer_status_unpack:
 * @status: (out): zeroed before
 * @frame: a message
 * @len: its bytes
 *
 * Texts that are too long are cut short, and what exceeds a list is left out.
 *
 * Returns: %FALSE when these bytes are no status
 */
gboolean hr_peer_status_unpack (HrPeerStatus *status, const guint8 *frame, gsize len);
