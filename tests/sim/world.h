/* A simulated cluster around the real owner of state: time, messages and
 * stand-ins for the state service, the cloud, workers and users. Seeded: the
 * same seed plays the same day. Every rule of the protocol is checked. */
#pragma once
#include "coordination/core.h"
#include "sim/digest.h"
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

/* What becomes of one request, where a search decides it instead of the drawn losses. */
typedef enum {
  OUTCOME_DELIVERED,
  OUTCOME_LOST,        /* never carried out */
  OUTCOME_ANSWER_LOST, /* carried out at once; its answer is lost */
  OUTCOME_LATE,        /* carried out seconds after its sender gave up */
  OUTCOME_COPIED,      /* carried out at once, and again later */
  OUTCOME_ENDS_BACK,   /* carried out; the controller concerned ends then, and is back at once */
  OUTCOME_ENDS_AWAY,   /* the same, and it stays away for longer than a leader's lease */
  OUTCOME_COUNT
} SimOutcome;

/* The newest of a worker's reports: by incarnation, then by number. */
typedef struct {
  guint64 session, number;
} SimReportOrder;

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

typedef enum {
  SIM_TASK_FETCH,
  SIM_TASK_GATHER,
  SIM_TASK_RUN,
  SIM_TASK_SAVE,
  SIM_TASK_EXIT
} SimTaskState;
typedef struct {
  guint32 job, task, try;
  SimTaskState state;
  const char *cause;
  gboolean kept, failing;
  double ready, until; /* image there; saved by */
  double since;        /* gathering or running since */
  double base;         /* progress when it began to run */
  gboolean on;         /* has its image, not exited */
} SimTask;

typedef struct {
  char *name, *addr, *ask;
  int type_boot; /* ms */
  guint zone;
  gboolean spot, up, gone, failed, listed_gone;
  double rented, boots, gone_at;
  double asked_gone; /* its deletion was first asked for then; 0: never */
  double named_at;   /* when a record last ceased to name it, after it went */
  guint tenure, tally;
  guint64 token;
  double lease_at; /* sent time of the last report that got an answer */
  int node;        /* reports to */
  gboolean out;    /* a report is on its way */
  guint report;    /* number of the report on its way */
  double report_sent, token_told;
  double cut, hang; /* until when */
  double deaf;      /* until when answers and commands do not reach it; reports leave */
  double mute;      /* until when it reaches no controller; commands reach it */
  gboolean hold;
  double warned; /* taken at; 0: no notice */
  gboolean faulty, through_cut;
  GArray *tasks; /* SimTask */
  GHashTable *images;
} SimMachine;

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
  /* judge */
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
  HrTroubles troubles;
  guint64 answers;         /* counts what users ask and hear: the one clock of answers */
  guint started_cancelled; /* starts after a confirmed cancellation */
  guint invented_asked;
  /* A search's choice for each request; NULL: losses are drawn. */
  SimOutcome (*choose) (World *world, const SimRequest *request, gpointer data);
  gpointer choose_data;
};

/* Who is at work, for logs. */
extern double sim_log_time;
extern int sim_log_node;
/* log.c: once a program, before its first day. */
void sim_log_init (void);

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
/* A worker's or user's request to a controller. */
void w_ask (World *world, int node, int machine, HrMethod method, const char *path, char *body,
            double timeout, void (*done) (World *, int, json_t *, gpointer), gpointer data);
/* A server's answer. Takes the body text. */
void w_answer (World *world, SimRequest *request, int status, char *body);
void req_unref (SimRequest *request);

/* Announced for the state service in all days. */
#define NEXT_VALUE_KB 2.0
#define NEXT_TXN_OPS 4
#define NEXT_WRITE_RPS 40.0
/* request_outcomes.c: lets the request meet that fate; it would reach its receiver at time t. */
void w_apply_outcome (World *world, SimRequest *request, SimOutcome fate, double until);

void node_start (World *world, int i);
/* Starts it then, unless it is up by that time. */
void node_start_at (World *world, int i, double at);
void node_kill (World *world, int i);

/* Large arrays and services, some of which are cancelled. */
void users_arrays (World *world, double from, double to);

/* upgrade.c: controllers of production, which come back new one after the other */
void upgrade_init (World *world);
/* The last one stays away for so long. Returns when its turn begins. */
double upgrade_roll (World *world, double from, double gap, double last_down);
void upgrade_limits_fall (World *world, double at);

