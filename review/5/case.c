/* A gang that sets `apart`, in two zones, while the cloud has fewer machines of one zone to give. */
#include "world.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PIECES 4
#define AT_MOST 2 /* in one zone: half of the tasks, rounded up */

static int in_zone[MAX_ZONES], most, started;

/* The rule: given the job's other tasks at that moment, a task starts in a zone that its job does
 * not allow. */
static void
check_start (Machine *machine, Task *task)
{
  int there = 0;
  for (int m = 0; m < n_machines; m++)
    for (int i = 0; machines[m]->up && machines[m]->zone == machine->zone && i < machines[m]->n_tasks;
         i++)
      there += machines[m]->tasks[i].started && machines[m]->tasks[i].state != EXITED &&
               strcmp (machines[m]->tasks[i].job, task->job) == 0;
  in_zone[machine->zone]++;
  started++;
  most = there > most ? there : most;
  if (there > AT_MOST)
    record ("BROKEN wrong_place: %s/%d starts in %s, where %d of %d tasks of its job are now; at "
            "most %d may be",
            task->job, task->index, site.zones[machine->zone], there, PIECES, AT_MOST);
}

static bool
a_node_leads (void)
{
  return world_leader () >= 0 && nodes[0].healthy && nodes[1].healthy && nodes[2].healthy;
}

static bool
all_started (void)
{
  return started >= PIECES;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool fewer = !trouble || strcmp (trouble, "0") != 0;
  world_defaults ();
  site.n_zones = 2;
  site.zones[0] = "heredia-room";
  site.zones[1] = "cartago-room";
  site.capacity[0] = 4;
  site.capacity[1] = 2;
  site.boot_least = site.boot_most = 1; /* so that the run without the disruption is the same each time */
  site.first_node = 0;
  on_task_start = check_start;
  world_start (argc - 2, argv + 2, argv[1]);
  if (!world_until (a_node_leads, 20))
    cannot_run ("no controller leads");
  if (fewer) {
    record ("trouble: the cloud has half of its machines in %s", site.zones[1]);
    site.capacity[1] = 1;
  }
  json_t *spec = job_spec ("job-000412", "ensemble", "urgent", PIECES);
  json_object_set_new (spec, "apart", json_true ());
  json_object_set_new (spec, "vcpus", json_real (10));
  json_object_set_new (spec, "accelerators", json_real (2));
  json_object_set_new (spec, "memory_gb", json_real (77));
  job_add (spec);
  Answer answer = world_call (0, "POST", "/v1/jobs", spec, 5);
  if (answer.status != 200 && answer.status != 201)
    cannot_run ("the job is not accepted: %d", answer.status);
  if (fewer) {
    world_until (all_started, 60);
    world_pump (1);
  } else if (!world_until (all_started, 60))
    cannot_run ("the gang did not start");
  record ("%d starts, %d in %s, %d in %s; at most %d at once in one zone", started, in_zone[0],
          site.zones[0], in_zone[1], site.zones[1], most);
  return world_end (most > AT_MOST ? 1 : 0);
}
