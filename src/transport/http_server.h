/* HTTP in: every request becomes a command; replies come back by its id. */
#pragma once
#include "coordination/command.h"

typedef struct HrHttpServer HrHttpServer;
typedef void (*HrCommandSink) (HrCommand *command, gpointer data);

/* connections: how many it may hold; the last few are kept from users. */
HrHttpServer *hr_http_server_new (const char *address, guint connections, HrCommandSink sink,
                                  gpointer data, GError **error);
void hr_http_server_reply (HrHttpServer *server, const HrEffect *effect);
/* Sends the replies given so far. */
void hr_http_server_flush (HrHttpServer *server);
void hr_http_server_free (HrHttpServer *server);
