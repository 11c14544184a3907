/* Meetings of workers, leases and leaders, message by message (script_scene.h).
 * docs/meetings-workers.md says which meeting each test brings about, and without which guard it
 * fails. */
#include "script_scene.h"
#include "protocol/jsonx.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* ---- what the tests wait for ---- */

static gboolean
on_machine (Scene *scene, gpointer piece)
{
  return scene_count (scene, piece) > 0;
}

static gboolean
on_none (Scene *scene, gpointer piece)
{
  return scene_count (scene, piece) == 0;
}

static gboolean
led_by_1 (Scene *scene, gpointer data)
{
  return script_leader (scene->s) == 1;
}

/* Of the two or more controllers, c0 leads. */
static Scene *
scene_led (int nodes)
{
  Scene *scene = scene_new (nodes);
  Script *s = scene->s;
  for (int i = 0; script_leader (s) != 0 && i < 10; i++) {
    int leader = script_leader (s);
    script_end (s, leader);
    scene_run (scene, 6);
    script_start (s, leader);
    scene_run (scene, 3);
  }
  assert_int_equal (script_leader (s), 0);
  return scene;
}

/* A job of one task that runs on the machine. */
static void
running (Scene *scene, SceneMachine *m, const char *id)
{
  g_autofree char *piece = g_strconcat (id, "/0", NULL);
  scene_submit (scene, 0, id, NULL);
  scene_until (scene, on_machine, piece, 8);
  assert_true (scene_has (m, piece));
  scene_run (scene, 3);
}

/* c0 hears neither the state service nor the others; workers and users reach it still. */
static void
cut_off (Scene *scene, int node)
{
  scene->s->nodes[node].served = FALSE;
  scene->s->hints = FALSE;
}

static guint64
baton_of (Scene *scene)
{
  json_t *o = json_loads (script_value (scene->s, "h/map"), 0, NULL);
  guint64 baton = json_integer_value (json_object_get (o, "b"));
  json_decref (o);
  return baton;
}

/* ---- the token ---- */

/* The direct call with the job's launch, given up by the leader and still on its way. */
static ScriptCall *
delayed_launch (Scene *scene, SceneMachine *m, const char *id)
{
  m->reached = FALSE;
  scene_submit (scene, 0, id, NULL);
  for (int i = 0; i < 100 && !scene_direct (m, 0); i++)
    scene_run (scene, 0.05);
  ScriptCall *call = scene_direct (m, 0);
  assert_non_null (call);
  assert_non_null (strstr (call->body, "launch"));
  return call;
}

/* The leader has to read the whole ledger anew, and leads on: it has forgotten which orders are
 * on their way, so its token has to be a new one. */
static void
an_owner_that_reads_anew_raises_its_token (void **state)
{
  Scene *scene = scene_led (2);
  Script *s = scene->s;
  SceneMachine *m1 = scene_machine (scene, "m-1", "z0"), *m2 = scene_machine (scene, "m-2", "z0");
  m2->reports = FALSE;
  scene_run (scene, 4);
  script_hold (s, 0, "/changes", NULL);
  m1->reports = FALSE;
  guint64 before = baton_of (scene);
  ScriptCall *late = script_delay (s, delayed_launch (scene, m1, "job-a"));
  /* Its next reading finds that the changes since the last one are gone. */
  scene_submit (scene, 1, "job-b", NULL);
  script_forget_changes (s);
  scene_release (scene);
  scene_run (scene, 1);
  /* Its machine lacks the task, and is soon taken: the task goes elsewhere. */
  scene->cloud_deletes = FALSE;
  m2->reports = m1->reports = TRUE;
  m1->notice = 60;
  scene_run (scene, 9);
  scene_obey_direct (m1, late->body);
  script_late (s, late);
  scene_run (scene, 8);
  assert_true (scene_has (m2, "job-a/0"));
  assert_int_equal (script_leader (s), 0);
  assert_true (baton_of (scene) > before);
  scene_end (scene);
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
      cmocka_unit_test (an_owner_that_reads_anew_raises_its_token),
  };
  g_log_set_writer_func (verbose, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
