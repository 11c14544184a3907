/* Errors of messages and settings that make no sense. The texts are for people: those about a
 * submission or a heartbeat go back to its sender, those about settings to the operator. */
#pragma once
#include <glib.h>

/**
 * HrProtocolError:
 * @HR_PROTOCOL_ERROR_SYNTAX: not one JSON value
 * @HR_PROTOCOL_ERROR_FIELD: a field is missing, of the wrong type or out of its range
 * @HR_PROTOCOL_ERROR_SETTING: the same of a setting
 */
typedef enum {
  HR_PROTOCOL_ERROR_SYNTAX,
  HR_PROTOCOL_ERROR_FIELD,
  HR_PROTOCOL_ERROR_SETTING
} HrProtocolError;

#define HR_PROTOCOL_ERROR (hr_protocol_error_quark ())
GQuark hr_protocol_error_quark (void);
