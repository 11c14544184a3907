/* Pipelines are withdrawn while the state service refuses the former leader alone. */
#include "world.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PIPELINES 12
#define STEPS 4 /* photo-dedupe, thumb-cut, layout-fill, press-pdf */

typedef struct {
  char id[32];
  bool told; /* its user was told that it is withdrawn */
} Step;

static int old_leader, seen_broken;
static Step steps[PIPELINES][STEPS];

static bool
all_healthy (void)
{
  return world_leader () >= 0 && nodes[0].healthy && nodes[1].healthy && nodes[2].healthy;
}

static bool
another_leads (void)
{
  return world_leader () != old_leader;
}

static bool
old_leader_is_healthy (void)
{
  return nodes[old_leader].healthy;
}

static const char *
stance (const Answer *answer)
{
  const char *text = json_string_value (json_object_get (answer->body, "stance"));
  return answer->status == 200 && text ? text : "";
}

static Answer
ask (int node, const char *id)
{
  char path[96];
  snprintf (path, sizeof path, "/v1/jobs/%.32s", id);
  return world_call (node, "GET", path, NULL, 2);
}

/* Users repeat a submission after 1 s, for up to 60 s. */
static void
submit (const char *id, const char *awaited)
{
  json_t *spec = job_spec (id, "batch", "normal", 1);
  if (awaited)
    json_object_set_new (spec, "awaits", json_pack ("[s]", awaited));
  for (int attempt = 0; attempt < 60; attempt++) {
    Answer answer = world_call (0, "POST", "/v1/jobs", spec, 5);
    bool ok = answer.status == 200 || answer.status == 201;
    answer_clear (&answer);
    if (ok) {
      json_decref (spec);
      return;
    }
    world_pump (1);
  }
  cannot_run ("%s is not accepted", id);
}

/* Ids are chosen by the users and come in no order. */
static void
submit_pipelines (void)
{
  for (int p = 0; p < PIPELINES; p++)
    for (int k = 0; k < STEPS; k++) {
      snprintf (steps[p][k].id, sizeof steps[p][k].id, "job-%06d",
                (int)(drand48 () * 9000) * 100 + p * STEPS + k);
      submit (steps[p][k].id, k ? steps[p][k - 1].id : NULL);
    }
}

static void
withdraw (int node, const char *id)
{
  char path[96];
  snprintf (path, sizeof path, "/v1/jobs/%.32s/abort", id);
  for (int attempt = 0; attempt < 20; attempt++) {
    Answer answer = world_call (node, "POST", path, NULL, 5);
    bool ok = strcmp (stance (&answer), "withdrawn") == 0;
    answer_clear (&answer);
    if (ok)
      return;
    world_pump (1);
  }
  cannot_run ("%s is not withdrawn", id);
}

/* The rule: a job that was called cancelled is called something else. */
static int
ask_again (int node)
{
  int asked = 0, broken = 0;
  for (int p = 0; p < PIPELINES; p++)
    for (int k = 0; k < STEPS; k++) {
      Answer answer = ask (node, steps[p][k].id);
      asked += answer.status == 200;
      if (steps[p][k].told && answer.status == 200 &&
          strcmp (stance (&answer), "withdrawn") != 0) {
        broken++;
        record ("BROKEN went_back: %s was called withdrawn, and node %d calls it %s",
                steps[p][k].id, node, stance (&answer));
      }
      answer_clear (&answer);
    }
  if (!asked)
    cannot_run ("node %d answered nothing", node);
  record ("%d answers of node %d, %d of them older than what the user was told", asked, node,
          broken);
  return broken;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool refuse = !trouble || strcmp (trouble, "0") != 0;
  world_defaults ();
  /* The cloud has no machine to spare, so the first steps still wait. */
  site.capacity[0] = 0;
  world_start (argc - 2, argv + 2, argv[1]);
  if (!world_until (all_healthy, 20))
    cannot_run ("no controller leads");
  submit_pipelines ();
  world_pump (3);
  old_leader = world_leader ();
  int other = (old_leader + 1) % 3;
  if (refuse) {
    record ("trouble: the state service refuses node %d, which leads", old_leader);
    nodes[old_leader].state_refuses = true;
    if (!world_until (another_leads, 20))
      cannot_run ("no other controller leads");
    world_pump (5);
  }
  for (int p = 0; p < PIPELINES; p++)
    withdraw (other, steps[p][0].id);
  for (int p = 0; p < PIPELINES; p++)
    for (int k = 0; k < STEPS; k++) {
      Answer answer = ask (other, steps[p][k].id);
      steps[p][k].told = strcmp (stance (&answer), "withdrawn") == 0;
      answer_clear (&answer);
    }
  if (refuse) {
    record ("the trouble ends");
    nodes[old_leader].state_refuses = false;
  }
  /* The load balancer sends users there again. */
  if (!world_until (old_leader_is_healthy, 20))
    cannot_run ("node %d is not healthy again", old_leader);
  seen_broken = ask_again (old_leader);
  world_pump (site.cancel_s + 1);
  record ("%.0f s later, which is more than cancel_s:", site.cancel_s + 1);
  seen_broken += ask_again (old_leader);
  return world_end (seen_broken ? 1 : 0);
}
