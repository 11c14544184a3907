/* Users where the state service allows few writes, is slow, or is away (script.h): what they are
 * told, and how soon. docs/meetings.md says which guard each test fails without. */
#include "script.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define SCARCE_WRITES 15.0

/* Work for every controller: launches and ends by the hundred wait for the leader's allowance. A
 * user's write does not wait behind them. */
static void
users_write_before_launches (void **state G_GNUC_UNUSED)
{
  Script *script = script_new (1);
  script_limit_writes (script, SCARCE_WRITES);
  script_run (script, 6);
  for (int i = 0; i < 90; i++) {
    g_autofree char *id = g_strdup_printf ("job-%d", i);
    script_submit (script, 0, id, 1);
    script_run (script, 0.1);
  }
  for (int i = 0; i < 8; i++) {
    g_autofree char *name = g_strdup_printf ("m-%06d", i);
    script_worker (script, name);
  }
  for (int round = 0; round < 2; round++)
    for (guint i = 0; i < script->workers->len; i++)
      script_report (script, script->workers->pdata[i], 0);
  guint before = script->carried_out;
  script_run (script, 0.2);
  guint64 id = script_submit (script, 0, "job-late", 1);
  script_run (script, 0.6);
  assert_int_equal (script_status (script, 0, id), 201);
  id = script_abort (script, 0, "job-89");
  script_run (script, 0.6);
  assert_string_equal (script_stance (script, 0, id), "withdrawn");
  assert_in_range (script->carried_out - before, 10, 60); /* the launches are still going out */
  script_free (script);
}

/* Twice as many as the service takes in a second, at once and at all nodes: those that it refuses
 * are tried again, out of step, and nobody is sent away. */
static void
a_burst_beyond_the_allowance_is_paced (void **state G_GNUC_UNUSED)
{
  Script *script = script_new (3);
  guint64 asked[30];
  script_limit_writes (script, SCARCE_WRITES);
  script_run (script, 6);
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++) {
    g_autofree char *id = g_strdup_printf ("job-%u", i);
    asked[i] = script_submit (script, i % 3, id, 1);
  }
  guint before = script->refused_writes;
  script_run (script, 2.5);
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++)
    assert_in_range (script_status (script, i % 3, asked[i]), 200, 201);
  print_message ("30 submissions at once: %u transactions refused\n",
                 script->refused_writes - before);
  assert_in_range (script->refused_writes - before, 1, 45);
  script_free (script);
}

/* ---- a stream ---- */

typedef struct {
  char *id;
  int node;
  double sent, accepted, ends, told, abort_sent, cancelled;
  gboolean to_cancel, fell_in_place;
  guint64 submission, abort, poll;
} StreamJob;

typedef struct {
  Script *s;
  GArray *jobs;
  double run_s;
  double worst_accept, worst_cancel, worst_told;
} Stream;

static void
stream_job_clear (gpointer data)
{
  g_free (((StreamJob *)data)->id);
}

static void
stream_users (Stream *stream)
{
  Script *script = stream->s;
  for (guint i = 0; i < stream->jobs->len; i++) {
    StreamJob *job = &g_array_index (stream->jobs, StreamJob, i);
    int status = script_status (script, job->node, job->submission);
    if (!job->accepted && status) {
      if (status != 201 && status != 200) { /* asked again, as users do */
        if (script->now - job->sent > 1) {
          job->submission = script_submit (script, job->node, job->id, 1);
          job->sent = script->now;
        }
        continue;
      }
      job->accepted = script->now;
      stream->worst_accept = MAX (stream->worst_accept, script->now - job->sent);
    }
    if (!job->accepted || job->cancelled || job->told)
      continue;
    if (job->to_cancel && !job->abort && script->now - job->accepted > i % 8) {
      job->abort = script_abort (script, (job->node + 1) % script->n, job->id);
      job->abort_sent = script->now;
    }
    const char *state =
        job->abort ? script_stance (script, (job->node + 1) % script->n, job->abort) : NULL;
    if (state) {
      job->cancelled = script->now;
      stream->worst_cancel = MAX (stream->worst_cancel, script->now - job->abort_sent);
    } else if (job->abort && script_status (script, (job->node + 1) % script->n, job->abort))
      job->abort = 0;
    if (!job->to_cancel && job->ends && script->now > job->ends) {
      state = job->poll ? script_stance (script, (job->node + 2) % script->n, job->poll) : NULL;
      if (g_strcmp0 (state, "done") == 0) {
        job->told = script->now;
        stream->worst_told = MAX (stream->worst_told, script->now - job->ends);
      } else
        job->poll = script_poll (script, (job->node + 2) % script->n, job->id);
    }
  }
}

