/* A write of a main record or a page, from the first try until its outcome is known.
 *
 * Each write is conditional on the leader record, which fences earlier leaders, and on the
 * revisions of the values that it replaces. A page has at most one write in flight, whose tag is
 * HrRecordPage.write_tag. The outcome is passed to hr_record_writer_confirmed() or
 * hr_record_writer_failed(). A write whose response is lost is retried; it can take effect only
 * once. Only record_writer.c calls these functions. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/* The content of a write. */
typedef struct {
  char *tag;              /* unique tag of the write; owned */
  char *text;             /* the value, as JSON; owned */
  gboolean is_tombstone;  /* the text is the job's tombstone, written to the main record's key */
  HrTransactionKind kind; /* priority of the transaction */
} HrRecordWriteContent;

/**
 * hr_record_write_content_clear:
 * @content: the content of a write
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
 * @content: the content; its tag and text are stolen
 *
 * Submits the write, and retries it until its outcome is known.
 */
void hr_record_write_start (HrStore *store, HrJob *job, HrRecordPage *page,
                            HrRecordWriteContent *content);
