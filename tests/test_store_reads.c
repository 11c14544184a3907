/* Meetings of users' requests with what is on its way to and from the state service, message by
 * message (script.h). docs/meetings.md says which meeting each test brings about and which guard
 * it fails without. */
#include "script.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static void
a_job_runs_to_its_end (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int leader = script_leader (script), other = 1 - leader;
  ScriptWorker *worker = script_worker (script, "m-000001");
  script_report (script, worker, leader);
  script_report (script, worker, leader);
  guint64 id = script_submit (script, other, "job-a", 1);
  script_run (script, 1);
  assert_int_equal (script_status (script, other, id), 201);
  for (int i = 0; i < 4; i++) {
    script_report (script, worker, leader);
    script_run (script, 1);
  }
  assert_true (script_worker_has (worker, "job-a"));
  script_worker_ends (worker, "done");
  script_report (script, worker, leader);
  script_run (script, 1);
  id = script_poll (script, other, "job-a");
  script_run (script, 0.2);
  assert_string_equal (script_stance (script, other, id), "done");
  script_free (script);
}

#define READING "hold_ms=0"
#define WATCH "hold_ms=10000"

/* ---- the read index ---- */

/* A reading that was sent before the question knows nothing of what was accepted in between. */
static void
a_reading_sent_before_the_question_does_not_answer_it (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int leader = script_leader (script), other = 1 - leader;
  script_hold (script, other, READING, NULL);
  script_hold (script, other, WATCH, NULL);
  guint64 early = script_poll (script, other, "job-a");
  script_tick (script, 0.05);
  ScriptCall *before = script_call (script, other, READING, NULL);
  assert_non_null (before);
  script_carry_out (script, before);
  guint64 id = script_submit (script, leader, "job-a", 1);
  script_run (script, 0.1);
  assert_int_equal (script_status (script, leader, id), 201);
  guint64 late = script_poll (script, other, "job-a");
  script_tick (script, 0.05);
  assert_int_equal (script_count (script, other, READING, NULL), 1);
  script_answer (script, before);
  assert_int_equal (script_status (script, other, early), 404);
  assert_int_equal (script_status (script, other, late), 0);
  script_tick (script, 0.05);
  script_answer (script, script_call (script, other, READING, NULL));
  assert_string_equal (script_stance (script, other, late), "queued");
  script_free (script);
}

/* Hundreds ask at once, close after one another and while a reading is out: one at a time. */
static void
one_reading_serves_all_who_asked_before_it (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int other = 1 - script_leader (script);
  GArray *asked = g_array_new (FALSE, FALSE, sizeof (guint64));
  script_submit (script, other, "job-a", 1);
  script_run (script, 0.5);
  script_hold (script, other, READING, NULL);
  for (int i = 0; i < 600; i++) {
    guint64 id = i % 3 == 0   ? script_poll (script, other, "job-a")
                 : i % 3 == 1 ? script_submit (script, other, "job-a", 1)
                              : script_poll (script, other, "job-never");
    g_array_append_val (asked, id);
    script_tick (script, 0.002);
    assert_in_range (script_count (script, other, READING, NULL), 0, 1);
    if (i % 200 == 199)
      script_answer (script, script_call (script, other, READING, NULL));
  }
  script_tick (script, 0.05);
  script_answer (script, script_call (script, other, READING, NULL));
  for (guint i = 0; i < asked->len; i++)
    assert_int_equal (script_status (script, other, g_array_index (asked, guint64, i)),
                      i % 3 == 2 ? 404 : 200);
  g_array_unref (asked);
  script_free (script);
}

/* Too many requests: who asked waits for the next reading, for a while, and is then sent away;
 * nobody is answered from memory. */
