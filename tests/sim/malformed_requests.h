/* Requests that must be rejected or have no effect. */
#pragma once
#include "sim/user.h"
#include "sim/world.h"

void malformed_requests_begin (World *world);
/* Repeats the submission of a job just accepted, with other content, at all controllers. */
void malformed_requests_repeat (World *world, SimJob *job);
