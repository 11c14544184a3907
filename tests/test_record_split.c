/* Splitting a record in steps, on a state service that is played: what comes between two steps. */
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-000001"
#define MAIN "h/j/" JOB
/* Two changes a transaction: three pages and the main record take two steps. */
#define NEXT ",\"next\":{\"value_kb\":1,\"txn_ops\":2}"

/* Six tasks on machines of long names: more than 1 KiB, and two tasks a page. */
static char *
record (int state)
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
staged (const FakeStore *store)
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
split (const FakeStore *store)
{
  return strstr (fake_store_job_record (store, JOB), "\"u\":1") != NULL;
}

static void
until_staged (SingleNode *n)
{
  for (guint i = 0; i < 2000 && !staged (n->store); i++)
    single_node_run (n, 0.001);
  assert_true (staged (n->store));
  assert_false (split (n->store));
}

/* Another node cancels the job between two steps: the cancellation stays. */
static void
a_cancellation_between_steps (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  g_autofree char *queued = record (0), *cancelled = record (2);
  store->epoch++;
  fake_store_set (store, MAIN, queued);
  SingleNode *n = single_node_new (store, NEXT);
  until_staged (n);
  store->epoch++;
  fake_store_set (store, MAIN, cancelled);
  single_node_run (n, 10);
  assert_non_null (strstr (fake_store_job_record (store, JOB), "\"s\":2"));
  assert_true (split (store)); /* and the record is split all the same */
  single_node_free (n);
  fake_store_free (store);
}

/* Without that, all steps are carried out. */
static void
all_steps (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  g_autofree char *queued = record (0);
  store->epoch++;
  fake_store_set (store, MAIN, queued);
  SingleNode *n = single_node_new (store, NEXT);
  until_staged (n);
  single_node_run (n, 10);
  assert_true (split (store));
  assert_non_null (strstr (fake_store_job_record (store, JOB), "\"s\":0"));
  single_node_free (n);
  fake_store_free (store);
}

/* Another node becomes the leader between two steps: none of ours is carried out any more. */
static void
a_new_leader_between_steps (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  g_autofree char *queued = record (0);
  store->epoch++;
  fake_store_set (store, MAIN, queued);
  SingleNode *n = single_node_new (store, NEXT);
  until_staged (n);
  store->epoch++;
  fake_store_set (store, "h/leader", "{\"b\":0,\"o\":\"b\",\"i\":\"other\"}");
  fake_store_set (store, "h/map", "{\"b\":9,\"o\":\"b\",\"i\":\"other\"}");
  single_node_run (n, 10);
  assert_false (split (store));
  assert_false (n->core->leadership.is_leader);
  single_node_free (n);
  fake_store_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (a_cancellation_between_steps),
                                     cmocka_unit_test (a_new_leader_between_steps),
                                     cmocka_unit_test (all_steps)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
