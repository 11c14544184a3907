/* Planned troubles on the way of messages: held up, copied, without an answer, cut off. */
#include "coordination/command.h"
#include "sim/request.h"
#include "sim/trouble_hooks.h"
#include "sim/trouble_parts.h"
#include "sim/worker.h"
#include <string.h>

#define FAST_BOOT_S 2.0
#define KEPT_MAX 500

/* ---- requests on their way ---- */

static gboolean
is_report (const SimRequest *request)
{
  return request->node < 0 && request->machine >= 0 && strcmp (request->path, "/hello") == 0;
}

static void
carry_out_late (SimCluster *cluster, SimRequest *request, double until)
{
  request->answer_lost = TRUE;
  request->refs++;
  req_arrive_late (cluster, request, until);
}

static gboolean
take_write (SimCluster *cluster, SimRequest *request, double until)
{
  HrTroubles *troubles = &cluster->troubles;
  if (trouble_strikes (cluster, &troubles->lost_answers)) {
    request->answer_lost = TRUE;
    troubles->played[TROUBLE_LATE_WRITES]++;
    return FALSE;
  }
  if (!trouble_strikes (cluster, &troubles->late_writes))
    return FALSE;
  carry_out_late (cluster, request,
                  until + trouble_rand (cluster, LATE_WRITE_MIN_S, LATE_WRITE_MAX_S));
  troubles->played[TROUBLE_LATE_WRITES]++;
  return TRUE;
}

static gboolean
take_command (SimCluster *cluster, SimRequest *request, double until)
{
  if (!trouble_strikes (cluster, &cluster->troubles.late_commands))
    return FALSE;
  carry_out_late (cluster, request,
                  until + trouble_rand (cluster, LATE_COMMAND_MIN_S, LATE_COMMAND_MAX_S));
  cluster->troubles.played[TROUBLE_LATE_COMMANDS]++;
  return TRUE;
}

static void
copy_report (SimCluster *cluster, const SimRequest *request)
{
  HrTroubles *troubles = &cluster->troubles;
  if (trouble_strikes (cluster, &troubles->late_reports)) {
    double late =
        trouble_rand (cluster, LATE_REPORT_MIN_S, LATE_REPORT_MAX_LEASES * cluster->lease_s);
    req_arrive_late (cluster, req_copy (request, request->to), cluster->now + late);
    troubles->played[TROUBLE_LATE_REPORTS]++;
  }
  if (trouble_strikes (cluster, &troubles->reports_for_next) && troubles->kept_next->len < KEPT_MAX)
    g_ptr_array_add (troubles->kept_next, req_copy (request, request->to));
  if (trouble_strikes (cluster, &troubles->reports_to_all) && troubles->kept_all->len < KEPT_MAX)
    g_ptr_array_add (troubles->kept_all, req_copy (request, request->to));
}

gboolean
troubles_take (SimCluster *cluster, SimRequest *request, double until)
{
  if (request->node < 0 && request->machine >= 0) {
    const SimMachine *machine = cluster->machines->pdata[request->machine];
    if (machine->outbound_cut_until > cluster->now)
      return TRUE;
    if (is_report (request))
      copy_report (cluster, request);
    return FALSE;
  }
  if (request->node >= 0 && request->target == HR_TO_STORE &&
      strcmp (request->path, "/commit") == 0)
    return take_write (cluster, request, until);
  if (request->node >= 0 && request->target == HR_TO_WORKER)
    return take_command (cluster, request, until);
  return FALSE;
}

double
troubles_delay (SimCluster *cluster, const SimRequest *request)
{
  const HrTroubles *troubles = &cluster->troubles;
  if (request->node < 0 || request->target != HR_TO_STORE ||
      troubles->state_slow_until <= cluster->now)
    return 0;
  return troubles->state_slow_s * trouble_rand (cluster, 0.3, 1.6);
}

double
troubles_link_delay (SimCluster *cluster)
{
  const HrTroubles *troubles = &cluster->troubles;
  return troubles->links_slow_until > cluster->now
             ? troubles->links_slow_s * trouble_rand (cluster, 0.5, 1.5)
             : 0;
}

double
troubles_zone_cut (SimCluster *cluster, const SimRequest *request, const SimMachine *machine)
{
  const HrTroubles *troubles = &cluster->troubles;
  int node = request->node >= 0 ? request->node : request->to;
  if (troubles->zone_cut_until <= cluster->now)
    return 0;
  gboolean parted;
  if (machine)
    parted = (machine->zone == troubles->zone_cut) != trouble_inside (cluster, node);
  else /* users, the cloud and the state service are in no zone */
    parted = trouble_inside (cluster, node);
  return parted ? troubles->zone_cut_until : 0;
}

double
troubles_boots (SimCluster *cluster, double at)
{
  if (cluster->troubles.fast_boot_until <= cluster->now)
    return at;
  cluster->troubles.played[TROUBLE_FAST_BOOT]++;
  return cluster->now + trouble_rand (cluster, 0.3, FAST_BOOT_S);
}

/* ---- copies of reports for a new leader ---- */

static void
let_go (SimCluster *cluster, SimRequest *copy, int node, double within)
{
  req_arrive_late (cluster, req_copy (copy, node),
                   cluster->now + trouble_rand (cluster, 0, within));
  cluster->troubles.played[TROUBLE_LATE_REPORTS]++;
}

void
troubles_map (SimCluster *cluster, json_t *map)
{
  HrTroubles *troubles = &cluster->troubles;
  const char *process = json_string_value (json_object_get (map, "i"));
  if (g_strcmp0 (process, troubles->leader_process) == 0)
    return;
  g_free (troubles->leader_process);
  troubles->leader_process = g_strdup (process);
  troubles->leader_token = json_integer_value (json_object_get (map, "b"));
  troubles->leaders++;
  troubles_moment (cluster, ON_HAND_OVER);
  for (guint i = 0; i < troubles->kept_all->len; i++)
    for (int node = 0; node < cluster->n; node++)
      let_go (cluster, troubles->kept_all->pdata[i], node, 0.1);
  g_ptr_array_set_size (troubles->kept_all, 0);
}

void
troubles_reply (SimCluster *cluster, int node, const char *answer)
{
  HrTroubles *troubles = &cluster->troubles;
  troubles_moment (cluster, ON_REPORT_ANSWERED);
  if (troubles->leaders == troubles->leaders_acted || !troubles->kept_next->len)
    return;
  json_t *object = json_loads (answer, 0, NULL);
  gboolean acted =
      (guint64)json_integer_value (json_object_get (object, "baton")) >= troubles->leader_token;
  json_decref (object);
  if (!acted)
    return;
  troubles->leaders_acted = troubles->leaders;
  for (guint i = 0; i < troubles->kept_next->len; i++)
    let_go (cluster, troubles->kept_next->pdata[i], node, 0.5);
  g_ptr_array_set_size (troubles->kept_next, 0);
}
