/* Meetings of workers and leaders that are drawn from seeds, on the machines of script_scene.h:
 * each second something ends, is cut off, stands still or is kept back, to arrive later. Every rule
 * is checked at every event; once all is well again every job has to run. test_windows [FROM TO]
 * another range of seeds */
#include "script_scene.h"
#include "protocol/json_util.h"
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
draw (Day *d, double low, double high)
{
  return g_rand_double_range (d->rand, low, high);
}

static guint
pick (Day *d, guint n)
{
  return g_rand_int_range (d->rand, 0, n);
}

static void
late_free (gpointer data)
{
  Late *l = data;
  g_free (l->report);
  g_free (l->orders);
  g_free (l);
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
ask (Day *d, const char *id, const char *body, gboolean abort)
{
  Script *s = d->scene->s;
  int node = pick (d, NODES);
  if (!s->nodes[node].core)
    return;
  Asked *asked = g_new0 (Asked, 1);
  asked->node = node;
  asked->process = s->nodes[node].process;
  asked->id = g_strdup (id);
  asked->submission = body != NULL;
  asked->request = body    ? script_request (s, node, HR_POST, HR_JOBS_PATH, body)
                   : abort ? script_abort (s, node, id)
                           : script_poll (s, node, id);
  g_ptr_array_add (d->asked, asked);
  if (abort)
    g_hash_table_add (d->cancelled, g_strdup (id));
}

static void
submit (Day *d)
{
  g_autofree char *id = g_strdup_printf ("job-%u", d->jobs++);
  json_t *body = script_job (id, 1 + pick (d, 4));
  json_object_set_new (body, "vcpus", json_real (1 + pick (d, 6)));
  guint kind = pick (d, 4);
  if (kind == 1)
    json_object_set_new (body, "together", json_true ());
  if (kind == 2)
    json_object_set_new (body, "apart", json_true ());
  scene_know (d->scene, id, body);
  g_autofree char *text = hr_json_take_text (body);
  ask (d, id, text, FALSE);
}

static void
hear_answers (Day *d)
{
  Script *s = d->scene->s;
  for (guint i = 0; i < d->asked->len;) {
    Asked *asked = d->asked->pdata[i];
    const ScriptReply *r = asked->process == s->nodes[asked->node].process
                               ? script_reply (s, asked->node, asked->request)
                               : NULL;
    if (!r && asked->process == s->nodes[asked->node].process) {
      i++;
      continue;
    }
    const char *state = r ? hr_json_str (r->body, "stance") : NULL;
    if (r && asked->submission && (r->status == 201 || r->status == 200))
      g_ptr_array_add (d->accepted, g_strdup (asked->id));
    if (state && r->status < 300)
      scene_told (d->scene, asked->id, state, r->at);
    g_ptr_array_remove_index (d->asked, i);
  }
}

/* ---- troubles ---- */

static void
trouble_of_node (Day *d)
{
  Script *s = d->scene->s;
  int node = pick (d, 2) ? MAX (0, script_leader (s)) : (int)pick (d, NODES);
  if (d->node_until[node] > s->now || !s->nodes[node].core)
    return;
  switch (pick (d, 3)) {
  case 0:
    script_end (s, node);
    d->node_until[node] = s->now + (pick (d, 2) ? 0.3 : draw (d, 3, 20));
    break;
  case 1:
    scene_freeze (d->scene, node);
    d->frozen[node] = TRUE;
    d->node_until[node] = s->now + draw (d, 1, 15);
    break;
  default:
    s->nodes[node].served = FALSE;
    d->node_until[node] = s->now + draw (d, 2, 40);
  }
}

static void
trouble_of_machine (Day *d)
{
  guint i = pick (d, MACHINES);
  SceneMachine *m = d->machines[i];
  if (d->flag_until[i] > d->scene->s->now)
    return;
  d->flag_until[i] = d->scene->s->now + draw (d, 2, 30);
  switch (pick (d, 5)) {
  case 0:
    m->reports = FALSE; /* mute */
    break;
  case 1:
    m->hears = m->reached = FALSE; /* deaf */
    break;
  case 2:
    m->hangs = TRUE;
    break;
  case 3:
    m->reports = m->reached = FALSE; /* cut off */
    break;
  default:
    m->only = pick (d, NODES);
  }
}

static void
keep_back (Day *d)
{
  Script *s = d->scene->s;
  SceneMachine *m = d->machines[pick (d, MACHINES)];
  int leader = MAX (0, script_leader (s));
  Late *l = g_new0 (Late, 1);
  l->at = s->now + (pick (d, 2) ? draw (d, 1, 16) : draw (d, 10, 60));
  l->machine = m;
  l->node = pick (d, NODES);
  gboolean hears = s->nodes[leader].core != NULL; /* one that stands still hears nothing now */
  ScriptCall *call = hears && pick (d, 2) ? scene_direct (m, leader) : NULL;
  if (call) {
    l->orders = g_strdup (call->body);
    if (pick (d, 2)) /* it is carried out now, too: a copy */
      script_lose (s, call);
  } else if (hears && pick (d, 2) && (call = script_call (s, leader, "/commit", NULL)) &&
             call->held)
    l->write = script_delay (s, call);
  else if (!m->gone)
    l->report = scene_write (m);
  g_ptr_array_add (d->late, l);
}

static void
arrive (Day *d, gboolean all)
{
  Script *s = d->scene->s;
  for (guint i = 0; i < d->late->len;) {
    Late *l = d->late->pdata[i];
    if (l->at > s->now && !all) {
      i++;
      continue;
    }
    if (l->write)
      script_late (s, l->write);
    if (l->orders)
      scene_obey_direct (l->machine, l->orders);
    if (l->report && s->nodes[l->node].core)
      scene_deliver (d->scene, pick (d, 2) ? MAX (0, script_leader (s)) : l->node, l->report);
    g_ptr_array_remove_index (d->late, i);
  }
}

static void
end_tasks (Day *d, gboolean well)
{
  SceneMachine *m = d->machines[pick (d, MACHINES)];
  if (!m->tasks->len || m->hangs)
    return;
  SceneTask *t = m->tasks->pdata[pick (d, m->tasks->len)];
  g_autofree char *piece = g_strdup (t->piece);
  scene_exit (m, piece, well || pick (d, 5) ? "done" : "error");
}

static void
mend (Day *d, gboolean all)
{
  Script *s = d->scene->s;
  for (int i = 0; i < NODES; i++) {
    if (d->node_until[i] > s->now && !all)
      continue;
    if (d->frozen[i])
      scene_thaw (d->scene, i);
    d->frozen[i] = FALSE;
    s->nodes[i].served = TRUE;
    if (!s->nodes[i].core)
      script_start (s, i);
    g_array_index (s->nodes[i].set->teams, HrTeam, 0).cpus_max = CPUS_MAX;
  }
  for (int i = 0; i < MACHINES; i++) {
    SceneMachine *m = d->machines[i];
    if (d->flag_until[i] > s->now && !all)
      continue;
    m->reports = m->hears = m->reached = TRUE;
    m->hangs = FALSE;
    m->only = -1;
    if (m->gone) { /* rented anew */
      g_autofree char *name = g_strdup_printf ("m-%u", 100 + d->scene->machines->len);
      d->machines[i] = scene_machine (d->scene, name, i % 2 ? "z1" : "z0");
      d->machines[i]->node = pick (d, NODES);
    }
  }
  s->outage = s->now < d->outage_until && !all;
  s->hints = s->now >= d->apart_until || all;
  d->scene->cloud_deletes = s->now >= d->cloud_until || all;
}

static void
something_happens (Day *d)
{
  Script *s = d->scene->s;
  switch (pick (d, 12)) {
  case 0:
    trouble_of_node (d);
    break;
  case 1:
  case 2:
  case 3:
    trouble_of_machine (d);
    break;
  case 4:
  case 5:
    keep_back (d);
    break;
  case 6:
    if (s->now > d->outage_until + 20)
      d->outage_until = s->now + draw (d, 2, 45);
    break;
  case 7:
    d->apart_until = s->now + draw (d, 1, 12);
    break;
  case 8:
    d->cloud_until = s->now + draw (d, 1, 25);
    break;
  case 9:
  case 10:
    end_tasks (d, FALSE);
    break;
  default:
    scene_release (d->scene);
    if (pick (d, 2))
      script_hold (s, MAX (0, script_leader (s)), "/commit", NULL);
  }
}

static void
day_begin (Day *d, guint seed)
{
  memset (d, 0, sizeof *d);
  d->rand = g_rand_new_with_seed (seed);
  d->scene = scene_new (NODES);
  d->scene->cpus_max = CPUS_MAX;
  d->late = g_ptr_array_new_with_free_func (late_free);
  d->asked = g_ptr_array_new_with_free_func (asked_free);
  d->accepted = g_ptr_array_new_with_free_func (g_free);
  d->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < MACHINES; i++) {
    g_autofree char *name = g_strdup_printf ("m-%d", i);
    d->machines[i] = scene_machine (d->scene, name, i % 2 ? "z1" : "z0");
  }
  mend (d, TRUE);
  scene_run (d->scene, 3);
}

