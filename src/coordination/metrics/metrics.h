/* The metrics of a controller in the Prometheus text format (GET /metrics). Names begin with
 * `hoprock_`. Durations are in seconds; ages are computed at the time of the request. */
#pragma once
#include "coordination/core.h"

#define HR_METRICS_PATH "/metrics"

/**
 * hr_metrics_text:
 * @core: the controller
 *
 * Returns: (transfer full): all metrics as text
 */
char *hr_metrics_text (const HrCore *core);
