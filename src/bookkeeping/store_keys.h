/* Keys of the state store: every key that a controller reads or writes there.
 *
 * All of them start with HR_STORE_KEYS, so one watch of that prefix sees every change. The texts
 * are part of the stored format: a change here is a change of format (docs/upgrades.md). */
#pragma once
#include "bookkeeping/tables.h"
#include <glib.h>

/* The prefix of all keys. */
#define HR_STORE_KEYS "h/"
/* The leader record: who leads, with which fencing token. The leader's writes hold on it. */
#define HR_STORE_KEY_LEADER_RECORD "h/map"
/* The leader lock: lives with a lease of the leader's. */
#define HR_STORE_KEY_LEADER_LOCK "h/leader"
/* The machine types, as the cloud last listed them. */
#define HR_STORE_KEY_MACHINE_TYPES "h/types"
/* The format of records that every controller understands. */
#define HR_STORE_KEY_RECORD_FORMAT "h/format"
/* Main records of jobs: h/j/ID. */
#define HR_STORE_KEYS_JOBS "h/j/"
/* Pages of large jobs: h/t/ID/PAGE. */
#define HR_STORE_KEYS_PAGES "h/t/"
/* Pages of split records, which carry their size: h/u/ID/TASKS_PER_PAGE/PAGE. */
#define HR_STORE_KEYS_SIZED_PAGES "h/u/"

/**
 * hr_job_record_key:
 * @job: a job
 *
 * Returns: (transfer full): the key of the job's main record
 */
char *hr_job_record_key (const HrJob *job);

/**
 * hr_record_page_key:
 * @job: a job whose tasks are in pages
 * @page: number of the page, from 0
 *
 * Returns: (transfer full): the key of a page in the layout that the main record names
 */
char *hr_record_page_key (const HrJob *job, guint page);

/**
 * hr_record_page_key_of:
 * @job: a job
 * @tasks_per_page: the size that the key carries; 0: a key without one, under h/t
 * @page: number of the page, from 0
 *
 * Returns: (transfer full): the key of a page in any layout of the job
 */
char *hr_record_page_key_of (const HrJob *job, guint tasks_per_page, guint page);
