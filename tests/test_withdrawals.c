/* How a member logs cancellations and names them to a leader that cannot read them. */
#include "coordination/command.h"
#include "scripted.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-a"

/* c1 leads, the state service refuses it, and c0 is served. */
static Script *
member_new (HrPeerStatus **leader)
{
  Script *script = script_new ("c1");
  assert_false (script->said.is_leader);
  script_submit (script, JOB);
  script_run (script, 2);
  *leader = &script->members[0].hint;
  (*leader)->is_leader = TRUE;
  (*leader)->applied_revision = script->epoch;
  script_run (script, 2);
  return script;
}

static gboolean
names (const Script *script, const char *id)
{
  const HrNamedCancellations *named = &script->said.cancellations;
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
  leader->echoes[0].cancellations_taken = taken;
}

static void
a_confirmed_withdrawal_is_named_at_once (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  assert_true (script->said.cancellations.is_stated);
  assert_int_equal (script->said.cancellations.count, 0);
  assert_int_equal (script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  double told = script->now;
  while (!names (script, JOB) && script->now < told + 2)
    script_run (script, 0.1);
  assert_true (names (script, JOB));
  assert_true (script->now < told + 0.45);
  assert_int_equal (script->said.cancellations.log_end - script->said.cancellations.log_begin, 1);
  assert_int_equal (script->said.latest_cancellation, script->epoch);
  script_free (script);
}

/* Until the leader says that it has it, and again to one that has not; it is dropped when the
 * leader has read it. */
static void
it_is_named_until_it_is_known (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  guint64 revision = script->epoch;
  script_run (script, 10);
  assert_true (names (script, JOB));
  guint64 end = script->said.cancellations.log_end;
  acknowledge (leader, end);
  script_run (script, 3);
  assert_int_equal (script->said.cancellations.count, 0);
  assert_int_equal (script->said.cancellations.first_position, end);
  assert_true (script->said.cancellations.dropped_revision < revision);
  g_strlcpy (leader->incarnation, "c1-2", sizeof leader->incarnation);
  acknowledge (leader, 0);
  script_run (script, 3);
  assert_true (names (script, JOB));
  leader->applied_revision = revision;
  script_run (script, 3);
  assert_int_equal (script->said.cancellations.count, 0);
  assert_int_equal (script->said.cancellations.log_begin, end);
  assert_int_equal (script->said.cancellations.dropped_revision, revision);
  script_free (script);
}

/* The leader still echoes a process of c0 that has ended, and how much of its log it had. */
static void
an_echo_of_an_earlier_process (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  script->members[0].echo_stays = TRUE;
  g_strlcpy (leader->echoes[0].incarnation, "c0-0", sizeof leader->echoes[0].incarnation);
  acknowledge (leader, 100);
  script_run (script, 2);
  script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  script_run (script, 3);
  assert_true (names (script, JOB));
  script_free (script);
}

/* Its beginning goes when it grows too long, and the log says so. */
static void
a_log_that_grew_too_long (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 1200 };
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  guint64 first = 0;
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *key = g_strdup_printf ("h/j/job-%06d", i);
    script_write (script, key, "{\"s\":2,\"w\":\"x\",\"n\":1,\"d\":0}");
    first = first ? first : script->epoch;
  }
  script_run (script, 3);
  const HrNamedCancellations *named = &script->said.cancellations;
  assert_true (named->log_end - named->log_begin <= 1024);
  assert_int_equal (script->said.latest_cancellation, script->epoch);
  assert_int_equal (script->epoch - named->dropped_revision, named->log_end - named->log_begin);
  assert_true (named->dropped_revision > first);
  script_free (script);
}

/* The write was carried out, but its answer is lost, and c0 does not know: it tells no user, and
 * states nothing, until it has read it. */
