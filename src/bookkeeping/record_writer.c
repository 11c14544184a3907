#include "bookkeeping/record_writer.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/record_write.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/transactions.h"
#include <string.h>

/* Back-off after the state store refused a record, or a record was too large to be sent. It doubles
 * until a write of the record succeeds. */
#define MIN_BACK_OFF_S 0.5
#define MAX_BACK_OFF_S 8.0
/* Interval between retries of transactions while the state store does not answer. */
#define OUTAGE_RETRY_S 0.5

/* Content of the next write of a page. A job's tasks are in its main record, which then counts as
 * its only page, or, if that would be too large, in pages of a fixed number of tasks each
 * (record_layout.h). */
typedef enum {
  CONTENT_NONE,     /* no write is needed: the record is up to date */
  CONTENT_TASKS,    /* assignments and ends of tasks */
  CONTENT_TOMBSTONE /* the job is final, and none of its tasks is on a machine */
} PageContent;

/* Range of a page's tasks; `end` is exclusive. */
typedef struct {
  guint32 first, end;
} TaskRange;

typedef struct {
  gboolean any, assignments;
} TaskChanges;

static TaskRange
tasks_of_page (const HrJob *job, const HrRecordPage *page)
{
  if (!job->record.tasks_per_page)
    return (TaskRange){0, job->n_tasks};
  guint32 first = (guint32)(page - job->record.pages) * job->record.tasks_per_page;
  return (TaskRange){first, MIN (first + job->record.tasks_per_page, job->n_tasks)};
}

/* ---- dirty pages ---- */

static void
mark_page (HrStore *store, HrJob *job, HrRecordPage *page)
{
  if (page->is_dirty)
    return;
  page->is_dirty = TRUE;
  HrDirtyPage dirty = {job->index, page - job->record.pages};
  g_array_append_val (store->writer.dirty_pages, dirty);
}

void
hr_record_writer_mark (HrStore *store, HrJob *job, guint32 task_index)
{
  if (job->record.pages)
    mark_page (store, job, hr_job_page (job, task_index));
}

void
hr_record_writer_mark_all (HrStore *store, HrJob *job)
{
  for (guint i = 0; i < job->record.n_pages; i++)
    mark_page (store, job, &job->record.pages[i]);
}

void
hr_record_writer_back_off (HrStore *store, HrJob *job)
{
  job->record.back_off_s = CLAMP (2 * job->record.back_off_s, MIN_BACK_OFF_S, MAX_BACK_OFF_S);
  job->record.next_write_at = store->now + job->record.back_off_s;
}

/* Checks whether the record must wait after a failed write. A record whose next write is the
 * tombstone does not wait, since tombstones are small: that is an open job whose tasks are all
 * done, or a final job without tasks on machines. */
static gboolean
is_backing_off (const HrStore *store, const HrJob *job)
{
  if (store->now >= job->record.next_write_at)
    return FALSE;
  return job->state == HR_JOB_QUEUED ? job->n_done < job->n_tasks : job->run.n_live > 0;
}

/* ---- outcomes of a write ---- */

static void
confirm_task (HrStore *store, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  if (!task->write_in_flight)
    return;
  task->write_in_flight = 0;
  if (task->state == HR_TASK_ASSIGNING) {
    HrTaskRun *run = hr_task_edit_run (task);
    run->recorded = run->placement;
    store->events->assignment_recorded (store->core, job, task_index);
  } else if (task->state == HR_TASK_DONE && !task->done_recorded) {
    task->done_recorded = 1;
    job->n_recorded_done++;
    hr_job_task_end_recorded (job, task);
  }
}

/* Handles the confirmed write of the job's tombstone. */
static void
finish_job (HrStore *store, HrJob *job)
{
  if (job->state == HR_JOB_QUEUED) {
    job->state = HR_JOB_DONE;
    g_info ("%s is done", job->id);
  }
  job->record.is_compacted = TRUE;
  hr_garbage_add_job (store, job);
  hr_job_unload (&store->tables, job);
  store->events->job_final (store->core, job);
}

