/* Naming cancellations to a leader that cannot read them. Each node logs the cancellations that it
 * confirms to users or reads, in the order in which it learns of them, and names those that the
 * leader has not read in its statuses, from the position on that the leader echoes. The argument
 * why the leader may go by that is in docs/design.md, "Cancellations that the leader cannot
 * read". */
#include "coordination/membership/cancellation_log.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/state.h"
#include <string.h>

/* Longer than the cancellations that come while a leader is not served and not replaced. */
#define MAX_LOG 1024

/* The leader, as it says itself; NULL when none is known that can be told. */
static const HrPeer *
reachable_leader (const HrCore *core)
{
  const HrPeer *leader = NULL;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (peer->status.is_leader && peer->status.cancellations.is_stated &&
        (!leader || peer->status.fencing_token > leader->status.fencing_token))
      leader = peer;
  }
  return leader;
}

static void
drop_oldest (HrCore *core, guint n)
{
  for (guint i = 0; i < n; i++)
    core->cancellations.dropped_revision =
        MAX (core->cancellations.dropped_revision,
             g_array_index (core->cancellations.entries, HrCancellation, i).revision);
  g_array_remove_range (core->cancellations.entries, 0, n);
  core->cancellations.begin += n;
}

/* Drops what the leader has read, from the beginning on. Whoever led at the leader record that we
 * read, or leads after it, has read the state store up to that map. */
static void
drop_read_by_leader (HrCore *core, const HrPeer *leader)
{
  guint64 read =
      MAX (core->leadership.record_revision, leader ? leader->status.applied_revision : 0);
  guint n = 0;
  while (n < core->cancellations.entries->len &&
         g_array_index (core->cancellations.entries, HrCancellation, n).revision <= read)
    n++;
  if (n)
    drop_oldest (core, n);
}

static guint64
log_end (const HrCore *core)
{
  return core->cancellations.begin + core->cancellations.entries->len;
}

/* Notes a cancellation that we confirmed or read: before its user is told, and before any status
 * states its revision. */
void
hr_cancellation_log_append (HrCore *core, const HrJob *job, guint64 revision)
{
  const HrPeer *leader = reachable_leader (core);
  HrCancellation entry = {job->index, revision};
  core->cancellations.latest_revision = MAX (core->cancellations.latest_revision, revision);
  if (leader && revision <= leader->status.applied_revision) {
    core->cancellations.dropped_revision = MAX (core->cancellations.dropped_revision, revision);
    return;
  }
  if (core->cancellations.entries->len == MAX_LOG)
    drop_oldest (core, MAX_LOG / 4);
  g_array_append_val (core->cancellations.entries, entry);
  if (leader && !leader->status.store_served)
    core->membership.status_due_soon = TRUE;
}

/* Position up to which the leader has taken in the log of this process. */
static guint64
acknowledged (const HrCore *core, const HrPeer *leader)
{
  for (guint i = 0; i < leader->status.n_echoes; i++) {
    const HrEcho *echo = &leader->status.echoes[i];
    if (g_str_equal (echo->label, core->settings->label) &&
        g_str_equal (echo->incarnation, core->incarnation))
      return echo->cancellations_taken;
  }
  return 0;
}

/* States our log in a status, and names what of it the leader has neither read nor taken in, as
 * far as there is room. */
void
hr_cancellation_log_fill_status (HrCore *core, HrPeerStatus *status)
{
  const HrPeer *leader = reachable_leader (core);
  HrNamedCancellations *named = &status->cancellations;
  drop_read_by_leader (core, leader);
  named->is_stated = TRUE;
  named->dropped_revision = core->cancellations.dropped_revision;
  named->log_begin = named->first_position = core->cancellations.begin;
  named->log_end = log_end (core);
  if (!leader || core->leadership.is_leader)
    return;
  named->first_position = CLAMP (acknowledged (core, leader), named->log_begin, named->log_end);
  for (guint64 at = named->first_position; at < named->log_end; at++) {
    const HrCancellation *cancellation =
        &g_array_index (core->cancellations.entries, HrCancellation, at - named->log_begin);
    if (!hr_named_cancellations_add (
            named, hr_intern_name (&core->store.tables.job_ids, cancellation->job)))
      break;
  }
}

/* A member says that the job is cancelled: its tasks are stopped as if its record had been
 * read. The record itself is as ever: no write of ours holds on a revision before we read it. */
static void
cancel_as_told (HrCore *core, const char *id)
{
  if (!hr_job_id_valid (id))
    return;
  HrJob *job = hr_job_get (&core->store.tables, id);
  if (job->state != HR_JOB_QUEUED || job->cancellation.told_by_peer)
    return;
  job->cancellation.told_by_peer = TRUE;
  if (!job->is_known)
    return; /* should its submission still be read, it is cancelled already */
  g_info ("%s is cancelled, as a peer says", id);
  job->state = HR_JOB_CANCELLED;
  if (job->tasks)
    hr_job_cancelled (core, job);
  core->scheduling.plan_is_stale = TRUE;
}

/* Takes in what a member names, when nothing is missing between that and what was taken in
 * before, but for cancellations that we have read. */
void
hr_cancellation_log_take_named (HrCore *core, HrPeer *peer)
{
  const HrNamedCancellations *named = &peer->status.cancellations;
  if (!core->leadership.is_leader || !named->is_stated)
    return;
  if (named->dropped_revision <= core->store.replica.applied_revision)
    peer->cancellations_taken = MAX (peer->cancellations_taken, named->log_begin);
  if (named->first_position > peer->cancellations_taken ||
      named->first_position + named->count <= peer->cancellations_taken)
    return;
  for (const char *id = hr_named_cancellations_next (named, NULL); id;
       id = hr_named_cancellations_next (named, id))
    cancel_as_told (core, id);
  peer->cancellations_taken = named->first_position + named->count;
  core->membership.status_due_soon = TRUE; /* the member goes on from there */
}

/* Do we know all cancellations that the member knew of when it made its latest status? */
gboolean
hr_cancellation_log_all_taken (const HrCore *core, const HrPeer *peer)
{
  const HrNamedCancellations *named = &peer->status.cancellations;
  return core->leadership.is_leader && named->is_stated &&
         named->dropped_revision <= core->store.replica.applied_revision &&
         named->log_end <= peer->cancellations_taken;
}

/* A leader that is not served has taken in a part of our log: the rest follows at once. */
void
hr_cancellation_log_acknowledged (HrCore *core, const HrPeer *peer)
{
  if (peer->status.is_leader && peer->status.cancellations.is_stated &&
      !peer->status.store_served && !core->leadership.is_leader &&
      core->cancellations.latest_revision > peer->status.applied_revision &&
      acknowledged (core, peer) < log_end (core))
    core->membership.status_due_soon = TRUE;
}
