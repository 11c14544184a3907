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
a_job_runs_to_its_end (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  ScriptWorker *w = script_worker (s, "m-000001");
  script_report (s, w, leader);
  script_report (s, w, leader);
  guint64 id = script_submit (s, other, "job-a", 1);
  script_run (s, 1);
  assert_int_equal (script_status (s, other, id), 201);
  for (int i = 0; i < 4; i++) {
    script_report (s, w, leader);
    script_run (s, 1);
  }
  assert_true (script_worker_has (w, "job-a"));
  script_worker_ends (w, "done");
  script_report (s, w, leader);
  script_run (s, 1);
  id = script_poll (s, other, "job-a");
  script_run (s, 0.2);
  assert_string_equal (script_stance (s, other, id), "done");
  script_free (s);
}

#define READING "hold_ms=0"
#define WATCH "hold_ms=10000"

/* ---- the read index ---- */

/* A reading that was sent before the question knows nothing of what was accepted in between. */
static void
a_reading_sent_before_the_question_does_not_answer_it (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  script_hold (s, other, READING, NULL);
  script_hold (s, other, WATCH, NULL);
  guint64 early = script_poll (s, other, "job-a");
  script_tick (s, 0.05);
  ScriptCall *before = script_call (s, other, READING, NULL);
  assert_non_null (before);
  script_carry_out (s, before);
  guint64 id = script_submit (s, leader, "job-a", 1);
  script_run (s, 0.1);
  assert_int_equal (script_status (s, leader, id), 201);
  guint64 late = script_poll (s, other, "job-a");
  script_tick (s, 0.05);
  assert_int_equal (script_count (s, other, READING, NULL), 1);
  script_answer (s, before);
  assert_int_equal (script_status (s, other, early), 404);
  assert_int_equal (script_status (s, other, late), 0);
  script_tick (s, 0.05);
  script_answer (s, script_call (s, other, READING, NULL));
  assert_string_equal (script_stance (s, other, late), "queued");
  script_free (s);
}

/* Hundreds ask at once, close after one another and while a reading is out: one at a time. */
static void
one_reading_serves_all_who_asked_before_it (void **state)
{
  Script *s = script_led (2);
  int other = 1 - script_leader (s);
  GArray *asked = g_array_new (FALSE, FALSE, sizeof (guint64));
  script_submit (s, other, "job-a", 1);
  script_run (s, 0.5);
  script_hold (s, other, READING, NULL);
  for (int i = 0; i < 600; i++) {
    guint64 id = i % 3 == 0   ? script_poll (s, other, "job-a")
                 : i % 3 == 1 ? script_submit (s, other, "job-a", 1)
                              : script_poll (s, other, "job-never");
    g_array_append_val (asked, id);
    script_tick (s, 0.002);
    assert_in_range (script_count (s, other, READING, NULL), 0, 1);
    if (i % 200 == 199)
      script_answer (s, script_call (s, other, READING, NULL));
  }
  script_tick (s, 0.05);
  script_answer (s, script_call (s, other, READING, NULL));
  for (guint i = 0; i < asked->len; i++)
    assert_int_equal (script_status (s, other, g_array_index (asked, guint64, i)),
                      i % 3 == 2 ? 404 : 200);
  g_array_unref (asked);
  script_free (s);
}

/* Too many requests: who asked waits for the next reading, for a while, and is then sent away;
 * nobody is answered from memory. */
static void
a_refused_reading_answers_nobody (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  script_hold (s, other, READING, NULL);
  script_hold (s, other, WATCH, NULL);
  guint64 id = script_poll (s, other, "job-a");
  script_tick (s, 0.05);
  script_submit (s, leader, "job-a", 1);
  script_serve (s);
  script_answer_with (s, script_call (s, other, READING, NULL), 429, "{}");
  assert_int_equal (script_status (s, other, id), 0);
  script_tick (s, 0.05);
  script_answer (s, script_call (s, other, READING, NULL));
  assert_string_equal (script_stance (s, other, id), "queued");
  id = script_poll (s, other, "job-never");
  for (int i = 0; i < 40 && !script_status (s, other, id); i++) {
    script_tick (s, 0.05);
    ScriptCall *call = script_call (s, other, READING, NULL);
    if (call)
      script_answer_with (s, call, 429, "{}");
  }
  assert_int_equal (script_status (s, other, id), 503);
  script_free (s);
}

