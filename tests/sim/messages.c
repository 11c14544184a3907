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
net_delay (SimCluster *cluster)
{
  double usual = sim_rand_range (cluster, 0, 1) < 0.02 ? sim_rand_range (cluster, 0.1, 0.5)
                                                       : sim_rand_range (cluster, 0.001, 0.01);
  return usual + faults_link_delay (cluster);
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
note_store_answer (SimCluster *cluster, const SimRequest *request, const char *body)
{
  SimNode *n = &cluster->nodes[request->node];
  n->store_answered_at = cluster->now;
  if (!g_str_has_prefix (request->path, "/changes"))
    return;
  json_t *object = json_loads (body, 0, NULL);
  guint64 store_revision = json_integer_value (json_object_get (object, "epoch"));
  if (store_revision >= n->unread_leader_change_epoch)
    n->unread_leader_change_at = 0;
  n->epoch_sent = MAX (n->epoch_sent, store_revision);
  SimStoreRead store_read = {cluster->now, n->epoch_sent};
  g_array_append_val (n->store_reads, store_read);
  json_decref (object);
}

static void
deliver_answer (SimCluster *cluster, gpointer data)
{
  Answer *answer = data;
  SimRequest *request = answer->request;
  if (!request->answered) {
    request->answered = TRUE;
    if (request->node >= 0) {
      SimNode *n = &cluster->nodes[request->node];
      if (n->up && n->generation == request->generation) {
        HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
        command->id = request->call;
        command->result.status = answer->status;
        if (request->target == HR_TO_STORE && answer->status == 200)
          note_store_answer (cluster, request, answer->body);
        if (request->target == HR_TO_STORE && strcmp (request->path, "/commit") == 0)
          faults_trigger (cluster, ON_WRITE_ANSWERED);
        if (answer->body)
          command->body = g_bytes_new (answer->body, strlen (answer->body));
        node_push (cluster, request->node, command);
      }
    } else {
      json_t *value = answer->body ? json_loads (answer->body, JSON_DECODE_ANY, NULL) : NULL;
      request->done (cluster, answer->status, value, request->data);
      json_decref (value);
    }
  }
  req_unref (request);
  g_free (answer->body);
  g_free (answer);
}

static SimMachine *
machine_at (SimCluster *cluster, const char *addr)
{
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    if (strcmp (machine->addr, addr) == 0)
      return machine;
  }
  return NULL;
}

/* Returns until when the connection between a controller and the other end of the request is cut.
 * hold: set to whether messages are delayed until then instead of dropped. */
static double
cut_until (SimCluster *cluster, SimRequest *request, gboolean *hold)
{
  SimNode *n = &cluster->nodes[request->node >= 0 ? request->node : request->to];
  double until = 0;
  *hold = n->cut_holds_messages;
  SimMachine *worker = request->machine >= 0 ? cluster->machines->pdata[request->machine]
                       : request->target == HR_TO_WORKER && request->node >= 0
                           ? machine_at (cluster, request->addr)
                           : NULL;
  double zone = faults_zone_cut_until (cluster, request, worker);
  if (zone > cluster->now) {
    *hold = cluster->faults.zone_hold;
    return zone;
  }
  if (request->node < 0) {
    until = request->machine >= 0 ? n->cut_workers_until : n->cut_users_until;
    if (request->machine >= 0) {
      SimMachine *machine = cluster->machines->pdata[request->machine];
      if (machine->cut_until > until) {
        until = machine->cut_until;
        *hold = machine->cut_holds_messages;
      }
    }
  } else if (request->target == HR_TO_STORE)
    until = n->cut_store_until;
  else if (request->target == HR_TO_WORKER) {
    SimMachine *machine = machine_at (cluster, request->addr);
    until = n->cut_workers_until;
    if (machine && machine->cut_until > until) {
      until = machine->cut_until;
      *hold = machine->cut_holds_messages;
    }
  }
  return until;
}

void
sim_send_response (SimCluster *cluster, SimRequest *request, int status, char *body)
{
  gboolean hold;
  double cut = cut_until (cluster, request, &hold),
         until = cluster->now + net_delay (cluster) + faults_answer_delay (cluster, request);
  if (request->answer_lost ||
      (request->node < 0 && request->machine >= 0 &&
       ((SimMachine *)cluster->machines->pdata[request->machine])->inbound_cut_until >
           cluster->now)) {
    g_free (body);
    return;
  }
  if (cut > cluster->now) {
    if (!hold) {
      g_free (body);
      return;
    }
    until = cut + net_delay (cluster);
  }
  if (request->answer_lost ||
      (!cluster->faults_ended && sim_rand_range (cluster, 0, 1) < cluster->loss_share)) {
    g_free (body);
    return;
  }
  Answer *answer = g_new (Answer, 1);
  *answer = (Answer){request, status, body};
  request->refs++;
  sim_schedule (cluster, until, deliver_answer, answer);
}

