/* What comes in from users, workers, the cloud and the platform. */
#include "protocol/cloud.h"
#include "protocol/json_util.h"
#include "protocol/settings.h"
#include "protocol/worker.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define JOB                                                                                        \
  "{\"name_id\":\"job-000412\",\"jobclass\":\"train\",\"crew\":\"vision\",\"shape\":\"ensemble\"," \
  "\"rank\":\"urgent\",\"pieces\":16,\"vcpus\":8.0,\"accelerators\":1.0,\"memory_gb\":64.0,"       \
  "\"bundle\":\"img-07\",\"size_gb\":6.2,\"hulls\":[\"g8\"],\"quarry\":null,\"together\":true,"    \
  "\"apart\":false,\"loaners\":true,\"guess_s\":240.0,\"cairn_s\":30.0,\"stash_s\":4.0,"           \
  "\"due_s\":900.0,\"later\":{\"unknown\":1}}"

static gboolean
parses (const char *text, HrJobSpec *spec, GError **error)
{
  HrNames names;
  const char *id;
  hr_names_init (&names);
  hr_intern (&names.types, "g8");
  json_t *object = hr_json_parse (text, strlen (text), error);
  gboolean ok = object && hr_jobspec_parse (object, &names, spec, &id, error);
  json_decref (object);
  hr_names_clear (&names);
  return ok;
}

static void
a_submission (void **state G_GNUC_UNUSED)
{
  HrJobSpec spec;
  g_autoptr (GError) error = NULL;
  assert_true (parses (JOB, &spec, &error));
  assert_int_equal (spec.tasks, 16);
  assert_int_equal (spec.shape, HR_GANG);
  assert_int_equal (spec.priority, HR_PRIORITY_URGENT);
  assert_true (spec.one_zone && !spec.spread && spec.allows_spot);
  assert_float_equal (spec.deadline_s, 900, 0);
  assert_int_equal (spec.types, 1);
  assert_int_equal (spec.zone, HR_NONE);
}

/* A field replaced by something wrong: refused, with the field's name. */
static void
wrong_fields (void **state G_GNUC_UNUSED)
{
  static const char *const cases[][2] = {
      {"name_id", "\"job 1\""}, {"name_id", "7"},    {"name_id", "\"job-\""}, {"shape", "\"gang\""},
      {"rank", "null"},         {"pieces", "0"},     {"pieces", "100001"},    {"pieces", "1.5"},
      {"pieces", "\"3\""},      {"pieces", "-1"},    {"vcpus", "-0.5"},       {"vcpus", "\"1\""},
      {"accelerators", "null"}, {"memory_gb", "[]"}, {"bundle", "\"\""},      {"size_gb", "true"},
      {"hulls", "\"g8\""},      {"hulls", "[1]"},    {"hulls", "[]"},         {"quarry", "7"},
      {"together", "1"},        {"apart", "null"},   {"loaners", "\"true\""}, {"guess_s", "-1"},
      {"cairn_s", "{}"},        {"stash_s", "\"\""}, {"due_s", "\"soon\""},   {"crew", "null"},
      {"jobclass", "3"},
  };
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++) {
    json_t *object = json_loads (JOB, 0, NULL);
    json_object_set_new (object, cases[i][0], json_loads (cases[i][1], JSON_DECODE_ANY, NULL));
    char *text = json_dumps (object, 0);
    HrJobSpec spec;
    g_autoptr (GError) error = NULL;
    if (parses (text, &spec, &error) || !error || !strstr (error->message, cases[i][0]))
      fail_msg ("%s = %s: %s", cases[i][0], cases[i][1], error ? error->message : "accepted");
    free (text);
    json_decref (object);
  }
}

static gboolean
awaits (const char *value, GStrv *ids, GError **error)
{
  json_t *object = json_object ();
  if (value)
    json_object_set_new (object, "awaits", json_loads (value, JSON_DECODE_ANY, NULL));
  gboolean ok = hr_jobspec_parse_awaits (object, ids, error);
  json_decref (object);
  return ok;
}

/* Each id once, in the order given; none at all is no array to keep. */
static void
awaited_jobs (void **state G_GNUC_UNUSED)
{
  static const char *const none[] = {NULL, "null", "[]"};
  static const char *const bad[] = {"\"job-1\"", "7",           "{}",      "[7]",
                                    "[null]",    "[\"\"]",      "[\"1\"]", "[\"job-\"]",
                                    "[[]]",      "[\"job 1\"]", "true",    "[\"job-1\",\"job-/\"]"};
  for (gsize i = 0; i < G_N_ELEMENTS (none); i++) {
    g_auto (GStrv) ids = NULL;
    g_autoptr (GError) error = NULL;
    assert_true (awaits (none[i], &ids, &error));
    assert_null (ids);
  }
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++) {
    g_auto (GStrv) ids = NULL;
    g_autoptr (GError) error = NULL;
    if (awaits (bad[i], &ids, &error) || ids || !error || !strstr (error->message, "awaits"))
      fail_msg ("awaits = %s: %s", bad[i], error ? error->message : "accepted");
  }
  g_auto (GStrv) ids = NULL;
  g_autoptr (GError) error = NULL;
  assert_true (awaits ("[\"job-2\",\"job-1\",\"job-2\"]", &ids, &error));
  assert_int_equal (g_strv_length (ids), 2);
  assert_string_equal (ids[0], "job-2");
  assert_string_equal (ids[1], "job-1");
}

