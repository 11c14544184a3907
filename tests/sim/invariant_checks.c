/* Rules that are checked whenever something happens, and that no job waits beside room. */
#include "coordination/command.h"
#include "sim/invariant_checks.h"
#include "sim/pipeline.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/worker.h"
#include <string.h>

/* Of the machines that the cloud stand-in rents. */
#define MACHINE_CPUS 12.001
#define MACHINE_GPUS 2.001
#define MACHINE_MEM 96.001
#define WAITS_S 90.0
#define JUST_AFTER 0.001

/* ---- a team's limit ---- */

void
check_quota (World *world, double starting_gpus)
{
  double gpus = starting_gpus;
  if (world->quota_gpus <= 0)
    return;
  g_autoptr (GString) who = g_string_new (NULL);
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = world->jobs->pdata[task->job];
      if (!task->on || job->team)
        continue;
      gpus += job->gpus;
      g_string_append_printf (who, " %s/%u.%u@%s", job->id, task->task, task->try, machine->name);
    }
  }
  if (gpus > world->quota_gpus + 1e-6)
    w_broken (world, "quota", "%g GPUs are used by%s", gpus, who->str);
}

/* ---- cancelled jobs ---- */

static void
time_is_over (World *world, gpointer data)
{
  SimJob *job = data;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (task->on && world->jobs->pdata[task->job] == job)
        w_broken (world, "ran_cancelled", "%s/%u is on %s when its time is over", job->id,
                  task->task, machine->name);
    }
  }
}

void
check_cancelled_job (World *world, SimJob *job)
{
  w_at (world, world->now + world->cancel_s + JUST_AFTER, time_is_over, job);
}

static void
check_launch (World *world, int node, guint64 known, const char *piece)
{
  g_autofree char *id = g_strndup (piece, strcspn (piece, "/"));
  const guint64 *store_revision = g_hash_table_lookup (world->cancelled_jobs, id);
  if (store_revision && *store_revision <= known)
    w_broken (world, "launch_withdrawn",
              "c%d launches %s, of whose withdrawal it read before (%" G_GUINT64_FORMAT ")", node,
              piece, *store_revision);
}

void
check_launches (World *world, int node, guint64 known, const GPtrArray *effects)
{
  for (guint i = 0; i < effects->len; i++) {
    const HrEffect *effect = effects->pdata[i];
    if (!effect->body || !strstr (effect->body, "\"launch\""))
      continue;
    json_t *object = json_loads (effect->body, 0, NULL), *order;
    size_t k;
    json_array_foreach (json_object_get (object, "orders"), k, order)
    {
      if (strcmp (json_string_value (json_object_get (order, "verb")), "launch") == 0)
        check_launch (world, node, known, json_string_value (json_object_get (order, "piece")));
    }
    json_decref (object);
  }
}

/* ---- jobs that wait beside room ---- */

typedef struct {
  double cpus, gpus, mem;
} Room;

static Room
room_on (World *world, const SimMachine *machine)
{
  Room room = {MACHINE_CPUS, MACHINE_GPUS, MACHINE_MEM};
  for (guint k = 0; k < machine->tasks->len; k++) {
    const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
    const SimJob *job = world->jobs->pdata[task->job];
    if (task->state == SIM_TASK_EXIT)
      continue;
    room.cpus -= job->cpus;
    room.gpus -= job->gpus;
    room.mem -= job->mem;
  }
  return room;
}

/* How many tasks of the job find room there. */
static guint
fitting (World *world, const SimJob *job, const SimMachine *machine)
{
  if (!machine->up || machine->gone || machine->warned || machine->faulty ||
      (machine->spot && !job->spot) || (job->zone && machine->zone + 1 != job->zone))
    return 0;
  Room room = room_on (world, machine);
  guint n = 0;
  for (; room.cpus >= job->cpus && room.gpus >= job->gpus && room.mem >= job->mem; n++) {
    room.cpus -= job->cpus;
    room.gpus -= job->gpus;
    room.mem -= job->mem;
  }
  return n;
}

typedef struct {
  guint placed, done, here[2]; /* here: placed in each zone */
} Placed;

static Placed
placed_tasks (World *world, const SimJob *job)
{
  Placed placed = {0};
  for (guint i = 0; i < world->machines->len; i++) {
    const SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (world->jobs->pdata[task->job] == job && task->state != SIM_TASK_EXIT) {
        placed.placed++;
        placed.here[machine->zone]++;
      }
    }
  }
  for (guint k = 0; k < job->tasks; k++)
    placed.done += job->done[k] != 0;
  return placed;
}

static double
team_gpus (World *world)
{
  double gpus = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    const SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      const SimJob *job = world->jobs->pdata[task->job];
      if (task->state != SIM_TASK_EXIT && !job->team)
        gpus += job->gpus;
    }
  }
  return gpus;
}

/* Tasks of the job wait, and there is room for one of them, or for the whole gang. beside: a
 * machine of that room. */
