/* Checks of the answers that users get. One clock counts the requests and answers of all users: the
 * answer to a request that was sent after another answer had arrived must not show an older state
 * than that answer. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* A user's request about a job, and when it was sent. */
typedef struct {
  SimJob *job;
  guint64 sent;   /* in SimCluster.message_clock */
  double sent_at; /* simulated seconds */
} SimUserRequest;
SimUserRequest *sim_user_request_new (SimCluster *cluster, SimJob *job);
/* Checks an answer of 200 or 201: its state is not older than what users knew when the request was
 * sent. */
void check_user_response (SimCluster *cluster, const SimUserRequest *request, int status,
                          json_t *body);
/* Checks an answer of 404, 400 or 422 to this kind of request. */
void check_user_error (SimCluster *cluster, const SimUserRequest *request, const char *request_kind,
                       int status);
