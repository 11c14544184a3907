/* Renting and returning machines, and what the cloud says of them. */
#include "coordination/state.h"
#include "protocol/jsonx.h"
#include <string.h>

#define REFUSED_S 8.0

gboolean
hr_types_load (HrCore *c, const json_t *o)
{
  GArray *types = hr_types_parse (o, c->names);
  if (!types)
    return FALSE;
  g_clear_pointer (&c->types, g_array_unref);
  c->types = types;
  return TRUE;
}

static void
on_types_saved (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->types_saved = status == 200;
}

static void
on_types (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->types_asked = FALSE;
  if (status != 200 || !hr_types_load (c, body)) {
    c->types_at = c->now - (c->types ? 25 : 29);
    if (!c->types)
      g_info ("the cloud did not say which machine types there are");
    return;
  }
  /* Kept in the ledger, so that a node that starts while the cloud is down can decide. */
  if (c->leads && !c->types_stamp && !c->types_saved) {
    c->types_saved = TRUE;
    json_t *when = hr_cond (hr_cond (json_array (), "h/types", 0), "h/map", c->map_stamp);
    json_t *writes = hr_set (json_array (), "h/types", json_dumps (body, JSON_COMPACT), 0);
    hr_commit (c, HR_TXN_BOOKS, when, writes, 1, 2, on_types_saved, NULL);
  }
}

void
hr_fleet_add (HrCore *c, HrMachine *m)
{
  m->known_at = c->now;
  m->listed_at = 0;
  g_ptr_array_add (c->fleet, m);
}

void
hr_machine_gone (HrCore *c, HrMachine *m, const char *why)
{
  hr_absence_sessions (c, m, G_MAXUINT32, why);
  m->state = HR_M_GONE;
  m->deleted = TRUE;
  for (guint i = 0; i < m->list->len; i++) {
    HrRef r = g_array_index (m->list, HrRef, i);
    HrJob *j = c->jobs->pdata[r.job];
    hr_unplan (j, r.task);
  }
  g_array_set_size (m->list, 0);
  g_ptr_array_remove_fast (c->fleet, m);
  c->plan_dirty = TRUE;
  g_debug ("%s is gone: %s", m->name, why);
}

typedef struct {
  double led_at;
  guint n;
  guint32 machines[100];
} Deletion;

static void
on_deleted (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  g_autofree Deletion *d = data;
  c->deletes_out--;
  if (!c->leads || d->led_at != c->led_at)
    return;
  for (guint i = 0; i < d->n; i++) {
    HrMachine *m = c->machines->pdata[d->machines[i]];
    if (m->state != HR_M_DELETING)
      continue;
    if (status == 200)
      hr_machine_gone (c, m, "the cloud deleted its machine");
    else
      m->delete_out = FALSE; /* to be asked again */
  }
  if (status != 200)
    c->rent_at = MAX (c->rent_at, c->now + 0.5);
}

/* The machine takes no more work from here on; the call goes out with the next tick. */
void
hr_fleet_delete (HrCore *c, HrMachine *m, const char *why)
{
  if (m->state == HR_M_DELETING || m->state == HR_M_GONE)
    return;
  g_info ("%s is returned: %s", m->name, why);
  m->state = HR_M_DELETING;
  m->delete_out = FALSE;
  c->plan_dirty = TRUE;
}

static void
send_deletes (HrCore *c)
{
  if (c->deletes_out >= 2 || c->now < c->rent_at)
    return;
  Deletion *d = g_new0 (Deletion, 1);
  json_t *names = json_array ();
  d->led_at = c->led_at;
  for (guint i = 0; i < c->fleet->len && d->n < G_N_ELEMENTS (d->machines); i++) {
    HrMachine *m = c->fleet->pdata[i];
    if (m->state != HR_M_DELETING || m->delete_out)
      continue;
    m->delete_out = TRUE;
    json_array_append_new (names, json_string (m->name));
    d->machines[d->n++] = m->idx;
  }
  if (!d->n || !hr_bucket_take (&c->cloud_bucket, c->now, 1, 0)) {
    for (guint i = 0; i < d->n; i++)
      ((HrMachine *)c->machines->pdata[d->machines[i]])->delete_out = FALSE;
    json_decref (names);
    g_free (d);
    return;
  }
  c->deletes_out++;
  hr_call (c, HR_TO_CLOUD, NULL, HR_POST, g_strdup ("/rentals/delete"),
           hr_json_take_text (json_pack ("{so}", "rockhands", names)), 5, on_deleted, d);
}

