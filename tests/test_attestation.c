/* How long a leader that the state service does not serve answers its workers, as members name
 * cancellations to it: each case of docs/design.md, "Cancellations that the leader cannot read". */
#include "coordination/command.h"
#include "scripted_controller.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-a"
#define OTHER "job-b"

/* c0 leads, two jobs run on its worker, and the state service has gone away; then c1 confirmed
 * the cancellation of one of them, which c0 cannot read. */
typedef struct {
  ScriptedController *s;
  guint64 stamp; /* of the cancellation */
  HrPeerStatus *c1, *c2;
} Case;

static Case
case_new (void)
{
  Case k = {.s = scripted_new ("c0")};
  ScriptedController *controller = k.s;
  assert_true (controller->said.is_leader);
  scripted_report_for (controller, 6);
  scripted_submit (controller, JOB);
  scripted_submit (controller, OTHER);
  scripted_report_for (controller, 10);
  assert_true (scripted_runs (controller, JOB) && scripted_runs (controller, OTHER));
  controller->served = FALSE;
  k.stamp = scripted_cancel_elsewhere (controller, JOB);
  k.c1 = &controller->members[0].status;
  k.c2 = &controller->members[1].status;
  return k;
}

/* The member's log holds `ends` cancellations, the first of which is named. */
static void
knows (HrPeerStatus *status, guint64 revision, guint64 ends)
{
  status->latest_cancellation = revision;
  status->cancellations.log_end = ends;
}

/* Longer than hold_s: on its own reading c0 would be silent by then. */
static int
much_later (ScriptedController *controller)
{
  return scripted_report_for (controller, controller->pol.hold_s + 4);
}

/* Its tasks are stopped with the next report, others go on for as long as it lasts, and no user
 * is told what only a member said. */
static void
a_named_cancellation_is_carried_out (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 1);
  assert_true (hr_named_cancellations_add (&k.c1->cancellations, JOB));
  assert_int_equal (scripted_report_for (k.s, 4), 200);
  assert_false (scripted_runs (k.s, JOB));
  assert_true (scripted_runs (k.s, OTHER));
  k.s->watched = "h/j/" JOB; /* has changed: a write of what c0 knows of it would be in vain */
  assert_int_equal (scripted_report_for (k.s, 60), 200);
  assert_int_equal (k.s->watched_writes, 0);
  assert_true (scripted_runs (k.s, OTHER));
  assert_int_equal (scripted_ask (k.s, HR_GET, "/v1/jobs/" JOB, NULL), 503);
  assert_int_equal (scripted_ask (k.s, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  k.s->served = TRUE;
  scripted_run (k.s, 5);
  assert_int_equal (scripted_ask (k.s, HR_GET, "/v1/jobs/" JOB, NULL), 200);
  assert_non_null (strstr (k.s->answer, "\"withdrawn\""));
  scripted_run (k.s, 3);
  assert_int_equal (k.s->watched_writes, 1); /* its tombstone */
  assert_int_equal (scripted_report_for (k.s, 4), 200);
  assert_true (scripted_runs (k.s, OTHER));
  scripted_free (k.s);
}

/* The tasks of others are lost then, but no more than that: the rule as it was. */
static void
an_older_version_names_nothing (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 0);
  k.c1->cancellations.is_present = FALSE;
  assert_int_equal (much_later (k.s), 503);
  scripted_free (k.s);
}

static void
a_list_that_was_cut_short_is_not_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 3);
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  assert_int_equal (much_later (k.s), 503);
  assert_false (scripted_runs (k.s, JOB)); /* what was named is stopped all the same */
  /* The rest follows, from where c0 says that it is. */
  assert_int_equal (k.s->said.echoes[0].cancellations_applied, 1);
  k.c1->cancellations.first_position = 1;
  k.c1->cancellations.count = k.c1->cancellations.bytes = 0;
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  hr_named_cancellations_add (&k.c1->cancellations, "job-d");
  assert_int_equal (scripted_report_for (k.s, 4), 200);
  scripted_free (k.s);
}

static void
a_list_with_a_gap_is_not_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 2);
  k.c1->cancellations.first_position = 1;
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  assert_int_equal (much_later (k.s), 503);
  scripted_free (k.s);
}

/* Its log no longer holds all that c0 has not read. */
static void
a_log_that_dropped_some_is_not_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp + 1, 5);
  k.c1->cancellations.dropped_revision = k.stamp;
  k.c1->cancellations.log_begin = k.c1->cancellations.first_position = 4;
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  assert_int_equal (much_later (k.s), 503);
  scripted_free (k.s);
}

/* Not even a place in the log was kept for it. */
static void
an_empty_log_that_lacks_some_is_not_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 0);
  k.c1->cancellations.dropped_revision = k.stamp;
  assert_int_equal (much_later (k.s), 503);
  scripted_free (k.s);
}

/* Nor do statuses that were made before that, and come after it, make up for what was dropped. */
static void
late_copies_after_some_were_dropped (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  HrPeerStatus before;
  knows (k.c1, k.stamp, 1);
  before = *k.c1;
  k.c1->cancellations = (HrNamedCancellations){.is_present = TRUE,
                                               .dropped_revision = k.stamp,
                                               .log_begin = 4,
                                               .first_position = 4,
                                               .log_end = 5};
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  scripted_run (k.s, 2);
  *k.c1 = before;
  assert_int_equal (much_later (k.s), 503);
  scripted_free (k.s);
}

