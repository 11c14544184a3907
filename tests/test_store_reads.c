/* Meetings of users' requests with what is on its way to and from the state service, message by
 * message (scripted_cluster.h). docs/meetings.md says which meeting each test brings about and
 * which guard it fails without. */
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
  cluster_report (cluster, worker, leader);
  cluster_report (cluster, worker, leader);
  guint64 id = cluster_submit (cluster, other, "job-a", 1);
  cluster_run (cluster, 1);
  assert_int_equal (cluster_reply_status (cluster, other, id), 201);
  for (int i = 0; i < 4; i++) {
    cluster_report (cluster, worker, leader);
    cluster_run (cluster, 1);
  }
  assert_true (cluster_worker_runs (worker, "job-a"));
  cluster_worker_exit_tasks (worker, "done");
  cluster_report (cluster, worker, leader);
  cluster_run (cluster, 1);
  id = cluster_poll (cluster, other, "job-a");
  cluster_run (cluster, 0.2);
  assert_string_equal (cluster_job_state (cluster, other, id), "done");
  cluster_free (cluster);
}

#define READING "hold_ms=0"
#define WATCH "hold_ms=10000"

/* ---- the read index ---- */

/* A reading that was sent before the question knows nothing of what was accepted in between. */
static void
a_reading_sent_before_the_question_does_not_answer_it (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, other, READING, NULL);
  cluster_hold (cluster, other, WATCH, NULL);
  guint64 early = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 0.05);
  ClusterCall *before = cluster_find_call (cluster, other, READING, NULL);
  assert_non_null (before);
  cluster_carry_out (cluster, before);
  guint64 id = cluster_submit (cluster, leader, "job-a", 1);
  cluster_run (cluster, 0.1);
  assert_int_equal (cluster_reply_status (cluster, leader, id), 201);
  guint64 late = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 0.05);
  assert_int_equal (cluster_count_calls (cluster, other, READING, NULL), 1);
  cluster_answer (cluster, before);
  assert_int_equal (cluster_reply_status (cluster, other, early), 404);
  assert_int_equal (cluster_reply_status (cluster, other, late), 0);
  cluster_tick (cluster, 0.05);
  cluster_answer (cluster, cluster_find_call (cluster, other, READING, NULL));
  assert_string_equal (cluster_job_state (cluster, other, late), "queued");
  cluster_free (cluster);
}

/* Hundreds ask at once, close after one another and while a reading is out: one at a time. */
static void
one_reading_serves_all_who_asked_before_it (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int other = 1 - cluster_leader (cluster);
  GArray *asked = g_array_new (FALSE, FALSE, sizeof (guint64));
  cluster_submit (cluster, other, "job-a", 1);
  cluster_run (cluster, 0.5);
  cluster_hold (cluster, other, READING, NULL);
  for (int i = 0; i < 600; i++) {
    guint64 id = i % 3 == 0   ? cluster_poll (cluster, other, "job-a")
                 : i % 3 == 1 ? cluster_submit (cluster, other, "job-a", 1)
                              : cluster_poll (cluster, other, "job-never");
    g_array_append_val (asked, id);
    cluster_tick (cluster, 0.002);
    assert_in_range (cluster_count_calls (cluster, other, READING, NULL), 0, 1);
    if (i % 200 == 199)
      cluster_answer (cluster, cluster_find_call (cluster, other, READING, NULL));
  }
  cluster_tick (cluster, 0.05);
  cluster_answer (cluster, cluster_find_call (cluster, other, READING, NULL));
  for (guint i = 0; i < asked->len; i++)
    assert_int_equal (cluster_reply_status (cluster, other, g_array_index (asked, guint64, i)),
                      i % 3 == 2 ? 404 : 200);
  g_array_unref (asked);
  cluster_free (cluster);
}

/* Too many requests: who asked waits for the next reading, for a while, and is then sent away;
 * nobody is answered from memory. */
static void
a_refused_reading_answers_nobody (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, other, READING, NULL);
  cluster_hold (cluster, other, WATCH, NULL);
  guint64 id = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 0.05);
  cluster_submit (cluster, leader, "job-a", 1);
  cluster_serve (cluster);
  cluster_answer_with (cluster, cluster_find_call (cluster, other, READING, NULL), 429, "{}");
  assert_int_equal (cluster_reply_status (cluster, other, id), 0);
  cluster_tick (cluster, 0.05);
  cluster_answer (cluster, cluster_find_call (cluster, other, READING, NULL));
  assert_string_equal (cluster_job_state (cluster, other, id), "queued");
  id = cluster_poll (cluster, other, "job-never");
  for (int i = 0; i < 40 && !cluster_reply_status (cluster, other, id); i++) {
    cluster_tick (cluster, 0.05);
    ClusterCall *call = cluster_find_call (cluster, other, READING, NULL);
    if (call)
      cluster_answer_with (cluster, call, 429, "{}");
  }
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  cluster_free (cluster);
}

