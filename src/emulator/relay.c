/* A relay forwards the data that one controller sends to another, unless a network partition
 * separates them. */
#include "emulator/emulator.h"

/* Size of the buffer for one read and write. */
#define CHUNK_BYTES 4096
/* Interval at which a relay that holds back data checks whether the partition has ended. */
#define CUT_POLL_MS 50

typedef struct {
  Emulator *emulator;
  int from, to;
  GSocketService *service;
} Relay;

/* A connection through the relay: a socket connection from the sender and one to the receiver.
 * Freed when both directions have ended. */
typedef struct {
  Relay *relay;
  GSocketConnection *ends[2];
  int refs; /* number of open directions */
} RelayedConnection;

/* One direction of a connection: data read at one end is written to the other. */
typedef struct {
  RelayedConnection *connection;
  int end; /* index of the end that is read */
  char data[CHUNK_BYTES];
  gsize size;
} Direction;

static void direction_read (Direction *direction);

static gboolean
is_cut (const Relay *relay)
{
  const SimCluster *cluster = relay->emulator->cluster;
  return cluster->nodes[relay->from].cut_peers_until > cluster->now ||
         cluster->nodes[relay->to].cut_peers_until > cluster->now;
}

static void
direction_end (Direction *direction)
{
  RelayedConnection *connection = direction->connection;
  g_io_stream_close (G_IO_STREAM (connection->ends[0]), NULL, NULL);
  g_io_stream_close (G_IO_STREAM (connection->ends[1]), NULL, NULL);
  if (--connection->refs == 0) {
    g_object_unref (connection->ends[0]);
    g_object_unref (connection->ends[1]);
    g_free (connection);
  }
  g_free (direction);
}

static void
on_written (GObject *source, GAsyncResult *result, gpointer data)
{
  Direction *direction = data;
  if (g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, NULL))
    direction_read (direction);
  else
    direction_end (direction);
}

/* Writes the data read last. While a partition separates the controllers, holds the data back and
 * tries again. */
static gboolean
direction_write (gpointer data)
{
  Direction *direction = data;
  if (is_cut (direction->connection->relay)) {
    g_timeout_add (CUT_POLL_MS, direction_write, direction);
    return G_SOURCE_REMOVE;
  }
  GIOStream *other = G_IO_STREAM (direction->connection->ends[1 - direction->end]);
  g_output_stream_write_all_async (g_io_stream_get_output_stream (other), direction->data,
                                   direction->size, G_PRIORITY_DEFAULT, NULL, on_written,
                                   direction);
  return G_SOURCE_REMOVE;
}

static void
on_chunk (GObject *source, GAsyncResult *result, gpointer data)
{
  Direction *direction = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  if (n <= 0) {
    direction_end (direction);
    return;
  }
  direction->size = n;
  direction_write (direction);
}

static void
direction_read (Direction *direction)
{
  GIOStream *end = G_IO_STREAM (direction->connection->ends[direction->end]);
  g_input_stream_read_async (g_io_stream_get_input_stream (end), direction->data, CHUNK_BYTES,
                             G_PRIORITY_DEFAULT, NULL, on_chunk, direction);
}

static void
direction_begin (RelayedConnection *connection, int end)
{
  Direction *direction = g_new0 (Direction, 1);
  direction->connection = connection;
  direction->end = end;
  connection->refs++;
  direction_read (direction);
}

/* An incoming connection while the one to the receiver is being established. */
typedef struct {
  Relay *relay;
  GSocketConnection *incoming;
} Connecting;

static void
on_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree Connecting *connecting = data;
  GSocketConnection *outgoing =
      g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (source), result, NULL);
  if (!outgoing) {
    g_io_stream_close (G_IO_STREAM (connecting->incoming), NULL, NULL);
    g_object_unref (connecting->incoming);
    return;
  }
  RelayedConnection *connection = g_new0 (RelayedConnection, 1);
  connection->relay = connecting->relay;
  connection->ends[0] = connecting->incoming;
  connection->ends[1] = outgoing;
  direction_begin (connection, 0);
  direction_begin (connection, 1);
}

static gboolean
on_incoming (GSocketService *service G_GNUC_UNUSED, GSocketConnection *incoming,
             GObject *source G_GNUC_UNUSED, gpointer data)
{
  Relay *relay = data;
  if (is_cut (relay)) {
    g_io_stream_close (G_IO_STREAM (incoming), NULL, NULL);
    return TRUE;
  }
  Connecting *connecting = g_new (Connecting, 1);
  *connecting = (Connecting){relay, g_object_ref (incoming)};
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_connect_to_host_async (client, relay->emulator->nodes[relay->to].back, 0, NULL,
                                         on_connected, connecting);
  return TRUE;
}

char *
emulator_relay (Emulator *emulator, int from, int to)
{
  Relay *relay = g_new0 (Relay, 1);
  *relay = (Relay){emulator, from, to, g_socket_service_new ()};
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GSocketAddress) bound = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (relay->service), any, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &bound, &error))
    g_error ("emulator: relay cannot listen: %s", error->message);
  g_signal_connect (relay->service, "incoming", G_CALLBACK (on_incoming), relay);
  g_ptr_array_add (emulator->relays, relay);
  return emulator_address (G_INET_SOCKET_ADDRESS (bound));
}

/* Open connections still refer to the relay, so only its listener is closed and freed. */
void
emulator_relay_free (gpointer relay)
{
  Relay *ended = relay;
  g_socket_service_stop (ended->service);
  g_socket_listener_close (G_SOCKET_LISTENER (ended->service));
  g_object_unref (ended->service);
}
