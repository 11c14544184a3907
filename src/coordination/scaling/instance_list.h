/* Periodically reads the cloud's list of instances, page by page.
 *
 * The list lags, so it is weak evidence: a machine that it contains may already be deleted, and one
 * that it lacks may exist. It reveals machines that this leader does not know, such as those that
 * an earlier leader requested.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_instance_list_tick:
 *
 * Starts a pass through the list when one is due. Passes start at short intervals until the first
 * one of the term is complete. The leader calls it on each tick.
 */
void hr_instance_list_tick (HrCore *core);
