/* MT-EDF: a new task is tried at its deadline slot in the lists (the paper's figure 1). */
#include "coordination/scheduling/mtedf.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/projection.h"
#include "coordination/state.h"
#include <math.h>

/* Earliest-starting list first, the image fetch included. */
static int
by_ready (gconstpointer left, gconstpointer right, gpointer data)
{
  const HrMachine *first = *(HrMachine *const *)left, *second = *(HrMachine *const *)right;
  if (first->plan.candidate_start != second->plan.candidate_start)
    return first->plan.candidate_start < second->plan.candidate_start ? -1 : 1;
  if (first->is_spot != second->is_spot)
    return first->is_spot ? -1 : 1; /* cheaper */
  if (first->tasks->len + first->plan.list->len !=
      second->tasks->len + second->plan.list->len) /* so that others fall empty */
    return first->tasks->len + first->plan.list->len > second->tasks->len + second->plan.list->len
               ? -1
               : 1;
  return first->index < second->index ? -1 : first->index > second->index;
}

gboolean
hr_list_score_better (HrListScore left, HrListScore right)
{
  return left.late < right.late ||
         (left.late == right.late && left.tardiness < right.tardiness - 1e-9);
}

/* How the whole plan changes when the task joins this list: the others stay as
 * they are, so the difference on this list decides. */
static HrListScore
score_list (HrCore *core, HrMachine *machine, HrTaskRef ref, double *start)
{
  guint late = machine->plan.late_count;
  double tard = machine->plan.tardiness, ready = machine->plan.ready_at;
  guint at = hr_list_position (core, machine, hr_job_of_task (core, ref));
  g_array_insert_val (machine->plan.list, at, ref);
  double *starts = hr_projection_scratch (machine->plan.list->len);
  hr_project_list (core, machine, starts);
  *start = starts[at];
  HrListScore change = {machine->plan.late_count - late, machine->plan.tardiness - tard};
  g_array_remove_index (machine->plan.list, at);
  machine->plan.late_count = late;
  machine->plan.tardiness = tard;
  machine->plan.ready_at = ready;
  return change;
}

/* The lists that may take the job's tasks, earliest-starting first. */
GPtrArray *
hr_mtedf_order (HrCore *core, GPtrArray *lists, HrJob *job)
{
  GPtrArray *order = g_ptr_array_sized_new (lists->len);
  for (guint k = 0; k < lists->len; k++) {
    HrMachine *machine = lists->pdata[k];
    if (!hr_job_allows_machine (core, job, machine))
      continue;
    machine->plan.candidate_start =
        floor (machine->plan.ready_at + hr_estimate_fetch_time (core, job, machine));
    g_ptr_array_add (order, machine);
  }
  g_ptr_array_sort_with_data (order, by_ready, NULL);
  return order;
}

/* One list of the order has got a task more: it moves to where it belongs now. */
static void
reorder (HrCore *core, GPtrArray *order, guint at, HrJob *job)
{
  HrMachine *machine = order->pdata[at];
  machine->plan.candidate_start =
      floor (machine->plan.ready_at + hr_estimate_fetch_time (core, job, machine));
  for (; at + 1 < order->len && by_ready (&order->pdata[at], &order->pdata[at + 1], NULL) > 0;
       at++) {
    order->pdata[at] = order->pdata[at + 1];
    order->pdata[at + 1] = machine;
  }
  for (; at > 0 && by_ready (&order->pdata[at], &order->pdata[at - 1], NULL) < 0; at--) {
    order->pdata[at] = order->pdata[at - 1];
    order->pdata[at - 1] = machine;
  }
}

gboolean
hr_mtedf_task (HrCore *core, GPtrArray *order, HrJob *job, guint32 task_index, guint tries)
{
  HrTaskRef ref = {job->index, task_index};
  guint best = HR_NONE;
  HrListScore best_change = {G_MAXUINT, INFINITY};
  double best_start = INFINITY;
  /* When far more is queued than runs, a sample of the lists must do: half of it the
   * earliest ones, the other half drawn from the rest. */
  guint sure = tries < order->len ? (tries + 1) / 2 : order->len;
  double share = order->len > sure ? (double)(tries - sure) / (order->len - sure) : 1;
  for (guint k = 0; k < order->len; k++) {
    HrMachine *machine = order->pdata[k];
    if (k >= sure && g_rand_double (core->random) >= share)
      continue;
    if (!hr_job_allows_zone (core, job, machine))
      continue;
    double start;
    HrListScore change = score_list (core, machine, ref, &start);
    if (start > core->now + 1e5)
      continue;
    start += hr_estimate_fetch_time (core, job, machine);
    if (hr_list_score_better (change, best_change) ||
        (!hr_list_score_better (best_change, change) && start < best_start - 1e-6)) {
      best_change = change;
      best_start = start;
      best = k;
    }
    if (change.late == 0 && change.tardiness <= 0)
      break; /* no tardiness: the paper stops here */
  }
  if (best == HR_NONE)
    return FALSE;
  HrMachine *machine = order->pdata[best];
  hr_list_insert (core, machine, ref);
  hr_project_list (core, machine, NULL);
  reorder (core, order, best, job);
  return TRUE;
}

