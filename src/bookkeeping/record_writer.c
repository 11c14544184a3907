/* Writing the ledger. One write at a time per record; every write by the owner
 * holds on the record's stamp and on the map's, which fences old owners. */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

#define WRITE_TIMEOUT_S 2.0
/* What the state service refuses is held back so long, then twice as long each time. */
#define BACK_OFF_S 0.5
#define MAX_BACK_OFF_S 8.0

typedef struct {
  guint32 job, page;
  guint replica_generation;
  char *tag;
  json_t *conditions, *writes;
  HrTransactionKind kind;
  gsize bytes; /* of the value */
} Write;

static void send_write (HrCore *c, Write *w);

static void
write_free (Write *w)
{
  g_free (w->tag);
  json_decref (w->conditions);
  json_decref (w->writes);
  g_free (w);
}

/* The page of a write that is still under way, or NULL when it was overtaken. */
static HrRecordPage *
page_under_write (HrCore *c, Write *w)
{
  HrJob *j = c->store.tables.jobs->pdata[w->job];
  if (w->replica_generation != c->store.replica.generation || w->page >= j->record.n_pages ||
      g_strcmp0 (j->record.pages[w->page].write_tag, w->tag))
    return NULL;
  return &j->record.pages[w->page];
}

static void
page_range (const HrJob *j, const HrRecordPage *p, guint32 *from, guint32 *to)
{
  guint n = p - j->record.pages;
  *from = j->record.tasks_per_page ? n * j->record.tasks_per_page : 0;
  *to = j->record.tasks_per_page ? MIN (*from + j->record.tasks_per_page, j->n_tasks) : j->n_tasks;
}

static void
mark_page (HrCore *c, HrJob *j, HrRecordPage *p)
{
  if (p->is_dirty)
    return;
  p->is_dirty = TRUE;
  HrDirtyPage d = {j->index, p - j->record.pages};
  g_array_append_val (c->store.writer.dirty_pages, d);
}

void
hr_record_writer_mark (HrCore *c, HrJob *j, guint32 task)
{
  if (j->record.pages)
    mark_page (c, j, hr_job_page (j, task));
}

/* Our write of this page is in the ledger, at this stamp. */
void
hr_record_writer_confirmed (HrCore *c, HrJob *j, HrRecordPage *p, guint64 revision)
{
  guint32 from, to;
  page_range (j, p, &from, &to);
  gboolean final = p->write_is_final;
  j->record.next_write_at = j->record.back_off_s = 0;
  p->revision = revision;
  p->write_is_final = FALSE;
  if (!j->record.tasks_per_page || final) {
    j->record.revision = revision;
    g_free (j->record.tag);
    j->record.tag = g_strdup (p->write_tag);
  }
  g_clear_pointer (&p->write_tag, g_free);
  for (guint32 i = from; i < to; i++) {
    HrTask *t = &j->tasks[i];
    if (!t->write_in_flight)
      continue;
    t->write_in_flight = 0;
    if (t->state == HR_TASK_ASSIGNING) {
      t->recorded.machine = t->placement.machine;
      t->recorded.incarnation = t->placement.incarnation;
      t->recorded.attempt = t->placement.attempt;
      hr_task_bound (c, j, i);
    } else if (t->state == HR_TASK_DONE && !t->done_recorded) {
      t->done_recorded = 1;
      j->n_recorded_done++;
    }
  }
  if (final) {
    if (j->state == HR_JOB_QUEUED) {
      j->state = HR_JOB_DONE;
      g_info ("%s is done", j->id);
    }
    j->record.is_compacted = TRUE;
    hr_garbage_add_job (c, j);
    hr_job_compact (j);
    hr_dependencies_job_final (c, j);
  } else if (j->state == HR_JOB_QUEUED && j->n_recorded_done == j->n_tasks)
    mark_page (c, j, j->record.pages);
  c->scheduling.plan_is_stale = TRUE;
}

/* What was under way did not happen. */
static void
write_failed (HrCore *c, HrJob *j, HrRecordPage *p)
{
  guint32 from, to;
  page_range (j, p, &from, &to);
  g_clear_pointer (&p->write_tag, g_free);
  p->write_is_final = FALSE;
  for (guint32 i = from; i < to; i++) {
    HrTask *t = &j->tasks[i];
    if (!t->write_in_flight)
      continue;
    t->write_in_flight = 0;
    if (t->state == HR_TASK_ASSIGNING && j->state != HR_JOB_QUEUED)
      hr_task_unassign (c, j, i);
  }
  mark_page (c, j, p); /* what is still meant is written anew */
}

