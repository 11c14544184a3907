/* From the plan to orders: what can start now starts, what cannot is made room
 * for, rented for, or waits; idle machines go back. */
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/service_replicas.h"
#include "coordination/scheduling/free_capacity.h"
#include <math.h>

gboolean
hr_machine_is_reachable (const HrCore *c, const HrMachine *m)
{
  return m->state == HR_MACHINE_UP && m->agent.heard_at > 0 &&
         c->now - m->agent.heard_at < c->policy.silent_s;
}

gboolean
hr_dispatch_fits_now (HrCore *c, HrJob *j, HrMachine *m)
{
  return hr_machine_fits (m, &j->spec) && hr_machine_is_reachable (c, m) &&
         c->now >= m->full_until && hr_job_allows_machine (c, j, m) && hr_job_allows_zone (c, j, m);
}

gboolean
hr_dispatch_startable (HrCore *c, HrJob *j, HrMachine *m)
{
  return c->now >= j->run.retry_at && hr_dispatch_fits_now (c, j, m) &&
         (j->spec.shape == HR_SERVICE || hr_machine_fits_unreserved (m, &j->spec));
}

static void
start (HrCore *c, HrJob *j, guint32 task, HrMachine *m, guint32 attempt)
{
  if (j->tasks[task].is_listed) {
    hr_task_unplan (j, task);
    hr_list_remove (c->store.tables.machines->pdata[j->tasks[task].listed_on],
                    (HrTaskRef){j->index, task});
  }
  hr_task_assign (c, j, task, m, attempt);
  hr_quotas_task_started (c, j);
}

static guint32
next_attempt (const HrTask *t)
{
  return MAX (t->placement.attempt, t->recorded.attempt) + 1;
}

void
hr_dispatch_start (HrCore *c, HrJob *j, guint32 task, HrMachine *m)
{
  start (c, j, task, m, next_attempt (&j->tasks[task]));
}

GPtrArray *
hr_dispatch_open_machines (HrCore *c)
{
  GPtrArray *a = g_ptr_array_sized_new (c->scaling.fleet->len);
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (m->state == HR_MACHINE_UP && !m->is_draining && m->free.cpus - m->unrecognized.cpus > 0)
      g_ptr_array_add (a, m);
  }
  return a;
}

/* All slots of the gang, if each can start now. */
static gboolean
start_gang (HrCore *c, HrJob *j)
{
  g_autofree HrMachine **on = g_new0 (HrMachine *, j->n_tasks);
  if (!hr_team_allows_start (c, j, j->n_tasks))
    return FALSE;
  for (guint32 i = 0; i < j->n_tasks; i++) {
    if (!j->tasks[i].is_listed || j->tasks[i].state != HR_TASK_IDLE)
      return FALSE;
    on[i] = c->store.tables.machines->pdata[j->tasks[i].listed_on];
    if (!hr_dispatch_startable (c, j, on[i]))
      return FALSE;
  }
  guint32 attempt = hr_job_next_attempt (j);
  for (guint32 i = 0; i < j->n_tasks; i++)
    start (c, j, i, on[i], attempt);
  return TRUE;
}

/* A gang that lost a task before its start gets that task anew, with the same attempt
 * number, where the image is soonest. The others wait for gang_wait_s only, and occupy
 * their machines meanwhile: where no place is found in half of that, it begins anew. */
static void
complete_gang (HrCore *c, HrJob *j)
{
  guint32 attempt = 0;
  gboolean whole = TRUE;
  for (guint32 k = 0; k < j->n_tasks; k++)
    if (j->tasks[k].state != HR_TASK_IDLE)
      attempt = j->tasks[k].placement.attempt;
  for (guint32 k = 0; k < j->n_tasks; k++) {
    HrMachine *best = NULL;
    if (j->tasks[k].state != HR_TASK_IDLE)
      continue;
    gboolean allowed = hr_team_allows_start (c, j, 1);
    for (guint i = 0; i < c->scaling.fleet->len; i++) {
      HrMachine *m = c->scaling.fleet->pdata[i];
      /* Where it was refused, the same attempt would be taken for the refused one. */
      if (allowed && m->index != j->tasks[k].placement.machine && hr_dispatch_startable (c, j, m) &&
          (!best || hr_estimate_fetch_time (c, j, m) < hr_estimate_fetch_time (c, j, best)))
        best = m;
    }
    if (best) {
      g_info ("%s/%u was lost before the gang's start; %s takes its place", j->id, k, best->name);
      start (c, j, k, best, attempt);
    } else
      whole = FALSE;
  }
  if (whole)
    j->run.gang_incomplete_since = 0;
  else if (c->now - j->run.gang_incomplete_since > c->settings->gang_wait_s / 2)
    hr_gang_end_attempt (c, j, 0);
}

