/* Guards against controllers that end for memory because of what users send: arrays of the largest
 * size that a submission may have, on controllers of 72 MB. */
#include "bookkeeping/record.h"
#include "bookkeeping/tables.h"
#include "coordination/command.h"
#include "coordination/jobs/memory_budget.h"
#include "coordination/jobs/task_lifecycle.h"
#include "protocol/json_util.h"
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <cmocka.h>

#define KIB_PER_MIB 1024
#define LARGEST_TASKS 100000
#define LARGEST_JOBS 10
/* A third of a controller of 72 MB. */
#define MAX_TASKS_MIB 24

/* Returns the most memory that this process has held so far, in MiB. */
static double
peak_memory_mib (void)
{
  struct rusage usage;
  assert_int_equal (getrusage (RUSAGE_SELF, &usage), 0);
  return (double)usage.ru_maxrss / KIB_PER_MIB;
}

static HrJobSpec
largest_array (HrNames *names)
{
  return (HrJobSpec){.job_class = hr_intern (&names->classes, "k"),
                     .team = hr_intern (&names->teams, "crew"),
                     .image = hr_intern (&names->images, "i"),
                     .shape = HR_BATCH,
                     .priority = HR_PRIORITY_LOW,
                     .tasks = LARGEST_TASKS,
                     .zone = HR_NONE,
                     .cpus = 1,
                     .memory_gb = 1,
                     .deadline_s = -1};
}

/* While a submission is decided, nothing is held for its tasks, however many it has. */
static void
first_record_needs_no_tasks_in_memory (void **state G_GNUC_UNUSED)
{
  HrNames names;
  hr_names_init (&names);
  HrJobSpec spec = largest_array (&names);
  double before = peak_memory_mib ();
  g_autofree char *record = hr_record_initial (&spec, NULL, &names, 1e9, 500, HR_LONGEST_TAG);
  double grown = peak_memory_mib () - before;
  if (grown >= 1)
    fail_msg ("the first record of %d tasks takes %.1f MiB", LARGEST_TASKS, grown);
  hr_names_clear (&names);
}

/* Tasks that wait are held by every controller, whether or not they can run soon. */
static void
waiting_tasks_need_little_memory (void **state G_GNUC_UNUSED)
{
  HrNames names;
  hr_names_init (&names);
  HrJobSpec spec = largest_array (&names);
  HrJob *jobs[LARGEST_JOBS];
  double before = peak_memory_mib ();
  for (guint i = 0; i < LARGEST_JOBS; i++) {
    jobs[i] = g_new0 (HrJob, 1);
    hr_job_set_spec (jobs[i], &spec, 500);
  }
  double grown = peak_memory_mib () - before;
  if (grown >= MAX_TASKS_MIB)
    fail_msg ("%d jobs of %d tasks take %.1f MiB", LARGEST_JOBS, LARGEST_TASKS, grown);
  for (guint i = 0; i < LARGEST_JOBS; i++)
    hr_job_free (jobs[i]);
  hr_names_clear (&names);
}

/* Tasks that are done need no more memory than tasks that wait, on any controller. */
static void
done_tasks_need_little_memory (void **state G_GNUC_UNUSED)
{
  HrNames names;
  HrIntern machines;
  hr_names_init (&names);
  hr_intern_init (&machines);
  HrJobSpec spec = largest_array (&names);
  HrJob *job = g_new0 (HrJob, 1);
  hr_job_set_spec (job, &spec, 1);
  json_t *placed = json_pack ("[[sii]]", "m-000001", 1, 1);
  json_t *done = json_pack ("[i]", 1);
  for (guint i = 0; i < LARGEST_TASKS; i++) {
    assert_true (hr_record_read_tasks (job, i, placed, &machines, NULL));
    assert_true (hr_task_has_run (&job->tasks[i]));
    assert_true (hr_record_read_tasks (job, i, done, &machines, NULL));
    assert_false (hr_task_has_run (&job->tasks[i]));
  }
  assert_int_equal (job->n_recorded_done, LARGEST_TASKS);
  json_decref (placed);
  json_decref (done);
  hr_job_free (job);
  hr_intern_clear (&machines);
  hr_names_clear (&names);
}

/* ---- the budget ---- */

