/* The wire format of a controller's status: a protobuf message, defined in peer.proto. Controllers
 * of different versions exchange it, so fields may only be added. */
#pragma once
#include "coordination/membership/peer_status.h"

/* Maximum size of a frame in bytes. All versions close a connection that announces a larger one. */
#define HR_MAX_FRAME 4096

/**
 * hr_peer_status_pack:
 * @status: a status
 * @frame: (out): the serialised status
 *
 * Returns: the length of the serialised status in bytes; 0 when it does not fit
 */
gsize hr_peer_status_pack (const HrPeerStatus *status, guint8 frame[HR_MAX_FRAME]);

/**
 * hr_peer_status_unpack:
 * @status: (out): the status, zeroed by the caller
 * @frame: a serialised status
 * @len: length of @frame in bytes
 *
 * Parses a frame. Truncates strings that are too long, and drops list entries beyond the capacity
 * of a list.
 *
 * Returns: %FALSE when @frame is not a valid status
 */
gboolean hr_peer_status_unpack (HrPeerStatus *status, const guint8 *frame, gsize len);
