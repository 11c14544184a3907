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

/* The cores of suspended controllers; NULL: not suspended. */
static HrCore *frozen[CLUSTER_NODES];

static void G_GNUC_PRINTF (2, 3) report_violation (Fleet *fleet, const char *format, ...)
{
  va_list list;
  va_start (list, format);
  g_autofree char *text = g_strdup_vprintf (format, list);
  va_end (list);
  g_ptr_array_add (fleet->violations, g_strdup_printf ("at %.2f s: %s", fleet->cluster->now, text));
}

static char *
job_id_of (const char *task_id)
{
  return g_strndup (task_id, strrchr (task_id, '/') - task_id);
}

/* ---- tasks ---- */

static void
task_free (gpointer data)
{
  FleetTask *task = data;
  g_free (task->task_id);
  g_free (task);
}

static FleetTask *
find_task (const FleetMachine *machine, const char *task_id, guint attempt, guint *at)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    FleetTask *task = machine->tasks->pdata[i];
    if (g_str_equal (task->task_id, task_id) && task->attempt == attempt) {
      if (at)
        *at = i;
      return task;
    }
  }
  return NULL;
}

gboolean
fleet_machine_runs (const FleetMachine *machine, const char *task_id)
{
  for (guint i = 0; i < machine->tasks->len && !machine->deleted; i++) {
    const FleetTask *task = machine->tasks->pdata[i];
    if (!task->exited && g_str_equal (task->task_id, task_id))
      return TRUE;
  }
  return FALSE;
}

guint
fleet_count_running (const Fleet *fleet, const char *task_id)
{
  guint n = 0;
  for (guint i = 0; i < fleet->machines->len; i++)
    n += fleet_machine_runs (fleet->machines->pdata[i], task_id);
  return n;
}

void
fleet_exit_task (FleetMachine *machine, const char *task_id, const char *cause)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    FleetTask *task = machine->tasks->pdata[i];
    if (task->exited || !g_str_equal (task->task_id, task_id))
      continue;
    task->exited = TRUE;
    task->cause = cause;
    g_autofree char *id = job_id_of (task_id);
    FleetJob *job = g_hash_table_lookup (machine->fleet->jobs, id);
    if (job && g_str_equal (cause, "done") && g_hash_table_add (job->done, g_strdup (task_id)))
      job->n_done++;
  }
}

/* Checks the rules quota and wrong_place for a task that is about to start, against the unexited
 * tasks of its job and its team on all machines. */
static void
check_place (FleetMachine *machine, const char *task_id)
{
  Fleet *fleet = machine->fleet;
  g_autofree char *id = job_id_of (task_id);
  const FleetJob *job = g_hash_table_lookup (fleet->jobs, id);
  double cpus = job ? job->cpus : 0;
  guint here = 0, elsewhere = 0;
  for (guint i = 0; i < fleet->machines->len; i++) {
    const FleetMachine *other = fleet->machines->pdata[i];
    for (guint k = 0; k < other->tasks->len && !other->deleted; k++) {
      const FleetTask *task = other->tasks->pdata[k];
      g_autofree char *job_id = job_id_of (task->task_id);
      const FleetJob *other_job = g_hash_table_lookup (fleet->jobs, job_id);
      if (task->exited)
        continue;
      cpus += other_job ? other_job->cpus : 0;
      if (!g_str_equal (job_id, id))
        continue;
      here += g_str_equal (other->zone, machine->zone);
      elsewhere += !g_str_equal (other->zone, machine->zone);
    }
  }
  if (fleet->cpus_max > 0 && cpus > fleet->cpus_max)
    report_violation (fleet, "quota: %s starts on %s, %g CPUs in use with it", task_id,
                      machine->name, cpus);
  if (job && job->together && elsewhere)
    report_violation (fleet,
                      "wrong_place: %s starts on %s, in another zone than other tasks of its job",
                      task_id, machine->name);
  if (job && job->apart && here + 1 > (job->tasks + 1) / 2)
    report_violation (fleet,
                      "wrong_place: %s starts on %s, with too many tasks of its job in that zone",
                      task_id, machine->name);
}

static void
launch (FleetMachine *machine, const char *task_id, guint attempt)
{
  Fleet *fleet = machine->fleet;
  if (find_task (machine, task_id, attempt, NULL))
    return;
  if (fleet_machine_runs (machine, task_id)) { /* another attempt runs: the launch is refused */
    FleetTask *task = g_new0 (FleetTask, 1);
    *task = (FleetTask){g_strdup (task_id), attempt, TRUE, "in_use"};
    g_ptr_array_add (machine->tasks, task);
    return;
  }
  check_place (machine, task_id);
  FleetTask *task = g_new0 (FleetTask, 1);
  task->task_id = g_strdup (task_id);
  task->attempt = attempt;
  g_autofree char *job_id = job_id_of (task_id);
  if (fleet_count_running (fleet, task_id))
    report_violation (fleet, "ran_twice: %s attempt %u starts on %s, but runs already", task_id,
                      attempt, machine->name);
  const double *cancelled_at = g_hash_table_lookup (fleet->cancelled_jobs, job_id);
  if (cancelled_at && fleet->cluster->now > *cancelled_at + fleet->cancel_s)
    report_violation (fleet, "ran_cancelled: %s starts on %s after its cancellation", task_id,
                      machine->name);
  g_ptr_array_add (machine->tasks, task);
  fleet->task_starts++;
}

