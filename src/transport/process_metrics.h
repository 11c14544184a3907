/* What the operating system states of this process, in the Prometheus text format. */
#pragma once
#include "coordination/command.h"

/**
 * hr_process_metrics_add:
 * @effect: what the core has put out
 *
 * Appends processor time and peak memory to a reply with metrics, which the core makes without
 * knowing its process. Any other effect stays as it is.
 */
void hr_process_metrics_add (HrEffect *effect);
