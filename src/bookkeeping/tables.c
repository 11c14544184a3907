#include "bookkeeping/tables.h"
#include <string.h>

#define EPS 1e-6

void
hr_job_free (HrJob *j)
{
  hr_job_compact (j);
  g_free (j->dependencies.awaited);
  if (j->dependencies.dependents)
    g_ptr_array_unref (j->dependencies.dependents);
  g_free (j->record.tag);
  g_free (j);
}

void
hr_job_compact (HrJob *j)
{
  g_clear_pointer (&j->tasks, g_free);
  for (guint i = 0; i < j->record.n_pages; i++)
    g_free (j->record.pages[i].write_tag);
  g_clear_pointer (&j->record.pages, g_free);
  j->record.n_pages = 0;
  for (guint i = 0; j->record.staged_pages && i < j->record.staged_pages->len; i++)
    json_decref (g_array_index (j->record.staged_pages, HrStagedPage, i).value);
  g_clear_pointer (&j->record.staged_pages, g_array_unref);
  g_clear_pointer (&j->record.unknown_members, json_decref);
  j->record.split_wanted = j->record.split_in_flight = FALSE;
}

void
hr_job_set_spec (HrJob *j, const HrJobSpec *s, guint tasks_per_page)
{
  hr_job_compact (j);
  j->spec = *s;
  j->plan.priority = s->priority;
  j->n_tasks = s->tasks;
  j->record.tasks_per_page = tasks_per_page;
  j->record.sized_page_keys = FALSE;
  j->record.next_write_at = j->record.back_off_s = 0;
  j->record.n_pages = tasks_per_page ? (s->tasks + tasks_per_page - 1) / tasks_per_page : 1;
  j->record.pages = g_new0 (HrRecordPage, j->record.n_pages);
  j->tasks = g_new0 (HrTask, s->tasks);
  for (guint i = 0; i < s->tasks; i++) {
    j->tasks[i].recorded.machine = j->tasks[i].placement.machine = HR_NONE;
    j->tasks[i].reported_state = HR_NOT_REPORTED;
  }
  j->run.failed_machine = HR_NONE;
}

gboolean
hr_job_has_unfinished_dependencies (const HrJob *j)
{
  for (guint i = 0; i < j->dependencies.n_awaited; i++)
    if (j->dependencies.awaited[i]->state != HR_JOB_DONE)
      return TRUE;
  return FALSE;
}

double
hr_job_eligible_since (const HrJob *j)
{
  return j->dependencies.n_awaited ? j->dependencies.ready_since : j->submitted_at;
}

HrRecordPage *
hr_job_page (HrJob *j, guint32 task)
{
  return &j->record.pages[j->record.tasks_per_page ? task / j->record.tasks_per_page : 0];
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
  guint at = s->n_images;
  for (guint i = 0; i < s->n_images; i++) {
    s->images[i].weight *= 0.97;
    if (s->images[i].image == image)
      at = i;
  }
  if (at == s->n_images) {
    if (s->n_images < G_N_ELEMENTS (s->images))
      s->n_images++;
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
  for (guint i = 0; i < m->n_images; i++)
    if (m->images[i] == image)
      return TRUE;
  return FALSE;
}

void
hr_machine_touch_image (HrMachine *m, guint32 image)
{
  guint i;
  for (i = 0; i < m->n_images; i++)
    if (m->images[i] == image)
      break;
  if (i == m->n_images) {
    if (m->n_images < G_N_ELEMENTS (m->images))
      m->n_images++;
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
  for (guint i = 0; i < m->n_images; i++)
    if (m->images[i] != image)
      m->images[n++] = m->images[i];
  m->n_images = n;
}

void
hr_machine_describe (HrMachine *m, const HrMachineType *t, guint32 zone, gboolean spot)
{
  if (m->type != HR_NONE)
    return;
  m->type = t->type;
  m->zone = zone;
  m->is_spot = spot;
  m->free.cpus += t->cpus;
  m->free.gpus += t->gpus;
  m->free.memory_gb += t->memory_gb;
}

gboolean
hr_machine_fits (const HrMachine *m, const HrJobSpec *s)
{
  return s->cpus <= m->free.cpus - m->unrecognized.cpus + EPS &&
         s->gpus <= m->free.gpus - m->unrecognized.gpus + EPS &&
         s->memory_gb <= m->free.memory_gb - m->unrecognized.memory_gb + EPS;
}

gboolean
hr_machine_has_unreserved (const HrMachine *m, double cpus, double gpus, double mem)
{
  return cpus <= m->free.cpus - m->unrecognized.cpus - m->reserved.cpus + EPS &&
         gpus <= m->free.gpus - m->unrecognized.gpus - m->reserved.gpus + EPS &&
         mem <= m->free.memory_gb - m->unrecognized.memory_gb - m->reserved.memory_gb + EPS;
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
  m->free.cpus -= s->cpus;
  m->free.gpus -= s->gpus;
  m->free.memory_gb -= s->memory_gb;
  m->idle_since = 0;
}

void
hr_machine_release (HrMachine *m, const HrJobSpec *s, HrTaskRef r)
{
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef *x = &g_array_index (m->tasks, HrTaskRef, i);
    if (x->job == r.job && x->task == r.task) {
      g_array_remove_index_fast (m->tasks, i);
      m->free.cpus += s->cpus;
      m->free.gpus += s->gpus;
      m->free.memory_gb += s->memory_gb;
      return;
    }
  }
}

void
hr_machine_free (HrMachine *m)
{
  g_free (m->address);
  g_array_unref (m->tasks);
  g_array_unref (m->agent.direct_launches);
  g_array_unref (m->plan.list);
  g_free (m);
}