/* May this task start on the machine now without holding up an earlier one of its list? */
static gboolean
may_pass (HrCore *c, HrJob *j, HrMachine *m, double blocked_until)
{
  return c->now + hr_estimate_run_time (c, j, m) <= blocked_until;
}

/* Starts what can start of the machine's own list. Returns when the first task
 * that cannot start is due to: others may only fill the time until then. */
static double
start_list (HrCore *c, HrMachine *m)
{
  double blocked = INFINITY;
  for (guint i = 0; i < m->plan.list->len;) {
    HrTaskRef r = g_array_index (m->plan.list, HrTaskRef, i);
    HrJob *j = c->store.tables.jobs->pdata[r.job];
    gboolean ok =
        hr_dispatch_startable (c, j, m) && (!isfinite (blocked) || may_pass (c, j, m, blocked));
    if (ok && j->spec.shape == HR_GANG)
      ok = start_gang (c, j);
    else if (ok && (ok = hr_team_allows_start (c, j, 1)))
      hr_dispatch_start (c, j, r.task, m);
    if (ok) {
      i = 0; /* lists changed */
      blocked = INFINITY;
      continue;
    }
    /* One that its team holds back holds nobody else up. */
    if (!isfinite (blocked) && c->now >= j->run.retry_at && hr_team_allows_start (c, j, 1)) {
      g_autofree double *starts = g_new (double, m->plan.list->len);
      hr_project_list (c, m, starts);
      blocked = MAX (c->now, starts[i]);
    }
    i++;
  }
  return blocked;
}

static int
by_deadline (gconstpointer a, gconstpointer b, gpointer data)
{
  HrCore *c = data;
  const HrTaskRef *x = &((const HrListedTask *)a)->task, *y = &((const HrListedTask *)b)->task;
  const HrJob *p = c->store.tables.jobs->pdata[x->job], *q = c->store.tables.jobs->pdata[y->job];
  if (p->plan.deadline != q->plan.deadline)
    return p->plan.deadline < q->plan.deadline ? -1 : 1;
  return x->job != y->job ? (x->job < y->job ? -1 : 1) : (x->task > y->task) - (x->task < y->task);
}

gboolean
hr_dispatch_batch_better (HrCore *c, HrJob *j, HrMachine *a, HrMachine *b)
{
  double x = hr_estimate_run_time (c, j, a), y = hr_estimate_run_time (c, j, b);
  if (fabs (x - y) > 1)
    return x < y;
  if (a->is_spot != b->is_spot)
    return a->is_spot;
  return a->tasks->len > b->tasks->len;
}

/* A machine with room takes the earliest-deadline task that fits from any list, unless its
 * own list has it done sooner: where its image is cached, mostly. On a large fleet most tasks
 * else fetch their image anew. blocked: by index of the machine. */
static void
start_from_any (HrCore *c, GHashTable *blocked)
{
  g_autoptr (GPtrArray) capacities = hr_dispatch_open_machines (c);
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (HrListedTask));
  for (guint i = 0; i < c->scaling.fleet->len && capacities->len; i++)
    hr_list_append (c, c->scaling.fleet->pdata[i], all);
  for (guint i = all->len; i > 0; i--)
    if (hr_listed_job (c, all, i - 1)->spec.shape != HR_BATCH)
      g_array_remove_index_fast (all, i - 1);
  g_array_sort_with_data (all, by_deadline, c);
  guint32 without = HR_NONE; /* the job whose last task found no room: nor will the next */
  for (guint i = 0; i < all->len; i++) {
    const HrListedTask *l = &g_array_index (all, HrListedTask, i);
    HrTaskRef r = l->task;
    HrJob *j = hr_listed_job (c, all, i);
    HrMachine *best = NULL;
    if (r.job == without || !hr_team_allows_start (c, j, 1))
      continue;
    for (guint k = 0; k < capacities->len; k++) {
      HrMachine *m = capacities->pdata[k];
      double *until = g_hash_table_lookup (blocked, m);
      if (!hr_dispatch_startable (c, j, m) || (until && !may_pass (c, j, m, *until)))
        continue;
      if (!best || hr_dispatch_batch_better (c, j, m, best))
        best = m;
    }
    if (!best)
      without = r.job;
    else if (c->now + hr_estimate_run_time (c, j, best) <
             l->start + hr_estimate_run_time (c, j, l->machine))
      hr_dispatch_start (c, j, r.task, best);
  }
}

