/* Meetings of workers and leaders that are drawn from seeds, on the machines of script_scene.h:
 * each second something ends, is cut off, stands still or is kept back, to arrive later. Every rule
 * is checked at every event; once all is well again every job has to run. test_windows [FROM TO]
 * another range of seeds */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "script_scene.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define NODES 3
#define MACHINES 6
#define TROUBLES_S 110
#define CALM_S 90
#define CPUS_MAX 30.0

/* A message that was kept back. */
typedef struct {
  double at;
  ScriptCall *write; /* a transaction, or NULL */
  SceneMachine *machine;
  char *report, *orders; /* one of them, for or to the machine */
  int node;
} Late;

typedef struct {
  guint64 request;
  int node;
  guint process;
  char *id;
  gboolean submission;
} Asked;

typedef struct {
  Scene *scene;
  GRand *rand;
  SceneMachine *machines[MACHINES];
  double flag_until[MACHINES], node_until[NODES], outage_until, apart_until, cloud_until;
  gboolean frozen[NODES];
  GPtrArray *late;  /* Late */
  GPtrArray *asked; /* Asked */
  GPtrArray *accepted;
  GHashTable *cancelled; /* jobs that a user asked to cancel, whatever he heard */
  guint jobs;
} Day;

static double
draw (Day *day, double low, double high)
{
  return g_rand_double_range (day->rand, low, high);
}

static guint
pick (Day *day, guint n)
{
  return g_rand_int_range (day->rand, 0, n);
}

static void
late_free (gpointer data)
{
  Late *late = data;
  g_free (late->report);
  g_free (late->orders);
  g_free (late);
}

static void
asked_free (gpointer data)
{
  Asked *asked = data;
  g_free (asked->id);
  g_free (asked);
}

/* ---- users ---- */

static void
ask (Day *day, const char *id, const char *body, gboolean abort)
{
  Script *script = day->scene->s;
  int node = pick (day, NODES);
  if (!script->nodes[node].core)
    return;
  Asked *asked = g_new0 (Asked, 1);
  asked->node = node;
  asked->process = script->nodes[node].process;
  asked->id = g_strdup (id);
  asked->submission = body != NULL;
  asked->request = body    ? script_request (script, node, HR_POST, HR_JOBS_PATH, body)
                   : abort ? script_abort (script, node, id)
                           : script_poll (script, node, id);
  g_ptr_array_add (day->asked, asked);
  if (abort)
    g_hash_table_add (day->cancelled, g_strdup (id));
}

static void
submit (Day *day)
{
  g_autofree char *id = g_strdup_printf ("job-%u", day->jobs++);
  json_t *body = script_job (id, 1 + pick (day, 4));
  json_object_set_new (body, "vcpus", json_real (1 + pick (day, 6)));
  guint kind = pick (day, 4);
  if (kind == 1)
    json_object_set_new (body, "together", json_true ());
  if (kind == 2)
    json_object_set_new (body, "apart", json_true ());
  scene_know (day->scene, id, body);
  g_autofree char *text = hr_json_take_text (body);
  ask (day, id, text, FALSE);
}

static void
hear_answers (Day *day)
{
  Script *script = day->scene->s;
  for (guint i = 0; i < day->asked->len;) {
    Asked *asked = day->asked->pdata[i];
    const ScriptReply *reply = asked->process == script->nodes[asked->node].process
                                   ? script_reply (script, asked->node, asked->request)
                                   : NULL;
    if (!reply && asked->process == script->nodes[asked->node].process) {
      i++;
      continue;
    }
    const char *state = reply ? hr_json_str (reply->body, "stance") : NULL;
    if (reply && asked->submission && (reply->status == 201 || reply->status == 200))
      g_ptr_array_add (day->accepted, g_strdup (asked->id));
    if (state && reply->status < 300)
      scene_told (day->scene, asked->id, state, reply->at);
    g_ptr_array_remove_index (day->asked, i);
  }
}

/* ---- troubles ---- */

static void
trouble_of_node (Day *day)
{
  Script *script = day->scene->s;
  int node = pick (day, 2) ? MAX (0, script_leader (script)) : (int)pick (day, NODES);
  if (day->node_until[node] > script->now || !script->nodes[node].core)
    return;
  switch (pick (day, 3)) {
  case 0:
    script_end (script, node);
    day->node_until[node] = script->now + (pick (day, 2) ? 0.3 : draw (day, 3, 20));
    break;
  case 1:
    scene_freeze (day->scene, node);
    day->frozen[node] = TRUE;
    day->node_until[node] = script->now + draw (day, 1, 15);
    break;
  default:
    script->nodes[node].served = FALSE;
    day->node_until[node] = script->now + draw (day, 2, 40);
  }
}

