/* This node's knowledge of the current leader, and the state of its own election and term.
 *
 * leadership.c writes the leader record and lock as they are read, and the fields of the term;
 * election.c writes the lease of the lock and the fields of writes in flight. Both write
 * resigned_token, next_election_at and the flags of a token raise. In a token raise, the leader
 * rewrites the leader record with a higher fencing token, so that workers reject its earlier
 * orders. Other modules only read. Times are monotonic, in seconds; revisions are the store's. */
#pragma once
#include <glib.h>

typedef struct {
  /* The leader record (h/map): the current leader, and the fencing token sent with every order. */
  guint64 record_revision; /* 0: not read since the latest listing began */
  guint64 fencing_token;
  char *leader_label, *leader_incarnation;

  /* The leader lock (h/leader): a key that the store deletes when its lease ends. */
  guint64 lock_revision; /* 0: the lock is free */
  char *lock_label, *lock_incarnation;
  double lock_free_since; /* when the deletion of the lock was last read */

  /* This node's lease for the lock. */
  guint64 lock_lease_id; /* 0: none */
  /* lock_lease_renewed_at: when the latest request that granted or renewed the lease was sent */
  double lock_lease_renewed_at, lock_lease_renewal_sent_at;
  double lock_lease_requested_at; /* 0: no request in flight */
  gboolean lock_lease_renewal_in_flight;

  /* This node's term. */
  gboolean is_leader;
  guint64 term_token; /* fencing token with which the term began */
  double term_began_at;
  guint64 resigned_token;      /* this node never leads again under this token or a lower one */
  double resign_backoff_until; /* no election before then: this node has resigned */

  /* Writes of the leader record. */
  gboolean election_in_flight;
  double next_election_at; /* no election before then */
  gboolean token_raise_wanted, token_raise_in_flight;
  double token_raised_at; /* when the latest raise was sent */
} HrLeadership;
