/* Statistics of job classes: the arrival rate of a class's tasks, their resource needs, and the
 * ratio of their run times to the estimates. They are used for headroom and for projected starts;
 * no safety rule depends on them. Each controller keeps them in memory only: arrivals are counted
 * from the records that it reads, run times are observed only while it is the leader. */
#pragma once
#include "coordination/state.h"

/**
 * hr_class_stats:
 * @job_class: index of the class
 *
 * Returns: (transfer none): the statistics of the class, which are created if there are none. Valid
 * until the statistics of another class are created.
 */
HrClassStats *hr_class_stats (HrCore *core, guint32 job_class);

/**
 * hr_class_update_arrival_rate:
 * @stats: statistics of the class
 * @n: number of tasks that arrive now; may be 0
 *
 * Adds arriving tasks to the class's arrival rate and returns the rate. Tasks that arrive in a
 * burst (at startup, or after an outage) predict little about later arrivals, so the number that
 * counts per interval is capped.
 *
 * Returns: the smoothed arrival rate, in tasks per second.
 */
double hr_class_update_arrival_rate (HrCore *core, HrClassStats *stats, guint n);

/**
 * hr_class_note_job:
 * @job: a job that has just arrived or just become ready
 *
 * Counts the job's tasks as arrivals and updates the typical resource needs of the class.
 */
void hr_class_note_job (HrCore *core, const HrJob *job);

/**
 * hr_class_note_run_time:
 * @job: the job of the task
 * @task: a task that has just completed
 *
 * Updates the correction factor for run-time estimates of the class from the task's run time.
 */
void hr_class_note_run_time (HrCore *core, const HrJob *job, const HrTask *task);
