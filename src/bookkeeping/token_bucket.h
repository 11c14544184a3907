/* A token bucket, which limits the rate and the burst size of requests. One limits the writes to
 * the state store, another one the requests to the cloud. */
#pragma once
#include <glib.h>

typedef struct {
  double tokens;      /* at the time refilled_at */
  double rate;        /* tokens per second */
  double burst;       /* maximum number of tokens */
  double refilled_at; /* monotonic time, s */
} HrTokenBucket;

/**
 * hr_token_bucket_take:
 * @bucket: a bucket
 * @now: monotonic time, in seconds
 * @tokens: number of tokens to take
 * @reserve: number of tokens that must remain
 *
 * Refills the bucket, then takes the tokens if enough remain.
 *
 * Returns: whether the tokens were taken
 */
gboolean hr_token_bucket_take (HrTokenBucket *bucket, double now, double tokens, double reserve);
