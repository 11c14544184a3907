/* A simulated cluster around the real controller core: a clock, a network, and simulations of the
 * state store, the cloud, workers and users. Deterministic: the same seed gives the same run,
 * called a day. The rules of the protocol are checked throughout. */
#pragma once
#include "coordination/core.h"
#include "sim/digest.h"
#include "sim/request.h"
#include "sim/request_outcomes.h"
#include "sim/troubles.h"
#include <jansson.h>

typedef void (*SimCallback) (SimCluster *cluster, gpointer data);

/* Runs the controllers as separate processes (tests/soak, the emulator) instead of as cores in this
 * process. Times are simulated seconds. */
typedef struct {
  void (*start) (SimCluster *cluster, int node);
  void (*end) (SimCluster *cluster, int node);
  /* Delivers a request of a worker or user, or the answer to a call. Takes ownership of it. */
  void (*push) (SimCluster *cluster, int node, HrCommand *command);
  void (*freeze) (SimCluster *cluster, int node, double for_s);
  /* Returns the address (IP:PORT) at which a new machine's worker takes direct orders; the caller
   * frees it. */
  char *(*worker_address) (SimCluster *cluster, guint machine);
} SimControllers;

/* The place of a heartbeat among those of its worker: by incarnation, then by sequence number. */
typedef struct {
  guint64 incarnation, number;
} SimReportOrder;

/* An answer of the state store to a controller. */
typedef struct {
  double at;
  guint64 epoch; /* the controller knows all changes up to this revision */
} SimStoreRead;

typedef struct {
  HrCore *core;      /* NULL: the controller is a separate process */
  char *incarnation; /* of its process; NULL: a separate process has not written the leader record
                        yet */
  HrNames names;
  HrSettings *settings;
  gboolean up;
  guint generation;    /* counts its processes */
  guint record_format; /* newest record format that its next process supports; 0: that of release
                          ecb9b3c */
  gboolean upgraded;   /* its next process is of the new version */
  GPtrArray *queue;
  gboolean step_scheduled;
  GHashTable *open;                 /* request id -> SimRequest */
  GHashTable *newest_answered;      /* machine -> SimReportOrder of the newest answered heartbeat */
  GHashTable *answered_at_handover; /* request id -> SimReportOrder that was the newest answered
                                       when the request was handed over; separate processes only */
  guint64 next;                     /* id of the latest request handed to it */
  double store_answered_at;         /* when the state store last answered it */
  double unread_leader_change_at;   /* when another controller wrote the leader record, if this one
                                       has not read that yet; 0: it has read all writes */
  guint64 unread_leader_change_epoch;
  /* Ends of its cuts, and of the time in which the state store answers it with 503. */
  double cut_workers_until, cut_store_until, cut_peers_until, cut_users_until, store_refuses_until;
  double isolated_at;          /* cut off from state store and peers since */
  gboolean cut_holds_messages; /* cuts delay messages until they end, instead of dropping them */
  guint64 compacted_epoch;     /* the store has discarded the changes up to this revision for it; 0:
                                  none */
  double frozen_until;         /* suspended until then, while its clocks run; 0: it is not */
  double freeze_next_batch_s;  /* duration of a suspension within its next batch; 0: none */
  /* Revisions up to which it was sent the changes of the state store, and up to which earlier
   * batches have read them. */
  guint64 epoch_sent, epoch_read;
  guint64 epoch_acting; /* read by the batch whose effects are being performed */
  GArray *store_reads;  /* SimStoreRead of this process, by time */
} SimNode;

#define MAX_NODES 5

