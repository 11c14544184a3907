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
  Meeting m = {.s = script_led (2)};
  m.leader = script_leader (m.s);
  m.other = 1 - m.leader;
  m.w = script_worker (m.s, "m-000001");
  script_report (m.s, m.w, m.leader);
  script_report (m.s, m.w, m.leader);
  return m;
}

static void
assert_told (Meeting *m, const char *id, const char *state)
{
  for (int i = 0; i < m->s->n; i++)
    assert_string_equal (script_asked (m->s, i, id), state);
}

/* The leader's key lapses and the other takes over. Its own calls are held, so that it does not
 * know; the release is the test's. */
static void
depose_unaware (Meeting *m)
{
  script_hold (m->s, m->leader, READING, NULL);
  script_hold (m->s, m->leader, WATCH, NULL);
  script_hold (m->s, m->leader, "/touch", NULL);
  m->s->hints = FALSE;
  for (int i = 0; i < 200 && script_leader (m->s) == m->leader; i++)
    script_run (m->s, 0.05);
  assert_int_equal (script_leader (m->s), m->other);
  script_run (m->s, 0.5);
}

/* Every try of the user's write gets lost until the user is told something; held readings are
 * refused, so that the node can't learn of the write otherwise. */
static void
lose_all (Script *s, int node, const char *text, guint64 request)
{
  script_hold (s, node, "/commit", text);
  for (int i = 0; i < 100 && !script_status (s, node, request); i++) {
    ScriptCall *call = script_call (s, node, "/commit", text);
    ScriptCall *reading = script_call (s, node, READING, NULL);
    if (call)
      script_lose (s, call);
    if (reading && reading->held)
      script_answer_with (s, reading, 503, "{}");
    script_run (s, 0.05);
  }
}

/* ---- carried out at once, only the answer is lost ---- */

static void
a_submission_without_answer_is_known_everywhere (void **state)
{
  Script *s = script_led (2);
  Meeting m = {s, script_leader (s), 1 - script_leader (s), NULL}; /* no machine: it waits */
  script_hold (s, m.other, "/commit", NULL);
  guint64 id = script_submit (s, m.other, "job-a", 1);
  script_tick (s, 0.05);
  ScriptCall *write = script_call (s, m.other, "/commit", "job-a");
  script_carry_out (s, write);
  script_release (s);
  write->held = TRUE;
  assert_told (&m, "job-a", "queued");
  script_hold (s, m.other, READING, NULL); /* or it would learn of it at once */
  script_lose (s, write);
  lose_all (s, m.other, "job-a", id);
  assert_int_equal (script_status (s, m.other, id), 503);
  script_release (s);
  script_run (s, 1.5);
  id = script_submit (s, m.other, "job-a", 1);
  script_run (s, 0.3);
  assert_int_equal (script_status (s, m.other, id), 200);
  assert_string_equal (script_stance (s, m.other, id), "queued");
  script_free (m.s);
}

/* Repeated at the same node before that has followed the record: the condition that there is none
 * fails, and the record's job is what is answered. */
static void
a_submission_without_answer_is_repeated (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  script_hold (s, m.other, "/commit", NULL);
  script_hold (s, m.other, READING, NULL);
  script_hold (s, m.other, WATCH, NULL);
  guint64 id = script_submit (s, m.other, "job-a", 1);
  script_tick (s, 0.05);
  ScriptCall *write = script_call (s, m.other, "/commit", "job-a");
  script_carry_out (s, write);
  guint64 revision = script_stamp (s, "h/j/job-a");
  lose_all (s, m.other, "job-a", id);
  assert_int_equal (script_status (s, m.other, id), 503);
  guint64 abort = script_abort (s, m.leader, "job-a");
  script_run (s, 0.3);
  assert_string_equal (script_stance (s, m.leader, abort), "withdrawn");
  id = script_submit (s, m.other, "job-a", 2);
  script_tick (s, 0.05);
  write = script_call (s, m.other, "/commit", "job-a");
  assert_non_null (write); /* it knows of none, and tries */
  script_answer (s, write);
  assert_int_equal (script_status (s, m.other, id), 0);
  script_release (s);
  script_run (s, 0.3);
  assert_int_equal (script_status (s, m.other, id), 200);
  assert_string_equal (script_stance (s, m.other, id), "withdrawn");
  assert_true (script_stamp (s, "h/j/job-a") > revision);
  script_free (s);
}

