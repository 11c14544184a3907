/* A simulated cluster around the real owner of state: time, messages and
 * stand-ins for the state service, the cloud, workers and users. Seeded: the
 * same seed plays the same day. Every rule of the protocol is checked. */
#pragma once
#include "coordination/core.h"
#include "sim/digest.h"
#include "sim/request.h"
#include "sim/request_outcomes.h"
#include "sim/troubles.h"
#include <jansson.h>

typedef void (*SimCallback) (World *world, gpointer data);

/* How the controllers are run, where they are not cores in this process (tests/soak). Time is that
 * of the world, in seconds. */
typedef struct {
  void (*start) (World *world, int node);
  void (*end) (World *world, int node);
  /* A request of a worker or user, or the answer to a call. Takes it over. */
  void (*push) (World *world, int node, HrCommand *command);
  void (*freeze) (World *world, int node, double for_s);
  /* Where a new machine's worker takes direct orders: IP:PORT, to be freed. */
  char *(*worker_address) (World *world, guint machine);
} SimControllers;

/* The newest of a worker's reports: by incarnation, then by number. */
typedef struct {
  guint64 session, number;
} SimReportOrder;

/* What the state service told a controller. */
typedef struct {
  double at;
  guint64 epoch; /* it knows all changes up to there */
} Reading;

typedef struct {
  HrCore *core;      /* NULL: it is a process of its own */
  char *incarnation; /* of its process, once that has written the leader record; NULL: not yet */
  HrNames names;
  HrSettings *set;
  gboolean up;
  guint gen;         /* counts processes */
  guint speaks;      /* the format of records that its next process understands; 0: ecb9b3c */
  gboolean upgraded; /* its next process is of the new version */
  GPtrArray *queue;
  gboolean stepping;
  GHashTable *open;  /* request id -> SimRequest */
  GHashTable *heard; /* machine -> SimReportOrder answered */
  GHashTable
      *heard_before; /* request id -> SimReportOrder answered when it was handed over; processes */
  guint64 next;
  double store_at;  /* when the state service last answered it */
  double behind_at; /* when another changed the leader record, not read yet; 0: never */
  guint64 behind_epoch;
  double cut_workers, cut_store, cut_peers, cut_users, refused; /* until when */
  double alone_at;    /* cut off from state service and members since */
  gboolean hold;      /* cuts hold packets back */
  guint64 too_old;    /* its changes up to this epoch are no longer kept; 0: they are */
  double frozen;      /* stands still until then, while its clocks run on; 0: it does not */
  double freeze_next; /* stands still so long in the middle of its next batch */
  /* Changes of the state service that it was sent, and that earlier batches have read. */
  guint64 epoch_sent, epoch_read;
  guint64 epoch_acting; /* that it had read when it made what it sends at the moment */
  GArray *readings;     /* Reading, of this process, by time */
} Node;

#define MAX_NODES 5

struct World {
  double now;
  GRand *rand;
  SimDigest *digest;
  GSequence *events;
  guint64 seq;
  const SimControllers *controllers; /* NULL: cores in this process */
  gpointer controllers_data;
  GHashTable
      *token_nodes; /* token -> node that wrote the leader record with it; of `controllers` alone */
  Node nodes[MAX_NODES];
  int n; /* of them */
  HrPolicy pol;
  double report_s, lease_s, cancel_s;   /* of workers */
  double guarantee_gpus;                /* of a second team; 0: there is none */
  double quota_gpus, machines_per_part; /* 0: as the policy says */
  GHashTable *assigned;                 /* "job/task/try" -> the process that recorded it */
  /* state service */
  GHashTable *keys; /* path -> StoreKey */
  GArray *log;      /* StoreChange */
  GHashTable *leases;
  guint64 epoch, claims;
  GPtrArray *watches;
  double outage;       /* until when */
  double value_kb;     /* a value may be so large, as the settings say */
  gboolean production; /* its processes are there, or have been */
  double last_down;    /* how long the last node to be upgraded stays away */
  double limits_fall;  /* the announced limits are in force from then on; 0: never */
  double write_tokens, write_tokens_at;
  GHashTable *too_large; /* path -> times that a value for it was refused */
  /* cloud */
  GPtrArray *machines; /* SimMachine */
  GHashTable *asks;
  double cloud_outage;
  double cloud_calls, cloud_called; /* calls that fill its allowance, as of then */
  guint capacity;
  gboolean long_names; /* of machines */
  /* users */
  GPtrArray *jobs; /* SimJob */
  GHashTable *job_index;
  guint named; /* jobs that have a name, submitted or not */
  guint streamed;
  gboolean fickle;            /* users cancel most jobs soon after they submit them */
  double gang_image;          /* GB, of the gangs of two */
  double pipelines_cancelled; /* share of pipelines of which some job is cancelled */
  gboolean shock;             /* a cancellation that was told is followed by the end of all nodes */
  double shocked_at;
  /* what the checks have found */
  GPtrArray *broken; /* texts */
  guint starts;
  double loss, dup, late;
  double late_orders; /* share of direct orders that get no answer and come half a minute or more
                         late */
  double copies;      /* share of reports of which a copy comes late */
  GHashTable *cancelled_jobs; /* job id -> guint64, epoch of its cancellation */
  gboolean calm;              /* no more faults */
  double calm_at, faults_to;
  double stray_until; /* messages that were held up or copied are on their way until then */
  double quiet_at;    /* no trouble has a hold on anything since; 0: one has */
  HrFaultState troubles;
  guint64 answers;         /* counts what users ask and hear: the one clock of answers */
  guint started_cancelled; /* starts after a confirmed cancellation */
  guint invented_asked;
  /* A search's choice for each request; NULL: losses are drawn. */
  SimOutcome (*choose) (World *world, const SimRequest *request, gpointer data);
  gpointer choose_data;
};

World *world_new (guint32 seed, int nodes);
/* The same, with nothing started: before world_begin its figures may be changed. */
World *world_prepare (guint32 seed, int nodes);
void world_begin (World *world);
/* A controller's settings, with addresses that nobody listens on. */
json_t *node_settings (World *world, int node);
/* Starts all controllers anew: they read their settings then. */
void world_restart (World *world);
void world_run (World *world, double until);
void world_free (World *world);
void w_at (World *world, double until, SimCallback callback, gpointer data);
/* Cut off from state service and members for longer than it may go on as if it were not. */
gboolean node_alone (World *world, int i);
void w_broken (World *world, const char *rule, const char *fmt, ...) G_GNUC_PRINTF (3, 4);
double w_rand (World *world, double lo, double hi);
void node_start (World *world, int i);
/* Starts it then, unless it is up by that time. */
void node_start_at (World *world, int i, double at);
void node_kill (World *world, int i);
void node_freeze (World *world, int i, double for_s);
