/* Real controllers on loopback, against the stand-ins of the simulated cluster (tests/sim) over
 * real HTTP. The stand-ins check every rule of the protocol from what reaches them, by the clock of
 * this process; they see nothing of the controllers' insides. All times are in seconds since the
 * start.
 */
#pragma once
#include "sim/messages.h"
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct Live Live;

/* Requests of one controller, or to one worker, arrive here. */
typedef struct {
  Live *live;
  SoupServer *server;
  int node; /* that asks; -1: a worker's address, whoever leads asks */
  HrTarget target;
  char *address; /* IP:PORT; of a worker also its name for the controllers */
} LiveListener;

typedef struct {
  char *front, *back; /* IP:PORT; each port stays bound by `held`, so that nobody else gets it */
  GSocket *held[2];
  LiveListener *state, *cloud;
  char *peers[MAX_NODES];        /* where it finds the others: relays */
  SoupSession *session;          /* of workers' and users' requests to it */
  GSubprocess *process, *ending; /* ending: killed, and perhaps not gone yet */
  char *log;                     /* file */
} LiveNode;

struct Live {
  World *world;
  gint64 began; /* microseconds of the steady clock */
  const char *daemon, *policy;
  const char *old_daemon; /* of controllers that are not upgraded yet; NULL: there are none */
  char *dir;              /* of settings and logs */
  gboolean remove_files;  /* and it goes at the end */
  LiveNode nodes[MAX_NODES];
  GPtrArray *workers; /* LiveListener */
  GPtrArray *relays;
  GHashTable *pending; /* id of a call -> SoupServerMessage */
  guint64 calls;
  gboolean stop;                  /* live_run is to return */
  double longest_gap;             /* between two steps of this program, in seconds */
  guint kills, freezes, requests; /* requests: that reached a stand-in */
};

/* live.c. Between live_prepare and live_begin the world's figures may be changed. */
void live_prepare (Live *live, guint32 seed, int nodes);
void live_begin (Live *live);
/* Lets the main loop run until that time. */
void live_run (Live *live, double until);
/* Ends all controllers; the world is still there to be looked at. */
void live_end (Live *live);
/* Brings the world to the present: before anything of outside is handed to it. */
void live_catch_up (Live *live);

/* processes.c: controllers as processes. */
extern const SimControllers live_controllers;
void live_processes_prepare (Live *live);
/* Ends those that run; none is left behind. */
void live_processes_end (Live *live);

/* wire.c: HTTP between controllers and stand-ins. */
void live_wire_prepare (Live *live);
void live_wire_end (Live *live);
LiveListener *live_listen (Live *live, int node, HrTarget target);
void live_listener_free (LiveListener *listener);
void live_push (World *world, int node, HrCommand *command);
char *live_worker_address (World *world, guint machine);

/* relay.c: the ways between controllers, which cuts close. */
/* Returns IP:PORT where controller `from` reaches controller `to`. */
char *live_relay (Live *live, int from, int to);
void live_relay_free (gpointer relay);

/* An address on loopback with a port that the kernel picked. */
char *live_address (GInetSocketAddress *address);
