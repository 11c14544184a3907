#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "script_scene.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define STEP_S 0.05

static HrCore *frozen[SCRIPT_NODES];

static void G_GNUC_PRINTF (2, 3) broken (Scene *scene, const char *format, ...)
{
  va_list list;
  va_start (list, format);
  g_autofree char *text = g_strdup_vprintf (format, list);
  va_end (list);
  g_ptr_array_add (scene->broken, g_strdup_printf ("at %.2f s: %s", scene->s->now, text));
}

static char *
job_of (const char *piece)
{
  return g_strndup (piece, strrchr (piece, '/') - piece);
}

/* ---- tasks ---- */

static void
task_free (gpointer data)
{
  SceneTask *task = data;
  g_free (task->piece);
  g_free (task);
}

static SceneTask *
task_of (const SceneMachine *machine, const char *piece, guint attempt, guint *at)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    SceneTask *task = machine->tasks->pdata[i];
    if (g_str_equal (task->piece, piece) && task->attempt == attempt) {
      if (at)
        *at = i;
      return task;
    }
  }
  return NULL;
}

gboolean
scene_has (const SceneMachine *machine, const char *piece)
{
  for (guint i = 0; i < machine->tasks->len && !machine->gone; i++) {
    const SceneTask *task = machine->tasks->pdata[i];
    if (!task->exited && g_str_equal (task->piece, piece))
      return TRUE;
  }
  return FALSE;
}

guint
scene_count (const Scene *scene, const char *piece)
{
  guint n = 0;
  for (guint i = 0; i < scene->machines->len; i++)
    n += scene_has (scene->machines->pdata[i], piece);
  return n;
}

void
scene_exit (SceneMachine *machine, const char *piece, const char *cause)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    SceneTask *task = machine->tasks->pdata[i];
    if (task->exited || !g_str_equal (task->piece, piece))
      continue;
    task->exited = TRUE;
    task->cause = cause;
    g_autofree char *id = job_of (piece);
    SceneJob *job = g_hash_table_lookup (machine->scene->jobs, id);
    if (job && g_str_equal (cause, "done") && g_hash_table_add (job->done, g_strdup (piece)))
      job->ended++;
  }
}

/* What others of the job, and of the team, are on machines just now. */
static void
check_place (SceneMachine *machine, const char *piece)
{
  Scene *scene = machine->scene;
  g_autofree char *id = job_of (piece);
  const SceneJob *job = g_hash_table_lookup (scene->jobs, id);
  double cpus = job ? job->cpus : 0;
  guint here = 0, elsewhere = 0;
  for (guint i = 0; i < scene->machines->len; i++) {
    const SceneMachine *other = scene->machines->pdata[i];
    for (guint k = 0; k < other->tasks->len && !other->gone; k++) {
      const SceneTask *task = other->tasks->pdata[k];
      g_autofree char *job_id = job_of (task->piece);
      const SceneJob *job_row = g_hash_table_lookup (scene->jobs, job_id);
      if (task->exited)
        continue;
      cpus += job_row ? job_row->cpus : 0;
      if (!g_str_equal (job_id, id))
        continue;
      here += g_str_equal (other->zone, machine->zone);
      elsewhere += !g_str_equal (other->zone, machine->zone);
    }
  }
  if (scene->cpus_max > 0 && cpus > scene->cpus_max)
    broken (scene, "quota: %s starts on %s, %g CPUs in use with it", piece, machine->name, cpus);
  if (job && job->together && elsewhere)
    broken (scene, "wrong_place: %s starts on %s, apart from others", piece, machine->name);
  if (job && job->apart && here + 1 > (job->tasks + 1) / 2)
    broken (scene, "wrong_place: %s starts on %s, beside too many others", piece, machine->name);
}

