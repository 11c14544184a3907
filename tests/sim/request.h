/* Requests between workers, users, controllers and the external services, and their answers.
 * Requests are reference-counted: a holder takes a reference and releases it with req_unref(). */
#pragma once
#include "coordination/command.h"
#include "sim/troubles.h"
#include <jansson.h>

/* A request to any server of the cluster. */
typedef struct {
  int node;         /* controller that sends it; -1: a worker or user sends it */
  guint generation; /* of the sending controller's process */
  guint64 call;     /* the controller's id of the call */
  int to;           /* controller that receives it, if node is -1 */
  HrTarget target;
  HrMethod method;
  char *addr, *path, *body;
  double timeout; /* s */
  gboolean answered;
  gboolean answer_lost; /* its answer is dropped */
  int refs;
  int machine; /* of the worker that sends it, or -1 */
  void (*done) (SimCluster *cluster, int status, json_t *body, gpointer data);
  gpointer data;
} SimRequest;

/* Sends a worker's or user's request to a controller. */
void sim_send_request (SimCluster *cluster, int node, int machine, HrMethod method,
                       const char *path, char *body, double timeout,
                       void (*done) (SimCluster *, int, json_t *, gpointer), gpointer data);
/* Sends a server's answer. Takes ownership of the body. */
void sim_send_response (SimCluster *cluster, SimRequest *request, int status, char *body);
void req_unref (SimRequest *request);
/* Delivers a request at its destination now: that of a worker or user at a controller, that of a
 * controller at the server that it calls. Takes over a reference. */
void req_arrive (SimCluster *cluster, gpointer req);
/* Returns a copy of a worker's heartbeat for the controller `to`; its answer is dropped. */
SimRequest *req_copy (const SimRequest *request, int to);
/* Delivers the request at this time, later than usual delays. Takes over the reference. */
void req_arrive_late (SimCluster *cluster, SimRequest *request, double until);
