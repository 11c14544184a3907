#pragma once
#include "coordination/state.h"

/* The job's record was read or written, at the stance now in j; `ids`: what it awaits, or NULL. */
void hr_dependencies_job_read (HrCore *core, HrJob *job, const char *const *ids);
/* The job is done or cancelled: those that await it become ready, or are cancelled with it. */
void hr_dependencies_job_final (HrCore *core, HrJob *job);
/* The first of these jobs that this node knows nothing of, or NULL. */
const char *hr_dependencies_find_unknown (HrCore *core, GStrv ids);
/* The first of these jobs that is a service which goes on, or NULL. */
const char *hr_dependencies_find_service (HrCore *core, GStrv ids);
/* Which jobs it waits for, or which cancelled one took it along; NULL: neither. */
char *hr_dependencies_reason (const HrJob *job);
void hr_dependencies_tick (HrCore *core);
