/* The cloud's list of machines, read page by page again and again. It lags, and is weak evidence.
 */
#include "coordination/state.h"
#include "protocol/json_util.h"

static void on_list (HrCore *c, int status, json_t *body, double sent, gpointer data);

static void
ask_list (HrCore *c)
{
  c->scaling.list_in_flight = TRUE;
  char *path = c->scaling.list_cursor
                   ? g_strdup_printf ("/rentals?after=%s&limit=500", c->scaling.list_cursor)
                   : g_strdup ("/rentals?limit=500");
  hr_core_call (c, HR_TO_CLOUD, NULL, HR_GET, path, NULL, 5, on_list, NULL);
}

static void
listed (HrCore *c, const HrListedInstance *e)
{
  HrMachine *m = hr_machine_get (c, e->name);
  if (m->instance.is_deleted || m->state == HR_MACHINE_DELETING)
    return; /* lists lag: it is being returned, or was */
  if (e->state == HR_INSTANCE_FAILED) {
    if (m->state == HR_MACHINE_GONE)
      hr_fleet_add (c, m);
    m->state = HR_MACHINE_UP;
    hr_fleet_delete (c, m, "it failed");
    return;
  }
  guint32 type = hr_intern_find (&c->names->types, e->type);
  const HrMachineType *t = type == HR_NONE ? NULL : hr_machine_type_find (c, type);
  if (!t)
    return;
  /* Also of a machine that only records name so far: its zone counts for others. */
  hr_machine_describe (m, t, hr_intern (&c->names->zones, e->zone), e->is_spot);
  if (m->state != HR_MACHINE_GONE) {
    m->instance.listed_at = c->scaling.list_requested_at;
    return;
  }
  m->state = HR_MACHINE_BOOTING; /* until its worker reports */
  m->instance.requested_at = c->now - MIN (e->age, t->boot_s * 0.6);
  if (e->state == HR_INSTANCE_STARTING)
    m->instance.requested_at = c->now - e->age;
  hr_fleet_add (c, m);
  m->instance.listed_at = c->scaling.list_requested_at;
  c->scheduling.plan_is_stale = TRUE;
  g_info ("%s is in the cloud's list and was not expected; it is taken on", m->name);
}

static void
on_list (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->scaling.list_in_flight = FALSE;
  if (!c->leadership.is_leader) {
    g_clear_pointer (&c->scaling.list_cursor,
                     g_free); /* the next term begins with a pass of its own */
    return;
  }
  json_t *list = json_object_get (body, "rockhands"), *o;
  if (status != 200 || !json_is_array (list)) {
    g_clear_pointer (&c->scaling.list_cursor, g_free);
    return;
  }
  gboolean more = FALSE;
  size_t i;
  hr_json_bool (body, "more", &more);
  json_array_foreach (list, i, o)
  {
    HrListedInstance e;
    if (!hr_listed_instance_parse (o, &e)) {
      g_info ("an entry of the cloud's list makes no sense; dropped");
      continue;
    }
    listed (c, &e);
    g_free (c->scaling.list_cursor);
    c->scaling.list_cursor = g_strdup (e.name);
  }
  if (more && json_array_size (list)) {
    ask_list (c);
    return;
  }
  g_clear_pointer (&c->scaling.list_cursor, g_free);
  c->scaling.listed_at = c->scaling.list_requested_at;
  if (c->scaling.list_requested_at >= c->leadership.term_began_at + c->settings->list_lag_s)
    c->scaling.list_is_complete = TRUE;
}

/* Passes through the list follow one another; until one is complete since the term began, at once.
 */
void
hr_instance_list_tick (HrCore *c)
{
  double gap = c->scaling.list_is_complete ? MAX (4, c->settings->list_lag_s) : 1;
  if (!c->scaling.list_in_flight && c->now - c->scaling.list_requested_at > gap &&
      hr_token_bucket_take (&c->scaling.allowance, c->now, 1, 1)) {
    c->scaling.list_requested_at = c->now;
    ask_list (c);
  }
}