static gboolean
waits_beside_room (World *world, const SimJob *job, const SimMachine **beside)
{
  Placed placed = placed_tasks (world, job);
  guint needed = job->shape == HR_GANG ? job->tasks : 1, fit[2] = {0};
  if (placed.placed + placed.done >= job->tasks || (job->shape == HR_GANG && placed.placed))
    return FALSE;
  if (world->quota_gpus > 0 && !job->team &&
      team_gpus (world) + needed * job->gpus > world->quota_gpus + 1e-6)
    return FALSE;
  for (guint i = 0; i < world->machines->len; i++) {
    const SimMachine *machine = world->machines->pdata[i];
    guint n = !job->spread || placed.here[machine->zone] + 1 <= (job->tasks + 1) / 2
                  ? fitting (world, job, machine)
                  : 0;
    fit[machine->zone] += n;
    if (n)
      *beside = machine;
  }
  return job->one_zone ? MAX (fit[0], fit[1]) >= needed : fit[0] + fit[1] >= needed;
}

void
check_waiting_jobs (World *world)
{
  if (world_has_active_fault (world)) {
    world->quiet_at = 0;
    return;
  }
  if (!world->quiet_at)
    world->quiet_at = world->now;
  for (guint i = 0; i < world->jobs->len; i++) {
    SimJob *job = world->jobs->pdata[i];
    const SimMachine *beside = NULL;
    gboolean waits = job->accepted && !job->asked_cancel && !job->broken && !job->told_done &&
                     pipeline_ready (job) && waits_beside_room (world, job, &beside);
    if (!waits)
      job->waits_at = 0;
    else if (!job->waits_at)
      job->waits_at = world->now;
    if (waits && world->now - MAX (job->waits_at, world->quiet_at) > WAITS_S) {
      w_broken (world, "waits", "%s (%d, %u tasks) waits beside room since %.1f, now on %s",
                job->id, job->shape, job->tasks, job->waits_at, beside->name);
      job->waits_at = world->now; /* once in a while */
    }
  }
}

/* ---- starts, and every half second ---- */

void
check_task_start (World *world, SimMachine *machine, SimTask *task)
{
  SimJob *job = world->jobs->pdata[task->job];
  guint here = 0;
  world->starts++;
  pipeline_on_task_start (world, job, task->task);
  job->started = world->now;
  if (!job->first && job->shape != HR_GANG) /* a gang begins when all its tasks run */
    job->first = world->now;
  if (job->heard_cancelled) {
    world->started_cancelled++;
    g_debug ("%s/%u starts on %s %.3f s after its user heard that it is withdrawn", job->id,
             task->task, machine->name, world->now - job->told_cancelled);
  }
  if (job->told_cancelled && world->now > job->told_cancelled + world->cancel_s)
    w_broken (world, "ran_cancelled", "%s/%u starts on %s", job->id, task->task, machine->name);
  if (machine->spot && !job->spot)
    w_broken (world, "wrong_place", "%s/%u starts on a spot machine", job->id, task->task);
  if (job->zone && machine->zone + 1 != job->zone)
    w_broken (world, "wrong_place", "%s/%u starts outside the zone it is bound to", job->id,
              task->task);
  check_quota (world, job->gpus);
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *other_row = world->machines->pdata[i];
    for (guint k = 0; !other_row->gone && k < other_row->tasks->len; k++) {
      SimTask *other = &g_array_index (other_row->tasks, SimTask, k);
      if (other == task || !other->on || other->job != task->job)
        continue;
      if (other->task == task->task)
        w_broken (world, "ran_twice", "%s/%u try %u starts on %s while try %u is on %s", job->id,
                  task->task, task->try, machine->name, other->try, other_row->name);
      if (job->one_zone && other_row->zone != machine->zone)
        w_broken (world, "wrong_place", "%s/%u starts in another zone", job->id, task->task);
      here += other_row->zone == machine->zone;
    }
  }
  if (job->spread && here + 1 > (job->tasks + 1) / 2)
    w_broken (world, "wrong_place", "%s: %u of %u in one zone", job->id, here + 1, job->tasks);
}

/* Job by job: however well the others fare, none may stay without an answer for 75 s
 * once all troubles are over. A user asks every 15 s at the least. */
static void
check_unanswered_jobs (World *world)
{
  for (guint i = 0; i < world->jobs->len; i++) {
    SimJob *job = world->jobs->pdata[i];
    if (job->accepted && !job->forgotten && world->now - MAX (job->ok_at, world->calm_at) > 75) {
      job->forgotten = TRUE;
      w_broken (world, "forgotten", "no question about %s is answered", job->id);
    }
  }
}

void
check_periodically (World *world)
{
  if (world->calm)
    check_unanswered_jobs (world);
  check_quota (world, 0);
  check_waiting_jobs (world);
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = world->jobs->pdata[task->job];
      if (task->on && job->told_cancelled && world->now > job->told_cancelled + world->cancel_s)
        w_broken (world, "ran_cancelled", "%s/%u is still on %s", job->id, task->task,
                  machine->name);
      pipeline_on_machine (world, job, task->task);
    }
  }
}