/* Of generated lists exactly those of well-formed ids are taken, with all that they name. */
static void
generated_awaits (void **state G_GNUC_UNUSED)
{
  static const char *const parts[] = {
      "\"job-000398\"", "\"job-a.b_c-d\"", "\"job-\"", "\"x\"", "null", "12", "[]", "\"job-é\""};
  const guint good = 2;
  g_autoptr (GRand) rand = g_rand_new_with_seed (17);
  guint taken = 0;
  for (guint n = 0; n < 3000; n++) {
    g_autoptr (GString) text = g_string_new ("[");
    gboolean fine = TRUE, named[2] = {FALSE, FALSE};
    for (int k = g_rand_int_range (rand, 0, 4); k > 0; k--) {
      guint pick = g_rand_int_range (rand, 0, g_rand_boolean (rand) ? good : G_N_ELEMENTS (parts));
      g_string_append_printf (text, "%s%s", text->len > 1 ? "," : "", parts[pick]);
      fine = fine && pick < good;
      if (pick < good)
        named[pick] = TRUE;
    }
    g_string_append_c (text, ']');
    g_auto (GStrv) ids = NULL;
    g_autoptr (GError) error = NULL;
    assert_int_equal (awaits (text->str, &ids, &error), fine);
    if (!fine)
      assert_non_null (error);
    else
      assert_int_equal (ids ? g_strv_length (ids) : 0, named[0] + named[1]);
    taken += fine;
  }
  assert_true (taken > 500 && taken < 2900);
}

static void
wrong_bodies (void **state G_GNUC_UNUSED)
{
  static const char *const bad[] = {"",      "{",  "[]",
                                    "null",  "7",  "{\"pieces\":1}",
                                    "{} {}", "\"", "{\"pieces\":99999999999999999999999}"};
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++) {
    HrJobSpec spec;
    g_autoptr (GError) error = NULL;
    assert_false (parses (bad[i], &spec, &error));
    assert_non_null (error);
  }
}

/* A bit of any body changed: taken or refused with a reason, never anything else. */
static void
generated_bodies (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (11);
  guint taken = 0;
  for (guint n = 0; n < 5000; n++) {
    char text[] = JOB;
    for (int k = g_rand_int_range (rand, 1, 4); k > 0; k--)
      text[g_rand_int_range (rand, 0, sizeof text - 1)] = g_rand_int_range (rand, 1, 256);
    HrJobSpec spec;
    g_autoptr (GError) error = NULL;
    if (parses (text, &spec, &error)) {
      taken++;
      assert_true (spec.tasks >= 1 && spec.tasks <= HR_MAX_TASKS && spec.cpus >= 0 &&
                   isfinite (spec.cpus));
    } else
      assert_non_null (error);
  }
  assert_true (taken > 50 && taken < 4500);
}

#define REPORT                                                                                     \
  "{\"rockhand\":\"m-000231\",\"addr\":\"10.1.0.232:9000\",\"hull\":\"g8\",\"quarry\":\"a\","      \
  "\"loaners\":true,\"tenure\":1,\"tally\":88,\"baton\":41,\"warning_s\":null,\"pieces\":["        \
  "{\"piece\":\"job-000412/3\",\"try\":2,\"stance\":\"running\"},"                                 \
  "{\"piece\":\"job-000398/0\",\"try\":1,\"stance\":\"exited\",\"cause\":\"done\"}]}"

static void
reports (void **state G_GNUC_UNUSED)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HrHeartbeat) heartbeat = hr_heartbeat_parse (REPORT, strlen (REPORT), &error);
  assert_non_null (heartbeat);
  assert_int_equal (heartbeat->tasks->len, 2);
  HrReportedTask *reported = &g_array_index (heartbeat->tasks, HrReportedTask, 0);
  assert_string_equal (reported->job, "job-000412");
  assert_int_equal (reported->task, 3);
  assert_int_equal (reported->attempt, 2);
  assert_int_equal (g_array_index (heartbeat->tasks, HrReportedTask, 1).cause, HR_EXIT_DONE);
  assert_true (heartbeat->preemption_notice_s < 0);
  g_autoptr (GRand) rand = g_rand_new_with_seed (13);
  for (guint n = 0; n < 5000; n++) { /* nonsense is refused, and harms nobody */
    char text[] = REPORT;
    for (int k = g_rand_int_range (rand, 1, 4); k > 0; k--)
      text[g_rand_int_range (rand, 0, sizeof text - 1)] = g_rand_int_range (rand, 1, 256);
    g_autoptr (GError) error = NULL;
    g_autoptr (HrHeartbeat) heartbeat_row = hr_heartbeat_parse (text, strlen (text), &error);
    assert_true (heartbeat_row || error);
  }
}

