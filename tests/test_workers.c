/* Meetings of workers, leases and leaders, message by message (script_scene.h).
 * docs/meetings.md says which meeting each test brings about, and without which guard it
 * fails. */
#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "script_scene.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* ---- what the tests wait for ---- */

static gboolean
on_machine (Scene *scene, gpointer piece)
{
  return scene_count (scene, piece) > 0;
}

static gboolean
on_none (Scene *scene, gpointer piece)
{
  return scene_count (scene, piece) == 0;
}

static gboolean
led_by_1 (Scene *scene, gpointer data G_GNUC_UNUSED)
{
  return script_leader (scene->s) == 1;
}

/* Of the two or more controllers, c0 leads. */
static Scene *
scene_led (int nodes)
{
  Scene *scene = scene_new (nodes);
  Script *script = scene->s;
  for (int i = 0; script_leader (script) != 0 && i < 10; i++) {
    int leader = script_leader (script);
    script_end (script, leader);
    scene_run (scene, 6);
    script_start (script, leader);
    scene_run (scene, 3);
  }
  assert_int_equal (script_leader (script), 0);
  return scene;
}

/* A job of one task that runs on the machine. */
static void
running (Scene *scene, SceneMachine *machine, const char *id)
{
  g_autofree char *piece = g_strconcat (id, "/0", NULL);
  scene_submit (scene, 0, id, NULL);
  scene_until (scene, on_machine, piece, 8);
  assert_true (scene_has (machine, piece));
  scene_run (scene, 3);
}

/* c0 hears neither the state service nor the others; workers and users reach it still. */
static void
cut_off (Scene *scene, int node)
{
  scene->s->nodes[node].served = FALSE;
  scene->s->hints = FALSE;
}

static json_t *
whole_machine (const char *id)
{
  json_t *body = script_job (id, 1);
  json_object_set_new (body, "vcpus", json_real (12));
  return body;
}

static guint64
baton_of (Scene *scene)
{
  json_t *object = json_loads (script_value (scene->s, "h/map"), 0, NULL);
  guint64 fencing_token = json_integer_value (json_object_get (object, "b"));
  json_decref (object);
  return fencing_token;
}

/* ---- the token ---- */

/* The leader has to read the whole state store anew, and leads on: it has forgotten which orders
 * are on their way, so its token has to be a new one. */
static void
an_owner_that_reads_anew_raises_its_token (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  SceneMachine *first = scene_machine (scene, "m-1", "z0"),
               *second = scene_machine (scene, "m-2", "z0");
  second->reports = FALSE;
  scene_run (scene, 4);
  script_hold (script, 0, "/changes", NULL);
  first->reports = FALSE;
  guint64 before = baton_of (scene);
  ScriptCall *late = script_delay (script, scene_launch_call (scene, first, 0, "job-a"));
  /* Its next reading finds that the changes since the last one are gone. */
  scene_submit (scene, 1, "job-b", NULL);
  script_forget_changes (script);
  scene_release (scene);
  scene_run (scene, 1);
  /* Its machine lacks the task, and is soon taken: the task goes elsewhere. */
  scene->cloud_deletes = FALSE;
  second->reports = first->reports = TRUE;
  first->notice = 60;
  scene_run (scene, 9);
  scene_obey_direct (first, late->body);
  script_late (script, late);
  scene_run (scene, 8);
  assert_true (scene_has (second, "job-a/0"));
  assert_int_equal (script_leader (script), 0);
  gboolean raised = baton_of (scene) > before;
  scene_end (scene);
  assert_true (raised);
}

/* A process with the same label is back within a fraction of a second and takes its predecessor's
 * key over: a launch of the predecessor that is still on its way no longer counts. */
