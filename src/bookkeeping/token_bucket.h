/* A token bucket, which limits the rate and the burst size of requests. One limits the writes to
 * the state store, another one the requests to the cloud. */
#pragma once
#include <glib.h>

typedef struct {
  double tokens;      /* at the time refilled_at; read it with hr_token_bucket_available() */
  double rate;        /* tokens per second */
  double burst;       /* maximum number of tokens */
  double refilled_at; /* monotonic time, s */
} HrTokenBucket;

/**
 * hr_token_bucket_available:
 * @bucket: a bucket
 * @now: monotonic time, in seconds
 *
 * Returns: the number of tokens in the bucket now, with those that were added since it was last
 * used
 */
double hr_token_bucket_available (const HrTokenBucket *bucket, double now);

/**
 * hr_token_bucket_has_share:
 * @bucket: a bucket
 * @now: monotonic time, in seconds
 * @share: share of the maximum number of tokens, 0 to 1
 *
 * Returns: whether the bucket now holds at least this share
 */
gboolean hr_token_bucket_has_share (const HrTokenBucket *bucket, double now, double share);

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
