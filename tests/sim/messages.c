/* Requests and answers in transit: delays, partitions, losses and duplicates. */
#include "coordination/command.h"
#include "sim/cloud.h"
#include "sim/messages.h"
#include "sim/request.h"
#include "sim/request_outcomes.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/worker.h"
#include <string.h>

double
net_delay (World *world)
{
  double usual =
      w_rand (world, 0, 1) < 0.02 ? w_rand (world, 0.1, 0.5) : w_rand (world, 0.001, 0.01);
  return usual + faults_link_delay (world);
}

void
req_unref (SimRequest *request)
{
  if (--request->refs)
    return;
  g_free (request->addr);
  g_free (request->path);
  g_free (request->body);
  g_free (request);
}

/* ---- answers ---- */

typedef struct {
  SimRequest *request;
  int status;
  char *body;
} Answer;

/* Records that the state store answered this node. An answer to /changes also records the revision
 * that the node has read, and whether that includes the last change by another node. */
static void
note_store_answer (World *world, const SimRequest *request, const char *body)
{
  Node *n = &world->nodes[request->node];
  n->store_at = world->now;
  if (!g_str_has_prefix (request->path, "/changes"))
    return;
  json_t *object = json_loads (body, 0, NULL);
  guint64 store_revision = json_integer_value (json_object_get (object, "epoch"));
  if (store_revision >= n->behind_epoch)
    n->behind_at = 0;
  n->epoch_sent = MAX (n->epoch_sent, store_revision);
  Reading reading = {world->now, n->epoch_sent};
  g_array_append_val (n->readings, reading);
  json_decref (object);
}

static void
deliver_answer (World *world, gpointer data)
{
  Answer *answer = data;
  SimRequest *request = answer->request;
  if (!request->answered) {
    request->answered = TRUE;
    if (request->node >= 0) {
      Node *n = &world->nodes[request->node];
      if (n->up && n->gen == request->gen) {
        HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
        command->id = request->call;
        command->result.status = answer->status;
        if (request->target == HR_TO_STORE && answer->status == 200)
          note_store_answer (world, request, answer->body);
        if (request->target == HR_TO_STORE && strcmp (request->path, "/commit") == 0)
          faults_trigger (world, ON_WRITE_ANSWERED);
        if (answer->body)
          command->body = g_bytes_new (answer->body, strlen (answer->body));
        node_push (world, request->node, command);
      }
    } else {
      json_t *value = answer->body ? json_loads (answer->body, JSON_DECODE_ANY, NULL) : NULL;
      request->done (world, answer->status, value, request->data);
      json_decref (value);
    }
  }
  req_unref (request);
  g_free (answer->body);
  g_free (answer);
}

static SimMachine *
machine_at (World *world, const char *addr)
{
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    if (strcmp (machine->addr, addr) == 0)
      return machine;
  }
  return NULL;
}

/* Returns until when the connection between a controller and the other end of the request is cut.
 * hold: set to whether messages are delayed until then instead of dropped. */
static double
cut_until (World *world, SimRequest *request, gboolean *hold)
{
  Node *n = &world->nodes[request->node >= 0 ? request->node : request->to];
  double until = 0;
  *hold = n->hold;
  SimMachine *worker = request->machine >= 0 ? world->machines->pdata[request->machine]
                       : request->target == HR_TO_WORKER && request->node >= 0
                           ? machine_at (world, request->addr)
                           : NULL;
  double zone = faults_zone_cut_until (world, request, worker);
  if (zone > world->now) {
    *hold = world->troubles.zone_hold;
    return zone;
  }
  if (request->node < 0) {
    until = request->machine >= 0 ? n->cut_workers : n->cut_users;
    if (request->machine >= 0) {
      SimMachine *machine = world->machines->pdata[request->machine];
      if (machine->cut > until) {
        until = machine->cut;
        *hold = machine->hold;
      }
    }
  } else if (request->target == HR_TO_STORE)
    until = n->cut_store;
  else if (request->target == HR_TO_WORKER) {
    SimMachine *machine = machine_at (world, request->addr);
    until = n->cut_workers;
    if (machine && machine->cut > until) {
      until = machine->cut;
      *hold = machine->hold;
    }
  }
  return until;
}

void
w_answer (World *world, SimRequest *request, int status, char *body)
{
  gboolean hold;
  double cut = cut_until (world, request, &hold),
         until = world->now + net_delay (world) + faults_answer_delay (world, request);
  if (request->answer_lost ||
      (request->node < 0 && request->machine >= 0 &&
       ((SimMachine *)world->machines->pdata[request->machine])->inbound_cut > world->now)) {
    g_free (body);
    return;
  }
  if (cut > world->now) {
    if (!hold) {
      g_free (body);
      return;
    }
    until = cut + net_delay (world);
  }
  if (request->answer_lost || (!world->calm && w_rand (world, 0, 1) < world->loss)) {
    g_free (body);
    return;
  }
  Answer *answer = g_new (Answer, 1);
  *answer = (Answer){request, status, body};
  request->refs++;
  w_at (world, until, deliver_answer, answer);
}

