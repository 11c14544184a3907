/* Compatibility with earlier versions: records and frames written by the commits ecb9b3c and
 * 764e988 (tests/fixtures) are read, and written back byte for byte.
 * src/bookkeeping/record_fields.h explains the members of records. */
#include "bookkeeping/record.h"
#include "bookkeeping/tables.h"
#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/user.h"
#include "sim/cluster.h"
#include "transport/peer.h"
#include <gio/gio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define FIXTURES SOURCE_ROOT "/tests/fixtures/"

static char *
load_fixture (const char *name)
{
  g_autofree char *path = g_strconcat (FIXTURES, name, NULL);
  char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  return g_strchomp (text);
}

typedef struct {
  HrNames names;
  HrIntern machines;
  HrJob *job;
  HrRecord record;
} StoredRecord;

/* Returns a job of which only the id is set. */
static HrJob *
job_with_id (const char *id)
{
  HrJob *job = g_new0 (HrJob, 1);
  job->id = g_strdup (id);
  return job;
}

static void
job_with_id_free (HrJob *job)
{
  g_free ((char *)job->id);
  g_free (job);
}

static void
stored_record_read (StoredRecord *stored, const char *text)
{
  memset (stored, 0, sizeof *stored);
  hr_names_init (&stored->names);
  hr_intern_init (&stored->machines);
  json_t *value = json_loads (text, 0, NULL);
  stored->job = g_new0 (HrJob, 1);
  assert_true (hr_record_read (value, &stored->names, &stored->record, NULL));
  if (!stored->record.is_tombstone) {
    hr_job_set_spec (stored->job, &stored->record.spec, stored->record.tasks_per_page);
    stored->job->submitted_at = stored->record.submitted_at;
    if (!stored->record.tasks_per_page)
      assert_true (
          hr_record_read_tasks (stored->job, 0, stored->record.tasks, &stored->machines, NULL));
  }
  for (guint i = 0; stored->record.awaits && stored->record.awaits[i]; i++) {
    HrJob **awaits =
        g_renew (HrJob *, stored->job->dependencies.awaited, ++stored->job->dependencies.n_awaited);
    awaits[i] = job_with_id (stored->record.awaits[i]);
    stored->job->dependencies.awaited = awaits;
  }
  stored->job->record.sized_page_keys = stored->record.sized_page_keys;
  if (stored->record.cancelled_with)
    stored->job->cancellation.root = job_with_id (stored->record.cancelled_with);
  stored->job->record.unknown_members = g_steal_pointer (&stored->record.unknown_members);
  json_decref (value);
}

static void
stored_record_clear (StoredRecord *stored)
{
  hr_record_clear (&stored->record);
  for (guint i = 0; i < stored->job->dependencies.n_awaited; i++)
    job_with_id_free (stored->job->dependencies.awaited[i]);
  if (stored->job->cancellation.root)
    job_with_id_free (stored->job->cancellation.root);
  hr_job_free (stored->job);
  hr_intern_clear (&stored->machines);
  hr_names_clear (&stored->names);
}

static char *
stored_record_write (StoredRecord *stored)
{
  if (!stored->record.is_tombstone)
    return hr_record_main (stored->job, &stored->names, &stored->machines, stored->record.state,
                           stored->record.tag, FALSE);
  stored->job->n_tasks = stored->record.n_tasks;
  stored->job->n_recorded_done = stored->record.n_done;
  return hr_record_tombstone (stored->job, stored->record.state, stored->record.tag);
}

