/* A stand-in for the workers: reports, tokens, leases, tasks and gangs. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/invariant_checks.h"
#include "sim/request.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/world.h"
#include <string.h>

#define GANG_WAIT 30.0
#define GANG_PEER 4.0
/* A report that is due is left out where another went out within this share of report_s. It is less
 * than the least time between two regular ones, so that these never end. */
#define REPORT_SENT_SHARE 0.72

static const char *const states[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const zones[] = {"z0", "z1"};

static void report_due (World *world, gpointer data);

static SimJob *
job (World *world, const SimTask *task)
{
  return world->jobs->pdata[task->job];
}

static double
progress (World *world, const SimTask *task)
{
  return task->base + (task->state == SIM_TASK_RUN ? world->now - task->since : 0);
}

static void
end (World *world, SimTask *task, const char *cause)
{
  SimJob *task_job = job (world, task);
  if (task->state == SIM_TASK_EXIT)
    return;
  if (task->state == SIM_TASK_RUN && task_job->checkpoint > 0) {
    double reached = progress (world, task);
    double saved = ((int)(reached / task_job->checkpoint)) * task_job->checkpoint;
    task_job->progress[task->task] = MAX (task_job->progress[task->task], saved);
  }
  task->state = SIM_TASK_EXIT;
  task->on = FALSE;
  task->cause = cause;
}

/* The machine or its incarnation ends: its tasks are gone, and nobody says so. */
void
machine_stop_all (World *world, SimMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    end (world, &g_array_index (machine->tasks, SimTask, i), "lost");
  g_array_set_size (machine->tasks, 0);
}

static char *
report_text (World *world, SimMachine *machine)
{
  json_t *list = json_array ();
  machine->tally++;
  for (guint i = 0; i < machine->tasks->len; i++) {
    SimTask *task = &g_array_index (machine->tasks, SimTask, i);
    g_autofree char *piece = g_strdup_printf ("%s/%u", job (world, task)->id, task->task);
    json_t *object = json_pack ("{sssiss}", "piece", piece, "try", (int)task->try, "stance",
                                states[task->state]);
    if (task->state == SIM_TASK_EXIT)
      json_object_set_new (object, "cause", json_string (task->cause));
    if (task->kept)
      json_object_set_new (object, "kept", json_true ());
    json_array_append_new (list, object);
  }
  json_t *object = json_pack (
      "{sssssssssbsisisIso}", "rockhand", machine->name, "addr", machine->addr, "hull", "g2",
      "quarry", zones[machine->zone], "loaners", machine->spot, "tenure", (int)machine->tenure,
      "tally", (int)machine->tally, "baton", (json_int_t)machine->token, "pieces", list);
  if (machine->warned)
    json_object_set_new (object, "warning_s", json_real (MAX (0, machine->warned - world->now)));
  return hr_json_take_text (object);
}

static void
launch (World *world, SimMachine *machine, const char *id, guint32 task_index, guint32 attempt)
{
  guint32 index;
  SimJob *task_job = job_by_id (world, id, &index);
  SimTask task = {.job = index, .task = task_index, .try = attempt, .state = SIM_TASK_FETCH};
  double cpus = 0, gpus = 0, memory_gb = 0;
  if (!task_job || task_index >= task_job->tasks) {
    w_broken (world, "protocol", "launch of %s/%u", id, task_index);
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
    cpus += job (world, other)->cpus;
    gpus += job (world, other)->gpus;
    memory_gb += job (world, other)->mem;
  }
  if (task.state != SIM_TASK_EXIT &&
      (cpus + task_job->cpus > 12.001 || gpus + task_job->gpus > 2.001 ||
       memory_gb + task_job->mem > 96.001)) {
    task.state = SIM_TASK_EXIT;
    task.cause = "full";
  }
  gboolean cached = g_hash_table_contains (machine->images, GUINT_TO_POINTER (task_job->image + 1));
  task.ready = world->now + (cached ? 0.05 : task_job->image_gb);
  task.failing = task_job->broken || (machine->faulty && w_rand (world, 0, 1) < 0.7);
  g_array_append_val (machine->tasks, task);
}

static void
obey (World *world, SimMachine *machine, json_t *orders)
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
    job_by_id (world, id, &index);
    if (strcmp (verb, "launch") == 0) {
      launch (world, machine, id, task_index, attempt);
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
      SimJob *task_job = job (world, task);
      if (task->state == SIM_TASK_RUN && task_job->checkpoint > 0 && grace >= task_job->save) {
        task->base = progress (world, task);
        task->state = SIM_TASK_SAVE;
        task->until = world->now + task_job->save;
      } else if (task->state != SIM_TASK_SAVE || grace == 0)
        end (world, task, "halted");
      break;
    }
  }
}

