/* The parts of the plan: projection of a list (projection.c), MT-EDF (mtedf.c), tabu search
 * (tabu.c), room kept for services (service_reservations.c). */
#pragma once
#include "coordination/state.h"

/* How a list, or a change to it, is judged: late count, then tardiness. */
typedef struct {
  guint late;
  double tardiness;
} HrListScore;

gboolean hr_list_score_better (HrListScore left, HrListScore right);

HrJob *hr_job_of_task (HrCore *core, HrTaskRef ref);
gboolean hr_machine_is_plannable (const HrCore *core, const HrMachine *machine);
/* Where a job belongs in a list by its deadline. */
guint hr_list_position (HrCore *core, HrMachine *machine, const HrJob *job);
void hr_list_insert (HrCore *core, HrMachine *machine, HrTaskRef ref);
/* For the projected starts of a list; the single owner of all state is a single thread. */
double *hr_projection_scratch (guint n);

/* The lists that may take the job's tasks, earliest-starting first. */
GPtrArray *hr_mtedf_order (HrCore *core, GPtrArray *lists, HrJob *job);
/* tries: how many lists a task is tried in. */
gboolean hr_mtedf_task (HrCore *core, GPtrArray *order, HrJob *job, guint32 task_index,
                        guint tries);
void hr_mtedf_gang (HrCore *core, GPtrArray *lists, HrJob *job, guint tries);
void hr_tabu_search (HrCore *core, GPtrArray *lists);
void hr_reserve_for_services (HrCore *core);
