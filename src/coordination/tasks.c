/* What happens to a task: assigned, recorded, seen, gone, done. */
#include "coordination/state.h"
#include <math.h>
#include <string.h>

/* A class's correction is the mean of about this many samples' effect at the most. */
#define CORRECTION_WINDOW 40

static HrMachine *
machine_of (HrCore *c, const HrTask *t)
{
  return c->machines->pdata[t->machine];
}

/* Its orders go out with the next step. */
static void
urgent (HrCore *c, HrMachine *m)
{
  m->urgent = c->urgent = TRUE;
}

static void
freed (HrCore *c, HrMachine *m)
{
  if (m->tasks->len == 0)
    m->idle_at = c->now;
  c->plan_dirty = TRUE;
}

guint32
hr_job_next_try (const HrJob *j)
{
  guint32 a = 0;
  for (guint32 i = 0; i < j->ntasks; i++)
    a = MAX (a, MAX (j->tasks[i].try, j->tasks[i].rtry));
  return a + 1;
}

void
hr_task_assign (HrCore *c, HrJob *j, guint32 task, HrMachine *m, guint32 attempt)
{
  HrTask *t = &j->tasks[task];
  HrRef r = {j->idx, task};
  t->machine = m->idx;
  t->session = m->session;
  t->try = attempt;
  t->state = HR_T_ASSIGNING;
  t->shown = HR_NOT_SHOWN;
  t->kill = t->inherited = 0;
  t->killed_at = t->ran_at = 0;
  t->placed_at = c->now;
  t->fetch = hr_fetch_time (c, j, m);
  j->nlive++;
  hr_machine_take (m, &j->spec, r);
  hr_ledger_mark (c, j, task);
  g_debug ("%s/%u try %u goes to %s", j->id, task, attempt, m->name);
}

/* Takes the task off its machine's books. */
static void
release (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m = machine_of (c, t);
  HrRef r = {j->idx, task};
  hr_machine_give (m, &j->spec, r);
  j->nlive--;
  t->kill = 0;
  freed (c, m);
  if (j->nlive)
    return;
  j->gang_over = FALSE;
  j->short_since = 0;
  if (j->stance != HR_QUEUED)
    hr_ledger_mark (c, j, 0); /* all are gone: the record can shrink */
}

void
hr_task_unassign (HrCore *c, HrJob *j, guint32 task)
{
  j->tasks[task].state = HR_T_IDLE;
  release (c, j, task);
}

gboolean
hr_gang_ready (const HrJob *j)
{
  for (guint32 i = 0; i < j->ntasks; i++)
    if (j->tasks[i].state != HR_T_BOUND || j->tasks[i].try != j->tasks[0].try)
      return FALSE;
  return TRUE;
}

void
hr_task_bound (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m = machine_of (c, t);
  t->state = HR_T_BOUND;
  if (m->state != HR_M_UP || m->session != t->session) {
    /* The machine went, or began a new session, while we wrote; nothing was sent. */
    hr_task_gone (c, j, task, HR_X_NONE, "its machine changed before the launch");
    return;
  }
  if (j->spec.shape == HR_GANG && j->ndone) {
    /* A replacement for a gang that turned out to be done while we wrote; nothing was sent. */
    hr_task_done (c, j, task);
    return;
  }
  urgent (c, m);
  if (j->spec.shape == HR_GANG && hr_gang_ready (j)) {
    j->ready_at = c->now;
    for (guint32 i = 0; i < j->ntasks; i++)
      urgent (c, machine_of (c, &j->tasks[i]));
  }
}

/* A task that has its image at once would wait for those that fetch it, and give up after
 * gang_wait_s; with it they would lose their fetches, attempt after attempt. So it is
 * launched later: half of that wait before the longest fetch should end. */
gboolean
hr_gang_holds_back (const HrCore *c, const HrJob *j, const HrTask *t)
{
  double longest = 0;
  for (guint32 i = 0; i < j->ntasks; i++)
    if (j->tasks[i].shown == HR_NOT_SHOWN || j->tasks[i].shown == HR_W_FETCHING)
      longest = MAX (longest, j->tasks[i].fetch);
  return c->now < j->ready_at + longest - t->fetch - c->set->gang_wait_s / 2;
}

void
hr_gang_end (HrCore *c, HrJob *j, double grace)
{
  j->gang_over = TRUE;
  j->short_since = 0;
  for (guint32 i = 0; i < j->ntasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->state == HR_T_ASSIGNING && !t->inflight)
      hr_task_unassign (c, j, i);
    else if (t->state == HR_T_BOUND && !t->kill)
      hr_task_stop (c, j, i, grace);
  }
}

