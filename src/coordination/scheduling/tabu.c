/* Bounded tabu search over the lists of the plan. */
#include "coordination/scheduling/tabu.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/task_lists.h"

/* Total tardiness below which there is nothing to improve, s. */
#define MIN_TARDINESS_S 1e-6

/* The state of a search. */
typedef struct {
  GPtrArray *lists;    /* HrMachine */
  gboolean *is_source; /* by list: tasks may be moved from it */
  gboolean *is_target; /* by list: tasks may be moved to it */
  GArray *tabu;        /* HrTaskRef of tasks without a target, oldest first */
  double tardiness;    /* of the whole plan */
} TabuSearch;

static void
allow_all (gboolean *lists, guint n)
{
  for (guint i = 0; i < n; i++)
    lists[i] = TRUE;
}

static HrMachine *
list_at (const TabuSearch *search, guint i)
{
  return search->lists->pdata[i];
}

static gboolean
is_tabu (const GArray *tabu, HrTaskRef ref)
{
  for (guint i = 0; i < tabu->len; i++) {
    const HrTaskRef *other = &g_array_index (tabu, HrTaskRef, i);
    if (other->job == ref.job && other->task == ref.task)
      return TRUE;
  }
  return FALSE;
}

static void
add_tabu (const HrCore *core, GArray *tabu, HrTaskRef ref)
{
  if (tabu->len >= core->policy.tabu_jobs && tabu->len)
    g_array_remove_index (tabu, 0); /* the oldest */
  g_array_append_val (tabu, ref);
}

/* Returns the index of the tardiest non-empty list that tasks may be moved from; HR_NONE: there is
 * none. */
static guint
choose_source (const TabuSearch *search)
{
  guint best = HR_NONE;
  for (guint i = 0; i < search->lists->len; i++) {
    const HrMachine *machine = list_at (search, i);
    if (search->is_source[i] && machine->plan.list->len &&
        (best == HR_NONE || machine->plan.tardiness > list_at (search, best)->plan.tardiness))
      best = i;
  }
  return best;
}

/* Returns whether the task may be moved. Tasks of gangs are not moved, because the slots of a gang
 * have a common start; nor are those of starving jobs, because capacity is reserved for them. */
static gboolean
is_movable (const TabuSearch *search, const HrJob *job, HrTaskRef ref)
{
  return job->spec.shape != HR_GANG && !job->tasks[ref.task].has_reservation &&
         !is_tabu (search->tabu, ref);
}

/* Returns the most tardy task of the list that may be moved; its job is HR_NONE if there is none.
 */
static HrTaskRef
most_tardy_task (HrCore *core, const TabuSearch *search, HrMachine *machine)
{
  const GArray *list = machine->plan.list;
  double *starts = hr_projection_scratch (list->len);
  HrTaskRef worst = {HR_NONE, 0};
  double max_lateness = 0;
  hr_project_list (core, machine, starts);
  for (guint i = 0; i < list->len; i++) {
    HrTaskRef ref = g_array_index (list, HrTaskRef, i);
    const HrJob *job = hr_job_of_task (core, ref);
    double run_time = hr_estimate_run_time (core, job, machine);
    double lateness = hr_task_lateness (core, job, starts[i], run_time);
    if (lateness > max_lateness && is_movable (search, job, ref)) {
      max_lateness = lateness;
      worst = ref;
    }
  }
  return worst;
}

static gboolean
is_better_target (const HrMachine *left, const HrMachine *right)
{
  return left->plan.tardiness < right->plan.tardiness ||
         (left->plan.tardiness == right->plan.tardiness &&
          left->plan.ready_at < right->plan.ready_at);
}

/* Returns the index of the least tardy list that may take a task of the job; HR_NONE: there is
 * none. */
static guint
choose_target (const HrCore *core, const TabuSearch *search, const HrJob *job, guint source)
{
  guint best = HR_NONE;
  for (guint i = 0; i < search->lists->len; i++) {
    const HrMachine *machine = list_at (search, i);
    if (i != source && search->is_target[i] && hr_job_allows_machine (core, job, machine) &&
        hr_job_allows_zone (core, job, machine) &&
        (best == HR_NONE || is_better_target (machine, list_at (search, best))))
      best = i;
  }
  return best;
}

static HrListScore
score_of_two (const HrMachine *left, const HrMachine *right)
{
  return (HrListScore){left->plan.late_count + right->plan.late_count,
                       left->plan.tardiness + right->plan.tardiness};
}

static void
move_task (HrCore *core, HrTaskRef ref, HrMachine *from, HrMachine *to)
{
  hr_list_remove (from, ref);
  hr_list_insert (core, to, ref);
}

/* Moves the task, and undoes the move unless it improves the score of the two lists. Returns
 * whether the move was kept; then the tardiness of the search is updated. */
static gboolean
evaluate_move (HrCore *core, TabuSearch *search, HrTaskRef ref, HrMachine *from, HrMachine *to)
{
  HrListScore before = score_of_two (from, to);
  move_task (core, ref, from, to);
  hr_project_list (core, from, NULL);
  hr_project_list (core, to, NULL);
  HrListScore after = score_of_two (from, to);
  if (hr_list_score_better (after, before)) {
    search->tardiness += after.tardiness - before.tardiness;
    return TRUE;
  }
  move_task (core, ref, to, from);
  hr_project_list (core, from, NULL);
  hr_project_list (core, to, NULL);
  return FALSE;
}

/* Tries one move. Returns FALSE if there is no list left to move tasks from. */
static gboolean
search_round (HrCore *core, TabuSearch *search)
{
  guint n = search->lists->len, source = choose_source (search);
  if (source == HR_NONE)
    return FALSE;
  HrTaskRef ref = most_tardy_task (core, search, list_at (search, source));
  if (ref.job == HR_NONE) {
    search->is_source[source] = FALSE;
    allow_all (search->is_target, n);
    return TRUE;
  }
  guint target = choose_target (core, search, hr_job_of_task (core, ref), source);
  if (target == HR_NONE) {
    add_tabu (core, search->tabu, ref);
    allow_all (search->is_target, n);
    return TRUE;
  }
  if (evaluate_move (core, search, ref, list_at (search, source), list_at (search, target))) {
    allow_all (search->is_source, n);
    allow_all (search->is_target, n);
  } else
    search->is_target[target] = FALSE; /* until allow_all() resets the targets */
  return TRUE;
}

void
hr_tabu_search (HrCore *core, GPtrArray *lists)
{
  guint n = lists->len;
  g_autofree gboolean *is_source = g_new (gboolean, n), *is_target = g_new (gboolean, n);
  g_autoptr (GArray) tabu = g_array_new (FALSE, FALSE, sizeof (HrTaskRef));
  TabuSearch search = {lists, is_source, is_target, tabu, 0};
  allow_all (is_source, n);
  allow_all (is_target, n);
  for (guint i = 0; i < n; i++)
    search.tardiness += list_at (&search, i)->plan.tardiness;
  for (guint round = 0; round < core->policy.tabu_rounds && search.tardiness > MIN_TARDINESS_S;
       round++)
    if (!search_round (core, &search))
      return;
}
