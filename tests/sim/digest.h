/* A digest of every effect that leaves the controllers of a simulated day: replies, calls and
 * frames to other controllers, with their times, and no log text. The same program and seed give
 * the same digest, so a change that keeps the behaviour keeps it too. */
#pragma once
#include "coordination/command.h"

typedef struct SimDigest SimDigest;

SimDigest *sim_digest_new (void);
/* Counts an effect that this controller emits at this time (s of the day). */
void sim_digest_add (SimDigest *digest, double now, int node, const HrEffect *effect);
/* Ends the day. Writes a line "<effects> <SHA-256>" to the file that the environment variable
 * HR_SIM_DIGESTS names, if it does; the first day of a process begins the file anew. */
void sim_digest_finish (SimDigest *digest);
