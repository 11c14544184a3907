/* How the tasks of a job are spread over records: inline in its main record, or in pages.
 * The number of tasks a page is chosen once, from what a bound task takes with the longest
 * machine name known so far; what is written is measured before each write all the same. */
#include "bookkeeping/record_layout.h"
#include "coordination/state.h"
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
hr_record_layout_planned_bytes (const HrCore *core)
{
  return core->store.limits.value_kb * KIB * VALUE_SHARE;
}

gsize
hr_record_layout_max_bytes (const HrCore *core)
{
  if (!core->store.format.supported)
    return G_MAXSIZE; /* production does not look */
  if (core->store.format.agreed || core->store.format.planned_limits_in_force)
    return hr_record_layout_planned_bytes (core);
  return core->settings->value_kb * KIB;
}

/* What a bound task takes at most, with names as long as those known. */
static guint
task_bytes (HrCore *core)
{
  const HrIntern *names = &core->store.tables.machine_ids;
  for (; core->store.layout.names_measured < names->names->len; core->store.layout.names_measured++)
    core->store.layout.longest_name =
        MAX (core->store.layout.longest_name,
             strlen (hr_intern_name (names, core->store.layout.names_measured)));
  return MAX (TASK_BYTES_LEAST, core->store.layout.longest_name + TASK_BYTES_AROUND_NAME);
}

/* Bytes of the main record beside its tasks. */
static gsize
main_bytes (HrCore *core, const HrJob *job)
{
  HrJob without = *job;
  without.n_tasks = 0;
  without.record.tasks_per_page = 0;
  g_autofree char *text = hr_record_main (&without, core->names, &core->store.tables.machine_ids,
                                          HR_JOB_QUEUED, HR_LONGEST_TAG, FALSE);
  return strlen (text);
}

guint
hr_record_layout_page_size (HrCore *core, guint32 tasks)
{
  double capacity = (double)hr_record_layout_planned_bytes (core) - PAGE_BYTES_AROUND;
  guint most = MAX (1, (gint)(capacity / task_bytes (core)));
  guint pages = (tasks + most - 1) / most;
  return (tasks + pages - 1) / pages; /* pages of equal size: each write is the smaller */
}

guint
hr_record_layout_choose (HrCore *core, const HrJobSpec *spec, gsize beside)
{
  if (!core->store.format.supported) {
    guint per = hr_tasks_per_page (core->store.limits.value_kb);
    return spec->tasks <= per ? 0 : per;
  }
  HrJob job = {.spec = *spec, .submitted_at = core->wall_time};
  double inline_bytes = main_bytes (core, &job) + beside + (double)spec->tasks * task_bytes (core);
  return inline_bytes <= hr_record_layout_planned_bytes (core)
             ? 0
             : hr_record_layout_page_size (core, spec->tasks);
}

guint
hr_record_layout_smaller (HrCore *core, const HrJob *job)
{
  guint per = hr_record_layout_page_size (core, job->n_tasks);
  if (!job->record.tasks_per_page || per < job->record.tasks_per_page)
    return per;
  return MAX (1, job->record.tasks_per_page /
                     2); /* what was measured is larger than what was reckoned */
}

gboolean
hr_record_layout_is_oversized (HrCore *core, const HrJob *job)
{
  gsize most = hr_record_layout_planned_bytes (core);
  if (!job->record.tasks_per_page) {
    g_autofree char *text = hr_record_main (job, core->names, &core->store.tables.machine_ids,
                                            job->state, HR_LONGEST_TAG, FALSE);
    return strlen (text) > most;
  }
  if (PAGE_BYTES_AROUND + (gsize)job->record.tasks_per_page * task_bytes (core) <= most)
    return FALSE; /* whatever its pages hold */
  for (guint i = 0; i < job->record.n_pages; i++) {
    g_autofree char *text =
        hr_record_page (job, i, &core->store.tables.machine_ids, HR_LONGEST_TAG, FALSE);
    if (strlen (text) > most)
      return TRUE;
  }
  return FALSE;
}
