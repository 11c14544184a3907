#include "bookkeeping/record_split_steps.h"
#include "bookkeeping/record.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/store_reads.h"
#include "bookkeeping/staged_pages.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/transactions.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

#define SPLIT_TIMEOUT_S 2.0
/* Maximum size of the pages in a transaction. A transaction is limited to 64 KiB, which includes
 * its conditions and keys. */
#define MAX_TRANSACTION_BYTES ((gsize)40 * 1024)
/* Maximum number of attempts of a split. Each change of the record requires a new attempt. */
#define MAX_ATTEMPTS 4

typedef struct {
  guint32 job;
  guint replica_generation;
  guint64 base_revision; /* revision of the main record from which the pages are made */
  guint tasks_per_page, n_pages;
  guint first_page, end_page;  /* pages of the current step */
  gboolean writes_main_record; /* the current step writes the main record, too */
  guint attempts;
  char *tag;
  HrTransaction *transaction; /* of the current step; NULL: none */
} RecordSplit;

static void
record_split_free (RecordSplit *split)
{
  g_clear_pointer (&split->transaction, hr_transaction_unref);
  g_free (split->tag);
  g_free (split);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (RecordSplit, record_split_free)

static HrJob *
job_of (const HrStore *store, const RecordSplit *split)
{
  return store->tables.jobs->pdata[split->job];
}

/* Checks whether the split has taken effect. */
static gboolean
is_layout_in_force (const HrJob *job, const RecordSplit *split)
{
  return job->record.sized_page_keys && job->record.tasks_per_page == split->tasks_per_page;
}

/* ---- completion ---- */

/* Frees the split and marks all pages of the record, to resume the writes that waited for it. */
static void
end_split (HrStore *store, RecordSplit *split)
{
  HrJob *job = job_of (store, split);
  if (split->replica_generation == store->replica.generation) {
    store->splitter.in_flight--;
    job->record.split_in_flight = FALSE;
    hr_record_writer_mark_all (store, job);
  }
  record_split_free (split);
}

static void
abort_split (HrStore *store, RecordSplit *split, const char *why)
{
  HrJob *job = job_of (store, split);
  g_warning ("%s: could not split its record yet: %s", job->id, why);
  hr_record_writer_back_off (store, job);
  end_split (store, split);
}

/* ---- steps ---- */

static void on_step_written (HrStore *store, int status, json_t *body, double sent_at,
                             gpointer data);

static void
submit_step (HrStore *store, RecordSplit *split)
{
  hr_transaction_submit (store, HR_TRANSACTION_LAUNCH, split->transaction, SPLIT_TIMEOUT_S,
                         on_step_written, split);
}

/* Begins a step: a transaction without writes, with the conditions that all steps share. */
static void
begin_step (HrStore *store, RecordSplit *split)
{
  g_clear_pointer (&split->transaction, hr_transaction_unref);
  g_free (split->tag);
  split->tag = store->events->new_tag (store->core);
  split->transaction = hr_transaction_new ();
  split->first_page = split->end_page;
  split->writes_main_record = FALSE; /* an earlier attempt may have set it */
  g_autofree char *key = hr_job_record_key (job_of (store, split));
  hr_transaction_require (split->transaction, HR_STORE_KEY_LEADER_RECORD,
                          store->events->leader_record_revision (store->core));
  hr_transaction_require (split->transaction, key, split->base_revision);
}

/* Adds a write of the next page to the step. Takes ownership of the text. */
static void
add_page (RecordSplit *split, HrJob *job, char *text)
{
  g_autofree char *key = hr_record_page_key_in_layout (job, split->tasks_per_page, split->end_page);
  const HrStagedPage *known = hr_staged_page_find (job, split->tasks_per_page, split->end_page);
  hr_transaction_require (split->transaction, key, known ? known->revision : 0);
  hr_transaction_put (split->transaction, key, text);
  split->end_page++;
}

/* Adds pages to the step, at least one, up to the limits on writes and bytes. */
static void
add_pages (HrStore *store, RecordSplit *split, guint max_changes)
{
  HrJob *job = job_of (store, split);
  gsize bytes = 0;
  while (split->end_page < split->n_pages && split->end_page - split->first_page < max_changes) {
    g_autofree char *text =
        hr_record_page_range (job, split->end_page * split->tasks_per_page, split->tasks_per_page,
                              &store->tables.machine_ids, split->tag, FALSE);
    bytes += strlen (text);
    if (bytes > MAX_TRANSACTION_BYTES && split->end_page > split->first_page)
      return;
    add_page (split, job, g_steal_pointer (&text));
  }
}

static void
add_main_record (HrStore *store, RecordSplit *split)
{
  const HrJob *job = job_of (store, split);
  HrJob after = *job;
  after.record.tasks_per_page = split->tasks_per_page;
  after.record.sized_page_keys = TRUE;
  g_autofree char *key = hr_job_record_key (job);
  char *text = hr_record_main (&after, store->names, &store->tables.machine_ids, job->state,
                               split->tag, FALSE);
  hr_transaction_put (split->transaction, key, text);
  split->writes_main_record = TRUE;
}

static void
next_step (HrStore *store, RecordSplit *split)
{
  /* A step must fit the number of writes that the allowance can accumulate. */
  guint max_burst = store->transactions.allowance.burst / 2;
  guint max_changes = MAX (1, MIN (store->limits.txn_ops, max_burst));
  begin_step (store, split);
  add_pages (store, split, max_changes);
  if (split->end_page == split->n_pages && split->end_page - split->first_page < max_changes)
    add_main_record (store, split);
  submit_step (store, split);
}

static void
begin_attempt (HrStore *store, RecordSplit *split)
{
  HrJob *job = job_of (store, split);
  if (!hr_record_split_is_possible (store, job)) {
    end_split (store, split);
    return;
  }
  if (++split->attempts > MAX_ATTEMPTS) {
    abort_split (store, split, "the record changed during every attempt");
    return;
  }
  split->base_revision = job->record.revision;
  split->tasks_per_page = hr_record_layout_choose_smaller (store, job);
  split->n_pages = hr_page_count (job->n_tasks, split->tasks_per_page);
  split->first_page = split->end_page = 0;
  next_step (store, split);
}

void
hr_record_split_start (HrStore *store, HrJob *job)
{
  RecordSplit *split = g_new0 (RecordSplit, 1);
  split->job = job->index;
  split->replica_generation = store->replica.generation;
  store->splitter.in_flight++;
  job->record.split_in_flight = TRUE;
  begin_attempt (store, split);
}

/* ---- responses ---- */

static void
on_replica_read (HrStore *store, gboolean ok G_GNUC_UNUSED, gpointer data)
{
  g_autoptr (RecordSplit) split = data;
  if (split->replica_generation != store->replica.generation)
    return;
  if (is_layout_in_force (job_of (store, split), split))
    end_split (store, g_steal_pointer (&split)); /* it took effect, but the response was lost */
  else
    begin_attempt (store, g_steal_pointer (&split));
}

/* Completes the split: the main record refers to the new layout from this revision on. */
static void
complete (HrStore *store, RecordSplit *split, guint64 revision)
{
  HrJob *job = job_of (store, split);
  if (!is_layout_in_force (job, split)) { /* otherwise the replica has applied the change already */
    job->record.revision = revision;
    g_free (job->record.tag);
    job->record.tag = g_strdup (split->tag);
    hr_staged_pages_adopt (store, job, split->tasks_per_page, revision);
  }
  g_info ("%s: split its record into %u pages", job->id, job->record.n_pages);
  job->record.next_write_at = job->record.back_off_s = 0;
  end_split (store, split);
}

static void
handle_step_done (HrStore *store, RecordSplit *split, guint64 revision)
{
  HrJob *job = job_of (store, split);
  if (!is_layout_in_force (job, split))
    for (guint page = split->first_page; page < split->end_page; page++)
      hr_staged_page_update (job, split->tasks_per_page, page, revision, NULL);
  if (split->writes_main_record)
    complete (store, split, revision);
  else
    next_step (store, split);
}

static void
on_step_written (HrStore *store, int status, json_t *body, double sent_at G_GNUC_UNUSED,
                 gpointer data)
{
  g_autoptr (RecordSplit) split = data;
  guint64 store_revision;
  if (split->replica_generation != store->replica.generation || !job_of (store, split)->tasks)
    return;
  if (status == 200 && hr_store_read_revision (body, &store_revision))
    handle_step_done (store, g_steal_pointer (&split), store_revision);
  else if (status == 409)
    hr_replica_read (store, on_replica_read, g_steal_pointer (&split));
  else if (status == 400)
    abort_split (store, g_steal_pointer (&split), hr_json_str (body, "error"));
  else
    submit_step (store,
                 g_steal_pointer (&split)); /* unknown outcome: retry with the same conditions */
}
