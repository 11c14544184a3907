#pragma once
#include "coordination/state.h"

void hr_record_writer_tick (HrCore *core);
void hr_record_writer_mark (HrCore *core, HrJob *job, guint32 task_index);
void hr_record_writer_confirmed (HrCore *core, HrJob *job, HrRecordPage *page, guint64 revision);
/* Not written again before a while, longer each time. */
void hr_record_writer_back_off (HrCore *core, HrJob *job);
