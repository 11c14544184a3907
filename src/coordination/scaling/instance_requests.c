/* Renting machines: each request under a name of its own, repeated until it has a clear answer. */
#include "coordination/scaling/instance_requests.h"
#include "bookkeeping/replica.h"
#include "coordination/effects.h"
#include "coordination/scaling/fleet.h"
#include "coordination/state.h"
#include "protocol/cloud.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include <string.h>

/* Where the cloud had no capacity it is asked again after so many seconds. */
#define CAPACITY_REFUSAL_S 8.0

gboolean
hr_capacity_is_refused (const HrCore *core, guint32 type, guint32 zone, gboolean spot)
{
  const HrMachineType *machine_type = hr_machine_type_find (core, type);
  if (zone == HR_NONE) {
    for (guint i = 0; machine_type && i < machine_type->zones->len; i++)
      if (!hr_capacity_is_refused (core, type, g_array_index (machine_type->zones, guint32, i),
                                   spot))
        return FALSE;
    return TRUE;
  }
  for (guint i = 0; i < core->scaling.capacity_refusals->len; i++) {
    const HrCapacityRefusal *refusal =
        &g_array_index (core->scaling.capacity_refusals, HrCapacityRefusal, i);
    if (refusal->type == type && refusal->zone == zone && refusal->is_spot == spot &&
        core->now < refusal->until)
      return TRUE;
  }
  return FALSE;
}

static void
note_capacity_refusal (HrCore *core, guint32 type, guint32 zone, gboolean spot)
{
  HrCapacityRefusal *refusal = NULL;
  for (guint i = 0; i < core->scaling.capacity_refusals->len && !refusal; i++) {
    HrCapacityRefusal *other =
        &g_array_index (core->scaling.capacity_refusals, HrCapacityRefusal, i);
    if (other->type == type && other->zone == zone && other->is_spot == spot)
      refusal = other;
  }
  if (!refusal) {
    g_array_set_size (core->scaling.capacity_refusals, core->scaling.capacity_refusals->len + 1);
    refusal = &g_array_index (core->scaling.capacity_refusals, HrCapacityRefusal,
                              core->scaling.capacity_refusals->len - 1);
  }
  *refusal = (HrCapacityRefusal){type, zone, spot, core->now + CAPACITY_REFUSAL_S};
}

typedef struct {
  double term_began_at;
  char *name;
  guint32 type, zone;
  gboolean is_spot;
  guint count;
} Rental;

static void send_instance_request (HrCore *core, Rental *request);

static void
instance_request_free (HrCore *core, Rental *request)
{
  core->scaling.instances_requested -= request->count;
  g_free (request->name);
  g_free (request);
}

static void
on_instances_answer (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  Rental *request = data;
  if (!core->leadership.is_leader || request->term_began_at != core->leadership.term_began_at) {
    instance_request_free (core, request); /* what it rented shows up in the list */
    return;
  }
  if (status == 200) {
    const json_t *list = hr_instances_granted (body);
    json_t *entry;
    size_t i;
    json_array_foreach (list, i, entry)
    {
      const char *name = json_string_value (entry);
      HrMachine *machine = name ? hr_machine_get (&core->store.tables, name) : NULL;
      if (!machine || machine->state != HR_MACHINE_GONE || machine->instance.is_deleted)
        continue; /* it may have reported before this answer came */
      hr_machine_describe (machine, hr_machine_type_find (core, request->type), request->zone,
                           request->is_spot);
      machine->state = HR_MACHINE_BOOTING;
      machine->instance.requested_here = TRUE;
      machine->instance.requested_at = sent;
      hr_fleet_add (core, machine);
    }
    g_info ("the cloud gave %zu of %u instances: %s%s in %s", json_array_size (list),
            request->count, request->is_spot ? "spot " : "",
            hr_intern_name (&core->names->types, request->type),
            hr_intern_name (&core->names->zones, request->zone));
    if (json_array_size (list) < request->count)
      note_capacity_refusal (core, request->type, request->zone, request->is_spot);
    core->scheduling.plan_is_stale = TRUE;
  } else if (status == 503 && g_strcmp0 (hr_json_str (body, "error"), HR_CLOUD_NO_CAPACITY) == 0) {
    g_info ("no capacity for %s%s in %s", request->is_spot ? "spot " : "",
            hr_intern_name (&core->names->types, request->type),
            hr_intern_name (&core->names->zones, request->zone));
    note_capacity_refusal (core, request->type, request->zone, request->is_spot);
    core->scheduling.plan_is_stale = TRUE;
  } else if (status == 400)
    g_warning ("the cloud calls an instance request malformed");
  else {
    /* No answer, trouble or too many calls: the same name again, which rents once. Not at once: a
     * cloud in trouble answers in no time, and the calls would use up those of the next minutes. */
    core->scaling.paused_until = core->now + g_rand_double_range (core->random, 0.5, 1.5);
    g_queue_push_tail (&core->scaling.requests_to_retry, request);
    return;
  }
  instance_request_free (core, request);
}

