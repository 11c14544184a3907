/* Planned faults: which fault begins when, how long it lasts and what it affects. A simulated day
 * is a table of HrFault that is passed to faults_plan() before the cluster runs. In the text format
 * and in the names of files and options these faults are called troubles; in the names of kinds and
 * triggers, workers' heartbeats are called reports and direct orders commands. Their random numbers
 * come from a separate stream, so that days without planned faults do not change.
 *
 * All times are simulated seconds; for_s counts from at_s; shares are from 0 to 1. */
#pragma once
#include <glib.h>

typedef struct SimCluster SimCluster;

typedef enum {
  /* A share of the transactions to the state store gets no answer. Without at_once each of them is
   * carried out 2 to 12 s later, after newer transactions. With at_once it is carried out at once
   * and only the answer is lost, while other controllers read what it wrote.
   * Fields: share, for_s, at_once. */
  FAULT_LATE_WRITES,
  /* A share of the workers' heartbeats is duplicated. The copy reaches the controller that received
   * the heartbeat, 2 s to 2.5 leases later. With for_next all copies are kept and reach the next
   * leader within half a second of its first answer to a heartbeat. With to_all all copies are kept
   * and reach every controller within a tenth of a second after the leader record names a new
   * leader. Fields: share, for_s, for_next, to_all. */
  FAULT_LATE_REPORTS,
  /* A share of the direct orders is delayed, gets no answer, and is carried out once, 2 to 16 s
   * late, if token and incarnation still match. Fields: share, for_s. */
  FAULT_LATE_COMMANDS,
  /* Heartbeats of these machines arrive; answers and direct orders to them are lost.
   * Fields: count, share or zone, for_s. */
  FAULT_MACHINE_INBOUND_CUT,
  /* These machines reach no controller; direct orders reach them and are answered.
   * Fields: count, share or zone, for_s. */
  FAULT_MACHINE_OUTBOUND_CUT,
  /* These machines hang. Fields: count, share or zone, for_s. */
  FAULT_MACHINE_HANG,
  /* These machines are partitioned from all controllers. With hold, messages sent during the
   * partition arrive when it ends. Fields: count, share or zone, for_s, hold. */
  FAULT_MACHINE_CUT,
  /* These machines crash without notice. Fields: count, share or zone. */
  FAULT_MACHINE_CRASH,
  /* Users cancel count running jobs that have long run times left, within a fifth of a second. With
   * hang_s up to eight of the machines of these jobs hang for that time. Fields: count, hang_s. */
  FAULT_CANCEL_NOW,
  /* A share of the jobs that end is cancelled at the moment of the end: half of them when the last
   * task ends, half up to 0.6 s later, while the end is being reported and recorded.
   * Fields: share, for_s. */
  FAULT_CANCEL_AT_END,
  /* Polls in quick succession: whenever a user learns that a job is accepted, done or cancelled, or
   * the last task of a job ends, users repeat the submission and query the job at all controllers,
   * several times within 30 ms. A share of the jobs just accepted is cancelled at once (0: a
   * tenth). Fields: for_s, share. */
  FAULT_CLOSE_POLLS,
  /* Controllers lose the connections that the from_ fields name.
   * Fields: who, for_s, from_state, from_peers, from_workers, from_users, hold. */
  FAULT_NODE_CUT,
  /* Controllers crash and restart after back_s (0: 3 to 7 s), the first of them after first_back_s
   * if that is set. Fields: who, back_s, first_back_s. */
  FAULT_NODE_CRASH,
  /* Controllers freeze while their clocks keep running. Fields: who, for_s. */
  FAULT_NODE_FREEZE,
  /* The state store answers 503 to these controllers only. Fields: who, for_s. */
  FAULT_STATE_REFUSES,
  /* The state store answers 503 to all controllers. Fields: for_s. */
  FAULT_STATE_OUTAGE,
  /* Each answer of the state store is delayed by a further 0.3 to 1.6 times delay_s.
   * Fields: for_s, delay_s. */
  FAULT_STATE_SLOW,
  /* Machines rented during this time are up within two seconds. Fields: for_s. */
  FAULT_FAST_BOOT,
  /* A zone with its workers and the controllers that who names is partitioned from everything else;
   * inside the partition all of them reach one another. Fields: zone, who, for_s, hold. */
  FAULT_ZONE_CUT,
  /* Every message is delayed by a further 0.5 to 1.5 times delay_s. Fields: for_s, delay_s. */
  FAULT_SLOW_LINKS,
  /* The cloud answers 503 to all requests. Fields: for_s. */
  FAULT_CLOUD_OUTAGE,
  /* Every 1.5 s users send one request of each kind that must be rejected or have no effect;
   * sim/malformed_requests.c lists them with the required answers. Submissions of jobs just
   * accepted are repeated with other content. Fields: for_s. */
  FAULT_MALFORMED_REQUESTS,
  FAULT_KINDS
} HrFaultKind;

