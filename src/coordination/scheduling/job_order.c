/* Comparison functions: the orders in which jobs and listed tasks are processed. */
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/plan.h"

static int
compare_index (guint32 left, guint32 right)
{
  return left < right ? -1 : left > right;
}

int
hr_compare_by_submission (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  if (first->submitted_at != second->submitted_at)
    return first->submitted_at < second->submitted_at ? -1 : 1;
  return compare_index (first->index, second->index);
}

int
hr_compare_by_deadline (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  if (first->plan.deadline != second->plan.deadline)
    return first->plan.deadline < second->plan.deadline ? -1 : 1;
  return compare_index (first->index, second->index);
}

int
hr_compare_by_priority (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  if (hr_job_priority (first) != hr_job_priority (second))
    return hr_job_priority (first) < hr_job_priority (second) ? -1 : 1;
  return hr_compare_by_submission (left, right);
}

int
hr_compare_by_priority_and_deadline (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  if (hr_job_priority (first) != hr_job_priority (second))
    return hr_job_priority (first) < hr_job_priority (second) ? -1 : 1;
  return hr_compare_by_deadline (left, right);
}

int
hr_compare_listed_by_deadline (gconstpointer left, gconstpointer right, gpointer core)
{
  HrTaskRef first = ((const HrListedTask *)left)->task;
  HrTaskRef second = ((const HrListedTask *)right)->task;
  const HrJob *first_job = hr_job_of_task (core, first);
  const HrJob *second_job = hr_job_of_task (core, second);
  if (first_job != second_job)
    return hr_compare_by_deadline (&first_job, &second_job);
  return compare_index (first.task, second.task);
}
