#include "coordination/effects.h"
#include "coordination/state.h"
#include "protocol/cloud.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include "protocol/worker.h"

/* A call that awaits its response. Exactly one of the two callbacks is set. */
typedef struct {
  HrResultCallback callback;
  HrStoreCallback store_callback;
  gpointer data;
  HrTarget target;
  double sent_at; /* monotonic time, s */
} PendingCall;

static HrEffect *
add_effect (HrCore *core, HrEffectKind kind)
{
  HrEffect *effect = g_new0 (HrEffect, 1);
  effect->kind = kind;
  g_ptr_array_add (core->effects, effect);
  return effect;
}

static PendingCall *
send_call (HrCore *core, HrTarget target, const char *address, HrMethod method, char *path,
           char *body, double timeout_s)
{
  HrEffect *effect = add_effect (core, HR_EFFECT_CALL);
  effect->id = ++core->calls.last_id;
  effect->call.target = target;
  effect->call.address = g_strdup (address);
  effect->call.method = method;
  effect->call.path = path;
  effect->body = body;
  effect->call.timeout_s = timeout_s;
  PendingCall *pending = g_new0 (PendingCall, 1);
  pending->target = target;
  pending->sent_at = core->now;
  g_hash_table_insert (core->calls.pending, g_memdup2 (&effect->id, sizeof effect->id), pending);
  return pending;
}

void
hr_core_call (HrCore *core, HrTarget target, const char *address, HrMethod method, char *path,
              char *body, double timeout_s, HrResultCallback callback, gpointer data)
{
  PendingCall *pending = send_call (core, target, address, method, path, body, timeout_s);
  pending->callback = callback;
  pending->data = data;
}

void
hr_core_call_store (HrCore *core, HrMethod method, char *path, char *body, double timeout_s,
                    HrStoreCallback callback, gpointer data)
{
  PendingCall *pending = send_call (core, HR_TO_STORE, NULL, method, path, body, timeout_s);
  pending->store_callback = callback;
  pending->data = data;
}

void
hr_core_reply (HrCore *core, guint64 id, int status, json_t *body, int retry_after)
{
  HrEffect *effect = add_effect (core, HR_EFFECT_REPLY);
  effect->id = id;
  effect->reply.status = status;
  effect->reply.retry_after_s = retry_after;
  effect->body = hr_json_take_text (body);
}

void
hr_core_reply_json (HrCore *core, guint64 id, int status, char *text)
{
  HrEffect *effect = add_effect (core, HR_EFFECT_REPLY);
  effect->id = id;
  effect->reply.status = status;
  effect->body = text;
}

void
hr_core_reply_text (HrCore *core, guint64 id, char *text)
{
  HrEffect *effect = add_effect (core, HR_EFFECT_REPLY);
  effect->id = id;
  effect->reply.status = 200;
  effect->reply.is_plain_text = TRUE;
  effect->body = text;
}

void
hr_core_refuse (HrCore *core, guint64 id, int status, int retry_after, const char *reason)
{
  /* A parser's message may quote bytes of the request that are not valid UTF-8. */
  g_autofree char *text = g_utf8_make_valid (reason, -1);
  hr_core_reply (core, id, status, json_pack ("{ss}", "error", text), retry_after);
}

void
hr_core_broadcast_status (HrCore *core, HrPeerStatus *status)
{
  HrEffect *effect = add_effect (core, HR_EFFECT_PEER_STATUS);
  effect->peer_status = status;
}

static const char *const target_names[] = {
    [HR_TO_STORE] = "state-service", [HR_TO_CLOUD] = "cloud", [HR_TO_WORKER] = "worker"};

/* Returns the members of the answers of a service. */
static const HrJsonMember *
answer_members (HrTarget target)
{
  switch (target) {
  case HR_TO_STORE:
    return hr_store_answer_members;
  case HR_TO_CLOUD:
    return hr_cloud_answer_members;
  case HR_TO_WORKER:
    return hr_heartbeat_members;
  }
  g_assert_not_reached ();
}

char *
hr_core_new_tag (HrCore *core)
{
  return g_strdup_printf ("%s.%" G_GUINT64_FORMAT, core->incarnation, ++core->last_tag);
}

void
hr_core_result_received (HrCore *core, const HrCommand *command)
{
  gpointer key, val;
  if (!g_hash_table_steal_extended (core->calls.pending, &command->id, &key, &val))
    return;
  g_autofree guint64 *id = key;
  g_autofree PendingCall *pending = val;
  json_t *body = NULL;
  int status = command->result.status;
  if (command->body && g_bytes_get_size (command->body)) {
    gsize len;
    const char *data = g_bytes_get_data (command->body, &len);
    g_autoptr (GError) error = NULL;
    body = hr_json_parse (data, len, answer_members (pending->target), &error);
    /* A successful response with an unparsable body counts as no response: the receiver may have
     * carried out the call. */
    if (!body && status == 200) {
      hr_refusal_record (core, HR_REFUSAL_ANSWER, target_names[pending->target], error->message);
      status = 0;
    }
  }
  if (pending->callback)
    pending->callback (core, status, body, pending->sent_at, pending->data);
  else
    pending->store_callback (&core->store, status, body, pending->sent_at, pending->data);
  json_decref (body);
}
