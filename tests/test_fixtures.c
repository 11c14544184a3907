/* What the commits ecb9b3c and 764e988 wrote is read, and written back byte for byte
 * (tests/fixtures). */
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
fixture (const char *name)
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
} Read;

/* A job of which only the name counts here. */
static HrJob *
named_job (const char *id)
{
  HrJob *job = g_new0 (HrJob, 1);
  job->id = g_strdup (id);
  return job;
}

static void
named_job_free (HrJob *job)
{
  g_free ((char *)job->id);
  g_free (job);
}

static void
read_main (Read *read, const char *text)
{
  memset (read, 0, sizeof *read);
  hr_names_init (&read->names);
  hr_intern_init (&read->machines);
  json_t *value = json_loads (text, 0, NULL);
  read->job = g_new0 (HrJob, 1);
  assert_true (hr_record_read (value, &read->names, &read->record, NULL));
  if (!read->record.is_tombstone) {
    hr_job_set_spec (read->job, &read->record.spec, read->record.tasks_per_page);
    read->job->submitted_at = read->record.submitted_at;
    if (!read->record.tasks_per_page)
      assert_true (hr_record_tasks (read->job, 0, read->record.tasks, &read->machines, NULL));
  }
  for (guint i = 0; read->record.awaits && read->record.awaits[i]; i++) {
    HrJob **awaits =
        g_renew (HrJob *, read->job->dependencies.awaited, ++read->job->dependencies.n_awaited);
    awaits[i] = named_job (read->record.awaits[i]);
    read->job->dependencies.awaited = awaits;
  }
  read->job->record.sized_page_keys = read->record.sized_page_keys;
  if (read->record.cancelled_with)
    read->job->cancellation.root = named_job (read->record.cancelled_with);
  read->job->record.unknown_members = g_steal_pointer (&read->record.extra);
  json_decref (value);
}

static void
read_clear (Read *read)
{
  hr_record_clear (&read->record);
  for (guint i = 0; i < read->job->dependencies.n_awaited; i++)
    named_job_free (read->job->dependencies.awaited[i]);
  if (read->job->cancellation.root)
    named_job_free (read->job->cancellation.root);
  hr_job_free (read->job);
  hr_intern_clear (&read->machines);
  hr_names_clear (&read->names);
}

static char *
write_main (Read *read)
{
  if (!read->record.is_tombstone)
    return hr_record_main (read->job, &read->names, &read->machines, read->record.state,
                           read->record.tag, FALSE);
  read->job->n_tasks = read->record.n_tasks;
  read->job->n_recorded_done = read->record.n_done;
  return hr_record_tombstone (read->job, read->record.state, read->record.tag);
}

/* The page as the job's other records lay it out. */
static void
check_page (char **lines, const char *key, const char *text)
{
  g_auto (GStrv) fields = g_strsplit (key, "/", -1);
  g_autofree char *main = g_strdup_printf ("h/j/%s\t", fields[2]);
  gboolean split = g_str_equal (fields[1], "u"); /* h/u/ID/SIZE/PAGE, else h/t/ID/PAGE */
  guint page = atoi (fields[split ? 4 : 3]);
  for (guint i = 0; lines[i]; i++) {
    if (!g_str_has_prefix (lines[i], main))
      continue;
    Read read;
    read_main (&read, lines[i] + strlen (main));
    assert_int_equal (read.job->record.sized_page_keys, split);
    if (split)
      assert_int_equal (read.job->record.tasks_per_page, atoi (fields[3]));
    json_t *value = json_loads (text, 0, NULL);
    assert_true (hr_record_tasks (read.job, page * read.job->record.tasks_per_page,
                                  json_object_get (value, "x"), &read.machines, NULL));
    g_autofree char *back =
        hr_record_page (read.job, page, &read.machines, hr_json_str (value, "w"), FALSE);
    assert_string_equal (back, text);
    json_decref (value);
    read_clear (&read);
    return;
  }
  fail_msg ("%s has no main record", key);
}

