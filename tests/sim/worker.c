/* A stand-in for the workers: reports, tokens, leases, tasks and gangs. */
#include "sim/world.h"
#include "protocol/json_util.h"
#include <string.h>

#define GANG_WAIT 30.0
#define GANG_PEER 4.0
/* A report that is due is left out where another went out within this share of report_s. It is less
 * than the least time between two regular ones, so that these never end. */
#define REPORT_SENT_SHARE 0.72

static const char *const states[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const zones[] = {"z0", "z1"};

static void report_due (World *w, gpointer p);

static SJob *
job (World *w, const STask *t)
{
  return w->jobs->pdata[t->job];
}

static double
progress (World *w, const STask *t)
{
  return t->base + (t->state == S_RUN ? w->now - t->since : 0);
}

static void
end (World *w, SMachine *m, STask *t, const char *cause)
{
  SJob *j = job (w, t);
  if (t->state == S_EXIT)
    return;
  if (t->state == S_RUN && j->checkpoint > 0) {
    double p = progress (w, t);
    double saved = ((int)(p / j->checkpoint)) * j->checkpoint;
    j->progress[t->task] = MAX (j->progress[t->task], saved);
  }
  t->state = S_EXIT;
  t->on = FALSE;
  t->cause = cause;
}

/* The machine or its session ends: its tasks are gone, and nobody says so. */
void
machine_stop_all (World *w, SMachine *m, const char *why)
{
  for (guint i = 0; i < m->tasks->len; i++)
    end (w, m, &g_array_index (m->tasks, STask, i), "lost");
  g_array_set_size (m->tasks, 0);
}

static char *
report_text (World *w, SMachine *m)
{
  json_t *list = json_array ();
  m->tally++;
  for (guint i = 0; i < m->tasks->len; i++) {
    STask *t = &g_array_index (m->tasks, STask, i);
    g_autofree char *piece = g_strdup_printf ("%s/%u", job (w, t)->id, t->task);
    json_t *o =
        json_pack ("{sssiss}", "piece", piece, "try", (int)t->try, "stance", states[t->state]);
    if (t->state == S_EXIT)
      json_object_set_new (o, "cause", json_string (t->cause));
    if (t->kept)
      json_object_set_new (o, "kept", json_true ());
    json_array_append_new (list, o);
  }
  json_t *o = json_pack ("{sssssssssbsisisIso}", "rockhand", m->name, "addr", m->addr, "hull", "g2",
                         "quarry", zones[m->zone], "loaners", m->spot, "tenure", (int)m->tenure,
                         "tally", (int)m->tally, "baton", (json_int_t)m->baton, "pieces", list);
  if (m->warned)
    json_object_set_new (o, "warning_s", json_real (MAX (0, m->warned - w->now)));
  return hr_json_take_text (o);
}

static void
launch (World *w, SMachine *m, const char *id, guint32 task, guint32 attempt)
{
  guint32 idx;
  SJob *j = job_by_id (w, id, &idx);
  STask t = {.job = idx, .task = task, .try = attempt, .state = S_FETCH};
  double cpus = 0, gpus = 0, mem = 0;
  if (!j || task >= j->tasks) {
    w_broken (w, "protocol", "launch of %s/%u", id, task);
    return;
  }
  for (guint i = 0; i < m->tasks->len; i++) {
    STask *x = &g_array_index (m->tasks, STask, i);
    if (x->job == idx && x->task == task && x->try == attempt)
      return;
    if (x->state == S_EXIT)
      continue;
    if (x->job == idx && x->task == task) {
      t.state = S_EXIT;
      t.cause = "in_use";
    }
    cpus += job (w, x)->cpus;
    gpus += job (w, x)->gpus;
    mem += job (w, x)->mem;
  }
  if (t.state != S_EXIT &&
      (cpus + j->cpus > 12.001 || gpus + j->gpus > 2.001 || mem + j->mem > 96.001)) {
    t.state = S_EXIT;
    t.cause = "full";
  }
  gboolean cached = g_hash_table_contains (m->images, GUINT_TO_POINTER (j->image + 1));
  t.ready = w->now + (cached ? 0.05 : j->image_gb);
  t.failing = j->broken || (m->faulty && w_rand (w, 0, 1) < 0.7);
  g_array_append_val (m->tasks, t);
}

static void
obey (World *w, SMachine *m, json_t *orders)
{
  size_t i;
  json_t *o;
  json_array_foreach (orders, i, o)
  {
    const char *verb = json_string_value (json_object_get (o, "verb"));
    const char *piece = json_string_value (json_object_get (o, "piece"));
    guint32 attempt = json_integer_value (json_object_get (o, "try"));
    const char *slash = strrchr (piece, '/');
    g_autofree char *id = g_strndup (piece, slash - piece);
    guint32 task = g_ascii_strtoull (slash + 1, NULL, 10), idx = 0;
    job_by_id (w, id, &idx);
    if (strcmp (verb, "launch") == 0) {
      launch (w, m, id, task, attempt);
      continue;
    }
    for (guint k = 0; k < m->tasks->len; k++) {
      STask *t = &g_array_index (m->tasks, STask, k);
      if (t->job != idx || t->task != task || t->try != attempt)
        continue;
      if (strcmp (verb, "clear") == 0) {
        if (t->state == S_EXIT)
          g_array_remove_index (m->tasks, k);
        break;
      }
      double grace = json_number_value (json_object_get (o, "leeway_s"));
      SJob *j = job (w, t);
      if (t->state == S_RUN && j->checkpoint > 0 && grace >= j->save) {
        t->base = progress (w, t);
        t->state = S_SAVE;
        t->until = w->now + j->save;
      } else if (t->state != S_SAVE || grace == 0)
        end (w, m, t, "halted");
      break;
    }
  }
}

/* ---- the life of tasks ---- */

static SMachine *
peer_of (World *w, SJob *j, guint32 idx, guint32 task, guint32 attempt, STask **out)
{
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      STask *t = &g_array_index (m->tasks, STask, k);
      if (t->job == idx && t->task == task && t->try == attempt && t->state != S_EXIT) {
        *out = t;
        return m;
      }
    }
  }
  return NULL;
}

