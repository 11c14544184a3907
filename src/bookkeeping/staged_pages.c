#include "bookkeeping/staged_pages.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record.h"
#include "bookkeeping/record_fields.h"
#include "bookkeeping/tables.h"

HrStagedPage *
hr_staged_page_find (HrJob *job, guint tasks_per_page, guint page)
{
  const GArray *pages = job->record.staged_pages;
  for (guint i = 0; pages && i < pages->len; i++) {
    HrStagedPage *staged = &g_array_index (pages, HrStagedPage, i);
    if (staged->tasks_per_page == tasks_per_page && staged->page == page)
      return staged;
  }
  return NULL;
}

static HrStagedPage *
add_staged_page (HrJob *job, guint tasks_per_page, guint page)
{
  if (!job->record.staged_pages)
    job->record.staged_pages = g_array_new (FALSE, TRUE, sizeof (HrStagedPage));
  GArray *pages = job->record.staged_pages;
  g_array_set_size (pages, pages->len + 1);
  HrStagedPage *staged = &g_array_index (pages, HrStagedPage, pages->len - 1);
  staged->tasks_per_page = tasks_per_page;
  staged->page = page;
  return staged;
}

void
hr_staged_page_update (HrJob *job, guint tasks_per_page, guint page, guint64 revision,
                       const json_t *value)
{
  HrStagedPage *staged = hr_staged_page_find (job, tasks_per_page, page);
  gboolean is_deleted = revision == 0;
  if (staged && !is_deleted && revision < staged->revision)
    return;
  if (!staged && is_deleted)
    return;
  if (!staged)
    staged = add_staged_page (job, tasks_per_page, page);
  staged->revision = revision;
  json_decref (staged->value);
  staged->value = !is_deleted && value ? json_incref ((json_t *)value) : NULL;
}

/* Sets the layout of the record, with pages whose revisions are not known yet. */
static void
set_layout (HrJob *job, guint tasks_per_page)
{
  for (guint i = 0; i < job->record.n_pages; i++)
    g_free (job->record.pages[i].write_tag);
  g_free (job->record.pages);
  job->record.tasks_per_page = tasks_per_page;
  job->record.sized_page_keys = TRUE;
  job->record.n_pages = hr_page_count (job->n_tasks, tasks_per_page);
  job->record.pages = g_new0 (HrRecordPage, job->record.n_pages);
  /* Writes in flight are conditional on the earlier main record, so they cannot take effect any
   * more. */
  for (guint32 i = 0; i < job->n_tasks; i++)
    job->tasks[i].write_in_flight = 0;
}

/* Applies a staged page. Only the leader changes tasks, so a leader applies just the revision. */
static void
adopt_page (HrStore *store, HrJob *job, const HrStagedPage *staged)
{
  job->record.pages[staged->page].revision = staged->revision;
  if (hr_store_is_leader (store) || !staged->value)
    return;
  const json_t *tasks = json_object_get (staged->value, HR_RECORD_TASKS);
  if (!hr_record_read_tasks (job, staged->page * job->record.tasks_per_page, tasks,
                             &store->tables.machine_ids, NULL))
    job->record.tasks_unreadable = TRUE;
}

/* The pages hold the recorded state as of the previous main record. The state in memory may differ,
 * since the whole state store may have been listed in between. Pages that have changed since are
 * among the changes that are read next. */
void
hr_staged_pages_adopt (HrStore *store, HrJob *job, guint tasks_per_page, guint64 revision)
{
  g_autoptr (GArray) pages = g_steal_pointer (&job->record.staged_pages);
  hr_garbage_add_job (store, job);
  set_layout (job, tasks_per_page);
  for (guint i = 0; pages && i < pages->len; i++) {
    HrStagedPage *staged = &g_array_index (pages, HrStagedPage, i);
    if (staged->tasks_per_page != tasks_per_page && staged->revision)
      hr_garbage_add_page (store, job, staged->tasks_per_page, staged->page);
    else if (staged->page < job->record.n_pages && staged->revision <= revision)
      adopt_page (store, job, staged);
    json_decref (staged->value);
  }
  store->events->plan_changed (store->core);
}
