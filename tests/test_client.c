/* The command-line client against a fake controller that gives the responses that a test lists.
 * src/protocol/wire_names.h explains the fields and states. */
#include <libsoup/soup.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static const char *program; /* path of the hoprock executable */

typedef struct {
  guint status;
  const char *body, *retry_after;
} Response;

typedef struct {
  SoupServer *server;
  char *address;
  const Response *responses; /* given one after the other; the last one is repeated */
  guint n, n_requests;
  GPtrArray *requests; /* "METHOD PATH BODY" */
} FakeNode;

static void
on_request (SoupServer *server G_GNUC_UNUSED, SoupServerMessage *msg, const char *path,
            GHashTable *query G_GNUC_UNUSED, gpointer data)
{
  FakeNode *fake = data;
  g_autoptr (GBytes) body = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  g_ptr_array_add (fake->requests,
                   g_strdup_printf ("%s %s %.*s", soup_server_message_get_method (msg), path,
                                    (int)g_bytes_get_size (body),
                                    (const char *)g_bytes_get_data (body, NULL)));
  const Response *response = &fake->responses[MIN (fake->n_requests, fake->n - 1)];
  fake->n_requests++;
  soup_server_message_set_status (msg, response->status, NULL);
  if (response->retry_after)
    soup_message_headers_replace (soup_server_message_get_response_headers (msg), "Retry-After",
                                  response->retry_after);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, response->body,
                                    strlen (response->body));
}

static FakeNode *
fake_node (const Response *responses, guint n)
{
  FakeNode *fake = g_new0 (FakeNode, 1);
  fake->responses = responses;
  fake->n = n;
  fake->requests = g_ptr_array_new_with_free_func (g_free);
  fake->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (fake->server, NULL, on_request, fake, NULL);
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  assert_true (soup_server_listen (fake->server, any, 0, NULL));
  GSList *uris = soup_server_get_uris (fake->server);
  fake->address = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return fake;
}

static void
fake_node_free (FakeNode *fake)
{
  soup_server_disconnect (fake->server);
  g_object_unref (fake->server);
  g_ptr_array_unref (fake->requests);
  g_free (fake->address);
  g_free (fake);
}

typedef struct {
  char *out, *err;
  int code;
  gboolean ended;
} Run;

static void
on_ended (GObject *source, GAsyncResult *result, gpointer data)
{
  Run *run = data;
  g_subprocess_communicate_utf8_finish (G_SUBPROCESS (source), result, &run->out, &run->err, NULL);
  run->code = g_subprocess_get_exit_status (G_SUBPROCESS (source));
  run->ended = TRUE;
}

static char *state_dir;

/* Runs hoprock with these arguments, separated by single spaces, and waits for its end. */
static Run
run_client (const char *arguments)
{
  Run result = {0};
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher =
      g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE);
  g_subprocess_launcher_setenv (launcher, "XDG_STATE_HOME", state_dir, TRUE);
  g_autofree char *line = g_strconcat (program, " ", arguments, NULL);
  g_auto (GStrv) argv = g_strsplit (line, " ", -1);
  g_autoptr (GSubprocess) process =
      g_subprocess_launcher_spawnv (launcher, (const char *const *)argv, &error);
  if (!process)
    fail_msg ("%s", error->message);
  g_subprocess_communicate_utf8_async (process, NULL, NULL, on_ended, &result);
  while (!result.ended)
    g_main_context_iteration (NULL, TRUE);
  return result;
}

static void
run_clear (Run *run)
{
  g_free (run->out);
  g_free (run->err);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Run, run_clear)

static Run
run_client_at (const FakeNode *fake, const char *arguments)
{
  g_autofree char *with_server = g_strconcat ("--server ", fake->address, " ", arguments, NULL);
  return run_client (with_server);
}

static void
submission_is_retried_unchanged (void **state G_GNUC_UNUSED)
{
  static const Response responses[] = {
      {503, "{\"error\":\"not yet\"}", NULL},
      {429, "{}", "1"},
      {201, "{\"name_id\":\"job-a\",\"stance\":\"queued\",\"reason\":\"waits\"}", NULL}};
  FakeNode *fake = fake_node (responses, 3);
  g_auto (Run) result =
      run_client_at (fake, "submit --class c --team t --image i --cpus 2 --tasks 3 --await job-z");
  assert_int_equal (result.code, 0);
  assert_int_equal (fake->n_requests, 3);
  assert_string_equal (fake->requests->pdata[0], fake->requests->pdata[1]);
  assert_string_equal (fake->requests->pdata[0], fake->requests->pdata[2]);
  assert_true (g_str_has_prefix (fake->requests->pdata[0], "POST /v1/jobs {"));
  assert_non_null (strstr (fake->requests->pdata[0], "\"pieces\":3"));
  assert_non_null (strstr (fake->requests->pdata[0], "\"awaits\":[\"job-z\"]"));
  assert_non_null (strstr (result.out, "job-a queued"));
  assert_non_null (strstr (result.err, "503 (not yet)"));
  fake_node_free (fake);
}

