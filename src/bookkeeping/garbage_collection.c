/* Pages of jobs that are final: their record is a tombstone, and nobody reads them again.
 * Every follower notes them, so that whoever leads tidies up after a predecessor; they go
 * a few at a time, when the store's allowance has nothing more urgent. */
#include "coordination/state.h"
#include "protocol/json_util.h"

#define PAGES_PER_TRANSACTION 4 /* of the changes that a transaction may hold */

void
hr_garbage_add_page (HrCore *c, const HrJob *j, guint tasks_per_page, guint page)
{
  HrObsoletePage d = {j->index, page, tasks_per_page};
  g_array_append_val (c->store.garbage.pages, d);
}

/* The job has become final, or its record is split anew: so far as we know, these of its pages
 * are in the ledger. */
void
hr_garbage_add_job (HrCore *c, const HrJob *j)
{
  for (guint i = 0; j->record.tasks_per_page && i < j->record.n_pages; i++)
    if (j->record.pages[i].revision)
      hr_garbage_add_page (c, j, j->record.sized_page_keys ? j->record.tasks_per_page : 0, i);
  for (guint i = 0; j->record.staged_pages && i < j->record.staged_pages->len; i++) {
    const HrStagedPage *p = &g_array_index (j->record.staged_pages, HrStagedPage, i);
    if (p->revision)
      hr_garbage_add_page (c, j, p->tasks_per_page, p->page);
  }
}

/* The page is gone from the ledger. */
void
hr_garbage_page_deleted (HrCore *c, const HrJob *j, guint tasks_per_page, guint page)
{
  for (guint i = 0; i < c->store.garbage.pages->len; i++) {
    HrObsoletePage *d = &g_array_index (c->store.garbage.pages, HrObsoletePage, i);
    if (d->job == j->index && d->page == page && d->tasks_per_page == tasks_per_page)
      g_array_remove_index_fast (c->store.garbage.pages, i--);
  }
}

static void
on_pages_deleted (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  g_autoptr (GArray) batch = data;
  c->store.garbage.deletion_in_flight = FALSE;
  c->store.garbage.next_deletion_at = c->now + 1;
  for (guint i = 0; i < batch->len && status == 200; i++) {
    const HrObsoletePage *d = &g_array_index (batch, HrObsoletePage, i);
    hr_garbage_page_deleted (c, c->store.tables.jobs->pdata[d->job], d->tasks_per_page, d->page);
  } /* otherwise it is tried again */
}

void
hr_garbage_tick (HrCore *c)
{
  guint n = MIN (MIN (c->store.garbage.pages->len, PAGES_PER_TRANSACTION), c->store.limits.txn_ops);
  /* Only what is left over of the allowance. */
  if (!c->leadership.is_leader || !n || c->store.garbage.deletion_in_flight ||
      c->now < c->store.garbage.next_deletion_at || c->store.writer.dirty_pages->len ||
      !hr_replica_is_served (c) ||
      c->store.transactions.allowance.tokens < c->store.transactions.allowance.burst * 0.8)
    return;
  json_t *writes = json_array ();
  GArray *batch = g_array_new (FALSE, FALSE, sizeof (HrObsoletePage));
  g_array_append_vals (batch, c->store.garbage.pages->data, n);
  for (guint i = 0; i < n; i++) {
    const HrObsoletePage *d = &g_array_index (batch, HrObsoletePage, i);
    const HrJob *j = c->store.tables.jobs->pdata[d->job];
    g_autofree char *key = hr_record_page_key_of (j, d->tasks_per_page, d->page);
    json_array_append_new (writes, json_pack ("{ss}", "delete", key));
  }
  c->store.garbage.deletion_in_flight = TRUE;
  hr_transaction_submit (
      c, HR_TRANSACTION_BOOKKEEPING,
      hr_transaction_require (json_array (), "h/map", c->leadership.record_revision), writes, n, 2,
      on_pages_deleted, batch);
}
