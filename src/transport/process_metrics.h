/* What the operating system states of this process, in the Prometheus text format. */
#pragma once
#include <glib.h>

/**
 * hr_process_metrics_append:
 * @text: where the metrics are appended
 *
 * Appends processor time and peak memory; nothing when the system does not state them.
 */
void hr_process_metrics_append (GString *text);
