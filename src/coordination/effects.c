#include "coordination/effects.h"
#include "coordination/state.h"
#include "protocol/json_util.h"

/* A call without an answer yet. One of the two callbacks is set. */
typedef struct {
  HrResultCallback callback;
  HrStoreCallback store_callback;
  gpointer data;
  double sent_at; /* steady time, s */
} PendingCall;

static HrEffect *
add_effect (HrCore *core, HrEffectKind kind)
{
  HrEffect *added = g_new0 (HrEffect, 1);
  added->kind = kind;
  g_ptr_array_add (core->effects, added);
  return added;
}

static PendingCall *
send_call (HrCore *core, HrTarget target, const char *address, HrMethod method, char *path,
           char *body, double timeout_s)
{
  HrEffect *added = add_effect (core, HR_EFFECT_CALL);
  added->id = ++core->calls.last_id;
  added->call.target = target;
  added->call.address = g_strdup (address);
  added->call.method = method;
  added->call.path = path;
  added->body = body;
  added->call.timeout_s = timeout_s;
  PendingCall *pending = g_new0 (PendingCall, 1);
  pending->sent_at = core->now;
  g_hash_table_insert (core->calls.pending, g_memdup2 (&added->id, sizeof added->id), pending);
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
  HrEffect *added = add_effect (core, HR_EFFECT_REPLY);
  added->id = id;
  added->reply.status = status;
  added->reply.retry_after_s = retry_after;
  added->body = hr_json_take_text (body);
}

void
hr_core_reply_text (HrCore *core, guint64 id, char *text)
{
  HrEffect *added = add_effect (core, HR_EFFECT_REPLY);
  added->id = id;
  added->reply.status = 200;
  added->reply.is_plain_text = TRUE;
  added->body = text;
}

void
hr_core_refuse (HrCore *core, guint64 id, int status, int retry_after, const char *reason)
{
  /* A parser's message may quote bytes of the request that are no UTF-8. */
  g_autofree char *text = g_utf8_make_valid (reason, -1);
  hr_core_reply (core, id, status, json_pack ("{ss}", "error", text), retry_after);
}

void
hr_core_broadcast_status (HrCore *core, HrPeerStatus *status)
{
  HrEffect *added = add_effect (core, HR_EFFECT_PEER_STATUS);
  added->peer_status = status;
}

char *
hr_core_new_tag (HrCore *core)
{
  return g_strdup_printf ("%s.%" G_GUINT64_FORMAT, core->incarnation, ++core->last_tag);
}

void
hr_core_take_result (HrCore *core, const HrCommand *command)
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
    body = hr_json_parse (data, len, &error);
    /* A success whose body can't be read is no answer: it may have been carried out. */
    if (!body && status == 200) {
      g_info ("an answer could not be read: %s", error->message);
      status = 0;
    }
  }
  if (pending->callback)
    pending->callback (core, status, body, pending->sent_at, pending->data);
  else
    pending->store_callback (&core->store, status, body, pending->sent_at, pending->data);
  json_decref (body);
}
