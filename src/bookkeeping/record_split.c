/* Splitting records that have become too large for the state service's limits.
 *
 * The pages of the new size are written first, under keys of their own; nobody reads them as
 * facts while the main record names the earlier layout. Each such write holds on the map, on
 * the main record's stamp and on what is known of the page. Last the main record names the new
 * layout, on the same conditions. So every step leaves a record with the same facts, and a
 * change by another node, or another leader, makes the rest of the steps fail
 * (docs/upgrades.md). Where it fits, all of this is one transaction. */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

#define SPLIT_TIMEOUT_S 2.0
#define SPLITS_AT_ONCE 4
/* Transactions may hold 64 KiB; the conditions and names take some of it. */
#define MAX_TRANSACTION_BYTES ((gsize)40 * 1024)
#define MAX_ATTEMPTS 4
/* Of the write allowance, left to others by splits that nobody waits for. */
#define PROACTIVE_KEEP 0.4
#define SCANNED_AT_ONCE 8

typedef struct {
  guint32 job;
  guint replica_generation;
  guint64 base_revision; /* stamp of the main record whose facts are being written */
  guint tasks_per_page, n_pages;
  guint first_page, end_page;  /* pages of the step under way */
  gboolean writes_main_record; /* and the main record */
  guint attempts;
  char *tag;
  json_t *conditions, *writes;
} Split;

static void next_step (HrCore *c, Split *s);

gboolean
hr_record_split_is_possible (const HrCore *c, const HrJob *j)
{
  return c->store.format.supported && c->store.format.agreed && c->leadership.is_leader &&
         j->tasks && !j->record.is_compacted && !j->record.tasks_unreadable &&
         j->record.tasks_per_page != 1 && j->n_tasks > 1;
}

/* ---- pages that no main record names ---- */

HrStagedPage *
hr_record_split_staged_page (HrJob *j, guint tasks_per_page, guint page)
{
  for (guint i = 0; j->record.staged_pages && i < j->record.staged_pages->len; i++) {
    HrStagedPage *p = &g_array_index (j->record.staged_pages, HrStagedPage, i);
    if (p->tasks_per_page == tasks_per_page && p->page == page)
      return p;
  }
  return NULL;
}

void
hr_record_split_stage_page (HrJob *j, guint tasks_per_page, guint page, guint64 revision,
                            const json_t *value)
{
  HrStagedPage *p = hr_record_split_staged_page (j, tasks_per_page, page);
  if (p && revision && revision < p->revision)
    return;
  if (!p) {
    if (!revision)
      return;
    if (!j->record.staged_pages)
      j->record.staged_pages = g_array_new (FALSE, TRUE, sizeof (HrStagedPage));
    g_array_set_size (j->record.staged_pages, j->record.staged_pages->len + 1);
    p = &g_array_index (j->record.staged_pages, HrStagedPage, j->record.staged_pages->len - 1);
    p->tasks_per_page = tasks_per_page;
    p->page = page;
  }
  p->revision = revision; /* 0: it was deleted */
  json_decref (p->value);
  p->value = revision && value ? json_incref ((json_t *)value) : NULL;
}

/* The main record at `stamp` names pages of another size. They hold the facts of the record
 * before it, whatever we have in memory of that: a reading of the whole ledger may have come
 * between. A page that has changed since comes again in the changes that are read next. */
void
hr_record_split_apply (HrCore *c, HrJob *j, guint tasks_per_page, guint64 revision)
{
  g_autoptr (GArray) staged = g_steal_pointer (&j->record.staged_pages);
  hr_garbage_add_job (c, j);
  for (guint i = 0; i < j->record.n_pages; i++)
    g_free (j->record.pages[i].write_tag);
  g_free (j->record.pages);
  j->record.tasks_per_page = tasks_per_page;
  j->record.sized_page_keys = TRUE;
  j->record.n_pages = (j->n_tasks + tasks_per_page - 1) / tasks_per_page;
  j->record.pages = g_new0 (HrRecordPage, j->record.n_pages);
  for (guint32 i = 0; i < j->n_tasks; i++)
    j->tasks[i].write_in_flight = 0; /* the write that it was part of held on the earlier record */
  for (guint i = 0; staged && i < staged->len; i++) {
    HrStagedPage *p = &g_array_index (staged, HrStagedPage, i);
    if (p->tasks_per_page != tasks_per_page && p->revision)
      hr_garbage_add_page (c, j, p->tasks_per_page, p->page);
    else if (p->page < j->record.n_pages && p->revision <= revision) {
      j->record.pages[p->page].revision = p->revision;
      if (!c->leadership.is_leader && p->value &&
          !hr_record_tasks (j, p->page * tasks_per_page, json_object_get (p->value, "x"),
                            &c->store.tables.machine_ids))
        j->record.tasks_unreadable = TRUE;
    }
    json_decref (p->value);
  }
  c->scheduling.plan_is_stale = TRUE;
}

