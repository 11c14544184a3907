/* Guarantees of teams. */
#include "coordination/limits.h"
#include "coordination/room.h"

int
hr_by_submission (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  if (x->submitted != y->submitted)
    return x->submitted < y->submitted ? -1 : 1;
  return x->idx < y->idx ? -1 : x->idx > y->idx;
}

/* Marks the jobs that fit into their team's guarantee together with its earlier unfinished
 * ones: they need not wait for other teams. With one team there is nobody to wait for. */
void
hr_team_entitle (HrCore *c)
{
  c->entitled_waits = FALSE;
  if (c->set->teams->len < 2)
    return;
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    j->entitled = FALSE;
    if (j->stance == HR_QUEUED && j->tasks)
      g_ptr_array_add (jobs, j);
  }
  g_ptr_array_sort (jobs, hr_by_submission);
  for (guint k = 0; k < c->set->teams->len; k++) {
    const HrTeam *t = &g_array_index (c->set->teams, HrTeam, k);
    double cpus = 0, gpus = 0;
    for (guint i = 0; i < jobs->len; i++) {
      HrJob *j = jobs->pdata[i];
      if (j->spec.team != t->team)
        continue;
      cpus += (j->ntasks - j->ndone) * j->spec.cpus;
      gpus += (j->ntasks - j->ndone) * j->spec.gpus;
      j->entitled = cpus <= t->cpus + 1e-6 && gpus <= t->gpus + 1e-6;
      c->entitled_waits |= j->entitled && j->nlive + j->ndone < j->ntasks &&
                           c->now >= j->retry_at && hr_limits_grant (c, j);
    }
  }
}

/* May n more tasks of the job be on machines, as far as limits and guarantees go? */
gboolean
hr_team_allows (HrCore *c, const HrJob *j, guint n)
{
  /* While a job within its team's guarantee waits, the others borrow nothing more: what is
   * stopped or ends makes room for that job. */
  if (c->entitled_waits && !j->entitled && hr_team_beyond (c, j, n))
    return FALSE;
  return hr_limits_grant (c, j) >= n;
}

/* Does the team run more than it is guaranteed (over), or would n more tasks stay within? */
gboolean
hr_team_beyond (HrCore *c, const HrJob *j, guint n)
{
  const HrTeam *t = hr_team (c, j->spec.team);
  if (!t)
    return TRUE;
  HrAmount used = hr_team_use (c, j->spec.team)->used;
  return used.cpus + n * j->spec.cpus > t->cpus + 1e-6 ||
         used.gpus + n * j->spec.gpus > t->gpus + 1e-6;
}
