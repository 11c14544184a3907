/* Following the state store: one full reading, then changes in order. A reading is
 * /changes with no wait: it brings every change up to its epoch, so whoever
 * asked before it was sent gets an answer as new as any that was given. */
#include "bookkeeping/replica.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/replica_changes.h"
#include "coordination/effects.h"
#include "coordination/leadership/leadership.h"
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
hr_replica_is_served (const HrCore *core)
{
  return core->now - core->store.replica.confirmed_at <= UNSERVED_S;
}

static void
note_store_answer (HrCore *core, gboolean ok)
{
  if (ok) {
    if (core->store.replica.is_unavailable)
      g_message ("the state service answers again");
    core->store.replica.is_unavailable = FALSE;
    core->store.replica.failures = 0;
  } else if (++core->store.replica.failures == 2) {
    core->store.replica.is_unavailable = TRUE;
    g_warning ("the state service does not answer this node");
  }
}

/* Applies the changes of a /changes answer, whose `after` was at most c->applied. */
static gboolean
apply_changes (HrCore *core, const json_t *body)
{
  guint64 store_revision;
  json_t *log = json_object_get (body, "log"), *entry;
  size_t i;
  if (!hr_json_count (body, "epoch", G_MAXINT64, &store_revision))
    return FALSE;
  guint64 from = core->store.replica.applied_revision;
  json_array_foreach (log, i, entry)
  {
    const char *settings = hr_json_str (entry, "set"), *del = hr_json_str (entry, "delete");
    guint64 revision;
    if ((!settings && !del) || !hr_json_count (entry, "stamp", G_MAXINT64, &revision)) {
      g_info ("a change that makes no sense was dropped");
      continue;
    }
    if (revision <= from)
      continue; /* the watch and a reading overlap: each change counts once */
    hr_replica_apply_change (core, settings ? settings : del,
                             settings ? json_object_get (entry, "value") : NULL, revision);
    store_revision = MAX (store_revision, revision);
  }
  core->store.replica.applied_revision = MAX (core->store.replica.applied_revision, store_revision);
  hr_leadership_record_read (core);
  return TRUE;
}

static void on_list_page (HrCore *core, int status, json_t *body, double sent, gpointer data);

static void
request_list_page (HrCore *core)
{
  char *path = core->store.replica.list_cursor
                   ? g_strdup_printf ("/kv?starts=" PREFIX "&after=%s&limit=1000",
                                      core->store.replica.list_cursor)
                   : g_strdup ("/kv?starts=" PREFIX "&limit=1000");
  hr_core_call (core, HR_TO_STORE, NULL, HR_GET, path, NULL, 5, on_list_page,
                GUINT_TO_POINTER (core->store.replica.generation));
}

static void
on_list_page (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  guint64 store_revision;
  gboolean more = FALSE;
  if (GPOINTER_TO_UINT (data) != core->store.replica.generation)
    return;
  if (status != 200 || !hr_json_count (body, "epoch", G_MAXINT64, &store_revision)) {
    note_store_answer (core, FALSE);
    core->store.replica.state = HR_REPLICA_UNREAD;
    core->store.replica.list_retry_at = core->now + g_rand_double_range (core->random, 0.2, 0.6);
    return;
  }
  note_store_answer (core, TRUE);
  if (!core->store.replica.list_cursor)
    core->store.replica.listed_revision =
        store_revision; /* changes after the first page's epoch are read again, in order */
  json_t *rows = json_object_get (body, "rows"), *entry;
  size_t i;
  json_array_foreach (rows, i, entry)
  {
    const char *path = hr_json_str (entry, "path");
    guint64 revision;
    if (!path || !hr_json_count (entry, "stamp", G_MAXINT64, &revision))
      continue;
    hr_replica_apply_change (core, path, json_object_get (entry, "value"), revision);
    g_free (core->store.replica.list_cursor);
    core->store.replica.list_cursor = g_strdup (path);
  }
  hr_json_bool (body, "more", &more);
  if (more && json_array_size (rows)) {
    request_list_page (core);
    return;
  }
  core->store.replica.state = HR_REPLICA_FOLLOWING;
  core->store.replica.applied_revision = core->store.replica.listed_revision;
  core->store.replica.next_watch_at = 0;
  core->store.replica.read_sent_at = 0;
  g_message ("read the state store: %u jobs, revision %" G_GUINT64_FORMAT,
             core->store.tables.jobs->len, core->store.replica.applied_revision);
}

/* Begins again from a full reading; what was known of final jobs stays. */
void
hr_replica_reset (HrCore *core)
{
  core->store.replica.state = HR_REPLICA_UNREAD;
  core->store.replica.generation++;
  core->store.replica.list_retry_at = 0;
}

static void
begin_listing (HrCore *core)
{
  /* Rows of jobs not final are read anew: a leader's view goes beyond the record. */
  for (guint i = 0; i < core->store.tables.jobs->len; i++) {
    HrJob *job = core->store.tables.jobs->pdata[i];
    if (job->is_known && job->tasks && !job->record.is_compacted) {
      hr_job_compact (job);
      job->record.revision = 0;
      job->run.n_live = job->n_recorded_done = job->n_done = 0;
      job->is_known = job->state != HR_JOB_QUEUED; /* a final answer, once given, stays */
      job->run.is_open = FALSE;
    }
  }
  g_array_set_size (core->store.tables.open_jobs, 0);
  hr_record_split_reset (core);
  core->leadership.record_revision = core->leadership.lock_revision = core->store.format.revision =
      0;
  g_array_set_size (core->dependencies.to_tombstone, 0);
  g_clear_pointer (&core->leadership.lock_label, g_free);
  g_clear_pointer (&core->leadership.lock_incarnation, g_free);
  g_clear_pointer (&core->store.replica.list_cursor, g_free);
  core->store.replica.state = HR_REPLICA_LISTING;
  core->store.replica.generation++;
  core->store.replica.watch_in_flight = core->store.replica.read_in_flight = FALSE;
  request_list_page (core);
}

