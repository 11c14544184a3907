/* Writing the state store. One write at a time per record; every write by the leader
 * holds on the record's revision and on the leader record's, which fences old leaders. */
#include "bookkeeping/record_writer.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/replica_changes.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/transactions.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

#define WRITE_TIMEOUT_S 2.0
/* What the state service refuses is held back so long, then twice as long each time. */
#define BACK_OFF_S 0.5
#define MAX_BACK_OFF_S 8.0

typedef struct {
  guint32 job, page;
  guint replica_generation;
  char *tag;
  json_t *conditions, *writes;
  HrTransactionKind kind;
  gsize bytes; /* of the value */
} Write;

static void send_write (HrStore *store, Write *write);

static void
write_free (Write *write)
{
  g_free (write->tag);
  json_decref (write->conditions);
  json_decref (write->writes);
  g_free (write);
}

/* The page of a write that is still under way, or NULL when it was overtaken. */
static HrRecordPage *
page_under_write (HrStore *store, Write *write)
{
  HrJob *job = store->tables.jobs->pdata[write->job];
  if (write->replica_generation != store->replica.generation ||
      write->page >= job->record.n_pages ||
      g_strcmp0 (job->record.pages[write->page].write_tag, write->tag))
    return NULL;
  return &job->record.pages[write->page];
}

static void
page_range (const HrJob *job, const HrRecordPage *page, guint32 *from, guint32 *to)
{
  guint n = page - job->record.pages;
  *from = job->record.tasks_per_page ? n * job->record.tasks_per_page : 0;
  *to = job->record.tasks_per_page ? MIN (*from + job->record.tasks_per_page, job->n_tasks)
                                   : job->n_tasks;
}

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

/* Our write of this page is in the state store, at this revision. */
void
hr_record_writer_confirmed (HrStore *store, HrJob *job, HrRecordPage *page, guint64 revision)
{
  guint32 from, to;
  page_range (job, page, &from, &to);
  gboolean final = page->write_is_final;
  job->record.next_write_at = job->record.back_off_s = 0;
  page->revision = revision;
  page->write_is_final = FALSE;
  if (!job->record.tasks_per_page || final) {
    job->record.revision = revision;
    g_free (job->record.tag);
    job->record.tag = g_strdup (page->write_tag);
  }
  g_clear_pointer (&page->write_tag, g_free);
  for (guint32 i = from; i < to; i++) {
    HrTask *task = &job->tasks[i];
    if (!task->write_in_flight)
      continue;
    task->write_in_flight = 0;
    if (task->state == HR_TASK_ASSIGNING) {
      task->recorded.machine = task->placement.machine;
      task->recorded.incarnation = task->placement.incarnation;
      task->recorded.attempt = task->placement.attempt;
      store->events->assignment_recorded (store->core, job, i);
    } else if (task->state == HR_TASK_DONE && !task->done_recorded) {
      task->done_recorded = 1;
      job->n_recorded_done++;
    }
  }
  if (final) {
    if (job->state == HR_JOB_QUEUED) {
      job->state = HR_JOB_DONE;
      g_info ("%s is done", job->id);
    }
    job->record.is_compacted = TRUE;
    hr_garbage_add_job (store, job);
    hr_job_compact (job);
    store->events->job_final (store->core, job);
  } else if (job->state == HR_JOB_QUEUED && job->n_recorded_done == job->n_tasks)
    mark_page (store, job, job->record.pages);
  store->events->plan_changed (store->core);
}

/* What was under way did not happen. */
static void
write_failed (HrStore *store, HrJob *job, HrRecordPage *page)
{
  guint32 from, to;
  page_range (job, page, &from, &to);
  g_clear_pointer (&page->write_tag, g_free);
  page->write_is_final = FALSE;
  for (guint32 i = from; i < to; i++) {
    HrTask *task = &job->tasks[i];
    if (!task->write_in_flight)
      continue;
    task->write_in_flight = 0;
    if (task->state == HR_TASK_ASSIGNING && job->state != HR_JOB_QUEUED)
      store->events->assignment_dropped (store->core, job, i);
  }
  mark_page (store, job, page); /* what is still meant is written anew */
}

void
hr_record_writer_back_off (HrStore *store, HrJob *job)
{
  job->record.back_off_s = CLAMP (2 * job->record.back_off_s, BACK_OFF_S, MAX_BACK_OFF_S);
  job->record.next_write_at = store->now + job->record.back_off_s;
}

