#include "coordination/command.h"
#include <string.h>

gboolean
hr_named_cancellations_add (HrNamedCancellations *n, const char *id)
{
  gsize size = strlen (id) + 1;
  if (size > sizeof n->ids - n->bytes)
    return FALSE;
  memcpy (n->ids + n->bytes, id, size);
  n->bytes += size;
  n->count++;
  return TRUE;
}

const char *
hr_named_cancellations_next (const HrNamedCancellations *n, const char *id)
{
  const char *next = id ? id + strlen (id) + 1 : n->ids;
  return next < n->ids + n->bytes ? next : NULL;
}

HrMethod
hr_method_of (const char *name)
{
  return strcmp (name, "GET") == 0      ? HR_GET
         : strcmp (name, "POST") == 0   ? HR_POST
         : strcmp (name, "DELETE") == 0 ? HR_DELETE
                                        : HR_OTHER_METHOD;
}

HrCommand *
hr_command_new (HrCommandKind kind)
{
  HrCommand *c = g_new0 (HrCommand, 1);
  c->kind = kind;
  if (kind == HR_COMMAND_PEER_STATUS)
    c->peer_status = g_new0 (HrPeerStatus, 1);
  return c;
}

void
hr_command_free (HrCommand *c)
{
  g_free (c->path);
  g_clear_pointer (&c->body, g_bytes_unref);
  g_free (c->peer_status);
  g_free (c);
}

void
hr_effect_free (HrEffect *e)
{
  g_free (e->body);
  g_free (e->addr);
  g_free (e->path);
  g_free (e->peer_status);
  g_free (e);
}
