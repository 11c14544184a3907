/* Requests that must be refused or change nothing. */
#pragma once
#include "sim/user.h"
#include "sim/world.h"

void malformed_requests_begin (World *world);
/* The submission of a job just accepted is repeated with other content, at all controllers. */
void malformed_requests_repeat (World *world, SimJob *job);
