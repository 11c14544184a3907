/* Writes records; record_read.c reads them. */
#include "bookkeeping/record.h"
#include "bookkeeping/record_fields.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"

/* Returns the entry of a task in a record. */
static json_t *
pack_task (const HrTask *task, const HrIntern *machines, gboolean pending)
{
  const HrPlacement *placement = &task->run->recorded;
  gboolean done = task->done_recorded;
  if (pending && task->write_in_flight) {
    placement = &task->run->placement;
    done = done || task->state == HR_TASK_DONE;
  }
  if (done)
    return json_integer (HR_RECORD_TASK_DONE);
  if (placement->machine == HR_NONE)
    return json_integer (HR_RECORD_TASK_UNPLACED);
  return json_pack ("[sII]", hr_intern_name (machines, placement->machine),
                    (json_int_t)placement->incarnation, (json_int_t)placement->attempt);
}

static json_t *
pack_tasks (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines, gboolean pending)
{
  json_t *tasks = json_array ();
  for (guint32 i = first; i < first + n; i++)
    json_array_append_new (tasks, pack_task (&job->tasks[i], machines, pending));
  return tasks;
}

static json_t *
pack_unplaced_tasks (guint32 n)
{
  json_t *tasks = json_array ();
  for (guint32 i = 0; i < n; i++)
    json_array_append_new (tasks, json_integer (HR_RECORD_TASK_UNPLACED));
  return tasks;
}

/* Adds the members that only a newer version knows, as they were read. */
static void
pack_unknown_members (json_t *object, const HrJob *job)
{
  if (job->record.unknown_members)
    json_object_update_missing (object, job->record.unknown_members);
}

/* Returns NULL if the job awaits none. */
static json_t *
pack_awaits (const HrJob *job)
{
  if (!job->dependencies.n_awaited)
    return NULL;
  json_t *array = json_array ();
  for (guint i = 0; i < job->dependencies.n_awaited; i++)
    json_array_append_new (array, json_string (job->dependencies.awaited[i]->id));
  return array;
}

/* Returns NULL if there are none. */
static json_t *
pack_ids (const char *const *ids)
{
  if (!ids || !ids[0])
    return NULL;
  json_t *array = json_array ();
  for (guint i = 0; ids[i]; i++)
    json_array_append_new (array, json_string (ids[i]));
  return array;
}

/* Returns the main record with these tasks and ids of awaited jobs (both transfer full, nullable).
 */
static char *
pack_main (const HrJob *job, const HrNames *names, HrJobState state, const char *tag, json_t *tasks,
           json_t *awaits)
{
  json_t *object = json_pack ("{sssisfsiso}", HR_RECORD_TAG, tag, HR_RECORD_STATE, (int)state,
                              HR_RECORD_SUBMITTED_AT, job->submitted_at, HR_RECORD_TASKS_PER_PAGE,
                              (int)job->record.tasks_per_page, HR_RECORD_SPEC,
                              hr_jobspec_pack (&job->spec, names));
  if (tasks)
    json_object_set_new (object, HR_RECORD_TASKS, tasks);
  else if (job->record.sized_page_keys)
    json_object_set_new (object, HR_RECORD_SIZED_PAGE_KEYS, json_integer (1));
  if (awaits)
    json_object_set_new (object, HR_RECORD_AWAITS, awaits);
  pack_unknown_members (object, job);
  return hr_json_take_text (object);
}

char *
hr_record_main (const HrJob *job, const HrNames *names, const HrIntern *machines, HrJobState state,
                const char *tag, gboolean pending)
{
  json_t *tasks =
      job->record.tasks_per_page ? NULL : pack_tasks (job, 0, job->n_tasks, machines, pending);
  return pack_main (job, names, state, tag, tasks, pack_awaits (job));
}

char *
hr_record_initial (const HrJobSpec *spec, const char *const *awaits, const HrNames *names,
                   double submitted_at, guint tasks_per_page, const char *tag)
{
  HrJob job = {
      .spec = *spec, .submitted_at = submitted_at, .record.tasks_per_page = tasks_per_page};
  json_t *tasks = tasks_per_page ? NULL : pack_unplaced_tasks (spec->tasks);
  return pack_main (&job, names, HR_JOB_QUEUED, tag, tasks, pack_ids (awaits));
}

char *
hr_record_tombstone (const HrJob *job, HrJobState state, const char *tag)
{
  guint32 n_done = state == HR_JOB_DONE ? job->n_tasks : job->n_recorded_done;
  json_t *object = json_pack ("{sssisisi}", HR_RECORD_TAG, tag, HR_RECORD_STATE, (int)state,
                              HR_RECORD_N_TASKS, (int)job->n_tasks, HR_RECORD_N_DONE, (int)n_done);
  if (state == HR_JOB_CANCELLED && job->cancellation.root)
    json_object_set_new (object, HR_RECORD_CANCELLED_WITH,
                         json_string (job->cancellation.root->id));
  pack_unknown_members (object, job);
  return hr_json_take_text (object);
}

char *
hr_record_page (const HrJob *job, guint page, const HrIntern *machines, const char *tag,
                gboolean pending)
{
  return hr_record_page_range (job, page * job->record.tasks_per_page, job->record.tasks_per_page,
                               machines, tag, pending);
}

char *
hr_record_page_range (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines,
                      const char *tag, gboolean pending)
{
  json_t *tasks = pack_tasks (job, first, MIN (n, job->n_tasks - first), machines, pending);
  return hr_json_take_text (json_pack ("{ssso}", HR_RECORD_TAG, tag, HR_RECORD_TASKS, tasks));
}
