/* The single owner of all state: commands in, effects out. No I/O and no clock inside. */
#pragma once
#include "coordination/command.h"
#include "policy/policy.h"
#include "protocol/settings.h"

typedef struct HrCore HrCore;

/* The core keeps the pointers to settings and names; they must outlive it. */
HrCore *hr_core_new (const HrSettings *settings, const HrPolicy *policy, HrNames *names,
                     const char *incarnation, guint32 seed);
/* now: a steady clock, wall: the time of day, both in seconds. Commands are
 * HrCommand, effects HrEffect. */
void hr_core_step (HrCore *core, double now, double wall, GPtrArray *commands, GPtrArray *effects);
/* The batch that was just worked through took so long, in seconds by the caller's clock. Planning
 * passes are spaced by that: the core has no clock of its own. Never called: by the fleet's size
 * alone. */
void hr_core_step_took (HrCore *core, double seconds);
/* For tests: be as the version that understood this format of records at most; 0: the one
 * before there were formats. Before the first step. */
void hr_core_set_supported_format (HrCore *core, guint format);
/* The newest format of records that this version understands. */
#define HR_FORMAT 1
void hr_core_free (HrCore *core);
/* What no single tunable's range can say: the figures that the rules rest on together. */
gboolean hr_core_policy_check (const HrPolicy *policy, GHashTable *vars, GError **error);
/* The platform's figures that a policy may use; of a sample platform when set is NULL. */
void hr_core_policy_vars (const HrSettings *settings, GHashTable *vars);
