#pragma once
#include "bookkeeping/store.h"

gboolean hr_record_split_is_possible (const HrStore *store, const HrJob *job);
void hr_record_split_request (HrStore *store, HrJob *job, gboolean urgent);
void hr_record_split_rescan (HrStore *store);
void hr_record_split_reset (HrStore *store);
void hr_record_split_scan (HrStore *store);
void hr_record_split_tick (HrStore *store);
HrStagedPage *hr_record_split_staged_page (HrJob *job, guint tasks_per_page, guint page);
/* Takes note of a page that no main record names. revision 0: it is gone. */
void hr_record_split_stage_page (HrJob *job, guint tasks_per_page, guint page, guint64 revision,
                                 const json_t *value);
void hr_record_split_apply (HrStore *store, HrJob *job, guint tasks_per_page, guint64 revision);
