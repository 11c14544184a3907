/* What this node knows of the other controllers, and what it has sent them. Times are in seconds of
 * the steady clock; revisions are the store's. */
#pragma once
#include "coordination/membership/peer_status.h"

/* Another controller, by its latest status. Written by membership.c unless said otherwise. */
typedef struct {
  HrPeerStatus status;
  double received_at;
  double attested_at;          /* what it attested was so then, by our clock (attestation.c) */
  guint64 cancellations_taken; /* position in the log of its process up to which we have taken it
                                  in (cancellation_log.c) */
} HrPeer;

typedef struct {
  GArray *peers;            /* HrPeer; those that were heard at least once */
  double status_sent_at;    /* our latest status; store_events.c sets 0 to have one sent at once */
  gboolean status_due_soon; /* there is news for a peer that the store does not serve
                               (cancellation_log.c) */
  /* Heartbeats, counted in windows of HR_CONTACT_WINDOW_S. agents/heartbeats.c adds to the first
   * count. */
  double contact_window_began_at;
  guint contacts_in_window, contacts_in_last_window;
} HrMembership;

/* A cancellation that this node confirmed to its user, or read. */
typedef struct {
  guint32 job; /* index of the job's id */
  guint64 revision;
} HrCancellation;

/* The log of cancellations. Written by cancellation_log.c alone. */
typedef struct {
  GArray *entries;          /* HrCancellation, in the order in which we learnt of them */
  guint64 begin;            /* position of the first entry */
  guint64 dropped_revision; /* the highest one of those that were left out or dropped */
  guint64 latest_revision;  /* of all that we have read or confirmed */
} HrCancellationLog;
