/* Writes GLib's log messages to standard error, one line each, as text or as JSON. The writer is
 * global to the process. */
#pragma once
#include <glib.h>

typedef enum { HR_LOG_TEXT, HR_LOG_JSON } HrLogFormat;

/**
 * hr_log_writer_install:
 * @level: (nullable): "error", "info" or "debug"; %NULL and "" mean "info"
 * @format: format of the lines
 *
 * Installs the writer for all log messages of the process. Debug messages of other log domains than
 * this program's are dropped, unless the environment variable G_MESSAGES_DEBUG contains the domain
 * or "all".
 *
 * Returns: %FALSE, without installing the writer, when @level is not valid
 */
gboolean hr_log_writer_install (const char *level, HrLogFormat format);

/**
 * hr_log_writer_set_label:
 * @label: label of this controller
 *
 * Sets the label that is added to lines in JSON.
 */
void hr_log_writer_set_label (const char *label);

/**
 * hr_log_writer_line:
 * @format: format of the line
 * @time: real time, in seconds since the epoch
 * @level: name of the log level
 * @domain: log domain of the message
 * @message: the message
 *
 * Formats a log message. In JSON, a message of the form "NAME: KEY=VALUE ..." becomes the member
 * `event` and a member for each key; any other becomes the member `message`.
 *
 * Returns: (transfer full): the line, without a newline
 */
char *hr_log_writer_line (HrLogFormat format, double time, const char *level, const char *domain,
                          const char *message);