/* ---- renting ---- */

gboolean
hr_fleet_refused (const HrCore *c, guint32 type, guint32 zone, gboolean spot)
{
  const HrType *t = hr_type_by_name (c, type);
  if (zone == HR_NONE) {
    for (guint i = 0; t && i < t->zones->len; i++)
      if (!hr_fleet_refused (c, type, g_array_index (t->zones, guint32, i), spot))
        return FALSE;
    return TRUE;
  }
  for (guint i = 0; i < c->refused->len; i++) {
    const HrRefusal *r = &g_array_index (c->refused, HrRefusal, i);
    if (r->type == type && r->zone == zone && r->spot == spot && c->now < r->until)
      return TRUE;
  }
  return FALSE;
}

static void
refuse (HrCore *c, guint32 type, guint32 zone, gboolean spot)
{
  HrRefusal *r = NULL;
  for (guint i = 0; i < c->refused->len && !r; i++) {
    HrRefusal *x = &g_array_index (c->refused, HrRefusal, i);
    if (x->type == type && x->zone == zone && x->spot == spot)
      r = x;
  }
  if (!r) {
    g_array_set_size (c->refused, c->refused->len + 1);
    r = &g_array_index (c->refused, HrRefusal, c->refused->len - 1);
  }
  *r = (HrRefusal){type, zone, spot, c->now + REFUSED_S};
}

typedef struct {
  double led_at;
  char *name;
  guint32 type, zone;
  gboolean spot;
  guint count;
} Rental;

static void send_rental (HrCore *c, Rental *r);

static void
rental_free (HrCore *c, Rental *r)
{
  c->asks_out -= r->count;
  g_free (r->name);
  g_free (r);
}

static void
on_rented (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  Rental *r = data;
  if (!c->leads || r->led_at != c->led_at) {
    rental_free (c, r); /* what it rented shows up in the list */
    return;
  }
  if (status == 200) {
    json_t *list = json_object_get (body, "rockhands"), *e;
    size_t i;
    json_array_foreach (list, i, e)
    {
      const char *name = json_string_value (e);
      HrMachine *m = name ? hr_machine_get (c, name) : NULL;
      if (!m || m->state != HR_M_GONE || m->deleted)
        continue; /* it may have reported before this answer came */
      hr_machine_describe (m, hr_type_by_name (c, r->type), r->zone, r->spot);
      m->state = HR_M_BOOTING;
      m->rented_here = TRUE;
      m->rented_at = sent;
      hr_fleet_add (c, m);
    }
    g_info ("rented %zu of %u %s%s in %s", json_array_size (list), r->count, r->spot ? "spot " : "",
            hr_intern_name (&c->names->types, r->type), hr_intern_name (&c->names->zones, r->zone));
    if (json_array_size (list) < r->count)
      refuse (c, r->type, r->zone, r->spot);
    c->plan_dirty = TRUE;
  } else if (status == 503 && g_strcmp0 (hr_json_str (body, "error"), "no capacity") == 0) {
    g_info ("no capacity for %s%s in %s", r->spot ? "spot " : "",
            hr_intern_name (&c->names->types, r->type), hr_intern_name (&c->names->zones, r->zone));
    refuse (c, r->type, r->zone, r->spot);
    c->plan_dirty = TRUE;
  } else if (status == 400)
    g_warning ("the cloud calls a rental malformed");
  else {
    /* No answer, trouble or too many calls: the same name again, which rents once. Not at once: a
     * cloud in trouble answers in no time, and the calls would use up those of the next minutes. */
    c->rent_at = c->now + g_rand_double_range (c->rand, 0.5, 1.5);
    g_queue_push_tail (&c->rentals_again, r);
    return;
  }
  rental_free (c, r);
}

