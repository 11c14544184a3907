/* Meetings of transactions whose answer is lost, late or refused with users' requests, with the
 * end of a job and with a change of leader, message by message (script.h). docs/meetings.md says
 * which meeting each test brings about and which guard it fails without. */
#include "script.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define READING "hold_ms=0"
#define WATCH "hold_ms=10000"

typedef struct {
  Script *s;
  int leader, other;
  ScriptWorker *w;
} Meeting;

/* A leader with a worker that it knows, and another controller. */
static Meeting
meeting (void)
{
  Meeting meeting_row = {.s = script_led (2)};
  meeting_row.leader = script_leader (meeting_row.s);
  meeting_row.other = 1 - meeting_row.leader;
  meeting_row.w = script_worker (meeting_row.s, "m-000001");
  script_report (meeting_row.s, meeting_row.w, meeting_row.leader);
  script_report (meeting_row.s, meeting_row.w, meeting_row.leader);
  return meeting_row;
}

static void
assert_told (Meeting *meeting, const char *id, const char *state)
{
  for (int i = 0; i < meeting->s->n; i++)
    assert_string_equal (script_asked (meeting->s, i, id), state);
}

/* The leader's key lapses and the other takes over. Its own calls are held, so that it does not
 * know; the release is the test's. */
static void
depose_unaware (Meeting *meeting)
{
  script_hold (meeting->s, meeting->leader, READING, NULL);
  script_hold (meeting->s, meeting->leader, WATCH, NULL);
  script_hold (meeting->s, meeting->leader, "/touch", NULL);
  meeting->s->hints = FALSE;
  for (int i = 0; i < 200 && script_leader (meeting->s) == meeting->leader; i++)
    script_run (meeting->s, 0.05);
  assert_int_equal (script_leader (meeting->s), meeting->other);
  script_run (meeting->s, 0.5);
}

/* Every try of the user's write gets lost until the user is told something; held readings are
 * refused, so that the node can't learn of the write otherwise. */
static void
lose_all (Script *script, int node, const char *text, guint64 request)
{
  script_hold (script, node, "/commit", text);
  for (int i = 0; i < 100 && !script_status (script, node, request); i++) {
    ScriptCall *call = script_call (script, node, "/commit", text);
    ScriptCall *reading = script_call (script, node, READING, NULL);
    if (call)
      script_lose (script, call);
    if (reading && reading->held)
      script_answer_with (script, reading, 503, "{}");
    script_run (script, 0.05);
  }
}

/* ---- carried out at once, only the answer is lost ---- */

static void
a_submission_without_answer_is_known_everywhere (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (2);
  Meeting meeting = {script, script_leader (script), 1 - script_leader (script),
                     NULL}; /* no machine: it waits */
  script_hold (script, meeting.other, "/commit", NULL);
  guint64 id = script_submit (script, meeting.other, "job-a", 1);
  script_tick (script, 0.05);
  ScriptCall *write = script_call (script, meeting.other, "/commit", "job-a");
  script_carry_out (script, write);
  script_release (script);
  write->held = TRUE;
  assert_told (&meeting, "job-a", "queued");
  script_hold (script, meeting.other, READING, NULL); /* or it would learn of it at once */
  script_lose (script, write);
  lose_all (script, meeting.other, "job-a", id);
  assert_int_equal (script_status (script, meeting.other, id), 503);
  script_release (script);
  script_run (script, 1.5);
  id = script_submit (script, meeting.other, "job-a", 1);
  script_run (script, 0.3);
  assert_int_equal (script_status (script, meeting.other, id), 200);
  assert_string_equal (script_stance (script, meeting.other, id), "queued");
  script_free (meeting.s);
}

/* Repeated at the same node before that has followed the record: the condition that there is none
 * fails, and the record's job is what is answered. */
