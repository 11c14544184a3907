#include "transport/http_server.h"
#include "protocol/jobspec.h"
#include <libsoup/soup.h>
#include <string.h>

struct HrHttpServer {
  SoupServer *soup;
  GHashTable *open; /* request id -> SoupServerMessage */
  guint64 next;
  HrCommandSink sink;
  gpointer data;
};

static void
on_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
  gsize seen = GPOINTER_TO_SIZE (g_object_get_data (G_OBJECT (msg), "hr-seen"));
  seen += g_bytes_get_size (chunk);
  g_object_set_data (G_OBJECT (msg), "hr-seen", GSIZE_TO_POINTER (seen));
  /* Past the limit nothing is kept: a huge body must not cost its size in memory. */
  if (seen > HR_MAX_BODY)
    soup_message_body_set_accumulate (soup_server_message_get_request_body (msg), FALSE);
}

static void
on_early (SoupServer *soup, SoupServerMessage *msg, const char *path, GHashTable *query,
          gpointer data)
{
  goffset len =
      soup_message_headers_get_content_length (soup_server_message_get_request_headers (msg));
  if (len > HR_MAX_BODY)
    soup_message_body_set_accumulate (soup_server_message_get_request_body (msg), FALSE);
  g_signal_connect (msg, "got-chunk", G_CALLBACK (on_chunk), NULL);
}

static void
on_finished (SoupServerMessage *msg, gpointer data)
{
  HrHttpServer *s = data;
  guint64 *id = g_object_get_data (G_OBJECT (msg), "hr-id");
  if (id)
    g_hash_table_remove (s->open, id);
}

static HrMethod
method_of (const char *m)
{
  return g_str_equal (m, "GET")      ? HR_GET
         : g_str_equal (m, "POST")   ? HR_POST
         : g_str_equal (m, "DELETE") ? HR_DELETE
                                     : HR_OTHER_METHOD;
}

static void
on_request (SoupServer *soup, SoupServerMessage *msg, const char *path, GHashTable *query,
            gpointer data)
{
  HrHttpServer *s = data;
  HrCommand *c = hr_command_new (HR_C_REQUEST);
  c->id = ++s->next;
  c->method = method_of (soup_server_message_get_method (msg));
  c->path = g_strdup (path);
  c->too_large = GPOINTER_TO_SIZE (g_object_get_data (G_OBJECT (msg), "hr-seen")) > HR_MAX_BODY;
  SoupMessageBody *body = soup_server_message_get_request_body (msg);
  if (!c->too_large)
    c->body = soup_message_body_flatten (body);
  guint64 *id = g_memdup2 (&c->id, sizeof c->id);
  g_object_set_data_full (G_OBJECT (msg), "hr-id", id, g_free);
  g_hash_table_insert (s->open, id, g_object_ref (msg));
  g_signal_connect (msg, "finished", G_CALLBACK (on_finished), s);
  soup_server_message_pause (msg);
  s->sink (c, s->data);
}

HrHttpServer *
hr_http_server_new (const char *address, HrCommandSink sink, gpointer data, GError **error)
{
  g_autoptr (GSocketConnectable) net = g_network_address_parse (address, 0, error);
  if (!net)
    return NULL;
  g_autoptr (GSocketAddress) sock = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (G_NETWORK_ADDRESS (net)),
      g_network_address_get_port (G_NETWORK_ADDRESS (net)));
  if (!sock) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an address", address);
    return NULL;
  }
  HrHttpServer *s = g_new0 (HrHttpServer, 1);
  s->sink = sink;
  s->data = data;
  s->open = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_object_unref);
  s->soup = soup_server_new (NULL, NULL);
  soup_server_add_early_handler (s->soup, NULL, on_early, s, NULL);
  soup_server_add_handler (s->soup, NULL, on_request, s, NULL);
  if (!soup_server_listen (s->soup, sock, 0, error)) {
    hr_http_server_free (s);
    return NULL;
  }
  return s;
}

void
hr_http_server_reply (HrHttpServer *s, const HrEffect *e)
{
  SoupServerMessage *msg = g_hash_table_lookup (s->open, &e->id);
  if (!msg)
    return; /* the asker is gone */
  g_object_ref (msg);
  g_hash_table_remove (s->open, &e->id);
  soup_server_message_set_status (msg, e->status, NULL);
  if (e->retry_after > 0) {
    g_autofree char *v = g_strdup_printf ("%d", e->retry_after);
    soup_message_headers_replace (soup_server_message_get_response_headers (msg), "Retry-After", v);
  }
  const char *body = e->body ? e->body : "{}";
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, body, strlen (body));
  soup_server_message_unpause (msg);
  g_object_unref (msg);
}

void
hr_http_server_free (HrHttpServer *s)
{
  g_clear_object (&s->soup);
  g_clear_pointer (&s->open, g_hash_table_unref);
  g_free (s);
}
