/* Users where the state service allows few writes, is slow, or is away (script.h): what they are
 * told, and how soon. docs/meetings.md says which guard each test fails without. */
#include "script.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define SCARCE_WRITES 15.0

/* Work for every controller: launches and ends by the hundred wait for the leader's allowance. A
 * user's write does not wait behind them. */
static void
users_write_before_launches (void **state)
{
  Script *s = script_new (1);
  script_limit_writes (s, SCARCE_WRITES);
  script_run (s, 6);
  for (int i = 0; i < 90; i++) {
    g_autofree char *id = g_strdup_printf ("job-%d", i);
    script_submit (s, 0, id, 1);
    script_run (s, 0.1);
  }
  for (int i = 0; i < 8; i++) {
    g_autofree char *name = g_strdup_printf ("m-%06d", i);
    script_worker (s, name);
  }
  for (int round = 0; round < 2; round++)
    for (guint i = 0; i < s->workers->len; i++)
      script_report (s, s->workers->pdata[i], 0);
  guint before = s->carried_out;
  script_run (s, 0.2);
  guint64 id = script_submit (s, 0, "job-late", 1);
  script_run (s, 0.6);
  assert_int_equal (script_status (s, 0, id), 201);
  id = script_abort (s, 0, "job-89");
  script_run (s, 0.6);
  assert_string_equal (script_stance (s, 0, id), "withdrawn");
  assert_in_range (s->carried_out - before, 10, 60); /* the launches are still going out */
  script_free (s);
}

/* Twice as many as the service takes in a second, at once and at all nodes: those that it refuses
 * are tried again, out of step, and nobody is sent away. */
static void
a_burst_beyond_the_allowance_is_paced (void **state)
{
  Script *s = script_new (3);
  guint64 asked[30];
  script_limit_writes (s, SCARCE_WRITES);
  script_run (s, 6);
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++) {
    g_autofree char *id = g_strdup_printf ("job-%u", i);
    asked[i] = script_submit (s, i % 3, id, 1);
  }
  guint before = s->refused_writes;
  script_run (s, 2.5);
  for (guint i = 0; i < G_N_ELEMENTS (asked); i++)
    assert_in_range (script_status (s, i % 3, asked[i]), 200, 201);
  print_message ("30 submissions at once: %u transactions refused\n", s->refused_writes - before);
  assert_in_range (s->refused_writes - before, 1, 45);
  script_free (s);
}

/* ---- a stream ---- */

typedef struct {
  char *id;
  int node;
  double sent, accepted, ends, told, abort_sent, cancelled;
  gboolean to_cancel, fell_in_place;
  guint64 submission, abort, poll;
} StreamJob;

typedef struct {
  Script *s;
  GArray *jobs;
  double run_s;
  double worst_accept, worst_cancel, worst_told;
} Stream;

static void
stream_job_clear (gpointer data)
{
  g_free (((StreamJob *)data)->id);
}

static void
stream_users (Stream *st)
{
  Script *s = st->s;
  for (guint i = 0; i < st->jobs->len; i++) {
    StreamJob *j = &g_array_index (st->jobs, StreamJob, i);
    int status = script_status (s, j->node, j->submission);
    if (!j->accepted && status) {
      if (status != 201 && status != 200) { /* asked again, as users do */
        if (s->now - j->sent > 1) {
          j->submission = script_submit (s, j->node, j->id, 1);
          j->sent = s->now;
        }
        continue;
      }
      j->accepted = s->now;
      st->worst_accept = MAX (st->worst_accept, s->now - j->sent);
    }
    if (!j->accepted || j->cancelled || j->told)
      continue;
    if (j->to_cancel && !j->abort && s->now - j->accepted > i % 8) {
      j->abort = script_abort (s, (j->node + 1) % s->n, j->id);
      j->abort_sent = s->now;
    }
    const char *state = j->abort ? script_stance (s, (j->node + 1) % s->n, j->abort) : NULL;
    if (state) {
      j->cancelled = s->now;
      st->worst_cancel = MAX (st->worst_cancel, s->now - j->abort_sent);
    } else if (j->abort && script_status (s, (j->node + 1) % s->n, j->abort))
      j->abort = 0;
    if (!j->to_cancel && j->ends && s->now > j->ends) {
      state = j->poll ? script_stance (s, (j->node + 2) % s->n, j->poll) : NULL;
      if (g_strcmp0 (state, "done") == 0) {
        j->told = s->now;
        st->worst_told = MAX (st->worst_told, s->now - j->ends);
      } else
        j->poll = script_poll (s, (j->node + 2) % s->n, j->id);
    }
  }
}

