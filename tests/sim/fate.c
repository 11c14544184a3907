/* What becomes of single requests, as a search over message fates decides. Times in seconds. */
#include "sim/world.h"

/* After every timeout of a call, so that its sender has given up. */
#define LATE_S 6.0
/* Long enough for a new leader to act, short of a worker's lease. */
#define COPY_S 9.0
#define BACK_S 0.3
/* Longer than a leader's lease of the state service. */
#define AWAY_S 7.0

static void
end_process (World *w, gpointer node)
{
  node_kill (w, GPOINTER_TO_INT (node));
}

/* The request that a copy is made of may be answered and gone by then. */
static Req *
copy_of (const Req *r)
{
  Req *c = g_new0 (Req, 1);
  *c = *r;
  c->addr = g_strdup (r->addr);
  c->path = g_strdup (r->path);
  c->body = g_strdup (r->body);
  c->answered = TRUE; /* nobody waits for it */
  c->refs = 1;
  return c;
}

static void
end_and_return (World *w, const Req *r, double at, double away)
{
  gpointer node = GINT_TO_POINTER (r->node >= 0 ? r->node : r->to);
  w_at (w, at, end_process, node);
  node_start_at (w, GPOINTER_TO_INT (node), at + away);
}

void
w_meet_fate (World *w, Req *r, WFate fate, double t)
{
  /* The answer takes at least as long: the process ends before it comes. */
  const double carried_out = t + 1e-5;
  switch (fate) {
  case FATE_LOST:
    return;
  case FATE_ANSWER_LOST:
    r->answer_lost = TRUE;
    break;
  case FATE_LATE:
    t += LATE_S;
    break;
  case FATE_COPIED:
    w_at (w, t + COPY_S, req_arrive, copy_of (r));
    break;
  case FATE_ENDS_BACK:
    end_and_return (w, r, carried_out, BACK_S);
    break;
  case FATE_ENDS_AWAY:
    end_and_return (w, r, carried_out, AWAY_S);
    break;
  default:
    break;
  }
  r->refs++;
  w_at (w, t, req_arrive, r);
}
