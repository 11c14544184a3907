/* Load shedding: which of users' requests the HTTP server refuses while connections, or the memory
 * for bodies, run short. A worker without a connection loses its lease, whereas a user only has to
 * retry a little later, so only users' requests are refused. */
#pragma once
#include <glib.h>

/**
 * HrHttpServerLimits:
 * @connections: maximum number of connections; the last few are reserved for workers
 * @user_body_bytes: maximum size of the bodies of all users' requests that have no reply yet, in
 * bytes; 0: no limit
 */
typedef struct {
  guint connections;
  gsize user_body_bytes;
} HrHttpServerLimits;

/**
 * HrOverload:
 * @HR_OVERLOAD_NONE: the request can be taken
 * @HR_OVERLOAD_CONNECTIONS: nearly all connections are in use
 * @HR_OVERLOAD_MEMORY: the bodies of other requests use the memory for them
 *
 * What a user's request is refused for.
 */
typedef enum {
  HR_OVERLOAD_NONE,
  HR_OVERLOAD_CONNECTIONS,
  HR_OVERLOAD_MEMORY,
  HR_OVERLOAD_KINDS
} HrOverload;

/* The refusals of one kind. */
typedef struct {
  guint n_unlogged; /* refused since the last warning */
  gint64 logged_at; /* monotonic time of the last warning, in microseconds */
} HrOverloadLog;

/* The load of a server. */
typedef struct {
  HrHttpServerLimits limits;
  gsize user_body_bytes; /* reserved for the bodies of users' requests without a reply */
  HrOverloadLog logs[HR_OVERLOAD_KINDS];
} HrLoadShedding;

/**
 * hr_load_shedding_check:
 * @load: the load of the server
 * @connections: number of open connections
 * @body_bytes: memory that the request's body may need, in bytes
 *
 * Returns: what a user's request has to be refused for
 */
HrOverload hr_load_shedding_check (const HrLoadShedding *load, guint connections, gsize body_bytes);

/**
 * hr_load_shedding_refused:
 * @load: the load of the server
 * @overload: what a request was refused for
 *
 * Counts a refused request. Logs the number of those since the last warning, at most once in ten
 * seconds for each kind.
 */
void hr_load_shedding_refused (HrLoadShedding *load, HrOverload overload);

/**
 * hr_overload_reply:
 * @overload: what a request is refused for
 *
 * Returns: (transfer none): the JSON body of the refusal
 */
const char *hr_overload_reply (HrOverload overload);
