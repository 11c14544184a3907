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

/* Marks the job's image as cached on the machines that run its tasks. Heartbeats do not contain
 * cached images, so a new leader knows them only from records. */
static void
mark_images_cached (HrStore *store, HrJob *job, guint32 first, guint32 n)
{
  guint32 end = MIN (first + n, job->n_tasks);
  for (guint32 i = first; i < end; i++) {
    guint32 machine = job->tasks[i].run->recorded.machine;
    if (machine == HR_NONE || job->tasks[i].done_recorded)
      continue;
    const char *name = hr_intern_name (&store->tables.machine_ids, machine);
    hr_machine_touch_image (hr_machine_get (&store->tables, name), job->spec.image);
  }
}

/* Checks whether the tag is that of this node's write in flight. */
static gboolean
is_own_write (const HrRecordPage *page, const char *tag)
{
  return page && page->write_tag && tag && g_str_equal (page->write_tag, tag);
}

static void
apply_tombstone (HrStore *store, HrJob *job, const HrRecord *record)
{
  job->state = record->state;
  job->cancellation.reported_by_peer = FALSE;
  job->n_tasks = record->n_tasks;
  job->n_recorded_done = record->n_done;
  job->record.is_compacted = TRUE;
  if (record->cancelled_with)
    job->cancellation.root = hr_job_get (&store->tables, record->cancelled_with);
  hr_garbage_add_job (store, job);
  /* While tasks may still run, the leader needs them in memory to stop them. */
  if (!hr_store_is_leader (store) || !job->run.n_live)
    hr_job_unload (&store->tables, job);
  store->events->job_final (store->core, job);
}

/* Applies the job's specification, if it is not in memory, and the layout of its record. */
static void
apply_layout (HrStore *store, HrJob *job, HrRecord *record, guint64 revision, gboolean is_new)
{
  gboolean supports_formats = store->format.supported != 0;
  if (is_new || !job->tasks) {
    hr_job_load (&store->tables, job, &record->spec, record->tasks_per_page,
                 record->awaits ? g_strv_length (record->awaits) : 0);
    job->submitted_at = record->submitted_at;
    job->record.sized_page_keys = record->sized_page_keys && supports_formats;
  } else if (supports_formats && record->sized_page_keys &&
             record->tasks_per_page != job->record.tasks_per_page)
    hr_staged_pages_adopt (store, job, record->tasks_per_page, revision);
  if (supports_formats) {
    json_decref (job->record.unknown_members);
    job->record.unknown_members = g_steal_pointer (&record->unknown_members);
  }
}

/* Applies the tasks of a record without pages. Only the leader changes tasks, so a leader skips
 * them: records that other nodes write, such as those of cancellations, do not change the tasks. */
static void
apply_tasks (HrStore *store, HrJob *job, const HrRecord *record, gboolean is_new)
{
  if (!record->tasks || (hr_store_is_leader (store) && !is_new))
    return;
  g_autoptr (GError) error = NULL;
  job->record.tasks_unreadable =
      !hr_record_read_tasks (job, 0, record->tasks, &store->tables.machine_ids, &error);
  if (job->record.tasks_unreadable) {
    g_warning ("%s: the array of tasks in its record is invalid", job->id);
    g_debug ("%s: %s", job->id, error->message);
  }
  mark_images_cached (store, job, 0, job->n_tasks);
}

/* Sets the job's state. Returns TRUE if the job is cancelled and no earlier record showed it. */
static gboolean
apply_state (HrJob *job, HrJobState recorded)
{
  gboolean was_reported = job->cancellation.reported_by_peer;
  HrJobState before = job->state;
  /* The record may be older than the cancellation that a peer reported, which is final
   * nevertheless. A cancellation caused by that of another job is derived again. */
  job->cancellation.reported_by_peer = was_reported && recorded == HR_JOB_QUEUED;
  job->state = job->cancellation.reported_by_peer ? HR_JOB_CANCELLED : recorded;
  return job->state == HR_JOB_CANCELLED && (before != HR_JOB_CANCELLED || was_reported);
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
    return TRUE; /* applied already: this node's own write, or a change that was read twice */
  g_auto (HrRecord) record = {0};
  g_autoptr (GError) error = NULL;
  job->record.main_unreadable = !hr_record_read (value, store->names, &record, &error);
  if (job->record.main_unreadable) {
    g_warning ("%s: its record is invalid", job->id);
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

/* Applies a page of a final job, or of a layout that is not in force. */
static void
apply_page_not_in_force (HrStore *store, HrJob *job, guint tasks_per_page, guint page,
                         const json_t *value, guint64 revision)
{
  hr_garbage_remove_page (store, job, tasks_per_page, page);
  if (value && (job->record.is_compacted || !tasks_per_page))
    hr_garbage_add_page (store, job, tasks_per_page, page);
  else if (!job->record.is_compacted && tasks_per_page && job->tasks)
    hr_staged_page_update (job, tasks_per_page, page, value ? revision : 0, value);
}

/* Applies the tasks of a page. Only the leader changes tasks, so a leader skips them. */
static void
apply_page_tasks (HrStore *store, HrJob *job, guint page, const json_t *value)
{
  guint32 n = job->record.tasks_per_page, first = page * n;
  g_autoptr (GError) error = NULL;
  if (hr_store_is_leader (store))
    return;
  if (!hr_record_read_tasks (job, first, json_object_get (value, HR_RECORD_TASKS),
                             &store->tables.machine_ids, &error)) {
    /* A valid page does not clear it, since other pages may still be invalid. */
    job->record.tasks_unreadable = TRUE;
    g_warning ("%s: page %u of its record is invalid", job->id, page);
    g_debug ("%s: %s", job->id, error->message);
  }
  mark_images_cached (store, job, first, n);
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

/* tasks_per_page: the page size in the page's key; 0: the key has none. */
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

/* Returns the part of the key after the prefix, or NULL if the key does not start with it. */
static const char *
after_prefix (const char *key, const char *prefix)
{
  return g_str_has_prefix (key, prefix) ? key + strlen (prefix) : NULL;
}

/* rest: ID/PAGE, or ID/TASKS_PER_PAGE/PAGE if the key contains the page size. */
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
