/* The HTTP server and client on the loopback interface, driven by the main loop of the test. */
#include "coordination/command.h"
#include "protocol/jobspec.h"
#include "transport/http_client.h"
#include "transport/process_metrics.h"
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

typedef struct {
  HrHttpServer *server;
  GPtrArray *queue; /* HrCommand: requests without a reply yet */
  guint requests, results;
  gboolean too_large, hold_replies;
  int status;
  double result_at[8];
} Fixture;

static void
on_command (HrCommand *command, gpointer data)
{
  Fixture *fixture = data;
  if (command->kind == HR_COMMAND_RESULT) {
    fixture->status = command->result.status;
    if (fixture->results < G_N_ELEMENTS (fixture->result_at))
      fixture->result_at[fixture->results] = g_get_monotonic_time () / 1e6;
    fixture->results++;
    hr_command_free (command);
  } else {
    fixture->requests++;
    fixture->too_large = command->request.is_too_large;
    g_ptr_array_add (fixture->queue, command);
  }
}

/* Runs one iteration of the main loop, then sends all replies at once, as the daemon does. */
static void
iterate_loop (Fixture *fixture)
{
  g_main_context_iteration (NULL, FALSE);
  if (!fixture || !fixture->queue || fixture->hold_replies)
    return;
  for (guint i = 0; i < fixture->queue->len; i++) {
    HrCommand *command = fixture->queue->pdata[i];
    HrEffect effect = {
        .kind = HR_EFFECT_REPLY, .id = command->id, .reply.status = 200, .body = "{\"ok\":true}"};
    if (command->request.is_too_large)
      effect.reply.status = 400;
    if (strcmp (command->request.path, "/busy") == 0) {
      effect.reply.status = 503;
      effect.reply.retry_after_s = 7;
    }
    hr_http_server_reply (fixture->server, &effect);
  }
  if (fixture->queue->len)
    hr_http_server_flush (fixture->server);
  g_ptr_array_set_size (fixture->queue, 0);
}

static guint16
free_port (void)
{
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();
  return g_socket_listener_add_any_inet_port (listener, NULL, NULL);
}

static void
start_limited_server (Fixture *fixture, guint16 port, HrHttpServerLimits limits)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", port);
  g_autoptr (GError) error = NULL;
  fixture->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  fixture->server = hr_http_server_new (address, limits, on_command, fixture, &error);
  assert_non_null (fixture->server);
}

static void
start_server (Fixture *fixture, guint16 port, guint sockets)
{
  start_limited_server (fixture, port, (HrHttpServerLimits){.connections = sockets});
}