/* ---- requests ---- */

void
req_arrive (World *world, gpointer data)
{
  SimRequest *request = data;
  if (request->node >= 0) {
    if (request->target == HR_TO_STORE)
      store_request (world, request);
    else if (request->target == HR_TO_CLOUD)
      cloud_request (world, request);
    else
      worker_request (world, request);
  } else {
    Node *n = &world->nodes[request->to];
    if (!n->up)
      w_answer (world, request, 0, NULL); /* connection refused */
    else {
      HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
      command->id = ++n->next;
      command->request.method = request->method;
      command->request.path = g_strdup (request->path);
      command->body = request->body ? g_bytes_new (request->body, strlen (request->body)) : NULL;
      guint64 *key = g_new (guint64, 1);
      *key = command->id;
      request->refs++;
      g_hash_table_insert (n->open, key, request);
      if (world->controllers && request->machine >= 0)
        node_note_report (world, request->to, command->id,
                          ((SimMachine *)world->machines->pdata[request->machine])->name);
      node_push (world, request->to, command);
    }
  }
  req_unref (request);
}

static void
expire (World *world, gpointer data)
{
  SimRequest *request = data;
  Answer *answer = g_new0 (Answer, 1);
  answer->request = request;
  deliver_answer (world, answer); /* timeout without an answer; drops the reference too */
}

SimRequest *
req_copy (const SimRequest *request, int to)
{
  SimRequest *copy = g_new0 (SimRequest, 1);
  copy->node = -1;
  copy->to = to;
  copy->machine = request->machine;
  copy->method = request->method;
  copy->path = g_strdup (request->path);
  copy->body = g_strdup (request->body);
  copy->answered = TRUE;
  copy->refs = 1;
  return copy;
}

void
req_stray (World *world, SimRequest *request, double until)
{
  world->stray_until = MAX (world->stray_until, until);
  w_at (world, until, req_arrive, request);
}

/* Sends a copy of a report that arrives between seconds and well over a lease later. Nobody waits
 * for its answer. */
static void
send_late_copy (World *world, SimRequest *request)
{
  req_stray (world, req_copy (request, request->to), world->now + w_rand (world, 1, 90));
}

void
req_send (World *world, SimRequest *request)
{
  gboolean hold;
  double cut = cut_until (world, request, &hold), until = world->now + net_delay (world);
  if (request->node >= 0 && request->target == HR_TO_STORE &&
      strcmp (request->path, "/commit") == 0)
    faults_trigger (world, ON_WRITE_SENT);
  request->refs++;
  w_at (world, world->now + request->timeout, expire, request);
  SimMachine *worker = request->node >= 0 && request->target == HR_TO_WORKER
                           ? machine_at (world, request->addr)
                           : NULL;
  if (worker && worker->inbound_cut > world->now)
    return;
  if (!world->calm && request->node < 0 && request->machine >= 0 &&
      w_rand (world, 0, 1) < world->copies)
    send_late_copy (world, request);
  if (cut > world->now) {
    if (!hold)
      return;
    until = cut + net_delay (world);
  }
  if (faults_intercept_request (world, request, until))
    return;
  if (world->choose) {
    w_apply_outcome (world, request, world->choose (world, request, world->choose_data), until);
    return;
  }
  if (!world->calm && worker && world->late_orders > 0 &&
      w_rand (world, 0, 1) < world->late_orders) {
    request->refs++;
    req_stray (world, request, until + w_rand (world, 30, 75));
    return;
  }
  if (!world->calm && w_rand (world, 0, 1) < world->loss) {
    if (request->node >= 0 &&
        w_rand (world, 0, 1) < 0.5) { /* carried out later, without an answer */
      request->refs++;
      req_stray (world, request, until + w_rand (world, 3, world->late));
    }
    return;
  }
  request->refs++;
  w_at (world, until, req_arrive, request);
  /* Late duplicates: a request that was sent once may be carried out again, minutes later. */
  if (!world->calm && request->node >= 0 && w_rand (world, 0, 1) < world->dup) {
    request->refs++;
    req_stray (world, request, until + w_rand (world, 0.05, world->late));
  }
}

void
w_ask (World *world, int node, int machine, HrMethod method, const char *path, char *body,
       double timeout, void (*done) (World *, int, json_t *, gpointer), gpointer data)
{
  SimRequest *request = g_new0 (SimRequest, 1);
  request->node = -1;
  request->to = node;
  request->machine = machine;
  request->method = method;
  request->path = g_strdup (path);
  request->body = body;
  request->timeout = timeout;
  request->done = done;
  request->data = data;
  request->refs = 1;
  req_send (world, request);
  req_unref (request);
}
