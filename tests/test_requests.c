/* Malformed and invalid requests of users: checks the status and the body of the answer, and that
 * nothing is recorded. The table "Bad input" of docs/meetings.md has a line for each group.
 * src/protocol/wire_names.h explains the fields of a submission. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "scripted_cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* Returns the status of the node's answer to the request. Checks that a refusal gives a reason. */
static int
request_status (Cluster *cluster, int node, HrMethod method, const char *path, const char *body)
{
  guint64 id = cluster_request (cluster, node, method, path, body);
  for (int i = 0; i < 10 && !cluster_reply (cluster, node, id); i++)
    cluster_run (cluster, 0.05);
  const ClusterReply *reply = cluster_reply (cluster, node, id);
  assert_non_null (reply);
  if (reply->status >= 400)
    assert_true (strlen (hr_json_str (reply->body, "error")) > 5);
  else
    assert_non_null (hr_json_str (reply->body, "stance"));
  return reply->status;
}

/* Submits the body to c1. Checks that the state store changes only if the job is accepted. */
static int
submit_text (Cluster *cluster, const char *body)
{
  guint before = cluster->committed_transactions;
  int status = request_status (cluster, 1, HR_POST, HR_JOBS_PATH, body);
  assert_int_equal (cluster->committed_transactions - before, status == 201);
  return status;
}

/* Submits job-odd with this JSON value of the field; NULL: without the field. */
static int
submit_with (Cluster *cluster, const char *field, const char *value)
{
  json_t *job = cluster_job_body ("job-odd", 1);
  json_object_del (job, field);
  if (value) {
    json_t *member = json_loads (value, JSON_DECODE_ANY, NULL);
    assert_non_null (member);
    json_object_set_new (job, field, member);
  }
  g_autofree char *body = hr_json_take_text (job);
  return submit_text (cluster, body);
}

static void
every_field_is_required_that_may_not_be_null (void **state G_GNUC_UNUSED)
{
  static const char *const required[] = {
      "name_id", "jobclass",     "crew",      "shape",  "rank",    "pieces",
      "vcpus",   "accelerators", "memory_gb", "bundle", "size_gb", "guess_s",
      "cairn_s", "stash_s",      "together",  "apart",  "loaners"};
  static const char *const optional[] = {"hulls", "quarry", "due_s"};
  Cluster *cluster = cluster_new_with_leader (2);
  for (guint i = 0; i < G_N_ELEMENTS (required); i++) {
    assert_int_equal (submit_with (cluster, required[i], NULL), 400);
    assert_int_equal (submit_with (cluster, required[i], "null"), 400);
    assert_int_equal (submit_with (cluster, required[i], "[]"), 400);
    assert_int_equal (submit_with (cluster, required[i], "{\"a\":1}"), 400);
  }
  assert_int_equal (request_status (cluster, 0, HR_GET, "/v1/jobs/job-odd", NULL), 404);
  for (guint i = 0; i < G_N_ELEMENTS (optional); i++) {
    for (int null = 0; null < 2; null++) {
      g_autofree char *id = g_strdup_printf ("job-%u-%d", i, null);
      json_t *job = cluster_job_body (id, 1);
      json_object_del (job, optional[i]);
      if (null)
        json_object_set_new (job, optional[i], json_null ());
      g_autofree char *body = hr_json_take_text (job);
      assert_int_equal (submit_text (cluster, body), 201);
    }
    assert_int_equal (submit_with (cluster, optional[i], "{\"a\":1}"), 400);
  }
  cluster_free (cluster);
}

typedef struct {
  const char *field, *value;
  int status;
} InvalidValue;

