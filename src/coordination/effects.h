/* What a step sends out: calls of ours with the callback for their answer, and replies to requests.
 */
#pragma once
#include "bookkeeping/store.h"
#include "coordination/core.h"

/* The answer to a call of ours. status: HTTP status; 0: no answer, so the call may have been
 * carried out, or may yet be. body: NULL where there is none. sent_at: when the call was made,
 * steady time, s. */
typedef void (*HrResultCallback) (HrCore *core, int status, json_t *body, double sent_at,
                                  gpointer data);

/* Sends a request to the store, the cloud or a worker; `callback` gets its answer, or status 0 when
 * none came. address: of a worker, else NULL. Takes path and body (NULL: none). timeout_s: seconds.
 */
void hr_core_call (HrCore *core, HrTarget target, const char *address, HrMethod method, char *path,
                   char *body, double timeout_s, HrResultCallback callback, gpointer data);
/* The same to the store, for a callback of bookkeeping. */
void hr_core_call_store (HrCore *core, HrMethod method, char *path, char *body, double timeout_s,
                         HrStoreCallback callback, gpointer data);
/* The answer to a call: hands it to the call's callback. Ignored where the call is not known. */
void hr_core_take_result (HrCore *core, const HrCommand *command);
/* Replies to the request `id`. Takes body. retry_after: seconds; 0: none. */
void hr_core_reply (HrCore *core, guint64 id, int status, json_t *body, int retry_after);
/* The same with plain text, which it takes, and status 200. */
void hr_core_reply_text (HrCore *core, guint64 id, char *text);
/* Replies with an error text. */
void hr_core_refuse (HrCore *core, guint64 id, int status, int retry_after, const char *reason);
/* Sends our status to every other controller. Takes it. */
void hr_core_broadcast_status (HrCore *core, HrPeerStatus *status);
/* A tag that no other write of any process carries. To be freed. */
char *hr_core_new_tag (HrCore *core);
