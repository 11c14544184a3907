/* Ten arrays of the largest size that a submission may have, on controllers whose memory is
 * limited as the deployment says. */
#include "world.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEMORY_MB 72    /* of each controller */
#define BACK_S 5        /* a process that has ended is started again after that time */
#define LARGE 10        /* submissions of LARGE_PIECES tasks */
#define LARGE_PIECES 100000
#define SMALL_PIECES 12 /* without the disruption: the largest of the class */
#define KEEPS_ENDING 2  /* ends of each controller */
#define REPEATED_S 60   /* users repeat a submission for that long */

static double back_at[MAX_NODES];
static int ends[MAX_NODES];

/* Returns the memory that only this process holds, in MB; files of libraries are not counted. */
static double
memory_mb (int node)
{
  char path[64], line[256];
  long kb = 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)nodes[node].pid);
  FILE *file = nodes[node].pid ? fopen (path, "r") : NULL;
  while (file && fgets (line, sizeof line, file))
    if (sscanf (line, "RssAnon: %ld", &kb) == 1)
      break;
  if (file)
    fclose (file);
  return kb / 1024.0;
}

/* The platform: a process over the limit is killed and started again. */
static void
platform_tick (void)
{
  for (int i = 0; i < site.nodes; i++) {
    if (!nodes[i].pid && !back_at[i])
      back_at[i] = world_now () + BACK_S;
    if (!nodes[i].pid && world_now () >= back_at[i]) {
      back_at[i] = 0;
      node_start (i);
    }
    double mb = memory_mb (i);
    if (mb > MEMORY_MB) {
      record ("platform: node %d holds %.1f MB, its limit is %d MB", i, mb, MEMORY_MB);
      node_signal (i, SIGKILL);
      back_at[i] = world_now () + BACK_S;
      ends[i]++;
    }
  }
}

static bool
all_healthy (void)
{
  return world_leader () >= 0 && nodes[0].healthy && nodes[1].healthy && nodes[2].healthy;
}

static bool
keep_ending (void)
{
  return ends[0] >= KEEPS_ENDING && ends[1] >= KEEPS_ENDING && ends[2] >= KEEPS_ENDING;
}

/* Submits at the nodes in turn, until one accepts it. Returns whether one did. */
static bool
submit (json_t *spec)
{
  double since = world_now ();
  for (int attempt = 0; world_now () - since < REPEATED_S && !keep_ending (); attempt++) {
    Answer answer = world_call (attempt % site.nodes, "POST", "/v1/jobs", spec, 5);
    bool ok = answer.status == 200 || answer.status == 201;
    answer_clear (&answer);
    if (ok)
      return true;
    world_pump (1);
  }
  return false;
}

static json_t *
array (int i, int pieces)
{
  char id[32];
  snprintf (id, sizeof id, "job-%06d", 500 + i);
  json_t *spec = job_spec (id, "batch", "low", pieces);
  json_object_set_new (spec, "vcpus", json_real (1));
  json_object_set_new (spec, "accelerators", json_real (0));
  json_object_set_new (spec, "memory_gb", json_real (4));
  job_add (spec);
  return spec;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool large = !trouble || strcmp (trouble, "0") != 0;
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
  site.capacity[0] = 2;
  world_on_step = platform_tick;
  world_start (argc - 2, argv + 2, argv[1]);
  if (!world_until (all_healthy, 15))
    cannot_run ("no controller leads");
  int accepted = 0;
  for (int i = 0; i < LARGE; i++)
    accepted += submit (array (i, large ? LARGE_PIECES : SMALL_PIECES));
  record ("%d of %d arrays are accepted", accepted, LARGE);
  world_pump (20);
  record ("ends for memory: %d, %d, %d", ends[0], ends[1], ends[2]);
  if (keep_ending ())
    record ("BROKEN: each controller ended at least %d times for memory", KEEPS_ENDING);
  return world_end (keep_ending () ? 1 : 0);
}
