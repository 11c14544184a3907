/* The parts of the plan: projection of a list (project.c), MT-EDF (mtedf.c), tabu search
 * (tabu.c), room kept for services (claims.c). */
#pragma once
#include "coordination/state.h"

/* How a list, or a change to it, is judged: late count, then tardiness. */
typedef struct {
  guint late;
  double tardiness;
} HrListScore;

gboolean hr_list_score_better (HrListScore a, HrListScore b);

HrJob *hr_job_of_task (HrCore *c, HrTaskRef r);
gboolean hr_machine_is_plannable (const HrCore *c, const HrMachine *m);
/* Where a job belongs in a list by its deadline. */
guint hr_list_position (HrCore *c, HrMachine *m, const HrJob *j);
void hr_list_insert (HrCore *c, HrMachine *m, HrTaskRef r);
/* For the projected starts of a list; the owner of all state is a single thread. */
double *hr_projection_scratch (guint n);

/* The lists that may take the job's tasks, earliest-starting first. */
GPtrArray *hr_mtedf_order (HrCore *c, GPtrArray *lists, HrJob *j);
/* tries: how many lists a task is tried in. */
gboolean hr_mtedf_task (HrCore *c, GPtrArray *order, HrJob *j, guint32 task, guint tries);
void hr_mtedf_gang (HrCore *c, GPtrArray *lists, HrJob *j, guint tries);
void hr_tabu_search (HrCore *c, GPtrArray *lists);
void hr_reserve_for_services (HrCore *c);
