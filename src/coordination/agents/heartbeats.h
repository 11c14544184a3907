/* Processes messages from workers: heartbeats, which are answered with orders, and answers to
 * direct calls. A message counts only if its incarnation and sequence number are newer than those
 * of all earlier messages of the worker. renewal_checks.h decides whether a heartbeat may be
 * answered; lease_renewal.h answers it. */
#pragma once
#include "coordination/state.h"

/**
 * hr_heartbeat_received:
 * @command: the worker's HTTP request
 *
 * Processes a heartbeat and replies to it, whether or not this controller leads.
 */
void hr_heartbeat_received (HrCore *core, HrCommand *command);

/**
 * hr_heartbeat_direct_answer_received:
 * @answer: the worker's list of tasks after the orders of a direct call
 *
 * Processes the answer, or ignores it if it is not the newest message of its worker. It renews no
 * lease, and a task's absence from it proves nothing. Leader only.
 */
void hr_heartbeat_direct_answer_received (HrCore *core, HrMachine *machine,
                                          const HrHeartbeat *answer);
