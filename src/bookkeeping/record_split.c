#include "bookkeeping/record_split.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_split_steps.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/tables.h"

#define MAX_SPLITS_IN_FLIGHT 4
/* Number of records whose size is checked at each step. */
#define SCANNED_PER_STEP 8
/* Share of the write burst that the scan leaves for other writes, since no request waits for its
 * splits. */
#define SCAN_RESERVED_SHARE 0.4

gboolean
hr_record_split_is_possible (const HrStore *store, const HrJob *job)
{
  return store->format.supported && store->format.agreed && hr_store_is_leader (store) &&
         job->tasks && !job->record.is_compacted && !job->record.tasks_unreadable &&
         job->record.tasks_per_page != 1 && job->n_tasks > 1;
}

static void
remove_from_queue (HrStore *store, const HrJob *job)
{
  GArray *queue = store->splitter.queue;
  for (guint i = 0; i < queue->len; i++)
    if (g_array_index (queue, guint32, i) == job->index)
      g_array_remove_index (queue, i--);
}

void
hr_record_split_request (HrStore *store, HrJob *job, gboolean urgent)
{
  if (job->record.split_in_flight)
    return;
  if (urgent) {
    if (job->record.split_wanted)
      remove_from_queue (store, job);
    g_array_prepend_val (store->splitter.queue, job->index);
  } else if (!job->record.split_wanted)
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

static gboolean
may_scan (const HrStore *store)
{
  return store->format.supported && store->format.agreed && hr_store_is_leader (store) &&
         hr_token_bucket_has_share (&store->transactions.allowance, store->now,
                                    SCAN_RESERVED_SHARE);
}

void
hr_record_split_scan (HrStore *store)
{
  HrRecordSplitter *splitter = &store->splitter;
  const GArray *open_jobs = store->tables.open_jobs;
  if (!may_scan (store))
    return;
  for (guint n = 0; n < SCANNED_PER_STEP && splitter->next_scanned < open_jobs->len; n++) {
    guint32 index = g_array_index (open_jobs, guint32, splitter->next_scanned++);
    HrJob *job = store->tables.jobs->pdata[index];
    if (hr_record_split_is_possible (store, job) && !job->record.split_wanted &&
        hr_record_layout_is_oversized (store, job))
      hr_record_split_request (store, job, FALSE);
  }
}

static gboolean
has_write_in_flight (const HrJob *job)
{
  for (guint i = 0; i < job->record.n_pages; i++)
    if (job->record.pages[i].write_tag)
      return TRUE;
  return FALSE;
}

/* Checks whether a split has to wait for a write in flight, or for the back-off after a failure. */
static gboolean
must_wait (const HrStore *store, const HrJob *job)
{
  if (!job->tasks || job->record.is_compacted)
    return FALSE;
  return has_write_in_flight (job) || store->now < job->record.next_write_at;
}

void
hr_record_split_tick (HrStore *store)
{
  HrRecordSplitter *splitter = &store->splitter;
  for (guint i = 0; i < splitter->queue->len && splitter->in_flight < MAX_SPLITS_IN_FLIGHT; i++) {
    HrJob *job = store->tables.jobs->pdata[g_array_index (splitter->queue, guint32, i)];
    if (must_wait (store, job))
      continue;
    g_array_remove_index (splitter->queue, i--);
    job->record.split_wanted = FALSE;
    if (hr_record_split_is_possible (store, job))
      hr_record_split_start (store, job);
    else
      hr_record_writer_mark_all (store, job); /* resumes the writes that waited for the split */
  }
}
