/* Requests instances at the cloud.
 *
 * Each request has a unique name, its idempotency key, and is retried under that name until the
 * answer is conclusive: the cloud grants each name once, so retrying a request that took effect
 * grants no further instances.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_instance_requests_send:
 *
 * Requests the instances that the latest dispatch pass demanded, spread over zones. Requests
 * nothing until the cloud's list certainly shows all instances that earlier leaders requested, nor
 * while earlier requests have no conclusive answer. The leader calls it on each tick.
 */
void hr_instance_requests_send (HrCore *core);

/**
 * hr_instance_requests_retry:
 *
 * Retries the requests without a conclusive answer once their pause is over. Drops those of an
 * earlier term: the instances that they were granted appear in the cloud's list.
 */
void hr_instance_requests_retry (HrCore *core);

/**
 * hr_instance_requests_clear:
 *
 * Frees the requests that wait for a retry.
 */
void hr_instance_requests_clear (HrCore *core);
