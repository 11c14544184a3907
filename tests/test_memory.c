/* Guards against controllers that end for memory because of what users send: arrays of the largest
 * size that a submission may have, on controllers of 72 MB. */
#include "bookkeeping/record.h"
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <sys/resource.h>
#include <cmocka.h>

#define KIB_PER_MIB 1024
#define LARGEST_TASKS 100000
#define LARGEST_JOBS 10
/* A third of a controller of 72 MB. */
#define MAX_TASKS_MIB 24

/* Returns the most memory that this process has held so far, in MiB. */
static double
peak_memory_mib (void)
{
  struct rusage usage;
  assert_int_equal (getrusage (RUSAGE_SELF, &usage), 0);
  return (double)usage.ru_maxrss / KIB_PER_MIB;
}

static HrJobSpec
largest_array (HrNames *names)
{
  return (HrJobSpec){.job_class = hr_intern (&names->classes, "k"),
                     .team = hr_intern (&names->teams, "crew"),
                     .image = hr_intern (&names->images, "i"),
                     .shape = HR_BATCH,
                     .priority = HR_PRIORITY_LOW,
                     .tasks = LARGEST_TASKS,
                     .zone = HR_NONE,
                     .cpus = 1,
                     .memory_gb = 1,
                     .deadline_s = -1};
}

/* While a submission is decided, nothing is held for its tasks, however many it has. */
static void
first_record_needs_no_tasks_in_memory (void **state G_GNUC_UNUSED)
{
  HrNames names;
  hr_names_init (&names);
  HrJobSpec spec = largest_array (&names);
  double before = peak_memory_mib ();
  g_autofree char *record = hr_record_initial (&spec, NULL, &names, 1e9, 500, HR_LONGEST_TAG);
  double grown = peak_memory_mib () - before;
  if (grown >= 1)
    fail_msg ("the first record of %d tasks takes %.1f MiB", LARGEST_TASKS, grown);
  hr_names_clear (&names);
}

/* Tasks that wait are held by every controller, whether or not they can run soon. */
static void
waiting_tasks_need_little_memory (void **state G_GNUC_UNUSED)
{
  HrNames names;
  hr_names_init (&names);
  HrJobSpec spec = largest_array (&names);
  HrJob *jobs[LARGEST_JOBS];
  double before = peak_memory_mib ();
  for (guint i = 0; i < LARGEST_JOBS; i++) {
    jobs[i] = g_new0 (HrJob, 1);
    hr_job_set_spec (jobs[i], &spec, 500);
  }
  double grown = peak_memory_mib () - before;
  if (grown >= MAX_TASKS_MIB)
    fail_msg ("%d jobs of %d tasks take %.1f MiB", LARGEST_JOBS, LARGEST_TASKS, grown);
  for (guint i = 0; i < LARGEST_JOBS; i++)
    hr_job_free (jobs[i]);
  hr_names_clear (&names);
}

/* Tasks that are done need no more memory than tasks that wait, on any controller. */
static void
done_tasks_need_little_memory (void **state G_GNUC_UNUSED)
{
  HrNames names;
  HrIntern machines;
  hr_names_init (&names);
  hr_intern_init (&machines);
  HrJobSpec spec = largest_array (&names);
  HrJob *job = g_new0 (HrJob, 1);
  hr_job_set_spec (job, &spec, 1);
  json_t *placed = json_pack ("[[sii]]", "m-000001", 1, 1);
  json_t *done = json_pack ("[i]", 1);
  for (guint i = 0; i < LARGEST_TASKS; i++) {
    assert_true (hr_record_read_tasks (job, i, placed, &machines, NULL));
    assert_true (hr_task_has_run (&job->tasks[i]));
    assert_true (hr_record_read_tasks (job, i, done, &machines, NULL));
    assert_false (hr_task_has_run (&job->tasks[i]));
  }
  assert_int_equal (job->n_recorded_done, LARGEST_TASKS);
  json_decref (placed);
  json_decref (done);
  hr_job_free (job);
  hr_intern_clear (&machines);
  hr_names_clear (&names);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (first_record_needs_no_tasks_in_memory),
      cmocka_unit_test (waiting_tasks_need_little_memory),
      cmocka_unit_test (done_tasks_need_little_memory),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
