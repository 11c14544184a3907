/* HTTP in: every request becomes a command; replies come back by its id. */
#pragma once
#include "coordination/command.h"

typedef struct HrHttpServer HrHttpServer;
typedef void (*HrCommandSink) (HrCommand *c, gpointer data);

HrHttpServer *hr_http_server_new (const char *address, HrCommandSink sink, gpointer data,
                                  GError **error);
void hr_http_server_reply (HrHttpServer *s, const HrEffect *e);
void hr_http_server_free (HrHttpServer *s);
