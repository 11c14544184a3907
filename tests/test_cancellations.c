/* Cancellations and a leader that cannot read the state store: a member keeps a log of the
 * cancellations that it read or confirmed (membership/cancellation_log.h) and lists ("names") their
 * job ids in its statuses. */
#include "coordination/command.h"
#include "scripted_controller.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-a"

/* Returns c0, which the state store serves and which has accepted JOB. c1 leads; the state store
 * refuses it. leader: the status that c1 sends. */
static ScriptedController *
member_of_refused_leader (HrPeerStatus **leader)
{
  ScriptedController *controller = scripted_new ("c1");
  assert_false (controller->latest_status.is_leader);
  scripted_submit (controller, JOB);
  scripted_run (controller, 2);
  *leader = &controller->members[0].status;
  (*leader)->is_leader = TRUE;
  (*leader)->applied_revision = controller->revision;
  scripted_run (controller, 2);
  return controller;
}

static gboolean
names_job (const ScriptedController *controller, const char *id)
{
  const HrNamedCancellations *named = &controller->latest_status.cancellations;
  for (const char *key = hr_named_cancellations_next (named, NULL); key;
       key = hr_named_cancellations_next (named, key))
    if (strcmp (key, id) == 0)
      return TRUE;
  return FALSE;
}

/* Sets the position up to which the leader acknowledges c0's log in its next statuses. */
static void
acknowledge (HrPeerStatus *leader, guint64 position)
{
  leader->echoes[0].cancellations_applied = position;
}

static void
a_confirmed_cancellation_is_named_at_once (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  assert_true (controller->latest_status.cancellations.is_present);
  assert_int_equal (controller->latest_status.cancellations.count, 0);
  assert_int_equal (scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  double confirmed_at = controller->now;
  while (!names_job (controller, JOB) && controller->now < confirmed_at + 2)
    scripted_run (controller, 0.1);
  assert_true (names_job (controller, JOB));
  assert_true (controller->now < confirmed_at + 0.45); /* regular statuses: every 1 s */
  assert_int_equal (controller->latest_status.cancellations.log_end -
                        controller->latest_status.cancellations.log_begin,
                    1);
  assert_int_equal (controller->latest_status.latest_cancellation, controller->revision);
  scripted_free (controller);
}

/* c0 names a cancellation until the leader acknowledges it, names it again to a new process of the
 * leader, and drops it from its log once the leader has read it. */
static void
a_cancellation_is_named_until_the_leader_has_it (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  guint64 revision = controller->revision;
  scripted_run (controller, 10);
  assert_true (names_job (controller, JOB));
  guint64 end = controller->latest_status.cancellations.log_end;
  acknowledge (leader, end);
  scripted_run (controller, 3);
  assert_int_equal (controller->latest_status.cancellations.count, 0);
  assert_int_equal (controller->latest_status.cancellations.first_position, end);
  assert_true (controller->latest_status.cancellations.dropped_revision < revision);
  g_strlcpy (leader->incarnation, "c1-2", sizeof leader->incarnation);
  acknowledge (leader, 0);
  scripted_run (controller, 3);
  assert_true (names_job (controller, JOB));
  leader->applied_revision = revision;
  scripted_run (controller, 3);
  assert_int_equal (controller->latest_status.cancellations.count, 0);
  assert_int_equal (controller->latest_status.cancellations.log_begin, end);
  assert_int_equal (controller->latest_status.cancellations.dropped_revision, revision);
  scripted_free (controller);
}

/* The leader still echoes an earlier process of c0 and the position in that process's log. */
static void
an_echo_of_an_earlier_process_acknowledges_nothing (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  controller->members[0].repeats_echo = TRUE;
  g_strlcpy (leader->echoes[0].incarnation, "c0-0", sizeof leader->echoes[0].incarnation);
  acknowledge (leader, 100);
  scripted_run (controller, 2);
  scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  scripted_run (controller, 3);
  assert_true (names_job (controller, JOB));
  scripted_free (controller);
}

/* A log that grows too long drops its oldest entries and states the revision up to which entries
 * may be missing. */
static void
a_log_that_grows_too_long_drops_its_oldest_entries (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 1200 };
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  guint64 first = 0;
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *key = g_strdup_printf ("h/j/job-%06d", i);
    /* A tombstone of a cancelled job (src/bookkeeping/record_fields.h). */
    scripted_write (controller, key, "{\"s\":2,\"w\":\"x\",\"n\":1,\"d\":0}");
    first = first ? first : controller->revision;
  }
  scripted_run (controller, 3);
  const HrNamedCancellations *named = &controller->latest_status.cancellations;
  assert_true (named->log_end - named->log_begin <= 1024); /* the capacity of the log */
  assert_int_equal (controller->latest_status.latest_cancellation, controller->revision);
  assert_int_equal (controller->revision - named->dropped_revision,
                    named->log_end - named->log_begin);
  assert_true (named->dropped_revision > first);
  scripted_free (controller);
}

