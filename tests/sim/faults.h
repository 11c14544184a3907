/* Faults of controllers, machines and the state store: drawn from the seed (faults_init), or
 * scripted for a day. Times are in seconds of the day. Functions with the prefix fault_ are only
 * for the faults*.c files. */
#pragma once
#include "sim/worker.h"
#include "sim/cluster.h"

/* Kills the controller; it restarts after a few seconds, or sometimes within half a second. */
void fault_crash (SimCluster *cluster, int node);
/* Kills the controller; it restarts within half a second. node: GINT_TO_POINTER. */
void fault_restart_quickly (SimCluster *cluster, gpointer node);
/* Cuts this controller off from the state store for a while. */
void fault_cut_node_from_store (SimCluster *cluster, int node);
/* Counts the machines that were marked when a fault began (tracked_by_fault). all: the number of
 * marked machines. Returns for how many of them the predicate holds. */
guint fault_count_marked (SimCluster *cluster, gboolean (*predicate) (const SimMachine *),
                          guint *all);

void faults_init (SimCluster *cluster, guint n, double from, double to);
/* Marks the end of all faults, unless one is planned for later. */
void faults_mark_ended (SimCluster *cluster, gpointer unused);
/* Partitions all controllers from workers, state store and users for 30 s; messages sent during
 * the partition arrive when it ends. */
void faults_cut_all_holding_packets (SimCluster *cluster, double at);
/* The state store answers no controller for 50 s; controllers still reach one another and the
 * workers. */
void faults_cut_from_store (SimCluster *cluster, double at);
/* As faults_cut_from_store(), after one member confirmed a cancellation that the leader did not
 * read. Leases must last nevertheless, unless that member restarts. */
void faults_missed_cancellation (SimCluster *cluster, double at, gboolean restart);
/* The state store refuses only the leader while all other members confirm cancellations. After that
 * it is down for all, for longer than the tasks of a cancelled job may keep running. */
void faults_cancellation_gap (SimCluster *cluster, double at);
/* No worker reaches the leader for 40 s, but workers reach the other controllers. */
void faults_cut_leader_from_workers (SimCluster *cluster, double at, gboolean hold);
/* Half of the machines with tasks and the leader's process crash without notice. */
void faults_crash_half_of_machines (SimCluster *cluster, double at);
/* The record pages of large jobs become unreadable while all controllers are restarting. */
void faults_unreadable_pages (SimCluster *cluster, double at);
/* The leader is cut off from the state store and the other members until another controller leads.
 * Then the state store answers no controller for 50 s, while all controllers reach one another
 * again. */
void faults_two_leaders (SimCluster *cluster, double at);
/* A hundred machines crash, a hundred hang and a quarter is partitioned; the leader crashes
 * meanwhile. Then all controllers crash, twice, and one freezes. */
void faults_mass_failure (SimCluster *cluster, double at);
/* Forces a change of the leader again and again, and crashes machines without notice. */
void faults_change_leaders (SimCluster *cluster, double from, double to);
/* Crashes, once for each gang, the machine of one of its tasks while the gang fetches its image. */
void faults_crash_gang_machines (SimCluster *cluster, double from, double to);
/* The leader's process crashes and restarts soon. */
void faults_crash_leader (SimCluster *cluster, double at);
/* Compacts the changes that the leader has not read yet, again and again. */
void faults_compact_changes (SimCluster *cluster, double from, double to);
/* Freezes controllers while their clocks keep running: the leader, all others, or all. */
typedef enum { FREEZE_LEADER, FREEZE_OTHERS, FREEZE_ALL } FreezeTarget;
void faults_freeze (SimCluster *cluster, double at, FreezeTarget who, double for_s);
/* The busiest machine receives neither answers nor direct orders for 200 s, and has to be deleted
 * within 60 s. */
void faults_inbound_cut (SimCluster *cluster, double at);
