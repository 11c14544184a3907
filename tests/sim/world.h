/* A simulated cluster around the real owner of state: time, messages and
 * stand-ins for the state service, the cloud, workers and users. Seeded: the
 * same seed plays the same day. Every rule of the protocol is checked. */
#pragma once
#include "coordination/core.h"
#include <jansson.h>

typedef struct World World;
typedef void (*WFn) (World *w, gpointer data);

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
  int refs;
  int machine; /* of the asking worker, or -1 */
  void (*done) (World *w, int status, json_t *body, gpointer data);
  gpointer data;
} Req;

typedef struct {
  HrCore *core;
  HrNames names;
  HrSettings *set;
  gboolean up;
  guint gen; /* counts processes */
  GPtrArray *queue;
  gboolean stepping;
  GHashTable *open;  /* request id -> Req */
  GHashTable *heard; /* machine -> guint64[2]: newest session and number answered */
  guint64 next;
  double store_at;  /* when the state service last answered it */
  double behind_at; /* when another changed the map or withdrew a job, not read yet; 0: never */
  guint64 behind_epoch;
  double cut_workers, cut_store, cut_peers, cut_users, refused; /* until when */
  double alone_at;    /* cut off from state service and members since */
  gboolean hold;      /* cuts hold packets back */
  guint64 too_old;    /* its changes up to this epoch are no longer kept; 0: they are */
  double frozen;      /* stands still until then, while its clocks run on; 0: it does not */
  double freeze_next; /* stands still so long in the middle of its next batch */
} Node;

#define MAX_NODES 5

typedef enum { S_FETCH, S_GATHER, S_RUN, S_SAVE, S_EXIT } SState;
typedef struct {
  guint32 job, task, try;
  SState state;
  const char *cause;
  gboolean kept, failing;
  double ready, until; /* image there; saved by */
  double since;        /* gathering or running since */
  double base;         /* progress when it began to run */
  gboolean on;         /* has its image, not exited */
} STask;

typedef struct {
  char *name, *addr, *ask;
  int type_boot; /* ms */
  guint zone;
  gboolean spot, up, gone, failed, listed_gone;
  double rented, boots, gone_at;
  double asked_gone; /* its deletion was first asked for then; 0: never */
  double named_at;   /* when a record last ceased to name it, after it went */
  guint tenure, tally;
  guint64 baton;
  double lease_at; /* sent time of the last report that got an answer */
  int node;        /* reports to */
  gboolean out;    /* a report is on its way */
  guint report;    /* number of the report on its way */
  double report_sent, token_told;
  double cut, hang; /* until when */
  double deaf;      /* until when answers and commands do not reach it; reports leave */
  gboolean hold;
  double warned; /* taken at; 0: no notice */
  gboolean faulty, through_cut;
  GArray *tasks; /* STask */
  GHashTable *images;
} SMachine;

typedef struct {
  char *id, *body;
  HrShape shape;
  guint tasks;
  double cpus, gpus, mem, image_gb, run, checkpoint, save;
  guint image;
  gboolean one_zone, spread, spot, broken, submitted, accepted, refused;
  gboolean cancel, asked_cancel;
  double due_cancel, told_withdrawn, told_done, started, first, done_at;
  double poll_at, ok_at;
  double accepted_at;
  gboolean large, forgotten, lost_place;
  const char *team; /* NULL: the first one */
  guint *done;      /* per task */
  double *progress;
} SJob;

struct World {
  double now;
  GRand *rand;
  GSequence *events;
  guint64 seq;
  Node nodes[MAX_NODES];
  int n; /* of them */
  HrPolicy pol;
  double report_s, lease_s, cancel_s;   /* of workers */
  double guarantee_gpus;                /* of a second team; 0: there is none */
  double quota_gpus, machines_per_part; /* 0: as the policy says */
  GHashTable *assigned;                 /* "job/task/try" -> the process that recorded it */
  /* state service */
  GHashTable *keys; /* path -> SKey */
  GArray *log;      /* SChange */
  GHashTable *leases;
  guint64 epoch, claims;
  GPtrArray *watches;
  double outage; /* until when */
  /* cloud */
  GPtrArray *machines; /* SMachine */
  GHashTable *asks;
  double cloud_outage;
  guint capacity;
  /* users */
  GPtrArray *jobs; /* SJob */
  GHashTable *job_index;
  guint streamed;
  gboolean fickle;   /* users withdraw most jobs soon after they submit them */
  double gang_image; /* GB, of the gangs of two */
  /* judge */
  GPtrArray *broken; /* texts */
  guint starts;
  double loss, dup, late;
  double late_orders; /* share of direct orders that get no answer and come half a minute or more
                         late */
  double copies;      /* share of reports of which a copy comes late */
  gboolean calm;      /* no more faults */
  double calm_at;
  guint invented_asked;
};

/* Who is at work, for logs. */
extern double sim_log_time;
extern int sim_log_node;

