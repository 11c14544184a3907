/* One write of a record or of a page of it, from its first try until its outcome is known.
 *
 * Each write holds on the leader record, which fences earlier leaders, and on the revisions of what
 * it replaces. A page has at most one write in flight; HrRecordPage.write_tag is its tag. The
 * outcome goes to record_writer.h: confirmed, or failed. A write whose answer is lost is sent
 * again: it can only take effect once. Called by record_writer.c alone. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/* What is to be written. */
typedef struct {
  char *tag;              /* of this write alone; owned */
  char *text;             /* the value, as JSON; owned */
  gboolean is_tombstone;  /* the job's tombstone: goes under the main record's key */
  HrTransactionKind kind; /* how early it is sent */
} HrRecordWriteContent;

/**
 * hr_record_write_content_clear:
 * @content: what is to be written
 *
 * Frees the members that are still owned.
 */
void hr_record_write_content_clear (HrRecordWriteContent *content);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrRecordWriteContent, hr_record_write_content_clear)

/**
 * hr_record_write_start:
 * @store: the store
 * @job: a job whose tasks are in memory
 * @page: one of its pages, without a write in flight
 * @content: what to write; its tag and text are taken over
 *
 * Submits the write and sees it through.
 */
void hr_record_write_start (HrStore *store, HrJob *job, HrRecordPage *page,
                            HrRecordWriteContent *content);