static void
a_refused_reading_answers_nobody (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int leader = script_leader (script), other = 1 - leader;
  script_hold (script, other, READING, NULL);
  script_hold (script, other, WATCH, NULL);
  guint64 id = script_poll (script, other, "job-a");
  script_tick (script, 0.05);
  script_submit (script, leader, "job-a", 1);
  script_serve (script);
  script_answer_with (script, script_call (script, other, READING, NULL), 429, "{}");
  assert_int_equal (script_status (script, other, id), 0);
  script_tick (script, 0.05);
  script_answer (script, script_call (script, other, READING, NULL));
  assert_string_equal (script_stance (script, other, id), "queued");
  id = script_poll (script, other, "job-never");
  for (int i = 0; i < 40 && !script_status (script, other, id); i++) {
    script_tick (script, 0.05);
    ScriptCall *call = script_call (script, other, READING, NULL);
    if (call)
      script_answer_with (script, call, 429, "{}");
  }
  assert_int_equal (script_status (script, other, id), 503);
  script_free (script);
}

/* The changes since the last reading are gone: all is read anew, and until then nothing is
 * said of jobs that are not final. */
static void
a_reading_too_old_is_read_anew (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int leader = script_leader (script), other = 1 - leader;
  ScriptWorker *worker = script_worker (script, "m-000001");
  script_report (script, worker, leader);
  script_report (script, worker, leader);
  script_place (script, worker, leader, "job-b");
  script_hold (script, leader, "/do", NULL); /* its worker does not hear that it is to end */
  script_submit (script, leader, "job-a", 1);
  script_run (script, 0.5);
  guint64 gone = script_abort (script, other, "job-b");
  script_run (script, 0.5);
  assert_string_equal (script_stance (script, other, gone), "withdrawn");
  assert_null (strstr (script_value (script, "h/j/job-b"), "\"n\":1")); /* no tombstone yet */
  script_hold (script, other, READING, NULL);
  script_hold (script, other, WATCH, NULL);
  script_hold (script, other, "/kv?", NULL);
  script_abort (script, leader, "job-a");
  script_serve (script);
  script_forget_changes (script);
  guint64 id = script_poll (script, other, "job-a");
  script_tick (script, 1.1);
  ScriptCall *reading = script_call (script, other, READING, NULL);
  if (!reading) /* it asks again after a moment */
    script_tick (script, 1.1);
  script_answer (script, script_call (script, other, READING, NULL));
  assert_int_equal (script_status (script, other, id), 503);
  script_tick (script, 0.05);
  assert_non_null (script_call (script, other, "/kv?", NULL));
  id = script_poll (script, other, "job-a");
  assert_int_equal (script_status (script, other, id), 503);
  id = script_submit (script, other, "job-a", 1);
  assert_int_equal (script_status (script, other, id), 503);
  id = script_poll (script, other, "job-b"); /* a final answer, once given, stays */
  assert_string_equal (script_stance (script, other, id), "withdrawn");
  script_release (script);
  script_run (script, 1);
  assert_string_equal (script_asked (script, other, "job-a"), "withdrawn");
  script_free (script);
}

/* A new process answers nothing before it has read the state store. */
static void
a_new_process_says_nothing_before_it_has_read (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int leader = script_leader (script), other = 1 - leader;
  script_submit (script, leader, "job-a", 1);
  script_run (script, 0.5);
  script_end (script, other);
  script_hold (script, other, "/kv?", NULL);
  script_start (script, other);
  script_tick (script, 0.05);
  guint64 poll = script_poll (script, other, "job-a"),
          again = script_submit (script, other, "job-a", 1),
          abort = script_abort (script, other, "job-a");
  script_run (script, 1);
  assert_int_equal (script_status (script, other, poll), 503);
  assert_int_equal (script_status (script, other, again), 503);
  assert_int_equal (script_status (script, other, abort), 503);
  /* Rows alone are not enough: the first reading is still out. */
  script_hold (script, other, READING, NULL);
  script_answer (script, script_call (script, other, "/kv?", NULL));
  poll = script_poll (script, other, "job-a");
  assert_int_equal (script_status (script, other, poll), 0);
  script_release (script);
  script_run (script, 0.5);
  assert_string_equal (script_stance (script, other, poll), "queued");
  script_free (script);
}

/* The leader's own key lapses, and another takes over: the leader is deposed. */
static void
depose (Script *script, int leader)
{
  script_hold (script, leader, "/touch", NULL);
  script_hold (script, leader, "/commit", "h/leader");
  for (int i = 0; i < 200 && script_leader (script) == leader; i++)
    script_run (script, 0.05);
  assert_int_not_equal (script_leader (script), leader);
}

