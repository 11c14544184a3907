/* How long a leader that the state service does not serve answers its workers, as members name
 * cancellations to it: each case of docs/design.md, "Cancellations that the leader cannot read". */
#include "coordination/command.h"
#include "scripted.h"
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
  Script *s;
  guint64 stamp; /* of the cancellation */
  HrPeerStatus *c1, *c2;
} Case;

static Case
case_new (void)
{
  Case k = {.s = script_new ("c0")};
  Script *script = k.s;
  assert_true (script->said.is_leader);
  script_report_for (script, 6);
  script_submit (script, JOB);
  script_submit (script, OTHER);
  script_report_for (script, 10);
  assert_true (script_runs (script, JOB) && script_runs (script, OTHER));
  script->served = FALSE;
  k.stamp = script_withdraw (script, JOB);
  k.c1 = &script->members[0].hint;
  k.c2 = &script->members[1].hint;
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
much_later (Script *script)
{
  return script_report_for (script, script->pol.hold_s + 4);
}

/* Its tasks are stopped with the next report, others go on for as long as it lasts, and no user
 * is told what only a member said. */
static void
a_named_withdrawal_is_carried_out (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 1);
  assert_true (hr_named_cancellations_add (&k.c1->cancellations, JOB));
  assert_int_equal (script_report_for (k.s, 4), 200);
  assert_false (script_runs (k.s, JOB));
  assert_true (script_runs (k.s, OTHER));
  k.s->watched = "h/j/" JOB; /* has changed: a write of what c0 knows of it would be in vain */
  assert_int_equal (script_report_for (k.s, 60), 200);
  assert_int_equal (k.s->watched_writes, 0);
  assert_true (script_runs (k.s, OTHER));
  assert_int_equal (script_ask (k.s, HR_GET, "/v1/jobs/" JOB, NULL), 503);
  assert_int_equal (script_ask (k.s, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  k.s->served = TRUE;
  script_run (k.s, 5);
  assert_int_equal (script_ask (k.s, HR_GET, "/v1/jobs/" JOB, NULL), 200);
  assert_non_null (strstr (k.s->answer, "\"withdrawn\""));
  script_run (k.s, 3);
  assert_int_equal (k.s->watched_writes, 1); /* its tombstone */
  assert_int_equal (script_report_for (k.s, 4), 200);
  assert_true (script_runs (k.s, OTHER));
  script_free (k.s);
}

/* The tasks of others are lost then, but no more than that: the rule as it was. */
static void
an_older_version_names_nothing (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 0);
  k.c1->cancellations.is_stated = FALSE;
  assert_int_equal (much_later (k.s), 503);
  script_free (k.s);
}

static void
a_list_that_was_cut_short_is_not_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 3);
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  assert_int_equal (much_later (k.s), 503);
  assert_false (script_runs (k.s, JOB)); /* what was named is stopped all the same */
  /* The rest follows, from where c0 says that it is. */
  assert_int_equal (k.s->said.echoes[0].cancellations_taken, 1);
  k.c1->cancellations.first_position = 1;
  k.c1->cancellations.count = k.c1->cancellations.bytes = 0;
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  hr_named_cancellations_add (&k.c1->cancellations, "job-d");
  assert_int_equal (script_report_for (k.s, 4), 200);
  script_free (k.s);
}

static void
a_list_with_a_gap_is_not_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 2);
  k.c1->cancellations.first_position = 1;
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  assert_int_equal (much_later (k.s), 503);
  script_free (k.s);
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
  script_free (k.s);
}

/* Not even a place in the log was kept for it. */
static void
an_empty_log_that_lacks_some_is_not_enough (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 0);
  k.c1->cancellations.dropped_revision = k.stamp;
  assert_int_equal (much_later (k.s), 503);
  script_free (k.s);
}

/* Nor do statuses that were made before that, and come after it, make up for what was dropped. */
static void
late_copies_after_some_were_dropped (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  HrPeerStatus before;
  knows (k.c1, k.stamp, 1);
  before = *k.c1;
  k.c1->cancellations = (HrNamedCancellations){.is_stated = TRUE,
                                               .dropped_revision = k.stamp,
                                               .log_begin = 4,
                                               .first_position = 4,
                                               .log_end = 5};
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  script_run (k.s, 2);
  *k.c1 = before;
  assert_int_equal (much_later (k.s), 503);
  script_free (k.s);
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
  assert_false (script_runs (k.s, JOB));
  script_free (k.s);
}

/* It may have confirmed what its new process does not know. */
static void
a_member_that_restarted_says_nothing_unread (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  g_strlcpy (k.c1->incarnation, "c1-2", sizeof k.c1->incarnation);
  k.c1->synced = FALSE;
  assert_int_equal (much_later (k.s), 503);
  script_free (k.s);
}