/* What was dropped from the beginning, c0 has read. */
static void
a_log_that_begins_later_is_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 5);
  k.c1->cancellations.dropped_revision = k.s->said.applied_revision;
  k.c1->cancellations.log_begin = k.c1->cancellations.first_position = 4;
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  assert_int_equal (much_later (k.s), 200);
  assert_false (scripted_runs (k.s, JOB));
  scripted_free (k.s);
}

/* It may have confirmed what its new process does not know. */
static void
a_restarted_member_attests_nothing_unread (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  g_strlcpy (k.c1->incarnation, "c1-2", sizeof k.c1->incarnation);
  k.c1->synced = FALSE;
  assert_int_equal (much_later (k.s), 503);
  scripted_free (k.s);
}

/* Positions of one process say nothing in another one's log. */
static void
a_member_that_restarted_names_anew (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 1);
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  assert_int_equal (scripted_report_for (k.s, 4), 200);
  assert_int_equal (k.s->said.echoes[0].cancellations_applied, 1);
  g_strlcpy (k.c1->incarnation, "c1-2", sizeof k.c1->incarnation);
  k.c1->cancellations.count = k.c1->cancellations.bytes = 0; /* of its log of one: not named yet */
  assert_int_equal (much_later (k.s), 503);
  assert_true (scripted_runs (k.s, JOB));
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  assert_int_equal (scripted_report_for (k.s, 4), 200);
  assert_false (scripted_runs (k.s, JOB));
  scripted_free (k.s);
}

/* It stands still between confirming and telling; what it said before comes again and again. */
static void
a_late_copy_is_as_old_as_its_echo (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  k.s->members[0].echo_stays = TRUE;
  assert_int_equal (much_later (k.s), 503);
  scripted_free (k.s);
}

static void
a_newer_leader_counts_whatever_is_named (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 1);
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  k.c1->fencing_token = k.s->said.fencing_token + 1;
  assert_int_equal (much_later (k.s), 503);
  assert_false (scripted_runs (k.s, JOB)); /* final, whoever says so */
  scripted_free (k.s);
}

/* Each answers for itself alone: c2 may have confirmed more than c1 read. */
static void
two_members_each_name_what_they_know (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 1);
  knows (k.c2, k.stamp, 1);
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  assert_int_equal (much_later (k.s), 503);
  hr_named_cancellations_add (&k.c2->cancellations, JOB);
  assert_int_equal (scripted_report_for (k.s, 4), 200);
  scripted_free (k.s);
}

/* c0 reads the submission only after it was told of the cancellation, in an answer that is older
 * than that. Nothing of the job may start. */
static void
a_job_that_is_not_known_yet (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  ScriptedController *controller = k.s;
  g_autofree char *record = NULL;
  for (guint i = 0; i < controller->log->len; i++)
    if (strstr (controller->log->pdata[i], "h/j/" OTHER "\"") && !record) {
      json_t *object = json_loads (controller->log->pdata[i], 0, NULL);
      record = json_dumps (json_object_get (object, "value"), JSON_COMPACT);
      json_decref (object);
    }
  knows (k.c1, k.stamp, 2);
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  scripted_report_for (controller, 4);
  scripted_write (controller, "h/j/job-c", record);
  controller->served = TRUE;
  scripted_report_for (controller, 8);
  assert_false (scripted_runs (controller, "job-c"));
  scripted_free (controller);
}

/* A launch whose answer was lost may come at any time while the worker's incarnation lasts and no
 * newer token is to be had: the worker is not answered, so that its incarnation ends. */
static void
a_late_launch_of_a_cancelled_job (void **state G_GNUC_UNUSED)
{
  ScriptedController *controller = scripted_new ("c0");
  scripted_report_for (controller, 6);
  controller->loses_orders = TRUE;
  scripted_submit (controller, JOB);
  scripted_run (controller, 4);
  assert_true (controller->lost_launches > 0);
  controller->served = FALSE;
  HrPeerStatus *status_row = &controller->members[0].status;
  knows (status_row, scripted_cancel_elsewhere (controller, JOB), 1);
  hr_named_cancellations_add (&status_row->cancellations, JOB);
  int status = scripted_report_for (controller, 10);
  assert_int_equal (status, 503);
  controller->session++; /* its lease is over */
  controller->tally = 0;
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
      cmocka_unit_test (an_older_version_names_nothing),
      cmocka_unit_test (a_list_that_was_cut_short_is_not_enough),
      cmocka_unit_test (a_list_with_a_gap_is_not_enough),
      cmocka_unit_test (a_log_that_dropped_some_is_not_enough),
      cmocka_unit_test (an_empty_log_that_lacks_some_is_not_enough),
      cmocka_unit_test (late_copies_after_some_were_dropped),
      cmocka_unit_test (a_log_that_begins_later_is_enough),
      cmocka_unit_test (a_restarted_member_attests_nothing_unread),
      cmocka_unit_test (a_member_that_restarted_names_anew),
      cmocka_unit_test (a_late_copy_is_as_old_as_its_echo),
      cmocka_unit_test (a_newer_leader_counts_whatever_is_named),
      cmocka_unit_test (two_members_each_name_what_they_know),
      cmocka_unit_test (a_job_that_is_not_known_yet),
      cmocka_unit_test (a_late_launch_of_a_cancelled_job),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
