#pragma once
#include "bookkeeping/store.h"

void hr_garbage_add_page (HrStore *store, const HrJob *job, guint tasks_per_page, guint page);
void hr_garbage_add_job (HrStore *store, const HrJob *job);
void hr_garbage_page_deleted (HrStore *store, const HrJob *job, guint tasks_per_page, guint page);
void hr_garbage_tick (HrStore *store);
