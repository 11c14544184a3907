/* Jobs that await others, at nodes whose state service is played: what is refused and why, and
 * what is derived from the records alone, in any order of reading. */
#include "bookkeeping/tables.h"
#include "coordination/core.h"
#include "coordination/jobs/task_lifecycle.h"
#include "protocol/json_util.h"
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* ---- submissions ---- */

static void
named_jobs_are_checked (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[]", NULL), 201);
  assert_int_equal (single_node_submit (n, "job-3", "null", NULL), 201);
  assert_null (strstr (fake_store_job_record (store, "job-2"), "\"a\":"));
  assert_int_equal (single_node_submit (n, "job-4", "[\"job-9\"]", NULL), 422);
  assert_non_null (strstr (hr_json_str (n->body, "error"), "job-9"));
  assert_int_equal (single_node_submit (n, "job-4", "[\"job-1\",\"job-4\"]", NULL), 422);
  assert_null (fake_store_job_record (store, "job-4"));
  assert_string_equal (single_node_poll (n, "job-4"), "unknown");
  assert_string_equal (single_node_poll (n, "job-9"), "unknown");
  assert_int_equal (single_node_submit (n, "job-5", "[\"job-1\",\"job-2\",\"job-1\"]", NULL), 201);
  assert_non_null (strstr (fake_store_job_record (store, "job-5"), "\"a\":[\"job-1\",\"job-2\"]"));
  /* A repeat is compared by its id alone. */
  assert_int_equal (single_node_submit (n, "job-5", "[\"job-9\"]", NULL), 200);
  single_node_free (n);
  fake_store_free (store);
}

/* What no node accepts leaves nothing behind. */
static void
odd_lists_are_refused (void **state G_GNUC_UNUSED)
{
  static const struct {
    const char *awaits;
    int status;
    const char *says;
  } rows[] = {{"\"job-1\"", 400, "awaits"},
              {"{}", 400, "awaits"},
              {"[1]", 400, "awaits"},
              {"[null]", 400, "awaits"},
              {"[\"\"]", 400, "awaits"},
              {"[\"job 1\"]", 400, "awaits"},
              {"[\"job-1\",7]", 400, "awaits"},
              {"[[\"job-1\"]]", 400, "awaits"},
              {"[\"job-odd\"]", 422, "job-odd"},
              {"[\"job-77\"]", 422, "never accepted"},
              {"[\"job-svc\"]", 422, "a service"},
              {"[\"job-1\",\"job-svc\"]", 422, "a service"}};
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit_service (n, "job-svc"), 201);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++) {
    assert_int_equal (single_node_submit (n, "job-odd", rows[i].awaits, NULL), rows[i].status);
    assert_non_null (strstr (hr_json_str (n->body, "error"), rows[i].says));
    assert_null (fake_store_job_record (store, "job-odd"));
    assert_string_equal (single_node_poll (n, "job-odd"), "unknown");
    /* A repetition of what was accepted is known by its id, whatever it holds now. */
    assert_int_equal (single_node_submit (n, "job-1", rows[i].awaits, NULL), 200);
  }
  /* A service that its user withdrew takes the job along like any other. */
  assert_int_equal (single_node_cancel (n, "job-svc"), 200);
  assert_int_equal (single_node_submit (n, "job-odd", "[\"job-svc\"]", NULL), 201);
  assert_string_equal (single_node_poll (n, "job-odd"), "withdrawn");
  single_node_free (n);
  fake_store_free (store);
}

static void
unknown_jobs_cannot_be_judged_in_an_outage (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  store->down = TRUE;
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-9\"]", NULL), 503);
  store->down = FALSE;
  single_node_run (n, 10);
  /* Accepted elsewhere just now: a reading finds it. */
  g_autofree char *text = g_strdup (fake_store_job_record (store, "job-1"));
  store->epoch++;
  fake_store_set (store, "h/j/job-9", text);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-9\"]", NULL), 201);
  single_node_free (n);
  fake_store_free (store);
}