/* The changes since the last reading are gone: all is read anew, and until then nothing is
 * said of jobs that are not final. */
static void
a_reading_too_old_is_read_anew (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_report (cluster, worker, leader);
  cluster_report (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, leader, "job-b");
  cluster_hold (cluster, leader, "/do", NULL); /* its worker does not hear that it is to end */
  cluster_submit (cluster, leader, "job-a", 1);
  cluster_run (cluster, 0.5);
  guint64 gone = cluster_cancel (cluster, other, "job-b");
  cluster_run (cluster, 0.5);
  assert_string_equal (cluster_job_state (cluster, other, gone), "withdrawn");
  assert_null (strstr (cluster_value (cluster, "h/j/job-b"), "\"n\":1")); /* no tombstone yet */
  cluster_hold (cluster, other, READING, NULL);
  cluster_hold (cluster, other, WATCH, NULL);
  cluster_hold (cluster, other, "/kv?", NULL);
  cluster_cancel (cluster, leader, "job-a");
  cluster_serve (cluster);
  cluster_forget_changes (cluster);
  guint64 id = cluster_poll (cluster, other, "job-a");
  cluster_tick (cluster, 1.1);
  ClusterCall *reading = cluster_find_call (cluster, other, READING, NULL);
  if (!reading) /* it asks again after a moment */
    cluster_tick (cluster, 1.1);
  cluster_answer (cluster, cluster_find_call (cluster, other, READING, NULL));
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  cluster_tick (cluster, 0.05);
  assert_non_null (cluster_find_call (cluster, other, "/kv?", NULL));
  id = cluster_poll (cluster, other, "job-a");
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  id = cluster_submit (cluster, other, "job-a", 1);
  assert_int_equal (cluster_reply_status (cluster, other, id), 503);
  id = cluster_poll (cluster, other, "job-b"); /* a final answer, once given, stays */
  assert_string_equal (cluster_job_state (cluster, other, id), "withdrawn");
  cluster_release (cluster);
  cluster_run (cluster, 1);
  assert_string_equal (cluster_poll_state (cluster, other, "job-a"), "withdrawn");
  cluster_free (cluster);
}

/* A new process answers nothing before it has read the state store. */
static void
a_new_process_attests_nothing_before_it_has_read (void **state G_GNUC_UNUSED)
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
          abort = cluster_cancel (cluster, other, "job-a");
  cluster_run (cluster, 1);
  assert_int_equal (cluster_reply_status (cluster, other, poll), 503);
  assert_int_equal (cluster_reply_status (cluster, other, again), 503);
  assert_int_equal (cluster_reply_status (cluster, other, abort), 503);
  /* Rows alone are not enough: the first reading is still out. */
  cluster_hold (cluster, other, READING, NULL);
  cluster_answer (cluster, cluster_find_call (cluster, other, "/kv?", NULL));
  poll = cluster_poll (cluster, other, "job-a");
  assert_int_equal (cluster_reply_status (cluster, other, poll), 0);
  cluster_release (cluster);
  cluster_run (cluster, 0.5);
  assert_string_equal (cluster_job_state (cluster, other, poll), "queued");
  cluster_free (cluster);
}

/* The leader's own key lapses, and another takes over: the leader is deposed. */
static void
depose (Cluster *cluster, int leader)
{
  cluster_hold (cluster, leader, "/touch", NULL);
  cluster_hold (cluster, leader, "/commit", "h/leader");
  for (int i = 0; i < 200 && cluster_leader (cluster) == leader; i++)
    cluster_run (cluster, 0.05);
  assert_int_not_equal (cluster_leader (cluster), leader);
}

/* An answer to a reading from before a reset, when those who wait have asked since. */
static void
a_reading_from_before_a_reset_does_not_count (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int old = cluster_leader (cluster), next = 1 - old;
  cluster_submit (cluster, next, "job-a", 1);
  cluster_run (cluster, 0.5);
  cluster_hold (cluster, old, READING, NULL);
  guint64 first = cluster_poll (cluster, old, "job-a");
  cluster_tick (cluster, 0.05);
  ClusterCall *before = cluster_find_call (cluster, old, READING, NULL);
  assert_non_null (before);
  cluster_carry_out (cluster, before);
  depose (cluster, old);
  cluster_run (cluster, 1); /* its watch told it; it reads anew */
  assert_int_equal (cluster_reply_status (cluster, old, first), 503);
  cluster_hold (cluster, old, WATCH, NULL);
  guint readings = 0;
  for (guint i = 0; i < cluster->calls->len; i++) { /* all but that one, until none is out */
    ClusterCall *call = cluster->calls->pdata[i];
    if (call == before || !strstr (call->path, READING))
      continue;
    cluster_answer (cluster, call);
    cluster_tick (cluster, 0.05);
    readings++;
    i = 0;
  }
  assert_true (readings > 0);
  guint64 abort = cluster_cancel (cluster, next, "job-a");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, next, abort), "withdrawn");
  guint64 late = cluster_poll (cluster, old, "job-a");
  cluster_tick (cluster, 0.05);
  assert_int_equal (cluster_count_calls (cluster, old, READING, NULL),
                    2); /* its own is out, and the old one */
  cluster_answer (cluster, before);
  assert_int_equal (cluster_reply_status (cluster, old, late), 0);
  cluster_release (cluster);
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, old, late), "withdrawn");
  cluster_free (cluster);
}

