/* Statistics of job classes: how fast tasks of a class arrive, what they look like, and how their
 * run times compare with their estimates. Spare capacity and projections rest on them; no rule
 * does. Every controller keeps them in memory: arrivals by what it reads, run times by what it sees
 * as the leader. */
#pragma once
#include "coordination/state.h"

/**
 * hr_class_stats:
 * @job_class: index of the class
 *
 * Returns: (transfer none): the class's row, which is made when there is none. Valid until a row is
 * made for another class.
 */
HrClassStats *hr_class_stats (HrCore *core, guint32 job_class);

/**
 * hr_class_arrivals:
 * @stats: of the class
 * @n: tasks that arrive now; 0: none
 *
 * Counts arriving tasks. What arrives in one bunch (at the very start, or after an outage) says
 * little about what comes next, so it counts capped.
 *
 * Returns: arriving tasks a second, smoothed.
 */
double hr_class_arrivals (HrCore *core, HrClassStats *stats, guint n);

/**
 * hr_class_note_job:
 * @job: a job that has arrived, or has become ready, just now
 *
 * Counts the job's tasks as arrivals, and what they need.
 */
void hr_class_note_job (HrCore *core, const HrJob *job);

/**
 * hr_class_note_run_time:
 * @job: the job of the task
 * @task: a task that is done as of now
 *
 * Learns from the task's run time how estimates of its class are to be corrected.
 */
void hr_class_note_run_time (HrCore *core, const HrJob *job, const HrTask *task);