/* A gang's sample is the same in each pass: the hold on its machines has to last until
 * the last of them is free. */
static gboolean
sampled (const HrJob *job, const HrMachine *machine, guint tries, guint lists)
{
  guint32 hash = (job->index + 1) * 0x9e3779b9u ^ (machine->index + 1) * 0x85ebca6bu;
  hash = (hash ^ hash >> 15) * 0xc2b2ae35u;
  return tries >= lists || (hash ^ hash >> 16) / 4294967296.0 * lists < tries;
}

/* Could it fit there once all but services is gone? */
static gboolean
may_free (HrCore *core, const HrMachine *machine, const HrJobSpec *spec)
{
  const HrMachineType *type = hr_machine_type_of (core, machine);
  return spec->cpus <= type->cpus - machine->services.cpus + 1e-6 &&
         spec->gpus <= type->gpus - machine->services.gpus + 1e-6 &&
         spec->memory_gb <= type->memory_gb - machine->services.memory_gb + 1e-6;
}

/* A gang takes one slot in each chosen list, with a common start: the machines
 * that can have it soonest, within one zone where the job asks for that. */
void
hr_mtedf_gang (HrCore *core, GPtrArray *order, HrJob *job, guint tries)
{
  g_autoptr (GArray) pick = NULL;
  double common = INFINITY, soonest = INFINITY;
  guint zones = job->spec.one_zone ? core->names->zones.names->len : 1;
  job->plan.gang_start = 0;
  if (order->len < job->n_tasks)
    return; /* one slot in each list: there are too few */
  g_autofree double *start = g_new (double, order->len + 1),
                    *fetch = g_new0 (double, order->len + 1);
  g_autofree gboolean *used = g_new0 (gboolean, order->len + 1);
  for (guint k = 0; k < order->len; k++) {
    HrMachine *machine = order->pdata[k];
    HrTaskRef ref = {job->index, 0};
    start[k] = INFINITY;
    if (!hr_job_allows_machine (core, job, machine))
      continue;
    fetch[k] = hr_estimate_fetch_time (core, job, machine);
    if (!machine->tasks->len && !machine->plan.list->len &&
        hr_machine_fits_unreserved (machine, &job->spec))
      start[k] = machine->plan.ready_at; /* nothing to project */
    else if (sampled (job, machine, tries, order->len) && may_free (core, machine, &job->spec))
      score_list (core, machine, ref, &start[k]);
    else
      continue;
    /* Waiting for others to end is less sure than fetching: it counts double. */
    fetch[k] += MAX (0, start[k] - core->now);
  }
  for (guint zone = 0; zone < zones; zone++) {
    g_autoptr (GArray) got = g_array_new (FALSE, FALSE, sizeof (guint));
    double last = 0;
    while (got->len < job->n_tasks) {
      guint best = HR_NONE;
      for (guint k = 0; k < order->len; k++) {
        HrMachine *machine = order->pdata[k];
        if (used[k] || start[k] > core->now + 1e5 || (job->spec.one_zone && machine->zone != zone))
          continue;
        if (best == HR_NONE || start[k] + fetch[k] < start[best] + fetch[best])
          best = k;
      }
      if (best == HR_NONE)
        break;
      last = MAX (last, start[best]);
      used[best] = TRUE; /* each zone has machines of its own */
      g_array_append_val (got, best);
    }
    double begins = last;
    for (guint i = 0; i < got->len; i++) {
      guint k = g_array_index (got, guint, i);
      begins = MAX (begins, start[k] + fetch[k]);
    }
    if (job->spec.one_zone && zone == core->settings->home)
      begins -= HR_HOME_S;
    if (got->len == job->n_tasks && begins < soonest) {
      soonest = begins;
      common = last;
      g_clear_pointer (&pick, g_array_unref);
      pick = g_steal_pointer (&got);
    }
  }
  if (!pick)
    return;
  job->plan.gang_start = common;
  for (guint32 i = 0; i < job->n_tasks; i++) {
    HrMachine *machine = order->pdata[g_array_index (pick, guint, i)];
    HrTaskRef ref = {job->index, i};
    hr_list_insert (core, machine, ref);
    hr_project_list (core, machine, NULL);
  }
}
