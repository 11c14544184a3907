#include "bookkeeping/token_bucket.h"

gboolean
hr_token_bucket_take (HrTokenBucket *bucket, double now, double tokens, double reserve)
{
  double refilled = bucket->tokens + (now - bucket->refilled_at) * bucket->rate;
  bucket->tokens = MIN (bucket->burst, refilled);
  bucket->refilled_at = now;
  if (bucket->tokens - tokens < reserve)
    return FALSE;
  bucket->tokens -= tokens;
  return TRUE;
}
