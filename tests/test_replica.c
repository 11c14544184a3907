/* A record that is split while a node reads the whole state store: what the node then answers. The
 * state service is played by hand, answer by answer. */
#include "coordination/core.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define JOB "job-000001"
#define SPEC                                                                                       \
  "[\"k\",\"crew\",\"i\",0,2,3,4.0,1.0,30.0,1.0,null,39.0,0.0,0.0,null,false,false,true,88.0]"
#define MAIN(q, more) "{\"w\":\"a.1\",\"s\":0,\"t\":1.0,\"q\":" q ",\"j\":" SPEC more "}"
#define PAGE(x) "{\"w\":\"a.2\",\"x\":" x "}"

typedef struct {
  HrNames names;
  HrSettings *set;
  HrPolicy policy;
  HrCore *core;
  double now;
  GPtrArray *out; /* effects not answered yet */
} Rig;

static void
rig_init (Rig *rig)
{
  static const char *const settings =
      "{\"label\":\"c0\",\"area\":\"z\",\"front\":\"127.0.0.1:1\",\"back\":\"127.0.0.1:2\","
      "\"members\":[{\"label\":\"c1\",\"area\":\"z\",\"endpoint\":\"127.0.0.1:3\"}],"
      "\"outside\":{\"cloud\":\"127.0.0.1:4\",\"state\":\"127.0.0.1:5\"},\"facts\":{"
      "\"teams\":[{\"name\":\"crew\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}],"
      "\"workers\":{\"report_s\":2.5,\"lease_s\":14,\"gang_wait_s\":30,\"gang_peer_s\":4,"
      "\"cancel_s\":36},\"state\":{\"rps\":100,\"write_rps\":50,\"value_kb\":4,\"txn_ops\":12,"
      "\"next\":{\"value_kb\":2}},\"cloud\":{\"rps\":8,\"list_lag_s\":3}}}";
  memset (rig, 0, sizeof *rig);
  hr_names_init (&rig->names);
  json_t *root = json_loads (settings, 0, NULL);
  rig->set = hr_settings_parse (root, &rig->names, NULL);
  json_decref (root);
  assert_non_null (rig->set);
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  hr_core_policy_vars (rig->set, vars);
  assert_true (hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &rig->policy, NULL));
  rig->core = hr_core_new (rig->set, &rig->policy, &rig->names, "0-1", 1);
  rig->out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
}

static void
rig_clear (Rig *rig)
{
  hr_core_free (rig->core);
  hr_settings_free (rig->set);
  hr_names_clear (&rig->names);
  g_ptr_array_unref (rig->out);
}

static void
step (Rig *rig, HrCommand *command)
{
  g_autoptr (GPtrArray) commands = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_ptr_array_add (commands, command);
  rig->now += 0.1;
  hr_core_step (rig->core, rig->now, 1e9 + rig->now, commands, rig->out);
}

/* Answers the first open call whose path begins so. */
static void
answer (Rig *rig, const char *path, const char *body)
{
  for (guint i = 0; i < rig->out->len; i++) {
    HrEffect *effect = rig->out->pdata[i];
    if (effect->kind != HR_EFFECT_CALL || !g_str_has_prefix (effect->call.path, path))
      continue;
    HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
    command->id = effect->id;
    command->result.status = 200;
    command->body = g_bytes_new (body, strlen (body));
    g_ptr_array_remove_index (rig->out, i);
    step (rig, command);
    return;
  }
  fail_msg ("nothing was asked of %s", path);
}

/* How many tasks the job's user is told are done. */
static int
done (Rig *rig, const char *changes)
{
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = 77;
  command->request.method = HR_GET;
  command->request.path = g_strdup ("/v1/jobs/" JOB);
  rig->now += 2; /* no reading is out by then */
  step (rig, command);
  for (guint i = 0; i < rig->out->len; i++) { /* the watch stays open */
    HrEffect *effect = rig->out->pdata[i];
    if (effect->kind == HR_EFFECT_CALL && strstr (effect->call.path, "hold_ms=10000"))
      g_ptr_array_remove_index (rig->out, i--);
  }
  answer (rig, "/changes", changes);
  for (guint i = 0; i < rig->out->len; i++) {
    HrEffect *effect = rig->out->pdata[i];
    if (effect->kind != HR_EFFECT_REPLY || effect->id != 77)
      continue;
    json_t *object = json_loads (effect->body, 0, NULL);
    int n =
        effect->reply.status == 200 ? json_integer_value (json_object_get (object, "done")) : -1;
    json_decref (object);
    g_ptr_array_remove_index (rig->out, i);
    return n;
  }
  return -2;
}

