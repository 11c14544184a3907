/* The form of hints between controllers: sizes, and what other versions send. */
#include "transport/hint_frame.h"
#include "peer.pb-c.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static void
fill (char *text, gsize size)
{
  memset (text, 'x', size - 1);
  text[size - 1] = 0;
}

/* All that a hint can hold, with ids of so many bytes. */
static void
largest (HrHint *h, guint id_len)
{
  memset (h, 0, sizeof *h);
  fill (h->label, sizeof h->label);
  fill (h->incarnation, sizeof h->incarnation);
  h->baton = h->map_stamp = h->withdrawn = h->applied = G_MAXUINT64;
  h->contacts = G_MAXUINT32;
  h->store_served = h->leads = h->synced = TRUE;
  h->clock = 1e9;
  for (h->nechoes = 0; h->nechoes < HR_MAX_ECHOES; h->nechoes++) {
    HrEcho *e = &h->echoes[h->nechoes];
    fill (e->label, sizeof e->label);
    fill (e->incarnation, sizeof e->incarnation);
    e->clock = 1e9;
    e->taken = G_MAXUINT64;
  }
  h->format = G_MAXUINT32;
  for (; h->noversized < HR_MAX_OVERSIZED; h->noversized++)
    fill (h->oversized[h->noversized], sizeof h->oversized[0]);
  HrNamedCancellations *n = &h->named;
  n->stated = TRUE;
  n->dropped = n->begins = n->first = n->ends = G_MAXUINT64;
  g_autofree char *id = g_strnfill (id_len, 'x');
  while (hr_named_cancellations_add (n, id))
    ;
}

/* The shortest id that there is, what benches use, and the longest. */
static void
the_largest_hint_fits_a_frame (void **state)
{
  static const guint lengths[] = {5, 10, 100};
  for (guint i = 0; i < G_N_ELEMENTS (lengths); i++) {
    HrHint h, got = {0};
    guint8 frame[HR_MAX_FRAME];
    largest (&h, lengths[i]);
    gsize len = hr_hint_pack (&h, frame);
    assert_true (len > 0 && len <= HR_MAX_FRAME);
    assert_true (hr_hint_unpack (&got, frame, len));
    assert_memory_equal (&got.named, &h.named, sizeof h.named);
    assert_memory_equal (got.echoes, h.echoes, sizeof h.echoes);
    assert_true (got.applied == h.applied && got.withdrawn == h.withdrawn);
    assert_true (got.format == h.format && got.noversized == h.noversized);
    assert_memory_equal (got.oversized, h.oversized, sizeof h.oversized);
    assert_true (got.leads && got.synced && got.store_served && got.nechoes == h.nechoes);
  }
}

/* A hint without a log is one of a version that has none: an empty log would say much more. */
static void
a_hint_without_a_log (void **state)
{
  HrHint h = {.label = "c1", .withdrawn = 7, .synced = TRUE}, got = {0};
  guint8 frame[HR_MAX_FRAME];
  gsize len = hr_hint_pack (&h, frame);
  assert_true (hr_hint_unpack (&got, frame, len));
  assert_false (got.named.stated);
  assert_int_equal (got.withdrawn, 7);
  h.named.stated = TRUE; /* and an empty one comes as such */
  memset (&got, 0, sizeof got);
  len = hr_hint_pack (&h, frame);
  assert_true (hr_hint_unpack (&got, frame, len));
  assert_true (got.named.stated);
  assert_int_equal (got.named.count, 0);
}

/* Of a list longer than we keep the beginning counts: nothing in its middle may be missing. */
static void
a_longer_list_is_cut_at_its_end (void **state)
{
  enum { JOBS = 40 };
  char ids[JOBS][101], *jobs[JOBS];
  guint8 frame[2 * HR_MAX_FRAME];
  for (guint i = 0; i < JOBS; i++) {
    memset (ids[i], 'a' + (int)(i % 26), 100);
    ids[i][i == JOBS - 1 ? 5 : 100] = 0; /* the last one would fit */
    jobs[i] = ids[i];
  }
  Hr__Cancellations w = HR__CANCELLATIONS__INIT;
  w.jobs = jobs;
  w.n_jobs = w.ends = JOBS;
  Hr__Hint m = HR__HINT__INIT;
  m.label = m.incarnation = "c1";
  m.cancellations = &w;
  assert_true (hr__hint__get_packed_size (&m) <= sizeof frame);
  gsize len = hr__hint__pack (&m, frame);
  HrHint got = {0};
  assert_true (hr_hint_unpack (&got, frame, len));
  assert_true (got.named.count < JOBS && got.named.count == got.named.bytes / 101);
  assert_int_equal (got.named.ends, JOBS);
}

static void
what_is_no_hint_is_dropped (void **state)
{
  const guint8 text[] = "GET / HTTP/1.1\r\n\r\n";
  HrHint got = {0};
  assert_false (hr_hint_unpack (&got, text, sizeof text));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (the_largest_hint_fits_a_frame),
      cmocka_unit_test (a_hint_without_a_log),
      cmocka_unit_test (a_longer_list_is_cut_at_its_end),
      cmocka_unit_test (what_is_no_hint_is_dropped),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
