/* Staged pages: pages in the state store that belong to no layout in force, because the main record
 * does not refer to their size yet, or any more.
 *
 * A split writes the pages of the new size first, and last the main record that refers to them.
 * Until then no controller uses their tasks, but every controller keeps them: a follower needs
 * their values once the main record refers to them, and a leader needs their revisions to overwrite
 * them. Only bookkeeping calls these functions. */
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
 * Returns: (transfer none) (nullable): the staged page; valid until the job's staged pages change
 */
HrStagedPage *hr_staged_page_find (HrJob *job, guint tasks_per_page, guint page);

/**
 * hr_staged_page_update:
 * @job: a job whose tasks are in memory
 * @tasks_per_page: the size in the page's key
 * @page: number of the page, from 0
 * @revision: the page's revision; 0: it was deleted
 * @value: (nullable): the page; %NULL if it was deleted, or written by this node
 *
 * Records the revision and the value of the page, unless a newer revision is known.
 */
void hr_staged_page_update (HrJob *job, guint tasks_per_page, guint page, guint64 revision,
                            const json_t *value);

/**
 * hr_staged_pages_adopt:
 * @store: the store
 * @job: a job whose tasks are in memory
 * @tasks_per_page: the page size to which its main record refers from now on
 * @revision: revision of that main record
 *
 * Puts the staged pages of that size in force. Passes the pages of the earlier layout, and staged
 * pages of other sizes, to the garbage collection.
 */
void hr_staged_pages_adopt (HrStore *store, HrJob *job, guint tasks_per_page, guint64 revision);
