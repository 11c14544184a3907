#include "coordination/leadership/election.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "coordination/leadership/leadership_decisions.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include "protocol/store_api.h"

#define STORE_TIMEOUT_S 2.0
/* The next attempt follows after a random pause, so that the members' writes do not conflict again.
 */
#define ELECTION_PAUSE_MIN_S 0.3
#define ELECTION_PAUSE_MAX_S 0.8
#define LEASE_PAUSE_MIN_S 0.5
#define LEASE_PAUSE_MAX_S 1.0

/* Returns the value of the leader record or, with fencing token 0, of the leader lock. */
static char *
leader_record_text (const HrCore *core, guint64 fencing_token)
{
  return hr_json_take_text (json_pack ("{sIssss}", "b", (json_int_t)fencing_token, "o",
                                       core->settings->label, "i", core->incarnation));
}

static void
on_leader_record_reread (HrStore *store, gboolean ok G_GNUC_UNUSED, gpointer data G_GNUC_UNUSED)
{
  HrLeadership *leadership = &store->core->leadership;
  leadership->election_in_flight = leadership->token_raise_in_flight = FALSE;
}

static void
on_leader_record_written (HrStore *store, int status, json_t *body G_GNUC_UNUSED,
                          double sent_at G_GNUC_UNUSED, gpointer data G_GNUC_UNUSED)
{
  HrCore *core = store->core;
  HrLeadership *leadership = &core->leadership;
  if (status == 400)
    leadership->lock_lease_id = 0; /* the lease no longer exists in the store */
  leadership->next_election_at =
      core->now + hr_random_range (core->random, ELECTION_PAUSE_MIN_S, ELECTION_PAUSE_MAX_S);
  /* Whether the election succeeded, failed or has an unknown result, the next read shows which
   * process the leader record names. */
  hr_replica_read (store, on_leader_record_reread, NULL);
}

static void
on_lock_lease_granted (HrCore *core, int status, json_t *body, double sent_at,
                       gpointer data G_GNUC_UNUSED)
{
  HrLeadership *leadership = &core->leadership;
  guint64 lease_id = 0;
  leadership->lock_lease_requested_at = 0;
  if (status == 200 && hr_store_read_lease_id (body, &lease_id)) {
    leadership->lock_lease_id = lease_id;
    leadership->lock_lease_renewed_at = sent_at;
  } else
    leadership->next_election_at =
        core->now + hr_random_range (core->random, LEASE_PAUSE_MIN_S, LEASE_PAUSE_MAX_S);
}

static void
on_lock_lease_renewed (HrCore *core, int status, json_t *body G_GNUC_UNUSED, double sent_at,
                       gpointer data G_GNUC_UNUSED)
{
  HrLeadership *leadership = &core->leadership;
  leadership->lock_lease_renewal_in_flight = FALSE;
  if (status == 200)
    leadership->lock_lease_renewed_at = sent_at;
  else if (status == 404)
    leadership->lock_lease_id = 0; /* the store deleted the lock with the lease */
}

static void
request_lock_lease (HrCore *core)
{
  HrLeadership *leadership = &core->leadership;
  if (leadership->lock_lease_requested_at)
    return;
  leadership->lock_lease_requested_at = core->now;
  int ttl_ms = (int)(core->policy.leader_lease_s * 1000);
  hr_core_call (core, HR_TO_STORE, NULL, HR_POST, g_strdup (HR_STORE_LEASES_PATH),
                hr_store_lease_text (ttl_ms), STORE_TIMEOUT_S, on_lock_lease_granted, NULL);
}

/* The call times out when the next renewal is due. */
static void
renew_lock_lease (HrCore *core)
{
  HrLeadership *leadership = &core->leadership;
  leadership->lock_lease_renewal_in_flight = TRUE;
  leadership->lock_lease_renewal_sent_at = core->now;
  hr_core_call (core, HR_TO_STORE, NULL, HR_POST,
                hr_store_lease_renewal_path (leadership->lock_lease_id), NULL,
                core->policy.leader_lease_s / HR_LOCK_LEASE_RENEWALS, on_lock_lease_renewed, NULL);
}

void
hr_election_lock_lease_tick (HrCore *core)
{
  switch (hr_leadership_lock_lease_verdict (core)) {
  case HR_LOCK_LEASE_KEEP:
    break;
  case HR_LOCK_LEASE_RENEW:
    renew_lock_lease (core);
    break;
  case HR_LOCK_LEASE_EXPIRED:
    core->leadership.lock_lease_id = 0;
    break;
  }
}

/* Takes the lock and writes the leader record, provided that neither has changed since this node
 * read it. */
static void
submit_election (HrCore *core)
{
  HrLeadership *leadership = &core->leadership;
  leadership->election_in_flight = TRUE;
  guint64 token = MAX (leadership->fencing_token, leadership->resigned_token) + 1;
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_LOCK, leadership->lock_revision);
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_RECORD, leadership->record_revision);
  hr_transaction_put_with_lease (transaction, HR_STORE_KEY_LEADER_LOCK,
                                 leader_record_text (core, 0), leadership->lock_lease_id);
  hr_transaction_put (transaction, HR_STORE_KEY_LEADER_RECORD, leader_record_text (core, token));
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, transaction, STORE_TIMEOUT_S,
                         on_leader_record_written, NULL);
}

void
hr_election_tick (HrCore *core)
{
  if (hr_leadership_election_verdict (core) != HR_ELECTION_START)
    return;
  if (core->leadership.lock_lease_id)
    submit_election (core);
  else
    request_lock_lease (core);
}

void
hr_election_token_raise_tick (HrCore *core)
{
  HrLeadership *leadership = &core->leadership;
  if (hr_leadership_token_raise_verdict (core) != HR_TOKEN_RAISE_NOW)
    return;
  leadership->token_raise_wanted = FALSE;
  leadership->token_raise_in_flight = TRUE;
  leadership->token_raised_at = core->now;
  char *text = leader_record_text (core, leadership->fencing_token + 1);
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, HR_STORE_KEY_LEADER_RECORD, leadership->record_revision);
  hr_transaction_put (transaction, HR_STORE_KEY_LEADER_RECORD, text);
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, transaction, STORE_TIMEOUT_S,
                         on_leader_record_written, NULL);
}

void
hr_election_release_lock (HrCore *core)
{
  HrLeadership *leadership = &core->leadership;
  leadership->resigned_token = leadership->fencing_token;
  if (leadership->lock_lease_id)
    hr_core_call (core, HR_TO_STORE, NULL, HR_DELETE,
                  hr_store_lease_path (leadership->lock_lease_id), NULL, STORE_TIMEOUT_S,
                  on_lock_lease_renewed, NULL);
  leadership->lock_lease_id = 0;
}
