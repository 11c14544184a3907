/* HTTP between the controllers and the stand-ins: a request of either side becomes a message of the
 * world, where troubles meet it, and what the world delivers goes out as the real thing. */
#include "emulator/live.h"
#include <string.h>

/* No call of a controller waits longer than this: its watches are the longest. */
#define CALL_S 30.0
/* Nobody in the world waits longer for a controller. What is given up is taken off the session,
 * whose work for each message grows with those that are open. */
#define REQUEST_S 6
/* Connections to one controller. */
#define MOST_OPEN 200

char *
live_address (GInetSocketAddress *a)
{
  return g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (a));
}

/* ---- from controllers ---- */

/* Whoever wrote the map with this token; -1: nobody. */
static int
node_of_token (Live *s, const char *body)
{
  json_t *o = json_loads (body, 0, NULL);
  guint64 token = json_integer_value (json_object_get (o, "baton"));
  json_decref (o);
  gpointer node;
  if (!g_hash_table_lookup_extended (s->w->token_nodes, &token, NULL, &node))
    return -1;
  return GPOINTER_TO_INT (node);
}

/* The controller has ended, or does not wait any more. */
static void
on_disconnected (SoupServerMessage *msg, gpointer id)
{
  g_object_set_data (G_OBJECT (msg), "gone", GINT_TO_POINTER (TRUE));
}

static void
on_call (SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
         gpointer data)
{
  LiveListener *l = data;
  Live *s = l->live;
  live_catch_up (s);
  s->requests++;
  SoupMessageBody *received = soup_server_message_get_request_body (msg);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (received);
  g_autofree char *body = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  int node = l->node >= 0 ? l->node : node_of_token (s, body);
  if (node < 0 || !s->w->nodes[node].up) { /* of a process that has just ended */
    soup_server_message_set_status (msg, 503, NULL);
    return;
  }
  GUri *uri = soup_server_message_get_uri (msg);
  const char *q = g_uri_get_query (uri);
  HrEffect e = {.kind = HR_EFFECT_CALL, .id = ++s->calls, .target = l->target};
  e.method = hr_method_of (soup_server_message_get_method (msg));
  e.path = g_strconcat (path, q ? "?" : NULL, q, NULL);
  e.addr = l->address;
  e.body = strlen (body) ? body : NULL;
  e.timeout_s = CALL_S;
  g_hash_table_insert (s->pending, g_memdup2 (&e.id, sizeof e.id), g_object_ref (msg));
  g_signal_connect (msg, "disconnected", G_CALLBACK (on_disconnected), NULL);
  soup_server_message_pause (msg);
  node_perform (s->w, node, &e);
  g_free (e.path);
}

/* The world answers a call; status 0: no answer comes. */
static void
answer_call (Live *s, const HrCommand *cmd)
{
  gpointer key, value;
  if (!g_hash_table_steal_extended (s->pending, &cmd->id, &key, &value))
    return;
  g_free (key);
  g_autoptr (SoupServerMessage) msg = value;
  if (g_object_get_data (G_OBJECT (msg), "gone"))
    return;
  if (!cmd->status) {
    g_autoptr (GIOStream) connection = soup_server_message_steal_connection (msg);
    if (connection)
      g_io_stream_close (connection, NULL, NULL);
    return;
  }
  gsize size = 0;
  const char *text = cmd->body ? g_bytes_get_data (cmd->body, &size) : NULL;
  soup_server_message_set_status (msg, cmd->status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, size ? text : "{}",
                                    size ? size : 2);
  soup_server_message_unpause (msg);
}

LiveListener *
live_listen (Live *s, int node, HrTarget target)
{
  LiveListener *l = g_new0 (LiveListener, 1);
  l->live = s;
  l->node = node;
  l->target = target;
  l->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (l->server, NULL, on_call, l, NULL);
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GError) error = NULL;
  if (!soup_server_listen (l->server, any, 0, &error))
    g_error ("emulator: a stand-in cannot listen: %s", error->message);
  GSList *uris = soup_server_get_uris (l->server);
  l->address = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return l;
}

