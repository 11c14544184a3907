/* The core's input (commands) and output (effects). Both are plain data: the core does no I/O, and
 * transport/ carries the effects out. Each value owns the data that its pointers refer to and is
 * freed with its function below. Times are in seconds. */
#pragma once
#include "coordination/membership/peer_status.h"
#include "protocol/http_method.h"
#include "protocol/jobspec.h"
#include <glib.h>

/* The receiver of a call. */
typedef enum { HR_TO_STORE, HR_TO_CLOUD, HR_TO_WORKER } HrTarget;

typedef enum {
  HR_COMMAND_REQUEST,     /* from a user or a worker */
  HR_COMMAND_RESULT,      /* the response to a call of the core, or its failure */
  HR_COMMAND_PEER_STATUS, /* from another controller */
  HR_COMMAND_TICK         /* time has passed */
} HrCommandKind;

/* An input of the core. `kind` selects the member of the union. */
typedef struct {
  HrCommandKind kind;
  guint64 id;   /* of the request, or of the call to which the result belongs */
  GBytes *body; /* of a request or a result; NULL: none */
  union {
    struct {
      HrMethod method;
      char *path;
      gboolean is_too_large; /* the body exceeded the limit and was discarded */
    } request;
    struct {
      int status; /* HTTP status; 0: no response; or HR_STATUS_ANSWER_TOO_LARGE */
    } result;
    HrPeerStatus *peer_status;
  };
} HrCommand;

typedef enum {
  HR_EFFECT_REPLY,      /* the reply to a request */
  HR_EFFECT_CALL,       /* a request by the core; its result arrives as a command */
  HR_EFFECT_PEER_STATUS /* this node's status, for every other controller */
} HrEffectKind;

/* An output of the core. `kind` selects the member of the union. */
typedef struct {
  HrEffectKind kind;
  guint64 id; /* of the request that is replied to, or of the call */
  char *body; /* of a reply or a call; NULL: none */
  union {
    struct {
      int status;             /* HTTP status */
      int retry_after_s;      /* Retry-After header; 0: none */
      gboolean is_plain_text; /* otherwise JSON */
    } reply;
    struct {
      HrTarget target;
      char *address; /* of a worker; otherwise NULL */
      HrMethod method;
      char *path;
      double timeout_s;
    } call;
    HrPeerStatus *peer_status;
  };
} HrEffect;

/**
 * hr_command_new:
 * @kind: the kind of command
 *
 * Returns: (transfer full): an empty command; %HR_COMMAND_PEER_STATUS includes a zeroed status
 */
HrCommand *hr_command_new (HrCommandKind kind);

/**
 * hr_command_free:
 * @command: (transfer full): the command to free, with the data that it owns
 */
void hr_command_free (HrCommand *command);

/**
 * hr_effect_free:
 * @effect: (transfer full): the effect to free, with the data that it owns
 */
void hr_effect_free (HrEffect *effect);
