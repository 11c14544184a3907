/* Members of messages that this version does not know, whatever JSON they hold.
 * src/protocol/wire_names.h explains the fields. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "scripted_cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* Unknown members that are JSON by the grammar of RFC 8259. */
static const char *const unknown_members[] = {
    /* of the recorded submission */
    "\"x_labels\":{\"gr\\u00f6\\u00dfe\":\"\xe6\x97\xa5\xe6\x9c\xac \xe2\x9c\x93\","
    "\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,\"none\":null,\"l\":[[],{},true],"
    "\"deep\":[[[[[]]]]]}",
    "\"x\":9223372036854775808",
    "\"x\":[-9223372036854775809]",
    "\"x\":1e999",
    "\"x\":\"\\u0000\"",
    "\"x\\u0000\":1",
    "\"x\":\"\\ud800\"",
    "\"x\":{\"\\udc00\":1}",
    "\"x\":1,\"x\":2",
    "\"x\":{\"y\":1,\"y\":{\"y\":2,\"y\":3}}",
};

/* Returns the status of a node's answer to the submission of `job`, a JSON object to which
 * `members` is added. */
static int
submit (Cluster *cluster, json_t *job, const char *members)
{
  g_autofree char *text = hr_json_take_text (job);
  g_autofree char *body = g_strdup_printf ("{%s,%s", members, text + 1);
  guint64 id = cluster_request (cluster, 1, HR_POST, HR_JOBS_PATH, body);
  for (int i = 0; i < 10 && !cluster_reply (cluster, 1, id); i++)
    cluster_run (cluster, 0.05);
  const ClusterReply *reply = cluster_reply (cluster, 1, id);
  assert_non_null (reply);
  if (reply->status >= 400)
    print_message ("%s: %d %s\n", members, reply->status, hr_json_str (reply->body, "error"));
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
  }
  assert_int_equal (refused, 0);
  cluster_free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (sound_submission_is_refused_for_an_unknown_member),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
