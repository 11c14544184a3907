/* Jobs that depend on other jobs, at controllers with a fake state store: which submissions are
 * rejected and why, and that cancellations of dependents follow from the records alone, in
 * whichever order they are read. src/bookkeeping/record_fields.h explains the members of records
 * ("a": awaited jobs, "s": state, 2: cancelled, "j": specification, which a tombstone lacks). */
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
dependencies_are_validated (void **state G_GNUC_UNUSED)
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
  /* A resubmission is recognized by its id alone. */
  assert_int_equal (single_node_submit (n, "job-5", "[\"job-9\"]", NULL), 200);
  single_node_free (n);
  fake_store_free (store);
}

/* Rejected dependency lists leave no record behind, and the job stays unknown. */
static void
invalid_dependency_lists_are_rejected (void **state G_GNUC_UNUSED)
{
  static const struct {
    const char *awaits;
    int status;
    const char *error;
  } cases[] = {{"\"job-1\"", 400, "awaits"},
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
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    assert_int_equal (single_node_submit (n, "job-odd", cases[i].awaits, NULL), cases[i].status);
    assert_non_null (strstr (hr_json_str (n->body, "error"), cases[i].error));
    assert_null (fake_store_job_record (store, "job-odd"));
    assert_string_equal (single_node_poll (n, "job-odd"), "unknown");
    /* A resubmission of an accepted job is recognized by its id, whatever its members are now. */
    assert_int_equal (single_node_submit (n, "job-1", cases[i].awaits, NULL), 200);
  }
  /* A cancelled service is a valid dependency: its cancellation cascades like that of any job. */
  assert_int_equal (single_node_cancel (n, "job-svc"), 200);
  assert_int_equal (single_node_submit (n, "job-odd", "[\"job-svc\"]", NULL), 201);
  assert_string_equal (single_node_poll (n, "job-odd"), "withdrawn");
  single_node_free (n);
  fake_store_free (store);
}

static void
unknown_dependencies_get_503_in_an_outage (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  store->down = TRUE;
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-9\"]", NULL), 503);
  store->down = FALSE;
  single_node_run (n, 10);
  /* Another controller has just accepted the job: the read triggered by the submission finds it. */
  g_autofree char *text = g_strdup (fake_store_job_record (store, "job-1"));
  store->epoch++;
  fake_store_set (store, "h/j/job-9", text);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-9\"]", NULL), 201);
  single_node_free (n);
  fake_store_free (store);
}

