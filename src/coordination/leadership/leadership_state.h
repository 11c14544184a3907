/* What this node knows of who leads, and what it does about it; written by leadership.c and by the
 * replica as it reads the store. Steady time, s. */
#pragma once
#include <glib.h>

typedef struct {
  /* The leader record (h/map): who leads, and the fencing token of every order. */
  guint64 record_revision, fencing_token;
  char *leader_label, *leader_incarnation;
  /* The leader's lock (h/leader): a key that lives as long as its lease at the store. */
  guint64 lock_revision; /* 0: nobody holds it */
  char *lock_label, *lock_incarnation;
  guint64 lock_lease_id; /* our lease; 0: none */
  double lock_lease_renewed_at, lock_lease_renewal_sent_at, lock_lease_requested_at;
  gboolean lock_lease_renewal_in_flight;

  gboolean is_leader;
  guint64 term_token; /* fencing token with which our term began */
  double term_began_at;
  guint64 resigned_token; /* we lead under no token up to this one */
  gboolean election_in_flight;
  double next_election_at, abstains_until, leaderless_since;
  gboolean token_raise_wanted, token_raise_in_flight;
  double token_raised_at;
} HrLeadership;
