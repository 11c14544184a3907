/* Splitting a record in steps, on a state service that is played: what comes between two steps. */
#include "sim/lone_node.h"
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
staged (const Ledger *store)
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
split (const Ledger *store)
{
  return strstr (ledger_job (store, JOB), "\"u\":1") != NULL;
}

static void
until_staged (LoneNode *n)
{
  for (guint i = 0; i < 2000 && !staged (n->ledger); i++)
    node_run (n, 0.001);
  assert_true (staged (n->ledger));
  assert_false (split (n->ledger));
}

/* Another node cancels the job between two steps: the cancellation stays. */
static void
a_withdrawal_between_steps (void **state G_GNUC_UNUSED)
{
  Ledger *store = ledger_new ();
  g_autofree char *queued = record (0), *cancelled = record (2);
  store->epoch++;
  ledger_set (store, MAIN, queued);
  LoneNode *n = node_new (store, NEXT);
  until_staged (n);
  store->epoch++;
  ledger_set (store, MAIN, cancelled);
  node_run (n, 10);
  assert_non_null (strstr (ledger_job (store, JOB), "\"s\":2"));
  assert_true (split (store)); /* and the record is split all the same */
  node_free (n);
  ledger_free (store);
}

/* Without that, all steps are carried out. */
static void
all_steps (void **state G_GNUC_UNUSED)
{
  Ledger *store = ledger_new ();
  g_autofree char *queued = record (0);
  store->epoch++;
  ledger_set (store, MAIN, queued);
  LoneNode *n = node_new (store, NEXT);
  until_staged (n);
  node_run (n, 10);
  assert_true (split (store));
  assert_non_null (strstr (ledger_job (store, JOB), "\"s\":0"));
  node_free (n);
  ledger_free (store);
}

/* Another node becomes the leader between two steps: none of ours is carried out any more. */
static void
an_owner_between_steps (void **state G_GNUC_UNUSED)
{
  Ledger *store = ledger_new ();
  g_autofree char *queued = record (0);
  store->epoch++;
  ledger_set (store, MAIN, queued);
  LoneNode *n = node_new (store, NEXT);
  until_staged (n);
  store->epoch++;
  ledger_set (store, "h/leader", "{\"b\":0,\"o\":\"b\",\"i\":\"other\"}");
  ledger_set (store, "h/map", "{\"b\":9,\"o\":\"b\",\"i\":\"other\"}");
  node_run (n, 10);
  assert_false (split (store));
  assert_false (n->core->leadership.is_leader);
  node_free (n);
  ledger_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (a_withdrawal_between_steps),
                                     cmocka_unit_test (an_owner_between_steps),
                                     cmocka_unit_test (all_steps)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
