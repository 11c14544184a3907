/* Where the simulated services, workers and users meet the planned troubles (troubles.h). */
#pragma once
#include "sim/request.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/world.h"

void troubles_init (World *world, guint32 seed);
void troubles_free (World *world);
double trouble_rand (World *world, double lo, double hi);
/* Takes over a request on its way (arrives_at: when it would arrive). FALSE: it goes on as always.
 */
gboolean troubles_take (World *world, SimRequest *request, double arrives_at);
/* Until when a cut zone parts the two ends of this request; 0: it does not. machine: the worker's.
 */
double troubles_zone_cut (World *world, const SimRequest *request, const SimMachine *machine);
double troubles_link_delay (World *world);
/* How much later than usual this request's answer leaves. */
double troubles_delay (World *world, const SimRequest *request);
/* A trouble of any kind still has its hold on something. */
gboolean world_troubled (const World *world);
/* When a machine rented now is up. at: as the cloud has drawn it. */
double troubles_boots (World *world, double at);
/* The leader record is written: who leads, and the token. */
void troubles_map (World *world, json_t *map);
/* A controller answers a worker with 200. */
void troubles_reply (World *world, int node, const char *answer);
/* The last task of this job has ended. */
void troubles_job_ended (World *world, SimJob *job);
/* Users were first told that it is accepted, done or cancelled. */
void troubles_told (World *world, SimJob *job, gboolean accepted);
