/* Following the ledger: one full reading, then changes in order. A reading is
 * /changes with no wait: it brings every change up to its epoch, so whoever
 * asked before it was sent gets an answer as new as any that was given. */
#include "coordination/state.h"
#include "protocol/jsonx.h"
#include <string.h>

#define PREFIX "h/"
#define READ_TIMEOUT 2.0
/* Readings come every second; after a longer gap this node was not served. */
#define UNSERVED_S 4.0
/* Who asks waits so long while the service only says that it is busy. */
#define BUSY_S 1.2
/* What is left of a reading's latency in the estimate after the next reading. */
#define LATENCY_KEPT 0.7

static void
applied_map (HrCore *c, const json_t *v, guint64 stamp)
{
  guint64 baton = 0;
  const char *o = hr_json_str (v, "o"), *inc = hr_json_str (v, "i");
  if (!o || !inc || !hr_json_count (v, "b", G_MAXINT64, &baton)) {
    g_warning ("the map in the state service makes no sense; left as it was");
    return;
  }
  c->map_stamp = stamp;
  c->baton = baton;
  g_free (c->map_owner);
  g_free (c->map_inc);
  c->map_owner = g_strdup (o);
  c->map_inc = g_strdup (inc);
}

static void
applied_leader (HrCore *c, const json_t *v, guint64 stamp)
{
  g_clear_pointer (&c->leader_label, g_free);
  g_clear_pointer (&c->leader_inc, g_free);
  c->leader_stamp = v ? stamp : 0;
  if (v) {
    c->leader_label = g_strdup (hr_json_str (v, "o"));
    c->leader_inc = g_strdup (hr_json_str (v, "i"));
  } else { /* jitter, so that the members do not all try in the same instant */
    c->elect_at = c->leads ? c->now : c->now + g_rand_double_range (c->rand, 0, 0.4);
    c->leaderless_at = c->now;
  }
}

/* Where tasks of the job were placed its image is cached, soon: whoever leads next knows
 * that only from here, since reports do not tell it. */
static void
note_images (HrCore *c, HrJob *j, guint32 from, guint32 n)
{
  for (guint32 i = from; i < MIN (from + n, j->ntasks); i++) {
    guint32 m = j->tasks[i].rmachine;
    if (m != HR_NONE && !j->tasks[i].rdone)
      hr_machine_touch_image (hr_machine_get (c, hr_intern_name (&c->machine_ids, m)),
                              j->spec.image);
  }
}

gboolean
hr_follow_job (HrCore *c, HrJob *j, const json_t *v, guint64 stamp)
{
  HrRecord r;
  if (j->known && stamp <= j->stamp)
    return TRUE; /* known already: our own write, or a change read twice */
  if (!hr_record_read (v, c->names, &r)) {
    g_warning ("%s: its record makes no sense", j->id);
    j->record_unreadable = TRUE;
    hr_record_clear (&r);
    return FALSE;
  }
  j->record_unreadable = FALSE;
  g_auto (GStrv) awaits = g_steal_pointer (&r.awaits);
  HrPage *p = j->pages;
  if (p && p->tag && g_str_equal (p->tag, r.tag)) {
    hr_record_clear (&r);
    hr_ledger_seen (c, j, p, stamp);
    return TRUE;
  }
  gboolean fresh = !j->known;
  j->known = TRUE;
  j->stamp = stamp;
  if (r.stance == HR_WITHDRAWN)
    hr_withdrawals_note (c, j, stamp);
  g_free (j->tag);
  j->tag = g_steal_pointer (&r.tag);
  if (r.tombstone) {
    j->stance = r.stance;
    j->told = FALSE;
    j->ntasks = r.ntasks;
    j->nrdone = r.ndone;
    j->shrunk = TRUE;
    if (r.withdrawn_with)
      j->withdrawn_with = hr_job_get (c, r.withdrawn_with);
    hr_garbage_job (c, j);
    if (!c->leads || !j->nlive)
      hr_job_shrink (j);
    hr_dependencies_final (c, j);
    return TRUE;
  }
  if (fresh || !j->tasks) {
    hr_job_set_spec (j, &r.spec, r.per_page);
    j->submitted = r.submitted;
    j->resplit = r.resplit && c->speaks;
  } else if (c->speaks && r.resplit && r.per_page != j->per_page)
    hr_split_apply (c, j, r.per_page, stamp);
  if (c->speaks) {
    json_decref (j->extra);
    j->extra = g_steal_pointer (&r.extra);
  }
  hr_record_clear (&r);
  /* The owner alone changes tasks; what others write leaves them as they were. */
  if (!r.per_page && r.tasks && (!c->leads || fresh)) {
    j->unreadable = !hr_record_tasks (j, 0, r.tasks, &c->machine_ids);
    if (j->unreadable)
      g_warning ("%s: the tasks in its record make no sense", j->id);
    note_images (c, j, 0, j->ntasks);
  }
  if (!r.per_page && j->pages)
    j->pages[0].stamp = stamp;
  /* A reading may be older than what a member told; a withdrawal is final all the same. */
  gboolean was_told = j->told;
  j->told = was_told && r.stance == HR_QUEUED;
  HrStance before = j->stance;
  j->stance = j->told ? HR_WITHDRAWN : r.stance; /* a derived withdrawal is derived again */
  hr_dependencies_read (c, j, (const char *const *)awaits);
  hr_job_open (c, j);
  gboolean withdrawn = r.stance == HR_WITHDRAWN || j->told;
  if (c->leads && withdrawn && (before != HR_WITHDRAWN || was_told))
    hr_job_withdrawn (c, j);
  c->plan_dirty = TRUE;
  return TRUE;
}

