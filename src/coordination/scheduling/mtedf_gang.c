/* MT-EDF for gangs: one slot in each chosen list, with a common start. */
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/mtedf.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/task_lists.h"
#include "coordination/scheduling/trial.h"
#include <math.h>

/* A list that could take one task of the gang. */
typedef struct {
  HrMachine *machine;
  double start; /* projected; steady time, s */
  double delay; /* the image fetch, and the wait for others once more */
  gboolean is_used;
} GangSlot;

/* Slots for the whole gang. */
typedef struct {
  GPtrArray *slots; /* GangSlot; NULL: none found */
  double start;     /* when the last of them is free */
  double runs_at;   /* when the last of them should run, as far as that decides the choice */
} GangPlacement;

/* A gang's sample is the same in each pass: its claim on the machines has to last until the last of
 * them is free. */
static gboolean
is_sampled (const HrJob *job, const HrMachine *machine, guint tries, guint n_lists)
{
  guint32 hash = (job->index + 1) * 0x9e3779b9u ^ (machine->index + 1) * 0x85ebca6bu;
  hash = (hash ^ hash >> 15) * 0xc2b2ae35u;
  return tries >= n_lists || (hash ^ hash >> 16) / 4294967296.0 * n_lists < tries;
}

/* Could a task fit there once all but services is gone? */
static gboolean
fits_beside_services (const HrCore *core, const HrMachine *machine, const HrJobSpec *spec)
{
  HrResources available = hr_resources_of_type (hr_machine_type_of (core, machine));
  hr_resources_subtract (&available, machine->services);
  return hr_resources_cover (available, hr_resources_of_task (spec));
}

/* Sets the slot's start and delay. Returns FALSE where the list cannot take a task. */
static gboolean
find_slot (HrCore *core, HrJob *job, guint tries, guint n_lists, GangSlot *slot)
{
  HrMachine *machine = slot->machine;
  if (!hr_job_allows_machine (core, job, machine))
    return FALSE;
  slot->delay = hr_estimate_fetch_time (core, job, machine);
  if (!machine->tasks->len && !machine->plan.list->len &&
      hr_machine_fits_unreserved (machine, &job->spec))
    slot->start = machine->plan.ready_at; /* nothing to project */
  else if (is_sampled (job, machine, tries, n_lists) &&
           fits_beside_services (core, machine, &job->spec))
    slot->start = hr_trial_insert (core, machine, (HrTaskRef){job->index, 0}).start;
  else
    return FALSE;
  /* Waiting for others to end is less sure than fetching: it counts double. */
  slot->delay += MAX (0, slot->start - core->now);
  return !hr_start_is_never (core, slot->start);
}

static GArray *
find_slots (HrCore *core, GPtrArray *lists, HrJob *job, guint tries)
{
  GArray *slots = g_array_sized_new (FALSE, FALSE, sizeof (GangSlot), lists->len);
  for (guint k = 0; k < lists->len; k++) {
    GangSlot slot = {lists->pdata[k], INFINITY, 0, FALSE};
    if (find_slot (core, job, tries, lists->len, &slot))
      g_array_append_val (slots, slot);
  }
  return slots;
}

/* The unused slot that runs soonest; NULL: there is none. zone: HR_NONE for any. */
static GangSlot *
soonest_slot (GArray *slots, guint32 zone)
{
  GangSlot *best = NULL;
  for (guint k = 0; k < slots->len; k++) {
    GangSlot *slot = &g_array_index (slots, GangSlot, k);
    if (slot->is_used || (zone != HR_NONE && slot->machine->zone != zone))
      continue;
    if (!best || slot->start + slot->delay < best->start + best->delay)
      best = slot;
  }
  return best;
}

/* Chooses a slot for each task of the gang. zone: HR_NONE for any. */
static GangPlacement
choose_slots (const HrCore *core, const HrJob *job, GArray *slots, guint32 zone)
{
  g_autoptr (GPtrArray) chosen = g_ptr_array_sized_new (job->n_tasks);
  GangPlacement placement = {NULL, 0, INFINITY};
  while (chosen->len < job->n_tasks) {
    GangSlot *slot = soonest_slot (slots, zone);
    if (!slot)
      return placement;
    placement.start = MAX (placement.start, slot->start);
    slot->is_used = TRUE; /* each zone has machines of its own */
    g_ptr_array_add (chosen, slot);
  }
  placement.runs_at = placement.start;
  for (guint i = 0; i < chosen->len; i++) {
    const GangSlot *slot = chosen->pdata[i];
    placement.runs_at = MAX (placement.runs_at, slot->start + slot->delay);
  }
  if (zone != HR_NONE && zone == core->settings->home_zone)
    placement.runs_at -= HR_HOME_S;
  placement.slots = g_steal_pointer (&chosen);
  return placement;
}

/* The slots with which the gang runs soonest, within one zone where the job asks for that. */
static GangPlacement
best_placement (const HrCore *core, const HrJob *job, GArray *slots)
{
  GangPlacement best = {NULL, INFINITY, INFINITY};
  guint32 n_zones = job->spec.one_zone ? core->names->zones.names->len : 1;
  for (guint32 zone = 0; zone < n_zones; zone++) {
    GangPlacement placement = choose_slots (core, job, slots, job->spec.one_zone ? zone : HR_NONE);
    if (placement.slots && placement.runs_at < best.runs_at) {
      g_clear_pointer (&best.slots, g_ptr_array_unref);
      best = placement;
    } else
      g_clear_pointer (&placement.slots, g_ptr_array_unref);
  }
  return best;
}

void
hr_mtedf_gang (HrCore *core, GPtrArray *lists, HrJob *job, guint tries)
{
  job->plan.gang_start = 0;
  if (lists->len < job->n_tasks)
    return; /* one slot in each list: there are too few */
  g_autoptr (GArray) slots = find_slots (core, lists, job, tries);
  GangPlacement placement = best_placement (core, job, slots);
  if (!placement.slots)
    return;
  job->plan.gang_start = placement.start;
  for (guint32 i = 0; i < job->n_tasks; i++) {
    const GangSlot *slot = placement.slots->pdata[i];
    hr_list_insert (core, slot->machine, (HrTaskRef){job->index, i});
    hr_project_list (core, slot->machine, NULL);
  }
  g_ptr_array_unref (placement.slots);
}