/* Checks that a page is written back unchanged, with the page size of the job's main record. */
static void
check_page (char **lines, const char *key, const char *page_record)
{
  g_auto (GStrv) fields = g_strsplit (key, "/", -1);
  g_autofree char *main_key = g_strdup_printf ("h/j/%s\t", fields[2]);
  gboolean split = g_str_equal (fields[1], "u"); /* h/u/ID/SIZE/PAGE, else h/t/ID/PAGE */
  guint page = atoi (fields[split ? 4 : 3]);
  for (guint i = 0; lines[i]; i++) {
    if (!g_str_has_prefix (lines[i], main_key))
      continue;
    StoredRecord stored;
    stored_record_read (&stored, lines[i] + strlen (main_key));
    assert_int_equal (stored.job->record.sized_page_keys, split);
    if (split)
      assert_int_equal (stored.job->record.tasks_per_page, atoi (fields[3]));
    json_t *value = json_loads (page_record, 0, NULL);
    assert_true (hr_record_read_tasks (stored.job, page * stored.job->record.tasks_per_page,
                                       json_object_get (value, "x"), &stored.machines, NULL));
    g_autofree char *written =
        hr_record_page (stored.job, page, &stored.machines, hr_json_str (value, "w"), FALSE);
    assert_string_equal (written, page_record);
    json_decref (value);
    stored_record_clear (&stored);
    return;
  }
  fail_msg ("%s has no main record", key);
}

static void
records_are_written_back_unchanged (void **state G_GNUC_UNUSED)
{
  static const char *const files[] = {"ecb9b3c/ledger.txt", "ecb9b3c/withdrawn.txt",
                                      "764e988/ledger.txt", "764e988/split.txt"};
  guint main_records = 0, page_records = 0, split_pages = 0, tombstones = 0, awaiting = 0,
        cancelled_by_cascade = 0;
  for (guint f = 0; f < G_N_ELEMENTS (files); f++) {
    g_autofree char *text = load_fixture (files[f]);
    g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
    for (guint i = 0; lines[i]; i++) {
      g_auto (GStrv) entry = g_strsplit (lines[i], "\t", 2);
      if (g_str_has_prefix (entry[0], "h/j/")) {
        StoredRecord stored;
        stored_record_read (&stored, entry[1]);
        g_autofree char *written = stored_record_write (&stored);
        assert_string_equal (written, entry[1]);
        tombstones += stored.record.is_tombstone;
        awaiting += stored.job->dependencies.n_awaited > 0;
        cancelled_by_cascade += stored.record.cancelled_with != NULL;
        main_records++;
        stored_record_clear (&stored);
      } else if (g_str_has_prefix (entry[0], "h/t/") || g_str_has_prefix (entry[0], "h/u/")) {
        check_page (lines, entry[0], entry[1]);
        page_records++;
        split_pages += g_str_has_prefix (entry[0], "h/u/");
      }
    }
  }
  assert_true (main_records >= 30 && page_records >= 15 && split_pages >= 6);
  assert_true (tombstones >= 4 && awaiting >= 6 && cancelled_by_cascade >= 3);
}

/* Members that a later version added to a main record are preserved, also in its tombstone. */
static void
unknown_members_are_preserved (void **state G_GNUC_UNUSED)
{
  const char *main_record =
      "{\"w\":\"1-1.8\",\"s\":0,\"t\":1000000009.25,\"q\":0,\"j\":[\"k\",\"t\",\"i\",0,2,1,4.0,1.0,"
      "30.0,1.0,null,39.0,0.0,0.0,null,false,false,true,88.0],\"x\":[[\"m-000002\",1,1]],"
      "\"later\":{\"deep\":[1,2.5,null]},\"z\":\"y\"}";
  StoredRecord stored;
  stored_record_read (&stored, main_record);
  g_autofree char *written = stored_record_write (&stored);
  assert_string_equal (written, main_record);
  g_autofree char *tombstone = hr_record_tombstone (stored.job, HR_JOB_CANCELLED, "1-1.9");
  assert_string_equal (tombstone, "{\"w\":\"1-1.9\",\"s\":2,\"n\":1,\"d\":0,"
                                  "\"later\":{\"deep\":[1,2.5,null]},\"z\":\"y\"}");
  stored_record_clear (&stored);
}

/* ---- upgrade: controllers of this version on the state store of an earlier one ---- */

typedef struct {
  guint pending, known;
} Polls;

