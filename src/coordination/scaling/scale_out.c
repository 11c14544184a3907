/* What is to be rented for what waits and for what is expected, and what can go back. */
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/free_capacity.h"
#include <math.h>

#define MAX_SCALE_OUT_TASKS 200 /* tasks of one job that machines are rented for in a pass */

/* For teams with a limit, this share of the wait that others tolerate. */
#define LIMITED_SLACK 0.25

/* Tasks of one kind that machines must be rented for. */
typedef struct {
  guint32 type, zone;
  gboolean is_spot;
  double cpus, gpus, memory_gb; /* left on the last machine counted */
  guint machines;
} Need;

static void
add_demand (HrCore *c, GArray *needs, guint64 types, guint32 zone, gboolean spot_ok, double cpus,
            double gpus, double mem)
{
  /* The cheapest type that fits and that the cloud has not just refused. */
  const HrMachineType *best = NULL;
  gboolean best_spot = FALSE;
  double least = INFINITY;
  for (guint i = 0; i < c->scaling.machine_types->len; i++) {
    const HrMachineType *t = &g_array_index (c->scaling.machine_types, HrMachineType, i);
    if ((types && !(types >> t->type & 1)) || cpus > t->cpus || gpus > t->gpus ||
        mem > t->memory_gb)
      continue;
    for (int spot = 0; spot <= (spot_ok && c->policy.spot_use > 0); spot++) {
      double share = MAX (MAX (cpus / t->cpus, gpus > 0 ? gpus / t->gpus : 0), mem / t->memory_gb);
      double price = (spot ? t->spot_price : t->price) * share;
      if (price < least && !hr_capacity_is_refused (c, t->type, zone, spot)) {
        least = price;
        best = t;
        best_spot = spot;
      }
    }
  }
  if (!best)
    return;
  Need *n = NULL;
  for (guint i = 0; i < needs->len && !n; i++) {
    Need *x = &g_array_index (needs, Need, i);
    if (x->type == best->type && x->zone == zone && x->is_spot == best_spot)
      n = x;
  }
  if (!n) {
    g_array_set_size (needs, needs->len + 1);
    n = &g_array_index (needs, Need, needs->len - 1);
    *n = (Need){best->type, zone, best_spot, 0, 0, 0, 0};
  }
  if (cpus > n->cpus + 1e-6 || gpus > n->gpus + 1e-6 || mem > n->memory_gb + 1e-6) {
    n->machines++;
    n->cpus = best->cpus;
    n->gpus = best->gpus;
    n->memory_gb = best->memory_gb;
  }
  n->cpus -= cpus;
  n->gpus -= gpus;
  n->memory_gb -= mem;
}

/* Room that is free, or will be once a boot or a stop has ended. Busy machines
 * first, so that idle ones stay free to go; cheap ones before others. */
static gboolean
find_free_capacity (HrCore *c, HrFreeCapacity *capacities, guint n_capacities, HrCapacityCursor *at,
                    HrJob *j, double cpus, double gpus, double mem, gboolean spot, guint64 types)
{
  if (at->last && (!j || hr_job_allows_zone (c, j, at->last->machine)) &&
      hr_free_capacity_take (at->last, cpus, gpus, mem))
    return TRUE;
  for (; at->pass < 4; at->pass++, at->index = 0)
    for (; at->index < n_capacities; at->index++) {
      HrFreeCapacity *r = &capacities[at->index];
      HrMachine *m = r->machine;
      gboolean idle = m->tasks->len == 0 && !r->is_reserved;
      if (idle != at->pass / 2 || m->is_spot != !(at->pass % 2) || (m->is_spot && !spot) ||
          (m->state != HR_MACHINE_UP && m->state != HR_MACHINE_BOOTING) || m->is_draining ||
          (types && !(types >> m->type & 1)) ||
          (j && (!hr_job_allows_machine (c, j, m) || !hr_job_allows_zone (c, j, m))))
        continue;
      if (!hr_free_capacity_take (r, cpus, gpus, mem))
        continue;
      r->is_reserved = TRUE;
      at->last = r;
      return TRUE;
    }
  return FALSE;
}

static double
boot_time (HrCore *c)
{
  double s = 0;
  for (guint i = 0; i < c->scaling.machine_types->len; i++)
    s = MAX (s, g_array_index (c->scaling.machine_types, HrMachineType, i).boot_s);
  return s;
}

/* How many tasks of a class cannot wait for a boot: replicas of services, and
 * classes for whose start or end there is an aim. */
