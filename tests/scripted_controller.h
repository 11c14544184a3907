/* Drives one controller, c0, step by step (a step handles one batch of commands). The test sets the
 * statuses of the other members (c1 and c2), the availability of the state store and the tasks of
 * one worker. The state store and the cloud answer within the step. */
#pragma once
#include "coordination/core.h"
#include <jansson.h>

#define SCRIPTED_MEMBERS 2

/* Another member, which sends its status about once a second. */
typedef struct {
  gboolean sends_statuses;
  gboolean repeats_echo; /* leaves the echoed clock as it is, as a late copy of a status does */
  HrPeerStatus status;
} ScriptedMember;

typedef struct {
  HrCore *core;
  HrSettings *settings;
  HrNames names;
  HrPolicy policy;
  double now;                 /* monotonic time, in seconds */
  gboolean store_available;   /* FALSE: the state store answers 503 */
  gboolean loses_answers;     /* writes are carried out, but their answers are lost */
  gboolean outage_after_loss; /* the state store becomes unavailable with the first lost answer */
  gboolean loses_orders;      /* direct orders are not carried out and get no answer */
  guint64 revision;           /* of the state store */
  GPtrArray *log;             /* JSON texts of the store's changes, the oldest first */
  GPtrArray *inbox;           /* HrCommand of the next step */
  ScriptedMember members[SCRIPTED_MEMBERS];
  double statuses_sent_at;    /* when the members last sent their statuses */
  HrPeerStatus latest_status; /* of c0 */
  double latest_status_at;
  GHashTable *tasks;           /* of the worker: "job/task" -> attempt */
  guint sequence, incarnation; /* of the worker's heartbeats */
  guint64 fencing_token;       /* the highest that the worker has seen */
  guint lost_launches;         /* direct calls with a launch that were lost */
  const char *counted_key;     /* key of the state store whose writes are counted, or NULL */
  guint counted_writes;        /* writes of that key that c0 has tried */
  int status;                  /* of the latest answer to a user or to the worker; 0: none yet */
  char *answer;                /* body of that answer */
} ScriptedController;

/* Shows log messages if HR_SIM_VERBOSE is set; fatal ones always. */
void scripted_log_init (void);
/* Starts c0. leader: the controller that the leader record names; with "c0" there is no record, and
 * c0 is elected. */
ScriptedController *scripted_new (const char *leader);
void scripted_free (ScriptedController *controller);
/* Advances the clock: c0 ticks every 0.1 s, and the members send their statuses. */
void scripted_run (ScriptedController *controller, double seconds);
/* Sends a user's request and waits at most 3 s for the answer. Returns its status. */
int scripted_request (ScriptedController *controller, HrMethod method, const char *path,
                      const char *body);
/* Submits a job of one task; aborts the test unless it is accepted. */
void scripted_submit (ScriptedController *controller, const char *id);
/* Sends the worker's heartbeat and applies the answer's orders. Returns the answer's status. */
int scripted_report (ScriptedController *controller);
/* Sends a heartbeat every 2 s for this many seconds. Returns the status of the last answer. */
int scripted_report_for (ScriptedController *controller, double seconds);
/* Delivers the status to c0 as it is. */
void scripted_send_status (ScriptedController *controller, HrPeerStatus *status);
/* Writes the key in the state store, as another client of it does. */
void scripted_write (ScriptedController *controller, const char *key, const char *value);
/* Cancels the job as another controller does. Returns the revision of that write. */
guint64 scripted_cancel_by_other (ScriptedController *controller, const char *id);
/* Returns whether the worker has the job's first task. */
gboolean scripted_has_task (const ScriptedController *controller, const char *id);
