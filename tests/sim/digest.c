#include "coordination/command.h"
#include "sim/digest.h"
#include "transport/peer_status_frame.h"
#include <stdio.h>
#include <string.h>

struct SimDigest {
  GChecksum *sum;
  guint64 effects;
};

SimDigest *
sim_digest_new (void)
{
  SimDigest *digest = g_new0 (SimDigest, 1);
  digest->sum = g_checksum_new (G_CHECKSUM_SHA256);
  return digest;
}

static void
add_bytes (SimDigest *digest, const void *bytes, gsize len)
{
  guint64 length = len;
  g_checksum_update (digest->sum, (const guchar *)&length, sizeof length);
  g_checksum_update (digest->sum, bytes, (gssize)len);
}

static void
add_text (SimDigest *digest, const char *text)
{
  add_bytes (digest, text ? text : "", text ? strlen (text) : 0);
}

void
sim_digest_add (SimDigest *digest, double now, int node, const HrEffect *effect)
{
  static const HrEffect none;
  const HrEffect *reply = effect->kind == HR_EFFECT_REPLY ? effect : &none;
  const HrEffect *call = effect->kind == HR_EFFECT_CALL ? effect : &none;
  digest->effects++;
  g_autofree char *head = g_strdup_printf (
      "%.6f c%d %d %" G_GUINT64_FORMAT " %d %d %d %d %d %.6f", now, node, effect->kind, effect->id,
      reply->reply.status, reply->reply.retry_after_s, reply->reply.is_plain_text,
      call->call.target, call->call.method, call->call.timeout_s);
  add_text (digest, head);
  add_text (digest, call->call.address);
  add_text (digest, call->call.path);
  add_text (digest, effect->body);
  guint8 frame[HR_MAX_FRAME];
  if (effect->kind == HR_EFFECT_PEER_STATUS)
    add_bytes (digest, frame, hr_peer_status_pack (effect->peer_status, frame));
}

void
sim_digest_finish (SimDigest *digest)
{
  static gboolean began;
  const char *path = g_getenv ("HR_SIM_DIGESTS");
  FILE *file = path ? fopen (path, began ? "a" : "w") : NULL;
  if (file) {
    began = TRUE;
    fprintf (file, "%" G_GUINT64_FORMAT " %s\n", digest->effects,
             g_checksum_get_string (digest->sum));
    fclose (file);
  }
  g_checksum_free (digest->sum);
  g_free (digest);
}
