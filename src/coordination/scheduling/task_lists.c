/* The lists of the plan: one per machine, in deadline order. */
#include "coordination/scheduling/task_lists.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/projection.h"

guint
hr_list_position (const HrCore *core, const HrMachine *machine, HrTaskRef ref)
{
  const GArray *list = machine->plan.list;
  const HrJob *job = hr_job_of_task (core, ref);
  gboolean goes_first = job->tasks[ref.task].goes_first;
  guint i = 0;
  for (; i < list->len; i++) {
    HrTaskRef listed = g_array_index (list, HrTaskRef, i);
    const HrJob *listed_job = hr_job_of_task (core, listed);
    if (listed_job->tasks[listed.task].goes_first)
      continue;
    if (goes_first || listed_job->plan.deadline > job->plan.deadline)
      break;
  }
  return i;
}

void
hr_list_insert (HrCore *core, HrMachine *machine, HrTaskRef ref)
{
  HrJob *job = hr_job_of_task (core, ref);
  HrTask *task = &job->tasks[ref.task];
  guint at = hr_list_position (core, machine, ref);
  g_array_insert_val (machine->plan.list, at, ref);
  job->plan.n_listed += !task->is_listed;
  task->is_listed = 1;
  task->listed_on = machine->index;
}

void
hr_list_remove (HrMachine *machine, HrTaskRef ref)
{
  for (guint i = 0; i < machine->plan.list->len; i++) {
    HrTaskRef *listed = &g_array_index (machine->plan.list, HrTaskRef, i);
    if (listed->job == ref.job && listed->task == ref.task) {
      g_array_remove_index (machine->plan.list, i);
      return;
    }
  }
}

void
hr_task_mark_unlisted (HrJob *job, guint32 task_index)
{
  if (!job->tasks || !job->tasks[task_index].is_listed)
    return;
  HrTask *task = &job->tasks[task_index];
  task->is_listed = task->has_reservation = task->goes_first = 0;
  job->plan.n_listed--;
}

void
hr_job_unlist_tasks (HrCore *core, HrJob *job)
{
  for (guint32 i = 0; job->tasks && job->plan.n_listed && i < job->n_tasks; i++) {
    if (!job->tasks[i].is_listed)
      continue;
    HrMachine *machine = hr_machine_by_index (core, job->tasks[i].listed_on);
    hr_list_remove (machine, (HrTaskRef){job->index, i});
    hr_task_mark_unlisted (job, i);
  }
}

void
hr_append_listed_tasks (HrCore *core, HrMachine *machine, GArray *listed)
{
  const GArray *list = machine->plan.list;
  if (!list->len)
    return;
  double *starts = hr_projection_scratch (list->len);
  hr_project_list (core, machine, starts);
  for (guint k = 0; k < list->len; k++) {
    HrListedTask listed_task = {g_array_index (list, HrTaskRef, k), machine, starts[k]};
    g_array_append_val (listed, listed_task);
  }
}

HrJob *
hr_listed_job (const HrCore *core, const GArray *listed, guint i)
{
  return hr_job_of_task (core, g_array_index (listed, HrListedTask, i).task);
}
