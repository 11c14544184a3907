/* Troubles drawn from a random stream: of a kind that is given, all else by chance. */
#include "sim/troubles.h"

#define LEAST_S 0.5
#define MOST_LEASES 1.3

static void
draw_cut (GRand *rand, HrTrouble *trouble)
{
  trouble->from_state = g_rand_boolean (rand);
  trouble->from_peers = g_rand_boolean (rand);
  trouble->from_workers = g_rand_boolean (rand);
  trouble->from_users = g_rand_int_range (rand, 0, 4) == 0;
  if (!trouble->from_state && !trouble->from_peers && !trouble->from_users)
    trouble->from_workers = TRUE;
}

static void
draw_crash (GRand *rand, HrTrouble *trouble)
{
  trouble->for_s = 0;
  trouble->back_s =
      g_rand_boolean (rand) ? g_rand_double_range (rand, 0.1, 1) : g_rand_double_range (rand, 1, 7);
}

static void
draw_cancel (GRand *rand, HrTrouble *trouble, double lease_s)
{
  trouble->for_s = 0;
  trouble->count = g_rand_int_range (rand, 1, 8);
  trouble->hang_s = g_rand_boolean (rand) ? g_rand_double_range (rand, 1, lease_s) : 0;
}

HrTrouble
trouble_draw (GRand *rand, HrTroubleKind kind, double at_s, double lease_s)
{
  HrTrouble trouble = {.at_s = at_s, .kind = kind};
  trouble.for_s = g_rand_double_range (rand, LEAST_S, MOST_LEASES * lease_s);
  trouble.who = g_rand_int_range (rand, WHO_LEADER, WHO_ALL + 1);
  trouble.share = g_rand_double_range (rand, 0.1, 0.9);
  trouble.hold = g_rand_boolean (rand);
  trouble.at_once = g_rand_boolean (rand);
  trouble.delay_s = g_rand_double_range (rand, 0.05, 0.4);
  if (kind == TROUBLE_ZONE_CUT)
    trouble.zone = ZONE (g_rand_int_range (rand, 0, 2));
  if (kind == TROUBLE_MACHINE_CRASH)
    trouble.count = 1;
  if (kind == TROUBLE_NODE_CUT)
    draw_cut (rand, &trouble);
  if (kind == TROUBLE_NODE_CRASH)
    draw_crash (rand, &trouble);
  if (kind == TROUBLE_CANCEL_NOW)
    draw_cancel (rand, &trouble, lease_s);
  trouble.for_next = kind == TROUBLE_LATE_REPORTS && g_rand_int_range (rand, 0, 3) == 0;
  trouble.to_all = kind == TROUBLE_LATE_REPORTS && !trouble.for_next && g_rand_boolean (rand);
  return trouble;
}
