/* Orders that go straight to a worker's address, ahead of its next report. */
#include "coordination/agents/orders.h"
#include <string.h>

/* Seconds that a direct call waits for its answer, and that the next one to a machine waits after
 * one without. */
#define DIRECT_TIMEOUT_S 3.0
#define PAUSE_S 2.0

typedef struct {
  guint32 machine;
  guint64 fencing_token, incarnation;
  double term_began_at;
  gboolean launch;
} Direct;

static void
on_direct_answer (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  g_autofree Direct *d = data;
  HrMachine *m = c->store.tables.machines->pdata[d->machine];
  if (!c->leadership.is_leader || d->term_began_at != c->leadership.term_began_at)
    return; /* of an earlier term: its token is void */
  m->agent.direct_calls_in_flight--;
  c->metrics.counters.direct_unanswered += status != 200 && status != 409;
  c->metrics.counters.direct_refused += status == 409;
  if (status != 200)
    g_debug ("direct: machine=%s result=%s", m->name, status == 409 ? "refused" : "unanswered");
  if (status != 200 && status != 409) {
    if (d->launch && m->agent.incarnation == d->incarnation)
      m->agent.unanswered_launch_token = MAX (m->agent.unanswered_launch_token, d->fencing_token);
    m->agent.direct_paused_until = c->now + PAUSE_S;
    return;
  }
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  g_autofree char *why = NULL;
  g_autoptr (HrHeartbeat) r = hr_heartbeat_parse (text, text ? strlen (text) : 0, &why);
  if (r)
    hr_heartbeat_direct_answer (c, m, r);
}

/* Looked at again with the next step. */
static void
postpone (HrCore *c, HrMachine *m)
{
  c->agents.has_urgent_orders = TRUE;
  if (m->agent.orders_postponed)
    return;
  m->agent.orders_postponed = TRUE;
  c->metrics.counters.direct_put_off++;
  g_debug ("direct: machine=%s result=put_off out=%u pause=%.2f", m->name,
           m->agent.direct_calls_in_flight, MAX (0, m->agent.direct_paused_until - c->now));
}

static void
send_orders (HrCore *c, HrMachine *m)
{
  json_t *orders = json_array ();
  gboolean launch = hr_orders_recorded (c, m, orders, TRUE);
  if (!json_array_size (orders)) {
    json_decref (orders);
    return;
  }
  Direct *d = g_new0 (Direct, 1);
  *d = (Direct){m->index, c->leadership.fencing_token, m->agent.incarnation,
                c->leadership.term_began_at, launch};
  m->agent.direct_calls_in_flight++;
  c->metrics.counters.direct_calls++;
  g_debug ("direct: machine=%s session=%u token=%" G_GUINT64_FORMAT " stops=%u launches=%u",
           m->name, m->agent.incarnation, c->leadership.fencing_token,
           hr_orders_count (orders, "kill"), hr_orders_count (orders, "launch"));
  hr_core_call (c, HR_TO_WORKER, m->address, HR_POST, g_strdup ("/do"),
                hr_orders_text (c->leadership.fencing_token, m->agent.incarnation, orders),
                DIRECT_TIMEOUT_S, on_direct_answer, d);
}

void
hr_direct_orders_send (HrCore *c)
{
  if (!c->leadership.is_leader || !c->agents.has_urgent_orders || c->policy.direct_launch < 1)
    return;
  c->agents.has_urgent_orders = FALSE;
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (!m->agent.has_urgent_orders)
      continue;
    if (m->agent.direct_calls_in_flight || c->now < m->agent.direct_paused_until) {
      postpone (c, m);
      continue;
    }
    m->agent.has_urgent_orders = m->agent.orders_postponed = FALSE;
    if (m->state == HR_MACHINE_UP && m->address && m->agent.heard_at)
      send_orders (c, m);
  }
}
