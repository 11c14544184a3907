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
request_free (Request *r)
{
  if (r->body)
    g_byte_array_unref (r->body);
  if (r->response)
    MHD_destroy_response (r->response);
  g_free (r);
}

static void
on_completed (void *data, struct MHD_Connection *conn, void **state,
              enum MHD_RequestTerminationCode why)
{
  HrHttpServer *s = data;
  Request *r = *state;
  if (!r)
    return;
  if (r->id && s->open)
    g_hash_table_remove (s->open, &r->id);
  request_free (r);
  *state = NULL;
}

/* Past the limit nothing is kept: a huge body must not cost its size in memory. */
static void
take_body (Request *r, const char *data, gsize size)
{
  gsize have = r->body ? r->body->len : 0;
  if (r->too_large || have + size > HR_MAX_BODY) {
    r->too_large = TRUE;
    g_clear_pointer (&r->body, g_byte_array_unref);
    return;
  }
  if (!r->body)
    r->body = g_byte_array_sized_new (size);
  g_byte_array_append (r->body, (const guint8 *)data, size);
}

static gboolean
crowded (HrHttpServer *s)
{
  const union MHD_DaemonInfo *i =
      MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return i && i->num_connections > s->connections * SHED_SHARE;
}

static enum MHD_Result
send_away (HrHttpServer *s, struct MHD_Connection *conn)
{
  static const char body[] = "{\"error\":\"this node has hardly a free socket; ask again\"}";
  struct MHD_Response *r =
      MHD_create_response_from_buffer (sizeof body - 1, (void *)body, MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (r, "Content-Type", "application/json");
  MHD_add_response_header (r, "Retry-After", SHED_RETRY);
  MHD_add_response_header (r, "Connection", "close");
  enum MHD_Result ok = MHD_queue_response (conn, 503, r);
  MHD_destroy_response (r);
  gint64 now = g_get_monotonic_time ();
  s->shed++;
  if (now - s->shed_at > (gint64)SHED_LOG_S * G_USEC_PER_SEC) {
    g_warning ("nearly all of %u connections are in use: %u users' requests sent away",
               s->connections, s->shed);
    s->shed_at = now;
    s->shed = 0;
  }
  return ok;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *conn, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **state)
{
  HrHttpServer *s = data;
  Request *r = *state;
  if (!r) { /* the headers only */
    if (g_str_has_prefix (url, HR_JOBS_PATH) && crowded (s))
      return send_away (s, conn);
    r = g_new0 (Request, 1);
    r->server = s;
    r->conn = conn;
    *state = r;
    return MHD_YES;
  }
  if (*upload_size) {
    take_body (r, upload, *upload_size);
    *upload_size = 0;
    return MHD_YES;
  }
  if (r->response)
    return MHD_queue_response (conn, r->status, r->response);
  if (r->id)
    return MHD_YES;
  HrCommand *c = hr_command_new (HR_COMMAND_REQUEST);
  c->id = r->id = ++s->next;
  c->method = hr_method_of (method);
  c->path = g_utf8_make_valid (url, -1);
  c->too_large = r->too_large;
  if (r->body)
    c->body = g_byte_array_free_to_bytes (g_steal_pointer (&r->body));
  g_hash_table_insert (s->open, &r->id, r);
  MHD_suspend_connection (conn);
  s->sink (c, s->data);
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
  Source *s = (Source *)source;
  return g_source_query_unix_fd (source, s->fd) ||
         (MHD_get_timeout (s->server->daemon, &ms) == MHD_YES && ms == 0);
}

static gboolean
source_dispatch (GSource *source, GSourceFunc fn, gpointer data)
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
  struct sockaddr_in sa = {.sin_family = AF_INET};
  sa.sin_port = htons (g_network_address_get_port (G_NETWORK_ADDRESS (net)));
  if (inet_pton (AF_INET, g_network_address_get_hostname (G_NETWORK_ADDRESS (net)), &sa.sin_addr) !=
      1) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an IPv4 address",
                 address);
    return NULL;
  }
  HrHttpServer *s = g_new0 (HrHttpServer, 1);
  s->sink = sink;
  s->data = data;
  s->connections = connections;
  s->open = g_hash_table_new (g_int64_hash, g_int64_equal);
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR,
      &sa, MHD_OPTION_NOTIFY_COMPLETED, on_completed, s, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)IDLE_S, MHD_OPTION_CONNECTION_LIMIT, (unsigned int)connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (!s->daemon) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "%s: %s", address, g_strerror (errno));
    hr_http_server_free (s);
    return NULL;
  }
  s->source = g_source_new (&source_funcs, sizeof (Source));
  Source *src = (Source *)s->source;
  src->server = s;
  src->fd = g_source_add_unix_fd (
      s->source, MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, G_IO_IN);
  g_source_attach (s->source, NULL);
  return s;
}

void
hr_http_server_reply (HrHttpServer *s, const HrEffect *e)
{
  Request *r = g_hash_table_lookup (s->open, &e->id);
  if (!r)
    return; /* the asker is gone */
  g_hash_table_remove (s->open, &e->id);
  const char *body = e->body ? e->body : "{}";
  r->status = e->status;
  r->response =
      MHD_create_response_from_buffer (strlen (body), (void *)body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (r->response, "Content-Type",
                           e->plain ? "text/plain; version=0.0.4" : "application/json");
  if (e->retry_after > 0) {
    g_autofree char *v = g_strdup_printf ("%d", e->retry_after);
    MHD_add_response_header (r->response, "Retry-After", v);
  }
  MHD_resume_connection (r->conn);
}

void
hr_http_server_flush (HrHttpServer *s)
{
  MHD_run (s->daemon);
}

void
hr_http_server_free (HrHttpServer *s)
{
  if (s->source) {
    g_source_destroy (s->source);
    g_source_unref (s->source);
  }
  if (s->daemon) {
    /* What waits for an answer has to be resumed before the daemon can end. */
    GHashTableIter it;
    gpointer r;
    g_hash_table_iter_init (&it, s->open);
    while (g_hash_table_iter_next (&it, NULL, &r))
      MHD_resume_connection (((Request *)r)->conn);
    g_clear_pointer (&s->open, g_hash_table_unref);
    MHD_stop_daemon (s->daemon);
  }
  g_clear_pointer (&s->open, g_hash_table_unref);
  g_free (s);
}
