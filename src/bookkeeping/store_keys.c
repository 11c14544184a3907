#include "bookkeeping/store_keys.h"

char *
hr_job_record_key (const HrJob *job)
{
  return g_strconcat (HR_STORE_KEYS_JOBS, job->id, NULL);
}

char *
hr_record_page_key (const HrJob *job, guint page)
{
  guint size_in_key = job->record.sized_page_keys ? job->record.tasks_per_page : 0;
  return hr_record_page_key_in_layout (job, size_in_key, page);
}

char *
hr_record_page_key_in_layout (const HrJob *job, guint tasks_per_page, guint page)
{
  if (tasks_per_page)
    return g_strdup_printf (HR_STORE_KEYS_SIZED_PAGES "%s/%u/%u", job->id, tasks_per_page, page);
  return g_strdup_printf (HR_STORE_KEYS_PAGES "%s/%u", job->id, page);
}
