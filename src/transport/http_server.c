/* libsoup's server, the house's choice, hangs one GSource on the main loop for every
 * open connection, and GLib looks at every source in every turn. With the workers of a
 * grown deployment that alone took two to three times the processor that a controller
 * has (docs/design.md). GNU libmicrohttpd keeps its connections behind one epoll
 * descriptor, which is a single source of the main loop. */
#include "transport/http_server.h"
#include "protocol/jobspec.h"
#include <arpa/inet.h>
#include <gio/gio.h>
#include <microhttpd.h>
#include <string.h>

/* Workers report and users poll every few seconds. A connection silent for longer is
 * mostly one whose other end is gone without notice: behind a cut nobody hears the FIN.
 * Kept, such connections would use up the sockets. */
#define IDLE_S 20
/* While more than this share of its connections is in use, users are sent away at once: a
 * worker that finds none loses its lease, a user loses a second. */
#define SHED_SHARE 0.94
#define SHED_RETRY "2"
#define SHED_LOG_S 10
/* For one connection's headers; bodies are gathered apart. */
#define CONNECTION_MEMORY (8 * 1024)

struct HrHttpServer {
  struct MHD_Daemon *daemon;
  GSource *source;
  GHashTable *open; /* request id -> Request, while its answer is awaited */
  guint64 next;
  guint connections; /* the most it may have */
  guint shed;        /* requests sent away since the last warning about it */
  gint64 shed_at;
  HrCommandSink sink;
  gpointer data;
};

typedef struct {
  HrHttpServer *server;
  struct MHD_Connection *conn;
  guint64 id; /* 0: not handed on yet */
  GByteArray *body;
  gboolean too_large;
  struct MHD_Response *response;
  guint status;
} Request;

static void
request_free (Request *request)
{
  if (request->body)
    g_byte_array_unref (request->body);
  if (request->response)
    MHD_destroy_response (request->response);
  g_free (request);
}

static void
on_completed (void *data, struct MHD_Connection *conn, void **state,
              enum MHD_RequestTerminationCode why)
{
  HrHttpServer *server = data;
  Request *request = *state;
  if (!request)
    return;
  if (request->id && server->open)
    g_hash_table_remove (server->open, &request->id);
  request_free (request);
  *state = NULL;
}

/* Past the limit nothing is kept: a huge body must not cost its size in memory. */
static void
take_body (Request *request, const char *data, gsize size)
{
  gsize have = request->body ? request->body->len : 0;
  if (request->too_large || have + size > HR_MAX_BODY) {
    request->too_large = TRUE;
    g_clear_pointer (&request->body, g_byte_array_unref);
    return;
  }
  if (!request->body)
    request->body = g_byte_array_sized_new (size);
  g_byte_array_append (request->body, (const guint8 *)data, size);
}

static gboolean
crowded (HrHttpServer *server)
{
  const union MHD_DaemonInfo *i =
      MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return i && i->num_connections > server->connections * SHED_SHARE;
}

