/* What this node knows of the other controllers, and has told them. Steady time, s. */
#pragma once
#include "coordination/command.h"

/* Another controller, by its latest status. */
typedef struct {
  HrPeerStatus status;
  double received_at;
  double attested_at;          /* what it attested was so then (attested_until in leadership.c) */
  guint64 cancellations_taken; /* position in the log of its process up to which we took it in */
} HrPeer;

typedef struct {
  GArray *peers; /* HrPeer */
  double status_sent_at;
  gboolean status_due_soon; /* there is news for a peer that the store does not serve */
  /* Workers' heartbeats, counted in windows of CONTACT_WINDOW seconds. */
  double contact_window_began_at;
  guint contacts_in_window, contacts_in_last_window;
} HrMembership;

/* A cancellation that this node confirmed to its user, or read. */
typedef struct {
  guint32 job;
  guint64 revision;
} HrCancellation;

/* The log of cancellations (cancellation_log.c). */
typedef struct {
  GArray *entries;          /* HrCancellation, in the order in which we learnt of them */
  guint64 begin;            /* position of the first entry */
  guint64 dropped_revision; /* up to which some may have been dropped */
  guint64 latest_revision;  /* of all that we have read or confirmed */
} HrCancellationLog;