static char *
many_ids (guint n)
{
  GString *text = g_string_new ("[");
  for (guint i = 0; i < n; i++)
    g_string_append_printf (text, "%s\"job-%06u\"", i ? "," : "", i);
  g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

/* A repeat at a node that has not read the job yet counts by its id alone, whatever it awaits. */
static void
a_repeat_is_known_by_its_id (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  g_autofree char *text = g_strdup (fake_store_job_record (store, "job-1"));
  g_autofree char *many = many_ids (320);
  assert_int_equal (single_node_submit_service (n, "job-svc"), 201);
  const char *const awaits[] = {"[\"job-9\"]", many, "[\"job-svc\"]"};
  for (guint i = 0; i < G_N_ELEMENTS (awaits); i++) {
    g_autofree char *id = g_strdup_printf ("job-e%u", i), *path = g_strconcat ("h/j/", id, NULL);
    store->epoch++;
    fake_store_set (store, path, text); /* accepted elsewhere just now */
    assert_int_equal (single_node_submit (n, id, awaits[i], NULL), 200);
  }
  single_node_free (n);
  fake_store_free (store);
}

/* The smaller of today's and the announced limit bounds what a job may await. */
static void
records_have_room (void **state G_GNUC_UNUSED)
{
  static const char *const limits[] = {"", ",\"next\":{\"value_kb\":2}"};
  guint most[2] = {0, 0};
  for (guint k = 0; k < 2; k++) {
    FakeStore *store = fake_store_new ();
    SingleNode *n = single_node_new (store, limits[k]);
    single_node_run (n, 5);
    for (guint i = 0; i < 320; i++) {
      g_autofree char *id = g_strdup_printf ("job-%06u", i);
      assert_int_equal (single_node_submit (n, id, NULL, NULL), 201);
    }
    for (guint i = 10; i <= 320; i += 10) {
      g_autofree char *id = g_strdup_printf ("job-n%u", i), *ids = many_ids (i);
      int status = single_node_submit (n, id, ids, NULL);
      assert_true (status == 201 || status == 400);
      if (status == 400)
        assert_non_null (strstr (hr_json_str (n->body, "error"), "awaits"));
      if (status == 201) {
        assert_true (strlen (fake_store_job_record (store, id)) <= (k ? 2048 : 4096));
        assert_true (most[k] == i - 10); /* never one that is larger than a refused one */
        most[k] = i;
      }
    }
    single_node_free (n);
    fake_store_free (store);
  }
  assert_true (most[0] >= 250 && most[0] < 320);
  assert_true (most[1] >= 90 && most[1] < 160);
}

/* ---- what is derived ---- */

/* A pipeline: each awaits the one before. */
static void
submit_chain (SingleNode *n, guint from, guint to)
{
  for (guint i = from; i < to; i++) {
    g_autofree char *id = g_strdup_printf ("job-c%u", i);
    g_autofree char *awaits = i ? g_strdup_printf ("[\"job-c%u\"]", i - 1) : NULL;
    assert_int_equal (single_node_submit (n, id, awaits, NULL), 201);
  }
}

/* The epoch of the change that withdrew the job. */
static guint64
cancelled_at (const FakeStore *store, const char *path)
{
  for (guint i = 0; i < store->log->len; i++) {
    const FakeStoreChange *change = &g_array_index (store->log, FakeStoreChange, i);
    if (strcmp (change->path, path) == 0 && strstr (change->text, "\"s\":2"))
      return change->stamp;
  }
  return 0;
}

#define CHAIN 600

static void
a_cancellation_takes_a_chain_along (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  submit_chain (n, 0, CHAIN);
  assert_int_equal (single_node_cancel (n, "job-c0"), 200);
  guint64 told = cancelled_at (store, "h/j/job-c0");
  assert_true (told > 0);
  for (guint i = 0; i < CHAIN; i += 23) {
    g_autofree char *id = g_strdup_printf ("job-c%u", i);
    assert_string_equal (single_node_poll (n, id), "withdrawn");
    if (i)
      assert_non_null (strstr (hr_json_str (n->body, "reason"), "job-c0"));
  }
  assert_int_equal (single_node_cancel (n, "job-c99"), 200);
  assert_string_equal (hr_json_str (n->body, "stance"), "withdrawn");
  assert_int_equal (single_node_submit (n, "job-late", "[\"job-c599\"]", NULL), 201);
  assert_string_equal (hr_json_str (n->body, "stance"), "withdrawn");
  /* Nodes that come later and lead nothing: whatever the order in which they read. */
  for (guint k = 0; k < 2; k++) {
    FakeStore *past = fake_store_new (); /* without what the leader wrote since */
    for (guint i = 0; i < store->log->len; i++) {
      const FakeStoreChange *change = &g_array_index (store->log, FakeStoreChange, i);
      past->epoch = change->stamp;
      if (change->stamp <= told || strstr (change->path, "job-late"))
        fake_store_set (past, change->path, change->text);
    }
    past->newest_first = k;
    assert_non_null (strstr (fake_store_job_record (past, "job-c599"), "\"s\":0"));
    SingleNode *other = single_node_new (past, "");
    single_node_run (other, 1.5);
    assert_string_equal (single_node_poll (other, "job-c599"), "withdrawn");
    assert_string_equal (single_node_poll (other, "job-late"), "withdrawn");
    assert_string_equal (single_node_poll (other, "job-c1"), "withdrawn");
    single_node_free (other);
    fake_store_free (past);
  }
  /* In the end every record says so by itself. */
  single_node_run (n, 120);
  assert_null (strstr (fake_store_job_record (store, "job-c599"), "\"j\":"));
  assert_null (strstr (fake_store_job_record (store, "job-late"), "\"j\":"));
  SingleNode *last = single_node_new (store, "");
  single_node_run (last, 3);
  assert_string_equal (single_node_poll (last, "job-c300"), "withdrawn");
  assert_non_null (strstr (hr_json_str (last->body, "reason"), "job-c0"));
  single_node_free (last);
  single_node_free (n);
  fake_store_free (store);
}

/* Jobs that all await job-r, as if other nodes had accepted them. */
static void
submit_many (FakeStore *store, guint n)
{
  g_autofree char *root = g_strdup (fake_store_job_record (store, "job-r"));
  for (guint i = 0; i < n; i++) {
    g_autofree char *path = g_strdup_printf ("h/j/job-b%u", i);
    json_t *object = json_loads (root, 0, NULL);
    json_object_set_new (object, "a", json_pack ("[s]", "job-r"));
    g_autofree char *text = hr_json_take_text (object);
    store->epoch++;
    fake_store_set (store, path, text);
  }
}

#define BREADTH 3000

static void
a_cancellation_takes_thousands_along (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-r", NULL, NULL), 201);
  submit_many (store, BREADTH);
  assert_string_equal (single_node_poll (n, "job-b2999"), "queued");
  assert_false (single_node_lists_open (n, "job-b2999"));
  assert_int_equal (single_node_cancel (n, "job-r"), 200);
  guint64 before = store->epoch;
  assert_string_equal (single_node_poll (n, "job-b2999"), "withdrawn");
  assert_string_equal (single_node_poll (n, "job-b0"), "withdrawn");
  assert_true (store->epoch - before < 20); /* told before any of them was written */
  single_node_free (n);
  fake_store_free (store);
}

/* Their records are shortened when nothing else is to be written: a task's end is recorded at
 * once, also where the state service takes 15 changes a second. */
static void
thousands_hold_nobody_up (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_new (store, ",\"write_rps\":15");
  single_node_run (n, 5);
  assert_int_equal (single_node_submit (n, "job-r", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-e", NULL, NULL), 201);
  submit_many (store, 1000);
  HrJob *job = hr_job_find (&n->core->store.tables, "job-e");
  HrMachine *machine = single_node_add_machine (n);
  for (guint i = 0; i < job->n_tasks; i++)
    hr_task_assign (n->core, job, i, machine, 1);
  single_node_run (n, 3);
  assert_int_equal (single_node_cancel (n, "job-r"), 200);
  single_node_run (n, 3);
  for (guint i = 0; i < job->n_tasks; i++)
    hr_task_done (n->core, job, i);
  assert_int_equal (job->n_done, job->n_tasks);
  single_node_run (n, 2);
  assert_string_equal (single_node_poll (n, "job-e"), "done");
  single_node_free (n);
  fake_store_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (named_jobs_are_checked),
      cmocka_unit_test (odd_lists_are_refused),
      cmocka_unit_test (unknown_jobs_cannot_be_judged_in_an_outage),
      cmocka_unit_test (a_repeat_is_known_by_its_id),
      cmocka_unit_test (records_have_room),
      cmocka_unit_test (a_cancellation_takes_a_chain_along),
      cmocka_unit_test (a_cancellation_takes_thousands_along),
      cmocka_unit_test (thousands_hold_nobody_up),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
