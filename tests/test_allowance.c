/* Users where the state service allows few writes, is slow, or is away (scripted_cluster.h): what
 * they are told, and how soon. docs/meetings.md says which guard each test fails without. */
#include "scripted_cluster.h"
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
  Cluster *cluster = cluster_new (1);
  cluster_limit_writes (cluster, SCARCE_WRITES);
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
      cluster_report (cluster, cluster->workers->pdata[i], 0);
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

/* Twice as many as the service takes in a second, at once and at all nodes: those that it refuses
 * are tried again, out of step, and nobody is sent away. */
static void
a_burst_beyond_the_allowance_is_paced (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new (3);
  guint64 asked[30];
  cluster_limit_writes (cluster, SCARCE_WRITES);
  cluster_run (cluster, 6);
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++) {
    g_autofree char *id = g_strdup_printf ("job-%u", i);
    asked[i] = cluster_submit (cluster, i % 3, id, 1);
  }
  guint before = cluster->refused_writes;
  cluster_run (cluster, 2.5);
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++)
    assert_in_range (cluster_reply_status (cluster, i % 3, asked[i]), 200, 201);
  print_message ("30 submissions at once: %u transactions refused\n",
                 cluster->refused_writes - before);
  assert_in_range (cluster->refused_writes - before, 1, 45);
  cluster_free (cluster);
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
  Cluster *s;
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
  Cluster *cluster = stream->s;
  for (guint i = 0; i < stream->jobs->len; i++) {
    StreamJob *job = &g_array_index (stream->jobs, StreamJob, i);
    int status = cluster_reply_status (cluster, job->node, job->submission);
    if (!job->accepted && status) {
      if (status != 201 && status != 200) { /* asked again, as users do */
        if (cluster->now - job->sent > 1) {
          job->submission = cluster_submit (cluster, job->node, job->id, 1);
          job->sent = cluster->now;
        }
        continue;
      }
      job->accepted = cluster->now;
      stream->worst_accept = MAX (stream->worst_accept, cluster->now - job->sent);
    }
    if (!job->accepted || job->cancelled || job->told)
      continue;
    if (job->to_cancel && !job->abort && cluster->now - job->accepted > i % 8) {
      job->abort = cluster_cancel (cluster, (job->node + 1) % cluster->n, job->id);
      job->abort_sent = cluster->now;
    }
    const char *job_state =
        job->abort ? cluster_job_state (cluster, (job->node + 1) % cluster->n, job->abort) : NULL;
    if (job_state) {
      job->cancelled = cluster->now;
      stream->worst_cancel = MAX (stream->worst_cancel, cluster->now - job->abort_sent);
    } else if (job->abort &&
               cluster_reply_status (cluster, (job->node + 1) % cluster->n, job->abort))
      job->abort = 0;
    if (!job->to_cancel && job->ends && cluster->now > job->ends) {
      job_state =
          job->poll ? cluster_job_state (cluster, (job->node + 2) % cluster->n, job->poll) : NULL;
      if (g_strcmp0 (job_state, "done") == 0) {
        job->told = cluster->now;
        stream->worst_told = MAX (stream->worst_told, cluster->now - job->ends);
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

static void
stream_work (Stream *stream, guint round)
{
  Cluster *cluster = stream->s;
  for (guint i = 0; i < cluster->workers->len; i++) {
    ClusterWorker *worker = cluster->workers->pdata[i];
    gboolean change = FALSE;
    for (guint k = 0; k < worker->tasks->len; k++) {
      json_t *task = worker->tasks->pdata[k];
      StreamJob *job = stream_find (stream, hr_json_str (task, "piece"));
      if (strcmp (hr_json_str (task, "stance"), "exited") == 0)
        continue;
      if (!job->ends)
        job->ends = cluster->now + stream->run_s;
      else if (cluster->now >= job->ends) {
        json_object_set_new (task, "stance", json_string ("exited"));
        json_object_set_new (task, "cause", json_string ("done"));
        change = TRUE;
      }
    }
    if (change || (round + i * 5) % 50 == 0)
      cluster_report (cluster, worker, cluster_leader (cluster));
  }
}

/* One-task jobs, four a second, a quarter of them cancelled, at 15 changes a second: all are
 * accepted, confirmed and told in time, and nothing piles up. */
static void
a_stream_of_small_jobs_fits_the_allowance (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new (3);
  Stream stream = {.s = cluster, .run_s = 6};
  cluster_limit_writes (cluster, SCARCE_WRITES);
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
      job.sent = cluster->now;
      job.submission = cluster_submit (cluster, job.node, job.id, 1);
      g_array_append_val (stream.jobs, job);
    }
    cluster_run (cluster, 0.05);
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
                 cluster->committed_transactions, cluster->refused_writes);
  assert_int_equal (open, 0);
  assert_true (stream.worst_accept < 2);
  assert_true (stream.worst_cancel < 2.5);
  assert_true (stream.worst_told < 3);
  g_array_unref (stream.jobs);
  cluster_free (cluster);
}

/* ---- slow, refused, away ---- */

/* Whatever a node says of the job, it is not older than that it is cancelled. */
static void
nobody_says_otherwise (Cluster *cluster, const char *id)
{
  for (int node = 0; node < cluster->n; node++) {
    guint64 poll = cluster_poll (cluster, node, id), again = cluster_submit (cluster, node, id, 1);
    for (int i = 0;
         i < 50 && !(cluster_reply (cluster, node, poll) && cluster_reply (cluster, node, again));
         i++)
      cluster_run (cluster, 0.05);
    const char *told[] = {cluster_job_state (cluster, node, poll),
                          cluster_job_state (cluster, node, again)};
    for (int i = 0; i < 2; i++)
      if (told[i])
        assert_string_equal (told[i], "withdrawn");
    assert_int_not_equal (cluster_reply_status (cluster, node, poll), 404);
    assert_int_not_equal (cluster_reply_status (cluster, node, again), 201);
  }
}

static void
slow_service (Cluster *cluster, int next, int third)
{
  cluster->store_delay_s = 0.8;
  guint64 id = cluster_submit (cluster, next, "job-e", 1);
  cluster_run (cluster,
               2.5); /* a first try given up too early, one more, and a look at the record */
  assert_in_range (cluster_reply_status (cluster, next, id), 200, 201);
  id = cluster_submit (cluster, third, "job-c", 1);
  cluster_run (cluster, 1); /* by now it is known to be slow */
  assert_int_equal (cluster_reply_status (cluster, third, id), 201);
  guint64 polls[3];
  for (int i = 0; i < 3; i++)
    polls[i] = cluster_poll (cluster, i, "job-c");
  cluster_run (cluster, 1.95); /* users wait two seconds */
  for (int i = 0; i < 3; i++)
    assert_non_null (cluster_job_state (cluster, i, polls[i]));
  guint64 abort = cluster_cancel (cluster, third, "job-a");
  cluster_run (cluster, 3);
  assert_string_equal (cluster_job_state (cluster, third, abort), "withdrawn");
  nobody_says_otherwise (cluster, "job-a");
  cluster->store_delay_s = 0;
  cluster_run (cluster, 2);
}

static void
refused_leader (Cluster *cluster, int leader, int next)
{
  /* The leader alone is refused, and others confirm. */
  cluster->nodes[leader].store_available = FALSE;
  cluster_run (cluster, 0.2);
  guint64 abort = cluster_cancel (cluster, next, "job-b");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, next, abort), "withdrawn");
  nobody_says_otherwise (cluster, "job-b");
  cluster_run (cluster, 0.7);
}

