/* Writes the leader's decisions to the state store: assignments and ends of tasks, and tombstones.
 *
 * Code that changes a task marks it. hr_record_writer_tick() writes the marked pages, with at most
 * one write in flight for each page. Pages that cannot be written now stay marked. Only the leader
 * writes. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_record_writer_tick:
 * @store: the store
 *
 * Writes marked pages, starts queued splits of records and sends queued transactions. Called at
 * every step, after all code that may mark pages.
 */
void hr_record_writer_tick (HrStore *store);

/**
 * hr_record_writer_mark:
 * @store: the store
 * @job: a job
 * @task_index: index of one of its tasks
 *
 * Marks the page that holds the task as dirty. Does nothing for a final job.
 */
void hr_record_writer_mark (HrStore *store, HrJob *job, guint32 task_index);

/**
 * hr_record_writer_mark_all:
 * @store: the store
 * @job: a job
 *
 * Marks all pages of the job's record as dirty. Does nothing for a final job.
 */
void hr_record_writer_mark_all (HrStore *store, HrJob *job);

/**
 * hr_record_writer_confirmed:
 * @store: the store
 * @job: a job
 * @page: a page of it with a write in flight
 * @revision: revision of the write in the state store
 *
 * Handles a write that took effect: assigned tasks may be launched, and a job whose tombstone was
 * written is final. @page is invalid after a tombstone.
 */
void hr_record_writer_confirmed (HrStore *store, HrJob *job, HrRecordPage *page, guint64 revision);

/**
 * hr_record_writer_failed:
 * @store: the store
 * @job: a job
 * @page: a page of it with a write in flight
 *
 * Handles a write that did not take effect and never will. Marks the page again.
 */
void hr_record_writer_failed (HrStore *store, HrJob *job, HrRecordPage *page);

/**
 * hr_record_writer_back_off:
 * @store: the store
 * @job: a job whose record could not be written
 *
 * Delays the next write of the record; the delay doubles with each call until a write succeeds.
 * Tombstones are not delayed.
 */
void hr_record_writer_back_off (HrStore *store, HrJob *job);
