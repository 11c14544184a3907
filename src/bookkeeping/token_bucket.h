/* A token bucket: an allowance that refills at a steady rate, up to a burst. There is one for
 * changes of the store and one for requests to the cloud. */
#pragma once
#include <glib.h>

typedef struct {
  double tokens;      /* as of refilled_at */
  double rate;        /* tokens a second */
  double burst;       /* the most that it holds */
  double refilled_at; /* steady time, s */
} HrTokenBucket;

/**
 * hr_token_bucket_take:
 * @bucket: a bucket
 * @now: steady time, s
 * @tokens: how many to take
 * @reserve: tokens that must be left
 *
 * Refills the bucket, then takes the tokens if enough are left.
 *
 * Returns: were they taken?
 */
gboolean hr_token_bucket_take (HrTokenBucket *bucket, double now, double tokens, double reserve);