/* A page of a job that is final, or of a layout that is not, or no longer, in force. */
static void
applied_spare_page (HrCore *c, HrJob *j, guint per_page, guint page, const json_t *v, guint64 stamp)
{
  hr_garbage_gone (c, j, per_page, page);
  if (v && (j->shrunk || !per_page))
    hr_garbage_note (c, j, per_page, page);
  else if (!j->shrunk && per_page && j->tasks)
    hr_split_stage (j, per_page, page, v ? stamp : 0, v);
}

/* per_page: of a page under h/u; 0: one under h/t. */
static void
applied_page (HrCore *c, HrJob *j, guint per_page, guint64 n, const json_t *v, guint64 stamp)
{
  gboolean in_force = j->resplit ? per_page == j->per_page : per_page == 0;
  if (j->shrunk || (!in_force && c->speaks)) {
    applied_spare_page (c, j, per_page, n, v, stamp);
    return;
  }
  const char *tag = hr_json_str (v, "w");
  if (!v || !j->tasks || !j->per_page || n >= j->npages || stamp <= j->pages[n].stamp)
    return;
  HrPage *p = &j->pages[n];
  if (p->tag && tag && g_str_equal (p->tag, tag)) {
    hr_ledger_seen (c, j, p, stamp);
    return;
  }
  p->stamp = stamp;
  if (!c->leads) {
    /* Other pages may be unreadable too: once one was, the job counts as unreadable. */
    if (!hr_record_tasks (j, n * j->per_page, json_object_get (v, "x"), &c->machine_ids)) {
      j->unreadable = TRUE;
      g_warning ("%s: page %u of its record makes no sense", j->id, (guint)n);
    }
    note_images (c, j, n * j->per_page, j->per_page);
  }
}

/* "ID/PAGE", or "ID/SIZE/PAGE" of a page that carries its size. */
static void
applied_page_key (HrCore *c, const char *rest, gboolean sized, const json_t *v, guint64 stamp)
{
  g_auto (GStrv) parts = g_strsplit (rest, "/", -1);
  if (g_strv_length (parts) != (sized ? 3 : 2))
    return;
  HrJob *j = hr_job_find (c, parts[0]);
  guint64 per_page = sized ? g_ascii_strtoull (parts[1], NULL, 10) : 0;
  guint64 n = g_ascii_strtoull (parts[sized ? 2 : 1], NULL, 10);
  if (j && per_page <= HR_MAX_TASKS && n <= HR_MAX_TASKS && (!sized || per_page))
    applied_page (c, j, per_page, n, v, stamp);
}

static void
apply (HrCore *c, const char *key, const json_t *v, guint64 stamp)
{
  if (strcmp (key, "h/map") == 0) {
    if (v && stamp > c->map_stamp)
      applied_map (c, v, stamp);
  } else if (strcmp (key, "h/leader") == 0)
    applied_leader (c, v, stamp);
  else if (strcmp (key, "h/types") == 0) {
    c->types_stamp = v ? stamp : 0;
    if (v && !c->types)
      hr_types_load (c, v);
  } else if (g_str_has_prefix (key, "h/j/")) {
    if (v && hr_job_id_valid (key + 4))
      hr_follow_job (c, hr_job_get (c, key + 4), v, stamp);
  } else if (g_str_has_prefix (key, "h/t/"))
    applied_page_key (c, key + 4, FALSE, v, stamp);
  else if (c->speaks && g_str_has_prefix (key, "h/u/"))
    applied_page_key (c, key + 4, TRUE, v, stamp);
  else if (strcmp (key, "h/format") == 0)
    hr_format_read (c, v, stamp);
}