static void
launch (SceneMachine *machine, const char *piece, guint attempt)
{
  Scene *scene = machine->scene;
  if (task_of (machine, piece, attempt, NULL))
    return;
  if (scene_has (machine, piece)) { /* with another attempt: refused */
    SceneTask *task = g_new0 (SceneTask, 1);
    *task = (SceneTask){g_strdup (piece), attempt, TRUE, "in_use"};
    g_ptr_array_add (machine->tasks, task);
    return;
  }
  check_place (machine, piece);
  SceneTask *task = g_new0 (SceneTask, 1);
  task->piece = g_strdup (piece);
  task->attempt = attempt;
  g_autofree char *job_id = job_of (piece);
  if (scene_count (scene, piece))
    broken (scene, "ran_twice: %s try %u starts on %s", piece, attempt, machine->name);
  const double *told = g_hash_table_lookup (scene->withdrawn, job_id);
  if (told && scene->s->now > *told + scene->cancel_s)
    broken (scene, "ran_cancelled: %s starts on %s", piece, machine->name);
  g_ptr_array_add (machine->tasks, task);
  scene->starts++;
}

static void
obey (SceneMachine *machine, json_t *orders)
{
  size_t i;
  json_t *object;
  json_array_foreach (orders, i, object)
  {
    const char *verb = hr_json_str (object, "verb"), *piece = hr_json_str (object, "piece");
    guint attempt = json_integer_value (json_object_get (object, "try")), at;
    if (g_str_equal (verb, "launch")) {
      launch (machine, piece, attempt);
      continue;
    }
    SceneTask *task = task_of (machine, piece, attempt, &at);
    if (task && g_str_equal (verb, "kill") && !task->exited) {
      task->exited = TRUE;
      task->cause = "halted";
    } else if (task && g_str_equal (verb, "clear") && task->exited)
      g_ptr_array_remove_index (machine->tasks, at);
  }
}

/* ---- reports ---- */

static json_t *
report_of (SceneMachine *machine)
{
  json_t *pieces = json_array ();
  for (guint i = 0; i < machine->tasks->len; i++) {
    const SceneTask *task = machine->tasks->pdata[i];
    json_t *object = json_pack ("{sssiss}", "piece", task->piece, "try", (int)task->attempt,
                                "stance", task->exited ? "exited" : "running");
    if (task->exited)
      json_object_set_new (object, "cause", json_string (task->cause));
    json_array_append_new (pieces, object);
  }
  json_t *notice = machine->notice > 0 ? json_real (machine->notice) : json_null ();
  return json_pack ("{sssssssssbsisisIsoso}", "rockhand", machine->name, "addr", machine->name,
                    "hull", "g2", "quarry", machine->zone, "loaners", 0, "tenure",
                    (int)machine->tenure, "tally", (int)++machine->tally, "baton",
                    (json_int_t)machine->baton, "warning_s", notice, "pieces", pieces);
}

char *
scene_write (SceneMachine *machine)
{
  return hr_json_take_text (report_of (machine));
}

int
scene_deliver (Scene *scene, int node, const char *text)
{
  guint64 id = script_request (scene->s, node, HR_POST, "/hello", text);
  return script_status (scene->s, node, id);
}

static void
next_node (SceneMachine *machine, const ScriptReply *reply)
{
  Script *script = machine->scene->s;
  const char *foreman = reply && reply->status == 421 ? hr_json_str (reply->body, "foreman") : NULL;
  int to = foreman ? foreman[1] - '0' : -1;
  machine->node = to >= 0 && to != machine->node ? to : (machine->node + 1) % script->n;
  machine->report_at = script->now + (to >= 0 ? 0.2 : 1);
}

int
scene_report (SceneMachine *machine, int node)
{
  Script *script = machine->scene->s;
  guint tenure = machine->tenure;
  g_autofree char *text = scene_write (machine);
  machine->report_at = script->now + machine->scene->report_s;
  if (machine->only >= 0 && machine->only != node) {
    next_node (machine, NULL);
    return 0;
  }
  guint64 id = script_request (script, node, HR_POST, "/hello", text);
  const ScriptReply *reply = script_reply (script, node, id);
  int status = reply ? reply->status : 0;
  if (!reply || !machine->hears || status != 200) {
    next_node (machine, machine->hears ? reply : NULL);
    return status;
  }
  guint64 fencing_token = json_integer_value (json_object_get (reply->body, "baton"));
  if (fencing_token < machine->baton || tenure != machine->tenure)
    return status;
  /* A higher token is a change, at most once in half of a lease. */
  if (fencing_token > machine->baton &&
      script->now - machine->token_told > machine->scene->lease_s / 2) {
    machine->token_told = script->now;
    machine->report_at = script->now + 0.5;
  }
  machine->baton = fencing_token;
  machine->lease_at = script->now;
  obey (machine, json_object_get (reply->body, "orders"));
  return status;
}

