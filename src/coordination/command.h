/* What goes into the single owner of all state and what comes out: no I/O in between. */
#pragma once
#include "protocol/http_method.h"
#include "protocol/jobspec.h"
#include <glib.h>

typedef enum { HR_TO_STORE, HR_TO_CLOUD, HR_TO_WORKER } HrTarget;

#define HR_MAX_ECHOES 16
/* Room for the job ids that one status names. With it the largest status still fits a frame. */
#define HR_NAMED_CANCELLATIONS_BYTES 960

/* The clock of a member, as its last status told it: for that member alone to read. */
typedef struct {
  char label[64], incarnation[40];
  double clock;
  guint64 cancellations_taken; /* position up to which the teller, who leads, has taken in that
                                  member's log */
} HrEcho;

/* A part of a member's log of cancellations, in which it notes each one that it confirms or reads,
 * in that order. Positions count from 0 in each process. What was dropped from the log's
 * beginning has revisions up to `dropped`. */
typedef struct {
  gboolean is_stated; /* FALSE: the status of a version that has no such log */
  guint64 dropped_revision, log_begin, first_position, log_end;
  guint count;                            /* of the ids named, from position `first` on */
  guint bytes;                            /* used of `ids` */
  char ids[HR_NAMED_CANCELLATIONS_BYTES]; /* one after the other, each with its terminating NUL */
} HrNamedCancellations;

/* What members tell one another about once a second. Statuses, on which no rule rests, but
 * for one statement: by the time it was made, its sender and the processes before it had
 * confirmed no cancellation after `cancelled`, and of those after `named.dropped` none that is
 * not in its log. It is at least as new as the echoed clocks. */
typedef struct {
  char label[64], incarnation[40];
  guint64 fencing_token, leader_record_revision;
  gboolean store_served, is_leader;
  guint32 worker_contacts;
  double clock;
  gboolean synced; /* has read the whole state store once; without that, `cancelled` says nothing */
  guint64 latest_cancellation;
  guint64 applied_revision; /* revision up to which the sender has read the state store */
  HrNamedCancellations cancellations;
  HrEcho echoes[HR_MAX_ECHOES];
  guint n_echoes;
  guint32 format; /* of records, that the sender reads and writes; 0: it says nothing */
  /* Jobs that it could not cancel, since their records are too large to be written. */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MOST + 1];
  guint n_oversized;
} HrPeerStatus;

typedef enum {
  HR_COMMAND_REQUEST,
  HR_COMMAND_RESULT,
  HR_COMMAND_PEER_STATUS,
  HR_COMMAND_TICK
} HrCommandKind;
/* What comes into the core. `kind` says which part holds. */
typedef struct {
  HrCommandKind kind;
  guint64 id;   /* of the request, or of the call that this is the result of */
  GBytes *body; /* of a request or result; NULL: none */
  union {
    struct {
      HrMethod method;
      char *path;
      gboolean is_too_large; /* the body passed the limit and was not kept */
    } request;
    struct {
      int status; /* HTTP status; 0: no answer came */
    } result;
    HrPeerStatus *peer_status;
  };
} HrCommand;

typedef enum { HR_EFFECT_REPLY, HR_EFFECT_CALL, HR_EFFECT_PEER_STATUS } HrEffectKind;
/* What goes out of the core. `kind` says which part holds. */
typedef struct {
  HrEffectKind kind;
  guint64 id; /* of the request replied to, or of the call */
  char *body; /* of a reply or call; NULL: none */
  union {
    struct {
      int status;
      int retry_after_s;      /* 0: no header */
      gboolean is_plain_text; /* else JSON */
    } reply;
    struct {
      HrTarget target;
      char *address; /* of a worker; else NULL */
      HrMethod method;
      char *path;
      double timeout_s;
    } call;
    HrPeerStatus *peer_status;
  };
} HrEffect;

/* Adds a job's id to those named; FALSE when there is no room. */
gboolean hr_named_cancellations_add (HrNamedCancellations *named, const char *id);
/* The first id named, or the one after `id`; NULL after the last. */
const char *hr_named_cancellations_next (const HrNamedCancellations *named, const char *id);

/* With an empty status when it is to be one. */
HrCommand *hr_command_new (HrCommandKind kind);
void hr_command_free (HrCommand *command);
void hr_effect_free (HrEffect *effect);
