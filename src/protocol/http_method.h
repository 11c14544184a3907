/* HTTP methods that the protocol uses, and statuses of this program's own. */
#pragma once

/* Status of a call, which no server sends: its answer was larger than this program reads, and was
 * dropped. The call was carried out. */
#define HR_STATUS_ANSWER_TOO_LARGE 1

typedef enum { HR_GET, HR_POST, HR_DELETE, HR_OTHER_METHOD } HrMethod;

/**
 * hr_method_parse:
 * @name: the method in a request line, such as "GET"
 *
 * Returns: the method; %HR_OTHER_METHOD for any that the protocol does not use
 */
HrMethod hr_method_parse (const char *name);
