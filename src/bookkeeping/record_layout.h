/* The layout of a record: either the main record holds all tasks, or pages hold a fixed number
 * each.
 *
 * The layout is chosen when the job is submitted, from the size of a placed task with the longest
 * machine name known so far. Each value is measured again before it is written; a record that has
 * become too large is split (record_split.h). Sizes are in bytes of JSON text. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_record_layout_planned_bytes:
 * @store: the store
 *
 * Returns: the maximum size of a value for which layouts are chosen, in bytes
 */
gsize hr_record_layout_planned_bytes (const HrStore *store);

/**
 * hr_record_layout_max_bytes:
 * @store: the store
 *
 * Returns: the maximum size of a value that is sent, in bytes
 */
gsize hr_record_layout_max_bytes (const HrStore *store);

/**
 * hr_record_layout_choose:
 * @store: the store
 * @spec: a new job's specification
 * @other_bytes: size of the other members of its main record, in bytes
 *
 * Returns: tasks of a page; 0: the main record holds all tasks
 */
guint hr_record_layout_choose (HrStore *store, const HrJobSpec *spec, gsize other_bytes);

/**
 * hr_record_layout_page_size:
 * @store: the store
 * @tasks: number of tasks of a job, at least 1
 *
 * Returns: tasks of a page in the layout with the fewest pages, of nearly equal size
 */
guint hr_record_layout_page_size (HrStore *store, guint32 tasks);

/**
 * hr_record_layout_choose_smaller:
 * @store: the store
 * @job: a job whose record is too large
 *
 * Returns: tasks of a page in a layout with smaller pages, at least 1
 */
guint hr_record_layout_choose_smaller (HrStore *store, const HrJob *job);

/**
 * hr_record_layout_is_oversized:
 * @store: the store
 * @job: a job whose tasks are in memory
 *
 * Returns: whether the main record or a page, as recorded in the state store, is larger than
 * hr_record_layout_planned_bytes()
 */
gboolean hr_record_layout_is_oversized (HrStore *store, const HrJob *job);
