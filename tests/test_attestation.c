/* How long a leader that the state store refuses keeps answering its workers, depending on the
 * cancellations that the other members name to it in their statuses. Covers each case of
 * docs/design.md, "Cancellations that the leader cannot read". */
#include "coordination/command.h"
#include "scripted_controller.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-a"
#define OTHER "job-b"

/* c0 leads, its worker runs two jobs, and the state store refuses c0. Then another controller
 * cancels JOB, which c0 cannot read. */
typedef struct {
  ScriptedController *controller;
  guint64 cancelled_at;  /* revision of the cancellation */
  HrPeerStatus *c1, *c2; /* the statuses that the members send */
} RefusedLeader;

static RefusedLeader
refused_leader_new (void)
{
  RefusedLeader leader = {.controller = scripted_new ("c0")};
  ScriptedController *controller = leader.controller;
  assert_true (controller->latest_status.is_leader);
  scripted_report_for (controller, 6);
  scripted_submit (controller, JOB);
  scripted_submit (controller, OTHER);
  scripted_report_for (controller, 10);
  assert_true (scripted_has_task (controller, JOB) && scripted_has_task (controller, OTHER));
  controller->store_available = FALSE;
  leader.cancelled_at = scripted_cancel_by_other (controller, JOB);
  leader.c1 = &controller->members[0].status;
  leader.c2 = &controller->members[1].status;
  return leader;
}

/* Sets the member's latest cancellation and the end of its cancellation log. */
static void
set_cancellation_log (HrPeerStatus *status, guint64 revision, guint64 log_end)
{
  status->latest_cancellation = revision;
  status->cancellations.log_end = log_end;
}

/* Sends heartbeats for longer than hold_s: without attestations, c0 stops answering by then.
 * Returns the status of the last answer. */
static int
report_beyond_hold (ScriptedController *controller)
{
  return scripted_report_for (controller, controller->policy.hold_s + 4);
}

/* The tasks of a named cancellation are stopped with the next heartbeat. Other tasks keep running
 * while the state store refuses c0. Users get no answer that relies on a member's status alone. */
static void
a_named_cancellation_is_carried_out (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 1);
  assert_true (hr_named_cancellations_add (&leader.c1->cancellations, JOB));
  assert_int_equal (scripted_report_for (leader.controller, 4), 200);
  assert_false (scripted_has_task (leader.controller, JOB));
  assert_true (scripted_has_task (leader.controller, OTHER));
  /* The record has changed since c0 read it: a write by c0 would conflict. */
  leader.controller->counted_key = "h/j/" JOB;
  assert_int_equal (scripted_report_for (leader.controller, 60), 200);
  assert_int_equal (leader.controller->counted_writes, 0);
  assert_true (scripted_has_task (leader.controller, OTHER));
  assert_int_equal (scripted_request (leader.controller, HR_GET, "/v1/jobs/" JOB, NULL), 503);
  assert_int_equal (scripted_request (leader.controller, HR_POST, "/v1/jobs/" JOB "/abort", NULL),
                    503);
  leader.controller->store_available = TRUE;
  scripted_run (leader.controller, 5);
  assert_int_equal (scripted_request (leader.controller, HR_GET, "/v1/jobs/" JOB, NULL), 200);
  assert_non_null (strstr (leader.controller->answer, "\"withdrawn\""));
  scripted_run (leader.controller, 3);
  assert_int_equal (leader.controller->counted_writes, 1); /* the tombstone */
  assert_int_equal (scripted_report_for (leader.controller, 4), 200);
  assert_true (scripted_has_task (leader.controller, OTHER));
  scripted_free (leader.controller);
}

/* A member of a version without cancellation log attests nothing once it knows a cancellation that
 * c0 has not read: c0 stops answering, and its workers' leases run out. */
static void
a_member_of_an_older_version_attests_nothing (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 0);
  leader.c1->cancellations.is_present = FALSE;
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  scripted_free (leader.controller);
}

static void
a_truncated_list_is_not_enough (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 3);
  hr_named_cancellations_add (&leader.c1->cancellations, JOB);
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  /* A named cancellation takes effect anyway. */
  assert_false (scripted_has_task (leader.controller, JOB));
  /* The rest of the list follows from the position that c0 acknowledges. */
  assert_int_equal (leader.controller->latest_status.echoes[0].cancellations_applied, 1);
  leader.c1->cancellations.first_position = 1;
  leader.c1->cancellations.count = leader.c1->cancellations.bytes = 0;
  hr_named_cancellations_add (&leader.c1->cancellations, "job-c");
  hr_named_cancellations_add (&leader.c1->cancellations, "job-d");
  assert_int_equal (scripted_report_for (leader.controller, 4), 200);
  scripted_free (leader.controller);
}

