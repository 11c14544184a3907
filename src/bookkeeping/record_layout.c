/* How the tasks of a job are spread over records: inline in its main record, or in pages.
 * The number of tasks a page is chosen once, from what a bound task takes with the longest
 * machine name known so far; what is written is measured before each write all the same. */
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include <string.h>

#define KIB 1024.0
/* Kept free: how the state service counts a value's bytes is not quite known. */
#define VALUE_SHARE (63.0 / 64)
/* ["NAME",incarnation,attempt], with three digits for the one and four for the other. */
#define TASK_BYTES_AROUND_NAME 14
#define TASK_BYTES_LEAST 24
/* {"w":"TAG","x":[]} with the longest tag. */
#define PAGE_BYTES_AROUND 80

gsize
hr_record_layout_planned_bytes (const HrStore *store)
{
  return store->limits.value_kb * KIB * VALUE_SHARE;
}

gsize
hr_record_layout_max_bytes (const HrStore *store)
{
  if (!store->format.supported)
    return G_MAXSIZE; /* production does not look */
  if (store->format.agreed || store->format.planned_limits_in_force)
    return hr_record_layout_planned_bytes (store);
  return store->settings->value_kb * KIB;
}

/* What a bound task takes at most, with names as long as those known. */
static guint
task_bytes (HrStore *store)
{
  const HrIntern *names = &store->tables.machine_ids;
  for (; store->layout.names_measured < names->names->len; store->layout.names_measured++)
    store->layout.longest_name = MAX (
        store->layout.longest_name, strlen (hr_intern_name (names, store->layout.names_measured)));
  return MAX (TASK_BYTES_LEAST, store->layout.longest_name + TASK_BYTES_AROUND_NAME);
}

/* Bytes of the main record beside its tasks. */
static gsize
main_bytes (HrStore *store, const HrJob *job)
{
  HrJob without = *job;
  without.n_tasks = 0;
  without.record.tasks_per_page = 0;
  g_autofree char *text = hr_record_main (&without, store->names, &store->tables.machine_ids,
                                          HR_JOB_QUEUED, HR_LONGEST_TAG, FALSE);
  return strlen (text);
}

guint
hr_record_layout_page_size (HrStore *store, guint32 tasks)
{
  double capacity = (double)hr_record_layout_planned_bytes (store) - PAGE_BYTES_AROUND;
  guint most = MAX (1, (gint)(capacity / task_bytes (store)));
  guint pages = (tasks + most - 1) / most;
  return (tasks + pages - 1) / pages; /* pages of equal size: each write is the smaller */
}

guint
hr_record_layout_choose (HrStore *store, const HrJobSpec *spec, gsize beside)
{
  if (!store->format.supported) {
    guint per = hr_tasks_per_page (store->limits.value_kb);
    return spec->tasks <= per ? 0 : per;
  }
  HrJob job = {.spec = *spec, .submitted_at = store->wall_time};
  double inline_bytes =
      main_bytes (store, &job) + beside + (double)spec->tasks * task_bytes (store);
  return inline_bytes <= hr_record_layout_planned_bytes (store)
             ? 0
             : hr_record_layout_page_size (store, spec->tasks);
}

guint
hr_record_layout_smaller (HrStore *store, const HrJob *job)
{
  guint per = hr_record_layout_page_size (store, job->n_tasks);
  if (!job->record.tasks_per_page || per < job->record.tasks_per_page)
    return per;
  return MAX (1, job->record.tasks_per_page /
                     2); /* what was measured is larger than what was reckoned */
}

gboolean
hr_record_layout_is_oversized (HrStore *store, const HrJob *job)
{
  gsize most = hr_record_layout_planned_bytes (store);
  if (!job->record.tasks_per_page) {
    g_autofree char *text = hr_record_main (job, store->names, &store->tables.machine_ids,
                                            job->state, HR_LONGEST_TAG, FALSE);
    return strlen (text) > most;
  }
  if (PAGE_BYTES_AROUND + (gsize)job->record.tasks_per_page * task_bytes (store) <= most)
    return FALSE; /* whatever its pages hold */
  for (guint i = 0; i < job->record.n_pages; i++) {
    g_autofree char *text =
        hr_record_page (job, i, &store->tables.machine_ids, HR_LONGEST_TAG, FALSE);
    if (strlen (text) > most)
      return TRUE;
  }
  return FALSE;
}