static void
records_are_written_as_read (void **state G_GNUC_UNUSED)
{
  static const char *const files[] = {"ecb9b3c/ledger.txt", "ecb9b3c/withdrawn.txt",
                                      "764e988/ledger.txt", "764e988/split.txt"};
  guint mains = 0, pages = 0, split = 0, tombstones = 0, awaiting = 0, taken_along = 0;
  for (guint f = 0; f < G_N_ELEMENTS (files); f++) {
    g_autofree char *all = fixture (files[f]);
    g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
    for (guint i = 0; lines[i]; i++) {
      g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
      if (g_str_has_prefix (row[0], "h/j/")) {
        Read read;
        read_main (&read, row[1]);
        g_autofree char *back = write_main (&read);
        assert_string_equal (back, row[1]);
        tombstones += read.record.is_tombstone;
        awaiting += read.job->dependencies.n_awaited > 0;
        taken_along += read.record.cancelled_with != NULL;
        mains++;
        read_clear (&read);
      } else if (g_str_has_prefix (row[0], "h/t/") || g_str_has_prefix (row[0], "h/u/")) {
        check_page (lines, row[0], row[1]);
        pages++;
        split += g_str_has_prefix (row[0], "h/u/");
      }
    }
  }
  assert_true (mains >= 30 && pages >= 15 && split >= 6);
  assert_true (tombstones >= 4 && awaiting >= 6 && taken_along >= 3);
}

/* What a later version puts into a main record stays there, in tombstones too. */
static void
unknown_members_stay (void **state G_GNUC_UNUSED)
{
  const char *text =
      "{\"w\":\"1-1.8\",\"s\":0,\"t\":1000000009.25,\"q\":0,\"j\":[\"k\",\"t\",\"i\",0,2,1,4.0,1.0,"
      "30.0,1.0,null,39.0,0.0,0.0,null,false,false,true,88.0],\"x\":[[\"m-000002\",1,1]],"
      "\"later\":{\"deep\":[1,2.5,null]},\"z\":\"y\"}";
  Read read;
  read_main (&read, text);
  g_autofree char *back = write_main (&read);
  assert_string_equal (back, text);
  g_autofree char *end = hr_record_tombstone (read.job, HR_JOB_CANCELLED, "1-1.9");
  assert_string_equal (end, "{\"w\":\"1-1.9\",\"s\":2,\"n\":1,\"d\":0,"
                            "\"later\":{\"deep\":[1,2.5,null]},\"z\":\"y\"}");
  read_clear (&read);
}

/* ---- a cluster of the new version takes over an earlier one's state store ---- */

typedef struct {
  guint left, known;
} Polls;

static void
on_poll (SimCluster *cluster G_GNUC_UNUSED, int status, json_t *body, gpointer data)
{
  Polls *polls = data;
  polls->left--;
  polls->known += status == 200 && json_object_get (body, "stance") != NULL;
}

static void
take_over (const char *file, guint format)
{
  g_autofree char *all = fixture (file);
  g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
  SimCluster *cluster = sim_cluster_new (7, 3);
  guint jobs = 0;
  Polls polls = {0};
  cluster->production = !format;
  cluster->faults_ended = TRUE;
  store_set_format (cluster, FALSE);
  users_init (cluster, 0, 0);
  for (guint i = 0; lines[i]; i++) {
    g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
    store_preload (cluster, row[0], row[1]);
  }
  sim_cluster_restart_nodes (cluster);
  sim_cluster_run (cluster, 20);
  for (guint i = 0; lines[i]; i++) {
    if (!g_str_has_prefix (lines[i], "h/j/"))
      continue;
    jobs++;
    g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
    g_autofree char *path = g_strconcat ("/v1/jobs/", row[0] + strlen ("h/j/"), NULL);
    for (int n = 0; n < cluster->n; n++) {
      polls.left++;
      sim_send_request (cluster, n, -1, HR_GET, path, NULL, 2, on_poll, &polls);
    }
  }
  sim_cluster_run (cluster, 25);
  assert_int_equal (polls.left, 0);
  assert_int_equal (polls.known, jobs * cluster->n);
  /* The same cloud's machine types are written as production wrote them; the leader record has its
   * form. */
  for (guint i = 0; lines[i]; i++) {
    g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
    if (strcmp (row[0], "h/types") == 0)
      assert_string_equal (store_text (cluster, row[0]), row[1]);
  }
  assert_true (g_regex_match_simple ("^\\{\"b\":[0-9]+,\"o\":\"c[0-2]\",\"i\":\"[0-2]-2\"\\}$",
                                     store_text (cluster, "h/map"), 0, 0));
  assert_true (g_regex_match_simple ("^\\{\"b\":0,\"o\":\"c[0-2]\",\"i\":\"[0-2]-2\"\\}$",
                                     store_text (cluster, "h/leader"), 0, 0));
  sim_cluster_free (cluster);
}

static void
stored_records_are_taken_over (void **state G_GNUC_UNUSED)
{
  take_over ("ecb9b3c/ledger.txt", 0);
  take_over ("764e988/ledger.txt", HR_FORMAT);
}

