/* Jobs that await others, at a node whose state service is played: when they get work, what guards
 * that, and what those before them get from them. */
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "coordination/command.h"
#include "coordination/core.h"
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/task_lifecycle.h"
#include "protocol/json_util.h"
#include "sim/single_node.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* ---- readiness ---- */

static void
a_job_opens_when_the_last_one_is_done (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-3", "[\"job-1\",\"job-2\"]", NULL), 201);
  assert_true (single_node_lists_open (n, "job-1"));
  assert_false (single_node_lists_open (n, "job-3"));
  assert_string_equal (single_node_poll (n, "job-3"), "queued");
  assert_non_null (strstr (hr_json_str (n->body, "reason"), "2 jobs to be done: job-1, job-2"));
  HrJob *job = hr_job_find (&n->core->store.tables, "job-3");
  assert_false (job->run.arrival_counted);
  double since = n->now;
  fake_store_finish_job (store, "job-2");
  single_node_run (n, 2);
  assert_false (single_node_lists_open (n, "job-3"));
  single_node_run (n, 40);
  fake_store_finish_job (store, "job-1");
  single_node_run (n, 2);
  assert_true (single_node_lists_open (n, "job-3"));
  assert_true (job->run.arrival_counted); /* it arrives now */
  assert_true (job->plan.deadline - 1e9 > since + 40 + 50 && isfinite (job->plan.deadline));
  /* A job that names what is done need not wait at all. */
  assert_int_equal (single_node_submit (n, "job-4", "[\"job-1\"]", NULL), 201);
  assert_true (single_node_lists_open (n, "job-4"));
  single_node_free (n);
  fake_store_free (store);
}

/* Its user may still cancel what its tasks have done but no record says: that decides. */
static void
done_means_recorded (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *first = hr_job_find (&n->core->store.tables, "job-1"),
        *second = hr_job_find (&n->core->store.tables, "job-2");
  HrMachine *machine = single_node_add_machine (n);
  for (guint i = 0; i < first->n_tasks; i++)
    hr_task_assign (n->core, first, i, machine, 1);
  single_node_run (n, 1);
  store->down = TRUE;
  for (guint i = 0; i < first->n_tasks; i++)
    hr_task_done (n->core, first, i);
  single_node_run (n, 1);
  assert_int_equal (first->n_done, first->n_tasks);
  hr_job_open (n->core, second);
  assert_false (single_node_lists_open (n, "job-2"));
  store->down = FALSE;
  single_node_run (n, 5);
  assert_string_equal (single_node_poll (n, "job-1"), "done");
  assert_true (single_node_lists_open (n, "job-2"));
  single_node_free (n);
  fake_store_free (store);
}

/* The same after all was read anew, by a leader that comes later, and with the newest records
 * first. */
static void
a_later_leader_opens_the_same_jobs (void **state G_GNUC_UNUSED)
{
  for (guint k = 0; k < 2; k++) {
    FakeStore *store = fake_store_new ();
    SingleNode *n = single_node_leading (store);
    assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
    assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
    assert_int_equal (single_node_submit (n, "job-3", "[\"job-2\"]", NULL), 201);
    fake_store_finish_job (store, "job-1");
    store->newest_first = k;
    SingleNode *other = single_node_new (store, "");
    single_node_run (other, 5);
    for (guint again = 0; again < 2; again++) {
      assert_true (single_node_lists_open (other, "job-2"));
      assert_false (single_node_lists_open (other, "job-3"));
      assert_string_equal (single_node_poll (other, "job-3"), "queued");
      hr_replica_reset (&other->core->store);
      single_node_run (other, 3);
    }
    single_node_free (other);
    single_node_free (n);
    fake_store_free (store);
  }
}

/* An awaited job whose record was never seen counts as not done, and keeps nobody from asking. */
static void
an_unknown_awaited_job_is_not_done (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  json_t *object = json_loads (fake_store_job_record (store, "job-1"), 0, NULL);
  json_object_set_new (object, "a", json_pack ("[s]", "job-77"));
  g_autofree char *text = hr_json_take_text (object);
  store->epoch++;
  fake_store_set (store, "h/j/job-2", text);
  single_node_run (n, 2);
  assert_false (single_node_lists_open (n, "job-2"));
  assert_string_equal (single_node_poll (n, "job-2"), "queued");
  assert_string_equal (single_node_poll (n, "job-77"), "unknown");
  fake_store_finish_job (store, "job-77");
  single_node_run (n, 2);
  assert_true (single_node_lists_open (n, "job-2"));
  single_node_free (n);
  fake_store_free (store);
}