void
hr_record_writer_confirmed (HrStore *store, HrJob *job, HrRecordPage *page, guint64 revision)
{
  TaskRange range = tasks_of_page (job, page);
  gboolean is_tombstone = page->write_is_tombstone;
  g_autofree char *tag = g_steal_pointer (&page->write_tag);
  job->record.next_write_at = job->record.back_off_s = 0;
  page->revision = revision;
  page->write_is_tombstone = FALSE;
  if (!job->record.tasks_per_page || is_tombstone) {
    job->record.revision = revision;
    g_free (job->record.tag);
    job->record.tag = g_steal_pointer (&tag);
  }
  for (guint32 i = range.first; i < range.end; i++)
    confirm_task (store, job, i);
  if (is_tombstone)
    finish_job (store, job);
  else if (job->state == HR_JOB_QUEUED && job->n_recorded_done == job->n_tasks)
    mark_page (store, job, job->record.pages); /* its next write is the tombstone */
  store->events->plan_changed (store->core);
}

void
hr_record_writer_failed (HrStore *store, HrJob *job, HrRecordPage *page)
{
  TaskRange range = tasks_of_page (job, page);
  g_clear_pointer (&page->write_tag, g_free);
  page->write_is_tombstone = FALSE;
  for (guint32 i = range.first; i < range.end; i++) {
    HrTask *task = &job->tasks[i];
    if (!task->write_in_flight)
      continue;
    task->write_in_flight = 0;
    /* The next write of an open job holds the assignment again; that of a final job does not. */
    if (task->state == HR_TASK_ASSIGNING && job->state != HR_JOB_QUEUED)
      store->events->assignment_dropped (store->core, job, i);
  }
  mark_page (store, job, page);
}

/* Handles a value that exceeds the maximum size: it is not sent. If the record can be split, its
 * changes wait for the split. Otherwise assignments are dropped, and ends of tasks wait for the end
 * of the back-off. */
static void
handle_oversized (HrStore *store, HrJob *job, HrRecordPage *page)
{
  TaskRange range = tasks_of_page (job, page);
  gboolean can_split = hr_record_split_is_possible (store, job);
  for (guint32 i = range.first; i < range.end; i++) {
    job->tasks[i].write_in_flight = 0;
    if (!can_split && job->tasks[i].state == HR_TASK_ASSIGNING)
      store->events->assignment_dropped (store->core, job, i);
  }
  if (can_split) {
    hr_record_split_request (store, job, FALSE);
    return; /* the split marks the pages when it ends */
  }
  if (!job->record.back_off_s)
    g_warning (
        "%s: its record exceeds the maximum size and cannot be split now: not every controller "
        "supports split records, or no smaller pages are possible",
        job->id);
  hr_record_writer_back_off (store, job);
  job->run.retry_at = MAX (job->run.retry_at, job->record.next_write_at);
  mark_page (store, job, page);
}

/* ---- content of writes ---- */

/* Marks the page's unrecorded assignments and ends of tasks as part of its next write. Returns
 * which kinds of changes there are. */
static TaskChanges
take_task_changes (HrJob *job, const HrRecordPage *page)
{
  TaskRange range = tasks_of_page (job, page);
  TaskChanges changes = {FALSE, FALSE};
  for (guint32 i = range.first; i < range.end; i++) {
    HrTask *task = &job->tasks[i];
    /* Last check that no task is assigned while the job awaits other jobs. The same is checked
     * before launches. */
    gboolean assigned = task->state == HR_TASK_ASSIGNING && job->state == HR_JOB_QUEUED &&
                        !hr_job_has_unfinished_dependencies (job);
    gboolean ended = task->state == HR_TASK_DONE && !task->done_recorded;
    task->write_in_flight = assigned || ended;
    changes.assignments |= assigned;
    changes.any |= task->write_in_flight;
  }
  return changes;
}

/* Chooses the content of a page's next write. The first page writes the tombstone, which replaces
 * the main record. */
static PageContent
choose_content (const HrJob *job, const HrRecordPage *page, const TaskChanges *changes)
{
  gboolean is_first = page == job->record.pages;
  if (job->state != HR_JOB_QUEUED) {
    if (is_first && job->run.n_live == 0 && !job->record.is_compacted)
      return CONTENT_TOMBSTONE;
  } else {
    /* If the main record holds the tasks, the tombstone also records the last ends of tasks. */
    guint32 n_done = job->record.tasks_per_page ? job->n_recorded_done : job->n_done;
    if (is_first && n_done == job->n_tasks)
      return CONTENT_TOMBSTONE;
  }
  return changes->any ? CONTENT_TASKS : CONTENT_NONE;
}