void store_request (World *world, SimRequest *request);
void store_init (World *world);
void store_format (World *world, gboolean known);
gboolean store_names (World *world, const char *machine);
/* The value of a key, as text; NULL: not there. */
const char *store_text (World *world, const char *key);
guint store_garbage (World *world);
/* Records of open jobs that are larger than the announced limit. */
guint store_large (World *world);
/* A record of this job is in pages of a size that it was split into. */
gboolean store_split (World *world, const char *id);
gboolean store_has (World *world, const char *path);
/* As if it had been written before the day began. */
void store_put (World *world, const char *path, const char *text);
guint store_corrupt_pages (World *world);
int store_leader (World *world); /* the node that the leader record names; -1: none */
void store_free (World *world);
void cloud_request (World *world, SimRequest *request);
void cloud_init (World *world);
void cloud_free (World *world);
void machine_take (World *world, SimMachine *machine);
void machine_end (World *world, SimMachine *machine);
void worker_request (World *world, SimRequest *request);
void worker_boot (World *world, SimMachine *machine);
void machine_stop_all (World *world, SimMachine *machine);
void users_init (World *world, guint jobs, double span);
/* This user polls, submits again or cancels now, at that node (-1: any). */
void user_poll_at (World *world, SimJob *job, int node);
void user_submit_at (World *world, SimJob *job, int node);
void user_cancel_at (World *world, SimJob *job, int node);
gboolean job_all_done (const SimJob *job);
/* A request of a worker or user that has left arrives at its controller now, or if it has left
 * one at the server it asks. Takes a reference. */
void req_arrive (World *world, gpointer req);
/* A copy of a worker's report, for whose answer nobody waits. */
SimRequest *req_copy (const SimRequest *request, int to);
/* This request arrives then, later than messages usually do. Takes the reference over. */
void req_stray (World *world, SimRequest *request, double until);

/* ---- answer_checks.c: what users are told, by one clock of answers ---- */

/* The newest fact about a job that any user had heard when a question left. */
typedef struct {
  SimJob *job;
  guint64 sent; /* World.answers then */
  double sent_at;
} Question;
Question *question_new (World *world, SimJob *job);
/* An answer of 200 or 201 to this question: nothing older than was heard before it was sent. */
void answer_check (World *world, const Question *question, int status, json_t *body);
/* 404, 400 or 422. */
void answer_unknown (World *world, const Question *question, const char *what, int status);

/* ---- malformed_requests.c: requests that must be turned away or change nothing ---- */

void malformed_requests_begin (World *world);
/* The submission of a job just accepted is repeated with other content, at all controllers. */
void malformed_requests_repeat (World *world, SimJob *job);

/* ---- invariant_checks.c ---- */

/* At each start of a task, and every half second. */
void check_quota (World *world, double starting_gpus);
/* Every half second: jobs that wait beside room. */
void check_waiting_jobs (World *world);
/* A user heard that the job is cancelled: looks when its time is over. */
void check_cancelled_job (World *world, SimJob *job);
/* Launches that a controller has just decided on, which know of changes up to this epoch. */
void check_launches (World *world, int node, guint64 known, const GPtrArray *effects);

/* ---- external_jobs.c ---- */

/* A job of somebody outside, known from the body of its submission; NULL: the body names none. The
 * same again for a repeated one. Its tasks run as long as was estimated, give or take a third. */
SimJob *external_job (World *world, const char *body);

/* ---- workloads_large.c ---- */

SimJob *job_new (World *world);
/* A gang whose tasks each want a whole machine. */
SimJob *job_gang (World *world, guint tasks, double image_gb, double run);
/* The job is complete: its user submits it. Takes it over. */
void job_submit (World *world, SimJob *job);
/* Arrays of one task, per_s a second; of these a share is called off within 30 s. */
void users_singles (World *world, double from, double to, double per_s, double cancelled);
/* Jobs of all shapes bound to one zone each. */
void users_bound (World *world, guint n, double span);
/* More work than room: arrays, urgent gangs and services, of three times the fleet. */
void users_overload (World *world, double at);
/* Services take two thirds of a limit of twelve GPUs for good, a gang wants half of it for as
 * long as its user waits (350 s), and arrays that have room come after it. */
void users_at_limit (World *world, double at);

/* ---- troubles.c: where the stand-ins meet them ---- */

