/* Bodies of messages in every form that JSON allows, with members that this version does not know,
 * and malformed ones. src/protocol/wire_names.h explains the fields. */
#include "bookkeeping/record.h"
#include "coordination/command.h"
#include "coordination/metrics/metrics.h"
#include "coordination/state.h"
#include "json_variants.h"
#include "protocol/cloud.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include "protocol/worker.h"
#include "scripted_cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define SEED 35
#define VARIANTS 400
#define LARGEST "18446744073709551615"
#define HEARTBEAT(count)                                                                           \
  "{\"rockhand\":\"m-1\",\"addr\":\"10.1.0.2:9000\",\"hull\":\"g8\",\"quarry\":\"a\","             \
  "\"loaners\":true,\"tenure\":" count ",\"tally\":" count ",\"baton\":" count ","                 \
  "\"warning_s\":2.0,\"pieces\":[{\"piece\":\"job-1/3\",\"try\":" count                            \
  ",\"stance\":\"exited\",\"cause\":\"halted\",\"kept\":true}]}"

/* The unknown member of the recorded submission. */
static const char recorded_labels[] =
    "\"x_labels\":{\"gr\\u00f6\\u00dfe\":\"\xe6\x97\xa5\xe6\x9c\xac \xe2\x9c\x93\","
    "\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,\"none\":null,\"l\":[[],{},true],"
    "\"deep\":[[[[[]]]]]}";

/* Unknown members that are JSON by the grammar of RFC 8259. */
static const char *const unknown_members[] = {
    recorded_labels,
    "\"x\":9223372036854775808",
    "\"x\":[-9223372036854775809]",
    "\"x\":1e999",
    "\"x\":\"\\u0000\"",
    "\"x\\u0000\":1",
    "\"pieces\\u0000\":0",
    "\"due_s\\u0000xxxxxxxxxxxxxxxxxxxxxxxx\":0",
    "\"x\":\"\\ud800\"",
    "\"x\":{\"\\udc00\":1}",
    "\"x\":1,\"x\":2",
    "\"x\":{\"y\":1,\"y\":{\"y\":2,\"y\":3}}",
};

/* Sends the body to c1 as a submission and returns the answer. */
static const ClusterReply *
submit_text (Cluster *cluster, const char *body)
{
  guint64 id = cluster_request (cluster, 1, HR_POST, HR_JOBS_PATH, body);
  for (int i = 0; i < 10; i++)
    cluster_run (cluster, 0.05);
  const ClusterReply *reply = cluster_reply (cluster, 1, id);
  assert_non_null (reply);
  return reply;
}

/* Returns the status of the answer to the submission of `job`, an object to which `members` is
 * added. */
static int
submit (Cluster *cluster, json_t *job, const char *members)
{
  g_autofree char *text = hr_json_take_text (job);
  g_autofree char *body = g_strdup_printf ("{%s,%s", members, text + 1);
  const ClusterReply *reply = submit_text (cluster, body);
  if (reply->status >= 400)
    print_message ("%d %s\n", reply->status, hr_json_str (reply->body, "error"));
  return reply->status;
}

static void
sound_submission_is_refused_for_an_unknown_member (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  guint refused = 0;
  for (guint i = 0; i < G_N_ELEMENTS (unknown_members); i++) {
    g_autofree char *id = g_strdup_printf ("job-%u", i);
    refused += submit (cluster, cluster_job_body (id, 1), unknown_members[i]) != 201;
    refused += submit (cluster, cluster_job_body (id, 1), unknown_members[i]) != 200;
  }
  assert_int_equal (refused, 0);
  cluster_free (cluster);
}

static json_t *
random_job (GRand *rand, guint number)
{
  g_autofree char *id = g_strdup_printf ("job-%06u", number);
  json_t *job = cluster_job_body (id, g_rand_int_range (rand, 1, 4));
  json_object_set_new (job, "guess_s", json_real (g_rand_int_range (rand, 0, 600)));
  json_object_set_new (job, "size_gb", json_real (g_rand_int_range (rand, 0, 99) / 10.0));
  if (g_rand_boolean (rand))
    json_object_set_new (job, "due_s", json_real (900));
  if (number && g_rand_boolean (rand))
    json_object_set_new (job, "awaits", json_pack ("[s]", "job-000000"));
  return job;
}

