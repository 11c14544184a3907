/* What a step sends out: calls with the callback for their answer, replies to requests, and our
 * status. For all modules of the core, within hr_core_step() only. Effects leave in the order in
 * which they are added. Times are in seconds of the steady clock. */
#pragma once
#include "bookkeeping/store.h"
#include "coordination/core.h"

/**
 * HrResultCallback:
 * @core: the controller
 * @status: HTTP status; 0: no answer came, so the call may have been carried out, or may yet be
 * @body: (nullable): of the answer
 * @sent_at: when the call was made
 * @data: as given with the call
 *
 * The answer to a call. It is called once, in a later step.
 */
typedef void (*HrResultCallback) (HrCore *core, int status, json_t *body, double sent_at,
                                  gpointer data);

/**
 * hr_core_call:
 * @core: the controller
 * @target: whom the call goes to
 * @address: (nullable): of a worker; %NULL for another target
 * @method: of the request
 * @path: (transfer full): of the request
 * @body: (transfer full) (nullable): of the request
 * @timeout_s: seconds to wait for the answer
 * @callback: gets the answer
 * @data: for the callback
 *
 * Sends a request to the store, the cloud or a worker.
 */
void hr_core_call (HrCore *core, HrTarget target, const char *address, HrMethod method, char *path,
                   char *body, double timeout_s, HrResultCallback callback, gpointer data);

/**
 * hr_core_call_store:
 * @core: the controller
 * @method: of the request
 * @path: (transfer full): of the request
 * @body: (transfer full) (nullable): of the request
 * @timeout_s: seconds to wait for the answer
 * @callback: of bookkeeping; gets the answer
 * @data: for the callback
 *
 * As hr_core_call() to the store, for bookkeeping, which knows no core.
 */
void hr_core_call_store (HrCore *core, HrMethod method, char *path, char *body, double timeout_s,
                         HrStoreCallback callback, gpointer data);

/**
 * hr_core_take_result:
 * @core: the controller
 * @command: the answer to a call
 *
 * Hands the answer to the call's callback. Ignored where no such call awaits one.
 */
void hr_core_take_result (HrCore *core, const HrCommand *command);

/**
 * hr_core_reply:
 * @core: the controller
 * @id: of the request
 * @status: HTTP status
 * @body: (transfer full): JSON
 * @retry_after: seconds after which the sender may try again; 0: not stated
 *
 * Replies to a request.
 */
void hr_core_reply (HrCore *core, guint64 id, int status, json_t *body, int retry_after);

/**
 * hr_core_reply_text:
 * @core: the controller
 * @id: of the request
 * @text: (transfer full): plain text
 *
 * Replies to a request with status 200 and plain text.
 */
void hr_core_reply_text (HrCore *core, guint64 id, char *text);

/**
 * hr_core_refuse:
 * @core: the controller
 * @id: of the request
 * @status: HTTP status
 * @retry_after: as for hr_core_reply()
 * @reason: for the sender; need not be valid UTF-8
 *
 * Replies to a request with an error text.
 */
void hr_core_refuse (HrCore *core, guint64 id, int status, int retry_after, const char *reason);

/**
 * hr_core_broadcast_status:
 * @core: the controller
 * @status: (transfer full): our status
 *
 * Sends the status to every other controller.
 */
void hr_core_broadcast_status (HrCore *core, HrPeerStatus *status);

/**
 * hr_core_new_tag:
 * @core: the controller
 *
 * Returns: (transfer full): a tag that no other write of any process carries
 */
char *hr_core_new_tag (HrCore *core);
