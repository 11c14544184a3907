#include "bookkeeping/tables.h"
#include "protocol/cloud.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include <string.h>

#define EPS 1e-6

void
hr_job_free (HrJob *job)
{
  hr_job_compact (job);
  g_free (job->dependencies.awaited);
  if (job->dependencies.dependents)
    g_ptr_array_unref (job->dependencies.dependents);
  g_free (job->record.tag);
  g_free (job);
}

void
hr_job_compact (HrJob *job)
{
  g_clear_pointer (&job->tasks, g_free);
  for (guint i = 0; i < job->record.n_pages; i++)
    g_free (job->record.pages[i].write_tag);
  g_clear_pointer (&job->record.pages, g_free);
  job->record.n_pages = 0;
  for (guint i = 0; job->record.staged_pages && i < job->record.staged_pages->len; i++)
    json_decref (g_array_index (job->record.staged_pages, HrStagedPage, i).value);
  g_clear_pointer (&job->record.staged_pages, g_array_unref);
  g_clear_pointer (&job->record.unknown_members, json_decref);
  job->record.split_wanted = job->record.split_in_flight = FALSE;
}

void
hr_job_set_spec (HrJob *job, const HrJobSpec *spec, guint tasks_per_page)
{
  hr_job_compact (job);
  job->spec = *spec;
  job->plan.priority = spec->priority;
  job->n_tasks = spec->tasks;
  job->record.tasks_per_page = tasks_per_page;
  job->record.sized_page_keys = FALSE;
  job->record.next_write_at = job->record.back_off_s = 0;
  job->record.n_pages = tasks_per_page ? hr_page_count (spec->tasks, tasks_per_page) : 1;
  job->record.pages = g_new0 (HrRecordPage, job->record.n_pages);
  job->tasks = g_new0 (HrTask, spec->tasks);
  for (guint i = 0; i < spec->tasks; i++) {
    job->tasks[i].recorded.machine = job->tasks[i].placement.machine = HR_NONE;
    job->tasks[i].reported_state = HR_NOT_REPORTED;
  }
  job->run.failed_machine = HR_NONE;
}

gboolean
hr_job_has_unfinished_dependencies (const HrJob *job)
{
  for (guint i = 0; i < job->dependencies.n_awaited; i++)
    if (job->dependencies.awaited[i]->state != HR_JOB_DONE)
      return TRUE;
  return FALSE;
}

double
hr_job_eligible_since (const HrJob *job)
{
  return job->dependencies.n_awaited ? job->dependencies.ready_since : job->submitted_at;
}

HrRecordPage *
hr_job_page (HrJob *job, guint32 task_index)
{
  return &job->record
              .pages[job->record.tasks_per_page ? task_index / job->record.tasks_per_page : 0];
}

guint
hr_tasks_per_page (double value_kb)
{
  /* 1 KiB is for the job's description. */
  double capacity = value_kb * 1024 - 1024;
  return MAX (1, (gint)(capacity / HR_PLACED_TASK_BYTES));
}

void
hr_class_use_image (HrClassStats *stats, guint32 image, guint tasks)
{
  guint at = stats->n_images;
  for (guint i = 0; i < stats->n_images; i++) {
    stats->images[i].weight *= 0.97;
    if (stats->images[i].image == image)
      at = i;
  }
  if (at == stats->n_images) {
    if (stats->n_images < G_N_ELEMENTS (stats->images))
      stats->n_images++;
    else
      at--; /* the least used one gives way */
    stats->images[at] = (HrImageUse){image, 0};
  }
  stats->images[at].weight += tasks;
  for (; at > 0 && stats->images[at - 1].weight < stats->images[at].weight; at--) {
    HrImageUse use = stats->images[at];
    stats->images[at] = stats->images[at - 1];
    stats->images[at - 1] = use;
  }
}

gboolean
hr_machine_has_image (const HrMachine *machine, guint32 image)
{
  for (guint i = 0; i < machine->n_images; i++)
    if (machine->images[i] == image)
      return TRUE;
  return FALSE;
}

void
hr_machine_touch_image (HrMachine *machine, guint32 image)
{
  guint i;
  for (i = 0; i < machine->n_images; i++)
    if (machine->images[i] == image)
      break;
  if (i == machine->n_images) {
    if (machine->n_images < G_N_ELEMENTS (machine->images))
      machine->n_images++;
    else
      i--;
  }
  memmove (machine->images + 1, machine->images, i * sizeof machine->images[0]);
  machine->images[0] = image;
}

void
hr_machine_forget_image (HrMachine *machine, guint32 image)
{
  guint n = 0;
  for (guint i = 0; i < machine->n_images; i++)
    if (machine->images[i] != image)
      machine->images[n++] = machine->images[i];
  machine->n_images = n;
}

