/* HTTP methods that the protocol uses. */
#pragma once

typedef enum { HR_GET, HR_POST, HR_DELETE, HR_OTHER_METHOD } HrMethod;

/**
 * hr_method_parse:
 * @name: the method in a request line, such as "GET"
 *
 * Returns: the method; %HR_OTHER_METHOD for any that the protocol does not use
 */
HrMethod hr_method_parse (const char *name);