#define ROW(path, value, stamp) "{\"path\":\"" path "\",\"value\":" value ",\"stamp\":" stamp "}"
#define SET(path, value, stamp) "{\"set\":\"" path "\",\"value\":" value ",\"stamp\":" stamp "}"
#define ROWS(rows, more, epoch) "{\"rows\":[" rows "],\"more\":" more ",\"epoch\":" epoch "}"
#define LOG(log, epoch) "{\"epoch\":" epoch ",\"log\":[" log "]}"

static void
begin (Rig *rig)
{
  rig_init (rig);
  step (rig, hr_command_new (HR_COMMAND_TICK));
}

/* The main record is read before the split, and the old pages are deleted before the reading
 * comes to them: what they held is in the staged ones. */
static void
old_pages_are_gone (void **state G_GNUC_UNUSED)
{
  Rig rig;
  begin (&rig);
  answer (&rig, "/kv?", ROWS (ROW ("h/j/" JOB, MAIN ("2", ""), "10"), "true", "20"));
  answer (&rig, "/kv?",
          ROWS (ROW ("h/u/" JOB "/1/0", PAGE ("[1]"),
                     "21") "," ROW ("h/u/" JOB "/1/1", PAGE ("[0]"),
                                    "21") "," ROW ("h/u/" JOB "/1/2", PAGE ("[1]"), "22"),
                "false", "25"));
  assert_int_equal (
      done (&rig, LOG (SET ("h/u/" JOB "/1/0", PAGE ("[1]"), "21") "," SET (
                           "h/u/" JOB "/1/1", PAGE ("[0]"),
                           "21") "," SET ("h/u/" JOB "/1/2", PAGE ("[1]"),
                                          "22") "," SET ("h/j/" JOB, MAIN ("1", ",\"u\":1"), "23"),
                       "25")),
      2);
  rig_clear (&rig);
}

/* A page that the reading shows as it became after the split counts as that. */
static void
a_page_changes_after_the_split (void **state G_GNUC_UNUSED)
{
  Rig rig;
  begin (&rig);
  answer (&rig, "/kv?", ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,0,0]"), "10"), "true", "20"));
  answer (&rig, "/kv?",
          ROWS (ROW ("h/u/" JOB "/2/0", PAGE ("[1,1]"), "24") "," ROW ("h/u/" JOB "/2/1",
                                                                       PAGE ("[0]"), "21"),
                "false", "25"));
  assert_int_equal (
      done (&rig, LOG (SET ("h/u/" JOB "/2/0", PAGE ("[1,0]"), "21") "," SET (
                           "h/u/" JOB "/2/1", PAGE ("[0]"),
                           "21") "," SET ("h/j/" JOB, MAIN ("2", ",\"u\":1"),
                                          "23") "," SET ("h/u/" JOB "/2/0", PAGE ("[1,1]"), "24"),
                       "25")),
      2);
  rig_clear (&rig);
}

/* Until the main record names them, staged pages are no facts. */
static void
staged_pages_are_no_facts (void **state G_GNUC_UNUSED)
{
  Rig rig;
  begin (&rig);
  answer (&rig, "/kv?",
          ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,0,0]"), "10") "," ROW ("h/u/" JOB "/2/0",
                                                                              PAGE ("[1,1]"), "11"),
                "false", "20"));
  assert_int_equal (done (&rig, LOG (SET ("h/u/" JOB "/2/1", PAGE ("[1]"), "21"), "21")), 1);
  rig_clear (&rig);
}

