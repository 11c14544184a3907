/* What commit ecb9b3c wrote is read, and written back byte for byte (tests/fixtures). */
#include "bookkeeping/record.h"
#include "protocol/jsonx.h"
#include "sim/world.h"
#include "transport/peer.h"
#include <gio/gio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define FIXTURES SOURCE_ROOT "/tests/fixtures/ecb9b3c/"

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

static void
read_main (Read *r, const char *text)
{
  memset (r, 0, sizeof *r);
  hr_names_init (&r->names);
  hr_intern_init (&r->machines);
  json_t *v = json_loads (text, 0, NULL);
  r->job = g_new0 (HrJob, 1);
  assert_true (hr_record_read (v, &r->names, &r->record));
  if (!r->record.tombstone) {
    hr_job_set_spec (r->job, &r->record.spec, r->record.per_page);
    r->job->submitted = r->record.submitted;
    if (!r->record.per_page)
      assert_true (hr_record_tasks (r->job, 0, r->record.tasks, &r->machines));
  }
  r->job->extra = g_steal_pointer (&r->record.extra);
  json_decref (v);
}

static void
read_clear (Read *r)
{
  hr_record_clear (&r->record);
  hr_job_free (r->job);
  hr_intern_clear (&r->machines);
  hr_names_clear (&r->names);
}

static char *
write_main (Read *r)
{
  if (!r->record.tombstone)
    return hr_record_main (r->job, &r->names, &r->machines, r->record.stance, r->record.tag, FALSE);
  r->job->ntasks = r->record.ntasks;
  r->job->nrdone = r->record.ndone;
  return hr_record_tombstone (r->job, r->record.stance, r->record.tag);
}

/* The page as the job's other records lay it out. */
static void
check_page (char **lines, const char *key, const char *text)
{
  g_auto (GStrv) parts = g_strsplit (key, "/", -1);
  g_autofree char *main = g_strdup_printf ("h/j/%s\t", parts[2]);
  guint page = atoi (parts[3]);
  for (guint i = 0; lines[i]; i++) {
    if (!g_str_has_prefix (lines[i], main))
      continue;
    Read r;
    read_main (&r, lines[i] + strlen (main));
    json_t *v = json_loads (text, 0, NULL);
    assert_true (
        hr_record_tasks (r.job, page * r.job->per_page, json_object_get (v, "x"), &r.machines));
    g_autofree char *back = hr_record_page (r.job, page, &r.machines, hr_json_str (v, "w"), FALSE);
    assert_string_equal (back, text);
    json_decref (v);
    read_clear (&r);
    return;
  }
  fail_msg ("%s has no main record", key);
}

static void
records_are_written_as_read (void **state)
{
  static const char *const files[] = {"ledger.txt", "withdrawn.txt"};
  guint mains = 0, pages = 0, tombstones = 0;
  for (guint f = 0; f < G_N_ELEMENTS (files); f++) {
    g_autofree char *all = fixture (files[f]);
    g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
    for (guint i = 0; lines[i]; i++) {
      g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
      if (g_str_has_prefix (row[0], "h/j/")) {
        Read r;
        read_main (&r, row[1]);
        g_autofree char *back = write_main (&r);
        assert_string_equal (back, row[1]);
        tombstones += r.record.tombstone;
        mains++;
        read_clear (&r);
      } else if (g_str_has_prefix (row[0], "h/t/")) {
        check_page (lines, row[0], row[1]);
        pages++;
      }
    }
  }
  assert_true (mains >= 10 && pages >= 3 && tombstones >= 1);
}

/* What a later version puts into a main record stays there, in tombstones too. */
static void
unknown_members_stay (void **state)
{
  const char *text =
      "{\"w\":\"1-1.8\",\"s\":0,\"t\":1000000009.25,\"q\":0,\"j\":[\"k\",\"t\",\"i\",0,2,1,4.0,1.0,"
      "30.0,1.0,null,39.0,0.0,0.0,null,false,false,true,88.0],\"x\":[[\"m-000002\",1,1]],"
      "\"later\":{\"deep\":[1,2.5,null]},\"z\":\"y\"}";
  Read r;
  read_main (&r, text);
  g_autofree char *back = write_main (&r);
  assert_string_equal (back, text);
  g_autofree char *end = hr_record_tombstone (r.job, HR_WITHDRAWN, "1-1.9");
  assert_string_equal (end, "{\"w\":\"1-1.9\",\"s\":2,\"n\":1,\"d\":0,"
                            "\"later\":{\"deep\":[1,2.5,null]},\"z\":\"y\"}");
  read_clear (&r);
}

/* ---- a cluster of the new version takes over production's ledger ---- */

typedef struct {
  guint left, known;
} Polls;

static void
on_poll (World *w, int status, json_t *body, gpointer p)
{
  Polls *polls = p;
  polls->left--;
  polls->known += status == 200 && json_object_get (body, "stance") != NULL;
}