void
hr_record_writer_back_off (HrCore *c, HrJob *j)
{
  j->record.back_off_s = CLAMP (2 * j->record.back_off_s, BACK_OFF_S, MAX_BACK_OFF_S);
  j->record.next_write_at = c->now + j->record.back_off_s;
}

/* What was to be written is larger than the state service takes: it is not sent. Endings wait
 * for the split; assignments wait too, or are given up where none is possible yet. */
static void
handle_oversized (HrCore *c, HrJob *j, HrRecordPage *p, guint32 from, guint32 to)
{
  gboolean split = hr_record_split_is_possible (c, j);
  for (guint32 i = from; i < to; i++) {
    j->tasks[i].write_in_flight = 0;
    if (!split && j->tasks[i].state == HR_TASK_ASSIGNING)
      hr_task_unassign (c, j, i);
  }
  if (split) {
    hr_record_split_request (c, j, FALSE);
    return; /* the split marks what is still meant */
  }
  if (!j->record.back_off_s)
    g_warning ("%s: its record is too large, and not every member is known to read a split one",
               j->id);
  hr_record_writer_back_off (c, j);
  j->run.retry_at = MAX (j->run.retry_at, j->record.next_write_at);
  mark_page (c, j, p);
}

/* Tombstones are small: they never wait. */
static gboolean
is_backing_off (const HrCore *c, const HrJob *j)
{
  if (c->now >= j->record.next_write_at)
    return FALSE;
  return j->state == HR_JOB_QUEUED ? j->n_done < j->n_tasks : j->run.n_live > 0;
}

static void
on_record_reread (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  Write *w = data;
  HrRecordPage *p = page_under_write (c, w);
  HrJob *j = c->store.tables.jobs->pdata[w->job];
  guint64 revision = 0;
  if (p && status != 200 && status != 404) {
    send_write (c, w); /* still unknown: the same write again, it holds on the same stamps */
    return;
  }
  if (p) {
    const json_t *v = json_object_get (body, "value");
    const char *tag = hr_json_str (v, "w");
    hr_json_count (body, "stamp", G_MAXINT64, &revision);
    if (tag && g_str_equal (tag, w->tag))
      hr_record_writer_confirmed (c, j, p, revision);
    else {
      if (!j->record.tasks_per_page || p->write_is_final) {
        if (v)
          hr_replica_apply_job (c, j, v, revision);
      } else if (revision > p->revision)
        p->revision = revision;
      if (page_under_write (c, w))
        write_failed (c, j, p);
    }
  }
  write_free (w);
}

static void
reread_record (HrCore *c, Write *w)
{
  HrJob *j = c->store.tables.jobs->pdata[w->job];
  gboolean main = !j->record.tasks_per_page || j->record.pages[w->page].write_is_final;
  g_autofree char *key = main ? hr_job_record_key (j) : hr_record_page_key (j, w->page);
  hr_core_call (c, HR_TO_STORE, NULL, HR_GET, g_strconcat ("/kv/", key, NULL), NULL,
                WRITE_TIMEOUT_S, on_record_reread, w);
}

static void
on_replica_fresh (HrCore *c, gboolean ok, gpointer data)
{
  Write *w = data;
  if (page_under_write (c, w))
    reread_record (c, w);
  else
    write_free (w);
}

static void
on_written (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  Write *w = data;
  HrRecordPage *p = page_under_write (c, w);
  guint64 store_revision;
  if (!p) {
    write_free (w);
    return;
  }
  if (status == 200 && hr_json_count (body, "epoch", G_MAXINT64, &store_revision)) {
    hr_record_writer_confirmed (c, c->store.tables.jobs->pdata[w->job], p, store_revision);
    write_free (w);
  } else if (status == 409) {
    /* A 409 may come from our own earlier try whose answer was lost: the record
     * tells. The map may have moved too: read on before judging. */
    hr_replica_read (c, on_replica_fresh, w);
  } else if (status == 400) {
    g_warning ("%s: the state service refuses the record: %s",
               ((HrJob *)c->store.tables.jobs->pdata[w->job])->id, hr_json_str (body, "error"));
    if (c->store.format.supported) {
      c->store.format.planned_limits_in_force |= w->bytes > hr_record_layout_planned_bytes (c);
      hr_record_writer_back_off (c, c->store.tables.jobs->pdata[w->job]);
    }
    write_failed (c, c->store.tables.jobs->pdata[w->job], p);
    write_free (w);
  } else
    send_write (c, w); /* unknown, or not carried out: the same write again */
}

static void
send_write (HrCore *c, Write *w)
{
  hr_transaction_submit (c, w->kind, json_incref (w->conditions), json_incref (w->writes), 1,
                         WRITE_TIMEOUT_S, on_written, w);
}

