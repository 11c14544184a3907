/* HTTP between the controllers and the simulated services and workers. A request of either side
 * becomes a message of the simulated cluster, which delays, drops or duplicates it according to the
 * planned faults. Messages that the cluster delivers are sent over real HTTP. */
#include "emulator/emulator.h"
#include "json_variants.h"
#include "sim/request.h"
#include <string.h>

/* Timeout of calls by controllers: longer than every timeout of the controllers themselves, the
 * longest of which is that of watches. */
#define CALL_TIMEOUT_S 30.0
/* Timeout of requests to controllers, in seconds: no client in the cluster waits longer. Abandoned
 * requests must leave the SoupSession, because its cost per message grows with the number of open
 * messages. */
#define REQUEST_TIMEOUT_S 6
/* Limit of connections to one controller. */
#define MAX_CONNECTIONS 200
/* Data key set on a message whose client has closed the connection. */
#define DISCONNECTED_KEY "disconnected"

/* Bodies above this size are left as they are: a request may have 64 KiB. */
#define MAX_EXTENDED_BYTES 32768

/* Returns the body as it is sent to a controller: with a member that it does not know, if the
 * emulator adds those. */
static GBytes *
body_to_send (Emulator *emulator, GBytes *body)
{
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  if (!emulator->unknown_members || size > MAX_EXTENDED_BYTES)
    return g_bytes_ref (body);
  g_autofree char *text = g_strndup (data, size);
  char *extended = json_with_unknown_member (emulator->unknown_members, text);
  return g_bytes_new_take (extended, strlen (extended));
}

char *
emulator_address (GInetSocketAddress *address)
{
  return g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (address));
}

/* ---- from controllers ---- */

/* Returns the controller that wrote the leader record with the order's fencing token, or -1 if
 * there is none. */
static int
node_of_token (Emulator *emulator, const char *body)
{
  json_t *object = json_loads (body, 0, NULL);
  guint64 token = json_integer_value (json_object_get (object, "baton"));
  json_decref (object);
  gpointer node;
  if (!g_hash_table_lookup_extended (emulator->cluster->token_nodes, &token, NULL, &node))
    return -1;
  return GPOINTER_TO_INT (node);
}

/* The controller has exited or abandoned the call. */
static void
on_disconnected (SoupServerMessage *msg, gpointer id G_GNUC_UNUSED)
{
  g_object_set_data (G_OBJECT (msg), DISCONNECTED_KEY, GINT_TO_POINTER (TRUE));
}

static void
on_call (SoupServer *server G_GNUC_UNUSED, SoupServerMessage *msg, const char *path,
         GHashTable *query G_GNUC_UNUSED, gpointer data)
{
  EmulatorListener *listener = data;
  Emulator *emulator = listener->emulator;
  emulator_catch_up (emulator);
  emulator->requests++;
  SoupMessageBody *received = soup_server_message_get_request_body (msg);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (received);
  g_autofree char *body = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  int node = listener->node >= 0 ? listener->node : node_of_token (emulator, body);
  if (node < 0 || !emulator->cluster->nodes[node].up) { /* sent by a process that has just exited */
    soup_server_message_set_status (msg, 503, NULL);
    return;
  }
  GUri *uri = soup_server_message_get_uri (msg);
  const char *text = g_uri_get_query (uri);
  HrEffect effect = {
      .kind = HR_EFFECT_CALL, .id = ++emulator->last_call_id, .call.target = listener->target};
  effect.call.method = hr_method_parse (soup_server_message_get_method (msg));
  effect.call.path = g_strconcat (path, text ? "?" : NULL, text, NULL);
  effect.call.address = listener->address;
  effect.body = strlen (body) ? body : NULL;
  effect.call.timeout_s = CALL_TIMEOUT_S;
  g_hash_table_insert (emulator->pending, g_memdup2 (&effect.id, sizeof effect.id),
                       g_object_ref (msg));
  g_signal_connect (msg, "disconnected", G_CALLBACK (on_disconnected), NULL);
  soup_server_message_pause (msg);
  node_perform (emulator->cluster, node, &effect);
  g_free (effect.call.path);
}

/* Sends the cluster's answer to a call. Status 0 means no answer: the connection is closed. */
static void
answer_call (Emulator *emulator, const HrCommand *command)
{
  gpointer key, value;
  if (!g_hash_table_steal_extended (emulator->pending, &command->id, &key, &value))
    return;
  g_free (key);
  g_autoptr (SoupServerMessage) msg = value;
  if (g_object_get_data (G_OBJECT (msg), DISCONNECTED_KEY))
    return;
  if (!command->result.status) {
    g_autoptr (GIOStream) connection = soup_server_message_steal_connection (msg);
    if (connection)
      g_io_stream_close (connection, NULL, NULL);
    return;
  }
  gsize size = 0;
  g_autoptr (GBytes) body = command->body ? body_to_send (emulator, command->body) : NULL;
  const char *text = body ? g_bytes_get_data (body, &size) : NULL;
  soup_server_message_set_status (msg, command->result.status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, size ? text : "{}",
                                    size ? size : 2);
  soup_server_message_unpause (msg);
}

