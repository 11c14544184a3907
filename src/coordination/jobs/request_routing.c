/* Routing of users' requests, and the readiness check. */
#include "coordination/jobs/request_routing.h"
#include "bookkeeping/replica.h"
#include "coordination/effects.h"
#include "coordination/jobs/submissions.h"
#include "coordination/jobs/user_requests.h"
#include "coordination/membership/membership.h"
#include "protocol/messages.h"
#include <string.h>

/* Retry-After of a reply that this node is not ready, in seconds. */
#define READINESS_RETRY_AFTER_S 1

typedef enum { ROUTE_READINESS, ROUTE_SUBMIT, ROUTE_POLL, ROUTE_CANCEL, ROUTE_REFUSE } RouteKind;

/* The handler of a request, determined by its method, path and body size alone. */
typedef struct {
  RouteKind kind;
  char *job_id;       /* for ROUTE_POLL and ROUTE_CANCEL; owned */
  int status;         /* HTTP status, for ROUTE_REFUSE */
  const char *reason; /* for ROUTE_REFUSE */
} Route;

static void
route_clear (Route *route)
{
  g_clear_pointer (&route->job_id, g_free);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Route, route_clear)

static Route
refuse (int status, const char *reason)
{
  return (Route){.kind = ROUTE_REFUSE, .status = status, .reason = reason};
}

static Route
route_submission (HrMethod method, gboolean body_is_too_large)
{
  if (method != HR_POST)
    return refuse (405, "use POST");
  if (body_is_too_large)
    return refuse (400, "the body is larger than 64 KiB");
  return (Route){.kind = ROUTE_SUBMIT};
}

/* Routes a request for one job. `rest` is the part of the path behind "/v1/jobs/". */
static Route
route_job (HrMethod method, const char *rest)
{
  g_autofree char *id = g_strdup (rest);
  gboolean is_cancel = hr_cancel_path_strip (id);
  if (strchr (id, '/'))
    return refuse (404, "no such path");
  if (method != (is_cancel ? HR_POST : HR_GET))
    return refuse (405, is_cancel ? "use POST" : "use GET");
  if (!hr_job_id_valid (id))
    return refuse (404, HR_REASON_UNKNOWN_JOB);
  return (Route){.kind = is_cancel ? ROUTE_CANCEL : ROUTE_POLL, .job_id = g_steal_pointer (&id)};
}

static Route
route (HrMethod method, const char *path, gboolean body_is_too_large)
{
  if (strcmp (path, HR_READY_PATH) == 0)
    return method == HR_GET ? (Route){.kind = ROUTE_READINESS} : refuse (405, "use GET");
  if (strcmp (path, HR_JOBS_PATH) == 0)
    return route_submission (method, body_is_too_large);
  if (g_str_has_prefix (path, HR_JOBS_PATH "/"))
    return route_job (method, path + strlen (HR_JOBS_PATH "/"));
  return refuse (404, "no such path");
}

/* Returns why this node cannot answer users, or NULL if it can. While the state store answers no
 * controller at all, this node counts as ready: no other one could answer better. */
static const char *
unready_reason (HrCore *core)
{
  if (!core->scaling.machine_types || !core->store.replica.synced_once)
    return "still reading the ledger and the machine types";
  if (!hr_replica_is_current (&core->store) && !hr_membership_store_outage_for_all (core))
    return "the state service does not answer this node";
  return NULL;
}

static void
reply_readiness (HrCore *core, guint64 reply_id)
{
  const char *reason = unready_reason (core);
  if (reason)
    hr_core_refuse (core, reply_id, 503, READINESS_RETRY_AFTER_S, reason);
  else
    hr_core_reply (core, reply_id, 200, json_pack ("{sb}", "ready", 1), 0);
}

static void
start_job_request (HrCore *core, guint64 reply_id, HrRequestKind kind, const char *job_id)
{
  HrUserRequest *request = hr_user_request_new (reply_id, kind, job_id, core->wall_time);
  HrVerdict verdict = hr_user_request_has_final_answer (core, request)
                          ? hr_verdict_answer (200)
                          : hr_verdict (HR_VERDICT_READ);
  hr_user_request_apply_verdict (core, request, &verdict);
}

void
hr_user_request_received (HrCore *core, HrCommand *command)
{
  g_auto (Route) target =
      route (command->request.method, command->request.path, command->request.is_too_large);
  switch (target.kind) {
  case ROUTE_READINESS:
    reply_readiness (core, command->id);
    break;
  case ROUTE_SUBMIT:
    hr_submission_received (core, command);
    break;
  case ROUTE_POLL:
    start_job_request (core, command->id, HR_REQUEST_POLL, target.job_id);
    break;
  case ROUTE_CANCEL:
    start_job_request (core, command->id, HR_REQUEST_CANCEL, target.job_id);
    break;
  case ROUTE_REFUSE:
    if (command->request.is_too_large)
      hr_refusal_record (core, HR_REFUSAL_SIZE, NULL, target.reason);
    hr_core_refuse (core, command->id, target.status, 0, target.reason);
    break;
  }
}
