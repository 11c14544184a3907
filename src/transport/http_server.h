/* The HTTP server for users and workers: each complete request becomes an %HR_COMMAND_REQUEST, and
 * its reply is sent by the command's id. Requests that are too many for the sockets are refused
 * here, users' first. All of it runs on the default main context. */
#pragma once
#include "coordination/command.h"

typedef struct HrHttpServer HrHttpServer;

/**
 * HrCommandSink:
 * @command: (transfer full): what has come in
 * @data: as given along with the sink
 *
 * Takes a command from the transport. It may be called from within a call of the transport's.
 */
typedef void (*HrCommandSink) (HrCommand *command, gpointer data);

/**
 * hr_http_server_new:
 * @address: IPv4 address and port to listen on, "IP:PORT"
 * @connections: how many it may hold; the last few are reserved for workers
 * @sink: takes the requests
 * @data: for @sink
 * @error: a #GIOErrorEnum when the address cannot be listened on
 *
 * Returns: (transfer full) (nullable): %NULL with @error set
 */
HrHttpServer *hr_http_server_new (const char *address, guint connections, HrCommandSink sink,
                                  gpointer data, GError **error);

/**
 * hr_http_server_reply:
 * @effect: an %HR_EFFECT_REPLY to a request
 *
 * Answers the request of that id; does nothing when its client is gone.
 */
void hr_http_server_reply (HrHttpServer *server, const HrEffect *effect);

/**
 * hr_http_server_flush:
 *
 * Sends the replies that were given so far, without waiting for the main loop.
 */
void hr_http_server_flush (HrHttpServer *server);

/**
 * hr_http_server_free:
 *
 * Closes all connections; requests without a reply get none.
 */
void hr_http_server_free (HrHttpServer *server);
