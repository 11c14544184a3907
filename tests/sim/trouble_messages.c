/* Applies planned faults to messages: delays, copies, lost answers and partitions. */
#include "coordination/command.h"
#include "sim/request.h"
#include "sim/trouble_hooks.h"
#include "sim/trouble_parts.h"
#include "sim/worker.h"
#include <string.h>

#define FAST_BOOT_S 2.0
#define MAX_KEPT_COPIES 500

/* ---- requests in transit ---- */

static gboolean
is_report (const SimRequest *request)
{
  return request->node < 0 && request->machine >= 0 && strcmp (request->path, "/hello") == 0;
}

static void
deliver_late (SimCluster *cluster, SimRequest *request, double arrives_at)
{
  request->answer_lost = TRUE;
  request->refs++;
  req_arrive_late (cluster, request, arrives_at);
}

static gboolean
intercept_write (SimCluster *cluster, SimRequest *request, double arrives_at)
{
  HrFaultState *faults = &cluster->faults;
  if (fault_window_hits (cluster, &faults->lost_answers)) {
    request->answer_lost = TRUE;
    faults->effects[FAULT_LATE_WRITES]++;
    return FALSE;
  }
  if (!fault_window_hits (cluster, &faults->late_writes))
    return FALSE;
  deliver_late (cluster, request,
                arrives_at + fault_rand (cluster, LATE_WRITE_MIN_S, LATE_WRITE_MAX_S));
  faults->effects[FAULT_LATE_WRITES]++;
  return TRUE;
}

static gboolean
intercept_command (SimCluster *cluster, SimRequest *request, double arrives_at)
{
  if (!fault_window_hits (cluster, &cluster->faults.late_commands))
    return FALSE;
  deliver_late (cluster, request,
                arrives_at + fault_rand (cluster, LATE_COMMAND_MIN_S, LATE_COMMAND_MAX_S));
  cluster->faults.effects[FAULT_LATE_COMMANDS]++;
  return TRUE;
}

static void
copy_report (SimCluster *cluster, const SimRequest *request)
{
  HrFaultState *faults = &cluster->faults;
  if (fault_window_hits (cluster, &faults->late_reports)) {
    double late =
        fault_rand (cluster, LATE_REPORT_MIN_S, LATE_REPORT_MAX_LEASES * cluster->lease_s);
    req_arrive_late (cluster, req_copy (request, request->to), cluster->now + late);
    faults->effects[FAULT_LATE_REPORTS]++;
  }
  if (fault_window_hits (cluster, &faults->reports_for_next) &&
      faults->kept_for_next->len < MAX_KEPT_COPIES)
    g_ptr_array_add (faults->kept_for_next, req_copy (request, request->to));
  if (fault_window_hits (cluster, &faults->reports_to_all) &&
      faults->kept_for_all->len < MAX_KEPT_COPIES)
    g_ptr_array_add (faults->kept_for_all, req_copy (request, request->to));
}

gboolean
faults_intercept_request (SimCluster *cluster, SimRequest *request, double arrives_at)
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
    return intercept_write (cluster, request, arrives_at);
  if (request->node >= 0 && request->target == HR_TO_WORKER)
    return intercept_command (cluster, request, arrives_at);
  return FALSE;
}

double
faults_answer_delay (SimCluster *cluster, const SimRequest *request)
{
  const HrFaultState *faults = &cluster->faults;
  if (request->node < 0 || request->target != HR_TO_STORE ||
      faults->state_slow_until <= cluster->now)
    return 0;
  return faults->state_slow_s * fault_rand (cluster, 0.3, 1.6);
}

double
faults_link_delay (SimCluster *cluster)
{
  const HrFaultState *faults = &cluster->faults;
  return faults->links_slow_until > cluster->now
             ? faults->links_slow_s * fault_rand (cluster, 0.5, 1.5)
             : 0;
}

double
faults_zone_cut_until (SimCluster *cluster, const SimRequest *request, const SimMachine *machine)
{
  const HrFaultState *faults = &cluster->faults;
  int node = request->node >= 0 ? request->node : request->to;
  if (faults->zone_cut_until <= cluster->now)
    return 0;
  gboolean separated;
  if (machine)
    separated = (machine->zone == faults->zone_cut) != fault_in_cut_zone (cluster, node);
  else /* users, the cloud and the state store are in no zone */
    separated = fault_in_cut_zone (cluster, node);
  return separated ? faults->zone_cut_until : 0;
}

double
faults_boot_time (SimCluster *cluster, double at)
{
  if (cluster->faults.fast_boot_until <= cluster->now)
    return at;
  cluster->faults.effects[FAULT_FAST_BOOT]++;
  return cluster->now + fault_rand (cluster, 0.3, FAST_BOOT_S);
}

/* ---- copies of heartbeats for a new leader ---- */

static void
release_copy (SimCluster *cluster, SimRequest *copy, int node, double within)
{
  req_arrive_late (cluster, req_copy (copy, node), cluster->now + fault_rand (cluster, 0, within));
  cluster->faults.effects[FAULT_LATE_REPORTS]++;
}

void
faults_on_leader_record (SimCluster *cluster, json_t *map)
{
  HrFaultState *faults = &cluster->faults;
  const char *process = json_string_value (json_object_get (map, "i"));
  if (g_strcmp0 (process, faults->leader_process) == 0)
    return;
  g_free (faults->leader_process);
  faults->leader_process = g_strdup (process);
  faults->leader_token = json_integer_value (json_object_get (map, "b"));
  faults->leaders++;
  faults_trigger (cluster, ON_HAND_OVER);
  for (guint i = 0; i < faults->kept_for_all->len; i++)
    for (int node = 0; node < cluster->n; node++)
      release_copy (cluster, faults->kept_for_all->pdata[i], node, 0.1);
  g_ptr_array_set_size (faults->kept_for_all, 0);
}

void
faults_on_report_answer (SimCluster *cluster, int node, const char *answer)
{
  HrFaultState *faults = &cluster->faults;
  faults_trigger (cluster, ON_REPORT_ANSWERED);
  if (faults->leaders == faults->leaders_released || !faults->kept_for_next->len)
    return;
  json_t *object = json_loads (answer, 0, NULL);
  gboolean acted =
      (guint64)json_integer_value (json_object_get (object, "baton")) >= faults->leader_token;
  json_decref (object);
  if (!acted)
    return;
  faults->leaders_released = faults->leaders;
  for (guint i = 0; i < faults->kept_for_next->len; i++)
    release_copy (cluster, faults->kept_for_next->pdata[i], node, 0.5);
  g_ptr_array_set_size (faults->kept_for_next, 0);
}
