/* The tables of jobs and machines that this node knows of.
 *
 * A row is found by its id or name, or by its index, which stays the same for the life of the
 * process. Rows live as long as the tables, which own them: pointers to rows stay valid. */
#pragma once
#include "bookkeeping/class_stats.h"
#include "bookkeeping/job.h"
#include "bookkeeping/machine.h"
#include "protocol/intern.h"
#include <glib.h>

/* All jobs and machines that this node knows of. */
typedef struct {
  HrIntern job_ids, machine_ids; /* ids and names to indices */
  GPtrArray *jobs, *machines;    /* HrJob, HrMachine by index */
  GArray *open_jobs;             /* guint32: jobs that are not final, or not compacted */
} HrTables;

/**
 * hr_job_find:
 * @tables: the tables
 * @id: a job's id
 *
 * Returns: (transfer none) (nullable): the job, if its record is known
 */
HrJob *hr_job_find (HrTables *tables, const char *id);

/**
 * hr_job_get:
 * @tables: the tables
 * @id: a job's id
 *
 * Returns: (transfer none): the job's row, which is made when there is none
 */
HrJob *hr_job_get (HrTables *tables, const char *id);

/**
 * hr_job_unreadable:
 * @tables: the tables
 * @id: a job's id
 *
 * Returns: is the job's latest record invalid, so that nothing is known of its present state?
 */
gboolean hr_job_unreadable (HrTables *tables, const char *id);

/**
 * hr_machine_find:
 * @tables: the tables
 * @name: a machine's name
 *
 * Returns: (transfer none) (nullable): the machine
 */
HrMachine *hr_machine_find (HrTables *tables, const char *name);

/**
 * hr_machine_get:
 * @tables: the tables
 * @name: a machine's name
 *
 * Returns: (transfer none): the machine's row, which is made when there is none
 */
HrMachine *hr_machine_get (HrTables *tables, const char *name);
