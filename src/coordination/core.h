/* The core of a controller: the single owner of all its state. Commands go in, effects come out; no
 * I/O, no clock and no threads inside, so that the same commands give the same effects. Driven by
 * one thread at a time (hoprockd.c, or a test). Times are in seconds. */
#pragma once
#include "coordination/command.h"
#include "policy/policy.h"
#include "protocol/settings.h"

typedef struct HrCore HrCore;

/* A lease counts as over only after this factor of its life: a worker's clock may run slower than
 * ours. */
#define HR_LEASE_DRIFT_FACTOR 1.002
/* The newest format of records that this version understands. */
#define HR_FORMAT 1

/**
 * hr_core_new:
 * @settings: of the platform; must outlive the core
 * @policy: the operators' policy, which is copied
 * @names: interned names; must outlive the core
 * @incarnation: unique for this process
 * @seed: of the random draws
 *
 * Returns: (transfer full): a controller that knows nothing yet
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
 * @now: steady time
 * @wall: time of day
 * @commands: (element-type HrCommand): what has come in, in order; the caller keeps them
 * @effects: (element-type HrEffect): what is to be sent out is appended; the caller frees it
 *
 * Works through the commands, plans when that is due, and sends what has become ready.
 */
void hr_core_step (HrCore *core, double now, double wall, GPtrArray *commands, GPtrArray *effects);

/**
 * hr_core_step_took:
 * @core: the controller
 * @seconds: how long the latest step took, by the caller's clock
 *
 * Planning passes are spaced by what they take, and the core has no clock of its own. Where this is
 * never called they are spaced by the fleet's size alone.
 */
void hr_core_step_took (HrCore *core, double seconds);

/**
 * hr_core_set_supported_format:
 * @core: the controller, before its first step
 * @format: of records; 0: the version before there were formats
 *
 * For tests: makes it behave as the version that understood this format at most.
 */
void hr_core_set_supported_format (HrCore *core, guint format);

/**
 * hr_core_policy_check:
 * @policy: the operators' policy
 * @vars: the platform's figures (hr_core_policy_vars())
 * @error: return location for what does not hold
 *
 * Checks the relations between several figures that the rules rest on, beyond the range of each
 * tunable.
 *
 * Returns: whether all of them hold
 */
gboolean hr_core_policy_check (const HrPolicy *policy, GHashTable *vars, GError **error);

/**
 * hr_core_policy_vars:
 * @settings: (nullable): of the platform; %NULL for a sample platform
 * @vars: the table to fill
 *
 * Sets the platform's figures that a policy may use.
 */
void hr_core_policy_vars (const HrSettings *settings, GHashTable *vars);
