/* Writes GLib's log messages to standard error, one line each, as text or as JSON. */
#pragma once
#include <glib.h>

typedef enum { HR_LOG_TEXT, HR_LOG_JSON } HrLogFormat;

/* From here on. level: "error", "info" or "debug"; NULL or "": info. FALSE: it is none of these.
 * Debug lines of other domains than this program's are left out, unless the variable
 * G_MESSAGES_DEBUG names the domain or is "all". */
gboolean hr_log_writer_begin (const char *level, HrLogFormat format);
/* The label of this node, for lines in JSON. */
void hr_log_writer_set_label (const char *label);
/* One line without its newline, to be freed. Of a message "NAME: KEY=VALUE ..." a JSON line has
 * `event` and a member for each key; others have `message`. */
char *hr_log_writer_line (HrLogFormat format, double time, const char *level, const char *domain,
                          const char *message);