/* ---- the life of tasks ---- */

static SimMachine *
peer_of (World *world, guint32 index, guint32 task_index, guint32 attempt, SimTask **out)
{
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
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
gang_step (World *world, SimTask *task)
{
  SimJob *task_job = job (world, task);
  gboolean all = TRUE, ready = TRUE;
  for (guint32 i = 0; i < task_job->tasks; i++) {
    SimTask *peer = NULL;
    if (!peer_of (world, task->job, i, task->try, &peer))
      all = FALSE;
    else
      ready = ready && (peer->state == SIM_TASK_GATHER || peer->state == SIM_TASK_RUN);
  }
  if (task->state == SIM_TASK_GATHER) {
    if (all && ready) {
      task->state = SIM_TASK_RUN;
      task->since = world->now;
      if (!task_job->first)
        task_job->first = world->now;
      task->base = task_job->progress[0];
    } else if (world->now - task->since > GANG_WAIT)
      end (world, task, "incomplete");
  } else if (task->state == SIM_TASK_RUN && !all) {
    if (!task->until)
      task->until = world->now + w_rand (world, 0.5, GANG_PEER);
    else if (world->now > task->until)
      end (world, task, "peers");
  }
}

static gboolean
task_step (World *world, SimMachine *machine, SimTask *task)
{
  SimJob *task_job = job (world, task);
  SimTaskState before = task->state;
  if (task->state == SIM_TASK_FETCH && world->now >= task->ready) {
    g_hash_table_add (machine->images, GUINT_TO_POINTER (task_job->image + 1));
    check_task_start (world, machine, task);
    task->on = TRUE;
    task->since = world->now;
    task->state = task_job->shape == HR_GANG ? SIM_TASK_GATHER : SIM_TASK_RUN;
    task->base = task_job->shape == HR_BATCH ? task_job->progress[task->task] : 0;
    if (task_job->done[task->task])
      end (world, task, "done");
  }
  if (task_job->shape == HR_GANG && (task->state == SIM_TASK_GATHER || task->state == SIM_TASK_RUN))
    gang_step (world, task);
  if (task->state == SIM_TASK_RUN && task->failing && world->now - task->since > 1)
    end (world, task, "error");
  else if (task->state == SIM_TASK_RUN && task_job->shape != HR_SERVICE &&
           progress (world, task) >= task_job->run) {
    if (task_job->shape == HR_GANG)
      for (guint32 i = 0; i < task_job->tasks; i++) {
        SimTask *peer = NULL;
        SimMachine *peer_machine = peer_of (world, task->job, i, task->try, &peer);
        task_job->done[i] = TRUE;
        if (peer_machine && peer != task)
          end (world, peer, "done");
      }
    task_job->done[task->task] = TRUE;
    end (world, task, "done");
    if (job_all_done (task_job))
      faults_on_job_ended (world, task_job);
  } else if (task->state == SIM_TASK_SAVE && world->now >= task->until) {
    task_job->progress[task_job->shape == HR_GANG ? 0 : task->task] = task->base;
    task->kept = TRUE;
    end (world, task, "halted");
  }
  return task->state != before;
}

static void
live (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (machine->gone)
    return;
  w_at (world, world->now + (world->capacity > 100 ? 0.75 : 0.25), live,
        machine); /* hundreds: coarser, to be fast */
  /* A hanging machine may resume within its lease, not after it. */
  if (world->now - machine->lease_at > world->lease_s) {
    machine_stop_all (world, machine);
    machine->tenure++;
    machine->lease_at = world->now;
    if (!machine->out)
      report_due (world, machine);
    return;
  }
  if (machine->hang > world->now)
    return;
  gboolean changed = FALSE;
  for (guint i = 0; i < machine->tasks->len; i++)
    changed |= task_step (world, machine, &g_array_index (machine->tasks, SimTask, i));
  if (changed && !machine->out && world->now - machine->report_sent > 0.5)
    report_due (world, machine);
}

/* ---- reports ---- */

typedef struct {
  SimMachine *m;
  guint report, tenure;
  double sent;
} Out;

static void
report_later (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->gone && !machine->out &&
      world->now - machine->report_sent > REPORT_SENT_SHARE * world->report_s)
    report_due (world, machine);
}

