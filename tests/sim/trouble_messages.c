/* Planned troubles on the way of messages: held up, copied, without an answer, cut off. */
#include "sim/trouble_parts.h"
#include <string.h>

#define FAST_BOOT_S 2.0
#define KEPT_MAX 500

/* ---- requests on their way ---- */

static gboolean
is_report (const Req *r)
{
  return r->node < 0 && r->machine >= 0 && strcmp (r->path, "/hello") == 0;
}

static void
carry_out_late (World *w, Req *r, double t)
{
  r->answer_lost = TRUE;
  r->refs++;
  req_stray (w, r, t);
}

static gboolean
take_write (World *w, Req *r, double t)
{
  HrTroubles *x = &w->troubles;
  if (trouble_strikes (w, &x->lost_answers)) {
    r->answer_lost = TRUE;
    x->played[TROUBLE_LATE_WRITES]++;
    return FALSE;
  }
  if (!trouble_strikes (w, &x->late_writes))
    return FALSE;
  carry_out_late (w, r, t + trouble_rand (w, LATE_WRITE_MIN_S, LATE_WRITE_MAX_S));
  x->played[TROUBLE_LATE_WRITES]++;
  return TRUE;
}

static gboolean
take_command (World *w, Req *r, double t)
{
  if (!trouble_strikes (w, &w->troubles.late_commands))
    return FALSE;
  carry_out_late (w, r, t + trouble_rand (w, LATE_COMMAND_MIN_S, LATE_COMMAND_MAX_S));
  w->troubles.played[TROUBLE_LATE_COMMANDS]++;
  return TRUE;
}

static void
copy_report (World *w, const Req *r)
{
  HrTroubles *x = &w->troubles;
  if (trouble_strikes (w, &x->late_reports)) {
    double late = trouble_rand (w, LATE_REPORT_MIN_S, LATE_REPORT_MAX_LEASES * w->lease_s);
    req_stray (w, req_copy (r, r->to), w->now + late);
    x->played[TROUBLE_LATE_REPORTS]++;
  }
  if (trouble_strikes (w, &x->reports_for_next) && x->kept_next->len < KEPT_MAX)
    g_ptr_array_add (x->kept_next, req_copy (r, r->to));
  if (trouble_strikes (w, &x->reports_to_all) && x->kept_all->len < KEPT_MAX)
    g_ptr_array_add (x->kept_all, req_copy (r, r->to));
}

gboolean
troubles_take (World *w, Req *r, double t)
{
  if (r->node < 0 && r->machine >= 0) {
    const SMachine *m = w->machines->pdata[r->machine];
    if (m->mute > w->now)
      return TRUE;
    if (is_report (r))
      copy_report (w, r);
    return FALSE;
  }
  if (r->node >= 0 && r->target == HR_TO_STORE && strcmp (r->path, "/commit") == 0)
    return take_write (w, r, t);
  if (r->node >= 0 && r->target == HR_TO_WORKER)
    return take_command (w, r, t);
  return FALSE;
}

double
troubles_delay (World *w, const Req *r)
{
  const HrTroubles *x = &w->troubles;
  if (r->node < 0 || r->target != HR_TO_STORE || x->state_slow_until <= w->now)
    return 0;
  return x->state_slow_s * trouble_rand (w, 0.3, 1.6);
}

double
troubles_link_delay (World *w)
{
  const HrTroubles *x = &w->troubles;
  return x->links_slow_until > w->now ? x->links_slow_s * trouble_rand (w, 0.5, 1.5) : 0;
}

double
troubles_zone_cut (World *w, const Req *r, const SMachine *m)
{
  const HrTroubles *x = &w->troubles;
  int node = r->node >= 0 ? r->node : r->to;
  if (x->zone_cut_until <= w->now)
    return 0;
  gboolean parted;
  if (m)
    parted = (m->zone == x->zone_cut) != trouble_inside (w, node);
  else /* users, the cloud and the state service are in no zone */
    parted = trouble_inside (w, node);
  return parted ? x->zone_cut_until : 0;
}

double
troubles_boots (World *w, double at)
{
  if (w->troubles.fast_boot_until <= w->now)
    return at;
  w->troubles.played[TROUBLE_FAST_BOOT]++;
  return w->now + trouble_rand (w, 0.3, FAST_BOOT_S);
}

/* ---- copies of reports for a new leader ---- */

static void
let_go (World *w, Req *copy, int node, double within)
{
  req_stray (w, req_copy (copy, node), w->now + trouble_rand (w, 0, within));
  w->troubles.played[TROUBLE_LATE_REPORTS]++;
}

void
troubles_map (World *w, json_t *map)
{
  HrTroubles *x = &w->troubles;
  const char *process = json_string_value (json_object_get (map, "i"));
  if (g_strcmp0 (process, x->leader_process) == 0)
    return;
  g_free (x->leader_process);
  x->leader_process = g_strdup (process);
  x->leader_baton = json_integer_value (json_object_get (map, "b"));
  x->leaders++;
  troubles_moment (w, ON_HAND_OVER);
  for (guint i = 0; i < x->kept_all->len; i++)
    for (int node = 0; node < w->n; node++)
      let_go (w, x->kept_all->pdata[i], node, 0.1);
  g_ptr_array_set_size (x->kept_all, 0);
}

void
troubles_reply (World *w, int node, const char *answer)
{
  HrTroubles *x = &w->troubles;
  troubles_moment (w, ON_REPORT_ANSWERED);
  if (x->leaders == x->leaders_acted || !x->kept_next->len)
    return;
  json_t *o = json_loads (answer, 0, NULL);
  gboolean acted = (guint64)json_integer_value (json_object_get (o, "baton")) >= x->leader_baton;
  json_decref (o);
  if (!acted)
    return;
  x->leaders_acted = x->leaders;
  for (guint i = 0; i < x->kept_next->len; i++)
    let_go (w, x->kept_next->pdata[i], node, 0.5);
  g_ptr_array_set_size (x->kept_next, 0);
}
