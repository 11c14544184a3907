/* Interleavings of users' requests with calls to and answers from the state store, message by
 * message (scripted_cluster.h). docs/meetings.md describes the interleaving of each test and the
 * check in the controller without which it fails. */
#include "scripted_cluster.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static void
a_job_runs_to_its_end (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_send_heartbeat (cluster, worker, leader);
  guint64 id = cluster_submit (cluster, other, "job-a", 1);
  cluster_run (cluster, 1);
  assert_int_equal (cluster_reply_status (cluster, other, id), 201);
  for (int i = 0; i < 4; i++) {
    cluster_send_heartbeat (cluster, worker, leader);
    cluster_run (cluster, 1);
  }
  assert_true (cluster_worker_runs (worker, "job-a"));
  cluster_worker_exit_tasks (worker, "done");
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_run (cluster, 1);
  id = cluster_poll (cluster, other, "job-a");
  cluster_run (cluster, 0.2);
  assert_string_equal (cluster_job_state (cluster, other, id), "done");
  cluster_free (cluster);
}

/* Queries of a read of the store's changes and of a watch (long poll). */
#define READ "hold_ms=0"
#define WATCH "hold_ms=10000"

/* ---- the read index ---- */

/* A read that was sent before the request does not show what was accepted in between. */
static void
a_read_sent_before_the_request_does_not_answer_it (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, other, READ, NULL);
  cluster_hold (cluster, other, WATCH, NULL);
  guint64 early = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 0.05);
  ClusterCall *before = cluster_find_call (cluster, other, READ, NULL);
  assert_non_null (before);
  cluster_carry_out (cluster, before);
  guint64 id = cluster_submit (cluster, leader, "job-a", 1);
  cluster_run (cluster, 0.1);
  assert_int_equal (cluster_reply_status (cluster, leader, id), 201);
  guint64 late = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 0.05);
  assert_int_equal (cluster_count_calls (cluster, other, READ, NULL), 1);
  cluster_answer (cluster, before);
  assert_int_equal (cluster_reply_status (cluster, other, early), 404);
  assert_int_equal (cluster_reply_status (cluster, other, late), 0);
  cluster_tick (cluster, 0.05);
  cluster_answer (cluster, cluster_find_call (cluster, other, READ, NULL));
  assert_string_equal (cluster_job_state (cluster, other, late), "queued");
  cluster_free (cluster);
}

/* Hundreds of requests arrive in close succession, also while a read is in flight: the node has at
 * most one read in flight. */
static void
one_read_serves_all_requests_before_it (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int other = 1 - cluster_leader (cluster);
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (guint64));
  cluster_submit (cluster, other, "job-a", 1);
  cluster_run (cluster, 0.5);
  cluster_hold (cluster, other, READ, NULL);
  for (int i = 0; i < 600; i++) {
    guint64 id = i % 3 == 0   ? cluster_poll (cluster, other, "job-a")
                 : i % 3 == 1 ? cluster_submit (cluster, other, "job-a", 1)
                              : cluster_poll (cluster, other, "job-never");
    g_array_append_val (requests, id);
    cluster_tick (cluster, 0.002);
    assert_in_range (cluster_count_calls (cluster, other, READ, NULL), 0, 1);
    if (i % 200 == 199)
      cluster_answer (cluster, cluster_find_call (cluster, other, READ, NULL));
  }
  cluster_tick (cluster, 0.05);
  cluster_answer (cluster, cluster_find_call (cluster, other, READ, NULL));
  for (guint i = 0; i < requests->len; i++)
    assert_int_equal (cluster_reply_status (cluster, other, g_array_index (requests, guint64, i)),
                      i % 3 == 2 ? 404 : 200);
  g_array_unref (requests);
  cluster_free (cluster);
}

/* The state store refuses the read as one too many (429): the request waits for the next read, and
 * after a while is answered 503. No request is answered from memory. */
