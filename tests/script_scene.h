/* Machines and their workers for tests/script.h, as the protocol has them: incarnations, leases,
 * tokens, reports, direct orders, deletion. A test says who reaches whom, and may keep any message
 * back. The rules about tasks on machines are checked at every event.
 *
 *   Scene *scene = scene_new (2);                       controllers c0 and c1, one of which leads
 *   SceneMachine *m = scene_machine (scene, "m-1", "z0");
 *   scene_run (scene, 5);                               all report, and obey what they are told
 *   m->reports = FALSE;                                 from now on it reaches no controller
 *   char *text = scene_write (m);                       a report, to arrive whenever the test says
 */
#pragma once
#include "script.h"

typedef struct {
  char *piece; /* "job-a/0" */
  guint attempt;
  gboolean exited;
  const char *cause;
} SceneTask;

typedef struct Scene Scene;

typedef struct {
  Scene *scene;
  char *name;
  const char *zone;
  guint tenure, tally;
  guint64 baton;
  double lease_at; /* when the latest report that got an answer was sent */
  double report_at;
  double token_told; /* when a higher token last made it report at once */
  int node;          /* that it reports to */
  gboolean gone;
  gboolean reports; /* its reports leave */
  gboolean hears;   /* the answers to its reports arrive */
  gboolean reached; /* direct orders arrive, and their answers */
  gboolean hangs;
  int only;         /* the one controller that it reaches; -1: any */
  double notice;    /* told by the cloud that it goes in so many seconds; 0: no */
  GPtrArray *tasks; /* SceneTask */
} SceneMachine;

/* What the rules need to know of a job. */
typedef struct {
  guint tasks, ended; /* ended: tasks that exited as done */
  double cpus;
  gboolean together, apart;
  GHashTable *done; /* pieces */
} SceneJob;

struct Scene {
  Script *s;
  GPtrArray *machines;
  GHashTable *withdrawn; /* job -> double *: when a user was told so */
  GHashTable *jobs;      /* job -> SceneJob */
  double cpus_max;       /* of the only team; 0: no limit */
  GPtrArray *broken;     /* rules, as text */
  guint starts, deletions;
  gboolean cloud_deletes; /* the cloud carries out deletions, and answers */
  double lease_s, cancel_s, report_s;
};

/* A leader is there and has read the machine types. */
Scene *scene_new (int nodes);
/* Fails the test when a rule was broken, and frees all. */
void scene_end (Scene *scene);
SceneMachine *scene_machine (Scene *scene, const char *name, const char *zone);
/* Machines report and obey, leases run, the clock moves: steps of 50 ms. */
void scene_run (Scene *scene, double seconds);
/* Runs until the condition holds; fails the test when it does not within that time. */
typedef gboolean (*SceneCheck) (Scene *scene, gpointer data);
void scene_until (Scene *scene, SceneCheck check, gpointer data, double seconds);

/* Tells the rules of a job that is about to be submitted. */
void scene_know (Scene *scene, const char *id, const json_t *body);
/* A user was told so, then. */
void scene_told (Scene *scene, const char *id, const char *state, double at);
/* Submits, and waits until it is accepted. body: taken; NULL: script_job of one task. */
void scene_submit (Scene *scene, int node, const char *id, json_t *body);
/* Withdraws, and waits until the user is told so. */
void scene_withdraw (Scene *scene, int node, const char *id);
const char *scene_stance (Scene *scene, int node, const char *id);

/* A report as it is now, sent now. */
char *scene_write (SceneMachine *machine);
/* It arrives at the node; the answer is lost. Returns its status. */
int scene_deliver (Scene *scene, int node, const char *text);
/* Reports to the node now; the answer arrives if it hears. */
int scene_report (SceneMachine *machine, int node);

/* The oldest open direct call to the machine, or NULL. */
ScriptCall *scene_direct (SceneMachine *machine, int node);
/* Submits a job at the leader and waits for the direct call that launches it; no direct order
 * reaches the machine from here on. */
ScriptCall *scene_launch_call (Scene *scene, SceneMachine *machine, int leader, const char *id);
/* Carries out the body of a direct call. Returns 200 or 409. */
int scene_obey_direct (SceneMachine *machine, const char *body);
/* The task is on the machine and has not exited. */
gboolean scene_has (const SceneMachine *machine, const char *piece);
guint scene_count (const Scene *scene, const char *piece); /* machines that it is on */
void scene_exit (SceneMachine *machine, const char *piece, const char *cause);
/* The machine that a job's record names, as text in it. */
gboolean scene_recorded (Scene *scene, const char *job_id, const char *text);

/* What the test held with script_hold is served as it comes. */
void scene_release (Scene *scene);

/* A process stands still, or goes on; what was on its way to it waits. */
void scene_freeze (Scene *scene, int node);
void scene_thaw (Scene *scene, int node);
