/* Jobs that await others. A job is cancelled when its record says so, or when one that it awaits
 * is, directly or through others. The latter is derived here from the store as read, at every node
 * alike, and rests on no further write. Tombstones are kept for ever, so what was derived once is
 * derived again.
 *
 * Edges are kept both ways: each job has the jobs that it awaits and its dependents. A record may
 * be read before those of the jobs that it names; their rows are unknown until then, and an unknown
 * job counts as not done. */
#pragma once
#include "coordination/state.h"

/**
 * hr_dependencies_job_read:
 * @job: a known job, with its state as read or written
 * @ids: (nullable): the jobs that it awaits
 *
 * The job's record was read or written. Notes what it awaits, cancels it with a cancelled job among
 * those, and passes on what its own state means for its dependents.
 */
void hr_dependencies_job_read (HrCore *core, HrJob *job, const char *const *ids);

/**
 * hr_dependencies_job_final:
 * @job: a job that is done or cancelled, by its record or because one that it awaits is
 *
 * Dependents of a done job become ready; those of a cancelled one are cancelled with it, and
 * theirs, and so on.
 */
void hr_dependencies_job_final (HrCore *core, HrJob *job);

/**
 * hr_dependencies_find_unknown:
 * @ids: (nullable): ids of jobs
 *
 * Returns: (nullable): the first of these jobs that this node knows nothing of.
 */
const char *hr_dependencies_find_unknown (HrCore *core, GStrv ids);

/**
 * hr_dependencies_find_service:
 * @ids: (nullable): ids of jobs
 *
 * Returns: (nullable): the first of these jobs that is a service which is not over.
 */
const char *hr_dependencies_find_service (HrCore *core, GStrv ids);

/**
 * hr_dependencies_reason:
 *
 * Returns: (transfer full) (nullable): for its user, which jobs the job waits for, or which
 * cancelled one took it along; %NULL: neither.
 */
char *hr_dependencies_reason (const HrJob *job);

/**
 * hr_dependencies_tick:
 *
 * As the leader, has a few records of jobs that were cancelled while they waited shortened to
 * tombstones, when the allowance for changes has nothing else to do.
 */
void hr_dependencies_tick (HrCore *core);