static const InvalidValue invalid_values[] = {
    /* ids: the key of a record, and part of a path */
    {"name_id", "\"job-\"", 400},
    {"name_id", "\"odd\"", 400},
    {"name_id", "\"job-a/b\"", 400},
    {"name_id", "\"job-a b\"", 400},
    {"name_id", "\"job-a\\n\"", 400},
    {"name_id", "\"job-\\u00e9\"", 400},
    {"name_id", "\"JOB-1\"", 400},
    {"name_id", "7", 400},
    /* texts */
    {"jobclass", "\"\"", 400},
    {"bundle", "\"\"", 400},
    {"crew", "7", 400},
    {"shape", "\"array\"", 400},
    {"shape", "true", 400},
    {"rank", "\"highest\"", 400},
    {"rank", "0", 400},
    /* counts */
    {"pieces", "0", 400},
    {"pieces", "-1", 400},
    {"pieces", "1.0", 400},
    {"pieces", "\"1\"", 400},
    {"pieces", "100001", 400},
    {"pieces", "9223372036854775807", 400},
    /* amounts */
    {"vcpus", "-0.5", 400},
    {"vcpus", "\"1\"", 400},
    {"vcpus", "1e300", 400},
    {"accelerators", "-1", 400},
    {"memory_gb", "-1e-9", 400},
    {"size_gb", "-1", 400},
    {"guess_s", "-1", 400},
    {"cairn_s", "-1", 400},
    {"stash_s", "-1", 400},
    {"due_s", "-1", 400},
    {"due_s", "\"soon\"", 400},
    {"due_s", "1e10", 400},
    /* flags */
    {"together", "0", 400},
    {"apart", "\"false\"", 400},
    {"loaners", "1", 400},
    /* machine types and zone */
    {"hulls", "[]", 400},
    {"hulls", "\"g2\"", 400},
    {"hulls", "[7]", 400},
    {"hulls", "[\"g2\",null]", 400},
    {"quarry", "\"\"", 400},
    {"quarry", "[\"z0\"]", 400},
    /* requirements that no machine or team meets */
    {"crew", "\"strangers\"", 422},
    {"hulls", "[\"g9\"]", 422},
    {"quarry", "\"z9\"", 422},
    {"vcpus", "12.5", 422},
    {"accelerators", "3", 422},
    {"memory_gb", "97.0", 422},
    {"vcpus", "1e9", 422},
};

static void
invalid_values_are_refused (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  for (guint i = 0; i < G_N_ELEMENTS (invalid_values); i++) {
    int status = submit_with (cluster, invalid_values[i].field, invalid_values[i].value);
    if (status != invalid_values[i].status)
      fail_msg ("%s %s: %d", invalid_values[i].field, invalid_values[i].value, status);
  }
  assert_int_equal (request_status (cluster, 0, HR_GET, "/v1/jobs/job-odd", NULL), 404);
  cluster_free (cluster);
}

static void
malformed_bodies_are_refused (void **state G_GNUC_UNUSED)
{
  g_autofree char *deep = g_strnfill (40000, '[');
  g_autofree char *many = g_strnfill (65536, ' ');
  static const char *const bodies[] = {"",
                                       "{",
                                       "[]",
                                       "null",
                                       "7",
                                       "\"job-odd\"",
                                       "{}",
                                       "{\"name_id\":\"job-odd\"}",
                                       "{\"name_id\":\"job-odd\",\"name_id\":\"job-odd\"}",
                                       "{\"name_id\":\"job-odd\",\"vcpus\":NaN}",
                                       "{\"name_id\":\"job-odd\",\"vcpus\":1e999}",
                                       "{\"name_id\":\"job-odd\",\"vcpus\":Infinity}",
                                       "{\"name_id\":\"job-odd\",\"pieces\":18446744073709551616}",
                                       "{\"name_id\":\"job-\\u0000odd\"}",
                                       "{\"name_id\":\"job-\xff\xfe\"}",
                                       "\xef\xbb\xbf{}"};
  Cluster *cluster = cluster_new_with_leader (2);
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    assert_int_equal (submit_text (cluster, bodies[i]), 400);
  assert_int_equal (submit_text (cluster, deep), 400);
  assert_int_equal (submit_text (cluster, many), 400);
  /* A request beyond the size limit reaches the core without its body. */
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = ++cluster->next_request;
  command->request.method = HR_POST;
  command->request.path = g_strdup (HR_JOBS_PATH);
  command->request.is_too_large = TRUE;
  cluster_step (cluster, 1, command);
  assert_int_equal (cluster_reply_status (cluster, 1, cluster->next_request), 400);
  /* A body within the limit, with an unknown field. */
  json_t *job = cluster_job_body ("job-large", 1);
  g_autofree char *padding = g_strnfill (64000, 'x');
  json_object_set_new (job, "remark", json_string (padding));
  g_autofree char *body = hr_json_take_text (job);
  assert_int_equal (submit_text (cluster, body), 201);
  assert_null (strstr (cluster_value (cluster, "h/j/job-large"), "xxx"));
  cluster_free (cluster);
}

