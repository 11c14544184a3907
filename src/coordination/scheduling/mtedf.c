/* MT-EDF: inserts a new task at its deadline position in the best list. */
#include "coordination/scheduling/mtedf.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/task_lists.h"
#include "coordination/scheduling/trial.h"
#include <math.h>

/* Starts that differ by no more than this count as equal, s. */
#define SAME_START_S 1e-6

/* Compares by earliest start, including the image fetch; then the cheaper machine (spot) first;
 * then the fuller one, so that other machines become idle and can be returned. */
static int
compare_candidates (gconstpointer left, gconstpointer right, gpointer data G_GNUC_UNUSED)
{
  const HrMachine *first = *(HrMachine *const *)left, *second = *(HrMachine *const *)right;
  if (first->plan.candidate_start != second->plan.candidate_start)
    return first->plan.candidate_start < second->plan.candidate_start ? -1 : 1;
  if (first->is_spot != second->is_spot)
    return first->is_spot ? -1 : 1;
  guint first_load = first->tasks->len + first->plan.list->len;
  guint second_load = second->tasks->len + second->plan.list->len;
  if (first_load != second_load)
    return first_load > second_load ? -1 : 1;
  return first->index < second->index ? -1 : first->index > second->index;
}

static void
set_candidate_start (HrCore *core, const HrJob *job, HrMachine *machine)
{
  machine->plan.candidate_start =
      floor (machine->plan.ready_at + hr_estimate_fetch_time (core, job, machine));
}

GPtrArray *
hr_mtedf_candidates (HrCore *core, GPtrArray *lists, HrJob *job)
{
  GPtrArray *candidates = g_ptr_array_sized_new (lists->len);
  for (guint k = 0; k < lists->len; k++) {
    HrMachine *machine = lists->pdata[k];
    if (!hr_job_allows_machine (core, job, machine))
      continue;
    set_candidate_start (core, job, machine);
    g_ptr_array_add (candidates, machine);
  }
  g_ptr_array_sort_with_data (candidates, compare_candidates, NULL);
  return candidates;
}

static gboolean
is_out_of_order (GPtrArray *candidates, guint at)
{
  return compare_candidates (&candidates->pdata[at], &candidates->pdata[at + 1], NULL) > 0;
}

static void
swap_with_next (GPtrArray *candidates, guint at)
{
  gpointer machine = candidates->pdata[at];
  candidates->pdata[at] = candidates->pdata[at + 1];
  candidates->pdata[at + 1] = machine;
}

/* Updates the position of the machine after a task was added to its list. */
static void
reorder (HrCore *core, GPtrArray *candidates, guint at, const HrJob *job)
{
  set_candidate_start (core, job, candidates->pdata[at]);
  for (; at + 1 < candidates->len && is_out_of_order (candidates, at); at++)
    swap_with_next (candidates, at);
  for (; at > 0 && is_out_of_order (candidates, at - 1); at--)
    swap_with_next (candidates, at - 1);
}

/* The sample of candidates that are tried for a task. Trying all of them would cost too much while
 * many tasks are queued, so half of the sample are the earliest-starting candidates, and the other
 * half is drawn at random from the rest. */
typedef struct {
  guint n_earliest;
  double share; /* of the other candidates, 0 to 1 */
} Sample;

static Sample
choose_sample (const GPtrArray *candidates, guint max_trials)
{
  guint n_earliest = max_trials < candidates->len ? (max_trials + 1) / 2 : candidates->len;
  double share = candidates->len > n_earliest
                     ? (double)(max_trials - n_earliest) / (candidates->len - n_earliest)
                     : 1;
  return (Sample){n_earliest, share};
}

static gboolean
sample_contains (HrCore *core, const Sample *sample, guint at)
{
  return at < sample->n_earliest || g_rand_double (core->random) < sample->share;
}

/* The best list that was tried so far for a task. */
typedef struct {
  guint at; /* index of the candidate; HR_NONE: none yet */
  HrListScore change;
  double start; /* projected, including the image fetch */
} BestList;

/* Tries the task in one list and records the list in *best if it is the best so far. Returns
 * whether the task adds no tardiness there. */
static gboolean
evaluate_list (HrCore *core, GPtrArray *candidates, guint at, HrTaskRef ref, BestList *best)
{
  HrMachine *machine = candidates->pdata[at];
  HrTrial trial = hr_trial_insert (core, machine, ref);
  if (hr_start_is_infeasible (core, trial.start))
    return FALSE;
  double start = trial.start + hr_estimate_fetch_time (core, hr_job_of_task (core, ref), machine);
  if (hr_list_score_better (trial.change, best->change) ||
      (!hr_list_score_better (best->change, trial.change) && start < best->start - SAME_START_S))
    *best = (BestList){at, trial.change, start};
  return trial.change.late_count == 0 && trial.change.tardiness <= 0;
}

gboolean
hr_mtedf_place_task (HrCore *core, GPtrArray *candidates, HrJob *job, guint32 task_index,
                     guint max_trials)
{
  HrTaskRef ref = {job->index, task_index};
  BestList best = {HR_NONE, {G_MAXUINT, INFINITY}, INFINITY};
  Sample sample = choose_sample (candidates, max_trials);
  for (guint k = 0; k < candidates->len; k++) {
    if (!sample_contains (core, &sample, k) ||
        !hr_job_allows_zone (core, job, candidates->pdata[k]))
      continue;
    if (evaluate_list (core, candidates, k, ref, &best))
      break; /* no tardiness added: MT-EDF stops at the first such list */
  }
  if (best.at == HR_NONE)
    return FALSE;
  HrMachine *machine = candidates->pdata[best.at];
  hr_list_insert (core, machine, ref);
  hr_project_list (core, machine, NULL);
  reorder (core, candidates, best.at, job);
  return TRUE;
}
