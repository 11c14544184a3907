/* MT-EDF: a new task is tried at its deadline slot in the lists (the paper's figure 1). */
#include "coordination/scheduling/plan.h"
#include <math.h>

/* Earliest-starting list first, the image fetch included. */
static int
by_ready (gconstpointer a, gconstpointer b, gpointer data)
{
  const HrMachine *x = *(HrMachine *const *)a, *y = *(HrMachine *const *)b;
  if (x->plan.candidate_start != y->plan.candidate_start)
    return x->plan.candidate_start < y->plan.candidate_start ? -1 : 1;
  if (x->is_spot != y->is_spot)
    return x->is_spot ? -1 : 1; /* cheaper */
  if (x->tasks->len + x->plan.list->len !=
      y->tasks->len + y->plan.list->len) /* so that others fall empty */
    return x->tasks->len + x->plan.list->len > y->tasks->len + y->plan.list->len ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

gboolean
hr_list_score_better (HrListScore a, HrListScore b)
{
  return a.late < b.late || (a.late == b.late && a.tardiness < b.tardiness - 1e-9);
}

/* How the whole plan changes when the task joins this list: the others stay as
 * they are, so the difference on this list decides. */
static HrListScore
score_list (HrCore *c, HrMachine *m, HrTaskRef r, double *start)
{
  guint late = m->plan.late_count;
  double tard = m->plan.tardiness, ready = m->plan.ready_at;
  guint at = hr_list_position (c, m, hr_job_of_task (c, r));
  g_array_insert_val (m->plan.list, at, r);
  double *starts = hr_projection_scratch (m->plan.list->len);
  hr_project_list (c, m, starts);
  *start = starts[at];
  HrListScore d = {m->plan.late_count - late, m->plan.tardiness - tard};
  g_array_remove_index (m->plan.list, at);
  m->plan.late_count = late;
  m->plan.tardiness = tard;
  m->plan.ready_at = ready;
  return d;
}

/* The lists that may take the job's tasks, earliest-starting first. */
GPtrArray *
hr_mtedf_order (HrCore *c, GPtrArray *lists, HrJob *j)
{
  GPtrArray *order = g_ptr_array_sized_new (lists->len);
  for (guint k = 0; k < lists->len; k++) {
    HrMachine *m = lists->pdata[k];
    if (!hr_job_allows_machine (c, j, m))
      continue;
    m->plan.candidate_start = floor (m->plan.ready_at + hr_estimate_fetch_time (c, j, m));
    g_ptr_array_add (order, m);
  }
  g_ptr_array_sort_with_data (order, by_ready, NULL);
  return order;
}

/* One list of the order has got a task more: it moves to where it belongs now. */
static void
reorder (HrCore *c, GPtrArray *order, guint at, HrJob *j)
{
  HrMachine *m = order->pdata[at];
  m->plan.candidate_start = floor (m->plan.ready_at + hr_estimate_fetch_time (c, j, m));
  for (; at + 1 < order->len && by_ready (&order->pdata[at], &order->pdata[at + 1], NULL) > 0;
       at++) {
    order->pdata[at] = order->pdata[at + 1];
    order->pdata[at + 1] = m;
  }
  for (; at > 0 && by_ready (&order->pdata[at], &order->pdata[at - 1], NULL) < 0; at--) {
    order->pdata[at] = order->pdata[at - 1];
    order->pdata[at - 1] = m;
  }
}

gboolean
hr_mtedf_task (HrCore *c, GPtrArray *order, HrJob *j, guint32 task, guint tries)
{
  HrTaskRef r = {j->index, task};
  guint best = HR_NONE;
  HrListScore bj = {G_MAXUINT, INFINITY};
  double bs = INFINITY;
  /* When far more is queued than runs, a sample of the lists must do: half of it the
   * earliest ones, the other half drawn from the rest. */
  guint sure = tries < order->len ? (tries + 1) / 2 : order->len;
  double share = order->len > sure ? (double)(tries - sure) / (order->len - sure) : 1;
  for (guint k = 0; k < order->len; k++) {
    HrMachine *m = order->pdata[k];
    if (k >= sure && g_rand_double (c->random) >= share)
      continue;
    if (!hr_job_allows_zone (c, j, m))
      continue;
    double start;
    HrListScore d = score_list (c, m, r, &start);
    if (start > c->now + 1e5)
      continue;
    start += hr_estimate_fetch_time (c, j, m);
    if (hr_list_score_better (d, bj) || (!hr_list_score_better (bj, d) && start < bs - 1e-6)) {
      bj = d;
      bs = start;
      best = k;
    }
    if (d.late == 0 && d.tardiness <= 0)
      break; /* no tardiness: the paper stops here */
  }
  if (best == HR_NONE)
    return FALSE;
  HrMachine *m = order->pdata[best];
  hr_list_insert (c, m, r);
  hr_project_list (c, m, NULL);
  reorder (c, order, best, j);
  return TRUE;
}

/* A gang's sample is the same in each pass: the hold on its machines has to last until
 * the last of them is free. */
static gboolean
sampled (const HrJob *j, const HrMachine *m, guint tries, guint lists)
{
  guint32 h = (j->index + 1) * 0x9e3779b9u ^ (m->index + 1) * 0x85ebca6bu;
  h = (h ^ h >> 15) * 0xc2b2ae35u;
  return tries >= lists || (h ^ h >> 16) / 4294967296.0 * lists < tries;
}

/* Could it fit there once all but services is gone? */
static gboolean
may_free (HrCore *c, const HrMachine *m, const HrJobSpec *s)
{
  const HrMachineType *t = hr_machine_type_of (c, m);
  return s->cpus <= t->cpus - m->services.cpus + 1e-6 &&
         s->gpus <= t->gpus - m->services.gpus + 1e-6 &&
         s->memory_gb <= t->memory_gb - m->services.memory_gb + 1e-6;
}

/* A gang takes one slot in each chosen list, with a common start: the machines
 * that can have it soonest, within one zone where the job asks for that. */
void
hr_mtedf_gang (HrCore *c, GPtrArray *order, HrJob *j, guint tries)
{
  g_autoptr (GArray) pick = NULL;
  double common = INFINITY, soonest = INFINITY;
  guint zones = j->spec.one_zone ? c->names->zones.names->len : 1;
  j->plan.gang_start = 0;
  if (order->len < j->n_tasks)
    return; /* one slot in each list: there are too few */
  g_autofree double *start = g_new (double, order->len + 1),
                    *fetch = g_new0 (double, order->len + 1);
  g_autofree gboolean *used = g_new0 (gboolean, order->len + 1);
  for (guint k = 0; k < order->len; k++) {
    HrMachine *m = order->pdata[k];
    HrTaskRef r = {j->index, 0};
    start[k] = INFINITY;
    if (!hr_job_allows_machine (c, j, m))
      continue;
    fetch[k] = hr_estimate_fetch_time (c, j, m);
    if (!m->tasks->len && !m->plan.list->len && hr_machine_fits_unreserved (m, &j->spec))
      start[k] = m->plan.ready_at; /* nothing to project */
    else if (sampled (j, m, tries, order->len) && may_free (c, m, &j->spec))
      score_list (c, m, r, &start[k]);
    else
      continue;
    /* Waiting for others to end is less sure than fetching: it counts double. */
    fetch[k] += MAX (0, start[k] - c->now);
  }
  for (guint z = 0; z < zones; z++) {
    g_autoptr (GArray) got = g_array_new (FALSE, FALSE, sizeof (guint));
    double last = 0;
    while (got->len < j->n_tasks) {
      guint best = HR_NONE;
      for (guint k = 0; k < order->len; k++) {
        HrMachine *m = order->pdata[k];
        if (used[k] || start[k] > c->now + 1e5 || (j->spec.one_zone && m->zone != z))
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
    if (j->spec.one_zone && z == c->settings->home)
      begins -= HR_HOME_S;
    if (got->len == j->n_tasks && begins < soonest) {
      soonest = begins;
      common = last;
      g_clear_pointer (&pick, g_array_unref);
      pick = g_steal_pointer (&got);
    }
  }
  if (!pick)
    return;
  j->plan.gang_start = common;
  for (guint32 i = 0; i < j->n_tasks; i++) {
    HrMachine *m = order->pdata[g_array_index (pick, guint, i)];
    HrTaskRef r = {j->index, i};
    hr_list_insert (c, m, r);
    hr_project_list (c, m, NULL);
  }
}
