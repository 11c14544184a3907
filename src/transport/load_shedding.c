#include "transport/load_shedding.h"

/* While more than this share of the connections is in use, users' requests are refused. */
#define OVERLOAD_SHARE 0.94
/* Minimum time between two warnings about refused requests of one kind. */
#define LOG_INTERVAL_S 10

static const char *const replies[HR_OVERLOAD_KINDS] = {
    [HR_OVERLOAD_NONE] = "{}",
    [HR_OVERLOAD_CONNECTIONS] = "{\"error\":\"this node has hardly a free socket; ask again\"}",
    [HR_OVERLOAD_MEMORY] = "{\"error\":\"this node has no memory for more requests; ask again\"}",
};

const char *
hr_overload_reply (HrOverload overload)
{
  return replies[overload];
}

HrOverload
hr_load_shedding_check (const HrLoadShedding *load, guint connections, gsize body_bytes)
{
  const HrHttpServerLimits *limits = &load->limits;
  if (connections > limits->connections * OVERLOAD_SHARE)
    return HR_OVERLOAD_CONNECTIONS;
  if (body_bytes && limits->user_body_bytes &&
      load->user_body_bytes + body_bytes > limits->user_body_bytes)
    return HR_OVERLOAD_MEMORY;
  return HR_OVERLOAD_NONE;
}

static void
log_refusals (const HrHttpServerLimits *limits, HrOverload overload, guint n_refused)
{
  if (overload == HR_OVERLOAD_CONNECTIONS)
    g_warning ("nearly all of %u connections are in use: refused %u user requests",
               limits->connections, n_refused);
  else
    g_warning ("bodies of requests use the %zu bytes for them: refused %u user requests",
               limits->user_body_bytes, n_refused);
}

void
hr_load_shedding_refused (HrLoadShedding *load, HrOverload overload)
{
  HrOverloadLog *log = &load->logs[overload];
  gint64 now = g_get_monotonic_time ();
  log->n_unlogged++;
  if (now - log->logged_at <= (gint64)LOG_INTERVAL_S * G_USEC_PER_SEC)
    return;
  log_refusals (&load->limits, overload, log->n_unlogged);
  log->logged_at = now;
  log->n_unlogged = 0;
}
