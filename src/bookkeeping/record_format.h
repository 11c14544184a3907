#pragma once
#include "coordination/state.h"

void hr_record_format_read (HrCore *core, const json_t *value, guint64 revision);
void hr_record_format_tick (HrCore *core);
void hr_record_format_fill_status (const HrCore *core, HrPeerStatus *status);
void hr_record_format_status_received (HrCore *core, const HrPeerStatus *status);
/* The job's record is too large to be cancelled: the leader is to split it first. */
void hr_record_format_note_oversized (HrCore *core, HrJob *job);