static void
on_poll (SimCluster *cluster G_GNUC_UNUSED, int status, json_t *body, gpointer data)
{
  Polls *polls = data;
  polls->pending--;
  polls->known += status == 200 && json_object_get (body, "stance") != NULL;
}

static void
run_on_stored_records (const char *file, guint format)
{
  g_autofree char *text = load_fixture (file);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  SimCluster *cluster = sim_cluster_new (7, 3);
  guint jobs = 0;
  Polls polls = {0};
  cluster->production = !format;
  cluster->faults_ended = TRUE;
  store_set_format (cluster, FALSE);
  users_init (cluster, 0, 0);
  for (guint i = 0; lines[i]; i++) {
    g_auto (GStrv) entry = g_strsplit (lines[i], "\t", 2);
    store_preload (cluster, entry[0], entry[1]);
  }
  sim_cluster_restart_nodes (cluster);
  sim_cluster_run (cluster, 20);
  for (guint i = 0; lines[i]; i++) {
    if (!g_str_has_prefix (lines[i], "h/j/"))
      continue;
    jobs++;
    g_auto (GStrv) entry = g_strsplit (lines[i], "\t", 2);
    g_autofree char *path = g_strconcat ("/v1/jobs/", entry[0] + strlen ("h/j/"), NULL);
    for (int n = 0; n < cluster->n; n++) {
      polls.pending++;
      sim_send_request (cluster, n, -1, HR_GET, path, NULL, 2, on_poll, &polls);
    }
  }
  sim_cluster_run (cluster, 25);
  assert_int_equal (polls.pending, 0);
  assert_int_equal (polls.known, jobs * cluster->n);
  /* The machine types are written as the earlier version wrote them, and the leader record and the
   * leader lock keep their form. */
  for (guint i = 0; lines[i]; i++) {
    g_auto (GStrv) entry = g_strsplit (lines[i], "\t", 2);
    if (strcmp (entry[0], "h/types") == 0)
      assert_string_equal (store_text (cluster, entry[0]), entry[1]);
  }
  assert_true (g_regex_match_simple ("^\\{\"b\":[0-9]+,\"o\":\"c[0-2]\",\"i\":\"[0-2]-2\"\\}$",
                                     store_text (cluster, "h/map"), 0, 0));
  assert_true (g_regex_match_simple ("^\\{\"b\":0,\"o\":\"c[0-2]\",\"i\":\"[0-2]-2\"\\}$",
                                     store_text (cluster, "h/leader"), 0, 0));
  sim_cluster_free (cluster);
}

static void
stored_records_of_earlier_versions_are_read (void **state G_GNUC_UNUSED)
{
  run_on_stored_records ("ecb9b3c/ledger.txt", 0);
  run_on_stored_records ("764e988/ledger.txt", HR_NEWEST_RECORD_FORMAT);
}

/* ---- frames ---- */

typedef struct {
  GMainLoop *loop;
  HrPeers *peers;
  HrPeerStatus status;
  gboolean received;
  GString *sent;
  guint8 chunk[4096];
  gsize expected_len;
} FrameTest;

static void
on_status (HrCommand *command, gpointer data)
{
  FrameTest *test = data;
  test->status = *command->peer_status;
  test->received = TRUE;
  hr_command_free (command);
  g_main_loop_quit (test->loop);
}

static void
on_chunk (GObject *source, GAsyncResult *result, gpointer data)
{
  FrameTest *test = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  if (n > 0)
    g_string_append_len (test->sent, (char *)test->chunk, n);
  if (n <= 0 || test->sent->len >= test->expected_len)
    g_main_loop_quit (test->loop);
  else
    g_input_stream_read_async (G_INPUT_STREAM (source), test->chunk, sizeof test->chunk, 0, NULL,
                               on_chunk, test);
}

static gboolean
on_connection (GSocketService *service G_GNUC_UNUSED, GSocketConnection *connection,
               GObject *source G_GNUC_UNUSED, gpointer data)
{
  FrameTest *test = data;
  g_object_ref (connection);
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (connection)), test->chunk,
                             sizeof test->chunk, 0, NULL, on_chunk, test);
  return TRUE;
}

