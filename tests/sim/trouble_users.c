/* Users that planned troubles bring: they look closely, and call jobs off. */
#include "sim/trouble_parts.h"

#define CANCEL_NOW_SPAN_S 0.2
#define CANCEL_NOW_HANGS 8
#define LONG_TO_GO_S 20.0
#define CANCEL_AT_END_SPAN_S 0.6
#define LOOK_SPAN_S 0.03
#define LOOK_LATER_S 0.5

typedef enum { ASK_POLL, ASK_SUBMIT, ASK_CANCEL } AskKind;
typedef struct {
  SJob *job;
  AskKind kind;
  int node;
} PlannedAsk;

static void
planned_ask (World *w, gpointer p)
{
  PlannedAsk *a = p;
  if (a->kind == ASK_POLL)
    user_poll_at (w, a->job, a->node);
  else if (a->kind == ASK_SUBMIT)
    user_submit_at (w, a->job, a->node);
  else
    user_cancel_at (w, a->job, a->node);
  g_free (a);
}

static void
ask_after (World *w, SJob *j, AskKind kind, int node, double after)
{
  PlannedAsk *a = g_new (PlannedAsk, 1);
  *a = (PlannedAsk){j, kind, node};
  w_at (w, w->now + after, planned_ask, a);
}

static void
look_closely (World *w, SJob *j)
{
  for (int node = 0; node < w->n; node++) {
    for (guint i = 0; i < 3; i++)
      ask_after (w, j, ASK_POLL, node, trouble_rand (w, 0, LOOK_SPAN_S));
    ask_after (w, j, ASK_POLL, node, trouble_rand (w, LOOK_SPAN_S, LOOK_LATER_S));
  }
  ask_after (w, j, ASK_SUBMIT, trouble_any_node (w), trouble_rand (w, 0, LOOK_SPAN_S));
  w->troubles.played[TROUBLE_CLOSE_LOOKS]++;
}

void
troubles_told (World *w, SJob *j, gboolean accepted)
{
  const HrSwitch *looks = &w->troubles.close_looks;
  if (accepted && w->troubles.odd_until > w->now)
    odd_repeat (w, j);
  if (!trouble_on (w, looks))
    return;
  look_closely (w, j);
  if (accepted && trouble_rand (w, 0, 1) < looks->share)
    ask_after (w, j, ASK_CANCEL, trouble_any_node (w), trouble_rand (w, 0, LOOK_SPAN_S));
}

void
troubles_job_ended (World *w, SJob *j)
{
  if (trouble_on (w, &w->troubles.close_looks))
    look_closely (w, j);
  if (j->asked_cancel || !trouble_strikes (w, &w->troubles.cancel_at_end))
    return;
  double after = trouble_rand (w, -CANCEL_AT_END_SPAN_S, CANCEL_AT_END_SPAN_S);
  ask_after (w, j, ASK_CANCEL, trouble_any_node (w), MAX (0, after));
  w->troubles.played[TROUBLE_CANCEL_AT_END]++;
}

/* It runs, and neither ends soon nor was called off. */
static gboolean
long_to_go (World *w, const STask *t)
{
  const SJob *j = w->jobs->pdata[t->job];
  return t->state == S_RUN && j->accepted && !j->asked_cancel &&
         (j->shape == HR_SERVICE || j->run - t->base - (w->now - t->since) > LONG_TO_GO_S);
}

void
trouble_cancel_now (World *w, const HrTrouble *t)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  for (guint i = 0; w->jobs && i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      const STask *task = &g_array_index (m->tasks, STask, k);
      SJob *j = w->jobs->pdata[task->job];
      if (long_to_go (w, task) && !g_ptr_array_find (jobs, j, NULL))
        g_ptr_array_add (jobs, j);
    }
  }
  trouble_shuffle (w, jobs);
  g_ptr_array_set_size (jobs, MIN (jobs->len, t->count));
  for (guint i = 0; i < jobs->len; i++)
    ask_after (w, jobs->pdata[i], ASK_CANCEL, trouble_any_node (w),
               trouble_rand (w, 0, CANCEL_NOW_SPAN_S));
  w->troubles.played[TROUBLE_CANCEL_NOW] += jobs->len;
  if (t->hang_s <= 0)
    return;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      const STask *task = &g_array_index (m->tasks, STask, k);
      if (task->on && g_ptr_array_find (jobs, w->jobs->pdata[task->job], NULL)) {
        g_ptr_array_add (machines, m);
        break;
      }
    }
  }
  trouble_shuffle (w, machines);
  for (guint i = 0; i < MIN (machines->len, CANCEL_NOW_HANGS); i++)
    ((SMachine *)machines->pdata[i])->hang = w->now + t->hang_s;
}
