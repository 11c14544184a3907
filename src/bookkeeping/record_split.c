/* Splitting records that have become too large for the state service's limits.
 *
 * The pages of the new size are written first, under keys of their own; nobody reads them as
 * facts while the main record names the earlier layout. Each such write holds on the leader record,
 * on the main record's revision and on what is known of the page. Last the main record names the
 * new layout, on the same conditions. So every step leaves a record with the same facts, and a
 * change by another node, or another leader, makes the rest of the steps fail
 * (docs/upgrades.md). Where it fits, all of this is one transaction. */
#include "bookkeeping/record_split.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/transactions.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

#define SPLIT_TIMEOUT_S 2.0
#define SPLITS_AT_ONCE 4
/* Transactions may hold 64 KiB; the conditions and names take some of it. */
#define MAX_TRANSACTION_BYTES ((gsize)40 * 1024)
#define MAX_ATTEMPTS 4
/* Of the write allowance, left to others by splits that nobody waits for. */
#define PROACTIVE_KEEP 0.4
#define SCANNED_AT_ONCE 8

typedef struct {
  guint32 job;
  guint replica_generation;
  guint64 base_revision; /* revision of the main record whose facts are being written */
  guint tasks_per_page, n_pages;
  guint first_page, end_page;  /* pages of the step under way */
  gboolean writes_main_record; /* and the main record */
  guint attempts;
  char *tag;
  json_t *conditions, *writes;
} Split;

static void next_step (HrStore *store, Split *split);

gboolean
hr_record_split_is_possible (const HrStore *store, const HrJob *job)
{
  return store->format.supported && store->format.agreed && hr_store_is_leader (store) &&
         job->tasks && !job->record.is_compacted && !job->record.tasks_unreadable &&
         job->record.tasks_per_page != 1 && job->n_tasks > 1;
}

/* ---- pages that no main record names ---- */

HrStagedPage *
hr_record_split_staged_page (HrJob *job, guint tasks_per_page, guint page)
{
  for (guint i = 0; job->record.staged_pages && i < job->record.staged_pages->len; i++) {
    HrStagedPage *staged = &g_array_index (job->record.staged_pages, HrStagedPage, i);
    if (staged->tasks_per_page == tasks_per_page && staged->page == page)
      return staged;
  }
  return NULL;
}

void
hr_record_split_stage_page (HrJob *job, guint tasks_per_page, guint page, guint64 revision,
                            const json_t *value)
{
  HrStagedPage *staged = hr_record_split_staged_page (job, tasks_per_page, page);
  if (staged && revision && revision < staged->revision)
    return;
  if (!staged) {
    if (!revision)
      return;
    if (!job->record.staged_pages)
      job->record.staged_pages = g_array_new (FALSE, TRUE, sizeof (HrStagedPage));
    g_array_set_size (job->record.staged_pages, job->record.staged_pages->len + 1);
    staged =
        &g_array_index (job->record.staged_pages, HrStagedPage, job->record.staged_pages->len - 1);
    staged->tasks_per_page = tasks_per_page;
    staged->page = page;
  }
  staged->revision = revision; /* 0: it was deleted */
  json_decref (staged->value);
  staged->value = revision && value ? json_incref ((json_t *)value) : NULL;
}

/* The main record at `revision` names pages of another size. They hold the facts of the record
 * before it, whatever we have in memory of that: a reading of the whole state store may have come
 * between. A page that has changed since comes again in the changes that are read next. */
void
hr_record_split_apply (HrStore *store, HrJob *job, guint tasks_per_page, guint64 revision)
{
  g_autoptr (GArray) staged = g_steal_pointer (&job->record.staged_pages);
  hr_garbage_add_job (store, job);
  for (guint i = 0; i < job->record.n_pages; i++)
    g_free (job->record.pages[i].write_tag);
  g_free (job->record.pages);
  job->record.tasks_per_page = tasks_per_page;
  job->record.sized_page_keys = TRUE;
  job->record.n_pages = (job->n_tasks + tasks_per_page - 1) / tasks_per_page;
  job->record.pages = g_new0 (HrRecordPage, job->record.n_pages);
  for (guint32 i = 0; i < job->n_tasks; i++)
    job->tasks[i].write_in_flight =
        0; /* the write that it was part of held on the earlier record */
  for (guint i = 0; staged && i < staged->len; i++) {
    HrStagedPage *page = &g_array_index (staged, HrStagedPage, i);
    if (page->tasks_per_page != tasks_per_page && page->revision)
      hr_garbage_add_page (store, job, page->tasks_per_page, page->page);
    else if (page->page < job->record.n_pages && page->revision <= revision) {
      job->record.pages[page->page].revision = page->revision;
      if (!hr_store_is_leader (store) && page->value &&
          !hr_record_tasks (job, page->page * tasks_per_page, json_object_get (page->value, "x"),
                            &store->tables.machine_ids))
        job->record.tasks_unreadable = TRUE;
    }
    json_decref (page->value);
  }
  store->events->plan_changed (store->core);
}

