#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "scripted_fleet.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define STEP_S 0.05

static HrCore *frozen[CLUSTER_NODES];

static void G_GNUC_PRINTF (2, 3) broken (Fleet *fleet, const char *format, ...)
{
  va_list list;
  va_start (list, format);
  g_autofree char *text = g_strdup_vprintf (format, list);
  va_end (list);
  g_ptr_array_add (fleet->broken, g_strdup_printf ("at %.2f s: %s", fleet->cluster->now, text));
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
  FleetTask *task = data;
  g_free (task->piece);
  g_free (task);
}

static FleetTask *
task_of (const FleetMachine *machine, const char *piece, guint attempt, guint *at)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    FleetTask *task = machine->tasks->pdata[i];
    if (g_str_equal (task->piece, piece) && task->attempt == attempt) {
      if (at)
        *at = i;
      return task;
    }
  }
  return NULL;
}

gboolean
fleet_has (const FleetMachine *machine, const char *piece)
{
  for (guint i = 0; i < machine->tasks->len && !machine->gone; i++) {
    const FleetTask *task = machine->tasks->pdata[i];
    if (!task->exited && g_str_equal (task->piece, piece))
      return TRUE;
  }
  return FALSE;
}

guint
fleet_count (const Fleet *fleet, const char *piece)
{
  guint n = 0;
  for (guint i = 0; i < fleet->machines->len; i++)
    n += fleet_has (fleet->machines->pdata[i], piece);
  return n;
}

void
fleet_exit (FleetMachine *machine, const char *piece, const char *cause)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    FleetTask *task = machine->tasks->pdata[i];
    if (task->exited || !g_str_equal (task->piece, piece))
      continue;
    task->exited = TRUE;
    task->cause = cause;
    g_autofree char *id = job_of (piece);
    FleetJob *job = g_hash_table_lookup (machine->fleet->jobs, id);
    if (job && g_str_equal (cause, "done") && g_hash_table_add (job->done, g_strdup (piece)))
      job->ended++;
  }
}

/* What others of the job, and of the team, are on machines just now. */
static void
check_place (FleetMachine *machine, const char *piece)
{
  Fleet *fleet = machine->fleet;
  g_autofree char *id = job_of (piece);
  const FleetJob *job = g_hash_table_lookup (fleet->jobs, id);
  double cpus = job ? job->cpus : 0;
  guint here = 0, elsewhere = 0;
  for (guint i = 0; i < fleet->machines->len; i++) {
    const FleetMachine *other = fleet->machines->pdata[i];
    for (guint k = 0; k < other->tasks->len && !other->gone; k++) {
      const FleetTask *task = other->tasks->pdata[k];
      g_autofree char *job_id = job_of (task->piece);
      const FleetJob *job_row = g_hash_table_lookup (fleet->jobs, job_id);
      if (task->exited)
        continue;
      cpus += job_row ? job_row->cpus : 0;
      if (!g_str_equal (job_id, id))
        continue;
      here += g_str_equal (other->zone, machine->zone);
      elsewhere += !g_str_equal (other->zone, machine->zone);
    }
  }
  if (fleet->cpus_max > 0 && cpus > fleet->cpus_max)
    broken (fleet, "quota: %s starts on %s, %g CPUs in use with it", piece, machine->name, cpus);
  if (job && job->together && elsewhere)
    broken (fleet, "wrong_place: %s starts on %s, apart from others", piece, machine->name);
  if (job && job->apart && here + 1 > (job->tasks + 1) / 2)
    broken (fleet, "wrong_place: %s starts on %s, beside too many others", piece, machine->name);
}

static void
launch (FleetMachine *machine, const char *piece, guint attempt)
{
  Fleet *fleet = machine->fleet;
  if (task_of (machine, piece, attempt, NULL))
    return;
  if (fleet_has (machine, piece)) { /* with another attempt: refused */
    FleetTask *task = g_new0 (FleetTask, 1);
    *task = (FleetTask){g_strdup (piece), attempt, TRUE, "in_use"};
    g_ptr_array_add (machine->tasks, task);
    return;
  }
  check_place (machine, piece);
  FleetTask *task = g_new0 (FleetTask, 1);
  task->piece = g_strdup (piece);
  task->attempt = attempt;
  g_autofree char *job_id = job_of (piece);
  if (fleet_count (fleet, piece))
    broken (fleet, "ran_twice: %s try %u starts on %s", piece, attempt, machine->name);
  const double *told = g_hash_table_lookup (fleet->cancelled_jobs, job_id);
  if (told && fleet->cluster->now > *told + fleet->cancel_s)
    broken (fleet, "ran_cancelled: %s starts on %s", piece, machine->name);
  g_ptr_array_add (machine->tasks, task);
  fleet->starts++;
}

