/* This node's knowledge of the other controllers, and the state of its own broadcasts. Times are
 * monotonic, in seconds; revisions are the store's. */
#pragma once
#include "coordination/membership/peer_status.h"

/* Another controller and its latest status. Written by membership.c unless said otherwise. */
typedef struct {
  HrPeerStatus status;
  double received_at;
  double attested_at;            /* time as of which its attestation is valid (attestation.c) */
  guint64 cancellations_applied; /* position in the log of its process up to which this node has
                                    applied it (cancellation_log.c) */
} HrPeer;

typedef struct {
  GArray *peers;         /* HrPeer; members that have sent at least one status */
  double status_sent_at; /* latest broadcast; store_events.c sets 0 to send one at the next tick */
  gboolean status_due_soon; /* named cancellations, or acknowledgements of them, are to be sent
                               (cancellation_log.c) */
  /* Heartbeats, counted in windows of HR_CONTACT_WINDOW_S. agents/heartbeats.c adds to the first
   * count. */
  double contact_window_began_at;
  guint contacts_in_window, contacts_in_last_window;
} HrMembership;

/* A cancellation that this node confirmed to a user or read from the store. */
typedef struct {
  guint32 job; /* index of the job's id in the interned names */
  guint64 revision;
} HrCancellation;

/* The log of cancellations. Written by cancellation_log.c alone. */
typedef struct {
  GArray *entries;          /* HrCancellation, in the order in which this node learnt of them */
  guint64 begin;            /* position of the first entry */
  guint64 dropped_revision; /* highest revision that was dropped or never logged */
  guint64 latest_revision;  /* highest revision that was read or confirmed */
} HrCancellationLog;
