/* What the files of faults share. */
#pragma once
#include "sim/world.h"

/* The controller ends, and is back after a while, or within a fraction of a second. */
void fault_crash (World *world, int node);
/* The same, back within half a second at most. node: GINT_TO_POINTER. */
void fault_stumble (World *world, gpointer node);
/* The state service answers this controller no more for a while. */
void fault_store_away (World *world, int node);
/* Of the machines marked for it when a trouble began: how many there are, and for how many it is
 * so. */
guint fault_marked (World *world, gboolean (*is_so) (const SimMachine *), guint *all);