void troubles_init (World *world, guint32 seed);
void troubles_free (World *world);
double trouble_rand (World *world, double lo, double hi);
/* Takes over a request on its way (t: when it would arrive). FALSE: it goes on as always. */
gboolean troubles_take (World *world, SimRequest *request, double until);
/* Until when a cut zone parts the two ends of this request; 0: it does not. m: the worker. */
double troubles_zone_cut (World *world, const SimRequest *request, const SimMachine *machine);
double troubles_link_delay (World *world);
/* How much later than usual this request's answer leaves. */
double troubles_delay (World *world, const SimRequest *request);
/* A trouble of any kind still has its hold on something. */
gboolean world_troubled (const World *world);
/* When a machine rented now is up. at: as the cloud has drawn it. */
double troubles_boots (World *world, double at);
/* The leader record is written: who leads, and the token. */
void troubles_map (World *world, json_t *map);
/* A controller answers a worker with 200. */
void troubles_reply (World *world, int node, const char *answer);
/* The last task of this job has ended. */
void troubles_job_ended (World *world, SimJob *job);
/* Users were first told that it is accepted, done or cancelled. */
void troubles_told (World *world, SimJob *job, gboolean accepted);
/* ---- for other files of users ---- */
SimJob *job_new (World *world);
/* A gang whose tasks each want a whole machine. */
SimJob *job_gang (World *world, guint tasks, double image_gb, double run);
/* The job is complete: its user submits it. */
void job_submit (World *world, SimJob *job);

/* Probes every controller as a load balancer does. */
void users_probe (World *world);
/* The user of a running service cancels it, at this node. */
void users_cancel_service_at (World *world, int node);
/* Gangs of which one task has its image at once, and others after more than gang_wait_s.
 * fickle: one more is cancelled while it fetches. */
void users_long_fetches (World *world, gboolean fickle);
/* One array of equal tasks of `run` seconds each, sent in at `at`; cancelled at `cancel_at` (0:
 * never). */
void users_array (World *world, guint tasks, double run, double at, double cancel_at);
/* Services that run until the end, of small images. */
void users_services (World *world, guint n, guint tasks, double at);
/* The first team fills the fleet with long work; later the second one wants what it is
 * guaranteed: tasks of an array, then a gang. */
void users_two_teams (World *world, double later);
/* A job whose tasks stand in pages. */
void users_paged (World *world, double at);
/* Jobs of all shapes for a fleet of hundreds. */
void users_crowd (World *world, guint jobs, double span);
/* A gang that no fleet of this cloud can hold. */
void users_oversized (World *world, double at);
/* Gangs of two tasks, one after the other. */
void users_gangs (World *world, guint n, double from, double gap);
/* A stream of small urgent gangs that alone would nearly fill the fleet, beside a few large jobs.
 */
void users_stream (World *world, HrShape large, double from, double to);
void users_free (World *world);
void check_task_start (World *world, SimMachine *machine, SimTask *task);
void check_periodically (World *world);
SimJob *job_by_id (World *world, const char *id, guint32 *index);
void faults_init (World *world, guint n, double from, double to);
/* No trouble begins any more, unless one is planned for later. */
void world_calm (World *world, gpointer unused);
/* All controllers are behind a cut for 30 s that holds packets back. */
void faults_held_cut (World *world, double at);
/* The state service answers no controller for 50 s; they hear one another, and workers. */
void faults_cut_from_store (World *world, double at);
/* The same, after one of them confirmed a cancellation that the leader did not read. Leases are to
 * last all the same, but where that member restarts. */
void faults_missed_cancellation (World *world, double at, gboolean restart);
/* The state service refuses the leader alone while all other members confirm cancellations, and is
 * then down for all, for longer than a cancelled job's tasks may live. */
void faults_cancellation_gap (World *world, double at);
/* No worker reaches the leader for 40 s; other controllers do. */
void faults_leader_unreached (World *world, double at, gboolean hold);
/* Half of the machines end without notice, and so does the process of the leader. */
void faults_half_gone (World *world, double at);
/* The pages of large jobs become unreadable while all controllers are away for a moment. */
void faults_unreadable_pages (World *world, double at);
/* The leader is cut off from state service and members until another leads; then no controller
 * is served for 50 s, and all hear one another again. */
void faults_two_leaders (World *world, double at);
/* A hundred machines end, a hundred hang, a quarter is cut off; the leader ends meanwhile. Then
 * all controllers end, twice, and one stands still. */
void faults_mass (World *world, double at);
/* Again and again the leader changes, and machines end without notice. */
void faults_leaders (World *world, double from, double to);
/* Each gang loses one task's machine once, while it fetches its image. */
void faults_lost_places (World *world, double from, double to);
/* The process of the leader ends, and is back soon. */
void faults_leader_ends (World *world, double at);
/* Again and again the changes that the leader has not read yet are no longer kept. */
void faults_changes_gone (World *world, double from, double to);
/* Controllers stand still while their clocks run on: the leader, another, or all of them. */
typedef enum { FREEZE_LEADER, FREEZE_OTHER, FREEZE_ALL } FreezeWho;
void faults_freeze (World *world, double at, FreezeWho who, double for_s);
void node_freeze (World *world, int i, double for_s);
/* At that time the busiest machine stops hearing what it is told. */
void faults_inbound_cut (World *world, double at);
