/* Members of the JSON objects of records, and the values of tasks in them (record.h describes the
 * format). The names are part of the stored format (docs/upgrades.md). */
#pragma once

#define HR_RECORD_TAG "w"             /* tag of the last write of the record */
#define HR_RECORD_STATE "s"           /* HrJobState */
#define HR_RECORD_SUBMITTED_AT "t"    /* real time, s */
#define HR_RECORD_TASKS_PER_PAGE "q"  /* 0: the main record holds the tasks */
#define HR_RECORD_SPEC "j"            /* the job's specification; a tombstone has none */
#define HR_RECORD_TASKS "x"           /* array of tasks */
#define HR_RECORD_SIZED_PAGE_KEYS "u" /* 1: the keys of pages contain the page size */
#define HR_RECORD_AWAITS "a"          /* ids of the jobs that the job awaits */
#define HR_RECORD_N_TASKS "n"         /* tombstone: number of tasks */
#define HR_RECORD_N_DONE "d"          /* tombstone: number of tasks that were done */
#define HR_RECORD_CANCELLED_WITH "c"  /* tombstone: id of the cancelled job that the job awaited */

/* Values of a task that was never placed, and of one that is done. A placed task is an array. */
#define HR_RECORD_TASK_UNPLACED 0
#define HR_RECORD_TASK_DONE 1