static void
a_submission_without_answer_is_repeated (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  script_hold (script, meeting_row.other, "/commit", NULL);
  script_hold (script, meeting_row.other, READING, NULL);
  script_hold (script, meeting_row.other, WATCH, NULL);
  guint64 id = script_submit (script, meeting_row.other, "job-a", 1);
  script_tick (script, 0.05);
  ScriptCall *write = script_call (script, meeting_row.other, "/commit", "job-a");
  script_carry_out (script, write);
  guint64 revision = script_stamp (script, "h/j/job-a");
  lose_all (script, meeting_row.other, "job-a", id);
  assert_int_equal (script_status (script, meeting_row.other, id), 503);
  guint64 abort = script_abort (script, meeting_row.leader, "job-a");
  script_run (script, 0.3);
  assert_string_equal (script_stance (script, meeting_row.leader, abort), "withdrawn");
  id = script_submit (script, meeting_row.other, "job-a", 2);
  script_tick (script, 0.05);
  write = script_call (script, meeting_row.other, "/commit", "job-a");
  assert_non_null (write); /* it knows of none, and tries */
  script_answer (script, write);
  assert_int_equal (script_status (script, meeting_row.other, id), 0);
  script_release (script);
  script_run (script, 0.3);
  assert_int_equal (script_status (script, meeting_row.other, id), 200);
  assert_string_equal (script_stance (script, meeting_row.other, id), "withdrawn");
  assert_true (script_stamp (script, "h/j/job-a") > revision);
  script_free (script);
}

static void
a_cancellation_without_answer_is_known_everywhere (void **state G_GNUC_UNUSED)
{
  for (int at_leader = 0; at_leader < 2; at_leader++) {
    Meeting meeting_row = meeting ();
    Script *script = meeting_row.s;
    int node = at_leader ? meeting_row.leader : meeting_row.other;
    script_place (script, meeting_row.w, meeting_row.leader, "job-a");
    script_hold (script, node, "/commit", "\"s\":2");
    guint64 id = script_abort (script, node, "job-a");
    script_run (script, 0.3);
    ScriptCall *write = script_call (script, node, "/commit", "\"s\":2");
    assert_non_null (write);
    script_carry_out (script, write);
    script_release (script);
    write->held = TRUE;
    assert_told (&meeting_row, "job-a", "withdrawn");
    script_hold (script, node, READING, NULL);
    script_lose (script, write);
    lose_all (script, node, "\"s\":2", id);
    assert_int_equal (script_status (script, node, id), 503);
    script_release (script);
    script_run (script, 1.5);
    id = script_abort (script, node, "job-a");
    script_run (script, 0.3);
    assert_string_equal (script_stance (script, node, id), "withdrawn");
    script_report (script, meeting_row.w, meeting_row.leader);
    assert_false (script_worker_has (meeting_row.w, "job-a"));
    script_free (script);
  }
}

/* Lost once: sent again after a moment, and the user is answered within half a second. */
static void
a_lost_answer_costs_a_moment (void **state G_GNUC_UNUSED)
{
  static const char *const wanted[] = {"queued", "withdrawn"};
  for (int carried_out = 0; carried_out < 2; carried_out++) {
    Script *script = script_led (2);
    int node = 1 - script_leader (script);
    for (int cancels = 0; cancels < 2; cancels++) {
      script_hold (script, node, "/commit", NULL);
      guint64 id =
          cancels ? script_abort (script, node, "job-a") : script_submit (script, node, "job-a", 1);
      script_run (script, 0.1);
      ScriptCall *write = script_call (script, node, "/commit", "job-a");
      assert_non_null (write);
      assert_true (write->timeout < 0.21);
      if (carried_out)
        script_carry_out (script, write);
      guint64 revision = script_stamp (script, "h/j/job-a");
      if (!carried_out)
        script_release (script); /* else a look at the record has to be enough */
      ScriptCall *late = script_delay (script, write);
      script_run (script, 0.15);
      assert_string_equal (script_stance (script, node, id), wanted[cancels]);
      if (carried_out && !cancels) /* the leader's tombstone follows a cancellation */
        assert_int_equal (script_stamp (script, "h/j/job-a"), revision);
      assert_int_equal (script_late (script, late), 409);
      assert_string_equal (script_asked (script, node, "job-a"), wanted[cancels]);
      script_release (script);
    }
    script_free (script);
  }
}