/* The team's limit applies to a single task of an array (batch) and to all tasks of other jobs. */
static void
jobs_beyond_the_team_limit_are_refused (void **state G_GNUC_UNUSED)
{
  static const struct {
    const char *shape, *id;
    int pieces, status;
  } jobs[] = {{"ensemble", "job-1", 101, 422},
              {"ensemble", "job-2", 100, 201},
              {"daemon", "job-3", 101, 422},
              {"daemon", "job-4", 100, 201},
              {"batch", "job-5", 101, 201}};
  Cluster *cluster = cluster_new_with_leader (2);
  for (guint i = 0; i < G_N_ELEMENTS (jobs); i++) {
    json_t *job = cluster_job_body (jobs[i].id, jobs[i].pieces);
    json_object_set_new (job, "shape", json_string (jobs[i].shape));
    json_object_set_new (job, "accelerators", json_real (1));
    g_autofree char *body = hr_json_take_text (job);
    assert_int_equal (submit_text (cluster, body), jobs[i].status);
  }
  cluster_free (cluster);
}

/* At most half of the tasks of a gang with `apart` may run in one zone, and the job allows no
 * second zone. */
static void
a_gang_without_a_second_zone_is_refused (void **state G_GNUC_UNUSED)
{
  static const struct {
    const char *id, *quarry;
    int pieces, together, status;
  } jobs[] = {{"job-1", "z0", 2, 0, 422},
              {"job-2", NULL, 2, 1, 422},
              {"job-3", NULL, 2, 0, 201},
              {"job-4", "z0", 1, 1, 201},
              {"job-5", "z0", 3, 1, 422}};
  Cluster *cluster = cluster_new_with_leader (2);
  for (guint i = 0; i < G_N_ELEMENTS (jobs); i++) {
    json_t *job = cluster_job_body (jobs[i].id, jobs[i].pieces);
    json_object_set_new (job, "shape", json_string ("ensemble"));
    json_object_set_new (job, "apart", json_true ());
    json_object_set_new (job, "together", json_boolean (jobs[i].together));
    if (jobs[i].quarry)
      json_object_set_new (job, "quarry", json_string (jobs[i].quarry));
    g_autofree char *body = hr_json_take_text (job);
    assert_int_equal (submit_text (cluster, body), jobs[i].status);
  }
  cluster_free (cluster);
}

/* The id alone identifies a job: a submission with the id of an accepted job returns that job,
 * whatever its other fields are, also at a node that has not read the record yet and while the node
 * reads it again. */