static void
a_process_that_is_back_at_once_raises_the_token (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  SceneMachine *first = scene_machine (scene, "m-1", "z0"),
               *second = scene_machine (scene, "m-2", "z0");
  second->reports = FALSE;
  scene_run (scene, 4);
  first->reports = FALSE;
  guint64 before = baton_of (scene);
  ScriptCall *late = script_delay (script, scene_launch_call (scene, first, 0, "job-a"));
  script_end (script, 0);
  scene_run (scene, 0.3);
  script_start (script, 0);
  scene->cloud_deletes = FALSE;
  first->notice = 60;
  first->reports = second->reports = TRUE;
  scene_run (scene, 12);
  assert_int_equal (script_leader (script), 0);
  assert_true (scene_has (second, "job-a/0"));
  gboolean raised = baton_of (scene) > before;
  int status = scene_obey_direct (first, late->body);
  script_late (script, late);
  scene_end (scene);
  assert_true (raised);
  assert_int_equal (status, 409);
}

/* A launch was given up and is still on its way when its job is cancelled. That the worker's
 * reports lack the task proves nothing until it has seen a newer token. */
static void
a_late_launch_after_its_kill_is_void (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  SceneMachine *machine = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  machine->reports = FALSE;
  guint64 before = baton_of (scene);
  ScriptCall *late = script_delay (script, scene_launch_call (scene, machine, 0, "job-a"));
  scene_withdraw (scene, 1, "job-a");
  scene_run (scene, 1);
  machine->reports = TRUE;
  machine->node = 0;
  scene_run (scene, 10);
  assert_true (baton_of (scene) > before);
  guint starts = scene->starts;
  assert_int_equal (scene_obey_direct (machine, late->body), 409);
  script_late (script, late);
  assert_int_equal (scene->starts, starts);
  scene_end (scene);
}

/* A launch was carried out, and a copy of it comes long after the task's end. While the worker
 * has seen no newer token, the task stays in its reports, where a copy changes nothing. */
static void
a_copy_of_a_launch_after_the_end_is_void (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  SceneMachine *machine = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  ScriptCall *call = scene_launch_call (scene, machine, 0, "job-a");
  g_autofree char *copy = g_strdup (call->body);
  machine->reached = TRUE;
  scene_run (scene, 3);
  assert_true (scene_has (machine, "job-a/0"));
  scene_exit (machine, "job-a/0", "done");
  scene_run (scene, 8);
  assert_string_equal (scene_stance (scene, 1, "job-a"), "done");
  guint starts = scene->starts;
  scene_obey_direct (machine, copy);
  assert_int_equal (scene->starts, starts);
  (void)script;
  scene_end (scene);
}

/* ---- leases ---- */

/* The leader is cut off from the state service and from the others; its worker and users still
 * reach it. It stops answering in time, so that a job that was cancelled through the next one
 * ends, and what was there is placed anew only when it is surely gone. */
static void
a_leader_on_an_island_lets_go (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  running (scene, first, "job-b");
  first->only = 0;
  SceneMachine *second = scene_machine (scene, "m-2", "z0");
  second->only = 1;
  scene->cloud_deletes = FALSE;
  cut_off (scene, 0);
  scene_until (scene, led_by_1, NULL, 12);
  scene_run (scene, 0.5);
  assert_true (scene_has (first, "job-a/0"));
  scene_withdraw (scene, 1, "job-a");
  scene_run (scene, scene->s->pol.alone_s + scene->lease_s);
  assert_true (first->tenure > 1); /* it hears of no outage, so it is cut off, and lets go early */
  scene_run (scene, scene->cancel_s);
  assert_false (scene_has (first, "job-a/0"));
  scene_until (scene, on_machine, "job-b/0", 40);
  assert_true (scene_has (second, "job-b/0"));
  scene_end (scene);
}

/* The leader ends while several machines with long tasks reach only a former leader, which goes on
 * answering them for a while: their tasks stay bound until that and a lease are surely over. */
