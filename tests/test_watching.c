/* The interfaces by which operators monitor a controller: /metrics and its log lines. */
#include "scripted_cluster.h"
#include "coordination/metrics/metrics.h"
#include "transport/log_writer.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define SEED 20261202
#define RANDOM_MESSAGES 500

/* Returns the value of the sample with this name, or -1 if the text has none. */
static double
sample_value (const char *text, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autofree char *prefix = g_strconcat (name, " ", NULL);
  for (guint i = 0; lines[i]; i++)
    if (g_str_has_prefix (lines[i], prefix))
      return g_ascii_strtod (lines[i] + strlen (prefix), NULL);
  return -1;
}

/* Checks that every line is a HELP or TYPE comment, or a sample of the metric that the comments
 * before it name. */
static void
check_format (const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_autofree char *metric = NULL;
  for (guint i = 0; lines[i] && *lines[i]; i++) {
    g_auto (GStrv) words = g_strsplit (lines[i], " ", -1);
    assert_true (strlen (lines[i]) < (gsize)64 * 1024);
    if (g_str_equal (words[0], "#")) {
      assert_true (g_str_equal (words[1], "HELP") || g_str_equal (words[1], "TYPE"));
      g_free (metric);
      metric = g_strdup (words[2]);
      continue;
    }
    assert_non_null (metric);
    assert_true (g_str_has_prefix (words[0], metric));
    assert_int_equal (g_strv_length (words), 2);
    char *end;
    g_ascii_strtod (words[1], &end);
    assert_true (end != words[1] && !*end);
  }
}

static void
metrics_reflect_cluster_events (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  ClusterWorker *worker = cluster_worker (cluster, "m-1");
  int leader = cluster_leader (cluster);
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, leader, "job-a");
  g_autofree char *while_running = hr_metrics_text (cluster->nodes[leader].core);
  check_format (while_running);
  assert_true (sample_value (while_running, "hoprock_leads") == 1);
  assert_true (sample_value (while_running, "hoprock_may_answer") == 1);
  assert_true (sample_value (while_running, "hoprock_terms_total") == 1);
  assert_true (sample_value (while_running, "hoprock_tasks_bound") == 1);
  assert_true (sample_value (while_running, "hoprock_starts_total") >= 1);
  assert_true (sample_value (while_running, "hoprock_reports_before_token_total") == 1);
  assert_true (sample_value (while_running, "hoprock_machines{state=\"up\"}") == 1);
  double renewals = sample_value (while_running, "hoprock_reports_answered_total") +
                    sample_value (while_running, "hoprock_reports_before_token_total") +
                    sample_value (while_running, "hoprock_reports_overtaken_total");
  assert_true (sample_value (while_running, "hoprock_renewal_reading_age_seconds_count") ==
               renewals);
  cluster_cancel (cluster, 1 - leader, "job-a");
  cluster_run (cluster, 2);
  cluster_send_heartbeat (cluster, worker, leader);
  g_autofree char *after_stop = hr_metrics_text (cluster->nodes[leader].core);
  assert_true (sample_value (after_stop, "hoprock_stops_total") >= 1);
  assert_true (sample_value (after_stop, "hoprock_withdrawals_total") == 1);
  assert_true (sample_value (after_stop, "hoprock_invariants_violated_total") == 0);
  g_autofree char *follower = hr_metrics_text (cluster->nodes[1 - leader].core);
  assert_true (sample_value (follower, "hoprock_leads") == 0);
  assert_true (sample_value (follower, "hoprock_machines{state=\"up\"}") == 0);
  cluster_free (cluster);
}

static json_t *
parse_json_line (const char *message)
{
  g_autofree char *line = hr_log_writer_line (HR_LOG_JSON, 1.5, "info", "hoprock", message);
  assert_null (strchr (line, '\n'));
  json_t *object = json_loads (line, 0, NULL);
  assert_non_null (object);
  return object;
}

static const char *
string_member (json_t *object, const char *key)
{
  return json_string_value (json_object_get (object, key));
}

static void
log_fields_become_json_members (void **state G_GNUC_UNUSED)
{
  json_t *object = parse_json_line ("leads: token=7 epoch=12 why=a=b");
  assert_string_equal (string_member (object, "event"), "leads");
  assert_string_equal (string_member (object, "token"), "7");
  assert_string_equal (string_member (object, "why"), "a=b");
  assert_null (json_object_get (object, "message"));
  json_decref (object);
  object = parse_json_line ("odd: level=3 event=4");
  assert_string_equal (string_member (object, "level"), "info");
  assert_string_equal (string_member (object, "field_level"), "3");
  assert_string_equal (string_member (object, "event"), "odd");
  json_decref (object);
  object = parse_json_line ("m-1 is returned: its worker is silent");
  assert_string_equal (string_member (object, "message"), "m-1 is returned: its worker is silent");
  assert_null (json_object_get (object, "event"));
  json_decref (object);
  g_autofree char *text = hr_log_writer_line (HR_LOG_TEXT, 1.5, "info", "hoprock", "a b");
  assert_string_equal (text, "1.500 info hoprock: a b");
}

/* Guards against broken log lines: any message, with control characters and invalid UTF-8 too,
 * becomes one line with one JSON object and the keys that every line has. */
static void
any_message_is_one_json_line (void **state G_GNUC_UNUSED)
{
  static const char alphabet[] = "ab=: \"\\\n\t{}\xc3\xa9\xff%_0";
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  for (int i = 0; i < RANDOM_MESSAGES; i++) {
    char message[40];
    int n = g_rand_int_range (rand, 0, sizeof message - 1);
    for (int k = 0; k < n; k++)
      message[k] = alphabet[g_rand_int_range (rand, 0, sizeof alphabet - 1)];
    message[n] = 0;
    json_t *object = parse_json_line (message);
    assert_string_equal (string_member (object, "level"), "info");
    assert_true (json_number_value (json_object_get (object, "time")) == 1.5);
    assert_true (!string_member (object, "event") != !string_member (object, "message"));
    json_decref (object);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (metrics_reflect_cluster_events),
      cmocka_unit_test (log_fields_become_json_members),
      cmocka_unit_test (any_message_is_one_json_line),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
