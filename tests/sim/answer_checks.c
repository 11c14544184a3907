/* What users are told. One clock counts every question that leaves and every answer that
 * arrives, whoever asks and whichever controller answers: an answer to a question that left
 * after another answer had arrived must not be older than that one. */
#include "sim/answer_checks.h"
#include "sim/invariant_checks.h"
#include "sim/pipeline.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/world.h"
#include <string.h>

Question *
question_new (World *world, SimJob *job)
{
  Question *question = g_new (Question, 1);
  *question = (Question){job, ++world->answers, world->now};
  return question;
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
heard_before (guint64 heard, const Question *question)
{
  return heard && heard < question->sent;
}

/* Of what only one can ever be true, no controller may tell both, in whatever order. */
static void
check_final (World *world, const SimJob *job, gboolean done, gboolean cancelled)
{
  if ((done && job->heard_cancelled) || (cancelled && job->heard_done))
    w_broken (world, "went_back", "%s is called %s, and was called %s", job->id,
              done ? "done" : "withdrawn", done ? "withdrawn" : "done");
}

void
answer_check (World *world, const Question *question, int status, json_t *body)
{
  SimJob *job = question->job;
  const char *state = json_string_value (json_object_get (body, "stance"));
  const char *id = json_string_value (json_object_get (body, "name_id"));
  world->answers++;
  if (!state || g_strcmp0 (id, job->id) != 0) {
    w_broken (world, "status", "%s: an answer of %d about %s without a state of its own", job->id,
              status, id ? id : "no job");
    return;
  }
  if (!json_object_get (body, "reason"))
    w_broken (world, "reason", "%s: an answer without a reason", job->id);
  gboolean done = strcmp (state, "done") == 0, cancelled = strcmp (state, "withdrawn") == 0;
  if (done && (job->shape == HR_SERVICE || !job_all_done (job)))
    w_broken (world, "not_done", "%s is called done", job->id);
  if (cancelled && !pipeline_cancel_asked (job))
    w_broken (world, "went_back", "%s is called withdrawn, nobody asked for that", job->id);
  if ((heard_before (job->heard_done, question) && !done) ||
      (heard_before (job->heard_cancelled, question) && !cancelled))
    w_broken (world, "went_back", "%s is called %s", job->id, state);
  check_final (world, job, done, cancelled);
  pipeline_state_reported (world, job, state, question->sent_at);
  if (status == 201 && heard_before (job->heard_accepted, question))
    w_broken (world, "status", "%s is accepted as new a second time", job->id);
  gboolean first = !job->heard_accepted;
  gboolean news = first || (done && !job->heard_done) || (cancelled && !job->heard_cancelled);
  if (first)
    job->heard_accepted = world->answers;
  if (done && !job->told_done) {
    job->heard_done = world->answers;
    job->told_done = world->now;
  }
  if (cancelled && !job->told_cancelled) {
    job->heard_cancelled = world->answers;
    job->told_cancelled = world->now;
    check_cancelled_job (world, job);
  }
  job->ok_at = world->now;
  if (news)
    faults_on_job_state_reported (world, job, first && !done && !cancelled);
}

void
answer_unknown (World *world, const Question *question, const char *what, int status)
{
  SimJob *job = question->job;
  world->answers++;
  if (heard_before (job->heard_accepted, question))
    w_broken (world, "forgotten", "%s: %s gets %d", job->id, what, status);
  else if (status != 404)
    w_broken (world, "status", "%s: %s gets %d", job->id, what, status);
}
