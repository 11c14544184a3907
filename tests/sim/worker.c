/* The simulated workers: heartbeats, tokens, leases, tasks and gangs. src/protocol/wire_names.h
 * explains the fields of heartbeats and orders. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/invariant_checks.h"
#include "sim/request.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"
#include <string.h>

/* gang_wait_s and gang_peer_s of the simulated settings. */
#define GANG_WAIT_S 30.0
#define GANG_PEER_S 4.0
/* A regular heartbeat is skipped if another one was sent within this share of report_s. The share
 * is less than the shortest interval of regular heartbeats (0.75), or those would stop. */
#define REPORT_SENT_SHARE 0.72

static const char *const states[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const zones[] = {"z0", "z1"};

static void report_due (SimCluster *cluster, gpointer data);

static SimJob *
job_of (SimCluster *cluster, const SimTask *task)
{
  return cluster->jobs->pdata[task->job];
}

static double
progress (SimCluster *cluster, const SimTask *task)
{
  return task->progress_at_start + (task->state == SIM_TASK_RUN ? cluster->now - task->since : 0);
}

static void
end_task (SimCluster *cluster, SimTask *task, const char *cause)
{
  SimJob *task_job = job_of (cluster, task);
  if (task->state == SIM_TASK_EXIT)
    return;
  if (task->state == SIM_TASK_RUN && task_job->checkpoint > 0) {
    double reached = progress (cluster, task);
    double saved = ((int)(reached / task_job->checkpoint)) * task_job->checkpoint;
    task_job->progress[task->task] = MAX (task_job->progress[task->task], saved);
  }
  task->state = SIM_TASK_EXIT;
  task->active = FALSE;
  task->cause = cause;
}

void
machine_discard_tasks (SimCluster *cluster, SimMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    end_task (cluster, &g_array_index (machine->tasks, SimTask, i), "lost");
  g_array_set_size (machine->tasks, 0);
}

static char *
report_text (SimCluster *cluster, SimMachine *machine)
{
  json_t *list = json_array ();
  machine->sequence++;
  for (guint i = 0; i < machine->tasks->len; i++) {
    SimTask *task = &g_array_index (machine->tasks, SimTask, i);
    g_autofree char *piece = g_strdup_printf ("%s/%u", job_of (cluster, task)->id, task->task);
    json_t *object = json_pack ("{sssiss}", "piece", piece, "try", (int)task->try, "stance",
                                states[task->state]);
    if (task->state == SIM_TASK_EXIT)
      json_object_set_new (object, "cause", json_string (task->cause));
    if (task->saved)
      json_object_set_new (object, "kept", json_true ());
    json_array_append_new (list, object);
  }
  json_t *object = json_pack (
      "{sssssssssbsisisIso}", "rockhand", machine->name, "addr", machine->addr, "hull", "g2",
      "quarry", zones[machine->zone], "loaners", machine->spot, "tenure", (int)machine->incarnation,
      "tally", (int)machine->sequence, "baton", (json_int_t)machine->token, "pieces", list);
  if (machine->reclaim_at)
    json_object_set_new (object, "warning_s",
                         json_real (MAX (0, machine->reclaim_at - cluster->now)));
  return hr_json_take_text (object);
}

static void
launch (SimCluster *cluster, SimMachine *machine, const char *id, guint32 task_index,
        guint32 attempt)
{
  guint32 index;
  SimJob *task_job = job_by_id (cluster, id, &index);
  SimTask task = {.job = index, .task = task_index, .try = attempt, .state = SIM_TASK_FETCH};
  double cpus = 0, gpus = 0, memory_gb = 0;
  if (!task_job || task_index >= task_job->tasks) {
    sim_report_violation (cluster, "protocol", "launch of %s/%u, which does not exist", id,
                          task_index);
    return;
  }
  for (guint i = 0; i < machine->tasks->len; i++) {
    SimTask *other = &g_array_index (machine->tasks, SimTask, i);
    if (other->job == index && other->task == task_index && other->try == attempt)
      return;
    if (other->state == SIM_TASK_EXIT)
      continue;
    if (other->job == index && other->task == task_index) {
      task.state = SIM_TASK_EXIT;
      task.cause = "in_use";
    }
    cpus += job_of (cluster, other)->cpus;
    gpus += job_of (cluster, other)->gpus;
    memory_gb += job_of (cluster, other)->mem;
  }
  if (task.state != SIM_TASK_EXIT &&
      (cpus + task_job->cpus > 12.001 || gpus + task_job->gpus > 2.001 ||
       memory_gb + task_job->mem > 96.001)) {
    task.state = SIM_TASK_EXIT;
    task.cause = "full";
  }
  gboolean cached = g_hash_table_contains (machine->images, GUINT_TO_POINTER (task_job->image + 1));
  task.ready = cluster->now + (cached ? 0.05 : task_job->image_gb);
  task.failing =
      task_job->always_fails || (machine->faulty && sim_rand_range (cluster, 0, 1) < 0.7);
  g_array_append_val (machine->tasks, task);
}

static void
execute_orders (SimCluster *cluster, SimMachine *machine, json_t *orders)
{
  size_t i;
  json_t *object;
  json_array_foreach (orders, i, object)
  {
    const char *verb = json_string_value (json_object_get (object, "verb"));
    const char *piece = json_string_value (json_object_get (object, "piece"));
    guint32 attempt = json_integer_value (json_object_get (object, "try"));
    const char *slash = strrchr (piece, '/');
    g_autofree char *id = g_strndup (piece, slash - piece);
    guint32 task_index = g_ascii_strtoull (slash + 1, NULL, 10), index = 0;
    job_by_id (cluster, id, &index);
    if (strcmp (verb, "launch") == 0) {
      launch (cluster, machine, id, task_index, attempt);
      continue;
    }
    for (guint k = 0; k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (task->job != index || task->task != task_index || task->try != attempt)
        continue;
      if (strcmp (verb, "clear") == 0) {
        if (task->state == SIM_TASK_EXIT)
          g_array_remove_index (machine->tasks, k);
        break;
      }
      double grace = json_number_value (json_object_get (object, "leeway_s"));
      SimJob *task_job = job_of (cluster, task);
      if (task->state == SIM_TASK_RUN && task_job->checkpoint > 0 && grace >= task_job->save) {
        task->progress_at_start = progress (cluster, task);
        task->state = SIM_TASK_SAVE;
        task->until = cluster->now + task_job->save;
      } else if (task->state != SIM_TASK_SAVE || grace == 0)
        end_task (cluster, task, "halted");
      break;
    }
  }
}

/* ---- states of tasks ---- */

/* Returns the machine on which this attempt of the task has not exited, or NULL. */
static SimMachine *
find_attempt (SimCluster *cluster, guint32 index, guint32 task_index, guint32 attempt,
              SimTask **out)
{
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; !machine->gone && k < machine->tasks->len; k++) {
      SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      if (task->job == index && task->task == task_index && task->try == attempt &&
          task->state != SIM_TASK_EXIT) {
        *out = task;
        return machine;
      }
    }
  }
  return NULL;
}