/* A machine that is up, with one task of the job assigned to it: what no plan does while the job
 * waits. */
static HrTask *
misplace (SingleNode *n, HrJob *job)
{
  hr_task_assign (n->core, job, 0, single_node_add_machine (n), 1);
  return &job->tasks[0];
}

/* Whatever else goes wrong, nothing is recorded of a job that waits. */
static void
no_assignment_is_recorded (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *job = hr_job_find (&n->core->store.tables, "job-2");
  const HrTask *task = misplace (n, job);
  single_node_run (n, 3);
  assert_int_equal (task->state, HR_TASK_ASSIGNING);
  assert_null (strstr (fake_store_job_record (store, "job-2"), "m-1"));
  fake_store_finish_job (store, "job-1");
  single_node_run (n, 1);
  hr_record_writer_mark (&n->core->store, job, 0);
  single_node_run (n, 1);
  assert_non_null (strstr (fake_store_job_record (store, "job-2"), "m-1"));
  single_node_free (n);
  fake_store_free (store);
}

/* How many orders the machine gets with the answer to its next report. */
static guint
orders (SingleNode *n, guint tally)
{
  char *report = g_strdup_printf (
      "{\"rockhand\":\"m-1\",\"addr\":\"10.1.0.1:9000\",\"hull\":\"g8\",\"quarry\":\"z0\","
      "\"loaners\":false,\"tenure\":1,\"tally\":%u,\"baton\":1,\"warning_s\":null,\"pieces\":[]}",
      tally);
  assert_int_equal (single_node_request (n, HR_POST, "/hello", report), 200);
  return json_array_size (json_object_get (n->body, "orders"));
}

/* Nor is it launched, though a record should name a machine for it. */
static void
no_launch_is_ordered (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrTask *task = misplace (n, hr_job_find (&n->core->store.tables, "job-2"));
  task->state = HR_TASK_BOUND;
  assert_int_equal (orders (n, 1), 0);
  assert_int_equal (orders (n, 2), 0);
  fake_store_finish_job (store, "job-1");
  single_node_run (n, 1);
  assert_true (orders (n, 3) > 0); /* its other task is planned by now, too */
  single_node_free (n);
  fake_store_free (store);
}

/* ---- deadline and priority ---- */

static guint circles_warned; /* counted from the log */

static void
count_circles (const char *domain G_GNUC_UNUSED, GLogLevelFlags level G_GNUC_UNUSED,
               const char *message, gpointer data G_GNUC_UNUSED)
{
  if (strstr (message, "awaits itself"))
    circles_warned++;
}

#define LAST_STEP ",\"due_s\":500,\"rank\":\"urgent\""

static void
urgency_flows_up_and_back (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *first = hr_job_find (&n->core->store.tables, "job-1"),
        *second = hr_job_find (&n->core->store.tables, "job-2");
  double own = first->plan.deadline;
  assert_int_equal (first->plan.priority, HR_PRIORITY_LOW);
  single_node_run (n, 30);
  assert_int_equal (
      single_node_submit (n, "job-3", "[\"job-2\"]", ",\"due_s\":60,\"rank\":\"urgent\""), 201);
  HrJob *last = hr_job_find (&n->core->store.tables, "job-3");
  assert_int_equal (last->plan.priority, HR_PRIORITY_URGENT);
  assert_int_equal (second->plan.priority, HR_PRIORITY_URGENT);
  assert_int_equal (first->plan.priority, HR_PRIORITY_URGENT);
  assert_float_equal (last->plan.deadline, last->submitted_at + 60, 1e-3);
  assert_float_equal (second->plan.deadline, last->plan.deadline - 20, 1e-3);
  assert_float_equal (first->plan.deadline, last->plan.deadline - 40, 1e-3);
  assert_true (first->plan.deadline < own);
  hr_replica_reset (&n->core->store);
  single_node_run (n, 3);
  assert_int_equal (first->plan.priority, HR_PRIORITY_URGENT);
  assert_float_equal (first->plan.deadline, last->plan.deadline - 40, 1e-3);
  /* Nobody needs it urgently any more. */
  assert_int_equal (single_node_cancel (n, "job-3"), 200);
  assert_int_equal (second->plan.priority, HR_PRIORITY_LOW);
  assert_int_equal (first->plan.priority, HR_PRIORITY_LOW);
  assert_float_equal (first->plan.deadline, own, 1e-3);
  single_node_free (n);
  fake_store_free (store);
}

