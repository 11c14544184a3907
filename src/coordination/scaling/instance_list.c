/* The cloud's list of machines, read page by page again and again. It lags, and is weak evidence.
 */
#include "coordination/scaling/instance_list.h"
#include "coordination/effects.h"
#include "coordination/scaling/fleet.h"
#include "coordination/state.h"
#include "protocol/cloud.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"

static void on_list (HrCore *core, int status, json_t *body, double sent, gpointer data);

static void
ask_list (HrCore *core)
{
  core->scaling.list_in_flight = TRUE;
  char *path = hr_instance_list_path (core->scaling.list_cursor);
  hr_core_call (core, HR_TO_CLOUD, NULL, HR_GET, path, NULL, 5, on_list, NULL);
}

static void
listed (HrCore *core, const HrListedInstance *entry)
{
  HrMachine *machine = hr_machine_get (&core->store.tables, entry->name);
  if (machine->instance.is_deleted || machine->state == HR_MACHINE_DELETING)
    return; /* lists lag: it is being returned, or was */
  if (entry->state == HR_INSTANCE_FAILED) {
    if (machine->state == HR_MACHINE_GONE)
      hr_fleet_add (core, machine);
    machine->state = HR_MACHINE_UP;
    hr_fleet_delete (core, machine, "it failed");
    return;
  }
  guint32 type = hr_intern_find (&core->names->types, entry->type);
  const HrMachineType *machine_type = type == HR_NONE ? NULL : hr_machine_type_find (core, type);
  if (!machine_type)
    return;
  /* Also of a machine that only records name so far: its zone counts for others. */
  hr_machine_describe (machine, machine_type, hr_intern (&core->names->zones, entry->zone),
                       entry->is_spot);
  if (machine->state != HR_MACHINE_GONE) {
    machine->instance.listed_at = core->scaling.list_requested_at;
    return;
  }
  machine->state = HR_MACHINE_BOOTING; /* until its worker reports */
  machine->instance.requested_at = core->now - MIN (entry->age, machine_type->boot_s * 0.6);
  if (entry->state == HR_INSTANCE_STARTING)
    machine->instance.requested_at = core->now - entry->age;
  hr_fleet_add (core, machine);
  machine->instance.listed_at = core->scaling.list_requested_at;
  core->scheduling.plan_is_stale = TRUE;
  g_info ("%s is in the cloud's list and was not expected; it is taken on", machine->name);
}

static void
on_list (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  core->scaling.list_in_flight = FALSE;
  if (!core->leadership.is_leader) {
    g_clear_pointer (&core->scaling.list_cursor,
                     g_free); /* the next term begins with a pass of its own */
    return;
  }
  const json_t *list = hr_instance_list_entries (body);
  json_t *object;
  if (status != 200 || !list) {
    g_clear_pointer (&core->scaling.list_cursor, g_free);
    return;
  }
  size_t i;
  json_array_foreach (list, i, object)
  {
    HrListedInstance entry;
    if (!hr_listed_instance_parse (object, &entry)) {
      g_info ("an entry of the cloud's list makes no sense; dropped");
      continue;
    }
    listed (core, &entry);
    g_free (core->scaling.list_cursor);
    core->scaling.list_cursor = g_strdup (entry.name);
  }
  if (hr_instance_list_has_more (body) && json_array_size (list)) {
    ask_list (core);
    return;
  }
  g_clear_pointer (&core->scaling.list_cursor, g_free);
  core->scaling.listed_at = core->scaling.list_requested_at;
  if (core->scaling.list_requested_at >=
      core->leadership.term_began_at + core->settings->list_lag_s)
    core->scaling.list_is_complete = TRUE;
}

/* Passes through the list follow one another; until one is complete since the term began, at once.
 */
void
hr_instance_list_tick (HrCore *core)
{
  double gap = core->scaling.list_is_complete ? MAX (4, core->settings->list_lag_s) : 1;
  if (!core->scaling.list_in_flight && core->now - core->scaling.list_requested_at > gap &&
      hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 1)) {
    core->scaling.list_requested_at = core->now;
    ask_list (core);
  }
}
