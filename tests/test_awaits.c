/* Jobs that await others, at nodes whose state service is played here: what is refused and why,
 * what is derived from the records alone, in any order of reading, and when a job gets work. */
#include "sim/lone_node.h"
#include "protocol/jsonx.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

/* Submits a job with these fields beside the usual ones. */
static int
submit (LoneNode *n, const char *id, const char *awaits, const char *more)
{
  return node_ask (
      n, HR_POST, "/v1/jobs",
      g_strdup_printf ("{\"name_id\":\"%s\",\"jobclass\":\"k\",\"crew\":\"crew\","
                       "\"shape\":\"batch\",\"pieces\":2,\"vcpus\":1,\"accelerators\":0,"
                       "\"memory_gb\":1,\"bundle\":\"i\",\"size_gb\":1,\"hulls\":null,"
                       "\"quarry\":null,\"together\":false,\"apart\":false,"
                       "\"loaners\":false,\"guess_s\":20,\"cairn_s\":0,\"stash_s\":0%s%s%s}",
                       id, awaits ? ",\"awaits\":" : "", awaits ? awaits : "",
                       more ? more : ",\"due_s\":null,\"rank\":\"low\""));
}

static const char *
poll (LoneNode *n, const char *id)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  int status = node_ask (n, HR_GET, path, NULL);
  return status == 200 ? hr_json_str (n->body, "stance") : status == 404 ? "unknown" : "none";
}

static int
cancel (LoneNode *n, const char *id)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, "/abort", NULL);
  return node_ask (n, HR_POST, path, NULL);
}

static LoneNode *
node_up (Ledger *l)
{
  LoneNode *n = node_new (l, "");
  node_run (n, 5);
  assert_true (n->core->leads);
  return n;
}

static gboolean
open_here (LoneNode *n, const char *id)
{
  const HrJob *j = hr_job_find (n->core, id);
  for (guint i = 0; j && i < n->core->open->len; i++)
    if (g_array_index (n->core->open, guint32, i) == j->idx)
      return TRUE;
  return FALSE;
}

/* The job's record, as if its last task had ended. */
static void
set_done (Ledger *l, const char *id)
{
  g_autofree char *path = g_strconcat ("h/j/", id, NULL);
  l->epoch++;
  ledger_set (l, path, "{\"w\":\"x.1\",\"s\":1,\"n\":2,\"d\":2}");
}

/* ---- submissions ---- */

static void
named_jobs_are_checked (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (submit (n, "job-2", "[]", NULL), 201);
  assert_int_equal (submit (n, "job-3", "null", NULL), 201);
  assert_null (strstr (ledger_job (l, "job-2"), "\"a\":"));
  assert_int_equal (submit (n, "job-4", "[\"job-9\"]", NULL), 422);
  assert_non_null (strstr (hr_json_str (n->body, "error"), "job-9"));
  assert_int_equal (submit (n, "job-4", "[\"job-1\",\"job-4\"]", NULL), 422);
  assert_null (ledger_job (l, "job-4"));
  assert_string_equal (poll (n, "job-4"), "unknown");
  assert_string_equal (poll (n, "job-9"), "unknown");
  assert_int_equal (submit (n, "job-5", "[\"job-1\",\"job-2\",\"job-1\"]", NULL), 201);
  assert_non_null (strstr (ledger_job (l, "job-5"), "\"a\":[\"job-1\",\"job-2\"]"));
  /* A repeat is compared by its id alone. */
  assert_int_equal (submit (n, "job-5", "[\"job-9\"]", NULL), 200);
  node_free (n);
  ledger_free (l);
}

static void
unknown_jobs_cannot_be_judged_in_an_outage (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
  l->down = TRUE;
  assert_int_equal (submit (n, "job-2", "[\"job-9\"]", NULL), 503);
  l->down = FALSE;
  node_run (n, 10);
  /* Accepted elsewhere just now: a reading finds it. */
  g_autofree char *text = g_strdup (ledger_job (l, "job-1"));
  l->epoch++;
  ledger_set (l, "h/j/job-9", text);
  assert_int_equal (submit (n, "job-2", "[\"job-9\"]", NULL), 201);
  node_free (n);
  ledger_free (l);
}

