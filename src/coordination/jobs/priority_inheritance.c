/* Deadline and priority of jobs that others need. Users set both on the last job of a pipeline, so
 * they flow up: a job has the highest priority of those that need it, and the earliest of its own
 * deadline and theirs less the estimates of what comes in between (the critical path).
 * Preferences of the plan, on which no rule rests. */
#include "coordination/jobs/priority_inheritance.h"
#include "coordination/scheduling/task_lists.h"
#include "coordination/state.h"
#include <math.h>

/* Runs shorter than that are taken for so long. */
#define LEAST_ESTIMATE_S 10.0

/* What the job's own description asks for, as time of day; INFINITY while that is not known. */
static double
own_deadline (const HrCore *core, const HrJob *job)
{
  if (job->spec.deadline_s >= 0)
    return job->submitted_at + job->spec.deadline_s;
  double since = hr_job_eligible_since (job);
  if (job->dependencies.n_awaited && since <= 0)
    return INFINITY; /* counts from when it is ready */
  double deadline =
      since + core->policy.default_deadline * MAX (job->spec.estimate_s, LEAST_ESTIMATE_S);
  for (guint i = 0; i < core->settings->objectives->len; i++) {
    const HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class == job->spec.job_class && objective->kind == HR_OBJECTIVE_FINISHED &&
        objective->within_s > 0)
      deadline = MIN (deadline, since + objective->within_s);
  }
  return deadline;
}

static gboolean
is_counted (const HrJob *job)
{
  return job->is_known && job->tasks && job->state == HR_JOB_QUEUED;
}

static void
set (HrCore *core, HrJob *job, HrPriority priority, double deadline)
{
  if (job->plan.deadline != deadline)
    hr_job_unplan (core, job); /* lists are in the order of deadlines */
  job->plan.priority = priority;
  job->plan.deadline = deadline;
  core->scheduling.plan_is_stale = TRUE;
}

/* Takes over what one that needs the job asks for. Did anything change? */
static gboolean
take_over_urgency (HrCore *core, HrJob *job, const HrJob *dependent)
{
  double latest = dependent->plan.deadline - dependent->spec.estimate_s;
  HrPriority priority = MIN (job->plan.priority, dependent->plan.priority);
  if (priority == job->plan.priority && latest >= job->plan.deadline)
    return FALSE;
  set (core, job, priority, MIN (job->plan.deadline, latest));
  return TRUE;
}

/* From the job's own description and all that need it. Did anything change? */
static gboolean
recompute (HrCore *core, HrJob *job)
{
  HrPriority priority = job->spec.priority;
  double deadline = own_deadline (core, job);
  for (guint i = 0; job->dependencies.dependents && i < job->dependencies.dependents->len; i++) {
    const HrJob *dependent = job->dependencies.dependents->pdata[i];
    if (!is_counted (dependent))
      continue;
    priority = MIN (priority, dependent->plan.priority);
    deadline = MIN (deadline, dependent->plan.deadline - dependent->spec.estimate_s);
  }
  if (priority == job->plan.priority && deadline == job->plan.deadline)
    return FALSE;
  set (core, job, priority, deadline);
  return TRUE;
}

/* ---- in the order of the pipeline ---- */

typedef enum { VISIT_NONE, VISIT_OPEN, VISIT_DONE } Visit;

/* A job whose awaited jobs are being visited, and how many of them were. */
typedef struct {
  HrJob *job;
  guint next;
} VisitStep;

typedef struct {
  GHashTable *visits; /* HrJob -> Visit */
  GArray *path;       /* VisitStep */
  GPtrArray *done;    /* HrJob, each one behind all that it awaits */
} Walk;

static void
enter (Walk *walk, HrJob *job)
{
  VisitStep step = {job, 0};
  g_hash_table_insert (walk->visits, job, GINT_TO_POINTER (VISIT_OPEN));
  g_array_append_val (walk->path, step);
}

/* Submissions name only jobs that were accepted before, so the records that this service wrote
 * hold no circle. One that was read all the same is cut where it closes. */
