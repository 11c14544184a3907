/* Emits the effects of a step: calls, each with a callback for the response, replies to requests,
 * and this node's status. For all modules of the core, within hr_core_step() only. Effects are
 * carried out in the order in which they are added. Times are monotonic, in seconds. */
#pragma once
#include "bookkeeping/store.h"
#include "coordination/core.h"

/**
 * HrResultCallback:
 * @core: the controller
 * @status: HTTP status; 0: no response was received, so the receiver may have carried out the call,
 *   or may still do so
 * @body: (nullable): the body of the response
 * @sent_at: when the call was made
 * @data: the data passed with the call
 *
 * Receives the response to a call. Called exactly once, in a later step.
 */
typedef void (*HrResultCallback) (HrCore *core, int status, json_t *body, double sent_at,
                                  gpointer data);

/**
 * hr_core_call:
 * @core: the controller
 * @target: the receiver of the call
 * @address: (nullable): the address of a worker; %NULL for other targets
 * @method: the HTTP method
 * @path: (transfer full): the request path
 * @body: (transfer full) (nullable): the request body
 * @timeout_s: seconds to wait for the response
 * @callback: called with the response
 * @data: data for the callback
 *
 * Sends a request to the store, the cloud or a worker.
 */
void hr_core_call (HrCore *core, HrTarget target, const char *address, HrMethod method, char *path,
                   char *body, double timeout_s, HrResultCallback callback, gpointer data);

/**
 * hr_core_call_store:
 * @core: the controller
 * @method: the HTTP method
 * @path: (transfer full): the request path
 * @body: (transfer full) (nullable): the request body
 * @timeout_s: seconds to wait for the response
 * @callback: called with the response
 * @data: data for the callback
 *
 * Sends a request to the store on behalf of bookkeeping, whose callbacks get the HrStore instead of
 * the HrCore.
 */
void hr_core_call_store (HrCore *core, HrMethod method, char *path, char *body, double timeout_s,
                         HrStoreCallback callback, gpointer data);

/**
 * hr_core_result_received:
 * @core: the controller
 * @command: the result of a call
 *
 * Passes the result to the call's callback. A result that belongs to no pending call is ignored.
 */
void hr_core_result_received (HrCore *core, const HrCommand *command);

/**
 * hr_core_reply:
 * @core: the controller
 * @id: the id of the request
 * @status: HTTP status
 * @body: (transfer full): the JSON body
 * @retry_after: seconds after which the sender may retry; 0: no Retry-After header
 *
 * Replies to a request.
 */
void hr_core_reply (HrCore *core, guint64 id, int status, json_t *body, int retry_after);

/**
 * hr_core_reply_json:
 * @core: the controller
 * @id: the id of the request
 * @status: HTTP status
 * @text: (transfer full): the JSON body
 *
 * Replies to a request with a body that is JSON text already.
 */
void hr_core_reply_json (HrCore *core, guint64 id, int status, char *text);

/**
 * hr_core_reply_text:
 * @core: the controller
 * @id: the id of the request
 * @text: (transfer full): the plain text
 *
 * Replies to a request with status 200 and plain text.
 */
void hr_core_reply_text (HrCore *core, guint64 id, char *text);

/**
 * hr_core_refuse:
 * @core: the controller
 * @id: the id of the request
 * @status: HTTP status
 * @retry_after: as for hr_core_reply()
 * @reason: the error text for the sender; need not be valid UTF-8
 *
 * Replies to a request with an error.
 */
void hr_core_refuse (HrCore *core, guint64 id, int status, int retry_after, const char *reason);

/**
 * hr_core_broadcast_status:
 * @core: the controller
 * @status: (transfer full): this node's status
 *
 * Sends the status to every other controller.
 */
void hr_core_broadcast_status (HrCore *core, HrPeerStatus *status);

/**
 * hr_core_new_tag:
 * @core: the controller
 *
 * Returns: (transfer full): a tag that is unique among the writes of all processes
 */
char *hr_core_new_tag (HrCore *core);
