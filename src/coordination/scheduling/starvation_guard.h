/* Array tasks that wait beside free room get it after a bounded time. */
#pragma once
#include "coordination/state.h"

/* Called in each planning pass once the plan's own starts are made, by a leader that may record
 * starts. */
void hr_starvation_guard_tick (HrCore *core);
