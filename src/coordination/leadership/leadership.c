#include "coordination/leadership/leadership.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/failover.h"
#include "coordination/leadership/election.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"

/* Once the lock is free, each member delays its election by a random time up to this. */
#define MAX_ELECTION_JITTER_S 0.4
/* A leader that has resigned starts no election for this long, so that another controller takes the
 * lock. */
#define RESIGN_BACKOFF_S 15.0

gboolean
hr_leadership_may_answer (const HrCore *core)
{
  return hr_leadership_answer_verdict (core) == HR_ANSWER_ALLOWED;
}

static void
begin_term (HrCore *core)
{
  HrLeadership *leadership = &core->leadership;
  leadership->is_leader = TRUE;
  leadership->term_began_at = core->now;
  leadership->term_token = leadership->fencing_token;
  core->scaling.list_is_complete = FALSE;
  core->scaling.list_requested_at = 0;
  core->scaling.paused_until = core->now;
  core->metrics.counters.terms++;
  hr_failover_take_over (core);
}

static void
step_down (HrCore *core, const char *reason)
{
  HrLeadership *leadership = &core->leadership;
  if (leadership->is_leader)
    g_message ("this node no longer leads: %s; token=%" G_GUINT64_FORMAT " reading_age=%.2f",
               reason, leadership->fencing_token, core->now - core->store.replica.confirmed_at);
  leadership->is_leader = FALSE;
  leadership->token_raise_wanted = FALSE;
  leadership->token_raise_in_flight = FALSE;
  /* The tables contain changes that this node had not written to the store yet, so the whole store
   * is read again. */
  hr_replica_reset (&core->store);
}

/* A leader that reads the whole store again no longer knows which of its orders are still in
 * transit, although the leader record still names it. Under the same fencing token a worker would
 * accept a delayed launch of a task that has since been placed on another machine. So this node
 * leads again only after it has written a new leader record. */
void
hr_leadership_reset (HrCore *core, const char *reason)
{
  if (core->leadership.is_leader)
    hr_election_release_lock (core);
  step_down (core, reason);
}

void
hr_leadership_resign (HrCore *core, const char *reason)
{
  if (!hr_leadership_successor_exists (core))
    return;
  core->leadership.resign_backoff_until = core->now + RESIGN_BACKOFF_S;
  hr_election_release_lock (core);
  step_down (core, reason);
}

void
hr_leadership_raise_token (HrCore *core, const char *reason)
{
  if (!core->leadership.token_raise_wanted)
    g_info ("raising the fencing token: %s", reason);
  core->leadership.token_raise_wanted = TRUE;
}

static void
forget_lock (HrLeadership *leadership)
{
  g_clear_pointer (&leadership->lock_label, g_free);
  g_clear_pointer (&leadership->lock_incarnation, g_free);
  leadership->lock_revision = 0;
}

void
hr_leadership_listing_begins (HrCore *core)
{
  core->leadership.record_revision = 0;
  forget_lock (&core->leadership);
}

void
hr_leadership_record_changed (HrCore *core, const json_t *value, guint64 revision)
{
  HrLeadership *leadership = &core->leadership;
  guint64 fencing_token = 0;
  if (!value || revision <= leadership->record_revision)
    return;
  const char *label = hr_json_str (value, "o");
  const char *incarnation = hr_json_str (value, "i");
  if (!label || !incarnation || !hr_json_count (value, "b", G_MAXINT64, &fencing_token)) {
    g_warning ("ignoring a malformed leader record (key h/map): expected strings o and i and a "
               "non-negative integer b");
    return;
  }
  leadership->record_revision = revision;
  leadership->fencing_token = fencing_token;
  g_free (leadership->leader_label);
  g_free (leadership->leader_incarnation);
  leadership->leader_label = g_strdup (label);
  leadership->leader_incarnation = g_strdup (incarnation);
}

void
hr_leadership_lock_changed (HrCore *core, const json_t *value, guint64 revision)
{
  HrLeadership *leadership = &core->leadership;
  forget_lock (leadership);
  if (value) {
    leadership->lock_revision = revision;
    leadership->lock_label = g_strdup (hr_json_str (value, "o"));
    leadership->lock_incarnation = g_strdup (hr_json_str (value, "i"));
    return;
  }
  /* Jitter, so that the members do not all start an election at the same time. A node that
   * is still the leader does not wait. */
  double wait_s =
      leadership->is_leader ? 0 : hr_random_range (core->random, 0, MAX_ELECTION_JITTER_S);
  leadership->next_election_at = core->now + wait_s;
  leadership->lock_free_since = core->now;
}

void
hr_leadership_changes_applied (HrCore *core)
{
  switch (hr_leadership_term_verdict (core)) {
  case HR_TERM_UNCHANGED:
    break;
  case HR_TERM_BEGINS:
    begin_term (core);
    break;
  case HR_TERM_ENDS:
    step_down (core, "the leader record names another leader");
    break;
  }
}

void
hr_leadership_peer_status_received (HrCore *core, const HrPeerStatus *status)
{
  if (hr_leadership_step_down_verdict (core, status) != HR_STEP_DOWN_NEWER_LEADER)
    return;
  core->leadership.resigned_token = core->leadership.fencing_token;
  step_down (core, "a member has read a newer leader record");
}

static void
resign_if_unreached (HrCore *core)
{
  if (hr_leadership_resign_verdict (core) == HR_RESIGN_UNREACHED)
    hr_leadership_resign (core,
                          "no worker reaches this node, but workers reach another controller");
}

void
hr_leadership_tick (HrCore *core)
{
  hr_membership_count_contacts (core);
  hr_election_lock_lease_tick (core);
  if (core->store.replica.state != HR_REPLICA_FOLLOWING)
    return;
  hr_election_tick (core);
  if (core->leadership.is_leader) {
    hr_election_token_raise_tick (core);
    resign_if_unreached (core);
  }
}

void
hr_leadership_clear (HrLeadership *leadership)
{
  g_free (leadership->leader_label);
  g_free (leadership->leader_incarnation);
  forget_lock (leadership);
}