/* A budget of 2 MB, a third of it, holds 12 arrays of 10,000 tasks. */
#define MEMORY_MB 6
#define ARRAY_TASKS 10000
#define SUBMISSIONS 30

static SingleNode *
small_node (FakeStore *store)
{
  SingleNode *n = single_node_leading (store);
  n->settings->memory_mb = MEMORY_MB;
  return n;
}

static char *
array_id (guint i)
{
  return g_strdup_printf ("job-%06u", i);
}

static int
submit_array (SingleNode *n, guint i)
{
  g_autofree char *id = array_id (i);
  return single_node_request (n, HR_POST, "/v1/jobs",
                              single_node_submission (id, "batch", ARRAY_TASKS));
}

/* Submits until a submission is refused. Returns the number of those that were accepted. */
static guint
submit_until_refused (SingleNode *n)
{
  for (guint i = 0; i < SUBMISSIONS; i++) {
    int status = submit_array (n, i);
    if (status == 429)
      return i;
    assert_int_equal (status, 201);
  }
  fail_msg ("%d arrays of %d tasks are accepted with %d MB", SUBMISSIONS, ARRAY_TASKS, MEMORY_MB);
  return 0;
}

/* A submission for which there is no memory is refused at once, with the time of the next try, and
 * changes nothing; it is accepted once another job has ended. */
static void
submissions_beyond_the_budget_are_refused (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = small_node (store);
  guint accepted = submit_until_refused (n);
  assert_int_equal (accepted, 12);
  g_autofree char *first = array_id (0), *refused = array_id (accepted);
  double sent_at = n->now;
  assert_int_equal (submit_array (n, accepted), 429);
  assert_true (n->now - sent_at < 0.15); /* in the step of its arrival */
  assert_true (n->retry_after_s >= 1 && n->retry_after_s <= 30);
  assert_non_null (strstr (hr_json_str (n->body, "error"), "memory"));
  assert_null (fake_store_job_record (store, refused));
  assert_string_equal (single_node_poll (n, refused), "unknown");
  /* The jobs that were accepted are not affected, and can be cancelled. */
  assert_int_equal (submit_array (n, 0), 200);
  assert_string_equal (single_node_poll (n, first), "queued");
  assert_int_equal (single_node_cancel (n, first), 200);
  single_node_run (n, 5);
  assert_int_equal (submit_array (n, accepted), 201);
  assert_int_equal (submit_array (n, accepted + 1), 429);
  single_node_free (n);
  fake_store_free (store);
}

/* Submissions that arrive at the same time count before they are in the store. */
static void
submissions_at_once_share_the_budget (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = small_node (store);
  for (guint i = 0; i < SUBMISSIONS; i++) {
    g_autofree char *id = array_id (i);
    char *body = single_node_submission (id, "batch", ARRAY_TASKS);
    HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
    command->id = ++n->next;
    command->request.method = HR_POST;
    command->request.path = g_strdup ("/v1/jobs");
    command->body = g_bytes_new_take (body, strlen (body));
    g_ptr_array_add (n->inbox, command);
  }
  single_node_run (n, 5);
  guint accepted = 0;
  for (guint64 id = n->next - SUBMISSIONS + 1; id <= n->next; id++)
    accepted += GPOINTER_TO_INT (g_hash_table_lookup (n->answers, &id)) == 201;
  assert_int_equal (accepted, 12);
  assert_true (n->core->store.tables.unfinished_bytes <= MEMORY_MB * 1e6 / 3);
  assert_int_equal (n->core->memory.reserved_bytes, 0);
  single_node_free (n);
  fake_store_free (store);
}

/* Other controllers may accept as much at the same moment. */
static void
budget_leaves_room_for_other_controllers (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = small_node (store);
  gsize budget = hr_memory_budget_bytes (n->core);
  assert_true (hr_memory_budget_allows (n->core, budget));
  for (guint i = 0; i < 2; i++) {
    HrMember member = {g_strdup ("other"), g_strdup ("z0"), g_strdup ("10.0.0.2:81")};
    g_array_append_val (n->settings->members, member);
  }
  assert_false (hr_memory_budget_allows (n->core, budget));
  assert_true (hr_memory_budget_allows (n->core, budget / 3));
  n->settings->memory_mb = 0; /* the settings name no memory */
  assert_true (hr_memory_budget_allows (n->core, G_MAXUINT32));
  single_node_free (n);
  fake_store_free (store);
}

