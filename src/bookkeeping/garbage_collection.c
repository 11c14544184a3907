/* Pages of jobs that are final: their record is a tombstone, and nobody reads them again.
 * Every follower notes them, so that whoever leads tidies up after a predecessor; they go
 * a few at a time, when the store's allowance has nothing more urgent. */
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/transactions.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"

#define PAGES_PER_TRANSACTION 4 /* of the changes that a transaction may hold */

void
hr_garbage_add_page (HrStore *store, const HrJob *job, guint tasks_per_page, guint page)
{
  HrObsoletePage obsolete = {job->index, page, tasks_per_page};
  g_array_append_val (store->garbage.pages, obsolete);
}

/* The job has become final, or its record is split anew: so far as we know, these of its pages
 * are in the state store. */
void
hr_garbage_add_job (HrStore *store, const HrJob *job)
{
  for (guint i = 0; job->record.tasks_per_page && i < job->record.n_pages; i++)
    if (job->record.pages[i].revision)
      hr_garbage_add_page (store, job, job->record.sized_page_keys ? job->record.tasks_per_page : 0,
                           i);
  for (guint i = 0; job->record.staged_pages && i < job->record.staged_pages->len; i++) {
    const HrStagedPage *staged = &g_array_index (job->record.staged_pages, HrStagedPage, i);
    if (staged->revision)
      hr_garbage_add_page (store, job, staged->tasks_per_page, staged->page);
  }
}

/* The page is gone from the state store. */
void
hr_garbage_page_deleted (HrStore *store, const HrJob *job, guint tasks_per_page, guint page)
{
  for (guint i = 0; i < store->garbage.pages->len; i++) {
    HrObsoletePage *obsolete = &g_array_index (store->garbage.pages, HrObsoletePage, i);
    if (obsolete->job == job->index && obsolete->page == page &&
        obsolete->tasks_per_page == tasks_per_page)
      g_array_remove_index_fast (store->garbage.pages, i--);
  }
}

static void
on_pages_deleted (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  g_autoptr (GArray) batch = data;
  store->garbage.deletion_in_flight = FALSE;
  store->garbage.next_deletion_at = store->now + 1;
  for (guint i = 0; i < batch->len && status == 200; i++) {
    const HrObsoletePage *obsolete = &g_array_index (batch, HrObsoletePage, i);
    hr_garbage_page_deleted (store, store->tables.jobs->pdata[obsolete->job],
                             obsolete->tasks_per_page, obsolete->page);
  } /* otherwise it is tried again */
}

void
hr_garbage_tick (HrStore *store)
{
  guint n = MIN (MIN (store->garbage.pages->len, PAGES_PER_TRANSACTION), store->limits.txn_ops);
  /* Only what is left over of the allowance. */
  if (!hr_store_is_leader (store) || !n || store->garbage.deletion_in_flight ||
      store->now < store->garbage.next_deletion_at || store->writer.dirty_pages->len ||
      !hr_replica_is_served (store) ||
      store->transactions.allowance.tokens < store->transactions.allowance.burst * 0.8)
    return;
  json_t *writes = json_array ();
  GArray *batch = g_array_new (FALSE, FALSE, sizeof (HrObsoletePage));
  g_array_append_vals (batch, store->garbage.pages->data, n);
  for (guint i = 0; i < n; i++) {
    const HrObsoletePage *obsolete = &g_array_index (batch, HrObsoletePage, i);
    const HrJob *job = store->tables.jobs->pdata[obsolete->job];
    g_autofree char *key = hr_record_page_key_of (job, obsolete->tasks_per_page, obsolete->page);
    json_array_append_new (writes, hr_store_delete (key));
  }
  store->garbage.deletion_in_flight = TRUE;
  hr_transaction_submit (
      store, HR_TRANSACTION_BOOKKEEPING,
      hr_transaction_require (json_array (), "h/map",
                              store->events->leader_record_revision (store->core)),
      writes, n, 2, on_pages_deleted, batch);
}
