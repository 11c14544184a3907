/* An upgrade: controllers of production come back new one after the other, and some time after
 * the last the state service has its new limits, without notice. */
#include "coordination/core.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/world.h"

/* Down for so long in its turn. */
#define DOWN_S 5.0

void
upgrade_init (World *world)
{
  world->production = TRUE;
  store_format (world, FALSE);
  for (int i = 0; i < world->n; i++)
    world->nodes[i].speaks = 0;
  world_restart (world);
}

/* Its process ends, if it is there; from now on it comes back new. */
static void
turn (World *world, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (world, i);
  world->nodes[i].speaks = HR_NEWEST_RECORD_FORMAT;
  world->nodes[i].upgraded = TRUE;
  node_start_at (world, GPOINTER_TO_INT (data), world->now + (i == 0 ? world->last_down : DOWN_S));
}

/* The first node's turn is the last. */
double
upgrade_roll (World *world, double from, double gap, double last_down)
{
  world->last_down = last_down;
  for (int i = 0; i < world->n; i++)
    w_at (world, from + i * gap, turn, GINT_TO_POINTER ((i + 1) % world->n));
  return from + (world->n - 1) * gap;
}

void
upgrade_limits_fall (World *world, double at)
{
  world->limits_fall = at;
}