static StreamJob *
stream_find (Stream *st, const char *piece)
{
  for (guint i = 0; i < st->jobs->len; i++) {
    StreamJob *j = &g_array_index (st->jobs, StreamJob, i);
    if (g_str_has_prefix (piece, j->id) && piece[strlen (j->id)] == '/')
      return j;
  }
  return NULL;
}

static void
stream_work (Stream *st, guint round)
{
  Script *s = st->s;
  for (guint i = 0; i < s->workers->len; i++) {
    ScriptWorker *w = s->workers->pdata[i];
    gboolean change = FALSE;
    for (guint k = 0; k < w->tasks->len; k++) {
      json_t *task = w->tasks->pdata[k];
      StreamJob *j = stream_find (st, hr_json_str (task, "piece"));
      if (strcmp (hr_json_str (task, "stance"), "exited") == 0)
        continue;
      if (!j->ends)
        j->ends = s->now + st->run_s;
      else if (s->now >= j->ends) {
        json_object_set_new (task, "stance", json_string ("exited"));
        json_object_set_new (task, "cause", json_string ("done"));
        change = TRUE;
      }
    }
    if (change || (round + i * 5) % 50 == 0)
      script_report (s, w, script_leader (s));
  }
}

/* One-task jobs, four a second, a quarter of them cancelled, at 15 changes a second: all are
 * accepted, confirmed and told in time, and nothing piles up. */
static void
a_stream_of_small_jobs_fits_the_allowance (void **state)
{
  Script *s = script_new (3);
  Stream st = {.s = s, .run_s = 6};
  script_limit_writes (s, SCARCE_WRITES);
  script_run (s, 6);
  st.jobs = g_array_new (FALSE, TRUE, sizeof (StreamJob));
  g_array_set_clear_func (st.jobs, stream_job_clear);
  for (int i = 0; i < 6; i++) {
    g_autofree char *name = g_strdup_printf ("m-%06d", i);
    script_worker (s, name);
  }
  for (guint round = 0; round < 90 * 20; round++) {
    if (round % 5 == 0 && round < 60 * 20) {
      guint n = st.jobs->len;
      StreamJob j = {.id = g_strdup_printf ("job-%u", n), .node = n % 3, .to_cancel = n % 4 == 3};
      j.sent = s->now;
      j.submission = script_submit (s, j.node, j.id, 1);
      g_array_append_val (st.jobs, j);
    }
    script_run (s, 0.05);
    stream_work (&st, round);
    stream_users (&st);
  }
  guint open = 0;
  for (guint i = 0; i < st.jobs->len; i++) {
    StreamJob *j = &g_array_index (st.jobs, StreamJob, i);
    open += !(j->cancelled || j->told);
  }
  print_message ("%u jobs: accepted within %.2f s, cancelled within %.2f s, told within %.2f s; "
                 "%u changes, %u transactions refused\n",
                 st.jobs->len, st.worst_accept, st.worst_cancel, st.worst_told, s->carried_out,
                 s->refused_writes);
  assert_int_equal (open, 0);
  assert_true (st.worst_accept < 2);
  assert_true (st.worst_cancel < 2.5);
  assert_true (st.worst_told < 3);
  g_array_unref (st.jobs);
  script_free (s);
}

/* ---- slow, refused, away ---- */

