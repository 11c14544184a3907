/* Rules that are checked whenever something happens, and that no job waits beside room. */
#include "sim/pipeline.h"
#include <string.h>

/* Of the machines that the cloud stand-in rents. */
#define MACHINE_CPUS 12.001
#define MACHINE_GPUS 2.001
#define MACHINE_MEM 96.001
#define WAITS_S 90.0
#define JUST_AFTER 0.001

/* ---- a team's limit ---- */

void
judge_quota (World *w, double starting_gpus)
{
  double gpus = starting_gpus;
  if (w->quota_gpus <= 0)
    return;
  g_autoptr (GString) who = g_string_new (NULL);
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      STask *t = &g_array_index (m->tasks, STask, k);
      SJob *j = w->jobs->pdata[t->job];
      if (!t->on || j->team)
        continue;
      gpus += j->gpus;
      g_string_append_printf (who, " %s/%u.%u@%s", j->id, t->task, t->try, m->name);
    }
  }
  if (gpus > w->quota_gpus + 1e-6)
    w_broken (w, "quota", "%g GPUs are used by%s", gpus, who->str);
}

/* ---- cancelled jobs ---- */

static void
time_is_over (World *w, gpointer p)
{
  SJob *j = p;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      STask *t = &g_array_index (m->tasks, STask, k);
      if (t->on && w->jobs->pdata[t->job] == j)
        w_broken (w, "ran_cancelled", "%s/%u is on %s when its time is over", j->id, t->task,
                  m->name);
    }
  }
}

void
judge_withdrawn (World *w, SJob *j)
{
  w_at (w, w->now + w->cancel_s + JUST_AFTER, time_is_over, j);
}

static void
check_launch (World *w, int node, guint64 known, const char *piece)
{
  g_autofree char *id = g_strndup (piece, strcspn (piece, "/"));
  const guint64 *store_revision = g_hash_table_lookup (w->withdrawn, id);
  if (store_revision && *store_revision <= known)
    w_broken (w, "launch_withdrawn",
              "c%d launches %s, of whose withdrawal it read before (%" G_GUINT64_FORMAT ")", node,
              piece, *store_revision);
}

void
judge_launches (World *w, int node, guint64 known, const GPtrArray *effects)
{
  for (guint i = 0; i < effects->len; i++) {
    const HrEffect *e = effects->pdata[i];
    if (!e->body || !strstr (e->body, "\"launch\""))
      continue;
    json_t *o = json_loads (e->body, 0, NULL), *order;
    size_t k;
    json_array_foreach (json_object_get (o, "orders"), k, order)
    {
      if (strcmp (json_string_value (json_object_get (order, "verb")), "launch") == 0)
        check_launch (w, node, known, json_string_value (json_object_get (order, "piece")));
    }
    json_decref (o);
  }
}

/* ---- jobs that wait beside room ---- */

typedef struct {
  double cpus, gpus, mem;
} Room;

static Room
room_on (World *w, const SMachine *m)
{
  Room r = {MACHINE_CPUS, MACHINE_GPUS, MACHINE_MEM};
  for (guint k = 0; k < m->tasks->len; k++) {
    const STask *t = &g_array_index (m->tasks, STask, k);
    const SJob *j = w->jobs->pdata[t->job];
    if (t->state == S_EXIT)
      continue;
    r.cpus -= j->cpus;
    r.gpus -= j->gpus;
    r.mem -= j->mem;
  }
  return r;
}

/* How many tasks of the job find room there. */
static guint
fitting (World *w, const SJob *j, const SMachine *m)
{
  if (!m->up || m->gone || m->warned || m->faulty || (m->spot && !j->spot) ||
      (j->zone && m->zone + 1 != j->zone))
    return 0;
  Room r = room_on (w, m);
  guint n = 0;
  for (; r.cpus >= j->cpus && r.gpus >= j->gpus && r.mem >= j->mem; n++) {
    r.cpus -= j->cpus;
    r.gpus -= j->gpus;
    r.mem -= j->mem;
  }
  return n;
}

typedef struct {
  guint placed, done, here[2]; /* here: placed in each zone */
} Placed;

static Placed
placed_tasks (World *w, const SJob *j)
{
  Placed p = {0};
  for (guint i = 0; i < w->machines->len; i++) {
    const SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      const STask *t = &g_array_index (m->tasks, STask, k);
      if (w->jobs->pdata[t->job] == j && t->state != S_EXIT) {
        p.placed++;
        p.here[m->zone]++;
      }
    }
  }
  for (guint k = 0; k < j->tasks; k++)
    p.done += j->done[k] != 0;
  return p;
}

static double
team_gpus (World *w)
{
  double gpus = 0;
  for (guint i = 0; i < w->machines->len; i++) {
    const SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      const STask *t = &g_array_index (m->tasks, STask, k);
      const SJob *j = w->jobs->pdata[t->job];
      if (t->state != S_EXIT && !j->team)
        gpus += j->gpus;
    }
  }
  return gpus;
}

/* Tasks of the job wait, and there is room for one of them, or for the whole gang. beside: a
 * machine of that room. */
