#include "coordination/membership/cancellation_log.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/state.h"

/* Entries; more than the cancellations that come while a leader is not served and not replaced. */
#define MAX_LOG 1024
/* Entries dropped at once from a log that has grown too long. */
#define DROPPED_OF_FULL_LOG (MAX_LOG / 4)

void
hr_cancellation_log_init (HrCancellationLog *log)
{
  log->entries = g_array_new (FALSE, FALSE, sizeof (HrCancellation));
}

void
hr_cancellation_log_clear (HrCancellationLog *log)
{
  g_clear_pointer (&log->entries, g_array_unref);
}

/* The leader, by its own statement; NULL when none is known that understands what is named. */
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
drop_oldest (HrCancellationLog *log, guint n)
{
  for (guint i = 0; i < n; i++)
    log->dropped_revision =
        MAX (log->dropped_revision, g_array_index (log->entries, HrCancellation, i).revision);
  g_array_remove_range (log->entries, 0, n);
  log->begin += n;
}

/* Drops what the leader has read, from the beginning on. Whoever led by the leader record that we
 * have read, or leads after it, has read the store up to that record. */
static void
drop_read_by_leader (HrCore *core, const HrPeer *leader)
{
  HrCancellationLog *log = &core->cancellations;
  guint64 read_revision =
      MAX (core->leadership.record_revision, leader ? leader->status.applied_revision : 0);
  guint n = 0;
  while (n < log->entries->len &&
         g_array_index (log->entries, HrCancellation, n).revision <= read_revision)
    n++;
  if (n)
    drop_oldest (log, n);
}

static guint64
log_end (const HrCancellationLog *log)
{
  return log->begin + log->entries->len;
}

void
hr_cancellation_log_append (HrCore *core, const HrJob *job, guint64 revision)
{
  HrCancellationLog *log = &core->cancellations;
  const HrPeer *leader = reachable_leader (core);
  HrCancellation entry = {job->index, revision};
  log->latest_revision = MAX (log->latest_revision, revision);
  if (leader && revision <= leader->status.applied_revision) {
    log->dropped_revision = MAX (log->dropped_revision, revision);
    return;
  }
  if (log->entries->len == MAX_LOG)
    drop_oldest (log, DROPPED_OF_FULL_LOG);
  g_array_append_val (log->entries, entry);
  if (leader && !leader->status.store_served)
    core->membership.status_due_soon = TRUE;
}

/* Position up to which the leader has taken in the log of this process. */
static guint64
acknowledged (const HrCore *core, const HrPeer *leader)
{
  for (guint i = 0; i < leader->status.n_echoes; i++) {
    const HrEcho *echo = &leader->status.echoes[i];
    if (hr_echo_is_for (echo, core->settings->label, core->incarnation))
      return echo->cancellations_taken;
  }
  return 0;
}

void
hr_cancellation_log_fill_status (HrCore *core, HrPeerStatus *status)
{
  const HrCancellationLog *log = &core->cancellations;
  const HrPeer *leader = reachable_leader (core);
  HrNamedCancellations *named = &status->cancellations;
  drop_read_by_leader (core, leader);
  named->is_stated = TRUE;
  named->dropped_revision = log->dropped_revision;
  named->log_begin = named->first_position = log->begin;
  named->log_end = log_end (log);
  if (!leader || core->leadership.is_leader)
    return;
  named->first_position = CLAMP (acknowledged (core, leader), named->log_begin, named->log_end);
  for (guint64 at = named->first_position; at < named->log_end; at++) {
    const HrCancellation *entry = &g_array_index (log->entries, HrCancellation, at - log->begin);
    const char *id = hr_intern_name (&core->store.tables.job_ids, entry->job);
    if (!hr_named_cancellations_add (named, id))
      break;
  }
}

/* A peer states that the job is cancelled: its tasks are stopped as if its record had been read.
 * The record itself is still unread, so nothing is written of the job; a write that was sent before
 * fails, since its condition is the revision that the cancellation has changed. */
static void
cancel_as_stated (HrCore *core, const char *id)
{
  if (!hr_job_id_valid (id))
    return;
  HrJob *job = hr_job_get (&core->store.tables, id);
  if (job->state != HR_JOB_QUEUED || job->cancellation.reported_by_peer)
    return;
  job->cancellation.reported_by_peer = TRUE;
  if (!job->is_known)
    return; /* should its submission still be read, it is cancelled already */
  g_info ("%s is cancelled, as a peer says", id);
  job->state = HR_JOB_CANCELLED;
  if (job->tasks)
    hr_job_cancelled (core, job);
  core->scheduling.plan_is_stale = TRUE;
}

void
hr_cancellation_log_take_named (HrCore *core, HrPeer *peer)
{
  const HrNamedCancellations *named = &peer->status.cancellations;
  if (!core->leadership.is_leader || !named->is_stated)
    return;
  /* What was dropped from the beginning of the peer's log we have read. */
  if (named->dropped_revision <= core->store.replica.applied_revision)
    peer->cancellations_taken = MAX (peer->cancellations_taken, named->log_begin);
  if (named->first_position > peer->cancellations_taken ||
      named->first_position + named->count <= peer->cancellations_taken)
    return;
  for (const char *id = hr_named_cancellations_next (named, NULL); id;
       id = hr_named_cancellations_next (named, id))
    cancel_as_stated (core, id);
  peer->cancellations_taken = named->first_position + named->count;
  core->membership.status_due_soon = TRUE; /* the peer goes on from there */
}

gboolean
hr_cancellation_log_all_taken (const HrCore *core, const HrPeer *peer)
{
  const HrNamedCancellations *named = &peer->status.cancellations;
  return core->leadership.is_leader && named->is_stated &&
         named->dropped_revision <= core->store.replica.applied_revision &&
         named->log_end <= peer->cancellations_taken;
}

void
hr_cancellation_log_acknowledged (HrCore *core, const HrPeer *peer)
{
  const HrCancellationLog *log = &core->cancellations;
  const HrPeerStatus *status = &peer->status;
  if (status->is_leader && status->cancellations.is_stated && !status->store_served &&
      !core->leadership.is_leader && log->latest_revision > status->applied_revision &&
      acknowledged (core, peer) < log_end (log))
    core->membership.status_due_soon = TRUE;
}
