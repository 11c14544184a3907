#include "transport/peer_status_frame.h"
#include "peer.pb-c.h"
#include <string.h>

/* Bytes that the shortest job id takes in HrNamedCancellations.ids. */
#define MIN_ID_BYTES 6

static void
pack_cancellations (const HrNamedCancellations *named, Hr__Cancellations *message, char **jobs)
{
  hr__cancellations__init (message);
  message->dropped_revision = named->dropped_revision;
  message->log_begin = named->log_begin;
  message->log_end = named->log_end;
  message->first_position = named->first_position;
  message->jobs = jobs;
  for (const char *id = hr_named_cancellations_next (named, NULL); id;
       id = hr_named_cancellations_next (named, id))
    jobs[message->n_jobs++] = (char *)id;
}

gsize
hr_peer_status_pack (const HrPeerStatus *status, guint8 frame[HR_MAX_FRAME])
{
  Hr__PeerStatus message = HR__PEER_STATUS__INIT;
  message.label = (char *)status->label;
  message.incarnation = (char *)status->incarnation;
  message.fencing_token = status->fencing_token;
  message.leader_record_revision = status->leader_record_revision;
  message.store_served = status->store_reachable;
  message.is_leader = status->is_leader;
  message.worker_contacts = status->worker_contacts;
  message.clock = status->clock;
  message.synced = status->synced;
  message.latest_cancellation = status->latest_cancellation;
  message.applied_revision = status->applied_revision;
  Hr__Echo echoes[HR_MAX_ECHOES], *echo_pointers[HR_MAX_ECHOES];
  for (guint i = 0; i < status->n_echoes; i++) {
    hr__echo__init (&echoes[i]);
    echoes[i].label = (char *)status->echoes[i].label;
    echoes[i].incarnation = (char *)status->echoes[i].incarnation;
    echoes[i].clock = status->echoes[i].clock;
    echoes[i].cancellations_taken = status->echoes[i].cancellations_applied;
    echo_pointers[i] = &echoes[i];
  }
  message.n_echoes = status->n_echoes;
  message.echoes = echo_pointers;
  Hr__Cancellations cancellations;
  char *jobs[HR_NAMED_CANCELLATIONS_BYTES / MIN_ID_BYTES + 1];
  if (status->cancellations.is_present && status->cancellations.count < G_N_ELEMENTS (jobs)) {
    pack_cancellations (&status->cancellations, &cancellations, jobs);
    message.cancellations = &cancellations;
  }
  message.format = status->format;
  char *oversized[HR_MAX_OVERSIZED];
  for (guint i = 0; i < status->n_oversized; i++)
    oversized[i] = (char *)status->oversized[i];
  message.n_oversized = status->n_oversized;
  message.oversized = oversized;
  gsize len = hr__peer_status__get_packed_size (&message);
  return len <= HR_MAX_FRAME ? hr__peer_status__pack (&message, frame) : 0;
}

/* Reads only the beginning of a list that exceeds the capacity of *named. */
static void
unpack_cancellations (HrNamedCancellations *named, const Hr__Cancellations *message)
{
  named->is_present = TRUE;
  named->dropped_revision = message->dropped_revision;
  named->log_begin = message->log_begin;
  named->log_end = message->log_end;
  named->first_position = message->first_position;
  for (gsize i = 0; i < message->n_jobs; i++)
    if (!hr_named_cancellations_add (named, message->jobs[i]))
      break;
}

gboolean
hr_peer_status_unpack (HrPeerStatus *status, const guint8 *frame, gsize len)
{
  Hr__PeerStatus *message = hr__peer_status__unpack (NULL, len, frame);
  if (!message)
    return FALSE;
  g_strlcpy (status->label, message->label, sizeof status->label);
  g_strlcpy (status->incarnation, message->incarnation, sizeof status->incarnation);
  status->fencing_token = message->fencing_token;
  status->leader_record_revision = message->leader_record_revision;
  status->store_reachable = message->store_served;
  status->is_leader = message->is_leader;
  status->worker_contacts = message->worker_contacts;
  status->clock = message->clock;
  status->synced = message->synced;
  status->latest_cancellation = message->latest_cancellation;
  status->applied_revision = message->applied_revision;
  for (gsize i = 0; i < message->n_echoes && status->n_echoes < HR_MAX_ECHOES; i++) {
    HrEcho *echo = &status->echoes[status->n_echoes++];
    g_strlcpy (echo->label, message->echoes[i]->label, sizeof echo->label);
    g_strlcpy (echo->incarnation, message->echoes[i]->incarnation, sizeof echo->incarnation);
    echo->clock = message->echoes[i]->clock;
    echo->cancellations_applied = message->echoes[i]->cancellations_taken;
  }
  if (message->cancellations)
    unpack_cancellations (&status->cancellations, message->cancellations);
  status->format = message->format;
  for (gsize i = 0; i < message->n_oversized && status->n_oversized < HR_MAX_OVERSIZED; i++)
    if (strlen (message->oversized[i]) <= HR_JOB_ID_MAX_BYTES)
      g_strlcpy (status->oversized[status->n_oversized++], message->oversized[i],
                 HR_JOB_ID_MAX_BYTES + 1);
  hr__peer_status__free_unpacked (message, NULL);
  return TRUE;
}
