#pragma once
#include "coordination/state.h"

/* Counts tasks of the class that arrive; returns how many a second do, smoothed. */
double hr_class_arrivals (HrCore *core, HrClassStats *stats, guint n);
void hr_job_open (HrCore *core, HrJob *job);

/* Statistics of the class; the row is made when there is none. */
HrClassStats *hr_class_stats (HrCore *core, guint32 job_class);