/* The record of an assignment: read before its answer is lost, it counts, and is written once. */
static void
an_assignment_without_answer_is_launched_once (void **state G_GNUC_UNUSED)
{
  for (int by_reading = 0; by_reading < 2; by_reading++) {
    Meeting meeting_row = meeting ();
    Script *script = meeting_row.s;
    script_hold (script, meeting_row.leader, "/commit", "m-000001");
    if (!by_reading) {
      script_hold (script, meeting_row.leader, READING, NULL);
      script_hold (script, meeting_row.leader, WATCH, NULL);
    }
    script_submit (script, meeting_row.leader, "job-a", 1);
    script_run (script, 0.5);
    ScriptCall *write = script_call (script, meeting_row.leader, "/commit", "m-000001");
    assert_non_null (write);
    script_carry_out (script, write);
    guint64 revision = script_stamp (script, "h/j/job-a");
    script_run (script, 0.5);
    if (by_reading) /* it has read its own tag */
      assert_true (script_worker_has (meeting_row.w, "job-a"));
    else
      assert_false (script_worker_has (meeting_row.w, "job-a"));
    script_lose (script, write);
    if (!by_reading) { /* sent again, and refused: it looks before it writes anything else */
      script_run (script, 0.2);
      write = script_call (script, meeting_row.leader, "/commit", "m-000001");
      assert_non_null (write);
      script_answer (script, write);
      script_run (script, 0.5);
      assert_null (script_call (script, meeting_row.leader, "/commit", "m-000001"));
    }
    script_release (script);
    script_run (script, 1);
    script_report (script, meeting_row.w, meeting_row.leader);
    assert_true (script_worker_has (meeting_row.w, "job-a"));
    assert_int_equal (meeting_row.w->tasks->len, 1);
    assert_int_equal (script_stamp (script, "h/j/job-a"), revision);
    script_free (script);
  }
}

/* The tombstone of a job that is done: told as soon as it is read, and written once. */
static void
a_tombstone_without_answer_is_told (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  script_place (script, meeting_row.w, meeting_row.leader, "job-a");
  script_hold (script, meeting_row.leader, "/commit", "\"s\":1");
  script_worker_ends (meeting_row.w, "done");
  script_report (script, meeting_row.w, meeting_row.leader);
  script_run (script, 0.5);
  ScriptCall *write = script_call (script, meeting_row.leader, "/commit", "\"s\":1");
  assert_non_null (write);
  for (int i = 0; i < 2; i++) /* done in the leader's memory alone */
    assert_string_not_equal (script_asked (script, i, "job-a"), "done");
  script_carry_out (script, write);
  guint64 revision = script_stamp (script, "h/j/job-a");
  assert_string_equal (script_asked (script, meeting_row.other, "job-a"), "done");
  assert_string_equal (script_asked (script, meeting_row.leader, "job-a"), "done");
  script_lose (script, write);
  script_release (script);
  script_run (script, 1);
  assert_told (&meeting_row, "job-a", "done");
  assert_int_equal (script_stamp (script, "h/j/job-a"), revision);
  script_free (script);
}

/* The leader record is written, and nobody tells the writer: what it reads decides. */
static void
an_election_without_answer_is_read (void **state G_GNUC_UNUSED)
{
  Script *script = script_new (2);
  script_hold (script, 0, "/commit", "h/leader");
  script_hold (script, 1, "/commit", "h/leader");
  for (int i = 0; i < 100 && !script_call (script, 0, "/commit", "h/leader"); i++)
    script_run (script, 0.05);
  ScriptCall *write = script_call (script, 0, "/commit", "h/leader");
  assert_non_null (write);
  script_carry_out (script, write);
  script_run (script, 0.2);
  script_lose (script, write);
  script_release (script);
  script_run (script, 3);
  assert_int_equal (script_leader (script), 0);
  ScriptWorker *worker = script_worker (script, "m-000001");
  assert_int_equal (script_report (script, worker, 0), 200);
  assert_int_equal (script_report (script, worker, 1), 421);
  script_free (script);
}

/* ---- carried out late, after newer ones of the same controller ---- */

/* The submission whose answer was lost comes when the job is over. */
static void
a_late_submission_does_not_bring_a_job_back (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  script_hold (script, meeting_row.other, "/commit", NULL);
  script_submit (script, meeting_row.other, "job-a", 1);
  script_tick (script, 0.05);
  ScriptCall *late =
      script_delay (script, script_call (script, meeting_row.other, "/commit", "job-a"));
  script_release (script);
  script_place (script, meeting_row.w, meeting_row.other,
                "job-a"); /* by the next try, and by a repetition */
  script_worker_ends (meeting_row.w, "done");
  script_report (script, meeting_row.w, meeting_row.leader);
  script_run (script, 1);
  assert_told (&meeting_row, "job-a", "done");
  assert_int_equal (script_late (script, late), 409);
  script_run (script, 1);
  assert_told (&meeting_row, "job-a", "done");
  script_free (script);
}

