/* Garbage collection: deletes pages from the state store to which no main record refers any more.
 *
 * Such pages belong to final jobs, whose record is a tombstone, or to layouts that a split has
 * replaced. Every controller lists them as it reads the state store, so that a new leader can
 * delete the pages that an earlier leader left. Only the leader deletes. Nothing depends on when
 * that happens. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_garbage_add_page:
 * @store: the store
 * @job: a job
 * @tasks_per_page: the size in the page's key; 0: the key has none
 * @page: number of the page, from 0
 *
 * Adds a page to the list of pages to delete.
 */
void hr_garbage_add_page (HrStore *store, const HrJob *job, guint tasks_per_page, guint page);

/**
 * hr_garbage_add_job:
 * @store: the store
 * @job: a job that is final, or whose record gets another layout
 *
 * Adds all pages of the job that are known to be in the state store to the list of pages to delete:
 * those of the current layout, and staged pages.
 */
void hr_garbage_add_job (HrStore *store, const HrJob *job);

/**
 * hr_garbage_remove_page:
 * @store: the store
 * @job: a job
 * @tasks_per_page: the size in the page's key; 0: the key has none
 * @page: number of the page, from 0
 *
 * Removes a page from the list of pages to delete: it is no longer in the state store.
 */
void hr_garbage_remove_page (HrStore *store, const HrJob *job, guint tasks_per_page, guint page);

/**
 * hr_garbage_tick:
 * @store: the store
 *
 * Deletes a few pages if this node leads, no page has to be written and the write allowance is
 * nearly full. Called at every step.
 */
void hr_garbage_tick (HrStore *store);
