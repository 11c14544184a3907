/* The command-line client against a node that answers as the test says. */
#include <libsoup/soup.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static const char *program; /* hoprock */

typedef struct {
  guint status;
  const char *body, *retry_after;
} Said;

typedef struct {
  SoupServer *server;
  char *address;
  const Said *said; /* one answer after the other; the last one stays */
  guint n, asked;
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
  const Said *said = &fake->said[MIN (fake->asked, fake->n - 1)];
  fake->asked++;
  soup_server_message_set_status (msg, said->status, NULL);
  if (said->retry_after)
    soup_message_headers_replace (soup_server_message_get_response_headers (msg), "Retry-After",
                                  said->retry_after);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, said->body,
                                    strlen (said->body));
}

static FakeNode *
fake_node (const Said *said, guint n)
{
  FakeNode *fake = g_new0 (FakeNode, 1);
  fake->said = said;
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

/* Runs hoprock with these words. */
static Run
run (const char *words)
{
  Run run_row = {0};
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher =
      g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE);
  g_subprocess_launcher_setenv (launcher, "XDG_STATE_HOME", state_dir, TRUE);
  g_autofree char *line = g_strconcat (program, " ", words, NULL);
  g_auto (GStrv) argv = g_strsplit (line, " ", -1);
  g_autoptr (GSubprocess) process =
      g_subprocess_launcher_spawnv (launcher, (const char *const *)argv, &error);
  if (!process)
    fail_msg ("%s", error->message);
  g_subprocess_communicate_utf8_async (process, NULL, NULL, on_ended, &run_row);
  while (!run_row.ended)
    g_main_context_iteration (NULL, TRUE);
  return run_row;
}

static void
run_clear (Run *run)
{
  g_free (run->out);
  g_free (run->err);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Run, run_clear)

static Run
run_at (const FakeNode *fake, const char *words)
{
  g_autofree char *all = g_strconcat ("--server ", fake->address, " ", words, NULL);
  return run (all);
}

static void
a_submission_is_repeated_as_it_was (void **state G_GNUC_UNUSED)
{
  static const Said said[] = {
      {503, "{\"error\":\"not yet\"}", NULL},
      {429, "{}", "1"},
      {201, "{\"name_id\":\"job-a\",\"stance\":\"queued\",\"reason\":\"waits\"}", NULL}};
  FakeNode *fake = fake_node (said, 3);
  g_auto (Run) run =
      run_at (fake, "submit --class c --team t --image i --cpus 2 --tasks 3 --await job-z");
  assert_int_equal (run.code, 0);
  assert_int_equal (fake->asked, 3);
  assert_string_equal (fake->requests->pdata[0], fake->requests->pdata[1]);
  assert_string_equal (fake->requests->pdata[0], fake->requests->pdata[2]);
  assert_true (g_str_has_prefix (fake->requests->pdata[0], "POST /v1/jobs {"));
  assert_non_null (strstr (fake->requests->pdata[0], "\"pieces\":3"));
  assert_non_null (strstr (fake->requests->pdata[0], "\"awaits\":[\"job-z\"]"));
  assert_non_null (strstr (run.out, "job-a queued"));
  assert_non_null (strstr (run.err, "503 (not yet)"));
  fake_node_free (fake);
}

static void
a_refusal_is_final (void **state G_GNUC_UNUSED)
{
  static const Said said[] = {{422, "{\"error\":\"no machine type fits\"}", NULL}};
  FakeNode *fake = fake_node (said, 1);
  g_auto (Run) run = run_at (fake, "submit --class c --team t --image i --cpus 2000");
  assert_int_equal (run.code, 1);
  assert_int_equal (fake->asked, 1);
  assert_non_null (strstr (run.err, "refused (422): no machine type fits"));
  fake_node_free (fake);
}

