/* A token bucket: an allowance that refills at a steady rate, up to a burst. */
#pragma once
#include <glib.h>

typedef struct {
  double tokens;      /* as of refilled_at */
  double rate;        /* tokens a second */
  double burst;       /* the most that it holds */
  double refilled_at; /* steady time, s */
} HrTokenBucket;

/* Takes tokens, if at least `reserve` stay behind; FALSE and nothing taken if not. now: steady
 * time, s. */
gboolean hr_token_bucket_take (HrTokenBucket *bucket, double now, double tokens, double reserve);
