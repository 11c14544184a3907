/* Statuses between controllers: protobuf-c messages behind a length, over TCP. */
#pragma once
#include "protocol/settings.h"
#include "transport/http_server.h"

typedef struct HrPeers HrPeers;

HrPeers *hr_peers_new (const HrSettings *settings, HrCommandSink sink, gpointer data,
                       GError **error);
void hr_peers_tell (HrPeers *peers, const HrPeerStatus *status);
void hr_peers_free (HrPeers *peers);
