#include "coordination/membership/cancellation_log.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/state.h"

/* Maximum length of the log: more than the cancellations that arrive after the store stops
 * answering a leader and before another leader replaces it. */
#define MAX_LOG_ENTRIES 1024
/* Number of oldest entries that are dropped together when the log is full. */
#define FULL_LOG_DROP_COUNT (MAX_LOG_ENTRIES / 4)

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

/* Returns the peer whose status says that it is the leader and that it supports named
 * cancellations; if there are several, the one with the highest fencing token; NULL if none. */
static const HrPeer *
find_leader (const HrCore *core)
{
  const HrPeer *leader = NULL;
  for (guint i = 0; i < core->membership.peers->len; i++) {
    const HrPeer *peer = &g_array_index (core->membership.peers, HrPeer, i);
    if (peer->status.is_leader && peer->status.cancellations.is_present &&
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

/* Drops the oldest entries that the leader has read. The leader named by the leader record that
 * this node has read, and every later leader, has read the store up to that record. */
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
  const HrPeer *leader = find_leader (core);
  HrCancellation entry = {job->index, revision};
  log->latest_revision = MAX (log->latest_revision, revision);
  if (leader && revision <= leader->status.applied_revision) {
    log->dropped_revision = MAX (log->dropped_revision, revision);
    return;
  }
  if (log->entries->len == MAX_LOG_ENTRIES)
    drop_oldest (log, FULL_LOG_DROP_COUNT);
  g_array_append_val (log->entries, entry);
  if (leader && !leader->status.store_reachable)
    core->membership.status_due_soon = TRUE;
}

/* Returns the position up to which the leader has applied the log of this process. */
static guint64
acknowledged_position (const HrCore *core, const HrPeer *leader)
{
  for (guint i = 0; i < leader->status.n_echoes; i++) {
    const HrEcho *echo = &leader->status.echoes[i];
    if (hr_echo_is_for (echo, core->settings->label, core->incarnation))
      return echo->cancellations_applied;
  }
  return 0;
}

void
hr_cancellation_log_fill_status (HrCore *core, HrPeerStatus *status)
{
  const HrCancellationLog *log = &core->cancellations;
  const HrPeer *leader = find_leader (core);
  HrNamedCancellations *named = &status->cancellations;
  drop_read_by_leader (core, leader);
  named->is_present = TRUE;
  named->dropped_revision = log->dropped_revision;
  named->log_begin = named->first_position = log->begin;
  named->log_end = log_end (log);
  if (!leader || core->leadership.is_leader)
    return;
  named->first_position =
      CLAMP (acknowledged_position (core, leader), named->log_begin, named->log_end);
  for (guint64 position = named->first_position; position < named->log_end; position++) {
    const HrCancellation *entry =
        &g_array_index (log->entries, HrCancellation, position - log->begin);
    const char *id = hr_intern_name (&core->store.tables.job_ids, entry->job);
    if (!hr_named_cancellations_add (named, id))
      break;
  }
}

/* Stops the tasks of a job that a peer names as cancelled, as if the job's record had been read.
 * The record itself is still unread, so this node writes nothing about the job. A write that was
 * already sent fails, since its condition is a revision that the cancellation has changed. */
static void
cancel_named_job (HrCore *core, const char *id)
{
  if (!hr_job_id_valid (id))
    return;
  HrJob *job = hr_job_get (&core->store.tables, id);
  if (job->state != HR_JOB_QUEUED || job->cancellation.reported_by_peer)
    return;
  job->cancellation.reported_by_peer = TRUE;
  if (!job->is_known)
    return; /* if its submission is read later, the job is already marked as cancelled */
  g_info ("job %s is cancelled according to a peer's status", id);
  job->state = HR_JOB_CANCELLED;
  if (job->tasks)
    hr_job_cancelled (core, job);
  core->scheduling.plan_is_stale = TRUE;
}

void
hr_cancellation_log_apply_named (HrCore *core, HrPeer *peer)
{
  const HrNamedCancellations *named = &peer->status.cancellations;
  if (!core->leadership.is_leader || !named->is_present)
    return;
  /* If this node has read the store up to dropped_revision, it knows every cancellation that the
   * peer has dropped from its log. */
  if (named->dropped_revision <= core->store.replica.applied_revision)
    peer->cancellations_applied = MAX (peer->cancellations_applied, named->log_begin);
  if (named->first_position > peer->cancellations_applied ||
      named->first_position + named->count <= peer->cancellations_applied)
    return;
  for (const char *id = hr_named_cancellations_next (named, NULL); id;
       id = hr_named_cancellations_next (named, id))
    cancel_named_job (core, id);
  peer->cancellations_applied = named->first_position + named->count;
  core->membership.status_due_soon = TRUE; /* the peer continues from this position */
}

gboolean
hr_cancellation_log_all_applied (const HrCore *core, const HrPeer *peer)
{
  const HrNamedCancellations *named = &peer->status.cancellations;
  return core->leadership.is_leader && named->is_present &&
         named->dropped_revision <= core->store.replica.applied_revision &&
         named->log_end <= peer->cancellations_applied;
}

void
hr_cancellation_log_acknowledgement_received (HrCore *core, const HrPeer *peer)
{
  const HrCancellationLog *log = &core->cancellations;
  const HrPeerStatus *status = &peer->status;
  if (status->is_leader && status->cancellations.is_present && !status->store_reachable &&
      !core->leadership.is_leader && log->latest_revision > status->applied_revision &&
      acknowledged_position (core, peer) < log_end (log))
    core->membership.status_due_soon = TRUE;
}
