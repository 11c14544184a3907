#pragma once
#include "bookkeeping/store.h"

/* What records are planned for, and what is sent at all. */
gsize hr_record_layout_planned_bytes (const HrStore *store);
gsize hr_record_layout_max_bytes (const HrStore *store);
/* Tasks a page; 0: all tasks stand in the main record. beside: bytes of what else stands there. */
guint hr_record_layout_choose (HrStore *store, const HrJobSpec *spec, gsize beside);
guint hr_record_layout_page_size (HrStore *store, guint32 tasks);
/* For a record that has become too large. */
guint hr_record_layout_smaller (HrStore *store, const HrJob *job);
/* Is any record of the job, as it stands in the state store, beyond what is planned for? */
gboolean hr_record_layout_is_oversized (HrStore *store, const HrJob *job);
