/* Checks of rules during a day (invariant_checks.h). */
#include "coordination/command.h"
#include "sim/invariant_checks.h"
#include "sim/pipeline.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/worker.h"
#include <string.h>

/* Capacity of the simulated machines, with a tolerance for rounding. */
#define MACHINE_CPUS 12.001
#define MACHINE_GPUS 2.001
#define MACHINE_MEM 96.001
#define MAX_WAIT_S 90.0
#define JUST_AFTER_S 0.001

/* ---- a team's quota ---- */

void
check_quota (SimCluster *cluster, double starting_gpus)
{
  double gpus = starting_gpus;
  if (cluster->quota_gpus <= 0)
    return;
  g_autoptr (GString) tasks = g_string_new (NULL);
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = cluster->jobs->pdata[task->job];
      if (!task->active || job->team)
        continue;
      gpus += job->gpus;
      g_string_append_printf (tasks, " %s/%u.%u@%s", job->id, task->task, task->try, machine->name);
    }
  }
  if (gpus > cluster->quota_gpus + 1e-6)
    sim_report_violation (cluster, "quota", "%g GPUs are used by%s", gpus, tasks->str);
}

/* ---- cancelled jobs ---- */

static void
check_cancelled_after_grace (SimCluster *cluster, gpointer data)
{
  SimJob *job = data;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (task->active && cluster->jobs->pdata[task->job] == job)
        sim_report_violation (cluster, "ran_cancelled",
                              "%s/%u is still on %s when the time for its cancellation is over",
                              job->id, task->task, machine->name);
    }
  }
}

void
check_cancelled_job (SimCluster *cluster, SimJob *job)
{
  sim_schedule (cluster, cluster->now + cluster->cancel_s + JUST_AFTER_S,
                check_cancelled_after_grace, job);
}

static void
check_launch (SimCluster *cluster, int node, guint64 known, const char *piece)
{
  g_autofree char *id = g_strndup (piece, strcspn (piece, "/"));
  const guint64 *store_revision = g_hash_table_lookup (cluster->cancelled_jobs, id);
  if (store_revision && *store_revision <= known)
    sim_report_violation (cluster, "launch_withdrawn",
                          "c%d launches %s though it has read its cancellation (%" G_GUINT64_FORMAT
                          ")",
                          node, piece, *store_revision);
}

void
check_launches (SimCluster *cluster, int node, guint64 known, const GPtrArray *effects)
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
        check_launch (cluster, node, known, json_string_value (json_object_get (order, "piece")));
    }
    json_decref (object);
  }
}

/* ---- jobs that wait although they fit ---- */

typedef struct {
  double cpus, gpus, mem;
} FreeCapacity;

static FreeCapacity
free_on (SimCluster *cluster, const SimMachine *machine)
{
  FreeCapacity room = {MACHINE_CPUS, MACHINE_GPUS, MACHINE_MEM};
  for (guint k = 0; k < machine->tasks->len; k++) {
    const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
    const SimJob *job = cluster->jobs->pdata[task->job];
    if (task->state == SIM_TASK_EXIT)
      continue;
    room.cpus -= job->cpus;
    room.gpus -= job->gpus;
    room.mem -= job->mem;
  }
  return room;
}

/* Returns how many tasks of the job fit on the machine. */
static guint
fitting_tasks (SimCluster *cluster, const SimJob *job, const SimMachine *machine)
{
  if (!machine->up || machine->gone || machine->reclaim_at || machine->faulty ||
      (machine->spot && !job->spot) || (job->zone && machine->zone + 1 != job->zone))
    return 0;
  FreeCapacity room = free_on (cluster, machine);
  guint n = 0;
  for (; room.cpus >= job->cpus && room.gpus >= job->gpus && room.mem >= job->mem; n++) {
    room.cpus -= job->cpus;
    room.gpus -= job->gpus;
    room.mem -= job->mem;
  }
  return n;
}

typedef struct {
  guint placed, done, in_zone[2];
} TaskCounts;

static TaskCounts
placed_tasks (SimCluster *cluster, const SimJob *job)
{
  TaskCounts counts = {0};
  for (guint i = 0; i < cluster->machines->len; i++) {
    const SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (cluster->jobs->pdata[task->job] == job && task->state != SIM_TASK_EXIT) {
        counts.placed++;
        counts.in_zone[machine->zone]++;
      }
    }
  }
  for (guint k = 0; k < job->tasks; k++)
    counts.done += job->done[k] != 0;
  return counts;
}

static double
team_gpus (SimCluster *cluster)
{
  double gpus = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    const SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      const SimJob *job = cluster->jobs->pdata[task->job];
      if (task->state != SIM_TASK_EXIT && !job->team)
        gpus += job->gpus;
    }
  }
  return gpus;
}

/* Returns whether tasks of the job wait although one of them, or the whole gang, fits on the
 * fleet's free machines; sets *where to such a machine. */
