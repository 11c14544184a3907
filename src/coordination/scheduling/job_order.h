/* Comparison functions: the orders in which jobs and listed tasks are processed. All of them are
 * total orders, so that the same input always gives the same sequence.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_compare_by_submission:
 * @left: (type gpointer): points to a pointer to HrJob, as in a GPtrArray
 *
 * Compares jobs for g_ptr_array_sort(): earlier submissions first.
 */
int hr_compare_by_submission (gconstpointer left, gconstpointer right);

/**
 * hr_compare_by_deadline:
 *
 * Compares jobs like hr_compare_by_submission(), but earlier deadlines first.
 */
int hr_compare_by_deadline (gconstpointer left, gconstpointer right);

/**
 * hr_compare_by_priority:
 *
 * Compares jobs like hr_compare_by_submission(), but higher priorities first, and earlier
 * submissions first within a priority.
 */
int hr_compare_by_priority (gconstpointer left, gconstpointer right);

/**
 * hr_compare_by_priority_and_deadline:
 *
 * Compares jobs like hr_compare_by_submission(), but higher priorities first, and earlier deadlines
 * first within a priority.
 */
int hr_compare_by_priority_and_deadline (gconstpointer left, gconstpointer right);

/**
 * hr_compare_listed_by_deadline:
 * @left: (type gpointer): points to HrListedTask
 * @core: the HrCore
 *
 * Compares listed tasks for g_array_sort_with_data(): tasks of jobs with earlier deadlines first.
 */
int hr_compare_listed_by_deadline (gconstpointer left, gconstpointer right, gpointer core);
