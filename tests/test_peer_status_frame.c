/* Frames of the statuses that controllers exchange: their sizes, and frames of other versions. */
#include "coordination/command.h"
#include "peer.pb-c.h"
#include "transport/peer_status_frame.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static void
fill_string (char *text, gsize size)
{
  memset (text, 'x', size - 1);
  text[size - 1] = 0;
}

/* Fills a status with as much as it can hold, with job ids of this many bytes. */
static void
fill_status (HrPeerStatus *status, guint id_len)
{
  memset (status, 0, sizeof *status);
  fill_string (status->label, sizeof status->label);
  fill_string (status->incarnation, sizeof status->incarnation);
  status->fencing_token = status->leader_record_revision = status->latest_cancellation =
      status->applied_revision = G_MAXUINT64;
  status->worker_contacts = G_MAXUINT32;
  status->store_reachable = status->is_leader = status->synced = TRUE;
  status->clock = 1e9;
  for (status->n_echoes = 0; status->n_echoes < HR_MAX_ECHOES; status->n_echoes++) {
    HrEcho *echo = &status->echoes[status->n_echoes];
    fill_string (echo->label, sizeof echo->label);
    fill_string (echo->incarnation, sizeof echo->incarnation);
    echo->clock = 1e9;
    echo->cancellations_applied = G_MAXUINT64;
  }
  status->format = G_MAXUINT32;
  for (; status->n_oversized < HR_MAX_OVERSIZED; status->n_oversized++)
    fill_string (status->oversized[status->n_oversized], sizeof status->oversized[0]);
  HrNamedCancellations *named = &status->cancellations;
  named->is_present = TRUE;
  named->dropped_revision = named->log_begin = named->first_position = named->log_end = G_MAXUINT64;
  g_autofree char *id = g_strnfill (id_len, 'x');
  while (hr_named_cancellations_add (named, id))
    ;
}

/* The lengths are those of the shortest job id, of ids in benchmarks and of the longest job id. */
static void
the_largest_status_fits_a_frame (void **state G_GNUC_UNUSED)
{
  static const guint lengths[] = {5, 10, 100};
  for (guint i = 0; i < G_N_ELEMENTS (lengths); i++) {
    HrPeerStatus status, received = {0};
    guint8 frame[HR_MAX_FRAME];
    fill_status (&status, lengths[i]);
    gsize len = hr_peer_status_pack (&status, frame);
    assert_true (len > 0 && len <= HR_MAX_FRAME);
    assert_true (hr_peer_status_unpack (&received, frame, len));
    assert_memory_equal (&received.cancellations, &status.cancellations,
                         sizeof status.cancellations);
    assert_memory_equal (received.echoes, status.echoes, sizeof status.echoes);
    assert_true (received.applied_revision == status.applied_revision &&
                 received.latest_cancellation == status.latest_cancellation);
    assert_true (received.format == status.format && received.n_oversized == status.n_oversized);
    assert_memory_equal (received.oversized, status.oversized, sizeof status.oversized);
    assert_true (received.is_leader && received.synced && received.store_reachable &&
                 received.n_echoes == status.n_echoes);
  }
}

/* Guards against a status without a list of cancellations that is read as one with an empty list:
 * versions that do not send the list may have cancellations, while an empty list states none. */
static void
missing_list_differs_from_an_empty_one (void **state G_GNUC_UNUSED)
{
  HrPeerStatus status = {.label = "c1", .latest_cancellation = 7, .synced = TRUE}, received = {0};
  guint8 frame[HR_MAX_FRAME];
  gsize len = hr_peer_status_pack (&status, frame);
  assert_true (hr_peer_status_unpack (&received, frame, len));
  assert_false (received.cancellations.is_present);
  assert_int_equal (received.latest_cancellation, 7);
  status.cancellations.is_present = TRUE; /* an empty list is received as such */
  memset (&received, 0, sizeof received);
  len = hr_peer_status_pack (&status, frame);
  assert_true (hr_peer_status_unpack (&received, frame, len));
  assert_true (received.cancellations.is_present);
  assert_int_equal (received.cancellations.count, 0);
}

/* A list longer than a status can hold is truncated at its end, so that no cancellation is missing
 * between two kept ones. */
static void
overlong_list_is_truncated_at_its_end (void **state G_GNUC_UNUSED)
{
  enum { JOBS = 40 };
  char ids[JOBS][101], *jobs[JOBS];
  guint8 frame[2 * HR_MAX_FRAME];
  for (guint i = 0; i < JOBS; i++) {
    memset (ids[i], 'a' + (int)(i % 26), 100);
    ids[i][i == JOBS - 1 ? 5 : 100] = 0; /* short enough to fit after the truncation */
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
  HrPeerStatus received = {0};
  assert_true (hr_peer_status_unpack (&received, frame, len));
  assert_true (received.cancellations.count < JOBS &&
               received.cancellations.count == received.cancellations.bytes / 101);
  assert_int_equal (received.cancellations.log_end, JOBS);
}

static void
malformed_frame_is_rejected (void **state G_GNUC_UNUSED)
{
  const guint8 text[] = "GET / HTTP/1.1\r\n\r\n";
  HrPeerStatus received = {0};
  assert_false (hr_peer_status_unpack (&received, text, sizeof text));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (the_largest_status_fits_a_frame),
      cmocka_unit_test (missing_list_differs_from_an_empty_one),
      cmocka_unit_test (overlong_list_is_truncated_at_its_end),
      cmocka_unit_test (malformed_frame_is_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