static void
failed (HrCore *c, HrJob *j, HrMachine *m, HrExit why)
{
  j->last_error = why;
  j->bad_machine = m->idx;
  j->errors++;
  /* Mostly the machine is at fault, so the first try elsewhere is at once; a job
   * that keeps failing waits longer and longer. */
  j->pause = j->errors < 2
                 ? 0
                 : MIN (c->pol.retry_most_s, c->pol.retry_s * pow (2, MIN (j->errors - 2, 20)));
  j->retry_at = c->now + j->pause;
  j->bad_until = c->now + MAX (60, 2 * j->pause);
  if (m->error_job != j->idx) {
    m->error_job = j->idx;
    m->errors++;
  }
  g_info ("%s failed on %s (%s), %u in a row; next try in %.0f s", j->id, m->name,
          hr_exit_name (why), j->errors, j->pause);
  if (m->errors >= c->pol.error_limit && !m->drain) {
    g_message ("%s fails task after task; it is drained and returned", m->name);
    m->drain = TRUE;
  }
}

/* Has the attempt begun, as far as its workers have said? */
static gboolean
gang_began (const HrJob *j)
{
  for (guint32 i = 0; i < j->ntasks; i++)
    if (j->tasks[i].state == HR_T_BOUND &&
        (j->tasks[i].ran_at || j->tasks[i].inherited || j->tasks[i].kill))
      return TRUE;
  return FALSE;
}

void
hr_task_gone (HrCore *c, HrJob *j, guint32 task, HrExit why, const char *proof)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m = machine_of (c, t);
  if (t->state != HR_T_BOUND)
    return;
  /* The others of a gang that has not begun keep waiting; a replacement with the same
   * attempt number completes it. A task that failed would most likely fail again. */
  gboolean replace = (why == HR_X_NONE || why == HR_X_FULL) && !gang_began (j);
  g_debug ("%s/%u try %u is off %s: %s", j->id, task, t->try, m->name, proof);
  t->state = HR_T_IDLE;
  if (why == HR_X_ERROR || why == HR_X_UNKNOWN)
    failed (c, j, m, why);
  else if (why == HR_X_FULL || why == HR_X_IN_USE) {
    m->full_until = c->now + 3;
    j->last_error = why;
  }
  gboolean gang = j->spec.shape == HR_GANG && j->nlive > 1;
  if (j->spec.shape == HR_SERVICE)
    c->planned_at = 0; /* a replica is down: plan at once */
  release (c, j, task);
  if (!gang || j->gang_over || j->stance != HR_QUEUED)
    return;
  if (!replace)
    hr_gang_end (c, j, 0);
  else if (!j->short_since)
    j->short_since = c->now;
}

static void
learn (HrCore *c, HrJob *j, HrTask *t, HrMachine *m)
{
  HrClassStat *s = hr_class (c, j->spec.klass);
  double ran = c->now - t->ran_at;
  if (!t->ran_at || j->spec.estimate <= 0 || j->spec.shape == HR_SERVICE)
    return;
  double ratio = CLAMP (ran / j->spec.estimate, c->pol.correction_least, c->pol.correction_most);
  /* One task counts little: jobs differ far more than a class drifts. */
  s->samples++;
  double k = 1.0 / MIN (2 * s->samples + 1, CORRECTION_WINDOW);
  s->correction += k * (ratio - s->correction);
}

/* A gang completes together: one is done, so all of that attempt are, also those
 * whose machine went before it could say so. */
static void
gang_done (HrCore *c, HrJob *j, guint32 attempt, gboolean any)
{
  for (guint32 i = 0; i < j->ntasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->try != attempt && !any)
      continue;
    if (t->state == HR_T_ASSIGNING && !t->inflight)
      hr_task_unassign (c, j, i);
    if (t->state == HR_T_BOUND)
      hr_task_done (c, j, i);
    else if (t->state == HR_T_IDLE) {
      t->state = HR_T_DONE;
      j->ndone++;
      hr_ledger_mark (c, j, i);
    }
  }
}

void
hr_task_done (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  if (t->state != HR_T_BOUND)
    return;
  HrMachine *m = machine_of (c, t);
  learn (c, j, t, m);
  m->errors = 0;
  m->error_job = HR_NONE;
  j->errors = 0;
  g_debug ("%s/%u ends on %s", j->id, task, m->name);
  t->state = HR_T_DONE;
  j->ndone++;
  release (c, j, task);
  hr_ledger_mark (c, j, task);
  if (j->spec.shape == HR_GANG)
    gang_done (c, j, t->try, FALSE);
}

void
hr_task_stop (HrCore *c, HrJob *j, guint32 task, double grace)
{
  HrTask *t = &j->tasks[task];
  if (t->state != HR_T_BOUND || (t->kill && t->grace <= grace))
    return;
  t->kill = 1;
  t->grace = grace;
  t->killed_at = 0;
  urgent (c, machine_of (c, t));
}

