/* Real controllers under troubles drawn from a seed: hoprockd processes on loopback, against the
 * stand-ins of the simulated cluster (tests/sim) over real HTTP. The stand-ins check every rule of
 * the protocol from what reaches them, by the clock of this process; they see nothing of the
 * controllers' insides. All times are in seconds since the run began. */
#pragma once
#include "sim/messages.h"
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct Soak Soak;

/* Requests of one controller, or to one worker, arrive here. */
typedef struct {
  Soak *soak;
  SoupServer *server;
  int node; /* that asks; -1: a worker's address, whoever leads asks */
  HrTarget target;
  char *address; /* IP:PORT; of a worker also its name for the controllers */
} SoakListener;

typedef struct {
  char *front, *back; /* IP:PORT; each port stays bound by `held`, so that nobody else gets it */
  GSocket *held[2];
  SoakListener *state, *cloud;
  char *peers[MAX_NODES]; /* where it finds the others: relays */
  GSubprocess *process;
  char *log; /* file */
} SoakNode;

struct Soak {
  World *w;
  GMainContext *context;
  gint64 began; /* microseconds of the steady clock */
  const char *daemon, *policy;
  char *dir; /* of settings and logs */
  SoakNode nodes[MAX_NODES];
  GPtrArray *workers; /* SoakListener */
  GPtrArray *relays;
  SoupSession *session;
  GHashTable *pending; /* id of a call -> SoupServerMessage */
  guint64 calls;
  double longest_gap;             /* between two steps of this program, in seconds */
  guint kills, freezes, requests; /* requests: that reached a stand-in */
};

/* Brings the world to the present: before anything of outside is handed to it. */
void soak_catch_up (Soak *s);

/* processes.c: controllers as processes. */
extern const WControllers soak_controllers;
void soak_processes_prepare (Soak *s);
/* Ends those that run; none is left behind. */
void soak_processes_end (Soak *s);

/* wire.c: HTTP between controllers and stand-ins. */
void soak_wire_prepare (Soak *s);
void soak_wire_end (Soak *s);
SoakListener *soak_listen (Soak *s, int node, HrTarget target);
void soak_listener_free (SoakListener *l);
void soak_push (World *w, int node, HrCommand *cmd);
char *soak_worker_address (World *w, guint machine);

/* relay.c: the ways between controllers, which cuts close. */
/* Returns IP:PORT where controller `from` reaches controller `to`. */
char *soak_relay (Soak *s, int from, int to);
void soak_relay_free (gpointer relay);

/* An address on loopback with a port that the kernel picked. */
char *soak_address (GInetSocketAddress *a);
