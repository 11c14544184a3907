/* The core of a controller: a deterministic state machine that owns all of the controller's state.
 * It takes commands and returns effects. It does no I/O, reads no clock and has no threads, so the
 * same commands always give the same effects. One thread at a time drives it (hoprockd.c, or a
 * test). Times are in seconds. */
#pragma once
#include "coordination/command.h"
#include "policy/policy.h"
#include "protocol/settings.h"

typedef struct HrCore HrCore;

/* A worker's lease counts as expired only after its duration times this factor, because the
 * worker's clock may run slower than this node's. */
#define HR_LEASE_DRIFT_FACTOR 1.002
/* The newest record format that this version reads and writes. */
#define HR_NEWEST_RECORD_FORMAT 1

/**
 * hr_core_new:
 * @settings: the platform's settings; must outlive the core
 * @policy: the operators' policy, which is copied
 * @names: interned names; must outlive the core
 * @incarnation: an id that is unique to this process
 * @seed: the seed of the random number generator
 *
 * Returns: (transfer full): a controller that has not read anything from the store yet
 */
HrCore *hr_core_new (const HrSettings *settings, const HrPolicy *policy, HrNames *names,
                     const char *incarnation, guint32 seed);

/**
 * hr_core_free:
 * @core: (transfer full): the controller to free
 */
void hr_core_free (HrCore *core);

/**
 * hr_core_step:
 * @core: the controller
 * @now: monotonic time, in seconds
 * @wall_time: real time, in seconds since the Epoch
 * @commands: (element-type HrCommand): the commands received since the last step, in order; the
 *   caller keeps them
 * @effects: (element-type HrEffect): the array to which the effects of the step are appended; the
 *   caller frees them
 *
 * Handles the commands, runs a planning pass if one is due, and emits the requests to the store and
 * the direct orders to workers that are ready to be sent.
 */
void hr_core_step (HrCore *core, double now, double wall_time, GPtrArray *commands,
                   GPtrArray *effects);

/**
 * hr_core_set_step_duration:
 * @core: the controller
 * @seconds: the duration of the latest step, by the caller's clock
 *
 * Tells the core, which reads no clock, how long the step took: the interval between planning
 * passes depends on their duration. If this is never called, the interval depends on the fleet's
 * size alone.
 */
void hr_core_set_step_duration (HrCore *core, double seconds);

/**
 * hr_core_set_supported_format:
 * @core: the controller, before its first step
 * @format: a record format; 0: the version before record formats existed
 *
 * For tests: makes the core behave as the version whose newest record format was this one.
 */
void hr_core_set_supported_format (HrCore *core, guint format);

/**
 * hr_core_policy_check:
 * @policy: the operators' policy
 * @vars: the platform variables (hr_core_policy_vars())
 * @error: return location for the constraint that is violated
 *
 * Checks the constraints between tunables and platform variables that the protocol depends on, in
 * addition to the range of each tunable.
 *
 * Returns: whether all constraints hold
 */
gboolean hr_core_policy_check (const HrPolicy *policy, GHashTable *vars, GError **error);

/**
 * hr_core_policy_vars:
 * @settings: (nullable): the platform's settings; %NULL for a sample platform
 * @vars: the table to fill
 *
 * Adds the platform variables that a policy may use to the table.
 */
void hr_core_policy_vars (const HrSettings *settings, GHashTable *vars);
