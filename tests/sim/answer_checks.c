/* Checks of the answers that users get (answer_checks.h). The clock counts the requests of all
 * users and the answers of all controllers. */
#include "sim/answer_checks.h"
#include "sim/invariant_checks.h"
#include "sim/pipeline.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/cluster.h"
#include <string.h>

SimUserRequest *
sim_user_request_new (SimCluster *cluster, SimJob *job)
{
  SimUserRequest *request = g_new (SimUserRequest, 1);
  *request = (SimUserRequest){job, ++cluster->message_clock, cluster->now};
  return request;
}

gboolean
job_all_done (const SimJob *job)
{
  for (guint i = 0; i < job->tasks; i++)
    if (!job->done[i])
      return FALSE;
  return TRUE;
}

static gboolean
known_before (guint64 known_at, const SimUserRequest *request)
{
  return known_at && known_at < request->sent;
}

/* A job ends either done or cancelled: no controller may report both, in whatever order. */
static void
check_final (SimCluster *cluster, const SimJob *job, gboolean done, gboolean cancelled)
{
  if ((done && job->cancelled_reply_clock) || (cancelled && job->done_reply_clock))
    sim_report_violation (cluster, "went_back", "%s is reported %s, and was reported %s", job->id,
                          done ? "done" : "withdrawn", done ? "withdrawn" : "done");
}

void
check_user_response (SimCluster *cluster, const SimUserRequest *request, int status, json_t *body)
{
  SimJob *job = request->job;
  const char *state = json_string_value (json_object_get (body, "stance"));
  const char *id = json_string_value (json_object_get (body, "name_id"));
  cluster->message_clock++;
  if (!state || g_strcmp0 (id, job->id) != 0) {
    sim_report_violation (cluster, "status",
                          "%s: an answer of %d about %s without this job's state", job->id, status,
                          id ? id : "no job");
    return;
  }
  if (!json_object_get (body, "reason"))
    sim_report_violation (cluster, "reason", "%s: an answer without a reason", job->id);
  gboolean done = strcmp (state, "done") == 0, cancelled = strcmp (state, "withdrawn") == 0;
  if (done && (job->shape == HR_SERVICE || !job_all_done (job)))
    sim_report_violation (cluster, "not_done", "%s is reported done", job->id);
  if (cancelled && !pipeline_cancel_requested (job))
    sim_report_violation (cluster, "went_back",
                          "%s is reported withdrawn, though no user cancelled it", job->id);
  if ((known_before (job->done_reply_clock, request) && !done) ||
      (known_before (job->cancelled_reply_clock, request) && !cancelled))
    sim_report_violation (cluster, "went_back",
                          "%s is reported %s, which is older than a previous answer", job->id,
                          state);
  check_final (cluster, job, done, cancelled);
  pipeline_state_reported (cluster, job, state, request->sent_at);
  if (status == 201 && known_before (job->accepted_reply_clock, request))
    sim_report_violation (cluster, "status", "%s is accepted as new a second time", job->id);
  gboolean first = !job->accepted_reply_clock;
  gboolean news =
      first || (done && !job->done_reply_clock) || (cancelled && !job->cancelled_reply_clock);
  if (first)
    job->accepted_reply_clock = cluster->message_clock;
  if (done && !job->done_reply_at) {
    job->done_reply_clock = cluster->message_clock;
    job->done_reply_at = cluster->now;
  }
  if (cancelled && !job->cancelled_reply_at) {
    job->cancelled_reply_clock = cluster->message_clock;
    job->cancelled_reply_at = cluster->now;
    check_cancelled_job (cluster, job);
  }
  job->answered_at = cluster->now;
  if (news)
    faults_on_job_state_reported (cluster, job, first && !done && !cancelled);
}

void
check_user_error (SimCluster *cluster, const SimUserRequest *request, const char *request_kind,
                  int status)
{
  SimJob *job = request->job;
  cluster->message_clock++;
  if (known_before (job->accepted_reply_clock, request))
    sim_report_violation (cluster, "forgotten", "%s: %s gets %d", job->id, request_kind, status);
  else if (status != 404)
    sim_report_violation (cluster, "status", "%s: %s gets %d", job->id, request_kind, status);
}
