/* The cloud's list of instances, read page by page, again and again.
 *
 * The list lags behind, so it is weak evidence: a machine that it shows may be deleted already, and
 * one that it lacks may be there. It shows machines that nobody expected, such as those that an
 * earlier leader requested.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_instance_list_tick:
 *
 * Begins a pass through the list when one is due. Until one is complete since the term began, they
 * follow one another at once. Called with each tick of a leader.
 */
void hr_instance_list_tick (HrCore *core);