/* All its tasks have ended, or its user cancelled it. */
static gboolean
ended_well (Day *d, const char *id, guint seed)
{
  const SceneJob *job = g_hash_table_lookup (d->scene->jobs, id);
  const char *state = scene_stance (d->scene, pick (d, NODES), id);
  gboolean cancelled = g_hash_table_contains (d->cancelled, id);
  if (g_strcmp0 (state, "done") == 0 || (cancelled && g_strcmp0 (state, "withdrawn") == 0))
    return TRUE;
  print_message ("seed %u: %s ends as %s, %u of %u tasks done\n", seed, id,
                 state ? state : "unknown", job->ended, job->tasks);
  return FALSE;
}

static guint
play (guint seed)
{
  Day day, *d = &day;
  day_begin (d, seed);
  Script *s = d->scene->s;
  double calm = s->now + TROUBLES_S;
  while (s->now < calm) {
    mend (d, FALSE);
    something_happens (d);
    if (!pick (d, 5) && d->jobs < 25)
      submit (d);
    for (int i = 0; i < 2 && d->jobs; i++) {
      g_autofree char *id = g_strdup_printf ("job-%u", pick (d, d->jobs));
      ask (d, id, NULL, !pick (d, 8));
    }
    scene_run (d->scene, draw (d, 0.1, 1));
    arrive (d, FALSE);
    hear_answers (d);
  }
  scene_release (d->scene);
  mend (d, TRUE);
  arrive (d, TRUE);
  for (int i = 0; i < CALM_S; i++) {
    mend (d, TRUE);
    for (int k = 0; k < MACHINES; k++) /* what runs ends soon, so that all have their turn */
      end_tasks (d, TRUE);
    scene_run (d->scene, 1);
    hear_answers (d);
  }
  guint broken = 0;
  for (guint i = 0; i < d->accepted->len; i++)
    broken += !ended_well (d, d->accepted->pdata[i], seed);
  for (guint i = 0; i < MIN (d->scene->broken->len, 4); i++)
    print_message ("seed %u: %s\n", seed, (char *)d->scene->broken->pdata[i]);
  broken += d->scene->broken->len;
  if (g_getenv ("HR_SIM_VERBOSE"))
    print_message ("seed %u: %u jobs, %u starts, epoch %" G_GUINT64_FORMAT "\n", seed, d->jobs,
                   d->scene->starts, s->epoch);
  g_ptr_array_set_size (d->scene->broken, 0);
  g_ptr_array_unref (d->late);
  g_ptr_array_unref (d->asked);
  g_ptr_array_unref (d->accepted);
  g_hash_table_unref (d->cancelled);
  g_rand_free (d->rand);
  scene_end (d->scene);
  return broken;
}

static guint first = 1, last = 61;

static void
drawn_meetings_keep_the_rules (void **state)
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