static char *
many_ids (guint n)
{
  GString *s = g_string_new ("[");
  for (guint i = 0; i < n; i++)
    g_string_append_printf (s, "%s\"job-%06u\"", i ? "," : "", i);
  g_string_append_c (s, ']');
  return g_string_free (s, FALSE);
}

/* The smaller of today's and the announced limit bounds what a job may await. */
static void
records_have_room (void **state)
{
  static const char *const limits[] = {"", ",\"next\":{\"value_kb\":2}"};
  guint most[2] = {0, 0};
  for (guint k = 0; k < 2; k++) {
    Ledger *l = ledger_new ();
    LoneNode *n = node_new (l, limits[k]);
    node_run (n, 5);
    for (guint i = 0; i < 320; i++) {
      g_autofree char *id = g_strdup_printf ("job-%06u", i);
      assert_int_equal (submit (n, id, NULL, NULL), 201);
    }
    for (guint i = 10; i <= 320; i += 10) {
      g_autofree char *id = g_strdup_printf ("job-n%u", i), *ids = many_ids (i);
      int status = submit (n, id, ids, NULL);
      assert_true (status == 201 || status == 400);
      if (status == 400)
        assert_non_null (strstr (hr_json_str (n->body, "error"), "awaits"));
      if (status == 201) {
        assert_true (strlen (ledger_job (l, id)) <= (k ? 2048 : 4096));
        assert_true (most[k] == i - 10); /* never one that is larger than a refused one */
        most[k] = i;
      }
    }
    node_free (n);
    ledger_free (l);
  }
  assert_true (most[0] >= 250 && most[0] < 320);
  assert_true (most[1] >= 90 && most[1] < 160);
}

/* ---- what is derived ---- */

/* A pipeline: each awaits the one before. */
static void
submit_chain (LoneNode *n, guint from, guint to)
{
  for (guint i = from; i < to; i++) {
    g_autofree char *id = g_strdup_printf ("job-c%u", i);
    g_autofree char *awaits = i ? g_strdup_printf ("[\"job-c%u\"]", i - 1) : NULL;
    assert_int_equal (submit (n, id, awaits, NULL), 201);
  }
}

/* The epoch of the change that withdrew the job. */
static guint64
withdrawn_at (const Ledger *l, const char *path)
{
  for (guint i = 0; i < l->log->len; i++) {
    const Change *change = &g_array_index (l->log, Change, i);
    if (strcmp (change->path, path) == 0 && strstr (change->text, "\"s\":2"))
      return change->stamp;
  }
  return 0;
}

#define CHAIN 600

static void
a_cancellation_takes_a_chain_along (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  submit_chain (n, 0, CHAIN);
  assert_int_equal (cancel (n, "job-c0"), 200);
  guint64 told = withdrawn_at (l, "h/j/job-c0");
  assert_true (told > 0);
  for (guint i = 0; i < CHAIN; i += 23) {
    g_autofree char *id = g_strdup_printf ("job-c%u", i);
    assert_string_equal (poll (n, id), "withdrawn");
    if (i)
      assert_non_null (strstr (hr_json_str (n->body, "reason"), "job-c0"));
  }
  assert_int_equal (cancel (n, "job-c99"), 200);
  assert_string_equal (hr_json_str (n->body, "stance"), "withdrawn");
  assert_int_equal (submit (n, "job-late", "[\"job-c599\"]", NULL), 201);
  assert_string_equal (hr_json_str (n->body, "stance"), "withdrawn");
  /* Nodes that come later and lead nothing: whatever the order in which they read. */
  for (guint k = 0; k < 2; k++) {
    Ledger *past = ledger_new (); /* without what the leader wrote since */
    for (guint i = 0; i < l->log->len; i++) {
      const Change *change = &g_array_index (l->log, Change, i);
      past->epoch = change->stamp;
      if (change->stamp <= told || strstr (change->path, "job-late"))
        ledger_set (past, change->path, change->text);
    }
    past->backwards = k;
    assert_non_null (strstr (ledger_job (past, "job-c599"), "\"s\":0"));
    LoneNode *other = node_new (past, "");
    node_run (other, 1.5);
    assert_string_equal (poll (other, "job-c599"), "withdrawn");
    assert_string_equal (poll (other, "job-late"), "withdrawn");
    assert_string_equal (poll (other, "job-c1"), "withdrawn");
    node_free (other);
    ledger_free (past);
  }
  /* In the end every record says so by itself. */
  node_run (n, 120);
  assert_null (strstr (ledger_job (l, "job-c599"), "\"j\":"));
  assert_null (strstr (ledger_job (l, "job-late"), "\"j\":"));
  LoneNode *last = node_new (l, "");
  node_run (last, 3);
  assert_string_equal (poll (last, "job-c300"), "withdrawn");
  assert_non_null (strstr (hr_json_str (last->body, "reason"), "job-c0"));
  node_free (last);
  node_free (n);
  ledger_free (l);
}