/* ---- the owner's splits ---- */

static void
step_clear (Split *s)
{
  g_clear_pointer (&s->conditions, json_decref);
  g_clear_pointer (&s->writes, json_decref);
}

static void
split_free (Split *s)
{
  step_clear (s);
  g_free (s->tag);
  g_free (s);
}

/* What waited for the split is looked at again. */
static void
end (HrCore *c, Split *s)
{
  HrJob *j = c->store.tables.jobs->pdata[s->job];
  if (s->replica_generation == c->store.replica.generation) {
    c->store.splitter.in_flight--;
    j->record.split_in_flight = FALSE;
    for (guint i = 0; j->tasks && i < j->record.n_pages; i++)
      hr_record_writer_mark (c, j, i * j->record.tasks_per_page);
  }
  split_free (s);
}

static void
give_up (HrCore *c, Split *s, const char *why)
{
  HrJob *j = c->store.tables.jobs->pdata[s->job];
  g_warning ("%s: its record is not split yet: %s", j->id, why);
  hr_record_writer_back_off (c, j);
  end (c, s);
}

static void
begin (HrCore *c, Split *s)
{
  HrJob *j = c->store.tables.jobs->pdata[s->job];
  if (!hr_record_split_is_possible (c, j)) {
    end (c, s);
    return;
  }
  if (++s->attempts > MAX_ATTEMPTS) {
    give_up (c, s, "it changes again and again");
    return;
  }
  s->base_revision = j->record.revision;
  s->tasks_per_page = hr_record_layout_smaller (c, j);
  s->n_pages = (j->n_tasks + s->tasks_per_page - 1) / s->tasks_per_page;
  s->first_page = s->end_page = 0;
  next_step (c, s);
}

static void
on_replica_fresh (HrCore *c, gboolean ok, gpointer data)
{
  Split *s = data;
  if (s->replica_generation != c->store.replica.generation) {
    split_free (s);
    return;
  }
  HrJob *j = c->store.tables.jobs->pdata[s->job];
  if (j->record.sized_page_keys && j->record.tasks_per_page == s->tasks_per_page)
    end (c, s); /* it was carried out; the answer was lost */
  else
    begin (c, s);
}

static void send_step (HrCore *c, Split *s);

static void
on_step (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  Split *s = data;
  HrJob *j = c->store.tables.jobs->pdata[s->job];
  guint64 store_revision;
  if (s->replica_generation != c->store.replica.generation || !j->tasks) {
    split_free (s);
    return;
  }
  if (status == 200 && hr_json_count (body, "epoch", G_MAXINT64, &store_revision)) {
    gboolean known = j->record.sized_page_keys && j->record.tasks_per_page == s->tasks_per_page;
    for (guint i = s->first_page; i < s->end_page && !known; i++)
      hr_record_split_stage_page (j, s->tasks_per_page, i, store_revision, NULL);
    if (!s->writes_main_record) {
      next_step (c, s);
      return;
    }
    if (!known) { /* else the changes told it before the answer came */
      j->record.revision = store_revision;
      g_free (j->record.tag);
      j->record.tag = g_strdup (s->tag);
      hr_record_split_apply (c, j, s->tasks_per_page, store_revision);
    }
    g_info ("%s: its record is split into %u pages", j->id, j->record.n_pages);
    j->record.next_write_at = j->record.back_off_s = 0;
    end (c, s);
  } else if (status == 409)
    hr_replica_read (c, on_replica_fresh, s);
  else if (status == 400)
    give_up (c, s, hr_json_str (body, "error"));
  else
    send_step (c, s); /* unknown, or not carried out: the same again, on the same stamps */
}

static void
send_step (HrCore *c, Split *s)
{
  hr_transaction_submit (
      c, HR_TRANSACTION_LAUNCH, json_incref (s->conditions), json_incref (s->writes),
      s->end_page - s->first_page + s->writes_main_record, SPLIT_TIMEOUT_S, on_step, s);
}

static void
add_page (HrCore *c, Split *s, HrJob *j, char *text)
{
  g_autofree char *key = hr_record_page_key_of (j, s->tasks_per_page, s->end_page);
  const HrStagedPage *known = hr_record_split_staged_page (j, s->tasks_per_page, s->end_page);
  hr_transaction_require (s->conditions, key, known ? known->revision : 0);
  hr_transaction_put (s->writes, key, text, 0);
  s->end_page++;
}

