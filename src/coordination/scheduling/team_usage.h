/* Teams, and what each of them uses in this pass (HrTeamUsage in scheduling_state.h). */
#pragma once
#include "coordination/state.h"

/**
 * hr_team:
 *
 * Returns: (transfer none) (nullable): the team as in the settings; %NULL: it is not known here.
 */
const HrTeam *hr_team (const HrCore *core, guint32 team);

/**
 * hr_team_is_limited:
 *
 * Returns: whether the settings limit what the team may run.
 */
gboolean hr_team_is_limited (const HrTeam *team);

/**
 * hr_team_usage:
 *
 * Returns: (transfer none): the team as counted in this pass; empty for one that is not in the
 * settings. Valid until the next call for another team.
 */
HrTeamUsage *hr_team_usage (HrCore *core, guint32 team);

/**
 * hr_team_usage_count:
 *
 * Counts anew what each team uses: every task that is not proven gone, those of cancelled jobs and
 * those that an earlier leader's record binds included.
 */
void hr_team_usage_count (HrCore *core);
