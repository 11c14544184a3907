/* This server uses GNU libmicrohttpd, not libsoup as the rest of the program. libsoup's server adds
 * one GSource to the main loop for each open connection, and GLib checks every source in every
 * iteration. With the workers of a large deployment that alone took two to three times the
 * processor time that a controller has (docs/design.md). libmicrohttpd polls its connections
 * through one epoll descriptor, which is a single source of the main loop. */
#include "transport/http_server.h"
#include "protocol/jobspec.h"
#include <arpa/inet.h>
#include <gio/gio.h>
#include <microhttpd.h>
#include <string.h>

/* Workers send heartbeats and users poll every few seconds. On a connection that is idle for
 * longer, the client has usually disappeared without closing it: during a network partition its FIN
 * does not arrive. Such connections, left open, would use up the sockets. */
#define IDLE_TIMEOUT_S 20
/* Retry-After header of refused requests, in seconds. */
#define OVERLOAD_RETRY_AFTER_S "2"
/* Memory for the headers of one connection; bodies are stored separately. */
#define CONNECTION_MEMORY_BYTES (8 * 1024)

struct HrHttpServer {
  struct MHD_Daemon *daemon;
  GSource *source;
  GHashTable *pending; /* request id -> Request, for requests without a reply */
  guint64 last_id;
  HrLoadShedding load;
  HrCommandSink sink;
  gpointer data;
};

typedef struct {
  HrHttpServer *server;
  struct MHD_Connection *conn;
  guint64 id;           /* 0: not passed to the sink yet */
  gsize reserved_bytes; /* of the memory for users' bodies */
  GByteArray *body;
  gboolean too_large;
  struct MHD_Response *response;
  guint status;
} Request;

static void
request_free (Request *request)
{
  request->server->load.user_body_bytes -= request->reserved_bytes;
  if (request->body)
    g_byte_array_unref (request->body);
  if (request->response)
    MHD_destroy_response (request->response);
  g_free (request);
}

static void
on_completed (void *data, struct MHD_Connection *conn G_GNUC_UNUSED, void **state,
              enum MHD_RequestTerminationCode reason G_GNUC_UNUSED)
{
  HrHttpServer *server = data;
  Request *request = *state;
  if (!request)
    return;
  if (request->id && server->pending)
    g_hash_table_remove (server->pending, &request->id);
  request_free (request);
  *state = NULL;
}

/* Beyond the size limit nothing is stored, so that a huge body does not use up memory. */
static void
append_body (Request *request, const char *data, gsize size)
{
  gsize stored = request->body ? request->body->len : 0;
  if (request->too_large || stored + size > HR_MAX_BODY) {
    request->too_large = TRUE;
    g_clear_pointer (&request->body, g_byte_array_unref);
    return;
  }
  if (!request->body)
    request->body = g_byte_array_sized_new (size);
  g_byte_array_append (request->body, (const guint8 *)data, size);
}

/* Returns the memory that the body may need, in bytes. */
static gsize
announced_body_bytes (struct MHD_Connection *conn)
{
  const char *length = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "Content-Length");
  if (length)
    return MIN (g_ascii_strtoull (length, NULL, 10), HR_MAX_BODY);
  gboolean is_chunked =
      MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "Transfer-Encoding") != NULL;
  return is_chunked ? HR_MAX_BODY : 0;
}

static guint
open_connections (HrHttpServer *server)
{
  const union MHD_DaemonInfo *info =
      MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info ? info->num_connections : 0;
}

static enum MHD_Result
refuse_overloaded (HrHttpServer *server, struct MHD_Connection *conn, HrOverload overload)
{
  const char *body = hr_overload_reply (overload);
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (body), (void *)body, MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Retry-After", OVERLOAD_RETRY_AFTER_S);
  MHD_add_response_header (response, "Connection", "close");
  enum MHD_Result ok = MHD_queue_response (conn, 503, response);
  MHD_destroy_response (response);
  hr_load_shedding_refused (&server->load, overload);
  return ok;
}

/* Handles the headers of a request. Memory for a user's body is reserved until the reply is sent:
 * what the core keeps for the request is of the same order. */
static enum MHD_Result
begin_request (HrHttpServer *server, struct MHD_Connection *conn, const char *url, void **state)
{
  gsize reserved_bytes = 0;
  if (g_str_has_prefix (url, HR_JOBS_PATH)) {
    reserved_bytes = announced_body_bytes (conn);
    HrOverload overload =
        hr_load_shedding_check (&server->load, open_connections (server), reserved_bytes);
    if (overload != HR_OVERLOAD_NONE)
      return refuse_overloaded (server, conn, overload);
  }
  Request *request = g_new0 (Request, 1);
  request->server = server;
  request->conn = conn;
  request->reserved_bytes = reserved_bytes;
  server->load.user_body_bytes += reserved_bytes;
  *state = request;
  return MHD_YES;
}

/* Passes a complete request to the sink and suspends its connection until hr_http_server_reply().
 */