guint
hr_headroom_wanted (HrCore *c, guint32 job_class)
{
  HrClassStats *s =
      hr_class_stats (c, job_class); /* a class known from old records alone has no row yet */
  double boots = 0;
  if (!s->is_seen)
    return 0;
  if (s->shape == HR_SERVICE)
    boots = c->policy.headroom_boots;
  for (guint i = 0; i < c->settings->objectives->len && s->shape != HR_SERVICE; i++) {
    HrObjective *a = &g_array_index (c->settings->objectives, HrObjective, i);
    if (a->job_class == job_class && a->kind == HR_OBJECTIVE_WAIT)
      boots = MAX (boots, c->policy.headroom_waits);
    else if (a->job_class == job_class && a->kind == HR_OBJECTIVE_DEADLINE)
      boots = MAX (boots, c->policy.headroom_deadlines);
  }
  double base = s->shape == HR_SERVICE ? c->policy.headroom_base : 0;
  return lround (base + hr_class_arrivals (c, s, 0) * boot_time (c) * boots);
}

guint
hr_headroom (HrCore *c, guint32 job_class)
{
  return hr_class_stats (c, job_class)->headroom;
}

void
hr_scale_out_headroom (HrCore *c, HrFreeCapacity *capacities, guint n_capacities, GArray *needs)
{
  for (guint k = 0; k < c->scheduling.class_stats->len; k++) {
    HrClassStats *s = &g_array_index (c->scheduling.class_stats, HrClassStats, k);
    HrCapacityCursor at = {0};
    for (guint n = hr_headroom (c, k); n > 0; n--)
      if (!find_free_capacity (c, capacities, n_capacities, &at, NULL, s->cpus, s->gpus,
                               s->memory_gb, s->allows_spot, s->types))
        add_demand (c, needs, s->types, HR_NONE, s->allows_spot, s->cpus, s->gpus, s->memory_gb);
  }
}

/* What is short of room gets it on a machine that boots, or on one to be rented. */
void
hr_scale_out_for_task (HrCore *c, HrFreeCapacity *capacities, guint booting, HrCapacityCursor *at,
                       GArray *needs, HrJob *j)
{
  const HrJobSpec *s = &j->spec;
  if (!find_free_capacity (c, capacities, booting, at, j, s->cpus, s->gpus, s->memory_gb,
                           s->allows_spot, s->types))
    add_demand (c, needs, s->types, s->zone, s->allows_spot, s->cpus, s->gpus, s->memory_gb);
}

/* The whole fleet is too small for the gang, and the cloud gives no more. Machines rented
 * for it would stand idle, go back, and be rented again, for ever: it pauses. */
static gboolean
exceeds_any_fleet (HrCore *c, HrJob *j)
{
  guint fleet = 0;
  if (c->now < j->plan.next_scale_out_at)
    return TRUE;
  if (j->spec.shape != HR_GANG || j->plan.n_listed)
    return FALSE;
  for (guint i = 0; i < c->scaling.machine_types->len; i++) {
    guint32 t = g_array_index (c->scaling.machine_types, HrMachineType, i).type;
    if ((!j->spec.types || j->spec.types >> t & 1) &&
        (!hr_capacity_is_refused (c, t, j->spec.zone, FALSE) ||
         (j->spec.allows_spot && c->policy.spot_use > 0 &&
          !hr_capacity_is_refused (c, t, j->spec.zone, TRUE))))
      return FALSE;
  }
  for (guint i = 0; i < c->scaling.fleet->len; i++)
    fleet += hr_job_allows_machine (c, j, c->scaling.fleet->pdata[i]);
  if (fleet >= j->n_tasks)
    return FALSE;
  j->plan.scale_out_pause_s = CLAMP (2 * j->plan.scale_out_pause_s, 15, 240);
  j->plan.next_scale_out_at = c->now + j->plan.scale_out_pause_s;
  g_message ("%s needs %u machines at once, the cloud gave %u; none is rented for it for %.0f s",
             j->id, j->n_tasks, fleet, j->plan.scale_out_pause_s);
  return TRUE;
}

/* Takes what has room on its machine, beside those ahead of it in the list, off the room: it is
 * no room for others. Counted twice, it would keep the fleet short, and not counted at all,
 * machines would be rented again in each pass for a gang that waits for those on their way.
 * Returns how many of the list have room. */
static guint
take_listed (HrCore *c, HrFreeCapacity *capacity)
{
  HrMachine *m = capacity->machine;
  guint n = 0;
  for (; n < m->plan.list->len; n++) {
    const HrJobSpec *s =
        &((HrJob *)c->store.tables.jobs->pdata[g_array_index (m->plan.list, HrTaskRef, n).job])
             ->spec;
    if (!hr_free_capacity_take (capacity, s->cpus, s->gpus, s->memory_gb))
      break;
  }
  return n;
}