/* The controllers that a fault affects, determined when the fault begins. */
typedef enum {
  WHO_LEADER, /* the controller that the leader record names */
  WHO_OTHER,  /* the controller with the index after the leader's */
  WHO_OTHERS, /* all but the leader */
  WHO_ALL
} HrFaultTarget;

/* When a fault begins: at its time, or at the first event of this kind after that time. */
typedef enum {
  ON_TIME,
  ON_WRITE_SENT,      /* a controller sends a transaction */
  ON_WRITE_DONE,      /* a transaction was carried out */
  ON_WRITE_ANSWERED,  /* the answer to a transaction arrives */
  ON_REPORT_ANSWERED, /* a worker's heartbeat is answered with 200 */
  ON_HAND_OVER,       /* the leader record names another process */
  FAULT_TRIGGERS
} HrFaultTrigger;

/* In a table, .zone is the number of a zone plus one; 0 stands for no zone. */
#define ZONE(z) ((z) + 1)

typedef struct {
  double at_s;
  HrFaultKind kind;
  double for_s;
  double share;                /* of messages, jobs or machines */
  guint count;                 /* of machines or jobs; 0: share or zone selects them */
  guint zone;                  /* ZONE (0) or ZONE (1); 0: none */
  HrFaultTarget who;           /* affected controllers */
  double hang_s;               /* FAULT_CANCEL_NOW */
  double back_s, first_back_s; /* FAULT_NODE_CRASH */
  double delay_s;              /* FAULT_STATE_SLOW, FAULT_SLOW_LINKS */
  guint times;                 /* number of repetitions, at intervals of every_s; 0: once */
  double every_s;
  gboolean hold; /* a partition delays messages until its end instead of dropping them */
  gboolean at_once, for_next, to_all;
  gboolean from_state, from_peers, from_workers, from_users;
  HrFaultTrigger on; /* cannot be combined with `times` above 1 */
} HrFault;

/* A fault that is active until a time. share: the share of messages or jobs that it affects. */
typedef struct {
  double until, share;
} HrFaultWindow;

/* The active faults; HrFaultKind describes each kind. */
typedef struct {
  GRand *rand;                             /* random stream of planned faults */
  HrFaultWindow late_writes, lost_answers; /* lost_answers: late_writes with at_once */
  HrFaultWindow late_reports, reports_for_next, reports_to_all;
  HrFaultWindow late_commands;
  HrFaultWindow cancel_at_end, close_polls;
  double state_slow_until, state_slow_s;
  double links_slow_until, links_slow_s;
  double malformed_until;
  guint malformed_sent; /* number of malformed requests so far; used in their marks */
  double fast_boot_until;
  double zone_cut_until; /* end of the partition of zone_cut */
  guint zone_cut;
  guint zone_nodes; /* bit set of the controllers inside that partition */
  gboolean zone_hold;
  GPtrArray *kept_for_next, *kept_for_all; /* SimRequest, copies of heartbeats */
  guint leaders;                           /* number of leaders named by the leader record so far */
  guint leaders_released; /* `leaders` when copies for the next leader were last released, or when
                             their recording began */
  guint64 leader_token;   /* token with which the newest leader began */
  char *leader_process;
  GPtrArray *armed;           /* HrFault that wait for their trigger */
  guint effects[FAULT_KINDS]; /* how often a fault of each kind affected something */
  double ends_at;             /* end of the last planned fault */
} HrFaultState;

/* Plans the faults of a day; called once a day. Faults whose trigger has not occurred by the end of
 * the last fault never begin. */
void faults_plan (SimCluster *cluster, const HrFault *day, guint n);
/* Begins the armed faults that wait for this event. */
void faults_trigger (SimCluster *cluster, HrFaultTrigger event);

/* ---- trouble_text.c ---- */

const char *fault_kind_name (HrFaultKind kind);
/* Returns a line "KEY=VALUE ..." for fault_parse(); to be freed. */
char *fault_to_text (const HrFault *fault);
/* Returns FALSE if the line is not a valid fault. */
gboolean fault_parse (const char *line, HrFault *fault);

/* ---- trouble_draw.c ---- */

/* Returns a fault of this kind whose other fields are drawn. lease_s: lease time of the workers;
 * the fault lasts up to 1.3 times as long. */
HrFault fault_draw (GRand *rand, HrFaultKind kind, double at_s, double lease_s);
