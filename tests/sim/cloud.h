/* The simulated cloud: instances requested by name, lists that lag, boots that fail, spot notices.
 */
#pragma once
#include "sim/request.h"
#include "sim/worker.h"
#include "sim/world.h"

void cloud_request (World *world, SimRequest *request);
void cloud_init (World *world);
void cloud_free (World *world);
void machine_take (World *world, SimMachine *machine);
void machine_end (World *world, SimMachine *machine);