static void
its_ledger_is_taken_over (void **state)
{
  g_autofree char *all = fixture ("ledger.txt");
  g_auto (GStrv) lines = g_strsplit (all, "\n", -1);
  World *w = world_new (7, 3);
  guint jobs = 0;
  Polls polls = {0};
  w->production = TRUE;
  w->calm = TRUE;
  store_format (w, FALSE);
  users_init (w, 0, 0);
  for (guint i = 0; lines[i]; i++) {
    g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
    store_put (w, row[0], row[1]);
  }
  world_restart (w);
  world_run (w, 20);
  for (guint i = 0; lines[i]; i++) {
    if (!g_str_has_prefix (lines[i], "h/j/"))
      continue;
    jobs++;
    g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
    g_autofree char *path = g_strconcat ("/v1/jobs/", row[0] + strlen ("h/j/"), NULL);
    for (int n = 0; n < w->n; n++) {
      polls.left++;
      w_ask (w, n, -1, HR_GET, path, NULL, 2, on_poll, &polls);
    }
  }
  world_run (w, 25);
  assert_int_equal (polls.left, 0);
  assert_int_equal (polls.known, jobs * w->n);
  /* The same cloud's machine types are written as production wrote them; the map has its form. */
  for (guint i = 0; lines[i]; i++) {
    g_auto (GStrv) row = g_strsplit (lines[i], "\t", 2);
    if (strcmp (row[0], "h/types") == 0)
      assert_string_equal (store_text (w, row[0]), row[1]);
  }
  assert_true (g_regex_match_simple ("^\\{\"b\":[0-9]+,\"o\":\"c[0-2]\",\"i\":\"[0-2]-2\"\\}$",
                                     store_text (w, "h/map"), 0, 0));
  assert_true (g_regex_match_simple ("^\\{\"b\":0,\"o\":\"c[0-2]\",\"i\":\"[0-2]-2\"\\}$",
                                     store_text (w, "h/leader"), 0, 0));
  world_free (w);
}

/* ---- frames ---- */

typedef struct {
  GMainLoop *loop;
  HrPeers *peers;
  HrHint hint;
  gboolean heard;
  GString *sent;
  guint8 part[4096];
  gsize wanted;
} Wire;

static void
on_hint (HrCommand *c, gpointer p)
{
  Wire *wire = p;
  wire->hint = *c->hint;
  wire->heard = TRUE;
  hr_command_free (c);
  g_main_loop_quit (wire->loop);
}

static void
on_part (GObject *source, GAsyncResult *result, gpointer p)
{
  Wire *wire = p;
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
on_connection (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer p)
{
  Wire *wire = p;
  g_object_ref (connection);
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (connection)), wire->part,
                             sizeof wire->part, 0, NULL, on_part, wire);
  return TRUE;
}

static gboolean
tell (gpointer p)
{
  Wire *wire = p;
  hr_peers_tell (wire->peers, &wire->hint);
  return TRUE;
}

static gboolean
too_late (gpointer p)
{
  g_main_loop_quit (((Wire *)p)->loop);
  return FALSE;
}

#define OWN_PORT 18431
#define PEER_PORT 18432

static void
frames_are_written_as_read (void **state)
{
  g_autofree char *hex = fixture ("hint.hex");
  gsize n = strlen (hex) / 2;
  g_autofree guint8 *frame = g_malloc (n);
  for (gsize i = 0; i < n; i++)
    frame[i] = g_ascii_xdigit_value (hex[2 * i]) << 4 | g_ascii_xdigit_value (hex[2 * i + 1]);
  Wire wire = {.loop = g_main_loop_new (NULL, FALSE), .sent = g_string_new (NULL), .wanted = n};
  HrMember member = {"c0", "z0", "127.0.0.1:18432"};
  HrSettings set = {.back = "127.0.0.1:18431",
                    .members = g_array_new (FALSE, TRUE, sizeof (HrMember))};
  g_array_append_val (set.members, member);
  wire.peers = hr_peers_new (&set, on_hint, &wire, NULL);
  assert_non_null (wire.peers);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_autoptr (GSocketConnection) to_us =
      g_socket_client_connect_to_host (client, set.back, 0, NULL, NULL);
  assert_non_null (to_us);
  assert_true (g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (to_us)),
                                          frame, n, NULL, NULL, NULL));
  guint deadline = g_timeout_add_seconds (10, too_late, &wire);
  g_main_loop_run (wire.loop);
  assert_true (wire.heard);
  assert_string_equal (wire.hint.label, "c1");
  assert_int_equal (wire.hint.baton, 7);
  assert_int_equal (wire.hint.withdrawn, 4100);
  assert_int_equal (wire.hint.nechoes, 2);
  assert_int_equal (wire.hint.format, 0); /* production states none */
  assert_int_equal (wire.hint.noversized, 0);
  g_autoptr (GSocketService) peer = g_socket_service_new ();
  assert_true (g_socket_listener_add_inet_port (G_SOCKET_LISTENER (peer), PEER_PORT, NULL, NULL));
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (records_are_written_as_read), cmocka_unit_test (unknown_members_stay),
      cmocka_unit_test (its_ledger_is_taken_over), cmocka_unit_test (frames_are_written_as_read)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
