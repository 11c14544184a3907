/* Bounded tabu search over the lists (the paper's figures 2 and 3). */
#include "coordination/scheduling/plan.h"
#include <string.h>

static gboolean
is_tabu (GArray *tabu, HrTaskRef r)
{
  for (guint i = 0; i < tabu->len; i++) {
    HrTaskRef *x = &g_array_index (tabu, HrTaskRef, i);
    if (x->job == r.job && x->task == r.task)
      return TRUE;
  }
  return FALSE;
}

void
hr_tabu_search (HrCore *c, GPtrArray *lists)
{
  guint n = lists->len;
  g_autofree gboolean *avail = g_new (gboolean, n), *cand = g_new (gboolean, n);
  g_autoptr (GArray) tabu = g_array_new (FALSE, FALSE, sizeof (HrTaskRef));
  double total = 0;
  for (guint i = 0; i < n; i++) {
    avail[i] = cand[i] = TRUE;
    total += ((HrMachine *)lists->pdata[i])->plan.tardiness;
  }
  for (guint round = 0; round < c->policy.tabu_rounds && total > 1e-6; round++) {
    guint hi = HR_NONE, lo = HR_NONE;
    for (guint i = 0; i < n; i++) {
      HrMachine *m = lists->pdata[i];
      if (avail[i] && m->plan.list->len &&
          (hi == HR_NONE || m->plan.tardiness > ((HrMachine *)lists->pdata[hi])->plan.tardiness))
        hi = i;
    }
    if (hi == HR_NONE)
      return;
    HrMachine *a = lists->pdata[hi];
    /* The most tardy job of the tardiest list. Gangs stay: their slots hang together. */
    double *starts = hr_projection_scratch (a->plan.list->len);
    hr_project_list (c, a, starts);
    HrTaskRef pick = {HR_NONE, 0};
    double worst = 0;
    for (guint i = 0; i < a->plan.list->len; i++) {
      HrTaskRef r = g_array_index (a->plan.list, HrTaskRef, i);
      HrJob *j = hr_job_of_task (c, r);
      double over =
          starts[i] + hr_estimate_run_time (c, j, a) - (j->plan.deadline - c->wall_time + c->now);
      if (over > worst && j->spec.shape != HR_GANG && !is_tabu (tabu, r)) {
        worst = over;
        pick = r;
      }
    }
    if (pick.job == HR_NONE) {
      avail[hi] = FALSE;
      memset (cand, 0xff, n * sizeof *cand);
      continue;
    }
    HrJob *j = hr_job_of_task (c, pick);
    for (guint i = 0; i < n; i++) {
      HrMachine *m = lists->pdata[i];
      if (i != hi && cand[i] && hr_job_allows_machine (c, j, m) && hr_job_allows_zone (c, j, m) &&
          (lo == HR_NONE || m->plan.tardiness < ((HrMachine *)lists->pdata[lo])->plan.tardiness ||
           (m->plan.tardiness == ((HrMachine *)lists->pdata[lo])->plan.tardiness &&
            m->plan.ready_at < ((HrMachine *)lists->pdata[lo])->plan.ready_at)))
        lo = i;
    }
    if (lo == HR_NONE) {
      if (tabu->len >= c->policy.tabu_jobs && tabu->len)
        g_array_remove_index (tabu, 0); /* oldest out first */
      g_array_append_val (tabu, pick);
      memset (cand, 0xff, n * sizeof *cand);
      continue;
    }
    HrMachine *b = lists->pdata[lo];
    HrListScore before = {a->plan.late_count + b->plan.late_count,
                          a->plan.tardiness + b->plan.tardiness};
    hr_list_remove (a, pick);
    hr_list_insert (c, b, pick);
    hr_project_list (c, a, NULL);
    hr_project_list (c, b, NULL);
    HrListScore after = {a->plan.late_count + b->plan.late_count,
                         a->plan.tardiness + b->plan.tardiness};
    if (hr_list_score_better (after, before)) {
      total += after.tardiness - before.tardiness;
      memset (avail, 0xff, n * sizeof *avail);
      memset (cand, 0xff, n * sizeof *cand);
    } else {
      hr_list_remove (b, pick);
      hr_list_insert (c, a, pick);
      hr_project_list (c, a, NULL);
      hr_project_list (c, b, NULL);
      cand[lo] = FALSE;
    }
  }
}
