#include "transport/hint_frame.h"
#include "peer.pb-c.h"
#include <string.h>

/* The shortest job id takes this many bytes of HrNamedCancellations.ids. */
#define SHORTEST_ID 6

static void
pack_cancellations (const HrNamedCancellations *n, Hr__Cancellations *m, char **jobs)
{
  hr__cancellations__init (m);
  m->dropped = n->dropped;
  m->begins = n->begins;
  m->ends = n->ends;
  m->first = n->first;
  m->jobs = jobs;
  for (const char *id = hr_named_cancellations_next (n, NULL); id;
       id = hr_named_cancellations_next (n, id))
    jobs[m->n_jobs++] = (char *)id;
}

gsize
hr_hint_pack (const HrHint *h, guint8 frame[HR_MAX_FRAME])
{
  Hr__Hint m = HR__HINT__INIT;
  m.label = (char *)h->label;
  m.incarnation = (char *)h->incarnation;
  m.baton = h->baton;
  m.map_stamp = h->map_stamp;
  m.store_served = h->store_served;
  m.leads = h->leads;
  m.worker_contacts = h->contacts;
  m.clock = h->clock;
  m.synced = h->synced;
  m.latest_cancellation = h->withdrawn;
  m.applied = h->applied;
  Hr__Echo echoes[HR_MAX_ECHOES], *list[HR_MAX_ECHOES];
  for (guint i = 0; i < h->nechoes; i++) {
    hr__echo__init (&echoes[i]);
    echoes[i].label = (char *)h->echoes[i].label;
    echoes[i].incarnation = (char *)h->echoes[i].incarnation;
    echoes[i].clock = h->echoes[i].clock;
    echoes[i].taken = h->echoes[i].taken;
    list[i] = &echoes[i];
  }
  m.n_echoes = h->nechoes;
  m.echoes = list;
  Hr__Cancellations cancellations;
  char *jobs[HR_NAMED_CANCELLATIONS_BYTES / SHORTEST_ID + 1];
  if (h->named.stated && h->named.count < G_N_ELEMENTS (jobs)) {
    pack_cancellations (&h->named, &cancellations, jobs);
    m.cancellations = &cancellations;
  }
  m.format = h->format;
  char *oversized[HR_MAX_OVERSIZED];
  for (guint i = 0; i < h->noversized; i++)
    oversized[i] = (char *)h->oversized[i];
  m.n_oversized = h->noversized;
  m.oversized = oversized;
  gsize len = hr__hint__get_packed_size (&m);
  return len <= HR_MAX_FRAME ? hr__hint__pack (&m, frame) : 0;
}

/* Of a list that is longer than we keep only the beginning counts. */
static void
unpack_cancellations (HrNamedCancellations *n, const Hr__Cancellations *m)
{
  n->stated = TRUE;
  n->dropped = m->dropped;
  n->begins = m->begins;
  n->ends = m->ends;
  n->first = m->first;
  for (gsize i = 0; i < m->n_jobs; i++)
    if (!hr_named_cancellations_add (n, m->jobs[i]))
      break;
}

gboolean
hr_hint_unpack (HrHint *h, const guint8 *frame, gsize len)
{
  Hr__Hint *m = hr__hint__unpack (NULL, len, frame);
  if (!m)
    return FALSE;
  g_strlcpy (h->label, m->label, sizeof h->label);
  g_strlcpy (h->incarnation, m->incarnation, sizeof h->incarnation);
  h->baton = m->baton;
  h->map_stamp = m->map_stamp;
  h->store_served = m->store_served;
  h->leads = m->leads;
  h->contacts = m->worker_contacts;
  h->clock = m->clock;
  h->synced = m->synced;
  h->withdrawn = m->latest_cancellation;
  h->applied = m->applied;
  for (gsize i = 0; i < m->n_echoes && h->nechoes < HR_MAX_ECHOES; i++) {
    HrEcho *e = &h->echoes[h->nechoes++];
    g_strlcpy (e->label, m->echoes[i]->label, sizeof e->label);
    g_strlcpy (e->incarnation, m->echoes[i]->incarnation, sizeof e->incarnation);
    e->clock = m->echoes[i]->clock;
    e->taken = m->echoes[i]->taken;
  }
  if (m->cancellations)
    unpack_cancellations (&h->named, m->cancellations);
  h->format = m->format;
  for (gsize i = 0; i < m->n_oversized && h->noversized < HR_MAX_OVERSIZED; i++)
    if (strlen (m->oversized[i]) <= HR_JOB_ID_MOST)
      g_strlcpy (h->oversized[h->noversized++], m->oversized[i], HR_JOB_ID_MOST + 1);
  hr__hint__free_unpacked (m, NULL);
  return TRUE;
}