static void
gang_step (SimCluster *cluster, SimTask *task)
{
  SimJob *task_job = job_of (cluster, task);
  gboolean all = TRUE, ready = TRUE;
  for (guint32 i = 0; i < task_job->tasks; i++) {
    SimTask *peer = NULL;
    if (!find_attempt (cluster, task->job, i, task->try, &peer))
      all = FALSE;
    else
      ready = ready && (peer->state == SIM_TASK_GATHER || peer->state == SIM_TASK_RUN);
  }
  if (task->state == SIM_TASK_GATHER) {
    if (all && ready) {
      task->state = SIM_TASK_RUN;
      task->since = cluster->now;
      if (!task_job->first_run_at)
        task_job->first_run_at = cluster->now;
      task->progress_at_start = task_job->progress[0];
    } else if (cluster->now - task->since > GANG_WAIT_S)
      end_task (cluster, task, "incomplete");
  } else if (task->state == SIM_TASK_RUN && !all) {
    if (!task->until)
      task->until = cluster->now + sim_rand_range (cluster, 0.5, GANG_PEER_S);
    else if (cluster->now > task->until)
      end_task (cluster, task, "peers");
  }
}

static gboolean
task_step (SimCluster *cluster, SimMachine *machine, SimTask *task)
{
  SimJob *task_job = job_of (cluster, task);
  SimTaskState before = task->state;
  if (task->state == SIM_TASK_FETCH && cluster->now >= task->ready) {
    g_hash_table_add (machine->images, GUINT_TO_POINTER (task_job->image + 1));
    check_task_start (cluster, machine, task);
    task->active = TRUE;
    task->since = cluster->now;
    task->state = task_job->shape == HR_GANG ? SIM_TASK_GATHER : SIM_TASK_RUN;
    task->progress_at_start = task_job->shape == HR_BATCH ? task_job->progress[task->task] : 0;
    if (task_job->done[task->task])
      end_task (cluster, task, "done");
  }
  if (task_job->shape == HR_GANG && (task->state == SIM_TASK_GATHER || task->state == SIM_TASK_RUN))
    gang_step (cluster, task);
  if (task->state == SIM_TASK_RUN && task->failing && cluster->now - task->since > 1)
    end_task (cluster, task, "error");
  else if (task->state == SIM_TASK_RUN && task_job->shape != HR_SERVICE &&
           progress (cluster, task) >= task_job->run) {
    if (task_job->shape == HR_GANG)
      for (guint32 i = 0; i < task_job->tasks; i++) {
        SimTask *peer = NULL;
        SimMachine *peer_machine = find_attempt (cluster, task->job, i, task->try, &peer);
        task_job->done[i] = TRUE;
        if (peer_machine && peer != task)
          end_task (cluster, peer, "done");
      }
    task_job->done[task->task] = TRUE;
    end_task (cluster, task, "done");
    if (job_all_done (task_job))
      faults_on_job_ended (cluster, task_job);
  } else if (task->state == SIM_TASK_SAVE && cluster->now >= task->until) {
    task_job->progress[task_job->shape == HR_GANG ? 0 : task->task] = task->progress_at_start;
    task->saved = TRUE;
    end_task (cluster, task, "halted");
  }
  return task->state != before;
}