static void
a_list_with_a_gap_is_not_enough (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 2);
  leader.c1->cancellations.first_position = 1;
  hr_named_cancellations_add (&leader.c1->cancellations, "job-c");
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  scripted_free (leader.controller);
}

/* The member's log dropped a cancellation that c0 has not read. */
static void
a_log_that_dropped_unread_entries_is_not_enough (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at + 1, 5);
  leader.c1->cancellations.dropped_revision = leader.cancelled_at;
  leader.c1->cancellations.log_begin = leader.c1->cancellations.first_position = 4;
  hr_named_cancellations_add (&leader.c1->cancellations, "job-c");
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  scripted_free (leader.controller);
}

/* The member's log dropped the cancellation and holds no position for it. */
static void
an_empty_log_that_dropped_entries_is_not_enough (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 0);
  leader.c1->cancellations.dropped_revision = leader.cancelled_at;
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  scripted_free (leader.controller);
}

/* A status from before the drop that arrives after it does not restore the dropped entries. */
static void
a_late_status_does_not_restore_dropped_entries (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  HrPeerStatus before;
  set_cancellation_log (leader.c1, leader.cancelled_at, 1);
  before = *leader.c1;
  leader.c1->cancellations = (HrNamedCancellations){.is_present = TRUE,
                                                    .dropped_revision = leader.cancelled_at,
                                                    .log_begin = 4,
                                                    .first_position = 4,
                                                    .log_end = 5};
  hr_named_cancellations_add (&leader.c1->cancellations, "job-c");
  scripted_run (leader.controller, 2);
  *leader.c1 = before;
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  scripted_free (leader.controller);
}

/* The member's log dropped only cancellations that c0 has read. */
static void
a_log_that_dropped_only_read_entries_is_enough (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 5);
  leader.c1->cancellations.dropped_revision = leader.controller->latest_status.applied_revision;
  leader.c1->cancellations.log_begin = leader.c1->cancellations.first_position = 4;
  hr_named_cancellations_add (&leader.c1->cancellations, JOB);
  assert_int_equal (report_beyond_hold (leader.controller), 200);
  assert_false (scripted_has_task (leader.controller, JOB));
  scripted_free (leader.controller);
}

/* The member's earlier process may have confirmed a cancellation that the new one has not read. */
static void
a_restarted_member_attests_nothing_before_it_has_synced (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  g_strlcpy (leader.c1->incarnation, "c1-2", sizeof leader.c1->incarnation);
  leader.c1->synced = FALSE;
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  scripted_free (leader.controller);
}

/* Positions in the log of an earlier process mean nothing in the log of the new process. */
static void
a_restarted_member_names_its_cancellations_again (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 1);
  hr_named_cancellations_add (&leader.c1->cancellations, "job-c");
  assert_int_equal (scripted_report_for (leader.controller, 4), 200);
  assert_int_equal (leader.controller->latest_status.echoes[0].cancellations_applied, 1);
  g_strlcpy (leader.c1->incarnation, "c1-2", sizeof leader.c1->incarnation);
  /* The only entry of the new log is not named yet. */
  leader.c1->cancellations.count = leader.c1->cancellations.bytes = 0;
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  assert_true (scripted_has_task (leader.controller, JOB));
  hr_named_cancellations_add (&leader.c1->cancellations, JOB);
  assert_int_equal (scripted_report_for (leader.controller, 4), 200);
  assert_false (scripted_has_task (leader.controller, JOB));
  scripted_free (leader.controller);
}

/* The member is paused after it confirms the cancellation and before it sends a status, while
 * copies of its earlier status keep arriving. */
static void
a_late_status_is_as_old_as_its_echo (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  leader.controller->members[0].repeats_echo = TRUE;
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  scripted_free (leader.controller);
}

/* A member that has read a newer leader record attests nothing for c0. */
static void
a_newer_leader_ends_the_attestation (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 1);
  hr_named_cancellations_add (&leader.c1->cancellations, JOB);
  leader.c1->fencing_token = leader.controller->latest_status.fencing_token + 1;
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  /* A cancellation is final, whichever member names it. */
  assert_false (scripted_has_task (leader.controller, JOB));
  scripted_free (leader.controller);
}

