#include "protocol/http_method.h"
#include <string.h>

HrMethod
hr_method_parse (const char *name)
{
  return strcmp (name, "GET") == 0      ? HR_GET
         : strcmp (name, "POST") == 0   ? HR_POST
         : strcmp (name, "DELETE") == 0 ? HR_DELETE
                                        : HR_OTHER_METHOD;
}
