/* The orders in which jobs, and tasks in the plan, are served. All of them are total, so that every
 * run of the same step goes through the jobs alike.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_by_submission:
 * @left: (type gpointer): points to a pointer to HrJob, as in a GPtrArray
 *
 * Compares for g_ptr_array_sort(): earlier submissions first.
 */
int hr_by_submission (gconstpointer left, gconstpointer right);

/**
 * hr_by_deadline:
 *
 * Like hr_by_submission(), but earlier deadlines first.
 */
int hr_by_deadline (gconstpointer left, gconstpointer right);

/**
 * hr_by_priority:
 *
 * Like hr_by_submission(), but higher priorities first, and earlier submissions within one.
 */
int hr_by_priority (gconstpointer left, gconstpointer right);

/**
 * hr_listed_by_deadline:
 * @left: (type gpointer): points to HrListedTask
 * @core: the HrCore
 *
 * Compares for g_array_sort_with_data(): tasks of jobs with earlier deadlines first.
 */
int hr_listed_by_deadline (gconstpointer left, gconstpointer right, gpointer core);
