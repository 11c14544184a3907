/* Faults of controllers, machines and the state service: drawn from the seed (faults_init), or one
 * that a day asks for. Times in seconds of the day. fault_* are for the files of faults alone. */
#pragma once
#include "sim/worker.h"
#include "sim/cluster.h"

/* The controller ends, and is back after a while, or within a fraction of a second. */
void fault_crash (SimCluster *cluster, int node);
/* The same, back within half a second at most. node: GINT_TO_POINTER. */
void fault_stumble (SimCluster *cluster, gpointer node);
/* The state service answers this controller no more for a while. */
void fault_store_away (SimCluster *cluster, int node);
/* Of the machines marked for it when a trouble began: how many there are, and for how many it is
 * so. */
guint fault_marked (SimCluster *cluster, gboolean (*is_so) (const SimMachine *), guint *all);

void faults_init (SimCluster *cluster, guint n, double from, double to);
/* No trouble begins any more, unless one is planned for later. */
void world_calm (SimCluster *cluster, gpointer unused);
/* All controllers are behind a cut for 30 s that holds packets back. */
void faults_held_cut (SimCluster *cluster, double at);
/* The state service answers no controller for 50 s; they hear one another, and workers. */
void faults_cut_from_store (SimCluster *cluster, double at);
/* The same, after one of them confirmed a cancellation that the leader did not read. Leases are to
 * last all the same, but where that member restarts. */
void faults_missed_cancellation (SimCluster *cluster, double at, gboolean restart);
/* The state service refuses the leader alone while all other members confirm cancellations, and is
 * then down for all, for longer than a cancelled job's tasks may live. */
void faults_cancellation_gap (SimCluster *cluster, double at);
/* No worker reaches the leader for 40 s; other controllers do. */
void faults_leader_unreached (SimCluster *cluster, double at, gboolean hold);
/* Half of the machines end without notice, and so does the process of the leader. */
void faults_half_gone (SimCluster *cluster, double at);
/* The pages of large jobs become unreadable while all controllers are away for a moment. */
void faults_unreadable_pages (SimCluster *cluster, double at);
/* The leader is cut off from state service and members until another leads; then no controller
 * is served for 50 s, and all hear one another again. */
void faults_two_leaders (SimCluster *cluster, double at);
/* A hundred machines end, a hundred hang, a quarter is cut off; the leader ends meanwhile. Then
 * all controllers end, twice, and one stands still. */
void faults_mass (SimCluster *cluster, double at);
/* Again and again the leader changes, and machines end without notice. */
void faults_leaders (SimCluster *cluster, double from, double to);
/* Each gang loses one task's machine once, while it fetches its image. */
void faults_lost_places (SimCluster *cluster, double from, double to);
/* The process of the leader ends, and is back soon. */
void faults_leader_ends (SimCluster *cluster, double at);
/* Again and again the changes that the leader has not read yet are no longer kept. */
void faults_changes_gone (SimCluster *cluster, double from, double to);
/* Controllers stand still while their clocks run on: the leader, another, or all of them. */
typedef enum { FREEZE_LEADER, FREEZE_OTHER, FREEZE_ALL } FreezeWho;
void faults_freeze (SimCluster *cluster, double at, FreezeWho who, double for_s);
/* At that time the busiest machine stops hearing what it is told. */
void faults_inbound_cut (SimCluster *cluster, double at);