static void
orders (void **state G_GNUC_UNUSED)
{
  g_autoptr (GArray) list = hr_order_list_new ();
  hr_order_launch (list, "job-1", 4, 2);
  hr_order_stop (list, "job-2", 1, 1, 10);
  hr_order_clear (list, "job-3", 0, 1);
  g_autofree char *team_name = hr_orders_text (41, 3, list);
  json_t *object = json_loads (team_name, 0, NULL);
  assert_int_equal (json_integer_value (json_object_get (object, "baton")), 41);
  assert_int_equal (json_integer_value (json_object_get (object, "tenure")), 3);
  json_t *list_row = json_object_get (object, "orders");
  assert_int_equal (json_array_size (list_row), 3);
  assert_string_equal (hr_json_str (json_array_get (list_row, 0), "piece"), "job-1/4");
  assert_string_equal (hr_json_str (json_array_get (list_row, 1), "verb"), "kill");
  json_decref (object);
}

static void
machine_types (void **state G_GNUC_UNUSED)
{
  HrNames names;
  hr_names_init (&names);
  json_t *object =
      json_loads ("{\"hulls\":[{\"sku\":\"g8\",\"vcpus\":96,\"accelerators\":8,\"memory_gb\":768,"
                  "\"cache_gb\":200,"
                  "\"fetch_gb_per_s\":1.0,\"hourly\":12.0,\"low_price\":4.5,\"startup_s\":45,"
                  "\"quarries\":[\"a\",\"b\"]},{\"sku\":\"broken\"}]}",
                  0, NULL);
  g_autoptr (GArray) ended = hr_machine_types_parse (object, &names);
  assert_int_equal (ended->len, 1);
  assert_int_equal (g_array_index (ended, HrMachineType, 0).zones->len, 2);
  json_t *none = json_object ();
  assert_null (hr_machine_types_parse (none, &names));
  json_decref (none);
  json_decref (object);
  hr_names_clear (&names);
}

#define FACTS                                                                                      \
  "\"facts\":{\"teams\":[{\"name\":\"t\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,"                    \
  "\"gpus_max\":0}],\"objectives\":[{\"kind\":\"later\",\"class\":\"k\"}],"                        \
  "\"workers\":{\"report_s\":2.5,\"lease_s\":14,\"gang_wait_s\":30,\"gang_peer_s\":4,"             \
  "\"cancel_s\":%g},\"state\":{\"rps\":100,\"write_rps\":15,\"value_kb\":4,\"txn_ops\":12},"       \
  "\"cloud\":{\"rps\":8,\"list_lag_s\":3}}"

/* A settings file with one other member, in that zone, or NULL when it is refused. */
static HrSettings *
settings (const char *endpoint, const char *area, double cancel, HrNames *names, GError **error)
{
  g_autofree char *text = g_strdup_printf (
      "{\"label\":\"a\",\"area\":\"z0\",\"front\":\"10.0.0.1:80\",\"back\":\"10.0.0.1:81\","
      "\"outside\":{\"cloud\":\"10.2.0.2:84\",\"state\":\"10.2.0.1:23\"},"
      "\"members\":[{\"label\":\"b\",\"area\":\"%s\",\"endpoint\":\"%s\"}]," FACTS "}",
      area, endpoint, cancel);
  json_t *object = json_loads (text, 0, NULL);
  HrSettings *read = hr_settings_parse (object, names, error);
  json_decref (object);
  return read;
}

static void
settings_files (void **state G_GNUC_UNUSED)
{
  g_autoptr (GError) error = NULL;
  HrNames names;
  hr_names_init (&names);
  g_autoptr (HrSettings) same = settings ("10.0.0.2:81", "z0", 44, &names, &error);
  assert_non_null (same);
  assert_int_equal (same->home_zone, hr_intern_find (&names.zones, "z0"));
  /* Controllers in several zones have no zone of their own to prefer. */
  g_autoptr (HrSettings) apart = settings ("10.0.0.2:81", "z1", 44, &names, &error);
  assert_non_null (apart);
  assert_int_equal (apart->home_zone, HR_NONE);
  /* Each wrong file is refused with the field's name. */
  assert_null (settings ("nowhere", "z0", 44, &names, &error));
  assert_non_null (strstr (error->message, "endpoint"));
  g_clear_error (&error);
  assert_null (settings ("10.0.0.2:81", "z0", 15, &names, &error));
  assert_non_null (strstr (error->message, "cancel_s"));
  hr_names_clear (&names);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_submission),  cmocka_unit_test (wrong_fields),
      cmocka_unit_test (wrong_bodies),  cmocka_unit_test (generated_bodies),
      cmocka_unit_test (awaited_jobs),  cmocka_unit_test (generated_awaits),
      cmocka_unit_test (reports),       cmocka_unit_test (orders),
      cmocka_unit_test (machine_types), cmocka_unit_test (settings_files),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