static void
add_main (HrCore *c, Split *s, HrJob *j)
{
  HrJob after = *j;
  after.record.tasks_per_page = s->tasks_per_page;
  after.record.sized_page_keys = TRUE;
  g_autofree char *key = hr_job_record_key (j);
  hr_transaction_put (
      s->writes, key,
      hr_record_main (&after, c->names, &c->store.tables.machine_ids, j->state, s->tag, FALSE), 0);
  s->writes_main_record = TRUE;
}

static void
next_step (HrCore *c, Split *s)
{
  HrJob *j = c->store.tables.jobs->pdata[s->job];
  gsize bytes = 0;
  /* A step must fit into what the write allowance can save up. */
  guint ops =
      MAX (1, MIN (c->store.limits.txn_ops, (guint)(c->store.transactions.allowance.burst / 2)));
  step_clear (s);
  g_free (s->tag);
  s->tag = hr_core_new_tag (c);
  s->conditions = json_array ();
  s->writes = json_array ();
  s->first_page = s->end_page;
  s->writes_main_record = FALSE; /* an earlier attempt may have come to its last step */
  g_autofree char *key = hr_job_record_key (j);
  hr_transaction_require (s->conditions, "h/map", c->leadership.record_revision);
  hr_transaction_require (s->conditions, key, s->base_revision);
  while (s->end_page < s->n_pages && s->end_page - s->first_page < ops) {
    char *text = hr_record_page_of (j, s->end_page * s->tasks_per_page, s->tasks_per_page,
                                    &c->store.tables.machine_ids, s->tag, FALSE);
    bytes += strlen (text);
    if (bytes > MAX_TRANSACTION_BYTES && s->end_page > s->first_page) {
      g_free (text);
      break;
    }
    add_page (c, s, j, text);
  }
  if (s->end_page == s->n_pages && s->end_page - s->first_page < ops)
    add_main (c, s, j);
  send_step (c, s);
}

static gboolean
writing (const HrJob *j)
{
  for (guint i = 0; i < j->record.n_pages; i++)
    if (j->record.pages[i].write_tag)
      return TRUE;
  return FALSE;
}

void
hr_record_split_request (HrCore *c, HrJob *j, gboolean urgent)
{
  if (j->record.split_in_flight)
    return;
  if (j->record.split_wanted && urgent)
    for (guint i = 0; i < c->store.splitter.queue->len; i++)
      if (g_array_index (c->store.splitter.queue, guint32, i) == j->index)
        g_array_remove_index (c->store.splitter.queue, i--);
  if (urgent)
    g_array_prepend_val (c->store.splitter.queue, j->index);
  else if (!j->record.split_wanted)
    g_array_append_val (c->store.splitter.queue, j->index);
  j->record.split_wanted = TRUE;
}

void
hr_record_split_rescan (HrCore *c)
{
  c->store.splitter.next_scanned = 0;
}

void
hr_record_split_reset (HrCore *c)
{
  c->store.splitter.in_flight = 0;
  g_array_set_size (c->store.splitter.queue, 0);
}

/* Records that are too large already are split ahead of their next write, a few at a time. */
void
hr_record_split_scan (HrCore *c)
{
  if (!c->store.format.supported || !c->store.format.agreed || !c->leadership.is_leader ||
      c->store.transactions.allowance.tokens <
          PROACTIVE_KEEP * c->store.transactions.allowance.burst)
    return;
  for (guint n = 0;
       n < SCANNED_AT_ONCE && c->store.splitter.next_scanned < c->store.tables.open_jobs->len;
       n++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32,
                                                          c->store.splitter.next_scanned++)];
    if (hr_record_split_is_possible (c, j) && !j->record.split_wanted &&
        hr_record_layout_is_oversized (c, j))
      hr_record_split_request (c, j, FALSE);
  }
}

void
hr_record_split_tick (HrCore *c)
{
  for (guint i = 0;
       i < c->store.splitter.queue->len && c->store.splitter.in_flight < SPLITS_AT_ONCE; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.splitter.queue, guint32, i)];
    if (j->tasks && !j->record.is_compacted && (writing (j) || c->now < j->record.next_write_at))
      continue; /* one write at a time; after a failure, later */
    g_array_remove_index (c->store.splitter.queue, i--);
    j->record.split_wanted = FALSE;
    if (!hr_record_split_is_possible (c, j)) {
      for (guint p = 0; j->tasks && p < j->record.n_pages; p++)
        hr_record_writer_mark (c, j, p * j->record.tasks_per_page); /* what waited for it */
      continue;
    }
    Split *s = g_new0 (Split, 1);
    s->job = j->index;
    s->replica_generation = c->store.replica.generation;
    c->store.splitter.in_flight++;
    j->record.split_in_flight = TRUE;
    begin (c, s);
  }
}