static char *
id_list (guint n)
{
  GString *text = g_string_new ("[");
  for (guint i = 0; i < n; i++)
    g_string_append_printf (text, "%s\"job-%06u\"", i ? "," : "", i);
  g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

/* A controller that has not read the job yet also recognizes a resubmission by its id alone,
 * whatever it awaits. */
static void
resubmission_is_recognized_by_id (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  g_autofree char *text = g_strdup (fake_store_job_record (store, "job-1"));
  g_autofree char *long_list = id_list (320);
  assert_int_equal (single_node_submit_service (n, "job-svc"), 201);
  const char *const awaits[] = {"[\"job-9\"]", long_list, "[\"job-svc\"]"};
  for (guint i = 0; i < G_N_ELEMENTS (awaits); i++) {
    g_autofree char *id = g_strdup_printf ("job-e%u", i), *path = g_strconcat ("h/j/", id, NULL);
    store->epoch++;
    fake_store_set (store, path, text); /* just accepted by another controller */
    assert_int_equal (single_node_submit (n, id, awaits[i], NULL), 200);
  }
  single_node_free (n);
  fake_store_free (store);
}

/* The number of jobs that one job may await is bounded by the record size: the smaller of the
 * current and the announced value limit. */
static void
record_size_limits_dependencies (void **state G_GNUC_UNUSED)
{
  static const char *const limits[] = {"", ",\"next\":{\"value_kb\":2}"};
  guint max_accepted[2] = {0, 0};
  for (guint k = 0; k < 2; k++) {
    FakeStore *store = fake_store_new ();
    SingleNode *n = single_node_new (store, limits[k]);
    single_node_run (n, 5);
    for (guint i = 0; i < 320; i++) {
      g_autofree char *id = g_strdup_printf ("job-%06u", i);
      assert_int_equal (single_node_submit (n, id, NULL, NULL), 201);
    }
    for (guint i = 10; i <= 320; i += 10) {
      g_autofree char *id = g_strdup_printf ("job-n%u", i), *ids = id_list (i);
      int status = single_node_submit (n, id, ids, NULL);
      assert_true (status == 201 || status == 400);
      if (status == 400)
        assert_non_null (strstr (hr_json_str (n->body, "error"), "awaits"));
      if (status == 201) {
        assert_true (strlen (fake_store_job_record (store, id)) <= (k ? 2048 : 4096));
        /* No list larger than a rejected one is accepted. */
        assert_true (max_accepted[k] == i - 10);
        max_accepted[k] = i;
      }
    }
    single_node_free (n);
    fake_store_free (store);
  }
  assert_true (max_accepted[0] >= 250 && max_accepted[0] < 320);
  assert_true (max_accepted[1] >= 90 && max_accepted[1] < 160);
}

/* ---- cancellations of dependents ---- */

/* Submits jobs of a chain, each of which awaits the one before. */
static void
submit_chain (SingleNode *n, guint from, guint to)
{
  for (guint i = from; i < to; i++) {
    g_autofree char *id = g_strdup_printf ("job-c%u", i);
    g_autofree char *awaits = i ? g_strdup_printf ("[\"job-c%u\"]", i - 1) : NULL;
    assert_int_equal (single_node_submit (n, id, awaits, NULL), 201);
  }
}

/* Returns the revision of the change that cancelled the job, or 0. */
static guint64
cancellation_epoch (const FakeStore *store, const char *path)
{
  for (guint i = 0; i < store->log->len; i++) {
    const FakeStoreChange *change = &g_array_index (store->log, FakeStoreChange, i);
    if (strcmp (change->path, path) == 0 && strstr (change->text, "\"s\":2"))
      return change->stamp;
  }
  return 0;
}

#define CHAIN_LENGTH 600

static void
cancellation_cascades_along_a_chain (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  submit_chain (n, 0, CHAIN_LENGTH);
  assert_int_equal (single_node_cancel (n, "job-c0"), 200);
  guint64 cancelled_epoch = cancellation_epoch (store, "h/j/job-c0");
  assert_true (cancelled_epoch > 0);
  for (guint i = 0; i < CHAIN_LENGTH; i += 23) {
    g_autofree char *id = g_strdup_printf ("job-c%u", i);
    assert_string_equal (single_node_poll (n, id), "withdrawn");
    if (i)
      assert_non_null (strstr (hr_json_str (n->body, "reason"), "job-c0"));
  }
  assert_int_equal (single_node_cancel (n, "job-c99"), 200);
  assert_string_equal (hr_json_str (n->body, "stance"), "withdrawn");
  assert_int_equal (single_node_submit (n, "job-late", "[\"job-c599\"]", NULL), 201);
  assert_string_equal (hr_json_str (n->body, "stance"), "withdrawn");
  /* Controllers that start later and do not lead derive the same cancellations from the records, in
   * whichever order they read them. */
  for (guint k = 0; k < 2; k++) {
    FakeStore *partial = fake_store_new (); /* without the leader's later writes */
    for (guint i = 0; i < store->log->len; i++) {
      const FakeStoreChange *change = &g_array_index (store->log, FakeStoreChange, i);
      partial->epoch = change->stamp;
      if (change->stamp <= cancelled_epoch || strstr (change->path, "job-late"))
        fake_store_set (partial, change->path, change->text);
    }
    partial->newest_first = k;
    assert_non_null (strstr (fake_store_job_record (partial, "job-c599"), "\"s\":0"));
    SingleNode *other = single_node_new (partial, "");
    single_node_run (other, 1.5);
    assert_string_equal (single_node_poll (other, "job-c599"), "withdrawn");
    assert_string_equal (single_node_poll (other, "job-late"), "withdrawn");
    assert_string_equal (single_node_poll (other, "job-c1"), "withdrawn");
    single_node_free (other);
    fake_store_free (partial);
  }
  /* Eventually every record states the cancellation itself. */
  single_node_run (n, 120);
  assert_null (strstr (fake_store_job_record (store, "job-c599"), "\"j\":"));
  assert_null (strstr (fake_store_job_record (store, "job-late"), "\"j\":"));
  SingleNode *later = single_node_new (store, "");
  single_node_run (later, 3);
  assert_string_equal (single_node_poll (later, "job-c300"), "withdrawn");
  assert_non_null (strstr (hr_json_str (later->body, "reason"), "job-c0"));
  single_node_free (later);
  single_node_free (n);
  fake_store_free (store);
}

/* Stores jobs that all await job-r, as if other controllers had accepted them. */
static void
store_dependents (FakeStore *store, guint n)
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

#define N_DEPENDENTS 3000

static void
cancellation_cascades_to_thousands (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-r", NULL, NULL), 201);
  store_dependents (store, N_DEPENDENTS);
  assert_string_equal (single_node_poll (n, "job-b2999"), "queued");
  assert_false (single_node_lists_open (n, "job-b2999"));
  assert_int_equal (single_node_cancel (n, "job-r"), 200);
  guint64 before = store->epoch;
  assert_string_equal (single_node_poll (n, "job-b2999"), "withdrawn");
  assert_string_equal (single_node_poll (n, "job-b0"), "withdrawn");
  assert_true (store->epoch - before < 20); /* reported before their records are written */
  single_node_free (n);
  fake_store_free (store);
}

/* Guards against a cascade that delays other writes: the records of the cancelled jobs become
 * tombstones only while nothing else is to be written, so that a task's end is recorded at once
 * even with a store that takes 15 writes per second. */
static void
cascade_does_not_delay_other_writes (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_new (store, ",\"write_rps\":15");
  single_node_run (n, 5);
  assert_int_equal (single_node_submit (n, "job-r", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-e", NULL, NULL), 201);
  store_dependents (store, 1000);
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
      cmocka_unit_test (dependencies_are_validated),
      cmocka_unit_test (invalid_dependency_lists_are_rejected),
      cmocka_unit_test (unknown_dependencies_get_503_in_an_outage),
      cmocka_unit_test (resubmission_is_recognized_by_id),
      cmocka_unit_test (record_size_limits_dependencies),
      cmocka_unit_test (cancellation_cascades_along_a_chain),
      cmocka_unit_test (cancellation_cascades_to_thousands),
      cmocka_unit_test (cascade_does_not_delay_other_writes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