static StreamJob *
stream_find (Stream *stream, const char *piece)
{
  for (guint i = 0; i < stream->jobs->len; i++) {
    StreamJob *job = &g_array_index (stream->jobs, StreamJob, i);
    if (g_str_has_prefix (piece, job->id) && piece[strlen (job->id)] == '/')
      return job;
  }
  return NULL;
}

static void
stream_work (Stream *stream, guint round)
{
  Script *script = stream->s;
  for (guint i = 0; i < script->workers->len; i++) {
    ScriptWorker *worker = script->workers->pdata[i];
    gboolean change = FALSE;
    for (guint k = 0; k < worker->tasks->len; k++) {
      json_t *task = worker->tasks->pdata[k];
      StreamJob *job = stream_find (stream, hr_json_str (task, "piece"));
      if (strcmp (hr_json_str (task, "stance"), "exited") == 0)
        continue;
      if (!job->ends)
        job->ends = script->now + stream->run_s;
      else if (script->now >= job->ends) {
        json_object_set_new (task, "stance", json_string ("exited"));
        json_object_set_new (task, "cause", json_string ("done"));
        change = TRUE;
      }
    }
    if (change || (round + i * 5) % 50 == 0)
      script_report (script, worker, script_leader (script));
  }
}

/* One-task jobs, four a second, a quarter of them cancelled, at 15 changes a second: all are
 * accepted, confirmed and told in time, and nothing piles up. */
static void
a_stream_of_small_jobs_fits_the_allowance (void **state G_GNUC_UNUSED)
{
  Script *script = script_new (3);
  Stream stream = {.s = script, .run_s = 6};
  script_limit_writes (script, SCARCE_WRITES);
  script_run (script, 6);
  stream.jobs = g_array_new (FALSE, TRUE, sizeof (StreamJob));
  g_array_set_clear_func (stream.jobs, stream_job_clear);
  for (int i = 0; i < 6; i++) {
    g_autofree char *name = g_strdup_printf ("m-%06d", i);
    script_worker (script, name);
  }
  for (guint round = 0; round < 90 * 20; round++) {
    if (round % 5 == 0 && round < 60 * 20) {
      guint n = stream.jobs->len;
      StreamJob job = {.id = g_strdup_printf ("job-%u", n), .node = n % 3, .to_cancel = n % 4 == 3};
      job.sent = script->now;
      job.submission = script_submit (script, job.node, job.id, 1);
      g_array_append_val (stream.jobs, job);
    }
    script_run (script, 0.05);
    stream_work (&stream, round);
    stream_users (&stream);
  }
  guint open = 0;
  for (guint i = 0; i < stream.jobs->len; i++) {
    StreamJob *job = &g_array_index (stream.jobs, StreamJob, i);
    open += !(job->cancelled || job->told);
  }
  print_message ("%u jobs: accepted within %.2f s, cancelled within %.2f s, told within %.2f s; "
                 "%u changes, %u transactions refused\n",
                 stream.jobs->len, stream.worst_accept, stream.worst_cancel, stream.worst_told,
                 script->carried_out, script->refused_writes);
  assert_int_equal (open, 0);
  assert_true (stream.worst_accept < 2);
  assert_true (stream.worst_cancel < 2.5);
  assert_true (stream.worst_told < 3);
  g_array_unref (stream.jobs);
  script_free (script);
}

/* ---- slow, refused, away ---- */