/* A drawn pipeline as records: each job awaits up to three of the earlier ones. Of the jobs that
 * nobody awaits, some have a deadline and a priority. */
typedef struct {
  guint n;
  gboolean awaits[40][40];
  double due[40]; /* 0: none */
  HrPriority rank[40];
} Drawn;

#define DRAWN_SEED 4711
#define DRAWN_JOBS 40
#define DRAWN_ESTIMATE_S 20.0

static void
draw_pipeline (GRand *rand, Drawn *drawn)
{
  memset (drawn, 0, sizeof *drawn);
  drawn->n = DRAWN_JOBS;
  for (guint i = 0; i < drawn->n; i++) {
    for (guint k = g_rand_int_range (rand, 0, 4); i && k > 0; k--)
      drawn->awaits[i][g_rand_int_range (rand, 0, i)] = TRUE;
    drawn->rank[i] = HR_PRIORITY_LOW;
    if (g_rand_int_range (rand, 0, 4))
      continue;
    drawn->due[i] = g_rand_double_range (rand, 100, 900);
    drawn->rank[i] = g_rand_int_range (rand, HR_PRIORITY_PRODUCTION, HR_PRIORITY_LOW + 1);
  }
}

static void
submit_drawn (SingleNode *n, const Drawn *drawn)
{
  static const char *const priority_names[] = {"production", "urgent", "normal", "low"};
  for (guint i = 0; i < drawn->n; i++) {
    g_autofree char *id = g_strdup_printf ("job-d%02u", i);
    g_autoptr (GString) awaits = g_string_new ("[");
    for (guint k = 0; k < i; k++)
      if (drawn->awaits[i][k])
        g_string_append_printf (awaits, "%s\"job-d%02u\"", awaits->len > 1 ? "," : "", k);
    g_string_append_c (awaits, ']');
    g_autofree char *due =
        drawn->due[i] > 0 ? g_strdup_printf ("%f", drawn->due[i]) : g_strdup ("null");
    g_autofree char *more =
        g_strdup_printf (",\"due_s\":%s,\"rank\":\"%s\"", due, priority_names[drawn->rank[i]]);
    assert_int_equal (single_node_submit (n, id, awaits->str, more), 201);
  }
}

/* Jobs for which `gone` is set were cancelled, with those that await them. */
static void
check_drawn (SingleNode *n, const Drawn *drawn, const gboolean *gone)
{
  double deadline[DRAWN_JOBS];
  HrPriority priority[DRAWN_JOBS];
  for (gint i = drawn->n - 1; i >= 0; i--) {
    g_autofree char *id = g_strdup_printf ("job-d%02d", i);
    const HrJob *job = hr_job_find (&n->core->store.tables, id);
    gboolean ready = TRUE;
    for (gint k = 0; k < i; k++)
      ready = ready && !drawn->awaits[i][k];
    priority[i] = drawn->rank[i];
    deadline[i] = drawn->due[i] > 0 ? job->submitted_at + drawn->due[i]
                  : ready ? job->submitted_at + n->core->policy.default_deadline * DRAWN_ESTIMATE_S
                          : INFINITY;
    for (guint k = i + 1; k < drawn->n; k++)
      if (drawn->awaits[k][i] && !gone[k]) {
        priority[i] = MIN (priority[i], priority[k]);
        deadline[i] = MIN (deadline[i], deadline[k] - DRAWN_ESTIMATE_S);
      }
    if (gone[i])
      continue;
    assert_int_equal (job->plan.priority, priority[i]);
    assert_true (job->plan.deadline == deadline[i] ||
                 fabs (job->plan.deadline - deadline[i]) < 1e-3);
  }
}