static void
a_watch_ends_with_the_job (void **state G_GNUC_UNUSED)
{
  static const Said said[] = {
      {200, "{\"name_id\":\"job-a\",\"stance\":\"running\",\"done\":1,\"running\":2}", NULL},
      {200, "{\"name_id\":\"job-a\",\"stance\":\"withdrawn\"}", NULL}};
  FakeNode *fake = fake_node (said, 2);
  g_auto (Run) run = run_at (fake, "status job-a --watch --json");
  assert_int_equal (run.code, 4);
  assert_non_null (strstr (run.out, "\"state\":\"running\",\"done\":1,\"running\":2}\n"));
  assert_non_null (strstr (run.out, "\"state\":\"withdrawn\""));
  fake_node_free (fake);
}

static void
submitted_jobs_are_listed (void **state G_GNUC_UNUSED)
{
  static const Said said[] = {
      {200, "{\"name_id\":\"job-b\",\"stance\":\"done\",\"done\":1}", NULL}};
  FakeNode *fake = fake_node (said, 1);
  g_auto (Run) first = run_at (fake, "submit --id job-b --class c --team t --image i --cpus 2");
  g_auto (Run) again = run_at (fake, "submit --id job-b --class c --team t --image i --cpus 2");
  guint before = fake->asked;
  g_auto (Run) listed = run_at (fake, "list");
  assert_int_equal (listed.code, 0);
  assert_non_null (strstr (listed.out, "job-b done, 1 tasks done"));
  guint asked_for_b = 0;
  for (guint i = before; i < fake->requests->len; i++)
    asked_for_b += g_str_has_prefix (fake->requests->pdata[i], "GET /v1/jobs/job-b ");
  assert_int_equal (asked_for_b, 1);
  g_auto (Run) cancelled = run_at (fake, "cancel job-b");
  assert_int_equal (cancelled.code, 0);
  assert_true (g_str_has_prefix (fake->requests->pdata[fake->requests->len - 1],
                                 "POST /v1/jobs/job-b/abort"));
  fake_node_free (fake);
}

static void
nodes_are_shown (void **state G_GNUC_UNUSED)
{
  static const Said said[] = {{200, "{}", NULL},
                              {200, "# TYPE hoprock_leads gauge\nhoprock_leads 1\n", NULL}};
  FakeNode *fake = fake_node (said, 2);
  g_auto (Run) run_row = run_at (fake, "nodes");
  assert_int_equal (run_row.code, 0);
  assert_non_null (strstr (run_row.out, "ready, leads"));
  g_auto (Run) none = run ("--server 127.0.0.1:1 nodes");
  assert_int_equal (none.code, 3);
  assert_non_null (strstr (none.out, "does not answer"));
  fake_node_free (fake);
}

static void
wrong_words_are_named (void **state G_GNUC_UNUSED)
{
  static const char *const wrong[] = {"",
                                      "fly",
                                      "status",
                                      "status job-a job-b",
                                      "status nojob",
                                      "submit --class c",
                                      "submit --file /nonexistent",
                                      "submit --id x --class c --team t --image i --cpus 2",
                                      "list --nonsense",
                                      "--server , list"};
  for (guint i = 0; i < G_N_ELEMENTS (wrong); i++) {
    g_auto (Run) run_row = run (wrong[i]);
    if (run_row.code != 2 || !g_str_has_prefix (run_row.err, "hoprock: "))
      fail_msg ("`%s`: exit %d, %s", wrong[i], run_row.code, run_row.err);
  }
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_submission_is_repeated_as_it_was),
      cmocka_unit_test (a_refusal_is_final),
      cmocka_unit_test (a_watch_ends_with_the_job),
      cmocka_unit_test (submitted_jobs_are_listed),
      cmocka_unit_test (nodes_are_shown),
      cmocka_unit_test (wrong_words_are_named),
  };
  if (argc != 2)
    return 2;
  program = argv[1];
  state_dir = g_dir_make_tmp ("hoprock-client-XXXXXX", NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
