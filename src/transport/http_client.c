#include "transport/http_client.h"
#include <libsoup/soup.h>
#include <string.h>

/* An answer larger than this is not read: no peer of ours has cause to send it. */
#define MAX_ANSWER (8 * 1024 * 1024)

struct HrHttpClient {
  SoupSession *session;
  char *store, *cloud;
  HrCommandSink sink;
  gpointer data;
};

typedef struct {
  HrHttpClient *client;
  guint64 id;
  SoupMessage *msg;
  GCancellable *cancel;
  guint timer;
} Call;

static gboolean
on_deadline (gpointer p)
{
  Call *call = p;
  call->timer = 0;
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
on_done (GObject *src, GAsyncResult *res, gpointer p)
{
  Call *call = p;
  g_autoptr (GError) error = NULL;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (src), res, &error);
  HrCommand *c = hr_command_new (HR_C_RESULT);
  c->id = call->id;
  if (body && g_bytes_get_size (body) <= MAX_ANSWER) {
    c->status = soup_message_get_status (call->msg);
    c->body = g_steal_pointer (&body);
  }
  g_clear_pointer (&body, g_bytes_unref);
  call->client->sink (c, call->client->data);
  if (call->timer)
    g_source_remove (call->timer);
  g_object_unref (call->cancel);
  g_object_unref (call->msg);
  g_free (call);
}

HrHttpClient *
hr_http_client_new (const char *store, const char *cloud, HrCommandSink sink, gpointer data)
{
  HrHttpClient *c = g_new0 (HrHttpClient, 1);
  c->store = g_strdup (store);
  c->cloud = g_strdup (cloud);
  c->sink = sink;
  c->data = data;
  c->session = soup_session_new_with_options ("max-conns", 600, "max-conns-per-host", 12, "timeout",
                                              75, "idle-timeout", 20, NULL);
  soup_session_set_proxy_resolver (c->session, NULL);
  return c;
}

void
hr_http_client_call (HrHttpClient *c, const HrEffect *e)
{
  static const char *const methods[] = {"GET", "POST", "DELETE"};
  const char *host = e->target == HR_TO_STORE   ? c->store
                     : e->target == HR_TO_CLOUD ? c->cloud
                                                : e->addr;
  g_autofree char *uri = g_strdup_printf ("http://%s%s", host, e->path);
  Call *call = g_new0 (Call, 1);
  call->client = c;
  call->id = e->id;
  call->msg = soup_message_new (methods[e->method], uri);
  if (!call->msg) { /* an address that makes no sense, from a worker's report perhaps */
    HrCommand *r = hr_command_new (HR_C_RESULT);
    r->id = e->id;
    g_free (call);
    c->sink (r, c->data);
    return;
  }
  soup_message_add_flags (call->msg, SOUP_MESSAGE_NO_REDIRECT);
  if (e->body) {
    g_autoptr (GBytes) b = g_bytes_new (e->body, strlen (e->body));
    soup_message_set_request_body_from_bytes (call->msg, "application/json", b);
  }
  call->cancel = g_cancellable_new ();
  call->timer = g_timeout_add (MAX (1, (guint)(e->timeout_s * 1000)), on_deadline, call);
  soup_session_send_and_read_async (c->session, call->msg, G_PRIORITY_DEFAULT, call->cancel,
                                    on_done, call);
}

void
hr_http_client_free (HrHttpClient *c)
{
  g_clear_object (&c->session);
  g_free (c->store);
  g_free (c->cloud);
  g_free (c);
}