static void
urgency_of_drawn_pipelines (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (DRAWN_SEED);
  for (guint round = 0; round < 12; round++) {
    Drawn drawn;
    gboolean gone[DRAWN_JOBS] = {FALSE};
    FakeStore *store = fake_store_new ();
    SingleNode *n = single_node_leading (store);
    draw_pipeline (rand, &drawn);
    submit_drawn (n, &drawn);
    check_drawn (n, &drawn, gone);
    /* A later leader derives the same, whatever the order in which it reads. */
    store->newest_first = round % 2;
    hr_replica_reset (&n->core->store);
    single_node_run (n, 3);
    check_drawn (n, &drawn, gone);
    guint cancelled = g_rand_int_range (rand, DRAWN_JOBS / 2, DRAWN_JOBS);
    g_autofree char *id = g_strdup_printf ("job-d%02u", cancelled);
    assert_int_equal (single_node_cancel (n, id), 200);
    gone[cancelled] = TRUE;
    for (guint i = cancelled; i < drawn.n; i++)
      for (guint k = 0; k < i; k++)
        gone[i] = gone[i] || (drawn.awaits[i][k] && gone[k]);
    check_drawn (n, &drawn, gone);
    single_node_free (n);
    fake_store_free (store);
  }
}

/* Layers in which each job awaits both of the layer before: the number of ways through them
 * doubles with each, and the work must not. */
static void
urgency_of_many_diamonds (void **state G_GNUC_UNUSED)
{
  enum { LAYERS = 60 };
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  for (guint i = 0; i < 2 * LAYERS; i++) {
    g_autofree char *id = g_strdup_printf ("job-l%03u", i);
    g_autofree char *awaits =
        i < 2 ? NULL
              : g_strdup_printf ("[\"job-l%03u\",\"job-l%03u\"]", i / 2 * 2 - 2, i / 2 * 2 - 1);
    gboolean last = i == 2 * LAYERS - 1;
    assert_int_equal (single_node_submit (n, id, awaits, last ? LAST_STEP : NULL), 201);
  }
  const HrJob *first = hr_job_find (&n->core->store.tables, "job-l000"),
              *last = hr_job_find (&n->core->store.tables, "job-l119");
  assert_int_equal (first->plan.priority, HR_PRIORITY_URGENT);
  assert_float_equal (first->plan.deadline, last->plan.deadline - (LAYERS - 1) * DRAWN_ESTIMATE_S,
                      1e-3);
  assert_int_equal (single_node_cancel (n, "job-l119"), 200);
  assert_int_equal (first->plan.priority, HR_PRIORITY_LOW);
  single_node_free (n);
  fake_store_free (store);
}

/* Records that await one another in a circle are no work of this service. They are said to be, and
 * keep nobody busy. */
static void
a_dependency_cycle_is_reported (void **state G_GNUC_UNUSED)
{
  static const char *const ids[] = {"job-x", "job-y", "job-z"};
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, LAST_STEP), 201);
  g_autofree char *record = g_strdup (fake_store_job_record (store, "job-1"));
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++) {
    json_t *object = json_loads (record, 0, NULL);
    json_object_set_new (object, "a", json_pack ("[s]", ids[(i + 1) % G_N_ELEMENTS (ids)]));
    g_autofree char *text = hr_json_take_text (object), *path = g_strconcat ("h/j/", ids[i], NULL);
    store->epoch++;
    fake_store_set (store, path, text);
  }
  guint handler = g_log_set_handler ("hoprock", G_LOG_LEVEL_WARNING, count_circles, NULL);
  single_node_run (n, 2);
  g_log_remove_handler ("hoprock", handler);
  assert_true (circles_warned > 0);
  assert_string_equal (single_node_poll (n, "job-x"), "queued");
  assert_false (single_node_lists_open (n, "job-x"));
  assert_int_equal (single_node_cancel (n, "job-y"), 200);
  assert_string_equal (single_node_poll (n, "job-x"), "withdrawn");
  assert_string_equal (single_node_poll (n, "job-z"), "withdrawn");
  single_node_free (n);
  fake_store_free (store);
}

