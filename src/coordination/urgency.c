/* Deadline and rank of jobs that others need. Users set both on the last job of a pipeline, so
 * they flow up: a job has the highest rank of those that need it, and the earliest of its own
 * deadline and theirs less the estimates of what comes in between (the critical path).
 * Preferences of the plan, on which no rule rests. */
#include "coordination/state.h"
#include <math.h>

/* Runs shorter than that are taken for so long. */
#define LEAST_ESTIMATE_S 10.0
/* Steps of one spreading: more than any pipeline takes. A ledger whose jobs await one another
 * in a circle would keep it going for ever. */
#define MAX_STEPS 200000

/* What the job's own description asks for, as time of day; INFINITY while that is not known. */
static double
own_deadline (const HrCore *c, const HrJob *j)
{
  if (j->spec.deadline >= 0)
    return j->submitted + j->spec.deadline;
  double since = hr_job_since (j);
  if (j->nawaits && since <= 0)
    return INFINITY; /* counts from when it is ready */
  double deadline = since + c->pol.default_deadline * MAX (j->spec.estimate, LEAST_ESTIMATE_S);
  for (guint i = 0; i < c->set->aims->len; i++) {
    const HrAim *a = &g_array_index (c->set->aims, HrAim, i);
    if (a->klass == j->spec.klass && a->kind == HR_AIM_FINISHED && a->within > 0)
      deadline = MIN (deadline, since + a->within);
  }
  return deadline;
}

static gboolean
counts (const HrJob *j)
{
  return j->known && j->tasks && j->stance == HR_QUEUED;
}

static void
set (HrCore *c, HrJob *j, HrRank rank, double deadline)
{
  if (j->deadline != deadline)
    hr_job_unplan (c, j); /* lists are in the order of deadlines */
  j->rank = rank;
  j->deadline = deadline;
  c->plan_dirty = TRUE;
}

/* Takes over what one that needs the job asks for. Did anything change? */
static gboolean
take_over (HrCore *c, HrJob *j, const HrJob *dependent)
{
  double latest = dependent->deadline - dependent->spec.estimate;
  HrRank rank = MIN (j->rank, dependent->rank);
  if (rank == j->rank && latest >= j->deadline)
    return FALSE;
  set (c, j, rank, MIN (j->deadline, latest));
  return TRUE;
}

/* From the job's own description and all that need it. Did anything change? */
static gboolean
recompute (HrCore *c, HrJob *j)
{
  HrRank rank = j->spec.rank;
  double deadline = own_deadline (c, j);
  for (guint i = 0; j->dependents && i < j->dependents->len; i++) {
    const HrJob *d = j->dependents->pdata[i];
    if (!counts (d))
      continue;
    rank = MIN (rank, d->rank);
    deadline = MIN (deadline, d->deadline - d->spec.estimate);
  }
  if (rank == j->rank && deadline == j->deadline)
    return FALSE;
  set (c, j, rank, deadline);
  return TRUE;
}

void
hr_urgency_read (HrCore *c, HrJob *j)
{
  if (!counts (j))
    return;
  recompute (c, j);
  GQueue todo = G_QUEUE_INIT;
  g_queue_push_tail (&todo, j);
  for (guint steps = 0; !g_queue_is_empty (&todo) && steps < MAX_STEPS; steps++) {
    HrJob *d = g_queue_pop_head (&todo);
    for (guint i = 0; i < d->nawaits; i++)
      if (counts (d->awaits[i]) && take_over (c, d->awaits[i], d))
        g_queue_push_tail (&todo, d->awaits[i]);
  }
  g_queue_clear (&todo);
}

void
hr_urgency_withdrawn (HrCore *c, const GPtrArray *jobs)
{
  g_autoptr (GHashTable) queued = g_hash_table_new (g_direct_hash, g_direct_equal);
  GQueue todo = G_QUEUE_INIT;
  for (guint k = 0; k < jobs->len; k++) {
    const HrJob *over = jobs->pdata[k];
    for (guint i = 0; i < over->nawaits; i++)
      if (counts (over->awaits[i]) && g_hash_table_add (queued, over->awaits[i]))
        g_queue_push_tail (&todo, over->awaits[i]);
  }
  for (guint steps = 0; !g_queue_is_empty (&todo) && steps < MAX_STEPS; steps++) {
    HrJob *j = g_queue_pop_head (&todo);
    g_hash_table_remove (queued, j);
    if (!recompute (c, j))
      continue;
    for (guint i = 0; i < j->nawaits; i++)
      if (counts (j->awaits[i]) && g_hash_table_add (queued, j->awaits[i]))
        g_queue_push_tail (&todo, j->awaits[i]);
  }
  g_queue_clear (&todo);
}