static gboolean
waits_although_it_fits (SimCluster *cluster, const SimJob *job, const SimMachine **where)
{
  TaskCounts counts = placed_tasks (cluster, job);
  guint needed = job->shape == HR_GANG ? job->tasks : 1, fit[2] = {0};
  if (counts.placed + counts.done >= job->tasks || (job->shape == HR_GANG && counts.placed))
    return FALSE;
  if (cluster->quota_gpus > 0 && !job->team &&
      team_gpus (cluster) + needed * job->gpus > cluster->quota_gpus + 1e-6)
    return FALSE;
  for (guint i = 0; i < cluster->machines->len; i++) {
    const SimMachine *machine = cluster->machines->pdata[i];
    guint n = !job->spread || counts.in_zone[machine->zone] + 1 <= (job->tasks + 1) / 2
                  ? fitting_tasks (cluster, job, machine)
                  : 0;
    fit[machine->zone] += n;
    if (n)
      *where = machine;
  }
  return job->one_zone ? MAX (fit[0], fit[1]) >= needed : fit[0] + fit[1] >= needed;
}

void
check_waiting_jobs (SimCluster *cluster)
{
  if (faults_any_active (cluster)) {
    cluster->no_fault_since = 0;
    return;
  }
  if (!cluster->no_fault_since)
    cluster->no_fault_since = cluster->now;
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    const SimMachine *where = NULL;
    gboolean waits = job->accepted && !job->cancel_requested && !job->always_fails &&
                     !job->done_reply_at && pipeline_ready (job) &&
                     waits_although_it_fits (cluster, job, &where);
    if (!waits)
      job->fits_since = 0;
    else if (!job->fits_since)
      job->fits_since = cluster->now;
    if (waits && cluster->now - MAX (job->fits_since, cluster->no_fault_since) > MAX_WAIT_S) {
      sim_report_violation (cluster, "waits",
                            "%s (shape %d, %u tasks) waits since %.1f although it fits, now on %s",
                            job->id, job->shape, job->tasks, job->fits_since, where->name);
      job->fits_since = cluster->now; /* reports it again after MAX_WAIT_S */
    }
  }
}

/* ---- starts, and every half second ---- */

void
check_task_start (SimCluster *cluster, SimMachine *machine, SimTask *task)
{
  SimJob *job = cluster->jobs->pdata[task->job];
  guint in_same_zone = 0;
  cluster->task_starts++;
  pipeline_on_task_start (cluster, job, task->task);
  job->started = cluster->now;
  if (!job->first_run_at && job->shape != HR_GANG) /* a gang begins when all its tasks run */
    job->first_run_at = cluster->now;
  if (job->cancelled_reply_clock) {
    cluster->started_cancelled++;
    g_debug ("%s/%u starts on %s %.3f s after its cancellation was confirmed", job->id, task->task,
             machine->name, cluster->now - job->cancelled_reply_at);
  }
  if (job->cancelled_reply_at && cluster->now > job->cancelled_reply_at + cluster->cancel_s)
    sim_report_violation (cluster, "ran_cancelled", "%s/%u starts on %s", job->id, task->task,
                          machine->name);
  if (machine->spot && !job->spot)
    sim_report_violation (cluster, "wrong_place", "%s/%u starts on a spot machine", job->id,
                          task->task);
  if (job->zone && machine->zone + 1 != job->zone)
    sim_report_violation (cluster, "wrong_place",
                          "%s/%u starts outside the only zone that it allows", job->id, task->task);
  check_quota (cluster, job->gpus);
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *other_machine = cluster->machines->pdata[i];
    for (guint k = 0; !other_machine->gone && k < other_machine->tasks->len; k++) {
      SimTask *other = &g_array_index (other_machine->tasks, SimTask, k);
      if (other == task || !other->active || other->job != task->job)
        continue;
      if (other->task == task->task)
        sim_report_violation (
            cluster, "ran_twice", "%s/%u try %u starts on %s while try %u is on %s", job->id,
            task->task, task->try, machine->name, other->try, other_machine->name);
      if (job->one_zone && other_machine->zone != machine->zone)
        sim_report_violation (cluster, "wrong_place", "%s/%u starts in another zone", job->id,
                              task->task);
      in_same_zone += other_machine->zone == machine->zone;
    }
  }
  if (job->spread && in_same_zone + 1 > (job->tasks + 1) / 2)
    sim_report_violation (cluster, "wrong_place", "%s: %u of %u in one zone", job->id,
                          in_same_zone + 1, job->tasks);
}

/* Checks that no job stays without an answer for 75 s once all faults have ended, whatever answers
 * other jobs get. A job's user polls at least every 15 s. */
static void
check_unanswered_jobs (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (job->accepted && !job->reported_unanswered &&
        cluster->now - MAX (job->answered_at, cluster->faults_ended_at) > 75) {
      job->reported_unanswered = TRUE;
      sim_report_violation (cluster, "forgotten", "no request about %s is answered", job->id);
    }
  }
}

void
check_periodically (SimCluster *cluster)
{
  if (cluster->faults_ended)
    check_unanswered_jobs (cluster);
  check_quota (cluster, 0);
  check_waiting_jobs (cluster);
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      SimJob *job = cluster->jobs->pdata[task->job];
      if (task->active && job->cancelled_reply_at &&
          cluster->now > job->cancelled_reply_at + cluster->cancel_s)
        sim_report_violation (cluster, "ran_cancelled", "%s/%u is still on %s", job->id, task->task,
                              machine->name);
      pipeline_on_machine (cluster, job, task->task);
    }
  }
}
