#include "bookkeeping/replica_listing.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/replica_changes.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"

#define LISTING_TIMEOUT_S 5.0
#define MIN_RETRY_S 0.2
#define MAX_RETRY_S 0.6
#define LISTING_PATH "/kv?starts=" HR_STORE_KEYS
#define LISTING_LIMIT "&limit=1000" /* rows of a page */

static void on_listing_page (HrStore *store, int status, json_t *body, double sent, gpointer data);

static void
request_page (HrStore *store)
{
  const char *cursor = store->replica.list_cursor;
  char *path = cursor ? g_strdup_printf (LISTING_PATH "&after=%s" LISTING_LIMIT, cursor)
                      : g_strdup (LISTING_PATH LISTING_LIMIT);
  store->events->call (store->core, HR_GET, path, NULL, LISTING_TIMEOUT_S, on_listing_page,
                       GUINT_TO_POINTER (store->replica.generation));
}

static void
apply_rows (HrStore *store, const json_t *rows)
{
  size_t i;
  json_t *row;
  json_array_foreach (rows, i, row)
  {
    const char *key = hr_json_str (row, "path");
    guint64 revision;
    if (!key || !hr_json_count (row, "stamp", G_MAXINT64, &revision))
      continue;
    hr_replica_apply_change (store, key, json_object_get (row, "value"), revision);
    g_free (store->replica.list_cursor);
    store->replica.list_cursor = g_strdup (key);
  }
}

static void
retry_later (HrStore *store)
{
  hr_replica_note_answer (store, FALSE);
  store->replica.state = HR_REPLICA_UNREAD;
  store->replica.list_retry_at =
      store->now + g_rand_double_range (store->random, MIN_RETRY_S, MAX_RETRY_S);
}

static void
complete (HrStore *store)
{
  store->replica.state = HR_REPLICA_FOLLOWING;
  store->replica.applied_revision = store->replica.listed_revision;
  store->replica.next_watch_at = 0;
  store->replica.read_sent_at = 0;
  g_message ("read the state store: %u jobs, revision %" G_GUINT64_FORMAT, store->tables.jobs->len,
             store->replica.applied_revision);
}

static void
on_listing_page (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  guint64 store_revision;
  gboolean has_more = FALSE;
  if (GPOINTER_TO_UINT (data) != store->replica.generation)
    return;
  if (status != 200 || !hr_json_count (body, "epoch", G_MAXINT64, &store_revision)) {
    retry_later (store);
    return;
  }
  hr_replica_note_answer (store, TRUE);
  /* Changes after the first page's revision are read again, in order. */
  if (!store->replica.list_cursor)
    store->replica.listed_revision = store_revision;
  const json_t *rows = json_object_get (body, "rows");
  apply_rows (store, rows);
  hr_json_bool (body, "more", &has_more);
  if (has_more && json_array_size (rows))
    request_page (store);
  else
    complete (store);
}

/* Rows of jobs that are not final are read anew: a leader's view goes beyond the store. A final
 * state, once reported to a user, stays. */
static void
forget_job (HrJob *job)
{
  if (!job->is_known || !job->tasks || job->record.is_compacted)
    return;
  hr_job_compact (job);
  job->record.revision = 0;
  job->run.n_live = job->n_recorded_done = job->n_done = 0;
  job->is_known = job->state != HR_JOB_QUEUED;
  job->run.is_open = FALSE;
}

void
hr_replica_listing_begin (HrStore *store)
{
  for (guint i = 0; i < store->tables.jobs->len; i++)
    forget_job (store->tables.jobs->pdata[i]);
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
