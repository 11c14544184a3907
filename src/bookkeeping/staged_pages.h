/* Staged pages: pages in the store that are in no layout in force, because no main record names
 * their size yet, or any more.
 *
 * A split writes the pages of the new size first, the main record that names them last. Until then
 * nobody reads them as facts, but every controller keeps them: whoever follows needs their values
 * once the main record names them, and a leader their revisions, to overwrite them. Called by
 * bookkeeping alone. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>
#include <jansson.h>

/**
 * hr_staged_page_find:
 * @job: a job
 * @tasks_per_page: the size in the page's key
 * @page: number of the page, from 0
 *
 * Returns: (transfer none) (nullable): the staged page; valid until the next change of them
 */
HrStagedPage *hr_staged_page_find (HrJob *job, guint tasks_per_page, guint page);

/**
 * hr_staged_page_update:
 * @job: a job whose tasks are in memory
 * @tasks_per_page: the size in the page's key
 * @page: number of the page, from 0
 * @revision: the page's revision; 0: it was deleted
 * @value: (nullable): the page; %NULL where only its writer needs it
 *
 * Notes what is known of the page, unless something newer is.
 */
void hr_staged_page_update (HrJob *job, guint tasks_per_page, guint page, guint64 revision,
                            const json_t *value);

/**
 * hr_staged_pages_adopt:
 * @store: the store
 * @job: a job whose tasks are in memory
 * @tasks_per_page: the size of page that its main record names from now on
 * @revision: revision of that main record
 *
 * Puts the staged pages of that size in force. The pages of the earlier layout, and staged pages of
 * other sizes, are left to the garbage collection.
 */
void hr_staged_pages_adopt (HrStore *store, HrJob *job, guint tasks_per_page, guint64 revision);