static void
a_resubmission_with_other_content_returns_the_job (void **state G_GNUC_UNUSED)
{
  static const char *const other[][2] = {{"pieces", "7"},       {"crew", "\"strangers\""},
                                         {"vcpus", "1e9"},      {"rank", NULL},
                                         {"pieces", "\"one\""}, {"hulls", "[]"}};
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), node = 1 - leader;
  cluster_hold (cluster, node, "/changes", NULL);
  cluster_submit (cluster, leader, "job-odd", 1);
  cluster_serve (cluster);
  guint64 revision = cluster_key_revision (cluster, "h/j/job-odd");
  guint64 requests[G_N_ELEMENTS (other)];
  for (int round = 0; round < 2; round++) {
    for (guint i = 0; i < G_N_ELEMENTS (other); i++) {
      json_t *job = cluster_job_body ("job-odd", 1);
      json_object_del (job, other[i][0]);
      if (other[i][1])
        json_object_set_new (job, other[i][0], json_loads (other[i][1], JSON_DECODE_ANY, NULL));
      g_autofree char *body = hr_json_take_text (job);
      requests[i] = cluster_request (cluster, node, HR_POST, HR_JOBS_PATH, body);
      /* The node has read nothing since the request, so it cannot answer. */
      if (round == 0)
        assert_int_equal (cluster_reply_status (cluster, node, requests[i]), 0);
    }
    cluster_release (cluster);
    cluster_run (cluster, 0.5);
    for (guint i = 0; i < G_N_ELEMENTS (other); i++) {
      assert_int_equal (cluster_reply_status (cluster, node, requests[i]), 200);
      assert_string_equal (cluster_job_state (cluster, node, requests[i]), "queued");
    }
  }
  assert_int_equal (cluster_key_revision (cluster, "h/j/job-odd"), revision);
  cluster_free (cluster);
}

/* An invalid submission is neither refused permanently (4xx) nor accepted while the node cannot
 * read whether a job with its id exists. */
static void
an_invalid_submission_waits_for_the_state_service (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  cluster->store_outage = TRUE;
  cluster_run (cluster, 5);
  assert_int_equal (submit_with (cluster, "rank", NULL), 503);
  assert_int_equal (submit_with (cluster, "crew", "\"strangers\""), 503);
  /* Without an id, the submission cannot mean an existing job. */
  assert_int_equal (submit_with (cluster, "name_id", NULL), 400);
  cluster->store_outage = FALSE;
  cluster_run (cluster, 3);
  assert_int_equal (submit_with (cluster, "rank", NULL), 400);
  assert_int_equal (submit_with (cluster, "crew", "\"strangers\""), 422);
  cluster_free (cluster);
}

static void
cancelling_done_and_unknown_jobs_changes_nothing (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  int leader = cluster_leader (cluster), other = 1 - leader;
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_submit_and_start (cluster, worker, other, "job-done");
  cluster_worker_exit_tasks (worker, "done");
  cluster_send_heartbeat (cluster, worker, leader);
  cluster_run (cluster, 1);
  guint64 revision = cluster_key_revision (cluster, "h/j/job-done");
  for (int i = 0; i < 2; i++) {
    guint64 id = cluster_cancel (cluster, i, "job-done");
    cluster_run (cluster, 0.2);
    assert_int_equal (cluster_reply_status (cluster, i, id), 200);
    assert_string_equal (cluster_job_state (cluster, i, id), "done");
    id = cluster_submit (cluster, i, "job-done", 3);
    cluster_run (cluster, 0.2);
    assert_int_equal (cluster_reply_status (cluster, i, id), 200);
    assert_string_equal (cluster_job_state (cluster, i, id), "done");
    assert_int_equal (request_status (cluster, i, HR_POST, "/v1/jobs/job-never/abort", NULL), 404);
    assert_int_equal (request_status (cluster, i, HR_POST, "/v1/jobs/job-never/abort", "{\"x\":1}"),
                      404);
  }
  assert_int_equal (cluster_key_revision (cluster, "h/j/job-done"), revision);
  assert_null (cluster_value (cluster, "h/j/job-never"));
  cluster_free (cluster);
}

