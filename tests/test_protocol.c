/* Parsing of submissions, heartbeats, orders, machine types and settings.
 * src/protocol/wire_names.h explains the fields. */
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
parse_submission (const char *text, HrJobSpec *spec, GError **error)
{
  HrNames names;
  const char *id;
  hr_names_init (&names);
  hr_intern (&names.types, "g8");
  json_t *object = hr_json_parse (text, strlen (text), hr_submission_members, error);
  gboolean ok = object && hr_jobspec_parse (object, &names, spec, &id, error);
  json_decref (object);
  hr_names_clear (&names);
  return ok;
}

static void
valid_submission (void **state G_GNUC_UNUSED)
{
  HrJobSpec spec;
  g_autoptr (GError) error = NULL;
  assert_true (parse_submission (JOB, &spec, &error));
  assert_int_equal (spec.tasks, 16);
  assert_int_equal (spec.shape, HR_GANG);
  assert_int_equal (spec.priority, HR_PRIORITY_URGENT);
  assert_true (spec.one_zone && !spec.spread && spec.allows_spot);
  assert_float_equal (spec.deadline_s, 900, 0);
  assert_int_equal (spec.types, 1);
  assert_int_equal (spec.zone, HR_NONE);
}

/* A submission with an invalid field is rejected with an error that names the field. */
static void
invalid_fields_are_rejected (void **state G_GNUC_UNUSED)
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
    if (parse_submission (text, &spec, &error) || !error || !strstr (error->message, cases[i][0]))
      fail_msg ("%s = %s: %s", cases[i][0], cases[i][1], error ? error->message : "accepted");
    free (text);
    json_decref (object);
  }
}

static gboolean
parse_awaits (const char *value, GStrv *ids, GError **error)
{
  json_t *object = json_object ();
  if (value)
    json_object_set_new (object, "awaits", json_loads (value, JSON_DECODE_ANY, NULL));
  gboolean ok = hr_jobspec_parse_awaits (object, ids, error);
  json_decref (object);
  return ok;
}

/* Each id is returned once, in the order given; without ids the result is NULL. */
static void
awaits_lists_are_parsed (void **state G_GNUC_UNUSED)
{
  static const char *const empty[] = {NULL, "null", "[]"};
  static const char *const invalid[] = {
      "\"job-1\"", "7",          "{}",   "[7]",         "[null]", "[\"\"]",
      "[\"1\"]",   "[\"job-\"]", "[[]]", "[\"job 1\"]", "true",   "[\"job-1\",\"job-/\"]"};
  for (gsize i = 0; i < G_N_ELEMENTS (empty); i++) {
    g_auto (GStrv) ids = NULL;
    g_autoptr (GError) error = NULL;
    assert_true (parse_awaits (empty[i], &ids, &error));
    assert_null (ids);
  }
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++) {
    g_auto (GStrv) ids = NULL;
    g_autoptr (GError) error = NULL;
    if (parse_awaits (invalid[i], &ids, &error) || ids || !error ||
        !strstr (error->message, "awaits"))
      fail_msg ("awaits = %s: %s", invalid[i], error ? error->message : "accepted");
  }
  g_auto (GStrv) ids = NULL;
  g_autoptr (GError) error = NULL;
  assert_true (parse_awaits ("[\"job-2\",\"job-1\",\"job-2\"]", &ids, &error));
  assert_int_equal (g_strv_length (ids), 2);
  assert_string_equal (ids[0], "job-2");
  assert_string_equal (ids[1], "job-1");
}

/* Of randomly generated lists exactly those with only well-formed ids are accepted, with each id
 * that they name. */