/* Positions of one process say nothing in another one's log. */
static void
a_member_that_restarted_names_anew (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 1);
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  assert_int_equal (script_report_for (k.s, 4), 200);
  assert_int_equal (k.s->said.echoes[0].cancellations_taken, 1);
  g_strlcpy (k.c1->incarnation, "c1-2", sizeof k.c1->incarnation);
  k.c1->cancellations.count = k.c1->cancellations.bytes = 0; /* of its log of one: not named yet */
  assert_int_equal (much_later (k.s), 503);
  assert_true (script_runs (k.s, JOB));
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  assert_int_equal (script_report_for (k.s, 4), 200);
  assert_false (script_runs (k.s, JOB));
  script_free (k.s);
}

/* It stands still between confirming and telling; what it said before comes again and again. */
static void
a_late_copy_is_as_old_as_its_echo (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  k.s->members[0].echo_stays = TRUE;
  assert_int_equal (much_later (k.s), 503);
  script_free (k.s);
}

static void
a_newer_owner_counts_whatever_is_named (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  knows (k.c1, k.stamp, 1);
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  k.c1->fencing_token = k.s->said.fencing_token + 1;
  assert_int_equal (much_later (k.s), 503);
  assert_false (script_runs (k.s, JOB)); /* final, whoever says so */
  script_free (k.s);
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
  assert_int_equal (script_report_for (k.s, 4), 200);
  script_free (k.s);
}

/* c0 reads the submission only after it was told of the cancellation, in an answer that is older
 * than that. Nothing of the job may start. */
static void
a_job_that_is_not_known_yet (void **state G_GNUC_UNUSED)
{
  Case k = case_new ();
  Script *script = k.s;
  g_autofree char *record = NULL;
  for (guint i = 0; i < script->log->len; i++)
    if (strstr (script->log->pdata[i], "h/j/" OTHER "\"") && !record) {
      json_t *object = json_loads (script->log->pdata[i], 0, NULL);
      record = json_dumps (json_object_get (object, "value"), JSON_COMPACT);
      json_decref (object);
    }
  knows (k.c1, k.stamp, 2);
  hr_named_cancellations_add (&k.c1->cancellations, JOB);
  hr_named_cancellations_add (&k.c1->cancellations, "job-c");
  script_report_for (script, 4);
  script_write (script, "h/j/job-c", record);
  script->served = TRUE;
  script_report_for (script, 8);
  assert_false (script_runs (script, "job-c"));
  script_free (script);
}

/* A launch whose answer was lost may come at any time while the worker's incarnation lasts and no
 * newer token is to be had: the worker is not answered, so that its incarnation ends. */
static void
a_late_launch_of_a_withdrawn_job (void **state G_GNUC_UNUSED)
{
  Script *script = script_new ("c0");
  script_report_for (script, 6);
  script->loses_orders = TRUE;
  script_submit (script, JOB);
  script_run (script, 4);
  assert_true (script->lost_launches > 0);
  script->served = FALSE;
  HrPeerStatus *status_row = &script->members[0].hint;
  knows (status_row, script_withdraw (script, JOB), 1);
  hr_named_cancellations_add (&status_row->cancellations, JOB);
  int status = script_report_for (script, 10);
  assert_int_equal (status, 503);
  script->session++; /* its lease is over */
  script->tally = 0;
  assert_int_equal (script_report (script), 200);
  assert_int_equal (script_report_for (script, 40), 200);
  script_free (script);
}

int
main (void)
{
  script_log_init ();
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_named_withdrawal_is_carried_out),
      cmocka_unit_test (an_older_version_names_nothing),
      cmocka_unit_test (a_list_that_was_cut_short_is_not_enough),
      cmocka_unit_test (a_list_with_a_gap_is_not_enough),
      cmocka_unit_test (a_log_that_dropped_some_is_not_enough),
      cmocka_unit_test (an_empty_log_that_lacks_some_is_not_enough),
      cmocka_unit_test (late_copies_after_some_were_dropped),
      cmocka_unit_test (a_log_that_begins_later_is_enough),
      cmocka_unit_test (a_member_that_restarted_says_nothing_unread),
      cmocka_unit_test (a_member_that_restarted_names_anew),
      cmocka_unit_test (a_late_copy_is_as_old_as_its_echo),
      cmocka_unit_test (a_newer_owner_counts_whatever_is_named),
      cmocka_unit_test (two_members_each_name_what_they_know),
      cmocka_unit_test (a_job_that_is_not_known_yet),
      cmocka_unit_test (a_late_launch_of_a_withdrawn_job),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
