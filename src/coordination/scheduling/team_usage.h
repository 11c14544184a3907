/* Teams and their quota usage in this pass (HrTeamUsage in scheduling_state.h). */
#pragma once
#include "coordination/state.h"

/**
 * hr_team:
 *
 * Returns: (transfer none) (nullable): the team's settings; %NULL if the settings do not name it.
 */
const HrTeam *hr_team (const HrCore *core, guint32 team);

/**
 * hr_team_is_limited:
 *
 * Returns: whether the settings limit the processors or accelerators that the team may use.
 */
gboolean hr_team_is_limited (const HrTeam *team);

/**
 * hr_team_usage:
 *
 * Returns: (transfer none): the usage of the team as of this pass; added, and empty, if there was
 * none. Valid until the next call for another team.
 */
HrTeamUsage *hr_team_usage (HrCore *core, guint32 team);

/**
 * hr_team_usage_count:
 *
 * Recomputes the usage of each team from all tasks that are not proven to have ended, including
 * those of cancelled jobs and those that an earlier leader assigned.
 */
void hr_team_usage_count (HrCore *core);
