#include "transport/peer.h"
#include "transport/peer_status_frame.h"
#include <gio/gio.h>
#include <string.h>

/* Size of the length prefix of a frame, in bytes. */
#define LENGTH_BYTES 4
/* Peers send a status every second, so a connection without data for this long is dead. */
#define READ_TIMEOUT_S 15
/* Timeout of an attempt to connect. */
#define CONNECT_TIMEOUT_S 3

/* The connection on which this controller sends its statuses to another one. It is reopened after a
 * failure. */
typedef struct {
  char *endpoint;
  GSocketConnection *conn;
  gboolean connecting, writing;
  guint8 frame[LENGTH_BYTES + HR_MAX_FRAME]; /* the frame that is being written */
} Outgoing;

struct HrPeers {
  GSocketService *service;
  GSocketClient *client;
  GPtrArray *outgoing; /* Outgoing, one per other controller */
  HrCommandSink sink;
  gpointer data;
};

/* A connection on which another controller sends its statuses. */
typedef struct {
  HrPeers *peers;
  GSocketConnection *conn;
  guint8 length[LENGTH_BYTES]; /* length of the following frame, big-endian */
  guint8 body[HR_MAX_FRAME];
} Incoming;

static void read_length (Incoming *incoming);

static void
incoming_free (Incoming *incoming)
{
  g_io_stream_close_async (G_IO_STREAM (incoming->conn), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_object_unref (incoming->conn);
  g_free (incoming);
}

static void
deliver (Incoming *incoming, gsize len)
{
  HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
  if (!hr_peer_status_unpack (command->peer_status, incoming->body, len)) {
    g_info ("dropped a malformed status frame from a peer");
    hr_command_free (command);
    return;
  }
  incoming->peers->sink (command, incoming->peers->data);
}

static guint32
frame_length (const Incoming *incoming)
{
  guint32 length;
  memcpy (&length, incoming->length, LENGTH_BYTES);
  return GUINT32_FROM_BE (length);
}

static void
on_body (GObject *src, GAsyncResult *res, gpointer data)
{
  Incoming *incoming = data;
  gsize n = 0;
  if (!g_input_stream_read_all_finish (G_INPUT_STREAM (src), res, &n, NULL) ||
      n < frame_length (incoming)) {
    incoming_free (incoming);
    return;
  }
  deliver (incoming, n);
  read_length (incoming);
}

static void
on_length (GObject *src, GAsyncResult *res, gpointer data)
{
  Incoming *incoming = data;
  gsize n = 0;
  if (!g_input_stream_read_all_finish (G_INPUT_STREAM (src), res, &n, NULL) || n < LENGTH_BYTES) {
    incoming_free (incoming);
    return;
  }
  guint32 length = frame_length (incoming);
  if (length == 0 || length > HR_MAX_FRAME) {
    incoming_free (incoming);
    return;
  }
  g_input_stream_read_all_async (G_INPUT_STREAM (src), incoming->body, length, G_PRIORITY_DEFAULT,
                                 NULL, on_body, incoming);
}

static void
read_length (Incoming *incoming)
{
  g_input_stream_read_all_async (g_io_stream_get_input_stream (G_IO_STREAM (incoming->conn)),
                                 incoming->length, LENGTH_BYTES, G_PRIORITY_DEFAULT, NULL,
                                 on_length, incoming);
}

static gboolean
on_incoming (GSocketService *service G_GNUC_UNUSED, GSocketConnection *conn,
             GObject *src G_GNUC_UNUSED, gpointer data)
{
  Incoming *incoming = g_new0 (Incoming, 1);
  incoming->peers = data;
  incoming->conn = g_object_ref (conn);
  g_socket_set_timeout (g_socket_connection_get_socket (conn), READ_TIMEOUT_S);
  read_length (incoming);
  return TRUE;
}

static void
outgoing_close (Outgoing *outgoing)
{
  if (outgoing->conn)
    g_io_stream_close_async (G_IO_STREAM (outgoing->conn), G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  g_clear_object (&outgoing->conn);
}

static void
on_connected (GObject *src, GAsyncResult *res, gpointer data)
{
  Outgoing *outgoing = data;
  outgoing->connecting = FALSE;
  outgoing->conn = g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (src), res, NULL);
}

static void
on_written (GObject *src, GAsyncResult *res, gpointer data)
{
  Outgoing *outgoing = data;
  outgoing->writing = FALSE;
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (src), res, NULL, NULL))
    outgoing_close (outgoing);
}

static void
send_frame (Outgoing *outgoing, const guint8 *frame, gsize len)
{
  guint32 length = GUINT32_TO_BE ((guint32)len);
  memcpy (outgoing->frame, &length, LENGTH_BYTES);
  memcpy (outgoing->frame + LENGTH_BYTES, frame, len);
  outgoing->writing = TRUE;
  g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (outgoing->conn)),
                                   outgoing->frame, LENGTH_BYTES + len, G_PRIORITY_DEFAULT, NULL,
                                   on_written, outgoing);
}

void
hr_peers_send_status (HrPeers *peers, const HrPeerStatus *status)
{
  guint8 frame[HR_MAX_FRAME];
  gsize len = hr_peer_status_pack (status, frame);
  if (!len)
    return;
  for (guint i = 0; i < peers->outgoing->len; i++) {
    Outgoing *outgoing = peers->outgoing->pdata[i];
    if (!outgoing->conn && !outgoing->connecting) {
      outgoing->connecting = TRUE;
      g_socket_client_connect_to_host_async (peers->client, outgoing->endpoint, 0, NULL,
                                             on_connected, outgoing);
    }
    /* Statuses are not queued, since each one is complete. */
    if (outgoing->conn && !outgoing->writing)
      send_frame (outgoing, frame, len);
  }
}

static void
add_outgoing (HrPeers *peers, const char *endpoint)
{
  Outgoing *outgoing = g_new0 (Outgoing, 1);
  outgoing->endpoint = g_strdup (endpoint);
  g_ptr_array_add (peers->outgoing, outgoing);
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
  peers->outgoing = g_ptr_array_new ();
  peers->client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (peers->client, FALSE);
  g_socket_client_set_timeout (peers->client, CONNECT_TIMEOUT_S);
  peers->service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (peers->service), sock,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                      error)) {
    hr_peers_free (peers);
    return NULL;
  }
  g_signal_connect (peers->service, "incoming", G_CALLBACK (on_incoming), peers);
  g_socket_service_start (peers->service);
  for (guint i = 0; i < settings->members->len; i++)
    add_outgoing (peers, g_array_index (settings->members, HrMember, i).endpoint);
  return peers;
}

void
hr_peers_free (HrPeers *peers)
{
  for (guint i = 0; i < peers->outgoing->len; i++) {
    Outgoing *outgoing = peers->outgoing->pdata[i];
    outgoing_close (outgoing);
    g_free (outgoing->endpoint);
    g_free (outgoing);
  }
  g_ptr_array_unref (peers->outgoing);
  g_clear_object (&peers->client);
  g_clear_object (&peers->service);
  g_free (peers);
}
