#include "bookkeeping/replica.h"
#include "bookkeeping/replica_changes.h"
#include "bookkeeping/replica_listing.h"
#include "bookkeeping/store_keys.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include "protocol/store_api.h"

#define READ_TIMEOUT_S 2.0
/* The state store delays the response to a watch until there is a change, at most this long. */
#define WATCH_HOLD_MS 10000
#define WATCH_TIMEOUT_S 14.0
/* Delay of the next watch after a failed one. */
#define MIN_WATCH_RETRY_S 0.3
#define MAX_WATCH_RETRY_S 0.7
/* All controllers together use half of the state store's request rate for reads, and a quarter
 * for watches. */
#define READ_RATE_DIVISOR 2.0
#define WATCH_RATE_DIVISOR 4.0
/* Intervals of reads without waiters: while the state store answers, and while it does not. */
#define IDLE_READ_INTERVAL_S 1.0
#define OUTAGE_READ_INTERVAL_S 0.5
/* Waiters keep waiting for this long while the state store answers reads with 429. */
#define MAX_BUSY_WAIT_S 1.2
/* Factor by which the latency estimate decays with each read. */
#define LATENCY_DECAY 0.7

void
hr_replica_reset (HrStore *store)
{
  store->replica.state = HR_REPLICA_NOT_SYNCED;
  store->replica.generation++;
  store->replica.list_retry_at = 0;
}

/* ---- changes ---- */

/* Applies an entry of the log, unless it was applied before. Returns its revision, or 0 if it is
 * invalid. */
static guint64
apply_entry (HrStore *store, const json_t *entry, guint64 applied_before)
{
  HrStoreChange change;
  if (!hr_store_read_change (entry, &change)) {
    g_info ("dropped an invalid entry of the state service's log");
    return 0;
  }
  /* Watches and reads overlap: apply each change once. */
  if (change.revision > applied_before)
    hr_replica_apply_change (store, change.key, change.value, change.revision);
  return change.revision;
}

/* Applies a response with all changes after a revision that is not newer than the applied one.
 * Returns FALSE if the response is invalid. */
static gboolean
apply_changes (HrStore *store, const json_t *body)
{
  guint64 store_revision, applied_before = store->replica.applied_revision;
  const json_t *log = hr_store_changes (body);
  json_t *entry;
  size_t i;
  if (!hr_store_read_revision (body, &store_revision))
    return FALSE;
  json_array_foreach (log, i, entry)
  {
    guint64 revision = apply_entry (store, entry, applied_before);
    if (revision > applied_before)
      store_revision = MAX (store_revision, revision);
  }
  store->replica.applied_revision = MAX (store->replica.applied_revision, store_revision);
  store->events->changes_applied (store->core);
  return TRUE;
}

static void
request_changes (HrStore *store, guint hold_ms, double timeout_s, HrStoreCallback callback)
{
  char *path = hr_store_changes_path (HR_STORE_KEYS, store->replica.applied_revision, hold_ms);
  store->events->call (store->core, HR_GET, path, NULL, timeout_s, callback,
                       GUINT_TO_POINTER (store->replica.generation));
}

/* Returns the interval of one controller's requests, in seconds, at which all controllers together
 * use 1 / rate_divisor of the state store's request rate. */
static double
request_interval (const HrStore *store, double rate_divisor)
{
  return rate_divisor * (store->settings->members->len + 1) / store->limits.rps;
}

/* ---- reads ---- */

static void
release_waiters (HrStore *store, GArray *waiters, gboolean ok)
{
  /* The callbacks may add new waiters. */
  g_autoptr (GArray) released = g_array_copy (waiters);
  g_array_set_size (waiters, 0);
  for (guint i = 0; i < released->len; i++) {
    const HrReadWaiter *waiter = &g_array_index (released, HrReadWaiter, i);
    waiter->callback (store, ok, waiter->data);
  }
}

/* After a response 429: moves recent waiters to the next read. */
static void
keep_recent_waiters (HrStore *store)
{
  GArray *in_flight = store->replica.waiters_in_flight;
  for (guint i = 0; i < in_flight->len; i++) {
    const HrReadWaiter *waiter = &g_array_index (in_flight, HrReadWaiter, i);
    if (store->now - waiter->since < MAX_BUSY_WAIT_S) {
      g_array_append_val (store->replica.waiters, *waiter);
      g_array_remove_index (in_flight, i--);
    }
  }
}