static void
trouble_of_machine (Day *day)
{
  guint i = pick (day, MACHINES);
  SceneMachine *machine = day->machines[i];
  if (day->flag_until[i] > day->scene->s->now)
    return;
  day->flag_until[i] = day->scene->s->now + draw (day, 2, 30);
  switch (pick (day, 5)) {
  case 0:
    machine->reports = FALSE; /* mute */
    break;
  case 1:
    machine->hears = machine->reached = FALSE; /* deaf */
    break;
  case 2:
    machine->hangs = TRUE;
    break;
  case 3:
    machine->reports = machine->reached = FALSE; /* cut off */
    break;
  default:
    machine->only = pick (day, NODES);
  }
}

static void
keep_back (Day *day)
{
  Script *script = day->scene->s;
  SceneMachine *machine = day->machines[pick (day, MACHINES)];
  int leader = MAX (0, script_leader (script));
  Late *late = g_new0 (Late, 1);
  late->at = script->now + (pick (day, 2) ? draw (day, 1, 16) : draw (day, 10, 60));
  late->machine = machine;
  late->node = pick (day, NODES);
  gboolean hears = script->nodes[leader].core != NULL; /* one that stands still hears nothing now */
  ScriptCall *call = hears && pick (day, 2) ? scene_direct (machine, leader) : NULL;
  if (call) {
    late->orders = g_strdup (call->body);
    if (pick (day, 2)) /* it is carried out now, too: a copy */
      script_lose (script, call);
  } else if (hears && pick (day, 2) && (call = script_call (script, leader, "/commit", NULL)) &&
             call->held)
    late->write = script_delay (script, call);
  else if (!machine->gone)
    late->report = scene_write (machine);
  g_ptr_array_add (day->late, late);
}

static void
arrive (Day *day, gboolean all)
{
  Script *script = day->scene->s;
  for (guint i = 0; i < day->late->len;) {
    Late *late = day->late->pdata[i];
    if (late->at > script->now && !all) {
      i++;
      continue;
    }
    if (late->write)
      script_late (script, late->write);
    if (late->orders)
      scene_obey_direct (late->machine, late->orders);
    if (late->report && script->nodes[late->node].core)
      scene_deliver (day->scene, pick (day, 2) ? MAX (0, script_leader (script)) : late->node,
                     late->report);
    g_ptr_array_remove_index (day->late, i);
  }
}

static void
end_tasks (Day *day, gboolean well)
{
  SceneMachine *machine = day->machines[pick (day, MACHINES)];
  if (!machine->tasks->len || machine->hangs)
    return;
  SceneTask *task = machine->tasks->pdata[pick (day, machine->tasks->len)];
  g_autofree char *piece = g_strdup (task->piece);
  scene_exit (machine, piece, well || pick (day, 5) ? "done" : "error");
}

static void
mend (Day *day, gboolean all)
{
  Script *script = day->scene->s;
  for (int i = 0; i < NODES; i++) {
    if (day->node_until[i] > script->now && !all)
      continue;
    if (day->frozen[i])
      scene_thaw (day->scene, i);
    day->frozen[i] = FALSE;
    script->nodes[i].served = TRUE;
    if (!script->nodes[i].core)
      script_start (script, i);
    g_array_index (script->nodes[i].set->teams, HrTeam, 0).cpus_max = CPUS_MAX;
  }
  for (int i = 0; i < MACHINES; i++) {
    SceneMachine *machine = day->machines[i];
    if (day->flag_until[i] > script->now && !all)
      continue;
    machine->reports = machine->hears = machine->reached = TRUE;
    machine->hangs = FALSE;
    machine->only = -1;
    if (machine->gone) { /* rented anew */
      g_autofree char *name = g_strdup_printf ("m-%u", 100 + day->scene->machines->len);
      day->machines[i] = scene_machine (day->scene, name, i % 2 ? "z1" : "z0");
      day->machines[i]->node = pick (day, NODES);
    }
  }
  script->outage = script->now < day->outage_until && !all;
  script->hints = script->now >= day->apart_until || all;
  day->scene->cloud_deletes = script->now >= day->cloud_until || all;
}

