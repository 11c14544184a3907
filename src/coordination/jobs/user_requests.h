/* A user's request on its way to an answer, shared by user_requests.c and submissions.c. */
#pragma once
#include "coordination/state.h"

typedef enum { HR_REQUEST_POLL, HR_REQUEST_SUBMIT, HR_REQUEST_CANCEL } HrRequestKind;
typedef struct {
  guint64 reply_id; /* of the command that it came with */
  HrRequestKind kind;
  char *id;
  HrJobSpec spec;
  GStrv awaits;   /* ids, or NULL */
  guint per_page; /* tasks per page of its record; 0: they stand in the main record */
  double asked;
  guint attempts;
  char *tag;     /* of the write under way */
  gsize bytes;   /* of a cancellation's record */
  int refusal;   /* of a submission that can't be accepted: the status, if it is new */
  char *why_not; /* and why */
} HrUserRequest;

void hr_request_free (HrUserRequest *request);
/* The answers below take the request. */
void hr_request_refuse_later (HrCore *core, HrUserRequest *request, int status, const char *why);
void hr_request_answer (HrCore *core, HrUserRequest *request, HrJob *job, int status);
/* Final states never change, so they need no reading; but what a member said is not told to users
 * before its record is read. FALSE: not answered. */
gboolean hr_request_answer_final (HrCore *core, HrUserRequest *request);
/* For hr_replica_read: answers from what was read, or goes on with what is left to do. */
void hr_request_on_read (HrStore *store, gboolean ok, gpointer request);
/* How long its next write waits for an answer, in seconds. */
double hr_request_timeout (const HrCore *core, const HrUserRequest *request);
/* Was the write not carried out, or is that unknown, and is there time for another? The same write
 * may be sent again at any time, for it holds on the record's revision: whichever copy is carried
 * out second fails. */
gboolean hr_request_may_try_again (HrCore *core, HrUserRequest *request, int status);

void hr_user_request_received (HrCore *core, HrCommand *command);