/* Would a machine that is rented now start the task sooner, and is the plan late? placed: it has
 * room where it stands. Of what a limit lets start, nothing waits for the team's own work to end:
 * that end makes room for the next job, and this share of the limit would stay unused. */
static gboolean
late (HrCore *c, const HrListedTask *t, gboolean placed)
{
  HrJob *j = c->store.tables.jobs->pdata[t->task.job];
  gboolean limited = hr_team_usage (c, j->spec.team)->is_limited;
  double boot = boot_time (c) * c->policy.rent_slack, wait = t->start - c->now;
  if (wait <= (limited ? boot * LIMITED_SLACK : boot) || (limited && placed))
    return FALSE;
  return j->spec.shape == HR_GANG ||
         c->wall_time + wait + hr_estimate_run_time (c, j, t->machine) > j->plan.deadline;
}

/* Machines for what stands in lists and would start late there. */
static void
scale_out_for_late (HrCore *c, HrFreeCapacity *capacities, guint booting, GArray *needs)
{
  guint n = c->scaling.fleet->len;
  g_autofree guint *placed = g_new0 (guint, n + 1);
  g_autoptr (GArray) listed = g_array_new (FALSE, FALSE, sizeof (HrListedTask));
  for (guint i = 0; i < n; i++) {
    HrMachine *m = capacities[i].machine;
    HrFreeCapacity capacity = {
        m, m->free.cpus - m->unrecognized.cpus - m->reserved.cpus,
        m->free.gpus - m->unrecognized.gpus - m->reserved.gpus,
        m->free.memory_gb - m->unrecognized.memory_gb - m->reserved.memory_gb, FALSE};
    placed[i] = take_listed (c, i < booting ? &capacities[i] : &capacity);
  }
  for (guint i = 0; i < n; i++) {
    g_array_set_size (listed, 0);
    hr_list_append (c, capacities[i].machine, listed);
    for (guint k = 0; k < listed->len; k++) {
      HrCapacityCursor at = {0};
      if (late (c, &g_array_index (listed, HrListedTask, k), k < placed[i]))
        hr_scale_out_for_task (c, capacities, booting, &at, needs, hr_listed_job (c, listed, k));
    }
  }
}

/* booting: how many rooms, the first ones, are on machines that boot. */
void
hr_scale_out_for_lists (HrCore *c, HrFreeCapacity *capacities, guint booting, GArray *needs)
{
  scale_out_for_late (c, capacities, booting, needs);
  /* And for what found no list at all. */
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    gint left = (gint)j->n_tasks - (gint)(j->run.n_live + j->n_done + j->plan.n_listed);
    if (j->state != HR_JOB_QUEUED || j->spec.shape == HR_SERVICE || j->run.attempt_ending ||
        left <= 0 || j->run.retry_at > c->now || !hr_team_allows_start (c, j, 1) ||
        exceeds_any_fleet (c, j))
      continue;
    /* No machine is rented for what the limit holds back; what stands in lists has its part
     * of the grant. */
    guint grant = hr_quotas_granted (c, j);
    left =
        MIN (left, grant < G_MAXINT ? (gint)grant - (gint)j->plan.n_listed : MAX_SCALE_OUT_TASKS);
    HrCapacityCursor at = {0};
    for (gint k = 0; k < MIN (left, MAX_SCALE_OUT_TASKS); k++)
      hr_scale_out_for_task (c, capacities, booting, &at, needs, j);
  }
}

/* When the job should be done, as far as all its tasks are on machines; INFINITY else. */
static double
projected_end (HrCore *c, HrJob *j)
{
  double end = c->now;
  if (j->state != HR_JOB_QUEUED || !j->tasks || j->run.n_live + j->n_done < j->n_tasks)
    return INFINITY;
  for (guint32 i = 0; i < j->n_tasks && isfinite (end); i++) {
    const HrTask *t = &j->tasks[i];
    if (t->state == HR_TASK_BOUND || t->state == HR_TASK_ASSIGNING)
      end = MAX (end, hr_estimate_running_end (
                          c, j, t, c->store.tables.machines->pdata[t->placement.machine]));
  }
  return end;
}

/* Those of its tasks that do not fit where the tasks of the awaited jobs end; 0 while one of
 * those jobs is not about to end, or where there is time for a boot afterwards. `by`: the awaited
 * job from which this is looked at; others that are awaited too find it again. */