/* What was to be written is larger than the state service takes: it is not sent. Endings wait
 * for the split; assignments wait too, or are given up where none is possible yet. */
static void
handle_oversized (HrStore *store, HrJob *job, HrRecordPage *page, guint32 from, guint32 to)
{
  gboolean split = hr_record_split_is_possible (store, job);
  for (guint32 i = from; i < to; i++) {
    job->tasks[i].write_in_flight = 0;
    if (!split && job->tasks[i].state == HR_TASK_ASSIGNING)
      store->events->assignment_dropped (store->core, job, i);
  }
  if (split) {
    hr_record_split_request (store, job, FALSE);
    return; /* the split marks what is still meant */
  }
  if (!job->record.back_off_s)
    g_warning ("%s: its record is too large, and not every member is known to read a split one",
               job->id);
  hr_record_writer_back_off (store, job);
  job->run.retry_at = MAX (job->run.retry_at, job->record.next_write_at);
  mark_page (store, job, page);
}

/* Tombstones are small: they never wait. */
static gboolean
is_backing_off (const HrStore *store, const HrJob *job)
{
  if (store->now >= job->record.next_write_at)
    return FALSE;
  return job->state == HR_JOB_QUEUED ? job->n_done < job->n_tasks : job->run.n_live > 0;
}

static void
on_record_reread (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  Write *write = data;
  HrRecordPage *page = page_under_write (store, write);
  HrJob *job = store->tables.jobs->pdata[write->job];
  guint64 revision = 0;
  if (page && status != 200 && status != 404) {
    send_write (store,
                write); /* still unknown: the same write again, it holds on the same revisions */
    return;
  }
  if (page) {
    const json_t *value = hr_store_read_value (body);
    const char *tag = hr_json_str (value, "w");
    hr_store_read_key_revision (body, &revision);
    if (tag && g_str_equal (tag, write->tag))
      hr_record_writer_confirmed (store, job, page, revision);
    else {
      if (!job->record.tasks_per_page || page->write_is_final) {
        if (value)
          hr_replica_apply_job (store, job, value, revision);
      } else if (revision > page->revision)
        page->revision = revision;
      if (page_under_write (store, write))
        write_failed (store, job, page);
    }
  }
  write_free (write);
}

static void
reread_record (HrStore *store, Write *write)
{
  HrJob *job = store->tables.jobs->pdata[write->job];
  gboolean main = !job->record.tasks_per_page || job->record.pages[write->page].write_is_final;
  g_autofree char *key = main ? hr_job_record_key (job) : hr_record_page_key (job, write->page);
  store->events->call (store->core, HR_GET, hr_store_key_path (key), NULL, WRITE_TIMEOUT_S,
                       on_record_reread, write);
}

static void
on_replica_fresh (HrStore *store, gboolean ok, gpointer data)
{
  Write *write = data;
  if (page_under_write (store, write))
    reread_record (store, write);
  else
    write_free (write);
}

static void
on_written (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  Write *write = data;
  HrRecordPage *page = page_under_write (store, write);
  guint64 store_revision;
  if (!page) {
    write_free (write);
    return;
  }
  if (status == 200 && hr_store_read_revision (body, &store_revision)) {
    hr_record_writer_confirmed (store, store->tables.jobs->pdata[write->job], page, store_revision);
    write_free (write);
  } else if (status == 409) {
    /* A 409 may come from our own earlier try whose answer was lost: the record
     * tells. The leader record may have moved too: read on before judging. */
    hr_replica_read (store, on_replica_fresh, write);
  } else if (status == 400) {
    g_warning ("%s: the state service refuses the record: %s",
               ((HrJob *)store->tables.jobs->pdata[write->job])->id, hr_json_str (body, "error"));
    if (store->format.supported) {
      store->format.planned_limits_in_force |=
          write->bytes > hr_record_layout_planned_bytes (store);
      hr_record_writer_back_off (store, store->tables.jobs->pdata[write->job]);
    }
    write_failed (store, store->tables.jobs->pdata[write->job], page);
    write_free (write);
  } else
    send_write (store, write); /* unknown, or not carried out: the same write again */
}

static void
send_write (HrStore *store, Write *write)
{
  hr_transaction_submit (store, write->kind, json_incref (write->conditions),
                         json_incref (write->writes), 1, WRITE_TIMEOUT_S, on_written, write);
}

