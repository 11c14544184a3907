/* Splitting a record over several transactions, on a fake state store: changes by other controllers
 * between two transactions. src/bookkeeping/record_fields.h explains the members of records. */
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-000001"
#define MAIN "h/j/" JOB
/* Two writes per transaction: three pages and the main record take two transactions. */
#define ANNOUNCED_LIMITS ",\"next\":{\"value_kb\":1,\"txn_ops\":2}"

/* Returns a record of six tasks on machines with long names: it is larger than 1 KiB, and a page
 * holds two tasks. */
static char *
record_text (int state)
{
  g_autoptr (GString) tasks = g_string_new (NULL);
  g_autofree char *name = g_strnfill (400, 'm');
  for (guint i = 0; i < 6; i++)
    g_string_append_printf (tasks, "%s[\"%s%u\",1,1]", i ? "," : "", name, i);
  return g_strdup_printf ("{\"w\":\"other.1\",\"s\":%d,\"t\":1.0,\"q\":0,\"j\":[\"k\",\"crew\","
                          "\"i\",0,2,6,1.0,0.0,1.0,1.0,null,39.0,0.0,0.0,null,false,false,true,"
                          "88.0],\"x\":[%s]}",
                          state, tasks->str);
}

static gboolean
has_staged_pages (const FakeStore *store)
{
  GHashTableIter iter;
  gpointer path;
  g_hash_table_iter_init (&iter, store->stamp);
  while (g_hash_table_iter_next (&iter, &path, NULL))
    if (g_str_has_prefix (path, "h/u/" JOB "/"))
      return TRUE;
  return FALSE;
}

static gboolean
is_split (const FakeStore *store)
{
  return strstr (fake_store_job_record (store, JOB), "\"u\":1") != NULL;
}

static void
run_until_staged (SingleNode *n)
{
  for (guint i = 0; i < 2000 && !has_staged_pages (n->store); i++)
    single_node_run (n, 0.001);
  assert_true (has_staged_pages (n->store));
  assert_false (is_split (n->store));
}

/* Guards against a lost cancellation: another controller cancels the job between two transactions
 * of the split. */
static void
cancellation_between_split_transactions (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  g_autofree char *queued = record_text (0), *cancelled = record_text (2);
  store->epoch++;
  fake_store_set (store, MAIN, queued);
  SingleNode *n = single_node_new (store, ANNOUNCED_LIMITS);
  run_until_staged (n);
  store->epoch++;
  fake_store_set (store, MAIN, cancelled);
  single_node_run (n, 10);
  assert_non_null (strstr (fake_store_job_record (store, JOB), "\"s\":2"));
  assert_true (is_split (store)); /* the split completes nevertheless */
  single_node_free (n);
  fake_store_free (store);
}

/* Without changes by other controllers the split completes. */
static void
split_completes (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  g_autofree char *queued = record_text (0);
  store->epoch++;
  fake_store_set (store, MAIN, queued);
  SingleNode *n = single_node_new (store, ANNOUNCED_LIMITS);
  run_until_staged (n);
  single_node_run (n, 10);
  assert_true (is_split (store));
  assert_non_null (strstr (fake_store_job_record (store, JOB), "\"s\":0"));
  single_node_free (n);
  fake_store_free (store);
}

/* Guards against a former leader that continues its split after another controller has become the
 * leader between two transactions. */
static void
new_leader_between_split_transactions (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  g_autofree char *queued = record_text (0);
  store->epoch++;
  fake_store_set (store, MAIN, queued);
  SingleNode *n = single_node_new (store, ANNOUNCED_LIMITS);
  run_until_staged (n);
  store->epoch++;
  fake_store_set (store, "h/leader", "{\"b\":0,\"o\":\"b\",\"i\":\"other\"}");
  fake_store_set (store, "h/map", "{\"b\":9,\"o\":\"b\",\"i\":\"other\"}");
  single_node_run (n, 10);
  assert_false (is_split (store));
  assert_false (n->core->leadership.is_leader);
  single_node_free (n);
  fake_store_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (cancellation_between_split_transactions),
                                     cmocka_unit_test (new_leader_between_split_transactions),
                                     cmocka_unit_test (split_completes)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
