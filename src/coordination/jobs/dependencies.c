/* Jobs that await others. A job is cancelled when its record says so, or when one that it
 * awaits is: that is derived here from the store as read, at every node alike, and rests on
 * no further write. Tombstones are kept for ever, so what was derived once is derived again.
 *
 * Edges are kept both ways. A record may be read before those of the jobs that it names; their
 * rows are unknown until then, and an unknown job counts as not done.
 *
 * No recursion: chains may be hundreds of jobs long, and thousands may await one. */
#include "coordination/jobs/dependencies.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/priority_inheritance.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/state.h"

/* Awaited jobs that a reason names; of the others it says how many. */
#define NAMED_IN_REASON 3
/* Tombstones of derived cancellations that are begun in one tick. */
#define TOMBSTONES_A_TICK 2

/* As the state store says: what a member told us of a job is not told on to those that await it. */
static gboolean
is_final (const HrJob *job)
{
  return job->is_known && job->state != HR_JOB_QUEUED && !job->cancellation.told_by_peer;
}

static void
name_awaited (HrCore *core, HrJob *job, const char *const *ids)
{
  guint n = ids ? g_strv_length ((GStrv)ids) : 0;
  if (job->dependencies.n_awaited || !n)
    return; /* what a job awaits never changes */
  job->dependencies.awaited = g_new0 (HrJob *, n);
  for (guint i = 0; i < n; i++) {
    HrJob *awaited = hr_job_get (&core->store.tables, ids[i]);
    job->dependencies.awaited[i] = awaited;
    if (is_final (awaited))
      continue;
    if (!awaited->dependencies.dependents)
      awaited->dependencies.dependents = g_ptr_array_new ();
    g_ptr_array_add (awaited->dependencies.dependents, job);
  }
  job->dependencies.n_awaited = n;
}

/* The cancelled job that takes this one along, or NULL. */
static HrJob *
cancelled_before (const HrJob *job)
{
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    HrJob *awaited = job->dependencies.awaited[i];
    if (is_final (awaited) && awaited->state == HR_JOB_CANCELLED)
      return awaited->cancellation.root ? awaited->cancellation.root : awaited;
  }
  return NULL;
}

/* Its record is to become a tombstone, when the allowance for changes has nothing else to do. */
static void
note_for_tombstone (HrCore *core, const HrJob *job)
{
  g_array_append_val (core->dependencies.to_tombstone, job->index);
}

static void
derive_cancelled (HrCore *core, HrJob *job, HrJob *root)
{
  job->state = HR_JOB_CANCELLED;
  job->cancellation.root = root;
  g_debug ("%s is cancelled with %s", job->id, root->id);
  if (core->leadership.is_leader && job->run.n_live)
    hr_job_cancelled (core, job); /* it cannot have a task; should it, that is stopped */
  else
    note_for_tombstone (core, job);
}

static void
become_ready (HrCore *core, HrJob *job)
{
  g_debug ("%s waits for no other job any more", job->id);
  hr_job_open (core, job);
  core->scheduling.plan_is_stale = TRUE;
}

void
hr_dependencies_job_final (HrCore *core, HrJob *job)
{
  g_autoptr (GPtrArray) todo = g_ptr_array_new ();
  g_autoptr (GPtrArray) cancelled = g_ptr_array_new ();
  g_ptr_array_add (todo, job);
  while (todo->len) {
    HrJob *over = g_ptr_array_steal_index_fast (todo, todo->len - 1);
    g_autoptr (GPtrArray) dependents = g_steal_pointer (&over->dependencies.dependents);
    if (over->state == HR_JOB_CANCELLED)
      g_ptr_array_add (cancelled, over);
    for (guint i = 0; dependents && i < dependents->len; i++) {
      HrJob *dependent = dependents->pdata[i];
      if (dependent->state != HR_JOB_QUEUED)
        continue;
      if (over->state == HR_JOB_CANCELLED) {
        derive_cancelled (core, dependent,
                          over->cancellation.root ? over->cancellation.root : over);
        g_ptr_array_add (todo, dependent);
      } else if (!hr_job_has_unfinished_dependencies (dependent))
        become_ready (core, dependent);
    }
  }
  hr_priority_inheritance_jobs_cancelled (core, cancelled);
}

void
hr_dependencies_job_read (HrCore *core, HrJob *job, const char *const *ids)
{
  name_awaited (core, job, ids);
  HrJob *root = job->state == HR_JOB_QUEUED ? cancelled_before (job) : NULL;
  if (root)
    derive_cancelled (core, job, root);
  else if (job->state == HR_JOB_CANCELLED && hr_job_has_unfinished_dependencies (job))
    note_for_tombstone (core, job); /* it never was in the list of open jobs */
  if (job->state == HR_JOB_CANCELLED && !job->cancellation.told_by_peer)
    hr_dependencies_job_final (core, job);
  hr_priority_inheritance_job_read (core, job);
}

void
hr_dependencies_tick (HrCore *core)
{
  /* Only what is left over of the allowance: thousands may have been taken along at once. */
  if (!core->leadership.is_leader || core->store.writer.dirty_pages->len ||
      !hr_replica_is_served (&core->store) ||
      core->store.transactions.allowance.tokens < core->store.transactions.allowance.burst * 0.8)
    return;
  for (guint n = 0; n < TOMBSTONES_A_TICK && core->dependencies.to_tombstone->len;) {
    guint32 last = g_array_index (core->dependencies.to_tombstone, guint32,
                                  core->dependencies.to_tombstone->len - 1);
    HrJob *job = core->store.tables.jobs->pdata[last];
    g_array_set_size (core->dependencies.to_tombstone, core->dependencies.to_tombstone->len - 1);
    if (job->record.is_compacted || !job->record.pages)
      continue;
    hr_record_writer_mark (&core->store, job, 0);
    n++;
  }
}

const char *
hr_dependencies_find_unknown (HrCore *core, GStrv ids)
{
  for (guint i = 0; ids && ids[i]; i++)
    if (!hr_job_find (&core->store.tables, ids[i]) &&
        !hr_job_unreadable (&core->store.tables, ids[i]))
      return ids[i];
  return NULL;
}

const char *
hr_dependencies_find_service (HrCore *core, GStrv ids)
{
  for (guint i = 0; ids && ids[i]; i++) {
    const HrJob *job = hr_job_find (&core->store.tables, ids[i]);
    if (job && job->is_known && job->state == HR_JOB_QUEUED && job->spec.shape == HR_SERVICE)
      return ids[i];
  }
  return NULL;
}

char *
hr_dependencies_reason (const HrJob *job)
{
  if (job->state == HR_JOB_CANCELLED && job->cancellation.root)
    return g_strdup_printf ("withdrawn with %s, which it awaits, directly or through others, and "
                            "which its user withdrew",
                            job->cancellation.root->id);
  if (job->state != HR_JOB_QUEUED || !hr_job_has_unfinished_dependencies (job))
    return NULL;
  guint n = 0;
  g_autoptr (GString) names = g_string_new (NULL);
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    if (job->dependencies.awaited[i]->state == HR_JOB_DONE)
      continue;
    if (++n <= NAMED_IN_REASON)
      g_string_append_printf (names, "%s%s", n > 1 ? ", " : "", job->dependencies.awaited[i]->id);
  }
  if (n > NAMED_IN_REASON)
    g_string_append_printf (names, " and %u more", n - NAMED_IN_REASON);
  return g_strdup_printf ("waits for %u job%s to be done: %s", n, n > 1 ? "s" : "", names->str);
}
