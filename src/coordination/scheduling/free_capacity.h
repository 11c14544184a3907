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

/* A task in a machine's list, and when it should start there. */
typedef struct {
  HrTaskRef task;
  HrMachine *machine;
  double start;
} HrListedTask;