static void
a_new_leader_waits_for_leases_that_a_former_one_renewed (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *machines[4];
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++) {
    g_autofree char *name = g_strdup_printf ("m-%u", i), *id = g_strdup_printf ("job-%u", i);
    machines[i] = scene_machine (scene, name, "z0");
    scene_run (scene, 4);
    scene_submit (scene, 0, id, whole_machine (id));
    scene_run (scene, 4);
    assert_int_equal (machines[i]->tasks->len, 1);
  }
  cut_off (scene, 0);
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++)
    machines[i]->only = 0;
  SceneMachine *spare = scene_machine (scene, "m-9", "z0");
  spare->only = 1;
  scene_until (scene, led_by_1, NULL, 12);
  guint starts = scene->starts;
  scene_run (scene, 10);
  assert_int_equal (scene->starts, starts); /* nothing is proven yet */
  scene_run (scene, 40);
  assert_true (scene->starts > starts);
  scene_end (scene);
}

/* What a new leader answers does not reach a machine, whose reports arrive. Its task is placed anew
 * only when its incarnation is over, and as soon as that shows: long before a returned machine
 * would be given up. */
static void
a_deaf_machine_keeps_its_task_until_its_session_ends (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  SceneMachine *second = scene_machine (scene, "m-2", "z0");
  scene_run (scene, 4);
  scene->cloud_deletes = FALSE;
  first->hears = first->reached = FALSE;
  script_end (scene->s, 0);
  scene_until (scene, led_by_1, NULL, 12);
  scene_run (scene, scene->s->pol.silent_s + 8);
  assert_true (first->tenure > 1);
  assert_true (scene_has (second, "job-a/0"));
  scene_end (scene);
}

/* A machine reaches no controller, while direct orders reach it. A cancelled job's task is stopped
 * that way; another is placed anew only after the lease, which direct orders do not renew. */
static void
a_mute_machine_is_told_directly (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  running (scene, first, "job-b");
  SceneMachine *second = scene_machine (scene, "m-2", "z0");
  scene_run (scene, 4);
  scene->cloud_deletes = FALSE;
  first->reports = FALSE;
  scene_withdraw (scene, 1, "job-a");
  scene_until (scene, on_none, "job-a/0", 2);
  assert_int_equal (first->tenure, 1);
  scene_run (scene, 20);
  assert_true (first->tenure > 1);
  assert_true (scene_has (second, "job-b/0"));
  scene_end (scene);
}

/* The cloud answers no deletion. What a machine held that is being returned waits no longer than
 * its lease: nobody has answered it since. */
static void
a_deletion_without_answer_holds_tasks_no_longer_than_a_lease (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 20);
  running (scene, first, "job-a");
  SceneMachine *second = scene_machine (scene, "m-2", "z0");
  scene_run (scene, 4);
  scene->cloud_deletes = FALSE;
  first->reports = FALSE; /* silent, and so returned */
  scene_run (scene, scene->lease_s + 6);
  assert_true (first->tenure > 1);
  assert_true (scene_has (second, "job-a/0"));
  scene_end (scene);
}

/* A hanging machine resumes within its lease, after its job was cancelled: it is stopped then, and
 * the record goes on naming its place until that is shown. */
static void
a_machine_that_hung_is_stopped_when_it_resumes (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  scene->cloud_deletes = FALSE;
  scene_report (first, 0);
  first->hangs = TRUE;
  first->node = 0;
  scene_withdraw (scene, 1, "job-a");
  scene_run (scene, 5);
  assert_true (scene_has (first, "job-a/0"));
  assert_true (scene_recorded (scene, "job-a", "\"x\""));
  first->hangs = FALSE;
  scene_run (scene, 3);
  assert_false (scene_has (first, "job-a/0"));
  assert_int_equal (first->tenure, 1); /* not by its lease */
  assert_false (scene_recorded (scene, "job-a", "\"x\""));
  scene_end (scene);
}

/* The leader launches what another controller has confirmed as cancelled a moment before: the task
 * is stopped as soon as the leader reads that, and does not start again. */
