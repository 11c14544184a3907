/* Rules that are checked whenever a task starts, periodically, and after cancellations. A broken
 * rule is noted with w_broken(). */
#pragma once
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/world.h"

/* At each start of a task, and every half second. */
void check_quota (World *world, double starting_gpus);
/* Every half second: jobs that wait beside room. */
void check_waiting_jobs (World *world);
/* A user heard that the job is cancelled: looks when its time is over. */
void check_cancelled_job (World *world, SimJob *job);
/* Launches that a controller has just decided on, which know of changes up to this epoch. */
void check_launches (World *world, int node, guint64 known, const GPtrArray *effects);
void check_task_start (World *world, SimMachine *machine, SimTask *task);
void check_periodically (World *world);