static void
a_refused_read_answers_no_request (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, other, READ, NULL);
  cluster_hold (cluster, other, WATCH, NULL);
  guint64 id = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 0.05);
  cluster_submit (cluster, leader, "job-a", 1);
  cluster_serve (cluster);
  cluster_answer_with (cluster, cluster_find_call (cluster, other, READ, NULL), 429, "{}");
  assert_int_equal (cluster_reply_status (cluster, other, id), 0);
  cluster_tick (cluster, 0.05);
  cluster_answer (cluster, cluster_find_call (cluster, other, READ, NULL));
  assert_string_equal (cluster_job_state (cluster, other, id), "queued");
  id = cluster_poll (cluster, other, "job-never");
  for (int i = 0; i < 40 && !cluster_reply_status (cluster, other, id); i++) {
    cluster_tick (cluster, 0.05);
    ClusterCall *call = cluster_find_call (cluster, other, READ, NULL);
    if (call)
      cluster_answer_with (cluster, call, 429, "{}");
  }
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  cluster_free (cluster);
}

/* The changes since the last read are discarded: the node reads the whole store again, and until
 * then gives no state of a job that is not final. */
static void
a_read_of_discarded_changes_rereads_the_store (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, leader, "job-b");
  cluster_hold (cluster, leader, "/do", NULL); /* the stop does not reach its worker */
  cluster_submit (cluster, leader, "job-a", 1);
  cluster_run (cluster, 0.5);
  guint64 cancel_request = cluster_cancel (cluster, other, "job-b");
  cluster_run (cluster, 0.5);
  assert_string_equal (cluster_job_state (cluster, other, cancel_request), "withdrawn");
  /* No tombstone yet: only a tombstone has the number of tasks (HR_RECORD_N_TASKS). */
  assert_null (strstr (cluster_value (cluster, "h/j/job-b"), "\"n\":1"));
  cluster_hold (cluster, other, READ, NULL);
  cluster_hold (cluster, other, WATCH, NULL);
  cluster_hold (cluster, other, "/kv?", NULL);
  cluster_cancel (cluster, leader, "job-a");
  cluster_serve (cluster);
  cluster_compact_changes (cluster);
  guint64 id = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 1.1);
  ClusterCall *read_call = cluster_find_call (cluster, other, READ, NULL);
  if (!read_call) /* the node reads again after a moment */
    cluster_tick (cluster, 1.1);
  cluster_answer (cluster, cluster_find_call (cluster, other, READ, NULL));
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  cluster_tick (cluster, 0.05);
  assert_non_null (cluster_find_call (cluster, other, "/kv?", NULL));
  id = cluster_poll (cluster, other, "job-a");
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  id = cluster_submit (cluster, other, "job-a", 1);
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  id = cluster_poll (cluster, other, "job-b"); /* a final state may still be answered */
  assert_string_equal (cluster_job_state (cluster, other, id), "withdrawn");
  cluster_release (cluster);
  cluster_run (cluster, 1);
  assert_string_equal (cluster_poll_state (cluster, other, "job-a"), "withdrawn");
  cluster_free (cluster);
}

/* The answer to a read is larger than the controller accepts, and so is that to each read after it.
 */
static void
a_controller_that_missed_many_changes_never_answers_again (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, other, "/changes", NULL);
  cluster_submit (cluster, leader, "job-a", 1);
  cluster_serve (cluster);
  for (int i = 0; i < 60 && !cluster_count_calls (cluster, other, "/kv?", NULL); i++) {
    cluster_tick (cluster, 0.1);
    ClusterCall *read_call = cluster_find_call (cluster, other, READ, NULL);
    if (read_call)
      cluster_answer_with (cluster, read_call, HR_STATUS_ANSWER_TOO_LARGE, NULL);
  }
  assert_true (cluster_count_calls (cluster, other, "/kv?", NULL) > 0);
  cluster_release (cluster);
  cluster_run (cluster, 2);
  assert_string_equal (cluster_poll_state (cluster, other, "job-a"), "queued");
  cluster_free (cluster);
}

