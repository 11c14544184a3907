/* The format of records. A member states in its hints which one it understands; once every
 * other member has stated the newer one, the leader records that in the ledger, and from then
 * on nobody is left who would misread a record of that format (docs/upgrades.md). */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

#define FORMAT_KEY "h/format"
#define FORMAT_RETRY_S 0.5
#define FORMAT_TIMEOUT_S 2.0

void
hr_core_set_supported_format (HrCore *c, guint format)
{
  c->store.format.supported = format;
  if (format)
    c->store.limits = c->settings->planned;
  else
    c->store.limits = (HrStateLimits){c->settings->state_rps, c->settings->state_write_rps,
                                      c->settings->value_kb, c->settings->txn_ops};
  c->store.transactions.allowance = (HrTokenBucket){
      c->store.limits.write_rps, c->store.limits.write_rps, c->store.limits.write_rps, 0};
}

void
hr_record_format_read (HrCore *c, const json_t *value, guint64 revision)
{
  guint64 format = 0;
  if (!c->store.format.supported || !value)
    return;
  if (!hr_json_count (value, "f", G_MAXUINT32, &format)) {
    g_warning ("the format in the state service makes no sense; left as it was");
    return;
  }
  if (format > c->store.format.supported)
    g_warning ("records are of format %u, this version understands %u", (guint)format,
               c->store.format.supported);
  else if (format > c->store.format.agreed)
    g_message ("records are of format %u from now on", (guint)format);
  c->store.format.agreed = MAX (c->store.format.agreed, format);
  c->store.format.revision = revision;
  hr_record_split_rescan (c);
}

/* What a member stated holds on: after its upgrade its processes come back new. */
static gboolean
all_understand (const HrCore *c)
{
  for (guint i = 0; i < c->settings->members->len; i++) {
    const char *label = g_array_index (c->settings->members, HrMember, i).label;
    guint stated = 0;
    for (guint k = 0; k < c->membership.peers->len; k++) {
      const HrPeerStatus *h = &g_array_index (c->membership.peers, HrPeer, k).status;
      if (g_str_equal (h->label, label))
        stated = h->format;
    }
    if (stated < c->store.format.supported)
      return FALSE;
  }
  return TRUE;
}

/* Written, refused or unknown: the next reading says what stands there. */
static void
on_recorded (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->store.format.write_in_flight = FALSE;
  c->store.format.next_write_at = c->now + FORMAT_RETRY_S;
}

void
hr_record_format_tick (HrCore *c)
{
  if (!c->leadership.is_leader || c->store.replica.state != HR_REPLICA_FOLLOWING ||
      c->store.format.agreed >= c->store.format.supported || c->store.format.write_in_flight ||
      c->now < c->store.format.next_write_at || c->store.replica.is_unavailable ||
      !all_understand (c))
    return;
  c->store.format.write_in_flight = TRUE;
  json_t *when = hr_transaction_require (json_array (), "h/map", c->leadership.record_revision);
  hr_transaction_require (when, FORMAT_KEY, c->store.format.revision);
  json_t *writes = hr_transaction_put (
      json_array (), FORMAT_KEY,
      hr_json_take_text (json_pack ("{si}", "f", (int)c->store.format.supported)), 0);
  hr_transaction_submit (c, HR_TRANSACTION_USER, when, writes, 1, FORMAT_TIMEOUT_S, on_recorded,
                         NULL);
}

/* ---- what members tell one another ---- */

void
hr_record_format_fill_status (const HrCore *c, HrPeerStatus *h)
{
  h->format = c->store.format.supported;
  h->n_oversized = c->store.splitter.n_oversized;
  memcpy (h->oversized, c->store.splitter.oversized, sizeof h->oversized);
}

void
hr_record_format_status_received (HrCore *c, const HrPeerStatus *h)
{
  for (guint i = 0; c->leadership.is_leader && c->store.format.supported && i < h->n_oversized;
       i++) {
    HrJob *j = hr_job_find (c, h->oversized[i]);
    if (j && hr_record_split_is_possible (c, j) && hr_record_layout_is_oversized (c, j))
      hr_record_split_request (c, j, TRUE);
  }
}

/* Named in the hints until others push it out: saying it again does no harm. */
void
hr_record_format_note_oversized (HrCore *c, HrJob *j)
{
  if (hr_record_split_is_possible (c, j))
    hr_record_split_request (c, j, TRUE);
  for (guint i = 0; i < c->store.splitter.n_oversized; i++)
    if (g_str_equal (c->store.splitter.oversized[i], j->id))
      return;
  memmove (c->store.splitter.oversized[1], c->store.splitter.oversized[0],
           sizeof c->store.splitter.oversized[0] * (HR_MAX_OVERSIZED - 1));
  g_strlcpy (c->store.splitter.oversized[0], j->id, sizeof c->store.splitter.oversized[0]);
  c->store.splitter.n_oversized = MIN (c->store.splitter.n_oversized + 1, HR_MAX_OVERSIZED);
  c->membership.status_sent_at = 0; /* tell at once */
}
