#include "bookkeeping/tables.h"
#include "protocol/intern.h"

static HrJob *
lookup_job (HrTables *tables, const char *id)
{
  guint32 i = hr_intern_find (&tables->job_ids, id);
  return i == HR_NONE ? NULL : tables->jobs->pdata[i];
}

HrJob *
hr_job_find (HrTables *tables, const char *id)
{
  HrJob *job = lookup_job (tables, id);
  return job && job->is_known ? job : NULL;
}

gboolean
hr_job_unreadable (HrTables *tables, const char *id)
{
  const HrJob *job = lookup_job (tables, id);
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

void
hr_job_load (HrTables *tables, HrJob *job, const HrJobSpec *spec, guint tasks_per_page,
             guint n_awaited)
{
  hr_job_unload (tables, job);
  hr_job_set_spec (job, spec, tasks_per_page);
  job->counted_bytes = hr_job_bytes (spec, n_awaited);
  tables->unfinished_bytes += job->counted_bytes;
}

void
hr_job_unload (HrTables *tables, HrJob *job)
{
  hr_job_compact (job);
  tables->unfinished_bytes -= job->counted_bytes;
  job->counted_bytes = 0;
}

HrMachine *
hr_machine_find (HrTables *tables, const char *name)
{
  guint32 i = hr_intern_find (&tables->machine_ids, name);
  return i == HR_NONE || i >= tables->machines->len ? NULL : tables->machines->pdata[i];
}

static void
add_machine (HrTables *tables)
{
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

HrMachine *
hr_machine_get (HrTables *tables, const char *name)
{
  guint32 i = hr_intern (&tables->machine_ids, name);
  /* Reading records interns names without adding machines: add all machines up to this one. */
  while (tables->machines->len <= i)
    add_machine (tables);
  return tables->machines->pdata[i];
}
