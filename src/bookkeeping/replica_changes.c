#include "bookkeeping/replica_changes.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record.h"
#include "bookkeeping/record_fields.h"
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/staged_pages.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <string.h>

/* ---- main records ---- */

/* Machines that run the job's tasks have, or fetch, its image. The leader that comes next knows
 * that only from here: heartbeats do not state it. */
static void
note_cached_images (HrStore *store, HrJob *job, guint32 first, guint32 n)
{
  guint32 end = MIN (first + n, job->n_tasks);
  for (guint32 i = first; i < end; i++) {
    guint32 machine = job->tasks[i].recorded.machine;
    if (machine == HR_NONE || job->tasks[i].done_recorded)
      continue;
    const char *name = hr_intern_name (&store->tables.machine_ids, machine);
    hr_machine_touch_image (hr_machine_get (&store->tables, name), job->spec.image);
  }
}

/* Is it what our own write under way left? */
static gboolean
is_own_write (const HrRecordPage *page, const char *tag)
{
  return page && page->write_tag && tag && g_str_equal (page->write_tag, tag);
}

static void
apply_tombstone (HrStore *store, HrJob *job, const HrRecord *record)
{
  job->state = record->state;
  job->cancellation.told_by_peer = FALSE;
  job->n_tasks = record->n_tasks;
  job->n_recorded_done = record->n_done;
  job->record.is_compacted = TRUE;
  if (record->cancelled_with)
    job->cancellation.root = hr_job_get (&store->tables, record->cancelled_with);
  hr_garbage_add_job (store, job);
  /* A leader whose tasks may still run needs their rows to stop them. */
  if (!hr_store_is_leader (store) || !job->run.n_live)
    hr_job_compact (job);
  store->events->job_final (store->core, job);
}

/* The job's specification, if it is not in memory, and the layout of its record. */
static void
apply_layout (HrStore *store, HrJob *job, HrRecord *record, guint64 revision, gboolean is_new)
{
  gboolean knows_formats = store->format.supported != 0;
  if (is_new || !job->tasks) {
    hr_job_set_spec (job, &record->spec, record->tasks_per_page);
    job->submitted_at = record->submitted_at;
    job->record.sized_page_keys = record->sized_page_keys && knows_formats;
  } else if (knows_formats && record->sized_page_keys &&
             record->tasks_per_page != job->record.tasks_per_page)
    hr_staged_pages_adopt (store, job, record->tasks_per_page, revision);
  if (knows_formats) {
    json_decref (job->record.unknown_members);
    job->record.unknown_members = g_steal_pointer (&record->extra);
  }
}

/* What a record without pages states about its tasks. The leader alone changes tasks, so it knows
 * them already; records that others write, such as a cancelled job's, leave them as they were. */
static void
apply_tasks (HrStore *store, HrJob *job, const HrRecord *record, gboolean is_new)
{
  if (!record->tasks || (hr_store_is_leader (store) && !is_new))
    return;
  g_autoptr (GError) error = NULL;
  job->record.tasks_unreadable =
      !hr_record_tasks (job, 0, record->tasks, &store->tables.machine_ids, &error);
  if (job->record.tasks_unreadable) {
    g_warning ("%s: the tasks in its record make no sense", job->id);
    g_debug ("%s: %s", job->id, error->message);
  }
  note_cached_images (store, job, 0, job->n_tasks);
}

/* Sets the job's state. Returns: is it cancelled, and was not so in a record before? */
static gboolean
apply_state (HrJob *job, HrJobState recorded)
{
  gboolean was_told = job->cancellation.told_by_peer;
  HrJobState before = job->state;
  /* The record may be older than what a peer stated; the cancellation is final all the same. One
   * that only followed from another job's is concluded again. */
  job->cancellation.told_by_peer = was_told && recorded == HR_JOB_QUEUED;
  job->state = job->cancellation.told_by_peer ? HR_JOB_CANCELLED : recorded;
  return job->state == HR_JOB_CANCELLED && (before != HR_JOB_CANCELLED || was_told);
}

static void
apply_open_job (HrStore *store, HrJob *job, HrRecord *record, guint64 revision, gboolean is_new)
{
  apply_layout (store, job, record, revision, is_new);
  if (!record->tasks_per_page) {
    apply_tasks (store, job, record, is_new);
    if (job->record.pages)
      job->record.pages[0].revision = revision;
  }
  gboolean newly_cancelled = apply_state (job, record->state);
  store->events->job_read (store->core, job, (const char *const *)record->awaits, newly_cancelled);
}

gboolean
hr_replica_apply_job (HrStore *store, HrJob *job, const json_t *value, guint64 revision)
{
  if (job->is_known && revision <= job->record.revision)
    return TRUE; /* known already: our own write, or a change read twice */
  g_auto (HrRecord) record = {0};
  g_autoptr (GError) error = NULL;
  job->record.main_unreadable = !hr_record_read (value, store->names, &record, &error);
  if (job->record.main_unreadable) {
    g_warning ("%s: its record makes no sense", job->id);
    g_debug ("%s: %s", job->id, error->message);
    return FALSE;
  }
  if (is_own_write (job->record.pages, record.tag)) {
    hr_record_writer_confirmed (store, job, job->record.pages, revision);
    return TRUE;
  }
  gboolean is_new = !job->is_known;
  job->is_known = TRUE;
  job->record.revision = revision;
  if (record.state == HR_JOB_CANCELLED)
    store->events->cancellation_read (store->core, job, revision);
  g_free (job->record.tag);
  job->record.tag = g_steal_pointer (&record.tag);
  if (record.is_tombstone)
    apply_tombstone (store, job, &record);
  else
    apply_open_job (store, job, &record, revision, is_new);
  return TRUE;
}

