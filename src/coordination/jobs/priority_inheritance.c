/* Priority inheritance: priority and deadline of one job, the traversal order, and propagation. */
#include "coordination/jobs/priority_inheritance.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/task_lists.h"
#include "coordination/state.h"
#include <math.h>

/* Lower bound of the estimate from which a job's default deadline is computed, in seconds. */
#define MIN_ESTIMATE_S 10.0

/* ---- one job ---- */

/* Priority and deadline, the job's own or inherited from its dependents. They determine the job's
 * order in the plan. */
typedef struct {
  HrPriority priority;
  double deadline; /* real time, in seconds; INFINITY: not known yet */
} InheritedPriority;

/* Checks whether the job takes part in inheritance: it is queued and its specification is known. */
static gboolean
is_active (const HrJob *job)
{
  return job->is_known && job->tasks && job->state == HR_JOB_QUEUED;
}

/* Returns the earliest deadline that the objectives of the job's class set, counted from `since`,
 * or INFINITY if none does. */
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

/* Returns the deadline from the job's own specification in real time, or INFINITY while it is not
 * known. */
static double
own_deadline (const HrCore *core, const HrJob *job)
{
  if (job->spec.deadline_s >= 0)
    return job->submitted_at + job->spec.deadline_s;
  double since = hr_job_eligible_since (job);
  if (job->dependencies.n_awaited && since <= 0)
    return INFINITY; /* the deadline counts from when the job becomes ready */
  double deadline =
      since + core->policy.default_deadline * MAX (job->spec.estimate_s, MIN_ESTIMATE_S);
  return MIN (deadline, objective_deadline (core, job, since));
}

/* Returns the highest priority and the earliest deadline of `current` and those that the dependent
 * requires of the job. */
static InheritedPriority
inherit (InheritedPriority current, const HrJob *dependent)
{
  double latest_end = dependent->plan.deadline - dependent->spec.estimate_s;
  return (InheritedPriority){.priority = MIN (current.priority, dependent->plan.priority),
                             .deadline = MIN (current.deadline, latest_end)};
}

/* Sets the job's priority and deadline. Returns whether either changed. */
static gboolean
set_inherited (HrCore *core, HrJob *job, InheritedPriority inherited)
{
  if (inherited.priority == job->plan.priority && inherited.deadline == job->plan.deadline)
    return FALSE;
  if (job->plan.deadline != inherited.deadline)
    hr_job_unlist_tasks (core, job); /* the task lists are ordered by deadline */
  job->plan.priority = inherited.priority;
  job->plan.deadline = inherited.deadline;
  core->scheduling.plan_is_stale = TRUE;
  return TRUE;
}

/* Lets the job inherit from one more dependent. Returns whether anything changed. */
static gboolean
inherit_from (HrCore *core, HrJob *job, const HrJob *dependent)
{
  InheritedPriority current = {job->plan.priority, job->plan.deadline};
  return set_inherited (core, job, inherit (current, dependent));
}

/* Recomputes priority and deadline from the job's own specification and all its dependents. Returns
 * whether anything changed. */
static gboolean
recompute_inherited (HrCore *core, HrJob *job)
{
  const GPtrArray *dependents = job->dependencies.dependents;
  InheritedPriority inherited = {job->spec.priority, own_deadline (core, job)};
  for (guint i = 0; dependents && i < dependents->len; i++)
    if (is_active (dependents->pdata[i]))
      inherited = inherit (inherited, dependents->pdata[i]);
  return set_inherited (core, job, inherited);
}

/* ---- traversal order ---- */

typedef enum { VISIT_NONE, VISIT_OPEN, VISIT_DONE } VisitState;

/* A job whose awaited jobs are being visited, and how many of them were visited so far. */
typedef struct {
  HrJob *job;
  guint n_visited;
} VisitStep;

/* A depth-first traversal from jobs to the jobs that they await. */
typedef struct {
  GHashTable *states; /* HrJob -> VisitState */
  GArray *path;       /* VisitStep */
  GPtrArray *done;    /* HrJob, in postorder: each job after all jobs that it awaits */
} Walk;

static void
begin_visit (Walk *walk, HrJob *job)
{
  VisitStep step = {job, 0};
  g_hash_table_insert (walk->states, job, GINT_TO_POINTER (VISIT_OPEN));
  g_array_append_val (walk->path, step);
}

/* Begins the visit of an awaited job that was not visited yet. Submissions may name only jobs that
 * were accepted before, so records written by this service contain no dependency cycle. If a cycle
 * is read all the same, the edge that closes it is ignored. */
static void
visit_awaited (Walk *walk, HrJob *job)
{
  if (!is_active (job))
    return;
  VisitState state = GPOINTER_TO_INT (g_hash_table_lookup (walk->states, job));
  if (state == VISIT_OPEN)
    g_warning (
        "dependency cycle: job %s awaits itself, directly or transitively; it will never start",
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

/* Visits the job, and all jobs that it awaits, directly or transitively, and that were not visited
 * yet. */
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

/* Returns (transfer full) the start jobs and all jobs that they await, directly or transitively, in
 * topological order: each job before those that it awaits. Visits each job and each edge once. */
static GPtrArray *
topological_order (const GPtrArray *starts)
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

/* Lets the jobs that this job awaits inherit from it. Adds those that changed to `changed` (a set
 * of HrJob, or NULL). Returns whether any changed. */
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

/* Adds the active jobs that this job awaits to the set `jobs`, and those that were not in the set
 * yet also to the array `in_order`, unless that is NULL. */
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
hr_priority_inheritance_update (HrCore *core, HrJob *job)
{
  if (!is_active (job))
    return;
  recompute_inherited (core, job);
  if (!propagate (core, job, NULL))
    return; /* the usual case: no other job is affected */
  g_autoptr (GPtrArray) starts = g_ptr_array_new ();
  g_autoptr (GHashTable) changed = g_hash_table_new (g_direct_hash, g_direct_equal);
  add_awaited (job, changed, starts);
  g_autoptr (GPtrArray) order = topological_order (starts);
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
  g_autoptr (GPtrArray) order = topological_order (starts);
  for (guint i = 0; i < order->len; i++) {
    HrJob *job = order->pdata[i];
    if (g_hash_table_contains (affected, job) && recompute_inherited (core, job))
      add_awaited (job, affected, NULL);
  }
}
