/* Checks of the orders that controllers send to their workers. */
#include "sim/messages.h"
#include "sim/store.h"
#include "sim/user.h"
#include <string.h>

/* Checks that a process launches only the assignments that it recorded itself: a task that an
 * earlier leader assigned may have ended since, and other tasks may use its capacity. */
void
node_check_launches (SimCluster *cluster, int i, const char *text)
{
  json_t *object = json_loads (text, 0, NULL), *entry;
  size_t k;
  const char *incarnation = cluster->nodes[i].incarnation;
  json_array_foreach (json_object_get (object, "orders"), k, entry)
  {
    g_autofree char *key =
        g_strdup_printf ("%s/%d", json_string_value (json_object_get (entry, "piece")),
                         (int)json_integer_value (json_object_get (entry, "try")));
    const char *recorder = g_hash_table_lookup (cluster->assignment_recorders, key);
    if (strcmp (json_string_value (json_object_get (entry, "verb")), "launch") == 0 &&
        g_strcmp0 (recorder, incarnation) != 0)
      sim_report_violation (cluster, "launch", "c%d launches %s, recorded by %s", i, key,
                            recorder ? recorder : "nobody");
  }
  json_decref (object);
}

/* Returns whether the record of the task's job says that it is cancelled or done. */
static gboolean
job_is_final (SimCluster *cluster, const char *piece)
{
  g_autofree char *id = g_strndup (piece, strcspn (piece, "/"));
  g_autofree char *key = g_strconcat ("h/j/", id, NULL);
  json_t *record = json_loads (store_text (cluster, key), 0, NULL);
  gboolean final = json_integer_value (json_object_get (record, "s")) != 0; /* HrJobState */
  json_decref (record);
  return final;
}

/* Returns whether all orders are stops of jobs whose records are final: the only orders allowed in
 * the answer to a heartbeat whose task list is out of date. */
static gboolean
only_final_stops (SimCluster *cluster, json_t *orders)
{
  json_t *order;
  size_t k;
  json_array_foreach (orders, k, order)
  {
    if (strcmp (json_string_value (json_object_get (order, "verb")), "kill") != 0 ||
        !job_is_final (cluster, json_string_value (json_object_get (order, "piece"))))
      return FALSE;
  }
  return TRUE;
}

/* Returns the newest of the worker's heartbeats that the controller has answered; a zero entry is
 * added if there is none. */
static SimReportOrder *
newest_answered (SimCluster *cluster, int i, const char *machine)
{
  SimReportOrder *newest = g_hash_table_lookup (cluster->nodes[i].newest_answered, machine);
  if (!newest) {
    newest = g_new0 (SimReportOrder, 1);
    g_hash_table_insert (cluster->nodes[i].newest_answered, g_strdup (machine), newest);
  }
  return newest;
}

void
node_note_report (SimCluster *cluster, int i, guint64 id, const char *machine)
{
  const SimReportOrder *newest = newest_answered (cluster, i, machine);
  g_hash_table_insert (cluster->nodes[i].answered_at_handover, g_memdup2 (&id, sizeof id),
                       g_memdup2 (newest, sizeof *newest));
}

/* Returns the newest heartbeat that the controller had certainly answered when it made this answer.
 * Answers of a separate process arrive over several connections, in any order: if it has two
 * heartbeats at the same time, it may answer them in the right order and the answers arrive in the
 * other. */
static SimReportOrder
answered_before (SimCluster *cluster, int i, guint64 id, const SimReportOrder *newest)
{
  const SimReportOrder *before = g_hash_table_lookup (cluster->nodes[i].answered_at_handover, &id);
  SimReportOrder answered =
      cluster->controllers ? (before ? *before : (SimReportOrder){0, 0}) : *newest;
  g_hash_table_remove (cluster->nodes[i].answered_at_handover, &id);
  return answered;
}

