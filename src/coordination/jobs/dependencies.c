/* Dependencies between jobs. The traversals are iterative, not recursive: a chain may be hundreds
 * of jobs long, and thousands of jobs may await the same one. */
#include "coordination/jobs/dependencies.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/priority_inheritance.h"
#include "coordination/jobs/task_lifecycle.h"

/* Number of awaited jobs that a reason names; further ones are only counted. */
#define MAX_NAMED_IN_REASON 3
/* Maximum number of tombstones for derived cancellations that one tick marks to be written. */
#define TOMBSTONES_PER_TICK 2
/* Share of the write-rate allowance that must be unused before tombstones are written. */
#define UNUSED_ALLOWANCE_SHARE 0.8

/* ---- edges ---- */

/* Final jobs keep no dependents, since their state no longer changes. */
static void
add_dependent (HrJob *awaited, HrJob *dependent)
{
  if (hr_job_is_final (awaited))
    return;
  if (!awaited->dependencies.dependents)
    awaited->dependencies.dependents = g_ptr_array_new ();
  g_ptr_array_add (awaited->dependencies.dependents, dependent);
}

static void
set_awaited (HrCore *core, HrJob *job, const char *const *ids)
{
  guint n = ids ? g_strv_length ((GStrv)ids) : 0;
  if (job->dependencies.n_awaited || !n)
    return; /* the dependencies of a job never change */
  job->dependencies.awaited = g_new0 (HrJob *, n);
  for (guint i = 0; i < n; i++) {
    HrJob *awaited = hr_job_get (&core->store.tables, ids[i]);
    job->dependencies.awaited[i] = awaited;
    add_dependent (awaited, job);
  }
  job->dependencies.n_awaited = n;
}

static void
forget_edges (HrJob *job)
{
  g_clear_pointer (&job->dependencies.awaited, g_free);
  job->dependencies.n_awaited = 0;
  g_clear_pointer (&job->dependencies.dependents, g_ptr_array_unref);
}

void
hr_dependencies_listing_begins (HrCore *core)
{
  const GPtrArray *jobs = core->store.tables.jobs;
  for (guint i = 0; i < jobs->len; i++)
    forget_edges (jobs->pdata[i]);
  g_array_set_size (core->dependencies.to_tombstone, 0);
}

/* ---- derived cancellations ---- */

/* Returns the job whose cancellation by its user the dependents of this cancelled job inherit. */
static HrJob *
cancellation_root (HrJob *cancelled)
{
  return cancelled->cancellation.root ? cancelled->cancellation.root : cancelled;
}

/* Returns the cancellation root of the first awaited job that is cancelled, or NULL if none is. */
static HrJob *
root_of_awaited (const HrJob *job)
{
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    HrJob *awaited = job->dependencies.awaited[i];
    if (hr_job_is_final (awaited) && awaited->state == HR_JOB_CANCELLED)
      return cancellation_root (awaited);
  }
  return NULL;
}

/* Queues the job's record to be compacted to a tombstone; hr_dependencies_tick() does that when no
 * other writes need the write-rate allowance. */
static void
queue_tombstone (HrCore *core, const HrJob *job)
{
  g_array_append_val (core->dependencies.to_tombstone, job->index);
}

static void
cancel_through_dependency (HrCore *core, HrJob *job, HrJob *root)
{
  job->state = HR_JOB_CANCELLED;
  job->cancellation.root = root;
  g_debug ("job %s is cancelled through its dependency on job %s", job->id, root->id);
  if (core->leadership.is_leader && job->run.n_live)
    hr_job_cancelled (core, job); /* stops its live tasks; a waiting job should have none */
  else
    queue_tombstone (core, job);
}

/* ---- final states of awaited jobs ---- */

static void
become_ready (HrCore *core, HrJob *job)
{
  g_debug ("job %s is ready: all jobs that it awaits are done", job->id);
  hr_job_open (core, job);
  core->scheduling.plan_is_stale = TRUE;
}

/* Updates a dependent of a job that has become final. Returns whether the dependent is now
 * cancelled itself, in which case its own dependents must be updated as well. */
static gboolean
update_dependent (HrCore *core, HrJob *dependent, HrJob *final)
{
  if (dependent->state != HR_JOB_QUEUED)
    return FALSE;
  if (final->state == HR_JOB_CANCELLED) {
    cancel_through_dependency (core, dependent, cancellation_root (final));
    return TRUE;
  }
  if (!hr_job_has_unfinished_dependencies (dependent))
    become_ready (core, dependent);
  return FALSE;
}