static void
obey (FleetMachine *machine, json_t *orders)
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
    FleetTask *task = task_of (machine, piece, attempt, &at);
    if (task && g_str_equal (verb, "kill") && !task->exited) {
      task->exited = TRUE;
      task->cause = "halted";
    } else if (task && g_str_equal (verb, "clear") && task->exited)
      g_ptr_array_remove_index (machine->tasks, at);
  }
}

/* ---- reports ---- */

static json_t *
report_of (FleetMachine *machine)
{
  json_t *pieces = json_array ();
  for (guint i = 0; i < machine->tasks->len; i++) {
    const FleetTask *task = machine->tasks->pdata[i];
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
                    (json_int_t)machine->token, "warning_s", notice, "pieces", pieces);
}

char *
fleet_write (FleetMachine *machine)
{
  return hr_json_take_text (report_of (machine));
}

int
fleet_deliver (Fleet *fleet, int node, const char *text)
{
  guint64 id = cluster_request (fleet->cluster, node, HR_POST, "/hello", text);
  return cluster_status (fleet->cluster, node, id);
}

static void
next_node (FleetMachine *machine, const ClusterReply *reply)
{
  Cluster *cluster = machine->fleet->cluster;
  const char *foreman = reply && reply->status == 421 ? hr_json_str (reply->body, "foreman") : NULL;
  int to = foreman ? foreman[1] - '0' : -1;
  machine->node = to >= 0 && to != machine->node ? to : (machine->node + 1) % cluster->n;
  machine->report_at = cluster->now + (to >= 0 ? 0.2 : 1);
}

int
fleet_report (FleetMachine *machine, int node)
{
  Cluster *cluster = machine->fleet->cluster;
  guint tenure = machine->tenure;
  g_autofree char *text = fleet_write (machine);
  machine->report_at = cluster->now + machine->fleet->report_s;
  if (machine->only >= 0 && machine->only != node) {
    next_node (machine, NULL);
    return 0;
  }
  guint64 id = cluster_request (cluster, node, HR_POST, "/hello", text);
  const ClusterReply *reply = cluster_reply (cluster, node, id);
  int status = reply ? reply->status : 0;
  if (!reply || !machine->hears || status != 200) {
    next_node (machine, machine->hears ? reply : NULL);
    return status;
  }
  guint64 fencing_token = json_integer_value (json_object_get (reply->body, "baton"));
  if (fencing_token < machine->token || tenure != machine->tenure)
    return status;
  /* A higher token is a change, at most once in half of a lease. */
  if (fencing_token > machine->token &&
      cluster->now - machine->token_told > machine->fleet->lease_s / 2) {
    machine->token_told = cluster->now;
    machine->report_at = cluster->now + 0.5;
  }
  machine->token = fencing_token;
  machine->lease_at = cluster->now;
  obey (machine, json_object_get (reply->body, "orders"));
  return status;
}

/* ---- direct orders ---- */

ClusterCall *
fleet_direct (FleetMachine *machine, int node)
{
  GPtrArray *calls = machine->fleet->cluster->calls;
  for (guint i = 0; i < calls->len; i++) {
    ClusterCall *call = calls->pdata[i];
    if (call->node == node && call->target == HR_TO_WORKER &&
        g_str_equal (call->addr, machine->name))
      return call;
  }
  return NULL;
}

ClusterCall *
fleet_launch_call (Fleet *fleet, FleetMachine *machine, int leader, const char *id)
{
  machine->reached = FALSE;
  fleet_submit (fleet, leader, id, NULL);
  for (int i = 0; i < 100 && !fleet_direct (machine, leader); i++)
    fleet_run (fleet, STEP_S);
  ClusterCall *call = fleet_direct (machine, leader);
  assert_non_null (call);
  assert_non_null (strstr (call->body, "launch"));
  return call;
}

