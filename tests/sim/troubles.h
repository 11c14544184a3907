/* Troubles that a day plans: what, when, how long and whom it hits. A day is a table of
 * HrTrouble, handed to troubles_plan() before the cluster runs. All that is drawn for them comes
 * from a random stream of their own, so that days without them stay as they are.
 *
 * All times are simulated seconds; for_s counts from at_s; shares go from 0 to 1. */
#pragma once
#include <glib.h>

typedef struct SimCluster SimCluster;

typedef enum {
  /* A share of the transactions to the state service gets no answer. Without at_once each is
   * carried out 2 to 12 s later, after newer ones; with at_once at once, only the answer is
   * lost, while other controllers read what it wrote. Fields: share, for_s, at_once. */
  TROUBLE_LATE_WRITES,
  /* Of a share of the workers' reports a copy arrives again at the controller that the report
   * went to, 2 s to 2.5 leases later. With for_next all copies are kept, and arrive at the next
   * leader within half a second after it first answered a report. With to_all they are kept too,
   * and arrive at every controller within a tenth of a second after the leader record names a new
   * leader. Fields: share, for_s, for_next, to_all. */
  TROUBLE_LATE_REPORTS,
  /* A share of the direct orders is held up on its way, stays without an answer, and is carried
   * out once, 2 to 16 s late, if token and incarnation still match. Fields: share, for_s. */
  TROUBLE_LATE_COMMANDS,
  /* Reports of these machines arrive; answers and direct orders to them are lost.
   * Fields: count, share or zone, for_s. */
  TROUBLE_MACHINE_DEAF,
  /* These machines reach no controller; direct orders reach them and are answered.
   * Fields: count, share or zone, for_s. */
  TROUBLE_MACHINE_MUTE,
  /* These machines stand still. Fields: count, share or zone, for_s. */
  TROUBLE_MACHINE_HANG,
  /* The ways between these machines and all controllers are cut; with hold what is sent meanwhile
   * arrives when the cut ends. Fields: count, share or zone, for_s, hold. */
  TROUBLE_MACHINE_CUT,
  /* These machines end without notice. Fields: count, share or zone. */
  TROUBLE_MACHINE_CRASH,
  /* Users call off count jobs that run and have long to go, within a fifth of a second; with
   * hang_s up to eight of their machines hang that long. Fields: count, hang_s. */
  TROUBLE_CANCEL_NOW,
  /* A share of the jobs that end is called off by their users at the moment of the end: half of
   * them when the last task ends, half up to 0.6 s later, while that is reported and recorded.
   * Fields: share, for_s. */
  TROUBLE_CANCEL_AT_END,
  /* Whenever a user is told that a job is accepted, done or cancelled, or its last task ends,
   * users ask at all controllers, several times within 30 ms, and repeat the submission; share of
   * the jobs just accepted are called off at once (0: a tenth). Fields: for_s, share. */
  TROUBLE_CLOSE_LOOKS,
  /* Controllers lose what the from_ fields name. Fields: who, for_s, from_state, from_peers,
   * from_workers, from_users, hold. */
  TROUBLE_NODE_CUT,
  /* Controllers end, and are back after back_s (0: 3 to 7 s), the first of them after
   * first_back_s if that is set. Fields: who, back_s, first_back_s. */
  TROUBLE_NODE_CRASH,
  /* Controllers stand still while their clocks run on. Fields: who, for_s. */
  TROUBLE_NODE_FREEZE,
  /* The state service answers 503 to these controllers alone. Fields: who, for_s. */
  TROUBLE_STATE_REFUSES,
  /* The state service answers 503 to all controllers. Fields: for_s. */
  TROUBLE_STATE_OUTAGE,
  /* Each answer of the state service takes 0.3 to 1.6 times delay_s longer. Fields: for_s,
   * delay_s. */
  TROUBLE_STATE_SLOW,
  /* Machines that are rented meanwhile are up within two seconds. Fields: for_s. */
  TROUBLE_FAST_BOOT,
  /* A zone with its workers, and the controllers that who names, is cut off from everything
   * else, while inside it all reach one another. Fields: zone, who, for_s, hold. */
  TROUBLE_ZONE_CUT,
  /* Every message takes 0.5 to 1.5 times delay_s longer. Fields: for_s, delay_s. */
  TROUBLE_SLOW_LINKS,
  /* The cloud answers 503 to everything. Fields: for_s. */
  TROUBLE_CLOUD_OUTAGE,
  /* Every 1.5 s users send one request of each kind that must be turned away or change nothing:
   * sim/malformed_requests.c lists them with the answers they must get. Of jobs just accepted the
   * submission is repeated with other content. Fields: for_s. */
  TROUBLE_ODD_REQUESTS,
  TROUBLE_KINDS
} HrTroubleKind;

