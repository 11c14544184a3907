/* Where the simulated services, workers and users meet the planned troubles (troubles.h). */
#pragma once
#include "sim/request.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"

void troubles_init (SimCluster *cluster, guint32 seed);
void troubles_free (SimCluster *cluster);
double trouble_rand (SimCluster *cluster, double lo, double hi);
/* Takes over a request on its way (arrives_at: when it would arrive). FALSE: it goes on as always.
 */
gboolean troubles_take (SimCluster *cluster, SimRequest *request, double arrives_at);
/* Until when a cut zone parts the two ends of this request; 0: it does not. machine: the worker's.
 */
double troubles_zone_cut (SimCluster *cluster, const SimRequest *request,
                          const SimMachine *machine);
double troubles_link_delay (SimCluster *cluster);
/* How much later than usual this request's answer leaves. */
double troubles_delay (SimCluster *cluster, const SimRequest *request);
/* A trouble of any kind still has its hold on something. */
gboolean world_troubled (const SimCluster *cluster);
/* When a machine rented now is up. at: as the cloud has drawn it. */
double troubles_boots (SimCluster *cluster, double at);
/* The leader record is written: who leads, and the token. */
void troubles_map (SimCluster *cluster, json_t *map);
/* A controller answers a worker with 200. */
void troubles_reply (SimCluster *cluster, int node, const char *answer);
/* The last task of this job has ended. */
void troubles_job_ended (SimCluster *cluster, SimJob *job);
/* Users were first told that it is accepted, done or cancelled. */
void troubles_told (SimCluster *cluster, SimJob *job, gboolean accepted);
