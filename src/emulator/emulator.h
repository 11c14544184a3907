/* Runs real controllers as processes on the loopback interface and connects them over HTTP to a
 * simulated cluster (tests/sim). The simulated services and workers check every rule of the
 * protocol on the messages that they receive, by the clock of this process; they cannot inspect
 * the state inside a controller. All times are in seconds since the start. Everything runs on the
 * default main context. */
#pragma once
#include "sim/messages.h"
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct Emulator Emulator;

/* The HTTP server of a simulated service (one for each controller) or of a simulated worker. */
typedef struct {
  Emulator *emulator;
  SoupServer *server;
  int node; /* controller that uses this server; -1: a worker's server, used by all controllers */
  HrTarget target;
  char *address; /* IP:PORT; a worker reports it in its heartbeats */
} EmulatorListener;

/* A controller process. */
typedef struct {
  char *front, *back;   /* IP:PORT of each listening address */
  GSocket *reserved[2]; /* bound sockets that reserve the ports of `front` and `back` */
  EmulatorListener *state, *cloud;
  char *peers[MAX_NODES]; /* IP:PORT of the relay to each other controller */
  SoupSession *session;   /* for requests of workers and users to this controller */
  GSubprocess *process;
  GSubprocess *terminating; /* the killed process, which may not have exited yet */
  char *log;                /* path of the log file */
} EmulatorNode;

struct Emulator {
  SimCluster *cluster;
  gint64 started_us; /* monotonic time, in microseconds */
  const char *daemon, *policy;
  const char *old_daemon; /* program of the controllers not upgraded yet; NULL: none */
  char *dir;              /* directory of settings and logs */
  gboolean remove_files;  /* emulator_end() deletes `dir` */
  EmulatorNode nodes[MAX_NODES];
  GPtrArray *workers;  /* EmulatorListener */
  GPtrArray *relays;   /* Relay of relay.c */
  GHashTable *pending; /* id of a call -> SoupServerMessage */
  guint64 last_call_id;
  gboolean stop;          /* makes emulator_run() return */
  double longest_gap;     /* longest time between two updates of the cluster, in seconds */
  guint kills, freezes;   /* number of times that controllers were killed and frozen */
  guint requests;         /* number of requests that the simulated servers received */
  GRand *unknown_members; /* draws members to add to every message to a controller; NULL: none */
};

/* ---- emulator.c: life cycle and clock ---- */

/**
 * emulator_prepare:
 * @emulator: zero-initialized except for the programs and the policy
 * @seed: seed of the simulated cluster
 * @nodes: number of controllers
 *
 * Creates the cluster and all addresses. The cluster's parameters may be changed until
 * emulator_begin().
 */
void emulator_prepare (Emulator *emulator, guint32 seed, int nodes);

/**
 * emulator_begin:
 *
 * Starts the controllers and the clock.
 */
void emulator_begin (Emulator *emulator);

/**
 * emulator_run:
 * @until: time at which to return, in seconds since the start
 *
 * Runs the main loop until @until, or until `stop` is set.
 */
void emulator_run (Emulator *emulator, double until);

/**
 * emulator_end:
 *
 * Kills all controllers and frees the emulator's resources. The cluster stays valid.
 */
void emulator_end (Emulator *emulator);

/**
 * emulator_catch_up:
 *
 * Advances the cluster to the present. Called before an external event is passed to the cluster.
 */
void emulator_catch_up (Emulator *emulator);

/* ---- processes.c: controllers as processes ---- */

/* Callbacks with which the cluster starts, kills and freezes controllers. */
extern const SimControllers emulator_controllers;

/**
 * emulator_processes_prepare:
 *
 * Reserves the ports and creates the relays.
 */
void emulator_processes_prepare (Emulator *emulator);

/**
 * emulator_processes_end:
 *
 * Waits until the killed processes have exited, then frees the ports and relays and, if
 * `remove_files` is set, deletes the files.
 */
void emulator_processes_end (Emulator *emulator);

/* ---- wire.c: HTTP between controllers and the simulated cluster ---- */

/**
 * emulator_wire_prepare:
 *
 * Starts the HTTP servers of the simulated services.
 */
void emulator_wire_prepare (Emulator *emulator);

/**
 * emulator_wire_end:
 *
 * Closes all servers and requests.
 */
void emulator_wire_end (Emulator *emulator);

/**
 * emulator_listen:
 * @node: the controller that uses the server; -1: any controller
 * @target: the service that the server simulates
 *
 * Returns: (transfer full): a server on a port that the kernel chose
 */
EmulatorListener *emulator_listen (Emulator *emulator, int node, HrTarget target);

/**
 * emulator_listener_free:
 *
 * Closes the server.
 */
void emulator_listener_free (EmulatorListener *listener);

/**
 * emulator_push:
 * @command: (transfer full): a request, or the result of a call
 *
 * Sends a message of the cluster to a controller.
 */
void emulator_push (SimCluster *cluster, int node, HrCommand *command);

/**
 * emulator_worker_address:
 *
 * Returns: (transfer full): IP:PORT of a new server for that machine's worker
 */
char *emulator_worker_address (SimCluster *cluster, guint machine);

/* ---- relay.c: connections between controllers, which network partitions cut ---- */

/**
 * emulator_relay:
 *
 * Creates a relay, which forwards data between two controllers.
 *
 * Returns: (transfer full): IP:PORT at which controller @from reaches controller @to
 */
char *emulator_relay (Emulator *emulator, int from, int to);

/**
 * emulator_relay_free:
 * @relay: an element of Emulator.relays
 *
 * Stops listening; open connections stay open.
 */
void emulator_relay_free (gpointer relay);

/**
 * emulator_address:
 *
 * Returns: (transfer full): IP:PORT of an address on the loopback interface
 */
char *emulator_address (GInetSocketAddress *address);
