#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/transactions.h"
#include "protocol/intern.h"

void
hr_store_init (HrStore *store)
{
  HrTables *tables = &store->tables;
  hr_intern_init (&tables->job_ids);
  hr_intern_init (&tables->machine_ids);
  tables->jobs = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_job_free);
  tables->machines = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_machine_free);
  tables->open_jobs = g_array_new (FALSE, TRUE, sizeof (guint32));
  store->replica.waiters = g_array_new (FALSE, TRUE, sizeof (HrReadWaiter));
  store->replica.waiters_in_flight = g_array_new (FALSE, TRUE, sizeof (HrReadWaiter));
  store->writer.dirty_pages = g_array_new (FALSE, TRUE, sizeof (HrDirtyPage));
  store->garbage.pages = g_array_new (FALSE, TRUE, sizeof (HrObsoletePage));
  store->splitter.queue = g_array_new (FALSE, TRUE, sizeof (guint32));
  for (int kind = 0; kind < HR_TRANSACTION_KINDS; kind++)
    g_queue_init (&store->transactions.queues[kind]);
}

void
hr_store_clear (HrStore *store)
{
  for (int kind = 0; kind < HR_TRANSACTION_KINDS; kind++)
    g_queue_clear_full (&store->transactions.queues[kind],
                        (GDestroyNotify)hr_pending_transaction_free);
  g_array_unref (store->splitter.queue);
  g_array_unref (store->garbage.pages);
  g_array_unref (store->writer.dirty_pages);
  g_array_unref (store->replica.waiters_in_flight);
  g_array_unref (store->replica.waiters);
  g_free (store->replica.list_cursor);
  g_ptr_array_unref (store->tables.jobs);
  g_ptr_array_unref (store->tables.machines);
  g_array_unref (store->tables.open_jobs);
  hr_intern_clear (&store->tables.job_ids);
  hr_intern_clear (&store->tables.machine_ids);
}