static int
by_priority (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  if (hr_job_priority (x) != hr_job_priority (y))
    return hr_job_priority (x) < hr_job_priority (y) ? -1 : 1;
  return hr_by_submission (a, b);
}

/* The room of all machines, those that boot first. booting: how many do. */
static HrFreeCapacity *
free_capacities (HrCore *c, guint *booting)
{
  guint n = c->scaling.fleet->len;
  HrFreeCapacity *capacities = g_new0 (HrFreeCapacity, n + 1);
  *booting = 0;
  for (guint i = 0, up = n; i < n; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    HrFreeCapacity *r = &capacities[m->state == HR_MACHINE_BOOTING ? (*booting)++ : --up];
    *r = (HrFreeCapacity){m, m->free.cpus, m->free.gpus, m->free.memory_gb, FALSE};
    for (guint k = 0; k < m->tasks->len; k++) {
      HrTaskRef x = g_array_index (m->tasks, HrTaskRef, k);
      HrJob *j = c->store.tables.jobs->pdata[x.job];
      if (j->tasks[x.task].stop_wanted) {
        r->cpus += j->spec.cpus;
        r->gpus += j->spec.gpus;
        r->memory_gb += j->spec.memory_gb;
      }
    }
  }
  return capacities;
}

void
hr_dispatch (HrCore *c)
{
  /* While nothing can be recorded nothing can start, so nothing is stopped to make room
   * and no machine is idle for want of work. */
  if (!c->scaling.machine_types || !hr_leadership_may_answer (c) || !hr_replica_is_served (c))
    return;
  g_autoptr (GPtrArray) services = g_ptr_array_new ();
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    if (j->state != HR_JOB_QUEUED || !j->tasks)
      continue;
    if (j->spec.shape == HR_SERVICE && j->run.n_live < j->n_tasks)
      g_ptr_array_add (services, j);
    else if (j->run.gang_incomplete_since)
      complete_gang (c, j);
  }
  g_ptr_array_sort (services, by_priority);
  hr_replicas_start (c, services);
  guint n = c->scaling.fleet->len;
  g_autoptr (GHashTable) blocked =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; i < n; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    double until = m->state == HR_MACHINE_UP && m->plan.list->len ? start_list (c, m) : INFINITY;
    if (isfinite (until))
      g_hash_table_insert (blocked, m, g_memdup2 (&until, sizeof until));
  }
  start_from_any (c, blocked);
  hr_starvation_guard_tick (c);
  hr_quotas_preempt (c);

  guint booting;
  g_autofree HrFreeCapacity *capacities = free_capacities (c, &booting);
  c->scheduling.booting_machines = booting;
  g_autoptr (GArray) needs = hr_scale_out_begin ();
  for (guint i = 0; i < services->len; i++) {
    HrJob *j = services->pdata[i];
    HrCapacityCursor at = {0};
    gboolean capacity = TRUE;
    guint left = hr_team_allows_start (c, j, 1) ? hr_quotas_granted (c, j) : 0;
    for (guint32 k = 0; k < j->n_tasks && left; k++) {
      if (j->tasks[k].state != HR_TASK_IDLE || j->run.retry_at > c->now)
        continue;
      left--;
      capacity = capacity && hr_preempt (c, j, capacities, FALSE);
      if (!capacity)
        hr_scale_out_for_task (c, capacities, booting, &at, needs, j);
    }
  }
  hr_guarantees_preempt (c, capacities);
  hr_scale_out_headroom (c, capacities, n, needs);
  hr_scale_out_for_lists (c, capacities, booting, needs);
  hr_scale_out_for_next_steps (c, capacities, n, needs);
  hr_scale_out_end (c, needs);
  hr_scale_in_idle (c, capacities, n);
}
