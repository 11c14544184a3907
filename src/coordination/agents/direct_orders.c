#include "coordination/agents/direct_orders.h"
#include "coordination/agents/heartbeats.h"
#include "coordination/agents/orders.h"
#include "coordination/effects.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
#include "protocol/worker.h"
#include <string.h>

/* Seconds that a direct call waits for its answer. */
#define DIRECT_TIMEOUT_S 3.0
/* Seconds that the next call to a machine waits after one without an answer. */
#define PAUSE_S 2.0

/* HTTP statuses of the answer. A worker refuses a call for its token or incarnation. */
#define STATUS_OK 200
#define STATUS_REFUSED 409

/* A direct call that has no answer yet, and what was so when it was made. */
typedef struct {
  guint32 machine;
  guint64 fencing_token, incarnation;
  double term_began_at;
  gboolean has_launch;
} DirectCall;

/* What becomes of a machine's urgent orders. */
typedef enum {
  DIRECT_SEND,
  DIRECT_POSTPONE, /* an earlier call has no answer yet, or had none a moment ago */
  DIRECT_LEAVE     /* to the answer to its next report: it cannot be called */
} DirectVerdict;

static DirectVerdict
direct_verdict (const HrCore *core, const HrMachine *machine)
{
  if (machine->agent.direct_calls_in_flight || core->now < machine->agent.direct_paused_until)
    return DIRECT_POSTPONE;
  if (machine->state == HR_MACHINE_UP && machine->address && machine->agent.heard_at)
    return DIRECT_SEND;
  return DIRECT_LEAVE;
}

/* The call was answered, or refused, with the worker's list of tasks. */
static void
take_answer (HrCore *core, HrMachine *machine, const json_t *body)
{
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  g_autoptr (HrHeartbeat) answer = hr_heartbeat_parse (text, text ? strlen (text) : 0, NULL);
  if (answer)
    hr_heartbeat_direct_answer (core, machine, answer);
}

/* The call may have been carried out, or may yet be. */
static void
note_unanswered (HrCore *core, HrMachine *machine, const DirectCall *call)
{
  HrMachineAgent *agent = &machine->agent;
  if (call->has_launch && agent->incarnation == call->incarnation)
    agent->unanswered_launch_token = MAX (agent->unanswered_launch_token, call->fencing_token);
  agent->direct_paused_until = core->now + PAUSE_S;
}

static void
on_direct_answer (HrCore *core, int status, json_t *body, double sent_at G_GNUC_UNUSED,
                  gpointer data)
{
  g_autofree DirectCall *call = data;
  HrMachine *machine = core->store.tables.machines->pdata[call->machine];
  if (!core->leadership.is_leader || call->term_began_at != core->leadership.term_began_at)
    return; /* of an earlier term: its token is void */
  gboolean is_refused = status == STATUS_REFUSED;
  gboolean is_answered = status == STATUS_OK || is_refused;
  machine->agent.direct_calls_in_flight--;
  core->metrics.counters.direct_unanswered += !is_answered;
  core->metrics.counters.direct_refused += is_refused;
  if (status != STATUS_OK)
    g_debug ("direct: machine=%s result=%s", machine->name, is_refused ? "refused" : "unanswered");
  if (is_answered)
    take_answer (core, machine, body);
  else
    note_unanswered (core, machine, call);
}

/* The machine is looked at again with the next step. */
static void
postpone (HrCore *core, HrMachine *machine)
{
  core->agents.has_urgent_orders = TRUE;
  if (machine->agent.orders_postponed)
    return;
  machine->agent.orders_postponed = TRUE;
  core->metrics.counters.direct_postponed++;
  g_debug ("direct: machine=%s result=put_off out=%u pause=%.2f", machine->name,
           machine->agent.direct_calls_in_flight,
           MAX (0, machine->agent.direct_paused_until - core->now));
}

static void
send_orders (HrCore *core, HrMachine *machine)
{
  g_autoptr (GArray) orders = hr_order_list_new ();
  gboolean has_launch = hr_orders_recorded (core, machine, orders, TRUE);
  if (!orders->len)
    return;
  DirectCall *call = g_new0 (DirectCall, 1);
  *call = (DirectCall){machine->index, core->leadership.fencing_token, machine->agent.incarnation,
                       core->leadership.term_began_at, has_launch};
  machine->agent.direct_calls_in_flight++;
  core->metrics.counters.direct_calls++;
  g_debug ("direct: machine=%s incarnation=%u token=%" G_GUINT64_FORMAT " stops=%u launches=%u",
           machine->name, machine->agent.incarnation, core->leadership.fencing_token,
           hr_orders_count (orders, HR_ORDER_STOP), hr_orders_count (orders, HR_ORDER_LAUNCH));
  char *body = hr_orders_text (core->leadership.fencing_token, machine->agent.incarnation, orders);
  hr_core_call (core, HR_TO_WORKER, machine->address, HR_POST, g_strdup (HR_WORKER_ORDERS_PATH),
                body, DIRECT_TIMEOUT_S, on_direct_answer, call);
}

static void
handle_urgent_orders (HrCore *core, HrMachine *machine)
{
  DirectVerdict verdict = direct_verdict (core, machine);
  if (verdict == DIRECT_POSTPONE) {
    postpone (core, machine);
    return;
  }
  machine->agent.has_urgent_orders = FALSE;
  machine->agent.orders_postponed = FALSE;
  if (verdict == DIRECT_SEND)
    send_orders (core, machine);
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
    if (machine->agent.has_urgent_orders)
      handle_urgent_orders (core, machine);
  }
}
