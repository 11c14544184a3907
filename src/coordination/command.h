/* What goes into the owner of all state and what comes out: no I/O in between. */
#pragma once
#include <glib.h>

typedef enum { HR_GET, HR_POST, HR_DELETE, HR_OTHER_METHOD } HrMethod;
typedef enum { HR_TO_STORE, HR_TO_CLOUD, HR_TO_WORKER } HrTarget;

#define HR_MAX_ECHOES 16
#define HR_MAX_OVERSIZED 4
#define HR_JOB_ID_MOST 100
/* Room for the job ids that one hint names. With it the largest hint still fits a frame. */
#define HR_NAMED_CANCELLATIONS_BYTES 960

/* The clock of a member, as its last hint told it: for that member alone to read. */
typedef struct {
  char label[64], incarnation[40];
  double clock;
  guint64 taken; /* position up to which the teller, who leads, has taken in that member's log */
} HrEcho;

/* A part of a member's log of withdrawals, in which it notes each one that it confirms or reads,
 * in that order. Positions count from 0 in each process. What was dropped from the log's
 * beginning has stamps up to `dropped`. */
typedef struct {
  gboolean stated; /* FALSE: the hint of a version that has no such log */
  guint64 dropped, begins, first, ends;
  guint count;                            /* of the ids named, from position `first` on */
  guint bytes;                            /* used of `ids` */
  char ids[HR_NAMED_CANCELLATIONS_BYTES]; /* one after the other, each with its terminating NUL */
} HrNamedCancellations;

/* What members tell one another about once a second. Hints, on which no rule rests, but
 * for one statement: by the time it was made, its sender and the processes before it had
 * confirmed no withdrawal after `withdrawn`, and of those after `named.dropped` none that is
 * not in its log. It is at least as new as the echoed clocks. */
typedef struct {
  char label[64], incarnation[40];
  guint64 baton, map_stamp;
  gboolean store_served, leads;
  guint32 contacts;
  double clock;
  gboolean synced; /* has read the whole ledger once; without that, `withdrawn` says nothing */
  guint64 withdrawn;
  guint64 applied; /* revision up to which the sender has read the ledger */
  HrNamedCancellations named;
  HrEcho echoes[HR_MAX_ECHOES];
  guint nechoes;
  guint32 format; /* of records, that the sender reads and writes; 0: it says nothing */
  /* Jobs that it could not withdraw, since their records are too large to be written. */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MOST + 1];
  guint noversized;
} HrHint;

typedef enum { HR_C_REQUEST, HR_C_RESULT, HR_C_HINT, HR_C_TICK } HrCommandKind;
typedef struct {
  HrCommandKind kind;
  guint64 id; /* of the request, or of the call that this is the result of */
  HrMethod method;
  char *path;
  GBytes *body;
  gboolean too_large; /* request: the body passed the limit and was not kept */
  int status;         /* result: HTTP status, 0 when no answer came */
  HrHint *hint;       /* of HR_C_HINT; else NULL: most commands are none */
} HrCommand;

typedef enum { HR_E_REPLY, HR_E_CALL, HR_E_HINT } HrEffectKind;
typedef struct {
  HrEffectKind kind;
  guint64 id;
  int status;
  int retry_after; /* s; 0: no header */
  char *body;
  gboolean plain; /* of a reply: its body is text, not JSON */
  HrTarget target;
  char *addr; /* of a worker */
  HrMethod method;
  char *path;
  double timeout_s;
  HrHint *hint; /* of HR_E_HINT; else NULL */
} HrEffect;

/* Adds a job's id to those named; FALSE when there is no room. */
gboolean hr_named_cancellations_add (HrNamedCancellations *n, const char *id);
/* The first id named, or the one after `id`; NULL after the last. */
const char *hr_named_cancellations_next (const HrNamedCancellations *n, const char *id);

/* As it stands in a request line. */
HrMethod hr_method_of (const char *name);
/* With an empty hint when it is to be one. */
HrCommand *hr_command_new (HrCommandKind kind);
void hr_command_free (HrCommand *c);
void hr_effect_free (HrEffect *e);
