/* Jobs that depend on other jobs, at one controller with a fake state store: when they open (their
 * tasks may be placed), that none of their tasks is assigned or launched before, and which deadline
 * and priority the jobs they depend on inherit from them. */
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "coordination/command.h"
#include "coordination/core.h"
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/task_lifecycle.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include "sim/single_node.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* ---- readiness ---- */

static void
job_opens_when_its_last_dependency_is_done (void **state G_GNUC_UNUSED)
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
  double submitted_at = n->now;
  fake_store_finish_job (store, "job-2");
  single_node_run (n, 2);
  assert_false (single_node_lists_open (n, "job-3"));
  single_node_run (n, 40);
  fake_store_finish_job (store, "job-1");
  single_node_run (n, 2);
  assert_true (single_node_lists_open (n, "job-3"));
  assert_true (job->run.arrival_counted); /* the job counts as an arrival only now */
  assert_true (job->plan.deadline - 1e9 > submitted_at + 40 + 50 && isfinite (job->plan.deadline));
  /* A job whose dependencies are done on submission opens at once. */
  assert_int_equal (single_node_submit (n, "job-4", "[\"job-1\"]", NULL), 201);
  assert_true (single_node_lists_open (n, "job-4"));
  single_node_free (n);
  fake_store_free (store);
}

/* A dependency counts as done only once its record says so: until then its user may still cancel
 * it, although all its tasks have ended. */
static void
dependency_is_done_once_recorded (void **state G_GNUC_UNUSED)
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

/* A controller that starts later opens the same jobs, in whichever order it reads the records, and
 * again after a second full read of the store. */
static void
later_controller_opens_the_same_jobs (void **state G_GNUC_UNUSED)
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
    for (guint read = 0; read < 2; read++) {
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

/* A dependency whose record has not been read counts as not done. Status requests are answered all
 * the same. */
static void
unknown_dependency_is_not_done (void **state G_GNUC_UNUSED)
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

/* Assigns the job's first task to a machine that is up, which the planner never does while the job
 * waits for its dependencies. */
static HrTask *
assign_waiting_task (SingleNode *n, HrJob *job)
{
  hr_task_assign (n->core, job, 0, single_node_add_machine (n), 1);
  return &job->tasks[0];
}

/* Guards against a record that assigns a task to a machine while the job still waits for its
 * dependencies, even if a faulty plan has assigned the task. */
static void
waiting_job_records_no_assignment (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *job = hr_job_find (&n->core->store.tables, "job-2");
  const HrTask *task = assign_waiting_task (n, job);
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

/* Sends the machine's next heartbeat, with this sequence number, and returns the number of orders
 * in the reply. */
static guint
send_heartbeat (SingleNode *n, guint sequence)
{
  char *report = g_strdup_printf (
      "{\"rockhand\":\"m-1\",\"addr\":\"10.1.0.1:9000\",\"hull\":\"g8\",\"quarry\":\"z0\","
      "\"loaners\":false,\"tenure\":1,\"tally\":%u,\"baton\":1,\"warning_s\":null,\"pieces\":[]}",
      sequence);
  assert_int_equal (single_node_request (n, HR_POST, "/hello", report), 200);
  return json_array_size (json_object_get (n->body, "orders"));
}

/* Guards against a launch order for a task of a job that still waits for its dependencies, even if
 * the task's record names a machine. */
static void
waiting_job_gets_no_launch_order (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrTask *task = assign_waiting_task (n, hr_job_find (&n->core->store.tables, "job-2"));
  task->state = HR_TASK_BOUND;
  assert_int_equal (send_heartbeat (n, 1), 0);
  assert_int_equal (send_heartbeat (n, 2), 0);
  fake_store_finish_job (store, "job-1");
  single_node_run (n, 1);
  /* By now the planner has assigned the other task as well. */
  assert_true (send_heartbeat (n, 3) > 0);
  single_node_free (n);
  fake_store_free (store);
}

/* ---- deadline and priority ---- */

static guint cycle_warnings; /* dependency cycles reported in the log */

static void
count_cycle_warnings (const char *domain G_GNUC_UNUSED, GLogLevelFlags level G_GNUC_UNUSED,
                      const char *message, gpointer data G_GNUC_UNUSED)
{
  if (strstr (message, "awaits itself"))
    cycle_warnings++;
}

#define URGENT_DUE_IN_500_S ",\"due_s\":500,\"rank\":\"urgent\""

static void
dependencies_inherit_deadline_and_priority (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, NULL), 201);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", NULL), 201);
  HrJob *first = hr_job_find (&n->core->store.tables, "job-1"),
        *second = hr_job_find (&n->core->store.tables, "job-2");
  double own_deadline = first->plan.deadline;
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
  assert_true (first->plan.deadline < own_deadline);
  hr_replica_reset (&n->core->store);
  single_node_run (n, 3);
  assert_int_equal (first->plan.priority, HR_PRIORITY_URGENT);
  assert_float_equal (first->plan.deadline, last->plan.deadline - 40, 1e-3);
  /* After the cancellation no urgent job depends on them any more. */
  assert_int_equal (single_node_cancel (n, "job-3"), 200);
  assert_int_equal (second->plan.priority, HR_PRIORITY_LOW);
  assert_int_equal (first->plan.priority, HR_PRIORITY_LOW);
  assert_float_equal (first->plan.deadline, own_deadline, 1e-3);
  single_node_free (n);
  fake_store_free (store);
}

