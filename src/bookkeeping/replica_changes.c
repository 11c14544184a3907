/* One change of the state store, as read, goes into the tables. */
#include "bookkeeping/replica_changes.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record.h"
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/staged_pages.h"
#include "bookkeeping/store.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <string.h>

/* Where tasks of the job were placed its image is cached, soon: whoever leads next knows
 * that only from here, since reports do not tell it. */
static void
note_cached_images (HrStore *store, HrJob *job, guint32 from, guint32 n)
{
  for (guint32 i = from; i < MIN (from + n, job->n_tasks); i++) {
    guint32 machine = job->tasks[i].recorded.machine;
    if (machine != HR_NONE && !job->tasks[i].done_recorded)
      hr_machine_touch_image (
          hr_machine_get (&store->tables, hr_intern_name (&store->tables.machine_ids, machine)),
          job->spec.image);
  }
}

gboolean
hr_replica_apply_job (HrStore *store, HrJob *job, const json_t *value, guint64 revision)
{
  HrRecord record;
  if (job->is_known && revision <= job->record.revision)
    return TRUE; /* known already: our own write, or a change read twice */
  if (!hr_record_read (value, store->names, &record)) {
    g_warning ("%s: its record makes no sense", job->id);
    job->record.main_unreadable = TRUE;
    hr_record_clear (&record);
    return FALSE;
  }
  job->record.main_unreadable = FALSE;
  g_auto (GStrv) awaits = g_steal_pointer (&record.awaits);
  HrRecordPage *page = job->record.pages;
  if (page && page->write_tag && g_str_equal (page->write_tag, record.tag)) {
    hr_record_clear (&record);
    hr_record_writer_confirmed (store, job, page, revision);
    return TRUE;
  }
  gboolean fresh = !job->is_known;
  job->is_known = TRUE;
  job->record.revision = revision;
  if (record.state == HR_JOB_CANCELLED)
    store->events->cancellation_read (store->core, job, revision);
  g_free (job->record.tag);
  job->record.tag = g_steal_pointer (&record.tag);
  if (record.is_tombstone) {
    job->state = record.state;
    job->cancellation.told_by_peer = FALSE;
    job->n_tasks = record.n_tasks;
    job->n_recorded_done = record.n_done;
    job->record.is_compacted = TRUE;
    if (record.cancelled_with)
      job->cancellation.root = hr_job_get (&store->tables, record.cancelled_with);
    hr_garbage_add_job (store, job);
    if (!hr_store_is_leader (store) || !job->run.n_live)
      hr_job_compact (job);
    store->events->job_final (store->core, job);
    return TRUE;
  }
  if (fresh || !job->tasks) {
    hr_job_set_spec (job, &record.spec, record.tasks_per_page);
    job->submitted_at = record.submitted_at;
    job->record.sized_page_keys = record.sized_page_keys && store->format.supported;
  } else if (store->format.supported && record.sized_page_keys &&
             record.tasks_per_page != job->record.tasks_per_page)
    hr_staged_pages_adopt (store, job, record.tasks_per_page, revision);
  if (store->format.supported) {
    json_decref (job->record.unknown_members);
    job->record.unknown_members = g_steal_pointer (&record.extra);
  }
  hr_record_clear (&record);
  /* The leader alone changes tasks; what others write leaves them as they were. */
  if (!record.tasks_per_page && record.tasks && (!hr_store_is_leader (store) || fresh)) {
    job->record.tasks_unreadable =
        !hr_record_tasks (job, 0, record.tasks, &store->tables.machine_ids);
    if (job->record.tasks_unreadable)
      g_warning ("%s: the tasks in its record make no sense", job->id);
    note_cached_images (store, job, 0, job->n_tasks);
  }
  if (!record.tasks_per_page && job->record.pages)
    job->record.pages[0].revision = revision;
  /* A reading may be older than what a member told; a cancellation is final all the same. */
  gboolean was_told = job->cancellation.told_by_peer;
  job->cancellation.told_by_peer = was_told && record.state == HR_JOB_QUEUED;
  HrJobState before = job->state;
  job->state = job->cancellation.told_by_peer
                   ? HR_JOB_CANCELLED
                   : record.state; /* a derived cancellation is derived again */
  gboolean cancelled = record.state == HR_JOB_CANCELLED || job->cancellation.told_by_peer;
  gboolean newly_cancelled = cancelled && (before != HR_JOB_CANCELLED || was_told);
  store->events->job_read (store->core, job, (const char *const *)awaits, newly_cancelled);
  return TRUE;
}