/* Checks the order of answered heartbeats. Heartbeats are ordered by incarnation and sequence
 * number, not by arrival. A heartbeat of an earlier incarnation is not answered with 200; a
 * superseded heartbeat, and one from before the leader's token, gets no orders but stops of final
 * jobs, which are right however old the heartbeat is. */
void
node_check_order (SimCluster *cluster, int i, guint64 id, const char *report, const char *answer)
{
  json_t *reported = json_loads (report, 0, NULL), *array = json_loads (answer, 0, NULL);
  guint64 incarnation = json_integer_value (json_object_get (reported, "tenure")),
          n = json_integer_value (json_object_get (reported, "tally"));
  const char *name = json_string_value (json_object_get (reported, "rockhand"));
  SimReportOrder *newest = newest_answered (cluster, i, name);
  SimReportOrder before = answered_before (cluster, i, id, newest);
  if (incarnation < before.incarnation)
    sim_report_violation (cluster, "order",
                          "c%d answers a report of %s from an earlier incarnation", i, name);
  else if (incarnation == before.incarnation && n < before.number &&
           !only_final_stops (cluster, json_object_get (array, "orders")))
    sim_report_violation (cluster, "order",
                          "c%d sends orders in the answer to a superseded report of %s", i, name);
  if (incarnation > newest->incarnation ||
      (incarnation == newest->incarnation && n > newest->number))
    *newest = (SimReportOrder){incarnation, n};
  json_decref (reported);
  json_decref (array);
}

/* A separate process is taken to know an answer of the state store this many seconds after it was
 * sent, not counting suspensions: the process handles commands in batches, and its messages wait
 * until this program reads them. */
#define KNOWN_AFTER_S 2.0

/* Returns the epoch up to which the controller certainly knew the state store when it made the
 * message that it sends now. */
static guint64
epoch_known (SimCluster *cluster, int i)
{
  const SimNode *n = &cluster->nodes[i];
  if (!cluster->controllers)
    return n->epoch_acting;
  for (guint k = n->store_reads->len; k > 0; k--) {
    const SimStoreRead *read = &g_array_index (n->store_reads, SimStoreRead, k - 1);
    if (cluster->now - MAX (read->at, n->frozen_until) >= KNOWN_AFTER_S)
      return read->epoch;
  }
  return 0;
}

static gboolean
orders_stop_of (json_t *answer, json_t *item)
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

/* Checks that an answer that renews a worker's lease stops each task of a cancelled job that the
 * heartbeat shows not exited, whatever heartbeat it answers: an answer of a controller that has
 * read the cancellation, and any answer later than a leader may answer without having read it
 * (hold_s). */
void
node_check_kills (SimCluster *cluster, int i, const char *report, const char *answer)
{
  json_t *reported = json_loads (report, 0, NULL), *array = json_loads (answer, 0, NULL), *item;
  size_t k;
  json_array_foreach (json_object_get (reported, "pieces"), k, item)
  {
    const char *piece = json_string_value (json_object_get (item, "piece"));
    g_autofree char *id = g_strndup (piece, strrchr (piece, '/') - piece);
    const guint64 *store_revision = g_hash_table_lookup (cluster->cancelled_jobs, id);
    guint32 index;
    SimJob *job = job_by_id (cluster, id, &index);
    if (strcmp (json_string_value (json_object_get (item, "stance")), "exited") == 0 ||
        orders_stop_of (array, item))
      continue;
    if (store_revision && *store_revision <= epoch_known (cluster, i))
      sim_report_violation (cluster, "renewal",
                            "c%d renews the lease of %s though it has read its cancellation", i,
                            piece);
    if (job && job->cancelled_at && cluster->now - job->cancelled_at > cluster->policy.hold_s + 3)
      sim_report_violation (cluster, "hold", "c%d does not stop %s %.1f s after its cancellation",
                            i, piece, cluster->now - job->cancelled_at);
  }
  json_decref (reported);
  json_decref (array);
}
