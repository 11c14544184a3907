/* What the operating system says of this process, in the Prometheus text format. */
#pragma once
#include <glib.h>

void hr_process_metrics_append (GString *text);
