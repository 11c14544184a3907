#include "transport/http_client.h"
#include <libsoup/soup.h>
#include <string.h>

/* An answer larger than this counts as none: no service has cause to send it. */
#define MAX_ANSWER_BYTES ((gsize)8 * 1024 * 1024)
/* Calls with a longer timeout are watches. */
#define WATCH_TIMEOUT_S 10
/* Longer than any call; each call has its own timer. */
#define SESSION_TIMEOUT_S 75
/* How long a connection stays open for the next call. */
#define IDLE_TIMEOUT_S 20
#define WORKER_IDLE_TIMEOUT_S 2
/* Connections to one worker. */
#define WORKER_CONNECTIONS 2
/* Connections to all workers together: at least so many, else this part of the sockets. */
#define MIN_WORKERS_CONNECTIONS 16
#define WORKERS_SOCKET_DIVISOR 10

/* A SoupSession holds calls back while another of its calls waits for a connection, and completes a
 * cancelled call only after that one. So the watches, which wait for long by design, the store, the
 * cloud and the workers each have a session of their own. */
typedef enum {
  SESSION_WATCH,
  SESSION_STORE,
  SESSION_CLOUD,
  SESSION_WORKERS,
  N_SESSIONS
} SessionKind;

struct HrHttpClient {
  SoupSession *sessions[N_SESSIONS];
  char *store, *cloud;
  HrCommandSink sink;
  gpointer data;
};

/* A call on its way. */
typedef struct {
  HrHttpClient *client;
  guint64 id;
  SoupMessage *msg;
  GCancellable *cancel;
  guint timer; /* of its deadline; 0: that has passed, and the result was given */
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

/* The result is given here, not when libsoup has carried the cancellation out: that may take until
 * other calls of the session have ended. */
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
  if (call->timer) {
    gboolean good = body && g_bytes_get_size (body) <= MAX_ANSWER_BYTES;
    g_source_remove (call->timer);
    give_result (call, good ? soup_message_get_status (call->msg) : 0,
                 good ? g_steal_pointer (&body) : NULL);
  }
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (call->cancel);
  g_object_unref (call->msg);
  g_free (call);
}

/* Connections to workers are seldom used twice soon, and each has its source in the main loop: a
 * tenth of the sockets is for them. */
static guint
pool_size (SessionKind kind, guint sockets)
{
  static const guint sizes[] = {[SESSION_WATCH] = 4, [SESSION_STORE] = 12, [SESSION_CLOUD] = 8};
  return kind == SESSION_WORKERS ? MAX (MIN_WORKERS_CONNECTIONS, sockets / WORKERS_SOCKET_DIVISOR)
                                 : sizes[kind];
}

guint
hr_http_client_sockets (guint sockets)
{
  guint n = 0;
  for (int i = 0; i < N_SESSIONS; i++)
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
  for (int i = 0; i < N_SESSIONS; i++) {
    guint connections = pool_size (i, sockets);
    gboolean workers = i == SESSION_WORKERS;
    client->sessions[i] = soup_session_new_with_options (
        "max-conns", connections, "max-conns-per-host", workers ? WORKER_CONNECTIONS : connections,
        "timeout", SESSION_TIMEOUT_S, "idle-timeout",
        workers ? WORKER_IDLE_TIMEOUT_S : IDLE_TIMEOUT_S, NULL);
    soup_session_set_proxy_resolver (client->sessions[i], NULL);
  }
  return client;
}

static char *
call_uri (const HrHttpClient *client, const HrEffect *effect)
{
  const char *host = effect->call.target == HR_TO_STORE   ? client->store
                     : effect->call.target == HR_TO_CLOUD ? client->cloud
                                                          : effect->call.address;
  return g_strdup_printf ("http://%s%s", host, effect->call.path);
}

static SessionKind
session_kind (const HrEffect *effect)
{
  return effect->call.target == HR_TO_WORKER        ? SESSION_WORKERS
         : effect->call.target == HR_TO_CLOUD       ? SESSION_CLOUD
         : effect->call.timeout_s > WATCH_TIMEOUT_S ? SESSION_WATCH
                                                    : SESSION_STORE;
}

static void
start_call (Call *call, const HrEffect *effect)
{
  soup_message_add_flags (call->msg, SOUP_MESSAGE_NO_REDIRECT);
  if (effect->body) {
    g_autoptr (GBytes) body = g_bytes_new (effect->body, strlen (effect->body));
    soup_message_set_request_body_from_bytes (call->msg, "application/json", body);
  }
  call->cancel = g_cancellable_new ();
  call->timer = g_timeout_add (MAX (1, (guint)(effect->call.timeout_s * 1000)), on_deadline, call);
  soup_session_send_and_read_async (call->client->sessions[session_kind (effect)], call->msg,
                                    G_PRIORITY_DEFAULT, call->cancel, on_done, call);
}

void
hr_http_client_call (HrHttpClient *client, const HrEffect *effect)
{
  static const char *const methods[] = {"GET", "POST", "DELETE"};
  g_autofree char *uri = call_uri (client, effect);
  Call *call = g_new0 (Call, 1);
  call->client = client;
  call->id = effect->id;
  call->msg = soup_message_new (methods[effect->call.method], uri);
  if (call->msg) {
    start_call (call, effect);
    return;
  }
  /* An address that makes no sense, perhaps from a worker's heartbeat. */
  give_result (call, 0, NULL);
  g_free (call);
}

void
hr_http_client_free (HrHttpClient *client)
{
  for (int i = 0; i < N_SESSIONS; i++)
    g_clear_object (&client->sessions[i]);
  g_free (client->store);
  g_free (client->cloud);
  g_free (client);
}
