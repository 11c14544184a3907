/* Jobs that await others, at a node whose state service is played: when they get work, what guards
 * that, and what those before them get from them. */
#include "sim/lone_node.h"
#include "protocol/jsonx.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* ---- readiness ---- */

static void
a_job_opens_when_the_last_one_is_done (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (node_submit (n, "job-2", NULL, NULL), 201);
  assert_int_equal (node_submit (n, "job-3", "[\"job-1\",\"job-2\"]", NULL), 201);
  assert_true (node_opens (n, "job-1"));
  assert_false (node_opens (n, "job-3"));
  assert_string_equal (node_poll (n, "job-3"), "queued");
  assert_non_null (strstr (hr_json_str (n->body, "reason"), "2 jobs to be done: job-1, job-2"));
  HrJob *j = hr_job_find (n->core, "job-3");
  assert_false (j->counted);
  double since = n->now;
  ledger_done (l, "job-2");
  node_run (n, 2);
  assert_false (node_opens (n, "job-3"));
  node_run (n, 40);
  ledger_done (l, "job-1");
  node_run (n, 2);
  assert_true (node_opens (n, "job-3"));
  assert_true (j->counted); /* it arrives now */
  assert_true (j->deadline - 1e9 > since + 40 + 50 && isfinite (j->deadline));
  /* A job that names what is done need not wait at all. */
  assert_int_equal (node_submit (n, "job-4", "[\"job-1\"]", NULL), 201);
  assert_true (node_opens (n, "job-4"));
  node_free (n);
  ledger_free (l);
}

/* Its user may still withdraw what its tasks have done but no record says: that decides. */
static void
done_means_recorded (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *first = hr_job_find (n->core, "job-1"), *second = hr_job_find (n->core, "job-2");
  HrMachine *m = node_machine (n);
  for (guint i = 0; i < first->ntasks; i++)
    hr_task_assign (n->core, first, i, m, 1);
  node_run (n, 1);
  l->down = TRUE;
  for (guint i = 0; i < first->ntasks; i++)
    hr_task_done (n->core, first, i);
  node_run (n, 1);
  assert_int_equal (first->ndone, first->ntasks);
  hr_job_open (n->core, second);
  assert_false (node_opens (n, "job-2"));
  l->down = FALSE;
  node_run (n, 5);
  assert_string_equal (node_poll (n, "job-1"), "done");
  assert_true (node_opens (n, "job-2"));
  node_free (n);
  ledger_free (l);
}

/* The same after all was read anew, by an owner that comes later, and with the newest records
 * first. */
