#include "coordination/jobs/memory_budget.h"
#include "coordination/state.h"

#define BYTES_PER_MB 1e6
/* Share of the process's memory for unfinished jobs. The rest is for machines, connections,
 * finished jobs, messages, and for pages that the allocator keeps. */
#define UNFINISHED_JOBS_SHARE (1.0 / 3)

gsize
hr_memory_budget_bytes (const HrCore *core)
{
  return core->settings->memory_mb * BYTES_PER_MB * UNFINISHED_JOBS_SHARE;
}

gboolean
hr_memory_budget_allows (const HrCore *core, gsize bytes)
{
  gsize budget = hr_memory_budget_bytes (core);
  gsize n_controllers = core->settings->members->len + 1;
  gsize accepting = core->memory.reserved_bytes + bytes;
  return !budget || core->store.tables.unfinished_bytes + n_controllers * accepting <= budget;
}

void
hr_memory_reserve (HrCore *core, HrMemoryReservation *reservation, gsize bytes)
{
  *reservation = (HrMemoryReservation){&core->memory.reserved_bytes, bytes};
  core->memory.reserved_bytes += bytes;
}

void
hr_memory_reservation_release (HrMemoryReservation *reservation)
{
  if (reservation->budget_bytes)
    *reservation->budget_bytes -= reservation->bytes;
  *reservation = (HrMemoryReservation){0};
}
