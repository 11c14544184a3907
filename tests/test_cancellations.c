/* How a member logs cancellations and names them to a leader that cannot read them. */
#include "coordination/command.h"
#include "scripted_controller.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-a"

/* c1 leads, the state service refuses it, and c0 is served. */
static ScriptedController *
member_new (HrPeerStatus **leader)
{
  ScriptedController *controller = scripted_new ("c1");
  assert_false (controller->said.is_leader);
  scripted_submit (controller, JOB);
  scripted_run (controller, 2);
  *leader = &controller->members[0].status;
  (*leader)->is_leader = TRUE;
  (*leader)->applied_revision = controller->epoch;
  scripted_run (controller, 2);
  return controller;
}

static gboolean
names (const ScriptedController *controller, const char *id)
{
  const HrNamedCancellations *named = &controller->said.cancellations;
  for (const char *key = hr_named_cancellations_next (named, NULL); key;
       key = hr_named_cancellations_next (named, key))
    if (strcmp (key, id) == 0)
      return TRUE;
  return FALSE;
}

/* In the leader's next statuses: how much of c0's log it has. */
static void
acknowledge (HrPeerStatus *leader, guint64 taken)
{
  leader->echoes[0].cancellations_applied = taken;
}

static void
a_confirmed_cancellation_is_named_at_once (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  assert_true (controller->said.cancellations.is_present);
  assert_int_equal (controller->said.cancellations.count, 0);
  assert_int_equal (scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  double told = controller->now;
  while (!names (controller, JOB) && controller->now < told + 2)
    scripted_run (controller, 0.1);
  assert_true (names (controller, JOB));
  assert_true (controller->now < told + 0.45);
  assert_int_equal (
      controller->said.cancellations.log_end - controller->said.cancellations.log_begin, 1);
  assert_int_equal (controller->said.latest_cancellation, controller->epoch);
  scripted_free (controller);
}

/* Until the leader says that it has it, and again to one that has not; it is dropped when the
 * leader has read it. */
static void
it_is_named_until_it_is_known (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  guint64 revision = controller->epoch;
  scripted_run (controller, 10);
  assert_true (names (controller, JOB));
  guint64 end = controller->said.cancellations.log_end;
  acknowledge (leader, end);
  scripted_run (controller, 3);
  assert_int_equal (controller->said.cancellations.count, 0);
  assert_int_equal (controller->said.cancellations.first_position, end);
  assert_true (controller->said.cancellations.dropped_revision < revision);
  g_strlcpy (leader->incarnation, "c1-2", sizeof leader->incarnation);
  acknowledge (leader, 0);
  scripted_run (controller, 3);
  assert_true (names (controller, JOB));
  leader->applied_revision = revision;
  scripted_run (controller, 3);
  assert_int_equal (controller->said.cancellations.count, 0);
  assert_int_equal (controller->said.cancellations.log_begin, end);
  assert_int_equal (controller->said.cancellations.dropped_revision, revision);
  scripted_free (controller);
}

/* The leader still echoes a process of c0 that has ended, and how much of its log it had. */
static void
an_echo_of_an_earlier_process (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  controller->members[0].echo_stays = TRUE;
  g_strlcpy (leader->echoes[0].incarnation, "c0-0", sizeof leader->echoes[0].incarnation);
  acknowledge (leader, 100);
  scripted_run (controller, 2);
  scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  scripted_run (controller, 3);
  assert_true (names (controller, JOB));
  scripted_free (controller);
}

/* Its beginning goes when it grows too long, and the log says so. */
static void
a_log_that_grew_too_long (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 1200 };
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  guint64 first = 0;
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *key = g_strdup_printf ("h/j/job-%06d", i);
    scripted_write (controller, key, "{\"s\":2,\"w\":\"x\",\"n\":1,\"d\":0}");
    first = first ? first : controller->epoch;
  }
  scripted_run (controller, 3);
  const HrNamedCancellations *named = &controller->said.cancellations;
  assert_true (named->log_end - named->log_begin <= 1024);
  assert_int_equal (controller->said.latest_cancellation, controller->epoch);
  assert_int_equal (controller->epoch - named->dropped_revision, named->log_end - named->log_begin);
  assert_true (named->dropped_revision > first);
  scripted_free (controller);
}

