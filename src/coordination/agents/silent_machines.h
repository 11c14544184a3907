/* The periodic check of machines whose workers are not heard, or do not hear us: what their leases
 * prove, and which of them are returned to the cloud. A machine that is returned by mistake costs
 * time and money; no rule rests on it. See docs/design.md, "Proof that a task is not on a machine".
 * Times: steady, in seconds. */
#pragma once
#include "coordination/state.h"

/* What is to be done about one machine. */
typedef enum {
  HR_SILENCE_NONE,        /* heard lately, or not a machine that is up */
  HR_SILENCE_WAIT,        /* silent, but kept for now */
  HR_SILENCE_UNREACHABLE, /* return it: it reports, but our answers do not reach it */
  HR_SILENCE_NOT_LISTED,  /* return it: overdue, and missing from the cloud's list */
  HR_SILENCE_LONG         /* return it: silent for too long */
} HrSilenceVerdict;

/* What the silence of a single machine is judged by besides the machine. */
typedef struct {
  gboolean is_cut_off; /* so many are overdue at once that it is more likely us than them */
  gboolean is_early;   /* workers may not have found this leader yet, or found it again */
} HrFleetSilence;

/**
 * hr_silence_verdict:
 * @fleet: what is so for the whole fleet
 *
 * Changes nothing.
 *
 * Returns: what is to be done about @machine.
 */
HrSilenceVerdict hr_silence_verdict (const HrCore *core, const HrMachine *machine,
                                     const HrFleetSilence *fleet);

/**
 * hr_agents_tick:
 *
 * Checks every machine of the fleet, if this controller leads. Resigns instead where its answers
 * reach too few of them.
 */
void hr_agents_tick (HrCore *core);
