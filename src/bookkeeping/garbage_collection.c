/* Pages of jobs that are final: their record is a tombstone, and nobody reads them again.
 * Every follower notes them, so that whoever leads tidies up after a predecessor; they go
 * a few at a time, when the store's allowance has nothing more urgent. */
#include "coordination/state.h"
#include "protocol/json_util.h"

#define PAGES_PER_TRANSACTION 4 /* of the changes that a transaction may hold */

void
hr_garbage_add_page (HrCore *c, const HrJob *j, guint tasks_per_page, guint page)
{
  HrObsoletePage d = {j->idx, page, tasks_per_page};
  g_array_append_val (c->garbage, d);
}

/* The job has become final, or its record is split anew: so far as we know, these of its pages
 * are in the ledger. */
void
hr_garbage_add_job (HrCore *c, const HrJob *j)
{
  for (guint i = 0; j->per_page && i < j->npages; i++)
    if (j->pages[i].revision)
      hr_garbage_add_page (c, j, j->resplit ? j->per_page : 0, i);
  for (guint i = 0; j->staged && i < j->staged->len; i++) {
    const HrStagedPage *p = &g_array_index (j->staged, HrStagedPage, i);
    if (p->revision)
      hr_garbage_add_page (c, j, p->tasks_per_page, p->page);
  }
}

/* The page is gone from the ledger. */
void
hr_garbage_page_deleted (HrCore *c, const HrJob *j, guint tasks_per_page, guint page)
{
  for (guint i = 0; i < c->garbage->len; i++) {
    HrObsoletePage *d = &g_array_index (c->garbage, HrObsoletePage, i);
    if (d->job == j->idx && d->page == page && d->tasks_per_page == tasks_per_page)
      g_array_remove_index_fast (c->garbage, i--);
  }
}

static void
on_pages_deleted (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  g_autoptr (GArray) batch = data;
  c->tidying = FALSE;
  c->tidy_at = c->now + 1;
  for (guint i = 0; i < batch->len && status == 200; i++) {
    const HrObsoletePage *d = &g_array_index (batch, HrObsoletePage, i);
    hr_garbage_page_deleted (c, c->jobs->pdata[d->job], d->tasks_per_page, d->page);
  } /* otherwise it is tried again */
}

void
hr_garbage_tick (HrCore *c)
{
  guint n = MIN (MIN (c->garbage->len, PAGES_PER_TRANSACTION), c->limits.txn_ops);
  /* Only what is left over of the allowance. */
  if (!c->leads || !n || c->tidying || c->now < c->tidy_at || c->dirty->len ||
      !hr_replica_is_served (c) || c->write_bucket.tokens < c->write_bucket.burst * 0.8)
    return;
  json_t *writes = json_array ();
  GArray *batch = g_array_new (FALSE, FALSE, sizeof (HrObsoletePage));
  g_array_append_vals (batch, c->garbage->data, n);
  for (guint i = 0; i < n; i++) {
    const HrObsoletePage *d = &g_array_index (batch, HrObsoletePage, i);
    const HrJob *j = c->jobs->pdata[d->job];
    g_autofree char *key = hr_record_page_key_of (j, d->tasks_per_page, d->page);
    json_array_append_new (writes, json_pack ("{ss}", "delete", key));
  }
  c->tidying = TRUE;
  hr_transaction_submit (c, HR_TRANSACTION_BOOKKEEPING,
                         hr_transaction_require (json_array (), "h/map", c->map_stamp), writes, n,
                         2, on_pages_deleted, batch);
}