static void
a_cancellation_without_answer_is_known_everywhere (void **state)
{
  for (int at_leader = 0; at_leader < 2; at_leader++) {
    Meeting m = meeting ();
    Script *s = m.s;
    int node = at_leader ? m.leader : m.other;
    script_place (s, m.w, m.leader, "job-a");
    script_hold (s, node, "/commit", "\"s\":2");
    guint64 id = script_abort (s, node, "job-a");
    script_run (s, 0.3);
    ScriptCall *write = script_call (s, node, "/commit", "\"s\":2");
    assert_non_null (write);
    script_carry_out (s, write);
    script_release (s);
    write->held = TRUE;
    assert_told (&m, "job-a", "withdrawn");
    script_hold (s, node, READING, NULL);
    script_lose (s, write);
    lose_all (s, node, "\"s\":2", id);
    assert_int_equal (script_status (s, node, id), 503);
    script_release (s);
    script_run (s, 1.5);
    id = script_abort (s, node, "job-a");
    script_run (s, 0.3);
    assert_string_equal (script_stance (s, node, id), "withdrawn");
    script_report (s, m.w, m.leader);
    assert_false (script_worker_has (m.w, "job-a"));
    script_free (s);
  }
}

/* Lost once: sent again after a moment, and the user is answered within half a second. */
static void
a_lost_answer_costs_a_moment (void **state)
{
  static const char *const wanted[] = {"queued", "withdrawn"};
  for (int carried_out = 0; carried_out < 2; carried_out++) {
    Script *s = script_led (2);
    int node = 1 - script_leader (s);
    for (int cancels = 0; cancels < 2; cancels++) {
      script_hold (s, node, "/commit", NULL);
      guint64 id = cancels ? script_abort (s, node, "job-a") : script_submit (s, node, "job-a", 1);
      script_run (s, 0.1);
      ScriptCall *write = script_call (s, node, "/commit", "job-a");
      assert_non_null (write);
      assert_true (write->timeout < 0.21);
      if (carried_out)
        script_carry_out (s, write);
      guint64 revision = script_stamp (s, "h/j/job-a");
      if (!carried_out)
        script_release (s); /* else a look at the record has to be enough */
      ScriptCall *late = script_delay (s, write);
      script_run (s, 0.15);
      assert_string_equal (script_stance (s, node, id), wanted[cancels]);
      if (carried_out && !cancels) /* the leader's tombstone follows a cancellation */
        assert_int_equal (script_stamp (s, "h/j/job-a"), revision);
      assert_int_equal (script_late (s, late), 409);
      assert_string_equal (script_asked (s, node, "job-a"), wanted[cancels]);
      script_release (s);
    }
    script_free (s);
  }
}

/* The record of an assignment: read before its answer is lost, it counts, and is written once. */
static void
an_assignment_without_answer_is_launched_once (void **state)
{
  for (int by_reading = 0; by_reading < 2; by_reading++) {
    Meeting m = meeting ();
    Script *s = m.s;
    script_hold (s, m.leader, "/commit", "m-000001");
    if (!by_reading) {
      script_hold (s, m.leader, READING, NULL);
      script_hold (s, m.leader, WATCH, NULL);
    }
    script_submit (s, m.leader, "job-a", 1);
    script_run (s, 0.5);
    ScriptCall *write = script_call (s, m.leader, "/commit", "m-000001");
    assert_non_null (write);
    script_carry_out (s, write);
    guint64 revision = script_stamp (s, "h/j/job-a");
    script_run (s, 0.5);
    if (by_reading) /* it has read its own tag */
      assert_true (script_worker_has (m.w, "job-a"));
    else
      assert_false (script_worker_has (m.w, "job-a"));
    script_lose (s, write);
    if (!by_reading) { /* sent again, and refused: it looks before it writes anything else */
      script_run (s, 0.2);
      write = script_call (s, m.leader, "/commit", "m-000001");
      assert_non_null (write);
      script_answer (s, write);
      script_run (s, 0.5);
      assert_null (script_call (s, m.leader, "/commit", "m-000001"));
    }
    script_release (s);
    script_run (s, 1);
    script_report (s, m.w, m.leader);
    assert_true (script_worker_has (m.w, "job-a"));
    assert_int_equal (m.w->tasks->len, 1);
    assert_int_equal (script_stamp (s, "h/j/job-a"), revision);
    script_free (s);
  }
}

