/* Room kept for services, which stand in no list. */
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/plan.h"

/* Takes the room of up to n tasks off a machine for services. */
static guint
reserve_on_machine (HrMachine *m, double cpus, double gpus, double mem, guint n)
{
  while (n && hr_machine_has_unreserved (m, cpus, gpus, mem)) {
    m->reserved.cpus += cpus;
    m->reserved.gpus += gpus;
    m->reserved.memory_gb += mem;
    n--;
  }
  return n;
}

/* Keeps room for n tasks of a class on machines that are up, with this image if any is
 * named, on busy ones only if asked for. Returns how many found none. */
static guint
reserve_capacity (HrCore *c, const HrClassStats *s, guint32 image, gboolean busy, guint n)
{
  for (guint k = 0; k < c->scaling.fleet->len && n; k++) {
    HrMachine *m = c->scaling.fleet->pdata[k];
    if (m->state == HR_MACHINE_UP && hr_machine_is_plannable (c, m) &&
        (!m->is_spot || s->allows_spot) && (!s->types || s->types >> m->type & 1) &&
        (!busy || m->tasks->len) && (image == HR_NONE || hr_machine_has_image (m, image)))
      n = reserve_on_machine (m, s->cpus, s->gpus, s->memory_gb, n);
  }
  return n;
}

/* Services outrank the lists: what waits for a boot has its room on the machines
 * that come up next, and some room is kept for the next arrivals; the lists are
 * projected, and started, without that room. */
void
hr_reserve_for_services (HrCore *c)
{
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    m->reserved.cpus = m->reserved.gpus = m->reserved.memory_gb = 0;
    m->services.cpus = m->services.gpus = m->services.memory_gb = 0;
    for (guint k = 0; k < m->tasks->len; k++) {
      const HrJobSpec *s = &hr_job_of_task (c, g_array_index (m->tasks, HrTaskRef, k))->spec;
      if (s->shape != HR_SERVICE)
        continue;
      m->services.cpus += s->cpus;
      m->services.gpus += s->gpus;
      m->services.memory_gb += s->memory_gb;
    }
  }
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    const HrJobSpec *s = &j->spec;
    if (j->state != HR_JOB_QUEUED || s->shape != HR_SERVICE || !j->tasks)
      continue;
    guint left = MIN (j->n_tasks - j->run.n_live, hr_quotas_granted (c, j));
    for (guint k = 0; k < c->scaling.fleet->len && left; k++) {
      HrMachine *m = c->scaling.fleet->pdata[k];
      if (m->state == HR_MACHINE_BOOTING && hr_job_allows_machine (c, j, m))
        left = reserve_on_machine (m, s->cpus, s->gpus, s->memory_gb, left);
    }
  }
  for (guint i = 0; i < c->scheduling.class_stats->len; i++) {
    HrClassStats *s = &g_array_index (c->scheduling.class_stats, HrClassStats, i);
    guint left = s->is_seen && s->shape == HR_SERVICE ? hr_headroom (c, i) : 0, all = left;
    double weight = 0;
    for (guint k = 0; k < s->n_images; k++)
      weight += s->images[k].weight;
    /* Where an image is that the next arrivals may need: a replica starts there at once. */
    for (guint k = 0; k < s->n_images && left; k++) {
      guint want = MIN (left, (guint)(all * s->images[k].weight / weight + 0.5));
      left -= want - reserve_capacity (c, s, s->images[k].image, FALSE, want);
    }
    /* Then where others run already: whole machines are for those who need them. */
    left = reserve_capacity (c, s, HR_NONE, TRUE, left);
    reserve_capacity (c, s, HR_NONE, FALSE, left);
  }
}
