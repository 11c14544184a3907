/* The format of records: what the state store holds of each job, and how it is read and written.
 *
 *   h/j/ID        main record of an open job:
 *                   {"w":TAG,"s":STATE,"t":SUBMITTED_AT,"q":TASKS_PER_PAGE,"j":SPEC,"x":[TASK...]}
 *                 "x" only where the tasks are in the main record ("q" is 0); with "a":[ID...]
 * where the job awaits others; with "u":1 where the record was split (record_split.h) h/j/ID
 * tombstone, the main record of a final job:
 *                   {"w":TAG,"s":STATE,"n":N_TASKS,"d":N_DONE}
 *                 with "c":ID where the job was cancelled because a job that it awaits was
 *   h/t/ID/PAGE   page of a large job: {"w":TAG,"x":[TASK...]}
 *   h/u/ID/TASKS_PER_PAGE/PAGE   the same, of a record that was split
 *
 * TASK is 0 (never placed), 1 (done) or [MACHINE,INCARNATION,ATTEMPT]. TAG is the tag of the write
 * that left the record: by it a writer knows its own write. Members that this version does not know
 * are preserved (docs/upgrades.md). The names of the members are in record_fields.h.
 *
 * Nothing here keeps state or sends anything. */
#pragma once
#include "bookkeeping/tables.h"
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include <glib.h>
#include <jansson.h>

/* A main record, as read. Cleared with hr_record_clear(), also after a failed read. */
typedef struct {
  char *tag;
  HrJobState state;
  double submitted_at; /* time of day, s */
  guint tasks_per_page;
  gboolean sized_page_keys; /* pages are under h/u */
  gboolean is_tombstone;
  guint32 n_tasks, n_done;
  HrJobSpec spec;
  json_t *extra;              /* members that this version does not know; NULL: none */
  json_t *tasks;              /* borrowed from the value */
  GStrv awaits;               /* ids of the jobs that it awaits, or NULL */
  const char *cancelled_with; /* of a tombstone; borrowed from the value; NULL: none */
} HrRecord;

/* Longer than any writer's tag: with it a main record is at its largest. */
#define HR_LONGEST_TAG "................................................................"

/* What is wrong with a record. */
typedef enum {
  HR_RECORD_ERROR_MEMBER, /* a member is missing, or has no valid value */
  HR_RECORD_ERROR_SPEC,   /* the job's specification cannot be read */
  HR_RECORD_ERROR_TASKS   /* the array of tasks, or a task in it, is invalid */
} HrRecordError;

#define HR_RECORD_ERROR (hr_record_error_quark ())
GQuark hr_record_error_quark (void);

/**
 * hr_record_first:
 * @spec: what the user submitted
 * @awaits: (nullable): ids of the jobs that it awaits
 * @names: names that the specification refers to
 * @submitted: time of day, s
 * @tasks_per_page: 0: the tasks are in the main record
 * @tag: tag of the write
 *
 * Returns: (transfer full): the first main record of a job, as JSON text
 */
char *hr_record_first (const HrJobSpec *spec, const char *const *awaits, const HrNames *names,
                       double submitted, guint tasks_per_page, const char *tag);

/**
 * hr_record_main:
 * @job: a job whose tasks are in memory
 * @names: names that its specification refers to
 * @machines: names of machines
 * @state: the state to be recorded
 * @tag: tag of the write
 * @pending: with the assignments and endings that are part of a write in flight
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
 * @pending: with the assignments and endings that are part of a write in flight
 *
 * Returns: (transfer full): the page, as JSON text
 */
char *hr_record_page (const HrJob *job, guint page, const HrIntern *machines, const char *tag,
                      gboolean pending);

/**
 * hr_record_page_of:
 * @job: a job whose tasks are in memory
 * @first: its first task in the page
 * @n: tasks in a page; the job's last page may hold fewer
 * @machines: names of machines
 * @tag: tag of the write
 * @pending: with the assignments and endings that are part of a write in flight
 *
 * Returns: (transfer full): a page of any size, as JSON text
 */
char *hr_record_page_of (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines,
                         const char *tag, gboolean pending);

/**
 * hr_record_read:
 * @value: (nullable): a main record or tombstone
 * @names: names that its specification refers to; new ones are added
 * @out: (out): the record; borrows from @value
 * @error: (out) (optional): in %HR_RECORD_ERROR, which member is invalid
 *
 * Returns: FALSE when the record is invalid; then nothing may be concluded about the job
 */
gboolean hr_record_read (const json_t *value, HrNames *names, HrRecord *out, GError **error);

/**
 * hr_record_clear:
 * @record: a record that was read
 *
 * Frees what it owns.
 */
void hr_record_clear (HrRecord *record);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrRecord, hr_record_clear)

/**
 * hr_record_tasks:
 * @job: a job whose tasks are in memory
 * @first: its first task in @tasks
 * @tasks: (nullable): the tasks of a main record, or of a page in the job's present layout
 * @machines: names of machines; new ones are added
 * @error: (out) (optional): in %HR_RECORD_ERROR, which task is invalid
 *
 * Sets what is recorded of these tasks.
 *
 * Returns: FALSE when they are invalid; tasks before the invalid one are set all the same
 */
gboolean hr_record_tasks (HrJob *job, guint32 first, const json_t *tasks, HrIntern *machines,
                          GError **error);
