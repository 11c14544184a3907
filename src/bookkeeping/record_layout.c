#include "bookkeeping/record_layout.h"
#include "bookkeeping/record.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include <string.h>

#define BYTES_PER_KIB 1024.0
/* Share of the maximum value size that layouts use. The margin allows for the way in which the
 * state store counts bytes, which is not known exactly. */
#define USABLE_VALUE_SHARE (63.0 / 64)
/* Size of ["NAME",INCARNATION,ATTEMPT] without the name: three digits for the incarnation and four
 * for the attempt. */
#define TASK_BYTES_WITHOUT_NAME 14
#define MIN_TASK_BYTES 24
/* Size of a page without tasks, {"w":"TAG","x":[]}, with the longest tag. */
#define EMPTY_PAGE_BYTES 80

gsize
hr_record_layout_planned_bytes (const HrStore *store)
{
  return store->limits.value_kb * BYTES_PER_KIB * USABLE_VALUE_SHARE;
}

gsize
hr_record_layout_max_bytes (const HrStore *store)
{
  if (!store->format.supported)
    return G_MAXSIZE; /* controllers that predate record formats do not measure values */
  if (store->format.agreed || store->format.planned_limits_in_force)
    return hr_record_layout_planned_bytes (store);
  return store->settings->value_kb * BYTES_PER_KIB;
}

/* Returns the length of the longest known machine name in bytes. Each name is measured once. */
static gsize
longest_machine_name (HrStore *store)
{
  const HrIntern *names = &store->tables.machine_ids;
  HrRecordLayout *layout = &store->layout;
  for (; layout->names_measured < names->names->len; layout->names_measured++) {
    gsize bytes = strlen (hr_intern_name (names, layout->names_measured));
    layout->longest_name = MAX (layout->longest_name, bytes);
  }
  return layout->longest_name;
}

/* Returns the maximum size of a placed task in bytes, given the known machine names. */
static guint
task_bytes (HrStore *store)
{
  return MAX (MIN_TASK_BYTES, longest_machine_name (store) + TASK_BYTES_WITHOUT_NAME);
}

/* Returns the size of the main record without its tasks, in bytes. */
static gsize
main_bytes (HrStore *store, const HrJob *job)
{
  HrJob taskless = *job;
  taskless.n_tasks = 0;
  taskless.record.tasks_per_page = 0;
  g_autofree char *text = hr_record_main (&taskless, store->names, &store->tables.machine_ids,
                                          HR_JOB_QUEUED, HR_LONGEST_TAG, FALSE);
  return strlen (text);
}

guint
hr_record_layout_page_size (HrStore *store, guint32 tasks)
{
  double capacity = (double)hr_record_layout_planned_bytes (store) - EMPTY_PAGE_BYTES;
  guint max_tasks = MAX (1, (gint)(capacity / task_bytes (store)));
  guint pages = hr_page_count (tasks, max_tasks);
  return (tasks + pages - 1) / pages; /* pages of nearly equal size, to keep each write small */
}

guint
hr_record_layout_choose (HrStore *store, const HrJobSpec *spec, gsize other_bytes)
{
  if (!store->format.supported) {
    guint max_tasks = hr_tasks_per_page (store->limits.value_kb);
    return spec->tasks <= max_tasks ? 0 : max_tasks;
  }
  HrJob job = {.spec = *spec, .submitted_at = store->wall_time};
  double inline_bytes =
      main_bytes (store, &job) + other_bytes + (double)spec->tasks * task_bytes (store);
  if (inline_bytes <= hr_record_layout_planned_bytes (store))
    return 0;
  return hr_record_layout_page_size (store, spec->tasks);
}

guint
hr_record_layout_choose_smaller (HrStore *store, const HrJob *job)
{
  guint current = job->record.tasks_per_page;
  guint chosen = hr_record_layout_page_size (store, job->n_tasks);
  if (!current || chosen < current)
    return chosen;
  return MAX (1, current / 2); /* the record is larger than estimated */
}

static gboolean
is_main_oversized (HrStore *store, const HrJob *job, gsize max_bytes)
{
  g_autofree char *text = hr_record_main (job, store->names, &store->tables.machine_ids, job->state,
                                          HR_LONGEST_TAG, FALSE);
  return strlen (text) > max_bytes;
}

static gboolean
is_page_oversized (HrStore *store, const HrJob *job, guint page, gsize max_bytes)
{
  g_autofree char *text =
      hr_record_page (job, page, &store->tables.machine_ids, HR_LONGEST_TAG, FALSE);
  return strlen (text) > max_bytes;
}

gboolean
hr_record_layout_is_oversized (HrStore *store, const HrJob *job)
{
  gsize max_bytes = hr_record_layout_planned_bytes (store);
  guint tasks_per_page = job->record.tasks_per_page;
  if (!tasks_per_page)
    return is_main_oversized (store, job, max_bytes);
  if (EMPTY_PAGE_BYTES + (gsize)tasks_per_page * task_bytes (store) <= max_bytes)
    return FALSE; /* a page of this size is never too large */
  for (guint i = 0; i < job->record.n_pages; i++)
    if (is_page_oversized (store, job, i, max_bytes))
      return TRUE;
  return FALSE;
}
