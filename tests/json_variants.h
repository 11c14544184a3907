/* Spellings of JSON messages for generated tests: the same message in another form, with members
 * that no receiver knows, and malformed ones. The random numbers alone decide which. */
#pragma once
#include "protocol/json_reader.h"

/* Appends any JSON value, valid by RFC 8259: also numbers beyond every type, strings without a
 * Unicode form, repeated names and deep nesting. */
void json_random_value (GRand *rand, GString *text);
/* Returns the text of an object with an unknown member added; a text that is no object unchanged.
 */
char *json_with_unknown_member (GRand *rand, const char *text);
/* Returns another text of the message: members in another order, unknown ones between them, other
 * escapes, numbers and white space, and nulls left out. */
char *json_variant (GRand *rand, const json_t *message, const HrJsonMember *members);
/* Returns a malformed text made from that of an object with at least one member. */
char *json_malformed (GRand *rand, const char *text);