void
hr_machine_describe (HrMachine *machine, const HrMachineType *type, guint32 zone, gboolean spot)
{
  if (machine->type != HR_NONE)
    return;
  machine->type = type->type;
  machine->zone = zone;
  machine->is_spot = spot;
  machine->free.cpus += type->cpus;
  machine->free.gpus += type->gpus;
  machine->free.memory_gb += type->memory_gb;
}

gboolean
hr_machine_fits (const HrMachine *machine, const HrJobSpec *spec)
{
  return spec->cpus <= machine->free.cpus - machine->unrecognized.cpus + EPS &&
         spec->gpus <= machine->free.gpus - machine->unrecognized.gpus + EPS &&
         spec->memory_gb <= machine->free.memory_gb - machine->unrecognized.memory_gb + EPS;
}

gboolean
hr_machine_has_unreserved (const HrMachine *machine, double cpus, double gpus, double memory_gb)
{
  return cpus <= machine->free.cpus - machine->unrecognized.cpus - machine->reserved.cpus + EPS &&
         gpus <= machine->free.gpus - machine->unrecognized.gpus - machine->reserved.gpus + EPS &&
         memory_gb <= machine->free.memory_gb - machine->unrecognized.memory_gb -
                          machine->reserved.memory_gb + EPS;
}

gboolean
hr_machine_fits_unreserved (const HrMachine *machine, const HrJobSpec *spec)
{
  return hr_machine_has_unreserved (machine, spec->cpus, spec->gpus, spec->memory_gb);
}

void
hr_machine_allocate (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref)
{
  g_array_append_val (machine->tasks, ref);
  machine->free.cpus -= spec->cpus;
  machine->free.gpus -= spec->gpus;
  machine->free.memory_gb -= spec->memory_gb;
  machine->idle_since = 0;
}

void
hr_machine_release (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef *first = &g_array_index (machine->tasks, HrTaskRef, i);
    if (first->job == ref.job && first->task == ref.task) {
      g_array_remove_index_fast (machine->tasks, i);
      machine->free.cpus += spec->cpus;
      machine->free.gpus += spec->gpus;
      machine->free.memory_gb += spec->memory_gb;
      return;
    }
  }
}

void
hr_machine_free (HrMachine *machine)
{
  g_free (machine->address);
  g_array_unref (machine->tasks);
  g_array_unref (machine->agent.direct_launches);
  g_array_unref (machine->plan.list);
  g_free (machine);
}

HrJob *
hr_job_find (HrTables *tables, const char *id)
{
  guint32 i = hr_intern_find (&tables->job_ids, id);
  HrJob *job = i == HR_NONE ? NULL : tables->jobs->pdata[i];
  return job && job->is_known ? job : NULL;
}

gboolean
hr_job_unreadable (HrTables *tables, const char *id)
{
  guint32 i = hr_intern_find (&tables->job_ids, id);
  HrJob *job = i == HR_NONE ? NULL : tables->jobs->pdata[i];
  return job && job->record.main_unreadable && !(job->is_known && job->state != HR_JOB_QUEUED);
}

HrJob *
hr_job_get (HrTables *tables, const char *id)
{
  guint32 i = hr_intern (&tables->job_ids, id);
  if (i == tables->jobs->len) {
    HrJob *job = g_new0 (HrJob, 1);
    job->index = i;
    job->id = hr_intern_name (&tables->job_ids, i);
    g_ptr_array_add (tables->jobs, job);
  }
  return tables->jobs->pdata[i];
}

HrMachine *
hr_machine_find (HrTables *tables, const char *name)
{
  guint32 i = hr_intern_find (&tables->machine_ids, name);
  return i == HR_NONE || i >= tables->machines->len ? NULL : tables->machines->pdata[i];
}

HrMachine *
hr_machine_get (HrTables *tables, const char *name)
{
  guint32 i = hr_intern (&tables->machine_ids, name);
  /* Names may have been interned by reading records, ahead of the rows. */
  while (tables->machines->len <= i) {
    HrMachine *machine = g_new0 (HrMachine, 1);
    machine->index = tables->machines->len;
    machine->name = hr_intern_name (&tables->machine_ids, machine->index);
    machine->type = machine->zone = HR_NONE;
    machine->state = HR_MACHINE_GONE;
    machine->last_failed_job = HR_NONE;
    machine->tasks = g_array_new (FALSE, TRUE, sizeof (HrTaskRef));
    machine->agent.direct_launches = g_array_new (FALSE, TRUE, sizeof (HrDirectLaunch));
    machine->plan.list = g_array_new (FALSE, TRUE, sizeof (HrTaskRef));
    g_ptr_array_add (tables->machines, machine);
  }
  return tables->machines->pdata[i];
}
