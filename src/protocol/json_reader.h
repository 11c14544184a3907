/* Reads the JSON body of a message: the members that the message's description names, and nothing
 * else. Unknown members are checked against the grammar of JSON (RFC 8259) and skipped; their
 * values are never converted, so a number too large for any type or a string without a Unicode form
 * in them does no harm. yajl parses the text and hands over numbers as text; the members that are
 * kept become jansson values, which json_util.h gives access to. */
#pragma once
#include "protocol/protocol_error.h"
#include <glib.h>
#include <jansson.h>

/**
 * HrJsonKind:
 * @HR_JSON_SCALAR: a string, a number, a boolean or null
 * @HR_JSON_COUNT: an integer from 0 to 2^64 - 1, for hr_json_count()
 * @HR_JSON_LIST: an array of scalars and, if the member has `members`, of objects
 * @HR_JSON_OBJECT: an object with `members`
 * @HR_JSON_ANY: any value, kept with all that it contains
 *
 * The form of a member that is kept. A value of another form stays recognizable as such: an array
 * or an object in place of a scalar becomes an empty one.
 */
typedef enum {
  HR_JSON_SCALAR,
  HR_JSON_COUNT,
  HR_JSON_LIST,
  HR_JSON_OBJECT,
  HR_JSON_ANY
} HrJsonKind;

typedef struct HrJsonMember HrJsonMember;

/**
 * HrJsonMember:
 * @name: name of the member; %NULL ends a list of members
 * @kind: its form
 * @members: (nullable): for %HR_JSON_LIST and %HR_JSON_OBJECT: the members of the objects
 *
 * A member that a message is known to have.
 */
struct HrJsonMember {
  const char *name;
  HrJsonKind kind;
  const HrJsonMember *members;
};

/**
 * hr_json_parse:
 * @data: (nullable): a complete body
 * @len: its length in bytes
 * @members: the known members of the body
 * @error: %HR_PROTOCOL_ERROR_SYNTAX when @data is not exactly one JSON text in UTF-8;
 *   %HR_PROTOCOL_ERROR_FIELD when it is no object, or when a known member occurs twice or holds a
 *   value that has no representation. The message is valid UTF-8.
 *
 * Parses a body. The types and ranges of its members are left to the caller.
 *
 * Returns: (transfer full) (nullable): an object with the known members of the body; %NULL with
 *   @error set
 */
json_t *hr_json_parse (const char *data, gsize len, const HrJsonMember *members, GError **error);
