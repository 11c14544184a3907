#pragma once
#include "bookkeeping/store.h"

void hr_record_writer_tick (HrStore *store);
void hr_record_writer_mark (HrStore *store, HrJob *job, guint32 task_index);
void hr_record_writer_confirmed (HrStore *store, HrJob *job, HrRecordPage *page, guint64 revision);
/* Not written again before a while, longer each time. */
void hr_record_writer_back_off (HrStore *store, HrJob *job);
