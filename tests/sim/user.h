/* The simulated users: they submit jobs, poll, retry submissions and cancel. All figures of a job
 * are those of its specification; times in simulated seconds. */
#pragma once
#include "sim/cluster.h"

typedef struct {
  char *id, *body;
  HrShape shape;
  guint tasks;
  double cpus, gpus, mem, image_gb, run, checkpoint, save;
  guint image;
  gboolean one_zone, spread, spot, always_fails, submitted, accepted, refused;
  gboolean cancel, cancel_requested;
  double cancel_requested_at; /* when a user first requested the cancellation */
  double cancel_at, cancelled_reply_at, done_reply_at, started, first_run_at, done_at;
  double poll_at, answered_at;
  /* When a user first got an answer with this state, in SimCluster.message_clock; 0: not yet. */
  guint64 accepted_reply_clock, done_reply_clock, cancelled_reply_clock;
  double accepted_at;
  double cancelled_at; /* when its record was first written as cancelled; 0: it was not */
  gboolean large, reported_unanswered,
      lost_gang_machine; /* lost_gang_machine: faults_crash_gang_machines() crashed the machine of
                            one of its tasks */
  const char *team;      /* NULL: the first one */
  GPtrArray *awaits;     /* SimJob, or NULL */
  gboolean no_deadline;  /* submitted without a deadline, even if it is an array */
  guint zone;            /* index of the only allowed zone, plus one; 0: any zone */
  double fits_since; /* has waited since then although machines have room for it; 0: it does not */
  const char *rank;  /* priority; NULL: the default of its shape */
  const char *job_class; /* NULL: that of its shape */
  double due;            /* an array's deadline, s after its submission; 0: by its run time */
  guint *done;           /* per task */
  double *progress;      /* per task: seconds of work in its last checkpoint */
} SimJob;

/* Submits large arrays and services, some of which are cancelled. */
void users_large_jobs (SimCluster *cluster, double from, double to);
void users_init (SimCluster *cluster, guint jobs, double span);
/* Polls, submits or cancels the job now, as its user, at this node (-1: a random one). */
void user_poll_at (SimCluster *cluster, SimJob *job, int node);
void user_submit_at (SimCluster *cluster, SimJob *job, int node);
void user_cancel_at (SimCluster *cluster, SimJob *job, int node);
gboolean job_all_done (const SimJob *job);
SimJob *job_new (SimCluster *cluster);
/* Returns a new gang whose tasks each need a whole machine. */
SimJob *job_new_gang (SimCluster *cluster, guint tasks, double image_gb, double run);
/* Builds the request body of a completely described job and submits it. Takes ownership of it. */
void job_submit (SimCluster *cluster, SimJob *job);
/* Probes every controller each second, as a load balancer does. */
void users_probe (SimCluster *cluster);
/* Cancels a running service at this node, as its user. */
void users_cancel_service_at (SimCluster *cluster, int node);
/* Submits one array of equal tasks of `run` seconds each at `at`, and cancels it at `cancel_at` (0:
 * never). */
void users_array (SimCluster *cluster, guint tasks, double run, double at, double cancel_at);
/* Fills the fleet with long jobs of the first team. At `later` the second team submits jobs within
 * its guarantee: an array, and a minute later a gang. */
void users_two_teams (SimCluster *cluster, double later);
/* Submits a job whose record has its tasks in pages. */
void users_paged_array (SimCluster *cluster, double at);
void users_free (SimCluster *cluster);
SimJob *job_by_id (SimCluster *cluster, const char *id, guint32 *index);