/* The write of a cancellation is carried out and its answer is lost. c0 neither confirms the
 * cancellation to a user nor names it until it has read it. */
static void
a_cancellation_without_answer_is_not_named_before_it_is_read (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  guint64 before = controller->latest_status.latest_cancellation,
          store_revision = controller->revision;
  controller->loses_answers = controller->outage_after_loss = TRUE;
  assert_int_equal (scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  assert_int_equal (controller->revision, store_revision + 1);
  assert_false (controller->store_available);
  scripted_run (controller, 5);
  assert_int_equal (controller->latest_status.latest_cancellation, before);
  assert_false (names_job (controller, JOB));
  assert_int_equal (scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  controller->loses_answers = FALSE;
  controller->store_available = TRUE;
  scripted_run (controller, 2);
  assert_int_equal (scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  assert_non_null (strstr (controller->answer, "\"withdrawn\""));
  scripted_run (controller, 0.5);
  assert_true (names_job (controller, JOB));
  assert_int_equal (controller->latest_status.latest_cancellation, store_revision + 1);
  scripted_free (controller);
}

/* The answer of the write is lost, but c0 can read: it confirms the cancellation to the user after
 * that read, and names it. */
static void
a_cancellation_without_answer_is_confirmed_and_named_once_read (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  controller->loses_answers = TRUE;
  guint64 store_revision = controller->revision;
  assert_int_equal (scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  assert_non_null (strstr (controller->answer, "\"withdrawn\""));
  assert_int_equal (controller->revision, store_revision + 1);
  scripted_run (controller, 1.2);
  assert_true (names_job (controller, JOB));
  assert_int_equal (controller->latest_status.latest_cancellation, store_revision + 1);
  scripted_free (controller);
}

/* c0 also names a cancellation that another controller wrote and c0 has read. */
static void
a_cancellation_that_was_read_is_named (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  scripted_cancel_by_other (controller, JOB);
  scripted_run (controller, 3);
  assert_true (names_job (controller, JOB));
  scripted_free (controller);
}

/* The log exceeds what one status holds: each status names a part, from the position that the
 * leader acknowledged. */
static void
a_long_list_is_sent_in_parts (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 300 };
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  g_autoptr (GHashTable) named_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *id = g_strdup_printf ("job-%06d", i);
    scripted_submit (controller, id);
    leader->applied_revision = controller->revision;
  }
  scripted_run (controller, 2);
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *id = g_strdup_printf ("job-%06d", i);
    scripted_cancel_by_other (controller, id);
  }
  scripted_run (controller, 3);
  double started_at = controller->now;
  guint64 log_begin = controller->latest_status.cancellations.log_begin;
  assert_int_equal (controller->latest_status.cancellations.log_end - log_begin, JOBS);
  for (int part = 0; controller->latest_status.cancellations.count && part < 20; part++) {
    const HrNamedCancellations *named = &controller->latest_status.cancellations;
    assert_true (named->count < JOBS);
    for (const char *key = hr_named_cancellations_next (named, NULL); key;
         key = hr_named_cancellations_next (named, key))
      g_hash_table_add (named_ids, g_strdup (key));
    acknowledge (leader, named->first_position + named->count);
    scripted_send_status (controller, leader);
    scripted_run (controller, 0.3);
  }
  assert_int_equal (g_hash_table_size (named_ids), JOBS);
  assert_true (controller->now < started_at + 2.5); /* one part a second would take 4 s */
  scripted_free (controller);
}

/* A leader of a version without named cancellations would not understand them. */
static void
nothing_is_named_to_an_older_version (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  ScriptedController *controller = member_of_refused_leader (&leader);
  leader->cancellations.is_present = FALSE;
  leader->applied_revision = 0;
  scripted_run (controller, 2);
  scripted_request (controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  scripted_run (controller, 3);
  assert_int_equal (controller->latest_status.cancellations.count, 0);
  assert_int_equal (controller->latest_status.latest_cancellation, controller->revision);
  scripted_free (controller);
}

int
main (void)
{
  scripted_log_init ();
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_confirmed_cancellation_is_named_at_once),
      cmocka_unit_test (a_cancellation_is_named_until_the_leader_has_it),
      cmocka_unit_test (an_echo_of_an_earlier_process_acknowledges_nothing),
      cmocka_unit_test (a_log_that_grows_too_long_drops_its_oldest_entries),
      cmocka_unit_test (a_cancellation_without_answer_is_not_named_before_it_is_read),
      cmocka_unit_test (a_cancellation_without_answer_is_confirmed_and_named_once_read),
      cmocka_unit_test (a_cancellation_that_was_read_is_named),
      cmocka_unit_test (a_long_list_is_sent_in_parts),
      cmocka_unit_test (nothing_is_named_to_an_older_version),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
