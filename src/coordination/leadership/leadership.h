#pragma once
#include "coordination/state.h"

void hr_leadership_tick (HrCore *core);
void hr_leadership_record_read (HrCore *core);
void hr_leadership_step_down (HrCore *core, const char *why);
/* The state store has to be read anew from the start. */
void hr_leadership_reset (HrCore *core, const char *why);
/* Gives the leader's key back and leaves it to others for a while. */
void hr_leadership_resign (HrCore *core, const char *why);
void hr_membership_status_received (HrCore *core, const HrPeerStatus *status);
gboolean hr_leadership_may_answer (const HrCore *core);
/* As far as other members say, the state service answers none of us. */
gboolean hr_membership_store_outage_for_all (const HrCore *core);
void hr_leadership_raise_token (HrCore *core, const char *why);
