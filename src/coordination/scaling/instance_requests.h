/* Requests for instances at the cloud.
 *
 * Each request has a name of its own and is repeated under it until it has a clear answer: the
 * cloud grants a name once, so a repeat of a request that was carried out grants nothing more.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_instance_requests_send:
 *
 * Requests the instances that the latest pass demanded, spread over zones. Nothing is requested
 * before what an earlier leader requested must have shown up in the cloud's list, nor while earlier
 * requests have no clear answer. Called with each tick of a leader.
 */
void hr_instance_requests_send (HrCore *core);

/**
 * hr_instance_requests_retry:
 *
 * Sends the requests without a clear answer once more, when their pause is over. Those of an
 * earlier term are dropped: what they brought shows up in the cloud's list.
 */
void hr_instance_requests_retry (HrCore *core);

/**
 * hr_instance_requests_clear:
 *
 * Frees the requests that wait to be repeated.
 */
void hr_instance_requests_clear (HrCore *core);
