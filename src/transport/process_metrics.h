/* Metrics of this process's resource usage, in the Prometheus text format. */
#pragma once
#include "coordination/command.h"

/**
 * hr_process_metrics_add:
 * @effect: an effect of the core
 *
 * Appends processor time and peak memory to a reply with metrics; the core, which does no I/O,
 * cannot add them itself. Leaves other effects unchanged.
 */
void hr_process_metrics_add (HrEffect *effect);
