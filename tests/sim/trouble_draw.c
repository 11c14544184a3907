/* Draws a fault of a given kind from a random stream. */
#include "protocol/random_range.h"
#include "sim/troubles.h"

#define MIN_DURATION_S 0.5
#define MAX_DURATION_LEASES 1.3

static void
draw_cut (GRand *rand, HrFault *fault)
{
  fault->from_state = g_rand_boolean (rand);
  fault->from_peers = g_rand_boolean (rand);
  fault->from_workers = g_rand_boolean (rand);
  fault->from_users = g_rand_int_range (rand, 0, 4) == 0;
  if (!fault->from_state && !fault->from_peers && !fault->from_users)
    fault->from_workers = TRUE;
}

static void
draw_crash (GRand *rand, HrFault *fault)
{
  fault->for_s = 0;
  fault->back_s =
      g_rand_boolean (rand) ? hr_random_range (rand, 0.1, 1) : hr_random_range (rand, 1, 7);
}

static void
draw_cancel (GRand *rand, HrFault *fault, double lease_s)
{
  fault->for_s = 0;
  fault->count = g_rand_int_range (rand, 1, 8);
  fault->hang_s = g_rand_boolean (rand) ? hr_random_range (rand, 1, lease_s) : 0;
}

HrFault
fault_draw (GRand *rand, HrFaultKind kind, double at_s, double lease_s)
{
  HrFault fault = {.at_s = at_s, .kind = kind};
  fault.for_s = hr_random_range (rand, MIN_DURATION_S, MAX_DURATION_LEASES * lease_s);
  fault.who = g_rand_int_range (rand, WHO_LEADER, WHO_ALL + 1);
  fault.share = hr_random_range (rand, 0.1, 0.9);
  fault.hold = g_rand_boolean (rand);
  fault.at_once = g_rand_boolean (rand);
  fault.delay_s = hr_random_range (rand, 0.05, 0.4);
  if (kind == FAULT_ZONE_CUT)
    fault.zone = ZONE (g_rand_int_range (rand, 0, 2));
  if (kind == FAULT_MACHINE_CRASH)
    fault.count = 1;
  if (kind == FAULT_NODE_CUT)
    draw_cut (rand, &fault);
  if (kind == FAULT_NODE_CRASH)
    draw_crash (rand, &fault);
  if (kind == FAULT_CANCEL_NOW)
    draw_cancel (rand, &fault, lease_s);
  fault.for_next = kind == FAULT_LATE_REPORTS && g_rand_int_range (rand, 0, 3) == 0;
  fault.to_all = kind == FAULT_LATE_REPORTS && !fault.for_next && g_rand_boolean (rand);
  return fault;
}
