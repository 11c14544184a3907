/* The HTTP server for users and workers. Each complete request becomes an %HR_COMMAND_REQUEST; the
 * reply refers to the request by the command's id. When connections or the memory for bodies run
 * short, the server refuses requests, those of users first. All functions and callbacks run on the
 * default main context. */
#pragma once
#include "coordination/command.h"
#include "transport/load_shedding.h"

typedef struct HrHttpServer HrHttpServer;

/**
 * HrCommandSink:
 * @command: (transfer full): a request, a result or a peer's status that was received
 * @data: the argument that was given together with the sink
 *
 * Receives a command from the transport. A function of the transport may call the sink before the
 * function returns.
 */
typedef void (*HrCommandSink) (HrCommand *command, gpointer data);

/**
 * hr_http_server_new:
 * @address: IPv4 address and port to listen on, "IP:PORT"
 * @limits: what its clients may use
 * @sink: receives the requests
 * @data: argument for @sink
 * @error: a #GIOErrorEnum when the server cannot listen on @address
 *
 * Returns: (transfer full) (nullable): the server; %NULL with @error set
 */
HrHttpServer *hr_http_server_new (const char *address, HrHttpServerLimits limits,
                                  HrCommandSink sink, gpointer data, GError **error);

/**
 * hr_http_server_reply:
 * @effect: an %HR_EFFECT_REPLY to a request
 *
 * Answers the request with the id of @effect; does nothing if the client has closed its connection.
 */
void hr_http_server_reply (HrHttpServer *server, const HrEffect *effect);

/**
 * hr_http_server_flush:
 *
 * Sends the replies passed to hr_http_server_reply() so far, without waiting for the main loop.
 */
void hr_http_server_flush (HrHttpServer *server);

/**
 * hr_http_server_free:
 *
 * Closes all connections, also those whose requests have not been answered, and frees the server.
 */
void hr_http_server_free (HrHttpServer *server);
