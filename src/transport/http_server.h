/* HTTP in: every request becomes a command; replies come back by its id. */
#pragma once
#include "coordination/command.h"

typedef struct HrHttpServer HrHttpServer;
typedef void (*HrCommandSink) (HrCommand *c, gpointer data);

/* sockets: how many the process may hold. */
HrHttpServer *hr_http_server_new (const char *address, guint sockets, HrCommandSink sink,
                                  gpointer data, GError **error);
void hr_http_server_reply (HrHttpServer *s, const HrEffect *e);
/* Sends the replies given so far. */
void hr_http_server_flush (HrHttpServer *s);
void hr_http_server_free (HrHttpServer *s);