static gboolean
send_status (gpointer data)
{
  FrameTest *test = data;
  hr_peers_send_status (test->peers, &test->status);
  return TRUE;
}

static gboolean
on_timeout (gpointer data)
{
  g_main_loop_quit (((FrameTest *)data)->loop);
  return FALSE;
}

/* Each frame uses two ports of its own, as those of the previous one may not be free yet. */
#define FIRST_PORT 18431

static void
check_status (const HrPeerStatus *status, guint format)
{
  assert_string_equal (status->label, "c1");
  assert_int_equal (status->fencing_token, 7);
  assert_int_equal (status->latest_cancellation, 4100);
  assert_int_equal (status->n_echoes, 2);
  assert_int_equal (status->format, format);
  assert_int_equal (status->n_oversized, format ? 1 : 0);
  assert_int_equal (status->cancellations.is_present, format > 0);
  assert_int_equal (status->cancellations.count, format ? 2 : 0);
}

/* Receives the frame, checks its contents, and checks that the same status is sent as the same
 * bytes.
 * @format: record format that the sender stated; 0: its version knew none */
static void
read_and_write_frame (const char *file, guint format, guint16 port)
{
  g_autofree char *hex = load_fixture (file);
  gsize n = strlen (hex) / 2;
  g_autofree guint8 *frame = g_malloc (n);
  for (gsize i = 0; i < n; i++)
    frame[i] = g_ascii_xdigit_value (hex[2 * i]) << 4 | g_ascii_xdigit_value (hex[2 * i + 1]);
  FrameTest test = {
      .loop = g_main_loop_new (NULL, FALSE), .sent = g_string_new (NULL), .expected_len = n};
  g_autofree char *own_address = g_strdup_printf ("127.0.0.1:%u", port);
  g_autofree char *peer_address = g_strdup_printf ("127.0.0.1:%u", port + 1);
  HrMember member = {"c0", "z0", peer_address};
  HrSettings settings = {.back = own_address,
                         .members = g_array_new (FALSE, TRUE, sizeof (HrMember))};
  g_array_append_val (settings.members, member);
  test.peers = hr_peers_new (&settings, on_status, &test, NULL);
  assert_non_null (test.peers);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_autoptr (GSocketConnection) connection =
      g_socket_client_connect_to_host (client, settings.back, 0, NULL, NULL);
  assert_non_null (connection);
  assert_true (g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (connection)),
                                          frame, n, NULL, NULL, NULL));
  guint timeout = g_timeout_add_seconds (10, on_timeout, &test);
  g_main_loop_run (test.loop);
  assert_true (test.received);
  check_status (&test.status, format);
  g_autoptr (GSocketService) peer = g_socket_service_new ();
  assert_true (g_socket_listener_add_inet_port (G_SOCKET_LISTENER (peer), port + 1, NULL, NULL));
  g_signal_connect (peer, "incoming", G_CALLBACK (on_connection), &test);
  g_socket_service_start (peer);
  guint send_timer = g_timeout_add (50, send_status, &test);
  g_main_loop_run (test.loop);
  g_source_remove (send_timer);
  g_source_remove (timeout);
  assert_true (test.sent->len >= n);
  assert_memory_equal (test.sent->str, frame, n);
  hr_peers_free (test.peers);
}

static void
frames_are_written_back_unchanged (void **state G_GNUC_UNUSED)
{
  read_and_write_frame ("ecb9b3c/hint.hex", 0, FIRST_PORT);
  read_and_write_frame ("764e988/hint.hex", 1, FIRST_PORT + 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (records_are_written_back_unchanged),
                                     cmocka_unit_test (unknown_members_are_preserved),
                                     cmocka_unit_test (stored_records_of_earlier_versions_are_read),
                                     cmocka_unit_test (frames_are_written_back_unchanged)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