static void
a_later_owner_opens_the_same_jobs (void **state)
{
  for (guint k = 0; k < 2; k++) {
    Ledger *l = ledger_new ();
    LoneNode *n = node_up (l);
    assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
    assert_int_equal (node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
    assert_int_equal (node_submit (n, "job-3", "[\"job-2\"]", NULL), 201);
    ledger_done (l, "job-1");
    l->backwards = k;
    LoneNode *other = node_new (l, "");
    node_run (other, 5);
    for (guint again = 0; again < 2; again++) {
      assert_true (node_opens (other, "job-2"));
      assert_false (node_opens (other, "job-3"));
      assert_string_equal (node_poll (other, "job-3"), "queued");
      hr_follow_reset (other->core);
      node_run (other, 3);
    }
    node_free (other);
    node_free (n);
    ledger_free (l);
  }
}

/* An awaited job whose record was never seen counts as not done, and keeps nobody from asking. */
static void
an_unknown_awaited_job_is_not_done (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
  json_t *o = json_loads (ledger_job (l, "job-1"), 0, NULL);
  json_object_set_new (o, "a", json_pack ("[s]", "job-77"));
  g_autofree char *text = hr_json_take_text (o);
  l->epoch++;
  ledger_set (l, "h/j/job-2", text);
  node_run (n, 2);
  assert_false (node_opens (n, "job-2"));
  assert_string_equal (node_poll (n, "job-2"), "queued");
  assert_string_equal (node_poll (n, "job-77"), "unknown");
  ledger_done (l, "job-77");
  node_run (n, 2);
  assert_true (node_opens (n, "job-2"));
  node_free (n);
  ledger_free (l);
}

/* A machine that is up, with one task of the job assigned to it: what no plan does while the job
 * waits. */
static HrTask *
misplace (LoneNode *n, HrJob *j)
{
  hr_task_assign (n->core, j, 0, node_machine (n), 1);
  return &j->tasks[0];
}

/* Whatever else goes wrong, nothing is recorded of a job that waits. */
static void
no_assignment_is_recorded (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *j = hr_job_find (n->core, "job-2");
  const HrTask *t = misplace (n, j);
  node_run (n, 3);
  assert_int_equal (t->state, HR_T_ASSIGNING);
  assert_null (strstr (ledger_job (l, "job-2"), "m-1"));
  ledger_done (l, "job-1");
  node_run (n, 1);
  hr_ledger_mark (n->core, j, 0);
  node_run (n, 1);
  assert_non_null (strstr (ledger_job (l, "job-2"), "m-1"));
  node_free (n);
  ledger_free (l);
}

/* How many orders the machine gets with the answer to its next report. */
static guint
orders (LoneNode *n, guint tally)
{
  char *report = g_strdup_printf (
      "{\"rockhand\":\"m-1\",\"addr\":\"10.1.0.1:9000\",\"hull\":\"g8\",\"quarry\":\"z0\","
      "\"loaners\":false,\"tenure\":1,\"tally\":%u,\"baton\":1,\"warning_s\":null,\"pieces\":[]}",
      tally);
  assert_int_equal (node_ask (n, HR_POST, "/hello", report), 200);
  return json_array_size (json_object_get (n->body, "orders"));
}

/* Nor is it launched, though a record should name a machine for it. */
static void
no_launch_is_ordered (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrTask *t = misplace (n, hr_job_find (n->core, "job-2"));
  t->state = HR_T_BOUND;
  assert_int_equal (orders (n, 1), 0);
  assert_int_equal (orders (n, 2), 0);
  ledger_done (l, "job-1");
  node_run (n, 1);
  assert_true (orders (n, 3) > 0); /* its other task is planned by now, too */
  node_free (n);
  ledger_free (l);
}

/* ---- deadline and rank ---- */

#define LAST_STEP ",\"due_s\":500,\"rank\":\"urgent\""

static void
urgency_flows_up_and_back (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *first = hr_job_find (n->core, "job-1"), *second = hr_job_find (n->core, "job-2");
  double own = first->deadline;
  assert_int_equal (first->rank, HR_LOW);
  node_run (n, 30);
  assert_int_equal (node_submit (n, "job-3", "[\"job-2\"]", ",\"due_s\":60,\"rank\":\"urgent\""),
                    201);
  HrJob *last = hr_job_find (n->core, "job-3");
  assert_int_equal (last->rank, HR_URGENT);
  assert_int_equal (second->rank, HR_URGENT);
  assert_int_equal (first->rank, HR_URGENT);
  assert_float_equal (last->deadline, last->submitted + 60, 1e-3);
  assert_float_equal (second->deadline, last->deadline - 20, 1e-3);
  assert_float_equal (first->deadline, last->deadline - 40, 1e-3);
  assert_true (first->deadline < own);
  hr_follow_reset (n->core);
  node_run (n, 3);
  assert_int_equal (first->rank, HR_URGENT);
  assert_float_equal (first->deadline, last->deadline - 40, 1e-3);
  /* Nobody needs it urgently any more. */
  assert_int_equal (node_cancel (n, "job-3"), 200);
  assert_int_equal (second->rank, HR_LOW);
  assert_int_equal (first->rank, HR_LOW);
  assert_float_equal (first->deadline, own, 1e-3);
  node_free (n);
  ledger_free (l);
}

/* The end of a job that others await is recorded before other ends: they start after it. */
static void
awaited_ends_go_first (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  assert_int_equal (node_submit (n, "job-3", NULL, NULL), 201);
  HrMachine *m = node_machine (n);
  static const char *const ids[] = {"job-1", "job-3"};
  for (guint i = 0; i < 4; i++)
    hr_task_assign (n->core, hr_job_find (n->core, ids[i / 2]), i % 2, m, 1);
  node_run (n, 2);
  n->core->write_bucket.tokens = -1e6; /* nothing leaves for a while */
  for (guint i = 0; i < 4; i++)
    hr_task_done (n->core, hr_job_find (n->core, ids[i / 2]), i % 2);
  node_run (n, 0.1);
  assert_int_equal (g_queue_get_length (&n->core->txns[HR_TXN_LAUNCH]), 1);
  assert_int_equal (g_queue_get_length (&n->core->txns[HR_TXN_BOOKS]), 1);
  node_free (n);
  ledger_free (l);
}

/* Whose tasks stand first in the machine's list, after a pass. */
static const char *
first_in_list (LoneNode *n, const HrMachine *m)
{
  n->core->plan_dirty = TRUE;
  node_run (n, 2);
  assert_true (m->list->len > 1);
  return ((HrJob *)n->core->jobs->pdata[g_array_index (m->list, HrRef, 0).job])->id;
}

/* A deadline that moves while tasks stand in a list moves them in it. */
static void
lists_stay_in_order (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, ",\"due_s\":900,\"rank\":\"low\""), 201);
  assert_int_equal (node_submit (n, "job-2", NULL, ",\"due_s\":800,\"rank\":\"low\""), 201);
  hr_job_find (n->core, "job-1")->spec.cpus = 12; /* the whole machine, for each task */
  hr_job_find (n->core, "job-2")->spec.cpus = 12;
  const HrMachine *m = node_machine (n);
  assert_string_equal (first_in_list (n, m), "job-2");
  assert_int_equal (node_submit (n, "job-3", "[\"job-1\"]", ",\"due_s\":60,\"rank\":\"low\""), 201);
  assert_string_equal (first_in_list (n, m), "job-1");
  for (guint i = 1; i < m->list->len; i++) {
    const HrJob *before = n->core->jobs->pdata[g_array_index (m->list, HrRef, i - 1).job];
    const HrJob *after = n->core->jobs->pdata[g_array_index (m->list, HrRef, i).job];
    assert_true (before->deadline <= after->deadline);
  }
  node_free (n);
  ledger_free (l);
}

