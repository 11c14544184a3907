/* Reservations for starving jobs. */
#include "coordination/scheduling/starvation_reservations.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/mtedf.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/starts.h"
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/scheduling/task_lists.h"

/* A gang gets idle capacity only if the rest of its machines is expected to be free within this
 * time, and keeps it no longer than this, s. Another job that could start there starves meanwhile:
 * it goes first once it has starved for this long. Together with the starvation limit this is below
 * the 90 s that a job may wait beside free capacity. */
#define MAX_RESERVATION_S 20.0
/* A projected start that is no later than this after now is one that can take place now, s. */
#define NOW_S 1e-6

/* What a pass makes reservations with. */
typedef struct {
  GPtrArray *lists;    /* HrMachine: the plannable machines */
  GPtrArray *machines; /* HrMachine: those with free capacity */
  GPtrArray *jobs;     /* HrJob: those that wait beside free capacity, or in no list */
  guint max_trials;    /* of trial placements for a job */
} Reservations;

/* Returns the jobs that wait beside free capacity, or in no list, by priority, then by deadline;
 * none if no job starves. */
static GPtrArray *
collect_jobs (HrCore *core)
{
  GPtrArray *jobs = g_ptr_array_new ();
  gboolean any_starves = FALSE;
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    if (!job->quota.starving_since || !hr_job_waits_for_capacity (core, job))
      continue;
    g_ptr_array_add (jobs, job);
    any_starves |= job->quota.is_starving;
  }
  if (!any_starves)
    g_ptr_array_set_size (jobs, 0);
  g_ptr_array_sort (jobs, hr_compare_by_priority_and_deadline);
  return jobs;
}

/* Reserves the capacity of a listed task on the machine in whose list it is. */
static void
reserve_listed_task (HrCore *core, HrJob *job, guint32 task_index)
{
  HrMachine *machine = hr_machine_by_index (core, job->tasks[task_index].listed_on);
  job->tasks[task_index].has_reservation = 1;
  hr_resources_add (&machine->plan.reserved, hr_resources_of_task (&job->spec));
}

/* Removes the task from the list that it is in, if any. */
static void
unlist_task (HrCore *core, HrJob *job, guint32 task_index)
{
  if (!job->tasks[task_index].is_listed)
    return;
  HrMachine *machine = hr_machine_by_index (core, job->tasks[task_index].listed_on);
  hr_list_remove (machine, (HrTaskRef){job->index, task_index});
  hr_task_mark_unlisted (job, task_index);
  hr_project_list (core, machine, NULL);
}

static void
list_first (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine)
{
  unlist_task (core, job, task_index);
  job->tasks[task_index].goes_first = 1;
  hr_list_insert (core, machine, (HrTaskRef){job->index, task_index});
  hr_project_list (core, machine, NULL);
  reserve_listed_task (core, job, task_index);
}

/* Returns whether a task of the job can start on the machine now, beside what is reserved there for
 * the starving jobs before it. */
static gboolean
can_start_on (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  HrResources available = hr_machine_unreserved (machine);
  hr_resources_subtract (&available, machine->plan.reserved);
  return hr_resources_cover (available, hr_resources_of_task (&job->spec)) &&
         hr_start_check_machine (core, job, machine) == HR_START_OK;
}

/* Returns the best machine on which a task of the job can start now; NULL: there is none. */
static HrMachine *
best_machine (HrCore *core, const HrJob *job, const GPtrArray *machines)
{
  HrMachine *best = NULL;
  for (guint i = 0; i < machines->len; i++) {
    HrMachine *machine = machines->pdata[i];
    if (can_start_on (core, job, machine) &&
        (!best || hr_batch_machine_better (core, job, machine, best)))
      best = machine;
  }
  return best;
}

/* Returns the array's first idle task without a reservation, at or after `from`; job->n_tasks:
 * there is none. */
static guint32
next_idle_task (const HrJob *job, guint32 from)
{
  while (from < job->n_tasks &&
         (job->tasks[from].state != HR_TASK_IDLE || job->tasks[from].has_reservation))
    from++;
  return from;
}

