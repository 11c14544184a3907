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
  guint replica_generation; /* when the write began; a newer one supersedes the write */
  char *tag;
  HrTransaction *transaction;
  HrTransactionKind kind;
  gsize bytes; /* size of the value */
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

/* Returns the page with this write in flight, or NULL if the write was superseded: by a new listing
 * of the state store, by the end of the job, or by a change that showed its outcome before the
 * response arrived. */
static HrRecordPage *
page_in_flight (const HrStore *store, const RecordWrite *write)
{
  HrJob *job = job_of (store, write);
  if (write->replica_generation != store->replica.generation ||
      write->page >= job->record.n_pages ||
      g_strcmp0 (job->record.pages[write->page].write_tag, write->tag) != 0)
    return NULL;
  return &job->record.pages[write->page];
}

/* Checks whether the write of the page writes the key of the main record. */
static gboolean
writes_main_record (const HrJob *job, const HrRecordPage *page)
{
  return !job->record.tasks_per_page || page->write_is_tombstone;
}

/* ---- sending ---- */

static void on_written (HrStore *store, int status, json_t *body, double sent_at, gpointer data);

static void
submit (HrStore *store, RecordWrite *write)
{
  hr_transaction_submit (store, write->kind, write->transaction, WRITE_TIMEOUT_S, on_written,
                         write);
}

/* Builds the transaction of a write. Takes ownership of the text. */
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
  page->write_is_tombstone = content->is_tombstone;
  write->job = job->index;
  write->page = page - job->record.pages;
  write->replica_generation = store->replica.generation;
  write->bytes = strlen (content->text);
  write->kind = content->kind;
  write->tag = g_steal_pointer (&content->tag);
  write->transaction = build_transaction (store, job, page, g_steal_pointer (&content->text));
  submit (store, write);
}

/* ---- conflicts: find out whose write is in the state store ---- */

/* Applies a record that another controller wrote first. The write in flight has failed. */
static void
apply_conflicting_record (HrStore *store, const RecordWrite *write, HrRecordPage *page,
                          const json_t *value, guint64 revision)
{
  HrJob *job = job_of (store, write);
  if (!writes_main_record (job, page))
    page->revision = MAX (page->revision, revision);
  else if (value)
    hr_replica_apply_job (store, job, value, revision);
  /* Applying the record may have ended the job, which cancels this write. */
  if (page_in_flight (store, write))
    hr_record_writer_failed (store, job, page);
}

static void
on_record_reread (HrStore *store, int status, json_t *body, double sent_at G_GNUC_UNUSED,
                  gpointer data)
{
  g_autoptr (RecordWrite) write = data;
  HrRecordPage *page = page_in_flight (store, write);
  guint64 revision = 0;
  if (!page)
    return;
  if (status != 200 && status != 404) {
    /* Unknown outcome: retry the write, which is conditional on the same revisions. */
    submit (store, g_steal_pointer (&write));
    return;
  }
  const json_t *value = hr_store_read_value (body);
  const char *tag = hr_json_str (value, HR_RECORD_TAG);
  hr_store_read_key_revision (body, &revision);
  if (tag && g_str_equal (tag, write->tag))
    hr_record_writer_confirmed (store, job_of (store, write), page, revision);
  else
    apply_conflicting_record (store, write, page, value, revision);
}

static void
on_replica_read (HrStore *store, gboolean ok G_GNUC_UNUSED, gpointer data)
{
  g_autoptr (RecordWrite) write = data;
  const HrRecordPage *page = page_in_flight (store, write);
  if (!page)
    return;
  const HrJob *job = job_of (store, write);
  g_autofree char *key = writes_main_record (job, page) ? hr_job_record_key (job)
                                                        : hr_record_page_key (job, write->page);
  store->events->call (store->core, HR_GET, hr_store_key_path (key), NULL, WRITE_TIMEOUT_S,
                       on_record_reread, g_steal_pointer (&write));
}

/* ---- responses ---- */

static void
handle_refusal (HrStore *store, const RecordWrite *write, HrRecordPage *page, const char *error)
{
  HrJob *job = job_of (store, write);
  g_warning ("%s: the state service refused to write its record: %s", job->id, error);
  if (store->format.supported) {
    if (write->bytes > hr_record_layout_planned_bytes (store))
      store->format.planned_limits_in_force = TRUE;
    hr_record_writer_back_off (store, job);
  }
  hr_record_writer_failed (store, job, page);
}

static void
on_written (HrStore *store, int status, json_t *body, double sent_at G_GNUC_UNUSED, gpointer data)
{
  g_autoptr (RecordWrite) write = data;
  HrRecordPage *page = page_in_flight (store, write);
  guint64 store_revision;
  if (!page)
    return;
  if (status == 200 && hr_store_read_revision (body, &store_revision))
    hr_record_writer_confirmed (store, job_of (store, write), page, store_revision);
  else if (status == 409)
    /* An earlier try of this write whose response was lost may have taken effect; the record shows
     * whether it has. The leader record may have changed, too, so read the changes first. */
    hr_replica_read (store, on_replica_read, g_steal_pointer (&write));
  else if (status == 400)
    handle_refusal (store, write, page, hr_json_str (body, "error"));
  else
    submit (store, g_steal_pointer (&write)); /* unknown outcome or not executed: retry */
}