static void
something_happens (Day *day)
{
  Script *script = day->scene->s;
  switch (pick (day, 12)) {
  case 0:
    trouble_of_node (day);
    break;
  case 1:
  case 2:
  case 3:
    trouble_of_machine (day);
    break;
  case 4:
  case 5:
    keep_back (day);
    break;
  case 6:
    if (script->now > day->outage_until + 20)
      day->outage_until = script->now + draw (day, 2, 45);
    break;
  case 7:
    day->apart_until = script->now + draw (day, 1, 12);
    break;
  case 8:
    day->cloud_until = script->now + draw (day, 1, 25);
    break;
  case 9:
  case 10:
    end_tasks (day, FALSE);
    break;
  default:
    scene_release (day->scene);
    if (pick (day, 2))
      script_hold (script, MAX (0, script_leader (script)), "/commit", NULL);
  }
}

static void
day_begin (Day *day, guint seed)
{
  memset (day, 0, sizeof *day);
  day->rand = g_rand_new_with_seed (seed);
  day->scene = scene_new (NODES);
  day->scene->cpus_max = CPUS_MAX;
  day->late = g_ptr_array_new_with_free_func (late_free);
  day->asked = g_ptr_array_new_with_free_func (asked_free);
  day->accepted = g_ptr_array_new_with_free_func (g_free);
  day->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < MACHINES; i++) {
    g_autofree char *name = g_strdup_printf ("m-%d", i);
    day->machines[i] = scene_machine (day->scene, name, i % 2 ? "z1" : "z0");
  }
  mend (day, TRUE);
  scene_run (day->scene, 3);
}

/* All its tasks have ended, or its user cancelled it. */
static gboolean
ended_well (Day *day, const char *id, guint seed)
{
  const SceneJob *job = g_hash_table_lookup (day->scene->jobs, id);
  const char *state = scene_stance (day->scene, pick (day, NODES), id);
  gboolean cancelled = g_hash_table_contains (day->cancelled, id);
  if (g_strcmp0 (state, "done") == 0 || (cancelled && g_strcmp0 (state, "withdrawn") == 0))
    return TRUE;
  print_message ("seed %u: %s ends as %s, %u of %u tasks done\n", seed, id,
                 state ? state : "unknown", job->ended, job->tasks);
  return FALSE;
}

static guint
play (guint seed)
{
  Day day, *day_row = &day;
  day_begin (day_row, seed);
  Script *script = day_row->scene->s;
  double calm = script->now + TROUBLES_S;
  while (script->now < calm) {
    mend (day_row, FALSE);
    something_happens (day_row);
    if (!pick (day_row, 5) && day_row->jobs < 25)
      submit (day_row);
    for (int i = 0; i < 2 && day_row->jobs; i++) {
      g_autofree char *id = g_strdup_printf ("job-%u", pick (day_row, day_row->jobs));
      ask (day_row, id, NULL, !pick (day_row, 8));
    }
    scene_run (day_row->scene, draw (day_row, 0.1, 1));
    arrive (day_row, FALSE);
    hear_answers (day_row);
  }
  scene_release (day_row->scene);
  mend (day_row, TRUE);
  arrive (day_row, TRUE);
  for (int i = 0; i < CALM_S; i++) {
    mend (day_row, TRUE);
    for (int k = 0; k < MACHINES; k++) /* what runs ends soon, so that all have their turn */
      end_tasks (day_row, TRUE);
    scene_run (day_row->scene, 1);
    hear_answers (day_row);
  }
  guint broken = 0;
  for (guint i = 0; i < day_row->accepted->len; i++)
    broken += !ended_well (day_row, day_row->accepted->pdata[i], seed);
  for (guint i = 0; i < MIN (day_row->scene->broken->len, 4); i++)
    print_message ("seed %u: %s\n", seed, (char *)day_row->scene->broken->pdata[i]);
  broken += day_row->scene->broken->len;
  if (g_getenv ("HR_SIM_VERBOSE"))
    print_message ("seed %u: %u jobs, %u starts, epoch %" G_GUINT64_FORMAT "\n", seed,
                   day_row->jobs, day_row->scene->starts, script->epoch);
  g_ptr_array_set_size (day_row->scene->broken, 0);
  g_ptr_array_unref (day_row->late);
  g_ptr_array_unref (day_row->asked);
  g_ptr_array_unref (day_row->accepted);
  g_hash_table_unref (day_row->cancelled);
  g_rand_free (day_row->rand);
  scene_end (day_row->scene);
  return broken;
}

static guint first = 1, last = 61;

static void
drawn_meetings_keep_the_rules (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = first; seed < last; seed++)
    broken += play (seed);
  assert_int_equal (broken, 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (drawn_meetings_keep_the_rules)};
  if (argc > 2) {
    first = strtoul (argv[1], NULL, 10);
    last = strtoul (argv[2], NULL, 10);
  }
  g_log_set_writer_func (script_log, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
