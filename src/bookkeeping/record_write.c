#include "bookkeeping/record_write.h"
#include "bookkeeping/record_fields.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_writer.h"
#include "bookkeeping/store_reads.h"
#include "bookkeeping/replica_changes.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/transactions.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

#define WRITE_TIMEOUT_S 2.0

typedef struct {
  guint32 job, page;
  guint replica_generation; /* of the replica when it began: a later one makes it void */
  char *tag;
  HrTransaction *transaction;
  HrTransactionKind kind;
  gsize bytes; /* of the value */
} RecordWrite;

static void
record_write_free (RecordWrite *write)
{
  g_free (write->tag);
  hr_transaction_unref (write->transaction);
  g_free (write);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (RecordWrite, record_write_free)

void
hr_record_write_content_clear (HrRecordWriteContent *content)
{
  g_clear_pointer (&content->tag, g_free);
  g_clear_pointer (&content->text, g_free);
}

static HrJob *
job_of (const HrStore *store, const RecordWrite *write)
{
  return store->tables.jobs->pdata[write->job];
}

/* The page whose write this still is, or NULL when it was overtaken: by a new listing of the store,
 * by the job's end, or by a change that showed its outcome before the answer came. */
static HrRecordPage *
page_under_write (const HrStore *store, const RecordWrite *write)
{
  HrJob *job = job_of (store, write);
  if (write->replica_generation != store->replica.generation ||
      write->page >= job->record.n_pages ||
      g_strcmp0 (job->record.pages[write->page].write_tag, write->tag) != 0)
    return NULL;
  return &job->record.pages[write->page];
}

/* Does the write go under the main record's key? */
static gboolean
writes_main_record (const HrJob *job, const HrRecordPage *page)
{
  return !job->record.tasks_per_page || page->write_is_final;
}

/* ---- sending ---- */

static void on_written (HrStore *store, int status, json_t *body, double sent, gpointer data);

static void
submit (HrStore *store, RecordWrite *write)
{
  hr_transaction_submit (store, write->kind, write->transaction, WRITE_TIMEOUT_S, on_written,
                         write);
}

/* Takes the value's text over. */
static HrTransaction *
build_transaction (const HrStore *store, const HrJob *job, const HrRecordPage *page, char *text)
{
  HrTransaction *transaction = hr_transaction_new ();
  g_autofree char *main_key = hr_job_record_key (job);
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_RECORD,
                          store->events->leader_record_revision (store->core));
  hr_transaction_require (transaction, main_key, job->record.revision);
  if (writes_main_record (job, page)) {
    hr_transaction_put (transaction, main_key, text);
    return transaction;
  }
  g_autofree char *page_key = hr_record_page_key (job, page - job->record.pages);
  hr_transaction_require (transaction, page_key, page->revision);
  hr_transaction_put (transaction, page_key, text);
  return transaction;
}

void
hr_record_write_start (HrStore *store, HrJob *job, HrRecordPage *page,
                       HrRecordWriteContent *content)
{
  RecordWrite *write = g_new0 (RecordWrite, 1);
  page->write_tag = g_strdup (content->tag);
  page->write_is_final = content->is_tombstone;
  write->job = job->index;
  write->page = page - job->record.pages;
  write->replica_generation = store->replica.generation;
  write->bytes = strlen (content->text);
  write->kind = content->kind;
  write->tag = g_steal_pointer (&content->tag);
  write->transaction = build_transaction (store, job, page, g_steal_pointer (&content->text));
  submit (store, write);
}

/* ---- after a conflict: whose write is in the store? ---- */

/* The record is not what the write left: another controller's write came first. */
static void
apply_foreign_record (HrStore *store, const RecordWrite *write, HrRecordPage *page,
                      const json_t *value, guint64 revision)
{
  HrJob *job = job_of (store, write);
  if (!writes_main_record (job, page))
    page->revision = MAX (page->revision, revision);
  else if (value)
    hr_replica_apply_job (store, job, value, revision);
  /* Applying the record may have ended the job, and this write with it. */
  if (page_under_write (store, write))
    hr_record_writer_failed (store, job, page);
}

static void
on_record_reread (HrStore *store, int status, json_t *body, double sent G_GNUC_UNUSED,
                  gpointer data)
{
  g_autoptr (RecordWrite) write = data;
  HrRecordPage *page = page_under_write (store, write);
  guint64 revision = 0;
  if (!page)
    return;
  if (status != 200 && status != 404) {
    /* Still unknown: the same write again, it holds on the same revisions. */
    submit (store, g_steal_pointer (&write));
    return;
  }
  const json_t *value = hr_store_read_value (body);
  const char *tag = hr_json_str (value, HR_RECORD_TAG);
  hr_store_read_key_revision (body, &revision);
  if (tag && g_str_equal (tag, write->tag))
    hr_record_writer_confirmed (store, job_of (store, write), page, revision);
  else
    apply_foreign_record (store, write, page, value, revision);
}

static void
on_replica_fresh (HrStore *store, gboolean ok G_GNUC_UNUSED, gpointer data)
{
  g_autoptr (RecordWrite) write = data;
  const HrRecordPage *page = page_under_write (store, write);
  if (!page)
    return;
  const HrJob *job = job_of (store, write);
  g_autofree char *key = writes_main_record (job, page) ? hr_job_record_key (job)
                                                        : hr_record_page_key (job, write->page);
  store->events->call (store->core, HR_GET, hr_store_key_path (key), NULL, WRITE_TIMEOUT_S,
                       on_record_reread, g_steal_pointer (&write));
}

/* ---- answers ---- */

static void
handle_refusal (HrStore *store, const RecordWrite *write, HrRecordPage *page, const char *error)
{
  HrJob *job = job_of (store, write);
  g_warning ("%s: the state service refuses the record: %s", job->id, error);
  if (store->format.supported) {
    if (write->bytes > hr_record_layout_planned_bytes (store))
      store->format.planned_limits_in_force = TRUE;
    hr_record_writer_back_off (store, job);
  }
  hr_record_writer_failed (store, job, page);
}

static void
on_written (HrStore *store, int status, json_t *body, double sent G_GNUC_UNUSED, gpointer data)
{
  g_autoptr (RecordWrite) write = data;
  HrRecordPage *page = page_under_write (store, write);
  guint64 store_revision;
  if (!page)
    return;
  if (status == 200 && hr_store_read_revision (body, &store_revision))
    hr_record_writer_confirmed (store, job_of (store, write), page, store_revision);
  else if (status == 409)
    /* Perhaps because of an earlier try of ours whose answer was lost: the record shows it. The
     * leader record may have changed too, so the changes are read before anything is concluded. */
    hr_replica_read (store, on_replica_fresh, g_steal_pointer (&write));
  else if (status == 400)
    handle_refusal (store, write, page, hr_json_str (body, "error"));
  else
    submit (store, g_steal_pointer (&write)); /* unknown, or not carried out: the same again */
}