/* The cancellation that nobody confirmed comes after the job is done. */
static void
a_late_cancellation_does_not_undo_an_end (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  script_place (script, meeting_row.w, meeting_row.leader, "job-a");
  script_hold (script, meeting_row.other, "/commit", NULL);
  guint64 id = script_abort (script, meeting_row.other, "job-a");
  script_run (script, 0.3);
  ScriptCall *late =
      script_delay (script, script_call (script, meeting_row.other, "/commit", "job-a"));
  lose_all (script, meeting_row.other, "job-a", id);
  assert_int_equal (script_status (script, meeting_row.other, id), 503);
  script_release (script);
  script_worker_ends (meeting_row.w, "done");
  script_report (script, meeting_row.w, meeting_row.leader);
  script_run (script, 1);
  assert_told (&meeting_row, "job-a", "done");
  assert_int_equal (script_late (script, late), 409);
  script_run (script, 1);
  assert_told (&meeting_row, "job-a", "done");
  script_free (script);
}

/* An assignment of a leader that another has followed: neither recorded nor launched. */
static void
a_late_assignment_of_a_former_leader_fails (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  script_hold (script, meeting_row.leader, "/commit", "m-000001");
  script_submit (script, meeting_row.leader, "job-a", 1);
  script_run (script, 0.5);
  ScriptCall *write = script_call (script, meeting_row.leader, "/commit", "m-000001");
  assert_non_null (write);
  depose_unaware (&meeting_row);
  guint64 revision = script_stamp (script, "h/j/job-a");
  script_carry_out (script, write);
  assert_int_equal (write->status, 409);
  assert_int_equal (script_stamp (script, "h/j/job-a"), revision);
  script_free (script);
}

/* The tombstone of a former leader comes late, after another has seen the task end too. */
static void
a_late_tombstone_of_a_former_leader_fails (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  script_place (script, meeting_row.w, meeting_row.leader, "job-a");
  script_hold (script, meeting_row.leader, "/commit", "\"s\":1");
  script_worker_ends (meeting_row.w, "done");
  script_report (script, meeting_row.w, meeting_row.leader);
  script_run (script, 0.5);
  ScriptCall *write = script_call (script, meeting_row.leader, "/commit", "\"s\":1");
  assert_non_null (write);
  depose_unaware (&meeting_row);
  guint64 abort = script_abort (script, meeting_row.other, "job-a");
  script_run (script, 0.3);
  assert_string_equal (script_stance (script, meeting_row.other, abort), "withdrawn");
  script_carry_out (script, write);
  assert_int_equal (write->status, 409);
  script_release (script);
  script->hints = TRUE;
  script_run (script, 2);
  assert_told (&meeting_row, "job-a", "withdrawn");
  script_free (script);
}

/* A leader's writes of the leader record and of its key: late, after another leads; and with a
 * claim that has ended meanwhile, when nobody leads. */
static void
a_late_election_changes_nothing (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  /* The other stands once, unheard; then the leader's key lapses, and it stands again. */
  script_hold (script, meeting_row.leader, "/touch", NULL);
  script_hold (script, meeting_row.leader, "/commit", "h/leader");
  script_hold (script, meeting_row.other, "/commit", "h/leader");
  for (int i = 0; i < 200 && !script_call (script, meeting_row.other, "/commit", "h/leader"); i++)
    script_run (script, 0.05);
  ScriptCall *late =
      script_delay (script, script_call (script, meeting_row.other, "/commit", "h/leader"));
  for (int i = 0; i < 200 && !script_call (script, meeting_row.other, "/commit", "h/leader"); i++)
    script_run (script, 0.05);
  ScriptCall *later =
      script_delay (script, script_call (script, meeting_row.other, "/commit", "h/leader"));
  script_release (script);
  for (int i = 0; i < 200 && script_leader (script) != meeting_row.other; i++)
    script_run (script, 0.05);
  guint64 map = script_stamp (script, "h/map");
  assert_int_equal (script_late (script, late), 409);
  assert_int_equal (script_stamp (script, "h/map"), map);
  /* The process ends; its claim lapses; its write comes then. */
  script_end (script, meeting_row.other);
  script_hold (script, meeting_row.leader, "/commit", "h/leader");
  script_run (script, 10);
  assert_null (script_value (script, "h/leader"));
  assert_int_equal (script_late (script, later), 400);
  assert_null (script_value (script, "h/leader"));
  script_free (script);
}

/* ---- a cancellation at the end of the last task ---- */