static void
apply_orders (FleetMachine *machine, json_t *orders)
{
  size_t i;
  json_t *object;
  json_array_foreach (orders, i, object)
  {
    const char *verb = hr_json_str (object, "verb"), *task_id = hr_json_str (object, "piece");
    guint attempt = json_integer_value (json_object_get (object, "try")), at;
    if (g_str_equal (verb, "launch")) {
      launch (machine, task_id, attempt);
      continue;
    }
    FleetTask *task = find_task (machine, task_id, attempt, &at);
    if (task && g_str_equal (verb, "kill") && !task->exited) {
      task->exited = TRUE;
      task->cause = "halted";
    } else if (task && g_str_equal (verb, "clear") && task->exited)
      g_ptr_array_remove_index (machine->tasks, at);
  }
}

/* ---- heartbeats ---- */

static json_t *
heartbeat_of (FleetMachine *machine)
{
  json_t *tasks = json_array ();
  for (guint i = 0; i < machine->tasks->len; i++) {
    const FleetTask *task = machine->tasks->pdata[i];
    json_t *object = json_pack ("{sssiss}", "piece", task->task_id, "try", (int)task->attempt,
                                "stance", task->exited ? "exited" : "running");
    if (task->exited)
      json_object_set_new (object, "cause", json_string (task->cause));
    json_array_append_new (tasks, object);
  }
  json_t *notice =
      machine->preemption_in_s > 0 ? json_real (machine->preemption_in_s) : json_null ();
  return json_pack ("{sssssssssbsisisIsoso}", "rockhand", machine->name, "addr", machine->name,
                    "hull", "g2", "quarry", machine->zone, "loaners", 0, "tenure",
                    (int)machine->incarnation, "tally", (int)++machine->sequence, "baton",
                    (json_int_t)machine->token, "warning_s", notice, "pieces", tasks);
}

char *
fleet_heartbeat_text (FleetMachine *machine)
{
  return hr_json_take_text (heartbeat_of (machine));
}

int
fleet_deliver_heartbeat (Fleet *fleet, int node, const char *text)
{
  guint64 id = cluster_request (fleet->cluster, node, HR_POST, "/hello", text);
  return cluster_reply_status (fleet->cluster, node, id);
}

static void
switch_node (FleetMachine *machine, const ClusterReply *reply)
{
  Cluster *cluster = machine->fleet->cluster;
  const char *leader = reply && reply->status == 421 ? hr_json_str (reply->body, "foreman") : NULL;
  int to = leader ? leader[1] - '0' : -1;
  machine->node = to >= 0 && to != machine->node ? to : (machine->node + 1) % cluster->n;
  machine->next_heartbeat_at = cluster->now + (to >= 0 ? 0.2 : 1);
}

int
fleet_send_heartbeat (FleetMachine *machine, int node)
{
  Cluster *cluster = machine->fleet->cluster;
  guint incarnation = machine->incarnation;
  g_autofree char *text = fleet_heartbeat_text (machine);
  machine->next_heartbeat_at = cluster->now + machine->fleet->report_s;
  if (machine->only_node >= 0 && machine->only_node != node) {
    switch_node (machine, NULL);
    return 0;
  }
  guint64 id = cluster_request (cluster, node, HR_POST, "/hello", text);
  const ClusterReply *reply = cluster_reply (cluster, node, id);
  int status = reply ? reply->status : 0;
  if (!reply || !machine->receives_answers || status != 200) {
    switch_node (machine, machine->receives_answers ? reply : NULL);
    return status;
  }
  guint64 fencing_token = json_integer_value (json_object_get (reply->body, "baton"));
  if (fencing_token < machine->token || incarnation != machine->incarnation)
    return status;
  /* A higher token triggers an immediate heartbeat, at most once in half of lease_s. */
  if (fencing_token > machine->token &&
      cluster->now - machine->token_heartbeat_at > machine->fleet->lease_s / 2) {
    machine->token_heartbeat_at = cluster->now;
    machine->next_heartbeat_at = cluster->now + 0.5;
  }
  machine->token = fencing_token;
  machine->lease_renewed_at = cluster->now;
  apply_orders (machine, json_object_get (reply->body, "orders"));
  return status;
}

/* ---- direct calls ---- */