static void
a_launch_that_meets_a_withdrawal_is_stopped (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  script_hold (script, 0, "/commit", "m-1");
  scene_submit (scene, 1, "job-a", NULL);
  for (int i = 0; i < 60 && !script_call (script, 0, "/commit", "m-1"); i++)
    scene_run (scene, 0.05);
  ScriptCall *write = script_call (script, 0, "/commit", "m-1");
  assert_non_null (write);
  script_carry_out (script, write);
  script_hold (script, 0, "/changes", NULL);
  scene_withdraw (scene, 1, "job-a");
  script_answer (script,
                 write); /* the assignment is in the state store, as far as the leader knows */
  scene_run (scene, 0.5);
  assert_int_equal (scene->starts, 1);
  scene_release (scene);
  scene_until (scene, on_none, "job-a/0", 2);
  scene_run (scene, 10);
  assert_int_equal (scene->starts, 1);
  scene_end (scene);
}

/* The state service refuses the leader alone, another controller confirms a cancellation, and a
 * moment later the service is out for all, for longer than cancel_s. named: the leader is told of
 * the cancellation by the other controller. */
static void
unread_withdrawal (gboolean named)
{
  Scene *scene = scene_led (3);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  first->only = 0;
  scene->s->nodes[0].served = FALSE;
  scene_run (scene, 0.5);
  scene->s->hints = named;
  scene_withdraw (scene, 1, "job-a");
  scene->s->outage = TRUE;
  scene_run (scene, scene->cancel_s + 6);
  assert_false (scene_has (first, "job-a/0"));
  scene_end (scene);
}

static void
a_withdrawal_that_the_leader_cannot_read_ends_in_time (void **state G_GNUC_UNUSED)
{
  unread_withdrawal (FALSE);
  unread_withdrawal (TRUE);
}

/* A task is recorded and its launch was lost; the state service refuses the leader alone while
 * another controller confirms that the job is cancelled. The leader, which answers its workers
 * still, launches nothing. */
static void
a_refused_leader_launches_nothing (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  first->reports = FALSE;
  scene_launch_call (scene, first, 0, "job-a");
  cut_off (scene, 0);
  scene_withdraw (scene, 1, "job-a");
  scene_run (scene, 6);
  assert_int_equal (scene_report (first, 0), 200);
  assert_int_equal (scene->starts, 0);
  scene_end (scene);
}

/* A zone with a worker and a controller that does not lead is cut off for longer than a lease:
 * that controller does not renew the worker's lease. */
static void
a_controller_in_a_cut_zone_renews_no_lease (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (3);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  SceneMachine *second = scene_machine (scene, "m-2", "z0");
  scene_run (scene, 4);
  scene->cloud_deletes = FALSE;
  first->only = 2;
  first->reached = FALSE;
  scene->s->nodes[2].served = FALSE;
  scene_run (scene, scene->lease_s + 8);
  assert_true (first->tenure > 1);
  assert_true (scene_has (second, "job-a/0"));
  scene_end (scene);
}

/* The leader stands still, wakes, and finds a report before anything else, of a worker that has
 * heard of no other: it has not read the leader record for so long that it must not answer. */
static void
a_leader_that_stood_still_does_not_answer (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  first->only = 0;
  scene_freeze (scene, 0);
  scene_run (scene, scene->s->pol.alone_s + 2);
  assert_int_equal (script_leader (scene->s), 1);
  assert_true (first->baton < baton_of (scene));
  g_autofree char *report = scene_write (first);
  scene_thaw (scene, 0);
  assert_int_not_equal (scene_deliver (scene, 0, report), 200);
  first->only = -1;
  scene_run (scene, 10);
  assert_int_equal (scene_count (scene, "job-a/0"), 1);
  scene_end (scene);
}

/* Late copies of what a member told before it ended, while the state service is out: they are as
 * old as the clock that they echo, and the leader stops answering in time. */
