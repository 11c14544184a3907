/* What users are told. One clock counts every question that leaves and every answer that
 * arrives, whoever asks and whichever controller answers: an answer to a question that left
 * after another answer had arrived must not be older than that one. */
#include "sim/pipeline.h"
#include "sim/world.h"
#include <string.h>

Question *
question_new (World *w, SJob *j)
{
  Question *q = g_new (Question, 1);
  *q = (Question){j, ++w->answers, w->now};
  return q;
}

gboolean
job_all_done (const SJob *j)
{
  for (guint i = 0; i < j->tasks; i++)
    if (!j->done[i])
      return FALSE;
  return TRUE;
}

static gboolean
heard_before (guint64 heard, const Question *q)
{
  return heard && heard < q->sent;
}

/* Of what only one can ever be true, no controller may tell both, in whatever order. */
static void
check_final (World *w, const SJob *j, gboolean done, gboolean cancelled)
{
  if ((done && j->heard_withdrawn) || (cancelled && j->heard_done))
    w_broken (w, "went_back", "%s is called %s, and was called %s", j->id,
              done ? "done" : "withdrawn", done ? "withdrawn" : "done");
}

void
answer_check (World *w, const Question *q, int status, json_t *body)
{
  SJob *j = q->job;
  const char *state = json_string_value (json_object_get (body, "stance"));
  const char *id = json_string_value (json_object_get (body, "name_id"));
  w->answers++;
  if (!state || g_strcmp0 (id, j->id) != 0) {
    w_broken (w, "status", "%s: an answer of %d about %s without a state of its own", j->id, status,
              id ? id : "no job");
    return;
  }
  if (!json_object_get (body, "reason"))
    w_broken (w, "reason", "%s: an answer without a reason", j->id);
  gboolean done = strcmp (state, "done") == 0, cancelled = strcmp (state, "withdrawn") == 0;
  if (done && (j->shape == HR_SERVICE || !job_all_done (j)))
    w_broken (w, "not_done", "%s is called done", j->id);
  if (cancelled && !pipeline_cancel_asked (j))
    w_broken (w, "went_back", "%s is called withdrawn, nobody asked for that", j->id);
  if ((heard_before (j->heard_done, q) && !done) ||
      (heard_before (j->heard_withdrawn, q) && !cancelled))
    w_broken (w, "went_back", "%s is called %s", j->id, state);
  check_final (w, j, done, cancelled);
  pipeline_told (w, j, state, q->sent_at);
  if (status == 201 && heard_before (j->heard_accepted, q))
    w_broken (w, "status", "%s is accepted as new a second time", j->id);
  gboolean first = !j->heard_accepted;
  gboolean news = first || (done && !j->heard_done) || (cancelled && !j->heard_withdrawn);
  if (first)
    j->heard_accepted = w->answers;
  if (done && !j->told_done) {
    j->heard_done = w->answers;
    j->told_done = w->now;
  }
  if (cancelled && !j->told_withdrawn) {
    j->heard_withdrawn = w->answers;
    j->told_withdrawn = w->now;
    judge_withdrawn (w, j);
  }
  j->ok_at = w->now;
  if (news)
    troubles_told (w, j, first && !done && !cancelled);
}

void
answer_unknown (World *w, const Question *q, const char *what, int status)
{
  SJob *j = q->job;
  w->answers++;
  if (heard_before (j->heard_accepted, q))
    w_broken (w, "forgotten", "%s: %s gets %d", j->id, what, status);
  else if (status != 404)
    w_broken (w, "status", "%s: %s gets %d", j->id, what, status);
}