/* Whatever a node says of the job, it is not older than that it is cancelled. */
static void
nobody_says_otherwise (Script *script, const char *id)
{
  for (int node = 0; node < script->n; node++) {
    guint64 poll = script_poll (script, node, id), again = script_submit (script, node, id, 1);
    for (int i = 0;
         i < 50 && !(script_reply (script, node, poll) && script_reply (script, node, again)); i++)
      script_run (script, 0.05);
    const char *told[] = {script_stance (script, node, poll), script_stance (script, node, again)};
    for (int i = 0; i < 2; i++)
      if (told[i])
        assert_string_equal (told[i], "withdrawn");
    assert_int_not_equal (script_status (script, node, poll), 404);
    assert_int_not_equal (script_status (script, node, again), 201);
  }
}

static void
a_slow_service_then_a_refused_leader_then_an_outage (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (3);
  int leader = script_leader (script), next = (leader + 1) % 3, third = (leader + 2) % 3;
  ScriptWorker *worker = script_worker (script, "m-000001");
  script_report (script, worker, leader);
  script_report (script, worker, leader);
  script_place (script, worker, next, "job-a");
  script_place (script, worker, next, "job-b");
  script->slow = 0.8;
  guint64 id = script_submit (script, next, "job-e", 1);
  script_run (script, 2.5); /* a first try given up too early, one more, and a look at the record */
  assert_in_range (script_status (script, next, id), 200, 201);
  id = script_submit (script, third, "job-c", 1);
  script_run (script, 1); /* by now it is known to be slow */
  assert_int_equal (script_status (script, third, id), 201);
  guint64 polls[3];
  for (int i = 0; i < 3; i++)
    polls[i] = script_poll (script, i, "job-c");
  script_run (script, 1.95); /* users wait two seconds */
  for (int i = 0; i < 3; i++)
    assert_non_null (script_stance (script, i, polls[i]));
  guint64 abort = script_abort (script, third, "job-a");
  script_run (script, 3);
  assert_string_equal (script_stance (script, third, abort), "withdrawn");
  nobody_says_otherwise (script, "job-a");
  script->slow = 0;
  script_run (script, 2);
  /* The leader alone is refused, and others confirm. */
  script->nodes[leader].served = FALSE;
  script_run (script, 0.2);
  abort = script_abort (script, next, "job-b");
  script_run (script, 0.3);
  assert_string_equal (script_stance (script, next, abort), "withdrawn");
  nobody_says_otherwise (script, "job-b");
  script_run (script, 0.7);
  /* A second later it is out for all, for longer than cancel_s. */
  script->outage = TRUE;
  double until = script->now + 42;
  while (script->now < until) {
    nobody_says_otherwise (script, "job-a");
    nobody_says_otherwise (script, "job-b");
    script_run (script, 1);
  }
  id = script_submit (script, next, "job-d", 1);
  abort = script_abort (script, next, "job-c");
  script_run (script, 0.3);
  assert_int_equal (script_status (script, next, id), 503);
  assert_int_equal (script_reply (script, next, id)->retry_after, 2);
  assert_int_equal (script_status (script, next, abort), 503);
  assert_string_equal (script_asked (script, next, "job-b"),
                       "withdrawn"); /* final: it may be told */
  script->outage = FALSE;
  script->nodes[leader].served = TRUE;
  script_run (script, 10);
  for (int i = 0; i < 3; i++) {
    assert_string_equal (script_asked (script, i, "job-a"), "withdrawn");
    assert_string_equal (script_asked (script, i, "job-b"), "withdrawn");
    assert_non_null (script_asked (script, i, "job-c"));
  }
  assert_null (script_value (script, "h/j/job-d"));
  script_free (script);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (users_write_before_launches),
      cmocka_unit_test (a_burst_beyond_the_allowance_is_paced),
      cmocka_unit_test (a_stream_of_small_jobs_fits_the_allowance),
      cmocka_unit_test (a_slow_service_then_a_refused_leader_then_an_outage),
  };
  g_log_set_writer_func (script_log, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