/* Two clusters with the same past get the same jobs, one as plain text, one in another spelling. */
static void
spelling_of_a_submission_changes_its_record (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  Cluster *plain = cluster_new_with_leader (2), *varied = cluster_new_with_leader (2);
  for (guint i = 0; i < VARIANTS; i++) {
    json_t *job = random_job (rand, i);
    g_autofree char *key = g_strconcat ("h/j/", hr_json_str (job, "name_id"), NULL);
    g_autofree char *variant = json_variant (rand, job, hr_submission_members);
    g_autofree char *text = hr_json_take_text (job);
    assert_int_equal (submit_text (plain, text)->status, 201);
    const ClusterReply *reply = submit_text (varied, variant);
    if (reply->status != 201)
      fail_msg ("%d %s: %s", reply->status, hr_json_str (reply->body, "error"), variant);
    assert_string_equal (cluster_value (varied, key), cluster_value (plain, key));
  }
  cluster_free (plain);
  cluster_free (varied);
}

static void
malformed_submission_is_accepted (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  Cluster *cluster = cluster_new_with_leader (2);
  for (guint i = 0; i < VARIANTS; i++) {
    json_t *job = random_job (rand, i);
    g_autofree char *variant = json_variant (rand, job, hr_submission_members);
    g_autofree char *body = json_malformed (rand, variant);
    g_autofree char *key = g_strconcat ("h/j/", hr_json_str (job, "name_id"), NULL);
    json_decref (job);
    if (submit_text (cluster, body)->status != 400 || cluster_value (cluster, key))
      fail_msg ("accepted: %s", body);
  }
  assert_int_equal (cluster->nodes[1].core->metrics.counters.submissions_refused_syntax, VARIANTS);
  cluster_free (cluster);
}

/* A body of the largest size that opens nothing but arrays. */
static void
deep_nesting_ends_the_controller (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  g_autofree char *arrays = g_strnfill (HR_MAX_BODY, '[');
  assert_int_equal (submit_text (cluster, arrays)->status, 400);
  g_autofree char *closed = g_strnfill (HR_MAX_BODY / 2 - 1000, ']');
  arrays[HR_MAX_BODY / 2 - 1000] = 0;
  g_autofree char *unknown = g_strdup_printf ("\"x\":%s%s", arrays, closed);
  assert_int_equal (submit (cluster, cluster_job_body ("job-1", 1), unknown), 201);
  g_autofree char *known = g_strdup_printf ("\"due_s\":%s%s", arrays, closed);
  json_t *job = cluster_job_body ("job-2", 1);
  json_object_del (job, "due_s");
  assert_int_equal (submit (cluster, job, known), 400);
  cluster_free (cluster);
}

/* Each value of a known field is refused with a reason that names the field. */
static void
invalid_value_of_a_known_field_is_not_named (void **state G_GNUC_UNUSED)
{
  static const char *const cases[][2] = {{"pieces", "18446744073709551617"},
                                         {"pieces", "18446744073709551615"},
                                         {"pieces", "-1"},
                                         {"pieces", "1,\"pi\\u0065ces\":1"},
                                         {"vcpus", "1e400"},
                                         {"vcpus", "-1"},
                                         {"due_s", "-1e400"},
                                         {"hulls", "[1e400]"},
                                         {"crew", "\"\\ud800\""},
                                         {"bundle", "\"a\\u0000\""}};
  Cluster *cluster = cluster_new_with_leader (2);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    json_t *job = cluster_job_body ("job-1", 1);
    json_object_del (job, cases[i][0]);
    g_autofree char *text = hr_json_take_text (job);
    g_autofree char *body = g_strdup_printf ("{\"%s\":%s,%s", cases[i][0], cases[i][1], text + 1);
    const ClusterReply *reply = submit_text (cluster, body);
    assert_int_equal (reply->status, 400);
    if (!strstr (hr_json_str (reply->body, "error"), cases[i][0]))
      fail_msg ("%s: %s", cases[i][0], hr_json_str (reply->body, "error"));
  }
  assert_int_equal (cluster->nodes[1].core->metrics.counters.submissions_refused_field,
                    G_N_ELEMENTS (cases));
  cluster_free (cluster);
}