static void
visit_awaited (Walk *walk, HrJob *job)
{
  if (!is_counted (job))
    return;
  Visit visit = GPOINTER_TO_INT (g_hash_table_lookup (walk->visits, job));
  if (visit == VISIT_OPEN)
    g_warning ("%s awaits itself through other jobs, as its record says; it will never start",
               job->id);
  else if (visit == VISIT_NONE)
    enter (walk, job);
}

/* The seeds, and what they await, directly or through others: each job before those that it
 * awaits. Every job and every edge is looked at once. */
static GPtrArray *
dependents_first (const GPtrArray *seeds)
{
  g_autoptr (GHashTable) visits = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_autoptr (GArray) path = g_array_new (FALSE, FALSE, sizeof (VisitStep));
  Walk walk = {visits, path, g_ptr_array_new ()};
  for (guint i = 0; i < seeds->len; i++) {
    if (g_hash_table_contains (visits, seeds->pdata[i]))
      continue;
    enter (&walk, seeds->pdata[i]);
    while (path->len) {
      VisitStep *step = &g_array_index (path, VisitStep, path->len - 1);
      if (step->next < step->job->dependencies.n_awaited) {
        visit_awaited (&walk, step->job->dependencies.awaited[step->next++]);
        continue;
      }
      g_hash_table_insert (visits, step->job, GINT_TO_POINTER (VISIT_DONE));
      g_ptr_array_add (walk.done, step->job);
      g_array_set_size (path, path->len - 1);
    }
  }
  for (guint i = 0, n = walk.done->len; i < n / 2; i++) {
    gpointer first = walk.done->pdata[i];
    walk.done->pdata[i] = walk.done->pdata[n - 1 - i];
    walk.done->pdata[n - 1 - i] = first;
  }
  return walk.done;
}

/* Hands on what a job asks for to those that it awaits. Did any of them change? changed: HrJob;
 * those that did are added. */
static gboolean
hand_on (HrCore *core, const HrJob *job, GHashTable *changed)
{
  gboolean any = FALSE;
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    HrJob *awaited = job->dependencies.awaited[i];
    if (!is_counted (awaited) || !take_over_urgency (core, awaited, job))
      continue;
    any = TRUE;
    if (changed)
      g_hash_table_add (changed, awaited);
  }
  return any;
}

void
hr_priority_inheritance_job_read (HrCore *core, HrJob *job)
{
  if (!is_counted (job))
    return;
  recompute (core, job);
  if (!hand_on (core, job, NULL))
    return; /* mostly: nobody else needs to be looked at */
  g_autoptr (GPtrArray) seeds = g_ptr_array_new ();
  for (guint i = 0; i < job->dependencies.n_awaited; i++)
    if (is_counted (job->dependencies.awaited[i]))
      g_ptr_array_add (seeds, job->dependencies.awaited[i]);
  g_autoptr (GHashTable) changed = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (guint i = 0; i < seeds->len; i++)
    g_hash_table_add (changed, seeds->pdata[i]);
  g_autoptr (GPtrArray) order = dependents_first (seeds);
  for (guint i = 0; i < order->len; i++)
    if (g_hash_table_contains (changed, order->pdata[i]))
      hand_on (core, order->pdata[i], changed);
}

void
hr_priority_inheritance_jobs_cancelled (HrCore *core, const GPtrArray *jobs)
{
  g_autoptr (GHashTable) affected = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_autoptr (GPtrArray) seeds = g_ptr_array_new ();
  for (guint k = 0; k < jobs->len; k++) {
    const HrJob *over = jobs->pdata[k];
    for (guint i = 0; i < over->dependencies.n_awaited; i++)
      if (is_counted (over->dependencies.awaited[i]) &&
          g_hash_table_add (affected, over->dependencies.awaited[i]))
        g_ptr_array_add (seeds, over->dependencies.awaited[i]);
  }
  g_autoptr (GPtrArray) order = dependents_first (seeds);
  for (guint i = 0; i < order->len; i++) {
    HrJob *job = order->pdata[i];
    if (!g_hash_table_contains (affected, job) || !recompute (core, job))
      continue;
    for (guint k = 0; k < job->dependencies.n_awaited; k++)
      if (is_counted (job->dependencies.awaited[k]))
        g_hash_table_add (affected, job->dependencies.awaited[k]);
  }
}
