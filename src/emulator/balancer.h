/* The load balancer, as far as users see it: one address for all controllers. It asks those that
 * answer /ready, and tells the stand-ins of the jobs that pass through it. */
#pragma once
#include "emulator/live.h"

typedef struct Balancer Balancer;

/* Listens on address (IP:PORT). NULL: it cannot, and *error says why. */
Balancer *balancer_new (Live *live, const char *address, GError **error);
void balancer_free (Balancer *balancer);