static void
report_next_node (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->out)
    report_due (world, machine);
}

static void
on_report (World *world, int status, json_t *body, gpointer data)
{
  Out *out = data;
  SimMachine *machine = out->m;
  if (machine->gone || out->report != machine->report) {
    g_free (out);
    return;
  }
  machine->out = FALSE;
  double next = world->now + world->report_s * w_rand (world, 0.75, 1.25);
  if (status == 200) {
    guint64 fencing_token = json_integer_value (json_object_get (body, "baton"));
    /* A hanging worker reads nothing before it wakes. */
    if (fencing_token >= machine->token && out->tenure == machine->tenure &&
        machine->hang <= world->now) {
      /* A higher token is a change, at most once in half a lease. */
      if (fencing_token > machine->token && world->now - machine->token_told > world->lease_s / 2) {
        machine->token_told = world->now;
        w_at (world, machine->report_sent + 0.51, report_next_node, machine);
      }
      machine->token = fencing_token;
      machine->lease_at = out->sent;
      obey (world, machine, json_object_get (body, "orders"));
    }
    w_at (world, next, report_later, machine);
  } else {
    const char *foreman = json_string_value (json_object_get (body, "foreman"));
    int to = foreman ? foreman[1] - '0' : -1;
    gboolean follow = status == 421 && to >= 0 && to < world->n && to != machine->node;
    machine->node = follow ? to : (machine->node + 1) % world->n;
    w_at (world, world->now + (follow ? w_rand (world, 0, 0.5) : 1), report_next_node, machine);
  }
  g_free (out);
}

static void
report_due (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (machine->gone || machine->out)
    return;
  if (machine->hang > world->now) {
    w_at (world, machine->hang, report_next_node, machine);
    return;
  }
  Out *out = g_new (Out, 1);
  *out = (Out){machine, ++machine->report, machine->tenure, world->now};
  machine->out = TRUE;
  machine->report_sent = world->now;
  guint index;
  g_ptr_array_find (world->machines, machine, &index);
  w_ask (world, machine->node, index, HR_POST, "/hello", report_text (world, machine), 4, on_report,
         out);
}

void
worker_boot (World *world, SimMachine *machine)
{
  machine->tenure = 1;
  machine->lease_at = world->now;
  machine->node = g_rand_int_range (world->rand, 0, world->n);
  live (world, machine);
  report_due (world, machine);
}

/* ---- direct orders ---- */

static void
do_late (World *world, gpointer data)
{
  SimRequest *request = data;
  worker_request (world, request);
  req_unref (request);
}

void
worker_request (World *world, SimRequest *request)
{
  SimMachine *machine = NULL;
  for (guint i = 0; i < world->machines->len; i++)
    if (strcmp (((SimMachine *)world->machines->pdata[i])->addr, request->addr) == 0)
      machine = world->machines->pdata[i];
  if (!machine || machine->gone || !machine->up)
    return;
  if (machine->hang > world->now) { /* carried out when it wakes */
    request->refs++;
    w_at (world, machine->hang + 0.01, do_late, request);
    return;
  }
  json_t *object = json_loads (request->body, 0, NULL);
  guint64 fencing_token = json_integer_value (json_object_get (object, "baton"));
  gboolean ok =
      fencing_token >= machine->token &&
      json_integer_value (json_object_get (object, "tenure")) == (json_int_t)machine->tenure;
  if (ok) {
    machine->token = fencing_token;
    obey (world, machine, json_object_get (object, "orders"));
  }
  json_decref (object);
  w_answer (world, request, ok ? 200 : 409, report_text (world, machine));
}
