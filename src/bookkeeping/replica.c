/* Following the state store: one full reading, then changes in order. A reading is
 * /changes with no wait: it brings every change up to its epoch, so whoever
 * asked before it was sent gets an answer as new as any that was given. */
#include "bookkeeping/replica.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/replica_changes.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

#define PREFIX "h/"
#define READ_TIMEOUT_S 2.0
/* How long the store may wait for a change before it answers a watch. */
#define WATCH_MS 10000
/* Readings come every second; after a longer gap this node was not served. */
#define UNSERVED_S 4.0
/* Who asks waits so long while the service only says that it is busy. */
#define BUSY_S 1.2
/* What is left of a reading's latency in the estimate after the next reading. */
#define LATENCY_KEPT 0.7

gboolean
hr_replica_is_served (const HrStore *store)
{
  return store->now - store->replica.confirmed_at <= UNSERVED_S;
}

static void
note_store_answer (HrStore *store, gboolean ok)
{
  if (ok) {
    if (store->replica.is_unavailable)
      g_message ("the state service answers again");
    store->replica.is_unavailable = FALSE;
    store->replica.failures = 0;
  } else if (++store->replica.failures == 2) {
    store->replica.is_unavailable = TRUE;
    g_warning ("the state service does not answer this node");
  }
}

/* Applies the changes of a /changes answer, whose `after` was at most c->applied. */
static gboolean
apply_changes (HrStore *store, const json_t *body)
{
  guint64 store_revision;
  const json_t *changes = hr_store_changes (body);
  json_t *entry;
  size_t i;
  if (!hr_store_read_revision (body, &store_revision))
    return FALSE;
  guint64 from = store->replica.applied_revision;
  json_array_foreach (changes, i, entry)
  {
    HrStoreChange change;
    if (!hr_store_read_change (entry, &change)) {
      g_info ("a change that makes no sense was dropped");
      continue;
    }
    if (change.revision <= from)
      continue; /* the watch and a reading overlap: each change counts once */
    hr_replica_apply_change (store, change.key, change.value, change.revision);
    store_revision = MAX (store_revision, change.revision);
  }
  store->replica.applied_revision = MAX (store->replica.applied_revision, store_revision);
  store->events->changes_applied (store->core);
  return TRUE;
}

static void on_list_page (HrStore *store, int status, json_t *body, double sent, gpointer data);

static void
request_list_page (HrStore *store)
{
  char *path = hr_store_list_path (PREFIX, store->replica.list_cursor);
  store->events->call (store->core, HR_GET, path, NULL, 5, on_list_page,
                       GUINT_TO_POINTER (store->replica.generation));
}

static void
on_list_page (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  guint64 store_revision;
  if (GPOINTER_TO_UINT (data) != store->replica.generation)
    return;
  if (status != 200 || !hr_store_read_revision (body, &store_revision)) {
    note_store_answer (store, FALSE);
    store->replica.state = HR_REPLICA_UNREAD;
    store->replica.list_retry_at = store->now + g_rand_double_range (store->random, 0.2, 0.6);
    return;
  }
  note_store_answer (store, TRUE);
  if (!store->replica.list_cursor)
    store->replica.listed_revision =
        store_revision; /* changes after the first page's epoch are read again, in order */
  const json_t *rows = hr_store_list_rows (body);
  json_t *entry;
  size_t i;
  json_array_foreach (rows, i, entry)
  {
    HrStoreChange row;
    if (!hr_store_read_row (entry, &row))
      continue;
    hr_replica_apply_change (store, row.key, row.value, row.revision);
    g_free (store->replica.list_cursor);
    store->replica.list_cursor = g_strdup (row.key);
  }
  if (hr_store_list_has_more (body) && json_array_size (rows)) {
    request_list_page (store);
    return;
  }
  store->replica.state = HR_REPLICA_FOLLOWING;
  store->replica.applied_revision = store->replica.listed_revision;
  store->replica.next_watch_at = 0;
  store->replica.read_sent_at = 0;
  g_message ("read the state store: %u jobs, revision %" G_GUINT64_FORMAT, store->tables.jobs->len,
             store->replica.applied_revision);
}

/* Begins again from a full reading; what was known of final jobs stays. */
void
hr_replica_reset (HrStore *store)
{
  store->replica.state = HR_REPLICA_UNREAD;
  store->replica.generation++;
  store->replica.list_retry_at = 0;
}