static void
a_write_whose_answer_was_lost (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  guint64 before = script->said.latest_cancellation, store_revision = script->epoch;
  script->loses_writes = script->out_after_loss = TRUE;
  assert_int_equal (script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  assert_int_equal (script->epoch, store_revision + 1);
  assert_false (script->served);
  script_run (script, 5);
  assert_int_equal (script->said.latest_cancellation, before);
  assert_false (names (script, JOB));
  assert_int_equal (script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 503);
  script->loses_writes = FALSE;
  script->served = TRUE;
  script_run (script, 2);
  assert_int_equal (script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  assert_non_null (strstr (script->answer, "\"withdrawn\""));
  script_run (script, 0.5);
  assert_true (names (script, JOB));
  assert_int_equal (script->said.latest_cancellation, store_revision + 1);
  script_free (script);
}

/* The same, but c0 can read: the user is told after that reading, and the job is named. */
static void
a_write_that_is_read_before_its_user_is_told (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  script->loses_writes = TRUE;
  guint64 store_revision = script->epoch;
  assert_int_equal (script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL), 200);
  assert_non_null (strstr (script->answer, "\"withdrawn\""));
  assert_int_equal (script->epoch, store_revision + 1);
  script_run (script, 1.2);
  assert_true (names (script, JOB));
  assert_int_equal (script->said.latest_cancellation, store_revision + 1);
  script_free (script);
}

/* What another member confirmed, and c0 read, is c0's to name as well. */
static void
a_withdrawal_that_was_read_is_named (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  script_withdraw (script, JOB);
  script_run (script, 3);
  assert_true (names (script, JOB));
  script_free (script);
}

/* More than a status holds: each names a part, from where the leader is. */
static void
a_long_list_goes_in_parts (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 300 };
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  g_autoptr (GHashTable) told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *id = g_strdup_printf ("job-%06d", i);
    script_submit (script, id);
    leader->applied_revision = script->epoch;
  }
  script_run (script, 2);
  for (int i = 0; i < JOBS; i++) {
    g_autofree char *id = g_strdup_printf ("job-%06d", i);
    script_withdraw (script, id);
  }
  script_run (script, 3);
  double from = script->now;
  guint64 begins = script->said.cancellations.log_begin;
  assert_int_equal (script->said.cancellations.log_end - begins, JOBS);
  for (int part = 0; script->said.cancellations.count && part < 20; part++) {
    const HrNamedCancellations *named = &script->said.cancellations;
    assert_true (named->count < JOBS);
    for (const char *key = hr_named_cancellations_next (named, NULL); key;
         key = hr_named_cancellations_next (named, key))
      g_hash_table_add (told, g_strdup (key));
    acknowledge (leader, named->first_position + named->count);
    script_hint (script, leader);
    script_run (script, 0.3);
  }
  assert_int_equal (g_hash_table_size (told), JOBS);
  assert_true (script->now < from + 2.5); /* one a second would take 4 s */
  script_free (script);
}

/* It would not understand them. */
static void
nothing_is_named_to_an_older_version (void **state G_GNUC_UNUSED)
{
  HrPeerStatus *leader;
  Script *script = member_new (&leader);
  leader->cancellations.is_stated = FALSE;
  leader->applied_revision = 0;
  script_run (script, 2);
  script_ask (script, HR_POST, "/v1/jobs/" JOB "/abort", NULL);
  script_run (script, 3);
  assert_int_equal (script->said.cancellations.count, 0);
  assert_int_equal (script->said.latest_cancellation, script->epoch);
  script_free (script);
}

int
main (void)
{
  script_log_init ();
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_confirmed_withdrawal_is_named_at_once),
      cmocka_unit_test (it_is_named_until_it_is_known),
      cmocka_unit_test (an_echo_of_an_earlier_process),
      cmocka_unit_test (a_log_that_grew_too_long),
      cmocka_unit_test (a_write_whose_answer_was_lost),
      cmocka_unit_test (a_write_that_is_read_before_its_user_is_told),
      cmocka_unit_test (a_withdrawal_that_was_read_is_named),
      cmocka_unit_test (a_long_list_goes_in_parts),
      cmocka_unit_test (nothing_is_named_to_an_older_version),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