/* One call of the cloud's allowance was taken for it. */
static void
send_instance_request (HrCore *core, Rental *request)
{
  HrInstanceRequest message = {request->name, hr_intern_name (&core->names->types, request->type),
                               hr_intern_name (&core->names->zones, request->zone),
                               request->is_spot, request->count};
  hr_core_call (core, HR_TO_CLOUD, NULL, HR_POST, g_strdup (HR_CLOUD_INSTANCES_PATH),
                hr_instance_request_text (&message), 6, on_instances_answer, request);
}

void
hr_demand_add (HrCore *core, guint32 type, guint32 zone, gboolean spot, guint count)
{
  HrDemand demand = {type, zone, spot, count};
  if (count)
    g_array_append_val (core->scaling.demand, demand);
}

/* The zone with capacity that holds the fewest of our machines, those asked for in this
 * round (by zone) included. The controllers' own zone takes twice its share: behind a cut
 * of it, its workers still hear the leader (hr_leadership_may_answer). */
static guint32
best_zone (HrCore *core, const HrMachineType *type, gboolean spot, const guint *asked)
{
  guint32 best = HR_NONE;
  guint least = G_MAXUINT;
  for (guint i = 0; i < type->zones->len; i++) {
    guint32 zone = g_array_index (type->zones, guint32, i);
    guint n = asked[zone];
    if (hr_capacity_is_refused (core, type->type, zone, spot))
      continue;
    for (guint k = 0; k < core->scaling.fleet->len; k++) {
      HrMachine *machine = core->scaling.fleet->pdata[k];
      n += machine->type == type->type && machine->zone == zone;
    }
    if (zone == core->settings->home)
      n /= 2;
    if (n < least) {
      least = n;
      best = zone;
    }
  }
  return best;
}

/* Rentals without a clear answer, once their pause is over. */
void
hr_instance_requests_retry (HrCore *core)
{
  while (!g_queue_is_empty (&core->scaling.requests_to_retry) &&
         core->now >= core->scaling.paused_until) {
    Rental *request = g_queue_peek_head (&core->scaling.requests_to_retry);
    if (request->term_began_at == core->leadership.term_began_at &&
        !hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 0))
      return;
    g_queue_pop_head (&core->scaling.requests_to_retry);
    if (request->term_began_at == core->leadership.term_began_at)
      send_instance_request (core, request);
    else
      instance_request_free (core, request);
  }
}

void
hr_instance_requests_clear (HrCore *core)
{
  Rental *request;
  while ((request = g_queue_pop_head (&core->scaling.requests_to_retry)))
    instance_request_free (core, request);
}

void
hr_instance_requests_send (HrCore *core)
{
  /* What an earlier leader rented shows in the list: look before renting. The
   * very first leader has nothing to look for. */
  gboolean looked = core->leadership.term_token == 1 ||
                    (core->scaling.list_is_complete &&
                     core->now - core->leadership.term_began_at > core->settings->list_lag_s);
  if (!looked || core->scaling.instances_requested || core->now < core->scaling.paused_until ||
      !hr_replica_is_served (&core->store))
    return;
  g_autofree guint *asked = g_new0 (guint, core->names->zones.names->len + 1);
  for (guint i = 0; i < core->scaling.demand->len; i++) {
    HrDemand *demand = &g_array_index (core->scaling.demand, HrDemand, i);
    const HrMachineType *type = hr_machine_type_find (core, demand->type);
    guint share = type ? MAX (1, (demand->count + type->zones->len - 1) / type->zones->len) : 0;
    while (type && demand->count &&
           hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 0)) {
      guint32 zone =
          demand->zone == HR_NONE ? best_zone (core, type, demand->is_spot, asked) : demand->zone;
      if (zone == HR_NONE || hr_capacity_is_refused (core, demand->type, zone, demand->is_spot))
        break;
      /* Spread over the zones: a zone may be short, or fall away. */
      guint n = MIN (demand->count, 50);
      if (demand->zone == HR_NONE && type->zones->len > 1)
        n = MIN (n, share);
      asked[zone] += n;
      Rental *request = g_new0 (Rental, 1);
      request->term_began_at = core->leadership.term_began_at;
      request->name = g_strdup_printf ("%s.%s.%" G_GUINT64_FORMAT, core->settings->label,
                                       core->incarnation, ++core->scaling.last_request);
      request->type = demand->type;
      request->zone = zone;
      request->is_spot = demand->is_spot;
      request->count = n;
      core->scaling.instances_requested += n;
      demand->count -= n;
      send_instance_request (core, request);
    }
  }
  g_array_set_size (core->scaling.demand, 0);
}
