/* An upgrade: controllers of production come back new one after the other, and some time after
 * the last the state service has its new limits, without notice. */
#include "sim/world.h"

/* Down for so long in its turn. */
#define DOWN_S 5.0

void
upgrade_init (World *w)
{
  w->production = TRUE;
  store_format (w, FALSE);
  for (int i = 0; i < w->n; i++)
    w->nodes[i].speaks = 0;
  world_restart (w);
}

/* Its process ends, if it is there; from now on it comes back new. */
static void
turn (World *w, gpointer p)
{
  int i = GPOINTER_TO_INT (p);
  node_kill (w, i);
  w->nodes[i].speaks = HR_FORMAT;
  w->nodes[i].upgraded = TRUE;
  node_start_at (w, GPOINTER_TO_INT (p), w->now + (i == 0 ? w->last_down : DOWN_S));
}

/* The first node's turn is the last. */
double
upgrade_roll (World *w, double from, double gap, double last_down)
{
  w->last_down = last_down;
  for (int i = 0; i < w->n; i++)
    w_at (w, from + i * gap, turn, GINT_TO_POINTER ((i + 1) % w->n));
  return from + (w->n - 1) * gap;
}

void
upgrade_limits_fall (World *w, double at)
{
  w->limits_fall = at;
}