static void
late_copies_of_hints_attest_nothing_new (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  running (scene, first, "job-a");
  script->outage = TRUE;
  scene_run (scene, 5);
  HrPeerStatus copy = script->nodes[1].hint;
  script_end (script, 1);
  for (int i = 0; i < script->pol.hold_s + 2; i++) {
    HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
    *command->peer_status = copy;
    script_step (script, 0, command);
    scene_run (scene, 1);
  }
  assert_int_not_equal (scene_report (first, 0), 200);
  scene_end (scene);
}

/* ---- reports ---- */

/* A report of a machine that is gone is kept back until the next leader has begun, and arrives
 * there: nothing is placed on that machine. */
static void
a_report_kept_for_the_next_leader_counts_for_its_order_only (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z1");
  scene_run (scene, 6);
  assert_true (first->baton > 0);
  g_autofree char *report = scene_write (first);
  first->gone = TRUE;
  script_end (scene->s, 0);
  scene_until (scene, led_by_1, NULL, 12);
  scene_run (scene, 3);
  scene_submit (scene, 1, "job-a", NULL);
  scene_deliver (scene, 1, report);
  scene_run (scene, 5);
  assert_false (scene_recorded (scene, "job-a", "m-1"));
  scene_end (scene);
}

/* An old report that lacks a task arrives after newer ones that showed it: the cancelled job's
 * record keeps naming the place until the task is shown to be gone. incarnation: the old one is of
 * an earlier incarnation. */
static void
old_report (gboolean session)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  g_autofree char *report = scene_write (first);
  if (session) { /* numbers alone would not tell them apart */
    first->tally += 100;
    g_free (report);
    report = scene_write (first);
    first->tally -= 101;
    first->reports = FALSE;
    first->lease_at -= scene->lease_s;
    scene_run (scene, 0.1);
    first->reports = TRUE;
    scene_run (scene, 3);
    assert_int_equal (first->tenure, 2);
  }
  running (scene, first, "job-a");
  scene_report (first, 0);
  first->hangs = TRUE;
  scene_withdraw (scene, 1, "job-a");
  scene_run (scene, 3.5); /* its direct stop is unanswered by now */
  scene_deliver (scene, 0, report);
  scene_run (scene, 1);
  assert_true (scene_has (first, "job-a/0"));
  assert_true (scene_recorded (scene, "job-a", "\"x\""));
  first->hangs = FALSE;
  scene_run (scene, 6);
  assert_false (scene_has (first, "job-a/0"));
  assert_false (scene_recorded (scene, "job-a", "\"x\""));
  scene_end (scene);
}

static void
an_old_report_proves_nothing (void **state G_GNUC_UNUSED)
{
  old_report (FALSE);
}

static void
a_report_of_an_earlier_session_proves_nothing (void **state G_GNUC_UNUSED)
{
  old_report (TRUE);
}

/* ---- records ---- */

/* New machines are up at once while writes lag, and the leader ends: nothing was launched that is
 * not recorded, so the next leader may place what it does not see. */
static void
nothing_is_launched_before_its_record (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  guint64 request = script_submit (script, 1, "job-a", 1);
  script_hold (script, 0, "/commit", "m-1");
  scene_run (scene, 3);
  assert_int_equal (script_status (script, 1, request), 201);
  ScriptCall *write = script_call (script, 0, "/commit", "m-1");
  assert_non_null (write);
  assert_null (scene_direct (first, 0));
  assert_int_equal (scene->starts, 0);
  ScriptCall *late = script_delay (script, write);
  script_end (script, 0);
  first->only = 1;
  SceneMachine *second = scene_machine (scene, "m-2", "z0");
  (void)second;
  scene_until (scene, led_by_1, NULL, 12);
  scene_run (scene, 1);
  assert_int_equal (script_late (script, late), 409); /* of a former owner */
  scene_until (scene, on_machine, "job-a/0", 20);
  assert_int_equal (scene->starts, 1);
  scene_end (scene);
}

/* Orders go out with the answers to reports alone. */
static void
launch_with_reports (Scene *scene)
{
  Script *script = scene->s;
  script->pol.direct_launch = 0;
  for (int i = script->n - 1; i >= 0; i--) {
    script_end (script, i);
    script_start (script, i);
  }
  scene_run (scene, 8);
  assert_int_equal (script_leader (script), 0);
}

