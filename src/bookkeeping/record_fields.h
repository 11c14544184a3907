/* Members of the records' JSON objects, and the values that tasks take in them (record.h shows the
 * whole format). The texts are part of the stored format (docs/upgrades.md). */
#pragma once

#define HR_RECORD_TAG "w"             /* the tag of the write that left the record */
#define HR_RECORD_STATE "s"           /* HrJobState */
#define HR_RECORD_SUBMITTED_AT "t"    /* time of day, s */
#define HR_RECORD_TASKS_PER_PAGE "q"  /* 0: the tasks are in the main record */
#define HR_RECORD_SPEC "j"            /* the job's specification; a tombstone has none */
#define HR_RECORD_TASKS "x"           /* array of tasks */
#define HR_RECORD_SIZED_PAGE_KEYS "u" /* 1: keys of pages carry their size */
#define HR_RECORD_AWAITS "a"          /* ids of the jobs that it awaits */
#define HR_RECORD_N_TASKS "n"         /* of a tombstone */
#define HR_RECORD_N_DONE "d"          /* of a tombstone: tasks that were done */
#define HR_RECORD_CANCELLED_WITH "c"  /* of a tombstone: id of the cancelled job that it awaited */

/* A task that was never placed, and one that is done; a placed one is an array. */
#define HR_RECORD_TASK_UNPLACED 0
#define HR_RECORD_TASK_DONE 1