static void
release_waiters (HrCore *core, GArray *list, gboolean ok)
{
  g_autoptr (GArray) now = g_array_copy (list);
  g_array_set_size (list, 0);
  for (guint i = 0; i < now->len; i++) {
    HrReadWaiter *waiter = &g_array_index (now, HrReadWaiter, i);
    waiter->callback (core, ok, waiter->data);
  }
}

static void
on_read_answer (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != core->store.replica.generation)
    return;
  core->store.replica.read_in_flight = FALSE;
  gboolean ok = status == 200 && apply_changes (core, body);
  /* 429 says that the service is there, only busy. */
  note_store_answer (core, ok || status == 429 || status == 410);
  if (ok) {
    hr_histogram_add (&core->metrics.read_latency, core->now - sent);
    if (sent - core->store.replica.confirmed_at > UNSERVED_S)
      core->store.replica.served_since = core->now;
    core->store.replica.confirmed_at = MAX (core->store.replica.confirmed_at, sent);
    core->store.replica.read_latency_s =
        MAX (core->now - sent, LATENCY_KEPT * core->store.replica.read_latency_s);
    core->store.replica.synced_once = TRUE;
  }
  if (status == 410)
    hr_leadership_reset (core, "the changes since the last reading are gone");
  if (status == 429) { /* there are too many of us just now: the next reading serves them */
    for (guint i = 0; i < core->store.replica.waiters_in_flight->len; i++) {
      HrReadWaiter *waiter =
          &g_array_index (core->store.replica.waiters_in_flight, HrReadWaiter, i);
      if (core->now - waiter->since < BUSY_S) {
        g_array_append_val (core->store.replica.waiters, *waiter);
        g_array_remove_index (core->store.replica.waiters_in_flight, i--);
      }
    }
  }
  release_waiters (core, core->store.replica.waiters_in_flight, ok);
}

static void
on_watch_answer (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != core->store.replica.generation)
    return;
  core->store.replica.watch_in_flight = FALSE;
  /* Each change ends the watches of all members: opened again at once, they alone would
   * use up the service's requests. A quarter of those is theirs. */
  core->store.replica.next_watch_at =
      core->now + 4.0 * (core->settings->members->len + 1) / core->store.limits.rps;
  if (status == 200)
    apply_changes (core, body);
  else
    core->store.replica.next_watch_at = core->now + g_rand_double_range (core->random, 0.3, 0.7);
}

void
hr_replica_read (HrCore *core, HrReadCallback callback, gpointer data)
{
  HrReadWaiter waiter = {callback, data, core->now};
  if (core->store.replica.state != HR_REPLICA_FOLLOWING || core->store.replica.is_unavailable) {
    callback (core, FALSE, data); /* no reading is to be had now: say so at once */
    return;
  }
  g_array_append_val (core->store.replica.waiters, waiter);
}

void
hr_replica_tick (HrCore *core)
{
  if (core->store.replica.state == HR_REPLICA_UNREAD) {
    release_waiters (core, core->store.replica.waiters_in_flight, FALSE);
    release_waiters (core, core->store.replica.waiters, FALSE);
    if (core->now >= core->store.replica.list_retry_at)
      begin_listing (core);
  }
  if (core->store.replica.state != HR_REPLICA_FOLLOWING)
    return;
  /* All members together take half of the service's allowance for readings. */
  double gap = core->store.replica.waiters->len
                   ? 2.0 * (core->settings->members->len + 1) / core->store.limits.rps
               : core->store.replica.is_unavailable ? 0.5
                                                    : 1.0;
  if (!core->store.replica.read_in_flight && core->now - core->store.replica.read_sent_at >= gap) {
    GArray *ended = core->store.replica.waiters_in_flight;
    core->store.replica.waiters_in_flight = core->store.replica.waiters;
    core->store.replica.waiters = ended;
    core->store.replica.read_in_flight = TRUE;
    core->store.replica.read_sent_at = core->now;
    hr_core_call (
        core, HR_TO_STORE, NULL, HR_GET,
        g_strdup_printf ("/changes?starts=" PREFIX "&after=%" G_GUINT64_FORMAT "&hold_ms=0",
                         core->store.replica.applied_revision),
        NULL, READ_TIMEOUT_S, on_read_answer, GUINT_TO_POINTER (core->store.replica.generation));
  }
  if (!core->store.replica.watch_in_flight && core->now >= core->store.replica.next_watch_at) {
    core->store.replica.watch_in_flight = TRUE;
    hr_core_call (core, HR_TO_STORE, NULL, HR_GET,
                  g_strdup_printf ("/changes?starts=" PREFIX "&after=%" G_GUINT64_FORMAT
                                   "&hold_ms=10000",
                                   core->store.replica.applied_revision),
                  NULL, 14, on_watch_answer, GUINT_TO_POINTER (core->store.replica.generation));
  }
}
