/* Orders that go straight to a worker's address, ahead of its next report. */
#include "coordination/agents/direct_orders.h"
#include "coordination/agents/heartbeats.h"
#include "coordination/agents/orders.h"
#include "coordination/effects.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
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
on_direct_answer (HrCore *core, int status, json_t *body, double sent, gpointer data)
{
  g_autofree Direct *call = data;
  HrMachine *machine = core->store.tables.machines->pdata[call->machine];
  if (!core->leadership.is_leader || call->term_began_at != core->leadership.term_began_at)
    return; /* of an earlier term: its token is void */
  machine->agent.direct_calls_in_flight--;
  core->metrics.counters.direct_unanswered += status != 200 && status != 409;
  core->metrics.counters.direct_refused += status == 409;
  if (status != 200)
    g_debug ("direct: machine=%s result=%s", machine->name,
             status == 409 ? "refused" : "unanswered");
  if (status != 200 && status != 409) {
    if (call->launch && machine->agent.incarnation == call->incarnation)
      machine->agent.unanswered_launch_token =
          MAX (machine->agent.unanswered_launch_token, call->fencing_token);
    machine->agent.direct_paused_until = core->now + PAUSE_S;
    return;
  }
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  g_autoptr (HrHeartbeat) heartbeat = hr_heartbeat_parse (text, text ? strlen (text) : 0, NULL);
  if (heartbeat)
    hr_heartbeat_direct_answer (core, machine, heartbeat);
}

/* Looked at again with the next step. */
static void
postpone (HrCore *core, HrMachine *machine)
{
  core->agents.has_urgent_orders = TRUE;
  if (machine->agent.orders_postponed)
    return;
  machine->agent.orders_postponed = TRUE;
  core->metrics.counters.direct_put_off++;
  g_debug ("direct: machine=%s result=put_off out=%u pause=%.2f", machine->name,
           machine->agent.direct_calls_in_flight,
           MAX (0, machine->agent.direct_paused_until - core->now));
}

static void
send_orders (HrCore *core, HrMachine *machine)
{
  g_autoptr (GArray) orders = hr_order_list_new ();
  gboolean launch = hr_orders_recorded (core, machine, orders, TRUE);
  if (!orders->len)
    return;
  Direct *call = g_new0 (Direct, 1);
  *call = (Direct){machine->index, core->leadership.fencing_token, machine->agent.incarnation,
                   core->leadership.term_began_at, launch};
  machine->agent.direct_calls_in_flight++;
  core->metrics.counters.direct_calls++;
  g_debug ("direct: machine=%s incarnation=%u token=%" G_GUINT64_FORMAT " stops=%u launches=%u",
           machine->name, machine->agent.incarnation, core->leadership.fencing_token,
           hr_orders_count (orders, HR_ORDER_STOP), hr_orders_count (orders, HR_ORDER_LAUNCH));
  hr_core_call (core, HR_TO_WORKER, machine->address, HR_POST, g_strdup ("/do"),
                hr_orders_text (core->leadership.fencing_token, machine->agent.incarnation, orders),
                DIRECT_TIMEOUT_S, on_direct_answer, call);
}

void
hr_direct_orders_send (HrCore *core)
{
  if (!core->leadership.is_leader || !core->agents.has_urgent_orders ||
      core->policy.direct_launch < 1)
    return;
  core->agents.has_urgent_orders = FALSE;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (!machine->agent.has_urgent_orders)
      continue;
    if (machine->agent.direct_calls_in_flight || core->now < machine->agent.direct_paused_until) {
      postpone (core, machine);
      continue;
    }
    machine->agent.has_urgent_orders = machine->agent.orders_postponed = FALSE;
    if (machine->state == HR_MACHINE_UP && machine->address && machine->agent.heard_at)
      send_orders (core, machine);
  }
}