World *world_new (guint32 seed, int nodes);
/* Starts all controllers anew: they read their settings then. */
void world_restart (World *w);
void world_run (World *w, double until);
void world_free (World *w);
void w_at (World *w, double t, WFn fn, gpointer data);
/* Cut off from state service and members for longer than it may go on as if it were not. */
gboolean node_alone (World *w, int i);
void w_broken (World *w, const char *rule, const char *fmt, ...) G_GNUC_PRINTF (3, 4);
double w_rand (World *w, double lo, double hi);
/* A worker's or user's request to a controller. */
void w_ask (World *w, int node, int machine, HrMethod m, const char *path, char *body,
            double timeout, void (*done) (World *, int, json_t *, gpointer), gpointer data);
/* A server's answer. Takes the body text. */
void w_answer (World *w, Req *r, int status, char *body);
void req_unref (Req *r);

void node_start (World *w, int i);
void node_kill (World *w, int i);

void store_request (World *w, Req *r);
void store_init (World *w);
gboolean store_names (World *w, const char *machine);
guint store_garbage (World *w);
guint store_tear (World *w);
int store_owner (World *w); /* the node that the map names; -1: none */
void store_free (World *w);
void cloud_request (World *w, Req *r);
void cloud_init (World *w);
void cloud_free (World *w);
void machine_take (World *w, SMachine *m);
void machine_end (World *w, SMachine *m);
void worker_request (World *w, Req *r);
void worker_boot (World *w, SMachine *m);
void machine_stop_all (World *w, SMachine *m, const char *why);
void users_init (World *w, guint jobs, double span);
/* Probes every controller as a load balancer does. */
void users_probe (World *w);
/* The user of a running service withdraws it, at this node. */
void users_withdraw_at (World *w, int node);
/* Gangs of which one task has its image at once, and others after more than gang_wait_s.
 * fickle: one more is withdrawn while it fetches. */
void users_long_fetches (World *w, gboolean fickle);
/* Services that run until the end, of small images. */
void users_services (World *w, guint n, guint tasks, double at);
/* The first team fills the fleet with long work; later the second one wants what it is
 * guaranteed: tasks of an array, then a gang. */
void users_two_teams (World *w, double later);
/* A job whose tasks stand in pages. */
void users_paged (World *w, double at);
/* Jobs of all shapes for a fleet of hundreds. */
void users_crowd (World *w, guint jobs, double span);
/* A gang that no fleet of this cloud can hold. */
void users_oversized (World *w, double at);
/* Gangs of two tasks, one after the other. */
void users_gangs (World *w, guint n, double from, double gap);
/* A stream of small urgent gangs that alone would nearly fill the fleet, beside a few large jobs.
 */
void users_stream (World *w, HrShape large, double from, double to);
void users_free (World *w);
void judge_start (World *w, SMachine *m, STask *t);
void judge_tick (World *w);
SJob *job_by_id (World *w, const char *id, guint32 *index);
void faults_init (World *w, guint n, double from, double to);
/* All controllers are behind a cut for 30 s that holds packets back. */
void faults_held_cut (World *w, double at);
/* The state service answers no controller for 50 s; they hear one another, and workers. */
void faults_cut_from_store (World *w, double at);
/* The same, after one of them confirmed a withdrawal that the owner did not read. */
void faults_missed_withdrawal (World *w, double at, gboolean restart);
/* No worker reaches the owner for 40 s; other controllers do. */
void faults_owner_unreached (World *w, double at, gboolean hold);
/* Half of the machines end without notice, and so does the process of the owner. */
void faults_half_gone (World *w, double at);
/* The pages of large jobs become unreadable while all controllers are away for a moment. */
void faults_unreadable_pages (World *w, double at);
/* The owner is cut off from state service and members until another leads; then no controller
 * is served for 50 s, and all hear one another again. */
void faults_two_owners (World *w, double at);
/* A hundred machines end, a hundred hang, a quarter is cut off; the owner ends meanwhile. Then
 * all controllers end, twice, and one stands still. */
void faults_mass (World *w, double at);
/* Again and again the owner changes, and machines end without notice. */
void faults_owners (World *w, double from, double to);
/* Each gang loses one task's machine once, while it fetches its image. */
void faults_lost_places (World *w, double from, double to);
/* The process of the owner ends, and is back soon. */
void faults_owner_ends (World *w, double at);
/* Again and again the changes that the owner has not read yet are no longer kept. */
void faults_changes_gone (World *w, double from, double to);
/* Controllers stand still while their clocks run on: the owner, another, or all of them. */
typedef enum { FREEZE_OWNER, FREEZE_OTHER, FREEZE_ALL } FreezeWho;
void faults_freeze (World *w, double at, FreezeWho who, double for_s);
void node_freeze (World *w, int i, double for_s);
/* At that time the busiest machine stops hearing what it is told. */
void faults_deaf (World *w, double at);
