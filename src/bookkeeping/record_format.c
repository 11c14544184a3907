#include "bookkeeping/record_format.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "bookkeeping/transactions.h"
#include "protocol/json_util.h"
#include "protocol/settings.h"
#include <string.h>

#define WRITE_RETRY_S 0.5
#define WRITE_TIMEOUT_S 2.0
/* The only member of the record: the agreed format. */
#define FORMAT_MEMBER "f"

static HrStateLimits
present_limits (const HrSettings *settings)
{
  return (HrStateLimits){settings->state_rps, settings->state_write_rps, settings->value_kb,
                         settings->txn_ops};
}

void
hr_record_format_set_supported (HrStore *store, guint format)
{
  store->format.supported = format;
  store->limits = format ? store->settings->planned_limits : present_limits (store->settings);
  double rate = store->limits.write_rps;
  store->transactions.allowance = (HrTokenBucket){rate, rate, rate, 0};
}

void
hr_record_format_read (HrStore *store, const json_t *value, guint64 revision)
{
  HrRecordFormat *state = &store->format;
  guint64 format = 0;
  if (!state->supported || !value)
    return;
  if (!hr_json_count (value, FORMAT_MEMBER, G_MAXUINT32, &format)) {
    g_warning ("ignored the invalid value of key " HR_STORE_KEY_RECORD_FORMAT
               " in the state service");
    return;
  }
  if (format > state->supported)
    g_warning ("records have format %u, this version supports formats up to %u", (guint)format,
               state->supported);
  else if (format > state->agreed)
    g_message ("records have format %u from now on", (guint)format);
  state->agreed = MAX (state->agreed, format);
  state->revision = revision;
  hr_record_split_rescan (store);
}

/* Ignores the outcome of the write: the next read of the record shows it. */
static void
on_format_written (HrStore *store, int status G_GNUC_UNUSED, json_t *body G_GNUC_UNUSED,
                   double sent_at G_GNUC_UNUSED, gpointer data G_GNUC_UNUSED)
{
  store->format.write_in_flight = FALSE;
  store->format.next_write_at = store->now + WRITE_RETRY_S;
}

static gboolean
is_write_due (const HrStore *store)
{
  const HrRecordFormat *state = &store->format;
  return hr_store_is_leader (store) && store->replica.state == HR_REPLICA_FOLLOWING &&
         state->agreed < state->supported && !state->write_in_flight &&
         store->now >= state->next_write_at && !store->replica.is_unavailable &&
         store->events->peers_support_format (store->core, state->supported);
}

void
hr_record_format_tick (HrStore *store)
{
  if (!is_write_due (store))
    return;
  json_t *value = json_pack ("{si}", FORMAT_MEMBER, (int)store->format.supported);
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_RECORD,
                          store->events->leader_record_revision (store->core));
  hr_transaction_require (transaction, HR_STORE_KEY_RECORD_FORMAT, store->format.revision);
  hr_transaction_put (transaction, HR_STORE_KEY_RECORD_FORMAT, hr_json_take_text (value));
  store->format.write_in_flight = TRUE;
  hr_transaction_submit (store, HR_TRANSACTION_USER, transaction, WRITE_TIMEOUT_S,
                         on_format_written, NULL);
}

void
hr_record_format_handle_oversized_report (HrStore *store, const char *id)
{
  if (!hr_store_is_leader (store) || !store->format.supported)
    return;
  HrJob *job = hr_job_find (&store->tables, id);
  if (job && hr_record_split_is_possible (store, job) && hr_record_layout_is_oversized (store, job))
    hr_record_split_request (store, job, TRUE);
}

static gboolean
is_reported_oversized (const HrRecordSplitter *splitter, const char *id)
{
  for (guint i = 0; i < splitter->n_oversized; i++)
    if (g_str_equal (splitter->oversized[i], id))
      return TRUE;
  return FALSE;
}

/* Inserts the job at the front of the list. A full list drops its oldest entry. */
static void
add_oversized (HrRecordSplitter *splitter, const char *id)
{
  memmove (splitter->oversized[1], splitter->oversized[0],
           sizeof splitter->oversized[0] * (HR_MAX_OVERSIZED - 1));
  g_strlcpy (splitter->oversized[0], id, sizeof splitter->oversized[0]);
  splitter->n_oversized = MIN (splitter->n_oversized + 1, HR_MAX_OVERSIZED);
}

/* The statuses keep naming the job until newer entries replace it, even after the split. That is
 * harmless. */
void
hr_record_format_report_oversized (HrStore *store, HrJob *job)
{
  if (hr_record_split_is_possible (store, job))
    hr_record_split_request (store, job, TRUE);
  if (is_reported_oversized (&store->splitter, job->id))
    return;
  add_oversized (&store->splitter, job->id);
  store->events->status_changed (store->core);
}