static void
rejection_is_not_retried (void **state G_GNUC_UNUSED)
{
  static const Response responses[] = {{422, "{\"error\":\"no machine type fits\"}", NULL}};
  FakeNode *fake = fake_node (responses, 1);
  g_auto (Run) result = run_client_at (fake, "submit --class c --team t --image i --cpus 2000");
  assert_int_equal (result.code, 1);
  assert_int_equal (fake->n_requests, 1);
  assert_non_null (strstr (result.err, "refused (422): no machine type fits"));
  fake_node_free (fake);
}

static void
watch_ends_with_the_job (void **state G_GNUC_UNUSED)
{
  static const Response responses[] = {
      {200, "{\"name_id\":\"job-a\",\"stance\":\"running\",\"done\":1,\"running\":2}", NULL},
      {200, "{\"name_id\":\"job-a\",\"stance\":\"withdrawn\"}", NULL}};
  FakeNode *fake = fake_node (responses, 2);
  g_auto (Run) result = run_client_at (fake, "status job-a --watch --json");
  assert_int_equal (result.code, 4);
  assert_non_null (strstr (result.out, "\"state\":\"running\",\"done\":1,\"running\":2}\n"));
  assert_non_null (strstr (result.out, "\"state\":\"withdrawn\""));
  fake_node_free (fake);
}

static void
submitted_jobs_are_listed (void **state G_GNUC_UNUSED)
{
  static const Response responses[] = {
      {200, "{\"name_id\":\"job-b\",\"stance\":\"done\",\"done\":1}", NULL}};
  FakeNode *fake = fake_node (responses, 1);
  g_auto (Run) first =
      run_client_at (fake, "submit --id job-b --class c --team t --image i --cpus 2");
  g_auto (Run) repeated =
      run_client_at (fake, "submit --id job-b --class c --team t --image i --cpus 2");
  guint n_before = fake->n_requests;
  g_auto (Run) listed = run_client_at (fake, "list");
  assert_int_equal (listed.code, 0);
  assert_non_null (strstr (listed.out, "job-b done, 1 tasks done"));
  guint status_requests = 0;
  for (guint i = n_before; i < fake->requests->len; i++)
    status_requests += g_str_has_prefix (fake->requests->pdata[i], "GET /v1/jobs/job-b ");
  assert_int_equal (status_requests, 1);
  g_auto (Run) cancelled = run_client_at (fake, "cancel job-b");
  assert_int_equal (cancelled.code, 0);
  assert_true (g_str_has_prefix (fake->requests->pdata[fake->requests->len - 1],
                                 "POST /v1/jobs/job-b/abort"));
  fake_node_free (fake);
}

static void
controllers_are_shown (void **state G_GNUC_UNUSED)
{
  static const Response responses[] = {
      {200, "{}", NULL}, {200, "# TYPE hoprock_leads gauge\nhoprock_leads 1\n", NULL}};
  FakeNode *fake = fake_node (responses, 2);
  g_auto (Run) result = run_client_at (fake, "nodes");
  assert_int_equal (result.code, 0);
  assert_non_null (strstr (result.out, "ready, leads"));
  g_auto (Run) unreachable = run_client ("--server 127.0.0.1:1 nodes");
  assert_int_equal (unreachable.code, 3);
  assert_non_null (strstr (unreachable.out, "does not answer"));
  fake_node_free (fake);
}

static void
usage_errors_are_reported (void **state G_GNUC_UNUSED)
{
  static const char *const invalid[] = {"",
                                        "fly",
                                        "status",
                                        "status job-a job-b",
                                        "status nojob",
                                        "submit --class c",
                                        "submit --file /nonexistent",
                                        "submit --id x --class c --team t --image i --cpus 2",
                                        "list --nonsense",
                                        "--server , list"};
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++) {
    g_auto (Run) result = run_client (invalid[i]);
    if (result.code != 2 || !g_str_has_prefix (result.err, "hoprock: "))
      fail_msg ("`%s`: exit %d, %s", invalid[i], result.code, result.err);
  }
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (submission_is_retried_unchanged),
      cmocka_unit_test (rejection_is_not_retried),
      cmocka_unit_test (watch_ends_with_the_job),
      cmocka_unit_test (submitted_jobs_are_listed),
      cmocka_unit_test (controllers_are_shown),
      cmocka_unit_test (usage_errors_are_reported),
  };
  if (argc != 2)
    return 2;
  program = argv[1];
  state_dir = g_dir_make_tmp ("hoprock-client-XXXXXX", NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
