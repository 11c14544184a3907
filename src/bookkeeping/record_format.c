/* The format of records. A member states in its statuses which one it understands; once every
 * other member has stated the newer one, the leader records that in the state store, and from then
 * on nobody is left who would misread a record of that format (docs/upgrades.md). */
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/store.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "bookkeeping/transactions.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include "protocol/settings.h"
#include <string.h>

#define FORMAT_RETRY_S 0.5
#define FORMAT_TIMEOUT_S 2.0

void
hr_record_format_set_supported (HrStore *store, guint format)
{
  store->format.supported = format;
  if (format)
    store->limits = store->settings->planned;
  else
    store->limits = (HrStateLimits){store->settings->state_rps, store->settings->state_write_rps,
                                    store->settings->value_kb, store->settings->txn_ops};
  store->transactions.allowance =
      (HrTokenBucket){store->limits.write_rps, store->limits.write_rps, store->limits.write_rps, 0};
}

void
hr_record_format_read (HrStore *store, const json_t *value, guint64 revision)
{
  guint64 format = 0;
  if (!store->format.supported || !value)
    return;
  if (!hr_json_count (value, "f", G_MAXUINT32, &format)) {
    g_warning ("the format in the state service makes no sense; left as it was");
    return;
  }
  if (format > store->format.supported)
    g_warning ("records are of format %u, this version understands %u", (guint)format,
               store->format.supported);
  else if (format > store->format.agreed)
    g_message ("records are of format %u from now on", (guint)format);
  store->format.agreed = MAX (store->format.agreed, format);
  store->format.revision = revision;
  hr_record_split_rescan (store);
}

/* Written, refused or unknown: the next reading says what stands there. */
static void
on_recorded (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  store->format.write_in_flight = FALSE;
  store->format.next_write_at = store->now + FORMAT_RETRY_S;
}

void
hr_record_format_tick (HrStore *store)
{
  if (!hr_store_is_leader (store) || store->replica.state != HR_REPLICA_FOLLOWING ||
      store->format.agreed >= store->format.supported || store->format.write_in_flight ||
      store->now < store->format.next_write_at || store->replica.is_unavailable ||
      !store->events->peers_support_format (store->core, store->format.supported))
    return;
  store->format.write_in_flight = TRUE;
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_RECORD,
                          store->events->leader_record_revision (store->core));
  hr_transaction_require (transaction, HR_STORE_KEY_RECORD_FORMAT, store->format.revision);
  hr_transaction_put (transaction, HR_STORE_KEY_RECORD_FORMAT,
                      hr_json_take_text (json_pack ("{si}", "f", (int)store->format.supported)));
  hr_transaction_submit (store, HR_TRANSACTION_USER, transaction, FORMAT_TIMEOUT_S, on_recorded,
                         NULL);
}

void
hr_record_format_peer_oversized (HrStore *store, const char *id)
{
  if (!hr_store_is_leader (store) || !store->format.supported)
    return;
  HrJob *job = hr_job_find (&store->tables, id);
  if (job && hr_record_split_is_possible (store, job) && hr_record_layout_is_oversized (store, job))
    hr_record_split_request (store, job, TRUE);
}

/* Named in the statuses until others push it out: saying it again does no harm. */
void
hr_record_format_note_oversized (HrStore *store, HrJob *job)
{
  if (hr_record_split_is_possible (store, job))
    hr_record_split_request (store, job, TRUE);
  for (guint i = 0; i < store->splitter.n_oversized; i++)
    if (g_str_equal (store->splitter.oversized[i], job->id))
      return;
  memmove (store->splitter.oversized[1], store->splitter.oversized[0],
           sizeof store->splitter.oversized[0] * (HR_MAX_OVERSIZED - 1));
  g_strlcpy (store->splitter.oversized[0], job->id, sizeof store->splitter.oversized[0]);
  store->splitter.n_oversized = MIN (store->splitter.n_oversized + 1, HR_MAX_OVERSIZED);
  store->events->status_changed (store->core); /* tell at once */
}