/* The write was carried out, but its answer is lost, and c0 does not know: it tells no user, and
 * states nothing, until it has read it. */
static void
a_write_whose_answer_was_lost (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  guint64 before = controller->said.latest_cancellation, store_revision = controller->epoch;
  controller->loses_writes = controller->out_after_loss = TRUE;
  assert_int_equal (scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  assert_int_equal (controller->epoch, store_revision + 1);
  assert_false (controller->served);
  scripted_run (controller, 5);
  assert_int_equal (controller->said.latest_cancellation, before);
  assert_false (names (controller, JOB));
  assert_int_equal (scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  controller->loses_writes = FALSE;
  controller->served = TRUE;
  scripted_run (controller, 2);
  assert_int_equal (scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  assert_non_null (strstr (controller->answer, "\"withdrawn\""));
  scripted_run (controller, 0.5);
  assert_true (names (controller, JOB));
  assert_int_equal (controller->said.latest_cancellation, store_revision + 1);
  scripted_free (controller);
}

/* The same, but c0 can read: the user is told after that reading, and the job is named. */
static void
a_write_that_is_read_before_its_user_is_answered (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  controller->loses_writes = TRUE;
  guint64 store_revision = controller->epoch;
  assert_int_equal (scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  assert_non_null (strstr (controller->answer, "\"withdrawn\""));
  assert_int_equal (controller->epoch, store_revision + 1);
  scripted_run (controller, 1.2);
  assert_true (names (controller, JOB));
  assert_int_equal (controller->said.latest_cancellation, store_revision + 1);
  scripted_free (controller);
}

/* What another member confirmed, and c0 read, is c0's to name as well. */
static void
a_cancellation_that_was_read_is_named (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  scripted_cancel_elsewhere (controller, JOB);
  scripted_run (controller, 3);
  assert_true (names (controller, JOB));
  scripted_free (controller);
}

/* More than a status holds: each names a part, from where the leader is. */
static void
a_long_list_goes_in_parts (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 300 };
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  g_autoptr (GHashTable) told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *id = g_strdup_printf ("job-%06d", i);
    scripted_submit (controller, id);
    leader->applied_revision = controller->epoch;
  }
  scripted_run (controller, 2);
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *id = g_strdup_printf ("job-%06d", i);
    scripted_cancel_elsewhere (controller, id);
  }
  scripted_run (controller, 3);
  double from = controller->now;
  guint64 begins = controller->said.cancellations.log_begin;
  assert_int_equal (controller->said.cancellations.log_end - begins, JOBS);
  for (int part = 0; controller->said.cancellations.count && part < 20; part++) {
    const HrNamedCancellations *named = &controller->said.cancellations;
    assert_true (named->count < JOBS);
    for (const char *key = hr_named_cancellations_next (named, NULL); key;
         key = hr_named_cancellations_next (named, key))
      g_hash_table_add (told, g_strdup (key));
    acknowledge (leader, named->first_position + named->count);
    scripted_send_status (controller, leader);
    scripted_run (controller, 0.3);
  }
  assert_int_equal (g_hash_table_size (told), JOBS);
  assert_true (controller->now < from + 2.5); /* one a second would take 4 s */
  scripted_free (controller);
}

/* It would not understand them. */
static void
nothing_is_named_to_an_older_version (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_new (&leader);
  leader->cancellations.is_present = FALSE;
  leader->applied_revision = 0;
  scripted_run (controller, 2);
  scripted_ask (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  scripted_run (controller, 3);
  assert_int_equal (controller->said.cancellations.count, 0);
  assert_int_equal (controller->said.latest_cancellation, controller->epoch);
  scripted_free (controller);
}

int
main (void)
{
  scripted_log_init ();
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_confirmed_cancellation_is_named_at_once),
      cmocka_unit_test (it_is_named_until_it_is_known),
      cmocka_unit_test (an_echo_of_an_earlier_process),
      cmocka_unit_test (a_log_that_grew_too_long),
      cmocka_unit_test (a_write_whose_answer_was_lost),
      cmocka_unit_test (a_write_that_is_read_before_its_user_is_answered),
      cmocka_unit_test (a_cancellation_that_was_read_is_named),
      cmocka_unit_test (a_long_list_goes_in_parts),
      cmocka_unit_test (nothing_is_named_to_an_older_version),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