/* A page of a job that is final, or of a layout that is not, or no longer, in force. */
static void
apply_obsolete_page (HrStore *store, HrJob *job, guint tasks_per_page, guint page,
                     const json_t *value, guint64 revision)
{
  hr_garbage_page_deleted (store, job, tasks_per_page, page);
  if (value && (job->record.is_compacted || !tasks_per_page))
    hr_garbage_add_page (store, job, tasks_per_page, page);
  else if (!job->record.is_compacted && tasks_per_page && job->tasks)
    hr_staged_page_update (job, tasks_per_page, page, value ? revision : 0, value);
}

/* per_page: of a page under h/u; 0: one under h/t. */
static void
apply_page (HrStore *store, HrJob *job, guint tasks_per_page, guint64 n, const json_t *value,
            guint64 revision)
{
  gboolean in_force = job->record.sized_page_keys ? tasks_per_page == job->record.tasks_per_page
                                                  : tasks_per_page == 0;
  if (job->record.is_compacted || (!in_force && store->format.supported)) {
    apply_obsolete_page (store, job, tasks_per_page, n, value, revision);
    return;
  }
  const char *tag = hr_json_str (value, "w");
  if (!value || !job->tasks || !job->record.tasks_per_page || n >= job->record.n_pages ||
      revision <= job->record.pages[n].revision)
    return;
  HrRecordPage *page = &job->record.pages[n];
  if (page->write_tag && tag && g_str_equal (page->write_tag, tag)) {
    hr_record_writer_confirmed (store, job, page, revision);
    return;
  }
  page->revision = revision;
  if (!hr_store_is_leader (store)) {
    /* Other pages may be unreadable too: once one was, the job counts as unreadable. */
    if (!hr_record_tasks (job, n * job->record.tasks_per_page, json_object_get (value, "x"),
                          &store->tables.machine_ids)) {
      job->record.tasks_unreadable = TRUE;
      g_warning ("%s: page %u of its record makes no sense", job->id, (guint)n);
    }
    note_cached_images (store, job, n * job->record.tasks_per_page, job->record.tasks_per_page);
  }
}

/* What follows the prefix in the key; NULL when the key does not start with it. */
static const char *
after_prefix (const char *key, const char *prefix)
{
  return g_str_has_prefix (key, prefix) ? key + strlen (prefix) : NULL;
}

/* "ID/PAGE", or "ID/SIZE/PAGE" of a page that carries its size. */
static void
apply_page_key (HrStore *store, const char *rest, gboolean sized, const json_t *value,
                guint64 revision)
{
  g_auto (GStrv) fields = g_strsplit (rest, "/", -1);
  if (g_strv_length (fields) != (sized ? 3 : 2))
    return;
  HrJob *job = hr_job_find (&store->tables, fields[0]);
  guint64 tasks_per_page = sized ? g_ascii_strtoull (fields[1], NULL, 10) : 0;
  guint64 n = g_ascii_strtoull (fields[sized ? 2 : 1], NULL, 10);
  if (job && tasks_per_page <= HR_MAX_TASKS && n <= HR_MAX_TASKS && (!sized || tasks_per_page))
    apply_page (store, job, tasks_per_page, n, value, revision);
}

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
