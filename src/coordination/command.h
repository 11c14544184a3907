/* What goes into the core (commands) and what comes out of it (effects). Plain data: the core does
 * no I/O, transport/ carries the effects out. Each value owns what its pointers point to and is
 * freed with the function below. Times are in seconds. */
#pragma once
#include "coordination/membership/peer_status.h"
#include "protocol/http_method.h"
#include "protocol/jobspec.h"
#include <glib.h>

/* Whom a call goes to. */
typedef enum { HR_TO_STORE, HR_TO_CLOUD, HR_TO_WORKER } HrTarget;

typedef enum {
  HR_COMMAND_REQUEST,     /* of a user or a worker */
  HR_COMMAND_RESULT,      /* the answer to a call of ours, or that there is none */
  HR_COMMAND_PEER_STATUS, /* of another controller */
  HR_COMMAND_TICK         /* time has passed */
} HrCommandKind;

/* What comes into the core. `kind` says which member of the union holds. */
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

typedef enum {
  HR_EFFECT_REPLY,      /* the answer to a request */
  HR_EFFECT_CALL,       /* a request of ours; its result comes as a command */
  HR_EFFECT_PEER_STATUS /* our status, for every other controller */
} HrEffectKind;

/* What goes out of the core. `kind` says which member of the union holds. */
typedef struct {
  HrEffectKind kind;
  guint64 id; /* of the request replied to, or of the call */
  char *body; /* of a reply or call; NULL: none */
  union {
    struct {
      int status;             /* HTTP status */
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

/**
 * hr_command_new:
 * @kind: the kind of command
 *
 * Returns: (transfer full): an empty command; one of %HR_COMMAND_PEER_STATUS has an empty status
 */
HrCommand *hr_command_new (HrCommandKind kind);

/**
 * hr_command_free:
 * @command: (transfer full): the command to free, with what it holds
 */
void hr_command_free (HrCommand *command);

/**
 * hr_effect_free:
 * @effect: (transfer full): the effect to free, with what it holds
 */
void hr_effect_free (HrEffect *effect);
