/* Dependencies between jobs. A job is cancelled when its record states so, or when a job that it
 * awaits, directly or transitively, is cancelled. The second kind is derived here from the replica
 * of the store; every node derives the same result, and no further write is needed. Tombstones are
 * kept forever, so a cancellation that was derived once is always derived again.
 *
 * Edges are kept in both directions: each job has the jobs that it awaits and its dependents. A
 * record may be read before the records of the jobs that it names; their table entries are unknown
 * until then, and an unknown job counts as not done.
 *
 * The edges connect only jobs whose records were read since the latest listing began. A final state
 * therefore never passes through a job whose record is yet to be read and would replace that
 * state, and the result does not depend on the order in which the records come. */
#pragma once
#include "coordination/state.h"

/**
 * hr_dependencies_listing_begins:
 *
 * Discards all edges, and the list of records to compact. Each record that is read from now on
 * adds its own again.
 */
void hr_dependencies_listing_begins (HrCore *core);

/**
 * hr_dependencies_job_read:
 * @job: a known job, with its state as read or written
 * @ids: (nullable): ids of the jobs that it awaits
 *
 * Handles a job record that was read or written: stores the job's dependencies, cancels the job if
 * a job that it awaits is cancelled, and propagates the job's own state to its dependents.
 */
void hr_dependencies_job_read (HrCore *core, HrJob *job, const char *const *ids);

/**
 * hr_dependencies_job_final:
 * @job: a job that is done, or is cancelled by its record or through a job that it awaits
 *
 * Propagates a final state: dependents of a done job become ready once they await no other
 * unfinished job; dependents of a cancelled job are cancelled, transitively.
 */
void hr_dependencies_job_final (HrCore *core, HrJob *job);

/**
 * hr_dependencies_find_unknown:
 * @ids: (nullable): ids of jobs
 *
 * Returns: (nullable): the first of these jobs of which this node has no record.
 */
const char *hr_dependencies_find_unknown (HrCore *core, GStrv ids);

/**
 * hr_dependencies_find_service:
 * @ids: (nullable): ids of jobs
 *
 * Returns: (nullable): the first of these jobs that is a service and not final.
 */
const char *hr_dependencies_find_service (HrCore *core, GStrv ids);

/**
 * hr_dependencies_reason:
 *
 * Returns: (transfer full) (nullable): a text for the user that names the jobs that the job waits
 * for, or the cancelled job with which it was cancelled; %NULL if neither applies.
 */
char *hr_dependencies_reason (const HrJob *job);

/**
 * hr_dependencies_tick:
 *
 * On the leader, if no other page is to be written and most of the write-rate allowance is unused,
 * marks a few records to be compacted to tombstones: those of jobs that were cancelled while they
 * awaited other jobs.
 */
void hr_dependencies_tick (HrCore *core);
