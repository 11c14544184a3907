/* The answers that users get, and after what time, while the state store allows few writes, is slow
 * or is unavailable (scripted_cluster.h). docs/meetings.md names the check in the controller
 * without which each test fails. */
#include "scripted_cluster.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define SCARCE_WRITE_RPS 15.0

/* Writes of launches and task ends by the hundred wait for the leader's allowance. A user's write
 * does not wait behind them. */
static void
user_writes_precede_launches (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new (1);
  cluster_limit_writes (cluster, SCARCE_WRITE_RPS);
  cluster_run (cluster, 6);
  for (int i = 0; i < 90; i++) {
    g_autofree char *id = g_strdup_printf ("job-%d", i);
    cluster_submit (cluster, 0, id, 1);
    cluster_run (cluster, 0.1);
  }
  for (int i = 0; i < 8; i++) {
    g_autofree char *name = g_strdup_printf ("m-%06d", i);
    cluster_worker (cluster, name);
  }
  for (int round = 0; round < 2; round++)
    for (guint i = 0; i < cluster->workers->len; i++)
      cluster_send_heartbeat (cluster, cluster->workers->pdata[i], 0);
  guint before = cluster->committed_transactions;
  cluster_run (cluster, 0.2);
  guint64 id = cluster_submit (cluster, 0, "job-late", 1);
  cluster_run (cluster, 0.6);
  assert_int_equal (cluster_reply_status (cluster, 0, id), 201);
  id = cluster_cancel (cluster, 0, "job-89");
  cluster_run (cluster, 0.6);
  assert_string_equal (cluster_job_state (cluster, 0, id), "withdrawn");
  assert_in_range (cluster->committed_transactions - before, 10,
                   60); /* the launches are still going out */
  cluster_free (cluster);
}

/* Twice as many submissions as the state store takes in a second arrive at once, spread over all
 * nodes. Refused writes are retried at staggered times, and no user's request is refused. */
static void
a_burst_beyond_the_allowance_is_retried (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new (3);
  guint64 requests[30];
  cluster_limit_writes (cluster, SCARCE_WRITE_RPS);
  cluster_run (cluster, 6);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++) {
    g_autofree char *id = g_strdup_printf ("job-%u", i);
    requests[i] = cluster_submit (cluster, i % 3, id, 1);
  }
  guint before = cluster->refused_writes;
  cluster_run (cluster, 2.5);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    assert_in_range (cluster_reply_status (cluster, i % 3, requests[i]), 200, 201);
  print_message ("30 submissions at once: %u transactions refused\n",
                 cluster->refused_writes - before);
  assert_in_range (cluster->refused_writes - before, 1, 45);
  cluster_free (cluster);
}

#define USER_WAIT_S 5.0 /* users wait that long for an answer, and then submit again */

/* Ten seconds' worth of submissions arrive at once at one controller. Those that the state store
 * cannot take while their users wait are refused in the step of their arrival, with the time of the
 * next try, and use up none of the write allowance; all others are accepted in time. */
static void
submissions_beyond_the_allowance_are_refused_at_once (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new (1);
  guint64 requests[150];
  guint n_accepted = 0;
  cluster_limit_writes (cluster, SCARCE_WRITE_RPS);
  cluster_run (cluster, 6);
  double sent_at = cluster->now;
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++) {
    g_autofree char *id = g_strdup_printf ("job-%u", i);
    requests[i] = cluster_submit (cluster, 0, id, 1);
  }
  cluster_run (cluster, USER_WAIT_S);
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++) {
    const ClusterReply *reply = cluster_reply (cluster, 0, requests[i]);
    if (!reply)
      fail_msg ("submission %u got no answer within %.0f s", i, USER_WAIT_S);
    n_accepted += reply->status == 201;
    if (reply->status == 201)
      continue;
    assert_int_equal (reply->status, 429);
    assert_true (reply->at - sent_at < 0.1);
    assert_in_range (reply->retry_after, 1, 30);
  }
  assert_in_range (n_accepted, 2 * SCARCE_WRITE_RPS, USER_WAIT_S * SCARCE_WRITE_RPS);
  /* Cancellations and questions are not refused meanwhile. */
  guint64 cancellation = cluster_cancel (cluster, 0, "job-0");
  cluster_run (cluster, 1);
  assert_string_equal (cluster_job_state (cluster, 0, cancellation), "withdrawn");
  cluster_free (cluster);
}

