/* Guards against a late copy of a launch order that was carried out and answered before: it reaches
 * the machine once more, at any time, and would start the task a second time (ran_twice) or start a
 * cancelled task (ran_cancelled). A worker ignores the copy while it lists the attempt, and refuses
 * it once it has seen a newer fencing token or has begun another incarnation; in between, after a
 * clear, nothing would protect it.
 *
 * Each run has one fate of the task and one failure that is over soon, often within a second. The
 * copy is delivered again and again, so that every moment of the run is tried; none may start
 * anything. */
#include "protocol/json_util.h"
#include "scripted_fleet.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define COPY_INTERVAL_S 0.2
#define BACK_AFTER_S 0.4 /* what fails is back within a fraction of a second */
#define WATCHED_S 45
#define NOTICE_S 20 /* shorter than the task: it is stopped and placed elsewhere */

typedef enum {
  FATE_RUNS,
  FATE_DONE,
  FATE_FAILS, /* exits with an error and is attempted again */
  FATE_CANCELLED,
  FATE_MOVED, /* its machine is about to be preempted */
  FATES
} Fate;

typedef enum {
  FAILURE_NONE,
  FAILURE_LEADER_RESTARTS,
  FAILURE_ALL_RESTART,
  FAILURE_LEADER_CHANGES, /* the former leader is back after another one leads */
  FAILURE_LEADER_PAUSES,  /* longer than another controller needs to lead */
  FAILURE_MACHINE_HANGS,
  FAILURE_MACHINE_CUT,
  FAILURE_MACHINE_CUT_BEYOND_LEASE,
  FAILURE_AGENT_RESTARTS, /* without its tasks and its token, in the next incarnation */
  FAILURES
} Failure;

static const char *const fate_names[FATES] = {"runs", "is done", "fails", "is cancelled",
                                              "is moved"};
static const char *const failure_names[FAILURES] = {"nothing fails",
                                                    "the leader restarts",
                                                    "all controllers restart",
                                                    "the leader changes",
                                                    "the leader pauses",
                                                    "the machine hangs",
                                                    "the machine is cut",
                                                    "the machine is cut beyond its lease",
                                                    "the machine's agent restarts"};

typedef struct {
  Fleet *fleet;
  FleetMachine *first, *second;
  char *copy; /* body of the direct call that launched the task on the first machine */
  Fate fate;
  Failure failure;
  gboolean result_is_kept; /* the task was done before */
} Run;

/* The result of a task that is done is kept: wherever it is started again, it exits at once. */
static void
exit_if_done (Run *run)
{
  FleetMachine *machines[] = {run->first, run->second};
  for (guint i = 0; run->result_is_kept && i < G_N_ELEMENTS (machines); i++)
    if (fleet_machine_runs (machines[i], "job-a/0"))
      fleet_exit_task (machines[i], "job-a/0", "done");
}

/* Runs the fleet and delivers the copy all the while. */
static void
run_with_copies (Run *run, double seconds)
{
  for (double until = run->fleet->cluster->now + seconds; run->fleet->cluster->now < until;) {
    fleet_run (run->fleet, COPY_INTERVAL_S);
    exit_if_done (run);
    guint starts = run->fleet->task_starts;
    if (run->first->is_hung || !run->first->receives_direct_calls)
      continue;
    int status = fleet_apply_direct_call (run->first, run->copy);
    if (run->fleet->task_starts != starts)
      fail_msg ("the task %s, %s: at %.1f s a copy starts it again (status %d)",
                fate_names[run->fate], failure_names[run->failure], run->fleet->cluster->now,
                status);
  }
}

/* ---- the failure ---- */

static void
restart_node (Run *run, int node, double after_s)
{
  cluster_stop_node (run->fleet->cluster, node);
  run_with_copies (run, after_s);
  cluster_start_node (run->fleet->cluster, node);
}

static void
set_reachable (FleetMachine *machine, gboolean is_reachable)
{
  machine->sends_heartbeats = machine->receives_answers = is_reachable;
  machine->receives_direct_calls = is_reachable;
}

static void
cut_machine (Run *run, double for_s)
{
  set_reachable (run->first, FALSE);
  run_with_copies (run, for_s);
  set_reachable (run->first, TRUE);
}

