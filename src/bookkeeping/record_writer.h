/* Writes to the state store what the leader decided about tasks: assignments, endings, tombstones.
 *
 * Whoever changes a task marks it; hr_record_writer_tick() writes the marked pages, one write at a
 * time for each. What cannot be written now stays marked. Only the leader writes. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_record_writer_tick:
 * @store: the store
 *
 * Writes marked pages, goes on with splits of records and sends queued transactions. Called at
 * every step, after everything that may mark pages.
 */
void hr_record_writer_tick (HrStore *store);

/**
 * hr_record_writer_mark:
 * @store: the store
 * @job: a job
 * @task_index: a task of it
 *
 * Marks the page that holds the task as due to be written. Does nothing for a final job.
 */
void hr_record_writer_mark (HrStore *store, HrJob *job, guint32 task_index);

/**
 * hr_record_writer_mark_all:
 * @store: the store
 * @job: a job
 *
 * Marks all pages of the job's record. Does nothing for a final job.
 */
void hr_record_writer_mark_all (HrStore *store, HrJob *job);

/**
 * hr_record_writer_confirmed:
 * @store: the store
 * @job: a job
 * @page: a page of it with a write in flight
 * @revision: revision at which that write is in the store
 *
 * What the write held is recorded: launches may follow, and a job whose tombstone it was is final.
 * @page is void after a tombstone.
 */
void hr_record_writer_confirmed (HrStore *store, HrJob *job, HrRecordPage *page, guint64 revision);

/**
 * hr_record_writer_failed:
 * @store: the store
 * @job: a job
 * @page: a page of it with a write in flight
 *
 * The write did not happen, and never will. What is still to be recorded is marked anew.
 */
void hr_record_writer_failed (HrStore *store, HrJob *job, HrRecordPage *page);

/**
 * hr_record_writer_back_off:
 * @store: the store
 * @job: a job whose record could not be written
 *
 * Its record is not written again before a while, longer each time. Tombstones do not wait.
 */
void hr_record_writer_back_off (HrStore *store, HrJob *job);