/* The end of a job that others await is recorded before other ends: they start after it. */
static void
awaited_ends_go_first (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  assert_int_equal (single_node_submit (n, "job-3", NULL, NULL), 201);
  HrMachine *machine = single_node_add_machine (n);
  static const char *const ids[] = {"job-1", "job-3"};
  for (guint i = 0; i < 4; i++)
    hr_task_assign (n->core, hr_job_find (&n->core->store.tables, ids[i / 2]), i % 2, machine, 1);
  single_node_run (n, 2);
  n->core->store.transactions.allowance.tokens = -1e6; /* nothing leaves for a while */
  for (guint i = 0; i < 4; i++)
    hr_task_done (n->core, hr_job_find (&n->core->store.tables, ids[i / 2]), i % 2);
  single_node_run (n, 0.1);
  assert_int_equal (g_queue_get_length (&n->core->store.transactions.queues[HR_TRANSACTION_LAUNCH]),
                    1);
  assert_int_equal (
      g_queue_get_length (&n->core->store.transactions.queues[HR_TRANSACTION_BOOKKEEPING]), 1);
  single_node_free (n);
  fake_store_free (store);
}

/* Whose tasks stand first in the machine's list, after a pass. */
static const char *
first_in_list (SingleNode *n, const HrMachine *machine)
{
  n->core->scheduling.plan_is_stale = TRUE;
  single_node_run (n, 2);
  assert_true (machine->plan.list->len > 1);
  return ((HrJob *)n->core->store.tables.jobs
              ->pdata[g_array_index (machine->plan.list, HrTaskRef, 0).job])
      ->id;
}

/* A deadline that moves while tasks stand in a list moves them in it. */
static void
lists_stay_in_order (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, ",\"due_s\":900,\"rank\":\"low\""), 201);
  assert_int_equal (single_node_submit (n, "job-2", NULL, ",\"due_s\":800,\"rank\":\"low\""), 201);
  hr_job_find (&n->core->store.tables, "job-1")->spec.cpus =
      12; /* the whole machine, for each task */
  hr_job_find (&n->core->store.tables, "job-2")->spec.cpus = 12;
  const HrMachine *machine = single_node_add_machine (n);
  assert_string_equal (first_in_list (n, machine), "job-2");
  assert_int_equal (
      single_node_submit (n, "job-3", "[\"job-1\"]", ",\"due_s\":60,\"rank\":\"low\""), 201);
  assert_string_equal (first_in_list (n, machine), "job-1");
  for (guint i = 1; i < machine->plan.list->len; i++) {
    const HrJob *before =
        n->core->store.tables.jobs->pdata[g_array_index (machine->plan.list, HrTaskRef, i - 1).job];
    const HrJob *after =
        n->core->store.tables.jobs->pdata[g_array_index (machine->plan.list, HrTaskRef, i).job];
    assert_true (before->plan.deadline <= after->plan.deadline);
  }
  single_node_free (n);
  fake_store_free (store);
}

/* Machines wanted while the first step runs for so long, a boot takes 20 s, and the next step's
 * two tasks each need a machine. */
static guint
wanted_ahead (const char *last_step, double runs_s)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, ",\"due_s\":900,\"rank\":\"low\""), 201);
  HrJob *job = hr_job_find (&n->core->store.tables, "job-1");
  HrMachine *machine = single_node_add_machine (n);
  job->spec.estimate_s = runs_s;
  for (guint i = 0; i < job->n_tasks; i++) {
    hr_task_assign (n->core, job, i, machine, 1);
    job->tasks[i].running_since = n->now;
  }
  single_node_run (n, 1);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", last_step), 201);
  hr_job_find (&n->core->store.tables, "job-2")->spec.cpus = 12;
  single_node_run (n, 3);
  guint wanted = 0; /* they stay wanted: the cloud answers nothing */
  for (guint i = 0; i < n->core->scaling.demand->len; i++)
    wanted += g_array_index (n->core->scaling.demand, HrDemand, i).count;
  single_node_free (n);
  fake_store_free (store);
  return wanted;
}

static void
machines_are_wanted_a_boot_ahead (void **state G_GNUC_UNUSED)
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
      cmocka_unit_test (a_later_leader_opens_the_same_jobs),
      cmocka_unit_test (an_unknown_awaited_job_is_not_done),
      cmocka_unit_test (no_assignment_is_recorded),
      cmocka_unit_test (no_launch_is_ordered),
      cmocka_unit_test (urgency_flows_up_and_back),
      cmocka_unit_test (urgency_of_drawn_pipelines),
      cmocka_unit_test (urgency_of_many_diamonds),
      cmocka_unit_test (a_dependency_cycle_is_reported),
      cmocka_unit_test (lists_stay_in_order),
      cmocka_unit_test (awaited_ends_go_first),
      cmocka_unit_test (machines_are_wanted_a_boot_ahead),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
