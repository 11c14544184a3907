#pragma once
#include "coordination/state.h"

void hr_instance_requests_clear (HrCore *core);
/* zone HR_NONE: refused in all of them. */
gboolean hr_capacity_is_refused (const HrCore *core, guint32 type, guint32 zone, gboolean spot);
void hr_instance_requests_send (HrCore *core);
/* Requests without a clear answer, once more under their names. */
void hr_instance_requests_retry (HrCore *core);
