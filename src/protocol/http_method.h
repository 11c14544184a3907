/* HTTP methods that the protocol uses. */
#pragma once

typedef enum { HR_GET, HR_POST, HR_DELETE, HR_OTHER_METHOD } HrMethod;

/* The method that a request line names. */
HrMethod hr_method_of (const char *name);