/* Lists the array's task in the order of deadlines, if a list can take it. */
static void
list_by_deadline (HrCore *core, const Reservations *pass, HrJob *job, guint32 task_index)
{
  g_autoptr (GPtrArray) candidates = hr_mtedf_candidates (core, pass->lists, job);
  if (hr_mtedf_place_task (core, candidates, job, task_index, pass->max_trials))
    reserve_listed_task (core, job, task_index);
}

/* Reserves capacity for as many of the array's tasks as can start now. Returns their number. */
static guint
reserve_array_start (HrCore *core, const GPtrArray *machines, HrJob *job)
{
  guint granted = hr_quotas_granted (core, job), n = 0;
  guint32 task = next_idle_task (job, 0);
  for (; task < job->n_tasks && n < granted; n++) {
    HrMachine *machine = best_machine (core, job, machines);
    if (!machine)
      break;
    list_first (core, job, task, machine);
    task = next_idle_task (job, task);
  }
  return n;
}

/* Reserves capacity for tasks of the array that can start now; if there is none, and no list took a
 * task of it, for one task that starts later. */
static void
reserve_for_array (HrCore *core, const Reservations *pass, HrJob *job)
{
  if (reserve_array_start (core, pass->machines, job) || !job->quota.is_unplaceable)
    return;
  guint32 task = next_idle_task (job, 0);
  if (task < job->n_tasks && !job->tasks[task].is_listed)
    list_by_deadline (core, pass, job, task);
}

static void
unlist_gang (HrCore *core, HrJob *job)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    unlist_task (core, job, i);
}

static void
set_goes_first (HrJob *job, gboolean goes_first)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    job->tasks[i].goes_first = goes_first;
}

/* Returns whether a task of the gang could start now on the machine in whose list it is. */
static gboolean
has_idle_slot (HrCore *core, const HrJob *job)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (can_start_on (core, job, hr_machine_by_index (core, job->tasks[i].listed_on)))
      return TRUE;
  return FALSE;
}

static void
reserve_listed_gang (HrCore *core, HrJob *job)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    reserve_listed_task (core, job, i);
}

/* Places each task of the gang in a list of its own, if enough lists can take one. */
static void
place_gang (HrCore *core, const Reservations *pass, HrJob *job)
{
  hr_mtedf_place_gang (core, pass->lists, job, MAX (pass->max_trials, 2 * job->n_tasks));
}

/* Lists the gang ahead of all other tasks but those of starving jobs before it. Returns whether all
 * of its tasks can start there within this time; otherwise it is not listed. */
static gboolean
list_gang_first (HrCore *core, const Reservations *pass, HrJob *job, double within_s)
{
  set_goes_first (job, TRUE);
  place_gang (core, pass, job);
  if (job->plan.n_listed && job->plan.gang_start - core->now <= within_s)
    return TRUE;
  unlist_gang (core, job);
  set_goes_first (job, FALSE);
  return FALSE;
}

/* Returns whether the gang has kept idle capacity for too long; then its wait counts anew. */
static gboolean
has_missed_its_start (HrCore *core, HrJob *job)
{
  HrJobQuota *quota = &job->quota;
  if (!quota->reservation_began_at)
    quota->reservation_began_at = core->now;
  if (core->now - quota->reservation_began_at <= MAX_RESERVATION_S)
    return FALSE;
  g_info ("job %s did not start within %.0f s on the capacity reserved for it; it waits anew",
          job->id, MAX_RESERVATION_S);
  hr_starvation_ended (job);
  return TRUE;
}

/* Reserves capacity on which the whole gang can start soon, ahead of other tasks, if some of it is
 * idle or no list takes the gang otherwise. Returns whether it did. */
static gboolean
reserve_gang_start (HrCore *core, const Reservations *pass, HrJob *job)
{
  if (!list_gang_first (core, pass, job, MAX_RESERVATION_S))
    return FALSE;
  if ((job->quota.is_unplaceable || has_idle_slot (core, job)) &&
      !has_missed_its_start (core, job)) {
    reserve_listed_gang (core, job);
    return TRUE;
  }
  unlist_gang (core, job);
  return FALSE;
}

