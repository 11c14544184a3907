/* Periodically checks for machines whose workers send no heartbeats or do not receive the answers:
 * ends their tasks once an expired lease proves that these do not run, and returns machines to the
 * cloud. Returning a machine by mistake costs time and money, but violates no safety rule. See
 * docs/design.md, "Proof that a task is not on a machine". Times are monotonic, in seconds. */
#pragma once
#include "coordination/state.h"

/* What to do about one machine. */
typedef enum {
  HR_SILENCE_NONE,        /* nothing: its worker was heard from recently, or it is not up */
  HR_SILENCE_WAIT,        /* keep it for now, though its worker is silent */
  HR_SILENCE_UNREACHABLE, /* return it: it sends heartbeats, but gets no answers */
  HR_SILENCE_NOT_LISTED,  /* return it: overdue, and missing from the cloud's list */
  HR_SILENCE_LONG         /* return it: silent for too long */
} HrSilenceVerdict;

/* State of the fleet that the verdict on a single machine depends on. A machine is overdue if its
 * worker has sent no heartbeat for longer than `overdue_s` of the policy. */
typedef struct {
  gboolean is_node_isolated; /* so many machines are overdue that this node is probably at fault */
  gboolean is_grace_period;  /* workers may still be searching for this leader */
} HrFleetSilence;

/**
 * hr_silence_verdict:
 * @fleet: the state of the whole fleet
 *
 * Decides whether to return the machine. Changes nothing.
 *
 * Returns: what to do about @machine.
 */
HrSilenceVerdict hr_silence_verdict (const HrCore *core, const HrMachine *machine,
                                     const HrFleetSilence *fleet);

/**
 * hr_agents_tick:
 *
 * Checks every machine of the fleet if this controller leads. Resigns instead if its answers do not
 * reach a large share of them.
 */
void hr_agents_tick (HrCore *core);
