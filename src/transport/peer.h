/* Exchange of statuses between controllers. A status is a protobuf message with its length as
 * prefix, sent over TCP. This controller connects to every other controller and sends its own
 * statuses on these connections; it receives statuses on the connections that other controllers
 * make. Statuses are neither queued nor retransmitted, since the next one supersedes them a second
 * later. All functions and callbacks run on the default main context. */
#pragma once
#include "protocol/settings.h"
#include "transport/http_server.h"

typedef struct HrPeers HrPeers;

/**
 * hr_peers_new:
 * @settings: settings with the address to listen on (`back`) and the other controllers (`members`)
 * @sink: receives an %HR_COMMAND_PEER_STATUS for each incoming status
 * @data: argument for @sink
 * @error: a #GIOErrorEnum when this controller cannot listen on the address
 *
 * Starts to listen for connections of the other controllers.
 *
 * Returns: (transfer full) (nullable): the connections; %NULL with @error set
 */
HrPeers *hr_peers_new (const HrSettings *settings, HrCommandSink sink, gpointer data,
                       GError **error);

/**
 * hr_peers_send_status:
 *
 * Sends the status on every open connection, except where the previous status is still being
 * written, and starts to connect to controllers without a connection. A status that does not fit in
 * a frame is not sent.
 */
void hr_peers_send_status (HrPeers *peers, const HrPeerStatus *status);

/**
 * hr_peers_free:
 *
 * Closes the listener and all connections that this controller made.
 */
void hr_peers_free (HrPeers *peers);
