/* The fleet: which machines there are, their types, and returning them. */
#include "coordination/scaling/fleet.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/transactions.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/effects.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/instance_list.h"
#include "coordination/scaling/instance_requests.h"
#include "coordination/scheduling/projection.h"
#include "coordination/state.h"
#include "protocol/cloud.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include <string.h>

gboolean
hr_machine_types_load (HrCore *core, const json_t *object)
{
  GArray *types = hr_machine_types_parse (object, core->names);
  if (!types)
    return FALSE;
  g_clear_pointer (&core->scaling.machine_types, g_array_unref);
  core->scaling.machine_types = types;
  return TRUE;
}

void
hr_machine_types_changed (HrCore *core, const json_t *value, guint64 revision)
{
  core->scaling.types_revision = value ? revision : 0;
  if (value && !core->scaling.machine_types)
    hr_machine_types_load (core, value);
}

static void
on_machine_types_saved (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  HrCore *core = store->core;
  core->scaling.types_save_sent = status == 200;
}

static void
on_machine_types (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  core->scaling.types_in_flight = FALSE;
  if (status != 200 || !hr_machine_types_load (core, body)) {
    core->scaling.types_requested_at = core->now - (core->scaling.machine_types ? 25 : 29);
    if (!core->scaling.machine_types)
      g_info ("the cloud did not say which machine types there are");
    return;
  }
  /* Kept in the state store, so that a node that starts while the cloud is down can decide. */
  if (core->leadership.is_leader && !core->scaling.types_revision &&
      !core->scaling.types_save_sent) {
    core->scaling.types_save_sent = TRUE;
    json_t *when = hr_transaction_require (hr_transaction_require (json_array (), "h/types", 0),
                                           "h/map", core->leadership.record_revision);
    json_t *writes =
        hr_transaction_put (json_array (), "h/types", json_dumps (body, JSON_COMPACT), 0);
    hr_transaction_submit (&core->store, HR_TRANSACTION_BOOKKEEPING, when, writes, 1, 2,
                           on_machine_types_saved, NULL);
  }
}

void
hr_fleet_add (HrCore *core, HrMachine *machine)
{
  machine->instance.known_since = core->now;
  machine->instance.listed_at = 0;
  g_ptr_array_add (core->scaling.fleet, machine);
}

void
hr_machine_gone (HrCore *core, HrMachine *machine, const char *why)
{
  hr_termination_incarnations_over (core, machine, G_MAXUINT32, why);
  machine->state = HR_MACHINE_GONE;
  machine->instance.is_deleted = TRUE;
  for (guint i = 0; i < machine->plan.list->len; i++) {
    HrTaskRef ref = g_array_index (machine->plan.list, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    hr_task_unplan (job, ref.task);
  }
  g_array_set_size (machine->plan.list, 0);
  g_ptr_array_remove_fast (core->scaling.fleet, machine);
  core->scheduling.plan_is_stale = TRUE;
  g_debug ("%s is gone: %s", machine->name, why);
}

typedef struct {
  double term_began_at;
  guint n;
  guint32 machines[100];
} Deletion;

static void
on_deleted (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  g_autofree Deletion *deletion = data;
  core->scaling.deletions_in_flight--;
  if (!core->leadership.is_leader || deletion->term_began_at != core->leadership.term_began_at)
    return;
  for (guint i = 0; i < deletion->n; i++) {
    HrMachine *machine = core->store.tables.machines->pdata[deletion->machines[i]];
    if (machine->state != HR_MACHINE_DELETING)
      continue;
    if (status == 200)
      hr_machine_gone (core, machine, "the cloud deleted its machine");
    else
      machine->instance.deletion_in_flight = FALSE; /* to be asked again */
  }
  if (status != 200)
    core->scaling.paused_until = MAX (core->scaling.paused_until, core->now + 0.5);
}

/* The machine takes no more work from here on; the call goes out with the next tick. */
void
hr_fleet_delete (HrCore *core, HrMachine *machine, const char *why)
{
  if (machine->state == HR_MACHINE_DELETING || machine->state == HR_MACHINE_GONE)
    return;
  g_info ("%s is returned: %s", machine->name, why);
  machine->state = HR_MACHINE_DELETING;
  machine->instance.deletion_in_flight = FALSE;
  core->scheduling.plan_is_stale = TRUE;
}

static void
send_deletes (HrCore *core)
{
  if (core->scaling.deletions_in_flight >= 2 || core->now < core->scaling.paused_until)
    return;
  Deletion *deletion = g_new0 (Deletion, 1);
  json_t *names = json_array ();
  deletion->term_began_at = core->leadership.term_began_at;
  for (guint i = 0; i < core->scaling.fleet->len && deletion->n < G_N_ELEMENTS (deletion->machines);
       i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state != HR_MACHINE_DELETING || machine->instance.deletion_in_flight)
      continue;
    machine->instance.deletion_in_flight = TRUE;
    json_array_append_new (names, json_string (machine->name));
    deletion->machines[deletion->n++] = machine->index;
  }
  if (!deletion->n || !hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 0)) {
    for (guint i = 0; i < deletion->n; i++)
      ((HrMachine *)core->store.tables.machines->pdata[deletion->machines[i]])
          ->instance.deletion_in_flight = FALSE;
    json_decref (names);
    g_free (deletion);
    return;
  }
  core->scaling.deletions_in_flight++;
  hr_core_call (core, HR_TO_CLOUD, NULL, HR_POST, g_strdup (HR_CLOUD_DELETION_PATH),
                hr_instance_deletion_text (names), 5, on_deleted, deletion);
}

static void
give_up_boots (HrCore *core)
{
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    const HrMachineType *type = hr_machine_type_of (core, machine);
    /* After a cut of our own: it may be up, and its worker has to find us first. */
    if (machine->state == HR_MACHINE_BOOTING && type && hr_replica_is_served (&core->store) &&
        core->now - machine->instance.requested_at > type->boot_s * core->policy.boot_limit &&
        core->now - core->store.replica.served_since > core->policy.silent_s)
      hr_fleet_delete (core, machine, "it does not come up");
  }
}

void
hr_fleet_tick (HrCore *core)
{
  if (!core->scaling.types_in_flight &&
      (core->now - core->scaling.types_requested_at > 30 || !core->scaling.types_requested_at)) {
    core->scaling.types_in_flight = TRUE;
    core->scaling.types_requested_at = core->now;
    hr_core_call (core, HR_TO_CLOUD, NULL, HR_GET, g_strdup (HR_CLOUD_MACHINE_TYPES_PATH), NULL, 5,
                  on_machine_types, NULL);
  }
  if (!core->leadership.is_leader || !hr_leadership_may_answer (core))
    return;
  hr_instance_list_tick (core);
  give_up_boots (core);
  send_deletes (core);
  hr_instance_requests_retry (core);
  hr_instance_requests_send (core);
  /* Time alone moves the plan too: pauses end, idle machines age. */
  if (core->now - core->scheduling.planned_at > 1)
    core->scheduling.plan_is_stale = TRUE;
}

const HrMachineType *
hr_machine_type_find (const HrCore *core, guint32 name)
{
  for (guint i = 0; core->scaling.machine_types && i < core->scaling.machine_types->len; i++)
    if (g_array_index (core->scaling.machine_types, HrMachineType, i).type == name)
      return &g_array_index (core->scaling.machine_types, HrMachineType, i);
  return NULL;
}

const HrMachineType *
hr_machine_type_of (const HrCore *core, const HrMachine *machine)
{
  return hr_machine_type_find (core, machine->type);
}
