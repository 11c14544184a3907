/* The simulated users: they submit jobs, poll, submit again and cancel. All figures of a job are as
 * its user asked for them; times in seconds of the day. */
#pragma once
#include "sim/world.h"

typedef struct {
  char *id, *body;
  HrShape shape;
  guint tasks;
  double cpus, gpus, mem, image_gb, run, checkpoint, save;
  guint image;
  gboolean one_zone, spread, spot, broken, submitted, accepted, refused;
  gboolean cancel, asked_cancel;
  double asked_cancel_at; /* the first time */
  double due_cancel, told_cancelled, told_done, started, first, done_at;
  double poll_at, ok_at;
  /* By the clock of answers (World.answers), 0: not yet: when a user first heard that it is */
  guint64 heard_accepted, heard_done, heard_cancelled;
  double accepted_at;
  double cancelled_at; /* its record says so since; 0: it does not */
  gboolean large, forgotten, lost_place;
  const char *team;     /* NULL: the first one */
  GPtrArray *awaits;    /* SimJob, or NULL */
  gboolean no_deadline; /* also as an array */
  guint zone;           /* it is bound to, plus one; 0: none */
  double waits_at;      /* waits beside room since; 0: does not */
  const char *rank;     /* NULL: as its shape has it */
  double due;           /* an array's deadline, s after it was submitted; 0: by its run time */
  guint *done;          /* per task */
  double *progress;
} SimJob;

/* Large arrays and services, some of which are cancelled. */
void users_arrays (World *world, double from, double to);
void users_init (World *world, guint jobs, double span);
/* This user polls, submits again or cancels now, at that node (-1: any). */
void user_poll_at (World *world, SimJob *job, int node);
void user_submit_at (World *world, SimJob *job, int node);
void user_cancel_at (World *world, SimJob *job, int node);
gboolean job_all_done (const SimJob *job);
SimJob *job_new (World *world);
/* A gang whose tasks each want a whole machine. */
SimJob *job_gang (World *world, guint tasks, double image_gb, double run);
/* The job is complete: its user submits it. Takes it over. */
void job_submit (World *world, SimJob *job);
/* Probes every controller as a load balancer does. */
void users_probe (World *world);
/* The user of a running service cancels it, at this node. */
void users_cancel_service_at (World *world, int node);
/* One array of equal tasks of `run` seconds each, sent in at `at`; cancelled at `cancel_at` (0:
 * never). */
void users_array (World *world, guint tasks, double run, double at, double cancel_at);
/* The first team fills the fleet with long work; later the second one wants what it is
 * guaranteed: tasks of an array, then a gang. */
void users_two_teams (World *world, double later);
/* A job whose tasks stand in pages. */
void users_paged (World *world, double at);
void users_free (World *world);
SimJob *job_by_id (World *world, const char *id, guint32 *index);
