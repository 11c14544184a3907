/* A rolling upgrade: controllers of the version in production restart as the new version one after
 * the other. Some time after the last one the state store's new limits apply, without notice. */
#include "coordination/core.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/world.h"

/* Downtime of each controller except the last one. */
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

/* Kills the controller's process, if it is running, and restarts it as the new version. */
static void
upgrade_node (World *world, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (world, i);
  world->nodes[i].speaks = HR_NEWEST_RECORD_FORMAT;
  world->nodes[i].upgraded = TRUE;
  node_start_at (world, GPOINTER_TO_INT (data), world->now + (i == 0 ? world->last_down : DOWN_S));
}

/* Node 0 is upgraded last. */
double
upgrade_roll (World *world, double from, double gap, double last_down)
{
  world->last_down = last_down;
  for (int i = 0; i < world->n; i++)
    w_at (world, from + i * gap, upgrade_node, GINT_TO_POINTER ((i + 1) % world->n));
  return from + (world->n - 1) * gap;
}

void
upgrade_lower_limits (World *world, double at)
{
  world->limits_fall = at;
}