/* A task of two has ended and its leader ends before that is recorded: the worker goes on showing
 * the end, so the task is not run again, and the job is done only with the other one. */
static void
an_end_is_shown_until_it_is_recorded (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  Script *script = scene->s;
  launch_with_reports (scene);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  scene_submit (scene, 0, "job-a", script_job ("job-a", 2));
  scene_until (scene, on_machine, "job-a/0", 8);
  scene_until (scene, on_machine, "job-a/1", 8);
  scene_run (scene, 3);
  script_hold (script, 0, "/commit", "job-a");
  scene_exit (first, "job-a/0", "done");
  scene_run (scene, 6);
  assert_int_equal (first->tasks->len, 2);
  ScriptCall *write = script_call (script, 0, "/commit", "job-a");
  assert_non_null (write);
  ScriptCall *late = script_delay (script, write);
  script_end (script, 0);
  scene_until (scene, led_by_1, NULL, 12);
  scene_run (scene, 1);
  script_late (script, late);
  scene_run (scene, 10);
  assert_int_equal (scene->starts, 2);
  assert_string_not_equal (scene_stance (scene, 1, "job-a"), "done");
  scene_exit (first, "job-a/1", "done");
  scene_run (scene, 8);
  assert_string_equal (scene_stance (scene, 1, "job-a"), "done");
  assert_int_equal (scene->starts, 2);
  scene_end (scene);
}

/* ---- limits and zones ---- */

static void
limit_cpus (Scene *scene, double cpus)
{
  for (int i = 0; i < scene->s->n; i++)
    if (scene->s->nodes[i].core)
      g_array_index (scene->s->nodes[i].set->teams, HrTeam, 0).cpus_max = cpus;
}

/* A team is at its limit, its job is cancelled, the leader changes, and the machine cannot be
 * asked: the limit has room again only when the task is proven gone. */
static void
a_withdrawn_task_counts_until_it_is_gone (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (2);
  limit_cpus (scene, 12);
  SceneMachine *first = scene_machine (scene, "m-1", "z0");
  scene_run (scene, 4);
  scene_submit (scene, 0, "job-a", whole_machine ("job-a"));
  scene_until (scene, on_machine, "job-a/0", 8);
  scene_run (scene, 3);
  SceneMachine *second = scene_machine (scene, "m-2", "z0");
  scene_run (scene, 4);
  scene->cloud_deletes = FALSE;
  scene_report (first, 0);
  first->reports = first->reached = FALSE;
  scene_withdraw (scene, 1, "job-a");
  script_end (scene->s, 0);
  scene_until (scene, led_by_1, NULL, 12);
  scene_submit (scene, 1, "job-b", whole_machine ("job-b"));
  for (int i = 0; i < 60 && !scene_has (second, "job-b/0"); i++) {
    scene_run (scene, 1);
    assert_true (scene_count (scene, "job-a/0") + scene_count (scene, "job-b/0") <= 1);
  }
  assert_true (scene_has (second, "job-b/0"));
  scene_end (scene);
}

/* An array of two bound to one zone, or spread over two, has a task on a machine that cannot be
 * asked: the other does not start where that rules it out before it is proven gone. after: the next
 * leader knows the machine from the record alone, and not its zone. */
static void
bound_zone (gboolean after, const char *rule, const char *other)
{
  Scene *scene = scene_led (2);
  SceneMachine *first = scene_machine (scene, "m-1", "z1");
  scene_run (scene, 4);
  json_t *body = script_job ("job-a", 2);
  json_object_set_new (body, rule, json_true ());
  json_object_set_new (body, "vcpus", json_real (12));
  scene_submit (scene, 0, "job-a", body);
  scene_until (scene, on_machine, "job-a/0", 8);
  scene_run (scene, 3);
  scene->cloud_deletes = FALSE;
  first->reports = first->reached = FALSE;
  scene_report (first, 0);
  if (after) {
    script_end (scene->s, 0);
    scene_until (scene, led_by_1, NULL, 12);
  }
  SceneMachine *second = scene_machine (scene, "m-2", other);
  for (int i = 0; i < 60 && !second->tasks->len; i++) {
    scene_run (scene, 1);
    assert_true (!scene_has (first, "job-a/0") || !second->tasks->len);
  }
  assert_true (second->tasks->len > 0);
  scene_end (scene);
}