static void
random_awaits_lists (void **state G_GNUC_UNUSED)
{
  static const char *const elements[] = {
      "\"job-000398\"", "\"job-a.b_c-d\"", "\"job-\"", "\"x\"", "null", "12", "[]", "\"job-é\""};
  const guint n_valid = 2;
  g_autoptr (GRand) rand = g_rand_new_with_seed (17);
  guint accepted = 0;
  for (guint n = 0; n < 3000; n++) {
    g_autoptr (GString) text = g_string_new ("[");
    gboolean valid = TRUE, named[2] = {FALSE, FALSE};
    for (int k = g_rand_int_range (rand, 0, 4); k > 0; k--) {
      guint pick =
          g_rand_int_range (rand, 0, g_rand_boolean (rand) ? n_valid : G_N_ELEMENTS (elements));
      g_string_append_printf (text, "%s%s", text->len > 1 ? "," : "", elements[pick]);
      valid = valid && pick < n_valid;
      if (pick < n_valid)
        named[pick] = TRUE;
    }
    g_string_append_c (text, ']');
    g_auto (GStrv) ids = NULL;
    g_autoptr (GError) error = NULL;
    assert_int_equal (parse_awaits (text->str, &ids, &error), valid);
    if (!valid)
      assert_non_null (error);
    else
      assert_int_equal (ids ? g_strv_length (ids) : 0, named[0] + named[1]);
    accepted += valid;
  }
  assert_true (accepted > 500 && accepted < 2900);
}

static void
malformed_bodies_are_rejected (void **state G_GNUC_UNUSED)
{
  static const char *const invalid[] = {"",      "{",  "[]",
                                        "null",  "7",  "{\"pieces\":1}",
                                        "{} {}", "\"", "{\"pieces\":99999999999999999999999}"};
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++) {
    HrJobSpec spec;
    g_autoptr (GError) error = NULL;
    assert_false (parse_submission (invalid[i], &spec, &error));
    assert_non_null (error);
  }
}

/* Guards against crashes and invalid values: a submission with randomly changed bytes is either
 * accepted with values in range, or rejected with an error. */
static void
randomly_changed_bodies (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (11);
  guint accepted = 0;
  for (guint n = 0; n < 5000; n++) {
    char text[] = JOB;
    for (int k = g_rand_int_range (rand, 1, 4); k > 0; k--)
      text[g_rand_int_range (rand, 0, sizeof text - 1)] = g_rand_int_range (rand, 1, 256);
    HrJobSpec spec;
    g_autoptr (GError) error = NULL;
    if (parse_submission (text, &spec, &error)) {
      accepted++;
      assert_true (spec.tasks >= 1 && spec.tasks <= HR_MAX_TASKS && spec.cpus >= 0 &&
                   isfinite (spec.cpus));
    } else
      assert_non_null (error);
  }
  assert_true (accepted > 50 && accepted < 4500);
}

#define REPORT                                                                                     \
  "{\"rockhand\":\"m-000231\",\"addr\":\"10.1.0.232:9000\",\"hull\":\"g8\",\"quarry\":\"a\","      \
  "\"loaners\":true,\"tenure\":1,\"tally\":88,\"baton\":41,\"warning_s\":null,\"pieces\":["        \
  "{\"piece\":\"job-000412/3\",\"try\":2,\"stance\":\"running\"},"                                 \
  "{\"piece\":\"job-000398/0\",\"try\":1,\"stance\":\"exited\",\"cause\":\"done\"}]}"

static void
heartbeats (void **state G_GNUC_UNUSED)
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
  for (guint n = 0; n < 5000; n++) { /* random changes: accepted or rejected with an error */
    char text[] = REPORT;
    for (int k = g_rand_int_range (rand, 1, 4); k > 0; k--)
      text[g_rand_int_range (rand, 0, sizeof text - 1)] = g_rand_int_range (rand, 1, 256);
    g_autoptr (GError) error = NULL;
    g_autoptr (HrHeartbeat) changed = hr_heartbeat_parse (text, strlen (text), &error);
    assert_true (changed || error);
  }
}

