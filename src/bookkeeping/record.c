#include "bookkeeping/record.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <string.h>

static json_t *
pack_tasks (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines, gboolean pending)
{
  json_t *tasks = json_array ();
  for (guint32 i = first; i < first + n; i++) {
    const HrTask *task = &job->tasks[i];
    guint32 machine = task->recorded.machine, incarnation = task->recorded.incarnation,
            attempt = task->recorded.attempt;
    gboolean done = task->done_recorded;
    if (pending && task->write_in_flight) {
      machine = task->placement.machine;
      incarnation = task->placement.incarnation;
      attempt = task->placement.attempt;
      done = done || task->state == HR_TASK_DONE;
    }
    if (done)
      json_array_append_new (tasks, json_integer (1));
    else if (machine == HR_NONE)
      json_array_append_new (tasks, json_integer (0));
    else
      json_array_append_new (tasks, json_pack ("[sii]", hr_intern_name (machines, machine),
                                               (int)incarnation, (int)attempt));
  }
  return tasks;
}

/* Written back as it was read. */
static void
pack_extra (json_t *object, const HrJob *job)
{
  if (job->record.unknown_members)
    json_object_update_missing (object, job->record.unknown_members);
}

/* What stands in a record beside the members that this version knows. */
static json_t *
unknown_members (const json_t *value)
{
  static const char *const known[] = {"w", "s", "t", "q", "j", "x", "u", "a", "n", "d", "c"};
  json_t *extra = NULL, *entry;
  const char *key;
  json_object_foreach ((json_t *)value, key, entry)
  {
    gboolean is_known = FALSE;
    for (guint i = 0; i < G_N_ELEMENTS (known) && !is_known; i++)
      is_known = g_str_equal (key, known[i]);
    if (is_known)
      continue;
    if (!extra)
      extra = json_object ();
    json_object_set (extra, key, entry);
  }
  return extra;
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
  json_t *object =
      json_pack ("{sssisfsiso}", "w", tag, "s", (int)state, "t", job->submitted_at, "q",
                 (int)job->record.tasks_per_page, "j", hr_jobspec_pack (&job->spec, names));
  if (!job->record.tasks_per_page)
    json_object_set_new (object, "x", pack_tasks (job, 0, job->n_tasks, machines, pending));
  else if (job->record.sized_page_keys)
    json_object_set_new (object, "u", json_integer (1));
  if (job->dependencies.n_awaited)
    json_object_set_new (object, "a", pack_awaits (job));
  pack_extra (object, job);
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
  json_t *object = json_pack ("{sssisisi}", "w", tag, "s", (int)state, "n", (int)job->n_tasks, "d",
                              (int)(state == HR_JOB_DONE ? job->n_tasks : job->n_recorded_done));
  if (state == HR_JOB_CANCELLED && job->cancellation.root)
    json_object_set_new (object, "c", json_string (job->cancellation.root->id));
  pack_extra (object, job);
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
  return hr_json_take_text (json_pack ("{ssso}", "w", tag, "x", tasks));
}

gboolean
hr_record_read (const json_t *value, HrNames *names, HrRecord *record)
{
  guint64 n, done = 0;
  memset (record, 0, sizeof *record);
  const char *tag = hr_json_str (value, "w");
  if (!tag || !hr_json_count (value, "s", HR_JOB_CANCELLED, &n))
    return FALSE;
  record->state = n;
  const json_t *spec = json_object_get (value, "j");
  if (!spec) {
    if (!hr_json_count (value, "n", HR_MAX_TASKS, &n) ||
        !hr_json_count (value, "d", HR_MAX_TASKS, &done))
      return FALSE;
    record->is_tombstone = TRUE;
    record->n_tasks = n;
    record->n_done = done;
    const char *root = hr_json_str (value, "c");
    record->cancelled_with = hr_job_id_valid (root) ? root : NULL;
  } else {
    if (!hr_jobspec_unpack (spec, names, &record->spec) ||
        !hr_json_num (value, "t", &record->submitted_at) ||
        !hr_json_count (value, "q", HR_MAX_TASKS, &n))
      return FALSE;
    record->tasks_per_page = n;
    record->sized_page_keys = n && json_integer_value (json_object_get (value, "u")) == 1;
    record->n_tasks = record->spec.tasks;
    record->tasks = json_object_get (value, "x");
    /* A job whose awaited ones cannot be read must not start: it makes no sense as a whole. */
    const json_t *awaits = json_object_get (value, "a");
    if (awaits && !(record->awaits = hr_job_ids_read (awaits)))
      return FALSE;
    record->extra = unknown_members (value);
  }
  record->tag = g_strdup (tag);
  return TRUE;
}

void
hr_record_clear (HrRecord *record)
{
  g_clear_pointer (&record->tag, g_free);
  g_clear_pointer (&record->extra, json_decref);
  g_clear_pointer (&record->awaits, g_strfreev);
}

gboolean
hr_record_tasks (HrJob *job, guint32 first, const json_t *tasks, HrIntern *machines)
{
  size_t i;
  json_t *entry;
  guint32 n = MIN (job->record.tasks_per_page ? job->record.tasks_per_page : job->n_tasks,
                   job->n_tasks - first);
  if (!json_is_array (tasks) || json_array_size (tasks) != n)
    return FALSE;
  json_array_foreach (tasks, i, entry)
  {
    HrTask *task = &job->tasks[first + i];
    gboolean done = json_is_integer (entry) && json_integer_value (entry) == 1;
    if (done != task->done_recorded)
      job->n_recorded_done += done ? 1 : -1;
    task->done_recorded = done;
    if (json_is_array (entry)) {
      const char *machine_name;
      int incarnation, attempt;
      if (json_unpack (entry, "[sii]", &machine_name, &incarnation, &attempt) != 0)
        return FALSE;
      task->recorded.machine = hr_intern (machines, machine_name);
      task->recorded.incarnation = incarnation;
      task->recorded.attempt = attempt;
    } else if (!json_is_integer (entry))
      return FALSE;
    else if (!done)
      task->recorded.machine = HR_NONE;
  }
  return TRUE;
}
