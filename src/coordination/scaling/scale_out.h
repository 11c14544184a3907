#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/* Tasks of the class that spare room is kept for: as many as cannot wait for a boot, within
 * what their teams' limits leave. */
guint hr_headroom (HrCore *core, guint32 job_class);
guint hr_headroom_wanted (HrCore *core, guint32 job_class);
/* Room for a task of the job on a machine that boots, or on one to be rented. booting:
 * how many rooms, the first ones, are on machines that boot. needs: what hr_scale_out_begin gave.
 */
void hr_scale_out_for_task (HrCore *core, HrFreeCapacity *capacities, guint booting,
                            HrCapacityCursor *cursor, GArray *needs, HrJob *job);
void hr_scale_out_headroom (HrCore *core, HrFreeCapacity *capacities, guint n_capacities,
                            GArray *needs);
/* For jobs whose awaited ones are all about to end. */
void hr_scale_out_for_next_steps (HrCore *core, HrFreeCapacity *capacities, guint n_capacities,
                                  GArray *needs);
void hr_scale_out_for_lists (HrCore *core, HrFreeCapacity *capacities, guint booting,
                             GArray *needs);
void hr_scale_in_idle (HrCore *core, HrFreeCapacity *capacities, guint n);
GArray *hr_scale_out_begin (void);
/* What is needed goes out with the next tick. */
void hr_scale_out_end (HrCore *core, GArray *needs);