/* One call of the cloud's allowance was taken for it. */
static void
send_rental (HrCore *c, Rental *r)
{
  hr_call (c, HR_TO_CLOUD, NULL, HR_POST, g_strdup ("/rentals"),
           hr_json_take_text (json_pack ("{sssssssbsi}", "ask", r->name, "hull",
                                         hr_intern_name (&c->names->types, r->type), "quarry",
                                         hr_intern_name (&c->names->zones, r->zone), "loaners",
                                         r->spot, "count", (int)r->count)),
           6, on_rented, r);
}

void
hr_fleet_want (HrCore *c, guint32 type, guint32 zone, gboolean spot, guint count)
{
  HrWant w = {type, zone, spot, count};
  if (count)
    g_array_append_val (c->wants, w);
}

/* The zone with capacity that holds the fewest of our machines, those asked for in this
 * round (by zone) included. The controllers' own zone takes twice its share: behind a cut
 * of it, its workers still hear the owner (hr_leader_may_answer). */
static guint32
best_zone (HrCore *c, const HrType *t, gboolean spot, const guint *asked)
{
  guint32 best = HR_NONE;
  guint least = G_MAXUINT;
  for (guint i = 0; i < t->zones->len; i++) {
    guint32 z = g_array_index (t->zones, guint32, i);
    guint n = asked[z];
    if (hr_fleet_refused (c, t->type, z, spot))
      continue;
    for (guint k = 0; k < c->fleet->len; k++) {
      HrMachine *m = c->fleet->pdata[k];
      n += m->type == t->type && m->zone == z;
    }
    if (z == c->set->home)
      n /= 2;
    if (n < least) {
      least = n;
      best = z;
    }
  }
  return best;
}

/* Rentals without a clear answer, once their pause is over. */
static void
rent_again (HrCore *c)
{
  while (!g_queue_is_empty (&c->rentals_again) && c->now >= c->rent_at) {
    Rental *r = g_queue_peek_head (&c->rentals_again);
    if (r->led_at == c->led_at && !hr_bucket_take (&c->cloud_bucket, c->now, 1, 0))
      return;
    g_queue_pop_head (&c->rentals_again);
    if (r->led_at == c->led_at)
      send_rental (c, r);
    else
      rental_free (c, r);
  }
}

void
hr_fleet_clear (HrCore *c)
{
  Rental *r;
  while ((r = g_queue_pop_head (&c->rentals_again)))
    rental_free (c, r);
}

static void
rent (HrCore *c)
{
  /* What an earlier owner rented shows in the list: look before renting. The
   * very first owner has nothing to look for. */
  gboolean looked =
      c->led_baton == 1 || (c->list_complete && c->now - c->led_at > c->set->list_lag_s);
  if (!looked || c->asks_out || c->now < c->rent_at || !hr_follow_served (c))
    return;
  g_autofree guint *asked = g_new0 (guint, c->names->zones.names->len + 1);
  for (guint i = 0; i < c->wants->len; i++) {
    HrWant *w = &g_array_index (c->wants, HrWant, i);
    const HrType *t = hr_type_by_name (c, w->type);
    guint share = t ? MAX (1, (w->count + t->zones->len - 1) / t->zones->len) : 0;
    while (t && w->count && hr_bucket_take (&c->cloud_bucket, c->now, 1, 0)) {
      guint32 z = w->zone == HR_NONE ? best_zone (c, t, w->spot, asked) : w->zone;
      if (z == HR_NONE || hr_fleet_refused (c, w->type, z, w->spot))
        break;
      /* Spread over the zones: a zone may be short, or fall away. */
      guint n = MIN (w->count, 50);
      if (w->zone == HR_NONE && t->zones->len > 1)
        n = MIN (n, share);
      asked[z] += n;
      Rental *r = g_new0 (Rental, 1);
      r->led_at = c->led_at;
      r->name =
          g_strdup_printf ("%s.%s.%" G_GUINT64_FORMAT, c->set->label, c->incarnation, ++c->ask);
      r->type = w->type;
      r->zone = z;
      r->spot = w->spot;
      r->count = n;
      c->asks_out += n;
      w->count -= n;
      send_rental (c, r);
    }
  }
  g_array_set_size (c->wants, 0);
}

/* ---- the list ---- */

static void on_list (HrCore *c, int status, json_t *body, double sent, gpointer data);

