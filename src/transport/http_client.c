#include "transport/http_client.h"
#include <libsoup/soup.h>
#include <string.h>

/* An answer larger than this is not read: no peer of ours has cause to send it. */
#define MAX_ANSWER ((gsize)8 * 1024 * 1024)
/* Calls that may wait longer are watches. */
#define WATCH_S 10

/* An incarnation holds calls back while another of its calls waits for a connection, and
 * ends a cancelled one only when that one ends. So what waits for long by design (the
 * watches), the store, the cloud and the workers each have an incarnation of their own. */
typedef enum { S_WATCH, S_STORE, S_CLOUD, S_WORKERS, S_COUNT } SessionKind;

struct HrHttpClient {
  SoupSession *sessions[S_COUNT];
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

static void
give_result (Call *call, guint status, GBytes *body)
{
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = call->id;
  command->result.status = status;
  command->body = body;
  call->client->sink (command, call->client->data);
}

/* The result is given here, not when libsoup has carried the cancellation out: that
 * may take until other calls of the incarnation have ended. */
static gboolean
on_deadline (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  give_result (call, 0, NULL);
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
on_done (GObject *src, GAsyncResult *res, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (src), res, &error);
  if (call->timer) { /* else its deadline came first */
    gboolean good = body && g_bytes_get_size (body) <= MAX_ANSWER;
    g_source_remove (call->timer);
    give_result (call, good ? soup_message_get_status (call->msg) : 0,
                 good ? g_steal_pointer (&body) : NULL);
  }
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (call->cancel);
  g_object_unref (call->msg);
  g_free (call);
}

/* Connections to workers are seldom used twice soon, and each has its source in the main
 * loop: a tenth of the sockets is for them. */
static guint
pool_size (SessionKind kind, guint sockets)
{
  static const guint few[] = {[S_WATCH] = 4, [S_STORE] = 12, [S_CLOUD] = 8};
  return kind == S_WORKERS ? MAX (16, sockets / 10) : few[kind];
}

guint
hr_http_client_sockets (guint sockets)
{
  guint n = 0;
  for (int i = 0; i < S_COUNT; i++)
    n += pool_size (i, sockets);
  return n;
}

HrHttpClient *
hr_http_client_new (const char *store, const char *cloud, guint sockets, HrCommandSink sink,
                    gpointer data)
{
  HrHttpClient *client = g_new0 (HrHttpClient, 1);
  client->store = g_strdup (store);
  client->cloud = g_strdup (cloud);
  client->sink = sink;
  client->data = data;
  for (int i = 0; i < S_COUNT; i++) {
    guint most = pool_size (i, sockets);
    client->sessions[i] = soup_session_new_with_options (
        "max-conns", most, "max-conns-per-host", i == S_WORKERS ? 2 : most, "timeout", 75,
        "idle-timeout", i == S_WORKERS ? 2 : 20, NULL);
    soup_session_set_proxy_resolver (client->sessions[i], NULL);
  }
  return client;
}

void
hr_http_client_call (HrHttpClient *client, const HrEffect *effect)
{
  static const char *const methods[] = {"GET", "POST", "DELETE"};
  const char *host = effect->call.target == HR_TO_STORE   ? client->store
                     : effect->call.target == HR_TO_CLOUD ? client->cloud
                                                          : effect->call.address;
  g_autofree char *uri = g_strdup_printf ("http://%s%s", host, effect->call.path);
  Call *call = g_new0 (Call, 1);
  call->client = client;
  call->id = effect->id;
  call->msg = soup_message_new (methods[effect->call.method], uri);
  if (!call->msg) { /* an address that makes no sense, from a worker's report perhaps */
    HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
    command->id = effect->id;
    g_free (call);
    client->sink (command, client->data);
    return;
  }
  soup_message_add_flags (call->msg, SOUP_MESSAGE_NO_REDIRECT);
  if (effect->body) {
    g_autoptr (GBytes) body = g_bytes_new (effect->body, strlen (effect->body));
    soup_message_set_request_body_from_bytes (call->msg, "application/json", body);
  }
  call->cancel = g_cancellable_new ();
  call->timer = g_timeout_add (MAX (1, (guint)(effect->call.timeout_s * 1000)), on_deadline, call);
  SessionKind kind = effect->call.target == HR_TO_WORKER  ? S_WORKERS
                     : effect->call.target == HR_TO_CLOUD ? S_CLOUD
                     : effect->call.timeout_s > WATCH_S   ? S_WATCH
                                                          : S_STORE;
  soup_session_send_and_read_async (client->sessions[kind], call->msg, G_PRIORITY_DEFAULT,
                                    call->cancel, on_done, call);
}

void
hr_http_client_free (HrHttpClient *client)
{
  for (int i = 0; i < S_COUNT; i++)
    g_clear_object (&client->sessions[i]);
  g_free (client->store);
  g_free (client->cloud);
  g_free (client);
}
