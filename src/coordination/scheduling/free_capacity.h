/* Free room on machines as a pass of dispatch.c sees it, and the parts of that pass that
 * share it (guarantees.c, preemption.c, scale_out.c). */
#pragma once
#include "coordination/state.h"

/* From a decision to a running task: a write, an order and a report. */
#define PREEMPTION_S 2.0

typedef struct {
  HrMachine *machine;
  double cpus, gpus, memory_gb; /* free once stopped tasks are gone and claims are served */
  gboolean is_reserved;         /* spare room is counted on it */
} HrFreeCapacity;

/* How far a search has come: rooms only shrink, so the next one for the same goes on
 * from there. */
typedef struct {
  HrFreeCapacity *last;
  int pass;
  guint index;
} HrCapacityCursor;

/* Takes the amounts off the room, if it has them. */
gboolean hr_free_capacity_take (HrFreeCapacity *capacity, double cpus, double gpus,
                                double memory_gb);
/* Up, and heard of late. */
gboolean hr_machine_is_reachable (const HrCore *core, const HrMachine *machine);
/* Does a task of the job fit there now, as far as machine and zones go, in room that may be kept
 * for others? */
gboolean hr_dispatch_fits_now (HrCore *core, HrJob *job, HrMachine *machine);
/* Could a task of the job start there now, beside what is kept for services? */
gboolean hr_dispatch_startable (HrCore *core, HrJob *job, HrMachine *machine);
/* HrMachine: those that something more may start on; the others need not be looked at. */
GPtrArray *hr_dispatch_open_machines (HrCore *core);
/* Assigns the task to the machine, as its next attempt; it leaves the plan. */
void hr_dispatch_start (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine);
/* Is a better than b? Sooner done first; then the cheaper machine, then the fuller one. */
gboolean hr_dispatch_batch_better (HrCore *core, HrJob *job, HrMachine *left, HrMachine *right);
/* What a team is guaranteed it gets from those that run beyond theirs. */
void hr_guarantees_preempt (HrCore *core, HrFreeCapacity *capacities);
/* Does the team run more than it is guaranteed, or would n more tasks stay within? */
gboolean hr_team_exceeds_guarantee (HrCore *core, const HrJob *job, guint n);
int hr_by_submission (gconstpointer left, gconstpointer right); /* for arrays of HrJob */
/* A task in a machine's list, and when it should start there. */
typedef struct {
  HrTaskRef task;
  HrMachine *machine;
  double start;
} HrListedTask;

/* Appends the machine's list, as projected. */
void hr_list_append (HrCore *core, HrMachine *machine, GArray *listed);
HrJob *hr_listed_job (HrCore *core, GArray *listed, guint i);
HrMachine *hr_preempt_for_cached_image (HrCore *core, HrJob *job);
/* What is lost when the task stops now, s. */
double hr_preemption_loss (HrCore *core, const HrJob *victim, const HrTask *task);
/* Stops a task, or the gang that it belongs to; it may save before. */
void hr_preempt_task (HrCore *core, HrJob *victim, guint32 task_index);
/* others: stop other teams' work only. */
gboolean hr_preempt (HrCore *core, HrJob *job, HrFreeCapacity *capacities, gboolean others);

/* Room for a task of the job on a machine that boots, or on one to be rented. booting:
 * how many rooms, the first ones, are on machines that boot. needs: what hr_scale_out_begin gave.
 */
void hr_scale_out_for_task (HrCore *core, HrFreeCapacity *capacities, guint booting,
                            HrCapacityCursor *cursor, GArray *needs, HrJob *job);
void hr_scale_out_headroom (HrCore *core, HrFreeCapacity *capacities, guint n_capacities,
                            GArray *needs);
/* For jobs whose awaited ones are all about to end. */
void hr_scale_out_for_next_steps (HrCore *core, HrFreeCapacity *capacities, guint n_capacities,
                                  GArray *needs);
void hr_scale_out_for_lists (HrCore *core, HrFreeCapacity *capacities, guint booting,
                             GArray *needs);
void hr_scale_in_idle (HrCore *core, HrFreeCapacity *capacities, guint n);
GArray *hr_scale_out_begin (void);
/* What is needed goes out with the next tick. */
void hr_scale_out_end (HrCore *core, GArray *needs);
