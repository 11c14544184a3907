#include "coordination/core.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "coordination/agents/direct_orders.h"
#include "coordination/agents/heartbeats.h"
#include "coordination/agents/silent_machines.h"
#include "coordination/effects.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/request_routing.h"
#include "coordination/leadership/leadership.h"
#include "coordination/membership/cancellation_log.h"
#include "coordination/membership/membership.h"
#include "coordination/metrics/metrics.h"
#include "coordination/scaling/scaling.h"
#include "coordination/scaling/instance_requests.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/planner.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"
#include "coordination/store_events.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"

/* Minimum time between the starts of two planning passes, as a multiple of the duration of the
 * latest pass. */
#define PASS_INTERVAL_FACTOR 4.0
/* Limit for the measured duration of a pass, since the process may have been suspended during it.
 */
#define MAX_PASS_DURATION_S 2.0
/* Number of machines for which the minimum planning interval grows by the policy's plan_gap_s. */
#define MACHINES_PER_PLAN_GAP 200.0
/* The token bucket for calls to the cloud refills at this share of the cloud's rate limit. */
#define CLOUD_RATE_SHARE 0.8

static void
init_scheduling (HrScheduling *scheduling)
{
  scheduling->class_stats = g_array_new (FALSE, TRUE, sizeof (HrClassStats));
  scheduling->team_usage = g_array_new (FALSE, TRUE, sizeof (HrTeamUsage));
  scheduling->waiting_jobs = g_ptr_array_new ();
}

static void
clear_scheduling (HrScheduling *scheduling)
{
  g_array_unref (scheduling->class_stats);
  g_array_unref (scheduling->team_usage);
  g_ptr_array_unref (scheduling->waiting_jobs);
}

static void
init_scaling (HrScaling *scaling, double cloud_rps)
{
  scaling->fleet = g_ptr_array_new ();
  scaling->capacity_refusals = g_array_new (FALSE, TRUE, sizeof (HrCapacityRefusal));
  scaling->demand = g_array_new (FALSE, TRUE, sizeof (HrDemand));
  g_queue_init (&scaling->requests_to_retry);
  scaling->allowance = (HrTokenBucket){cloud_rps, cloud_rps * CLOUD_RATE_SHARE, cloud_rps, 0};
}

static void
clear_scaling (HrScaling *scaling)
{
  g_ptr_array_unref (scaling->fleet);
  g_array_unref (scaling->capacity_refusals);
  g_array_unref (scaling->demand);
  g_clear_pointer (&scaling->machine_types, g_array_unref);
  g_free (scaling->list_cursor);
}

static void
init_store (HrCore *core)
{
  HrStore *store = &core->store;
  hr_store_init (store);
  store->core = core;
  store->events = &hr_core_store_events;
  store->settings = core->settings;
  store->names = core->names;
  store->random = core->random;
  hr_core_set_supported_format (core, HR_NEWEST_RECORD_FORMAT);
}

HrCore *
hr_core_new (const HrSettings *settings, const HrPolicy *policy, HrNames *names,
             const char *incarnation, guint32 seed)
{
  HrCore *core = g_new0 (HrCore, 1);
  core->settings = settings;
  core->policy = *policy;
  core->names = names;
  core->incarnation = g_strdup (incarnation);
  core->random = g_rand_new_with_seed (seed);
  core->calls.pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->dependencies.to_tombstone = g_array_new (FALSE, TRUE, sizeof (guint32));
  hr_membership_init (&core->membership);
  hr_cancellation_log_init (&core->cancellations);
  init_scheduling (&core->scheduling);
  init_scaling (&core->scaling, settings->cloud_rps);
  init_store (core);
  return core;
}

