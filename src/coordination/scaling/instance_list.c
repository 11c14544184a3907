/* Reads the cloud's list of instances. */
#include "coordination/scaling/instance_list.h"
#include "coordination/effects.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/cloud.h"

#define CALL_TIMEOUT_S 5
/* Time between the starts of two passes: until the first pass of the term is complete, and the
 * least time afterwards. */
#define FIRST_PASS_GAP_S 1
#define MIN_PASS_GAP_S 4
/* An instance that the cloud lists as running counts as having spent at most this share of its boot
 * time, so that its worker has time to find this controller before the boot counts as failed. */
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

/* Deletes an instance that the cloud lists as failed. */
static void
delete_failed (HrCore *core, HrMachine *machine)
{
  if (machine->state == HR_MACHINE_GONE)
    hr_fleet_add (core, machine);
  machine->state = HR_MACHINE_UP;
  hr_fleet_request_deletion (core, machine, "the cloud lists it as failed");
}

/* Adds a listed machine that was not in the fleet. It counts as booting until its worker sends a
 * heartbeat. */
static void
add_unexpected (HrCore *core, HrMachine *machine, const HrMachineType *type,
                const HrListedInstance *entry)
{
  double age = entry->state == HR_INSTANCE_STARTING
                   ? entry->age
                   : MIN (entry->age, type->boot_s * MAX_BOOTED_SHARE);
  machine->state = HR_MACHINE_BOOTING;
  machine->instance.requested_at = core->now - age;
  hr_fleet_add (core, machine);
  machine->instance.listed_at = core->scaling.list_requested_at;
  core->scheduling.plan_is_stale = TRUE;
  g_info ("machine %s is in the cloud's list of instances but was not in the fleet; added",
          machine->name);
}

static void
apply_entry (HrCore *core, const HrListedInstance *entry)
{
  HrMachine *machine = hr_machine_get (&core->store.tables, entry->name);
  if (machine->instance.is_deleted || machine->state == HR_MACHINE_DELETING)
    return; /* the list lags: the machine is being deleted, or has been */
  if (entry->state == HR_INSTANCE_FAILED) {
    delete_failed (core, machine);
    return;
  }
  guint32 type_name = hr_intern_find (&core->names->types, entry->type);
  const HrMachineType *type = type_name == HR_NONE ? NULL : hr_machine_type_find (core, type_name);
  if (!type)
    return;
  /* Machines that are so far only named in records are described too: zone constraints for
   * the other tasks of a job depend on their zones. */
  hr_machine_set_type (machine, type, hr_intern (&core->names->zones, entry->zone), entry->is_spot);
  if (machine->state == HR_MACHINE_GONE)
    add_unexpected (core, machine, type, entry);
  else
    machine->instance.listed_at = core->scaling.list_requested_at;
}

/* Applies the entries of a page. The name of the last valid entry is the cursor of the next page.
 */
static void
apply_page (HrCore *core, const json_t *list)
{
  json_t *object;
  size_t i;
  json_array_foreach (list, i, object)
  {
    HrListedInstance entry;
    if (!hr_listed_instance_parse (object, &entry)) {
      g_info ("ignoring a malformed entry in the cloud's list of instances");
      continue;
    }
    apply_entry (core, &entry);
    g_free (core->scaling.list_cursor);
    core->scaling.list_cursor = g_strdup (entry.name);
  }
}

/* Ends a complete pass. Because the list lags, a pass certainly shows all instances that earlier
 * leaders requested only if it began at least list_lag_s after the term did. */
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
  /* An interrupted pass restarts at the first page, and so does the first pass of the next term. */
  if (!core->leadership.is_leader || status != 200 || !list) {
    g_clear_pointer (&core->scaling.list_cursor, g_free);
    return;
  }
  apply_page (core, list);
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