gboolean
hr_follow_served (const HrCore *c)
{
  return c->now - c->confirmed_at <= UNSERVED_S;
}

static void
store_answered (HrCore *c, gboolean ok)
{
  if (ok) {
    if (c->store_down)
      g_message ("the state service answers again");
    c->store_down = FALSE;
    c->store_fails = 0;
  } else if (++c->store_fails == 2) {
    c->store_down = TRUE;
    g_warning ("the state service does not answer this node");
  }
}

/* Applies the changes of a /changes answer, whose `after` was at most c->applied. */
static gboolean
apply_log (HrCore *c, const json_t *body)
{
  guint64 epoch;
  json_t *log = json_object_get (body, "log"), *e;
  size_t i;
  if (!hr_json_count (body, "epoch", G_MAXINT64, &epoch))
    return FALSE;
  guint64 from = c->applied;
  json_array_foreach (log, i, e)
  {
    const char *set = hr_json_str (e, "set"), *del = hr_json_str (e, "delete");
    guint64 stamp;
    if ((!set && !del) || !hr_json_count (e, "stamp", G_MAXINT64, &stamp)) {
      g_info ("a change that makes no sense was dropped");
      continue;
    }
    if (stamp <= from)
      continue; /* the watch and a reading overlap: each change counts once */
    apply (c, set ? set : del, set ? json_object_get (e, "value") : NULL, stamp);
    epoch = MAX (epoch, stamp);
  }
  c->applied = MAX (c->applied, epoch);
  hr_leader_map_read (c);
  return TRUE;
}

static void on_page (HrCore *c, int status, json_t *body, double sent, gpointer data);

static void
ask_page (HrCore *c)
{
  char *path = c->sync_after
                   ? g_strdup_printf ("/kv?starts=" PREFIX "&after=%s&limit=1000", c->sync_after)
                   : g_strdup ("/kv?starts=" PREFIX "&limit=1000");
  hr_call (c, HR_TO_STORE, NULL, HR_GET, path, NULL, 5, on_page, GUINT_TO_POINTER (c->sync_gen));
}

static void
on_page (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  guint64 epoch;
  gboolean more = FALSE;
  if (GPOINTER_TO_UINT (data) != c->sync_gen)
    return;
  if (status != 200 || !hr_json_count (body, "epoch", G_MAXINT64, &epoch)) {
    store_answered (c, FALSE);
    c->sync = HR_SYNC_NONE;
    c->sync_retry_at = c->now + g_rand_double_range (c->rand, 0.2, 0.6);
    return;
  }
  store_answered (c, TRUE);
  if (!c->sync_after)
    c->sync_base = epoch; /* changes after the first page's epoch are read again, in order */
  json_t *rows = json_object_get (body, "rows"), *e;
  size_t i;
  json_array_foreach (rows, i, e)
  {
    const char *path = hr_json_str (e, "path");
    guint64 stamp;
    if (!path || !hr_json_count (e, "stamp", G_MAXINT64, &stamp))
      continue;
    apply (c, path, json_object_get (e, "value"), stamp);
    g_free (c->sync_after);
    c->sync_after = g_strdup (path);
  }
  hr_json_bool (body, "more", &more);
  if (more && json_array_size (rows)) {
    ask_page (c);
    return;
  }
  c->sync = HR_SYNC_FOLLOWING;
  c->applied = c->sync_base;
  c->watch_not_before = 0;
  c->read_sent = 0;
  g_message ("read the ledger: %u jobs, epoch %" G_GUINT64_FORMAT, c->jobs->len, c->applied);
}

/* Begins again from a full reading; what was known of final jobs stays. */
void
hr_follow_reset (HrCore *c)
{
  c->sync = HR_SYNC_NONE;
  c->sync_gen++;
  c->sync_retry_at = 0;
}

static void
start_sync (HrCore *c)
{
  /* Rows of jobs not final are read anew: an owner's view goes beyond the record. */
  for (guint i = 0; i < c->jobs->len; i++) {
    HrJob *j = c->jobs->pdata[i];
    if (j->known && j->tasks && !j->shrunk) {
      hr_job_shrink (j);
      j->stamp = 0;
      j->nlive = j->nrdone = j->ndone = 0;
      j->known = j->stance != HR_QUEUED; /* a final answer, once given, stays */
      j->listed = FALSE;
    }
  }
  g_array_set_size (c->open, 0);
  hr_split_reset (c);
  c->map_stamp = c->leader_stamp = c->format_stamp = 0;
  g_array_set_size (c->tombstones, 0);
  g_clear_pointer (&c->leader_label, g_free);
  g_clear_pointer (&c->leader_inc, g_free);
  g_clear_pointer (&c->sync_after, g_free);
  c->sync = HR_SYNC_READING;
  c->sync_gen++;
  c->watching = c->reading = FALSE;
  ask_page (c);
}