static void
a_task_that_may_still_be_there_binds_its_zone (void **state G_GNUC_UNUSED)
{
  bound_zone (FALSE, "together", "z0");
}

static void
a_task_that_may_still_be_there_counts_for_the_spread (void **state G_GNUC_UNUSED)
{
  bound_zone (FALSE, "apart", "z1");
}

static void
an_unknown_zone_rules_out_all (void **state G_GNUC_UNUSED)
{
  bound_zone (TRUE, "together", "z0");
  bound_zone (TRUE, "apart", "z1");
}

/* ---- figures ---- */

/* The policy as deployed, on platforms of many figures: what a leader that cannot read a
 * cancellation still answers ends before cancel_s, clocks that drift apart by 0.05% included, and
 * whoever leads next counts at least as long. */
static void
the_policy_ends_tasks_in_time (void **state G_GNUC_UNUSED)
{
  static const double drift = 0.0005;
  for (double lease = 5; lease < 60; lease += 2.5)
    for (double more = 8; more < 60; more += 4) {
      g_autoptr (GHashTable) vars = hr_policy_vars_new ();
      g_autoptr (GError) error = NULL;
      HrPolicy policy;
      hr_core_policy_vars (NULL, vars);
      hr_policy_vars_set (vars, "lease_s", lease);
      hr_policy_vars_set (vars, "report_s", lease / 5);
      hr_policy_vars_set (vars, "cancel_s", lease + more);
      assert_true (hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &policy, &error));
      assert_true (hr_core_policy_check (&policy, vars, &error));
      double ends = (policy.hold_s + lease) * (1 + drift);
      assert_true (ends < lease + more);
      assert_true (policy.hold_s + lease * 1.002 + policy.lease_margin_s > ends);
      policy.hold_s = more;
      assert_false (hr_core_policy_check (&policy, vars, &error));
    }
}

/* ---- many leaders ---- */

/* Leaders change ten times in two minutes, also inside an outage; machines fall silent and jobs
 * are cancelled meanwhile. */
static void
ten_leaders_in_two_minutes (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (3);
  Script *script = scene->s;
  SceneMachine *machines[5];
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++) {
    g_autofree char *name = g_strdup_printf ("m-%u", i);
    machines[i] = scene_machine (scene, name, "z0");
  }
  scene_run (scene, 4);
  scene_submit (scene, 1, "job-a", script_job ("job-a", 6));
  scene_submit (scene, 2, "job-b", script_job ("job-b", 6));
  scene_run (scene, 8);
  for (int i = 0; i < 10; i++) {
    int leader = script_leader (script);
    guint64 before = baton_of (scene);
    g_autofree char *report = scene_write (machines[i % 5]);
    machines[(i + 1) % 5]->hangs = i % 3 == 0;
    machines[(i + 2) % 5]->hears = i % 4 != 1;
    script_end (script, leader);
    script->outage = i == 5;
    scene_run (scene, 5);
    if (i == 4)
      scene_withdraw (scene, (leader + 1) % 3, "job-b");
    script_start (script, leader);
    scene_run (scene, 6);
    script->outage = FALSE;
    for (int k = 0; k < 3; k++)
      if (script->nodes[k].core)
        scene_deliver (scene, k, report);
    scene_run (scene, 1);
    assert_true (i == 5 || baton_of (scene) > before);
  }
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++) {
    machines[i]->hears = TRUE;
    machines[i]->hangs = FALSE;
  }
  scene_run (scene, 60);
  guint runs = 0;
  for (int i = 0; i < 6; i++) {
    g_autofree char *piece = g_strdup_printf ("job-a/%d", i);
    runs += scene_count (scene, piece);
  }
  assert_int_equal (runs, 6);
  scene_end (scene);
}

