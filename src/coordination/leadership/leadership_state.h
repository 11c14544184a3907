/* What this node knows of who leads, and what it does about it.
 *
 * leadership.c writes the leader record and lock as they are read, and the fields of the term;
 * election.c writes the lease of the lock and the fields of writes in flight. Both write
 * resigned_token, next_election_at and the flags of a token raise. Other modules only read. Times
 * are in seconds of the steady clock; revisions are the store's. */
#pragma once
#include <glib.h>

typedef struct {
  /* The leader record (h/map): who leads, and the fencing token of every order. */
  guint64 record_revision; /* 0: not read since the listing began */
  guint64 fencing_token;
  char *leader_label, *leader_incarnation;

  /* The leader lock (h/leader): a key that lives as long as its lease at the store. */
  guint64 lock_revision; /* 0: nobody holds it */
  char *lock_label, *lock_incarnation;
  double leaderless_since; /* when the lock was last read as free */

  /* Our lease for the lock. */
  guint64 lock_lease_id; /* 0: none */
  double lock_lease_renewed_at, lock_lease_renewal_sent_at;
  double lock_lease_requested_at; /* 0: no request in flight */
  gboolean lock_lease_renewal_in_flight;

  /* Our term. */
  gboolean is_leader;
  guint64 term_token; /* fencing token with which it began */
  double term_began_at;
  guint64 resigned_token; /* we lead under no token up to this one */
  double abstains_until;  /* no election before: we have resigned */

  /* Writes of the leader record. */
  gboolean election_in_flight;
  double next_election_at; /* no election before */
  gboolean token_raise_wanted, token_raise_in_flight;
  double token_raised_at; /* when the latest raise was sent */
} HrLeadership;