/* The changes since the last reading are gone: all is read anew, and until then nothing is
 * said of jobs that are not final. */
static void
a_reading_too_old_is_read_anew (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  ScriptWorker *w = script_worker (s, "m-000001");
  script_report (s, w, leader);
  script_report (s, w, leader);
  script_place (s, w, leader, "job-b");
  script_hold (s, leader, "/do", NULL); /* its worker does not hear that it is to end */
  script_submit (s, leader, "job-a", 1);
  script_run (s, 0.5);
  guint64 gone = script_abort (s, other, "job-b");
  script_run (s, 0.5);
  assert_string_equal (script_stance (s, other, gone), "withdrawn");
  assert_null (strstr (script_value (s, "h/j/job-b"), "\"n\":1")); /* no tombstone yet */
  script_hold (s, other, READING, NULL);
  script_hold (s, other, WATCH, NULL);
  script_hold (s, other, "/kv?", NULL);
  script_abort (s, leader, "job-a");
  script_serve (s);
  script_forget_changes (s);
  guint64 id = script_poll (s, other, "job-a");
  script_tick (s, 1.1);
  ScriptCall *reading = script_call (s, other, READING, NULL);
  if (!reading) /* it asks again after a moment */
    script_tick (s, 1.1);
  script_answer (s, script_call (s, other, READING, NULL));
  assert_int_equal (script_status (s, other, id), 503);
  script_tick (s, 0.05);
  assert_non_null (script_call (s, other, "/kv?", NULL));
  id = script_poll (s, other, "job-a");
  assert_int_equal (script_status (s, other, id), 503);
  id = script_submit (s, other, "job-a", 1);
  assert_int_equal (script_status (s, other, id), 503);
  id = script_poll (s, other, "job-b"); /* a final answer, once given, stays */
  assert_string_equal (script_stance (s, other, id), "withdrawn");
  script_release (s);
  script_run (s, 1);
  assert_string_equal (script_asked (s, other, "job-a"), "withdrawn");
  script_free (s);
}

/* A new process answers nothing before it has read the ledger. */
static void
a_new_process_says_nothing_before_it_has_read (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  script_submit (s, leader, "job-a", 1);
  script_run (s, 0.5);
  script_end (s, other);
  script_hold (s, other, "/kv?", NULL);
  script_start (s, other);
  script_tick (s, 0.05);
  guint64 poll = script_poll (s, other, "job-a"), again = script_submit (s, other, "job-a", 1),
          abort = script_abort (s, other, "job-a");
  script_run (s, 1);
  assert_int_equal (script_status (s, other, poll), 503);
  assert_int_equal (script_status (s, other, again), 503);
  assert_int_equal (script_status (s, other, abort), 503);
  /* Rows alone are not enough: the first reading is still out. */
  script_hold (s, other, READING, NULL);
  script_answer (s, script_call (s, other, "/kv?", NULL));
  poll = script_poll (s, other, "job-a");
  assert_int_equal (script_status (s, other, poll), 0);
  script_release (s);
  script_run (s, 0.5);
  assert_string_equal (script_stance (s, other, poll), "queued");
  script_free (s);
}

/* The leader's own key lapses, and another takes over: the leader is deposed. */
static void
depose (Script *s, int leader)
{
  script_hold (s, leader, "/touch", NULL);
  script_hold (s, leader, "/commit", "h/leader");
  for (int i = 0; i < 200 && script_leader (s) == leader; i++)
    script_run (s, 0.05);
  assert_int_not_equal (script_leader (s), leader);
}

