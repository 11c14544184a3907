#include "bookkeeping/tables.h"
#include <string.h>

#define EPS 1e-6

void
hr_job_free (HrJob *j)
{
  hr_job_compact (j);
  g_free (j->awaits);
  if (j->dependents)
    g_ptr_array_unref (j->dependents);
  g_free (j->tag);
  g_free (j);
}

void
hr_job_compact (HrJob *j)
{
  g_clear_pointer (&j->tasks, g_free);
  for (guint i = 0; i < j->npages; i++)
    g_free (j->pages[i].write_tag);
  g_clear_pointer (&j->pages, g_free);
  j->npages = 0;
  for (guint i = 0; j->staged && i < j->staged->len; i++)
    json_decref (g_array_index (j->staged, HrStagedPage, i).value);
  g_clear_pointer (&j->staged, g_array_unref);
  g_clear_pointer (&j->extra, json_decref);
  j->split_wanted = j->splitting = FALSE;
}

void
hr_job_set_spec (HrJob *j, const HrJobSpec *s, guint tasks_per_page)
{
  hr_job_compact (j);
  j->spec = *s;
  j->rank = s->priority;
  j->ntasks = s->tasks;
  j->per_page = tasks_per_page;
  j->resplit = FALSE;
  j->write_at = j->write_pause = 0;
  j->npages = tasks_per_page ? (s->tasks + tasks_per_page - 1) / tasks_per_page : 1;
  j->pages = g_new0 (HrRecordPage, j->npages);
  j->tasks = g_new0 (HrTask, s->tasks);
  for (guint i = 0; i < s->tasks; i++) {
    j->tasks[i].recorded.machine = j->tasks[i].placement.machine = HR_NONE;
    j->tasks[i].reported_state = HR_NOT_REPORTED;
  }
  j->bad_machine = HR_NONE;
}

gboolean
hr_job_has_unfinished_dependencies (const HrJob *j)
{
  for (guint i = 0; i < j->nawaits; i++)
    if (j->awaits[i]->state != HR_JOB_DONE)
      return TRUE;
  return FALSE;
}

double
hr_job_eligible_since (const HrJob *j)
{
  return j->nawaits ? j->ready_since : j->submitted;
}

HrRecordPage *
hr_job_page (HrJob *j, guint32 task)
{
  return &j->pages[j->per_page ? task / j->per_page : 0];
}

guint
hr_tasks_per_page (double value_kb)
{
  /* 1 KiB is for the job's description. */
  double capacity = value_kb * 1024 - 1024;
  return MAX (1, (gint)(capacity / HR_PLACED_TASK_BYTES));
}

void
hr_class_use_image (HrClassStats *s, guint32 image, guint tasks)
{
  guint at = s->nimages;
  for (guint i = 0; i < s->nimages; i++) {
    s->images[i].weight *= 0.97;
    if (s->images[i].image == image)
      at = i;
  }
  if (at == s->nimages) {
    if (s->nimages < G_N_ELEMENTS (s->images))
      s->nimages++;
    else
      at--; /* the least used one gives way */
    s->images[at] = (HrImageUse){image, 0};
  }
  s->images[at].weight += tasks;
  for (; at > 0 && s->images[at - 1].weight < s->images[at].weight; at--) {
    HrImageUse u = s->images[at];
    s->images[at] = s->images[at - 1];
    s->images[at - 1] = u;
  }
}

gboolean
hr_machine_has_image (const HrMachine *m, guint32 image)
{
  for (guint i = 0; i < m->nimages; i++)
    if (m->images[i] == image)
      return TRUE;
  return FALSE;
}

void
hr_machine_touch_image (HrMachine *m, guint32 image)
{
  guint i;
  for (i = 0; i < m->nimages; i++)
    if (m->images[i] == image)
      break;
  if (i == m->nimages) {
    if (m->nimages < G_N_ELEMENTS (m->images))
      m->nimages++;
    else
      i--;
  }
  memmove (m->images + 1, m->images, i * sizeof m->images[0]);
  m->images[0] = image;
}

void
hr_machine_forget_image (HrMachine *m, guint32 image)
{
  guint n = 0;
  for (guint i = 0; i < m->nimages; i++)
    if (m->images[i] != image)
      m->images[n++] = m->images[i];
  m->nimages = n;
}

void
hr_machine_describe (HrMachine *m, const HrMachineType *t, guint32 zone, gboolean spot)
{
  if (m->type != HR_NONE)
    return;
  m->type = t->type;
  m->zone = zone;
  m->spot = spot;
  m->cpus += t->cpus;
  m->gpus += t->gpus;
  m->mem += t->memory_gb;
}

gboolean
hr_machine_fits (const HrMachine *m, const HrJobSpec *s)
{
  return s->cpus <= m->cpus - m->foreign_cpus + EPS && s->gpus <= m->gpus - m->foreign_gpus + EPS &&
         s->memory_gb <= m->mem - m->foreign_mem + EPS;
}

gboolean
hr_machine_has_unreserved (const HrMachine *m, double cpus, double gpus, double mem)
{
  return cpus <= m->cpus - m->foreign_cpus - m->claim_cpus + EPS &&
         gpus <= m->gpus - m->foreign_gpus - m->claim_gpus + EPS &&
         mem <= m->mem - m->foreign_mem - m->claim_mem + EPS;
}

gboolean
hr_machine_fits_unreserved (const HrMachine *m, const HrJobSpec *s)
{
  return hr_machine_has_unreserved (m, s->cpus, s->gpus, s->memory_gb);
}

void
hr_machine_allocate (HrMachine *m, const HrJobSpec *s, HrTaskRef r)
{
  g_array_append_val (m->tasks, r);
  m->cpus -= s->cpus;
  m->gpus -= s->gpus;
  m->mem -= s->memory_gb;
  m->idle_at = 0;
}

void
hr_machine_release (HrMachine *m, const HrJobSpec *s, HrTaskRef r)
{
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef *x = &g_array_index (m->tasks, HrTaskRef, i);
    if (x->job == r.job && x->task == r.task) {
      g_array_remove_index_fast (m->tasks, i);
      m->cpus += s->cpus;
      m->gpus += s->gpus;
      m->mem += s->memory_gb;
      return;
    }
  }
}

void
hr_machine_free (HrMachine *m)
{
  g_free (m->addr);
  g_array_unref (m->tasks);
  g_array_unref (m->direct);
  g_array_unref (m->list);
  g_free (m);
}