static guint
bound_tasks (const HrJob *j)
{
  guint n = 0;
  for (guint32 i = 0; i < j->ntasks; i++)
    n += j->tasks[i].state == HR_T_BOUND;
  return n;
}

void
hr_job_withdrawn (HrCore *c, HrJob *j)
{
  g_info ("%s is withdrawn", j->id);
  c->counters.withdrawals++;
  if (!j->withdrawn_since)
    j->withdrawn_since = c->confirmed_at; /* of the last reading that did not show it */
  g_info ("withdrawn: job=%s epoch=%" G_GUINT64_FORMAT " reading_age=%.2f bound=%u", j->id,
          c->applied, c->now - c->confirmed_at, bound_tasks (j));
  for (guint32 i = 0; i < j->ntasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->state == HR_T_ASSIGNING && !t->inflight)
      hr_task_unassign (c, j, i);
    else if (t->state == HR_T_BOUND)
      hr_task_stop (c, j, i, 0);
  }
  if (!j->nlive)
    hr_ledger_mark (c, j, 0);
}

#define BUCKET_S 10.0
#define RATE_TAU_S 120.0

/* Tasks arriving a second, smoothed. What arrives in one bunch (at the very start,
 * or after an outage) says little about what comes next, so it counts capped. */
double
hr_class_arrivals (HrCore *c, HrClassStat *s, guint n)
{
  double keep = exp (-BUCKET_S / RATE_TAU_S);
  if (!s->bucket_at)
    s->bucket_at = c->now;
  for (guint i = 0; c->now - s->bucket_at >= BUCKET_S && i < 200; i++) {
    double most = 2 + 3 * (s->weight > 0 ? s->sum / s->weight : 0) * BUCKET_S;
    s->sum = keep * s->sum + (1 - keep) * MIN (s->bucket, most) / BUCKET_S;
    s->weight = keep * s->weight + (1 - keep); /* young averages count what they have seen */
    s->bucket = 0;
    s->bucket_at += BUCKET_S;
  }
  if (c->now - s->bucket_at >= BUCKET_S)
    s->bucket_at = c->now;
  s->bucket += n;
  return s->weight > 0 ? s->sum / s->weight : MIN (s->bucket, 2) / BUCKET_S;
}

/* Keeps the list of jobs that the owner has to look at. One that waits for others has no task
 * and takes no room, limit or guarantee: it comes in when the last of them is done. */
void
hr_job_open (HrCore *c, HrJob *j)
{
  if (j->listed || j->shrunk || hr_job_waits (j))
    return;
  j->listed = TRUE;
  g_array_append_val (c->open, j->idx);
  if (j->nawaits && !j->ready_since)
    j->ready_since = c->wall;
  hr_urgency_read (c, j);
  /* When a job of which the end of the last awaited one was not seen became ready nobody knows. */
  gboolean unknown = j->nawaits && (c->sync != HR_SYNC_FOLLOWING || j->stance != HR_QUEUED);
  if (j->counted || unknown || c->wall - hr_job_since (j) > 30)
    return;
  j->counted = TRUE;
  g_debug ("%s arrives: %s, %u tasks, estimate %.0f s, image %s of %.1f GB", j->id,
           hr_intern_name (&c->names->classes, j->spec.klass), j->ntasks, j->spec.estimate,
           hr_intern_name (&c->names->images, j->spec.image), j->spec.image_gb);
  HrClassStat *s = hr_class (c, j->spec.klass);
  hr_class_arrivals (c, s, j->ntasks);
  double k = s->seen ? 0.2 : 1;
  s->seen = TRUE;
  s->cpus += k * (j->spec.cpus - s->cpus);
  s->gpus += k * (j->spec.gpus - s->gpus);
  s->mem += k * (j->spec.mem - s->mem);
  hr_class_use_image (s, j->spec.image, j->ntasks);
  s->shape = j->spec.shape;
  s->rank = j->spec.rank; /* its own: what it is needed for differs from job to job */
  s->spot = j->spec.spot;
  s->types = j->spec.types;
  s->teams |= G_GUINT64_CONSTANT (1) << j->spec.team % 64;
}

/* More than any task is tried in one owner's time. */
#define TRIES_A_TERM 1000

