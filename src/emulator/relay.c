/* One way between two controllers: what the one sends is passed on, unless a cut parts them. */
#include "emulator/live.h"

#define CHUNK 4096
#define LOOK_AGAIN_MS 50

typedef struct {
  Live *live;
  int from, to;
  GSocketService *service;
} Relay;

/* Two connections that are one; it lives as long as one of its directions is read. */
typedef struct {
  Relay *relay;
  GSocketConnection *ends[2];
  int refs;
} Link;

typedef struct {
  Link *link;
  int end; /* that is read */
  char data[CHUNK];
  gsize size;
} Pump;

static void pump_read (Pump *pump);

static gboolean
is_cut (const Relay *relay)
{
  const World *world = relay->live->world;
  return world->nodes[relay->from].cut_peers > world->now ||
         world->nodes[relay->to].cut_peers > world->now;
}

static void
pump_end (Pump *pump)
{
  Link *link = pump->link;
  g_io_stream_close (G_IO_STREAM (link->ends[0]), NULL, NULL);
  g_io_stream_close (G_IO_STREAM (link->ends[1]), NULL, NULL);
  if (--link->refs == 0) {
    g_object_unref (link->ends[0]);
    g_object_unref (link->ends[1]);
    g_free (link);
  }
  g_free (pump);
}

static void
on_written (GObject *source, GAsyncResult *result, gpointer data)
{
  Pump *pump = data;
  if (g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, NULL))
    pump_read (pump);
  else
    pump_end (pump);
}

/* What was sent into a cut waits for its end. */
static gboolean
pump_write (gpointer data)
{
  Pump *pump = data;
  if (is_cut (pump->link->relay)) {
    g_timeout_add (LOOK_AGAIN_MS, pump_write, pump);
    return G_SOURCE_REMOVE;
  }
  GIOStream *other = G_IO_STREAM (pump->link->ends[1 - pump->end]);
  g_output_stream_write_all_async (g_io_stream_get_output_stream (other), pump->data, pump->size,
                                   G_PRIORITY_DEFAULT, NULL, on_written, pump);
  return G_SOURCE_REMOVE;
}

static void
on_chunk (GObject *source, GAsyncResult *result, gpointer data)
{
  Pump *pump = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  if (n <= 0) {
    pump_end (pump);
    return;
  }
  pump->size = n;
  pump_write (pump);
}

static void
pump_read (Pump *pump)
{
  GIOStream *end = G_IO_STREAM (pump->link->ends[pump->end]);
  g_input_stream_read_async (g_io_stream_get_input_stream (end), pump->data, CHUNK,
                             G_PRIORITY_DEFAULT, NULL, on_chunk, pump);
}

static void
pump_begin (Link *link, int end)
{
  Pump *pump = g_new0 (Pump, 1);
  pump->link = link;
  pump->end = end;
  link->refs++;
  pump_read (pump);
}

typedef struct {
  Relay *relay;
  GSocketConnection *incoming;
} Connecting;

static void
on_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree Connecting *core = data;
  GSocketConnection *out =
      g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (source), result, NULL);
  if (!out) {
    g_io_stream_close (G_IO_STREAM (core->incoming), NULL, NULL);
    g_object_unref (core->incoming);
    return;
  }
  Link *link = g_new0 (Link, 1);
  link->relay = core->relay;
  link->ends[0] = core->incoming;
  link->ends[1] = out;
  pump_begin (link, 0);
  pump_begin (link, 1);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *incoming, GObject *source, gpointer data)
{
  Relay *relay = data;
  if (is_cut (relay)) {
    g_io_stream_close (G_IO_STREAM (incoming), NULL, NULL);
    return TRUE;
  }
  Connecting *core = g_new (Connecting, 1);
  *core = (Connecting){relay, g_object_ref (incoming)};
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_connect_to_host_async (client, relay->live->nodes[relay->to].back, 0, NULL,
                                         on_connected, core);
  return TRUE;
}

char *
live_relay (Live *live, int from, int to)
{
  Relay *relay = g_new0 (Relay, 1);
  *relay = (Relay){live, from, to, g_socket_service_new ()};
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GSocketAddress) bound = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (relay->service), any, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &bound, &error))
    g_error ("emulator: a relay cannot listen: %s", error->message);
  g_signal_connect (relay->service, "incoming", G_CALLBACK (on_incoming), relay);
  g_ptr_array_add (live->relays, relay);
  return live_address (G_INET_SOCKET_ADDRESS (bound));
}

/* Links that are still open refer to the relay, so only its listener goes. */
void
live_relay_free (gpointer relay)
{
  Relay *ended = relay;
  g_socket_service_stop (ended->service);
  g_socket_listener_close (G_SOCKET_LISTENER (ended->service));
  g_object_unref (ended->service);
}
