/* Hints between controllers: protobuf-c messages behind a length, over TCP. */
#pragma once
#include "protocol/settings.h"
#include "transport/http_server.h"

typedef struct HrPeers HrPeers;

HrPeers *hr_peers_new (const HrSettings *s, HrCommandSink sink, gpointer data, GError **error);
void hr_peers_tell (HrPeers *p, const HrPeerStatus *h);
void hr_peers_free (HrPeers *p);
