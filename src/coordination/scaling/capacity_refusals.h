/* Recent refusals of instance requests for lack of capacity. While a refusal is recent, no request
 * of the same kind (machine type, zone, spot or not) is sent.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_capacity_is_refused:
 * @type: machine type, as an interned name
 * @zone: zone, as an interned name; %HR_NONE to ask whether all zones of the type are refused
 * @spot: whether the instance is a spot instance
 *
 * Returns: whether the cloud has refused such an instance within the last few seconds.
 */
gboolean hr_capacity_is_refused (const HrCore *core, guint32 type, guint32 zone, gboolean spot);

/**
 * hr_capacity_note_refusal:
 *
 * Records that the cloud has no capacity for such an instance now.
 */
void hr_capacity_note_refusal (HrCore *core, guint32 type, guint32 zone, gboolean spot);