static void
gang_step (World *w, SMachine *m, STask *t)
{
  SJob *j = job (w, t);
  gboolean all = TRUE, ready = TRUE;
  for (guint32 i = 0; i < j->tasks; i++) {
    STask *p = NULL;
    if (!peer_of (w, j, t->job, i, t->try, &p))
      all = FALSE;
    else
      ready = ready && (p->state == S_GATHER || p->state == S_RUN);
  }
  if (t->state == S_GATHER) {
    if (all && ready) {
      t->state = S_RUN;
      t->since = w->now;
      if (!j->first)
        j->first = w->now;
      t->base = j->progress[0];
    } else if (w->now - t->since > GANG_WAIT)
      end (w, m, t, "incomplete");
  } else if (t->state == S_RUN && !all) {
    if (!t->until)
      t->until = w->now + w_rand (w, 0.5, GANG_PEER);
    else if (w->now > t->until)
      end (w, m, t, "peers");
  }
}

static gboolean
task_step (World *w, SMachine *m, STask *t)
{
  SJob *j = job (w, t);
  SState before = t->state;
  if (t->state == S_FETCH && w->now >= t->ready) {
    g_hash_table_add (m->images, GUINT_TO_POINTER (j->image + 1));
    judge_start (w, m, t);
    t->on = TRUE;
    t->since = w->now;
    t->state = j->shape == HR_GANG ? S_GATHER : S_RUN;
    t->base = j->shape == HR_BATCH ? j->progress[t->task] : 0;
    if (j->done[t->task])
      end (w, m, t, "done");
  }
  if (j->shape == HR_GANG && (t->state == S_GATHER || t->state == S_RUN))
    gang_step (w, m, t);
  if (t->state == S_RUN && t->failing && w->now - t->since > 1)
    end (w, m, t, "error");
  else if (t->state == S_RUN && j->shape != HR_SERVICE && progress (w, t) >= j->run) {
    if (j->shape == HR_GANG)
      for (guint32 i = 0; i < j->tasks; i++) {
        STask *p = NULL;
        SMachine *pm = peer_of (w, j, t->job, i, t->try, &p);
        j->done[i] = TRUE;
        if (pm && p != t)
          end (w, pm, p, "done");
      }
    j->done[t->task] = TRUE;
    end (w, m, t, "done");
    if (job_all_done (j))
      troubles_job_ended (w, j);
  } else if (t->state == S_SAVE && w->now >= t->until) {
    j->progress[j->shape == HR_GANG ? 0 : t->task] = t->base;
    t->kept = TRUE;
    end (w, m, t, "halted");
  }
  return t->state != before;
}

