/* The form of a status between controllers: a protobuf message, see peer.proto. */
#pragma once
#include "coordination/membership/peer_status.h"

/* Bytes. A frame that claims to be larger ends its connection, in all versions. */
#define HR_MAX_FRAME 4096

/* Writes the status; returns the bytes used, 0 when it does not fit. */
gsize hr_peer_status_pack (const HrPeerStatus *status, guint8 frame[HR_MAX_FRAME]);
/* FALSE: these bytes are no status. What is too long or too much is left out. */
gboolean hr_peer_status_unpack (HrPeerStatus *status, const guint8 *frame, gsize len);
