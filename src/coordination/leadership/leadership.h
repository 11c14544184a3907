#pragma once
#include "coordination/state.h"

void hr_leadership_tick (HrCore *core);
void hr_leadership_record_read (HrCore *core);
void hr_leadership_step_down (HrCore *core, const char *why);
/* The state store has to be read anew from the start. */
void hr_leadership_reset (HrCore *core, const char *why);
/* Gives the leader's key back and leaves it to others for a while. */
void hr_leadership_resign (HrCore *core, const char *why);
gboolean hr_leadership_may_answer (const HrCore *core);
void hr_leadership_raise_token (HrCore *core, const char *why);
/* The leader record was read. value: NULL where the key was deleted. */
void hr_leadership_record_changed (HrCore *core, const json_t *value, guint64 revision);
/* The leader's lock was read. value: NULL where the key was deleted, so that nobody holds it. */
void hr_leadership_lock_changed (HrCore *core, const json_t *value, guint64 revision);
/* The store is about to be read anew: what is known of record and lock is void. */
void hr_leadership_listing_begins (HrCore *core);
/* Another controller states what it knows of who leads. */
void hr_leadership_peer_status (HrCore *core, const HrPeerStatus *status);