/* An answer to a reading from before a reset, when those who wait have asked since. */
static void
a_reading_from_before_a_reset_does_not_count (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int old = script_leader (script), next = 1 - old;
  script_submit (script, next, "job-a", 1);
  script_run (script, 0.5);
  script_hold (script, old, READING, NULL);
  guint64 first = script_poll (script, old, "job-a");
  script_tick (script, 0.05);
  ScriptCall *before = script_call (script, old, READING, NULL);
  assert_non_null (before);
  script_carry_out (script, before);
  depose (script, old);
  script_run (script, 1); /* its watch told it; it reads anew */
  assert_int_equal (script_status (script, old, first), 503);
  script_hold (script, old, WATCH, NULL);
  guint readings = 0;
  for (guint i = 0; i < script->calls->len; i++) { /* all but that one, until none is out */
    ScriptCall *call = script->calls->pdata[i];
    if (call == before || !strstr (call->path, READING))
      continue;
    script_answer (script, call);
    script_tick (script, 0.05);
    readings++;
    i = 0;
  }
  assert_true (readings > 0);
  guint64 abort = script_abort (script, next, "job-a");
  script_run (script, 0.3);
  assert_string_equal (script_stance (script, next, abort), "withdrawn");
  guint64 late = script_poll (script, old, "job-a");
  script_tick (script, 0.05);
  assert_int_equal (script_count (script, old, READING, NULL),
                    2); /* its own is out, and the old one */
  script_answer (script, before);
  assert_int_equal (script_status (script, old, late), 0);
  script_release (script);
  script_run (script, 0.3);
  assert_string_equal (script_stance (script, old, late), "withdrawn");
  script_free (script);
}

/* A watch's answer that a newer reading has overtaken changes nothing: the leader's key would
 * look free for good, and this node would stand against the leader again and again. */
static void
an_overtaken_watch_is_dropped (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int leader = script_leader (script), other = 1 - leader;
  script_hold (script, leader, "/touch", NULL);
  script_hold (script, other, "/commit", "h/leader");
  script_hold (script, other, WATCH, NULL);
  script_hold (script, other, READING, NULL);
  script_hold (script, leader, "/commit", "h/leader");
  for (int i = 0; i < 100 && script_value (script, "h/leader"); i++)
    script_run (script, 0.05);
  assert_null (script_value (script, "h/leader"));
  ScriptCall *watch = script_call (script, other, WATCH, NULL);
  assert_non_null (watch);
  script_carry_out (script, watch);
  for (int i = 0; i < 100 && !script_value (script, "h/leader"); i++) {
    script_run (script, 0.05); /* with its lapsed claim first, then with a new one */
    if (script_call (script, leader, "/commit", "h/leader"))
      script_answer (script, script_call (script, leader, "/commit", "h/leader"));
  }
  assert_non_null (script_value (script, "h/leader"));
  script_answer (script, script_call (script, other, READING, NULL));
  script_answer (script, watch);
  script_release (script);
  script_hold (script, other, "/commit", "h/leader");
  script_run (script, 8);
  assert_int_equal (script_count (script, other, "/commit", "h/leader"), 0);
  assert_int_equal (script_leader (script), leader);
  script_free (script);
}

/* ---- repeated submissions ---- */

/* The same submission twice at one node and once at another, all on their way at once: one
 * record, and every answer says that it is accepted. */
static void
a_submission_in_flight_is_repeated (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (3);
  int leader = script_leader (script), attempt = (leader + 1) % 3, third_node = (leader + 2) % 3;
  script_hold (script, attempt, "/commit", NULL);
  script_hold (script, third_node, "/commit", NULL);
  guint64 first = script_submit (script, attempt, "job-a", 1),
          second = script_submit (script, attempt, "job-a", 3),
          third = script_submit (script, third_node, "job-a", 1);
  script_tick (script, 0.05);
  assert_int_equal (script_count (script, attempt, "/commit", "job-a"), 2);
  ScriptCall *one = script_call (script, attempt, "/commit", "job-a");
  script_carry_out (script, one);
  guint64 revision = script_stamp (script, "h/j/job-a");
  script_answer (script, script_call (script, third_node, "/commit", "job-a"));
  script_run (script, 0.3);
  assert_int_equal (script_status (script, third_node, third), 200);
  for (guint i = 0; i < script->calls->len; i++)
    if (script->calls->pdata[i] != one &&
        ((ScriptCall *)script->calls->pdata[i])->node == attempt &&
        strcmp (((ScriptCall *)script->calls->pdata[i])->path, "/commit") == 0) {
      script_answer (script, script->calls->pdata[i]);
      break;
    }
  script_run (script, 0.3);
  assert_int_equal (script_status (script, attempt, second), 200);
  assert_int_equal (script_status (script, attempt, first), 0);
  script_answer (script, one);
  assert_int_equal (script_status (script, attempt, first), 201);
  assert_int_equal (script_stamp (script, "h/j/job-a"), revision);
  script_free (script);
}