static enum MHD_Result
send_away (HrHttpServer *server, struct MHD_Connection *conn)
{
  static const char body[] = "{\"error\":\"this node has hardly a free socket; ask again\"}";
  struct MHD_Response *response =
      MHD_create_response_from_buffer (sizeof body - 1, (void *)body, MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Retry-After", SHED_RETRY);
  MHD_add_response_header (response, "Connection", "close");
  enum MHD_Result ok = MHD_queue_response (conn, 503, response);
  MHD_destroy_response (response);
  gint64 now = g_get_monotonic_time ();
  server->shed++;
  if (now - server->shed_at > (gint64)SHED_LOG_S * G_USEC_PER_SEC) {
    g_warning ("nearly all of %u connections are in use: %u users' requests sent away",
               server->connections, server->shed);
    server->shed_at = now;
    server->shed = 0;
  }
  return ok;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *conn, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **state)
{
  HrHttpServer *server = data;
  Request *request = *state;
  if (!request) { /* the headers only */
    if (g_str_has_prefix (url, HR_JOBS_PATH) && crowded (server))
      return send_away (server, conn);
    request = g_new0 (Request, 1);
    request->server = server;
    request->conn = conn;
    *state = request;
    return MHD_YES;
  }
  if (*upload_size) {
    take_body (request, upload, *upload_size);
    *upload_size = 0;
    return MHD_YES;
  }
  if (request->response)
    return MHD_queue_response (conn, request->status, request->response);
  if (request->id)
    return MHD_YES;
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = request->id = ++server->next;
  command->request.method = hr_method_of (method);
  command->request.path = g_utf8_make_valid (url, -1);
  command->request.is_too_large = request->too_large;
  if (request->body)
    command->body = g_byte_array_free_to_bytes (g_steal_pointer (&request->body));
  g_hash_table_insert (server->open, &request->id, request);
  MHD_suspend_connection (conn);
  server->sink (command, server->data);
  return MHD_YES;
}

/* ---- the main loop's side ---- */

typedef struct {
  GSource source;
  HrHttpServer *server;
  gpointer fd;
} Source;

static gboolean
source_prepare (GSource *source, gint *timeout)
{
  MHD_UNSIGNED_LONG_LONG ms;
  *timeout = -1;
  if (MHD_get_timeout (((Source *)source)->server->daemon, &ms) == MHD_YES)
    *timeout = MIN (ms, G_MAXINT);
  return *timeout == 0;
}

static gboolean
source_check (GSource *source)
{
  MHD_UNSIGNED_LONG_LONG ms;
  Source *server_source = (Source *)source;
  return g_source_query_unix_fd (source, server_source->fd) ||
         (MHD_get_timeout (server_source->server->daemon, &ms) == MHD_YES && ms == 0);
}

static gboolean
source_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  MHD_run (((Source *)source)->server->daemon);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {source_prepare, source_check, source_dispatch, NULL};

HrHttpServer *
hr_http_server_new (const char *address, guint connections, HrCommandSink sink, gpointer data,
                    GError **error)
{
  g_autoptr (GSocketConnectable) net = g_network_address_parse (address, 0, error);
  if (!net)
    return NULL;
  struct sockaddr_in listen_address = {.sin_family = AF_INET};
  listen_address.sin_port = htons (g_network_address_get_port (G_NETWORK_ADDRESS (net)));
  if (inet_pton (AF_INET, g_network_address_get_hostname (G_NETWORK_ADDRESS (net)),
                 &listen_address.sin_addr) != 1) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an IPv4 address",
                 address);
    return NULL;
  }
  HrHttpServer *server = g_new0 (HrHttpServer, 1);
  server->sink = sink;
  server->data = data;
  server->connections = connections;
  server->open = g_hash_table_new (g_int64_hash, g_int64_equal);
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, server,
      MHD_OPTION_SOCK_ADDR, &listen_address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_S, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (!server->daemon) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "%s: %s", address, g_strerror (errno));
    hr_http_server_free (server);
    return NULL;
  }
  server->source = g_source_new (&source_funcs, sizeof (Source));
  Source *src = (Source *)server->source;
  src->server = server;
  src->fd = g_source_add_unix_fd (
      server->source, MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
      G_IO_IN);
  g_source_attach (server->source, NULL);
  return server;
}

void
hr_http_server_reply (HrHttpServer *server, const HrEffect *effect)
{
  Request *request = g_hash_table_lookup (server->open, &effect->id);
  if (!request)
    return; /* the asker is gone */
  g_hash_table_remove (server->open, &effect->id);
  const char *body = effect->body ? effect->body : "{}";
  request->status = effect->reply.status;
  request->response =
      MHD_create_response_from_buffer (strlen (body), (void *)body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (request->response, "Content-Type",
                           effect->reply.is_plain_text ? "text/plain; version=0.0.4"
                                                       : "application/json");
  if (effect->reply.retry_after_s > 0) {
    g_autofree char *value = g_strdup_printf ("%d", effect->reply.retry_after_s);
    MHD_add_response_header (request->response, "Retry-After", value);
  }
  MHD_resume_connection (request->conn);
}

void
hr_http_server_flush (HrHttpServer *server)
{
  MHD_run (server->daemon);
}

void
hr_http_server_free (HrHttpServer *server)
{
  if (server->source) {
    g_source_destroy (server->source);
    g_source_unref (server->source);
  }
  if (server->daemon) {
    /* What waits for an answer has to be resumed before the daemon can end. */
    GHashTableIter iter;
    gpointer data;
    g_hash_table_iter_init (&iter, server->open);
    while (g_hash_table_iter_next (&iter, NULL, &data))
      MHD_resume_connection (((Request *)data)->conn);
    g_clear_pointer (&server->open, g_hash_table_unref);
    MHD_stop_daemon (server->daemon);
  }
  g_clear_pointer (&server->open, g_hash_table_unref);
  g_free (server);
}
