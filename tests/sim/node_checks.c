/* What a controller may send to its workers. */
#include "sim/messages.h"
#include "sim/store.h"
#include "sim/user.h"
#include <string.h>

/* A process launches only what it recorded itself: what an earlier leader recorded
 * may have ended since, and others may use its place. */
void
node_check_launches (World *world, int i, const char *text)
{
  json_t *object = json_loads (text, 0, NULL), *entry;
  size_t k;
  const char *incarnation = world->nodes[i].incarnation;
  json_array_foreach (json_object_get (object, "orders"), k, entry)
  {
    g_autofree char *key =
        g_strdup_printf ("%s/%d", json_string_value (json_object_get (entry, "piece")),
                         (int)json_integer_value (json_object_get (entry, "try")));
    const char *recorder = g_hash_table_lookup (world->assigned, key);
    if (strcmp (json_string_value (json_object_get (entry, "verb")), "launch") == 0 &&
        g_strcmp0 (recorder, incarnation) != 0)
      w_broken (world, "launch", "c%d launches %s, recorded by %s", i, key,
                recorder ? recorder : "nobody");
  }
  json_decref (object);
}

/* The job's record says that it is cancelled or done. */
static gboolean
is_over (World *world, const char *piece)
{
  g_autofree char *id = g_strndup (piece, strcspn (piece, "/"));
  g_autofree char *key = g_strconcat ("h/j/", id, NULL);
  json_t *record = json_loads (store_text (world, key), 0, NULL);
  gboolean over = json_integer_value (json_object_get (record, "s")) != 0;
  json_decref (record);
  return over;
}

/* Orders on a report whose list of tasks does not count: stops alone, and of jobs alone that
 * are over by their record. */
static gboolean
only_final_stops (World *world, json_t *orders)
{
  json_t *order;
  size_t k;
  json_array_foreach (orders, k, order)
  {
    if (strcmp (json_string_value (json_object_get (order, "verb")), "kill") != 0 ||
        !is_over (world, json_string_value (json_object_get (order, "piece"))))
      return FALSE;
  }
  return TRUE;
}

/* The newest report of the worker that the controller has answered; made where there is none. */
static SimReportOrder *
newest_answered (World *world, int i, const char *machine)
{
  SimReportOrder *newest = g_hash_table_lookup (world->nodes[i].heard, machine);
  if (!newest) {
    newest = g_new0 (SimReportOrder, 1);
    g_hash_table_insert (world->nodes[i].heard, g_strdup (machine), newest);
  }
  return newest;
}

void
node_note_report (World *world, int i, guint64 id, const char *machine)
{
  const SimReportOrder *newest = newest_answered (world, i, machine);
  g_hash_table_insert (world->nodes[i].heard_before, g_memdup2 (&id, sizeof id),
                       g_memdup2 (newest, sizeof *newest));
}

/* What the controller had answered when it made this answer, at the least. Answers of a process
 * come over several connections, in any order: two reports that it has at the same time are
 * answered in the right order, and may be seen in the other one. */
static SimReportOrder
answered_before (World *world, int i, guint64 id, const SimReportOrder *newest)
{
  const SimReportOrder *before = g_hash_table_lookup (world->nodes[i].heard_before, &id);
  SimReportOrder answered =
      world->controllers ? (before ? *before : (SimReportOrder){0, 0}) : *newest;
  g_hash_table_remove (world->nodes[i].heard_before, &id);
  return answered;
}

/* Reports are ordered by incarnation and number, not by arrival: one of an earlier incarnation
 * gets no answer that counts; an overtaken one, and one from before the leader's token, none but
 * stops that are right however old it is. */
void
node_check_order (World *world, int i, guint64 id, const char *report, const char *answer)
{
  json_t *report_row = json_loads (report, 0, NULL), *array = json_loads (answer, 0, NULL);
  guint64 incarnation = json_integer_value (json_object_get (report_row, "tenure")),
          n = json_integer_value (json_object_get (report_row, "tally"));
  const char *name = json_string_value (json_object_get (report_row, "rockhand"));
  SimReportOrder *newest = newest_answered (world, i, name);
  SimReportOrder before = answered_before (world, i, id, newest);
  if (incarnation < before.session)
    w_broken (world, "order", "c%d answers %s in a session that is over", i, name);
  else if (incarnation == before.session && n < before.number &&
           !only_final_stops (world, json_object_get (array, "orders")))
    w_broken (world, "order", "c%d gives orders on an overtaken report of %s", i, name);
  if (incarnation > newest->session || (incarnation == newest->session && n > newest->number))
    *newest = (SimReportOrder){incarnation, n};
  json_decref (report_row);
  json_decref (array);
}

/* Of a process of its own a reading counts as known after so many seconds without standing still:
 * it works through commands in batches, and what it sends waits until this program reads it. */
#define KNOWN_AFTER_S 2.0

/* Up to where the controller knew the state store when it made what it sends now, at the least. */
static guint64
epoch_known (World *world, int i)
{
  const Node *n = &world->nodes[i];
  if (!world->controllers)
    return n->epoch_acting;
  for (guint k = n->readings->len; k > 0; k--) {
    const Reading *reading = &g_array_index (n->readings, Reading, k - 1);
    if (world->now - MAX (reading->at, n->frozen) >= KNOWN_AFTER_S)
      return reading->epoch;
  }
  return 0;
}

static gboolean
stop_named (json_t *answer, json_t *item)
{
  size_t k;
  json_t *order;
  json_array_foreach (json_object_get (answer, "orders"), k, order)
  {
    if (strcmp (json_string_value (json_object_get (order, "verb")), "kill") == 0 &&
        json_equal (json_object_get (order, "piece"), json_object_get (item, "piece")) &&
        json_equal (json_object_get (order, "try"), json_object_get (item, "try")))
      return TRUE;
  }
  return FALSE;
}

/* What a worker shows running of a job that was cancelled is told to stop in the very answer that
 * renews its lease, whatever report that answers: by a controller that has read the cancellation,
 * and by any longer ago than a leader may go on without knowing. */
void
node_check_kills (World *world, int i, const char *report, const char *answer)
{
  json_t *report_row = json_loads (report, 0, NULL), *array = json_loads (answer, 0, NULL), *item;
  size_t k;
  json_array_foreach (json_object_get (report_row, "pieces"), k, item)
  {
    const char *piece = json_string_value (json_object_get (item, "piece"));
    g_autofree char *id = g_strndup (piece, strrchr (piece, '/') - piece);
    const guint64 *store_revision = g_hash_table_lookup (world->cancelled_jobs, id);
    guint32 index;
    SimJob *job = job_by_id (world, id, &index);
    if (strcmp (json_string_value (json_object_get (item, "stance")), "exited") == 0 ||
        stop_named (array, item))
      continue;
    if (store_revision && *store_revision <= epoch_known (world, i))
      w_broken (world, "renewal", "c%d renews the lease of %s, and has read that it is withdrawn",
                i, piece);
    if (job && job->cancelled_at && world->now - job->cancelled_at > world->pol.hold_s + 3)
      w_broken (world, "hold", "c%d lets %s go on %.1f s after its withdrawal", i, piece,
                world->now - job->cancelled_at);
  }
  json_decref (report_row);
  json_decref (array);
}
