/* Troubles drawn from the seed: alone, together, and in the middle of each other. */
#include "sim/faults.h"

void
fault_crash (World *world, int i)
{
  node_kill (world, i);
  /* Back after a while, now and then within a fraction of a second. */
  node_start_at (
      world, i,
      world->now + (w_rand (world, 0, 1) < 0.3 ? w_rand (world, 0.05, 0.5) : w_rand (world, 3, 7)));
}

/* Again and again, each time back within a fraction of a second. */
void
fault_stumble (World *world, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (world, i);
  node_start_at (world, GPOINTER_TO_INT (data), world->now + w_rand (world, 0.05, 0.5));
}

static void
fault (World *world, gpointer data G_GNUC_UNUSED)
{
  int i = g_rand_int_range (world->rand, 0, world->n);
  Node *n = &world->nodes[i];
  SimMachine *machine =
      world->machines->len
          ? world->machines->pdata[g_rand_int_range (world->rand, 0, world->machines->len)]
          : NULL;
  double d = w_rand (world, 3, 40);
  gboolean hold = w_rand (world, 0, 1) < 0.5;
  int kind = g_rand_int_range (world->rand, 0, 20);
  sim_log_time = world->now;
  g_debug ("fault %d on c%d or %s for %.1f s, %s", kind, i, machine ? machine->name : "-", d,
           hold ? "held" : "lost");
  switch (kind) {
  case 0:
  case 1:
    fault_crash (world, i);
    break;
  case 2:
    for (int k = 0; k < world->n; k++)
      fault_crash (world, k);
    break;
  case 3:
    world->outage = world->now + MIN (d, 28);
    break;
  case 4:
    n->refused = world->now + d;
    break;
  case 5:
    n->cut_workers = world->now + d;
    n->hold = hold;
    break;
  case 6:
    n->cut_store = world->now + d;
    n->hold = hold;
    break;
  case 7:
    n->cut_workers = n->cut_store = n->cut_peers = n->cut_users = world->now + d;
    n->alone_at = world->now;
    n->hold = hold;
    break;
  case 8:
    if (machine) {
      machine->cut = world->now + d;
      machine->hold = hold;
    }
    break;
  case 9:
    if (machine)
      machine->hang = world->now + d;
    break;
  case 10:
    for (guint k = 0; k < world->machines->len; k++)
      if (((SimMachine *)world->machines->pdata[k])->spot && w_rand (world, 0, 1) < 0.5)
        machine_take (world, world->machines->pdata[k]);
    break;
  case 11:
    world->cloud_outage = world->now + d;
    break;
  case 12:
    world->outage = world->now + MIN (d, 28);
    for (int k = 0; k < world->n; k++)
      fault_crash (world, k);
    break;
  case 13:
  case 14: /* several, so that it looks like a trouble of the controller's */
    for (guint k = 0; k < world->machines->len; k++) {
      SimMachine *other = world->machines->pdata[k];
      if (other == machine || (kind == 14 && w_rand (world, 0, 1) < 0.3))
        other->deaf = world->now + d;
    }
    break;
  case 15: /* but not its workers and users */
    n->cut_store = n->cut_peers = world->now + d;
    n->alone_at = world->now;
    n->hold = hold;
    break;
  case 16:
  case 17:
    for (int k = 0; k < (kind == 17 ? world->n : 1); k++)
      for (double until = 0; until < 6; until += w_rand (world, 0.6, 2.5))
        w_at (world, world->now + until, fault_stumble, GINT_TO_POINTER ((i + k) % world->n));
    break;
  case 18:
  case 19:
    for (int k = 0; k < (kind == 19 ? world->n : 1); k++)
      node_freeze (world, (i + k) % world->n, d);
    break;
  }
}

typedef struct {
  FreezeWho who;
  double for_s;
} Freeze;

static void
freeze (World *world, gpointer data)
{
  Freeze *freeze_row = data;
  int owner = MAX (0, store_leader (world));
  for (int k = 0; k < world->n; k++)
    if (freeze_row->who == FREEZE_ALL || (freeze_row->who == FREEZE_LEADER) == (k == owner))
      node_freeze (world, k, freeze_row->for_s);
  g_free (freeze_row);
}

void
faults_freeze (World *world, double at, FreezeWho who, double for_s)
{
  Freeze *freeze_row = g_new (Freeze, 1);
  *freeze_row = (Freeze){who, for_s};
  w_at (world, at, freeze, freeze_row);
}

/* The busiest machine hears nothing for long: it must be gone well before that is over,
 * or whatever is placed on it never runs. */
static void
still_there (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->gone)
    w_broken (world, "deaf", "%s hears nothing and is kept", machine->name);
}

static void
deafen (World *world, gpointer data G_GNUC_UNUSED)
{
  SimMachine *machine = NULL;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *other = world->machines->pdata[i];
    if (other->up && !other->gone && !other->warned &&
        (!machine || other->tasks->len > machine->tasks->len))
      machine = other;
  }
  if (!machine)
    return;
  machine->deaf = world->now + 200;
  w_at (world, world->now + 60, still_there, machine);
}

void
faults_inbound_cut (World *world, double at)
{
  w_at (world, at, deafen, NULL);
}

/* Of the machines marked for it when a trouble began: how many there are, and for how many it is
 * so. */
guint
fault_marked (World *world, gboolean (*is_so) (const SimMachine *), guint *all)
{
  guint n = 0;
  *all = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    const SimMachine *machine = world->machines->pdata[i];
    *all += machine->through_cut;
    n += machine->through_cut && is_so (machine);
  }
  return n;
}

static gboolean
is_gone (const SimMachine *machine)
{
  return machine->gone;
}

/* All controllers behind one cut, which holds back what is sent to them; they hear one
 * another. Nothing that was up before may be given away because of it. */
static void
kept (World *world, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_marked (world, is_gone, &up);
  if (!up || lost * 3 > up)
    w_broken (world, "kept", "%u of %u machines are given away after a cut", lost, up);
}

static void
cut_ends (World *world, gpointer data G_GNUC_UNUSED)
{
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    machine->through_cut =
        machine->up && !machine->gone && machine->tasks->len == 0 && machine->tenure > 1;
  }
}

static void
cut_all (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++) {
    Node *n = &world->nodes[k];
    n->cut_workers = n->cut_store = n->cut_users = world->now + 30;
    n->hold = TRUE;
  }
  w_at (world, world->now + 29.5, cut_ends, NULL);
  w_at (world, world->now + 42, kept, NULL);
}

void
faults_held_cut (World *world, double at)
{
  w_at (world, at, cut_all, NULL);
}

void
world_calm (World *world, gpointer unused G_GNUC_UNUSED)
{
  if (world->now < MAX (world->faults_to, world->troubles.over_at))
    return;
  world->calm = TRUE;
  world->calm_at = world->now;
}

void
faults_init (World *world, guint n, double from, double to)
{
  for (guint i = 0; i < n; i++)
    w_at (world, w_rand (world, from, to), fault, NULL);
  world->faults_to = to;
  w_at (world, to, world_calm, NULL);
}
