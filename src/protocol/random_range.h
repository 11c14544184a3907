/* Random numbers that are the same on every processor for the same seed. GLib's own function rounds
 * differently where the processor fuses multiplication and addition (arm64). */
#pragma once
#include <glib.h>

/**
 * hr_random_range:
 * @random: the generator
 * @lo: lower end of the range
 * @hi: upper end of the range
 *
 * Returns: a random number from @lo to @hi, without @hi; as g_rand_double_range() on x86-64
 */
double hr_random_range (GRand *random, double lo, double hi);
