/* The status that each controller sends to all other controllers about once a second. The struct
 * contains no pointers, so it is copied by assignment. transport/ encodes it
 * (transport/peer_status_frame.h). Times are in seconds of the sender's monotonic clock unless said
 * otherwise; revisions are the store's. */
#pragma once
#include "protocol/jobspec.h"
#include <glib.h>

/* Maximum number of controllers whose clocks one status echoes. */
#define HR_MAX_ECHOES 16
/* Room for the job ids that one status names, limited so that the largest status fits in a frame.
 */
#define HR_NAMED_CANCELLATIONS_BYTES 960
/* Room for a controller's label and its incarnation, with the terminating NUL. */
#define HR_PEER_LABEL_BYTES 64
#define HR_PEER_INCARNATION_BYTES 40

/* Acknowledges the latest status that the sender has received from one other controller. Only that
 * controller uses it. */
typedef struct {
  char label[HR_PEER_LABEL_BYTES], incarnation[HR_PEER_INCARNATION_BYTES]; /* of the receiver */
  double clock;                  /* the receiver's, from its latest status */
  guint64 cancellations_applied; /* position up to which the sender, if it leads, has applied the
                                    receiver's log of cancellations */
} HrEcho;

/* A part of the sender's log of cancellations (membership/cancellation_log.h). Positions count from
 * 0 in each process. */
typedef struct {
  gboolean is_present;      /* FALSE: the sender's version has no log of cancellations */
  guint64 dropped_revision; /* cancellations up to this revision may be missing from the log */
  guint64 log_begin, log_end;
  guint64 first_position;                 /* of the first id in `ids` */
  guint count;                            /* number of ids in `ids` */
  guint bytes;                            /* number of bytes used in `ids` */
  char ids[HR_NAMED_CANCELLATIONS_BYTES]; /* concatenated, each with its terminating NUL */
} HrNamedCancellations;

/* The protocol's safety relies on only one statement of a status, the attestation
 * (membership/attestation.h): when the status was built, its sender and the sender's earlier
 * processes had confirmed to users no cancellation later than `latest_cancellation`, and none later
 * than `cancellations.dropped_revision` that is missing from the sender's log. The status is at
 * least as new as the clocks that it echoes. */
typedef struct {
  char label[HR_PEER_LABEL_BYTES], incarnation[HR_PEER_INCARNATION_BYTES]; /* of the sender */
  guint64 fencing_token, leader_record_revision; /* of the leader record that the sender has read */
  gboolean store_reachable;                      /* the sender's reads of the store succeed */
  gboolean is_leader;
  guint32 worker_contacts; /* heartbeats received within a window */
  double clock;
  gboolean synced; /* the sender has read the whole store once; otherwise `latest_cancellation` is
                      meaningless */
  guint64 latest_cancellation; /* revision of the latest cancellation confirmed or read */
  guint64 applied_revision;    /* up to which the sender has read the store */
  HrNamedCancellations cancellations;
  HrEcho echoes[HR_MAX_ECHOES];
  guint n_echoes;
  guint32 format; /* newest record format that the sender reads and writes; 0: not stated */
  /* Jobs that the sender could not cancel, since their records are too large to be written. */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MAX_BYTES + 1];
  guint n_oversized;
} HrPeerStatus;

/**
 * hr_echo_is_for:
 * @echo: an echo of a status that was received
 * @label: a controller's label
 * @incarnation: the incarnation of the controller's process
 *
 * Returns: whether the echo refers to a status that this process sent
 */
gboolean hr_echo_is_for (const HrEcho *echo, const char *label, const char *incarnation);

/**
 * hr_named_cancellations_add:
 * @named: the list to extend
 * @id: a job's id
 *
 * Appends the id to the list.
 *
 * Returns: %FALSE if there is no room left; the list is then unchanged
 */
gboolean hr_named_cancellations_add (HrNamedCancellations *named, const char *id);

/**
 * hr_named_cancellations_next:
 * @named: the list
 * @id: (nullable): an id that this function returned; %NULL to get the first id
 *
 * Returns: (transfer none) (nullable): the id after @id; %NULL after the last one
 */
const char *hr_named_cancellations_next (const HrNamedCancellations *named, const char *id);
