/* The cloud's list of instances. */
#include "coordination/scaling/instance_list.h"
#include "coordination/effects.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/cloud.h"

/* For an answer, s. */
#define CALL_TIMEOUT_S 5
/* From the beginning of one pass to that of the next, s: until one is complete, and then at least.
 */
#define FIRST_PASS_GAP_S 1
#define MIN_PASS_GAP_S 4
/* A machine that is up already has spent at most this share of a boot, as far as the limit for
 * boots counts: its agent has to find this controller. */
#define MAX_BOOTED_SHARE 0.6

static void on_page (HrCore *core, int status, json_t *body, double sent, gpointer data);

static void
request_page (HrCore *core)
{
  const char *cursor = core->scaling.list_cursor;
  core->scaling.list_in_flight = TRUE;
  char *path = hr_instance_list_path (cursor);
  hr_core_call (core, HR_TO_CLOUD, NULL, HR_GET, path, NULL, CALL_TIMEOUT_S, on_page, NULL);
}

/* The instance has failed, by the cloud's list: it is deleted. */
static void
delete_failed (HrCore *core, HrMachine *machine)
{
  if (machine->state == HR_MACHINE_GONE)
    hr_fleet_add (core, machine);
  machine->state = HR_MACHINE_UP;
  hr_fleet_delete (core, machine, "it failed");
}

/* Adds a machine that was not expected to the fleet. It counts as booting until its agent reports.
 */
static void
adopt (HrCore *core, HrMachine *machine, const HrMachineType *type, const HrListedInstance *entry)
{
  double age = entry->state == HR_INSTANCE_STARTING
                   ? entry->age
                   : MIN (entry->age, type->boot_s * MAX_BOOTED_SHARE);
  machine->state = HR_MACHINE_BOOTING;
  machine->instance.requested_at = core->now - age;
  hr_fleet_add (core, machine);
  machine->instance.listed_at = core->scaling.list_requested_at;
  core->scheduling.plan_is_stale = TRUE;
  g_info ("%s is in the cloud's list and was not expected; it is taken on", machine->name);
}

static void
take_entry (HrCore *core, const HrListedInstance *entry)
{
  HrMachine *machine = hr_machine_get (&core->store.tables, entry->name);
  if (machine->instance.is_deleted || machine->state == HR_MACHINE_DELETING)
    return; /* lists lag: it is being returned, or was */
  if (entry->state == HR_INSTANCE_FAILED) {
    delete_failed (core, machine);
    return;
  }
  guint32 type_name = hr_intern_find (&core->names->types, entry->type);
  const HrMachineType *type = type_name == HR_NONE ? NULL : hr_machine_type_find (core, type_name);
  if (!type)
    return;
  /* Also of a machine that only records name so far: its zone counts for others. */
  hr_machine_set_type (machine, type, hr_intern (&core->names->zones, entry->zone), entry->is_spot);
  if (machine->state == HR_MACHINE_GONE)
    adopt (core, machine, type, entry);
  else
    machine->instance.listed_at = core->scaling.list_requested_at;
}

/* Takes the entries of a page; the last one is where the next page begins. */
static void
take_page (HrCore *core, const json_t *list)
{
  json_t *object;
  size_t i;
  json_array_foreach (list, i, object)
  {
    HrListedInstance entry;
    if (!hr_listed_instance_parse (object, &entry)) {
      g_info ("an entry of the cloud's list makes no sense; dropped");
      continue;
    }
    take_entry (core, &entry);
    g_free (core->scaling.list_cursor);
    core->scaling.list_cursor = g_strdup (entry.name);
  }
}

/* The pass is complete. What it lacks counts as lacking only where it began long enough after the
 * term did, as lists lag. */
static void
finish_pass (HrCore *core)
{
  g_clear_pointer (&core->scaling.list_cursor, g_free);
  core->scaling.listed_at = core->scaling.list_requested_at;
  if (core->scaling.list_requested_at >=
      core->leadership.term_began_at + core->settings->list_lag_s)
    core->scaling.list_is_complete = TRUE;
}

static void
on_page (HrCore *core, int status, json_t *body, double sent G_GNUC_UNUSED,
         gpointer data G_GNUC_UNUSED)
{
  const json_t *list = hr_instance_list_entries (body);
  core->scaling.list_in_flight = FALSE;
  /* A pass that breaks off begins anew, and so does the next term. */
  if (!core->leadership.is_leader || status != 200 || !list) {
    g_clear_pointer (&core->scaling.list_cursor, g_free);
    return;
  }
  take_page (core, list);
  if (hr_instance_list_has_more (body) && json_array_size (list))
    request_page (core);
  else
    finish_pass (core);
}

void
hr_instance_list_tick (HrCore *core)
{
  double gap = core->scaling.list_is_complete ? MAX (MIN_PASS_GAP_S, core->settings->list_lag_s)
                                              : FIRST_PASS_GAP_S;
  if (core->scaling.list_in_flight || core->now - core->scaling.list_requested_at <= gap ||
      !hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 1))
    return;
  core->scaling.list_requested_at = core->now;
  request_page (core);
}
