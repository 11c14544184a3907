/* Writes GLib's log messages to standard error, one line each, as text or as JSON. There is one
 * writer for the whole process. */
#pragma once
#include <glib.h>

typedef enum { HR_LOG_TEXT, HR_LOG_JSON } HrLogFormat;

/**
 * hr_log_writer_begin:
 * @level: (nullable): "error", "info" or "debug"; %NULL and "" stand for "info"
 * @format: of the lines
 *
 * Takes over all log messages from here on. Debug lines of other domains than this program's are
 * left out, unless the variable G_MESSAGES_DEBUG names the domain or is "all".
 *
 * Returns: %FALSE, with nothing done, when @level is none of these
 */
gboolean hr_log_writer_begin (const char *level, HrLogFormat format);

/**
 * hr_log_writer_set_label:
 * @label: of this controller
 *
 * The label is added to lines in JSON from here on.
 */
void hr_log_writer_set_label (const char *label);

/**
 * hr_log_writer_line:
 * @format: of the line
 * @time: seconds since 1970
 * @level: the name of a level
 * @domain: of the message
 * @message: the message
 *
 * Of a message "NAME: KEY=VALUE ..." a JSON line has `event` and a member for each key; others have
 * `message`.
 *
 * Returns: (transfer full): one line, without its newline
 */
char *hr_log_writer_line (HrLogFormat format, double time, const char *level, const char *domain,
                          const char *message);