/* ---- direct orders ---- */

ScriptCall *
scene_direct (SceneMachine *machine, int node)
{
  GPtrArray *calls = machine->scene->s->calls;
  for (guint i = 0; i < calls->len; i++) {
    ScriptCall *call = calls->pdata[i];
    if (call->node == node && call->target == HR_TO_WORKER &&
        g_str_equal (call->addr, machine->name))
      return call;
  }
  return NULL;
}

ScriptCall *
scene_launch_call (Scene *scene, SceneMachine *machine, int leader, const char *id)
{
  machine->reached = FALSE;
  scene_submit (scene, leader, id, NULL);
  for (int i = 0; i < 100 && !scene_direct (machine, leader); i++)
    scene_run (scene, STEP_S);
  ScriptCall *call = scene_direct (machine, leader);
  assert_non_null (call);
  assert_non_null (strstr (call->body, "launch"));
  return call;
}

int
scene_obey_direct (SceneMachine *machine, const char *body)
{
  json_t *object = json_loads (body, 0, NULL);
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  gboolean ok =
      !machine->gone && fencing_token >= machine->baton &&
      json_integer_value (json_object_get (object, "tenure")) == (json_int_t)machine->tenure;
  if (ok) {
    machine->baton = fencing_token;
    obey (machine, json_object_get (object, "orders"));
  }
  json_decref (object);
  return ok ? 200 : 409;
}

static SceneMachine *
machine_at (Scene *scene, const char *address)
{
  for (guint i = 0; i < scene->machines->len; i++) {
    SceneMachine *machine = scene->machines->pdata[i];
    if (g_str_equal (machine->name, address))
      return machine;
  }
  return NULL;
}

/* Direct orders to machines that are reached, and those that were given up. */
static void
serve_direct (Scene *scene)
{
  GPtrArray *calls = scene->s->calls;
  for (guint i = 0; i < calls->len;) {
    ScriptCall *call = calls->pdata[i];
    SceneMachine *machine = call->target == HR_TO_WORKER ? machine_at (scene, call->addr) : NULL;
    if (machine && machine->reached && !machine->hangs && !machine->gone) {
      int status = scene_obey_direct (machine, call->body);
      g_autofree char *text = scene_write (machine);
      script_answer_with (scene->s, call, status, text);
      i = 0;
    } else if (machine && scene->s->now - call->sent > 3 && !frozen[call->node]) {
      script_lose (scene->s, call);
      i = 0;
    } else
      i++;
  }
}

/* ---- the cloud's deletions ---- */

static void
serve_deletions (Scene *scene)
{
  for (int node = 0; node < scene->s->n; node++) {
    ScriptCall *call = script_call (scene->s, node, "/rentals/delete", NULL);
    if (!call || frozen[node])
      continue;
    if (!scene->cloud_deletes) {
      if (scene->s->now - call->sent > 5)
        script_lose (scene->s, call);
      continue;
    }
    for (guint i = 0; i < scene->machines->len; i++) {
      SceneMachine *machine = scene->machines->pdata[i];
      g_autofree char *name = g_strdup_printf ("\"%s\"", machine->name);
      if (!strstr (call->body, name) || machine->gone)
        continue;
      machine->gone = TRUE;
      scene->deletions++;
    }
    script_answer_with (scene->s, call, 200, "{}");
  }
}

/* ---- time ---- */

/* What this file answers, not script.c. */
static gboolean
always_held (const char *path)
{
  return g_str_has_prefix (path, "/do") || g_str_has_prefix (path, "/rentals/delete");
}

static void
check_withdrawn (Scene *scene)
{
  for (guint i = 0; i < scene->machines->len; i++) {
    SceneMachine *machine = scene->machines->pdata[i];
    for (guint k = 0; k < machine->tasks->len && !machine->gone; k++) {
      const SceneTask *task = machine->tasks->pdata[k];
      g_autofree char *job_id = job_of (task->piece);
      const double *told = g_hash_table_lookup (scene->withdrawn, job_id);
      if (told && !task->exited && scene->s->now > *told + scene->cancel_s)
        broken (scene, "ran_cancelled: %s is on %s", task->piece, machine->name);
    }
  }
}

