/* A gang waits beside an empty machine after services of a class came twice as often. */
#include "world.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GANG "job-000700"
#define WAIT_S 90 /* the rule's bound */

static int replicas, gang_starts;

static void
on_start (Machine *machine, Task *task)
{
  (void)machine;
  if (strcmp (task->job, GANG) == 0)
    gang_starts++;
  else
    replicas++;
}

static bool
a_node_leads (void)
{
  return world_leader () >= 0 && nodes[0].healthy && nodes[1].healthy && nodes[2].healthy;
}

static int wanted;

static bool
replicas_run (void)
{
  return replicas >= wanted;
}

static bool
two_machines_up (void)
{
  int up = 0;
  for (int m = 0; m < n_machines; m++)
    up += machines[m]->up;
  return up >= 2;
}

/* Returns whether a machine is up that has no task at all, and so has room for a task of the gang. */
static Machine *
empty_machine (void)
{
  for (int m = 0; m < n_machines; m++)
    if (machines[m]->up && machines[m]->n_tasks == 0)
      return machines[m];
  return NULL;
}

static void
submit (json_t *spec)
{
  job_add (spec);
  for (int attempt = 0; attempt < 10; attempt++) {
    Answer answer = world_call (0, "POST", "/v1/jobs", spec, 5);
    bool ok = answer.status == 200 || answer.status == 201;
    answer_clear (&answer);
    if (ok)
      return;
    world_pump (1);
  }
  cannot_run ("a job is not accepted");
}

/* portada-live: a service of one replica of 4 CPUs, 1 GPU and 29 GB. */
static json_t *
service (int i)
{
  char id[32];
  snprintf (id, sizeof id, "job-%06d", 100 + i);
  json_t *spec = job_spec (id, "daemon", "production", 1);
  json_object_set_new (spec, "jobclass", json_string ("portada-live"));
  json_object_set_new (spec, "vcpus", json_real (4));
  json_object_set_new (spec, "memory_gb", json_real (29));
  json_object_set_new (spec, "guess_s", json_real (0));
  json_object_set_new (spec, "apart", json_true ());
  return spec;
}

/* isbn-gang: a gang of one task of 10 CPUs, 2 GPUs and 77 GB, in one zone. */
static json_t *
gang (void)
{
  json_t *spec = job_spec (GANG, "ensemble", "urgent", 1);
  json_object_set_new (spec, "jobclass", json_string ("isbn-gang"));
  json_object_set_new (spec, "vcpus", json_real (10));
  json_object_set_new (spec, "accelerators", json_real (2));
  json_object_set_new (spec, "memory_gb", json_real (77));
  json_object_set_new (spec, "bundle", json_string ("img-09"));
  json_object_set_new (spec, "guess_s", json_real (60));
  json_object_set_new (spec, "together", json_true ());
  return spec;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool burst = !trouble || strcmp (trouble, "0") != 0;
  world_defaults ();
  site.zones[0] = "heredia-room";
  site.machine_type = "estante-node";
  site.team = "bodega-team";
  site.cpus = 12;
  site.rps = 250;
  site.write_rps = 100;
  site.value_kb = 16;
  site.cancel_s = 34;
  site.gang_peer_s = 8;
  site.cloud_rps = 5;
  site.boot_s = 4;
  site.capacity[0] = 2;
  on_task_start = on_start;
  world_start (argc - 2, argv + 2, argv[1]);
  if (!world_until (a_node_leads, 15))
    cannot_run ("no controller leads");
  wanted = burst ? 2 : 1;
  if (burst)
    record ("trouble: services come twice as often");
  for (int i = 0; i < wanted; i++)
    submit (service (i));
  if (!world_until (replicas_run, 18))
    cannot_run ("the services do not run");
  if (burst)
    record ("the trouble ends");
  submit (gang ());
  world_until (two_machines_up, 10);
  double since = world_now ();
  bool had_room = true;
  while (!gang_starts && world_now () - since <= WAIT_S) {
    world_pump (0.5);
    had_room = had_room && (gang_starts || empty_machine ());
  }
  if (!gang_starts && had_room)
    record ("BROKEN: %s waits for more than %d s, while %s is up and has no task", GANG, WAIT_S,
            empty_machine ()->name);
  else if (!gang_starts)
    record ("%s has not started, but no machine had room all the time", GANG);
  Answer answer = world_call (0, "GET", "/v1/jobs/" GANG, NULL, 2);
  answer_clear (&answer);
  return world_end (!gang_starts && had_room ? 1 : 0);
}
