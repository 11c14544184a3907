/* No recursion: chains may be hundreds of jobs long, and thousands may await one job. */
#include "coordination/jobs/dependencies.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/priority_inheritance.h"
#include "coordination/jobs/task_lifecycle.h"

/* Awaited jobs that a reason names; of the others it says how many. */
#define MAX_NAMED_IN_REASON 3
/* Tombstones of derived cancellations that are begun in one tick. */
#define TOMBSTONES_PER_TICK 2
/* They are begun only while so much of the allowance for changes is unused. */
#define UNUSED_ALLOWANCE_SHARE 0.8

/* ---- edges ---- */

/* By its record: what a peer told us of a job is not passed on to its dependents. */
static gboolean
is_final (const HrJob *job)
{
  return job->is_known && job->state != HR_JOB_QUEUED && !job->cancellation.reported_by_peer;
}

/* Final jobs need no dependents: nothing about them changes any more. */
static void
add_dependent (HrJob *awaited, HrJob *dependent)
{
  if (is_final (awaited))
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
    return; /* what a job awaits never changes */
  job->dependencies.awaited = g_new0 (HrJob *, n);
  for (guint i = 0; i < n; i++) {
    HrJob *awaited = hr_job_get (&core->store.tables, ids[i]);
    job->dependencies.awaited[i] = awaited;
    add_dependent (awaited, job);
  }
  job->dependencies.n_awaited = n;
}

/* ---- cancelled with an awaited job ---- */

/* The job that its user cancelled, and with which this cancelled job's dependents are cancelled. */
static HrJob *
cancellation_root (HrJob *cancelled)
{
  return cancelled->cancellation.root ? cancelled->cancellation.root : cancelled;
}

/* Of the first awaited job that is cancelled; NULL: none is. */
static HrJob *
root_of_awaited (const HrJob *job)
{
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    HrJob *awaited = job->dependencies.awaited[i];
    if (is_final (awaited) && awaited->state == HR_JOB_CANCELLED)
      return cancellation_root (awaited);
  }
  return NULL;
}

/* Its record is to become a tombstone, when the allowance for changes has nothing else to do. */
static void
queue_tombstone (HrCore *core, const HrJob *job)
{
  g_array_append_val (core->dependencies.to_tombstone, job->index);
}

static void
cancel_with (HrCore *core, HrJob *job, HrJob *root)
{
  job->state = HR_JOB_CANCELLED;
  job->cancellation.root = root;
  g_debug ("%s is cancelled with %s", job->id, root->id);
  if (core->leadership.is_leader && job->run.n_live)
    hr_job_cancelled (core, job); /* it cannot have a task; should it, that is stopped */
  else
    queue_tombstone (core, job);
}

/* ---- the end of an awaited job ---- */

static void
become_ready (HrCore *core, HrJob *job)
{
  g_debug ("%s waits for no other job any more", job->id);
  hr_job_open (core, job);
  core->scheduling.plan_is_stale = TRUE;
}

/* What the end of a job means for one that awaits it. Returns whether the dependent is cancelled,
 * so that its own dependents are to be looked at. */
static gboolean
take_end (HrCore *core, HrJob *dependent, HrJob *final)
{
  if (dependent->state != HR_JOB_QUEUED)
    return FALSE;
  if (final->state == HR_JOB_CANCELLED) {
    cancel_with (core, dependent, cancellation_root (final));
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
      if (take_end (core, dependents->pdata[i], final))
        g_ptr_array_add (to_visit, dependents->pdata[i]);
  }
  hr_priority_inheritance_jobs_cancelled (core, cancelled);
}

void
hr_dependencies_job_read (HrCore *core, HrJob *job, const char *const *ids)
{
  set_awaited (core, job, ids);
  HrJob *root = job->state == HR_JOB_QUEUED ? root_of_awaited (job) : NULL;
  if (root)
    cancel_with (core, job, root);
  else if (job->state == HR_JOB_CANCELLED && hr_job_has_unfinished_dependencies (job))
    queue_tombstone (core, job); /* it never was in the list of open jobs */
  if (job->state == HR_JOB_CANCELLED && !job->cancellation.reported_by_peer)
    hr_dependencies_job_final (core, job);
  hr_priority_inheritance_job_read (core, job);
}

/* ---- tombstones ---- */

/* Only what is left over of the allowance is used: thousands may have been cancelled at once. */
static gboolean
may_write_tombstones (const HrCore *core)
{
  const HrTokenBucket *allowance = &core->store.transactions.allowance;
  return core->leadership.is_leader && !core->store.writer.dirty_pages->len &&
         hr_replica_is_current (&core->store) &&
         allowance->tokens >= allowance->burst * UNUSED_ALLOWANCE_SHARE;
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

/* ---- questions ---- */

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

/* "waits for 4 jobs to be done: job-a, job-b, job-c and 1 more" */
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