static void
live (Scene *scene, SceneMachine *machine)
{
  double now = scene->s->now;
  if (machine->gone)
    return;
  if (now - machine->lease_at > scene->lease_s) {
    g_ptr_array_set_size (machine->tasks, 0);
    machine->tenure++;
    machine->lease_at = now;
  }
  if (now >= machine->report_at && machine->reports && !machine->hangs)
    scene_report (machine, machine->node);
}

void
scene_run (Scene *scene, double seconds)
{
  double until = scene->s->now + seconds;
  while (scene->s->now < until - 1e-9) {
    script_tick (scene->s, MIN (STEP_S, until - scene->s->now));
    script_serve (scene->s);
    for (guint i = 0; i < scene->machines->len; i++)
      live (scene, scene->machines->pdata[i]);
    serve_direct (scene);
    serve_deletions (scene);
    check_withdrawn (scene);
  }
}

void
scene_until (Scene *scene, SceneCheck check, gpointer data, double seconds)
{
  double until = scene->s->now + seconds;
  while (!check (scene, data)) {
    if (scene->s->now > until)
      fail_msg ("it did not come about within %g s", seconds);
    scene_run (scene, STEP_S);
  }
}

void
scene_freeze (Scene *scene, int node)
{
  Script *script = scene->s;
  frozen[node] = script->nodes[node].core;
  script->nodes[node].core = NULL;
  for (guint i = 0; i < script->calls->len; i++) {
    ScriptCall *call = script->calls->pdata[i];
    call->held = call->held || call->node == node;
  }
}

void
scene_thaw (Scene *scene, int node)
{
  Script *script = scene->s;
  script->nodes[node].core = frozen[node];
  frozen[node] = NULL;
  for (guint i = 0; i < script->calls->len; i++) {
    ScriptCall *call = script->calls->pdata[i];
    call->held = call->held && (call->node != node || always_held (call->path));
  }
}

void
scene_release (Scene *scene)
{
  Script *script = scene->s;
  for (guint i = script->holds->len; i-- > 0;) {
    const ScriptHold *held = script->holds->pdata[i];
    if (!held->path || !always_held (held->path))
      g_ptr_array_remove_index (script->holds, i);
  }
  for (guint i = 0; i < script->calls->len; i++) {
    ScriptCall *call = script->calls->pdata[i];
    call->held = call->held && (always_held (call->path) || frozen[call->node]);
  }
}

/* ---- users ---- */

static void
job_free (gpointer data)
{
  SceneJob *job = data;
  g_hash_table_unref (job->done);
  g_free (job);
}

void
scene_know (Scene *scene, const char *id, const json_t *body)
{
  SceneJob *job = g_new0 (SceneJob, 1);
  job->tasks = json_integer_value (json_object_get (body, "pieces"));
  job->cpus = json_number_value (json_object_get (body, "vcpus"));
  job->together = json_is_true (json_object_get (body, "together"));
  job->apart = json_is_true (json_object_get (body, "apart"));
  job->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (scene->jobs, g_strdup (id), job);
}

void
scene_told (Scene *scene, const char *id, const char *state, double at)
{
  const SceneJob *job = g_hash_table_lookup (scene->jobs, id);
  const double *told = g_hash_table_lookup (scene->withdrawn, id);
  if (g_strcmp0 (state, "withdrawn") == 0) {
    if (!told || at < *told)
      g_hash_table_insert (scene->withdrawn, g_strdup (id), g_memdup2 (&at, sizeof at));
  } else if (told && at > *told)
    broken (scene, "went_back: %s is called %s", id, state);
  if (g_strcmp0 (state, "done") == 0 && job && job->ended < job->tasks)
    broken (scene, "not_done: %s is called done, %u of %u tasks are", id, job->ended, job->tasks);
}

static void
wait_status (Scene *scene, int node, guint64 id)
{
  for (int i = 0; i < 200 && !script_status (scene->s, node, id); i++)
    scene_run (scene, STEP_S);
}