/* Machines wanted while the first step runs for so long, a boot takes 20 s, and the next step's
 * two tasks each need a machine. */
static guint
wanted_ahead (const char *last_step, double runs_s)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (node_submit (n, "job-1", NULL, ",\"due_s\":900,\"rank\":\"low\""), 201);
  HrJob *j = hr_job_find (n->core, "job-1");
  HrMachine *m = node_machine (n);
  j->spec.estimate = runs_s;
  for (guint i = 0; i < j->ntasks; i++) {
    hr_task_assign (n->core, j, i, m, 1);
    j->tasks[i].ran_at = n->now;
  }
  node_run (n, 1);
  assert_int_equal (node_submit (n, "job-2", "[\"job-1\"]", last_step), 201);
  hr_job_find (n->core, "job-2")->spec.cpus = 12;
  node_run (n, 3);
  guint wanted = 0; /* they stay wanted: the cloud answers nothing */
  for (guint i = 0; i < n->core->wants->len; i++)
    wanted += g_array_index (n->core->wants, HrWant, i).count;
  node_free (n);
  ledger_free (l);
  return wanted;
}

static void
machines_are_wanted_a_boot_ahead (void **state)
{
  assert_int_equal (wanted_ahead (",\"due_s\":45,\"rank\":\"low\"", 20), 2);
  assert_int_equal (wanted_ahead (",\"due_s\":900,\"rank\":\"low\"", 20), 0); /* it has time */
  assert_int_equal (wanted_ahead (",\"due_s\":45,\"rank\":\"low\"", 500), 0); /* no end in sight */
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_job_opens_when_the_last_one_is_done),
      cmocka_unit_test (done_means_recorded),
      cmocka_unit_test (a_later_owner_opens_the_same_jobs),
      cmocka_unit_test (an_unknown_awaited_job_is_not_done),
      cmocka_unit_test (no_assignment_is_recorded),
      cmocka_unit_test (no_launch_is_ordered),
      cmocka_unit_test (urgency_flows_up_and_back),
      cmocka_unit_test (lists_stay_in_order),
      cmocka_unit_test (awaited_ends_go_first),
      cmocka_unit_test (machines_are_wanted_a_boot_ahead),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