void
hr_core_free (HrCore *core)
{
  hr_instance_requests_clear (core);
  hr_store_clear (&core->store);
  clear_scaling (&core->scaling);
  clear_scheduling (&core->scheduling);
  hr_cancellation_log_clear (&core->cancellations);
  hr_membership_clear (&core->membership);
  hr_leadership_clear (&core->leadership);
  g_array_unref (core->dependencies.to_tombstone);
  g_hash_table_unref (core->calls.pending);
  g_rand_free (core->random);
  g_free (core->incarnation);
  g_free (core);
}

void
hr_core_set_supported_format (HrCore *core, guint format)
{
  hr_record_format_set_supported (&core->store, format);
}

static void
tick (HrCore *core)
{
  hr_leadership_tick (core);
  hr_membership_tick (core);
  hr_agents_tick (core);
  hr_scaling_tick (core);
  hr_garbage_tick (&core->store);
  hr_record_format_tick (&core->store);
  hr_record_split_scan (&core->store);
  hr_dependencies_tick (core);
  hr_counters_tick (core);
}

static void
request_received (HrCore *core, HrCommand *command)
{
  const char *path = command->request.path;
  if (g_strcmp0 (path, HR_HEARTBEAT_PATH) == 0)
    hr_heartbeat_received (core, command);
  else if (g_strcmp0 (path, HR_METRICS_PATH) == 0 && command->request.method == HR_GET)
    hr_core_reply_text (core, command->id, hr_metrics_text (core));
  else
    hr_user_request_received (core, command);
}

static void
handle_command (HrCore *core, HrCommand *command)
{
  switch (command->kind) {
  case HR_COMMAND_REQUEST:
    request_received (core, command);
    break;
  case HR_COMMAND_RESULT:
    hr_core_result_received (core, command);
    break;
  case HR_COMMAND_PEER_STATUS:
    if (hr_membership_status_received (core, command->peer_status))
      hr_leadership_peer_status_received (core, command->peer_status);
    break;
  case HR_COMMAND_TICK:
    tick (core);
    break;
  }
}

/* Returns the minimum time in seconds between the starts of two planning passes. It grows with the
 * fleet and with the duration of a pass, so that most of the processor time is left for heartbeats
 * and reads. If a leader spends seconds on planning, it answers workers too late, so that they
 * repeat their heartbeats, and its reads of the store finish too late for it to remain the leader.
 */
static double
min_planning_interval (const HrCore *core)
{
  double by_size = core->policy.plan_gap_s * (1 + core->scaling.fleet->len / MACHINES_PER_PLAN_GAP);
  return MAX (by_size, core->scheduling.pass_duration_s * PASS_INTERVAL_FACTOR);
}

static gboolean
planning_is_due (const HrCore *core)
{
  return core->leadership.is_leader && core->scheduling.plan_is_stale &&
         core->now - core->scheduling.planned_at >= min_planning_interval (core);
}

/* Runs one planning pass and carries out its decisions at once. */
static void
run_planning_pass (HrCore *core)
{
  core->scheduling.plan_is_stale = FALSE;
  core->scheduling.planned_at = core->now;
  hr_quotas_pass (core);
  hr_guarantees_mark_jobs (core);
  hr_planner_pass (core);
  hr_dispatch (core);
}

void
hr_core_step (HrCore *core, double now, double wall_time, GPtrArray *commands, GPtrArray *effects)
{
  if (!core->started_at)
    core->started_at = now;
  core->now = core->store.now = now;
  core->wall_time = core->store.wall_time = wall_time;
  core->effects = effects;
  for (guint i = 0; i < commands->len; i++)
    handle_command (core, commands->pdata[i]);
  core->scheduling.pass_ran_in_latest_step = planning_is_due (core);
  if (core->scheduling.pass_ran_in_latest_step)
    run_planning_pass (core);
  hr_replica_tick (&core->store);
  hr_record_writer_tick (&core->store);
  hr_direct_orders_send (core);
  core->effects = NULL;
}

void
hr_core_set_step_duration (HrCore *core, double seconds)
{
  if (core->scheduling.pass_ran_in_latest_step)
    core->scheduling.pass_duration_s = MIN (seconds, MAX_PASS_DURATION_S);
}
