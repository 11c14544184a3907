#pragma once
#include "coordination/state.h"

double hr_estimate_run_time (HrCore *core, const HrJob *job, const HrMachine *machine);
/* When a task that is on the machine should end, by its estimate; INFINITY: a service. */
double hr_estimate_running_end (HrCore *core, const HrJob *job, const HrTask *task,
                                const HrMachine *machine);
/* How long the image keeps a task of the job from its work there. */
double hr_estimate_fetch_time (const HrCore *core, const HrJob *job, const HrMachine *machine);
gboolean hr_job_allows_machine (const HrCore *core, const HrJob *job, const HrMachine *machine);
/* Is the machine ruled out by where the job's other tasks are? */
gboolean hr_job_allows_zone (HrCore *core, HrJob *job, HrMachine *machine);
/* Projects a list: its late count and tardiness, and each task's start when asked for. */
void hr_project_list (HrCore *core, HrMachine *machine, double *starts);
void hr_list_remove (HrMachine *machine, HrTaskRef ref);
void hr_task_unplan (HrJob *job, guint32 task_index);
/* Takes all its tasks out of the lists: the next pass places them anew. */
void hr_job_unplan (HrCore *core, HrJob *job);
/* Appends the machine's list, as projected. */
void hr_list_append (HrCore *core, HrMachine *machine, GArray *listed);
HrJob *hr_listed_job (HrCore *core, GArray *listed, guint i);
HrJob *hr_job_of_task (HrCore *core, HrTaskRef ref);
gboolean hr_machine_is_plannable (const HrCore *core, const HrMachine *machine);
/* Where a job belongs in a list by its deadline. */
guint hr_list_position (HrCore *core, HrMachine *machine, const HrJob *job);
void hr_list_insert (HrCore *core, HrMachine *machine, HrTaskRef ref);
/* For the projected starts of a list; the single owner of all state is a single thread. */
double *hr_projection_scratch (guint n);