static void
record_read_success (HrStore *store, double sent_at)
{
  HrReplica *replica = &store->replica;
  double latency_s = store->now - sent_at;
  store->events->read_answered (store->core, latency_s);
  if (sent_at - replica->confirmed_at > HR_MAX_READ_GAP_S)
    replica->current_since = store->now;
  replica->confirmed_at = MAX (replica->confirmed_at, sent_at);
  replica->read_latency_s = MAX (latency_s, LATENCY_DECAY * replica->read_latency_s);
  replica->synced_once = TRUE;
}

static void
on_read_answer (HrStore *store, int status, json_t *body, double sent_at, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != store->replica.generation)
    return;
  store->replica.read_in_flight = FALSE;
  gboolean ok = status == 200 && apply_changes (store, body);
  gboolean is_busy = status == 429;
  gboolean is_history_lost = status == 410 || status == HR_STATUS_ANSWER_TOO_LARGE;
  hr_replica_update_availability (store, ok || is_busy || is_history_lost);
  if (ok)
    record_read_success (store, sent_at);
  if (status == HR_STATUS_ANSWER_TOO_LARGE)
    g_message ("the changes after revision %" G_GUINT64_FORMAT
               " are too many for one answer; listing the state store again",
               store->replica.applied_revision);
  if (is_history_lost)
    store->events->history_lost (store->core);
  if (is_busy)
    keep_recent_waiters (store);
  release_waiters (store, store->replica.waiters_in_flight, ok);
}

static gboolean
is_read_due (const HrStore *store)
{
  const HrReplica *replica = &store->replica;
  double gap = replica->is_unavailable ? OUTAGE_READ_INTERVAL_S : IDLE_READ_INTERVAL_S;
  if (replica->waiters->len)
    gap = request_interval (store, READ_RATE_DIVISOR);
  return !replica->read_in_flight && store->now - replica->read_sent_at >= gap;
}

static void
send_read (HrStore *store)
{
  HrReplica *replica = &store->replica;
  GArray *released = replica->waiters_in_flight; /* empty since the last response */
  replica->waiters_in_flight = replica->waiters;
  replica->waiters = released;
  replica->read_in_flight = TRUE;
  replica->read_sent_at = store->now;
  request_changes (store, 0, READ_TIMEOUT_S, on_read_answer);
}

/* ---- watches ---- */

static void
on_watch_answer (HrStore *store, int status, json_t *body, double sent_at G_GNUC_UNUSED,
                 gpointer data)
{
  if (GPOINTER_TO_UINT (data) != store->replica.generation)
    return;
  store->replica.watch_in_flight = FALSE;
  /* Each change ends the watches of all controllers. If all of them reopened theirs at once,
   * watches alone would use up the state store's request rate. */
  store->replica.next_watch_at = store->now + request_interval (store, WATCH_RATE_DIVISOR);
  if (status == 200)
    apply_changes (store, body);
  else
    store->replica.next_watch_at =
        store->now + hr_random_range (store->random, MIN_WATCH_RETRY_S, MAX_WATCH_RETRY_S);
}

static void
send_watch (HrStore *store)
{
  store->replica.watch_in_flight = TRUE;
  request_changes (store, WATCH_HOLD_MS, WATCH_TIMEOUT_S, on_watch_answer);
}

void
hr_replica_tick (HrStore *store)
{
  if (store->replica.state == HR_REPLICA_NOT_SYNCED) {
    release_waiters (store, store->replica.waiters_in_flight, FALSE);
    release_waiters (store, store->replica.waiters, FALSE);
    if (store->now >= store->replica.list_retry_at)
      hr_replica_listing_begin (store);
  }
  if (store->replica.state != HR_REPLICA_FOLLOWING)
    return;
  if (is_read_due (store))
    send_read (store);
  if (!store->replica.watch_in_flight && store->now >= store->replica.next_watch_at)
    send_watch (store);
}