void
scene_submit (Scene *scene, int node, const char *id, json_t *body)
{
  json_t *job = body ? body : script_job (id, 1);
  scene_know (scene, id, job);
  g_autofree char *text = hr_json_take_text (job);
  int status = 0;
  for (int i = 0; i < 10 && status != 201 && status != 200; i++) {
    guint64 request = script_request (scene->s, node, HR_POST, HR_JOBS_PATH, text);
    wait_status (scene, node, request);
    status = script_status (scene->s, node, request);
  }
  assert_true (status == 201 || status == 200);
}

void
scene_withdraw (Scene *scene, int node, const char *id)
{
  for (int i = 0; i < 40; i++) {
    guint64 request = script_abort (scene->s, node, id);
    wait_status (scene, node, request);
    if (script_status (scene->s, node, request) == 200) {
      assert_string_equal (script_stance (scene->s, node, request), "withdrawn");
      scene_told (scene, id, "withdrawn", scene->s->now);
      return;
    }
    scene_run (scene, 0.5);
  }
  fail_msg ("%s was not withdrawn", id);
}

const char *
scene_stance (Scene *scene, int node, const char *id)
{
  guint64 request = script_poll (scene->s, node, id);
  wait_status (scene, node, request);
  const char *state = script_stance (scene->s, node, request);
  if (state)
    scene_told (scene, id, state, scene->s->now);
  return state;
}

gboolean
scene_recorded (Scene *scene, const char *job_id, const char *text)
{
  g_autofree char *key = g_strconcat ("h/j/", job_id, NULL);
  const char *value = script_value (scene->s, key);
  return value && strstr (value, text);
}

/* ---- beginning and end ---- */

SceneMachine *
scene_machine (Scene *scene, const char *name, const char *zone)
{
  SceneMachine *machine = g_new0 (SceneMachine, 1);
  machine->scene = scene;
  machine->name = g_strdup (name);
  machine->zone = zone;
  machine->tenure = 1;
  machine->lease_at = scene->s->now;
  machine->token_told = -scene->lease_s;
  machine->reports = machine->hears = machine->reached = TRUE;
  machine->only = -1;
  machine->node = MAX (0, script_leader (scene->s));
  machine->tasks = g_ptr_array_new_with_free_func (task_free);
  g_ptr_array_add (scene->machines, machine);
  if (g_str_equal (zone, "z0"))
    script_worker (scene->s, name); /* for the cloud's list, which knows this zone alone */
  return machine;
}

static void
machine_free (gpointer data)
{
  SceneMachine *machine = data;
  g_ptr_array_unref (machine->tasks);
  g_free (machine->name);
  g_free (machine);
}

Scene *
scene_new (int nodes)
{
  Scene *scene = g_new0 (Scene, 1);
  scene->s = script_new (nodes);
  scene->machines = g_ptr_array_new_with_free_func (machine_free);
  scene->withdrawn = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  scene->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, job_free);
  scene->broken = g_ptr_array_new_with_free_func (g_free);
  scene->cloud_deletes = TRUE;
  const HrSettings *settings = scene->s->nodes[0].set;
  scene->lease_s = settings->lease_s;
  scene->cancel_s = settings->cancel_s;
  scene->report_s = settings->report_s;
  /* Machines that wait for the test have nothing to do; they stay. */
  scene->s->pol.idle_s = 1000;
  for (int i = 0; i < nodes; i++) {
    script_end (scene->s, i);
    script_start (scene->s, i);
    script_hold (scene->s, i, "/do", NULL);
    script_hold (scene->s, i, "/rentals/delete", NULL);
  }
  scene_run (scene, 6);
  assert_int_not_equal (script_leader (scene->s), -1);
  return scene;
}

void
scene_end (Scene *scene)
{
  guint n = scene->broken->len;
  for (guint i = 0; i < MIN (n, 8); i++)
    print_message ("%s\n", (const char *)scene->broken->pdata[i]);
  g_ptr_array_unref (scene->machines);
  g_ptr_array_unref (scene->broken);
  g_hash_table_unref (scene->withdrawn);
  g_hash_table_unref (scene->jobs);
  script_free (scene->s);
  g_free (scene);
  assert_int_equal (n, 0);
}
