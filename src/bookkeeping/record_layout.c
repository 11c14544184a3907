#include "bookkeeping/record_layout.h"
#include "bookkeeping/record.h"
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include <string.h>

#define BYTES_PER_KIB 1024.0
/* Share of the largest value that is used: how the service counts its bytes is not quite known. */
#define VALUE_SHARE (63.0 / 64)
/* ["NAME",INCARNATION,ATTEMPT] without the name: three digits for the one and four for the other.
 */
#define TASK_BYTES_BESIDE_NAME 14
#define MIN_TASK_BYTES 24
/* {"w":"TAG","x":[]} with the longest tag: a page without tasks. */
#define EMPTY_PAGE_BYTES 80

gsize
hr_record_layout_planned_bytes (const HrStore *store)
{
  return store->limits.value_kb * BYTES_PER_KIB * VALUE_SHARE;
}

gsize
hr_record_layout_max_bytes (const HrStore *store)
{
  if (!store->format.supported)
    return G_MAXSIZE; /* controllers without formats of records do not measure values */
  if (store->format.agreed || store->format.planned_limits_in_force)
    return hr_record_layout_planned_bytes (store);
  return store->settings->value_kb * BYTES_PER_KIB;
}

/* Bytes of the longest machine name known; names are measured once. */
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

/* What a placed task takes at most, with names as long as those known. */
static guint
task_bytes (HrStore *store)
{
  return MAX (MIN_TASK_BYTES, longest_machine_name (store) + TASK_BYTES_BESIDE_NAME);
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
  double capacity = (double)hr_record_layout_planned_bytes (store) - EMPTY_PAGE_BYTES;
  guint max_tasks = MAX (1, (gint)(capacity / task_bytes (store)));
  guint pages = hr_page_count (tasks, max_tasks);
  return (tasks + pages - 1) / pages; /* of equal size, so that each write is smaller */
}

guint
hr_record_layout_choose (HrStore *store, const HrJobSpec *spec, gsize beside)
{
  if (!store->format.supported) {
    guint max_tasks = hr_tasks_per_page (store->limits.value_kb);
    return spec->tasks <= max_tasks ? 0 : max_tasks;
  }
  HrJob job = {.spec = *spec, .submitted_at = store->wall_time};
  double inline_bytes =
      main_bytes (store, &job) + beside + (double)spec->tasks * task_bytes (store);
  if (inline_bytes <= hr_record_layout_planned_bytes (store))
    return 0;
  return hr_record_layout_page_size (store, spec->tasks);
}

guint
hr_record_layout_smaller (HrStore *store, const HrJob *job)
{
  guint present = job->record.tasks_per_page;
  guint chosen = hr_record_layout_page_size (store, job->n_tasks);
  if (!present || chosen < present)
    return chosen;
  return MAX (1, present / 2); /* the record is larger than was estimated */
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
    return FALSE; /* whatever its pages hold */
  for (guint i = 0; i < job->record.n_pages; i++)
    if (is_page_oversized (store, job, i, max_bytes))
      return TRUE;
  return FALSE;
}