/* A new process answers nothing before it has read the state store. */
static void
a_new_process_answers_nothing_before_it_has_read (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_submit (cluster, leader, "job-a", 1);
  cluster_run (cluster, 0.5);
  cluster_stop_node (cluster, other);
  cluster_hold (cluster, other, "/kv?", NULL);
  cluster_start_node (cluster, other);
  cluster_tick (cluster, 0.05);
  guint64 poll = cluster_poll (cluster, other, "job-a"),
          again = cluster_submit (cluster, other, "job-a", 1),
          cancel_request = cluster_cancel (cluster, other, "job-a");
  cluster_run (cluster, 1);
  assert_int_equal (cluster_reply_status (cluster, other, poll), 503);
  assert_int_equal (cluster_reply_status (cluster, other, again), 503);
  assert_int_equal (cluster_reply_status (cluster, other, cancel_request), 503);
  /* The listed keys alone are not enough: the first read of changes is still in flight. */
  cluster_hold (cluster, other, READ, NULL);
  cluster_answer (cluster, cluster_find_call (cluster, other, "/kv?", NULL));
  poll = cluster_poll (cluster, other, "job-a");
  assert_int_equal (cluster_reply_status (cluster, other, poll), 0);
  cluster_release (cluster);
  cluster_run (cluster, 0.5);
  assert_string_equal (cluster_job_state (cluster, other, poll), "queued");
  cluster_free (cluster);
}

/* Lets the leader lock expire until another controller leads. */
static void
expire_leader_lock (Cluster *cluster, int leader)
{
  cluster_hold (cluster, leader, "/touch", NULL);
  cluster_hold (cluster, leader, "/commit", "h/leader");
  for (int i = 0; i < 200 && cluster_leader (cluster) == leader; i++)
    cluster_run (cluster, 0.05);
  assert_int_not_equal (cluster_leader (cluster), leader);
}

/* The answer to a read from before a reset arrives, while requests from after the reset wait. */
static void
a_read_from_before_a_reset_does_not_count (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int old = cluster_leader (cluster), next = 1 - old;
  cluster_submit (cluster, next, "job-a", 1);
  cluster_run (cluster, 0.5);
  cluster_hold (cluster, old, READ, NULL);
  guint64 first = cluster_poll (cluster, old, "job-a");
  cluster_tick (cluster, 0.05);
  ClusterCall *before = cluster_find_call (cluster, old, READ, NULL);
  assert_non_null (before);
  cluster_carry_out (cluster, before);
  expire_leader_lock (cluster, old);
  cluster_run (cluster, 1); /* its watch shows the new leader, and it reads the store again */
  assert_int_equal (cluster_reply_status (cluster, old, first), 503);
  cluster_hold (cluster, old, WATCH, NULL);
  guint reads = 0;
  /* Answers all reads but that one, until no other is in flight. */
  for (guint i = 0; i < cluster->calls->len; i++) {
    ClusterCall *call = cluster->calls->pdata[i];
    if (call == before || !strstr (call->path, READ))
      continue;
    cluster_answer (cluster, call);
    cluster_tick (cluster, 0.05);
    reads++;
    i = 0;
  }
  assert_true (reads > 0);
  guint64 cancel_request = cluster_cancel (cluster, next, "job-a");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, next, cancel_request), "withdrawn");
  guint64 late = cluster_poll (cluster, old, "job-a");
  cluster_tick (cluster, 0.05);
  /* The read for the new request, and the old one. */
  assert_int_equal (cluster_count_calls (cluster, old, READ, NULL), 2);
  cluster_answer (cluster, before);
  assert_int_equal (cluster_reply_status (cluster, old, late), 0);
  cluster_release (cluster);
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, old, late), "withdrawn");
  cluster_free (cluster);
}

/* The answer to a watch arrives after that to a newer read and is dropped. Otherwise the node would
 * take the leader lock for free permanently and stand for election repeatedly. */
