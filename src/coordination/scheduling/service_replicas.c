/* Where the replicas of services start. They stand in no list: a replica has no end. */
#include "coordination/scheduling/service_replicas.h"
#include "coordination/scheduling/free_capacity.h"
#include <math.h>

/* Time left until the next aim for the start of the class's tasks is missed. */
static double
start_left (const HrCore *c, const HrJob *j)
{
  double left = INFINITY, waited = c->wall_time - hr_job_eligible_since (j);
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const HrObjective *a = &g_array_index (c->settings->objectives, HrObjective, i);
    if (a->job_class == j->spec.job_class &&
        (a->kind == HR_OBJECTIVE_WAIT || a->kind == HR_OBJECTIVE_UP) &&
        a->within_s > waited + PREEMPTION_S)
      left = MIN (left, a->within_s - waited);
  }
  return left;
}

/* Would a replica more fit there, once batch work made room? */
static gboolean
stays_open (const HrCore *c, const HrJobSpec *s, const HrMachine *m, guint replicas)
{
  const HrMachineType *t = hr_machine_type_of (c, m);
  return m->services.cpus + replicas * s->cpus <= t->cpus + 1e-6 &&
         m->services.gpus + replicas * s->gpus <= t->gpus + 1e-6 &&
         m->services.memory_gb + replicas * s->memory_gb <= t->memory_gb + 1e-6;
}

/* The next arrivals need places where their image is. Are there too few for this one?
 * Machines full of replicas are none, however well the image is cached there. */
static gboolean
short_of_places (HrCore *c, const HrJob *j)
{
  HrClassStats *s = hr_class_stats (c, j->spec.job_class);
  double weight = 0, own = 0, open = 0, fetch = INFINITY, within = INFINITY;
  for (guint i = 0; i < c->scaling.machine_types->len; i++)
    fetch = MIN (fetch, j->spec.image_gb /
                            g_array_index (c->scaling.machine_types, HrMachineType, i).fetch_rate);
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    HrObjective *a = &g_array_index (c->settings->objectives, HrObjective, i);
    if (a->job_class == j->spec.job_class && a->kind == HR_OBJECTIVE_WAIT)
      within = MIN (within, a->within_s);
  }
  if (fetch + PREEMPTION_S <= within)
    return FALSE; /* a fetch in time is cheaper than places kept open */
  for (guint i = 0; i < s->n_images; i++) {
    weight += s->images[i].weight;
    if (s->images[i].image == j->spec.image)
      own = s->images[i].weight;
  }
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (m->state == HR_MACHINE_UP && !m->is_draining && m->type != HR_NONE &&
        (!m->is_spot || j->spec.allows_spot) && hr_machine_has_image (m, j->spec.image) &&
        stays_open (c, &j->spec, m, 1))
      open++;
  }
  return weight > 0 && open < hr_headroom (c, j->spec.job_class) * own / weight;
}

/* The sooner its image is there the better; then fuller machines first, so that others
 * fall empty and can be returned. */
static double
service_score (const HrCore *c, const HrJob *j, const HrMachine *m, gboolean open)
{
  double fetch = hr_estimate_fetch_time (c, j, m);
  double closes = open && fetch > 0 && !stays_open (c, &j->spec, m, 2) ? 1000 : 0;
  /* Behind a cut of the controllers' own zone its workers still hear the owner. */
  double home = m->zone == c->settings->home ? HR_HOME_S * 10 : 0;
  return home - 10 * fetch - closes + m->tasks->len * 10 - (m->free.gpus + m->free.cpus * 0.1);
}

void
hr_replicas_start (HrCore *c, GPtrArray *services)
{
  g_autoptr (GPtrArray) capacities = hr_dispatch_open_machines (c);
  for (guint i = 0; i < services->len; i++) {
    HrJob *j = services->pdata[i];
    gboolean open = short_of_places (c, j);
    for (guint32 k = 0; k < j->n_tasks; k++) {
      HrMachine *best = NULL;
      double most = 0;
      if (j->tasks[k].state != HR_TASK_IDLE || !hr_team_allows_start (c, j, 1))
        continue;
      for (guint n = 0; n < capacities->len; n++) {
        HrMachine *m = capacities->pdata[n];
        if (!hr_dispatch_startable (c, j, m))
          continue;
        double score = service_score (c, j, m, open);
        if (!best || score > most) {
          most = score;
          best = m;
        }
      }
      double left = start_left (c, j);
      if (isfinite (left) && c->now >= j->run.retry_at &&
          (!best || hr_estimate_fetch_time (c, j, best) + PREEMPTION_S > left)) {
        HrMachine *other = hr_preempt_for_cached_image (c, j);
        if (other)
          best = other;
      }
      if (!best) {
        j->plan.shard = HR_NONE; /* not in its part: any machine may */
        break;
      }
      best->services.cpus += j->spec.cpus;
      best->services.gpus += j->spec.gpus;
      best->services.memory_gb += j->spec.memory_gb;
      hr_dispatch_start (c, j, k, best);
    }
  }
}