/* The tombstone of a job that is done: told as soon as it is read, and written once. */
static void
a_tombstone_without_answer_is_told (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  script_place (s, m.w, m.leader, "job-a");
  script_hold (s, m.leader, "/commit", "\"s\":1");
  script_worker_ends (m.w, "done");
  script_report (s, m.w, m.leader);
  script_run (s, 0.5);
  ScriptCall *write = script_call (s, m.leader, "/commit", "\"s\":1");
  assert_non_null (write);
  for (int i = 0; i < 2; i++) /* done in the leader's memory alone */
    assert_string_not_equal (script_asked (s, i, "job-a"), "done");
  script_carry_out (s, write);
  guint64 revision = script_stamp (s, "h/j/job-a");
  assert_string_equal (script_asked (s, m.other, "job-a"), "done");
  assert_string_equal (script_asked (s, m.leader, "job-a"), "done");
  script_lose (s, write);
  script_release (s);
  script_run (s, 1);
  assert_told (&m, "job-a", "done");
  assert_int_equal (script_stamp (s, "h/j/job-a"), revision);
  script_free (s);
}

/* The map is written, and nobody tells the writer: what it reads decides. */
static void
an_election_without_answer_is_read (void **state)
{
  Script *s = script_new (2);
  script_hold (s, 0, "/commit", "h/leader");
  script_hold (s, 1, "/commit", "h/leader");
  for (int i = 0; i < 100 && !script_call (s, 0, "/commit", "h/leader"); i++)
    script_run (s, 0.05);
  ScriptCall *write = script_call (s, 0, "/commit", "h/leader");
  assert_non_null (write);
  script_carry_out (s, write);
  script_run (s, 0.2);
  script_lose (s, write);
  script_release (s);
  script_run (s, 3);
  assert_int_equal (script_leader (s), 0);
  ScriptWorker *w = script_worker (s, "m-000001");
  assert_int_equal (script_report (s, w, 0), 200);
  assert_int_equal (script_report (s, w, 1), 421);
  script_free (s);
}

/* ---- carried out late, after newer ones of the same controller ---- */

/* The submission whose answer was lost comes when the job is over. */
static void
a_late_submission_does_not_bring_a_job_back (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  script_hold (s, m.other, "/commit", NULL);
  script_submit (s, m.other, "job-a", 1);
  script_tick (s, 0.05);
  ScriptCall *late = script_delay (s, script_call (s, m.other, "/commit", "job-a"));
  script_release (s);
  script_place (s, m.w, m.other, "job-a"); /* by the next try, and by a repetition */
  script_worker_ends (m.w, "done");
  script_report (s, m.w, m.leader);
  script_run (s, 1);
  assert_told (&m, "job-a", "done");
  assert_int_equal (script_late (s, late), 409);
  script_run (s, 1);
  assert_told (&m, "job-a", "done");
  script_free (s);
}

/* The cancellation that nobody confirmed comes after the job is done. */
static void
a_late_cancellation_does_not_undo_an_end (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  script_place (s, m.w, m.leader, "job-a");
  script_hold (s, m.other, "/commit", NULL);
  guint64 id = script_abort (s, m.other, "job-a");
  script_run (s, 0.3);
  ScriptCall *late = script_delay (s, script_call (s, m.other, "/commit", "job-a"));
  lose_all (s, m.other, "job-a", id);
  assert_int_equal (script_status (s, m.other, id), 503);
  script_release (s);
  script_worker_ends (m.w, "done");
  script_report (s, m.w, m.leader);
  script_run (s, 1);
  assert_told (&m, "job-a", "done");
  assert_int_equal (script_late (s, late), 409);
  script_run (s, 1);
  assert_told (&m, "job-a", "done");
  script_free (s);
}

/* An assignment of a leader that another has followed: neither recorded nor launched. */
static void
a_late_assignment_of_a_former_leader_fails (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  script_hold (s, m.leader, "/commit", "m-000001");
  script_submit (s, m.leader, "job-a", 1);
  script_run (s, 0.5);
  ScriptCall *write = script_call (s, m.leader, "/commit", "m-000001");
  assert_non_null (write);
  depose_unaware (&m);
  guint64 revision = script_stamp (s, "h/j/job-a");
  script_carry_out (s, write);
  assert_int_equal (write->status, 409);
  assert_int_equal (script_stamp (s, "h/j/job-a"), revision);
  script_free (s);
}

/* The tombstone of a former leader comes late, after another has seen the task end too. */
static void
a_late_tombstone_of_a_former_leader_fails (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  script_place (s, m.w, m.leader, "job-a");
  script_hold (s, m.leader, "/commit", "\"s\":1");
  script_worker_ends (m.w, "done");
  script_report (s, m.w, m.leader);
  script_run (s, 0.5);
  ScriptCall *write = script_call (s, m.leader, "/commit", "\"s\":1");
  assert_non_null (write);
  depose_unaware (&m);
  guint64 abort = script_abort (s, m.other, "job-a");
  script_run (s, 0.3);
  assert_string_equal (script_stance (s, m.other, abort), "withdrawn");
  script_carry_out (s, write);
  assert_int_equal (write->status, 409);
  script_release (s);
  s->hints = TRUE;
  script_run (s, 2);
  assert_told (&m, "job-a", "withdrawn");
  script_free (s);
}

