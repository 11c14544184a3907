/* Plays days on which planned faults overlap, and checks the state at their end. */
#include "sim/fault_scenario.h"
#include "sim/user.h"
#include <stdio.h>

#define DAY_S 700.0 /* leaves enough time after the last fault for all work to end */

/* Checks that all work is done and that each planned fault had an effect. */
static void
check_end (World *world, const HrFault *day, guint n)
{
  for (guint i = 0; i < world->jobs->len; i++) {
    SimJob *job = world->jobs->pdata[i];
    if (!job->accepted)
      w_broken (world, "liveness", "%s was never accepted", job->id);
    else if (job->asked_cancel && !job->told_cancelled && !job->told_done)
      w_broken (world, "liveness", "%s was not withdrawn", job->id);
    else if (!job->asked_cancel && job->shape != HR_SERVICE && !job->told_done)
      w_broken (world, "liveness", "%s (%d, %u tasks) is not done", job->id, job->shape,
                job->tasks);
    else if (!job->asked_cancel && job->shape == HR_SERVICE && !job->started)
      w_broken (world, "liveness", "%s never ran", job->id);
  }
  for (guint i = 0; i < n; i++)
    if (!world->troubles.effects[day[i].kind])
      w_broken (world, "played", "fault %s had no effect", fault_kind_name (day[i].kind));
}

guint
fault_scenario_play (guint32 seed, const FaultScenario *settings, const HrFault *day, guint n)
{
  World *world = world_new (seed, seed % 3 == 2 ? 5 : 3);
  world->quota_gpus = settings->quota_gpus;
  if (settings->capacity)
    world->capacity = settings->capacity;
  if (settings->quota_gpus > 0)
    world_restart (world);
  users_init (world, settings->users ? 0 : 40, 300);
  if (settings->users)
    settings->users (world);
  users_probe (world);
  faults_plan (world, day, n);
  world_run (world, settings->until > 0 ? settings->until : DAY_S);
  check_end (world, day, n);
  if (settings->started_cancelled && world->started_cancelled > settings->started_cancelled)
    w_broken (world, "started_withdrawn", "%u tasks start after a confirmed cancellation",
              world->started_cancelled);
  guint broken = world->broken->len;
  for (guint i = 0; i < MIN (broken, 12); i++)
    fprintf (stderr, "seed %u: %s\n", seed, (char *)world->broken->pdata[i]);
  if (g_getenv ("HR_SIM_VERBOSE"))
    fprintf (stderr,
             "seed %u: %u jobs, %u starts, %u of cancelled jobs, epoch %" G_GUINT64_FORMAT "\n",
             seed, world->jobs->len, world->starts, world->started_cancelled, world->epoch);
  world_free (world);
  return broken;
}