/* Both are on their way at once; whichever is carried out first decides, at every node. */
static void
a_cancellation_meets_the_end (void **state G_GNUC_UNUSED)
{
  for (int variant = 0; variant < 4; variant++) {
    gboolean at_leader = variant & 1, end_first = variant & 2;
    Meeting meeting_row = meeting ();
    Script *script = meeting_row.s;
    int node = at_leader ? meeting_row.leader : meeting_row.other;
    script_place (script, meeting_row.w, meeting_row.leader, "job-a");
    script_hold (script, meeting_row.leader, "/commit", "\"s\":1");
    script_hold (script, node, "/commit", "\"s\":2");
    script_worker_ends (meeting_row.w, "done");
    script_report (script, meeting_row.w, meeting_row.leader);
    guint64 abort = script_abort (script, node, "job-a");
    script_run (script, 0.5);
    ScriptCall *end = script_call (script, meeting_row.leader, "/commit", "\"s\":1");
    ScriptCall *withdrawal = script_call (script, node, "/commit", "\"s\":2");
    assert_non_null (end);
    assert_non_null (withdrawal);
    script_carry_out (script, end_first ? end : withdrawal);
    script_carry_out (script, end_first ? withdrawal : end);
    assert_int_equal (end_first ? withdrawal->status : end->status, 409);
    guint64 poll = script_poll (script, meeting_row.other, "job-a"),
            again = script_submit (script, node, "job-a", 1);
    script_run (script, 0.3);
    const char *stance = end_first ? "done" : "withdrawn";
    assert_string_equal (script_stance (script, meeting_row.other, poll), stance);
    assert_string_equal (script_stance (script, node, again), stance);
    script_answer (script, end);
    script_answer (script, withdrawal);
    script_release (script);
    script_run (script, 1);
    assert_string_equal (script_stance (script, node, abort), stance);
    assert_told (&meeting_row, "job-a", stance);
    script_report (script, meeting_row.w, meeting_row.leader);
    script_report (script, meeting_row.w, meeting_row.leader);
    script_run (script, 1);
    assert_told (&meeting_row, "job-a", stance);
    script_free (script);
  }
}

/* With no trouble at all: the tasks go, whoever confirmed it. */
static void
a_cancellation_stops_the_tasks (void **state G_GNUC_UNUSED)
{
  for (int at_leader = 0; at_leader < 2; at_leader++) {
    Meeting meeting_row = meeting ();
    Script *script = meeting_row.s;
    int node = at_leader ? meeting_row.leader : meeting_row.other;
    script_place (script, meeting_row.w, meeting_row.leader, "job-a");
    guint64 abort = script_abort (script, node, "job-a");
    script_run (script, 0.5);
    assert_string_equal (script_stance (script, node, abort), "withdrawn");
    assert_false (script_worker_has (meeting_row.w, "job-a"));
    script_report (script, meeting_row.w, meeting_row.leader);
    script_report (script, meeting_row.w, meeting_row.leader);
    script_run (script, 1);
    assert_non_null (strstr (script_value (script, "h/j/job-a"), "\"n\":1")); /* the tombstone */
    script_free (script);
  }
}

/* ---- hand-over ---- */

/* A controller that no longer leads, and does not know, confirms a cancellation: the next one
 * stops the tasks. */
static void
a_former_leader_confirms_a_cancellation (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  script_place (script, meeting_row.w, meeting_row.leader, "job-a");
  depose_unaware (&meeting_row);
  assert_int_equal (script_report (script, meeting_row.w, meeting_row.other), 200);
  assert_int_equal (script_report (script, meeting_row.w, meeting_row.other), 200);
  assert_true (script_worker_has (meeting_row.w, "job-a"));
  guint64 abort = script_abort (script, meeting_row.leader, "job-a");
  script_tick (script, 0.05); /* one reading of its own, which does not bring the leader record */
  ScriptCall *reading = script_call (script, meeting_row.leader, READING, NULL);
  g_autofree char *nothing = g_strdup_printf ("{\"epoch\":0,\"log\":[]}");
  script_answer_with (script, reading, 200, nothing);
  script_run (script, 0.3);
  if (!script_status (script, meeting_row.leader, abort)) {
    script_tick (script, 0.05);
    script_answer_with (script, script_call (script, meeting_row.leader, READING, NULL), 200,
                        nothing);
    script_run (script, 0.3);
  }
  assert_string_equal (script_stance (script, meeting_row.leader, abort), "withdrawn");
  script_run (script, 0.5);
  script_report (script, meeting_row.w, meeting_row.other);
  assert_false (script_worker_has (meeting_row.w, "job-a"));
  script->hints = TRUE;
  script_release (script);
  script_run (script, 2);
  assert_told (&meeting_row, "job-a", "withdrawn");
  script_free (script);
}