/* Whom a trouble of controllers hits, as of when it begins. */
typedef enum {
  WHO_LEADER, /* whom the leader record names */
  WHO_OTHER,  /* the controller after it */
  WHO_OTHERS, /* all but the leader */
  WHO_ALL
} HrWho;

/* When a trouble begins: at its time, or at the first such moment after it. */
typedef enum {
  ON_TIME,
  ON_WRITE_SENT,      /* a transaction leaves its controller */
  ON_WRITE_DONE,      /* one was carried out */
  ON_WRITE_ANSWERED,  /* its answer arrives */
  ON_REPORT_ANSWERED, /* a worker's report gets a 200 */
  ON_HAND_OVER,       /* the leader record names another process */
  TROUBLE_MOMENTS
} HrMoment;

/* In a table, .zone is the number of a zone plus one, so that 0 names none. */
#define ZONE(z) ((z) + 1)

typedef struct {
  double at_s;
  HrTroubleKind kind;
  double for_s;
  double share;                /* of messages, jobs or machines */
  guint count;                 /* of machines or jobs; where it is 0 share or zone counts */
  guint zone;                  /* ZONE (0) or ZONE (1); 0: none */
  HrWho who;                   /* controllers */
  double hang_s;               /* TROUBLE_CANCEL_NOW */
  double back_s, first_back_s; /* TROUBLE_NODE_CRASH */
  double delay_s;              /* TROUBLE_STATE_SLOW, TROUBLE_SLOW_LINKS */
  guint times;                 /* it begins so often, each every_s after the one before; 0: once */
  double every_s;
  gboolean hold; /* a cut holds packets back in place of losing them */
  gboolean at_once, for_next, to_all;
  gboolean from_state, from_peers, from_workers, from_users;
  HrMoment on; /* with `times` 0 or 1 */
} HrTrouble;

/* A switch that is on until then. share: of what it counts. */
typedef struct {
  double until, share;
} HrSwitch;

/* What is on at the moment; see HrTroubleKind for what each one does. */
typedef struct {
  GRand *rand;                        /* their own stream */
  HrSwitch late_writes, lost_answers; /* lost_answers: late_writes with at_once */
  HrSwitch late_reports, reports_for_next, reports_to_all;
  HrSwitch late_commands;
  HrSwitch cancel_at_end, close_looks;
  double state_slow_until, state_slow_s;
  double links_slow_until, links_slow_s;
  double odd_until;
  guint odd_requests; /* sent so far: numbers them */
  double fast_boot_until;
  double zone_cut_until; /* of zone_cut, with the controllers whose bits zone_nodes has */
  guint zone_cut, zone_nodes;
  gboolean zone_hold;
  GPtrArray *kept_next, *kept_all; /* SimRequest, copies of reports */
  /* Leaders that the leader record has named, and how many of them had answered a worker when
   * copies were last let go; token with which the newest one began. */
  guint leaders, leaders_acted;
  guint64 leader_token;
  char *leader_process;
  GPtrArray *armed;            /* HrTrouble that begin with a moment */
  guint played[TROUBLE_KINDS]; /* how often each kind took effect on something */
  double over_at;              /* when the last one planned is over */
} HrTroubles;

/* Plans them; when the last one is over the day is calm. Call it once a day. */
void troubles_plan (SimCluster *cluster, const HrTrouble *day, guint n);
/* It is this moment: what waits for it begins. */
void troubles_moment (SimCluster *cluster, HrMoment moment);

/* ---- trouble_text.c ---- */

const char *trouble_kind_name (HrTroubleKind kind);
/* One line "KEY=VALUE ..." that trouble_parse reads; to be freed. */
char *trouble_text (const HrTrouble *trouble);
/* FALSE: the line is no trouble. */
gboolean trouble_parse (const char *line, HrTrouble *trouble);

/* ---- trouble_draw.c ---- */

/* A trouble of this kind, all else drawn. lease_s: of workers; it lasts up to 1.3 times as long. */
HrTrouble trouble_draw (GRand *rand, HrTroubleKind kind, double at_s, double lease_s);
