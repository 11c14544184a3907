/* A record that is split while a controller reads the whole state store: the state that the
 * controller then reports to the user. Each test supplies the store's responses one by one.
 * src/bookkeeping/record_fields.h explains the members of records. */
#include "coordination/core.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-000001"
/* Records as JSON text. SPEC: the specification of a job of three tasks. MAIN: a main record with q
 * tasks per page (0: it holds the tasks itself) and the text `more` of further members. PAGE: a
 * page with the array x of tasks. In arrays of tasks, 1 is done and 0 was never placed. */
#define SPEC                                                                                       \
  "[\"k\",\"crew\",\"i\",0,2,3,4.0,1.0,30.0,1.0,null,39.0,0.0,0.0,null,false,false,true,88.0]"
#define MAIN(q, more) "{\"w\":\"a.1\",\"s\":0,\"t\":1.0,\"q\":" q ",\"j\":" SPEC more "}"
#define PAGE(x) "{\"w\":\"a.2\",\"x\":" x "}"

typedef struct {
  HrNames names;
  HrSettings *settings;
  HrPolicy policy;
  HrCore *core;
  double now;
  GPtrArray *effects; /* HrEffect: not answered yet */
} Fixture;

static void
fixture_init (Fixture *fixture)
{
  static const char *const settings_text =
      "{\"label\":\"c0\",\"area\":\"z\",\"front\":\"127.0.0.1:1\",\"back\":\"127.0.0.1:2\","
      "\"members\":[{\"label\":\"c1\",\"area\":\"z\",\"endpoint\":\"127.0.0.1:3\"}],"
      "\"outside\":{\"cloud\":\"127.0.0.1:4\",\"state\":\"127.0.0.1:5\"},\"facts\":{"
      "\"teams\":[{\"name\":\"crew\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}],"
      "\"workers\":{\"report_s\":2.5,\"lease_s\":14,\"gang_wait_s\":30,\"gang_peer_s\":4,"
      "\"cancel_s\":36},\"state\":{\"rps\":100,\"write_rps\":50,\"value_kb\":4,\"txn_ops\":12,"
      "\"next\":{\"value_kb\":2}},\"cloud\":{\"rps\":8,\"list_lag_s\":3}}}";
  memset (fixture, 0, sizeof *fixture);
  hr_names_init (&fixture->names);
  json_t *root = json_loads (settings_text, 0, NULL);
  fixture->settings = hr_settings_parse (root, &fixture->names, NULL);
  json_decref (root);
  assert_non_null (fixture->settings);
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  hr_core_policy_vars (fixture->settings, vars);
  assert_true (hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &fixture->policy, NULL));
  fixture->core = hr_core_new (fixture->settings, &fixture->policy, &fixture->names, "0-1", 1);
  fixture->effects = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
}

static void
fixture_clear (Fixture *fixture)
{
  hr_core_free (fixture->core);
  hr_settings_free (fixture->settings);
  hr_names_clear (&fixture->names);
  g_ptr_array_unref (fixture->effects);
}

static void
run_step (Fixture *fixture, HrCommand *command)
{
  g_autoptr (GPtrArray) commands = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_ptr_array_add (commands, command);
  fixture->now += 0.1;
  hr_core_step (fixture->core, fixture->now, 1e9 + fixture->now, commands, fixture->effects);
}

/* Answers the first open call whose path has this prefix. */
static void
answer_call (Fixture *fixture, const char *path, const char *body)
{
  for (guint i = 0; i < fixture->effects->len; i++) {
    HrEffect *effect = fixture->effects->pdata[i];
    if (effect->kind != HR_EFFECT_CALL || !g_str_has_prefix (effect->call.path, path))
      continue;
    HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
    command->id = effect->id;
    command->result.status = 200;
    command->body = g_bytes_new (body, strlen (body));
    g_ptr_array_remove_index (fixture->effects, i);
    run_step (fixture, command);
    return;
  }
  fail_msg ("no open call to %s", path);
}

/* Returns how many tasks are done according to the status of the job, -1 with an error reply, -2
 * without a reply. `changes` answers the read that the request triggers. */
static int
polled_done_count (Fixture *fixture, const char *changes)
{
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = 77;
  command->request.method = HR_GET;
  command->request.path = g_strdup ("/v1/jobs/" JOB);
  fixture->now += 2; /* no read is under way by then */
  run_step (fixture, command);
  /* Removes the open watch, so that answer_call() finds the read. */
  for (guint i = 0; i < fixture->effects->len; i++) {
    HrEffect *effect = fixture->effects->pdata[i];
    if (effect->kind == HR_EFFECT_CALL && strstr (effect->call.path, "hold_ms=10000"))
      g_ptr_array_remove_index (fixture->effects, i--);
  }
  answer_call (fixture, "/changes", changes);
  for (guint i = 0; i < fixture->effects->len; i++) {
    HrEffect *effect = fixture->effects->pdata[i];
    if (effect->kind != HR_EFFECT_REPLY || effect->id != 77)
      continue;
    json_t *object = json_loads (effect->body, 0, NULL);
    int n =
        effect->reply.status == 200 ? json_integer_value (json_object_get (object, "done")) : -1;
    json_decref (object);
    g_ptr_array_remove_index (fixture->effects, i);
    return n;
  }
  return -2;
}

