/* Priority inheritance: what holds for one job, the order of visits, and propagation. */
#include "coordination/jobs/priority_inheritance.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/task_lists.h"
#include "coordination/state.h"
#include <math.h>

/* Shorter estimates are taken for so long when a job has no deadline of its own. */
#define LEAST_ESTIMATE_S 10.0

/* ---- one job ---- */

/* What decides the job's place in the plan. */
typedef struct {
  HrPriority priority;
  double deadline; /* time of day, s; INFINITY: not known yet */
} RequiredPlan;

/* Does the job take part: is it queued, with its description known? */
static gboolean
is_active (const HrJob *job)
{
  return job->is_known && job->tasks && job->state == HR_JOB_QUEUED;
}

/* The end of the job that the objectives of its class ask for; INFINITY: none does. since: from
 * when they count. */
static double
objective_deadline (const HrCore *core, const HrJob *job, double since)
{
  double deadline = INFINITY;
  for (guint i = 0; i < core->settings->objectives->len; i++) {
    const HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class == job->spec.job_class && objective->kind == HR_OBJECTIVE_FINISHED &&
        objective->within_s > 0)
      deadline = MIN (deadline, since + objective->within_s);
  }
  return deadline;
}

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
  return MIN (deadline, objective_deadline (core, job, since));
}

/* The more urgent of what is asked of a job so far, and what a dependent asks of it. */
static RequiredPlan
inherit (RequiredPlan required, const HrJob *dependent)
{
  double latest_end = dependent->plan.deadline - dependent->spec.estimate_s;
  return (RequiredPlan){.priority = MIN (required.priority, dependent->plan.priority),
                        .deadline = MIN (required.deadline, latest_end)};
}

/* Returns whether that is a change. */
static gboolean
set_required (HrCore *core, HrJob *job, RequiredPlan required)
{
  if (required.priority == job->plan.priority && required.deadline == job->plan.deadline)
    return FALSE;
  if (job->plan.deadline != required.deadline)
    hr_job_unlist_tasks (core, job); /* lists are in the order of deadlines */
  job->plan.priority = required.priority;
  job->plan.deadline = required.deadline;
  core->scheduling.plan_is_stale = TRUE;
  return TRUE;
}

/* Has the job inherit from one more dependent. Returns whether anything changed. */
static gboolean
inherit_from (HrCore *core, HrJob *job, const HrJob *dependent)
{
  RequiredPlan current = {job->plan.priority, job->plan.deadline};
  return set_required (core, job, inherit (current, dependent));
}

/* From the job's own description and all its dependents. Returns whether anything changed. */
static gboolean
recompute (HrCore *core, HrJob *job)
{
  const GPtrArray *dependents = job->dependencies.dependents;
  RequiredPlan required = {job->spec.priority, own_deadline (core, job)};
  for (guint i = 0; dependents && i < dependents->len; i++)
    if (is_active (dependents->pdata[i]))
      required = inherit (required, dependents->pdata[i]);
  return set_required (core, job, required);
}

/* ---- the order of visits ---- */

typedef enum { VISIT_NONE, VISIT_OPEN, VISIT_DONE } VisitState;

/* A job whose awaited jobs are being visited, and how many of them were. */
typedef struct {
  HrJob *job;
  guint n_visited;
} VisitStep;

/* A depth-first walk from jobs to those that they await. */
typedef struct {
  GHashTable *states; /* HrJob -> VisitState */
  GArray *path;       /* VisitStep */
  GPtrArray *done;    /* HrJob, each one behind all that it awaits */
} Walk;

static void
begin_visit (Walk *walk, HrJob *job)
{
  VisitStep step = {job, 0};
  g_hash_table_insert (walk->states, job, GINT_TO_POINTER (VISIT_OPEN));
  g_array_append_val (walk->path, step);
}

/* Submissions name only jobs that were accepted before, so the records that this service wrote
 * hold no cycle. One that was read all the same is cut where it closes. */
static void
visit_awaited (Walk *walk, HrJob *job)
{
  if (!is_active (job))
    return;
  VisitState state = GPOINTER_TO_INT (g_hash_table_lookup (walk->states, job));
  if (state == VISIT_OPEN)
    g_warning ("%s awaits itself through other jobs, as its record says; it will never start",
               job->id);
  else if (state == VISIT_NONE)
    begin_visit (walk, job);
}