struct SimCluster {
  double now;
  GRand *rand;
  SimDigest *digest;
  GSequence *events;
  guint64 seq;
  const SimControllers *controllers; /* NULL: cores in this process */
  gpointer controllers_data;
  GHashTable *token_nodes; /* token -> node that wrote the leader record with it; only with
                              `controllers` */
  SimNode nodes[MAX_NODES];
  int n; /* number of nodes */
  HrPolicy policy;
  double report_s, lease_s, cancel_s; /* settings of the workers */
  double guarantee_gpus;              /* guarantee of a second team; 0: there is none */
  double quota_gpus;                  /* GPU quota of the first team; 0: no limit */
  double machines_per_part;           /* machines per shard; 0: the policy's value */
  GHashTable *assignment_recorders;   /* "job/task/try" -> process that first recorded it */
  /* state store */
  GHashTable *keys; /* path -> StoreKey */
  GArray *log;      /* StoreChange */
  GHashTable *leases;
  guint64 epoch, last_lease_id; /* epoch: revision of the latest write, as the wire calls it */
  GPtrArray *watches;
  double store_outage_until;
  double value_kb;         /* largest value, as the settings say */
  gboolean production;     /* processes of the release in production take part in this day */
  double last_node_down_s; /* how long the last node to be upgraded is down */
  double limits_drop_at;   /* the announced limits are in force from then on; 0: never */
  double write_tokens, write_tokens_at;
  GHashTable *too_large; /* path -> number of values for it that were refused */
  /* cloud */
  GPtrArray *machines; /* SimMachine */
  GHashTable *rentals; /* rental request -> its answer */
  double cloud_outage_until;
  double cloud_calls, cloud_called_at; /* level of the rate limit's leaky bucket at that time */
  guint capacity;      /* machines that the cloud has, and a third as many spot machines */
  gboolean long_names; /* of machines */
  /* users */
  GPtrArray *jobs; /* SimJob */
  GHashTable *job_index;
  guint named_jobs; /* jobs that have a name, submitted or not */
  guint streamed_gangs;
  gboolean cancels_most_jobs;  /* users cancel most jobs soon after they submit them */
  double gang_image_gb;        /* image of the gangs of two; 0: 1 GB */
  double pipelines_cancelled;  /* share of pipelines of which some job is cancelled */
  gboolean crash_after_cancel; /* all nodes crash when a user learns of a cancellation */
  double crashed_after_cancel_at;
  /* results of the checks */
  GPtrArray *violations; /* texts: time, rule, description */
  guint task_starts;
  /* Shares of messages that are lost, and that arrive again up to max_late_s later. */
  double loss_share, duplicate_share, max_late_s;
  double late_order_share;    /* share of direct orders that get no answer and arrive 30 to 75 s
                                 late */
  double late_copy_share;     /* share of heartbeats of which a copy arrives late */
  GHashTable *cancelled_jobs; /* job id -> guint64, epoch of its cancellation */
  gboolean faults_ended;
  double faults_ended_at, faults_to;
  double late_messages_until; /* the last delayed or repeated message arrives then */
  double no_fault_since;      /* no fault has had an effect since then; 0: one has now */
  HrFaultState faults;        /* the active planned faults */
  guint64 message_clock;      /* counts users' requests and the answers to them */
  guint started_cancelled;    /* starts after a confirmed cancellation */
  guint unknown_jobs_polled;
  /* Chooses the outcome of each request during a search; NULL: losses are random. */
  SimOutcome (*choose_outcome) (SimCluster *cluster, const SimRequest *request, gpointer data);
  gpointer choose_outcome_data;
};

/* Creates a cluster and starts its controllers. */
SimCluster *sim_cluster_new (guint32 seed, int nodes);
/* Creates a cluster with nothing started: its parameters may be changed before
 * sim_cluster_start(). */
SimCluster *sim_cluster_new_stopped (guint32 seed, int nodes);
void sim_cluster_start (SimCluster *cluster);
/* Returns a controller's settings, with addresses on which nothing listens. */
json_t *node_settings (SimCluster *cluster, int node);
/* Restarts all controllers, which read their settings again. */
void sim_cluster_restart_nodes (SimCluster *cluster);
void sim_cluster_run (SimCluster *cluster, double until);
void sim_cluster_free (SimCluster *cluster);
/* Schedules a callback at this simulated time. */
void sim_schedule (SimCluster *cluster, double until, SimCallback callback, gpointer data);
/* Returns whether the node has been cut off from the state store and its peers for longer than it
 * may still answer. */
gboolean node_isolated (SimCluster *cluster, int i);
/* Records that a rule of the protocol was broken. */
void sim_report_violation (SimCluster *cluster, const char *rule, const char *fmt, ...)
    G_GNUC_PRINTF (3, 4);
double sim_rand_range (SimCluster *cluster, double lo, double hi);
void node_start (SimCluster *cluster, int i);
/* Starts the node at this time, unless it is up by then. */
void node_start_at (SimCluster *cluster, int i, double at);
/* Ends the node's process without a shutdown. */
void node_kill (SimCluster *cluster, int i);
/* Suspends the node's process. */
void node_freeze (SimCluster *cluster, int i, double for_s);