static void
outage (Cluster *cluster, int next)
{
  /* A second later it is out for all, for longer than cancel_s. */
  cluster->store_outage = TRUE;
  double until = cluster->now + 42;
  while (cluster->now < until) {
    nobody_says_otherwise (cluster, "job-a");
    nobody_says_otherwise (cluster, "job-b");
    cluster_run (cluster, 1);
  }
  guint64 id = cluster_submit (cluster, next, "job-d", 1);
  guint64 abort = cluster_cancel (cluster, next, "job-c");
  cluster_run (cluster, 0.3);
  assert_int_equal (cluster_reply_status (cluster, next, id), 503);
  assert_int_equal (cluster_reply (cluster, next, id)->retry_after, 2);
  assert_int_equal (cluster_reply_status (cluster, next, abort), 503);
  assert_string_equal (cluster_poll_state (cluster, next, "job-b"),
                       "withdrawn"); /* final: it may be told */
}

static void
a_slow_service_then_a_refused_leader_then_an_outage (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (3);
  int leader = cluster_leader (cluster), next = (leader + 1) % 3, third = (leader + 2) % 3;
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_report (cluster, worker, leader);
  cluster_report (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, next, "job-a");
  cluster_submit_and_start (cluster, worker, next, "job-b");
  slow_service (cluster, next, third);
  refused_leader (cluster, leader, next);
  outage (cluster, next);
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
      cmocka_unit_test (users_write_before_launches),
      cmocka_unit_test (a_burst_beyond_the_allowance_is_paced),
      cmocka_unit_test (a_stream_of_small_jobs_fits_the_allowance),
      cmocka_unit_test (a_slow_service_then_a_refused_leader_then_an_outage),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
