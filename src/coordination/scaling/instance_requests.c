/* Requests instances at the cloud. */
#include "coordination/scaling/instance_requests.h"
#include "bookkeeping/replica.h"
#include "coordination/effects.h"
#include "coordination/scaling/capacity_refusals.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/cloud.h"
#include "protocol/random_range.h"

#define MAX_INSTANCES_PER_REQUEST 50
#define CALL_TIMEOUT_S 6
/* Range of the random pause before requests without a conclusive answer are retried. A failing
 * cloud answers immediately, so retries without a pause would use up the call budget of the next
 * minutes. */
#define MIN_RETRY_PAUSE_S 0.5
#define MAX_RETRY_PAUSE_S 1.5

/* A request for instances of one kind. */
typedef struct {
  double term_began_at; /* start of the term in which it was made, monotonic time, s */
  char *name;           /* idempotency key */
  guint32 type, zone;
  gboolean is_spot;
  guint count;
} InstanceRequest;

/* Meaning of the cloud's answer to a request. */
typedef enum {
  ANSWER_GRANTED,      /* all instances, or as many as the cloud has */
  ANSWER_NO_CAPACITY,  /* no instance was granted */
  ANSWER_MALFORMED,    /* the cloud rejects the request for good */
  ANSWER_INCONCLUSIVE, /* no answer, an error or too many calls: may have taken effect */
} RequestAnswer;

static void
instance_request_free (HrCore *core, InstanceRequest *request)
{
  core->scaling.instances_requested -= request->count;
  g_free (request->name);
  g_free (request);
}

static RequestAnswer
classify_answer (int status, json_t *body)
{
  if (status == 200)
    return ANSWER_GRANTED;
  if (status == 503 && g_strcmp0 (hr_json_str (body, "error"), HR_CLOUD_NO_CAPACITY) == 0)
    return ANSWER_NO_CAPACITY;
  return status == 400 ? ANSWER_MALFORMED : ANSWER_INCONCLUSIVE;
}

/* Adds a granted instance to the fleet, unless its worker sent a heartbeat before the answer
 * arrived. */
static void
add_instance (HrCore *core, const InstanceRequest *request, const char *name, double sent)
{
  HrMachine *machine = name ? hr_machine_get (&core->store.tables, name) : NULL;
  if (!machine || machine->state != HR_MACHINE_GONE || machine->instance.is_deleted)
    return;
  hr_machine_set_type (machine, hr_machine_type_find (core, request->type), request->zone,
                       request->is_spot);
  machine->state = HR_MACHINE_BOOTING;
  machine->instance.requested_here = TRUE;
  machine->instance.requested_at = sent;
  hr_fleet_add (core, machine);
}

static void
handle_grant (HrCore *core, const InstanceRequest *request, json_t *body, double sent)
{
  const json_t *list = hr_instances_granted (body);
  json_t *entry;
  size_t i;
  json_array_foreach (list, i, entry) add_instance (core, request, json_string_value (entry), sent);
  g_info ("the cloud granted %zu of %u instances: %s%s in %s", json_array_size (list),
          request->count, request->is_spot ? "spot " : "",
          hr_intern_name (&core->names->types, request->type),
          hr_intern_name (&core->names->zones, request->zone));
  if (json_array_size (list) < request->count)
    hr_capacity_note_refusal (core, request->type, request->zone, request->is_spot);
  core->scheduling.plan_is_stale = TRUE;
}

static void
handle_refusal (HrCore *core, const InstanceRequest *request)
{
  g_info ("the cloud has no capacity for %s%s in %s", request->is_spot ? "spot " : "",
          hr_intern_name (&core->names->types, request->type),
          hr_intern_name (&core->names->zones, request->zone));
  hr_capacity_note_refusal (core, request->type, request->zone, request->is_spot);
  core->scheduling.plan_is_stale = TRUE;
}

static void
on_answer (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  InstanceRequest *request = data;
  if (!core->leadership.is_leader || request->term_began_at != core->leadership.term_began_at) {
    instance_request_free (core, request); /* granted instances appear in the list */
    return;
  }
  switch (classify_answer (status, body)) {
  case ANSWER_GRANTED:
    handle_grant (core, request, body, sent);
    break;
  case ANSWER_NO_CAPACITY:
    handle_refusal (core, request);
    break;
  case ANSWER_MALFORMED:
    g_warning ("the cloud rejected a request for instances as malformed");
    break;
  case ANSWER_INCONCLUSIVE:
    core->scaling.paused_until =
        core->now + hr_random_range (core->random, MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S);
    g_queue_push_tail (&core->scaling.requests_to_retry, request);
    return;
  }
  instance_request_free (core, request);
}

/* Sends the request. The caller has taken its token from the bucket of calls to the cloud. */
static void
send_request (HrCore *core, InstanceRequest *request)
{
  HrInstanceRequest message = {request->name, hr_intern_name (&core->names->types, request->type),
                               hr_intern_name (&core->names->zones, request->zone),
                               request->is_spot, request->count};
  hr_core_call (core, HR_TO_CLOUD, NULL, HR_POST, g_strdup (HR_CLOUD_INSTANCES_PATH),
                hr_instance_request_text (&message), CALL_TIMEOUT_S, on_answer, request);
}