ClusterCall *
fleet_find_direct_call (FleetMachine *machine, int node)
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
  machine->receives_direct_calls = FALSE;
  fleet_submit (fleet, leader, id, NULL);
  for (int i = 0; i < 100 && !fleet_find_direct_call (machine, leader); i++)
    fleet_run (fleet, STEP_S);
  ClusterCall *call = fleet_find_direct_call (machine, leader);
  assert_non_null (call);
  assert_non_null (strstr (call->body, "launch"));
  return call;
}

int
fleet_apply_direct_call (FleetMachine *machine, const char *body)
{
  json_t *object = json_loads (body, 0, NULL);
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  gboolean ok =
      !machine->deleted && fencing_token >= machine->token &&
      json_integer_value (json_object_get (object, "tenure")) == (json_int_t)machine->incarnation;
  if (ok) {
    machine->token = fencing_token;
    apply_orders (machine, json_object_get (object, "orders"));
  }
  json_decref (object);
  return ok ? 200 : 409;
}

static FleetMachine *
find_machine (Fleet *fleet, const char *address)
{
  for (guint i = 0; i < fleet->machines->len; i++) {
    FleetMachine *machine = fleet->machines->pdata[i];
    if (g_str_equal (machine->name, address))
      return machine;
  }
  return NULL;
}

/* Carries out direct calls to machines that receive them; calls time out after 3 s otherwise. */
static void
serve_direct (Fleet *fleet)
{
  GPtrArray *calls = fleet->cluster->calls;
  for (guint i = 0; i < calls->len;) {
    ClusterCall *call = calls->pdata[i];
    FleetMachine *machine = call->target == HR_TO_WORKER ? find_machine (fleet, call->addr) : NULL;
    if (machine && machine->receives_direct_calls && !machine->is_hung && !machine->deleted) {
      int status = fleet_apply_direct_call (machine, call->body);
      g_autofree char *text = fleet_heartbeat_text (machine);
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
    ClusterCall *call = cluster_find_call (fleet->cluster, node, "/rentals/delete", NULL);
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
      if (!strstr (call->body, name) || machine->deleted)
        continue;
      machine->deleted = TRUE;
      fleet->deletions++;
    }
    cluster_answer_with (fleet->cluster, call, 200, "{}");
  }
}

/* ---- clock ---- */

/* Returns whether this file answers the call, rather than scripted_cluster.c. */
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
    for (guint k = 0; k < machine->tasks->len && !machine->deleted; k++) {
      const FleetTask *task = machine->tasks->pdata[k];
      g_autofree char *job_id = job_id_of (task->task_id);
      const double *cancelled_at = g_hash_table_lookup (fleet->cancelled_jobs, job_id);
      if (cancelled_at && !task->exited && fleet->cluster->now > *cancelled_at + fleet->cancel_s)
        report_violation (fleet, "ran_cancelled: %s is still on %s after its cancellation",
                          task->task_id, machine->name);
    }
  }
}

static void
step_machine (Fleet *fleet, FleetMachine *machine)
{
  double now = fleet->cluster->now;
  if (machine->deleted)
    return;
  if (now - machine->lease_renewed_at > fleet->lease_s) {
    g_ptr_array_set_size (machine->tasks, 0);
    machine->incarnation++;
    machine->lease_renewed_at = now;
  }
  if (now >= machine->next_heartbeat_at && machine->sends_heartbeats && !machine->is_hung)
    fleet_send_heartbeat (machine, machine->node);
}

void
fleet_run (Fleet *fleet, double seconds)
{
  double until = fleet->cluster->now + seconds;
  while (fleet->cluster->now < until - 1e-9) {
    cluster_tick (fleet->cluster, MIN (STEP_S, until - fleet->cluster->now));
    cluster_serve (fleet->cluster);
    for (guint i = 0; i < fleet->machines->len; i++)
      step_machine (fleet, fleet->machines->pdata[i]);
    serve_direct (fleet);
    serve_deletions (fleet);
    check_cancelled (fleet);
  }
}

