/* The fleet: which machines there are, their types, and returning them. */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

gboolean
hr_machine_types_load (HrCore *c, const json_t *o)
{
  GArray *types = hr_machine_types_parse (o, c->names);
  if (!types)
    return FALSE;
  g_clear_pointer (&c->types, g_array_unref);
  c->types = types;
  return TRUE;
}

static void
on_machine_types_saved (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->types_saved = status == 200;
}

static void
on_machine_types (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->types_asked = FALSE;
  if (status != 200 || !hr_machine_types_load (c, body)) {
    c->types_at = c->now - (c->types ? 25 : 29);
    if (!c->types)
      g_info ("the cloud did not say which machine types there are");
    return;
  }
  /* Kept in the ledger, so that a node that starts while the cloud is down can decide. */
  if (c->leads && !c->types_stamp && !c->types_saved) {
    c->types_saved = TRUE;
    json_t *when = hr_transaction_require (hr_transaction_require (json_array (), "h/types", 0),
                                           "h/map", c->map_stamp);
    json_t *writes =
        hr_transaction_put (json_array (), "h/types", json_dumps (body, JSON_COMPACT), 0);
    hr_transaction_submit (c, HR_TRANSACTION_BOOKKEEPING, when, writes, 1, 2,
                           on_machine_types_saved, NULL);
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
  hr_termination_incarnations_over (c, m, G_MAXUINT32, why);
  m->state = HR_MACHINE_GONE;
  m->deleted = TRUE;
  for (guint i = 0; i < m->list->len; i++) {
    HrTaskRef r = g_array_index (m->list, HrTaskRef, i);
    HrJob *j = c->jobs->pdata[r.job];
    hr_task_unplan (j, r.task);
  }
  g_array_set_size (m->list, 0);
  g_ptr_array_remove_fast (c->fleet, m);
  c->plan_dirty = TRUE;
  g_debug ("%s is gone: %s", m->name, why);
}

typedef struct {
  double term_began_at;
  guint n;
  guint32 machines[100];
} Deletion;

static void
on_deleted (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  g_autofree Deletion *d = data;
  c->deletes_out--;
  if (!c->leads || d->term_began_at != c->led_at)
    return;
  for (guint i = 0; i < d->n; i++) {
    HrMachine *m = c->machines->pdata[d->machines[i]];
    if (m->state != HR_MACHINE_DELETING)
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
  if (m->state == HR_MACHINE_DELETING || m->state == HR_MACHINE_GONE)
    return;
  g_info ("%s is returned: %s", m->name, why);
  m->state = HR_MACHINE_DELETING;
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
  d->term_began_at = c->led_at;
  for (guint i = 0; i < c->fleet->len && d->n < G_N_ELEMENTS (d->machines); i++) {
    HrMachine *m = c->fleet->pdata[i];
    if (m->state != HR_MACHINE_DELETING || m->delete_out)
      continue;
    m->delete_out = TRUE;
    json_array_append_new (names, json_string (m->name));
    d->machines[d->n++] = m->idx;
  }
  if (!d->n || !hr_token_bucket_take (&c->cloud_bucket, c->now, 1, 0)) {
    for (guint i = 0; i < d->n; i++)
      ((HrMachine *)c->machines->pdata[d->machines[i]])->delete_out = FALSE;
    json_decref (names);
    g_free (d);
    return;
  }
  c->deletes_out++;
  hr_core_call (c, HR_TO_CLOUD, NULL, HR_POST, g_strdup ("/rentals/delete"),
                hr_json_take_text (json_pack ("{so}", "rockhands", names)), 5, on_deleted, d);
}

static void
give_up_boots (HrCore *c)
{
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    const HrMachineType *t = hr_machine_type_of (c, m);
    /* After a cut of our own: it may be up, and its worker has to find us first. */
    if (m->state == HR_MACHINE_BOOTING && t && hr_replica_is_served (c) &&
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
    hr_core_call (c, HR_TO_CLOUD, NULL, HR_GET, g_strdup ("/machine_types"), NULL, 5,
                  on_machine_types, NULL);
  }
  if (!c->leads || !hr_leadership_may_answer (c))
    return;
  hr_instance_list_tick (c);
  give_up_boots (c);
  send_deletes (c);
  hr_instance_requests_retry (c);
  hr_instance_requests_send (c);
  /* Time alone moves the plan too: pauses end, idle machines age. */
  if (c->now - c->planned_at > 1)
    c->plan_dirty = TRUE;
}
