#include "transport/peer.h"
#include "transport/peer_status_frame.h"
#include <gio/gio.h>
#include <string.h>

typedef struct {
  HrPeers *peers;
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
  HrPeers *peers;
  GSocketConnection *conn;
  guint8 head[4];
  guint8 body[HR_MAX_FRAME];
} Reader;

static void read_head (Reader *reader);

static void
reader_free (Reader *reader)
{
  g_io_stream_close_async (G_IO_STREAM (reader->conn), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_object_unref (reader->conn);
  g_free (reader);
}

static void
deliver (Reader *reader, gsize len)
{
  HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
  if (!hr_peer_status_unpack (command->peer_status, reader->body, len)) {
    g_info ("a peer sent a frame that is no status; dropped");
    hr_command_free (command);
    return;
  }
  reader->peers->sink (command, reader->peers->data);
}

static void
on_body (GObject *src, GAsyncResult *res, gpointer data)
{
  Reader *reader = data;
  gsize n = 0;
  guint32 want;
  memcpy (&want, reader->head, 4);
  want = GUINT32_FROM_BE (want);
  if (!g_input_stream_read_all_finish (G_INPUT_STREAM (src), res, &n, NULL) || n < want) {
    reader_free (reader);
    return;
  }
  deliver (reader, n);
  read_head (reader);
}

static void
on_head (GObject *src, GAsyncResult *res, gpointer data)
{
  Reader *reader = data;
  gsize n = 0;
  guint32 want;
  if (!g_input_stream_read_all_finish (G_INPUT_STREAM (src), res, &n, NULL) || n < 4) {
    reader_free (reader);
    return;
  }
  memcpy (&want, reader->head, 4);
  want = GUINT32_FROM_BE (want);
  if (want == 0 || want > HR_MAX_FRAME) {
    reader_free (reader);
    return;
  }
  g_input_stream_read_all_async (G_INPUT_STREAM (src), reader->body, want, G_PRIORITY_DEFAULT, NULL,
                                 on_body, reader);
}

static void
read_head (Reader *reader)
{
  g_input_stream_read_all_async (g_io_stream_get_input_stream (G_IO_STREAM (reader->conn)),
                                 reader->head, 4, G_PRIORITY_DEFAULT, NULL, on_head, reader);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *conn, GObject *src, gpointer data)
{
  Reader *reader = g_new0 (Reader, 1);
  reader->peers = data;
  reader->conn = g_object_ref (conn);
  /* A peer speaks every second: a silent connection is dead. */
  g_socket_set_timeout (g_socket_connection_get_socket (conn), 15);
  read_head (reader);
  return TRUE;
}

static void
link_drop (Link *link)
{
  if (link->conn)
    g_io_stream_close_async (G_IO_STREAM (link->conn), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_clear_object (&link->conn);
}

static void
on_connected (GObject *src, GAsyncResult *res, gpointer data)
{
  Link *link = data;
  link->connecting = FALSE;
  link->conn = g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (src), res, NULL);
}

static void
on_written (GObject *src, GAsyncResult *res, gpointer data)
{
  Link *link = data;
  link->writing = FALSE;
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (src), res, NULL, NULL))
    link_drop (link);
}

void
hr_peers_tell (HrPeers *peers, const HrPeerStatus *status)
{
  guint8 frame[HR_MAX_FRAME];
  gsize len = hr_peer_status_pack (status, frame);
  if (!len)
    return;
  for (guint i = 0; i < peers->links->len; i++) {
    Link *link = peers->links->pdata[i];
    if (!link->conn && !link->connecting) {
      link->connecting = TRUE;
      g_socket_client_connect_to_host_async (peers->client, link->endpoint, 0, NULL, on_connected,
                                             link);
    }
    if (!link->conn || link->writing)
      continue; /* statuses are not queued: the next one says it all */
    guint32 length = GUINT32_TO_BE ((guint32)len);
    memcpy (link->frame, &length, 4);
    memcpy (link->frame + 4, frame, len);
    link->writing = TRUE;
    g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (link->conn)),
                                     link->frame, 4 + len, G_PRIORITY_DEFAULT, NULL, on_written,
                                     link);
  }
}

HrPeers *
hr_peers_new (const HrSettings *settings, HrCommandSink sink, gpointer data, GError **error)
{
  g_autoptr (GSocketConnectable) net = g_network_address_parse (settings->back, 0, error);
  if (!net)
    return NULL;
  g_autoptr (GSocketAddress) sock = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (G_NETWORK_ADDRESS (net)),
      g_network_address_get_port (G_NETWORK_ADDRESS (net)));
  HrPeers *peers = g_new0 (HrPeers, 1);
  peers->sink = sink;
  peers->data = data;
  peers->links = g_ptr_array_new ();
  peers->client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (peers->client, FALSE);
  g_socket_client_set_timeout (peers->client, 3);
  peers->service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (peers->service), sock,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                      error)) {
    hr_peers_free (peers);
    return NULL;
  }
  g_signal_connect (peers->service, "incoming", G_CALLBACK (on_incoming), peers);
  g_socket_service_start (peers->service);
  for (guint i = 0; i < settings->members->len; i++) {
    Link *link = g_new0 (Link, 1);
    link->peers = peers;
    link->endpoint = g_strdup (g_array_index (settings->members, HrMember, i).endpoint);
    g_ptr_array_add (peers->links, link);
  }
  return peers;
}

void
hr_peers_free (HrPeers *peers)
{
  for (guint i = 0; i < peers->links->len; i++) {
    Link *link = peers->links->pdata[i];
    link_drop (link);
    g_free (link->endpoint);
    g_free (link);
  }
  g_ptr_array_unref (peers->links);
  g_clear_object (&peers->client);
  g_clear_object (&peers->service);
  g_free (peers);
}
