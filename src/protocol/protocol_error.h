/* Errors in messages and settings. The error texts are for humans: those about a submission or a
 * heartbeat are sent back to its sender, those about settings are shown to the operator. */
#pragma once
#include <glib.h>

/**
 * HrProtocolError:
 * @HR_PROTOCOL_ERROR_SYNTAX: not exactly one JSON value
 * @HR_PROTOCOL_ERROR_FIELD: a field is missing, has the wrong type or is out of range
 * @HR_PROTOCOL_ERROR_SETTING: a setting is missing, has the wrong type or is out of range
 */
typedef enum {
  HR_PROTOCOL_ERROR_SYNTAX,
  HR_PROTOCOL_ERROR_FIELD,
  HR_PROTOCOL_ERROR_SETTING
} HrProtocolError;

#define HR_PROTOCOL_ERROR (hr_protocol_error_quark ())
GQuark hr_protocol_error_quark (void);
