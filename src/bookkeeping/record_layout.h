/* The layout of a record: all tasks in its main record, or pages of so many tasks each.
 *
 * It is chosen once, from what a placed task takes with the longest machine name known so far. What
 * is written is measured before each write all the same; a record that has become too large is
 * split (record_split.h). Sizes are in bytes of JSON text. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_record_layout_planned_bytes:
 * @store: the store
 *
 * Returns: the size that layouts are chosen for
 */
gsize hr_record_layout_planned_bytes (const HrStore *store);

/**
 * hr_record_layout_max_bytes:
 * @store: the store
 *
 * Returns: the size beyond which a value is not sent at all
 */
gsize hr_record_layout_max_bytes (const HrStore *store);

/**
 * hr_record_layout_choose:
 * @store: the store
 * @spec: a new job's specification
 * @beside: bytes of what else is in its main record
 *
 * Returns: tasks of a page; 0: all tasks are in the main record
 */
guint hr_record_layout_choose (HrStore *store, const HrJobSpec *spec, gsize beside);

/**
 * hr_record_layout_page_size:
 * @store: the store
 * @tasks: tasks of a job, at least 1
 *
 * Returns: tasks of a page, so that there are as few pages as possible, of nearly equal size
 */
guint hr_record_layout_page_size (HrStore *store, guint32 tasks);

/**
 * hr_record_layout_smaller:
 * @store: the store
 * @job: a job whose record is too large
 *
 * Returns: tasks of a page in a smaller layout, at least 1
 */
guint hr_record_layout_smaller (HrStore *store, const HrJob *job);

/**
 * hr_record_layout_is_oversized:
 * @store: the store
 * @job: a job whose tasks are in memory
 *
 * Returns: is the main record, or a page, as it is in the store, larger than planned for?
 */
gboolean hr_record_layout_is_oversized (HrStore *store, const HrJob *job);
