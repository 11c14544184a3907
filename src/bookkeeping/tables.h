/* The tables of the jobs and machines that this node knows.
 *
 * Jobs are found by id, machines by name, and both by index, which is constant for the life of the
 * process. The tables own them and never remove any, so pointers to them stay valid. */
#pragma once
#include "bookkeeping/class_stats.h"
#include "bookkeeping/job.h"
#include "bookkeeping/machine.h"
#include "protocol/intern.h"
#include <glib.h>

/* All jobs and machines that this node knows. */
typedef struct {
  HrIntern job_ids, machine_ids; /* map ids and names to indices */
  GPtrArray *jobs, *machines;    /* HrJob, HrMachine by index */
  GArray *open_jobs;             /* guint32: indices of jobs that are not final, or not compacted */
  gsize unfinished_bytes;        /* memory of the jobs whose tasks are loaded (hr_job_load()) */
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
 * Returns: (transfer none): the job, which is added if the table does not hold it
 */
HrJob *hr_job_get (HrTables *tables, const char *id);

/**
 * hr_job_load:
 * @tables: the tables
 * @job: one of their jobs
 * @spec: its specification
 * @tasks_per_page: layout of its record; 0: the main record holds the tasks
 * @n_awaited: number of jobs that it awaits
 *
 * Sets the specification and makes the job's tasks and pages, as hr_job_set_spec(), and counts the
 * memory of the job.
 */
void hr_job_load (HrTables *tables, HrJob *job, const HrJobSpec *spec, guint tasks_per_page,
                  guint n_awaited);

/**
 * hr_job_unload:
 * @tables: the tables
 * @job: one of their jobs
 *
 * Frees the job's tasks and pages, as hr_job_compact(), and no longer counts its memory.
 */
void hr_job_unload (HrTables *tables, HrJob *job);

/**
 * hr_job_unreadable:
 * @tables: the tables
 * @id: a job's id
 *
 * Returns: whether the job's latest record is invalid, so that its current state is unknown
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
 * Returns: (transfer none): the machine, which is added if the table does not hold it
 */
HrMachine *hr_machine_get (HrTables *tables, const char *name);
