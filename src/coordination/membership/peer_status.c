#include "coordination/membership/peer_status.h"
#include <string.h>

gboolean
hr_echo_is_for (const HrEcho *echo, const char *label, const char *incarnation)
{
  return g_str_equal (echo->label, label) && g_str_equal (echo->incarnation, incarnation);
}

gboolean
hr_named_cancellations_add (HrNamedCancellations *named, const char *id)
{
  gsize size = strlen (id) + 1;
  if (size > sizeof named->ids - named->bytes)
    return FALSE;
  memcpy (named->ids + named->bytes, id, size);
  named->bytes += size;
  named->count++;
  return TRUE;
}

const char *
hr_named_cancellations_next (const HrNamedCancellations *named, const char *id)
{
  const char *next = id ? id + strlen (id) + 1 : named->ids;
  return next < named->ids + named->bytes ? next : NULL;
}
