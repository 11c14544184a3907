/* Following the ledger: one full reading, then changes in order. A reading is
 * /changes with no wait: it brings every change up to its epoch, so whoever
 * asked before it was sent gets an answer as new as any that was given. */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

#define PREFIX "h/"
#define READ_TIMEOUT_S 2.0
/* Readings come every second; after a longer gap this node was not served. */
#define UNSERVED_S 4.0
/* Who asks waits so long while the service only says that it is busy. */
#define BUSY_S 1.2
/* What is left of a reading's latency in the estimate after the next reading. */
#define LATENCY_KEPT 0.7

gboolean
hr_replica_is_served (const HrCore *c)
{
  return c->now - c->store.replica.confirmed_at <= UNSERVED_S;
}

static void
note_store_answer (HrCore *c, gboolean ok)
{
  if (ok) {
    if (c->store.replica.is_unavailable)
      g_message ("the state service answers again");
    c->store.replica.is_unavailable = FALSE;
    c->store.replica.failures = 0;
  } else if (++c->store.replica.failures == 2) {
    c->store.replica.is_unavailable = TRUE;
    g_warning ("the state service does not answer this node");
  }
}

/* Applies the changes of a /changes answer, whose `after` was at most c->applied. */
static gboolean
apply_changes (HrCore *c, const json_t *body)
{
  guint64 store_revision;
  json_t *log = json_object_get (body, "log"), *e;
  size_t i;
  if (!hr_json_count (body, "epoch", G_MAXINT64, &store_revision))
    return FALSE;
  guint64 from = c->store.replica.applied_revision;
  json_array_foreach (log, i, e)
  {
    const char *set = hr_json_str (e, "set"), *del = hr_json_str (e, "delete");
    guint64 revision;
    if ((!set && !del) || !hr_json_count (e, "stamp", G_MAXINT64, &revision)) {
      g_info ("a change that makes no sense was dropped");
      continue;
    }
    if (revision <= from)
      continue; /* the watch and a reading overlap: each change counts once */
    hr_replica_apply_change (c, set ? set : del, set ? json_object_get (e, "value") : NULL,
                             revision);
    store_revision = MAX (store_revision, revision);
  }
  c->store.replica.applied_revision = MAX (c->store.replica.applied_revision, store_revision);
  hr_leadership_record_read (c);
  return TRUE;
}

static void on_list_page (HrCore *c, int status, json_t *body, double sent, gpointer data);

static void
request_list_page (HrCore *c)
{
  char *path = c->store.replica.list_cursor
                   ? g_strdup_printf ("/kv?starts=" PREFIX "&after=%s&limit=1000",
                                      c->store.replica.list_cursor)
                   : g_strdup ("/kv?starts=" PREFIX "&limit=1000");
  hr_core_call (c, HR_TO_STORE, NULL, HR_GET, path, NULL, 5, on_list_page,
                GUINT_TO_POINTER (c->store.replica.generation));
}

static void
on_list_page (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  guint64 store_revision;
  gboolean more = FALSE;
  if (GPOINTER_TO_UINT (data) != c->store.replica.generation)
    return;
  if (status != 200 || !hr_json_count (body, "epoch", G_MAXINT64, &store_revision)) {
    note_store_answer (c, FALSE);
    c->store.replica.state = HR_REPLICA_UNREAD;
    c->store.replica.list_retry_at = c->now + g_rand_double_range (c->random, 0.2, 0.6);
    return;
  }
  note_store_answer (c, TRUE);
  if (!c->store.replica.list_cursor)
    c->store.replica.listed_revision =
        store_revision; /* changes after the first page's epoch are read again, in order */
  json_t *rows = json_object_get (body, "rows"), *e;
  size_t i;
  json_array_foreach (rows, i, e)
  {
    const char *path = hr_json_str (e, "path");
    guint64 revision;
    if (!path || !hr_json_count (e, "stamp", G_MAXINT64, &revision))
      continue;
    hr_replica_apply_change (c, path, json_object_get (e, "value"), revision);
    g_free (c->store.replica.list_cursor);
    c->store.replica.list_cursor = g_strdup (path);
  }
  hr_json_bool (body, "more", &more);
  if (more && json_array_size (rows)) {
    request_list_page (c);
    return;
  }
  c->store.replica.state = HR_REPLICA_FOLLOWING;
  c->store.replica.applied_revision = c->store.replica.listed_revision;
  c->store.replica.next_watch_at = 0;
  c->store.replica.read_sent_at = 0;
  g_message ("read the ledger: %u jobs, epoch %" G_GUINT64_FORMAT, c->store.tables.jobs->len,
             c->store.replica.applied_revision);
}

/* Begins again from a full reading; what was known of final jobs stays. */
void
hr_replica_reset (HrCore *c)
{
  c->store.replica.state = HR_REPLICA_UNREAD;
  c->store.replica.generation++;
  c->store.replica.list_retry_at = 0;
}

