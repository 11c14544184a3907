#include "protocol/protocol_error.h"

GQuark
hr_protocol_error_quark (void)
{
  return g_quark_from_static_string ("hr-protocol-error-quark");
}