void
hr_dependencies_job_final (HrCore *core, HrJob *job)
{
  g_autoptr (GPtrArray) to_visit = g_ptr_array_new ();
  g_autoptr (GPtrArray) cancelled = g_ptr_array_new ();
  g_ptr_array_add (to_visit, job);
  while (to_visit->len) {
    HrJob *final = g_ptr_array_steal_index_fast (to_visit, to_visit->len - 1);
    g_autoptr (GPtrArray) dependents = g_steal_pointer (&final->dependencies.dependents);
    if (final->state == HR_JOB_CANCELLED)
      g_ptr_array_add (cancelled, final);
    for (guint i = 0; dependents && i < dependents->len; i++)
      if (update_dependent (core, dependents->pdata[i], final))
        g_ptr_array_add (to_visit, dependents->pdata[i]);
  }
  hr_priority_inheritance_jobs_cancelled (core, cancelled);
  if (job->record.is_compacted)
    forget_edges (job); /* nothing follows from them any more */
}

void
hr_dependencies_job_read (HrCore *core, HrJob *job, const char *const *ids)
{
  set_awaited (core, job, ids);
  HrJob *root = job->state == HR_JOB_QUEUED ? root_of_awaited (job) : NULL;
  if (root)
    cancel_through_dependency (core, job, root);
  else if (job->state == HR_JOB_CANCELLED && hr_job_has_unfinished_dependencies (job))
    queue_tombstone (core, job); /* it was never in the list of open jobs */
  if (job->state == HR_JOB_CANCELLED && !job->cancellation.reported_by_peer)
    hr_dependencies_job_final (core, job);
  hr_priority_inheritance_update (core, job);
}

/* ---- tombstones ---- */

/* Tombstones use only the unused part of the allowance: thousands of jobs may have been cancelled
 * at once, and other writes have precedence. */
static gboolean
may_write_tombstones (const HrCore *core)
{
  return core->leadership.is_leader && !core->store.writer.dirty_pages->len &&
         hr_replica_is_current (&core->store) &&
         hr_token_bucket_has_share (&core->store.transactions.allowance, core->now,
                                    UNUSED_ALLOWANCE_SHARE);
}

void
hr_dependencies_tick (HrCore *core)
{
  GArray *to_tombstone = core->dependencies.to_tombstone;
  if (!may_write_tombstones (core))
    return;
  for (guint n = 0; n < TOMBSTONES_PER_TICK && to_tombstone->len;) {
    guint32 last = g_array_index (to_tombstone, guint32, to_tombstone->len - 1);
    HrJob *job = core->store.tables.jobs->pdata[last];
    g_array_set_size (to_tombstone, to_tombstone->len - 1);
    if (job->record.is_compacted || !job->record.pages)
      continue;
    hr_record_writer_mark (&core->store, job, 0);
    n++;
  }
}

/* ---- queries ---- */

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

/* Formats, for example, "waits for 4 jobs to be done: job-a, job-b, job-c and 1 more". */
static char *
waiting_reason (const HrJob *job)
{
  guint n = 0;
  g_autoptr (GString) names = g_string_new (NULL);
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    const HrJob *awaited = job->dependencies.awaited[i];
    if (awaited->state == HR_JOB_DONE)
      continue;
    if (++n <= MAX_NAMED_IN_REASON)
      g_string_append_printf (names, "%s%s", n > 1 ? ", " : "", awaited->id);
  }
  if (n > MAX_NAMED_IN_REASON)
    g_string_append_printf (names, " and %u more", n - MAX_NAMED_IN_REASON);
  return g_strdup_printf ("waits for %u job%s to be done: %s", n, n > 1 ? "s" : "", names->str);
}

char *
hr_dependencies_reason (const HrJob *job)
{
  if (job->state == HR_JOB_CANCELLED && job->cancellation.root)
    return g_strdup_printf ("withdrawn with %s, which it awaits, directly or through others, and "
                            "which its user withdrew",
                            job->cancellation.root->id);
  if (job->state == HR_JOB_QUEUED && hr_job_has_unfinished_dependencies (job))
    return waiting_reason (job);
  return NULL;
}