/* What an earlier term knew of the machine is out of date. */
static void
forget_machine (HrCore *c, HrMachine *m)
{
  const HrType *type = hr_type (c, m);
  g_array_set_size (m->tasks, 0);
  g_array_set_size (m->list, 0);
  g_array_set_size (m->direct, 0);
  m->foreign_cpus = m->foreign_gpus = m->foreign_mem = 0;
  m->cpus = type ? type->cpus : 0;
  m->gpus = type ? type->gpus : 0;
  m->mem = type ? type->mem : 0;
  m->heard_at = m->answered_at = m->unreceived_at = m->deaf_at = 0;
  m->rented_here = FALSE;
  m->token = 0;
  m->reply_launch = m->do_out = m->do_lost = 0;
  m->urgent = m->drain = FALSE;
  m->idle_at = c->now;
  m->notice_at = 0;
  m->state = HR_M_GONE;
}

/* The task is on the machine that its record names, as far as any proof goes. */
static void
take_over_bound (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m = hr_machine_get (c, hr_intern_name (&c->machine_ids, t->rmachine));
  t->machine = t->rmachine;
  t->session = t->rsession;
  t->state = HR_T_BOUND;
  t->inherited = 1;
  j->nlive++;
  hr_machine_take (m, &j->spec, (HrRef){j->idx, task});
  if (m->state == HR_M_GONE) {
    /* Known from a record alone: it reports, or its absence gets proven. */
    m->state = HR_M_UP;
    m->session = MAX (m->session, t->rsession);
    hr_fleet_add (c, m);
  }
}

/* As recorded. Returns whether the tasks of a gang are of different attempts. */
static gboolean
take_over_tasks (HrCore *c, HrJob *j)
{
  gboolean bound = FALSE, mixed = FALSE;
  for (guint32 k = 0; k < j->ntasks; k++) {
    HrTask *t = &j->tasks[k];
    t->inflight = t->kill = t->planned = 0;
    t->shown = HR_NOT_SHOWN;
    t->state = HR_T_IDLE;
    t->try = t->rtry;
    t->ran_at = t->killed_at = 0;
    t->placed_at = c->now;
    if (t->rdone) {
      t->state = HR_T_DONE;
      j->ndone++;
      continue;
    }
    if (t->rmachine == HR_NONE) {
      if (j->unreadable) /* its attempts are not known either, and none may be numbered twice */
        t->try = MAX (t->try, (guint32)(c->led_baton * TRIES_A_TERM));
      mixed |= j->spec.shape == HR_GANG && bound;
      continue;
    }
    mixed |= j->spec.shape == HR_GANG && (k > 0 && (!bound || t->rtry != j->tasks[0].rtry));
    bound = TRUE;
    take_over_bound (c, j, k);
  }
  return mixed;
}

static void
take_over_job (HrCore *c, HrJob *j)
{
  j->nlive = j->ndone = 0;
  j->gang_over = FALSE;
  j->short_since = 0;
  j->planned = 0;
  j->errors = 0;
  /* Tasks that nobody knows the place of wait until no lease can be left that an earlier
   * owner renewed; whatever reports to us is told to stop what we do not know. */
  j->retry_at = j->unreadable ? c->led_at + c->pol.hold_s + hr_absence_lease (c) : 0;
  gboolean mixed = take_over_tasks (c, j);
  if (j->spec.shape == HR_GANG && j->ndone && j->stance == HR_QUEUED)
    gang_done (c, j, 0, TRUE); /* a large gang's ending was being recorded page by page */
  if (j->stance == HR_WITHDRAWN)
    hr_job_withdrawn (c, j);
  else if (mixed && j->nlive) /* parts of different attempts: begin again with a new one */
    hr_gang_end (c, j, 0);
  if (j->ndone == j->ntasks)
    hr_ledger_mark (c, j, 0);
}

/* What this term begins with. */
static void
log_term (const HrCore *c)
{
  guint jobs = 0, bound = 0, withdrawn = 0;
  for (guint i = 0; i < c->open->len; i++) {
    const HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    guint n = j->tasks ? bound_tasks (j) : 0;
    jobs++;
    bound += n;
    withdrawn += j->stance == HR_WITHDRAWN ? n : 0;
  }
  g_message ("leads: token=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
             " reading_age=%.2f jobs=%u bound=%u withdrawn_bound=%u",
             c->baton, c->applied, c->now - c->confirmed_at, jobs, bound, withdrawn);
}

/* A new owner: what the records say is what may be out there. */
void
hr_tasks_take_over (HrCore *c)
{
  for (guint i = 0; i < c->machines->len; i++)
    forget_machine (c, c->machines->pdata[i]);
  /* The fleet of an earlier term of ours is long out of date: others have returned
   * machines since. What records, reports and the cloud's list name is there. */
  g_ptr_array_set_size (c->fleet, 0);
  g_array_set_size (c->dirty, 0);
  hr_split_rescan (c);
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->tasks)
      take_over_job (c, j);
  }
  c->plan_dirty = TRUE;
  log_term (c);
}
