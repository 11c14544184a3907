/* Hooks through which the simulated services, workers and users apply planned faults
 * (troubles.h). */
#pragma once
#include "sim/request.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"

void fault_injection_init (SimCluster *cluster, guint32 seed);
void fault_injection_free (SimCluster *cluster);
double fault_rand (SimCluster *cluster, double lo, double hi);
/* Applies faults to a request in transit. arrives_at: its regular arrival time. Returns TRUE if a
 * fault dropped or delayed the request; otherwise the caller delivers it. */
gboolean faults_intercept_request (SimCluster *cluster, SimRequest *request, double arrives_at);
/* Returns until when a zone partition separates the two ends of this request; 0: they are
 * connected. machine: the worker that sends or receives the request; NULL: none. */
double faults_zone_cut_until (SimCluster *cluster, const SimRequest *request,
                              const SimMachine *machine);
double faults_link_delay (SimCluster *cluster);
/* Returns the additional delay of the answer to this request, in seconds. */
double faults_answer_delay (SimCluster *cluster, const SimRequest *request);
/* Returns whether a fault of any kind still affects something. */
gboolean faults_any_active (const SimCluster *cluster);
/* Returns when a machine rented now is up. at: the time that the cloud has drawn. */
double faults_boot_time (SimCluster *cluster, double at);
/* The leader record was written; map holds the leader and its token. */
void faults_on_leader_record (SimCluster *cluster, json_t *map);
/* A controller answers a worker with 200. */
void faults_on_report_answer (SimCluster *cluster, int node, const char *answer);
/* The last task of this job has ended. */
void faults_on_job_ended (SimCluster *cluster, SimJob *job);
/* A user learned for the first time that the job is accepted, done or cancelled. */
void faults_on_job_state_reported (SimCluster *cluster, SimJob *job, gboolean accepted);
