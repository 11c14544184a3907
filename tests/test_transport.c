/* The HTTP server and client on loopback, driven by the main loop of the test. */
#include "coordination/command.h"
#include "protocol/jobspec.h"
#include "transport/http_client.h"
#include "transport/process_metrics.h"
#include <gio/gio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

typedef struct {
  HrHttpServer *server;
  GPtrArray *queue; /* HrCommand */
  guint requests, results;
  gboolean too_large, hold;
  int status;
  double result_at[8];
} Probe;

static void
sink (HrCommand *command, gpointer data)
{
  Probe *probe = data;
  if (command->kind == HR_COMMAND_RESULT) {
    probe->status = command->result.status;
    if (probe->results < G_N_ELEMENTS (probe->result_at))
      probe->result_at[probe->results] = g_get_monotonic_time () / 1e6;
    probe->results++;
    hr_command_free (command);
  } else {
    probe->requests++;
    probe->too_large = command->request.is_too_large;
    g_ptr_array_add (probe->queue, command);
  }
}

/* As the daemon does it: a turn of the loop, then the answers, all at once. */
static void
turn (Probe *probe)
{
  g_main_context_iteration (NULL, FALSE);
  if (!probe || !probe->queue || probe->hold)
    return;
  for (guint i = 0; i < probe->queue->len; i++) {
    HrCommand *command = probe->queue->pdata[i];
    HrEffect effect = {
        .kind = HR_EFFECT_REPLY, .id = command->id, .reply.status = 200, .body = "{\"ok\":true}"};
    if (command->request.is_too_large)
      effect.reply.status = 400;
    if (strcmp (command->request.path, "/busy") == 0) {
      effect.reply.status = 503;
      effect.reply.retry_after_s = 7;
    }
    hr_http_server_reply (probe->server, &effect);
  }
  if (probe->queue->len)
    hr_http_server_flush (probe->server);
  g_ptr_array_set_size (probe->queue, 0);
}

static guint16
free_port (void)
{
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();
  return g_socket_listener_add_any_inet_port (listener, NULL, NULL);
}

static void
serve (Probe *probe, guint16 port, guint sockets)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", port);
  g_autoptr (GError) error = NULL;
  probe->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  probe->server = hr_http_server_new (address, sockets, sink, probe, &error);
  assert_non_null (probe->server);
}

