/* MT-EDF for gangs: one task per list, with a common start. */
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
  double start; /* projected; monotonic time, s */
  double delay; /* image fetch, plus the wait until `start` counted a second time; s */
  gboolean is_used;
} GangSlot;

/* Slots for the whole gang. Times are monotonic time, in seconds. */
typedef struct {
  GPtrArray *slots;       /* GangSlot; NULL: too few were found */
  double start;           /* latest start of the slots */
  double effective_start; /* latest start plus delay, less HR_HOME_ZONE_BONUS_S in the home zone;
                             the placement with the earliest one is chosen */
} GangPlacement;

/* Returns whether the machine is in the sample of lists for this gang. The sample is hashed rather
 * than random so that it is the same in each pass: the gang's slots must stay on the same machines
 * until the last of them is free. */
static gboolean
is_sampled (const HrJob *job, const HrMachine *machine, guint max_trials, guint n_lists)
{
  guint32 hash = (job->index + 1) * 0x9e3779b9u ^ (machine->index + 1) * 0x85ebca6bu;
  hash = (hash ^ hash >> 15) * 0xc2b2ae35u;
  return max_trials >= n_lists || (hash ^ hash >> 16) / 4294967296.0 * n_lists < max_trials;
}

/* Sets the slot's start and delay. Returns FALSE if the list cannot take a task or is not in the
 * sample. */
static gboolean
find_slot (HrCore *core, HrJob *job, guint max_trials, guint n_lists, GangSlot *slot)
{
  HrMachine *machine = slot->machine;
  if (!hr_job_allows_machine (core, job, machine))
    return FALSE;
  slot->delay = hr_estimate_fetch_time (core, job, machine);
  if (!machine->tasks->len && !machine->plan.list->len &&
      hr_machine_fits_unreserved (machine, &job->spec))
    slot->start = machine->plan.ready_at; /* nothing to project */
  else if (is_sampled (job, machine, max_trials, n_lists) &&
           hr_machine_fits_alongside_services (core, machine, &job->spec))
    slot->start = hr_trial_insert (core, machine, (HrTaskRef){job->index, 0}).start;
  else
    return FALSE;
  /* The wait for running tasks to end counts twice, because it is less predictable than an image
   * fetch. */
  slot->delay += MAX (0, slot->start - core->now);
  return !hr_start_is_infeasible (core, slot->start);
}

static GArray *
find_slots (HrCore *core, GPtrArray *lists, HrJob *job, guint max_trials)
{
  GArray *slots = g_array_sized_new (FALSE, FALSE, sizeof (GangSlot), lists->len);
  for (guint k = 0; k < lists->len; k++) {
    GangSlot slot = {lists->pdata[k], INFINITY, 0, FALSE};
    if (find_slot (core, job, max_trials, lists->len, &slot))
      g_array_append_val (slots, slot);
  }
  return slots;
}

/* Returns the unused slot with the earliest start plus delay; NULL: there is none. zone: HR_NONE
 * for any. */
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
    slot->is_used = TRUE; /* never reset: no machine is in two zones */
    g_ptr_array_add (chosen, slot);
  }
  placement.effective_start = placement.start;
  for (guint i = 0; i < chosen->len; i++) {
    const GangSlot *slot = chosen->pdata[i];
    placement.effective_start = MAX (placement.effective_start, slot->start + slot->delay);
  }
  if (zone != HR_NONE && zone == core->settings->home_zone)
    placement.effective_start -= HR_HOME_ZONE_BONUS_S;
  placement.slots = g_steal_pointer (&chosen);
  return placement;
}

/* Returns the slots with the earliest effective start, all in one zone if the job asks for that. */
static GangPlacement
best_placement (const HrCore *core, const HrJob *job, GArray *slots)
{
  GangPlacement best = {NULL, INFINITY, INFINITY};
  guint32 n_zones = job->spec.one_zone ? core->names->zones.names->len : 1;
  for (guint32 zone = 0; zone < n_zones; zone++) {
    GangPlacement placement = choose_slots (core, job, slots, job->spec.one_zone ? zone : HR_NONE);
    if (placement.slots && placement.effective_start < best.effective_start) {
      g_clear_pointer (&best.slots, g_ptr_array_unref);
      best = placement;
    } else
      g_clear_pointer (&placement.slots, g_ptr_array_unref);
  }
  return best;
}

void
hr_mtedf_place_gang (HrCore *core, GPtrArray *lists, HrJob *job, guint max_trials)
{
  job->plan.gang_start = 0;
  if (lists->len < job->n_tasks)
    return; /* each task needs a list of its own */
  g_autoptr (GArray) slots = find_slots (core, lists, job, max_trials);
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
