#include "transport/peer.h"
#include "transport/peer_status_frame.h"
#include <gio/gio.h>
#include <string.h>

typedef struct {
  HrPeers *owner;
  char *endpoint;
  GSocketConnection *conn;
  gboolean connecting, writing;
  guint8 frame[4 + HR_MAX_FRAME];
} Link;

struct HrPeers {
  GSocketService *service;
  GSocketClient *client;
  GPtrArray *links;
  HrCommandSink sink;
  gpointer data;
};

typedef struct {
  HrPeers *owner;
  GSocketConnection *conn;
  guint8 head[4];
  guint8 body[HR_MAX_FRAME];
} Reader;

static void read_head (Reader *r);

static void
reader_free (Reader *r)
{
  g_io_stream_close_async (G_IO_STREAM (r->conn), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_object_unref (r->conn);
  g_free (r);
}

static void
deliver (Reader *r, gsize len)
{
  HrCommand *c = hr_command_new (HR_COMMAND_PEER_STATUS);
  if (!hr_peer_status_unpack (c->peer_status, r->body, len)) {
    g_info ("a peer sent a frame that is no hint; dropped");
    hr_command_free (c);
    return;
  }
  r->owner->sink (c, r->owner->data);
}

static void
on_body (GObject *src, GAsyncResult *res, gpointer p)
{
  Reader *r = p;
  gsize n = 0;
  guint32 want;
  memcpy (&want, r->head, 4);
  want = GUINT32_FROM_BE (want);
  if (!g_input_stream_read_all_finish (G_INPUT_STREAM (src), res, &n, NULL) || n < want) {
    reader_free (r);
    return;
  }
  deliver (r, n);
  read_head (r);
}

static void
on_head (GObject *src, GAsyncResult *res, gpointer p)
{
  Reader *r = p;
  gsize n = 0;
  guint32 want;
  if (!g_input_stream_read_all_finish (G_INPUT_STREAM (src), res, &n, NULL) || n < 4) {
    reader_free (r);
    return;
  }
  memcpy (&want, r->head, 4);
  want = GUINT32_FROM_BE (want);
  if (want == 0 || want > HR_MAX_FRAME) {
    reader_free (r);
    return;
  }
  g_input_stream_read_all_async (G_INPUT_STREAM (src), r->body, want, G_PRIORITY_DEFAULT, NULL,
                                 on_body, r);
}

static void
read_head (Reader *r)
{
  g_input_stream_read_all_async (g_io_stream_get_input_stream (G_IO_STREAM (r->conn)), r->head, 4,
                                 G_PRIORITY_DEFAULT, NULL, on_head, r);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *conn, GObject *src, gpointer data)
{
  Reader *r = g_new0 (Reader, 1);
  r->owner = data;
  r->conn = g_object_ref (conn);
  /* A peer speaks every second: a silent connection is dead. */
  g_socket_set_timeout (g_socket_connection_get_socket (conn), 15);
  read_head (r);
  return TRUE;
}

static void
link_drop (Link *l)
{
  if (l->conn)
    g_io_stream_close_async (G_IO_STREAM (l->conn), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_clear_object (&l->conn);
}

static void
on_connected (GObject *src, GAsyncResult *res, gpointer p)
{
  Link *l = p;
  l->connecting = FALSE;
  l->conn = g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (src), res, NULL);
}

static void
on_written (GObject *src, GAsyncResult *res, gpointer p)
{
  Link *l = p;
  l->writing = FALSE;
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (src), res, NULL, NULL))
    link_drop (l);
}

void
hr_peers_tell (HrPeers *p, const HrPeerStatus *h)
{
  guint8 frame[HR_MAX_FRAME];
  gsize len = hr_peer_status_pack (h, frame);
  if (!len)
    return;
  for (guint i = 0; i < p->links->len; i++) {
    Link *l = p->links->pdata[i];
    if (!l->conn && !l->connecting) {
      l->connecting = TRUE;
      g_socket_client_connect_to_host_async (p->client, l->endpoint, 0, NULL, on_connected, l);
    }
    if (!l->conn || l->writing)
      continue; /* hints are not queued: the next one says it all */
    guint32 be = GUINT32_TO_BE ((guint32)len);
    memcpy (l->frame, &be, 4);
    memcpy (l->frame + 4, frame, len);
    l->writing = TRUE;
    g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (l->conn)),
                                     l->frame, 4 + len, G_PRIORITY_DEFAULT, NULL, on_written, l);
  }
}

HrPeers *
hr_peers_new (const HrSettings *s, HrCommandSink sink, gpointer data, GError **error)
{
  g_autoptr (GSocketConnectable) net = g_network_address_parse (s->back, 0, error);
  if (!net)
    return NULL;
  g_autoptr (GSocketAddress) sock = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (G_NETWORK_ADDRESS (net)),
      g_network_address_get_port (G_NETWORK_ADDRESS (net)));
  HrPeers *p = g_new0 (HrPeers, 1);
  p->sink = sink;
  p->data = data;
  p->links = g_ptr_array_new ();
  p->client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (p->client, FALSE);
  g_socket_client_set_timeout (p->client, 3);
  p->service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (p->service), sock, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error)) {
    hr_peers_free (p);
    return NULL;
  }
  g_signal_connect (p->service, "incoming", G_CALLBACK (on_incoming), p);
  g_socket_service_start (p->service);
  for (guint i = 0; i < s->members->len; i++) {
    Link *l = g_new0 (Link, 1);
    l->owner = p;
    l->endpoint = g_strdup (g_array_index (s->members, HrMember, i).endpoint);
    g_ptr_array_add (p->links, l);
  }
  return p;
}

void
hr_peers_free (HrPeers *p)
{
  for (guint i = 0; i < p->links->len; i++) {
    Link *l = p->links->pdata[i];
    link_drop (l);
    g_free (l->endpoint);
    g_free (l);
  }
  g_ptr_array_unref (p->links);
  g_clear_object (&p->client);
  g_clear_object (&p->service);
  g_free (p);
}