static void
a_superseded_watch_is_dropped (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, leader, "/touch", NULL);
  cluster_hold (cluster, other, "/commit", "h/leader");
  cluster_hold (cluster, other, WATCH, NULL);
  cluster_hold (cluster, other, READ, NULL);
  cluster_hold (cluster, leader, "/commit", "h/leader");
  for (int i = 0; i < 100 && cluster_value (cluster, "h/leader"); i++)
    cluster_run (cluster, 0.05);
  assert_null (cluster_value (cluster, "h/leader"));
  ClusterCall *watch = cluster_find_call (cluster, other, WATCH, NULL);
  assert_non_null (watch);
  cluster_carry_out (cluster, watch);
  for (int i = 0; i < 100 && !cluster_value (cluster, "h/leader"); i++) {
    /* The leader writes the lock with its expired lease first, then with a new one. */
    cluster_run (cluster, 0.05);
    if (cluster_find_call (cluster, leader, "/commit", "h/leader"))
      cluster_answer (cluster, cluster_find_call (cluster, leader, "/commit", "h/leader"));
  }
  assert_non_null (cluster_value (cluster, "h/leader"));
  cluster_answer (cluster, cluster_find_call (cluster, other, READ, NULL));
  cluster_answer (cluster, watch);
  cluster_release (cluster);
  cluster_hold (cluster, other, "/commit", "h/leader");
  cluster_run (cluster, 8);
  assert_int_equal (cluster_count_calls (cluster, other, "/commit", "h/leader"), 0);
  assert_int_equal (cluster_leader (cluster), leader);
  cluster_free (cluster);
}

/* ---- repeated submissions ---- */

/* The same submission is in flight twice at one node and once at another: one record is written,
 * and every answer says that the job is accepted. */
static void
concurrent_submissions_write_one_record (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (3);
  int leader = cluster_leader (cluster), second_node = (leader + 1) % 3,
      third_node = (leader + 2) % 3;
  cluster_hold (cluster, second_node, "/commit", NULL);
  cluster_hold (cluster, third_node, "/commit", NULL);
  guint64 first = cluster_submit (cluster, second_node, "job-a", 1),
          second = cluster_submit (cluster, second_node, "job-a", 3),
          third = cluster_submit (cluster, third_node, "job-a", 1);
  cluster_tick (cluster, 0.05);
  assert_int_equal (cluster_count_calls (cluster, second_node, "/commit", "job-a"), 2);
  ClusterCall *one = cluster_find_call (cluster, second_node, "/commit", "job-a");
  cluster_carry_out (cluster, one);
  guint64 revision = cluster_key_revision (cluster, "h/j/job-a");
  cluster_answer (cluster, cluster_find_call (cluster, third_node, "/commit", "job-a"));
  cluster_run (cluster, 0.3);
  assert_int_equal (cluster_reply_status (cluster, third_node, third), 200);
  for (guint i = 0; i < cluster->calls->len; i++)
    if (cluster->calls->pdata[i] != one &&
        ((ClusterCall *)cluster->calls->pdata[i])->node == second_node &&
        strcmp (((ClusterCall *)cluster->calls->pdata[i])->path, "/commit") == 0) {
      cluster_answer (cluster, cluster->calls->pdata[i]);
      break;
    }
  cluster_run (cluster, 0.3);
  assert_int_equal (cluster_reply_status (cluster, second_node, second), 200);
  assert_int_equal (cluster_reply_status (cluster, second_node, first), 0);
  cluster_answer (cluster, one);
  assert_int_equal (cluster_reply_status (cluster, second_node, first), 201);
  assert_int_equal (cluster_key_revision (cluster, "h/j/job-a"), revision);
  cluster_free (cluster);
}

/* The answer to the write of a submission arrives after the job was cancelled at another node and
 * this node has read that. The job stays cancelled. */