/* Each member's status covers that member alone: c2 may have confirmed cancellations that c1 has
 * not read. */
static void
every_member_has_to_name_its_cancellations (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  set_cancellation_log (leader.c1, leader.cancelled_at, 1);
  set_cancellation_log (leader.c2, leader.cancelled_at, 1);
  hr_named_cancellations_add (&leader.c1->cancellations, JOB);
  assert_int_equal (report_beyond_hold (leader.controller), 503);
  hr_named_cancellations_add (&leader.c2->cancellations, JOB);
  assert_int_equal (scripted_report_for (leader.controller, 4), 200);
  scripted_free (leader.controller);
}

/* c0 reads the submission of a job only after a member named its cancellation, and before it reads
 * the cancellation itself. No task of the job may start. */
static void
a_cancelled_job_that_is_read_later_does_not_start (void **state G_GNUC_UNUSED)
{
  RefusedLeader leader = refused_leader_new ();
  ScriptedController *controller = leader.controller;
  g_autofree char *record = NULL;
  for (guint i = 0; i < controller->log->len; i++)
    if (strstr (controller->log->pdata[i], "h/j/" OTHER "\"") && !record) {
      json_t *object = json_loads (controller->log->pdata[i], 0, NULL);
      record = json_dumps (json_object_get (object, "value"), JSON_COMPACT);
      json_decref (object);
    }
  set_cancellation_log (leader.c1, leader.cancelled_at, 2);
  hr_named_cancellations_add (&leader.c1->cancellations, JOB);
  hr_named_cancellations_add (&leader.c1->cancellations, "job-c");
  scripted_report_for (controller, 4);
  scripted_write (controller, "h/j/job-c", record);
  controller->store_available = TRUE;
  scripted_report_for (controller, 8);
  assert_false (scripted_has_task (controller, "job-c"));
  scripted_free (controller);
}

/* A launch whose answer was lost may arrive at any time during the worker's incarnation, and c0
 * cannot raise its fencing token without the state store. c0 does not answer the worker, so that
 * its incarnation ends. */
static void
a_possible_late_launch_of_a_cancelled_job_ends_the_lease (void **state G_GNUC_UNUSED)
{
  ScriptedController *controller = scripted_new ("c0");
  scripted_report_for (controller, 6);
  controller->loses_orders = TRUE;
  scripted_submit (controller, JOB);
  scripted_run (controller, 4);
  assert_true (controller->lost_launches > 0);
  controller->store_available = FALSE;
  HrPeerStatus *peer_status = &controller->members[0].status;
  set_cancellation_log (peer_status, scripted_cancel_by_other (controller, JOB), 1);
  hr_named_cancellations_add (&peer_status->cancellations, JOB);
  int status = scripted_report_for (controller, 10);
  assert_int_equal (status, 503);
  controller->incarnation++; /* the lease ran out */
  controller->sequence = 0;
  assert_int_equal (scripted_report (controller), 200);
  assert_int_equal (scripted_report_for (controller, 40), 200);
  scripted_free (controller);
}

int
main (void)
{
  scripted_log_init ();
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_named_cancellation_is_carried_out),
      cmocka_unit_test (a_member_of_an_older_version_attests_nothing),
      cmocka_unit_test (a_truncated_list_is_not_enough),
      cmocka_unit_test (a_list_with_a_gap_is_not_enough),
      cmocka_unit_test (a_log_that_dropped_unread_entries_is_not_enough),
      cmocka_unit_test (an_empty_log_that_dropped_entries_is_not_enough),
      cmocka_unit_test (a_late_status_does_not_restore_dropped_entries),
      cmocka_unit_test (a_log_that_dropped_only_read_entries_is_enough),
      cmocka_unit_test (a_restarted_member_attests_nothing_before_it_has_synced),
      cmocka_unit_test (a_restarted_member_names_its_cancellations_again),
      cmocka_unit_test (a_late_status_is_as_old_as_its_echo),
      cmocka_unit_test (a_newer_leader_ends_the_attestation),
      cmocka_unit_test (every_member_has_to_name_its_cancellations),
      cmocka_unit_test (a_cancelled_job_that_is_read_later_does_not_start),
      cmocka_unit_test (a_possible_late_launch_of_a_cancelled_job_ends_the_lease),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
