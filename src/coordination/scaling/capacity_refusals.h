/* Where the cloud had no capacity lately, so that it gets no such request again at once.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_capacity_is_refused:
 * @type: machine type
 * @zone: HR_NONE: refused in all zones of the type
 *
 * Returns: whether the cloud refused such an instance some seconds ago.
 */
gboolean hr_capacity_is_refused (const HrCore *core, guint32 type, guint32 zone, gboolean spot);

/**
 * hr_capacity_note_refusal:
 *
 * Notes that the cloud has no such instance now.
 */
void hr_capacity_note_refusal (HrCore *core, guint32 type, guint32 zone, gboolean spot);