/* ---- the leader's splits ---- */

static void
step_clear (Split *split)
{
  g_clear_pointer (&split->conditions, json_decref);
  g_clear_pointer (&split->writes, json_decref);
}

static void
split_free (Split *split)
{
  step_clear (split);
  g_free (split->tag);
  g_free (split);
}

/* What waited for the split is looked at again. */
static void
end (HrStore *store, Split *split)
{
  HrJob *job = store->tables.jobs->pdata[split->job];
  if (split->replica_generation == store->replica.generation) {
    store->splitter.in_flight--;
    job->record.split_in_flight = FALSE;
    for (guint i = 0; job->tasks && i < job->record.n_pages; i++)
      hr_record_writer_mark (store, job, i * job->record.tasks_per_page);
  }
  split_free (split);
}

static void
give_up (HrStore *store, Split *split, const char *why)
{
  HrJob *job = store->tables.jobs->pdata[split->job];
  g_warning ("%s: its record is not split yet: %s", job->id, why);
  hr_record_writer_back_off (store, job);
  end (store, split);
}

static void
begin (HrStore *store, Split *split)
{
  HrJob *job = store->tables.jobs->pdata[split->job];
  if (!hr_record_split_is_possible (store, job)) {
    end (store, split);
    return;
  }
  if (++split->attempts > MAX_ATTEMPTS) {
    give_up (store, split, "it changes again and again");
    return;
  }
  split->base_revision = job->record.revision;
  split->tasks_per_page = hr_record_layout_smaller (store, job);
  split->n_pages = (job->n_tasks + split->tasks_per_page - 1) / split->tasks_per_page;
  split->first_page = split->end_page = 0;
  next_step (store, split);
}

static void
on_replica_fresh (HrStore *store, gboolean ok, gpointer data)
{
  Split *split = data;
  if (split->replica_generation != store->replica.generation) {
    split_free (split);
    return;
  }
  HrJob *job = store->tables.jobs->pdata[split->job];
  if (job->record.sized_page_keys && job->record.tasks_per_page == split->tasks_per_page)
    end (store, split); /* it was carried out; the answer was lost */
  else
    begin (store, split);
}

static void send_step (HrStore *store, Split *split);

static void
on_step (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  Split *split = data;
  HrJob *job = store->tables.jobs->pdata[split->job];
  guint64 store_revision;
  if (split->replica_generation != store->replica.generation || !job->tasks) {
    split_free (split);
    return;
  }
  if (status == 200 && hr_store_read_revision (body, &store_revision)) {
    gboolean known =
        job->record.sized_page_keys && job->record.tasks_per_page == split->tasks_per_page;
    for (guint i = split->first_page; i < split->end_page && !known; i++)
      hr_record_split_stage_page (job, split->tasks_per_page, i, store_revision, NULL);
    if (!split->writes_main_record) {
      next_step (store, split);
      return;
    }
    if (!known) { /* else the changes told it before the answer came */
      job->record.revision = store_revision;
      g_free (job->record.tag);
      job->record.tag = g_strdup (split->tag);
      hr_record_split_apply (store, job, split->tasks_per_page, store_revision);
    }
    g_info ("%s: its record is split into %u pages", job->id, job->record.n_pages);
    job->record.next_write_at = job->record.back_off_s = 0;
    end (store, split);
  } else if (status == 409)
    hr_replica_read (store, on_replica_fresh, split);
  else if (status == 400)
    give_up (store, split, hr_json_str (body, "error"));
  else
    send_step (store,
               split); /* unknown, or not carried out: the same again, on the same revisions */
}

static void
send_step (HrStore *store, Split *split)
{
  hr_transaction_submit (store, HR_TRANSACTION_LAUNCH, json_incref (split->conditions),
                         json_incref (split->writes),
                         split->end_page - split->first_page + split->writes_main_record,
                         SPLIT_TIMEOUT_S, on_step, split);
}

static void
add_page (HrStore *store, Split *split, HrJob *job, char *text)
{
  g_autofree char *key = hr_record_page_key_of (job, split->tasks_per_page, split->end_page);
  const HrStagedPage *known =
      hr_record_split_staged_page (job, split->tasks_per_page, split->end_page);
  hr_transaction_require (split->conditions, key, known ? known->revision : 0);
  hr_transaction_put (split->writes, key, text, 0);
  split->end_page++;
}

