/* Real controllers on the loopback interface, with a simulated cluster (tests/sim) around them over
 * real HTTP. The simulated services and workers check every rule of the protocol on what reaches
 * them, by the clock of this process; they do not see the insides of a controller. All times are in
 * seconds since the start. Everything runs on the default main context. */
#pragma once
#include "sim/messages.h"
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct Live Live;

/* A simulated server: a service for one controller, or one worker. */
typedef struct {
  Live *live;
  SoupServer *server;
  int node; /* the controller that uses it; -1: of a worker, any controller may */
  HrTarget target;
  char *address; /* IP:PORT; a worker names it in its heartbeats */
} LiveListener;

/* A controller. */
typedef struct {
  char *front, *back; /* IP:PORT; each port is reserved by a socket of `held` */
  GSocket *held[2];
  LiveListener *state, *cloud;
  char *peers[MAX_NODES];        /* IP:PORT of the relay to each other one */
  SoupSession *session;          /* for workers' and users' requests to it */
  GSubprocess *process, *ending; /* ending: killed, perhaps still ending */
  char *log;                     /* path of its log */
} LiveNode;

struct Live {
  SimCluster *cluster;
  gint64 began; /* steady clock, microseconds */
  const char *daemon, *policy;
  const char *old_daemon; /* program of controllers not upgraded yet; NULL: none */
  char *dir;              /* directory of settings and logs */
  gboolean remove_files;  /* delete `dir` at the end */
  LiveNode nodes[MAX_NODES];
  GPtrArray *workers; /* LiveListener */
  GPtrArray *relays;
  GHashTable *pending; /* id of a call -> SoupServerMessage */
  guint64 calls;
  gboolean stop;                  /* live_run has to return */
  double longest_gap;             /* between two steps of this program, in seconds */
  guint kills, freezes, requests; /* requests: to simulated servers */
};

/* ---- live.c ---- */

/**
 * live_prepare:
 * @live: zeroed, but for the programs and the policy
 * @seed: of the simulated cluster
 * @nodes: number of controllers
 *
 * Makes the cluster and all addresses. Until live_begin() the cluster's parameters may be changed.
 */
void live_prepare (Live *live, guint32 seed, int nodes);

/**
 * live_begin:
 *
 * Starts the controllers and the clock.
 */
void live_begin (Live *live);

/**
 * live_run:
 *
 * Runs the main loop until that time, or until `stop` is set.
 */
void live_run (Live *live, double until);

/**
 * live_end:
 *
 * Ends all controllers. The cluster can still be examined.
 */
void live_end (Live *live);

/**
 * live_catch_up:
 *
 * Advances the cluster to the present. Called before anything from outside is handed to it.
 */
void live_catch_up (Live *live);

/* ---- processes.c: controllers as processes ---- */

/* For the cluster, which starts, kills and freezes controllers. */
extern const SimControllers live_controllers;

/**
 * live_processes_prepare:
 *
 * Reserves the ports and makes the relays.
 */
void live_processes_prepare (Live *live);

/**
 * live_processes_end:
 *
 * Waits for killed processes and frees ports, relays and, if wanted, files.
 */
void live_processes_end (Live *live);

/* ---- wire.c: HTTP between controllers and the simulated cluster ---- */

/**
 * live_wire_prepare:
 *
 * Starts the services' servers.
 */
void live_wire_prepare (Live *live);

/**
 * live_wire_end:
 *
 * Closes all servers and requests.
 */
void live_wire_end (Live *live);

/**
 * live_listen:
 * @node: the controller that uses the server; -1: any
 * @target: what it simulates
 *
 * Returns: (transfer full): a server on a port that the kernel picked
 */
LiveListener *live_listen (Live *live, int node, HrTarget target);

/**
 * live_listener_free:
 *
 * Closes the server.
 */
void live_listener_free (LiveListener *listener);

/**
 * live_push:
 * @command: (transfer full): a request, or the result of a call
 *
 * Sends what the cluster delivers to a controller.
 */
void live_push (SimCluster *cluster, int node, HrCommand *command);

/**
 * live_worker_address:
 *
 * Returns: (transfer full): IP:PORT of a new server for that machine's worker
 */
char *live_worker_address (SimCluster *cluster, guint machine);

/* ---- relay.c: connections between controllers, which network partitions cut ---- */

/**
 * live_relay:
 *
 * Returns: (transfer full): IP:PORT where controller @from reaches controller @to
 */
char *live_relay (Live *live, int from, int to);

/**
 * live_relay_free:
 * @relay: an element of Live.relays
 *
 * Stops listening; open connections stay.
 */
void live_relay_free (gpointer relay);

/**
 * live_address:
 *
 * Returns: (transfer full): IP:PORT of an address on the loopback interface
 */
char *live_address (GInetSocketAddress *address);