int
fleet_obey_direct (FleetMachine *machine, const char *body)
{
  json_t *object = json_loads (body, 0, NULL);
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  gboolean ok =
      !machine->gone && fencing_token >= machine->token &&
      json_integer_value (json_object_get (object, "tenure")) == (json_int_t)machine->tenure;
  if (ok) {
    machine->token = fencing_token;
    obey (machine, json_object_get (object, "orders"));
  }
  json_decref (object);
  return ok ? 200 : 409;
}

static FleetMachine *
machine_at (Fleet *fleet, const char *address)
{
  for (guint i = 0; i < fleet->machines->len; i++) {
    FleetMachine *machine = fleet->machines->pdata[i];
    if (g_str_equal (machine->name, address))
      return machine;
  }
  return NULL;
}

/* Direct orders to machines that are reached, and those that were given up. */
static void
serve_direct (Fleet *fleet)
{
  GPtrArray *calls = fleet->cluster->calls;
  for (guint i = 0; i < calls->len;) {
    ClusterCall *call = calls->pdata[i];
    FleetMachine *machine = call->target == HR_TO_WORKER ? machine_at (fleet, call->addr) : NULL;
    if (machine && machine->reached && !machine->hangs && !machine->gone) {
      int status = fleet_obey_direct (machine, call->body);
      g_autofree char *text = fleet_write (machine);
      cluster_answer_with (fleet->cluster, call, status, text);
      i = 0;
    } else if (machine && fleet->cluster->now - call->sent > 3 && !frozen[call->node]) {
      cluster_lose (fleet->cluster, call);
      i = 0;
    } else
      i++;
  }
}

/* ---- the cloud's deletions ---- */

static void
serve_deletions (Fleet *fleet)
{
  for (int node = 0; node < fleet->cluster->n; node++) {
    ClusterCall *call = cluster_call (fleet->cluster, node, "/rentals/delete", NULL);
    if (!call || frozen[node])
      continue;
    if (!fleet->cloud_deletes) {
      if (fleet->cluster->now - call->sent > 5)
        cluster_lose (fleet->cluster, call);
      continue;
    }
    for (guint i = 0; i < fleet->machines->len; i++) {
      FleetMachine *machine = fleet->machines->pdata[i];
      g_autofree char *name = g_strdup_printf ("\"%s\"", machine->name);
      if (!strstr (call->body, name) || machine->gone)
        continue;
      machine->gone = TRUE;
      fleet->deletions++;
    }
    cluster_answer_with (fleet->cluster, call, 200, "{}");
  }
}

/* ---- time ---- */

/* What this file answers, not scripted_cluster.c. */
static gboolean
always_held (const char *path)
{
  return g_str_has_prefix (path, "/do") || g_str_has_prefix (path, "/rentals/delete");
}

static void
check_cancelled (Fleet *fleet)
{
  for (guint i = 0; i < fleet->machines->len; i++) {
    FleetMachine *machine = fleet->machines->pdata[i];
    for (guint k = 0; k < machine->tasks->len && !machine->gone; k++) {
      const FleetTask *task = machine->tasks->pdata[k];
      g_autofree char *job_id = job_of (task->piece);
      const double *told = g_hash_table_lookup (fleet->cancelled_jobs, job_id);
      if (told && !task->exited && fleet->cluster->now > *told + fleet->cancel_s)
        broken (fleet, "ran_cancelled: %s is on %s", task->piece, machine->name);
    }
  }
}

static void
live (Fleet *fleet, FleetMachine *machine)
{
  double now = fleet->cluster->now;
  if (machine->gone)
    return;
  if (now - machine->lease_at > fleet->lease_s) {
    g_ptr_array_set_size (machine->tasks, 0);
    machine->tenure++;
    machine->lease_at = now;
  }
  if (now >= machine->report_at && machine->reports && !machine->hangs)
    fleet_report (machine, machine->node);
}

