/* The format of records: the state store's data on each job, and functions to read and write it.
 *
 * Main record of an open job, under h/j/ID:
 *
 *   {"w":TAG,"s":STATE,"t":SUBMITTED_AT,"q":TASKS_PER_PAGE,"j":SPEC,"x":[TASK...]}
 *
 * It contains "x" only if it holds the tasks ("q" is 0), "a":[ID...] if the job awaits other jobs,
 * and "u":1 if the record was split (record_split.h).
 *
 * Tombstone, the main record of a final job, under h/j/ID:
 *
 *   {"w":TAG,"s":STATE,"n":N_TASKS,"d":N_DONE}
 *
 * It contains "c":ID if the job was cancelled because a job that it awaits was cancelled.
 *
 * Page of a large job, under h/t/ID/PAGE, or under h/u/ID/TASKS_PER_PAGE/PAGE if the record was
 * split:
 *
 *   {"w":TAG,"x":[TASK...]}
 *
 * TASK is 0 (never placed), 1 (done) or [MACHINE,INCARNATION,ATTEMPT]. TAG is the tag of the last
 * write, by which a writer recognizes its own write. Members that this version does not know are
 * preserved (docs/upgrades.md). record_fields.h defines the names of the members.
 *
 * These functions keep no state and send no requests. */
#pragma once
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include <glib.h>
#include <jansson.h>

/* A main record that was read. Free it with hr_record_clear(), also after a failed read. */
typedef struct {
  char *tag;
  HrJobState state;
  double submitted_at; /* real time, s */
  guint tasks_per_page;
  gboolean sized_page_keys; /* the keys of pages are under h/u */
  gboolean is_tombstone;
  guint32 n_tasks, n_done;
  HrJobSpec spec;
  json_t *unknown_members;    /* members that this version does not know; NULL: none */
  json_t *tasks;              /* borrowed from the value */
  GStrv awaits;               /* ids of the jobs that the job awaits, or NULL */
  const char *cancelled_with; /* member "c" of a tombstone; borrowed from the value; NULL: none */
} HrRecord;

/* A tag at least as long as any write's, to measure the maximum size of a record. */
#define HR_LONGEST_TAG "................................................................"

/* Errors of hr_record_read() and hr_record_read_tasks(). */
typedef enum {
  HR_RECORD_ERROR_MEMBER, /* a member is missing, or has no valid value */
  HR_RECORD_ERROR_SPEC,   /* the job's specification cannot be read */
  HR_RECORD_ERROR_TASKS   /* the array of tasks, or a task in it, is invalid */
} HrRecordError;

#define HR_RECORD_ERROR (hr_record_error_quark ())
GQuark hr_record_error_quark (void);

/**
 * hr_record_initial:
 * @spec: the job's specification
 * @awaits: (nullable): ids of the jobs that the job awaits
 * @names: names to which the specification refers
 * @submitted_at: real time of the submission, in seconds
 * @tasks_per_page: tasks of a page; 0: the main record holds the tasks
 * @tag: tag of the write
 *
 * Returns: (transfer full): the first main record of a job, as JSON text
 */
char *hr_record_initial (const HrJobSpec *spec, const char *const *awaits, const HrNames *names,
                         double submitted_at, guint tasks_per_page, const char *tag);

/**
 * hr_record_main:
 * @job: a job whose tasks are in memory
 * @names: names to which its specification refers
 * @machines: names of machines
 * @state: the state to record
 * @tag: tag of the write
 * @pending: TRUE to include the assignments and ends of tasks that the write in flight records
 *
 * Returns: (transfer full): the main record of an open job, as JSON text
 */
char *hr_record_main (const HrJob *job, const HrNames *names, const HrIntern *machines,
                      HrJobState state, const char *tag, gboolean pending);

/**
 * hr_record_tombstone:
 * @job: a job
 * @state: its final state
 * @tag: tag of the write
 *
 * Returns: (transfer full): the job's tombstone, as JSON text
 */
char *hr_record_tombstone (const HrJob *job, HrJobState state, const char *tag);

/**
 * hr_record_page:
 * @job: a job whose tasks are in memory, in pages
 * @page: number of the page, from 0
 * @machines: names of machines
 * @tag: tag of the write
 * @pending: TRUE to include the assignments and ends of tasks that the write in flight records
 *
 * Returns: (transfer full): the page, as JSON text
 */
char *hr_record_page (const HrJob *job, guint page, const HrIntern *machines, const char *tag,
                      gboolean pending);

/**
 * hr_record_page_range:
 * @job: a job whose tasks are in memory
 * @first: index of the first task in the page
 * @n: tasks of a page; the job's last page may hold fewer
 * @machines: names of machines
 * @tag: tag of the write
 * @pending: TRUE to include the assignments and ends of tasks that the write in flight records
 *
 * Returns: (transfer full): a page of any size, as JSON text
 */
char *hr_record_page_range (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines,
                            const char *tag, gboolean pending);

/**
 * hr_record_read:
 * @value: (nullable): a main record or tombstone
 * @names: names to which its specification refers; new ones are added
 * @out: (out): the record; borrows from @value
 * @error: (out) (optional): in %HR_RECORD_ERROR, which member is invalid
 *
 * Returns: FALSE if the record is invalid; the job's state is unknown then
 */
gboolean hr_record_read (const json_t *value, HrNames *names, HrRecord *out, GError **error);

/**
 * hr_record_clear:
 * @record: a record that was read
 *
 * Frees the members that the record owns.
 */
void hr_record_clear (HrRecord *record);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrRecord, hr_record_clear)

/**
 * hr_record_read_tasks:
 * @job: a job whose tasks are in memory
 * @first: index of the job's task that is the first one in @tasks
 * @tasks: (nullable): the array of tasks of a main record, or of a page in the job's current layout
 * @machines: names of machines; new ones are added
 * @error: (out) (optional): in %HR_RECORD_ERROR, which task is invalid
 *
 * Sets the recorded state of these tasks.
 *
 * Returns: FALSE if the array is invalid; the tasks before the invalid one are set nevertheless
 */
gboolean hr_record_read_tasks (HrJob *job, guint32 first, const json_t *tasks, HrIntern *machines,
                               GError **error);
