/* Garbage collection: deletes pages from the store that no main record names any more.
 *
 * Such pages belong to final jobs, whose record is a tombstone, and to layouts that a split has
 * left behind. Every controller notes them as it reads the store, so that whoever leads can delete
 * what an earlier leader left; only the leader deletes. Nothing depends on how soon that happens.
 */
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
 * Notes that a page is to be deleted.
 */
void hr_garbage_add_page (HrStore *store, const HrJob *job, guint tasks_per_page, guint page);

/**
 * hr_garbage_add_job:
 * @store: the store
 * @job: a job that is final, or whose record gets another layout
 *
 * Notes that all pages of the job which are known to be in the store are to be deleted: those of
 * the present layout, and staged ones.
 */
void hr_garbage_add_job (HrStore *store, const HrJob *job);

/**
 * hr_garbage_page_deleted:
 * @store: the store
 * @job: a job
 * @tasks_per_page: the size in the page's key; 0: the key has none
 * @page: number of the page, from 0
 *
 * The page is no longer in the store.
 */
void hr_garbage_page_deleted (HrStore *store, const HrJob *job, guint tasks_per_page, guint page);

/**
 * hr_garbage_tick:
 * @store: the store
 *
 * Deletes a few pages, when this node leads and the allowance for changes has nothing more urgent.
 * Called at every step.
 */
void hr_garbage_tick (HrStore *store);
