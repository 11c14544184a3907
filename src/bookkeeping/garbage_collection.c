/* Pages of jobs that are final: their record is a tombstone, and nobody reads them again.
 * Every follower notes them, so that whoever leads tidies up after a predecessor; they go
 * a few at a time, when the store's allowance has nothing more urgent. */
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/transactions.h"
#include "coordination/state.h"
#include "protocol/json_util.h"

#define PAGES_PER_TRANSACTION 4 /* of the changes that a transaction may hold */

void
hr_garbage_add_page (HrCore *core, const HrJob *job, guint tasks_per_page, guint page)
{
  HrObsoletePage obsolete = {job->index, page, tasks_per_page};
  g_array_append_val (core->store.garbage.pages, obsolete);
}

/* The job has become final, or its record is split anew: so far as we know, these of its pages
 * are in the state store. */
void
hr_garbage_add_job (HrCore *core, const HrJob *job)
{
  for (guint i = 0; job->record.tasks_per_page && i < job->record.n_pages; i++)
    if (job->record.pages[i].revision)
      hr_garbage_add_page (core, job, job->record.sized_page_keys ? job->record.tasks_per_page : 0,
                           i);
  for (guint i = 0; job->record.staged_pages && i < job->record.staged_pages->len; i++) {
    const HrStagedPage *staged = &g_array_index (job->record.staged_pages, HrStagedPage, i);
    if (staged->revision)
      hr_garbage_add_page (core, job, staged->tasks_per_page, staged->page);
  }
}

/* The page is gone from the state store. */
void
hr_garbage_page_deleted (HrCore *core, const HrJob *job, guint tasks_per_page, guint page)
{
  for (guint i = 0; i < core->store.garbage.pages->len; i++) {
    HrObsoletePage *obsolete = &g_array_index (core->store.garbage.pages, HrObsoletePage, i);
    if (obsolete->job == job->index && obsolete->page == page &&
        obsolete->tasks_per_page == tasks_per_page)
      g_array_remove_index_fast (core->store.garbage.pages, i--);
  }
}

static void
on_pages_deleted (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  g_autoptr (GArray) batch = data;
  core->store.garbage.deletion_in_flight = FALSE;
  core->store.garbage.next_deletion_at = core->now + 1;
  for (guint i = 0; i < batch->len && status == 200; i++) {
    const HrObsoletePage *obsolete = &g_array_index (batch, HrObsoletePage, i);
    hr_garbage_page_deleted (core, core->store.tables.jobs->pdata[obsolete->job],
                             obsolete->tasks_per_page, obsolete->page);
  } /* otherwise it is tried again */
}

void
hr_garbage_tick (HrCore *core)
{
  guint n =
      MIN (MIN (core->store.garbage.pages->len, PAGES_PER_TRANSACTION), core->store.limits.txn_ops);
  /* Only what is left over of the allowance. */
  if (!core->leadership.is_leader || !n || core->store.garbage.deletion_in_flight ||
      core->now < core->store.garbage.next_deletion_at || core->store.writer.dirty_pages->len ||
      !hr_replica_is_served (core) ||
      core->store.transactions.allowance.tokens < core->store.transactions.allowance.burst * 0.8)
    return;
  json_t *writes = json_array ();
  GArray *batch = g_array_new (FALSE, FALSE, sizeof (HrObsoletePage));
  g_array_append_vals (batch, core->store.garbage.pages->data, n);
  for (guint i = 0; i < n; i++) {
    const HrObsoletePage *obsolete = &g_array_index (batch, HrObsoletePage, i);
    const HrJob *job = core->store.tables.jobs->pdata[obsolete->job];
    g_autofree char *key = hr_record_page_key_of (job, obsolete->tasks_per_page, obsolete->page);
    json_array_append_new (writes, json_pack ("{ss}", "delete", key));
  }
  core->store.garbage.deletion_in_flight = TRUE;
  hr_transaction_submit (
      core, HR_TRANSACTION_BOOKKEEPING,
      hr_transaction_require (json_array (), "h/map", core->leadership.record_revision), writes, n,
      2, on_pages_deleted, batch);
}