/* ---- a stream of jobs ---- */

typedef struct {
  char *id;
  int node;
  /* Times in seconds; 0: not yet. done_at: a user got the state "done". */
  double sent_at, accepted_at, ends_at, done_at, cancel_sent_at, cancelled_at;
  gboolean to_cancel;
  guint64 submission, cancel_request, poll; /* ids of the latest requests; 0: none */
} StreamJob;

typedef struct {
  Cluster *cluster;
  GArray *jobs;
  double run_s; /* how long each task runs */
  double worst_accept, worst_cancel, worst_done;
} Stream;

static void
stream_job_clear (gpointer data)
{
  g_free (((StreamJob *)data)->id);
}

/* Simulates the users: submits refused jobs again, cancels some jobs and polls the others. */
static void
stream_step_users (Stream *stream)
{
  Cluster *cluster = stream->cluster;
  for (guint i = 0; i < stream->jobs->len; i++) {
    StreamJob *job = &g_array_index (stream->jobs, StreamJob, i);
    int status = cluster_reply_status (cluster, job->node, job->submission);
    if (!job->accepted_at && status) {
      if (status != 201 && status != 200) { /* refused: users try again */
        if (cluster->now - job->sent_at > 1) {
          job->submission = cluster_submit (cluster, job->node, job->id, 1);
          job->sent_at = cluster->now;
        }
        continue;
      }
      job->accepted_at = cluster->now;
      stream->worst_accept = MAX (stream->worst_accept, cluster->now - job->sent_at);
    }
    if (!job->accepted_at || job->cancelled_at || job->done_at)
      continue;
    if (job->to_cancel && !job->cancel_request && cluster->now - job->accepted_at > i % 8) {
      job->cancel_request = cluster_cancel (cluster, (job->node + 1) % cluster->n, job->id);
      job->cancel_sent_at = cluster->now;
    }
    const char *job_state =
        job->cancel_request
            ? cluster_job_state (cluster, (job->node + 1) % cluster->n, job->cancel_request)
            : NULL;
    if (job_state) {
      job->cancelled_at = cluster->now;
      stream->worst_cancel = MAX (stream->worst_cancel, cluster->now - job->cancel_sent_at);
    } else if (job->cancel_request &&
               cluster_reply_status (cluster, (job->node + 1) % cluster->n, job->cancel_request))
      job->cancel_request = 0;
    if (!job->to_cancel && job->ends_at && cluster->now > job->ends_at) {
      job_state =
          job->poll ? cluster_job_state (cluster, (job->node + 2) % cluster->n, job->poll) : NULL;
      if (g_strcmp0 (job_state, "done") == 0) {
        job->done_at = cluster->now;
        stream->worst_done = MAX (stream->worst_done, cluster->now - job->ends_at);
      } else
        job->poll = cluster_poll (cluster, (job->node + 2) % cluster->n, job->id);
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

/* Ends tasks after run_s and sends the workers' heartbeats. */
static void
stream_step_workers (Stream *stream, guint round)
{
  Cluster *cluster = stream->cluster;
  for (guint i = 0; i < cluster->workers->len; i++) {
    ClusterWorker *worker = cluster->workers->pdata[i];
    gboolean change = FALSE;
    for (guint k = 0; k < worker->tasks->len; k++) {
      json_t *task = worker->tasks->pdata[k];
      StreamJob *job = stream_find (stream, hr_json_str (task, "piece"));
      if (strcmp (hr_json_str (task, "stance"), "exited") == 0)
        continue;
      if (!job->ends_at)
        job->ends_at = cluster->now + stream->run_s;
      else if (cluster->now >= job->ends_at) {
        json_object_set_new (task, "stance", json_string ("exited"));
        json_object_set_new (task, "cause", json_string ("done"));
        change = TRUE;
      }
    }
    if (change || (round + i * 5) % 50 == 0)
      cluster_send_heartbeat (cluster, worker, cluster_leader (cluster));
  }
}

/* Four one-task jobs a second, a quarter of which are cancelled, at 15 changes a second: users get
 * each acceptance, cancellation and end in time, and no backlog builds up. */
static void
a_stream_of_small_jobs_fits_the_allowance (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new (3);
  Stream stream = {.cluster = cluster, .run_s = 6};
  cluster_limit_writes (cluster, SCARCE_WRITE_RPS);
  cluster_run (cluster, 6);
  stream.jobs = g_array_new (FALSE, TRUE, sizeof (StreamJob));
  g_array_set_clear_func (stream.jobs, stream_job_clear);
  for (int i = 0; i < 6; i++) {
    g_autofree char *name = g_strdup_printf ("m-%06d", i);
    cluster_worker (cluster, name);
  }
  for (guint round = 0; round < 90 * 20; round++) {
    if (round % 5 == 0 && round < 60 * 20) {
      guint n = stream.jobs->len;
      StreamJob job = {.id = g_strdup_printf ("job-%u", n), .node = n % 3, .to_cancel = n % 4 == 3};
      job.sent_at = cluster->now;
      job.submission = cluster_submit (cluster, job.node, job.id, 1);
      g_array_append_val (stream.jobs, job);
    }
    cluster_run (cluster, 0.05);
    stream_step_workers (&stream, round);
    stream_step_users (&stream);
  }
  guint open = 0;
  for (guint i = 0; i < stream.jobs->len; i++) {
    StreamJob *job = &g_array_index (stream.jobs, StreamJob, i);
    open += !(job->cancelled_at || job->done_at);
  }
  print_message ("%u jobs: accepted within %.2f s, cancelled within %.2f s, done within %.2f s; "
                 "%u changes, %u transactions refused\n",
                 stream.jobs->len, stream.worst_accept, stream.worst_cancel, stream.worst_done,
                 cluster->committed_transactions, cluster->refused_writes);
  assert_int_equal (open, 0);
  assert_true (stream.worst_accept < 2);
  assert_true (stream.worst_cancel < 2.5);
  assert_true (stream.worst_done < 3);
  g_array_unref (stream.jobs);
  cluster_free (cluster);
}

/* ---- a slow store, a refused leader, an outage ---- */

/* Checks that no node answers with a state of the job from before its cancellation. */
static void
assert_no_older_state (Cluster *cluster, const char *id)
{
  for (int node = 0; node < cluster->n; node++) {
    guint64 poll = cluster_poll (cluster, node, id), again = cluster_submit (cluster, node, id, 1);
    for (int i = 0;
         i < 50 && !(cluster_reply (cluster, node, poll) && cluster_reply (cluster, node, again));
         i++)
      cluster_run (cluster, 0.05);
    const char *states[] = {cluster_job_state (cluster, node, poll),
                            cluster_job_state (cluster, node, again)};
    for (int i = 0; i < 2; i++)
      if (states[i])
        assert_string_equal (states[i], "withdrawn");
    assert_int_not_equal (cluster_reply_status (cluster, node, poll), 404);
    assert_int_not_equal (cluster_reply_status (cluster, node, again), 201);
  }
}

static void
check_slow_service (Cluster *cluster, int next, int third)
{
  cluster->store_delay_s = 0.8;
  guint64 id = cluster_submit (cluster, next, "job-e", 1);
  /* Time for a first attempt that times out too early, a second one and a read of the record. */
  cluster_run (cluster, 2.5);
  assert_in_range (cluster_reply_status (cluster, next, id), 200, 201);
  id = cluster_submit (cluster, third, "job-c", 1);
  cluster_run (cluster, 1); /* by now the node knows that the store is slow */
  assert_int_equal (cluster_reply_status (cluster, third, id), 201);
  guint64 polls[3];
  for (int i = 0; i < 3; i++)
    polls[i] = cluster_poll (cluster, i, "job-c");
  cluster_run (cluster, 1.95); /* requests wait at most two seconds */
  for (int i = 0; i < 3; i++)
    assert_non_null (cluster_job_state (cluster, i, polls[i]));
  guint64 cancel_request = cluster_cancel (cluster, third, "job-a");
  cluster_run (cluster, 3);
  assert_string_equal (cluster_job_state (cluster, third, cancel_request), "withdrawn");
  assert_no_older_state (cluster, "job-a");
  cluster->store_delay_s = 0;
  cluster_run (cluster, 2);
}

static void
check_refused_leader (Cluster *cluster, int leader, int next)
{
  /* The state store refuses the leader alone, and another node confirms a cancellation. */
  cluster->nodes[leader].store_available = FALSE;
  cluster_run (cluster, 0.2);
  guint64 cancel_request = cluster_cancel (cluster, next, "job-b");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, next, cancel_request), "withdrawn");
  assert_no_older_state (cluster, "job-b");
  cluster_run (cluster, 0.7);
}

static void
check_outage (Cluster *cluster, int next)
{
  /* A second later the state store is unavailable to all nodes, for longer than cancel_s. */
  cluster->store_outage = TRUE;
  double until = cluster->now + 42;
  while (cluster->now < until) {
    assert_no_older_state (cluster, "job-a");
    assert_no_older_state (cluster, "job-b");
    cluster_run (cluster, 1);
  }
  guint64 id = cluster_submit (cluster, next, "job-d", 1);
  guint64 cancel_request = cluster_cancel (cluster, next, "job-c");
  cluster_run (cluster, 0.3);
  assert_int_equal (cluster_reply_status (cluster, next, id), 503);
  assert_int_equal (cluster_reply (cluster, next, id)->retry_after, 2);
  assert_int_equal (cluster_reply_status (cluster, next, cancel_request), 503);
  /* A final state may be answered during the outage. */
  assert_string_equal (cluster_poll_state (cluster, next, "job-b"), "withdrawn");
}

static void
a_slow_service_then_a_refused_leader_then_an_outage (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (3);
  int leader = cluster_leader (cluster), next = (leader + 1) % 3, third = (leader + 2) % 3;
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, next, "job-a");
  cluster_submit_and_start (cluster, worker, next, "job-b");
  check_slow_service (cluster, next, third);
  check_refused_leader (cluster, leader, next);
  check_outage (cluster, next);
  cluster->store_outage = FALSE;
  cluster->nodes[leader].store_available = TRUE;
  cluster_run (cluster, 10);
  for (int i = 0; i < 3; i++) {
    assert_string_equal (cluster_poll_state (cluster, i, "job-a"), "withdrawn");
    assert_string_equal (cluster_poll_state (cluster, i, "job-b"), "withdrawn");
    assert_non_null (cluster_poll_state (cluster, i, "job-c"));
  }
  assert_null (cluster_value (cluster, "h/j/job-d"));
  cluster_free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (user_writes_precede_launches),
      cmocka_unit_test (a_burst_beyond_the_allowance_is_retried),
      cmocka_unit_test (submissions_beyond_the_allowance_are_refused_at_once),
      cmocka_unit_test (a_stream_of_small_jobs_fits_the_allowance),
      cmocka_unit_test (a_slow_service_then_a_refused_leader_then_an_outage),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
