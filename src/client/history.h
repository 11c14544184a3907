/* The jobs that this user submitted: one line a job, "TIME ID", in
 * $XDG_STATE_HOME/hoprock/submitted. */
#pragma once
#include <glib.h>

/**
 * hr_history_add:
 * @id: of a job that was submitted
 *
 * A failure does not stop the program; it is reported on standard error.
 */
void hr_history_add (const char *id);

/**
 * hr_history_ids:
 *
 * Returns: (transfer full) (element-type utf8): the ids, the oldest first, each once
 */
GPtrArray *hr_history_ids (void);
