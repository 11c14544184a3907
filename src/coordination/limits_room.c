/* Room within a team's limit: its work of lower rank is stopped for what the limit holds back. */
#include "coordination/amount.h"
#include "coordination/limits.h"
#include "coordination/room.h"

/* Work of lower rank is stopped for a job that is no service where the limit would not let it
 * start within so long, s: what is stopped loses work. */
#define PATIENCE_S 10.0

/* What the team runs on a machine at a lower rank than the job's. */
typedef struct {
  HrMachine *m;
  double loss; /* of work, a task */
  guint n;
} Stoppable;

static gboolean
may_stop (const HrCore *c, const HrJob *victim, guint32 task, const HrJob *j)
{
  const HrTask *t = &victim->tasks[task];
  return victim->spec.team == j->spec.team && hr_job_rank (victim) > hr_job_rank (j) &&
         victim->state == HR_JOB_QUEUED && !victim->gang_over && t->state == HR_TASK_BOUND &&
         !t->stop_wanted;
}

static int
by_loss (gconstpointer a, gconstpointer b)
{
  double x = ((const Stoppable *)a)->loss, y = ((const Stoppable *)b)->loss;
  return x < y ? -1 : x > y;
}

/* The machines with such work, those first where least is lost: stopped machine by machine,
 * it leaves room that a large task fits in. */
static GArray *
stoppable (HrCore *c, const HrJob *j, HrAmount *all)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (Stoppable));
  *all = (HrAmount){0, 0};
  for (guint i = 0; i < c->fleet->len; i++) {
    Stoppable s = {c->fleet->pdata[i], 0, 0};
    for (guint k = 0; k < s.m->tasks->len; k++) {
      HrTaskRef r = g_array_index (s.m->tasks, HrTaskRef, k);
      const HrJob *victim = c->jobs->pdata[r.job];
      if (!may_stop (c, victim, r.task, j))
        continue;
      hr_amount_add (all, hr_amount_of (&victim->spec, 1));
      s.loss += hr_stop_loss (c, victim, &victim->tasks[r.task]);
      s.n++;
    }
    if (!s.n)
      continue;
    s.loss /= s.n;
    g_array_append_val (found, s);
  }
  g_array_sort (found, by_loss);
  return found;
}

/* Stops work until the pool holds the need. What is stopped joins the pool. */
static gboolean
stop_lower (HrCore *c, HrJob *j, HrAmount *pool, HrAmount need)
{
  HrAmount all;
  g_autoptr (GArray) found = stoppable (c, j, &all);
  hr_amount_add (&all, *pool);
  if (!hr_amount_holds (all, need))
    return FALSE;
  for (guint i = 0; i < found->len && !hr_amount_holds (*pool, need); i++) {
    HrMachine *m = g_array_index (found, Stoppable, i).m;
    for (guint k = 0; k < m->tasks->len && !hr_amount_holds (*pool, need);) {
      HrTaskRef r = g_array_index (m->tasks, HrTaskRef, k);
      HrJob *victim = c->jobs->pdata[r.job];
      if (!may_stop (c, victim, r.task, j)) {
        k++;
        continue;
      }
      g_info ("%s/%u on %s makes room for %s within their team's limit", victim->id, r.task,
              m->name, j->id);
      hr_amount_add (
          pool, hr_amount_of (&victim->spec, victim->spec.shape == HR_GANG ? victim->nlive : 1));
      hr_stop_for_room (c, victim, r.task);
      k = 0; /* a gang's other tasks may have left the machine */
    }
  }
  return hr_amount_holds (*pool, need);
}

/* Stops what the job's tasks without a grant need, as far as that is enough for them. */
static void
make_room (HrCore *c, HrTeamUse *u, HrJob *j)
{
  guint size = hr_limits_unit (j), idle = hr_limits_idle (j);
  HrAmount need = hr_amount_of (&j->spec, size);
  gboolean soon = j->spec.shape != HR_SERVICE && u->shadow - c->now <= PATIENCE_S;
  hr_amount_take (&u->pool, hr_amount_of (&j->spec, j->grant));
  for (guint n = idle - MIN (j->grant, idle); n >= size && !u->short_of; n -= size) {
    /* What is stopped for a later job would go to this one, or be filled by shorter work and
     * stopped again. */
    if (!hr_amount_holds (u->pool, need) && (soon || !stop_lower (c, j, &u->pool, need)))
      u->short_of = TRUE;
    else
      hr_amount_take (&u->pool, need);
  }
}

void
hr_limits_make_room (HrCore *c)
{
  for (guint i = 0; i < c->teams->len; i++) {
    HrTeamUse *u = &g_array_index (c->teams, HrTeamUse, i);
    u->pool = u->limited ? u->limit : (HrAmount){INFINITY, INFINITY};
    hr_amount_take (&u->pool, u->used);
    hr_amount_add (&u->pool, u->ending);
  }
  for (guint i = 0; i < c->waiting->len; i++) {
    HrJob *j = c->waiting->pdata[i];
    HrTeamUse *u = hr_team_use (c, j->spec.team);
    /* One that is lent lacks a machine, and others use its share meanwhile. */
    if (!u->short_of && !j->lent)
      make_room (c, u, j);
  }
}
