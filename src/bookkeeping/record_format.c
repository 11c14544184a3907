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
  c->speaks = format;
  if (format)
    c->limits = c->set->planned;
  else
    c->limits = (HrStateLimits){c->set->state_rps, c->set->state_write_rps, c->set->value_kb,
                                c->set->txn_ops};
  c->write_bucket =
      (HrTokenBucket){c->limits.write_rps, c->limits.write_rps, c->limits.write_rps, 0};
}

void
hr_record_format_read (HrCore *c, const json_t *value, guint64 revision)
{
  guint64 format = 0;
  if (!c->speaks || !value)
    return;
  if (!hr_json_count (value, "f", G_MAXUINT32, &format)) {
    g_warning ("the format in the state service makes no sense; left as it was");
    return;
  }
  if (format > c->speaks)
    g_warning ("records are of format %u, this version understands %u", (guint)format, c->speaks);
  else if (format > c->format)
    g_message ("records are of format %u from now on", (guint)format);
  c->format = MAX (c->format, format);
  c->format_stamp = revision;
  hr_record_split_rescan (c);
}

/* What a member stated holds on: after its upgrade its processes come back new. */
static gboolean
all_understand (const HrCore *c)
{
  for (guint i = 0; i < c->set->members->len; i++) {
    const char *label = g_array_index (c->set->members, HrMember, i).label;
    guint stated = 0;
    for (guint k = 0; k < c->peers->len; k++) {
      const HrPeerStatus *h = &g_array_index (c->peers, HrPeer, k).status;
      if (g_str_equal (h->label, label))
        stated = h->format;
    }
    if (stated < c->speaks)
      return FALSE;
  }
  return TRUE;
}

/* Written, refused or unknown: the next reading says what stands there. */
static void
on_recorded (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  c->format_writing = FALSE;
  c->format_at = c->now + FORMAT_RETRY_S;
}

void
hr_record_format_tick (HrCore *c)
{
  if (!c->leads || c->sync != HR_REPLICA_FOLLOWING || c->format >= c->speaks || c->format_writing ||
      c->now < c->format_at || c->store_down || !all_understand (c))
    return;
  c->format_writing = TRUE;
  json_t *when = hr_transaction_require (json_array (), "h/map", c->map_stamp);
  hr_transaction_require (when, FORMAT_KEY, c->format_stamp);
  json_t *writes = hr_transaction_put (
      json_array (), FORMAT_KEY, hr_json_take_text (json_pack ("{si}", "f", (int)c->speaks)), 0);
  hr_transaction_submit (c, HR_TRANSACTION_USER, when, writes, 1, FORMAT_TIMEOUT_S, on_recorded,
                         NULL);
}

/* ---- what members tell one another ---- */

void
hr_record_format_fill_status (const HrCore *c, HrPeerStatus *h)
{
  h->format = c->speaks;
  h->n_oversized = c->noversized;
  memcpy (h->oversized, c->oversized, sizeof h->oversized);
}

void
hr_record_format_status_received (HrCore *c, const HrPeerStatus *h)
{
  for (guint i = 0; c->leads && c->speaks && i < h->n_oversized; i++) {
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
  for (guint i = 0; i < c->noversized; i++)
    if (g_str_equal (c->oversized[i], j->id))
      return;
  memmove (c->oversized[1], c->oversized[0], sizeof c->oversized[0] * (HR_MAX_OVERSIZED - 1));
  g_strlcpy (c->oversized[0], j->id, sizeof c->oversized[0]);
  c->noversized = MIN (c->noversized + 1, HR_MAX_OVERSIZED);
  c->hint_at = 0; /* tell at once */
}