/* Confirmed after the leader record was written and before the new leader has read it. */
static void
a_cancellation_falls_into_the_hand_over (void **state G_GNUC_UNUSED)
{
  Script *script = script_led (3);
  int old = script_leader (script);
  ScriptWorker *worker = script_worker (script, "m-000001");
  script_report (script, worker, old);
  script_report (script, worker, old);
  script_place (script, worker, old, "job-a");
  for (int i = 0; i < 3; i++)
    script_hold (script, i, "/commit", "h/leader");
  script_end (script, old);
  int next = -1;
  for (int i = 0; i < 400 && next < 0; i++) {
    script_run (script, 0.05);
    for (int k = 0; k < 3; k++)
      if (k != old && script_call (script, k, "/commit", "h/leader"))
        next = k;
  }
  int third = 3 - old - next;
  script_hold (script, next, READING, NULL);
  script_hold (script, next, WATCH, NULL);
  ScriptCall *write = script_call (script, next, "/commit", "h/leader");
  script_carry_out (script, write);
  guint64 abort = script_abort (script, third, "job-a");
  script_run (script, 0.3);
  assert_string_equal (script_stance (script, third, abort), "withdrawn");
  script_answer (script, write);
  script_release (script);
  script_run (script, 1);
  assert_int_equal (script_leader (script), next);
  for (int i = 0; i < 3; i++)
    script_report (script, worker, next);
  assert_false (script_worker_has (worker, "job-a"));
  script_run (script, 1);
  assert_string_equal (script_asked (script, next, "job-a"), "withdrawn");
  script_free (script);
}

/* The changes since the leader's last reading are gone: it reads anew and has forgotten which of
 * its orders are on their way. The worker's report lacks the task, which is placed anew; so the
 * old order, when it comes, must be void. */
static void
a_leader_that_reads_anew_voids_its_orders (void **state G_GNUC_UNUSED)
{
  Meeting meeting_row = meeting ();
  Script *script = meeting_row.s;
  ScriptWorker *other = script_worker (script, "m-000002");
  script_hold (script, meeting_row.leader, "/do", NULL);
  script_submit (script, meeting_row.other, "job-a", 1);
  script_run (script, 0.5);
  ScriptCall *order = script_call (script, meeting_row.leader, "/do", "job-a");
  assert_non_null (order); /* still on its way */
  script_hold (script, meeting_row.leader, READING, NULL);
  script_hold (script, meeting_row.leader, WATCH, NULL);
  script_tick (script, 1.1);
  script_submit (script, meeting_row.other, "job-b", 1); /* so that there is a change to miss */
  script_serve (script);
  script_forget_changes (script);
  script_answer (script, script_call (script, meeting_row.leader, READING, NULL));
  script_release (script);
  order->held = TRUE;
  for (int i = 0; i < 40; i++) {
    script_run (script, 0.5);
    int leader = script_leader (script);
    if (script_report (script, meeting_row.w, leader) == 200 && i > 2)
      script_report (script, other, leader);
  }
  assert_true (script_worker_has (meeting_row.w, "job-a") || script_worker_has (other, "job-a"));
  assert_int_equal (script_direct (meeting_row.w, order), 409);
  script_free (script);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_submission_without_answer_is_known_everywhere),
      cmocka_unit_test (a_submission_without_answer_is_repeated),
      cmocka_unit_test (a_cancellation_without_answer_is_known_everywhere),
      cmocka_unit_test (a_lost_answer_costs_a_moment),
      cmocka_unit_test (an_assignment_without_answer_is_launched_once),
      cmocka_unit_test (a_tombstone_without_answer_is_told),
      cmocka_unit_test (an_election_without_answer_is_read),
      cmocka_unit_test (a_late_submission_does_not_bring_a_job_back),
      cmocka_unit_test (a_late_cancellation_does_not_undo_an_end),
      cmocka_unit_test (a_late_assignment_of_a_former_leader_fails),
      cmocka_unit_test (a_late_tombstone_of_a_former_leader_fails),
      cmocka_unit_test (a_late_election_changes_nothing),
      cmocka_unit_test (a_cancellation_meets_the_end),
      cmocka_unit_test (a_cancellation_stops_the_tasks),
      cmocka_unit_test (a_former_leader_confirms_a_cancellation),
      cmocka_unit_test (a_cancellation_falls_into_the_hand_over),
      cmocka_unit_test (a_leader_that_reads_anew_voids_its_orders),
  };
  g_log_set_writer_func (script_log, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