static void
begin_listing (HrStore *store)
{
  /* Rows of jobs not final are read anew: a leader's view goes beyond the record. */
  for (guint i = 0; i < store->tables.jobs->len; i++) {
    HrJob *job = store->tables.jobs->pdata[i];
    if (job->is_known && job->tasks && !job->record.is_compacted) {
      hr_job_compact (job);
      job->record.revision = 0;
      job->run.n_live = job->n_recorded_done = job->n_done = 0;
      job->is_known = job->state != HR_JOB_QUEUED; /* a final answer, once given, stays */
      job->run.is_open = FALSE;
    }
  }
  g_array_set_size (store->tables.open_jobs, 0);
  hr_record_split_reset (store);
  store->format.revision = 0;
  store->events->listing_begins (store->core);
  g_clear_pointer (&store->replica.list_cursor, g_free);
  store->replica.state = HR_REPLICA_LISTING;
  store->replica.generation++;
  store->replica.watch_in_flight = store->replica.read_in_flight = FALSE;
  request_list_page (store);
}

static void
release_waiters (HrStore *store, GArray *list, gboolean ok)
{
  g_autoptr (GArray) now = g_array_copy (list);
  g_array_set_size (list, 0);
  for (guint i = 0; i < now->len; i++) {
    HrReadWaiter *waiter = &g_array_index (now, HrReadWaiter, i);
    waiter->callback (store, ok, waiter->data);
  }
}

static void
on_read_answer (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != store->replica.generation)
    return;
  store->replica.read_in_flight = FALSE;
  gboolean ok = status == 200 && apply_changes (store, body);
  /* 429 says that the service is there, only busy. */
  note_store_answer (store, ok || status == 429 || status == 410);
  if (ok) {
    store->events->read_answered (store->core, store->now - sent);
    if (sent - store->replica.confirmed_at > UNSERVED_S)
      store->replica.served_since = store->now;
    store->replica.confirmed_at = MAX (store->replica.confirmed_at, sent);
    store->replica.read_latency_s =
        MAX (store->now - sent, LATENCY_KEPT * store->replica.read_latency_s);
    store->replica.synced_once = TRUE;
  }
  if (status == 410)
    store->events->history_lost (store->core);
  if (status == 429) { /* there are too many of us just now: the next reading serves them */
    for (guint i = 0; i < store->replica.waiters_in_flight->len; i++) {
      HrReadWaiter *waiter = &g_array_index (store->replica.waiters_in_flight, HrReadWaiter, i);
      if (store->now - waiter->since < BUSY_S) {
        g_array_append_val (store->replica.waiters, *waiter);
        g_array_remove_index (store->replica.waiters_in_flight, i--);
      }
    }
  }
  release_waiters (store, store->replica.waiters_in_flight, ok);
}

static void
on_watch_answer (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != store->replica.generation)
    return;
  store->replica.watch_in_flight = FALSE;
  /* Each change ends the watches of all members: opened again at once, they alone would
   * use up the service's requests. A quarter of those is theirs. */
  store->replica.next_watch_at =
      store->now + 4.0 * (store->settings->members->len + 1) / store->limits.rps;
  if (status == 200)
    apply_changes (store, body);
  else
    store->replica.next_watch_at = store->now + g_rand_double_range (store->random, 0.3, 0.7);
}

void
hr_replica_read (HrStore *store, HrReadCallback callback, gpointer data)
{
  HrReadWaiter waiter = {callback, data, store->now};
  if (store->replica.state != HR_REPLICA_FOLLOWING || store->replica.is_unavailable) {
    callback (store, FALSE, data); /* no reading is to be had now: say so at once */
    return;
  }
  g_array_append_val (store->replica.waiters, waiter);
}

void
hr_replica_tick (HrStore *store)
{
  if (store->replica.state == HR_REPLICA_UNREAD) {
    release_waiters (store, store->replica.waiters_in_flight, FALSE);
    release_waiters (store, store->replica.waiters, FALSE);
    if (store->now >= store->replica.list_retry_at)
      begin_listing (store);
  }
  if (store->replica.state != HR_REPLICA_FOLLOWING)
    return;
  /* All members together take half of the service's allowance for readings. */
  double gap = store->replica.waiters->len
                   ? 2.0 * (store->settings->members->len + 1) / store->limits.rps
               : store->replica.is_unavailable ? 0.5
                                               : 1.0;
  if (!store->replica.read_in_flight && store->now - store->replica.read_sent_at >= gap) {
    GArray *ended = store->replica.waiters_in_flight;
    store->replica.waiters_in_flight = store->replica.waiters;
    store->replica.waiters = ended;
    store->replica.read_in_flight = TRUE;
    store->replica.read_sent_at = store->now;
    store->events->call (
        store->core, HR_GET, hr_store_changes_path (PREFIX, store->replica.applied_revision, 0),
        NULL, READ_TIMEOUT_S, on_read_answer, GUINT_TO_POINTER (store->replica.generation));
  }
  if (!store->replica.watch_in_flight && store->now >= store->replica.next_watch_at) {
    store->replica.watch_in_flight = TRUE;
    store->events->call (store->core, HR_GET,
                         hr_store_changes_path (PREFIX, store->replica.applied_revision, WATCH_MS),
                         NULL, 14, on_watch_answer, GUINT_TO_POINTER (store->replica.generation));
  }
}
