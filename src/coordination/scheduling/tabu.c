/* Bounded tabu search over the lists (the paper's figures 2 and 3). */
#include "coordination/scheduling/tabu.h"
#include "coordination/scheduling/mtedf.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/projection.h"
#include "coordination/state.h"
#include <string.h>

static gboolean
is_tabu (GArray *tabu, HrTaskRef ref)
{
  for (guint i = 0; i < tabu->len; i++) {
    HrTaskRef *first = &g_array_index (tabu, HrTaskRef, i);
    if (first->job == ref.job && first->task == ref.task)
      return TRUE;
  }
  return FALSE;
}

void
hr_tabu_search (HrCore *core, GPtrArray *lists)
{
  guint n = lists->len;
  g_autofree gboolean *avail = g_new (gboolean, n), *cand = g_new (gboolean, n);
  g_autoptr (GArray) tabu = g_array_new (FALSE, FALSE, sizeof (HrTaskRef));
  double total = 0;
  for (guint i = 0; i < n; i++) {
    avail[i] = cand[i] = TRUE;
    total += ((HrMachine *)lists->pdata[i])->plan.tardiness;
  }
  for (guint round = 0; round < core->policy.tabu_rounds && total > 1e-6; round++) {
    guint hi = HR_NONE, lo = HR_NONE;
    for (guint i = 0; i < n; i++) {
      HrMachine *machine = lists->pdata[i];
      if (avail[i] && machine->plan.list->len &&
          (hi == HR_NONE ||
           machine->plan.tardiness > ((HrMachine *)lists->pdata[hi])->plan.tardiness))
        hi = i;
    }
    if (hi == HR_NONE)
      return;
    HrMachine *left = lists->pdata[hi];
    /* The most tardy job of the tardiest list. Gangs stay: their slots hang together. */
    double *starts = hr_projection_scratch (left->plan.list->len);
    hr_project_list (core, left, starts);
    HrTaskRef pick = {HR_NONE, 0};
    double worst = 0;
    for (guint i = 0; i < left->plan.list->len; i++) {
      HrTaskRef ref = g_array_index (left->plan.list, HrTaskRef, i);
      HrJob *job = hr_job_of_task (core, ref);
      double over = starts[i] + hr_estimate_run_time (core, job, left) -
                    (job->plan.deadline - core->wall_time + core->now);
      if (over > worst && job->spec.shape != HR_GANG && !is_tabu (tabu, ref)) {
        worst = over;
        pick = ref;
      }
    }
    if (pick.job == HR_NONE) {
      avail[hi] = FALSE;
      memset (cand, 0xff, n * sizeof *cand);
      continue;
    }
    HrJob *job = hr_job_of_task (core, pick);
    for (guint i = 0; i < n; i++) {
      HrMachine *machine = lists->pdata[i];
      if (i != hi && cand[i] && hr_job_allows_machine (core, job, machine) &&
          hr_job_allows_zone (core, job, machine) &&
          (lo == HR_NONE ||
           machine->plan.tardiness < ((HrMachine *)lists->pdata[lo])->plan.tardiness ||
           (machine->plan.tardiness == ((HrMachine *)lists->pdata[lo])->plan.tardiness &&
            machine->plan.ready_at < ((HrMachine *)lists->pdata[lo])->plan.ready_at)))
        lo = i;
    }
    if (lo == HR_NONE) {
      if (tabu->len >= core->policy.tabu_jobs && tabu->len)
        g_array_remove_index (tabu, 0); /* oldest out first */
      g_array_append_val (tabu, pick);
      memset (cand, 0xff, n * sizeof *cand);
      continue;
    }
    HrMachine *right = lists->pdata[lo];
    HrListScore before = {left->plan.late_count + right->plan.late_count,
                          left->plan.tardiness + right->plan.tardiness};
    hr_list_remove (left, pick);
    hr_list_insert (core, right, pick);
    hr_project_list (core, left, NULL);
    hr_project_list (core, right, NULL);
    HrListScore after = {left->plan.late_count + right->plan.late_count,
                         left->plan.tardiness + right->plan.tardiness};
    if (hr_list_score_better (after, before)) {
      total += after.tardiness - before.tardiness;
      memset (avail, 0xff, n * sizeof *avail);
      memset (cand, 0xff, n * sizeof *cand);
    } else {
      hr_list_remove (right, pick);
      hr_list_insert (core, left, pick);
      hr_project_list (core, left, NULL);
      hr_project_list (core, right, NULL);
      cand[lo] = FALSE;
    }
  }
}
