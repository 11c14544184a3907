/* MT-EDF, minimum tardiness earliest deadline first: places new tasks in the lists of the plan
 * (Klusacek, Matyska, Rudova: Local Search for Deadline Driven Grid Scheduling, figure 1).
 *
 * Called by the planner alone. The lists have to be projected and are so again after each call. The
 * sample of lists is drawn from the core's random numbers, so the order of calls matters.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_mtedf_order:
 * @lists: (element-type HrMachine): the machines whose lists are planned
 *
 * Returns: (transfer container) (element-type HrMachine): those whose lists may take the job's
 * tasks, earliest-starting first.
 */
GPtrArray *hr_mtedf_order (HrCore *core, GPtrArray *lists, HrJob *job);

/**
 * hr_mtedf_task:
 * @order: (element-type HrMachine): from hr_mtedf_order() for this job; stays in order
 * @tries: how many lists are tried at most
 *
 * Puts one task of the job, which is no gang, into the list where it adds the fewest late tasks,
 * then the least tardiness.
 *
 * Returns: whether there is any list for it.
 */
gboolean hr_mtedf_task (HrCore *core, GPtrArray *order, HrJob *job, guint32 task_index,
                        guint tries);

/**
 * hr_mtedf_gang:
 * @lists: (element-type HrMachine): the machines whose lists are planned
 * @tries: how many lists are tried at most
 *
 * Puts all tasks of a gang into one list each, with a common start. Does nothing where there are
 * too few lists for it.
 */
void hr_mtedf_gang (HrCore *core, GPtrArray *lists, HrJob *job, guint tries);
