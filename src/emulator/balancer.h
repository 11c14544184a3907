/* The load balancer, as users see it: one address for all controllers. It hands requests to those
 * that answer /ready, and notes for the simulated cluster the jobs that pass through it. */
#pragma once
#include "emulator/live.h"

typedef struct Balancer Balancer;

/**
 * balancer_new:
 * @live: the deployment
 * @address: where to listen, "IP:PORT"
 * @error: a #GIOErrorEnum when it cannot
 *
 * Returns: (transfer full) (nullable): %NULL with @error set
 */
Balancer *balancer_new (Live *live, const char *address, GError **error);

/**
 * balancer_free:
 *
 * Closes all connections. The cluster must not run afterwards.
 */
void balancer_free (Balancer *balancer);