/* A watch's answer that a newer reading has overtaken changes nothing: the leader's key would
 * look free for good, and this node would stand against the leader again and again. */
static void
an_overtaken_watch_is_dropped (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  cluster_hold (cluster, leader, "/touch", NULL);
  cluster_hold (cluster, other, "/commit", "h/leader");
  cluster_hold (cluster, other, WATCH, NULL);
  cluster_hold (cluster, other, READING, NULL);
  cluster_hold (cluster, leader, "/commit", "h/leader");
  for (int i = 0; i < 100 && cluster_value (cluster, "h/leader"); i++)
    cluster_run (cluster, 0.05);
  assert_null (cluster_value (cluster, "h/leader"));
  ClusterCall *watch = cluster_find_call (cluster, other, WATCH, NULL);
  assert_non_null (watch);
  cluster_carry_out (cluster, watch);
  for (int i = 0; i < 100 && !cluster_value (cluster, "h/leader"); i++) {
    cluster_run (cluster, 0.05); /* with its lapsed claim first, then with a new one */
    if (cluster_find_call (cluster, leader, "/commit", "h/leader"))
      cluster_answer (cluster, cluster_find_call (cluster, leader, "/commit", "h/leader"));
  }
  assert_non_null (cluster_value (cluster, "h/leader"));
  cluster_answer (cluster, cluster_find_call (cluster, other, READING, NULL));
  cluster_answer (cluster, watch);
  cluster_release (cluster);
  cluster_hold (cluster, other, "/commit", "h/leader");
  cluster_run (cluster, 8);
  assert_int_equal (cluster_count_calls (cluster, other, "/commit", "h/leader"), 0);
  assert_int_equal (cluster_leader (cluster), leader);
  cluster_free (cluster);
}

/* ---- repeated submissions ---- */

/* The same submission twice at one node and once at another, all on their way at once: one
 * record, and every answer says that it is accepted. */
static void
a_submission_in_flight_is_repeated (void **state G_GNUC_UNUSED)
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

/* The answer to the write of a submission comes last, after the job was cancelled elsewhere and
 * this node has read that: it does not bring the job back. */
static void
a_late_answer_does_not_bring_a_job_back (void **state G_GNUC_UNUSED)
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
  guint64 abort = cluster_cancel (cluster, leader, "job-a");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, leader, abort), "withdrawn");
  cluster_answer (cluster, write);
  assert_string_equal (cluster_job_state (cluster, other, first), "withdrawn");
  assert_string_equal (cluster_poll_state (cluster, other, "job-a"), "withdrawn");
  cluster_free (cluster);
}

/* All nodes are asked, and the submission repeated, in the milliseconds after each answer. */
static void
nobody_answers_something_older (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (3);
  int leader = cluster_leader (cluster);
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_report (cluster, worker, leader);
  cluster_report (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, leader, "job-a");
  static const char *const expected[] = {"running", "withdrawn", "done"};
  for (int step = 0; step < 3; step++) {
    const char *id = step == 2 ? "job-b" : "job-a";
    if (step == 1) {
      guint64 abort = cluster_cancel (cluster, (leader + 1) % 3, id);
      for (int i = 0; i < 40 && !cluster_reply_status (cluster, (leader + 1) % 3, abort); i++) {
        cluster_tick (cluster, 0.002);
        cluster_serve (cluster);
      }
      assert_string_equal (cluster_job_state (cluster, (leader + 1) % 3, abort), "withdrawn");
    } else if (step == 2) {
      cluster_run (cluster, 1);
      cluster_report (cluster, worker, leader);
      cluster_report (cluster, worker, leader);
      cluster_submit_and_start (cluster, worker, leader, id);
      cluster_worker_exit_tasks (worker, "done");
      cluster_report (cluster, worker, leader);
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
      cmocka_unit_test (a_reading_sent_before_the_question_does_not_answer_it),
      cmocka_unit_test (one_reading_serves_all_who_asked_before_it),
      cmocka_unit_test (a_refused_reading_answers_nobody),
      cmocka_unit_test (a_reading_too_old_is_read_anew),
      cmocka_unit_test (a_new_process_attests_nothing_before_it_has_read),
      cmocka_unit_test (a_reading_from_before_a_reset_does_not_count),
      cmocka_unit_test (an_overtaken_watch_is_dropped),
      cmocka_unit_test (a_submission_in_flight_is_repeated),
      cmocka_unit_test (a_late_answer_does_not_bring_a_job_back),
      cmocka_unit_test (nobody_answers_something_older),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
