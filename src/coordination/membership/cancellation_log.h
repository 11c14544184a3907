#pragma once
#include "coordination/state.h"

void hr_cancellation_log_append (HrCore *core, const HrJob *job, guint64 revision);
void hr_cancellation_log_fill_status (HrCore *core, HrPeerStatus *status);
void hr_cancellation_log_take_named (HrCore *core, HrPeer *peer);
gboolean hr_cancellation_log_all_taken (const HrCore *core, const HrPeer *peer);
void hr_cancellation_log_acknowledged (HrCore *core, const HrPeer *peer);
