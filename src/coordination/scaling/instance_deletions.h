/* Deletes instances at the cloud.
 *
 * Machines in the state HR_MACHINE_DELETING are deleted in batches. A batch is retried until the
 * cloud answers with 200, which proves that nothing runs on its machines any more.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_instance_deletions_send:
 *
 * Sends the deletions that are due, as far as the rate limit of calls to the cloud allows. The
 * leader calls it on each tick.
 */
void hr_instance_deletions_send (HrCore *core);
