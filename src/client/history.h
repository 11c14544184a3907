/* The history of the jobs that this user submitted: one line "TIME ID" per submission, in
 * $XDG_STATE_HOME/hoprock/submitted. TIME is real time, in seconds since the epoch. */
#pragma once
#include <glib.h>

/**
 * hr_history_add:
 * @id: id of a submitted job
 *
 * Appends the job to the history. A failure is reported on standard error and otherwise ignored.
 */
void hr_history_add (const char *id);

/**
 * hr_history_ids:
 *
 * Returns: (transfer full) (element-type utf8): the ids without duplicates, the oldest first
 */
GPtrArray *hr_history_ids (void);
