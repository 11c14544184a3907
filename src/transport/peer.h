/* Statuses between controllers: over TCP, each a protobuf message behind its length. This
 * controller connects to every other one and sends; what others send comes in on connections that
 * they make. Nothing is queued or sent again: a status is superseded by the next one, a second
 * later. All of it runs on the default main context. */
#pragma once
#include "protocol/settings.h"
#include "transport/http_server.h"

typedef struct HrPeers HrPeers;

/**
 * hr_peers_new:
 * @settings: where to listen (`back`), and the other controllers (`members`)
 * @sink: takes an %HR_COMMAND_PEER_STATUS for each status that comes in
 * @data: for @sink
 * @error: a #GIOErrorEnum when the address cannot be listened on
 *
 * Returns: (transfer full) (nullable): %NULL with @error set
 */
HrPeers *hr_peers_new (const HrSettings *settings, HrCommandSink sink, gpointer data,
                       GError **error);

/**
 * hr_peers_tell:
 *
 * Sends the status to every other controller that is connected and has taken the status before; a
 * connection that is missing is begun. A status that is too large for a frame is not sent.
 */
void hr_peers_tell (HrPeers *peers, const HrPeerStatus *status);

/**
 * hr_peers_free:
 *
 * Closes all connections that this controller made, and the listener.
 */
void hr_peers_free (HrPeers *peers);
