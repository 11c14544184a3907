/* MT-EDF: a new task is tried at its deadline slot in the lists. */
#include "coordination/scheduling/mtedf.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/task_lists.h"
#include "coordination/scheduling/trial.h"
#include <math.h>

/* Starts that differ by less are the same, s. */
#define SAME_START_S 1e-6

/* Earliest-starting list first, the image fetch included; then the cheaper machine, then the
 * fuller one, so that others fall empty and can be returned. */
static int
by_candidate_start (gconstpointer left, gconstpointer right, gpointer data G_GNUC_UNUSED)
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
hr_mtedf_order (HrCore *core, GPtrArray *lists, HrJob *job)
{
  GPtrArray *order = g_ptr_array_sized_new (lists->len);
  for (guint k = 0; k < lists->len; k++) {
    HrMachine *machine = lists->pdata[k];
    if (!hr_job_allows_machine (core, job, machine))
      continue;
    set_candidate_start (core, job, machine);
    g_ptr_array_add (order, machine);
  }
  g_ptr_array_sort_with_data (order, by_candidate_start, NULL);
  return order;
}

static gboolean
is_out_of_order (GPtrArray *order, guint at)
{
  return by_candidate_start (&order->pdata[at], &order->pdata[at + 1], NULL) > 0;
}

static void
swap_with_next (GPtrArray *order, guint at)
{
  gpointer machine = order->pdata[at];
  order->pdata[at] = order->pdata[at + 1];
  order->pdata[at + 1] = machine;
}

/* One list of the order has got a task more: it moves to where it belongs now. */
static void
reorder (HrCore *core, GPtrArray *order, guint at, const HrJob *job)
{
  set_candidate_start (core, job, order->pdata[at]);
  for (; at + 1 < order->len && is_out_of_order (order, at); at++)
    swap_with_next (order, at);
  for (; at > 0 && is_out_of_order (order, at - 1); at--)
    swap_with_next (order, at - 1);
}

/* Which lists of the order are tried. When far more is queued than runs, a sample must do: half of
 * it the earliest ones, the other half drawn from the rest. */
typedef struct {
  guint n_earliest;
  double share; /* of the rest */
} Sample;

static Sample
sample_of (const GPtrArray *order, guint tries)
{
  guint n_earliest = tries < order->len ? (tries + 1) / 2 : order->len;
  double share =
      order->len > n_earliest ? (double)(tries - n_earliest) / (order->len - n_earliest) : 1;
  return (Sample){n_earliest, share};
}

static gboolean
sample_has (HrCore *core, const Sample *sample, guint at)
{
  return at < sample->n_earliest || g_rand_double (core->random) < sample->share;
}

/* The best list tried so far for a task. */
typedef struct {
  guint at; /* in the order; HR_NONE: none yet */
  HrListScore change;
  double start; /* with the image fetch */
} Choice;

/* Tries the task in one list, and notes it where it is the best so far. Returns whether it adds no
 * tardiness there. */
static gboolean
evaluate_list (HrCore *core, GPtrArray *order, guint at, HrTaskRef ref, Choice *best)
{
  HrMachine *machine = order->pdata[at];
  HrTrial trial = hr_trial_insert (core, machine, ref);
  if (hr_start_is_never (core, trial.start))
    return FALSE;
  double start = trial.start + hr_estimate_fetch_time (core, hr_job_of_task (core, ref), machine);
  if (hr_list_score_better (trial.change, best->change) ||
      (!hr_list_score_better (best->change, trial.change) && start < best->start - SAME_START_S))
    *best = (Choice){at, trial.change, start};
  return trial.change.late == 0 && trial.change.tardiness <= 0;
}

gboolean
hr_mtedf_task (HrCore *core, GPtrArray *order, HrJob *job, guint32 task_index, guint tries)
{
  HrTaskRef ref = {job->index, task_index};
  Choice best = {HR_NONE, {G_MAXUINT, INFINITY}, INFINITY};
  Sample sample = sample_of (order, tries);
  for (guint k = 0; k < order->len; k++) {
    if (!sample_has (core, &sample, k) || !hr_job_allows_zone (core, job, order->pdata[k]))
      continue;
    if (evaluate_list (core, order, k, ref, &best))
      break; /* no tardiness: the paper stops here */
  }
  if (best.at == HR_NONE)
    return FALSE;
  HrMachine *machine = order->pdata[best.at];
  hr_list_insert (core, machine, ref);
  hr_project_list (core, machine, NULL);
  reorder (core, order, best.at, job);
  return TRUE;
}