static void
add_main (HrStore *store, Split *split, HrJob *job)
{
  HrJob after = *job;
  after.record.tasks_per_page = split->tasks_per_page;
  after.record.sized_page_keys = TRUE;
  g_autofree char *key = hr_job_record_key (job);
  hr_transaction_put (split->writes, key,
                      hr_record_main (&after, store->names, &store->tables.machine_ids, job->state,
                                      split->tag, FALSE),
                      0);
  split->writes_main_record = TRUE;
}

static void
next_step (HrStore *store, Split *split)
{
  HrJob *job = store->tables.jobs->pdata[split->job];
  gsize bytes = 0;
  /* A step must fit into what the write allowance can save up. */
  guint ops =
      MAX (1, MIN (store->limits.txn_ops, (guint)(store->transactions.allowance.burst / 2)));
  step_clear (split);
  g_free (split->tag);
  split->tag = store->events->new_tag (store->core);
  split->conditions = json_array ();
  split->writes = json_array ();
  split->first_page = split->end_page;
  split->writes_main_record = FALSE; /* an earlier attempt may have come to its last step */
  g_autofree char *key = hr_job_record_key (job);
  hr_transaction_require (split->conditions, "h/map",
                          store->events->leader_record_revision (store->core));
  hr_transaction_require (split->conditions, key, split->base_revision);
  while (split->end_page < split->n_pages && split->end_page - split->first_page < ops) {
    char *text =
        hr_record_page_of (job, split->end_page * split->tasks_per_page, split->tasks_per_page,
                           &store->tables.machine_ids, split->tag, FALSE);
    bytes += strlen (text);
    if (bytes > MAX_TRANSACTION_BYTES && split->end_page > split->first_page) {
      g_free (text);
      break;
    }
    add_page (store, split, job, text);
  }
  if (split->end_page == split->n_pages && split->end_page - split->first_page < ops)
    add_main (store, split, job);
  send_step (store, split);
}

static gboolean
writing (const HrJob *job)
{
  for (guint i = 0; i < job->record.n_pages; i++)
    if (job->record.pages[i].write_tag)
      return TRUE;
  return FALSE;
}

void
hr_record_split_request (HrStore *store, HrJob *job, gboolean urgent)
{
  if (job->record.split_in_flight)
    return;
  if (job->record.split_wanted && urgent)
    for (guint i = 0; i < store->splitter.queue->len; i++)
      if (g_array_index (store->splitter.queue, guint32, i) == job->index)
        g_array_remove_index (store->splitter.queue, i--);
  if (urgent)
    g_array_prepend_val (store->splitter.queue, job->index);
  else if (!job->record.split_wanted)
    g_array_append_val (store->splitter.queue, job->index);
  job->record.split_wanted = TRUE;
}

void
hr_record_split_rescan (HrStore *store)
{
  store->splitter.next_scanned = 0;
}

void
hr_record_split_reset (HrStore *store)
{
  store->splitter.in_flight = 0;
  g_array_set_size (store->splitter.queue, 0);
}

/* Records that are too large already are split ahead of their next write, a few at a time. */
void
hr_record_split_scan (HrStore *store)
{
  if (!store->format.supported || !store->format.agreed || !hr_store_is_leader (store) ||
      store->transactions.allowance.tokens < PROACTIVE_KEEP * store->transactions.allowance.burst)
    return;
  for (guint n = 0;
       n < SCANNED_AT_ONCE && store->splitter.next_scanned < store->tables.open_jobs->len; n++) {
    HrJob *job = store->tables.jobs->pdata[g_array_index (store->tables.open_jobs, guint32,
                                                          store->splitter.next_scanned++)];
    if (hr_record_split_is_possible (store, job) && !job->record.split_wanted &&
        hr_record_layout_is_oversized (store, job))
      hr_record_split_request (store, job, FALSE);
  }
}

void
hr_record_split_tick (HrStore *store)
{
  for (guint i = 0; i < store->splitter.queue->len && store->splitter.in_flight < SPLITS_AT_ONCE;
       i++) {
    HrJob *job = store->tables.jobs->pdata[g_array_index (store->splitter.queue, guint32, i)];
    if (job->tasks && !job->record.is_compacted &&
        (writing (job) || store->now < job->record.next_write_at))
      continue; /* one write at a time; after a failure, later */
    g_array_remove_index (store->splitter.queue, i--);
    job->record.split_wanted = FALSE;
    if (!hr_record_split_is_possible (store, job)) {
      for (guint page = 0; job->tasks && page < job->record.n_pages; page++)
        hr_record_writer_mark (store, job,
                               page * job->record.tasks_per_page); /* what waited for it */
      continue;
    }
    Split *split = g_new0 (Split, 1);
    split->job = job->index;
    split->replica_generation = store->replica.generation;
    store->splitter.in_flight++;
    job->record.split_in_flight = TRUE;
    begin (store, split);
  }
}