static void
end_visit (Walk *walk, HrJob *job)
{
  g_hash_table_insert (walk->states, job, GINT_TO_POINTER (VISIT_DONE));
  g_ptr_array_add (walk->done, job);
  g_array_set_size (walk->path, walk->path->len - 1);
}

/* Visits the job, and all that it awaits and that was not visited yet. */
static void
walk_from (Walk *walk, HrJob *start)
{
  begin_visit (walk, start);
  while (walk->path->len) {
    VisitStep *step = &g_array_index (walk->path, VisitStep, walk->path->len - 1);
    const HrJobDependencies *dependencies = &step->job->dependencies;
    if (step->n_visited < dependencies->n_awaited)
      visit_awaited (walk, dependencies->awaited[step->n_visited++]);
    else
      end_visit (walk, step->job);
  }
}

static void
reverse (GPtrArray *array)
{
  for (guint i = 0, n = array->len; i < n / 2; i++) {
    gpointer first = array->pdata[i];
    array->pdata[i] = array->pdata[n - 1 - i];
    array->pdata[n - 1 - i] = first;
  }
}

/* The jobs to start from, and what they await, directly or through others: each job before those
 * that it awaits. Every job and every edge is looked at once. Returns: (transfer full). */
static GPtrArray *
dependents_first (const GPtrArray *starts)
{
  g_autoptr (GHashTable) states = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_autoptr (GArray) path = g_array_new (FALSE, FALSE, sizeof (VisitStep));
  Walk walk = {states, path, g_ptr_array_new ()};
  for (guint i = 0; i < starts->len; i++)
    if (!g_hash_table_contains (states, starts->pdata[i]))
      walk_from (&walk, starts->pdata[i]);
  reverse (walk.done);
  return walk.done;
}

/* ---- propagation to awaited jobs ---- */

/* Has the jobs that this one awaits inherit from it. Adds those that changed to `changed` (HrJob;
 * NULL: not asked for). Returns whether any did. */
static gboolean
propagate (HrCore *core, const HrJob *job, GHashTable *changed)
{
  gboolean any = FALSE;
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    HrJob *awaited = job->dependencies.awaited[i];
    if (!is_active (awaited) || !inherit_from (core, awaited, job))
      continue;
    any = TRUE;
    if (changed)
      g_hash_table_add (changed, awaited);
  }
  return any;
}

/* Adds the active jobs that this one awaits to `jobs`, and those that were not there yet to
 * `in_order` as well (NULL: not asked for). */
static void
add_awaited (const HrJob *job, GHashTable *jobs, GPtrArray *in_order)
{
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    HrJob *awaited = job->dependencies.awaited[i];
    if (is_active (awaited) && g_hash_table_add (jobs, awaited) && in_order)
      g_ptr_array_add (in_order, awaited);
  }
}

void
hr_priority_inheritance_job_read (HrCore *core, HrJob *job)
{
  if (!is_active (job))
    return;
  recompute (core, job);
  if (!propagate (core, job, NULL))
    return; /* mostly: nobody else needs to be looked at */
  g_autoptr (GPtrArray) starts = g_ptr_array_new ();
  g_autoptr (GHashTable) changed = g_hash_table_new (g_direct_hash, g_direct_equal);
  add_awaited (job, changed, starts);
  g_autoptr (GPtrArray) order = dependents_first (starts);
  for (guint i = 0; i < order->len; i++)
    if (g_hash_table_contains (changed, order->pdata[i]))
      propagate (core, order->pdata[i], changed);
}

void
hr_priority_inheritance_jobs_cancelled (HrCore *core, const GPtrArray *jobs)
{
  g_autoptr (GPtrArray) starts = g_ptr_array_new ();
  g_autoptr (GHashTable) affected = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (guint i = 0; i < jobs->len; i++)
    add_awaited (jobs->pdata[i], affected, starts);
  g_autoptr (GPtrArray) order = dependents_first (starts);
  for (guint i = 0; i < order->len; i++) {
    HrJob *job = order->pdata[i];
    if (g_hash_table_contains (affected, job) && recompute (core, job))
      add_awaited (job, affected, NULL);
  }
}