static gboolean
waits_beside_room (World *w, const SJob *j, const SMachine **beside)
{
  Placed p = placed_tasks (w, j);
  guint needed = j->shape == HR_GANG ? j->tasks : 1, fit[2] = {0};
  if (p.placed + p.done >= j->tasks || (j->shape == HR_GANG && p.placed))
    return FALSE;
  if (w->quota_gpus > 0 && !j->team && team_gpus (w) + needed * j->gpus > w->quota_gpus + 1e-6)
    return FALSE;
  for (guint i = 0; i < w->machines->len; i++) {
    const SMachine *m = w->machines->pdata[i];
    guint n = !j->spread || p.here[m->zone] + 1 <= (j->tasks + 1) / 2 ? fitting (w, j, m) : 0;
    fit[m->zone] += n;
    if (n)
      *beside = m;
  }
  return j->one_zone ? MAX (fit[0], fit[1]) >= needed : fit[0] + fit[1] >= needed;
}

void
judge_waits (World *w)
{
  if (world_troubled (w)) {
    w->quiet_at = 0;
    return;
  }
  if (!w->quiet_at)
    w->quiet_at = w->now;
  for (guint i = 0; i < w->jobs->len; i++) {
    SJob *j = w->jobs->pdata[i];
    const SMachine *beside = NULL;
    gboolean waits = j->accepted && !j->asked_cancel && !j->broken && !j->told_done &&
                     pipeline_ready (j) && waits_beside_room (w, j, &beside);
    if (!waits)
      j->waits_at = 0;
    else if (!j->waits_at)
      j->waits_at = w->now;
    if (waits && w->now - MAX (j->waits_at, w->quiet_at) > WAITS_S) {
      w_broken (w, "waits", "%s (%d, %u tasks) waits beside room since %.1f, now on %s", j->id,
                j->shape, j->tasks, j->waits_at, beside->name);
      j->waits_at = w->now; /* once in a while */
    }
  }
}

/* ---- starts, and every half second ---- */

void
judge_start (World *w, SMachine *m, STask *t)
{
  SJob *j = w->jobs->pdata[t->job];
  guint here = 0;
  w->starts++;
  pipeline_start (w, j, t->task);
  j->started = w->now;
  if (!j->first && j->shape != HR_GANG) /* a gang begins when all its tasks run */
    j->first = w->now;
  if (j->heard_withdrawn) {
    w->started_withdrawn++;
    g_debug ("%s/%u starts on %s %.3f s after its user heard that it is withdrawn", j->id, t->task,
             m->name, w->now - j->told_withdrawn);
  }
  if (j->told_withdrawn && w->now > j->told_withdrawn + w->cancel_s)
    w_broken (w, "ran_cancelled", "%s/%u starts on %s", j->id, t->task, m->name);
  if (m->spot && !j->spot)
    w_broken (w, "wrong_place", "%s/%u starts on a spot machine", j->id, t->task);
  if (j->zone && m->zone + 1 != j->zone)
    w_broken (w, "wrong_place", "%s/%u starts outside the zone it is bound to", j->id, t->task);
  judge_quota (w, j->gpus);
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *x = w->machines->pdata[i];
    for (guint k = 0; !x->gone && k < x->tasks->len; k++) {
      STask *o = &g_array_index (x->tasks, STask, k);
      if (o == t || !o->on || o->job != t->job)
        continue;
      if (o->task == t->task)
        w_broken (w, "ran_twice", "%s/%u try %u starts on %s while try %u is on %s", j->id, t->task,
                  t->try, m->name, o->try, x->name);
      if (j->one_zone && x->zone != m->zone)
        w_broken (w, "wrong_place", "%s/%u starts in another zone", j->id, t->task);
      here += x->zone == m->zone;
    }
  }
  if (j->spread && here + 1 > (j->tasks + 1) / 2)
    w_broken (w, "wrong_place", "%s: %u of %u in one zone", j->id, here + 1, j->tasks);
}

/* Job by job: however well the others fare, none may stay without an answer for 75 s
 * once all troubles are over. A user asks every 15 s at the least. */
static void
judge_forgotten (World *w)
{
  for (guint i = 0; i < w->jobs->len; i++) {
    SJob *j = w->jobs->pdata[i];
    if (j->accepted && !j->forgotten && w->now - MAX (j->ok_at, w->calm_at) > 75) {
      j->forgotten = TRUE;
      w_broken (w, "forgotten", "no question about %s is answered", j->id);
    }
  }
}

void
judge_tick (World *w)
{
  if (w->calm)
    judge_forgotten (w);
  judge_quota (w, 0);
  judge_waits (w);
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      STask *t = &g_array_index (m->tasks, STask, k);
      SJob *j = w->jobs->pdata[t->job];
      if (t->on && j->told_withdrawn && w->now > j->told_withdrawn + w->cancel_s)
        w_broken (w, "ran_cancelled", "%s/%u is still on %s", j->id, t->task, m->name);
      pipeline_on_machine (w, j, t->task);
    }
  }
}
