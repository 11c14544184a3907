/* The cloud's list of machines, read page by page again and again. It lags, and is weak evidence.
 */
#include "coordination/state.h"
#include "protocol/json_util.h"

static void on_list (HrCore *c, int status, json_t *body, double sent, gpointer data);

static void
ask_list (HrCore *c)
{
  c->listing = TRUE;
  char *path = c->list_after ? g_strdup_printf ("/rentals?after=%s&limit=500", c->list_after)
                             : g_strdup ("/rentals?limit=500");
  hr_core_call (c, HR_TO_CLOUD, NULL, HR_GET, path, NULL, 5, on_list, NULL);
}

static void
listed (HrCore *c, const HrListedInstance *e)
{
  HrMachine *m = hr_machine_get (c, e->name);
  if (m->deleted || m->state == HR_MACHINE_DELETING)
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
    m->listed_at = c->list_at;
    return;
  }
  m->state = HR_MACHINE_BOOTING; /* until its worker reports */
  m->rented_at = c->now - MIN (e->age, t->boot_s * 0.6);
  if (e->state == HR_INSTANCE_STARTING)
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
    HrListedInstance e;
    if (!hr_listed_instance_parse (o, &e)) {
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

/* Passes through the list follow one another; until one is complete since the term began, at once.
 */
void
hr_instance_list_tick (HrCore *c)
{
  double gap = c->list_complete ? MAX (4, c->set->list_lag_s) : 1;
  if (!c->listing && c->now - c->list_at > gap &&
      hr_token_bucket_take (&c->cloud_bucket, c->now, 1, 1)) {
    c->list_at = c->now;
    ask_list (c);
  }
}
