/* The form of statuses between controllers: sizes, and what other versions send. */
#include "coordination/command.h"
#include "peer.pb-c.h"
#include "transport/peer_status_frame.h"
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

/* All that a status can hold, with ids of so many bytes. */
static void
largest (HrPeerStatus *status, guint id_len)
{
  memset (status, 0, sizeof *status);
  fill (status->label, sizeof status->label);
  fill (status->incarnation, sizeof status->incarnation);
  status->fencing_token = status->leader_record_revision = status->latest_cancellation =
      status->applied_revision = G_MAXUINT64;
  status->worker_contacts = G_MAXUINT32;
  status->store_reachable = status->is_leader = status->synced = TRUE;
  status->clock = 1e9;
  for (status->n_echoes = 0; status->n_echoes < HR_MAX_ECHOES; status->n_echoes++) {
    HrEcho *echo = &status->echoes[status->n_echoes];
    fill (echo->label, sizeof echo->label);
    fill (echo->incarnation, sizeof echo->incarnation);
    echo->clock = 1e9;
    echo->cancellations_applied = G_MAXUINT64;
  }
  status->format = G_MAXUINT32;
  for (; status->n_oversized < HR_MAX_OVERSIZED; status->n_oversized++)
    fill (status->oversized[status->n_oversized], sizeof status->oversized[0]);
  HrNamedCancellations *named = &status->cancellations;
  named->is_present = TRUE;
  named->dropped_revision = named->log_begin = named->first_position = named->log_end = G_MAXUINT64;
  g_autofree char *id = g_strnfill (id_len, 'x');
  while (hr_named_cancellations_add (named, id))
    ;
}

/* The shortest id that there is, what benches use, and the longest. */
static void
the_largest_status_fits_a_frame (void **state G_GNUC_UNUSED)
{
  static const guint lengths[] = {5, 10, 100};
  for (guint i = 0; i < G_N_ELEMENTS (lengths); i++) {
    HrPeerStatus status, got = {0};
    guint8 frame[HR_MAX_FRAME];
    largest (&status, lengths[i]);
    gsize len = hr_peer_status_pack (&status, frame);
    assert_true (len > 0 && len <= HR_MAX_FRAME);
    assert_true (hr_peer_status_unpack (&got, frame, len));
    assert_memory_equal (&got.cancellations, &status.cancellations, sizeof status.cancellations);
    assert_memory_equal (got.echoes, status.echoes, sizeof status.echoes);
    assert_true (got.applied_revision == status.applied_revision &&
                 got.latest_cancellation == status.latest_cancellation);
    assert_true (got.format == status.format && got.n_oversized == status.n_oversized);
    assert_memory_equal (got.oversized, status.oversized, sizeof status.oversized);
    assert_true (got.is_leader && got.synced && got.store_reachable &&
                 got.n_echoes == status.n_echoes);
  }
}

/* A status without a log is one of a version that has none: an empty log would say much more. */
static void
a_peer_status_without_a_log (void **state G_GNUC_UNUSED)
{
  HrPeerStatus status = {.label = "c1", .latest_cancellation = 7, .synced = TRUE}, got = {0};
  guint8 frame[HR_MAX_FRAME];
  gsize len = hr_peer_status_pack (&status, frame);
  assert_true (hr_peer_status_unpack (&got, frame, len));
  assert_false (got.cancellations.is_present);
  assert_int_equal (got.latest_cancellation, 7);
  status.cancellations.is_present = TRUE; /* and an empty one comes as such */
  memset (&got, 0, sizeof got);
  len = hr_peer_status_pack (&status, frame);
  assert_true (hr_peer_status_unpack (&got, frame, len));
  assert_true (got.cancellations.is_present);
  assert_int_equal (got.cancellations.count, 0);
}

/* Of a list longer than we keep the beginning counts: nothing in its middle may be missing. */
static void
a_longer_list_is_cut_at_its_end (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 40 };
  char ids[JOBS][101], *jobs[JOBS];
  guint8 frame[2 * HR_MAX_FRAME];
  for (guint i = 0; i < JOBS; i++) {
    memset (ids[i], 'a' + (int)(i % 26), 100);
    ids[i][i == JOBS - 1 ? 5 : 100] = 0; /* the last one would fit */
    jobs[i] = ids[i];
  }
  Hr__Cancellations cancellations = HR__CANCELLATIONS__INIT;
  cancellations.jobs = jobs;
  cancellations.n_jobs = cancellations.log_end = JOBS;
  Hr__PeerStatus message = HR__PEER_STATUS__INIT;
  message.label = message.incarnation = "c1";
  message.cancellations = &cancellations;
  assert_true (hr__peer_status__get_packed_size (&message) <= sizeof frame);
  gsize len = hr__peer_status__pack (&message, frame);
  HrPeerStatus got = {0};
  assert_true (hr_peer_status_unpack (&got, frame, len));
  assert_true (got.cancellations.count < JOBS &&
               got.cancellations.count == got.cancellations.bytes / 101);
  assert_int_equal (got.cancellations.log_end, JOBS);
}

static void
what_is_no_status_is_dropped (void **state G_GNUC_UNUSED)
{
  const guint8 text[] = "GET / HTTP/1.1\r\n\r\n";
  HrPeerStatus got = {0};
  assert_false (hr_peer_status_unpack (&got, text, sizeof text));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (the_largest_status_fits_a_frame),
      cmocka_unit_test (a_peer_status_without_a_log),
      cmocka_unit_test (a_longer_list_is_cut_at_its_end),
      cmocka_unit_test (what_is_no_status_is_dropped),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