/* ---- requests ---- */

void
req_arrive (SimCluster *cluster, gpointer data)
{
  SimRequest *request = data;
  if (request->node >= 0) {
    if (request->target == HR_TO_STORE)
      store_request (cluster, request);
    else if (request->target == HR_TO_CLOUD)
      cloud_request (cluster, request);
    else
      worker_request (cluster, request);
  } else {
    SimNode *n = &cluster->nodes[request->to];
    if (!n->up)
      sim_send_response (cluster, request, 0, NULL); /* connection refused */
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
      if (cluster->controllers && request->machine >= 0)
        node_note_report (cluster, request->to, command->id,
                          ((SimMachine *)cluster->machines->pdata[request->machine])->name);
      node_push (cluster, request->to, command);
    }
  }
  req_unref (request);
}

static void
expire (SimCluster *cluster, gpointer data)
{
  SimRequest *request = data;
  Answer *answer = g_new0 (Answer, 1);
  answer->request = request;
  deliver_answer (cluster, answer); /* timeout without an answer; drops the reference too */
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
req_arrive_late (SimCluster *cluster, SimRequest *request, double until)
{
  cluster->late_messages_until = MAX (cluster->late_messages_until, until);
  sim_schedule (cluster, until, req_arrive, request);
}

/* Sends a copy of a heartbeat that arrives between one second and several leases later. Its answer
 * is dropped. */
static void
send_late_copy (SimCluster *cluster, SimRequest *request)
{
  req_arrive_late (cluster, req_copy (request, request->to),
                   cluster->now + sim_rand_range (cluster, 1, 90));
}

void
req_send (SimCluster *cluster, SimRequest *request)
{
  gboolean hold;
  double cut = cut_until (cluster, request, &hold), until = cluster->now + net_delay (cluster);
  if (request->node >= 0 && request->target == HR_TO_STORE &&
      strcmp (request->path, "/commit") == 0)
    faults_trigger (cluster, ON_WRITE_SENT);
  request->refs++;
  sim_schedule (cluster, cluster->now + request->timeout, expire, request);
  SimMachine *worker = request->node >= 0 && request->target == HR_TO_WORKER
                           ? machine_at (cluster, request->addr)
                           : NULL;
  if (worker && worker->inbound_cut_until > cluster->now)
    return;
  if (!cluster->faults_ended && request->node < 0 && request->machine >= 0 &&
      sim_rand_range (cluster, 0, 1) < cluster->late_copy_share)
    send_late_copy (cluster, request);
  if (cut > cluster->now) {
    if (!hold)
      return;
    until = cut + net_delay (cluster);
  }
  if (faults_intercept_request (cluster, request, until))
    return;
  if (cluster->choose_outcome) {
    sim_apply_outcome (cluster, request,
                       cluster->choose_outcome (cluster, request, cluster->choose_outcome_data),
                       until);
    return;
  }
  if (!cluster->faults_ended && worker && cluster->late_order_share > 0 &&
      sim_rand_range (cluster, 0, 1) < cluster->late_order_share) {
    request->refs++;
    req_arrive_late (cluster, request, until + sim_rand_range (cluster, 30, 75));
    return;
  }
  if (!cluster->faults_ended && sim_rand_range (cluster, 0, 1) < cluster->loss_share) {
    if (request->node >= 0 &&
        sim_rand_range (cluster, 0, 1) < 0.5) { /* carried out later, without an answer */
      request->refs++;
      req_arrive_late (cluster, request, until + sim_rand_range (cluster, 3, cluster->max_late_s));
    }
    return;
  }
  request->refs++;
  sim_schedule (cluster, until, req_arrive, request);
  /* Late duplicates: a request that was sent once may be carried out again, minutes later. */
  if (!cluster->faults_ended && request->node >= 0 &&
      sim_rand_range (cluster, 0, 1) < cluster->duplicate_share) {
    request->refs++;
    req_arrive_late (cluster, request, until + sim_rand_range (cluster, 0.05, cluster->max_late_s));
  }
}

void
sim_send_request (SimCluster *cluster, int node, int machine, HrMethod method, const char *path,
                  char *body, double timeout, void (*done) (SimCluster *, int, json_t *, gpointer),
                  gpointer data)
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
  req_send (cluster, request);
  req_unref (request);
}