/* Finished jobs no longer count, however they end and whoever records it; nothing is left over. */
static void
finished_jobs_do_not_count (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = small_node (store);
  assert_int_equal (submit_array (n, 1), 201);
  assert_int_equal (submit_array (n, 2), 201);
  assert_int_equal (single_node_submit (n, "job-d", "[\"job-000001\",\"job-000002\"]", NULL), 201);
  HrJob *job = hr_job_find (&n->core->store.tables, "job-000001");
  single_node_add_machine (n);
  single_node_run (n, 1);
  assert_true (job->run.n_live > 0);
  fake_store_finish_job (store,
                         "job-000001"); /* by another controller, while tasks are live here */
  assert_int_equal (single_node_cancel (n, "job-000002"), 200);
  single_node_run (n, 1);
  assert_non_null (job->tasks);
  for (guint32 i = 0; i < ARRAY_TASKS; i++)
    hr_task_terminated (n->core, job, i, HR_EXIT_HALTED, "the test says so");
  single_node_run (n, 5);
  assert_null (job->tasks);
  assert_int_equal (n->core->store.tables.unfinished_bytes, 0);
  single_node_free (n);
  fake_store_free (store);
}

/* ---- names ---- */

static guint
n_names (const SingleNode *n)
{
  return n->names.classes.names->len + n->names.teams.names->len + n->names.images.names->len +
         n->names.types.names->len + n->names.zones.names->len;
}

/* Submits a job with names that were not used before. */
static int
submit_with_new_names (SingleNode *n, const char *id, const char *team, guint round, guint tasks)
{
  g_autofree char *plain = single_node_submission (id, "batch", tasks);
  json_t *body = json_loads (plain, 0, NULL);
  g_autofree char *name = g_strdup_printf ("name-%u", round);
  json_object_set_new (body, "jobclass", json_string (name));
  json_object_set_new (body, "bundle", json_string (name));
  json_object_set_new (body, "crew", json_string (team ? team : name));
  if (!team)
    json_object_set_new (body, "quarry", json_string (name));
  return single_node_request (n, HR_POST, "/v1/jobs", hr_json_take_text (body));
}

/* Class, team, image and zone are kept for the life of the process, but only those of jobs that are
 * accepted: other submissions may name whatever they like, as often as they like. */
static void
names_of_refused_submissions_are_not_kept (void **state G_GNUC_UNUSED)
{
  FakeStore *store = fake_store_new ();
  SingleNode *n = small_node (store);
  assert_int_equal (submit_with_new_names (n, "job-a", "crew", 1, 2), 201);
  guint before = n_names (n);
  for (guint round = 2; round < 40; round++) {
    assert_int_equal (submit_with_new_names (n, "job-b", NULL, round, 2), 422);
    assert_int_equal (submit_with_new_names (n, "job-b", "crew", round, 0), 400);
    assert_int_equal (submit_with_new_names (n, "job-b", "crew", round, LARGEST_TASKS + 1), 400);
    assert_int_equal (submit_with_new_names (n, "job-a", "crew", round, 2), 200);
  }
  n->settings->memory_mb = 0.001;
  assert_int_equal (submit_with_new_names (n, "job-b", "crew", 40, 2), 429);
  assert_int_equal (n_names (n), before);
  n->settings->memory_mb = 0;
  assert_int_equal (submit_with_new_names (n, "job-b", "crew", 41, 2), 201);
  assert_int_equal (n_names (n), before + 2); /* a class and an image */
  const HrJob *job = hr_job_find (&n->core->store.tables, "job-b");
  assert_string_equal (hr_intern_name (&n->names.images, job->spec.image), "name-41");
  single_node_free (n);
  fake_store_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (first_record_needs_no_tasks_in_memory),
      cmocka_unit_test (waiting_tasks_need_little_memory),
      cmocka_unit_test (done_tasks_need_little_memory),
      cmocka_unit_test (submissions_beyond_the_budget_are_refused),
      cmocka_unit_test (submissions_at_once_share_the_budget),
      cmocka_unit_test (budget_leaves_room_for_other_controllers),
      cmocka_unit_test (finished_jobs_do_not_count),
      cmocka_unit_test (names_of_refused_submissions_are_not_kept),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
