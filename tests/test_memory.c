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

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (first_record_needs_no_tasks_in_memory),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
