/* Stand-ins for everything that surrounds the controllers: the state service, the cloud, the
 * workers and the users, written from the users' pages (PROTOCOL), on loopback and the real clock.
 * One process, several threads, one lock. Every message and every start of a task goes to the
 * record. The rules are judged by what users, workers, the cloud and the state service see. */
#pragma once
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <sys/types.h>

#define MAX_CONTROLLERS 5

typedef struct {
  const char *site;
  int controllers;
  const char *areas[MAX_CONTROLLERS]; /* zone of each controller */
  int n_zones;
  const char *zones[4];
  double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  double state_rps, state_write_rps, value_kb;
  int txn_ops;
  double cloud_rps, list_lag_s, cloud_latency_s;
  double restart_s; /* pause before a controller that ended is started again */
  const char *type;
  double type_cpus, type_gpus, type_memory, fetch_rate, boot_s;
  int capacity[4]; /* machines by zone */
  /* Boot times vary between 0.6 and 1.5 of boot_s: the first so many machines boot in 0.7 of it,
   * the others in 1.4 of it. 0: all boot in boot_s. */
  guint quick_boots;
  const char *team;
  double team_cpus, team_gpus, team_cpus_max, team_gpus_max;
  bool quiet; /* do not record the requests to the state service */
} World;

extern World world;
extern pthread_mutex_t lock; /* guards all state below; the functions take it themselves */

/* ---- time and record ---- */
double now_s (void); /* seconds since the start */
void wait_until (double at_s);
void record (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* ---- begin and end ---- */
/* Starts the stand-ins and the controllers. `folder`: for settings and logs. */
void world_begin (const char *hoprockd, const char *policy, const char *folder);
/* Ends all controllers and stand-ins. */
void world_end (void);
void world_write_settings (void); /* written by world_begin(), too */

/* ---- controllers ---- */
void controller_signal (int node, int signal);
void controller_kill (int node, double back_s); /* back_s < 0: stays down */
int controller_leading (void);                  /* by the leader record; -1: none */
bool controller_ready (int node);               /* GET /ready answers 200 within 1 s */
bool wait_for_leader (double timeout_s);
double controller_cpu_s (int node); /* processor time of the process so far */

/* ---- disruptions ---- */
extern bool state_refuses[MAX_CONTROLLERS]; /* the state service answers 503 to this controller */
extern bool state_lost[MAX_CONTROLLERS];    /* nothing passes between it and the state service */
extern bool peers_lost[MAX_CONTROLLERS];    /* nothing passes between it and other controllers */
extern bool cloud_down;                     /* the cloud answers 503 {"error":"trouble"} */
extern int zone_granted[4]; /* most machines that the cloud has for a zone now; -1: capacity */

/* Time of the last answered read of the state service by this controller (/changes without a hold),
 * and of its last lease renewal. */
double state_read_at (int node);
double state_renewed_at (int node);
/* Deletions that the cloud refused with "trouble", by controller. */
int deletions_refused (int node);

/* ---- users ---- */
/* Each returns the HTTP status, 0: no response in time. `stance` (nullable) gets the state. */
int user_submit (int node, json_t *job, double timeout_s, char stance[16]);
int user_poll (int node, const char *id, char stance[16]);
int user_abort (int node, const char *id, char stance[16]);
/* Submits at the ready controllers until it is accepted, for at most 60 s. */
bool user_submit_until_accepted (json_t *job);
json_t *user_job (const char *id, const char *class_name, const char *shape, const char *rank,
                  int pieces, double cpus, double gpus, double memory_gb, double guess_s);

/* ---- workers ---- */
int workers_up (const char *zone); /* zone NULL: all */
int machines_rented (void);        /* that are not gone */
int tasks_on (const char *id);     /* tasks of the job that are on machines now */
int tasks_started (const char *id);

/* ---- rules ---- */
void rule_broken (const char *rule, const char *format, ...) G_GNUC_PRINTF (2, 3);
int rules_broken (const char *rule); /* NULL: all */
