/* Naming withdrawals to a leader that cannot read them. Each node logs the withdrawals that it
 * confirms to users or reads, in the order in which it learns of them, and names those that the
 * leader has not read in its hints, from the position on that the leader echoes. The argument
 * why the leader may go by that is in docs/design.md, "Withdrawals that the leader cannot
 * read". */
#include "coordination/state.h"
#include <string.h>

/* Longer than the withdrawals that come while a leader is not served and not replaced. */
#define MAX_LOG 1024

/* The leader, as it says itself; NULL when none is known that can be told. */
static const HrPeer *
reachable_leader (const HrCore *c)
{
  const HrPeer *leader = NULL;
  for (guint i = 0; i < c->membership.peers->len; i++) {
    const HrPeer *p = &g_array_index (c->membership.peers, HrPeer, i);
    if (p->status.is_leader && p->status.cancellations.is_stated &&
        (!leader || p->status.fencing_token > leader->status.fencing_token))
      leader = p;
  }
  return leader;
}

static void
drop_oldest (HrCore *c, guint n)
{
  for (guint i = 0; i < n; i++)
    c->cancellations.dropped_revision =
        MAX (c->cancellations.dropped_revision,
             g_array_index (c->cancellations.entries, HrCancellation, i).revision);
  g_array_remove_range (c->cancellations.entries, 0, n);
  c->cancellations.begin += n;
}

/* Drops what the leader has read, from the beginning on. Whoever led at the map that we read,
 * or leads after it, has read the ledger up to that map. */
static void
drop_read_by_leader (HrCore *c, const HrPeer *leader)
{
  guint64 read = MAX (c->leadership.record_revision, leader ? leader->status.applied_revision : 0);
  guint n = 0;
  while (n < c->cancellations.entries->len &&
         g_array_index (c->cancellations.entries, HrCancellation, n).revision <= read)
    n++;
  if (n)
    drop_oldest (c, n);
}

static guint64
log_end (const HrCore *c)
{
  return c->cancellations.begin + c->cancellations.entries->len;
}

/* Notes a withdrawal that we confirmed or read: before its user is told, and before any hint
 * states its stamp. */
void
hr_cancellation_log_append (HrCore *c, const HrJob *j, guint64 revision)
{
  const HrPeer *leader = reachable_leader (c);
  HrCancellation entry = {j->index, revision};
  c->cancellations.latest_revision = MAX (c->cancellations.latest_revision, revision);
  if (leader && revision <= leader->status.applied_revision) {
    c->cancellations.dropped_revision = MAX (c->cancellations.dropped_revision, revision);
    return;
  }
  if (c->cancellations.entries->len == MAX_LOG)
    drop_oldest (c, MAX_LOG / 4);
  g_array_append_val (c->cancellations.entries, entry);
  if (leader && !leader->status.store_served)
    c->membership.status_due_soon = TRUE;
}

/* Position up to which the leader has taken in the log of this process. */
static guint64
acknowledged (const HrCore *c, const HrPeer *leader)
{
  for (guint i = 0; i < leader->status.n_echoes; i++) {
    const HrEcho *e = &leader->status.echoes[i];
    if (g_str_equal (e->label, c->settings->label) && g_str_equal (e->incarnation, c->incarnation))
      return e->cancellations_taken;
  }
  return 0;
}

/* States our log in a hint, and names what of it the leader has neither read nor taken in, as
 * far as there is room. */
void
hr_cancellation_log_fill_status (HrCore *c, HrPeerStatus *h)
{
  const HrPeer *leader = reachable_leader (c);
  HrNamedCancellations *n = &h->cancellations;
  drop_read_by_leader (c, leader);
  n->is_stated = TRUE;
  n->dropped_revision = c->cancellations.dropped_revision;
  n->log_begin = n->first_position = c->cancellations.begin;
  n->log_end = log_end (c);
  if (!leader || c->leadership.is_leader)
    return;
  n->first_position = CLAMP (acknowledged (c, leader), n->log_begin, n->log_end);
  for (guint64 at = n->first_position; at < n->log_end; at++) {
    const HrCancellation *w =
        &g_array_index (c->cancellations.entries, HrCancellation, at - n->log_begin);
    if (!hr_named_cancellations_add (n, hr_intern_name (&c->store.tables.job_ids, w->job)))
      break;
  }
}

/* A member says that the job is withdrawn: its tasks are stopped as if its record had been
 * read. The record itself is as ever: no write of ours holds on a stamp before we read it. */
static void
cancel_as_told (HrCore *c, const char *id)
{
  if (!hr_job_id_valid (id))
    return;
  HrJob *j = hr_job_get (c, id);
  if (j->state != HR_JOB_QUEUED || j->cancellation.told_by_peer)
    return;
  j->cancellation.told_by_peer = TRUE;
  if (!j->is_known)
    return; /* should its submission still be read, it is withdrawn already */
  g_info ("%s is withdrawn, as a member says", id);
  j->state = HR_JOB_CANCELLED;
  if (j->tasks)
    hr_job_cancelled (c, j);
  c->scheduling.plan_is_stale = TRUE;
}

/* Takes in what a member names, when nothing is missing between that and what was taken in
 * before, but for withdrawals that we have read. */
void
hr_cancellation_log_take_named (HrCore *c, HrPeer *p)
{
  const HrNamedCancellations *n = &p->status.cancellations;
  if (!c->leadership.is_leader || !n->is_stated)
    return;
  if (n->dropped_revision <= c->store.replica.applied_revision)
    p->cancellations_taken = MAX (p->cancellations_taken, n->log_begin);
  if (n->first_position > p->cancellations_taken ||
      n->first_position + n->count <= p->cancellations_taken)
    return;
  for (const char *id = hr_named_cancellations_next (n, NULL); id;
       id = hr_named_cancellations_next (n, id))
    cancel_as_told (c, id);
  p->cancellations_taken = n->first_position + n->count;
  c->membership.status_due_soon = TRUE; /* the member goes on from there */
}

/* Do we know all withdrawals that the member knew of when it made its latest hint? */
gboolean
hr_cancellation_log_all_taken (const HrCore *c, const HrPeer *p)
{
  const HrNamedCancellations *n = &p->status.cancellations;
  return c->leadership.is_leader && n->is_stated &&
         n->dropped_revision <= c->store.replica.applied_revision &&
         n->log_end <= p->cancellations_taken;
}

/* A leader that is not served has taken in a part of our log: the rest follows at once. */
void
hr_cancellation_log_acknowledged (HrCore *c, const HrPeer *p)
{
  if (p->status.is_leader && p->status.cancellations.is_stated && !p->status.store_served &&
      !c->leadership.is_leader && c->cancellations.latest_revision > p->status.applied_revision &&
      acknowledged (c, p) < log_end (c))
    c->membership.status_due_soon = TRUE;
}