/* A randomly generated pipeline: each job awaits up to three of the earlier ones, and about a
 * quarter of the jobs have a deadline and a priority of their own. */
typedef struct {
  guint n;
  gboolean awaits[40][40];
  double due_s[40]; /* 0: none */
  HrPriority priority[40];
} RandomPipeline;

#define PIPELINE_SEED 4711
#define PIPELINE_JOBS 40
#define JOB_ESTIMATE_S 20.0

static void
pipeline_generate (GRand *rand, RandomPipeline *pipeline)
{
  memset (pipeline, 0, sizeof *pipeline);
  pipeline->n = PIPELINE_JOBS;
  for (guint i = 0; i < pipeline->n; i++) {
    for (guint k = g_rand_int_range (rand, 0, 4); i && k > 0; k--)
      pipeline->awaits[i][g_rand_int_range (rand, 0, i)] = TRUE;
    pipeline->priority[i] = HR_PRIORITY_LOW;
    if (g_rand_int_range (rand, 0, 4))
      continue;
    pipeline->due_s[i] = hr_random_range (rand, 100, 900);
    pipeline->priority[i] = g_rand_int_range (rand, HR_PRIORITY_PRODUCTION, HR_PRIORITY_LOW + 1);
  }
}

static void
pipeline_submit (SingleNode *n, const RandomPipeline *pipeline)
{
  static const char *const priority_names[] = {"production", "urgent", "normal", "low"};
  for (guint i = 0; i < pipeline->n; i++) {
    g_autofree char *id = g_strdup_printf ("job-d%02u", i);
    g_autoptr (GString) awaits = g_string_new ("[");
    for (guint k = 0; k < i; k++)
      if (pipeline->awaits[i][k])
        g_string_append_printf (awaits, "%s\"job-d%02u\"", awaits->len > 1 ? "," : "", k);
    g_string_append_c (awaits, ']');
    g_autofree char *due_json =
        pipeline->due_s[i] > 0 ? g_strdup_printf ("%f", pipeline->due_s[i]) : g_strdup ("null");
    g_autofree char *members = g_strdup_printf (",\"due_s\":%s,\"rank\":\"%s\"", due_json,
                                                priority_names[pipeline->priority[i]]);
    assert_int_equal (single_node_submit (n, id, awaits->str, members), 201);
  }
}

/* Compares every job's deadline and priority with those computed from the jobs that depend on it.
 * Jobs for which `cancelled` is set, and with them their dependents, are left out. */
static void
pipeline_check (SingleNode *n, const RandomPipeline *pipeline, const gboolean *cancelled)
{
  double deadline[PIPELINE_JOBS];
  HrPriority priority[PIPELINE_JOBS];
  for (gint i = pipeline->n - 1; i >= 0; i--) {
    g_autofree char *id = g_strdup_printf ("job-d%02d", i);
    const HrJob *job = hr_job_find (&n->core->store.tables, id);
    gboolean ready = TRUE;
    for (gint k = 0; k < i; k++)
      ready = ready && !pipeline->awaits[i][k];
    priority[i] = pipeline->priority[i];
    deadline[i] = pipeline->due_s[i] > 0 ? job->submitted_at + pipeline->due_s[i]
                  : ready ? job->submitted_at + n->core->policy.default_deadline * JOB_ESTIMATE_S
                          : INFINITY;
    for (guint k = i + 1; k < pipeline->n; k++)
      if (pipeline->awaits[k][i] && !cancelled[k]) {
        priority[i] = MIN (priority[i], priority[k]);
        deadline[i] = MIN (deadline[i], deadline[k] - JOB_ESTIMATE_S);
      }
    if (cancelled[i])
      continue;
    assert_int_equal (job->plan.priority, priority[i]);
    assert_true (job->plan.deadline == deadline[i] ||
                 fabs (job->plan.deadline - deadline[i]) < 1e-3);
  }
}

