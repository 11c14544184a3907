/* Quota reservation: reserves the rest of a team's limit for the first job that does not fit.
 *
 * EASY backfilling (Lifka, The ANL/IBM SP scheduling system): later jobs may use the remaining
 * quota only if, by estimate, they end before enough of the limit becomes free for the first job
 * (the shadow time), or if they fit next to it at that time.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_quota_reserve:
 * @usage: the usage of @head's team
 * @head: the first job in the order of grants that the limit does not let start completely
 *
 * Sets the reservation of the team: the shadow time, when enough quota is expected to be free for
 * @head, and the quota that is left for jobs that do not end before it.
 */
void hr_quota_reserve (HrCore *core, HrTeamUsage *usage, const HrJob *head);