/* ---- frames ---- */

typedef struct {
  GMainLoop *loop;
  HrPeers *peers;
  HrPeerStatus status;
  gboolean heard;
  GString *sent;
  guint8 part[4096];
  gsize wanted;
} Wire;

static void
on_status (HrCommand *command, gpointer data)
{
  Wire *wire = data;
  wire->status = *command->peer_status;
  wire->heard = TRUE;
  hr_command_free (command);
  g_main_loop_quit (wire->loop);
}

static void
on_part (GObject *source, GAsyncResult *result, gpointer data)
{
  Wire *wire = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  if (n > 0)
    g_string_append_len (wire->sent, (char *)wire->part, n);
  if (n <= 0 || wire->sent->len >= wire->wanted)
    g_main_loop_quit (wire->loop);
  else
    g_input_stream_read_async (G_INPUT_STREAM (source), wire->part, sizeof wire->part, 0, NULL,
                               on_part, wire);
}

static gboolean
on_connection (GSocketService *service G_GNUC_UNUSED, GSocketConnection *connection,
               GObject *source G_GNUC_UNUSED, gpointer data)
{
  Wire *wire = data;
  g_object_ref (connection);
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (connection)), wire->part,
                             sizeof wire->part, 0, NULL, on_part, wire);
  return TRUE;
}

static gboolean
tell (gpointer data)
{
  Wire *wire = data;
  hr_peers_tell (wire->peers, &wire->status);
  return TRUE;
}

static gboolean
too_late (gpointer data)
{
  g_main_loop_quit (((Wire *)data)->loop);
  return FALSE;
}

/* Each frame has two ports of its own: those of the one before may not be free at once. */
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
  assert_int_equal (status->cancellations.is_stated, format > 0);
  assert_int_equal (status->cancellations.count, format ? 2 : 0);
}

/* format: that the sender stated; 0: it knew none. */
static void
read_and_write_frame (const char *file, guint format, guint16 port)
{
  g_autofree char *hex = fixture (file);
  gsize n = strlen (hex) / 2;
  g_autofree guint8 *frame = g_malloc (n);
  for (gsize i = 0; i < n; i++)
    frame[i] = g_ascii_xdigit_value (hex[2 * i]) << 4 | g_ascii_xdigit_value (hex[2 * i + 1]);
  Wire wire = {.loop = g_main_loop_new (NULL, FALSE), .sent = g_string_new (NULL), .wanted = n};
  g_autofree char *own = g_strdup_printf ("127.0.0.1:%u", port);
  g_autofree char *other = g_strdup_printf ("127.0.0.1:%u", port + 1);
  HrMember member = {"c0", "z0", other};
  HrSettings settings = {.back = own, .members = g_array_new (FALSE, TRUE, sizeof (HrMember))};
  g_array_append_val (settings.members, member);
  wire.peers = hr_peers_new (&settings, on_status, &wire, NULL);
  assert_non_null (wire.peers);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_autoptr (GSocketConnection) to_us =
      g_socket_client_connect_to_host (client, settings.back, 0, NULL, NULL);
  assert_non_null (to_us);
  assert_true (g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (to_us)),
                                          frame, n, NULL, NULL, NULL));
  guint deadline = g_timeout_add_seconds (10, too_late, &wire);
  g_main_loop_run (wire.loop);
  assert_true (wire.heard);
  check_status (&wire.status, format);
  g_autoptr (GSocketService) peer = g_socket_service_new ();
  assert_true (g_socket_listener_add_inet_port (G_SOCKET_LISTENER (peer), port + 1, NULL, NULL));
  g_signal_connect (peer, "incoming", G_CALLBACK (on_connection), &wire);
  g_socket_service_start (peer);
  guint teller = g_timeout_add (50, tell, &wire);
  g_main_loop_run (wire.loop);
  g_source_remove (teller);
  g_source_remove (deadline);
  assert_true (wire.sent->len >= n);
  assert_memory_equal (wire.sent->str, frame, n);
  hr_peers_free (wire.peers);
}

static void
frames_are_written_as_read (void **state G_GNUC_UNUSED)
{
  read_and_write_frame ("ecb9b3c/hint.hex", 0, FIRST_PORT);
  read_and_write_frame ("764e988/hint.hex", 1, FIRST_PORT + 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (records_are_written_as_read),
                                     cmocka_unit_test (unknown_members_stay),
                                     cmocka_unit_test (stored_records_are_taken_over),
                                     cmocka_unit_test (frames_are_written_as_read)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