static void
write_page (HrCore *c, HrJob *j, HrRecordPage *p)
{
  guint32 from, to;
  guint n = p - j->record.pages;
  gboolean launch = FALSE, change = FALSE;
  if (j->cancellation.told_by_peer)
    return; /* its record has changed, and is read before it is written again */
  page_range (j, p, &from, &to);
  for (guint32 i = from; i < to; i++) {
    HrTask *t = &j->tasks[i];
    /* A job that waits for others has no task: the last guard, here and before launches. */
    gboolean assign = t->state == HR_TASK_ASSIGNING && j->state == HR_JOB_QUEUED &&
                      !hr_job_has_unfinished_dependencies (j);
    t->write_in_flight = assign || (t->state == HR_TASK_DONE && !t->done_recorded);
    launch |= assign;
    change |= t->write_in_flight;
  }
  /* The last ending and the tombstone are one write where the tasks stand inline. */
  gboolean done = j->state == HR_JOB_QUEUED &&
                  (j->record.tasks_per_page ? j->n_recorded_done : j->n_done) == j->n_tasks &&
                  (!j->record.tasks_per_page || n == 0);
  gboolean gone =
      j->state != HR_JOB_QUEUED && j->run.n_live == 0 && !j->record.is_compacted && n == 0;
  if (!change && !done && !gone)
    return;
  g_autofree char *tag = hr_core_new_tag (c);
  char *text = done || gone ? hr_record_tombstone (j, done ? HR_JOB_DONE : j->state, tag)
               : !j->record.tasks_per_page
                   ? hr_record_main (j, c->names, &c->store.tables.machine_ids, j->state, tag, TRUE)
                   : hr_record_page (j, n, &c->store.tables.machine_ids, tag, TRUE);
  gsize bytes = strlen (text);
  if (bytes > hr_record_layout_max_bytes (c) && !done && !gone) {
    g_free (text);
    handle_oversized (c, j, p, from, to);
    return;
  }
  Write *w = g_new0 (Write, 1);
  w->job = j->index;
  w->page = n;
  w->replica_generation = c->store.replica.generation;
  w->bytes = bytes;
  w->tag = g_steal_pointer (&tag);
  w->conditions = json_array ();
  w->writes = json_array ();
  /* Those that await the job start once its end is recorded. */
  gboolean awaited =
      j->dependencies.dependents && j->state == HR_JOB_QUEUED && j->n_done == j->n_tasks;
  w->kind = launch || awaited ? HR_TRANSACTION_LAUNCH : HR_TRANSACTION_BOOKKEEPING;
  p->write_tag = g_strdup (w->tag);
  p->write_is_final = done || gone;
  g_autofree char *key = hr_job_record_key (j);
  hr_transaction_require (w->conditions, "h/map", c->leadership.record_revision);
  hr_transaction_require (w->conditions, key, j->record.revision);
  if (p->write_is_final || !j->record.tasks_per_page)
    hr_transaction_put (w->writes, key, text, 0);
  else {
    g_autofree char *pkey = hr_record_page_key (j, n);
    hr_transaction_require (w->conditions, pkey, p->revision);
    hr_transaction_put (w->writes, pkey, text, 0);
  }
  send_write (c, w);
}

void
hr_record_writer_tick (HrCore *c)
{
  if (c->leadership.is_leader && c->store.writer.dirty_pages->len &&
      !c->leadership.token_raise_in_flight) {
    g_autoptr (GArray) list = c->store.writer.dirty_pages;
    c->store.writer.dirty_pages = g_array_new (FALSE, TRUE, sizeof (HrDirtyPage));
    for (guint i = 0; i < list->len; i++) {
      HrDirtyPage *d = &g_array_index (list, HrDirtyPage, i);
      HrJob *j = c->store.tables.jobs->pdata[d->job];
      if (d->page >= j->record.n_pages)
        continue;
      HrRecordPage *p = &j->record.pages[d->page];
      if (p->write_tag || j->record.split_in_flight ||
          is_backing_off (c, j)) { /* one write at a time */
        g_array_append_val (c->store.writer.dirty_pages, *d);
        continue;
      }
      p->is_dirty = FALSE;
      write_page (c, j, p);
    }
  }
  if (c->leadership.is_leader && !c->leadership.token_raise_in_flight &&
      c->store.replica.state == HR_REPLICA_FOLLOWING)
    hr_record_split_tick (c);
  if (!c->store.replica.is_unavailable || c->now - c->store.transactions.paused_until > 0.5) {
    if (c->store.replica.is_unavailable)
      c->store.transactions.paused_until = c->now; /* an outage: try on, but gently */
    hr_transactions_send (c);
  }
}