EmulatorListener *
emulator_listen (Emulator *emulator, int node, HrTarget target)
{
  EmulatorListener *listener = g_new0 (EmulatorListener, 1);
  listener->emulator = emulator;
  listener->node = node;
  listener->target = target;
  listener->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (listener->server, NULL, on_call, listener, NULL);
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GError) error = NULL;
  if (!soup_server_listen (listener->server, any, 0, &error))
    g_error ("emulator: simulated server cannot listen: %s", error->message);
  GSList *uris = soup_server_get_uris (listener->server);
  listener->address = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return listener;
}

void
emulator_listener_free (EmulatorListener *listener)
{
  soup_server_disconnect (listener->server);
  g_object_unref (listener->server);
  g_free (listener->address);
  g_free (listener);
}

char *
emulator_worker_address (SimCluster *cluster, guint machine G_GNUC_UNUSED)
{
  Emulator *emulator = cluster->controllers_data;
  EmulatorListener *listener = emulator_listen (emulator, -1, HR_TO_WORKER);
  g_ptr_array_add (emulator->workers, listener);
  return g_strdup (listener->address);
}

/* ---- to controllers ---- */

/* A request to a controller that is waiting for its answer. */
typedef struct {
  Emulator *emulator;
  int node;
  guint64 id; /* id of the request in the cluster */
  SoupMessage *msg;
} ForwardedRequest;

/* Fails the request at once, without an answer: the controller does not listen or has exited. */
static void
fail_request (Emulator *emulator, int node, guint64 id)
{
  SimNode *n = &emulator->cluster->nodes[node];
  SimRequest *request = n->up ? g_hash_table_lookup (n->open, &id) : NULL;
  if (!request)
    return;
  sim_send_response (emulator->cluster, request, 0, NULL);
  g_hash_table_remove (n->open, &id);
}

static void
on_answered (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree ForwardedRequest *forwarded = data;
  Emulator *emulator = forwarded->emulator;
  g_autoptr (GError) error = NULL;
  g_autoptr (SoupMessage) msg = forwarded->msg;
  g_autoptr (GBytes) bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  if (!emulator->cluster)
    return;
  emulator_catch_up (emulator);
  if (!bytes) {
    fail_request (emulator, forwarded->node, forwarded->id);
    return;
  }
  HrEffect effect = {
      .kind = HR_EFFECT_REPLY, .id = forwarded->id, .reply.status = soup_message_get_status (msg)};
  effect.body = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  if (emulator->cluster->nodes[forwarded->node].up)
    node_perform (emulator->cluster, forwarded->node, &effect);
  g_free (effect.body);
}

static void
forward_request (Emulator *emulator, int node, const HrCommand *command)
{
  static const char *const methods[] = {"GET", "POST", "DELETE", "PUT"};
  g_autofree char *uri =
      g_strconcat ("http://", emulator->nodes[node].front, command->request.path, NULL);
  ForwardedRequest *forwarded = g_new (ForwardedRequest, 1);
  *forwarded = (ForwardedRequest){emulator, node, command->id,
                                  soup_message_new (methods[command->request.method], uri)};
  if (!forwarded->msg)
    g_error ("emulator: invalid URL: %s", uri);
  if (command->body) {
    g_autoptr (GBytes) body = body_to_send (emulator, command->body);
    soup_message_set_request_body_from_bytes (forwarded->msg, "application/json", body);
  }
  soup_session_send_and_read_async (emulator->nodes[node].session, forwarded->msg,
                                    G_PRIORITY_DEFAULT, NULL, on_answered, forwarded);
}

void
emulator_push (SimCluster *cluster, int node, HrCommand *command)
{
  Emulator *emulator = cluster->controllers_data;
  if (command->kind == HR_COMMAND_REQUEST)
    forward_request (emulator, node, command);
  else if (command->kind == HR_COMMAND_RESULT)
    answer_call (emulator, command);
  hr_command_free (command);
}

/* ---- setup and teardown ---- */

void
emulator_wire_prepare (Emulator *emulator)
{
  emulator->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_object_unref);
  emulator->workers = g_ptr_array_new_with_free_func ((GDestroyNotify)emulator_listener_free);
  for (int i = 0; i < emulator->cluster->n; i++) {
    emulator->nodes[i].session =
        soup_session_new_with_options ("max-conns", MAX_CONNECTIONS, "max-conns-per-host",
                                       MAX_CONNECTIONS, "timeout", REQUEST_TIMEOUT_S, NULL);
    emulator->nodes[i].state = emulator_listen (emulator, i, HR_TO_STORE);
    emulator->nodes[i].cloud = emulator_listen (emulator, i, HR_TO_CLOUD);
  }
}

void
emulator_wire_end (Emulator *emulator)
{
  for (int i = 0; i < emulator->cluster->n; i++) {
    soup_session_abort (emulator->nodes[i].session);
    g_object_unref (emulator->nodes[i].session);
    emulator_listener_free (emulator->nodes[i].state);
    emulator_listener_free (emulator->nodes[i].cloud);
  }
  g_hash_table_unref (emulator->pending);
  g_ptr_array_unref (emulator->workers);
}