static void
restart_agent (Run *run)
{
  FleetMachine *machine = run->first;
  cut_machine (run, BACK_AFTER_S);
  g_ptr_array_set_size (machine->tasks, 0);
  machine->incarnation++;
  machine->sequence = 0;
  machine->token = 0;
  machine->lease_renewed_at = run->fleet->cluster->now;
}

static void
fail_for_a_while (Run *run)
{
  Cluster *cluster = run->fleet->cluster;
  switch (run->failure) {
  case FAILURE_LEADER_RESTARTS:
    restart_node (run, 0, BACK_AFTER_S);
    break;
  case FAILURE_ALL_RESTART:
    cluster_stop_node (cluster, 1);
    restart_node (run, 0, BACK_AFTER_S);
    cluster_start_node (cluster, 1);
    break;
  case FAILURE_LEADER_CHANGES:
    restart_node (run, 0, 8);
    break;
  case FAILURE_LEADER_PAUSES:
    fleet_freeze (run->fleet, 0);
    run_with_copies (run, 8);
    fleet_thaw (run->fleet, 0);
    break;
  case FAILURE_MACHINE_HANGS:
    run->first->is_hung = TRUE;
    run_with_copies (run, BACK_AFTER_S);
    run->first->is_hung = FALSE;
    break;
  case FAILURE_MACHINE_CUT:
    cut_machine (run, BACK_AFTER_S);
    break;
  case FAILURE_MACHINE_CUT_BEYOND_LEASE:
    cut_machine (run, run->fleet->lease_s + 2);
    break;
  case FAILURE_AGENT_RESTARTS:
    restart_agent (run);
    break;
  default:
    break;
  }
}

/* ---- the task's fate ---- */

static void
begin_fate (Run *run)
{
  switch (run->fate) {
  case FATE_DONE:
    run->result_is_kept = TRUE;
    exit_if_done (run);
    break;
  case FATE_FAILS:
    fleet_exit_task (run->first, "job-a/0", "error");
    break;
  case FATE_CANCELLED:
    fleet_cancel (run->fleet, 1, "job-a");
    break;
  case FATE_MOVED:
    run->fleet->cloud_deletes = FALSE;
    run->first->preemption_in_s = NOTICE_S;
    break;
  default:
    break;
  }
}

static void
check_outcome (Run *run)
{
  guint running = fleet_count_running (run->fleet, "job-a/0");
  gboolean is_over = run->fate == FATE_DONE || run->fate == FATE_CANCELLED;
  if (running != (is_over ? 0 : 1))
    fail_msg ("the task %s, %s: it runs on %u machines", fate_names[run->fate],
              failure_names[run->failure], running);
  const char *expected = run->fate == FATE_DONE        ? "done"
                         : run->fate == FATE_CANCELLED ? "withdrawn"
                                                       : "running";
  assert_string_equal (fleet_job_state (run->fleet, 1, "job-a"), expected);
  if (run->fate == FATE_MOVED)
    assert_true (fleet_machine_runs (run->second, "job-a/0"));
}

/* ---- runs ---- */

/* Lets c0 lead and the first machine run the task by a direct launch that is answered. */
static void
start_task (Run *run)
{
  run->first = fleet_machine (run->fleet, "m-1", "z0");
  fleet_run (run->fleet, 4);
  ClusterCall *call = fleet_launch_call (run->fleet, run->first, 0, "job-a");
  run->copy = g_strdup (call->body);
  run->first->receives_direct_calls = TRUE;
  fleet_run (run->fleet, 3);
  assert_true (fleet_machine_runs (run->first, "job-a/0"));
  run->second = fleet_machine (run->fleet, "m-2", "z0");
  fleet_run (run->fleet, 4);
}

static void
play (Fate fate, Failure failure, gboolean fate_first)
{
  Run run = {.fleet = fleet_new (2), .fate = fate, .failure = failure};
  start_task (&run);
  if (fate_first)
    begin_fate (&run);
  fail_for_a_while (&run);
  if (!fate_first)
    begin_fate (&run);
  run_with_copies (&run, WATCHED_S);
  check_outcome (&run);
  g_free (run.copy);
  fleet_check_and_free (run.fleet);
}

static void
a_copy_of_an_answered_launch_starts_nothing (void **state G_GNUC_UNUSED)
{
  for (Fate fate = 0; fate < FATES; fate++)
    for (Failure failure = 0; failure < FAILURES; failure++) {
      play (fate, failure, TRUE);
      play (fate, failure, FALSE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_copy_of_an_answered_launch_starts_nothing),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