static void
inheritance_in_random_pipelines (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (PIPELINE_SEED);
  for (guint round = 0; round < 12; round++) {
    RandomPipeline pipeline;
    gboolean cancelled[PIPELINE_JOBS] = {FALSE};
    FakeStore *store = fake_store_new ();
    SingleNode *n = single_node_leading (store);
    pipeline_generate (rand, &pipeline);
    pipeline_submit (n, &pipeline);
    pipeline_check (n, &pipeline, cancelled);
    /* A full read of the store, in either order, yields the same deadlines and priorities. */
    store->newest_first = round % 2;
    hr_replica_reset (&n->core->store);
    single_node_run (n, 3);
    pipeline_check (n, &pipeline, cancelled);
    guint cancelled_index = g_rand_int_range (rand, PIPELINE_JOBS / 2, PIPELINE_JOBS);
    g_autofree char *id = g_strdup_printf ("job-d%02u", cancelled_index);
    assert_int_equal (single_node_cancel (n, id), 200);
    cancelled[cancelled_index] = TRUE;
    for (guint i = cancelled_index; i < pipeline.n; i++)
      for (guint k = 0; k < i; k++)
        cancelled[i] = cancelled[i] || (pipeline.awaits[i][k] && cancelled[k]);
    pipeline_check (n, &pipeline, cancelled);
    single_node_free (n);
    fake_store_free (store);
  }
}

/* Guards against work that grows with the number of paths through the dependency graph: each job
 * awaits both jobs of the layer before, so the number of paths doubles with every layer. */
static void
inheritance_across_layered_diamonds (void **state G_GNUC_UNUSED)
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
    assert_int_equal (single_node_submit (n, id, awaits, last ? URGENT_DUE_IN_500_S : NULL), 201);
  }
  const HrJob *first = hr_job_find (&n->core->store.tables, "job-l000"),
              *last = hr_job_find (&n->core->store.tables, "job-l119");
  assert_int_equal (first->plan.priority, HR_PRIORITY_URGENT);
  assert_float_equal (first->plan.deadline, last->plan.deadline - (LAYERS - 1) * JOB_ESTIMATE_S,
                      1e-3);
  assert_int_equal (single_node_cancel (n, "job-l119"), 200);
  assert_int_equal (first->plan.priority, HR_PRIORITY_LOW);
  single_node_free (n);
  fake_store_free (store);
}

/* Controllers accept no submission that forms a dependency cycle. Jobs of records that form one
 * nevertheless are reported in the log, never opened, and can be cancelled. */
static void
a_dependency_cycle_is_reported (void **state G_GNUC_UNUSED)
{
  static const char *const ids[] = {"job-x", "job-y", "job-z"};
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, URGENT_DUE_IN_500_S), 201);
  g_autofree char *record = g_strdup (fake_store_job_record (store, "job-1"));
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++) {
    json_t *object = json_loads (record, 0, NULL);
    json_object_set_new (object, "a", json_pack ("[s]", ids[(i + 1) % G_N_ELEMENTS (ids)]));
    g_autofree char *text = hr_json_take_text (object), *path = g_strconcat ("h/j/", ids[i], NULL);
    store->epoch++;
    fake_store_set (store, path, text);
  }
  guint handler = g_log_set_handler ("hoprock", G_LOG_LEVEL_WARNING, count_cycle_warnings, NULL);
  single_node_run (n, 2);
  g_log_remove_handler ("hoprock", handler);
  assert_true (cycle_warnings > 0);
  assert_string_equal (single_node_poll (n, "job-x"), "queued");
  assert_false (single_node_lists_open (n, "job-x"));
  assert_int_equal (single_node_cancel (n, "job-y"), 200);
  assert_string_equal (single_node_poll (n, "job-x"), "withdrawn");
  assert_string_equal (single_node_poll (n, "job-z"), "withdrawn");
  single_node_free (n);
  fake_store_free (store);
}

/* The completion of a job that others depend on is written before other completions, because its
 * dependents start only after it. */