static void
unknown_paths_and_methods_are_refused (void **state G_GNUC_UNUSED)
{
  static const struct {
    HrMethod method;
    const char *path;
    int status;
  } requests[] = {
      {HR_GET, "/v1/jobs", 405},
      {HR_DELETE, "/v1/jobs/job-a", 405},
      {HR_OTHER_METHOD, "/v1/jobs/job-a", 405},
      {HR_POST, "/v1/jobs/job-a", 405},
      {HR_GET, "/v1/jobs/job-a/abort", 405},
      {HR_POST, "/v1/jobs/job-a/abort/abort", 404},
      {HR_GET, "/v1/jobs/", 404},
      {HR_POST, "/v1/jobs//abort", 404},
      {HR_GET, "/v1/jobs/job-a/", 404},
      {HR_GET, "/v1/jobs/../map", 404},
      {HR_GET, "/v1/jobs/job-a%00", 404},
      {HR_GET, "/v1/jobs/job-\xc3\xa9", 404},
      {HR_GET, "/v1/jobs/job- a", 404},
      {HR_GET, "/v2/jobs/job-a", 404},
      {HR_POST, "/ready", 405},
      {HR_GET, "/hello", 405},
      {HR_GET, "", 404},
  };
  Cluster *cluster = cluster_new_with_leader (2);
  cluster_submit (cluster, 0, "job-a", 1);
  cluster_run (cluster, 0.5);
  guint before = cluster->committed_transactions;
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++) {
    int status = request_status (cluster, 1, requests[i].method, requests[i].path, NULL);
    if (status != requests[i].status)
      fail_msg ("%s: %d", requests[i].path, status);
  }
  g_autofree char *long_id = g_strnfill (5000, '7');
  g_autofree char *path = g_strconcat ("/v1/jobs/job-", long_id, NULL);
  assert_int_equal (request_status (cluster, 1, HR_GET, path, NULL), 404);
  assert_int_equal (cluster->committed_transactions, before);
  cluster_free (cluster);
}

/* Checks requests about a job whose record is malformed: the job was accepted, so the answer is
 * neither 404 nor an earlier state. */
static void
a_job_with_a_malformed_record_is_answered_503 (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  cluster_submit (cluster, 0, "job-a", 1);
  cluster_run (cluster, 0.5);
  cluster_set_value (cluster, "h/j/job-a", "{\"w\":\"x\",\"s\":0,\"form\":9}");
  cluster_set_value (cluster, "h/j/job-b", "[]");
  cluster_run (cluster, 2);
  for (int i = 0; i < 2; i++) {
    assert_int_equal (request_status (cluster, i, HR_GET, "/v1/jobs/job-a", NULL), 503);
    assert_int_equal (request_status (cluster, i, HR_GET, "/v1/jobs/job-b", NULL), 503);
    assert_int_equal (request_status (cluster, i, HR_POST, "/v1/jobs/job-b/abort", NULL), 503);
    guint64 id = cluster_submit (cluster, i, "job-b", 1);
    cluster_run (cluster, 0.5);
    assert_int_equal (cluster_reply_status (cluster, i, id), 503);
  }
  /* A tombstone of a cancelled job: state ("s") 2, one task ("n"), none of them done ("d"). */
  cluster_set_value (cluster, "h/j/job-b", "{\"w\":\"x\",\"s\":2,\"n\":1,\"d\":0}");
  cluster_run (cluster, 1);
  assert_string_equal (cluster_poll_state (cluster, 0, "job-b"), "withdrawn");
  cluster_free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (every_field_is_required_that_may_not_be_null),
      cmocka_unit_test (invalid_values_are_refused),
      cmocka_unit_test (malformed_bodies_are_refused),
      cmocka_unit_test (jobs_beyond_the_team_limit_are_refused),
      cmocka_unit_test (a_gang_without_a_second_zone_is_refused),
      cmocka_unit_test (a_resubmission_with_other_content_returns_the_job),
      cmocka_unit_test (an_invalid_submission_waits_for_the_state_service),
      cmocka_unit_test (cancelling_done_and_unknown_jobs_changes_nothing),
      cmocka_unit_test (unknown_paths_and_methods_are_refused),
      cmocka_unit_test (a_job_with_a_malformed_record_is_answered_503),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
