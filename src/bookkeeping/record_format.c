/* The format of records. A member states in its statuses which one it understands; once every
 * other member has stated the newer one, the leader records that in the state store, and from then
 * on nobody is left who would misread a record of that format (docs/upgrades.md). */
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/transactions.h"
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

#define FORMAT_KEY "h/format"
#define FORMAT_RETRY_S 0.5
#define FORMAT_TIMEOUT_S 2.0

void
hr_core_set_supported_format (HrCore *core, guint format)
{
  core->store.format.supported = format;
  if (format)
    core->store.limits = core->settings->planned;
  else
    core->store.limits = (HrStateLimits){core->settings->state_rps, core->settings->state_write_rps,
                                         core->settings->value_kb, core->settings->txn_ops};
  core->store.transactions.allowance = (HrTokenBucket){
      core->store.limits.write_rps, core->store.limits.write_rps, core->store.limits.write_rps, 0};
}

void
hr_record_format_read (HrCore *core, const json_t *value, guint64 revision)
{
  guint64 format = 0;
  if (!core->store.format.supported || !value)
    return;
  if (!hr_json_count (value, "f", G_MAXUINT32, &format)) {
    g_warning ("the format in the state service makes no sense; left as it was");
    return;
  }
  if (format > core->store.format.supported)
    g_warning ("records are of format %u, this version understands %u", (guint)format,
               core->store.format.supported);
  else if (format > core->store.format.agreed)
    g_message ("records are of format %u from now on", (guint)format);
  core->store.format.agreed = MAX (core->store.format.agreed, format);
  core->store.format.revision = revision;
  hr_record_split_rescan (core);
}

/* What a member stated holds on: after its upgrade its processes come back new. */
static gboolean
all_understand (const HrCore *core)
{
  for (guint i = 0; i < core->settings->members->len; i++) {
    const char *label = g_array_index (core->settings->members, HrMember, i).label;
    guint stated = 0;
    for (guint k = 0; k < core->membership.peers->len; k++) {
      const HrPeerStatus *status = &g_array_index (core->membership.peers, HrPeer, k).status;
      if (g_str_equal (status->label, label))
        stated = status->format;
    }
    if (stated < core->store.format.supported)
      return FALSE;
  }
  return TRUE;
}

/* Written, refused or unknown: the next reading says what stands there. */
static void
on_recorded (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  core->store.format.write_in_flight = FALSE;
  core->store.format.next_write_at = core->now + FORMAT_RETRY_S;
}

void
hr_record_format_tick (HrCore *core)
{
  if (!core->leadership.is_leader || core->store.replica.state != HR_REPLICA_FOLLOWING ||
      core->store.format.agreed >= core->store.format.supported ||
      core->store.format.write_in_flight || core->now < core->store.format.next_write_at ||
      core->store.replica.is_unavailable || !all_understand (core))
    return;
  core->store.format.write_in_flight = TRUE;
  json_t *when = hr_transaction_require (json_array (), "h/map", core->leadership.record_revision);
  hr_transaction_require (when, FORMAT_KEY, core->store.format.revision);
  json_t *writes = hr_transaction_put (
      json_array (), FORMAT_KEY,
      hr_json_take_text (json_pack ("{si}", "f", (int)core->store.format.supported)), 0);
  hr_transaction_submit (core, HR_TRANSACTION_USER, when, writes, 1, FORMAT_TIMEOUT_S, on_recorded,
                         NULL);
}

/* ---- what members tell one another ---- */

void
hr_record_format_fill_status (const HrCore *core, HrPeerStatus *status)
{
  status->format = core->store.format.supported;
  status->n_oversized = core->store.splitter.n_oversized;
  memcpy (status->oversized, core->store.splitter.oversized, sizeof status->oversized);
}

void
hr_record_format_status_received (HrCore *core, const HrPeerStatus *status)
{
  for (guint i = 0;
       core->leadership.is_leader && core->store.format.supported && i < status->n_oversized; i++) {
    HrJob *job = hr_job_find (&core->store.tables, status->oversized[i]);
    if (job && hr_record_split_is_possible (core, job) && hr_record_layout_is_oversized (core, job))
      hr_record_split_request (core, job, TRUE);
  }
}

/* Named in the statuses until others push it out: saying it again does no harm. */
void
hr_record_format_note_oversized (HrCore *core, HrJob *job)
{
  if (hr_record_split_is_possible (core, job))
    hr_record_split_request (core, job, TRUE);
  for (guint i = 0; i < core->store.splitter.n_oversized; i++)
    if (g_str_equal (core->store.splitter.oversized[i], job->id))
      return;
  memmove (core->store.splitter.oversized[1], core->store.splitter.oversized[0],
           sizeof core->store.splitter.oversized[0] * (HR_MAX_OVERSIZED - 1));
  g_strlcpy (core->store.splitter.oversized[0], job->id, sizeof core->store.splitter.oversized[0]);
  core->store.splitter.n_oversized = MIN (core->store.splitter.n_oversized + 1, HR_MAX_OVERSIZED);
  core->membership.status_sent_at = 0; /* tell at once */
}