static void
reserve_for_gang (HrCore *core, const Reservations *pass, HrJob *job)
{
  if (reserve_gang_start (core, pass, job) || !job->quota.is_unplaceable)
    return;
  place_gang (core, pass, job);
  if (job->plan.n_listed)
    reserve_listed_gang (core, job);
}

static void
reserve_for_job (HrCore *core, const Reservations *pass, HrJob *job)
{
  job->plan.shard = HR_NONE; /* free capacity in any shard counts */
  if (job->spec.shape == HR_GANG)
    reserve_for_gang (core, pass, job);
  else
    reserve_for_array (core, pass, job);
}

/* Reserves capacity for a job that has waited for its turn too long, if it can start now. */
static void
reserve_for_overdue (HrCore *core, const Reservations *pass, HrJob *job)
{
  job->plan.shard = HR_NONE;
  if (job->spec.shape != HR_GANG)
    reserve_array_start (core, pass->machines, job);
  else if (list_gang_first (core, pass, job, NOW_S))
    reserve_listed_gang (core, job);
}

/* Returns the machines on which a task of the job can start now: (element-type HrMachine). */
static GPtrArray *
machines_to_start_on (HrCore *core, const HrJob *job, const GPtrArray *machines)
{
  GPtrArray *found = g_ptr_array_new ();
  for (guint i = 0; i < machines->len; i++)
    if (can_start_on (core, job, machines->pdata[i]))
      g_ptr_array_add (found, machines->pdata[i]);
  return found;
}

static gboolean
can_start_on_any (HrCore *core, const HrJob *job, const GPtrArray *machines)
{
  for (guint i = 0; i < machines->len; i++)
    if (can_start_on (core, job, machines->pdata[i]))
      return TRUE;
  return FALSE;
}

static gboolean
is_placed_gang (const HrJob *job)
{
  return job->spec.shape == HR_GANG && job->plan.n_listed;
}

/* Reserves capacity for the jobs of higher priority that wait for what the starving job at this
 * position would get, although they have not waited as long yet. */
static void
reserve_for_competitors (HrCore *core, const Reservations *pass, guint position)
{
  const HrJob *starving = pass->jobs->pdata[position];
  g_autoptr (GPtrArray) machines = machines_to_start_on (core, starving, pass->machines);
  for (guint i = 0; i < position; i++) {
    HrJob *job = pass->jobs->pdata[i];
    if (!job->quota.is_starving && !is_placed_gang (job) &&
        hr_job_priority (job) < hr_job_priority (starving) &&
        can_start_on_any (core, job, machines))
      reserve_for_job (core, pass, job);
  }
}

static gboolean
is_overdue (const HrCore *core, const HrJob *job)
{
  return job->quota.is_starving &&
         core->now - job->quota.starving_since > HR_STARVATION_LIMIT_S + MAX_RESERVATION_S;
}

static void
make_reservations (HrCore *core, const Reservations *pass)
{
  for (guint i = 0; i < pass->jobs->len; i++) {
    HrJob *job = pass->jobs->pdata[i];
    if (is_overdue (core, job))
      reserve_for_overdue (core, pass, job);
  }
  for (guint i = 0; i < pass->jobs->len; i++) {
    HrJob *job = pass->jobs->pdata[i];
    if (!job->quota.is_starving || is_placed_gang (job))
      continue;
    reserve_for_competitors (core, pass, i);
    reserve_for_job (core, pass, job);
  }
}

void
hr_reserve_for_starving_jobs (HrCore *core, GPtrArray *lists)
{
  g_autoptr (GPtrArray) jobs = collect_jobs (core);
  if (!jobs->len)
    return;
  g_autoptr (GPtrArray) machines = hr_machines_with_capacity (core);
  guint max_trials = MAX (core->policy.sample_lists, core->policy.pass_trials / jobs->len);
  for (guint i = 0; i < lists->len; i++)
    hr_project_list (core, lists->pdata[i], NULL);
  make_reservations (core, &(Reservations){lists, machines, jobs, max_trials});
}
