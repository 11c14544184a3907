/* Renting machines: each request under a name of its own, repeated until it has a clear answer. */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

/* Where the cloud had no capacity it is asked again after so many seconds. */
#define CAPACITY_REFUSAL_S 8.0

gboolean
hr_capacity_is_refused (const HrCore *c, guint32 type, guint32 zone, gboolean spot)
{
  const HrMachineType *t = hr_machine_type_find (c, type);
  if (zone == HR_NONE) {
    for (guint i = 0; t && i < t->zones->len; i++)
      if (!hr_capacity_is_refused (c, type, g_array_index (t->zones, guint32, i), spot))
        return FALSE;
    return TRUE;
  }
  for (guint i = 0; i < c->scaling.capacity_refusals->len; i++) {
    const HrCapacityRefusal *r =
        &g_array_index (c->scaling.capacity_refusals, HrCapacityRefusal, i);
    if (r->type == type && r->zone == zone && r->is_spot == spot && c->now < r->until)
      return TRUE;
  }
  return FALSE;
}

static void
note_capacity_refusal (HrCore *c, guint32 type, guint32 zone, gboolean spot)
{
  HrCapacityRefusal *r = NULL;
  for (guint i = 0; i < c->scaling.capacity_refusals->len && !r; i++) {
    HrCapacityRefusal *x = &g_array_index (c->scaling.capacity_refusals, HrCapacityRefusal, i);
    if (x->type == type && x->zone == zone && x->is_spot == spot)
      r = x;
  }
  if (!r) {
    g_array_set_size (c->scaling.capacity_refusals, c->scaling.capacity_refusals->len + 1);
    r = &g_array_index (c->scaling.capacity_refusals, HrCapacityRefusal,
                        c->scaling.capacity_refusals->len - 1);
  }
  *r = (HrCapacityRefusal){type, zone, spot, c->now + CAPACITY_REFUSAL_S};
}

typedef struct {
  double term_began_at;
  char *name;
  guint32 type, zone;
  gboolean is_spot;
  guint count;
} Rental;

static void send_instance_request (HrCore *c, Rental *r);

static void
instance_request_free (HrCore *c, Rental *r)
{
  c->scaling.instances_requested -= r->count;
  g_free (r->name);
  g_free (r);
}

static void
on_instances_answer (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  Rental *r = data;
  if (!c->leadership.is_leader || r->term_began_at != c->leadership.term_began_at) {
    instance_request_free (c, r); /* what it rented shows up in the list */
    return;
  }
  if (status == 200) {
    json_t *list = json_object_get (body, "rockhands"), *e;
    size_t i;
    json_array_foreach (list, i, e)
    {
      const char *name = json_string_value (e);
      HrMachine *m = name ? hr_machine_get (c, name) : NULL;
      if (!m || m->state != HR_MACHINE_GONE || m->instance.is_deleted)
        continue; /* it may have reported before this answer came */
      hr_machine_describe (m, hr_machine_type_find (c, r->type), r->zone, r->is_spot);
      m->state = HR_MACHINE_BOOTING;
      m->instance.requested_here = TRUE;
      m->instance.requested_at = sent;
      hr_fleet_add (c, m);
    }
    g_info ("rented %zu of %u %s%s in %s", json_array_size (list), r->count,
            r->is_spot ? "spot " : "", hr_intern_name (&c->names->types, r->type),
            hr_intern_name (&c->names->zones, r->zone));
    if (json_array_size (list) < r->count)
      note_capacity_refusal (c, r->type, r->zone, r->is_spot);
    c->scheduling.plan_is_stale = TRUE;
  } else if (status == 503 && g_strcmp0 (hr_json_str (body, "error"), "no capacity") == 0) {
    g_info ("no capacity for %s%s in %s", r->is_spot ? "spot " : "",
            hr_intern_name (&c->names->types, r->type), hr_intern_name (&c->names->zones, r->zone));
    note_capacity_refusal (c, r->type, r->zone, r->is_spot);
    c->scheduling.plan_is_stale = TRUE;
  } else if (status == 400)
    g_warning ("the cloud calls a rental malformed");
  else {
    /* No answer, trouble or too many calls: the same name again, which rents once. Not at once: a
     * cloud in trouble answers in no time, and the calls would use up those of the next minutes. */
    c->scaling.paused_until = c->now + g_rand_double_range (c->random, 0.5, 1.5);
    g_queue_push_tail (&c->scaling.requests_to_retry, r);
    return;
  }
  instance_request_free (c, r);
}