/* Returns the number of machines of the type in the zone. */
static guint
count_machines (const HrCore *core, guint32 type, guint32 zone)
{
  guint n = 0;
  for (guint k = 0; k < core->scaling.fleet->len; k++) {
    const HrMachine *machine = core->scaling.fleet->pdata[k];
    n += machine->type == type && machine->zone == zone;
  }
  return n;
}

/* Returns the zone with capacity that has the fewest machines of the type in the fleet; HR_NONE if
 * the cloud refused all zones. @requested, instances requested on this tick by zone, count as well.
 * The controllers' own zone gets twice the share of another: if the network cuts it off, its
 * workers still reach the leader (hr_leadership_may_answer). */
static guint32
choose_zone (const HrCore *core, const HrMachineType *type, gboolean spot, const guint *requested)
{
  guint32 best = HR_NONE;
  guint least = G_MAXUINT;
  for (guint i = 0; i < type->zones->len; i++) {
    guint32 zone = g_array_index (type->zones, guint32, i);
    if (hr_capacity_is_refused (core, type->type, zone, spot))
      continue;
    guint n = requested[zone] + count_machines (core, type->type, zone);
    if (zone == core->settings->home_zone)
      n /= 2;
    if (n < least) {
      least = n;
      best = zone;
    }
  }
  return best;
}

void
hr_instance_requests_retry (HrCore *core)
{
  GQueue *to_retry = &core->scaling.requests_to_retry;
  while (!g_queue_is_empty (to_retry) && core->now >= core->scaling.paused_until) {
    InstanceRequest *request = g_queue_peek_head (to_retry);
    gboolean is_of_this_term = request->term_began_at == core->leadership.term_began_at;
    if (is_of_this_term && !hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 0))
      return;
    g_queue_pop_head (to_retry);
    if (is_of_this_term)
      send_request (core, request);
    else
      instance_request_free (core, request);
  }
}

void
hr_instance_requests_clear (HrCore *core)
{
  InstanceRequest *request;
  while ((request = g_queue_pop_head (&core->scaling.requests_to_retry)))
    instance_request_free (core, request);
}

/* Returns whether the instances that earlier leaders requested are known. They appear in the
 * cloud's list, so the list must be read before anything is requested. The first leader ever has no
 * predecessor. */
static gboolean
earlier_requests_are_known (const HrCore *core)
{
  return core->leadership.term_token == 1 ||
         (core->scaling.list_is_complete &&
          core->now - core->leadership.term_began_at > core->settings->list_lag_s);
}

/* Returns the largest number of instances of the demand in one request. If any zone is allowed, the
 * demand is split evenly across zones, since one zone may lack capacity or fail. */
static guint
max_instances_per_request (const HrDemand *demand, const HrMachineType *type)
{
  guint n_zones = type->zones->len;
  if (demand->zone != HR_NONE || n_zones <= 1)
    return MAX_INSTANCES_PER_REQUEST;
  guint share = MAX (1, (demand->count + n_zones - 1) / n_zones);
  return MIN (share, MAX_INSTANCES_PER_REQUEST);
}

static void
request_instances (HrCore *core, const HrDemand *demand, guint32 zone, guint count)
{
  InstanceRequest *request = g_new0 (InstanceRequest, 1);
  request->term_began_at = core->leadership.term_began_at;
  request->name = g_strdup_printf ("%s.%s.%" G_GUINT64_FORMAT, core->settings->label,
                                   core->incarnation, ++core->scaling.last_request_number);
  request->type = demand->type;
  request->zone = zone;
  request->is_spot = demand->is_spot;
  request->count = count;
  core->scaling.instances_requested += count;
  send_request (core, request);
}

/* Requests the instances of one demand, as far as the rate limit of calls to the cloud allows and
 * zones have capacity. @requested: instances requested on this tick, by zone. */
static void
request_demand (HrCore *core, const HrDemand *demand, guint *requested)
{
  const HrMachineType *type = hr_machine_type_find (core, demand->type);
  guint left = demand->count, max_count = type ? max_instances_per_request (demand, type) : 0;
  while (type && left && hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 0)) {
    guint32 zone = demand->zone == HR_NONE ? choose_zone (core, type, demand->is_spot, requested)
                                           : demand->zone;
    if (zone == HR_NONE || hr_capacity_is_refused (core, demand->type, zone, demand->is_spot))
      return;
    guint count = MIN (left, max_count);
    requested[zone] += count;
    left -= count;
    request_instances (core, demand, zone, count);
  }
}

void
hr_instance_requests_send (HrCore *core)
{
  if (!earlier_requests_are_known (core) || core->scaling.instances_requested ||
      core->now < core->scaling.paused_until || !hr_replica_is_current (&core->store))
    return;
  g_autofree guint *requested = g_new0 (guint, core->names->zones.names->len + 1);
  for (guint i = 0; i < core->scaling.demand->len; i++)
    request_demand (core, &g_array_index (core->scaling.demand, HrDemand, i), requested);
  g_array_set_size (core->scaling.demand, 0);
}