/* ---- pages ---- */

/* A page of a final job, or of a layout that is not in force. */
static void
apply_page_not_in_force (HrStore *store, HrJob *job, guint tasks_per_page, guint page,
                         const json_t *value, guint64 revision)
{
  hr_garbage_page_deleted (store, job, tasks_per_page, page);
  if (value && (job->record.is_compacted || !tasks_per_page))
    hr_garbage_add_page (store, job, tasks_per_page, page);
  else if (!job->record.is_compacted && tasks_per_page && job->tasks)
    hr_staged_page_update (job, tasks_per_page, page, value ? revision : 0, value);
}

/* The leader alone changes tasks, so it reads none. */
static void
apply_page_tasks (HrStore *store, HrJob *job, guint page, const json_t *value)
{
  guint32 n = job->record.tasks_per_page, first = page * n;
  g_autoptr (GError) error = NULL;
  if (hr_store_is_leader (store))
    return;
  if (!hr_record_tasks (job, first, json_object_get (value, HR_RECORD_TASKS),
                        &store->tables.machine_ids, &error)) {
    /* Not reset by a page that can be read: others may be unreadable all the same. */
    job->record.tasks_unreadable = TRUE;
    g_warning ("%s: page %u of its record makes no sense", job->id, page);
    g_debug ("%s: %s", job->id, error->message);
  }
  note_cached_images (store, job, first, n);
}

static void
apply_page_in_force (HrStore *store, HrJob *job, guint n, const json_t *value, guint64 revision)
{
  if (!value || !job->tasks || !job->record.tasks_per_page || n >= job->record.n_pages)
    return;
  HrRecordPage *page = &job->record.pages[n];
  if (revision <= page->revision)
    return;
  if (is_own_write (page, hr_json_str (value, HR_RECORD_TAG))) {
    hr_record_writer_confirmed (store, job, page, revision);
    return;
  }
  page->revision = revision;
  apply_page_tasks (store, job, n, value);
}

/* tasks_per_page: the size that the page's key carries; 0: none. */
static void
apply_page (HrStore *store, HrJob *job, guint tasks_per_page, guint page, const json_t *value,
            guint64 revision)
{
  guint size_in_force = job->record.sized_page_keys ? job->record.tasks_per_page : 0;
  gboolean in_force = tasks_per_page == size_in_force || !store->format.supported;
  if (in_force && !job->record.is_compacted)
    apply_page_in_force (store, job, page, value, revision);
  else
    apply_page_not_in_force (store, job, tasks_per_page, page, value, revision);
}

/* What follows the prefix in the key; NULL when the key does not start with it. */
static const char *
after_prefix (const char *key, const char *prefix)
{
  return g_str_has_prefix (key, prefix) ? key + strlen (prefix) : NULL;
}

/* rest: ID/PAGE, or ID/TASKS_PER_PAGE/PAGE where the key carries the page's size. */
static void
apply_page_key (HrStore *store, const char *rest, gboolean is_sized, const json_t *value,
                guint64 revision)
{
  g_auto (GStrv) fields = g_strsplit (rest, "/", -1);
  if (g_strv_length (fields) != (is_sized ? 3 : 2))
    return;
  HrJob *job = hr_job_find (&store->tables, fields[0]);
  guint64 tasks_per_page = is_sized ? g_ascii_strtoull (fields[1], NULL, 10) : 0;
  guint64 page = g_ascii_strtoull (fields[is_sized ? 2 : 1], NULL, 10);
  if (is_sized && !tasks_per_page)
    return;
  if (job && tasks_per_page <= HR_MAX_TASKS && page <= HR_MAX_TASKS)
    apply_page (store, job, tasks_per_page, page, value, revision);
}

/* ---- all keys ---- */

void
hr_replica_apply_change (HrStore *store, const char *key, const json_t *value, guint64 revision)
{
  const char *rest;
  if (strcmp (key, HR_STORE_KEY_LEADER_RECORD) == 0)
    store->events->leader_record_read (store->core, value, revision);
  else if (strcmp (key, HR_STORE_KEY_LEADER_LOCK) == 0)
    store->events->leader_lock_read (store->core, value, revision);
  else if (strcmp (key, HR_STORE_KEY_MACHINE_TYPES) == 0)
    store->events->machine_types_read (store->core, value, revision);
  else if (strcmp (key, HR_STORE_KEY_RECORD_FORMAT) == 0)
    hr_record_format_read (store, value, revision);
  else if ((rest = after_prefix (key, HR_STORE_KEYS_JOBS))) {
    if (value && hr_job_id_valid (rest))
      hr_replica_apply_job (store, hr_job_get (&store->tables, rest), value, revision);
  } else if ((rest = after_prefix (key, HR_STORE_KEYS_PAGES)))
    apply_page_key (store, rest, FALSE, value, revision);
  else if (store->format.supported && (rest = after_prefix (key, HR_STORE_KEYS_SIZED_PAGES)))
    apply_page_key (store, rest, TRUE, value, revision);
}