/* The answer to the write of a submission comes last, after the job was cancelled elsewhere and
 * this node has read that: it does not bring the job back. */
static void
a_late_answer_does_not_bring_a_job_back (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  int leader = script_leader (script), other = 1 - leader;
  script_hold (script, other, "/commit", NULL);
  guint64 first = script_submit (script, other, "job-a", 1);
  script_tick (script, 0.05);
  ScriptCall *write = script_call (script, other, "/commit", "job-a");
  script_carry_out (script, write);
  guint64 again = script_submit (script, leader, "job-a", 1);
  script_run (script, 0.3);
  assert_int_equal (script_status (script, leader, again), 200);
  guint64 abort = script_abort (script, leader, "job-a");
  script_run (script, 0.3);
  assert_string_equal (script_stance (script, leader, abort), "withdrawn");
  script_answer (script, write);
  assert_string_equal (script_stance (script, other, first), "withdrawn");
  assert_string_equal (script_asked (script, other, "job-a"), "withdrawn");
  script_free (script);
}

/* All nodes are asked, and the submission repeated, in the milliseconds after each answer. */
static void
nobody_answers_something_older (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (3);
  int leader = script_leader (script);
  ScriptWorker *worker = script_worker (script, "m-000001");
  script_report (script, worker, leader);
  script_report (script, worker, leader);
  script_place (script, worker, leader, "job-a");
  static const char *const expected[] = {"running", "withdrawn", "done"};
  for (int step = 0; step < 3; step++) {
    const char *id = step == 2 ? "job-b" : "job-a";
    if (step == 1) {
      guint64 abort = script_abort (script, (leader + 1) % 3, id);
      for (int i = 0; i < 40 && !script_status (script, (leader + 1) % 3, abort); i++) {
        script_tick (script, 0.002);
        script_serve (script);
      }
      assert_string_equal (script_stance (script, (leader + 1) % 3, abort), "withdrawn");
    } else if (step == 2) {
      script_run (script, 1);
      script_report (script, worker, leader);
      script_report (script, worker, leader);
      script_place (script, worker, leader, id);
      script_worker_ends (worker, "done");
      script_report (script, worker, leader);
      for (int i = 0; i < 60 && g_strcmp0 (script_asked (script, (leader + 2) % 3, id), "done");
           i++)
        script_tick (script, 0.002);
    }
    for (int round = 0; round < 4; round++)
      for (int node = 0; node < 3; node++) {
        guint64 poll = script_poll (script, node, id), again = script_submit (script, node, id, 1);
        for (int i = 0;
             i < 100 && !(script_reply (script, node, poll) && script_reply (script, node, again));
             i++) {
          script_tick (script, 0.002);
          script_serve (script);
        }
        assert_string_equal (script_stance (script, node, poll), expected[step]);
        assert_string_equal (script_stance (script, node, again), expected[step]);
        assert_int_equal (script_status (script, node, again), 200);
      }
  }
  script_free (script);
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
      cmocka_unit_test (a_new_process_says_nothing_before_it_has_read),
      cmocka_unit_test (a_reading_from_before_a_reset_does_not_count),
      cmocka_unit_test (an_overtaken_watch_is_dropped),
      cmocka_unit_test (a_submission_in_flight_is_repeated),
      cmocka_unit_test (a_late_answer_does_not_bring_a_job_back),
      cmocka_unit_test (nobody_answers_something_older),
  };
  g_log_set_writer_func (script_log, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
