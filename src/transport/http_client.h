/* HTTP out: every call ends in exactly one result command, by its own deadline at the latest. */
#pragma once
#include "transport/http_server.h"

typedef struct HrHttpClient HrHttpClient;

/* How many sockets its calls may take of a process that may hold so many. */
guint hr_http_client_sockets (guint sockets);
/* sockets: how many the process may hold. */
HrHttpClient *hr_http_client_new (const char *store, const char *cloud, guint sockets,
                                  HrCommandSink sink, gpointer data);
void hr_http_client_call (HrHttpClient *client, const HrEffect *effect);
void hr_http_client_free (HrHttpClient *client);