static GSocket *
dial (guint16 port)
{
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  GSocket *socket =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  assert_true (g_socket_connect (socket, address, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static void
spin (Probe *probe, double seconds)
{
  gint64 until = g_get_monotonic_time () + (gint64)(seconds * 1e6);
  while (g_get_monotonic_time () < until) {
    turn (probe);
    g_usleep (500);
  }
}

static void
stop (Probe *probe)
{
  hr_http_server_free (probe->server);
  g_ptr_array_unref (probe->queue);
}

/* Sends the text and gives what came back within two seconds. */
static char *
ask (Probe *probe, GSocket *socket, const char *text, gsize len)
{
  GString *got = g_string_new (NULL);
  char buf[4096];
  gsize sent = 0;
  for (int i = 0; i < 4000 && !strstr (got->str, "}"); i++) {
    if (sent < len) {
      gssize n = g_socket_send (socket, text + sent, len - sent, NULL, NULL);
      sent += MAX (0, n);
    }
    turn (probe);
    gssize n = g_socket_receive (socket, buf, sizeof buf, NULL, NULL);
    if (n > 0)
      g_string_append_len (got, buf, n);
    else if (n == 0)
      break;
    else
      g_usleep (500);
  }
  return g_string_free (got, FALSE);
}

static const char *const get = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

static void
a_connection_stays_open (void **state G_GNUC_UNUSED)
{
  Probe probe = {0};
  guint16 port = free_port ();
  serve (&probe, port, 100);
  g_autoptr (GSocket) socket = dial (port);
  for (guint i = 1; i < 4; i++) {
    g_autofree char *got = ask (&probe, socket, get, strlen (get));
    assert_non_null (strstr (got, "200 OK"));
    assert_null (strstr (got, "Connection: close"));
    assert_int_equal (probe.requests, i);
  }
  const char *busy = "GET /busy HTTP/1.1\r\nHost: x\r\n\r\n";
  g_autofree char *got = ask (&probe, socket, busy, strlen (busy));
  assert_non_null (strstr (got, "503"));
  assert_non_null (strstr (got, "Retry-After: 7"));
  stop (&probe);
}

static void
bodies_have_a_limit (void **state G_GNUC_UNUSED)
{
  for (int over = 0; over < 2; over++) {
    Probe probe = {0};
    guint16 port = free_port ();
    serve (&probe, port, 100);
    g_autoptr (GSocket) socket = dial (port);
    gsize size = HR_MAX_BODY + over;
    g_autofree char *body = g_strnfill (size, 'x');
    g_autofree char *text = g_strdup_printf (
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s", size, body);
    g_autofree char *got = ask (&probe, socket, text, strlen (text));
    assert_int_equal (probe.requests, 1);
    assert_int_equal (probe.too_large, over);
    assert_non_null (strstr (got, over ? "400" : "200"));
    stop (&probe);
  }
}

/* Guards against one source of the main loop per connection: GLib looks at each in every
 * turn, which took several times a controller's processor with 600 workers. */
static void
connections_cost_the_loop_nothing (void **state G_GNUC_UNUSED)
{
  Probe probe = {0};
  guint16 port = free_port ();
  serve (&probe, port, 1000);
  g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < 100; i++) {
    GSocket *socket = dial (port);
    g_ptr_array_add (all, socket);
    g_autofree char *got = ask (&probe, socket, get, strlen (get));
    assert_non_null (strstr (got, "200 OK"));
  }
  GPollFD fds[200];
  gint timeout, most;
  GMainContext *loop = g_main_context_default ();
  assert_true (g_main_context_acquire (loop));
  g_main_context_prepare (loop, &most);
  gint n = g_main_context_query (loop, most, &timeout, fds, G_N_ELEMENTS (fds));
  g_main_context_release (loop);
  assert_in_range (n, 1, 8);
  stop (&probe);
}

static void
an_asker_may_leave (void **state G_GNUC_UNUSED)
{
  Probe probe = {.hold = TRUE};
  guint16 port = free_port ();
  serve (&probe, port, 100);
  GSocket *socket = dial (port);
  assert_int_equal (g_socket_send (socket, get, strlen (get), NULL, NULL), strlen (get));
  spin (&probe, 0.1);
  assert_int_equal (probe.requests, 1);
  g_object_unref (socket);
  spin (&probe, 0.05);
  probe.hold = FALSE;
  spin (&probe, 0.05);
  /* An id that is no longer known. */
  HrEffect effect = {.kind = HR_EFFECT_REPLY, .id = 1, .reply.status = 200, .body = "{}"};
  hr_http_server_reply (probe.server, &effect);
  stop (&probe);
}

/* Guards against workers that lose their leases because users' connections fill the node:
 * near the limit users are sent away at once, with when to come back, and make room. */
static void
workers_come_before_users (void **state G_GNUC_UNUSED)
{
  static const char user[] = "GET /v1/jobs/job-000001 HTTP/1.1\r\nHost: x\r\n\r\n";
  static const char worker[] = "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
  Probe probe = {0};
  guint16 port = free_port ();
  serve (&probe, port, 50);
  g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < 40; i++) {
    g_ptr_array_add (all, dial (port));
    g_autofree char *got = ask (&probe, all->pdata[i], user, strlen (user));
    assert_non_null (strstr (got, "200 OK"));
  }
  for (guint i = 0; i < 9; i++) { /* workers fill it */
    g_ptr_array_add (all, dial (port));
    g_autofree char *got = ask (&probe, all->pdata[all->len - 1], worker, strlen (worker));
    assert_non_null (strstr (got, "200 OK"));
  }
  g_autofree char *away = ask (&probe, all->pdata[0], user, strlen (user));
  assert_non_null (strstr (away, " 503 "));
  assert_non_null (strstr (away, "Retry-After: 2"));
  assert_non_null (strstr (away, "\"error\""));
  spin (&probe, 0.1);
  char rest[16];
  assert_int_equal (g_socket_receive (all->pdata[0], rest, sizeof rest, NULL, NULL), 0);
  g_autofree char *still = ask (&probe, all->pdata[45], worker, strlen (worker));
  assert_non_null (strstr (still, "200 OK"));
  stop (&probe);
}

static void
send_call (HrHttpClient *client, double timeout)
{
  static guint64 id;
  HrEffect effect = {.kind = HR_EFFECT_CALL,
                     .id = ++id,
                     .call.target = HR_TO_STORE,
                     .call.method = HR_GET,
                     .call.path = "/changes",
                     .call.timeout_s = timeout};
  hr_http_client_call (client, &effect);
}

/* Guards against libsoup's way to end a cancelled call only once another one that waits
 * for a connection has ended: two controllers took 12 s longer than a cut to read again. */
static void
calls_end_at_their_deadline (void **state G_GNUC_UNUSED)
{
  g_autoptr (GSocket) listener =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  guint16 port = free_port ();
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  assert_true (g_socket_bind (listener, address, TRUE, NULL));
  g_socket_set_listen_backlog (listener, 0);
  assert_true (g_socket_listen (listener, NULL));
  /* Nobody accepts: with these the queue is full, and who comes next hangs. */
  g_autoptr (GPtrArray) full = g_ptr_array_new_with_free_func (g_object_unref);
  for (int i = 0; i < 3; i++) {
    GSocket *socket =
        g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
    g_socket_set_blocking (socket, FALSE);
    g_socket_connect (socket, address, NULL, NULL);
    g_ptr_array_add (full, socket);
  }
  Probe probe = {.status = -1};
  g_autofree char *store = g_strdup_printf ("127.0.0.1:%u", port);
  HrHttpClient *client = hr_http_client_new (store, store, 100, sink, &probe);
  double until = g_get_monotonic_time () / 1e6;
  send_call (client, 3);
  spin (&probe, 0.1);
  send_call (client, 0.4);
  spin (&probe, 1.2);
  assert_int_equal (probe.results, 1);
  assert_int_equal (probe.status, 0);
  assert_true (probe.result_at[0] - until < 0.9);
  spin (&probe, 2.4);
  assert_int_equal (probe.results, 2);
  assert_true (probe.result_at[1] - until < 3.4);
  hr_http_client_free (client);
  spin (&probe, 0.1);
}

/* Found on the emulator: a call's address was taken for a reply's flag, and orders to workers left
 * with metrics behind them. */
static void
metrics_are_added_to_replies_alone (void **state G_GNUC_UNUSED)
{
  HrEffect call = {.kind = HR_EFFECT_CALL, .body = g_strdup ("{}")};
  call.call.target = HR_TO_WORKER;
  call.call.address = (char *)"127.0.0.1:1";
  hr_process_metrics_add (&call);
  assert_string_equal (call.body, "{}");
  HrEffect answer = {.kind = HR_EFFECT_REPLY, .body = g_strdup ("{}")};
  hr_process_metrics_add (&answer);
  assert_string_equal (answer.body, "{}");
  HrEffect metrics = {.kind = HR_EFFECT_REPLY, .body = g_strdup ("core 1\n")};
  metrics.reply.is_plain_text = TRUE;
  hr_process_metrics_add (&metrics);
  assert_true (g_str_has_prefix (metrics.body, "core 1\n"));
  assert_non_null (strstr (metrics.body, "process_cpu_seconds_total"));
  g_free (call.body);
  g_free (answer.body);
  g_free (metrics.body);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (metrics_are_added_to_replies_alone),
      cmocka_unit_test (a_connection_stays_open),
      cmocka_unit_test (bodies_have_a_limit),
      cmocka_unit_test (connections_cost_the_loop_nothing),
      cmocka_unit_test (an_asker_may_leave),
      cmocka_unit_test (calls_end_at_their_deadline),
      cmocka_unit_test (workers_come_before_users),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
