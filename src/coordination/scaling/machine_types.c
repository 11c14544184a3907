/* Reads the cloud's machine types. */
#include "coordination/scaling/machine_types.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "protocol/http_method.h"
#include "protocol/cloud.h"

/* Time between two reads of the types, and from a failed read to the next one: while types are
 * known, and while none is. */
#define REFRESH_S 30
#define RETRY_S 5
#define RETRY_UNKNOWN_S 1
/* Timeouts of a call to the cloud, and of the write to the store. */
#define CALL_TIMEOUT_S 5
#define SAVE_TIMEOUT_S 2

static gboolean
load_types (HrCore *core, const json_t *object)
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
    load_types (core, value);
}

static void
on_types_saved (HrStore *store, int status, json_t *body G_GNUC_UNUSED, double sent G_GNUC_UNUSED,
                gpointer data G_GNUC_UNUSED)
{
  HrCore *core = store->core;
  core->scaling.types_save_sent = status == 200;
}

/* Saves the types in the store, unless it has a copy. The transaction requires the leader record to
 * be unchanged, which fences off former leaders. */
static void
save_types (HrCore *core, const json_t *body)
{
  if (!core->leadership.is_leader || core->scaling.types_revision || core->scaling.types_save_sent)
    return;
  core->scaling.types_save_sent = TRUE;
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, HR_STORE_KEY_MACHINE_TYPES, 0);
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_RECORD,
                          core->leadership.record_revision);
  hr_transaction_put (transaction, HR_STORE_KEY_MACHINE_TYPES, json_dumps (body, JSON_COMPACT));
  hr_transaction_submit (&core->store, HR_TRANSACTION_BOOKKEEPING, transaction, SAVE_TIMEOUT_S,
                         on_types_saved, NULL);
}

static void
on_types (HrCore *core, int status, json_t *body, double sent G_GNUC_UNUSED,
          gpointer data G_GNUC_UNUSED)
{
  core->scaling.types_in_flight = FALSE;
  if (status == 200 && load_types (core, body)) {
    save_types (core, body);
    return;
  }
  gboolean is_known = core->scaling.machine_types != NULL;
  double retry_s = is_known ? RETRY_S : RETRY_UNKNOWN_S;
  core->scaling.types_requested_at = core->now - (REFRESH_S - retry_s);
  if (!is_known)
    g_info ("cannot read the machine types from the cloud: status=%d", status);
}

void
hr_machine_types_tick (HrCore *core)
{
  HrScaling *scaling = &core->scaling;
  if (scaling->types_in_flight ||
      (scaling->types_requested_at && core->now - scaling->types_requested_at <= REFRESH_S))
    return;
  scaling->types_in_flight = TRUE;
  scaling->types_requested_at = core->now;
  hr_core_call (core, HR_TO_CLOUD, NULL, HR_GET, g_strdup (HR_CLOUD_MACHINE_TYPES_PATH), NULL,
                CALL_TIMEOUT_S, on_types, NULL);
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

double
hr_longest_boot_s (const HrCore *core)
{
  double longest_s = 0;
  for (guint i = 0; i < core->scaling.machine_types->len; i++)
    longest_s =
        MAX (longest_s, g_array_index (core->scaling.machine_types, HrMachineType, i).boot_s);
  return longest_s;
}
