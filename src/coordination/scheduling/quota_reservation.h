/* The reservation of what a team's limit leaves for the first job that does not fit into it.
 *
 * EASY backfilling (Lifka, The ANL/IBM SP scheduling system): other jobs get of the rest what ends,
 * by estimate, before running work has made enough of the limit free for that job, or what fits
 * beside it then.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_quota_reserve:
 * @usage: of the team of @head
 * @head: the first job in order that the limit holds up
 *
 * Sets the reservation of the team: its shadow time, when enough should be free for @head, and what
 * is left for work without an end in time.
 */
void hr_quota_reserve (HrCore *core, HrTeamUsage *usage, const HrJob *head);
