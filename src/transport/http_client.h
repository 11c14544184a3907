/* The HTTP client for the controller's calls to the state store, the cloud and the workers. Every
 * call ends in exactly one %HR_COMMAND_RESULT, at its own deadline at the latest; a status of 0
 * stands for no usable answer. All of it runs on the default main context. */
#pragma once
#include "transport/http_server.h"

typedef struct HrHttpClient HrHttpClient;

/**
 * hr_http_client_sockets:
 * @sockets: how many the process may hold
 *
 * Returns: how many of them the calls may take
 */
guint hr_http_client_sockets (guint sockets);

/**
 * hr_http_client_new:
 * @store: IP:PORT of the state store
 * @cloud: IP:PORT of the cloud
 * @sockets: how many the process may hold
 * @sink: takes the results
 * @data: for @sink
 *
 * Returns: (transfer full): a client
 */
HrHttpClient *hr_http_client_new (const char *store, const char *cloud, guint sockets,
                                  HrCommandSink sink, gpointer data);

/**
 * hr_http_client_call:
 * @effect: an %HR_EFFECT_CALL, not used after the return
 *
 * Begins the call. Its result bears the effect's id.
 */
void hr_http_client_call (HrHttpClient *client, const HrEffect *effect);

/**
 * hr_http_client_free:
 *
 * Calls on their way must have ended, or the main loop must not run any more.
 */
void hr_http_client_free (HrHttpClient *client);