static void
release_waiters (HrCore *c, GArray *list, gboolean ok)
{
  g_autoptr (GArray) now = g_array_copy (list);
  g_array_set_size (list, 0);
  for (guint i = 0; i < now->len; i++) {
    HrWaiter *w = &g_array_index (now, HrWaiter, i);
    w->fn (c, ok, w->data);
  }
}

static void
on_read (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != c->sync_gen)
    return;
  c->reading = FALSE;
  gboolean ok = status == 200 && apply_log (c, body);
  /* 429 says that the service is there, only busy. */
  store_answered (c, ok || status == 429 || status == 410);
  if (ok) {
    hr_histogram_add (&c->reading_latency, c->now - sent);
    if (sent - c->confirmed_at > UNSERVED_S)
      c->served_since = c->now;
    c->confirmed_at = MAX (c->confirmed_at, sent);
    c->store_latency = MAX (c->now - sent, LATENCY_KEPT * c->store_latency);
    c->synced_once = TRUE;
  }
  if (status == 410)
    hr_leader_begin_anew (c, "the changes since the last reading are gone");
  if (status == 429) { /* there are too many of us just now: the next reading serves them */
    for (guint i = 0; i < c->waiters_now->len; i++) {
      HrWaiter *w = &g_array_index (c->waiters_now, HrWaiter, i);
      if (c->now - w->since < BUSY_S) {
        g_array_append_val (c->waiters, *w);
        g_array_remove_index (c->waiters_now, i--);
      }
    }
  }
  release_waiters (c, c->waiters_now, ok);
}

static void
on_watch (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  if (GPOINTER_TO_UINT (data) != c->sync_gen)
    return;
  c->watching = FALSE;
  /* Each change ends the watches of all members: opened again at once, they alone would
   * use up the service's requests. A quarter of those is theirs. */
  c->watch_not_before = c->now + 4.0 * (c->set->members->len + 1) / c->limits.rps;
  if (status == 200)
    apply_log (c, body);
  else
    c->watch_not_before = c->now + g_rand_double_range (c->rand, 0.3, 0.7);
}

void
hr_follow_read (HrCore *c, HrReadFn fn, gpointer data)
{
  HrWaiter w = {fn, data, c->now};
  if (c->sync != HR_SYNC_FOLLOWING || c->store_down) {
    fn (c, FALSE, data); /* no reading is to be had now: say so at once */
    return;
  }
  g_array_append_val (c->waiters, w);
}

void
hr_follow_tick (HrCore *c)
{
  if (c->sync == HR_SYNC_NONE) {
    release_waiters (c, c->waiters_now, FALSE);
    release_waiters (c, c->waiters, FALSE);
    if (c->now >= c->sync_retry_at)
      start_sync (c);
  }
  if (c->sync != HR_SYNC_FOLLOWING)
    return;
  /* All members together take half of the service's allowance for readings. */
  double gap = c->waiters->len ? 2.0 * (c->set->members->len + 1) / c->limits.rps
               : c->store_down ? 0.5
                               : 1.0;
  if (!c->reading && c->now - c->read_sent >= gap) {
    GArray *t = c->waiters_now;
    c->waiters_now = c->waiters;
    c->waiters = t;
    c->reading = TRUE;
    c->read_sent = c->now;
    hr_call (c, HR_TO_STORE, NULL, HR_GET,
             g_strdup_printf ("/changes?starts=" PREFIX "&after=%" G_GUINT64_FORMAT "&hold_ms=0",
                              c->applied),
             NULL, READ_TIMEOUT, on_read, GUINT_TO_POINTER (c->sync_gen));
  }
  if (!c->watching && c->now >= c->watch_not_before) {
    c->watching = TRUE;
    hr_call (c, HR_TO_STORE, NULL, HR_GET,
             g_strdup_printf ("/changes?starts=" PREFIX "&after=%" G_GUINT64_FORMAT
                              "&hold_ms=10000",
                              c->applied),
             NULL, 14, on_watch, GUINT_TO_POINTER (c->sync_gen));
  }
}
