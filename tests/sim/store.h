/* The simulated state store: keys with revisions, leases, transactions, watches, announced limits
 * and outages. It checks what controllers write: fencing, record formats, sizes. */
#pragma once
#include "sim/request.h"
#include "sim/cluster.h"

/* Limits that the settings of all days announce for the state store: KiB per value, changes per
 * transaction, and changes per second. */
#define NEXT_VALUE_KB 2.0
#define NEXT_TXN_OPS 4
#define NEXT_WRITE_RPS 40.0

void store_request (SimCluster *cluster, SimRequest *request);
void store_init (SimCluster *cluster);
/* Writes the current record format as the cluster's; known FALSE: deletes the entry, as before the
 * first upgrade. */
void store_set_format (SimCluster *cluster, gboolean known);
/* Returns whether any record names this machine. */
gboolean store_references_machine (SimCluster *cluster, const char *machine);
/* Returns the value of a key as text; empty if there is no such key. */
const char *store_text (SimCluster *cluster, const char *key);
/* Returns the number of pages whose job is final. */
guint store_count_obsolete_pages (SimCluster *cluster);
/* Returns the number of records that are larger than the announced limit. */
guint store_count_oversized_records (SimCluster *cluster);
/* Returns whether the job's record was split into pages of another size. */
gboolean store_job_is_split (SimCluster *cluster, const char *id);
gboolean store_has_key (SimCluster *cluster, const char *path);
/* Writes a value without the checks, as if it had been there before the day began. */
void store_preload (SimCluster *cluster, const char *path, const char *text);
/* Makes every page of tasks unreadable. Returns their number. */
guint store_corrupt_pages (SimCluster *cluster);
int store_leader (SimCluster *cluster); /* the node that the leader record names; -1: none */
void store_free (SimCluster *cluster);
