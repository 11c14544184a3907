#include "coordination/core.h"
#include "bookkeeping/garbage_collection.h"
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/replica.h"
#include "coordination/agents/direct_orders.h"
#include "coordination/agents/heartbeats.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/effects.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/user_requests.h"
#include "coordination/leadership/leadership.h"
#include "coordination/membership/membership.h"
#include "coordination/metrics/metrics.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/instance_requests.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/planner.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"
#include "coordination/store_events.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include <gio/gio.h>
#include <string.h>

/* A pass is followed by so many times its own duration without one; and what of a duration counts,
 * in seconds: a process that stood still says nothing about its passes. */
#define PASS_REST 4.0
#define PASS_MOST_S 2.0

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
  core->membership.peers = g_array_new (FALSE, TRUE, sizeof (HrPeer));
  core->cancellations.entries = g_array_new (FALSE, FALSE, sizeof (HrCancellation));
  core->scheduling.class_stats = g_array_new (FALSE, TRUE, sizeof (HrClassStats));
  core->dependencies.to_tombstone = g_array_new (FALSE, TRUE, sizeof (guint32));
  core->scaling.fleet = g_ptr_array_new ();
  core->scaling.capacity_refusals = g_array_new (FALSE, TRUE, sizeof (HrCapacityRefusal));
  core->scheduling.team_usage = g_array_new (FALSE, TRUE, sizeof (HrTeamUsage));
  core->scheduling.waiting_jobs = g_ptr_array_new ();
  core->scaling.demand = g_array_new (FALSE, TRUE, sizeof (HrDemand));
  hr_store_init (&core->store);
  core->store.core = core;
  core->store.events = &hr_core_store_events;
  core->store.settings = settings;
  core->store.names = names;
  core->store.random = core->random;
  hr_core_set_supported_format (core, HR_FORMAT);
  g_queue_init (&core->scaling.requests_to_retry);
  core->scaling.allowance =
      (HrTokenBucket){settings->cloud_rps, settings->cloud_rps * 0.8, settings->cloud_rps, 0};
  return core;
}

void
hr_core_free (HrCore *core)
{
  hr_instance_requests_clear (core);
  hr_store_clear (&core->store);
  g_rand_free (core->random);
  g_hash_table_unref (core->calls.pending);
  g_array_unref (core->membership.peers);
  g_array_unref (core->cancellations.entries);
  g_array_unref (core->scheduling.class_stats);
  g_array_unref (core->scaling.capacity_refusals);
  g_array_unref (core->dependencies.to_tombstone);
  g_array_unref (core->scaling.demand);
  g_array_unref (core->scheduling.team_usage);
  g_ptr_array_unref (core->scheduling.waiting_jobs);
  g_ptr_array_unref (core->scaling.fleet);
  g_clear_pointer (&core->scaling.machine_types, g_array_unref);
  g_free (core->scaling.list_cursor);
  g_free (core->leadership.leader_label);
  g_free (core->leadership.leader_incarnation);
  g_free (core->leadership.lock_label);
  g_free (core->leadership.lock_incarnation);
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
  hr_fleet_tick (core);
  hr_garbage_tick (&core->store);
  hr_record_format_tick (&core->store);
  hr_record_split_scan (&core->store);
  hr_dependencies_tick (core);
  hr_counters_tick (core);
}

/* Seconds from one planning pass to the next: more with the fleet, and so that passes leave most of
 * the processor to reports and readings. A leader that plans for seconds on end answers its workers
 * too late; they report again and again, and its readings come too late for it to go on leading. */
static double
plan_gap (const HrCore *core)
{
  double by_size = core->policy.plan_gap_s * (1 + core->scaling.fleet->len / 200.0);
  return MAX (by_size, core->scheduling.pass_duration_s * PASS_REST);
}

void
hr_core_step_took (HrCore *core, double seconds)
{
  if (core->scheduling.planned_in_this_step)
    core->scheduling.pass_duration_s = MIN (seconds, PASS_MOST_S);
}

void
hr_core_step (HrCore *core, double now, double wall, GPtrArray *commands, GPtrArray *effects)
{
  if (!core->started_at)
    core->started_at = now;
  core->now = core->store.now = now;
  core->wall_time = core->store.wall_time = wall;
  core->effects = effects;
  for (guint i = 0; i < commands->len; i++) {
    HrCommand *command = commands->pdata[i];
    switch (command->kind) {
    case HR_COMMAND_REQUEST:
      if (g_strcmp0 (command->request.path, HR_HEARTBEAT_PATH) == 0)
        hr_heartbeat_received (core, command);
      else if (g_strcmp0 (command->request.path, HR_METRICS_PATH) == 0 &&
               command->request.method == HR_GET)
        hr_core_reply_text (core, command->id, hr_metrics_text (core));
      else
        hr_user_request_received (core, command);
      break;
    case HR_COMMAND_RESULT:
      hr_core_take_result (core, command);
      break;
    case HR_COMMAND_PEER_STATUS:
      hr_membership_status_received (core, command->peer_status);
      break;
    case HR_COMMAND_TICK:
      tick (core);
      break;
    }
  }
  core->scheduling.planned_in_this_step = FALSE;
  if (core->leadership.is_leader && core->scheduling.plan_is_stale &&
      now - core->scheduling.planned_at >= plan_gap (core)) {
    core->scheduling.plan_is_stale = FALSE;
    core->scheduling.planned_in_this_step = TRUE;
    core->scheduling.planned_at = now;
    hr_quotas_pass (core);
    hr_guarantees_mark_jobs (core);
    hr_planner_pass (core);
    hr_dispatch (core);
  }
  hr_replica_tick (&core->store);
  hr_record_writer_tick (&core->store);
  hr_direct_orders_send (core);
  core->effects = NULL;
}