/* An answer to a reading from before a reset, when those who wait have asked since. */
static void
a_reading_from_before_a_reset_does_not_count (void **state)
{
  Script *s = script_led (2);
  int old = script_leader (s), next = 1 - old;
  script_submit (s, next, "job-a", 1);
  script_run (s, 0.5);
  script_hold (s, old, READING, NULL);
  guint64 first = script_poll (s, old, "job-a");
  script_tick (s, 0.05);
  ScriptCall *before = script_call (s, old, READING, NULL);
  assert_non_null (before);
  script_carry_out (s, before);
  depose (s, old);
  script_run (s, 1); /* its watch told it; it reads anew */
  assert_int_equal (script_status (s, old, first), 503);
  script_hold (s, old, WATCH, NULL);
  guint readings = 0;
  for (guint i = 0; i < s->calls->len; i++) { /* all but that one, until none is out */
    ScriptCall *call = s->calls->pdata[i];
    if (call == before || !strstr (call->path, READING))
      continue;
    script_answer (s, call);
    script_tick (s, 0.05);
    readings++;
    i = 0;
  }
  assert_true (readings > 0);
  guint64 abort = script_abort (s, next, "job-a");
  script_run (s, 0.3);
  assert_string_equal (script_stance (s, next, abort), "withdrawn");
  guint64 late = script_poll (s, old, "job-a");
  script_tick (s, 0.05);
  assert_int_equal (script_count (s, old, READING, NULL), 2); /* its own is out, and the old one */
  script_answer (s, before);
  assert_int_equal (script_status (s, old, late), 0);
  script_release (s);
  script_run (s, 0.3);
  assert_string_equal (script_stance (s, old, late), "withdrawn");
  script_free (s);
}

/* A watch's answer that a newer reading has overtaken changes nothing: the leader's key would
 * look free for good, and this node would stand against the leader again and again. */
static void
an_overtaken_watch_is_dropped (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  script_hold (s, leader, "/touch", NULL);
  script_hold (s, other, "/commit", "h/leader");
  script_hold (s, other, WATCH, NULL);
  script_hold (s, other, READING, NULL);
  script_hold (s, leader, "/commit", "h/leader");
  for (int i = 0; i < 100 && script_value (s, "h/leader"); i++)
    script_run (s, 0.05);
  assert_null (script_value (s, "h/leader"));
  ScriptCall *watch = script_call (s, other, WATCH, NULL);
  assert_non_null (watch);
  script_carry_out (s, watch);
  for (int i = 0; i < 100 && !script_value (s, "h/leader"); i++) {
    script_run (s, 0.05); /* with its lapsed claim first, then with a new one */
    if (script_call (s, leader, "/commit", "h/leader"))
      script_answer (s, script_call (s, leader, "/commit", "h/leader"));
  }
  assert_non_null (script_value (s, "h/leader"));
  script_answer (s, script_call (s, other, READING, NULL));
  script_answer (s, watch);
  script_release (s);
  script_hold (s, other, "/commit", "h/leader");
  script_run (s, 8);
  assert_int_equal (script_count (s, other, "/commit", "h/leader"), 0);
  assert_int_equal (script_leader (s), leader);
  script_free (s);
}

/* ---- repeated submissions ---- */

/* The same submission twice at one node and once at another, all on their way at once: one
 * record, and every answer says that it is accepted. */
