/* The HTTP client for the controller's calls to the state store, the cloud and the workers. Every
 * call produces exactly one %HR_COMMAND_RESULT, no later than its deadline; status 0 means that
 * there is no usable answer. All functions and callbacks run on the default main context. */
#pragma once
#include "transport/http_server.h"

typedef struct HrHttpClient HrHttpClient;

/**
 * hr_http_client_max_sockets:
 * @sockets: maximum number of sockets of the process
 *
 * Returns: the maximum number of sockets that the client uses
 */
guint hr_http_client_max_sockets (guint sockets);

/**
 * hr_http_client_new:
 * @store: IP:PORT of the state store
 * @cloud: IP:PORT of the cloud
 * @sockets: maximum number of sockets of the process
 * @sink: receives the results
 * @data: argument for @sink
 *
 * Returns: (transfer full): a client
 */
HrHttpClient *hr_http_client_new (const char *store, const char *cloud, guint sockets,
                                  HrCommandSink sink, gpointer data);

/**
 * hr_http_client_call:
 * @effect: an %HR_EFFECT_CALL; not used after the function returns
 *
 * Starts the call. Its result has the id of @effect.
 */
void hr_http_client_call (HrHttpClient *client, const HrEffect *effect);

/**
 * hr_http_client_free:
 *
 * Frees the client. Either all calls must have ended, or the main loop must not run again.
 */
void hr_http_client_free (HrHttpClient *client);
