/* A request on its way between workers, users, controllers and the outside services, and its
 * answer. Requests are counted references: who keeps one takes a reference and ends it with
 * req_unref(). */
#pragma once
#include "coordination/command.h"
#include "sim/troubles.h"
#include <jansson.h>

/* A request on its way, to any server of the world, and its way back. */
typedef struct {
  int node; /* asking controller, or -1: a worker or user asks a controller */
  guint gen;
  guint64 call;
  int to; /* controller asked, when node is -1 */
  HrTarget target;
  HrMethod method;
  char *addr, *path, *body;
  double timeout;
  gboolean answered;
  gboolean answer_lost; /* whatever it is answered does not arrive */
  int refs;
  int machine; /* of the asking worker, or -1 */
  void (*done) (World *world, int status, json_t *body, gpointer data);
  gpointer data;
} SimRequest;

/* A worker's or user's request to a controller. */
void w_ask (World *world, int node, int machine, HrMethod method, const char *path, char *body,
            double timeout, void (*done) (World *, int, json_t *, gpointer), gpointer data);
/* A server's answer. Takes the body text. */
void w_answer (World *world, SimRequest *request, int status, char *body);
void req_unref (SimRequest *request);
/* A request of a worker or user that has left arrives at its controller now, or if it has left
 * one at the server it asks. Takes a reference. */
void req_arrive (World *world, gpointer req);
/* A copy of a worker's report, for whose answer nobody waits. */
SimRequest *req_copy (const SimRequest *request, int to);
/* This request arrives then, later than messages usually do. Takes the reference over. */
void req_stray (World *world, SimRequest *request, double until);