static void
machine_tick (SimCluster *cluster, gpointer data)
{
  SimMachine *machine = data;
  if (machine->gone)
    return;
  sim_schedule (cluster, cluster->now + (cluster->capacity > 100 ? 0.75 : 0.25), machine_tick,
                machine); /* coarser steps for hundreds of machines, to save run time */
  /* A hanging machine may resume its tasks within its lease, but not after it. */
  if (cluster->now - machine->lease_at > cluster->lease_s) {
    machine_discard_tasks (cluster, machine);
    machine->incarnation++;
    machine->lease_at = cluster->now;
    if (!machine->report_in_flight)
      report_due (cluster, machine);
    return;
  }
  if (machine->hang_until > cluster->now)
    return;
  gboolean changed = FALSE;
  for (guint i = 0; i < machine->tasks->len; i++)
    changed |= task_step (cluster, machine, &g_array_index (machine->tasks, SimTask, i));
  if (changed && !machine->report_in_flight && cluster->now - machine->report_sent > 0.5)
    report_due (cluster, machine);
}

/* ---- heartbeats ---- */

typedef struct {
  SimMachine *machine;
  guint report, tenure;
  double sent;
} ReportInFlight;

static void
report_if_not_recent (SimCluster *cluster, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->gone && !machine->report_in_flight &&
      cluster->now - machine->report_sent > REPORT_SENT_SHARE * cluster->report_s)
    report_due (cluster, machine);
}

static void
report_if_idle (SimCluster *cluster, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->report_in_flight)
    report_due (cluster, machine);
}

