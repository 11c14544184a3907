/* Guards against writes that wait for a share of the write-rate allowance and are never sent,
 * because the allowance was looked at as the latest write had left it: on a quiet day, only other
 * writes would have refilled it. The store takes 15 writes per second, and nothing but the writes
 * in question is to be written. src/bookkeeping/record_fields.h explains the members of records. */
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define WRITE_RATE ",\"write_rps\":15"
#define DEPENDENTS 40
#define PAGES 30
#define QUIET_S 60 /* at 15 writes per second, several times what the writes need */

static SingleNode *
leading_node (FakeStore *store)
{
  SingleNode *n = single_node_new (store, WRITE_RATE);
  single_node_run (n, 5);
  assert_true (n->core->leadership.is_leader);
  return n;
}

/* Cancelled dependents are recorded as such although nothing else is written. */
static void
tombstones_are_written_on_a_quiet_day (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = leading_node (store);
  assert_int_equal (single_node_submit (n, "job-root", NULL, NULL), 201);
  for (guint i = 0; i < DEPENDENTS; i++) {
    g_autofree char *id = g_strdup_printf ("job-d%u", i);
    assert_int_equal (single_node_submit (n, id, "[\"job-root\"]", NULL), 201);
  }
  assert_int_equal (single_node_cancel (n, "job-root"), 200);
  single_node_run (n, QUIET_S);
  for (guint i = 0; i < DEPENDENTS; i++) {
    g_autofree char *id = g_strdup_printf ("job-d%u", i);
    if (!strstr (fake_store_job_record (store, id), "\"c\":\"job-root\""))
      fail_msg ("after %d quiet seconds the record of %s is still no tombstone", QUIET_S, id);
  }
  single_node_free (n);
  fake_store_free (store);
}

/* Pages of final jobs are deleted although nothing else is written. */
static void
pages_are_deleted_on_a_quiet_day (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = leading_node (store);
  assert_int_equal (single_node_submit (n, "job-root", NULL, NULL), 201);
  fake_store_finish_job (store, "job-root");
  for (guint i = 0; i < PAGES; i++) {
    g_autofree char *path = g_strdup_printf ("h/t/job-root/%u", i);
    store->epoch++;
    fake_store_set (store, path, "{\"w\":\"x.2\",\"x\":[1]}");
  }
  single_node_run (n, QUIET_S);
  assert_true (store->n_deleted >= PAGES);
  single_node_free (n);
  fake_store_free (store);
}

static void
bucket_is_refilled_by_time (void **state G_GNUC_UNUSED)
{
  HrTokenBucket bucket = {.tokens = 10, .rate = 10, .burst = 10, .refilled_at = 100};
  assert_true (hr_token_bucket_take (&bucket, 100, 10, 0));
  assert_false (hr_token_bucket_has_share (&bucket, 100, 0.1));
  assert_true (hr_token_bucket_available (&bucket, 100.5) == 5);
  assert_false (hr_token_bucket_has_share (&bucket, 100.7, 0.8));
  assert_true (hr_token_bucket_has_share (&bucket, 101, 0.8));
  assert_true (hr_token_bucket_available (&bucket, 200) == 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (tombstones_are_written_on_a_quiet_day),
      cmocka_unit_test (pages_are_deleted_on_a_quiet_day),
      cmocka_unit_test (bucket_is_refilled_by_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
