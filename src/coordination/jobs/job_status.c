/* Status of a job as returned to users: the fields of the reply, and the reason for the state. */
#include "coordination/jobs/job_status.h"
#include "coordination/effects.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/task_lifecycle.h"
#include "protocol/messages.h"

/* The state that users see for each HrJobState. */
static const HrJobStatusState user_states[] = {
    [HR_JOB_QUEUED] = HR_JOB_STATUS_QUEUED,
    [HR_JOB_DONE] = HR_JOB_STATUS_DONE,
    [HR_JOB_CANCELLED] = HR_JOB_STATUS_CANCELLED,
};

/* Returns why a queued job's tasks do not all run, as far as the leader knows. */
static char *
waiting_reason (const HrCore *core, const HrJob *job)
{
  if (job->run.failures && job->run.retry_at > core->now)
    return g_strdup_printf (
        "failed %u times in a row (%s), last on %s; next try in %.0f s", job->run.failures,
        hr_exit_name (job->run.last_failure),
        hr_intern_name (&core->store.tables.machine_ids, job->run.failed_machine),
        job->run.retry_at - core->now);
  if (job->run.attempt_ending)
    return g_strdup ("an attempt of the gang has ended; waiting for its last tasks to exit");
  if (job->run.n_live + job->n_done == job->n_tasks)
    return g_strdup ("every task has a machine");
  if (job->plan.next_scale_out_at > core->now)
    return g_strdup_printf ("needs %u machines at once, more than the cloud has given; more are "
                            "asked for in %.0f s",
                            job->n_tasks, job->plan.next_scale_out_at - core->now);
  return g_strdup_printf ("%u tasks wait for room; %u of them stand in a machine's plan; "
                          "%u machines are starting",
                          job->n_tasks - job->run.n_live - job->n_done, job->plan.n_listed,
                          core->scheduling.booting_machines);
}

/* Returns the reason for the job's state, as a text for the user. */
static char *
status_reason (const HrCore *core, const HrJob *job)
{
  if (job->state == HR_JOB_DONE)
    return g_strdup ("all tasks are done");
  char *dependency_reason = hr_dependencies_reason (job);
  if (dependency_reason)
    return dependency_reason;
  if (job->state == HR_JOB_CANCELLED)
    return g_strdup ("withdrawn by its user");
  if (!core->leadership.is_leader)
    return g_strdup_printf ("%s plans this job", core->leadership.leader_label
                                                     ? core->leadership.leader_label
                                                     : "no controller yet");
  return waiting_reason (core, job);
}

/* Checks whether the task runs. The leader knows that from heartbeats; other controllers know only
 * from the record whether the task was placed. */
static gboolean
is_running (const HrCore *core, const HrTask *task)
{
  if (task->done_recorded)
    return FALSE;
  if (!core->leadership.is_leader)
    return task->run->recorded.machine != HR_NONE;
  return task->state == HR_TASK_BOUND && task->reported_state == HR_REPORTED_RUNNING;
}

static guint32
running_tasks (const HrCore *core, const HrJob *job)
{
  guint32 running = 0;
  if (!job->tasks || job->state != HR_JOB_QUEUED)
    return 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    running += is_running (core, &job->tasks[i]);
  return running;
}

void
hr_job_status_reply (HrCore *core, guint64 reply_id, const HrJob *job, int status)
{
  guint32 done = job->state == HR_JOB_DONE ? job->n_tasks : job->n_recorded_done;
  guint32 running = running_tasks (core, job);
  g_autofree char *reason = status_reason (core, job);
  HrJobStatusState state = running ? HR_JOB_STATUS_RUNNING : user_states[job->state];
  json_t *body = hr_job_status_body (job->id, state, done, running, reason);
  hr_core_reply (core, reply_id, status, body, 0);
}