static void
a_late_answer_does_not_reopen_a_cancelled_job (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, other, "/commit", NULL);
  guint64 first = cluster_submit (cluster, other, "job-a", 1);
  cluster_tick (cluster, 0.05);
  ClusterCall *write = cluster_find_call (cluster, other, "/commit", "job-a");
  cluster_carry_out (cluster, write);
  guint64 again = cluster_submit (cluster, leader, "job-a", 1);
  cluster_run (cluster, 0.3);
  assert_int_equal (cluster_reply_status (cluster, leader, again), 200);
  guint64 cancel_request = cluster_cancel (cluster, leader, "job-a");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, leader, cancel_request), "withdrawn");
  cluster_answer (cluster, write);
  assert_string_equal (cluster_job_state (cluster, other, first), "withdrawn");
  assert_string_equal (cluster_poll_state (cluster, other, "job-a"), "withdrawn");
  cluster_free (cluster);
}

/* In the milliseconds after an answer, every node is polled and gets the submission again. No
 * answer is older than that first one. */
static void
no_node_answers_with_an_older_state (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (3);
  int leader = cluster_leader (cluster);
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, leader, "job-a");
  static const char *const expected[] = {"running", "withdrawn", "done"};
  for (int step = 0; step < 3; step++) {
    const char *id = step == 2 ? "job-b" : "job-a";
    if (step == 1) {
      guint64 cancel_request = cluster_cancel (cluster, (leader + 1) % 3, id);
      for (int i = 0; i < 40 && !cluster_reply_status (cluster, (leader + 1) % 3, cancel_request);
           i++) {
        cluster_tick (cluster, 0.002);
        cluster_serve (cluster);
      }
      assert_string_equal (cluster_job_state (cluster, (leader + 1) % 3, cancel_request),
                           "withdrawn");
    } else if (step == 2) {
      cluster_run (cluster, 1);
      cluster_send_heartbeat (cluster, worker, leader);
      cluster_send_heartbeat (cluster, worker, leader);
      cluster_submit_and_start (cluster, worker, leader, id);
      cluster_worker_exit_tasks (worker, "done");
      cluster_send_heartbeat (cluster, worker, leader);
      for (int i = 0;
           i < 60 && g_strcmp0 (cluster_poll_state (cluster, (leader + 2) % 3, id), "done"); i++)
        cluster_tick (cluster, 0.002);
    }
    for (int round = 0; round < 4; round++)
      for (int node = 0; node < 3; node++) {
        guint64 poll = cluster_poll (cluster, node, id),
                again = cluster_submit (cluster, node, id, 1);
        for (int i = 0; i < 100 && !(cluster_reply (cluster, node, poll) &&
                                     cluster_reply (cluster, node, again));
             i++) {
          cluster_tick (cluster, 0.002);
          cluster_serve (cluster);
        }
        assert_string_equal (cluster_job_state (cluster, node, poll), expected[step]);
        assert_string_equal (cluster_job_state (cluster, node, again), expected[step]);
        assert_int_equal (cluster_reply_status (cluster, node, again), 200);
      }
  }
  cluster_free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_job_runs_to_its_end),
      cmocka_unit_test (a_read_sent_before_the_request_does_not_answer_it),
      cmocka_unit_test (one_read_serves_all_requests_before_it),
      cmocka_unit_test (a_refused_read_answers_no_request),
      cmocka_unit_test (a_read_of_discarded_changes_rereads_the_store),
      cmocka_unit_test (a_new_process_answers_nothing_before_it_has_read),
      cmocka_unit_test (a_read_from_before_a_reset_does_not_count),
      cmocka_unit_test (a_superseded_watch_is_dropped),
      cmocka_unit_test (concurrent_submissions_write_one_record),
      cmocka_unit_test (a_late_answer_does_not_reopen_a_cancelled_job),
      cmocka_unit_test (no_node_answers_with_an_older_state),
      cmocka_unit_test (a_controller_that_missed_many_changes_never_answers_again),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