static void
spelling_of_a_report_changes_it (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  static const char plain_text[] = HEARTBEAT (LARGEST);
  json_t *plain = hr_json_parse (plain_text, strlen (plain_text), hr_heartbeat_members, NULL);
  json_t *usual = json_loads (HEARTBEAT ("88"), 0, NULL);
  for (guint i = 0; i < VARIANTS; i++) {
    g_autofree char *spelled = json_variant (rand, usual, hr_heartbeat_members);
    json_t *read = hr_json_parse (spelled, strlen (spelled), hr_heartbeat_members, NULL);
    g_autoptr (HrHeartbeat) same = hr_heartbeat_read (read, NULL);
    assert_true (same && same->sequence == 88 && same->tasks->len == 1 &&
                 same->preemption_notice_s == 2);
    json_decref (read);
    g_autofree char *valid = json_with_unknown_member (rand, HEARTBEAT (LARGEST));
    g_autofree char *invalid = json_malformed (rand, valid);
    g_autoptr (HrHeartbeat) heartbeat = hr_heartbeat_parse (valid, strlen (valid), NULL);
    assert_non_null (heartbeat);
    assert_true (json_equal (heartbeat->root, plain));
    assert_true (heartbeat->incarnation == G_MAXUINT64 && heartbeat->sequence == G_MAXUINT64);
    assert_true (heartbeat->fencing_token == G_MAXUINT64);
    assert_true (g_array_index (heartbeat->tasks, HrReportedTask, 0).attempt == G_MAXUINT64);
    assert_null (hr_heartbeat_parse (invalid, strlen (invalid), NULL));
  }
  json_decref (plain);
  json_decref (usual);
}

/* Compares like json_equal(), but 12 and 12.0 are the same. */
static gboolean
is_same_value (const json_t *left, const json_t *right)
{
  if (json_is_number (left) && json_is_number (right))
    return json_number_value (left) == json_number_value (right);
  if (json_typeof (left) != json_typeof (right) ||
      json_array_size (left) != json_array_size (right) ||
      json_object_size (left) != json_object_size (right))
    return FALSE;
  gboolean is_same = json_is_array (left) || json_is_object (left) || json_equal (left, right);
  for (size_t i = 0; i < json_array_size (left); i++)
    is_same &= is_same_value (json_array_get (left, i), json_array_get (right, i));
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)left, name, value)
  {
    const json_t *other = json_object_get (right, name);
    is_same &= other && is_same_value (value, other);
  }
  return is_same;
}

static void
spelling_of_an_answer_changes_it (void **state G_GNUC_UNUSED)
{
  static const struct {
    const char *text;
    const HrJsonMember *members;
  } answers[] = {
      {"{\"epoch\":433,\"log\":[{\"set\":\"c/9\",\"value\":{\"a\":[-1,{\"b\":1.5}],\"path\":null},"
       "\"stamp\":433},{\"delete\":\"c/d\",\"stamp\":432}]}",
       hr_store_answer_members},
      {"{\"rows\":[{\"path\":\"a/b\",\"value\":[\"x\",[],-7],\"stamp\":412}],\"more\":true,"
       "\"epoch\":431}",
       hr_store_answer_members},
      {"{\"hulls\":[{\"sku\":\"g8\",\"vcpus\":96.0,\"hourly\":12.0,\"quarries\":[\"a\",\"b\"]}]}",
       hr_cloud_answer_members},
      {"{\"rockhands\":[{\"name_id\":\"m-1\",\"addr\":\"10.1.0.2:9\",\"age_s\":61.5}],\"more\":"
       "false}",
       hr_cloud_answer_members},
      {"{\"rockhands\":[\"m-1\",\"m-2\"]}", hr_cloud_answer_members}};
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  for (guint i = 0; i < VARIANTS; i++) {
    guint which = i % G_N_ELEMENTS (answers);
    const HrJsonMember *members = answers[which].members;
    json_t *message = json_loads (answers[which].text, 0, NULL);
    g_autofree char *valid = json_variant (rand, message, members);
    g_autofree char *invalid = json_malformed (rand, valid);
    json_t *read = hr_json_parse (valid, strlen (valid), members, NULL);
    if (!is_same_value (read, message))
      fail_msg ("%s", valid);
    assert_null (hr_json_parse (invalid, strlen (invalid), members, NULL));
    json_decref (read);
    json_decref (message);
  }
}