/* Whatever a node says of the job, it is not older than that it is withdrawn. */
static void
nobody_says_otherwise (Script *s, const char *id)
{
  for (int node = 0; node < s->n; node++) {
    guint64 poll = script_poll (s, node, id), again = script_submit (s, node, id, 1);
    for (int i = 0; i < 50 && !(script_reply (s, node, poll) && script_reply (s, node, again)); i++)
      script_run (s, 0.05);
    const char *told[] = {script_stance (s, node, poll), script_stance (s, node, again)};
    for (int i = 0; i < 2; i++)
      if (told[i])
        assert_string_equal (told[i], "withdrawn");
    assert_int_not_equal (script_status (s, node, poll), 404);
    assert_int_not_equal (script_status (s, node, again), 201);
  }
}

static void
a_slow_service_then_a_refused_leader_then_an_outage (void **state)
{
  Script *s = script_led (3);
  int leader = script_leader (s), next = (leader + 1) % 3, third = (leader + 2) % 3;
  ScriptWorker *w = script_worker (s, "m-000001");
  script_report (s, w, leader);
  script_report (s, w, leader);
  script_place (s, w, next, "job-a");
  script_place (s, w, next, "job-b");
  s->slow = 0.8;
  guint64 id = script_submit (s, next, "job-e", 1);
  script_run (s, 2.5); /* a first try given up too early, one more, and a look at the record */
  assert_in_range (script_status (s, next, id), 200, 201);
  id = script_submit (s, third, "job-c", 1);
  script_run (s, 1); /* by now it is known to be slow */
  assert_int_equal (script_status (s, third, id), 201);
  guint64 polls[3];
  for (int i = 0; i < 3; i++)
    polls[i] = script_poll (s, i, "job-c");
  script_run (s, 1.95); /* users wait two seconds */
  for (int i = 0; i < 3; i++)
    assert_non_null (script_stance (s, i, polls[i]));
  guint64 abort = script_abort (s, third, "job-a");
  script_run (s, 3);
  assert_string_equal (script_stance (s, third, abort), "withdrawn");
  nobody_says_otherwise (s, "job-a");
  s->slow = 0;
  script_run (s, 2);
  /* The leader alone is refused, and others confirm. */
  s->nodes[leader].served = FALSE;
  script_run (s, 0.2);
  abort = script_abort (s, next, "job-b");
  script_run (s, 0.3);
  assert_string_equal (script_stance (s, next, abort), "withdrawn");
  nobody_says_otherwise (s, "job-b");
  script_run (s, 0.7);
  /* A second later it is out for all, for longer than cancel_s. */
  s->outage = TRUE;
  double until = s->now + 42;
  while (s->now < until) {
    nobody_says_otherwise (s, "job-a");
    nobody_says_otherwise (s, "job-b");
    script_run (s, 1);
  }
  id = script_submit (s, next, "job-d", 1);
  abort = script_abort (s, next, "job-c");
  script_run (s, 0.3);
  assert_int_equal (script_status (s, next, id), 503);
  assert_int_equal (script_reply (s, next, id)->retry_after, 2);
  assert_int_equal (script_status (s, next, abort), 503);
  assert_string_equal (script_asked (s, next, "job-b"), "withdrawn"); /* final: it may be told */
  s->outage = FALSE;
  s->nodes[leader].served = TRUE;
  script_run (s, 10);
  for (int i = 0; i < 3; i++) {
    assert_string_equal (script_asked (s, i, "job-a"), "withdrawn");
    assert_string_equal (script_asked (s, i, "job-b"), "withdrawn");
    assert_non_null (script_asked (s, i, "job-c"));
  }
  assert_null (script_value (s, "h/j/job-d"));
  script_free (s);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (users_write_before_launches),
      cmocka_unit_test (a_burst_beyond_the_allowance_is_paced),
      cmocka_unit_test (a_stream_of_small_jobs_fits_the_allowance),
      cmocka_unit_test (a_slow_service_then_a_refused_leader_then_an_outage),
  };
  g_log_set_writer_func (script_log, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
