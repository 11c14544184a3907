#include "bookkeeping/record.h"
#include "bookkeeping/record_fields.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <string.h>

/* ---- writing ---- */

/* What a record states about a task. */
static json_t *
pack_task (const HrTask *task, const HrIntern *machines, gboolean pending)
{
  const HrPlacement *placement = &task->recorded;
  gboolean done = task->done_recorded;
  if (pending && task->write_in_flight) {
    placement = &task->placement;
    done = done || task->state == HR_TASK_DONE;
  }
  if (done)
    return json_integer (HR_RECORD_TASK_DONE);
  if (placement->machine == HR_NONE)
    return json_integer (HR_RECORD_TASK_UNPLACED);
  return json_pack ("[sii]", hr_intern_name (machines, placement->machine),
                    (int)placement->incarnation, (int)placement->attempt);
}

static json_t *
pack_tasks (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines, gboolean pending)
{
  json_t *tasks = json_array ();
  for (guint32 i = first; i < first + n; i++)
    json_array_append_new (tasks, pack_task (&job->tasks[i], machines, pending));
  return tasks;
}

/* Members that only a newer version understands are written back as they were read. */
static void
pack_unknown_members (json_t *object, const HrJob *job)
{
  if (job->record.unknown_members)
    json_object_update_missing (object, job->record.unknown_members);
}

static json_t *
pack_awaits (const HrJob *job)
{
  json_t *array = json_array ();
  for (guint i = 0; i < job->dependencies.n_awaited; i++)
    json_array_append_new (array, json_string (job->dependencies.awaited[i]->id));
  return array;
}

char *
hr_record_main (const HrJob *job, const HrNames *names, const HrIntern *machines, HrJobState state,
                const char *tag, gboolean pending)
{
  json_t *object = json_pack ("{sssisfsiso}", HR_RECORD_TAG, tag, HR_RECORD_STATE, (int)state,
                              HR_RECORD_SUBMITTED_AT, job->submitted_at, HR_RECORD_TASKS_PER_PAGE,
                              (int)job->record.tasks_per_page, HR_RECORD_SPEC,
                              hr_jobspec_pack (&job->spec, names));
  if (!job->record.tasks_per_page)
    json_object_set_new (object, HR_RECORD_TASKS,
                         pack_tasks (job, 0, job->n_tasks, machines, pending));
  else if (job->record.sized_page_keys)
    json_object_set_new (object, HR_RECORD_SIZED_PAGE_KEYS, json_integer (1));
  if (job->dependencies.n_awaited)
    json_object_set_new (object, HR_RECORD_AWAITS, pack_awaits (job));
  pack_unknown_members (object, job);
  return hr_json_take_text (object);
}

char *
hr_record_first (const HrJobSpec *spec, const char *const *awaits, const HrNames *names,
                 double submitted, guint tasks_per_page, const char *tag)
{
  guint n = awaits ? g_strv_length ((GStrv)awaits) : 0;
  g_autofree HrJob *rows = g_new0 (HrJob, n + 1);
  g_autofree HrJob **named = g_new0 (HrJob *, n + 1);
  for (guint i = 0; i < n; i++) {
    rows[i].id = awaits[i];
    named[i] = &rows[i];
  }
  HrJob job = {
      .submitted_at = submitted, .dependencies.awaited = named, .dependencies.n_awaited = n};
  hr_job_set_spec (&job, spec, tasks_per_page);
  char *text = hr_record_main (&job, names, NULL, HR_JOB_QUEUED, tag, FALSE);
  hr_job_compact (&job);
  return text;
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
  return hr_record_page_of (job, page * job->record.tasks_per_page, job->record.tasks_per_page,
                            machines, tag, pending);
}

char *
hr_record_page_of (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines,
                   const char *tag, gboolean pending)
{
  json_t *tasks = pack_tasks (job, first, MIN (n, job->n_tasks - first), machines, pending);
  return hr_json_take_text (json_pack ("{ssso}", HR_RECORD_TAG, tag, HR_RECORD_TASKS, tasks));
}

/* ---- reading ---- */

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

/* Members that this version does not know. NULL: none. */
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
fail_member (const char *member, GError **error)
{
  g_set_error (error, HR_RECORD_ERROR, HR_RECORD_ERROR_MEMBER,
               "the record's member \"%s\" is missing or invalid", member);
  return FALSE;
}

static gboolean
read_count (const json_t *value, const char *member, guint64 max, guint64 *out, GError **error)
{
  return hr_json_count (value, member, max, out) || fail_member (member, error);
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

/* A job must not start while it is not known what it awaits: its whole record is invalid then. */
static gboolean
read_awaits (const json_t *value, GStrv *out, GError **error)
{
  const json_t *awaits = json_object_get (value, HR_RECORD_AWAITS);
  if (!awaits)
    return TRUE;
  *out = hr_job_ids_read (awaits);
  return *out || fail_member (HR_RECORD_AWAITS, error);
}

static gboolean
read_open_job (const json_t *value, const json_t *spec, HrNames *names, HrRecord *record,
               GError **error)
{
  guint64 tasks_per_page;
  if (!read_spec (spec, names, &record->spec, error))
    return FALSE;
  if (!hr_json_num (value, HR_RECORD_SUBMITTED_AT, &record->submitted_at))
    return fail_member (HR_RECORD_SUBMITTED_AT, error);
  if (!read_count (value, HR_RECORD_TASKS_PER_PAGE, HR_MAX_TASKS, &tasks_per_page, error))
    return FALSE;
  const json_t *sized_page_keys = json_object_get (value, HR_RECORD_SIZED_PAGE_KEYS);
  record->tasks_per_page = tasks_per_page;
  record->sized_page_keys = tasks_per_page && json_integer_value (sized_page_keys) == 1;
  record->n_tasks = record->spec.tasks;
  record->tasks = json_object_get (value, HR_RECORD_TASKS);
  record->extra = unknown_members (value);
  return read_awaits (value, &record->awaits, error);
}

gboolean
hr_record_read (const json_t *value, HrNames *names, HrRecord *record, GError **error)
{
  guint64 state;
  memset (record, 0, sizeof *record);
  const char *tag = hr_json_str (value, HR_RECORD_TAG);
  if (!tag)
    return fail_member (HR_RECORD_TAG, error);
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
  g_clear_pointer (&record->extra, json_decref);
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
  int incarnation, attempt;
  if (json_unpack (entry, "[sii]", &machine_name, &incarnation, &attempt) != 0)
    return FALSE;
  task->recorded.machine = hr_intern (machines, machine_name);
  task->recorded.incarnation = incarnation;
  task->recorded.attempt = attempt;
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
  if (is_number && !done)
    task->recorded.machine = HR_NONE;
  return is_number;
}

gboolean
hr_record_tasks (HrJob *job, guint32 first, const json_t *tasks, HrIntern *machines, GError **error)
{
  size_t i;
  json_t *entry;
  guint32 most = job->record.tasks_per_page ? job->record.tasks_per_page : job->n_tasks;
  guint32 n = MIN (most, job->n_tasks - first);
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