/* One call of the cloud's allowance was taken for it. */
static void
send_instance_request (HrCore *c, Rental *r)
{
  hr_core_call (c, HR_TO_CLOUD, NULL, HR_POST, g_strdup ("/rentals"),
                hr_json_take_text (json_pack ("{sssssssbsi}", "ask", r->name, "hull",
                                              hr_intern_name (&c->names->types, r->type), "quarry",
                                              hr_intern_name (&c->names->zones, r->zone), "loaners",
                                              r->is_spot, "count", (int)r->count)),
                6, on_instances_answer, r);
}

void
hr_demand_add (HrCore *c, guint32 type, guint32 zone, gboolean spot, guint count)
{
  HrDemand w = {type, zone, spot, count};
  if (count)
    g_array_append_val (c->scaling.demand, w);
}

/* The zone with capacity that holds the fewest of our machines, those asked for in this
 * round (by zone) included. The controllers' own zone takes twice its share: behind a cut
 * of it, its workers still hear the owner (hr_leadership_may_answer). */
static guint32
best_zone (HrCore *c, const HrMachineType *t, gboolean spot, const guint *asked)
{
  guint32 best = HR_NONE;
  guint least = G_MAXUINT;
  for (guint i = 0; i < t->zones->len; i++) {
    guint32 z = g_array_index (t->zones, guint32, i);
    guint n = asked[z];
    if (hr_capacity_is_refused (c, t->type, z, spot))
      continue;
    for (guint k = 0; k < c->scaling.fleet->len; k++) {
      HrMachine *m = c->scaling.fleet->pdata[k];
      n += m->type == t->type && m->zone == z;
    }
    if (z == c->settings->home)
      n /= 2;
    if (n < least) {
      least = n;
      best = z;
    }
  }
  return best;
}

/* Rentals without a clear answer, once their pause is over. */
void
hr_instance_requests_retry (HrCore *c)
{
  while (!g_queue_is_empty (&c->scaling.requests_to_retry) && c->now >= c->scaling.paused_until) {
    Rental *r = g_queue_peek_head (&c->scaling.requests_to_retry);
    if (r->term_began_at == c->leadership.term_began_at &&
        !hr_token_bucket_take (&c->scaling.allowance, c->now, 1, 0))
      return;
    g_queue_pop_head (&c->scaling.requests_to_retry);
    if (r->term_began_at == c->leadership.term_began_at)
      send_instance_request (c, r);
    else
      instance_request_free (c, r);
  }
}

void
hr_instance_requests_clear (HrCore *c)
{
  Rental *r;
  while ((r = g_queue_pop_head (&c->scaling.requests_to_retry)))
    instance_request_free (c, r);
}

void
hr_instance_requests_send (HrCore *c)
{
  /* What an earlier owner rented shows in the list: look before renting. The
   * very first owner has nothing to look for. */
  gboolean looked = c->leadership.term_token == 1 ||
                    (c->scaling.list_is_complete &&
                     c->now - c->leadership.term_began_at > c->settings->list_lag_s);
  if (!looked || c->scaling.instances_requested || c->now < c->scaling.paused_until ||
      !hr_replica_is_served (c))
    return;
  g_autofree guint *asked = g_new0 (guint, c->names->zones.names->len + 1);
  for (guint i = 0; i < c->scaling.demand->len; i++) {
    HrDemand *w = &g_array_index (c->scaling.demand, HrDemand, i);
    const HrMachineType *t = hr_machine_type_find (c, w->type);
    guint share = t ? MAX (1, (w->count + t->zones->len - 1) / t->zones->len) : 0;
    while (t && w->count && hr_token_bucket_take (&c->scaling.allowance, c->now, 1, 0)) {
      guint32 z = w->zone == HR_NONE ? best_zone (c, t, w->is_spot, asked) : w->zone;
      if (z == HR_NONE || hr_capacity_is_refused (c, w->type, z, w->is_spot))
        break;
      /* Spread over the zones: a zone may be short, or fall away. */
      guint n = MIN (w->count, 50);
      if (w->zone == HR_NONE && t->zones->len > 1)
        n = MIN (n, share);
      asked[z] += n;
      Rental *r = g_new0 (Rental, 1);
      r->term_began_at = c->leadership.term_began_at;
      r->name = g_strdup_printf ("%s.%s.%" G_GUINT64_FORMAT, c->settings->label, c->incarnation,
                                 ++c->scaling.last_request);
      r->type = w->type;
      r->zone = z;
      r->is_spot = w->is_spot;
      r->count = n;
      c->scaling.instances_requested += n;
      w->count -= n;
      send_instance_request (c, r);
    }
  }
  g_array_set_size (c->scaling.demand, 0);
}
