/* Meetings of users' requests with what is on its way to and from the state service, message by
 * message (script.h). docs/meetings.md says which meeting each test brings about and which guard
 * it fails without. */
#include "script.h"
#include "protocol/jsonx.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static void
a_job_runs_to_its_end (void **state)
{
  Script *s = script_led (2);
  int leader = script_leader (s), other = 1 - leader;
  ScriptWorker *w = script_worker (s, "m-000001");
  script_report (s, w, leader);
  script_report (s, w, leader);
  guint64 id = script_submit (s, other, "job-a", 1);
  script_run (s, 1);
  assert_int_equal (script_status (s, other, id), 201);
  for (int i = 0; i < 4; i++) {
    script_report (s, w, leader);
    script_run (s, 1);
  }
  assert_true (script_worker_has (w, "job-a"));
  script_worker_ends (w, "done");
  script_report (s, w, leader);
  script_run (s, 1);
  id = script_poll (s, other, "job-a");
  script_run (s, 0.2);
  assert_string_equal (script_stance (s, other, id), "done");
  script_free (s);
}

static GLogWriterOutput
verbose (GLogLevelFlags level, const GLogField *f, gsize n, gpointer d)
{
  for (gsize i = 0; i < n && g_getenv ("HR_SIM_VERBOSE"); i++)
    if (g_str_equal (f[i].key, "MESSAGE"))
      print_message ("%s\n", (const char *)f[i].value);
  return G_LOG_WRITER_HANDLED;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_job_runs_to_its_end),
  };
  g_log_set_writer_func (verbose, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
