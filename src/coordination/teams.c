/* Limits and guarantees of teams. */
#include "coordination/room.h"

static void
team_use (HrCore *c, guint32 team, double *cpus, double *gpus)
{
  *cpus = *gpus = 0;
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->spec.team != team)
      continue;
    *cpus += j->nlive * j->spec.cpus;
    *gpus += j->nlive * j->spec.gpus;
  }
}

static gboolean
within_limit (HrCore *c, const HrJob *j, guint n)
{
  const HrTeam *t = hr_team (c, j->spec.team);
  double cpus, gpus;
  if (!t || (t->cpus_max <= 0 && t->gpus_max <= 0))
    return TRUE;
  team_use (c, j->spec.team, &cpus, &gpus);
  return (t->cpus_max <= 0 || cpus + n * j->spec.cpus <= t->cpus_max + 1e-6) &&
         (t->gpus_max <= 0 || gpus + n * j->spec.gpus <= t->gpus_max + 1e-6);
}

static int
by_submission (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  if (x->submitted != y->submitted)
    return x->submitted < y->submitted ? -1 : 1;
  return x->idx < y->idx ? -1 : x->idx > y->idx;
}

/* Marks the jobs that fit into their team's guarantee together with its earlier unfinished
 * ones: they need not wait for other teams. With one team there is nobody to wait for. */
static void
mark_entitled (HrCore *c)
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
  g_ptr_array_sort (jobs, by_submission);
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
      c->entitled_waits |= j->entitled && j->nlive + j->ndone < j->ntasks && c->now >= j->retry_at;
    }
  }
}

/* Finds, per team, the earliest gang that its limit keeps back. Work with a later
 * deadline waits behind it: a few tasks at a time, it would use up the limit for ever. */
void
hr_team_waits (HrCore *c)
{
  g_array_set_size (c->team_waits, 0);
  mark_entitled (c);
  for (guint i = 0; i < c->names->teams.names->len; i++) {
    guint32 none = HR_NONE;
    g_array_append_val (c->team_waits, none);
  }
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->stance != HR_QUEUED || j->spec.shape != HR_GANG || j->nlive || j->ndone ||
        c->now < j->retry_at || within_limit (c, j, j->ntasks))
      continue;
    guint32 *w = &g_array_index (c->team_waits, guint32, j->spec.team);
    if (*w == HR_NONE || j->deadline < ((HrJob *)c->jobs->pdata[*w])->deadline)
      *w = j->idx;
  }
}

/* May n more tasks of the job be on machines, as far as its team's limit goes? Every
 * task that is not proven gone counts. */
gboolean
hr_team_allows (HrCore *c, const HrJob *j, guint n)
{
  guint32 w = j->spec.team < c->team_waits->len
                  ? g_array_index (c->team_waits, guint32, j->spec.team)
                  : HR_NONE;
  if (w != HR_NONE && w != j->idx && j->spec.shape != HR_SERVICE &&
      j->deadline > ((HrJob *)c->jobs->pdata[w])->deadline)
    return FALSE;
  /* While a job within its team's guarantee waits, the others borrow nothing more: what is
   * stopped or ends makes room for that job. */
  if (c->entitled_waits && !j->entitled && hr_team_beyond (c, j, n))
    return FALSE;
  return within_limit (c, j, n);
}

/* Does the team run more than it is guaranteed (over), or would n more tasks stay within? */
gboolean
hr_team_beyond (HrCore *c, const HrJob *j, guint n)
{
  const HrTeam *t = hr_team (c, j->spec.team);
  double cpus, gpus;
  if (!t)
    return TRUE;
  team_use (c, j->spec.team, &cpus, &gpus);
  return cpus + n * j->spec.cpus > t->cpus + 1e-6 || gpus + n * j->spec.gpus > t->gpus + 1e-6;
}
