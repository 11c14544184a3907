#include "transport/peer_status_frame.h"
#include "peer.pb-c.h"
#include <string.h>

/* The shortest job id takes this many bytes of HrNamedCancellations.ids. */
#define SHORTEST_ID 6

static void
pack_cancellations (const HrNamedCancellations *n, Hr__Cancellations *m, char **jobs)
{
  hr__cancellations__init (m);
  m->dropped_revision = n->dropped_revision;
  m->log_begin = n->log_begin;
  m->log_end = n->log_end;
  m->first_position = n->first_position;
  m->jobs = jobs;
  for (const char *id = hr_named_cancellations_next (n, NULL); id;
       id = hr_named_cancellations_next (n, id))
    jobs[m->n_jobs++] = (char *)id;
}

gsize
hr_peer_status_pack (const HrPeerStatus *h, guint8 frame[HR_MAX_FRAME])
{
  Hr__PeerStatus m = HR__PEER_STATUS__INIT;
  m.label = (char *)h->label;
  m.incarnation = (char *)h->incarnation;
  m.fencing_token = h->fencing_token;
  m.leader_record_revision = h->leader_record_revision;
  m.store_served = h->store_served;
  m.is_leader = h->is_leader;
  m.worker_contacts = h->worker_contacts;
  m.clock = h->clock;
  m.synced = h->synced;
  m.latest_cancellation = h->latest_cancellation;
  m.applied_revision = h->applied_revision;
  Hr__Echo echoes[HR_MAX_ECHOES], *list[HR_MAX_ECHOES];
  for (guint i = 0; i < h->n_echoes; i++) {
    hr__echo__init (&echoes[i]);
    echoes[i].label = (char *)h->echoes[i].label;
    echoes[i].incarnation = (char *)h->echoes[i].incarnation;
    echoes[i].clock = h->echoes[i].clock;
    echoes[i].cancellations_taken = h->echoes[i].cancellations_taken;
    list[i] = &echoes[i];
  }
  m.n_echoes = h->n_echoes;
  m.echoes = list;
  Hr__Cancellations cancellations;
  char *jobs[HR_NAMED_CANCELLATIONS_BYTES / SHORTEST_ID + 1];
  if (h->cancellations.is_stated && h->cancellations.count < G_N_ELEMENTS (jobs)) {
    pack_cancellations (&h->cancellations, &cancellations, jobs);
    m.cancellations = &cancellations;
  }
  m.format = h->format;
  char *oversized[HR_MAX_OVERSIZED];
  for (guint i = 0; i < h->n_oversized; i++)
    oversized[i] = (char *)h->oversized[i];
  m.n_oversized = h->n_oversized;
  m.oversized = oversized;
  gsize len = hr__peer_status__get_packed_size (&m);
  return len <= HR_MAX_FRAME ? hr__peer_status__pack (&m, frame) : 0;
}

/* Of a list that is longer than we keep only the beginning counts. */
static void
unpack_cancellations (HrNamedCancellations *n, const Hr__Cancellations *m)
{
  n->is_stated = TRUE;
  n->dropped_revision = m->dropped_revision;
  n->log_begin = m->log_begin;
  n->log_end = m->log_end;
  n->first_position = m->first_position;
  for (gsize i = 0; i < m->n_jobs; i++)
    if (!hr_named_cancellations_add (n, m->jobs[i]))
      break;
}

gboolean
hr_peer_status_unpack (HrPeerStatus *h, const guint8 *frame, gsize len)
{
  Hr__PeerStatus *m = hr__peer_status__unpack (NULL, len, frame);
  if (!m)
    return FALSE;
  g_strlcpy (h->label, m->label, sizeof h->label);
  g_strlcpy (h->incarnation, m->incarnation, sizeof h->incarnation);
  h->fencing_token = m->fencing_token;
  h->leader_record_revision = m->leader_record_revision;
  h->store_served = m->store_served;
  h->is_leader = m->is_leader;
  h->worker_contacts = m->worker_contacts;
  h->clock = m->clock;
  h->synced = m->synced;
  h->latest_cancellation = m->latest_cancellation;
  h->applied_revision = m->applied_revision;
  for (gsize i = 0; i < m->n_echoes && h->n_echoes < HR_MAX_ECHOES; i++) {
    HrEcho *e = &h->echoes[h->n_echoes++];
    g_strlcpy (e->label, m->echoes[i]->label, sizeof e->label);
    g_strlcpy (e->incarnation, m->echoes[i]->incarnation, sizeof e->incarnation);
    e->clock = m->echoes[i]->clock;
    e->cancellations_taken = m->echoes[i]->cancellations_taken;
  }
  if (m->cancellations)
    unpack_cancellations (&h->cancellations, m->cancellations);
  h->format = m->format;
  for (gsize i = 0; i < m->n_oversized && h->n_oversized < HR_MAX_OVERSIZED; i++)
    if (strlen (m->oversized[i]) <= HR_JOB_ID_MOST)
      g_strlcpy (h->oversized[h->n_oversized++], m->oversized[i], HR_JOB_ID_MOST + 1);
  hr__peer_status__free_unpacked (m, NULL);
  return TRUE;
}