static void
a_submission_in_flight_is_repeated (void **state)
{
  Script *s = script_led (3);
  int leader = script_leader (s), attempt = (leader + 1) % 3, b = (leader + 2) % 3;
  script_hold (s, attempt, "/commit", NULL);
  script_hold (s, b, "/commit", NULL);
  guint64 first = script_submit (s, attempt, "job-a", 1),
          second = script_submit (s, attempt, "job-a", 3), third = script_submit (s, b, "job-a", 1);
  script_tick (s, 0.05);
  assert_int_equal (script_count (s, attempt, "/commit", "job-a"), 2);
  ScriptCall *one = script_call (s, attempt, "/commit", "job-a");
  script_carry_out (s, one);
  guint64 revision = script_stamp (s, "h/j/job-a");
  script_answer (s, script_call (s, b, "/commit", "job-a"));
  script_run (s, 0.3);
  assert_int_equal (script_status (s, b, third), 200);
  for (guint i = 0; i < s->calls->len; i++)
    if (s->calls->pdata[i] != one && ((ScriptCall *)s->calls->pdata[i])->node == attempt &&
        strcmp (((ScriptCall *)s->calls->pdata[i])->path, "/commit") == 0) {
      script_answer (s, s->calls->pdata[i]);
      break;
    }
  script_run (s, 0.3);
  assert_int_equal (script_status (s, attempt, second), 200);
  assert_int_equal (script_status (s, attempt, first), 0);
  script_answer (s, one);
  assert_int_equal (script_status (s, attempt, first), 201);
  assert_int_equal (script_stamp (s, "h/j/job-a"), revision);
  script_free (s);
}

/* The answer to the write of a submission comes last, after the job was withdrawn elsewhere and
 * this node has read that: it does not bring the job back. */
static void
a_late_answer_does_not_bring_a_job_back (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  script_hold (s, other, "/commit", NULL);
  guint64 first = script_submit (s, other, "job-a", 1);
  script_tick (s, 0.05);
  ScriptCall *write = script_call (s, other, "/commit", "job-a");
  script_carry_out (s, write);
  guint64 again = script_submit (s, leader, "job-a", 1);
  script_run (s, 0.3);
  assert_int_equal (script_status (s, leader, again), 200);
  guint64 abort = script_abort (s, leader, "job-a");
  script_run (s, 0.3);
  assert_string_equal (script_stance (s, leader, abort), "withdrawn");
  script_answer (s, write);
  assert_string_equal (script_stance (s, other, first), "withdrawn");
  assert_string_equal (script_asked (s, other, "job-a"), "withdrawn");
  script_free (s);
}

/* All nodes are asked, and the submission repeated, in the milliseconds after each answer. */
static void
nobody_answers_something_older (void **state)
{
  Script *s = script_led (3);
  int leader = script_leader (s);
  ScriptWorker *w = script_worker (s, "m-000001");
  script_report (s, w, leader);
  script_report (s, w, leader);
  script_place (s, w, leader, "job-a");
  static const char *const expected[] = {"running", "withdrawn", "done"};
  for (int step = 0; step < 3; step++) {
    const char *id = step == 2 ? "job-b" : "job-a";
    if (step == 1) {
      guint64 abort = script_abort (s, (leader + 1) % 3, id);
      for (int i = 0; i < 40 && !script_status (s, (leader + 1) % 3, abort); i++) {
        script_tick (s, 0.002);
        script_serve (s);
      }
      assert_string_equal (script_stance (s, (leader + 1) % 3, abort), "withdrawn");
    } else if (step == 2) {
      script_run (s, 1);
      script_report (s, w, leader);
      script_report (s, w, leader);
      script_place (s, w, leader, id);
      script_worker_ends (w, "done");
      script_report (s, w, leader);
      for (int i = 0; i < 60 && g_strcmp0 (script_asked (s, (leader + 2) % 3, id), "done"); i++)
        script_tick (s, 0.002);
    }
    for (int round = 0; round < 4; round++)
      for (int node = 0; node < 3; node++) {
        guint64 poll = script_poll (s, node, id), again = script_submit (s, node, id, 1);
        for (int i = 0; i < 100 && !(script_reply (s, node, poll) && script_reply (s, node, again));
             i++) {
          script_tick (s, 0.002);
          script_serve (s);
        }
        assert_string_equal (script_stance (s, node, poll), expected[step]);
        assert_string_equal (script_stance (s, node, again), expected[step]);
        assert_int_equal (script_status (s, node, again), 200);
      }
  }
  script_free (s);
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