static void
ask_list (HrCore *c)
{
  c->listing = TRUE;
  char *path = c->list_after ? g_strdup_printf ("/rentals?after=%s&limit=500", c->list_after)
                             : g_strdup ("/rentals?limit=500");
  hr_call (c, HR_TO_CLOUD, NULL, HR_GET, path, NULL, 5, on_list, NULL);
}

static void
listed (HrCore *c, const HrListed *e)
{
  HrMachine *m = hr_machine_get (c, e->name);
  if (m->deleted || m->state == HR_M_DELETING)
    return; /* lists lag: it is being returned, or was */
  if (e->state == HR_M_FAILED) {
    if (m->state == HR_M_GONE)
      hr_fleet_add (c, m);
    m->state = HR_M_UP;
    hr_fleet_delete (c, m, "it failed");
    return;
  }
  guint32 type = hr_intern_find (&c->names->types, e->type);
  const HrType *t = type == HR_NONE ? NULL : hr_type_by_name (c, type);
  if (!t)
    return;
  /* Also of a machine that only records name so far: its zone counts for others. */
  hr_machine_describe (m, t, hr_intern (&c->names->zones, e->zone), e->spot);
  if (m->state != HR_M_GONE) {
    m->listed_at = c->list_at;
    return;
  }
  m->state = HR_M_BOOTING; /* until its worker reports */
  m->rented_at = c->now - MIN (e->age, t->boot_s * 0.6);
  if (e->state == HR_M_STARTING)
    m->rented_at = c->now - e->age;
  hr_fleet_add (c, m);
  m->listed_at = c->list_at;
  c->plan_dirty = TRUE;
  g_info ("%s is in the cloud's list and was not expected; it is taken on", m->name);
}

static void
on_list (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->listing = FALSE;
  if (!c->leads) {
    g_clear_pointer (&c->list_after, g_free); /* the next term begins with a pass of its own */
    return;
  }
  json_t *list = json_object_get (body, "rockhands"), *o;
  if (status != 200 || !json_is_array (list)) {
    g_clear_pointer (&c->list_after, g_free);
    return;
  }
  gboolean more = FALSE;
  size_t i;
  hr_json_bool (body, "more", &more);
  json_array_foreach (list, i, o)
  {
    HrListed e;
    if (!hr_listed_parse (o, &e)) {
      g_info ("an entry of the cloud's list makes no sense; dropped");
      continue;
    }
    listed (c, &e);
    g_free (c->list_after);
    c->list_after = g_strdup (e.name);
  }
  if (more && json_array_size (list)) {
    ask_list (c);
    return;
  }
  g_clear_pointer (&c->list_after, g_free);
  c->listed_at = c->list_at;
  if (c->list_at >= c->led_at + c->set->list_lag_s)
    c->list_complete = TRUE;
}

static void
give_up_boots (HrCore *c)
{
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    const HrType *t = hr_type (c, m);
    /* After a cut of our own: it may be up, and its worker has to find us first. */
    if (m->state == HR_M_BOOTING && t && hr_follow_served (c) &&
        c->now - m->rented_at > t->boot_s * c->pol.boot_limit &&
        c->now - c->served_since > c->pol.silent_s)
      hr_fleet_delete (c, m, "it does not come up");
  }
}

void
hr_fleet_tick (HrCore *c)
{
  if (!c->types_asked && (c->now - c->types_at > 30 || !c->types_at)) {
    c->types_asked = TRUE;
    c->types_at = c->now;
    hr_call (c, HR_TO_CLOUD, NULL, HR_GET, g_strdup ("/machine_types"), NULL, 5, on_types, NULL);
  }
  if (!c->leads || !hr_leader_may_answer (c))
    return;
  double gap = c->list_complete ? MAX (4, c->set->list_lag_s) : 1;
  if (!c->listing && c->now - c->list_at > gap && hr_bucket_take (&c->cloud_bucket, c->now, 1, 1)) {
    c->list_at = c->now;
    ask_list (c);
  }
  give_up_boots (c);
  send_deletes (c);
  rent_again (c);
  rent (c);
  /* Time alone moves the plan too: pauses end, idle machines age. */
  if (c->now - c->planned_at > 1)
    c->plan_dirty = TRUE;
}
