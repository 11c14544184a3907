#include "bookkeeping/store_reads.h"

/* Consecutive failures after which the state store counts as unavailable to this node. */
#define OUTAGE_FAILURE_THRESHOLD 2

gboolean
hr_replica_is_current (const HrStore *store)
{
  return store->now - store->replica.confirmed_at <= HR_MAX_READ_GAP_S;
}

void
hr_replica_update_availability (HrStore *store, gboolean is_answered)
{
  HrReplica *replica = &store->replica;
  if (is_answered) {
    if (replica->is_unavailable)
      g_message ("the state service answers again");
    replica->is_unavailable = FALSE;
    replica->failures = 0;
  } else if (++replica->failures == OUTAGE_FAILURE_THRESHOLD) {
    replica->is_unavailable = TRUE;
    g_warning ("the state service does not answer this node");
  }
}

void
hr_replica_read (HrStore *store, HrReadCallback callback, gpointer data)
{
  HrReadWaiter waiter = {callback, data, store->now};
  if (store->replica.state != HR_REPLICA_FOLLOWING || store->replica.is_unavailable) {
    callback (store, FALSE, data);
    return;
  }
  g_array_append_val (store->replica.waiters, waiter);
}
