/* What this user submitted: one line a job, "TIME ID", in $XDG_STATE_HOME/hoprock/submitted. */
#pragma once
#include <glib.h>

/* A failure is no reason not to go on: it is said on standard error. */
void hr_history_add (const char *id);
/* Ids, the oldest first, each once; to be freed with g_ptr_array_unref. */
GPtrArray *hr_history_ids (void);
