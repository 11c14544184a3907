/* One controller, c0, driven step by step: the test says what the other members (c1 and c2) tell
 * it, whether the state service serves it, and what one worker shows. The state service and the
 * cloud answer within the step. */
#pragma once
#include "coordination/core.h"
#include <jansson.h>

#define SCRIPTED_MEMBERS 2

/* What a member says about once a second while `speaks`. */
typedef struct {
  gboolean speaks;
  gboolean echo_stays; /* echoes the clock that it echoed last, as a late copy does */
  HrPeerStatus status;
} ScriptedMember;

typedef struct {
  HrCore *core;
  HrSettings *set;
  HrNames names;
  HrPolicy pol;
  double now;
  gboolean served;       /* by the state service */
  gboolean loses_writes; /* writes are carried out, but their answers get lost */
  gboolean
      out_after_loss;    /* and the state service serves c0 no more from the first such write on */
  gboolean loses_orders; /* direct orders get no answer, and are not carried out */
  guint64 epoch;
  GPtrArray *log; /* JSON texts of changes */
  GPtrArray *inbox;
  ScriptedMember members[SCRIPTED_MEMBERS];
  double said_at;    /* the members last spoke */
  HrPeerStatus said; /* the latest status of c0 */
  double status_at;  /* its time */
  GHashTable *on;    /* "job/task" -> attempt: what the worker has */
  guint tally, session;
  guint64 token; /* the highest that the worker has seen */
  guint lost_launches;
  const char *watched;  /* key */
  guint watched_writes; /* of that key that c0 has tried */
  int status;           /* of the latest answer to a report or user */
  char *answer;
} ScriptedController;

/* The log is shown with HR_SIM_VERBOSE=1, fatal messages always. */
void scripted_log_init (void);
/* leader: whom the leader record names; "c0" becomes the leader by itself. */
ScriptedController *scripted_new (const char *leader);
void scripted_free (ScriptedController *controller);
/* Time passes; c0 ticks, and members speak. */
void scripted_run (ScriptedController *controller, double seconds);
/* A user asks; the status is returned. Waits at most 3 s for the answer. */
int scripted_ask (ScriptedController *controller, HrMethod method, const char *path,
                  const char *body);
void scripted_submit (ScriptedController *controller, const char *id);
/* The worker reports, and obeys the answer; its status is returned. */
int scripted_report (ScriptedController *controller);
/* The same again and again for so long; returns the status of the last one. */
int scripted_report_for (ScriptedController *controller, double seconds);
/* c0 gets this status, with its own clock echoed. */
void scripted_send_status (ScriptedController *controller, HrPeerStatus *status);
/* Somebody else changes the state store. */
void scripted_write (ScriptedController *controller, const char *key, const char *value);
/* Somebody else cancels the job; its revision is returned. */
guint64 scripted_cancel_elsewhere (ScriptedController *controller, const char *id);
gboolean scripted_runs (const ScriptedController *controller, const char *id);
