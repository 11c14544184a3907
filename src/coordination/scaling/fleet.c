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
  g_clear_pointer (&c->scaling.machine_types, g_array_unref);
  c->scaling.machine_types = types;
  return TRUE;
}

static void
on_machine_types_saved (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->scaling.types_save_sent = status == 200;
}

static void
on_machine_types (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->scaling.types_in_flight = FALSE;
  if (status != 200 || !hr_machine_types_load (c, body)) {
    c->scaling.types_requested_at = c->now - (c->scaling.machine_types ? 25 : 29);
    if (!c->scaling.machine_types)
      g_info ("the cloud did not say which machine types there are");
    return;
  }
  /* Kept in the ledger, so that a node that starts while the cloud is down can decide. */
  if (c->leadership.is_leader && !c->scaling.types_revision && !c->scaling.types_save_sent) {
    c->scaling.types_save_sent = TRUE;
    json_t *when = hr_transaction_require (hr_transaction_require (json_array (), "h/types", 0),
                                           "h/map", c->leadership.record_revision);
    json_t *writes =
        hr_transaction_put (json_array (), "h/types", json_dumps (body, JSON_COMPACT), 0);
    hr_transaction_submit (c, HR_TRANSACTION_BOOKKEEPING, when, writes, 1, 2,
                           on_machine_types_saved, NULL);
  }
}

void
hr_fleet_add (HrCore *c, HrMachine *m)
{
  m->instance.known_since = c->now;
  m->instance.listed_at = 0;
  g_ptr_array_add (c->scaling.fleet, m);
}

void
hr_machine_gone (HrCore *c, HrMachine *m, const char *why)
{
  hr_termination_incarnations_over (c, m, G_MAXUINT32, why);
  m->state = HR_MACHINE_GONE;
  m->instance.is_deleted = TRUE;
  for (guint i = 0; i < m->plan.list->len; i++) {
    HrTaskRef r = g_array_index (m->plan.list, HrTaskRef, i);
    HrJob *j = c->store.tables.jobs->pdata[r.job];
    hr_task_unplan (j, r.task);
  }
  g_array_set_size (m->plan.list, 0);
  g_ptr_array_remove_fast (c->scaling.fleet, m);
  c->scheduling.plan_is_stale = TRUE;
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
  c->scaling.deletions_in_flight--;
  if (!c->leadership.is_leader || d->term_began_at != c->leadership.term_began_at)
    return;
  for (guint i = 0; i < d->n; i++) {
    HrMachine *m = c->store.tables.machines->pdata[d->machines[i]];
    if (m->state != HR_MACHINE_DELETING)
      continue;
    if (status == 200)
      hr_machine_gone (c, m, "the cloud deleted its machine");
    else
      m->instance.deletion_in_flight = FALSE; /* to be asked again */
  }
  if (status != 200)
    c->scaling.paused_until = MAX (c->scaling.paused_until, c->now + 0.5);
}

/* The machine takes no more work from here on; the call goes out with the next tick. */
void
hr_fleet_delete (HrCore *c, HrMachine *m, const char *why)
{
  if (m->state == HR_MACHINE_DELETING || m->state == HR_MACHINE_GONE)
    return;
  g_info ("%s is returned: %s", m->name, why);
  m->state = HR_MACHINE_DELETING;
  m->instance.deletion_in_flight = FALSE;
  c->scheduling.plan_is_stale = TRUE;
}

static void
send_deletes (HrCore *c)
{
  if (c->scaling.deletions_in_flight >= 2 || c->now < c->scaling.paused_until)
    return;
  Deletion *d = g_new0 (Deletion, 1);
  json_t *names = json_array ();
  d->term_began_at = c->leadership.term_began_at;
  for (guint i = 0; i < c->scaling.fleet->len && d->n < G_N_ELEMENTS (d->machines); i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (m->state != HR_MACHINE_DELETING || m->instance.deletion_in_flight)
      continue;
    m->instance.deletion_in_flight = TRUE;
    json_array_append_new (names, json_string (m->name));
    d->machines[d->n++] = m->index;
  }
  if (!d->n || !hr_token_bucket_take (&c->scaling.allowance, c->now, 1, 0)) {
    for (guint i = 0; i < d->n; i++)
      ((HrMachine *)c->store.tables.machines->pdata[d->machines[i]])->instance.deletion_in_flight =
          FALSE;
    json_decref (names);
    g_free (d);
    return;
  }
  c->scaling.deletions_in_flight++;
  hr_core_call (c, HR_TO_CLOUD, NULL, HR_POST, g_strdup ("/rentals/delete"),
                hr_json_take_text (json_pack ("{so}", "rockhands", names)), 5, on_deleted, d);
}

static void
give_up_boots (HrCore *c)
{
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    const HrMachineType *t = hr_machine_type_of (c, m);
    /* After a cut of our own: it may be up, and its worker has to find us first. */
    if (m->state == HR_MACHINE_BOOTING && t && hr_replica_is_served (c) &&
        c->now - m->instance.requested_at > t->boot_s * c->policy.boot_limit &&
        c->now - c->store.replica.served_since > c->policy.silent_s)
      hr_fleet_delete (c, m, "it does not come up");
  }
}

void
hr_fleet_tick (HrCore *c)
{
  if (!c->scaling.types_in_flight &&
      (c->now - c->scaling.types_requested_at > 30 || !c->scaling.types_requested_at)) {
    c->scaling.types_in_flight = TRUE;
    c->scaling.types_requested_at = c->now;
    hr_core_call (c, HR_TO_CLOUD, NULL, HR_GET, g_strdup ("/machine_types"), NULL, 5,
                  on_machine_types, NULL);
  }
  if (!c->leadership.is_leader || !hr_leadership_may_answer (c))
    return;
  hr_instance_list_tick (c);
  give_up_boots (c);
  send_deletes (c);
  hr_instance_requests_retry (c);
  hr_instance_requests_send (c);
  /* Time alone moves the plan too: pauses end, idle machines age. */
  if (c->now - c->scheduling.planned_at > 1)
    c->scheduling.plan_is_stale = TRUE;
}