/* All of it in one transaction, the main record first or last. */
static void
one_transaction (void **state G_GNUC_UNUSED)
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
    Rig rig;
    begin (&rig);
    answer (&rig, "/kv?",
            ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,1,0]"), "10"), "false", "20"));
    assert_int_equal (done (&rig, logs[i]), 2);
    assert_int_equal (done (&rig, LOG (SET ("h/u/" JOB "/2/1", PAGE ("[1]"), "22"), "22")), 3);
    rig_clear (&rig);
  }
}

/* Production takes pages of another size for its own: such a record is not written beside it. */
static void
production_misreads (void **state G_GNUC_UNUSED)
{
  Rig rig;
  rig_init (&rig);
  hr_core_set_supported_format (rig.core, 0);
  step (&rig, hr_command_new (HR_COMMAND_TICK));
  answer (&rig, "/kv?", ROWS (ROW ("h/j/" JOB, MAIN ("0", ",\"x\":[1,1,0]"), "10"), "false", "20"));
  assert_int_equal (done (&rig, LOG (SET ("h/u/" JOB "/2/0", PAGE ("[1,1]"), "21") "," SET (
                                         "h/u/" JOB "/2/1", PAGE ("[0]"),
                                         "21") "," SET ("h/j/" JOB, MAIN ("2", ",\"u\":1"), "21"),
                                     "21")),
                    2);
  assert_int_equal (done (&rig, LOG (SET ("h/u/" JOB "/2/1", PAGE ("[1]"), "22"), "22")), 2);
  rig_clear (&rig);
}

/* A cancellation whose record is larger than the state service takes is not sent. Its user is to
 * ask again soon, and the others hear of it at once, so that the leader splits the record. */
static void
cancellation_too_large (void **state G_GNUC_UNUSED)
{
  Rig rig;
  begin (&rig);
  g_autofree char *name = g_strnfill (700, 'm');
  g_autofree char *rows = g_strdup_printf (
      ROWS (ROW ("h/format", "{\"f\":1}", "9") "," ROW (
                "h/j/" JOB, MAIN ("0", ",\"x\":[[\"%s1\",1,1],[\"%s2\",1,1],[\"%s3\",1,1]]"), "10"),
            "false", "20"),
      name, name, name);
  answer (&rig, "/kv?", rows);
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = 78;
  command->request.method = HR_POST;
  command->request.path = g_strdup ("/v1/jobs/" JOB "/abort");
  rig.now += 2;
  step (&rig, command);
  for (guint i = 0; i < rig.out->len; i++) { /* the watch stays open */
    HrEffect *effect = rig.out->pdata[i];
    if (effect->kind == HR_EFFECT_CALL && strstr (effect->call.path, "hold_ms=10000"))
      g_ptr_array_remove_index (rig.out, i--);
  }
  answer (&rig, "/changes", LOG ("", "20"));
  step (&rig, hr_command_new (HR_COMMAND_TICK));
  int status = 0, retry_after = 0;
  guint named = 0;
  for (guint i = 0; i < rig.out->len; i++) {
    HrEffect *effect = rig.out->pdata[i];
    assert_false (effect->kind == HR_EFFECT_CALL &&
                  g_str_has_prefix (effect->call.path, "/commit"));
    if (effect->kind == HR_EFFECT_REPLY && effect->id == 78) {
      status = effect->reply.status;
      retry_after = effect->reply.retry_after_s;
    }
    named += effect->kind == HR_EFFECT_PEER_STATUS && effect->peer_status->n_oversized == 1 &&
             strcmp (effect->peer_status->oversized[0], JOB) == 0;
  }
  assert_int_equal (status, 503);
  assert_int_equal (retry_after, 1);
  assert_int_equal (named, 1);
  rig_clear (&rig);
}

static GLogWriterOutput
silent (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  return level & G_LOG_FLAG_FATAL ? g_log_writer_default (level, fields, n, data)
                                  : G_LOG_WRITER_HANDLED;
}

int
main (void)
{
  g_log_set_writer_func (silent, NULL, NULL);
  const struct CMUnitTest tests[] = {cmocka_unit_test (old_pages_are_gone),
                                     cmocka_unit_test (a_page_changes_after_the_split),
                                     cmocka_unit_test (staged_pages_are_no_facts),
                                     cmocka_unit_test (one_transaction),
                                     cmocka_unit_test (production_misreads),
                                     cmocka_unit_test (cancellation_too_large)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
