/* Shards of the plan, which limit the cost of a pass over a large fleet.
 *
 * A machine belongs to the shard that its name hashes to. The tasks of most jobs are listed in one
 * shard only, those of large jobs in any. The leader plans all shards (docs/design.md).
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_shard_of:
 * @machine: the name of a machine
 *
 * Computes the shard by rendezvous hashing: when a shard is added, no machine moves between the
 * existing shards.
 *
 * Returns: the shard of the machine, less than @n_shards.
 */
guint32 hr_shard_of (const char *machine, guint n_shards);

/**
 * hr_shards_assign:
 *
 * Sets the number of shards from the size of the fleet, and the shard of each machine.
 */
void hr_shards_assign (HrCore *core);

/**
 * hr_shard_choose:
 *
 * Chooses the shard with the most free capacity for the job, if it holds the whole job. Jobs that
 * no shard can hold, and jobs that need no shard, such as gangs and services, get none and may use
 * the machines of all shards.
 */
void hr_shard_choose (HrCore *core, HrJob *job);