static void
dispatch_request (Request *request, const char *method, const char *url)
{
  HrHttpServer *server = request->server;
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = request->id = ++server->last_id;
  command->request.method = hr_method_parse (method);
  command->request.path = g_utf8_make_valid (url, -1);
  command->request.is_too_large = request->too_large;
  if (request->body)
    command->body = g_byte_array_free_to_bytes (g_steal_pointer (&request->body));
  g_hash_table_insert (server->pending, &request->id, request);
  MHD_suspend_connection (request->conn);
  server->sink (command, server->data);
}

/* libmicrohttpd calls this after the headers, for each part of the body, at the end of the body,
 * and again when the connection is resumed. */
static enum MHD_Result
on_request (void *data, struct MHD_Connection *conn, const char *url, const char *method,
            const char *version G_GNUC_UNUSED, const char *upload, size_t *upload_size,
            void **state)
{
  HrHttpServer *server = data;
  Request *request = *state;
  if (!request) /* first call of a request: only the headers have been received */
    return begin_request (server, conn, url, state);
  if (*upload_size) {
    append_body (request, upload, *upload_size);
    *upload_size = 0;
    return MHD_YES;
  }
  if (request->response)
    return MHD_queue_response (conn, request->status, request->response);
  if (request->id)
    return MHD_YES;
  dispatch_request (request, method, url);
  return MHD_YES;
}

/* ---- GSource for the epoll descriptor ---- */

typedef struct {
  GSource source;
  HrHttpServer *server;
  gpointer fd;
} ServerSource;

static gboolean
source_prepare (GSource *source, gint *timeout)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  *timeout = -1;
  if (MHD_get_timeout (((ServerSource *)source)->server->daemon, &timeout_ms) == MHD_YES)
    *timeout = MIN (timeout_ms, G_MAXINT);
  return *timeout == 0;
}

static gboolean
source_check (GSource *source)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  ServerSource *server_source = (ServerSource *)source;
  return g_source_query_unix_fd (source, server_source->fd) ||
         (MHD_get_timeout (server_source->server->daemon, &timeout_ms) == MHD_YES &&
          timeout_ms == 0);
}

static gboolean
source_dispatch (GSource *source, GSourceFunc callback G_GNUC_UNUSED, gpointer data G_GNUC_UNUSED)
{
  MHD_run (((ServerSource *)source)->server->daemon);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
    .prepare = source_prepare,
    .check = source_check,
    .dispatch = source_dispatch,
};

/* Parses IP:PORT. */
static gboolean
parse_address (const char *address, struct sockaddr_in *out, GError **error)
{
  g_autoptr (GSocketConnectable) parsed = g_network_address_parse (address, 0, error);
  if (!parsed)
    return FALSE;
  GNetworkAddress *network_address = G_NETWORK_ADDRESS (parsed);
  *out = (struct sockaddr_in){.sin_family = AF_INET};
  out->sin_port = htons (g_network_address_get_port (network_address));
  if (inet_pton (AF_INET, g_network_address_get_hostname (network_address), &out->sin_addr) == 1)
    return TRUE;
  g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an IPv4 address",
               address);
  return FALSE;
}

static struct MHD_Daemon *
start_daemon (HrHttpServer *server, struct sockaddr_in *address)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, server,
      MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)server->load.limits.connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

static void
attach_source (HrHttpServer *server)
{
  int epoll_fd = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  server->source = g_source_new (&source_funcs, sizeof (ServerSource));
  ServerSource *source = (ServerSource *)server->source;
  source->server = server;
  source->fd = g_source_add_unix_fd (server->source, epoll_fd, G_IO_IN);
  g_source_attach (server->source, NULL);
}

HrHttpServer *
hr_http_server_new (const char *address, HrHttpServerLimits limits, HrCommandSink sink,
                    gpointer data, GError **error)
{
  struct sockaddr_in listen_address;
  if (!parse_address (address, &listen_address, error))
    return NULL;
  HrHttpServer *server = g_new0 (HrHttpServer, 1);
  server->sink = sink;
  server->data = data;
  server->load.limits = limits;
  server->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  server->daemon = start_daemon (server, &listen_address);
  if (!server->daemon) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "cannot listen on %s: %s", address,
                 g_strerror (errno));
    hr_http_server_free (server);
    return NULL;
  }
  attach_source (server);
  return server;
}

void
hr_http_server_reply (HrHttpServer *server, const HrEffect *effect)
{
  Request *request = g_hash_table_lookup (server->pending, &effect->id);
  if (!request)
    return; /* the client has closed its connection */
  g_hash_table_remove (server->pending, &effect->id);
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
    /* libmicrohttpd requires that suspended connections are resumed before it is stopped. */
    GHashTableIter iter;
    gpointer data;
    g_hash_table_iter_init (&iter, server->pending);
    while (g_hash_table_iter_next (&iter, NULL, &data))
      MHD_resume_connection (((Request *)data)->conn);
    g_clear_pointer (&server->pending, g_hash_table_unref);
    MHD_stop_daemon (server->daemon);
  }
  g_clear_pointer (&server->pending, g_hash_table_unref);
  g_free (server);
}
