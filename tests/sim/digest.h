/* A digest of every effect that leaves the controllers of a simulated day: replies, calls and
 * frames to other controllers, with their times, but no log text. The same program and seed give
 * the same digest, so a change that preserves the behaviour preserves the digest. */
#pragma once
#include "coordination/command.h"

typedef struct SimDigest SimDigest;

SimDigest *sim_digest_new (void);
/* Adds an effect that this controller emits. now: seconds of the day. */
void sim_digest_add (SimDigest *digest, double now, int node, const HrEffect *effect);
/* Ends the day and frees the digest. Writes a line "<effects> <SHA-256>" to the file that the
 * environment variable HR_SIM_DIGESTS names, if it is set; the first day of a process truncates the
 * file. */
void sim_digest_finish (SimDigest *digest);