static void
counts_beyond_63_bits_are_changed_on_the_way_out (void **state G_GNUC_UNUSED)
{
  g_autoptr (GArray) orders = hr_order_list_new ();
  hr_order_clear (orders, "job-1", 3, G_MAXUINT64);
  g_autofree char *text = hr_orders_text (G_MAXUINT64, G_MAXUINT64, orders);
  assert_string_equal (text,
                       "{\"baton\":" LARGEST
                       ",\"orders\":[{\"verb\":\"clear\",\"piece\":\"job-1/3\",\"try\":" LARGEST
                       "}],\"tenure\":" LARGEST "}");
  HrStoreCondition condition = {"a", G_MAXUINT64};
  HrStoreWrite change = {"a", "{}", G_MAXUINT64};
  g_autoptr (GArray) conditions = g_array_new (FALSE, FALSE, sizeof condition);
  g_autoptr (GArray) writes = g_array_new (FALSE, FALSE, sizeof change);
  g_array_append_val (conditions, condition);
  g_array_append_val (writes, change);
  g_autofree char *commit = hr_store_commit_text (conditions, writes);
  assert_string_equal (commit,
                       "{\"when\":[{\"path\":\"a\",\"stamp\":" LARGEST
                       "}],\"writes\":[{\"set\":\"a\",\"value\":{},\"claim\":" LARGEST "}]}");
}

/* No controller can have a larger token than this worker has seen, so none may renew its lease. */
static void
report_with_the_largest_token_is_called_malformed (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster);
  guint64 id = cluster_request (cluster, leader, HR_POST, HR_HEARTBEAT_PATH, HEARTBEAT (LARGEST));
  cluster_run (cluster, 0.2);
  assert_int_equal (cluster_reply_status (cluster, leader, id), 503);
  assert_int_equal (cluster->nodes[leader].core->metrics.counters.reports_refused_token, 1);
  cluster_free (cluster);
}

/* The latest log line about a refusal, and the number of such lines. */
static char *refusal_line;
static guint refusal_lines;

static GLogWriterOutput
note_refusals (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  for (gsize i = 0; i < n; i++)
    if (g_str_equal (fields[i].key, "MESSAGE") && g_str_has_prefix (fields[i].value, "refusal:")) {
      g_free (refusal_line);
      refusal_line = g_strdup (fields[i].value);
      refusal_lines++;
    }
  return cluster_log_writer (level, fields, n, data);
}

static void
refused_submission_leaves_no_trace_in_the_log (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  HrCore *core = cluster->nodes[1].core;
  refusal_lines = 0;
  json_t *job = cluster_job_body ("job-1", 1);
  json_object_set_new (job, "vcpus", json_integer (-1));
  g_autofree char *body = hr_json_take_text (job);
  for (int i = 0; i < 3; i++)
    submit_text (cluster, body);
  assert_int_equal (refusal_lines, 1);
  assert_string_equal (refusal_line, "refusal: kind=field subject=job-1 count=1 "
                                     "reason=\"field vcpus: expected a number from 0 to 1e9\"");
  cluster_run (cluster, 10);
  submit_text (cluster, body);
  assert_non_null (strstr (refusal_line, "count=3 "));
  hr_refusal_record (core, HR_REFUSAL_SYNTAX, NULL, "a\xff\n");
  assert_string_equal (refusal_line, "refusal: kind=syntax subject=- count=1 reason=\"a\\377\\n\"");
  g_autofree char *metrics = hr_metrics_text (core);
  assert_non_null (strstr (metrics, "\nhoprock_submissions_refused_field_total 4\n"));
  cluster_free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (sound_submission_is_refused_for_an_unknown_member),
      cmocka_unit_test (spelling_of_a_submission_changes_its_record),
      cmocka_unit_test (malformed_submission_is_accepted),
      cmocka_unit_test (deep_nesting_ends_the_controller),
      cmocka_unit_test (invalid_value_of_a_known_field_is_not_named),
      cmocka_unit_test (spelling_of_a_report_changes_it),
      cmocka_unit_test (spelling_of_an_answer_changes_it),
      cmocka_unit_test (counts_beyond_63_bits_are_changed_on_the_way_out),
      cmocka_unit_test (report_with_the_largest_token_is_called_malformed),
      cmocka_unit_test (refused_submission_leaves_no_trace_in_the_log),
  };
  g_log_set_writer_func (note_refusals, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
