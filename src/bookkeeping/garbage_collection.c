#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/store_reads.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/transactions.h"

#define MAX_PAGES_PER_TRANSACTION 4
#define DELETE_TIMEOUT_S 2.0
#define DELETE_INTERVAL_S 1.0
/* Pages are deleted only while the write allowance holds at least this share of its burst. */
#define MIN_ALLOWANCE_SHARE 0.8

/* ---- list of obsolete pages ---- */

void
hr_garbage_add_page (HrStore *store, const HrJob *job, guint tasks_per_page, guint page)
{
  HrObsoletePage obsolete = {job->index, page, tasks_per_page};
  g_array_append_val (store->garbage.pages, obsolete);
}

void
hr_garbage_add_job (HrStore *store, const HrJob *job)
{
  const HrJobRecord *record = &job->record;
  guint size_in_key = record->sized_page_keys ? record->tasks_per_page : 0;
  for (guint i = 0; record->tasks_per_page && i < record->n_pages; i++)
    if (record->pages[i].revision)
      hr_garbage_add_page (store, job, size_in_key, i);
  for (guint i = 0; record->staged_pages && i < record->staged_pages->len; i++) {
    const HrStagedPage *staged = &g_array_index (record->staged_pages, HrStagedPage, i);
    if (staged->revision)
      hr_garbage_add_page (store, job, staged->tasks_per_page, staged->page);
  }
}

void
hr_garbage_remove_page (HrStore *store, const HrJob *job, guint tasks_per_page, guint page)
{
  GArray *pages = store->garbage.pages;
  for (guint i = 0; i < pages->len; i++) {
    const HrObsoletePage *obsolete = &g_array_index (pages, HrObsoletePage, i);
    if (obsolete->job == job->index && obsolete->page == page &&
        obsolete->tasks_per_page == tasks_per_page)
      g_array_remove_index_fast (pages, i--);
  }
}

/* ---- deletion ---- */

/* After a failure the pages stay in the list, and are deleted later. */
static void
on_pages_deleted (HrStore *store, int status, json_t *body G_GNUC_UNUSED,
                  double sent_at G_GNUC_UNUSED, gpointer data)
{
  g_autoptr (GArray) batch = data;
  store->garbage.deletion_in_flight = FALSE;
  store->garbage.next_deletion_at = store->now + DELETE_INTERVAL_S;
  if (status != 200)
    return;
  for (guint i = 0; i < batch->len; i++) {
    const HrObsoletePage *obsolete = &g_array_index (batch, HrObsoletePage, i);
    const HrJob *job = store->tables.jobs->pdata[obsolete->job];
    hr_garbage_remove_page (store, job, obsolete->tasks_per_page, obsolete->page);
  }
}

static gboolean
may_delete (const HrStore *store)
{
  return hr_store_is_leader (store) && !store->garbage.deletion_in_flight &&
         store->now >= store->garbage.next_deletion_at && !store->writer.dirty_pages->len &&
         hr_replica_is_current (store) &&
         hr_token_bucket_has_share (&store->transactions.allowance, store->now,
                                    MIN_ALLOWANCE_SHARE);
}

/* The leader's writes are conditional on the leader record. */
static HrTransaction *
build_deletion (const HrStore *store, const GArray *batch)
{
  HrTransaction *transaction = hr_transaction_new ();
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_RECORD,
                          store->events->leader_record_revision (store->core));
  for (guint i = 0; i < batch->len; i++) {
    const HrObsoletePage *obsolete = &g_array_index (batch, HrObsoletePage, i);
    const HrJob *job = store->tables.jobs->pdata[obsolete->job];
    g_autofree char *key =
        hr_record_page_key_in_layout (job, obsolete->tasks_per_page, obsolete->page);
    hr_transaction_delete (transaction, key);
  }
  return transaction;
}

void
hr_garbage_tick (HrStore *store)
{
  const GArray *pages = store->garbage.pages;
  guint n = MIN (MIN (pages->len, MAX_PAGES_PER_TRANSACTION), store->limits.txn_ops);
  if (!n || !may_delete (store))
    return;
  GArray *batch = g_array_new (FALSE, FALSE, sizeof (HrObsoletePage));
  g_array_append_vals (batch, pages->data, n);
  g_autoptr (HrTransaction) transaction = build_deletion (store, batch);
  store->garbage.deletion_in_flight = TRUE;
  hr_transaction_submit (store, HR_TRANSACTION_BOOKKEEPING, transaction, DELETE_TIMEOUT_S,
                         on_pages_deleted, batch);
}
