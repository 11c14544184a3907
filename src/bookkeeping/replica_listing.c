#include "bookkeeping/replica_listing.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/store_reads.h"
#include "bookkeeping/replica_changes.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include "protocol/store_api.h"

#define LISTING_TIMEOUT_S 5.0
#define MIN_RETRY_S 0.2
#define MAX_RETRY_S 0.6

static void on_listing_page (HrStore *store, int status, json_t *body, double sent_at,
                             gpointer data);

static void
request_page (HrStore *store)
{
  const char *cursor = store->replica.list_cursor;
  char *path = hr_store_list_path (HR_STORE_KEYS, cursor);
  store->events->call (store->core, HR_GET, path, NULL, LISTING_TIMEOUT_S, on_listing_page,
                       GUINT_TO_POINTER (store->replica.generation));
}

static void
apply_rows (HrStore *store, const json_t *rows)
{
  size_t i;
  json_t *entry;
  json_array_foreach (rows, i, entry)
  {
    HrStoreChange row;
    if (!hr_store_read_row (entry, &row))
      continue;
    hr_replica_apply_change (store, row.key, row.value, row.revision);
    g_free (store->replica.list_cursor);
    store->replica.list_cursor = g_strdup (row.key);
  }
}

static void
retry_later (HrStore *store)
{
  hr_replica_update_availability (store, FALSE);
  store->replica.state = HR_REPLICA_NOT_SYNCED;
  store->replica.list_retry_at =
      store->now + hr_random_range (store->random, MIN_RETRY_S, MAX_RETRY_S);
}

static void
complete (HrStore *store)
{
  store->replica.state = HR_REPLICA_FOLLOWING;
  store->replica.applied_revision = store->replica.listed_revision;
  store->replica.next_watch_at = 0;
  store->replica.read_sent_at = 0;
  g_message ("listed the state store: %u jobs, revision %" G_GUINT64_FORMAT,
             store->tables.jobs->len, store->replica.applied_revision);
}

static void
on_listing_page (HrStore *store, int status, json_t *body, double sent_at G_GNUC_UNUSED,
                 gpointer data)
{
  guint64 store_revision;
  if (GPOINTER_TO_UINT (data) != store->replica.generation)
    return;
  if (status != 200 || !hr_store_read_revision (body, &store_revision)) {
    retry_later (store);
    return;
  }
  hr_replica_update_availability (store, TRUE);
  /* Changes after the revision of the first page are read again, in order. */
  if (!store->replica.list_cursor)
    store->replica.listed_revision = store_revision;
  const json_t *rows = hr_store_list_rows (body);
  apply_rows (store, rows);
  if (hr_store_list_has_more (body) && json_array_size (rows))
    request_page (store);
  else
    complete (store);
}

/* Resets a job that is not final, to be read again: a leader's tables may hold decisions that were
 * not recorded. A final state stays, since it may have been reported to a user. */
static void
reset_open_job (HrTables *tables, HrJob *job)
{
  if (!job->is_known || !job->tasks || job->record.is_compacted)
    return;
  hr_job_unload (tables, job);
  job->record.revision = 0;
  job->run.n_live = job->n_recorded_done = job->n_done = 0;
  job->is_known = job->state != HR_JOB_QUEUED;
  job->run.is_open = FALSE;
}

void
hr_replica_listing_begin (HrStore *store)
{
  for (guint i = 0; i < store->tables.jobs->len; i++)
    reset_open_job (&store->tables, store->tables.jobs->pdata[i]);
  g_array_set_size (store->tables.open_jobs, 0);
  hr_record_split_reset (store);
  store->format.revision = 0;
  store->events->listing_begins (store->core);
  g_clear_pointer (&store->replica.list_cursor, g_free);
  store->replica.state = HR_REPLICA_LISTING;
  store->replica.generation++;
  store->replica.watch_in_flight = store->replica.read_in_flight = FALSE;
  request_page (store);
}