/* A leader's writes of the map and of its key: late, after another leads; and with a claim that
 * has ended meanwhile, when nobody leads. */
static void
a_late_election_changes_nothing (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  /* The other stands once, unheard; then the leader's key lapses, and it stands again. */
  script_hold (s, m.leader, "/touch", NULL);
  script_hold (s, m.leader, "/commit", "h/leader");
  script_hold (s, m.other, "/commit", "h/leader");
  for (int i = 0; i < 200 && !script_call (s, m.other, "/commit", "h/leader"); i++)
    script_run (s, 0.05);
  ScriptCall *late = script_delay (s, script_call (s, m.other, "/commit", "h/leader"));
  for (int i = 0; i < 200 && !script_call (s, m.other, "/commit", "h/leader"); i++)
    script_run (s, 0.05);
  ScriptCall *later = script_delay (s, script_call (s, m.other, "/commit", "h/leader"));
  script_release (s);
  for (int i = 0; i < 200 && script_leader (s) != m.other; i++)
    script_run (s, 0.05);
  guint64 map = script_stamp (s, "h/map");
  assert_int_equal (script_late (s, late), 409);
  assert_int_equal (script_stamp (s, "h/map"), map);
  /* The process ends; its claim lapses; its write comes then. */
  script_end (s, m.other);
  script_hold (s, m.leader, "/commit", "h/leader");
  script_run (s, 10);
  assert_null (script_value (s, "h/leader"));
  assert_int_equal (script_late (s, later), 400);
  assert_null (script_value (s, "h/leader"));
  script_free (s);
}

/* ---- a cancellation at the end of the last task ---- */

/* Both are on their way at once; whichever is carried out first decides, at every node. */
static void
a_cancellation_meets_the_end (void **state)
{
  for (int variant = 0; variant < 4; variant++) {
    gboolean at_leader = variant & 1, end_first = variant & 2;
    Meeting m = meeting ();
    Script *s = m.s;
    int node = at_leader ? m.leader : m.other;
    script_place (s, m.w, m.leader, "job-a");
    script_hold (s, m.leader, "/commit", "\"s\":1");
    script_hold (s, node, "/commit", "\"s\":2");
    script_worker_ends (m.w, "done");
    script_report (s, m.w, m.leader);
    guint64 abort = script_abort (s, node, "job-a");
    script_run (s, 0.5);
    ScriptCall *end = script_call (s, m.leader, "/commit", "\"s\":1");
    ScriptCall *withdrawal = script_call (s, node, "/commit", "\"s\":2");
    assert_non_null (end);
    assert_non_null (withdrawal);
    script_carry_out (s, end_first ? end : withdrawal);
    script_carry_out (s, end_first ? withdrawal : end);
    assert_int_equal (end_first ? withdrawal->status : end->status, 409);
    guint64 poll = script_poll (s, m.other, "job-a"), again = script_submit (s, node, "job-a", 1);
    script_run (s, 0.3);
    const char *stance = end_first ? "done" : "withdrawn";
    assert_string_equal (script_stance (s, m.other, poll), stance);
    assert_string_equal (script_stance (s, node, again), stance);
    script_answer (s, end);
    script_answer (s, withdrawal);
    script_release (s);
    script_run (s, 1);
    assert_string_equal (script_stance (s, node, abort), stance);
    assert_told (&m, "job-a", stance);
    script_report (s, m.w, m.leader);
    script_report (s, m.w, m.leader);
    script_run (s, 1);
    assert_told (&m, "job-a", stance);
    script_free (s);
  }
}

/* With no trouble at all: the tasks go, whoever confirmed it. */
static void
a_cancellation_stops_the_tasks (void **state)
{
  for (int at_leader = 0; at_leader < 2; at_leader++) {
    Meeting m = meeting ();
    Script *s = m.s;
    int node = at_leader ? m.leader : m.other;
    script_place (s, m.w, m.leader, "job-a");
    guint64 abort = script_abort (s, node, "job-a");
    script_run (s, 0.5);
    assert_string_equal (script_stance (s, node, abort), "withdrawn");
    assert_false (script_worker_has (m.w, "job-a"));
    script_report (s, m.w, m.leader);
    script_report (s, m.w, m.leader);
    script_run (s, 1);
    assert_non_null (strstr (script_value (s, "h/j/job-a"), "\"n\":1")); /* the tombstone */
    script_free (s);
  }
}