void
fleet_run (Fleet *fleet, double seconds)
{
  double until = fleet->cluster->now + seconds;
  while (fleet->cluster->now < until - 1e-9) {
    cluster_tick (fleet->cluster, MIN (STEP_S, until - fleet->cluster->now));
    cluster_serve (fleet->cluster);
    for (guint i = 0; i < fleet->machines->len; i++)
      live (fleet, fleet->machines->pdata[i]);
    serve_direct (fleet);
    serve_deletions (fleet);
    check_cancelled (fleet);
  }
}

void
fleet_until (Fleet *fleet, FleetCheck check, gpointer data, double seconds)
{
  double until = fleet->cluster->now + seconds;
  while (!check (fleet, data)) {
    if (fleet->cluster->now > until)
      fail_msg ("it did not come about within %g s", seconds);
    fleet_run (fleet, STEP_S);
  }
}

void
fleet_freeze (Fleet *fleet, int node)
{
  Cluster *cluster = fleet->cluster;
  frozen[node] = cluster->nodes[node].core;
  cluster->nodes[node].core = NULL;
  for (guint i = 0; i < cluster->calls->len; i++) {
    ClusterCall *call = cluster->calls->pdata[i];
    call->held = call->held || call->node == node;
  }
}

void
fleet_thaw (Fleet *fleet, int node)
{
  Cluster *cluster = fleet->cluster;
  cluster->nodes[node].core = frozen[node];
  frozen[node] = NULL;
  for (guint i = 0; i < cluster->calls->len; i++) {
    ClusterCall *call = cluster->calls->pdata[i];
    call->held = call->held && (call->node != node || always_held (call->path));
  }
}

void
fleet_release (Fleet *fleet)
{
  Cluster *cluster = fleet->cluster;
  for (guint i = cluster->holds->len; i-- > 0;) {
    const ClusterHold *held = cluster->holds->pdata[i];
    if (!held->path || !always_held (held->path))
      g_ptr_array_remove_index (cluster->holds, i);
  }
  for (guint i = 0; i < cluster->calls->len; i++) {
    ClusterCall *call = cluster->calls->pdata[i];
    call->held = call->held && (always_held (call->path) || frozen[call->node]);
  }
}

/* ---- users ---- */

static void
job_free (gpointer data)
{
  FleetJob *job = data;
  g_hash_table_unref (job->done);
  g_free (job);
}

void
fleet_know (Fleet *fleet, const char *id, const json_t *body)
{
  FleetJob *job = g_new0 (FleetJob, 1);
  job->tasks = json_integer_value (json_object_get (body, "pieces"));
  job->cpus = json_number_value (json_object_get (body, "vcpus"));
  job->together = json_is_true (json_object_get (body, "together"));
  job->apart = json_is_true (json_object_get (body, "apart"));
  job->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (fleet->jobs, g_strdup (id), job);
}

void
fleet_answered (Fleet *fleet, const char *id, const char *state, double at)
{
  const FleetJob *job = g_hash_table_lookup (fleet->jobs, id);
  const double *told = g_hash_table_lookup (fleet->cancelled_jobs, id);
  if (g_strcmp0 (state, "withdrawn") == 0) {
    if (!told || at < *told)
      g_hash_table_insert (fleet->cancelled_jobs, g_strdup (id), g_memdup2 (&at, sizeof at));
  } else if (told && at > *told)
    broken (fleet, "went_back: %s is called %s", id, state);
  if (g_strcmp0 (state, "done") == 0 && job && job->ended < job->tasks)
    broken (fleet, "not_done: %s is called done, %u of %u tasks are", id, job->ended, job->tasks);
}

static void
wait_status (Fleet *fleet, int node, guint64 id)
{
  for (int i = 0; i < 200 && !cluster_status (fleet->cluster, node, id); i++)
    fleet_run (fleet, STEP_S);
}

void
fleet_submit (Fleet *fleet, int node, const char *id, json_t *body)
{
  json_t *job = body ? body : cluster_job (id, 1);
  fleet_know (fleet, id, job);
  g_autofree char *text = hr_json_take_text (job);
  int status = 0;
  for (int i = 0; i < 10 && status != 201 && status != 200; i++) {
    guint64 request = cluster_request (fleet->cluster, node, HR_POST, HR_JOBS_PATH, text);
    wait_status (fleet, node, request);
    status = cluster_status (fleet->cluster, node, request);
  }
  assert_true (status == 201 || status == 200);
}