static void
write_page (HrStore *store, HrJob *job, HrRecordPage *page)
{
  guint32 from, to;
  guint n = page - job->record.pages;
  gboolean launch = FALSE, change = FALSE;
  if (job->cancellation.told_by_peer)
    return; /* its record has changed, and is read before it is written again */
  page_range (job, page, &from, &to);
  for (guint32 i = from; i < to; i++) {
    HrTask *task = &job->tasks[i];
    /* A job that waits for others has no task: the last guard, here and before launches. */
    gboolean assign = task->state == HR_TASK_ASSIGNING && job->state == HR_JOB_QUEUED &&
                      !hr_job_has_unfinished_dependencies (job);
    task->write_in_flight = assign || (task->state == HR_TASK_DONE && !task->done_recorded);
    launch |= assign;
    change |= task->write_in_flight;
  }
  /* The last ending and the tombstone are one write where the tasks stand inline. */
  gboolean done =
      job->state == HR_JOB_QUEUED &&
      (job->record.tasks_per_page ? job->n_recorded_done : job->n_done) == job->n_tasks &&
      (!job->record.tasks_per_page || n == 0);
  gboolean gone =
      job->state != HR_JOB_QUEUED && job->run.n_live == 0 && !job->record.is_compacted && n == 0;
  if (!change && !done && !gone)
    return;
  g_autofree char *tag = store->events->new_tag (store->core);
  char *text =
      done || gone ? hr_record_tombstone (job, done ? HR_JOB_DONE : job->state, tag)
      : !job->record.tasks_per_page
          ? hr_record_main (job, store->names, &store->tables.machine_ids, job->state, tag, TRUE)
          : hr_record_page (job, n, &store->tables.machine_ids, tag, TRUE);
  gsize bytes = strlen (text);
  if (bytes > hr_record_layout_max_bytes (store) && !done && !gone) {
    g_free (text);
    handle_oversized (store, job, page, from, to);
    return;
  }
  Write *write = g_new0 (Write, 1);
  write->job = job->index;
  write->page = n;
  write->replica_generation = store->replica.generation;
  write->bytes = bytes;
  write->tag = g_steal_pointer (&tag);
  write->conditions = json_array ();
  write->writes = json_array ();
  /* Those that await the job start once its end is recorded. */
  gboolean awaited =
      job->dependencies.dependents && job->state == HR_JOB_QUEUED && job->n_done == job->n_tasks;
  write->kind = launch || awaited ? HR_TRANSACTION_LAUNCH : HR_TRANSACTION_BOOKKEEPING;
  page->write_tag = g_strdup (write->tag);
  page->write_is_final = done || gone;
  g_autofree char *key = hr_job_record_key (job);
  hr_transaction_require (write->conditions, "h/map",
                          store->events->leader_record_revision (store->core));
  hr_transaction_require (write->conditions, key, job->record.revision);
  if (page->write_is_final || !job->record.tasks_per_page)
    hr_transaction_put (write->writes, key, text, 0);
  else {
    g_autofree char *pkey = hr_record_page_key (job, n);
    hr_transaction_require (write->conditions, pkey, page->revision);
    hr_transaction_put (write->writes, pkey, text, 0);
  }
  send_write (store, write);
}

void
hr_record_writer_tick (HrStore *store)
{
  if (hr_store_is_leader (store) && store->writer.dirty_pages->len &&
      !store->events->token_raise_in_flight (store->core)) {
    g_autoptr (GArray) list = store->writer.dirty_pages;
    store->writer.dirty_pages = g_array_new (FALSE, TRUE, sizeof (HrDirtyPage));
    for (guint i = 0; i < list->len; i++) {
      HrDirtyPage *dirty = &g_array_index (list, HrDirtyPage, i);
      HrJob *job = store->tables.jobs->pdata[dirty->job];
      if (dirty->page >= job->record.n_pages)
        continue;
      HrRecordPage *page = &job->record.pages[dirty->page];
      if (page->write_tag || job->record.split_in_flight ||
          is_backing_off (store, job)) { /* one write at a time */
        g_array_append_val (store->writer.dirty_pages, *dirty);
        continue;
      }
      page->is_dirty = FALSE;
      write_page (store, job, page);
    }
  }
  if (hr_store_is_leader (store) && !store->events->token_raise_in_flight (store->core) &&
      store->replica.state == HR_REPLICA_FOLLOWING)
    hr_record_split_tick (store);
  if (!store->replica.is_unavailable || store->now - store->transactions.paused_until > 0.5) {
    if (store->replica.is_unavailable)
      store->transactions.paused_until = store->now; /* an outage: try on, but gently */
    hr_transactions_send (store);
  }
}
