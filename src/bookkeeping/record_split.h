#pragma once
#include "coordination/state.h"

gboolean hr_record_split_is_possible (const HrCore *core, const HrJob *job);
void hr_record_split_request (HrCore *core, HrJob *job, gboolean urgent);
void hr_record_split_rescan (HrCore *core);
void hr_record_split_reset (HrCore *core);
void hr_record_split_scan (HrCore *core);
void hr_record_split_tick (HrCore *core);
HrStagedPage *hr_record_split_staged_page (HrJob *job, guint tasks_per_page, guint page);
/* Takes note of a page that no main record names. revision 0: it is gone. */
void hr_record_split_stage_page (HrJob *job, guint tasks_per_page, guint page, guint64 revision,
                                 const json_t *value);
void hr_record_split_apply (HrCore *core, HrJob *job, guint tasks_per_page, guint64 revision);
