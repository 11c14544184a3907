#pragma once
#include "coordination/state.h"

void hr_garbage_add_page (HrCore *core, const HrJob *job, guint tasks_per_page, guint page);
void hr_garbage_add_job (HrCore *core, const HrJob *job);
void hr_garbage_page_deleted (HrCore *core, const HrJob *job, guint tasks_per_page, guint page);
void hr_garbage_tick (HrCore *core);