static char *
content_text (const HrStore *store, const HrJob *job, const HrRecordPage *page, PageContent content,
              const char *tag)
{
  const HrIntern *machines = &store->tables.machine_ids;
  if (content == CONTENT_TOMBSTONE) {
    HrJobState final_state = job->state == HR_JOB_QUEUED ? HR_JOB_DONE : job->state;
    return hr_record_tombstone (job, final_state, tag);
  }
  if (!job->record.tasks_per_page)
    return hr_record_main (job, store->names, machines, job->state, tag, TRUE);
  return hr_record_page (job, page - job->record.pages, machines, tag, TRUE);
}

static HrTransactionKind
choose_kind (const HrJob *job, const TaskChanges *changes)
{
  /* Jobs that await this one may start once its end is recorded. */
  gboolean is_awaited =
      job->dependencies.dependents && job->state == HR_JOB_QUEUED && job->n_done == job->n_tasks;
  return changes->assignments || is_awaited ? HR_TRANSACTION_LAUNCH : HR_TRANSACTION_BOOKKEEPING;
}

static void
write_page (HrStore *store, HrJob *job, HrRecordPage *page)
{
  if (job->cancellation.reported_by_peer)
    return; /* the cancelled record must be read before it is written again */
  TaskChanges changes = take_task_changes (job, page);
  PageContent content = choose_content (job, page, &changes);
  if (content == CONTENT_NONE) {
    if (job->record.is_compacted && !job->run.n_live)
      hr_job_unload (&store->tables, job); /* the tombstone was read while tasks were live */
    return;
  }
  g_auto (HrRecordWriteContent) write = {.tag = store->events->new_tag (store->core),
                                         .is_tombstone = content == CONTENT_TOMBSTONE,
                                         .kind = choose_kind (job, &changes)};
  write.text = content_text (store, job, page, content, write.tag);
  if (content == CONTENT_TASKS && strlen (write.text) > hr_record_layout_max_bytes (store))
    handle_oversized (store, job, page);
  else
    hr_record_write_start (store, job, page, &write);
}

/* ---- step ---- */

/* Checks whether a page must wait: it has at most one write in flight, and none during a split. */
static gboolean
must_wait (const HrStore *store, const HrJob *job, const HrRecordPage *page)
{
  return page->write_tag || job->record.split_in_flight || is_backing_off (store, job);
}

static void
write_dirty_pages (HrStore *store)
{
  g_autoptr (GArray) due = store->writer.dirty_pages;
  store->writer.dirty_pages = g_array_new (FALSE, TRUE, sizeof (HrDirtyPage));
  for (guint i = 0; i < due->len; i++) {
    const HrDirtyPage *dirty = &g_array_index (due, HrDirtyPage, i);
    HrJob *job = store->tables.jobs->pdata[dirty->job];
    if (dirty->page >= job->record.n_pages)
      continue; /* the job is final, or its record was split */
    HrRecordPage *page = &job->record.pages[dirty->page];
    if (must_wait (store, job, page)) {
      g_array_append_val (store->writer.dirty_pages, *dirty);
      continue;
    }
    page->is_dirty = FALSE;
    write_page (store, job, page);
  }
}

static void
send_transactions (HrStore *store)
{
  HrTransactions *transactions = &store->transactions;
  if (store->replica.is_unavailable) {
    if (store->now - transactions->paused_until <= OUTAGE_RETRY_S)
      return;
    transactions->paused_until = store->now; /* during an outage: the time of the latest retry */
  }
  hr_transactions_send (store);
}

/* Checks whether this node may write. While its fencing token is being raised, writes would be
 * refused. */
static gboolean
may_write (const HrStore *store)
{
  return hr_store_is_leader (store) && !store->events->token_raise_in_flight (store->core);
}

void
hr_record_writer_tick (HrStore *store)
{
  if (may_write (store) && store->writer.dirty_pages->len)
    write_dirty_pages (store);
  if (may_write (store) && store->replica.state == HR_REPLICA_FOLLOWING)
    hr_record_split_tick (store);
  send_transactions (store);
}