#define BREADTH 3000

static void
a_cancellation_takes_thousands_along (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (submit (n, "job-r", NULL, NULL), 201);
  g_autofree char *root = g_strdup (ledger_job (l, "job-r"));
  for (guint i = 0; i < BREADTH; i++) { /* as if other nodes had accepted them */
    g_autofree char *path = g_strdup_printf ("h/j/job-b%u", i);
    json_t *o = json_loads (root, 0, NULL);
    json_object_set_new (o, "a", json_pack ("[s]", "job-r"));
    g_autofree char *text = hr_json_take_text (o);
    l->epoch++;
    ledger_set (l, path, text);
  }
  assert_string_equal (poll (n, "job-b2999"), "queued");
  assert_false (open_here (n, "job-b2999"));
  assert_int_equal (cancel (n, "job-r"), 200);
  guint64 before = l->epoch;
  assert_string_equal (poll (n, "job-b2999"), "withdrawn");
  assert_string_equal (poll (n, "job-b0"), "withdrawn");
  assert_true (l->epoch - before < 20); /* told before any of them was written */
  node_free (n);
  ledger_free (l);
}

/* ---- readiness ---- */

static void
a_job_opens_when_the_last_one_is_done (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (submit (n, "job-2", NULL, NULL), 201);
  assert_int_equal (submit (n, "job-3", "[\"job-1\",\"job-2\"]", NULL), 201);
  assert_true (open_here (n, "job-1"));
  assert_false (open_here (n, "job-3"));
  assert_string_equal (poll (n, "job-3"), "queued");
  assert_non_null (strstr (hr_json_str (n->body, "reason"), "2 jobs to be done: job-1, job-2"));
  HrJob *j = hr_job_find (n->core, "job-3");
  assert_false (j->counted);
  double since = n->now;
  set_done (l, "job-2");
  node_run (n, 2);
  assert_false (open_here (n, "job-3"));
  node_run (n, 40);
  set_done (l, "job-1");
  node_run (n, 2);
  assert_true (open_here (n, "job-3"));
  assert_true (j->counted); /* it arrives now */
  assert_true (j->deadline - 1e9 > since + 40 + 50 && isfinite (j->deadline));
  /* A job that names what is done need not wait at all. */
  assert_int_equal (submit (n, "job-4", "[\"job-1\"]", NULL), 201);
  assert_true (open_here (n, "job-4"));
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
    assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
    assert_int_equal (submit (n, "job-2", "[\"job-1\"]", NULL), 201);
    assert_int_equal (submit (n, "job-3", "[\"job-2\"]", NULL), 201);
    set_done (l, "job-1");
    l->backwards = k;
    LoneNode *other = node_new (l, "");
    node_run (other, 5);
    for (guint again = 0; again < 2; again++) {
      assert_true (open_here (other, "job-2"));
      assert_false (open_here (other, "job-3"));
      assert_string_equal (poll (other, "job-3"), "queued");
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
  assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
  json_t *o = json_loads (ledger_job (l, "job-1"), 0, NULL);
  json_object_set_new (o, "a", json_pack ("[s]", "job-77"));
  g_autofree char *text = hr_json_take_text (o);
  l->epoch++;
  ledger_set (l, "h/j/job-2", text);
  node_run (n, 2);
  assert_false (open_here (n, "job-2"));
  assert_string_equal (poll (n, "job-2"), "queued");
  assert_string_equal (poll (n, "job-77"), "unknown");
  set_done (l, "job-77");
  node_run (n, 2);
  assert_true (open_here (n, "job-2"));
  node_free (n);
  ledger_free (l);
}

static HrMachine *
machine_up (LoneNode *n)
{
  HrMachine *m = hr_machine_get (n->core, "m-1");
  m->state = HR_M_UP;
  m->session = 1;
  m->heard_at = n->now;
  hr_machine_describe (m, &g_array_index (n->core->types, HrType, 0), HR_NONE, FALSE);
  hr_fleet_add (n->core, m);
  return m;
}

/* A machine that is up, with one task of the job assigned to it: what no plan does while the job
 * waits. */
static HrTask *
misplace (LoneNode *n, HrJob *j)
{
  hr_task_assign (n->core, j, 0, machine_up (n), 1);
  return &j->tasks[0];
}

/* Whatever else goes wrong, nothing is recorded of a job that waits. */
static void
no_assignment_is_recorded (void **state)
{
  Ledger *l = ledger_new ();
  LoneNode *n = node_up (l);
  assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *j = hr_job_find (n->core, "job-2");
  const HrTask *t = misplace (n, j);
  node_run (n, 3);
  assert_int_equal (t->state, HR_T_ASSIGNING);
  assert_null (strstr (ledger_job (l, "job-2"), "m-1"));
  set_done (l, "job-1");
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
  assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrTask *t = misplace (n, hr_job_find (n->core, "job-2"));
  t->state = HR_T_BOUND;
  assert_int_equal (orders (n, 1), 0);
  assert_int_equal (orders (n, 2), 0);
  set_done (l, "job-1");
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
  assert_int_equal (submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *first = hr_job_find (n->core, "job-1"), *second = hr_job_find (n->core, "job-2");
  double own = first->deadline;
  assert_int_equal (first->rank, HR_LOW);
  node_run (n, 30);
  assert_int_equal (submit (n, "job-3", "[\"job-2\"]", ",\"due_s\":60,\"rank\":\"urgent\""), 201);
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
  assert_int_equal (cancel (n, "job-3"), 200);
  assert_int_equal (second->rank, HR_LOW);
  assert_int_equal (first->rank, HR_LOW);
  assert_float_equal (first->deadline, own, 1e-3);
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
  assert_int_equal (submit (n, "job-1", NULL, ",\"due_s\":900,\"rank\":\"low\""), 201);
  HrJob *j = hr_job_find (n->core, "job-1");
  HrMachine *m = machine_up (n);
  j->spec.estimate = runs_s;
  for (guint i = 0; i < j->ntasks; i++) {
    hr_task_assign (n->core, j, i, m, 1);
    j->tasks[i].ran_at = n->now;
  }
  node_run (n, 1);
  assert_int_equal (submit (n, "job-2", "[\"job-1\"]", last_step), 201);
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
      cmocka_unit_test (named_jobs_are_checked),
      cmocka_unit_test (unknown_jobs_cannot_be_judged_in_an_outage),
      cmocka_unit_test (records_have_room),
      cmocka_unit_test (a_cancellation_takes_a_chain_along),
      cmocka_unit_test (a_cancellation_takes_thousands_along),
      cmocka_unit_test (a_job_opens_when_the_last_one_is_done),
      cmocka_unit_test (a_later_owner_opens_the_same_jobs),
      cmocka_unit_test (an_unknown_awaited_job_is_not_done),
      cmocka_unit_test (no_assignment_is_recorded),
      cmocka_unit_test (no_launch_is_ordered),
      cmocka_unit_test (urgency_flows_up_and_back),
      cmocka_unit_test (machines_are_wanted_a_boot_ahead),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