static void
orders (void **state G_GNUC_UNUSED)
{
  g_autoptr (GArray) list = hr_order_list_new ();
  hr_order_launch (list, "job-1", 4, 2);
  hr_order_stop (list, "job-2", 1, 1, 10);
  hr_order_clear (list, "job-3", 0, 1);
  g_autofree char *text = hr_orders_text (41, 3, list);
  json_t *object = json_loads (text, 0, NULL);
  assert_int_equal (json_integer_value (json_object_get (object, "baton")), 41);
  assert_int_equal (json_integer_value (json_object_get (object, "tenure")), 3);
  json_t *entries = json_object_get (object, "orders");
  assert_int_equal (json_array_size (entries), 3);
  assert_string_equal (hr_json_str (json_array_get (entries, 0), "piece"), "job-1/4");
  assert_string_equal (hr_json_str (json_array_get (entries, 1), "verb"), "kill");
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
  g_autoptr (GArray) types = hr_machine_types_parse (object, &names);
  assert_int_equal (types->len, 1);
  assert_int_equal (g_array_index (types, HrMachineType, 0).zones->len, 2);
  json_t *missing = json_object ();
  assert_null (hr_machine_types_parse (missing, &names));
  json_decref (missing);
  json_decref (object);
  hr_names_clear (&names);
}

#define FACTS                                                                                      \
  "\"facts\":{\"teams\":[{\"name\":\"t\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,"                    \
  "\"gpus_max\":0}],\"objectives\":[{\"kind\":\"later\",\"class\":\"k\"}],"                        \
  "\"workers\":{\"report_s\":2.5,\"lease_s\":14,\"gang_wait_s\":30,\"gang_peer_s\":4,"             \
  "\"cancel_s\":%g},\"state\":{\"rps\":100,\"write_rps\":15,\"value_kb\":4,\"txn_ops\":12},"       \
  "\"cloud\":{\"rps\":8,\"list_lag_s\":3}}"

/* Parses settings with one other member, which has this endpoint and zone. Returns NULL if they are
 * rejected. */
static HrSettings *
parse_settings (const char *endpoint, const char *zone, double cancel_s, HrNames *names,
                GError **error)
{
  g_autofree char *text = g_strdup_printf (
      "{\"label\":\"a\",\"area\":\"z0\",\"front\":\"10.0.0.1:80\",\"back\":\"10.0.0.1:81\","
      "\"outside\":{\"cloud\":\"10.2.0.2:84\",\"state\":\"10.2.0.1:23\"},"
      "\"members\":[{\"label\":\"b\",\"area\":\"%s\",\"endpoint\":\"%s\"}]," FACTS "}",
      zone, endpoint, cancel_s);
  json_t *object = json_loads (text, 0, NULL);
  HrSettings *parsed = hr_settings_parse (object, names, error);
  json_decref (object);
  return parsed;
}

static void
settings_files (void **state G_GNUC_UNUSED)
{
  g_autoptr (GError) error = NULL;
  HrNames names;
  hr_names_init (&names);
  g_autoptr (HrSettings) same = parse_settings ("10.0.0.2:81", "z0", 44, &names, &error);
  assert_non_null (same);
  assert_int_equal (same->home_zone, hr_intern_find (&names.zones, "z0"));
  /* Controllers in several zones have no home zone. */
  g_autoptr (HrSettings) apart = parse_settings ("10.0.0.2:81", "z1", 44, &names, &error);
  assert_non_null (apart);
  assert_int_equal (apart->home_zone, HR_NONE);
  /* Each invalid file is rejected with an error that names the field. */
  assert_null (parse_settings ("nowhere", "z0", 44, &names, &error));
  assert_non_null (strstr (error->message, "endpoint"));
  g_clear_error (&error);
  assert_null (parse_settings ("10.0.0.2:81", "z0", 15, &names, &error));
  assert_non_null (strstr (error->message, "cancel_s"));
  hr_names_clear (&names);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (valid_submission),
      cmocka_unit_test (invalid_fields_are_rejected),
      cmocka_unit_test (malformed_bodies_are_rejected),
      cmocka_unit_test (randomly_changed_bodies),
      cmocka_unit_test (awaits_lists_are_parsed),
      cmocka_unit_test (random_awaits_lists),
      cmocka_unit_test (heartbeats),
      cmocka_unit_test (orders),
      cmocka_unit_test (machine_types),
      cmocka_unit_test (settings_files),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
