#include "bookkeeping/job.h"

#define BYTES_PER_KIB 1024
/* Bytes of a main record that are set aside for the job's specification. */
#define SPEC_BYTES 1024
/* Memory for the edge to an awaited job, in both directions. */
#define BYTES_PER_AWAITED (3 * sizeof (HrJob *))

/* A larger task would use up controllers by the tasks that they only have to know. */
G_STATIC_ASSERT (sizeof (HrTask) <= 16);

const HrTaskRun hr_task_no_run = {.recorded.machine = HR_NONE, .placement.machine = HR_NONE};

HrTaskRun *
hr_task_edit_run (HrTask *task)
{
  if (!hr_task_has_run (task))
    task->run = g_memdup2 (&hr_task_no_run, sizeof hr_task_no_run);
  return (HrTaskRun *)task->run;
}

void
hr_task_release_run (HrTask *task)
{
  if (hr_task_has_run (task))
    g_free ((HrTaskRun *)task->run);
  task->run = &hr_task_no_run;
}

void
hr_job_task_end_recorded (const HrJob *job, HrTask *task)
{
  if (job->spec.shape == HR_BATCH)
    hr_task_release_run (task);
}

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
  /* The table was made from the specification; a tombstone may have changed job->n_tasks since. */
  for (guint32 i = 0; job->tasks && i < job->spec.tasks; i++)
    hr_task_release_run (&job->tasks[i]);
  g_clear_pointer (&job->tasks, g_free);
  for (guint i = 0; i < job->record.n_pages; i++)
    g_free (job->record.pages[i].write_tag);
  g_clear_pointer (&job->record.pages, g_free);
  job->record.n_pages = 0;
  GArray *staged_pages = job->record.staged_pages;
  for (guint i = 0; staged_pages && i < staged_pages->len; i++)
    json_decref (g_array_index (staged_pages, HrStagedPage, i).value);
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
    job->tasks[i].run = &hr_task_no_run;
    job->tasks[i].reported_state = HR_NOT_REPORTED;
  }
  job->run.failed_machine = HR_NONE;
}

gsize
hr_job_bytes (const HrJobSpec *spec, guint n_awaited)
{
  return sizeof (HrJob) + (gsize)spec->tasks * sizeof (HrTask) + n_awaited * BYTES_PER_AWAITED;
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
  guint tasks_per_page = job->record.tasks_per_page;
  return &job->record.pages[tasks_per_page ? task_index / tasks_per_page : 0];
}

guint
hr_tasks_per_page (double value_kb)
{
  double capacity = value_kb * BYTES_PER_KIB - SPEC_BYTES;
  return MAX (1, (gint)(capacity / HR_PLACED_TASK_BYTES));
}
