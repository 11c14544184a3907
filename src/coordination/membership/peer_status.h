/* The status that each controller sends to the others about once a second. A plain value without
 * pointers: it is copied by assignment. transport/ encodes it (transport/peer_status_frame.h).
 * Times are in seconds of the sender's steady clock unless said otherwise; revisions are the
 * store's. */
#pragma once
#include "protocol/jobspec.h"
#include <glib.h>

/* Other controllers whose clocks one status echoes, at most. */
#define HR_MAX_ECHOES 16
/* Room for the job ids that one status names. With it the largest status still fits a frame. */
#define HR_NAMED_CANCELLATIONS_BYTES 960
/* Room for a controller's label and its incarnation, with the terminating NUL. */
#define HR_PEER_LABEL_BYTES 64
#define HR_PEER_INCARNATION_BYTES 40

/* What the sender has received from one other controller: for that one alone to read. */
typedef struct {
  char label[HR_PEER_LABEL_BYTES], incarnation[HR_PEER_INCARNATION_BYTES]; /* of the receiver */
  double clock;                /* the receiver's, as in the latest status from there */
  guint64 cancellations_taken; /* position up to which the sender, when it leads, has taken in the
                                  receiver's log of cancellations */
} HrEcho;

/* A part of the sender's log of cancellations (membership/cancellation_log.h). Positions count from
 * 0 in each process. */
typedef struct {
  gboolean is_stated;       /* FALSE: the sender's version has no such log */
  guint64 dropped_revision; /* up to it, entries may be missing from the log's beginning */
  guint64 log_begin, log_end;
  guint64 first_position;                 /* of the first id named here */
  guint count;                            /* of the ids named here */
  guint bytes;                            /* of `ids` that are used */
  char ids[HR_NAMED_CANCELLATIONS_BYTES]; /* one after the other, each with its terminating NUL */
} HrNamedCancellations;

/* Nothing in a status is relied on for the rules of the protocol, but for one statement, the
 * attestation (membership/attestation.h). By the time at which the status was made, its sender and
 * the processes before it had confirmed to users no cancellation later than `latest_cancellation`,
 * and none later than `cancellations.dropped_revision` that is missing from the sender's log. The
 * status is at least as new as the clocks that it echoes. */
typedef struct {
  char label[HR_PEER_LABEL_BYTES], incarnation[HR_PEER_INCARNATION_BYTES]; /* of the sender */
  guint64 fencing_token, leader_record_revision; /* of the leader record that it has read */
  gboolean store_served;                         /* the store answers it */
  gboolean is_leader;
  guint32 worker_contacts; /* heartbeats that it received within a window */
  double clock;
  gboolean synced; /* it has read the whole store once; else `latest_cancellation` means nothing */
  guint64 latest_cancellation; /* revision of the latest one that it confirmed or read */
  guint64 applied_revision;    /* up to which it has read the store */
  HrNamedCancellations cancellations;
  HrEcho echoes[HR_MAX_ECHOES];
  guint n_echoes;
  guint32 format; /* newest format of records that it reads and writes; 0: not stated */
  /* Jobs that it could not cancel, since their records are too large to be written. */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MAX_BYTES + 1];
  guint n_oversized;
} HrPeerStatus;

/**
 * hr_echo_is_for:
 * @echo: an echo of a status that was received
 * @label: a controller's label
 * @incarnation: of the controller's process
 *
 * Returns: whether the echo is of a status which that very process sent
 */
gboolean hr_echo_is_for (const HrEcho *echo, const char *label, const char *incarnation);

/**
 * hr_named_cancellations_add:
 * @named: the list to extend
 * @id: a job's id
 *
 * Returns: %FALSE when there is no room left; the list is then as before
 */
gboolean hr_named_cancellations_add (HrNamedCancellations *named, const char *id);

/**
 * hr_named_cancellations_next:
 * @named: the list
 * @id: (nullable): an id that this function returned; %NULL for the first one
 *
 * Returns: (transfer none) (nullable): the id after @id; %NULL after the last
 */
const char *hr_named_cancellations_next (const HrNamedCancellations *named, const char *id);