static GSocket *
connect_to (guint16 port)
{
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  GSocket *socket =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  assert_true (g_socket_connect (socket, address, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static void
run_loop_for (Fixture *fixture, double seconds)
{
  gint64 end = g_get_monotonic_time () + (gint64)(seconds * 1e6);
  while (g_get_monotonic_time () < end) {
    iterate_loop (fixture);
    g_usleep (500);
  }
}

static void
stop_server (Fixture *fixture)
{
  hr_http_server_free (fixture->server);
  g_ptr_array_unref (fixture->queue);
}

/* Sends the text and returns what is received within two seconds, up to the end of a JSON body. */
static char *
exchange (Fixture *fixture, GSocket *socket, const char *text, gsize len)
{
  GString *response = g_string_new (NULL);
  char buf[4096];
  gsize sent = 0;
  for (int i = 0; i < 4000 && !strstr (response->str, "}"); i++) {
    if (sent < len) {
      gssize n = g_socket_send (socket, text + sent, len - sent, NULL, NULL);
      sent += MAX (0, n);
    }
    iterate_loop (fixture);
    gssize n = g_socket_receive (socket, buf, sizeof buf, NULL, NULL);
    if (n > 0)
      g_string_append_len (response, buf, n);
    else if (n == 0)
      break;
    else
      g_usleep (500);
  }
  return g_string_free (response, FALSE);
}

static const char *const ready_request = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

static void
connection_is_kept_alive (void **state G_GNUC_UNUSED)
{
  Fixture fixture = {0};
  guint16 port = free_port ();
  start_server (&fixture, port, 100);
  g_autoptr (GSocket) socket = connect_to (port);
  for (guint i = 1; i < 4; i++) {
    g_autofree char *response = exchange (&fixture, socket, ready_request, strlen (ready_request));
    assert_non_null (strstr (response, "200 OK"));
    assert_null (strstr (response, "Connection: close"));
    assert_int_equal (fixture.requests, i);
  }
  const char *busy = "GET /busy HTTP/1.1\r\nHost: x\r\n\r\n";
  g_autofree char *response = exchange (&fixture, socket, busy, strlen (busy));
  assert_non_null (strstr (response, "503"));
  assert_non_null (strstr (response, "Retry-After: 7"));
  stop_server (&fixture);
}

static void
body_size_is_limited (void **state G_GNUC_UNUSED)
{
  for (int excess = 0; excess < 2; excess++) {
    Fixture fixture = {0};
    guint16 port = free_port ();
    start_server (&fixture, port, 100);
    g_autoptr (GSocket) socket = connect_to (port);
    gsize size = HR_MAX_BODY + excess;
    g_autofree char *body = g_strnfill (size, 'x');
    g_autofree char *text = g_strdup_printf (
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s", size, body);
    g_autofree char *response = exchange (&fixture, socket, text, strlen (text));
    assert_int_equal (fixture.requests, 1);
    assert_int_equal (fixture.too_large, excess);
    assert_non_null (strstr (response, excess ? "400" : "200"));
    stop_server (&fixture);
  }
}

/* Guards against one main loop source per connection: GLib examines every source in each iteration,
 * which with 600 workers took several times a controller's CPU time. */
static void
connections_add_no_loop_sources (void **state G_GNUC_UNUSED)
{
  Fixture fixture = {0};
  guint16 port = free_port ();
  start_server (&fixture, port, 1000);
  g_autoptr (GPtrArray) sockets = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < 100; i++) {
    GSocket *socket = connect_to (port);
    g_ptr_array_add (sockets, socket);
    g_autofree char *response = exchange (&fixture, socket, ready_request, strlen (ready_request));
    assert_non_null (strstr (response, "200 OK"));
  }
  GPollFD fds[200];
  gint timeout, max_priority;
  GMainContext *loop = g_main_context_default ();
  assert_true (g_main_context_acquire (loop));
  g_main_context_prepare (loop, &max_priority);
  gint n = g_main_context_query (loop, max_priority, &timeout, fds, G_N_ELEMENTS (fds));
  g_main_context_release (loop);
  assert_in_range (n, 1, 8);
  stop_server (&fixture);
}

static void
client_may_disconnect_before_the_reply (void **state G_GNUC_UNUSED)
{
  Fixture fixture = {.hold_replies = TRUE};
  guint16 port = free_port ();
  start_server (&fixture, port, 100);
  GSocket *socket = connect_to (port);
  assert_int_equal (g_socket_send (socket, ready_request, strlen (ready_request), NULL, NULL),
                    strlen (ready_request));
  run_loop_for (&fixture, 0.1);
  assert_int_equal (fixture.requests, 1);
  g_object_unref (socket);
  run_loop_for (&fixture, 0.05);
  fixture.hold_replies = FALSE;
  run_loop_for (&fixture, 0.05);
  /* A reply to a request that the server no longer knows is dropped. */
  HrEffect effect = {.kind = HR_EFFECT_REPLY, .id = 1, .reply.status = 200, .body = "{}"};
  hr_http_server_reply (fixture.server, &effect);
  stop_server (&fixture);
}

/* Guards against workers that lose their leases because users' connections exhaust the limit: near
 * the limit user requests get 503 with Retry-After at once, and their connections are closed. */
static void
workers_take_precedence_over_users (void **state G_GNUC_UNUSED)
{
  static const char user_request[] = "GET /v1/jobs/job-000001 HTTP/1.1\r\nHost: x\r\n\r\n";
  static const char worker_request[] =
      "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
  Fixture fixture = {0};
  guint16 port = free_port ();
  start_server (&fixture, port, 50);
  g_autoptr (GPtrArray) sockets = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < 40; i++) {
    g_ptr_array_add (sockets, connect_to (port));
    g_autofree char *response =
        exchange (&fixture, sockets->pdata[i], user_request, strlen (user_request));
    assert_non_null (strstr (response, "200 OK"));
  }
  for (guint i = 0; i < 9; i++) { /* workers use up the limit */
    g_ptr_array_add (sockets, connect_to (port));
    g_autofree char *response = exchange (&fixture, sockets->pdata[sockets->len - 1],
                                          worker_request, strlen (worker_request));
    assert_non_null (strstr (response, "200 OK"));
  }
  g_autofree char *rejected =
      exchange (&fixture, sockets->pdata[0], user_request, strlen (user_request));
  assert_non_null (strstr (rejected, " 503 "));
  assert_non_null (strstr (rejected, "Retry-After: 2"));
  assert_non_null (strstr (rejected, "\"error\""));
  run_loop_for (&fixture, 0.1);
  char rest[16];
  assert_int_equal (g_socket_receive (sockets->pdata[0], rest, sizeof rest, NULL, NULL), 0);
  g_autofree char *accepted =
      exchange (&fixture, sockets->pdata[45], worker_request, strlen (worker_request));
  assert_non_null (strstr (accepted, "200 OK"));
  stop_server (&fixture);
}

#define BODIES ((gsize)4) /* for which the limit has room */

/* Guards against memory that is used up by the bodies of many large requests at once: beyond the
 * limit users get 503 with Retry-After as soon as the headers are received, and workers are served
 * on. A request counts until it has its reply. */
static void
bodies_of_user_requests_are_limited (void **state G_GNUC_UNUSED)
{
  static const char worker_request[] =
      "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
  static const char poll[] = "GET /v1/jobs/job-000001 HTTP/1.1\r\nHost: x\r\n\r\n";
  Fixture fixture = {.hold_replies = TRUE};
  guint16 port = free_port ();
  HrHttpServerLimits limits = {.connections = 100, .user_body_bytes = BODIES * HR_MAX_BODY};
  start_limited_server (&fixture, port, limits);
  g_autofree char *headers = g_strdup_printf (
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", HR_MAX_BODY);
  g_autofree char *body = g_strnfill (HR_MAX_BODY, 'x');
  g_autoptr (GPtrArray) sockets = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < BODIES; i++) { /* announced, but not sent yet */
    g_ptr_array_add (sockets, connect_to (port));
    assert_true (g_socket_send (sockets->pdata[i], headers, strlen (headers), NULL, NULL) > 0);
  }
  run_loop_for (&fixture, 0.1);
  g_autoptr (GSocket) late = connect_to (port);
  g_autofree char *refused = exchange (&fixture, late, headers, strlen (headers));
  assert_non_null (strstr (refused, " 503 "));
  assert_non_null (strstr (refused, "Retry-After: "));
  assert_non_null (strstr (refused, "memory"));
  g_autoptr (GSocket) chunked = connect_to (port);
  const char *chunks = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  g_autofree char *refused_chunks = exchange (&fixture, chunked, chunks, strlen (chunks));
  assert_non_null (strstr (refused_chunks, " 503 "));
  fixture.hold_replies = FALSE;
  g_autoptr (GSocket) other = connect_to (port);
  g_autofree char *poll_answer = exchange (&fixture, other, poll, strlen (poll));
  assert_non_null (strstr (poll_answer, "200 OK")); /* it has no body */
  g_autofree char *worker_answer =
      exchange (&fixture, other, worker_request, strlen (worker_request));
  assert_non_null (strstr (worker_answer, "200 OK"));
  /* The first is answered, another one has ended: there is room for two. */
  g_autofree char *accepted = exchange (&fixture, sockets->pdata[0], body, HR_MAX_BODY);
  assert_non_null (strstr (accepted, "200 OK"));
  g_ptr_array_remove_index (sockets, 1);
  run_loop_for (&fixture, 0.1);
  g_autofree char *whole = g_strconcat (headers, body, NULL);
  for (guint i = 0; i < 2; i++) {
    g_autoptr (GSocket) next = connect_to (port);
    g_autofree char *answer = exchange (&fixture, next, whole, strlen (whole));
    assert_non_null (strstr (answer, "200 OK"));
  }
  stop_server (&fixture);
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

/* Guards against calls that outlast their deadline: libsoup ends a cancelled call only after
 * another call that waits for a connection has ended. After a network partition two controllers
 * resumed their reads of the store 12 s late. */
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
  /* Nothing is accepted: these connections fill the backlog, and further connections hang. */
  g_autoptr (GPtrArray) pending = g_ptr_array_new_with_free_func (g_object_unref);
  for (int i = 0; i < 3; i++) {
    GSocket *socket =
        g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
    g_socket_set_blocking (socket, FALSE);
    g_socket_connect (socket, address, NULL, NULL);
    g_ptr_array_add (pending, socket);
  }
  Fixture fixture = {.status = -1};
  g_autofree char *store = g_strdup_printf ("127.0.0.1:%u", port);
  HrHttpClient *client = hr_http_client_new (store, store, 100, on_command, &fixture);
  double started_at = g_get_monotonic_time () / 1e6;
  send_call (client, 3);
  run_loop_for (&fixture, 0.1);
  send_call (client, 0.4);
  run_loop_for (&fixture, 1.2);
  assert_int_equal (fixture.results, 1);
  assert_int_equal (fixture.status, 0);
  assert_true (fixture.result_at[0] - started_at < 0.9);
  run_loop_for (&fixture, 2.4);
  assert_int_equal (fixture.results, 2);
  assert_true (fixture.result_at[1] - started_at < 3.4);
  hr_http_client_free (client);
  run_loop_for (&fixture, 0.1);
}

static void
on_large_request (SoupServer *server G_GNUC_UNUSED, SoupServerMessage *msg,
                  const char *path G_GNUC_UNUSED, GHashTable *query G_GNUC_UNUSED, gpointer data)
{
  const gsize *size = data;
  char *text = g_strnfill (*size, ' ');
  soup_server_message_set_status (msg, 200, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_TAKE, text, *size);
}

static void
too_large_answer_counts_as_no_answer (void **state G_GNUC_UNUSED)
{
  guint16 port = free_port ();
  gsize size = (gsize)1024 * 1024;
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, on_large_request, &size, NULL);
  assert_true (soup_server_listen_local (server, port, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  Fixture fixture = {.status = -1};
  g_autofree char *store = g_strdup_printf ("127.0.0.1:%u", port);
  HrHttpClient *client = hr_http_client_new (store, store, 100, on_command, &fixture);
  send_call (client, 5);
  for (int i = 0; i < 50 && fixture.results < 1; i++)
    run_loop_for (&fixture, 0.1);
  assert_int_equal (fixture.status, 200);
  size++;
  send_call (client, 5);
  for (int i = 0; i < 50 && fixture.results < 2; i++)
    run_loop_for (&fixture, 0.1);
  assert_int_equal (fixture.results, 2);
  assert_int_equal (fixture.status, HR_STATUS_ANSWER_TOO_LARGE);
  hr_http_client_free (client);
  run_loop_for (&fixture, 0.1);
}

/* Guards against metrics appended to orders to workers: the reply's flag for plain text was read
 * from a call, where the worker's address is stored in the same place. */
static void
metrics_are_added_to_plain_text_replies_only (void **state G_GNUC_UNUSED)
{
  HrEffect call = {.kind = HR_EFFECT_CALL, .body = g_strdup ("{}")};
  call.call.target = HR_TO_WORKER;
  call.call.address = (char *)"127.0.0.1:1";
  hr_process_metrics_add (&call);
  assert_string_equal (call.body, "{}");
  HrEffect json_reply = {.kind = HR_EFFECT_REPLY, .body = g_strdup ("{}")};
  hr_process_metrics_add (&json_reply);
  assert_string_equal (json_reply.body, "{}");
  HrEffect metrics = {.kind = HR_EFFECT_REPLY, .body = g_strdup ("core 1\n")};
  metrics.reply.is_plain_text = TRUE;
  hr_process_metrics_add (&metrics);
  assert_true (g_str_has_prefix (metrics.body, "core 1\n"));
  assert_non_null (strstr (metrics.body, "process_cpu_seconds_total"));
  g_free (call.body);
  g_free (json_reply.body);
  g_free (metrics.body);
}

/* Sends a byte of an unfinished request each second. Returns how long the server keeps the
 * connection, in seconds, up to `limit_s`. */
static guint
keep_slow_request (Fixture *fixture, guint16 port, const char *head, guint limit_s)
{
  g_autoptr (GSocket) socket = connect_to (port);
  char buf[256];
  assert_true (g_socket_send (socket, head, strlen (head), NULL, NULL) > 0);
  for (guint at_s = 0; at_s < limit_s; at_s++) {
    run_loop_for (fixture, 1);
    if (g_socket_receive (socket, buf, sizeof buf, NULL, NULL) == 0 ||
        g_socket_send (socket, " ", 1, NULL, NULL) < 0)
      return at_s;
  }
  return limit_s;
}

/* No client waits longer than 5 s for its answer, and an idle connection is kept for 20 s. */
static void
slow_request_keeps_its_connection (void **state G_GNUC_UNUSED)
{
  static const char *const heads[] = {
      "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{",
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{"};
  Fixture fixture = {0};
  guint16 port = free_port ();
  start_server (&fixture, port, 100);
  for (guint i = 0; i < G_N_ELEMENTS (heads); i++)
    assert_true (keep_slow_request (&fixture, port, heads[i], 26) < 26);
  stop_server (&fixture);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest slow_requests[] = {
      cmocka_unit_test (slow_request_keeps_its_connection),
  };
  if (argc > 1 && g_str_equal (argv[1], "slow_requests"))
    return cmocka_run_group_tests (slow_requests, NULL, NULL);
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (metrics_are_added_to_plain_text_replies_only),
      cmocka_unit_test (connection_is_kept_alive),
      cmocka_unit_test (body_size_is_limited),
      cmocka_unit_test (connections_add_no_loop_sources),
      cmocka_unit_test (client_may_disconnect_before_the_reply),
      cmocka_unit_test (calls_end_at_their_deadline),
      cmocka_unit_test (too_large_answer_counts_as_no_answer),
      cmocka_unit_test (bodies_of_user_requests_are_limited),
      cmocka_unit_test (workers_take_precedence_over_users),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
