/* Keys of the state store: every key that a controller reads or writes.
 *
 * All keys start with HR_STORE_KEYS, so one watch of that prefix sees every change. The strings are
 * part of the stored format: changing one of them changes the format (docs/upgrades.md). */
#pragma once
#include "bookkeeping/tables.h"
#include <glib.h>

/* The prefix of all keys. */
#define HR_STORE_KEYS "h/"
/* The leader record: the leader and its fencing token. The leader's writes are conditional on its
 * revision. */
#define HR_STORE_KEY_LEADER_RECORD "h/map"
/* The leader lock: attached to a lease that the leader holds. */
#define HR_STORE_KEY_LEADER_LOCK "h/leader"
/* The machine types, as last listed by the cloud. */
#define HR_STORE_KEY_MACHINE_TYPES "h/types"
/* The format of records that every controller supports. */
#define HR_STORE_KEY_RECORD_FORMAT "h/format"
/* Main records of jobs: h/j/ID. */
#define HR_STORE_KEYS_JOBS "h/j/"
/* Pages of large jobs: h/t/ID/PAGE. */
#define HR_STORE_KEYS_PAGES "h/t/"
/* Pages of split records, with the page size in the key: h/u/ID/TASKS_PER_PAGE/PAGE. */
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
 * Returns: (transfer full): the key of a page in the job's current layout
 */
char *hr_record_page_key (const HrJob *job, guint page);

/**
 * hr_record_page_key_in_layout:
 * @job: a job
 * @tasks_per_page: the page size in the key; 0: a key under h/t, without size
 * @page: number of the page, from 0
 *
 * Returns: (transfer full): the key of a page in any layout of the job
 */
char *hr_record_page_key_in_layout (const HrJob *job, guint tasks_per_page, guint page);
