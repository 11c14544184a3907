/* Guards against state that depends on the order in which a listing gives the records: a controller
 * that lists the state store again after it has followed the changes has to derive the same
 * cancellations, open jobs and priorities as the records state, in whichever order they come.
 *
 * The store lists the records by their keys, which users choose, so a job comes before or after
 * those that it awaits. src/bookkeeping/record_fields.h explains the members of records. */
#include "bookkeeping/tables.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define JOBS 14
#define ROUNDS 4 /* listings of a run, each after changes that the controller has not read */
#define SEEDS 150
#define MAX_AWAITED 2

/* What is recorded of a job, and what follows from all records. */
typedef struct {
  char *id;
  HrPriority priority; /* its own */
  guint awaited[MAX_AWAITED];
  guint n_awaited;
  gboolean is_cancelled_by_user, is_done;
} ExpectedJob;

typedef struct {
  FakeStore *store;
  SingleNode *node;
  GRand *random;
  ExpectedJob jobs[JOBS]; /* a job awaits only jobs before it */
  guint seed;
} Run;

static const char *const rank_names[] = {
    [HR_PRIORITY_PRODUCTION] = "production",
    [HR_PRIORITY_URGENT] = "urgent",
    [HR_PRIORITY_NORMAL] = "normal",
    [HR_PRIORITY_LOW] = "low",
};

/* ---- what follows from the records ---- */

static gboolean
is_cancelled (const Run *run, guint index)
{
  const ExpectedJob *job = &run->jobs[index];
  if (job->is_done || job->is_cancelled_by_user)
    return job->is_cancelled_by_user;
  for (guint i = 0; i < job->n_awaited; i++)
    if (is_cancelled (run, job->awaited[i]))
      return TRUE;
  return FALSE;
}

static gboolean
is_queued (const Run *run, guint index)
{
  return !run->jobs[index].is_done && !is_cancelled (run, index);
}

static gboolean
is_ready (const Run *run, guint index)
{
  const ExpectedJob *job = &run->jobs[index];
  for (guint i = 0; i < job->n_awaited; i++)
    if (!run->jobs[job->awaited[i]].is_done)
      return FALSE;
  return TRUE;
}

static gboolean
awaits (const ExpectedJob *job, guint index)
{
  for (guint i = 0; i < job->n_awaited; i++)
    if (job->awaited[i] == index)
      return TRUE;
  return FALSE;
}

/* Returns the highest priority of the job and of the queued jobs that need it. */
static HrPriority
inherited_priority (const Run *run, guint index)
{
  HrPriority priority = run->jobs[index].priority;
  for (guint i = index + 1; i < JOBS; i++)
    if (awaits (&run->jobs[i], index) && is_queued (run, i))
      priority = MIN (priority, inherited_priority (run, i));
  return priority;
}

/* ---- a run ---- */

static void
submit_job (Run *run, guint index)
{
  ExpectedJob *job = &run->jobs[index];
  g_autoptr (GString) list = g_string_new ("[");
  job->id = g_strdup_printf ("job-%06d", g_rand_int_range (run->random, 0, 9000) * 100 + index);
  job->priority = g_rand_int_range (run->random, HR_PRIORITY_PRODUCTION, HR_PRIORITY_LOW + 1);
  job->n_awaited = index ? g_rand_int_range (run->random, 0, MIN (index, MAX_AWAITED) + 1) : 0;
  for (guint i = 0; i < job->n_awaited; i++) {
    job->awaited[i] = g_rand_int_range (run->random, 0, index);
    g_string_append_printf (list, "%s\"%s\"", i ? "," : "", run->jobs[job->awaited[i]].id);
  }
  g_string_append_c (list, ']');
  g_autofree char *more =
      g_strdup_printf (",\"due_s\":null,\"rank\":\"%s\"", rank_names[job->priority]);
  assert_int_equal (single_node_submit (run->node, job->id, list->str, more), 201);
}

/* Cancels the job at another controller. */
static void
cancel_elsewhere (Run *run, ExpectedJob *job)
{
  g_autofree char *path = g_strconcat ("h/j/", job->id, NULL);
  json_t *record = json_loads (fake_store_job_record (run->store, job->id), 0, NULL);
  json_object_set_new (record, "s", json_integer (HR_JOB_CANCELLED));
  g_autofree char *text = hr_json_take_text (record);
  run->store->epoch++;
  fake_store_set (run->store, path, text);
  job->is_cancelled_by_user = TRUE;
}

/* Lets a job be cancelled or finished at another controller, if one can be. */
static void
change_elsewhere (Run *run)
{
  guint index = g_rand_int_range (run->random, 0, JOBS);
  ExpectedJob *job = &run->jobs[index];
  if (!is_queued (run, index))
    return;
  if (g_rand_boolean (run->random))
    cancel_elsewhere (run, job);
  else if (is_ready (run, index)) {
    fake_store_finish_job (run->store, job->id);
    job->is_done = TRUE;
  }
}

/* Lets a few jobs change at other controllers, and the controller list the store again before it
 * has read any of these changes. More jobs change between the pages of the listing, so that its
 * rows are of different revisions. */
static void
change_and_list_again (Run *run)
{
  const HrReplica *replica = &run->node->core->store.replica;
  run->store->history_lost = TRUE;
  run->store->page_rows = g_rand_int_range (run->random, 1, 2 * JOBS);
  for (guint n = g_rand_int_range (run->random, 1, 4); n; n--)
    change_elsewhere (run);
  while (run->store->history_lost)
    single_node_run (run->node, 0.1);
  do {
    if (g_rand_int_range (run->random, 0, 4) == 0)
      change_elsewhere (run);
    single_node_run (run->node, 0.1);
  } while (replica->state != HR_REPLICA_FOLLOWING);
}

static void
check_job (Run *run, guint index)
{
  const ExpectedJob *expected = &run->jobs[index];
  const char *state = single_node_poll (run->node, expected->id);
  const char *expected_state = expected->is_done           ? "done"
                               : is_cancelled (run, index) ? "withdrawn"
                                                           : "queued";
  if (strcmp (state, expected_state) != 0)
    fail_msg ("seed %u: %s is called %s, the records say %s", run->seed, expected->id, state,
              expected_state);
  if (!is_queued (run, index))
    return;
  const HrJob *job = hr_job_find (&run->node->core->store.tables, expected->id);
  if (single_node_lists_open (run->node, expected->id) != is_ready (run, index))
    fail_msg ("seed %u: %s is%s open", run->seed, expected->id,
              is_ready (run, index) ? " not" : "");
  if (job->plan.priority != inherited_priority (run, index))
    fail_msg ("seed %u: %s has priority %d, not %d", run->seed, expected->id, job->plan.priority,
              inherited_priority (run, index));
}

static void
play (guint seed)
{
  Run run = {.seed = seed, .store = fake_store_new (), .random = g_rand_new_with_seed (seed)};
  run.store->by_key = TRUE;
  run.node = single_node_leading (run.store);
  for (guint i = 0; i < JOBS; i++)
    submit_job (&run, i);
  for (guint round = 0; round < ROUNDS; round++) {
    change_and_list_again (&run);
    for (guint i = 0; i < JOBS; i++)
      check_job (&run, i);
  }
  for (guint i = 0; i < JOBS; i++)
    g_free (run.jobs[i].id);
  single_node_free (run.node);
  fake_store_free (run.store);
  g_rand_free (run.random);
}

static void
derived_state_does_not_depend_on_the_order (void **state G_GNUC_UNUSED)
{
  for (guint seed = 1; seed <= SEEDS; seed++)
    play (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (derived_state_does_not_depend_on_the_order),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