/* ---- hand-over ---- */

/* A controller that no longer leads, and does not know, confirms a cancellation: the next one
 * stops the tasks. */
static void
a_former_leader_confirms_a_cancellation (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  script_place (s, m.w, m.leader, "job-a");
  depose_unaware (&m);
  assert_int_equal (script_report (s, m.w, m.other), 200);
  assert_int_equal (script_report (s, m.w, m.other), 200);
  assert_true (script_worker_has (m.w, "job-a"));
  guint64 abort = script_abort (s, m.leader, "job-a");
  script_tick (s, 0.05); /* one reading of its own, which does not bring the map */
  ScriptCall *reading = script_call (s, m.leader, READING, NULL);
  g_autofree char *nothing = g_strdup_printf ("{\"epoch\":0,\"log\":[]}");
  script_answer_with (s, reading, 200, nothing);
  script_run (s, 0.3);
  if (!script_status (s, m.leader, abort)) {
    script_tick (s, 0.05);
    script_answer_with (s, script_call (s, m.leader, READING, NULL), 200, nothing);
    script_run (s, 0.3);
  }
  assert_string_equal (script_stance (s, m.leader, abort), "withdrawn");
  script_run (s, 0.5);
  script_report (s, m.w, m.other);
  assert_false (script_worker_has (m.w, "job-a"));
  s->hints = TRUE;
  script_release (s);
  script_run (s, 2);
  assert_told (&m, "job-a", "withdrawn");
  script_free (s);
}

/* Confirmed after the map was written and before the new leader has read it. */
static void
a_cancellation_falls_into_the_hand_over (void **state)
{
  Script *s = script_led (3);
  int old = script_leader (s);
  ScriptWorker *w = script_worker (s, "m-000001");
  script_report (s, w, old);
  script_report (s, w, old);
  script_place (s, w, old, "job-a");
  for (int i = 0; i < 3; i++)
    script_hold (s, i, "/commit", "h/leader");
  script_end (s, old);
  int next = -1;
  for (int i = 0; i < 400 && next < 0; i++) {
    script_run (s, 0.05);
    for (int k = 0; k < 3; k++)
      if (k != old && script_call (s, k, "/commit", "h/leader"))
        next = k;
  }
  int third = 3 - old - next;
  script_hold (s, next, READING, NULL);
  script_hold (s, next, WATCH, NULL);
  ScriptCall *write = script_call (s, next, "/commit", "h/leader");
  script_carry_out (s, write);
  guint64 abort = script_abort (s, third, "job-a");
  script_run (s, 0.3);
  assert_string_equal (script_stance (s, third, abort), "withdrawn");
  script_answer (s, write);
  script_release (s);
  script_run (s, 1);
  assert_int_equal (script_leader (s), next);
  for (int i = 0; i < 3; i++)
    script_report (s, w, next);
  assert_false (script_worker_has (w, "job-a"));
  script_run (s, 1);
  assert_string_equal (script_asked (s, next, "job-a"), "withdrawn");
  script_free (s);
}

/* The changes since the leader's last reading are gone: it reads anew and has forgotten which of
 * its orders are on their way. The worker's report lacks the task, which is placed anew; so the
 * old order, when it comes, must be void. */
static void
a_leader_that_reads_anew_voids_its_orders (void **state)
{
  Meeting m = meeting ();
  Script *s = m.s;
  ScriptWorker *w2 = script_worker (s, "m-000002");
  script_hold (s, m.leader, "/do", NULL);
  script_submit (s, m.other, "job-a", 1);
  script_run (s, 0.5);
  ScriptCall *order = script_call (s, m.leader, "/do", "job-a");
  assert_non_null (order); /* still on its way */
  script_hold (s, m.leader, READING, NULL);
  script_hold (s, m.leader, WATCH, NULL);
  script_tick (s, 1.1);
  script_submit (s, m.other, "job-b", 1); /* so that there is a change to miss */
  script_serve (s);
  script_forget_changes (s);
  script_answer (s, script_call (s, m.leader, READING, NULL));
  script_release (s);
  order->held = TRUE;
  for (int i = 0; i < 40; i++) {
    script_run (s, 0.5);
    int leader = script_leader (s);
    if (script_report (s, m.w, leader) == 200 && i > 2)
      script_report (s, w2, leader);
  }
  assert_true (script_worker_has (m.w, "job-a") || script_worker_has (w2, "job-a"));
  assert_int_equal (script_direct (s, m.w, order), 409);
  script_free (s);
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
