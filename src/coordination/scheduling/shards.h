/* Shards of the plan, so that a pass over a large fleet stays affordable.
 *
 * A machine belongs to the shard that its name hashes to; an ordinary job's tasks stand in lists of
 * one shard, those of a large job in any. All shards are planned by the leader (docs/design.md).
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_shard_of:
 * @machine: its name
 *
 * Rendezvous hashing: when a shard is added, only machines that move to it move.
 *
 * Returns: the shard of the machine, less than @n_shards.
 */
guint32 hr_shard_of (const char *machine, guint n_shards);

/**
 * hr_shards_assign:
 *
 * Sets the number of shards by the size of the fleet, and the shard of each machine.
 */
void hr_shards_assign (HrCore *core);

/**
 * hr_shard_choose:
 *
 * Chooses the shard with the most free capacity that holds the whole job. Large jobs, and jobs that
 * no shard holds, get none: their tasks may stand in any list.
 */
void hr_shard_choose (HrCore *core, HrJob *job);