void
fleet_cancel (Fleet *fleet, int node, const char *id)
{
  for (int i = 0; i < 40; i++) {
    guint64 request = cluster_abort (fleet->cluster, node, id);
    wait_status (fleet, node, request);
    if (cluster_status (fleet->cluster, node, request) == 200) {
      assert_string_equal (cluster_job_state (fleet->cluster, node, request), "withdrawn");
      fleet_answered (fleet, id, "withdrawn", fleet->cluster->now);
      return;
    }
    fleet_run (fleet, 0.5);
  }
  fail_msg ("%s was not withdrawn", id);
}

const char *
fleet_job_state (Fleet *fleet, int node, const char *id)
{
  guint64 request = cluster_poll (fleet->cluster, node, id);
  wait_status (fleet, node, request);
  const char *state = cluster_job_state (fleet->cluster, node, request);
  if (state)
    fleet_answered (fleet, id, state, fleet->cluster->now);
  return state;
}

gboolean
fleet_recorded (Fleet *fleet, const char *job_id, const char *text)
{
  g_autofree char *key = g_strconcat ("h/j/", job_id, NULL);
  const char *value = cluster_value (fleet->cluster, key);
  return value && strstr (value, text);
}

/* ---- beginning and end ---- */

FleetMachine *
fleet_machine (Fleet *fleet, const char *name, const char *zone)
{
  FleetMachine *machine = g_new0 (FleetMachine, 1);
  machine->fleet = fleet;
  machine->name = g_strdup (name);
  machine->zone = zone;
  machine->tenure = 1;
  machine->lease_at = fleet->cluster->now;
  machine->token_told = -fleet->lease_s;
  machine->reports = machine->hears = machine->reached = TRUE;
  machine->only = -1;
  machine->node = MAX (0, cluster_leader (fleet->cluster));
  machine->tasks = g_ptr_array_new_with_free_func (task_free);
  g_ptr_array_add (fleet->machines, machine);
  if (g_str_equal (zone, "z0"))
    cluster_worker (fleet->cluster, name); /* for the cloud's list, which knows this zone alone */
  return machine;
}

static void
machine_free (gpointer data)
{
  FleetMachine *machine = data;
  g_ptr_array_unref (machine->tasks);
  g_free (machine->name);
  g_free (machine);
}

Fleet *
fleet_new (int nodes)
{
  Fleet *fleet = g_new0 (Fleet, 1);
  fleet->cluster = cluster_new (nodes);
  fleet->machines = g_ptr_array_new_with_free_func (machine_free);
  fleet->cancelled_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, job_free);
  fleet->broken = g_ptr_array_new_with_free_func (g_free);
  fleet->cloud_deletes = TRUE;
  const HrSettings *settings = fleet->cluster->nodes[0].set;
  fleet->lease_s = settings->lease_s;
  fleet->cancel_s = settings->cancel_s;
  fleet->report_s = settings->report_s;
  /* Machines that wait for the test have nothing to do; they stay. */
  fleet->cluster->pol.idle_s = 1000;
  for (int i = 0; i < nodes; i++) {
    cluster_end (fleet->cluster, i);
    cluster_start (fleet->cluster, i);
    cluster_hold (fleet->cluster, i, "/do", NULL);
    cluster_hold (fleet->cluster, i, "/rentals/delete", NULL);
  }
  fleet_run (fleet, 6);
  assert_int_not_equal (cluster_leader (fleet->cluster), -1);
  return fleet;
}

void
fleet_end (Fleet *fleet)
{
  guint n = fleet->broken->len;
  for (guint i = 0; i < MIN (n, 8); i++)
    print_message ("%s\n", (const char *)fleet->broken->pdata[i]);
  g_ptr_array_unref (fleet->machines);
  g_ptr_array_unref (fleet->broken);
  g_hash_table_unref (fleet->cancelled_jobs);
  g_hash_table_unref (fleet->jobs);
  cluster_free (fleet->cluster);
  g_free (fleet);
  assert_int_equal (n, 0);
}
