/* Takes in the messages of workers: their reports (heartbeats), which are answered with orders, and
 * their answers to direct calls. A message counts only if it is newer than what was heard of its
 * worker before, by incarnation and sequence number. What may be answered is decided in
 * renewal_checks.h; the answer is given by lease_renewal.h. */
#pragma once
#include "coordination/state.h"

/**
 * hr_heartbeat_received:
 * @command: the worker's HTTP request
 *
 * Takes in a report and replies to it, on a controller of any role.
 */
void hr_heartbeat_received (HrCore *core, HrCommand *command);

/**
 * hr_heartbeat_direct_answer:
 * @answer: the worker's list of tasks after the orders of a direct call
 *
 * Takes in the answer; ignored where it is not the newest message of its worker. It renews no
 * lease, and its silence about a task proves nothing. Leader only.
 */
void hr_heartbeat_direct_answer (HrCore *core, HrMachine *machine, const HrHeartbeat *answer);
