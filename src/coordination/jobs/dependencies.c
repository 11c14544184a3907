/* Jobs that await others. A job is withdrawn when its record says so, or when one that it
 * awaits is: that is derived here from the ledger as followed, at every node alike, and rests on
 * no further write. Tombstones are kept for ever, so what was derived once is derived again.
 *
 * Edges are kept both ways. A record may be read before those of the jobs that it names; their
 * rows are unknown until then, and an unknown job counts as not done.
 *
 * No recursion: chains may be hundreds of jobs long, and thousands may await one. */
#include "coordination/state.h"

/* Awaited jobs that a reason names; of the others it says how many. */
#define NAMED_IN_REASON 3
/* Tombstones of derived withdrawals that are begun in one tick. */
#define TOMBSTONES_A_TICK 2

/* As the ledger says: what a member told us of a job is not told on to those that await it. */
static gboolean
is_final (const HrJob *j)
{
  return j->is_known && j->state != HR_JOB_QUEUED && !j->cancellation.told_by_peer;
}

static void
name_awaited (HrCore *c, HrJob *j, const char *const *ids)
{
  guint n = ids ? g_strv_length ((GStrv)ids) : 0;
  if (j->dependencies.n_awaited || !n)
    return; /* what a job awaits never changes */
  j->dependencies.awaited = g_new0 (HrJob *, n);
  for (guint i = 0; i < n; i++) {
    HrJob *awaited = hr_job_get (c, ids[i]);
    j->dependencies.awaited[i] = awaited;
    if (is_final (awaited))
      continue;
    if (!awaited->dependencies.dependents)
      awaited->dependencies.dependents = g_ptr_array_new ();
    g_ptr_array_add (awaited->dependencies.dependents, j);
  }
  j->dependencies.n_awaited = n;
}

/* The cancelled job that takes this one along, or NULL. */
static HrJob *
cancelled_before (const HrJob *j)
{
  for (guint i = 0; i < j->dependencies.n_awaited; i++) {
    HrJob *awaited = j->dependencies.awaited[i];
    if (is_final (awaited) && awaited->state == HR_JOB_CANCELLED)
      return awaited->cancellation.root ? awaited->cancellation.root : awaited;
  }
  return NULL;
}

/* Its record is to become a tombstone, when the allowance for changes has nothing else to do. */
static void
note_for_tombstone (HrCore *c, const HrJob *j)
{
  g_array_append_val (c->dependencies.to_tombstone, j->index);
}

static void
derive_cancelled (HrCore *c, HrJob *j, HrJob *root)
{
  j->state = HR_JOB_CANCELLED;
  j->cancellation.root = root;
  g_debug ("%s is withdrawn with %s", j->id, root->id);
  if (c->leadership.is_leader && j->run.n_live)
    hr_job_cancelled (c, j); /* it cannot have a task; should it, that is stopped */
  else
    note_for_tombstone (c, j);
}

static void
become_ready (HrCore *c, HrJob *j)
{
  g_debug ("%s waits for no other job any more", j->id);
  hr_job_open (c, j);
  c->scheduling.plan_is_stale = TRUE;
}

void
hr_dependencies_job_final (HrCore *c, HrJob *j)
{
  g_autoptr (GPtrArray) todo = g_ptr_array_new ();
  g_autoptr (GPtrArray) cancelled = g_ptr_array_new ();
  g_ptr_array_add (todo, j);
  while (todo->len) {
    HrJob *over = g_ptr_array_steal_index_fast (todo, todo->len - 1);
    g_autoptr (GPtrArray) dependents = g_steal_pointer (&over->dependencies.dependents);
    if (over->state == HR_JOB_CANCELLED)
      g_ptr_array_add (cancelled, over);
    for (guint i = 0; dependents && i < dependents->len; i++) {
      HrJob *d = dependents->pdata[i];
      if (d->state != HR_JOB_QUEUED)
        continue;
      if (over->state == HR_JOB_CANCELLED) {
        derive_cancelled (c, d, over->cancellation.root ? over->cancellation.root : over);
        g_ptr_array_add (todo, d);
      } else if (!hr_job_has_unfinished_dependencies (d))
        become_ready (c, d);
    }
  }
  hr_priority_inheritance_jobs_cancelled (c, cancelled);
}

void
hr_dependencies_job_read (HrCore *c, HrJob *j, const char *const *ids)
{
  name_awaited (c, j, ids);
  HrJob *root = j->state == HR_JOB_QUEUED ? cancelled_before (j) : NULL;
  if (root)
    derive_cancelled (c, j, root);
  else if (j->state == HR_JOB_CANCELLED && hr_job_has_unfinished_dependencies (j))
    note_for_tombstone (c, j); /* it never was in the list of open jobs */
  if (j->state == HR_JOB_CANCELLED && !j->cancellation.told_by_peer)
    hr_dependencies_job_final (c, j);
  hr_priority_inheritance_job_read (c, j);
}

void
hr_dependencies_tick (HrCore *c)
{
  /* Only what is left over of the allowance: thousands may have been taken along at once. */
  if (!c->leadership.is_leader || c->store.writer.dirty_pages->len || !hr_replica_is_served (c) ||
      c->store.transactions.allowance.tokens < c->store.transactions.allowance.burst * 0.8)
    return;
  for (guint n = 0; n < TOMBSTONES_A_TICK && c->dependencies.to_tombstone->len;) {
    guint32 last = g_array_index (c->dependencies.to_tombstone, guint32,
                                  c->dependencies.to_tombstone->len - 1);
    HrJob *j = c->store.tables.jobs->pdata[last];
    g_array_set_size (c->dependencies.to_tombstone, c->dependencies.to_tombstone->len - 1);
    if (j->record.is_compacted || !j->record.pages)
      continue;
    hr_record_writer_mark (c, j, 0);
    n++;
  }
}

const char *
hr_dependencies_find_unknown (HrCore *c, GStrv ids)
{
  for (guint i = 0; ids && ids[i]; i++)
    if (!hr_job_find (c, ids[i]) && !hr_job_unreadable (c, ids[i]))
      return ids[i];
  return NULL;
}

const char *
hr_dependencies_find_service (HrCore *c, GStrv ids)
{
  for (guint i = 0; ids && ids[i]; i++) {
    const HrJob *j = hr_job_find (c, ids[i]);
    if (j && j->is_known && j->state == HR_JOB_QUEUED && j->spec.shape == HR_SERVICE)
      return ids[i];
  }
  return NULL;
}

char *
hr_dependencies_reason (const HrJob *j)
{
  if (j->state == HR_JOB_CANCELLED && j->cancellation.root)
    return g_strdup_printf ("withdrawn with %s, which it awaits, directly or through others, and "
                            "which its user withdrew",
                            j->cancellation.root->id);
  if (j->state != HR_JOB_QUEUED || !hr_job_has_unfinished_dependencies (j))
    return NULL;
  guint n = 0;
  g_autoptr (GString) names = g_string_new (NULL);
  for (guint i = 0; i < j->dependencies.n_awaited; i++) {
    if (j->dependencies.awaited[i]->state == HR_JOB_DONE)
      continue;
    if (++n <= NAMED_IN_REASON)
      g_string_append_printf (names, "%s%s", n > 1 ? ", " : "", j->dependencies.awaited[i]->id);
  }
  if (n > NAMED_IN_REASON)
    g_string_append_printf (names, " and %u more", n - NAMED_IN_REASON);
  return g_strdup_printf ("waits for %u job%s to be done: %s", n, n > 1 ? "s" : "", names->str);
}
