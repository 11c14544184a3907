/* Deletes instances at the cloud. */
#include "coordination/scaling/instance_deletions.h"
#include "coordination/effects.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scheduling/lookups.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/cloud.h"

#define MAX_MACHINES_PER_CALL 100
#define MAX_CALLS_IN_FLIGHT 2
#define CALL_TIMEOUT_S 5
/* Pause of deletions and requests after a failed call. */
#define FAILURE_PAUSE_S 0.5

/* A call that deletes instances. */
typedef struct {
  double term_began_at; /* start of the term in which the call is sent, monotonic time, s */
  guint n;
  guint32 machines[MAX_MACHINES_PER_CALL];
} Deletion;

static void
on_deleted (HrCore *core, int status, json_t *body G_GNUC_UNUSED, double sent G_GNUC_UNUSED,
            gpointer data)
{
  g_autofree Deletion *deletion = data;
  core->scaling.deletions_in_flight--;
  if (!core->leadership.is_leader || deletion->term_began_at != core->leadership.term_began_at)
    return;
  for (guint i = 0; i < deletion->n; i++) {
    HrMachine *machine = hr_machine_by_index (core, deletion->machines[i]);
    if (machine->state != HR_MACHINE_DELETING)
      continue;
    if (status == 200)
      hr_fleet_remove (core, machine, "the cloud confirmed its deletion");
    else
      machine->instance.deletion_in_flight = FALSE; /* to be sent again */
  }
  if (status != 200)
    core->scaling.paused_until = MAX (core->scaling.paused_until, core->now + FAILURE_PAUSE_S);
}

/* Collects machines that are to be deleted and that no call in flight names, and marks them as
 * being in flight. */
static Deletion *
collect_deletion (HrCore *core)
{
  Deletion *deletion = g_new0 (Deletion, 1);
  deletion->term_began_at = core->leadership.term_began_at;
  for (guint i = 0; i < core->scaling.fleet->len && deletion->n < MAX_MACHINES_PER_CALL; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state != HR_MACHINE_DELETING || machine->instance.deletion_in_flight)
      continue;
    machine->instance.deletion_in_flight = TRUE;
    deletion->machines[deletion->n++] = machine->index;
  }
  return deletion;
}

static void
drop_deletion (HrCore *core, Deletion *deletion)
{
  for (guint i = 0; i < deletion->n; i++)
    hr_machine_by_index (core, deletion->machines[i])->instance.deletion_in_flight = FALSE;
  g_free (deletion);
}

/* Returns the body of the call. */
static char *
deletion_text (HrCore *core, const Deletion *deletion)
{
  json_t *names = json_array ();
  for (guint i = 0; i < deletion->n; i++)
    json_array_append_new (names,
                           json_string (hr_machine_by_index (core, deletion->machines[i])->name));
  return hr_instance_deletion_text (names);
}

void
hr_instance_deletions_send (HrCore *core)
{
  if (core->scaling.deletions_in_flight >= MAX_CALLS_IN_FLIGHT ||
      core->now < core->scaling.paused_until)
    return;
  Deletion *deletion = collect_deletion (core);
  if (!deletion->n || !hr_token_bucket_take (&core->scaling.allowance, core->now, 1, 0)) {
    drop_deletion (core, deletion);
    return;
  }
  core->scaling.deletions_in_flight++;
  hr_core_call (core, HR_TO_CLOUD, NULL, HR_POST, g_strdup (HR_CLOUD_DELETION_PATH),
                deletion_text (core, deletion), CALL_TIMEOUT_S, on_deleted, deletion);
}