/* Responses of the state store: ROWS answers a read of all keys (/kv), LOG a read of changes
 * (/changes). stamp: the revision at which the key was written; epoch: the revision of the store.
 * Main records have the key h/j/ID. Pages have the key h/t/ID/PAGE or, after a split,
 * h/u/ID/TASKS_PER_PAGE/PAGE. A split writes the new pages (staged pages) before or together with
 * the main record, which refers to them by q, the page size, and u = 1, the form of their keys. */
#define ROW(path, value, stamp) "{\"path\":\"" path "\",\"value\":" value ",\"stamp\":" stamp "}"
#define SET(path, value, stamp) "{\"set\":\"" path "\",\"value\":" value ",\"stamp\":" stamp "}"
#define ROWS(rows, more, epoch) "{\"rows\":[" rows "],\"more\":" more ",\"epoch\":" epoch "}"
#define LOG(log, epoch) "{\"epoch\":" epoch ",\"log\":[" log "]}"

static void
fixture_start (Fixture *fixture)
{
  fixture_init (fixture);
  run_step (fixture, hr_command_new (HR_COMMAND_TICK));
}

/* Guards against lost tasks: the main record is read before the split, and the old pages are
 * deleted before the read reaches them, so that only the staged pages hold their contents. */
static void
old_pages_deleted_during_the_read (void **state G_GNUC_UNUSED)
{
  Fixture fixture;
  fixture_start (&fixture);
  answer_call (&fixture, "/kv?", ROWS (ROW ("h/j/" JOB, MAIN ("2", ""), "10"), "true", "20"));
  answer_call (&fixture, "/kv?",
               ROWS (ROW ("h/u/" JOB "/1/0", PAGE ("[1]"),
                          "21") "," ROW ("h/u/" JOB "/1/1", PAGE ("[0]"),
                                         "21") "," ROW ("h/u/" JOB "/1/2", PAGE ("[1]"), "22"),
                     "false", "25"));
  assert_int_equal (
      polled_done_count (
          &fixture,
          LOG (SET ("h/u/" JOB "/1/0", PAGE ("[1]"), "21") "," SET (
                   "h/u/" JOB "/1/1", PAGE ("[0]"),
                   "21") "," SET ("h/u/" JOB "/1/2", PAGE ("[1]"),
                                  "22") "," SET ("h/j/" JOB, MAIN ("1", ",\"u\":1"), "23"),
               "25")),
      2);
  fixture_clear (&fixture);
}

/* Guards against an outdated page: the page changes after the split. The read returns its new
 * version, and the changes that follow begin with the version before that. */
static void
page_changed_after_the_split (void **state G_GNUC_UNUSED)
{
  Fixture fixture;
  fixture_start (&fixture);
  answer_call (&fixture, "/kv?",
               ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,0,0]"), "10"), "true", "20"));
  answer_call (&fixture, "/kv?",
               ROWS (ROW ("h/u/" JOB "/2/0", PAGE ("[1,1]"), "24") "," ROW ("h/u/" JOB "/2/1",
                                                                            PAGE ("[0]"), "21"),
                     "false", "25"));
  assert_int_equal (
      polled_done_count (
          &fixture, LOG (SET ("h/u/" JOB "/2/0", PAGE ("[1,0]"), "21") "," SET (
                             "h/u/" JOB "/2/1", PAGE ("[0]"),
                             "21") "," SET ("h/j/" JOB, MAIN ("2", ",\"u\":1"),
                                            "23") "," SET ("h/u/" JOB "/2/0", PAGE ("[1,1]"), "24"),
                         "25")),
      2);
  fixture_clear (&fixture);
}

/* Staged pages are ignored until the main record refers to them. */
static void
unreferenced_staged_pages_are_ignored (void **state G_GNUC_UNUSED)
{
  Fixture fixture;
  fixture_start (&fixture);
  answer_call (&fixture, "/kv?",
               ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,0,0]"),
                          "10") "," ROW ("h/u/" JOB "/2/0", PAGE ("[1,1]"), "11"),
                     "false", "20"));
  assert_int_equal (
      polled_done_count (&fixture, LOG (SET ("h/u/" JOB "/2/1", PAGE ("[1]"), "21"), "21")), 1);
  fixture_clear (&fixture);
}

