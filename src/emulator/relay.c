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

static void pump_read (Pump *p);

static gboolean
parted (const Relay *r)
{
  const World *w = r->live->w;
  return w->nodes[r->from].cut_peers > w->now || w->nodes[r->to].cut_peers > w->now;
}

static void
pump_end (Pump *p)
{
  Link *link = p->link;
  g_io_stream_close (G_IO_STREAM (link->ends[0]), NULL, NULL);
  g_io_stream_close (G_IO_STREAM (link->ends[1]), NULL, NULL);
  if (--link->refs == 0) {
    g_object_unref (link->ends[0]);
    g_object_unref (link->ends[1]);
    g_free (link);
  }
  g_free (p);
}

static void
on_written (GObject *source, GAsyncResult *result, gpointer data)
{
  Pump *p = data;
  if (g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, NULL))
    pump_read (p);
  else
    pump_end (p);
}

/* What was sent into a cut waits for its end. */
static gboolean
pump_write (gpointer data)
{
  Pump *p = data;
  if (parted (p->link->relay)) {
    g_timeout_add (LOOK_AGAIN_MS, pump_write, p);
    return G_SOURCE_REMOVE;
  }
  GIOStream *other = G_IO_STREAM (p->link->ends[1 - p->end]);
  g_output_stream_write_all_async (g_io_stream_get_output_stream (other), p->data, p->size,
                                   G_PRIORITY_DEFAULT, NULL, on_written, p);
  return G_SOURCE_REMOVE;
}

static void
on_chunk (GObject *source, GAsyncResult *result, gpointer data)
{
  Pump *p = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  if (n <= 0) {
    pump_end (p);
    return;
  }
  p->size = n;
  pump_write (p);
}

static void
pump_read (Pump *p)
{
  GIOStream *end = G_IO_STREAM (p->link->ends[p->end]);
  g_input_stream_read_async (g_io_stream_get_input_stream (end), p->data, CHUNK, G_PRIORITY_DEFAULT,
                             NULL, on_chunk, p);
}

static void
pump_begin (Link *link, int end)
{
  Pump *p = g_new0 (Pump, 1);
  p->link = link;
  p->end = end;
  link->refs++;
  pump_read (p);
}

typedef struct {
  Relay *relay;
  GSocketConnection *incoming;
} Connecting;

static void
on_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree Connecting *c = data;
  GSocketConnection *out =
      g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (source), result, NULL);
  if (!out) {
    g_io_stream_close (G_IO_STREAM (c->incoming), NULL, NULL);
    g_object_unref (c->incoming);
    return;
  }
  Link *link = g_new0 (Link, 1);
  link->relay = c->relay;
  link->ends[0] = c->incoming;
  link->ends[1] = out;
  pump_begin (link, 0);
  pump_begin (link, 1);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *incoming, GObject *source, gpointer data)
{
  Relay *r = data;
  if (parted (r)) {
    g_io_stream_close (G_IO_STREAM (incoming), NULL, NULL);
    return TRUE;
  }
  Connecting *c = g_new (Connecting, 1);
  *c = (Connecting){r, g_object_ref (incoming)};
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_connect_to_host_async (client, r->live->nodes[r->to].back, 0, NULL, on_connected,
                                         c);
  return TRUE;
}

char *
live_relay (Live *s, int from, int to)
{
  Relay *r = g_new0 (Relay, 1);
  *r = (Relay){s, from, to, g_socket_service_new ()};
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GSocketAddress) bound = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (r->service), any, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &bound, &error))
    g_error ("emulator: a relay cannot listen: %s", error->message);
  g_signal_connect (r->service, "incoming", G_CALLBACK (on_incoming), r);
  g_ptr_array_add (s->relays, r);
  return live_address (G_INET_SOCKET_ADDRESS (bound));
}

/* Links that are still open refer to the relay, so only its listener goes. */
void
live_relay_free (gpointer relay)
{
  Relay *r = relay;
  g_socket_service_stop (r->service);
  g_socket_listener_close (G_SOCKET_LISTENER (r->service));
  g_object_unref (r->service);
}