static void
awaited_completions_are_written_first (void **state G_GNUC_UNUSED)
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
  n->core->store.transactions.allowance.tokens = -1e6; /* no write is sent for a while */
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

/* Runs a planning pass and returns the job whose task comes first in the machine's list, by id. */
static const char *
first_listed_job (SingleNode *n, const HrMachine *machine)
{
  n->core->scheduling.plan_is_stale = TRUE;
  single_node_run (n, 2);
  assert_true (machine->plan.list->len > 1);
  return ((HrJob *)n->core->store.tables.jobs
              ->pdata[g_array_index (machine->plan.list, HrTaskRef, 0).job])
      ->id;
}

/* Guards against a task list that is no longer sorted by deadline after a listed job has inherited
 * an earlier deadline. */
static void
task_lists_stay_sorted_by_deadline (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, ",\"due_s\":900,\"rank\":\"low\""), 201);
  assert_int_equal (single_node_submit (n, "job-2", NULL, ",\"due_s\":800,\"rank\":\"low\""), 201);
  /* Each task needs the whole machine. */
  hr_job_find (&n->core->store.tables, "job-1")->spec.cpus = 12;
  hr_job_find (&n->core->store.tables, "job-2")->spec.cpus = 12;
  const HrMachine *machine = single_node_add_machine (n);
  assert_string_equal (first_listed_job (n, machine), "job-2");
  assert_int_equal (
      single_node_submit (n, "job-3", "[\"job-1\"]", ",\"due_s\":60,\"rank\":\"low\""), 201);
  assert_string_equal (first_listed_job (n, machine), "job-1");
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

/* Returns how many machines are demanded while the first job of a pipeline runs with this estimate,
 * when a boot takes 20 s and both tasks of the second job need a machine of their own. */
static guint
machines_demanded_ahead (const char *second_job_members, double estimate_s)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = single_node_leading (store);
  assert_int_equal (single_node_submit (n, "job-1", NULL, ",\"due_s\":900,\"rank\":\"low\""), 201);
  HrJob *job = hr_job_find (&n->core->store.tables, "job-1");
  HrMachine *machine = single_node_add_machine (n);
  job->spec.estimate_s = estimate_s;
  for (guint i = 0; i < job->n_tasks; i++) {
    hr_task_assign (n->core, job, i, machine, 1);
    hr_task_edit_run (&job->tasks[i])->running_since = n->now;
  }
  single_node_run (n, 1);
  assert_int_equal (single_node_submit (n, "job-2", "[\"job-1\"]", second_job_members), 201);
  hr_job_find (&n->core->store.tables, "job-2")->spec.cpus = 12;
  single_node_run (n, 3);
  guint demanded = 0; /* the demand stays: the cloud does not answer */
  for (guint i = 0; i < n->core->scaling.demand->len; i++)
    demanded += g_array_index (n->core->scaling.demand, HrDemand, i).count;
  single_node_free (n);
  fake_store_free (store);
  return demanded;
}

static void
machines_are_demanded_one_boot_ahead (void **state G_GNUC_UNUSED)
{
  assert_int_equal (machines_demanded_ahead (",\"due_s\":45,\"rank\":\"low\"", 20), 2);
  /* The deadline leaves time to boot after the first job has ended. */
  assert_int_equal (machines_demanded_ahead (",\"due_s\":900,\"rank\":\"low\"", 20), 0);
  /* The first job does not end within a boot time. */
  assert_int_equal (machines_demanded_ahead (",\"due_s\":45,\"rank\":\"low\"", 500), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (job_opens_when_its_last_dependency_is_done),
      cmocka_unit_test (dependency_is_done_once_recorded),
      cmocka_unit_test (later_controller_opens_the_same_jobs),
      cmocka_unit_test (unknown_dependency_is_not_done),
      cmocka_unit_test (waiting_job_records_no_assignment),
      cmocka_unit_test (waiting_job_gets_no_launch_order),
      cmocka_unit_test (dependencies_inherit_deadline_and_priority),
      cmocka_unit_test (inheritance_in_random_pipelines),
      cmocka_unit_test (inheritance_across_layered_diamonds),
      cmocka_unit_test (a_dependency_cycle_is_reported),
      cmocka_unit_test (task_lists_stay_sorted_by_deadline),
      cmocka_unit_test (awaited_completions_are_written_first),
      cmocka_unit_test (machines_are_demanded_one_boot_ahead),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
