/* Reads records; record.c writes them. */
#include "bookkeeping/record.h"
#include "bookkeeping/record_fields.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <string.h>

static gboolean
is_known_member (const char *key)
{
  static const char *const known[] = {
      HR_RECORD_TAG,     HR_RECORD_STATE,  HR_RECORD_SUBMITTED_AT,    HR_RECORD_TASKS_PER_PAGE,
      HR_RECORD_SPEC,    HR_RECORD_TASKS,  HR_RECORD_SIZED_PAGE_KEYS, HR_RECORD_AWAITS,
      HR_RECORD_N_TASKS, HR_RECORD_N_DONE, HR_RECORD_CANCELLED_WITH};
  for (guint i = 0; i < G_N_ELEMENTS (known); i++)
    if (g_str_equal (key, known[i]))
      return TRUE;
  return FALSE;
}

/* Returns the members that this version does not know, or NULL if there are none. */
static json_t *
unknown_members (const json_t *value)
{
  json_t *unknown = NULL, *entry;
  const char *key;
  json_object_foreach ((json_t *)value, key, entry)
  {
    if (is_known_member (key))
      continue;
    if (!unknown)
      unknown = json_object ();
    json_object_set (unknown, key, entry);
  }
  return unknown;
}

G_DEFINE_QUARK (hr - record - error - quark, hr_record_error)

static gboolean
set_member_error (const char *member, GError **error)
{
  g_set_error (error, HR_RECORD_ERROR, HR_RECORD_ERROR_MEMBER,
               "the record's member \"%s\" is missing or invalid", member);
  return FALSE;
}

static gboolean
read_count (const json_t *value, const char *member, guint64 max, guint64 *out, GError **error)
{
  return hr_json_count (value, member, max, out) || set_member_error (member, error);
}

static gboolean
read_tombstone (const json_t *value, HrRecord *record, GError **error)
{
  guint64 n_tasks, n_done;
  if (!read_count (value, HR_RECORD_N_TASKS, HR_MAX_TASKS, &n_tasks, error) ||
      !read_count (value, HR_RECORD_N_DONE, HR_MAX_TASKS, &n_done, error))
    return FALSE;
  const char *root = hr_json_str (value, HR_RECORD_CANCELLED_WITH);
  record->is_tombstone = TRUE;
  record->n_tasks = n_tasks;
  record->n_done = n_done;
  record->cancelled_with = hr_job_id_valid (root) ? root : NULL;
  return TRUE;
}

static gboolean
read_spec (const json_t *spec, HrNames *names, HrJobSpec *out, GError **error)
{
  if (hr_jobspec_unpack (spec, names, out))
    return TRUE;
  g_set_error_literal (error, HR_RECORD_ERROR, HR_RECORD_ERROR_SPEC,
                       "the job's specification cannot be read");
  return FALSE;
}

/* A job must not start while its dependencies are unknown: invalid ones make the record invalid. */
static gboolean
read_awaits (const json_t *value, GStrv *out, GError **error)
{
  const json_t *awaits = json_object_get (value, HR_RECORD_AWAITS);
  if (!awaits)
    return TRUE;
  *out = hr_job_ids_read (awaits);
  return *out || set_member_error (HR_RECORD_AWAITS, error);
}

static gboolean
read_open_job (const json_t *value, const json_t *spec, HrNames *names, HrRecord *record,
               GError **error)
{
  guint64 tasks_per_page;
  if (!read_spec (spec, names, &record->spec, error))
    return FALSE;
  if (!hr_json_num (value, HR_RECORD_SUBMITTED_AT, &record->submitted_at))
    return set_member_error (HR_RECORD_SUBMITTED_AT, error);
  if (!read_count (value, HR_RECORD_TASKS_PER_PAGE, HR_MAX_TASKS, &tasks_per_page, error))
    return FALSE;
  const json_t *sized_page_keys = json_object_get (value, HR_RECORD_SIZED_PAGE_KEYS);
  record->tasks_per_page = tasks_per_page;
  record->sized_page_keys = tasks_per_page && json_integer_value (sized_page_keys) == 1;
  record->n_tasks = record->spec.tasks;
  record->tasks = json_object_get (value, HR_RECORD_TASKS);
  record->unknown_members = unknown_members (value);
  return read_awaits (value, &record->awaits, error);
}

gboolean
hr_record_read (const json_t *value, HrNames *names, HrRecord *record, GError **error)
{
  guint64 state;
  memset (record, 0, sizeof *record);
  const char *tag = hr_json_str (value, HR_RECORD_TAG);
  if (!tag)
    return set_member_error (HR_RECORD_TAG, error);
  if (!read_count (value, HR_RECORD_STATE, HR_JOB_CANCELLED, &state, error))
    return FALSE;
  record->state = state;
  const json_t *spec = json_object_get (value, HR_RECORD_SPEC);
  gboolean is_valid = spec ? read_open_job (value, spec, names, record, error)
                           : read_tombstone (value, record, error);
  if (is_valid)
    record->tag = g_strdup (tag);
  return is_valid;
}

void
hr_record_clear (HrRecord *record)
{
  g_clear_pointer (&record->tag, g_free);
  g_clear_pointer (&record->unknown_members, json_decref);
  g_clear_pointer (&record->awaits, g_strfreev);
}

static void
set_recorded_done (HrJob *job, HrTask *task, gboolean done)
{
  if (done != task->done_recorded)
    job->n_recorded_done += done ? 1 : -1;
  task->done_recorded = done;
}

static gboolean
read_placement (HrTask *task, json_t *entry, HrIntern *machines)
{
  const char *machine_name;
  json_int_t incarnation, attempt; /* the incarnation: 64 bits without a sign */
  if (json_unpack (entry, "[sII]", &machine_name, &incarnation, &attempt) != 0)
    return FALSE;
  HrPlacement *recorded = &hr_task_edit_run (task)->recorded;
  recorded->machine = hr_intern (machines, machine_name);
  recorded->incarnation = (guint64)incarnation;
  recorded->attempt = attempt;
  return TRUE;
}

static gboolean
read_task (HrJob *job, HrTask *task, json_t *entry, HrIntern *machines)
{
  gboolean is_number = json_is_integer (entry);
  gboolean done = is_number && json_integer_value (entry) == HR_RECORD_TASK_DONE;
  set_recorded_done (job, task, done);
  if (json_is_array (entry))
    return read_placement (task, entry, machines);
  if (done)
    hr_job_task_end_recorded (job, task);
  else if (is_number && hr_task_has_run (task))
    hr_task_edit_run (task)->recorded.machine = HR_NONE;
  return is_number;
}

gboolean
hr_record_read_tasks (HrJob *job, guint32 first, const json_t *tasks, HrIntern *machines,
                      GError **error)
{
  size_t i;
  json_t *entry;
  guint32 page_size = job->record.tasks_per_page ? job->record.tasks_per_page : job->n_tasks;
  guint32 n = MIN (page_size, job->n_tasks - first);
  if (!json_is_array (tasks) || json_array_size (tasks) != n) {
    g_set_error (error, HR_RECORD_ERROR, HR_RECORD_ERROR_TASKS, "not an array of %u tasks", n);
    return FALSE;
  }
  json_array_foreach (tasks, i, entry)
  {
    guint32 task_index = first + i;
    if (!read_task (job, &job->tasks[task_index], entry, machines)) {
      g_set_error (error, HR_RECORD_ERROR, HR_RECORD_ERROR_TASKS, "task %u is invalid", task_index);
      return FALSE;
    }
  }
  return TRUE;
}