void
fleet_run_until (Fleet *fleet, FleetCheck check, gpointer data, double seconds)
{
  double until = fleet->cluster->now + seconds;
  while (!check (fleet, data)) {
    if (fleet->cluster->now > until)
      fail_msg ("the condition did not hold within %g s", seconds);
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
fleet_release_calls (Fleet *fleet)
{
  Cluster *cluster = fleet->cluster;
  for (guint i = cluster->holds->len; i-- > 0;) {
    const ClusterHold *hold = cluster->holds->pdata[i];
    if (!hold->path || !always_held (hold->path))
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
fleet_register_job (Fleet *fleet, const char *id, const json_t *body)
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
fleet_check_answer (Fleet *fleet, const char *id, const char *state, double at)
{
  const FleetJob *job = g_hash_table_lookup (fleet->jobs, id);
  const double *cancelled_at = g_hash_table_lookup (fleet->cancelled_jobs, id);
  if (g_strcmp0 (state, "withdrawn") == 0) {
    if (!cancelled_at || at < *cancelled_at)
      g_hash_table_insert (fleet->cancelled_jobs, g_strdup (id), g_memdup2 (&at, sizeof at));
  } else if (cancelled_at && at > *cancelled_at)
    report_violation (fleet, "went_back: %s is reported as %s after its cancellation", id, state);
  if (g_strcmp0 (state, "done") == 0 && job && job->n_done < job->tasks)
    report_violation (fleet, "not_done: %s is reported as done, but only %u of %u tasks are", id,
                      job->n_done, job->tasks);
}

static void
wait_status (Fleet *fleet, int node, guint64 id)
{
  for (int i = 0; i < 200 && !cluster_reply_status (fleet->cluster, node, id); i++)
    fleet_run (fleet, STEP_S);
}

void
fleet_submit (Fleet *fleet, int node, const char *id, json_t *body)
{
  json_t *job = body ? body : cluster_job_body (id, 1);
  fleet_register_job (fleet, id, job);
  g_autofree char *text = hr_json_take_text (job);
  int status = 0;
  for (int i = 0; i < 10 && status != 201 && status != 200; i++) {
    guint64 request = cluster_request (fleet->cluster, node, HR_POST, HR_JOBS_PATH, text);
    wait_status (fleet, node, request);
    status = cluster_reply_status (fleet->cluster, node, request);
  }
  assert_true (status == 201 || status == 200);
}

void
fleet_cancel (Fleet *fleet, int node, const char *id)
{
  for (int i = 0; i < 40; i++) {
    guint64 request = cluster_cancel (fleet->cluster, node, id);
    wait_status (fleet, node, request);
    if (cluster_reply_status (fleet->cluster, node, request) == 200) {
      assert_string_equal (cluster_job_state (fleet->cluster, node, request), "withdrawn");
      fleet_check_answer (fleet, id, "withdrawn", fleet->cluster->now);
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
    fleet_check_answer (fleet, id, state, fleet->cluster->now);
  return state;
}

gboolean
fleet_job_record_contains (Fleet *fleet, const char *job_id, const char *text)
{
  g_autofree char *key = g_strconcat ("h/j/", job_id, NULL);
  const char *value = cluster_value (fleet->cluster, key);
  return value && strstr (value, text);
}

/* ---- construction ---- */

FleetMachine *
fleet_machine (Fleet *fleet, const char *name, const char *zone)
{
  FleetMachine *machine = g_new0 (FleetMachine, 1);
  machine->fleet = fleet;
  machine->name = g_strdup (name);
  machine->zone = zone;
  machine->incarnation = 1;
  machine->lease_renewed_at = fleet->cluster->now;
  machine->token_heartbeat_at = -fleet->lease_s;
  machine->sends_heartbeats = machine->receives_answers = machine->receives_direct_calls = TRUE;
  machine->only_node = -1;
  machine->node = MAX (0, cluster_leader (fleet->cluster));
  machine->tasks = g_ptr_array_new_with_free_func (task_free);
  g_ptr_array_add (fleet->machines, machine);
  if (g_str_equal (zone, "z0"))
    cluster_worker (fleet->cluster, name); /* the cloud lists machines of this zone only */
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
  fleet->violations = g_ptr_array_new_with_free_func (g_free);
  fleet->cloud_deletes = TRUE;
  const HrSettings *settings = fleet->cluster->nodes[0].settings;
  fleet->lease_s = settings->lease_s;
  fleet->cancel_s = settings->cancel_s;
  fleet->report_s = settings->report_s;
  /* The leader must not delete machines that are idle until the test uses them. */
  fleet->cluster->policy.idle_s = 1000;
  for (int i = 0; i < nodes; i++) {
    cluster_stop_node (fleet->cluster, i);
    cluster_start_node (fleet->cluster, i);
    cluster_hold (fleet->cluster, i, "/do", NULL);
    cluster_hold (fleet->cluster, i, "/rentals/delete", NULL);
  }
  fleet_run (fleet, 6);
  assert_int_not_equal (cluster_leader (fleet->cluster), -1);
  return fleet;
}

void
fleet_check_and_free (Fleet *fleet)
{
  guint n = fleet->violations->len;
  for (guint i = 0; i < MIN (n, 8); i++)
    print_message ("%s\n", (const char *)fleet->violations->pdata[i]);
  g_ptr_array_unref (fleet->machines);
  g_ptr_array_unref (fleet->violations);
  g_hash_table_unref (fleet->cancelled_jobs);
  g_hash_table_unref (fleet->jobs);
  cluster_free (fleet->cluster);
  g_free (fleet);
  assert_int_equal (n, 0);
}