/* The whole split arrives in one transaction, with the main record first or last. */
static void
split_in_one_transaction (void **state G_GNUC_UNUSED)
{
  static const char *const logs[] = {
      LOG (SET ("h/j/" JOB, MAIN ("2", ",\"u\":1"),
                "21") "," SET ("h/u/" JOB "/2/0", PAGE ("[1,1]"),
                               "21") "," SET ("h/u/" JOB "/2/1", PAGE ("[0]"), "21"),
           "21"),
      LOG (SET ("h/u/" JOB "/2/0", PAGE ("[1,1]"),
                "21") "," SET ("h/u/" JOB "/2/1", PAGE ("[0]"),
                               "21") "," SET ("h/j/" JOB, MAIN ("2", ",\"u\":1"), "21"),
           "21")};
  for (guint i = 0; i < G_N_ELEMENTS (logs); i++) {
    Fixture fixture;
    fixture_start (&fixture);
    answer_call (&fixture, "/kv?",
                 ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,1,0]"), "10"), "false", "20"));
    assert_int_equal (polled_done_count (&fixture, logs[i]), 2);
    assert_int_equal (
        polled_done_count (&fixture, LOG (SET ("h/u/" JOB "/2/1", PAGE ("[1]"), "22"), "22")), 3);
    fixture_clear (&fixture);
  }
}

/* A controller of format 0 takes pages of another size for pages of its own size and misreads them.
 * Therefore no record is split while such a controller is a member. */
static void
format_0_misreads_split_records (void **state G_GNUC_UNUSED)
{
  Fixture fixture;
  fixture_init (&fixture);
  hr_core_set_supported_format (fixture.core, 0);
  run_step (&fixture, hr_command_new (HR_COMMAND_TICK));
  answer_call (&fixture, "/kv?",
               ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,1,0]"), "10"), "false", "20"));
  assert_int_equal (polled_done_count (
                        &fixture, LOG (SET ("h/u/" JOB "/2/0", PAGE ("[1,1]"), "21") "," SET (
                                           "h/u/" JOB "/2/1", PAGE ("[0]"),
                                           "21") "," SET ("h/j/" JOB, MAIN ("2", ",\"u\":1"), "21"),
                                       "21")),
                    2);
  assert_int_equal (
      polled_done_count (&fixture, LOG (SET ("h/u/" JOB "/2/1", PAGE ("[1]"), "22"), "22")), 2);
  fixture_clear (&fixture);
}

/* A cancellation whose record exceeds the value limit of the store is not written. The user gets
 * 503 with a short Retry-After, and the other controllers are informed at once, so that the leader
 * splits the record. */
static void
oversized_cancellation_is_not_written (void **state G_GNUC_UNUSED)
{
  Fixture fixture;
  fixture_start (&fixture);
  g_autofree char *name = g_strnfill (700, 'm');
  g_autofree char *rows = g_strdup_printf (
      ROWS (ROW ("h/format", "{\"f\":1}", "9") "," ROW (
                "h/j/" JOB, MAIN ("0", ",\"x\":[[\"%s1\",1,1],[\"%s2\",1,1],[\"%s3\",1,1]]"), "10"),
            "false", "20"),
      name, name, name);
  answer_call (&fixture, "/kv?", rows);
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = 78;
  command->request.method = HR_POST;
  command->request.path = g_strdup ("/v1/jobs/" JOB "/abort");
  fixture.now += 2;
  run_step (&fixture, command);
  /* Removes the open watch, so that answer_call() finds the read. */
  for (guint i = 0; i < fixture.effects->len; i++) {
    HrEffect *effect = fixture.effects->pdata[i];
    if (effect->kind == HR_EFFECT_CALL && strstr (effect->call.path, "hold_ms=10000"))
      g_ptr_array_remove_index (fixture.effects, i--);
  }
  answer_call (&fixture, "/changes", LOG ("", "20"));
  run_step (&fixture, hr_command_new (HR_COMMAND_TICK));
  int status = 0, retry_after = 0;
  guint announcements = 0;
  for (guint i = 0; i < fixture.effects->len; i++) {
    HrEffect *effect = fixture.effects->pdata[i];
    assert_false (effect->kind == HR_EFFECT_CALL &&
                  g_str_has_prefix (effect->call.path, "/commit"));
    if (effect->kind == HR_EFFECT_REPLY && effect->id == 78) {
      status = effect->reply.status;
      retry_after = effect->reply.retry_after_s;
    }
    announcements += effect->kind == HR_EFFECT_PEER_STATUS &&
                     effect->peer_status->n_oversized == 1 &&
                     strcmp (effect->peer_status->oversized[0], JOB) == 0;
  }
  assert_int_equal (status, 503);
  assert_int_equal (retry_after, 1);
  assert_int_equal (announcements, 1);
  fixture_clear (&fixture);
}

static GLogWriterOutput
discard_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  return level & G_LOG_FLAG_FATAL ? g_log_writer_default (level, fields, n, data)
                                  : G_LOG_WRITER_HANDLED;
}

int
main (void)
{
  g_log_set_writer_func (discard_log, NULL, NULL);
  const struct CMUnitTest tests[] = {cmocka_unit_test (old_pages_deleted_during_the_read),
                                     cmocka_unit_test (page_changed_after_the_split),
                                     cmocka_unit_test (unreferenced_staged_pages_are_ignored),
                                     cmocka_unit_test (split_in_one_transaction),
                                     cmocka_unit_test (format_0_misreads_split_records),
                                     cmocka_unit_test (oversized_cancellation_is_not_written)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
