#include "transport/http_client.h"
#include <libsoup/soup.h>
#include <string.h>

/* Larger answers are dropped. Pages of lists have at most 512 KiB; only the answer with the changes
 * of the state store has no limit, and parsed it takes sixteen times its size in memory. */
#define MAX_ANSWER_BYTES ((gsize)1024 * 1024)
/* Calls to the state store with a longer timeout are watches. */
#define WATCH_TIMEOUT_S 10
/* Longer than any call, since each call has a timer of its own. */
#define SESSION_TIMEOUT_S 75
/* Time after which an unused connection is closed. */
#define IDLE_TIMEOUT_S 20
#define WORKER_IDLE_TIMEOUT_S 2
/* Maximum number of connections to one worker. */
#define WORKER_CONNECTIONS 2
/* Maximum number of connections to all workers: the process's sockets divided by the divisor, but
 * at least the minimum. */
#define MIN_WORKERS_CONNECTIONS 16
#define WORKERS_SOCKET_DIVISOR 10

/* While a call of a SoupSession waits for a connection, the session delays its other calls, and
 * completes a cancelled call only after that one. So there are separate sessions for watches, whose
 * answers take long by design, for other calls to the store, for the cloud and for the workers. */
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

/* A call that has not completed. */
typedef struct {
  HrHttpClient *client;
  guint64 id;
  SoupMessage *msg;
  GCancellable *cancel;
  guint timer; /* source of the deadline; 0: the result was delivered before the call has ended */
} Call;

static void
deliver_result (Call *call, guint status, GBytes *body)
{
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = call->id;
  command->result.status = status;
  command->body = body;
  call->client->sink (command, call->client->data);
}

/* Delivers the result at once rather than when libsoup completes the cancelled call, which may be
 * after other calls of the session have ended. */
static gboolean
on_deadline (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  deliver_result (call, 0, NULL);
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

/* Ends a call whose answer is announced as too large before its body is read. */
static void
on_headers (SoupMessage *msg, gpointer data)
{
  Call *call = data;
  SoupMessageHeaders *headers = soup_message_get_response_headers (msg);
  if (!call->timer ||
      soup_message_headers_get_content_length (headers) <= (goffset)MAX_ANSWER_BYTES)
    return;
  g_source_remove (call->timer);
  call->timer = 0;
  deliver_result (call, HR_STATUS_ANSWER_TOO_LARGE, NULL);
  g_cancellable_cancel (call->cancel);
}

/* Delivers the answer; NULL: none was received. */
static void
deliver_answer (Call *call, GBytes *body)
{
  if (!body)
    deliver_result (call, 0, NULL);
  else if (g_bytes_get_size (body) > MAX_ANSWER_BYTES)
    deliver_result (call, HR_STATUS_ANSWER_TOO_LARGE, NULL);
  else
    deliver_result (call, soup_message_get_status (call->msg), g_bytes_ref (body));
}

static void
on_done (GObject *src, GAsyncResult *res, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (src), res, &error);
  if (call->timer) {
    g_source_remove (call->timer);
    deliver_answer (call, body);
  }
  g_object_unref (call->cancel);
  g_object_unref (call->msg);
  g_free (call);
}

/* Returns the maximum number of connections of a session. Workers get only a tenth of the sockets:
 * their connections are rarely reused soon, and each adds a source to the main loop. */
static guint
pool_size (SessionKind kind, guint sockets)
{
  static const guint sizes[] = {[SESSION_WATCH] = 4, [SESSION_STORE] = 12, [SESSION_CLOUD] = 8};
  return kind == SESSION_WORKERS ? MAX (MIN_WORKERS_CONNECTIONS, sockets / WORKERS_SOCKET_DIVISOR)
                                 : sizes[kind];
}

guint
hr_http_client_max_sockets (guint sockets)
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
    gboolean is_workers = i == SESSION_WORKERS;
    client->sessions[i] = soup_session_new_with_options (
        "max-conns", connections, "max-conns-per-host",
        is_workers ? WORKER_CONNECTIONS : connections, "timeout", SESSION_TIMEOUT_S, "idle-timeout",
        is_workers ? WORKER_IDLE_TIMEOUT_S : IDLE_TIMEOUT_S, NULL);
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
  g_signal_connect (call->msg, "got-headers", G_CALLBACK (on_headers), call);
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
  /* The address is invalid; it may come from a worker's heartbeat. */
  deliver_result (call, 0, NULL);
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