static guint
tasks_ahead (HrCore *c, const HrJob *j, const HrJob *by, double horizon)
{
  const HrJobSpec *s = &j->spec;
  double cpus = 0, gpus = 0, mem = 0, ready = c->now;
  gboolean first = TRUE;
  for (guint i = 0; i < j->dependencies.n_awaited; i++) {
    const HrJob *a = j->dependencies.awaited[i];
    if (a->state == HR_JOB_DONE)
      continue;
    if (!a->run.is_open || a->plan.expected_end > horizon || (first && a != by))
      return 0;
    first = FALSE;
    ready = MAX (ready, a->plan.expected_end);
    cpus += a->run.n_live * a->spec.cpus;
    gpus += a->run.n_live * a->spec.gpus;
    mem += a->run.n_live * a->spec.memory_gb;
  }
  /* One that may wait for a boot does. */
  if (ready + boot_time (c) + s->estimate_s <= j->plan.deadline - c->wall_time + c->now)
    return 0;
  double fit = j->n_tasks;
  if (s->cpus > 0)
    fit = MIN (fit, floor (cpus / s->cpus));
  if (s->gpus > 0)
    fit = MIN (fit, floor (gpus / s->gpus));
  if (s->memory_gb > 0)
    fit = MIN (fit, floor (mem / s->memory_gb));
  return j->n_tasks - (guint)fit;
}

/* More tasks of one step than that are rented for once it is ready. */
#define MAX_NEXT_STEP_TASKS 200

/* A step starts when the one before it ends, and a machine takes a boot to come up: it is asked
 * for that much ahead. Room that is kept for arrivals of the class counts first. */
void
hr_scale_out_for_next_steps (HrCore *c, HrFreeCapacity *capacities, guint n_capacities,
                             GArray *needs)
{
  double horizon = c->now + boot_time (c);
  g_autofree guint *kept = g_new0 (guint, c->names->classes.names->len + 1);
  for (guint k = 0; k < c->scheduling.class_stats->len; k++)
    kept[k] = hr_headroom (c, k);
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    j->plan.expected_end = j->dependencies.dependents ? projected_end (c, j) : INFINITY;
  }
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    for (guint k = 0; j->plan.expected_end <= horizon && k < j->dependencies.dependents->len; k++) {
      HrJob *d = j->dependencies.dependents->pdata[k];
      HrCapacityCursor at = {0};
      guint left = d->state == HR_JOB_QUEUED && d->tasks ? tasks_ahead (c, d, j, horizon) : 0;
      guint use = MIN (left, kept[d->spec.job_class]);
      kept[d->spec.job_class] -= use;
      for (guint n = MIN (left - use, MAX_NEXT_STEP_TASKS); n > 0 && hr_team_allows_start (c, d, 1);
           n--)
        if (!find_free_capacity (c, capacities, n_capacities, &at, NULL, d->spec.cpus, d->spec.gpus,
                                 d->spec.memory_gb, d->spec.allows_spot, d->spec.types))
          add_demand (c, needs, d->spec.types, d->spec.zone, d->spec.allows_spot, d->spec.cpus,
                      d->spec.gpus, d->spec.memory_gb);
    }
  }
}

void
hr_scale_in_idle (HrCore *c, HrFreeCapacity *capacities, guint n)
{
  g_autoptr (GPtrArray) away = g_ptr_array_new ();
  for (guint i = 0; i < n; i++) {
    HrMachine *m = capacities[i].machine;
    if (m->state != HR_MACHINE_UP || m->tasks->len || m->plan.list->len)
      continue;
    /* After a cut of our own nothing was idle: nobody could give it work. */
    double since = MAX (m->idle_since, c->store.replica.served_since);
    if (m->is_draining ||
        (!capacities[i].is_reserved && m->idle_since && c->now - since > c->policy.idle_s))
      g_ptr_array_add (away, m);
  }
  for (guint i = 0; i < away->len; i++)
    hr_fleet_delete (c, away->pdata[i],
                     ((HrMachine *)away->pdata[i])->is_draining ? "it is drained"
                                                                : "nothing needs it");
}

GArray *
hr_scale_out_begin (void)
{
  return g_array_new (FALSE, TRUE, sizeof (Need));
}

void
hr_scale_out_end (HrCore *c, GArray *needs)
{
  g_array_set_size (c->scaling.demand, 0);
  for (guint i = 0; i < needs->len; i++) {
    Need *x = &g_array_index (needs, Need, i);
    hr_demand_add (c, x->type, x->zone, x->is_spot, x->machines);
  }
}