void
live_listener_free (LiveListener *l)
{
  soup_server_disconnect (l->server);
  g_object_unref (l->server);
  g_free (l->address);
  g_free (l);
}

char *
live_worker_address (World *w, guint machine)
{
  Live *s = w->controllers_data;
  LiveListener *l = live_listen (s, -1, HR_TO_WORKER);
  g_ptr_array_add (s->workers, l);
  return g_strdup (l->address);
}

/* ---- to controllers ---- */

typedef struct {
  Live *live;
  int node;
  guint64 id;
  SoupMessage *msg;
} Asked;

/* Nothing listens there, or the process ended: who asked learns it at once. */
static void
no_answer (Live *s, int node, guint64 id)
{
  Node *n = &s->w->nodes[node];
  Req *r = n->up ? g_hash_table_lookup (n->open, &id) : NULL;
  if (!r)
    return;
  w_answer (s->w, r, 0, NULL);
  g_hash_table_remove (n->open, &id);
}

static void
on_answered (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree Asked *a = data;
  Live *s = a->live;
  g_autoptr (GError) error = NULL;
  g_autoptr (SoupMessage) msg = a->msg;
  g_autoptr (GBytes) bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  if (!s->w)
    return;
  live_catch_up (s);
  if (!bytes) {
    no_answer (s, a->node, a->id);
    return;
  }
  HrEffect e = {.kind = HR_EFFECT_REPLY, .id = a->id, .status = soup_message_get_status (msg)};
  e.body = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  if (s->w->nodes[a->node].up)
    node_perform (s->w, a->node, &e);
  g_free (e.body);
}

static void
ask (Live *s, int node, const HrCommand *cmd)
{
  static const char *const methods[] = {"GET", "POST", "DELETE", "PUT"};
  g_autofree char *uri = g_strconcat ("http://", s->nodes[node].front, cmd->path, NULL);
  Asked *a = g_new (Asked, 1);
  *a = (Asked){s, node, cmd->id, soup_message_new (methods[cmd->method], uri)};
  if (!a->msg)
    g_error ("emulator: no address: %s", uri);
  if (cmd->body)
    soup_message_set_request_body_from_bytes (a->msg, "application/json", cmd->body);
  soup_session_send_and_read_async (s->nodes[node].session, a->msg, G_PRIORITY_DEFAULT, NULL,
                                    on_answered, a);
}

void
live_push (World *w, int node, HrCommand *cmd)
{
  Live *s = w->controllers_data;
  if (cmd->kind == HR_COMMAND_REQUEST)
    ask (s, node, cmd);
  else if (cmd->kind == HR_COMMAND_RESULT)
    answer_call (s, cmd);
  hr_command_free (cmd);
}

/* ---- beginning and end ---- */

void
live_wire_prepare (Live *s)
{
  s->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_object_unref);
  s->workers = g_ptr_array_new_with_free_func ((GDestroyNotify)live_listener_free);
  for (int i = 0; i < s->w->n; i++) {
    s->nodes[i].session = soup_session_new_with_options (
        "max-conns", MOST_OPEN, "max-conns-per-host", MOST_OPEN, "timeout", REQUEST_S, NULL);
    s->nodes[i].state = live_listen (s, i, HR_TO_STORE);
    s->nodes[i].cloud = live_listen (s, i, HR_TO_CLOUD);
  }
}

void
live_wire_end (Live *s)
{
  for (int i = 0; i < s->w->n; i++) {
    soup_session_abort (s->nodes[i].session);
    g_object_unref (s->nodes[i].session);
    live_listener_free (s->nodes[i].state);
    live_listener_free (s->nodes[i].cloud);
  }
  g_hash_table_unref (s->pending);
  g_ptr_array_unref (s->workers);
}