static void
on_report (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  ReportInFlight *out = data;
  SimMachine *machine = out->machine;
  if (machine->gone || out->report != machine->report) {
    g_free (out);
    return;
  }
  machine->report_in_flight = FALSE;
  double next = cluster->now + cluster->report_s * sim_rand_range (cluster, 0.75, 1.25);
  if (status == 200) {
    guint64 fencing_token = json_integer_value (json_object_get (body, "baton"));
    /* A hanging worker reads no answers before it resumes. */
    if (fencing_token >= machine->token && out->tenure == machine->incarnation &&
        machine->hang_until <= cluster->now) {
      /* Sends another heartbeat at once when the token is higher, at most once in half a lease. */
      if (fencing_token > machine->token &&
          cluster->now - machine->token_reported_at > cluster->lease_s / 2) {
        machine->token_reported_at = cluster->now;
        sim_schedule (cluster, machine->report_sent + 0.51, report_if_idle, machine);
      }
      machine->token = fencing_token;
      machine->lease_at = out->sent;
      execute_orders (cluster, machine, json_object_get (body, "orders"));
    }
    sim_schedule (cluster, next, report_if_not_recent, machine);
  } else {
    const char *foreman = json_string_value (json_object_get (body, "foreman"));
    int to = foreman ? foreman[1] - '0' : -1;
    gboolean follow = status == 421 && to >= 0 && to < cluster->n && to != machine->node;
    machine->node = follow ? to : (machine->node + 1) % cluster->n;
    sim_schedule (cluster, cluster->now + (follow ? sim_rand_range (cluster, 0, 0.5) : 1),
                  report_if_idle, machine);
  }
  g_free (out);
}

static void
report_due (SimCluster *cluster, gpointer data)
{
  SimMachine *machine = data;
  if (machine->gone || machine->report_in_flight)
    return;
  if (machine->hang_until > cluster->now) {
    sim_schedule (cluster, machine->hang_until, report_if_idle, machine);
    return;
  }
  ReportInFlight *out = g_new (ReportInFlight, 1);
  *out = (ReportInFlight){machine, ++machine->report, machine->incarnation, cluster->now};
  machine->report_in_flight = TRUE;
  machine->report_sent = cluster->now;
  guint index;
  g_ptr_array_find (cluster->machines, machine, &index);
  sim_send_request (cluster, machine->node, index, HR_POST, "/hello",
                    report_text (cluster, machine), 4, on_report, out);
}

void
worker_boot (SimCluster *cluster, SimMachine *machine)
{
  machine->incarnation = 1;
  machine->lease_at = cluster->now;
  machine->node = g_rand_int_range (cluster->rand, 0, cluster->n);
  machine_tick (cluster, machine);
  report_due (cluster, machine);
}

/* ---- direct orders ---- */

static void
request_after_hang (SimCluster *cluster, gpointer data)
{
  SimRequest *request = data;
  worker_request (cluster, request);
  req_unref (request);
}

void
worker_request (SimCluster *cluster, SimRequest *request)
{
  SimMachine *machine = NULL;
  for (guint i = 0; i < cluster->machines->len; i++)
    if (strcmp (((SimMachine *)cluster->machines->pdata[i])->addr, request->addr) == 0)
      machine = cluster->machines->pdata[i];
  if (!machine || machine->gone || !machine->up)
    return;
  if (machine->hang_until > cluster->now) { /* executed when it resumes */
    request->refs++;
    sim_schedule (cluster, machine->hang_until + 0.01, request_after_hang, request);
    return;
  }
  json_t *object = json_loads (request->body, 0, NULL);
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  gboolean ok =
      fencing_token >= machine->token &&
      json_integer_value (json_object_get (object, "tenure")) == (json_int_t)machine->incarnation;
  if (ok) {
    machine->token = fencing_token;
    execute_orders (cluster, machine, json_object_get (object, "orders"));
  }
  json_decref (object);
  sim_send_response (cluster, request, ok ? 200 : 409, report_text (cluster, machine));
}