/* All controllers are away for longer than a lease; one returns, ends, and is back within a second,
 * and a report from before arrives. */
static void
all_are_away_longer_than_a_lease (void **state G_GNUC_UNUSED)
{
  Scene *scene = scene_led (3);
  Script *script = scene->s;
  SceneMachine *first = scene_machine (scene, "m-1", "z0"),
               *second = scene_machine (scene, "m-2", "z0");
  scene_run (scene, 4);
  scene_submit (scene, 0, "job-a", script_job ("job-a", 4));
  scene_run (scene, 6);
  g_autofree char *report = scene_write (first);
  for (int i = 0; i < 3; i++)
    script_end (script, i);
  scene_run (scene, scene->lease_s + 3);
  assert_int_equal (first->tasks->len + second->tasks->len, 0);
  script_start (script, 1);
  scene_run (scene, 2);
  script_end (script, 1);
  scene_run (scene, 0.4);
  script_start (script, 1);
  scene_run (scene, 2);
  scene_deliver (scene, 1, report);
  scene_run (scene, 1);
  scene_deliver (scene, 1, report);
  scene_run (scene, 30);
  assert_int_equal (first->tasks->len + second->tasks->len, 4);
  assert_int_equal (scene->starts, 8);
  script_start (script, 0);
  script_start (script, 2);
  scene_run (scene, 2);
  scene_end (scene);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (an_owner_that_reads_anew_raises_its_token),
      cmocka_unit_test (a_process_that_is_back_at_once_raises_the_token),
      cmocka_unit_test (a_late_launch_after_its_kill_is_void),
      cmocka_unit_test (a_copy_of_a_launch_after_the_end_is_void),
      cmocka_unit_test (a_leader_on_an_island_lets_go),
      cmocka_unit_test (a_new_leader_waits_for_leases_that_a_former_one_renewed),
      cmocka_unit_test (a_deaf_machine_keeps_its_task_until_its_session_ends),
      cmocka_unit_test (a_mute_machine_is_told_directly),
      cmocka_unit_test (a_deletion_without_answer_holds_tasks_no_longer_than_a_lease),
      cmocka_unit_test (a_machine_that_hung_is_stopped_when_it_resumes),
      cmocka_unit_test (a_launch_that_meets_a_withdrawal_is_stopped),
      cmocka_unit_test (a_withdrawal_that_the_leader_cannot_read_ends_in_time),
      cmocka_unit_test (a_refused_leader_launches_nothing),
      cmocka_unit_test (a_controller_in_a_cut_zone_renews_no_lease),
      cmocka_unit_test (a_leader_that_stood_still_does_not_answer),
      cmocka_unit_test (late_copies_of_hints_attest_nothing_new),
      cmocka_unit_test (a_report_kept_for_the_next_leader_counts_for_its_order_only),
      cmocka_unit_test (an_old_report_proves_nothing),
      cmocka_unit_test (a_report_of_an_earlier_session_proves_nothing),
      cmocka_unit_test (nothing_is_launched_before_its_record),
      cmocka_unit_test (an_end_is_shown_until_it_is_recorded),
      cmocka_unit_test (a_withdrawn_task_counts_until_it_is_gone),
      cmocka_unit_test (a_task_that_may_still_be_there_binds_its_zone),
      cmocka_unit_test (a_task_that_may_still_be_there_counts_for_the_spread),
      cmocka_unit_test (an_unknown_zone_rules_out_all),
      cmocka_unit_test (the_policy_ends_tasks_in_time),
      cmocka_unit_test (ten_leaders_in_two_minutes),
      cmocka_unit_test (all_are_away_longer_than_a_lease),
  };
  g_log_set_writer_func (script_log, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