static void
begin_listing (HrCore *c)
{
  /* Rows of jobs not final are read anew: an owner's view goes beyond the record. */
  for (guint i = 0; i < c->store.tables.jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[i];
    if (j->is_known && j->tasks && !j->record.is_compacted) {
      hr_job_compact (j);
      j->record.revision = 0;
      j->run.n_live = j->n_recorded_done = j->n_done = 0;
      j->is_known = j->state != HR_JOB_QUEUED; /* a final answer, once given, stays */
      j->run.is_open = FALSE;
    }
  }
  g_array_set_size (c->store.tables.open_jobs, 0);
  hr_record_split_reset (c);
  c->leadership.record_revision = c->leadership.lock_revision = c->store.format.revision = 0;
  g_array_set_size (c->dependencies.to_tombstone, 0);
  g_clear_pointer (&c->leadership.lock_label, g_free);
  g_clear_pointer (&c->leadership.lock_incarnation, g_free);
  g_clear_pointer (&c->store.replica.list_cursor, g_free);
  c->store.replica.state = HR_REPLICA_LISTING;
  c->store.replica.generation++;
  c->store.replica.watch_in_flight = c->store.replica.read_in_flight = FALSE;
  request_list_page (c);
}

static void
release_waiters (HrCore *c, GArray *list, gboolean ok)
{
  g_autoptr (GArray) now = g_array_copy (list);
  g_array_set_size (list, 0);
  for (guint i = 0; i < now->len; i++) {
    HrReadWaiter *w = &g_array_index (now, HrReadWaiter, i);
    w->callback (c, ok, w->data);
  }
}

static void
on_read_answer (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != c->store.replica.generation)
    return;
  c->store.replica.read_in_flight = FALSE;
  gboolean ok = status == 200 && apply_changes (c, body);
  /* 429 says that the service is there, only busy. */
  note_store_answer (c, ok || status == 429 || status == 410);
  if (ok) {
    hr_histogram_add (&c->metrics.read_latency, c->now - sent);
    if (sent - c->store.replica.confirmed_at > UNSERVED_S)
      c->store.replica.served_since = c->now;
    c->store.replica.confirmed_at = MAX (c->store.replica.confirmed_at, sent);
    c->store.replica.read_latency_s =
        MAX (c->now - sent, LATENCY_KEPT * c->store.replica.read_latency_s);
    c->store.replica.synced_once = TRUE;
  }
  if (status == 410)
    hr_leadership_reset (c, "the changes since the last reading are gone");
  if (status == 429) { /* there are too many of us just now: the next reading serves them */
    for (guint i = 0; i < c->store.replica.waiters_in_flight->len; i++) {
      HrReadWaiter *w = &g_array_index (c->store.replica.waiters_in_flight, HrReadWaiter, i);
      if (c->now - w->since < BUSY_S) {
        g_array_append_val (c->store.replica.waiters, *w);
        g_array_remove_index (c->store.replica.waiters_in_flight, i--);
      }
    }
  }
  release_waiters (c, c->store.replica.waiters_in_flight, ok);
}

static void
on_watch_answer (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != c->store.replica.generation)
    return;
  c->store.replica.watch_in_flight = FALSE;
  /* Each change ends the watches of all members: opened again at once, they alone would
   * use up the service's requests. A quarter of those is theirs. */
  c->store.replica.next_watch_at =
      c->now + 4.0 * (c->settings->members->len + 1) / c->store.limits.rps;
  if (status == 200)
    apply_changes (c, body);
  else
    c->store.replica.next_watch_at = c->now + g_rand_double_range (c->random, 0.3, 0.7);
}

void
hr_replica_read (HrCore *c, HrReadCallback fn, gpointer data)
{
  HrReadWaiter w = {fn, data, c->now};
  if (c->store.replica.state != HR_REPLICA_FOLLOWING || c->store.replica.is_unavailable) {
    fn (c, FALSE, data); /* no reading is to be had now: say so at once */
    return;
  }
  g_array_append_val (c->store.replica.waiters, w);
}

void
hr_replica_tick (HrCore *c)
{
  if (c->store.replica.state == HR_REPLICA_UNREAD) {
    release_waiters (c, c->store.replica.waiters_in_flight, FALSE);
    release_waiters (c, c->store.replica.waiters, FALSE);
    if (c->now >= c->store.replica.list_retry_at)
      begin_listing (c);
  }
  if (c->store.replica.state != HR_REPLICA_FOLLOWING)
    return;
  /* All members together take half of the service's allowance for readings. */
  double gap = c->store.replica.waiters->len
                   ? 2.0 * (c->settings->members->len + 1) / c->store.limits.rps
               : c->store.replica.is_unavailable ? 0.5
                                                 : 1.0;
  if (!c->store.replica.read_in_flight && c->now - c->store.replica.read_sent_at >= gap) {
    GArray *t = c->store.replica.waiters_in_flight;
    c->store.replica.waiters_in_flight = c->store.replica.waiters;
    c->store.replica.waiters = t;
    c->store.replica.read_in_flight = TRUE;
    c->store.replica.read_sent_at = c->now;
    hr_core_call (
        c, HR_TO_STORE, NULL, HR_GET,
        g_strdup_printf ("/changes?starts=" PREFIX "&after=%" G_GUINT64_FORMAT "&hold_ms=0",
                         c->store.replica.applied_revision),
        NULL, READ_TIMEOUT_S, on_read_answer, GUINT_TO_POINTER (c->store.replica.generation));
  }
  if (!c->store.replica.watch_in_flight && c->now >= c->store.replica.next_watch_at) {
    c->store.replica.watch_in_flight = TRUE;
    hr_core_call (c, HR_TO_STORE, NULL, HR_GET,
                  g_strdup_printf ("/changes?starts=" PREFIX "&after=%" G_GUINT64_FORMAT
                                   "&hold_ms=10000",
                                   c->store.replica.applied_revision),
                  NULL, 14, on_watch_answer, GUINT_TO_POINTER (c->store.replica.generation));
  }
}
