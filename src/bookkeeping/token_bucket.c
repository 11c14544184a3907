#include "bookkeeping/token_bucket.h"

double
hr_token_bucket_available (const HrTokenBucket *bucket, double now)
{
  double refilled = bucket->tokens + (now - bucket->refilled_at) * bucket->rate;
  return MIN (bucket->burst, refilled);
}

gboolean
hr_token_bucket_has_share (const HrTokenBucket *bucket, double now, double share)
{
  return hr_token_bucket_available (bucket, now) >= share * bucket->burst;
}

gboolean
hr_token_bucket_take (HrTokenBucket *bucket, double now, double tokens, double reserve)
{
  bucket->tokens = hr_token_bucket_available (bucket, now);
  bucket->refilled_at = now;
  if (bucket->tokens - tokens < reserve)
    return FALSE;
  bucket->tokens -= tokens;
  return TRUE;
}