static void
live (World *w, gpointer p)
{
  SMachine *m = p;
  if (m->gone)
    return;
  w_at (w, w->now + (w->capacity > 100 ? 0.75 : 0.25), live, m); /* hundreds: coarser, to be fast */
  /* A hanging machine may resume within its lease, not after it. */
  if (w->now - m->lease_at > w->lease_s) {
    machine_stop_all (w, m, "lease");
    m->tenure++;
    m->lease_at = w->now;
    if (!m->out)
      report_due (w, m);
    return;
  }
  if (m->hang > w->now)
    return;
  gboolean changed = FALSE;
  for (guint i = 0; i < m->tasks->len; i++)
    changed |= task_step (w, m, &g_array_index (m->tasks, STask, i));
  if (changed && !m->out && w->now - m->report_sent > 0.5)
    report_due (w, m);
}

/* ---- reports ---- */

typedef struct {
  SMachine *m;
  guint report, tenure;
  double sent;
} Out;

static void
report_later (World *w, gpointer p)
{
  SMachine *m = p;
  if (!m->gone && !m->out && w->now - m->report_sent > REPORT_SENT_SHARE * w->report_s)
    report_due (w, m);
}

static void
report_next_node (World *w, gpointer p)
{
  SMachine *m = p;
  if (!m->out)
    report_due (w, m);
}

static void
on_report (World *w, int status, json_t *body, gpointer p)
{
  Out *o = p;
  SMachine *m = o->m;
  if (m->gone || o->report != m->report) {
    g_free (o);
    return;
  }
  m->out = FALSE;
  double next = w->now + w->report_s * w_rand (w, 0.75, 1.25);
  if (status == 200) {
    guint64 baton = json_integer_value (json_object_get (body, "baton"));
    /* A hanging worker reads nothing before it wakes. */
    if (baton >= m->baton && o->tenure == m->tenure && m->hang <= w->now) {
      /* A higher token is a change, at most once in half a lease. */
      if (baton > m->baton && w->now - m->token_told > w->lease_s / 2) {
        m->token_told = w->now;
        w_at (w, m->report_sent + 0.51, report_next_node, m);
      }
      m->baton = baton;
      m->lease_at = o->sent;
      obey (w, m, json_object_get (body, "orders"));
    }
    w_at (w, next, report_later, m);
  } else {
    const char *f = json_string_value (json_object_get (body, "foreman"));
    int to = f ? f[1] - '0' : -1;
    gboolean follow = status == 421 && to >= 0 && to < w->n && to != m->node;
    m->node = follow ? to : (m->node + 1) % w->n;
    w_at (w, w->now + (follow ? w_rand (w, 0, 0.5) : 1), report_next_node, m);
  }
  g_free (o);
}

static void
report_due (World *w, gpointer p)
{
  SMachine *m = p;
  if (m->gone || m->out)
    return;
  if (m->hang > w->now) {
    w_at (w, m->hang, report_next_node, m);
    return;
  }
  Out *o = g_new (Out, 1);
  *o = (Out){m, ++m->report, m->tenure, w->now};
  m->out = TRUE;
  m->report_sent = w->now;
  guint idx;
  g_ptr_array_find (w->machines, m, &idx);
  w_ask (w, m->node, idx, HR_POST, "/hello", report_text (w, m), 4, on_report, o);
}

void
worker_boot (World *w, SMachine *m)
{
  m->tenure = 1;
  m->lease_at = w->now;
  m->node = g_rand_int_range (w->rand, 0, w->n);
  live (w, m);
  report_due (w, m);
}

/* ---- direct orders ---- */

static void
do_late (World *w, gpointer p)
{
  Req *r = p;
  worker_request (w, r);
  req_unref (r);
}

void
worker_request (World *w, Req *r)
{
  SMachine *m = NULL;
  for (guint i = 0; i < w->machines->len; i++)
    if (strcmp (((SMachine *)w->machines->pdata[i])->addr, r->addr) == 0)
      m = w->machines->pdata[i];
  if (!m || m->gone || !m->up)
    return;
  if (m->hang > w->now) { /* carried out when it wakes */
    r->refs++;
    w_at (w, m->hang + 0.01, do_late, r);
    return;
  }
  json_t *o = json_loads (r->body, 0, NULL);
  guint64 baton = json_integer_value (json_object_get (o, "baton"));
  gboolean ok = baton >= m->baton &&
                json_integer_value (json_object_get (o, "tenure")) == (json_int_t)m->tenure;
  if (ok) {
    m->baton = baton;
    obey (w, m, json_object_get (o, "orders"));
  }
  json_decref (o);
  w_answer (w, r, ok ? 200 : 409, report_text (w, m));
}
