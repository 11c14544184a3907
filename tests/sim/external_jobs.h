/* Jobs of users outside this process. */
#pragma once
#include "sim/user.h"
#include "sim/world.h"

/* A job of somebody outside, known from the body of its submission; NULL: the body names none. The
 * same again for a repeated one. Its tasks run as long as was estimated, give or take a third. */
SimJob *external_job (World *world, const char *body);
