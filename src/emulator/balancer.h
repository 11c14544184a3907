/* The load balancer: one address through which users reach all controllers. It forwards requests to
 * controllers that answer /ready, and records the submitted jobs in the simulated cluster. */
#pragma once
#include "emulator/emulator.h"

typedef struct Balancer Balancer;

/**
 * balancer_new:
 * @emulator: the deployment
 * @address: address to listen on, "IP:PORT"
 * @error: a #GIOErrorEnum when it cannot listen there
 *
 * Returns: (transfer full) (nullable): the load balancer, or %NULL with @error set
 */
Balancer *balancer_new (Emulator *emulator, const char *address, GError **error);

/**
 * balancer_free:
 *
 * Closes all connections. The cluster must not run afterwards.
 */
void balancer_free (Balancer *balancer);
