#include "coordination/agents/direct_orders.h"
#include "coordination/agents/heartbeats.h"
#include "coordination/agents/orders.h"
#include "coordination/effects.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
#include "protocol/worker.h"

/* Seconds until a direct call times out. */
#define DIRECT_TIMEOUT_S 3.0
/* Seconds between an unanswered call to a machine and the next call to it. */
#define RETRY_PAUSE_S 2.0

/* HTTP statuses of the answer. A worker refuses a call because of its token or incarnation. */
#define STATUS_OK 200
#define STATUS_REFUSED 409

/* A direct call that has no answer yet, with the state of leader and worker when it was made. */
typedef struct {
  guint32 machine;
  guint64 fencing_token, incarnation;
  double term_began_at;
  gboolean has_launch;
} DirectCall;

/* How the urgent orders of a machine are delivered. */
typedef enum {
  DIRECT_SEND,
  DIRECT_POSTPONE,    /* an earlier call is in flight, or went unanswered a moment ago */
  DIRECT_NOT_POSSIBLE /* only with the answer to the next heartbeat: its worker cannot be called */
} DirectVerdict;

static DirectVerdict
direct_verdict (const HrCore *core, const HrMachine *machine)
{
  if (machine->agent.direct_calls_in_flight || core->now < machine->agent.direct_paused_until)
    return DIRECT_POSTPONE;
  if (machine->state == HR_MACHINE_UP && machine->address && machine->agent.last_heartbeat_at)
    return DIRECT_SEND;
  return DIRECT_NOT_POSSIBLE;
}

/* Applies the list of tasks in a worker's answer or refusal. */
static void
apply_answer (HrCore *core, HrMachine *machine, json_t *body)
{
  g_autoptr (HrHeartbeat) answer = hr_heartbeat_read (body, NULL);
  if (answer)
    hr_heartbeat_direct_answer_received (core, machine, answer);
}

/* Records a call that the worker may have carried out, or may still carry out. */
static void
record_unanswered_call (HrCore *core, HrMachine *machine, const DirectCall *call)
{
  HrMachineAgent *agent = &machine->agent;
  if (call->has_launch && agent->incarnation == call->incarnation)
    agent->unanswered_launch_token = MAX (agent->unanswered_launch_token, call->fencing_token);
  agent->direct_paused_until = core->now + RETRY_PAUSE_S;
}

static void
on_direct_answer (HrCore *core, int status, json_t *body, double sent_at G_GNUC_UNUSED,
                  gpointer data)
{
  g_autofree DirectCall *call = data;
  HrMachine *machine = core->store.tables.machines->pdata[call->machine];
  if (!core->leadership.is_leader || call->term_began_at != core->leadership.term_began_at)
    return; /* the call is of an earlier term: its token is void */
  gboolean is_refused = status == STATUS_REFUSED;
  gboolean is_answered = status == STATUS_OK || is_refused;
  machine->agent.direct_calls_in_flight--;
  core->metrics.counters.direct_unanswered += !is_answered;
  core->metrics.counters.direct_refused += is_refused;
  if (status != STATUS_OK)
    g_debug ("direct: machine=%s result=%s", machine->name, is_refused ? "refused" : "unanswered");
  if (is_answered)
    apply_answer (core, machine, body);
  else
    record_unanswered_call (core, machine, call);
}

/* Leaves the machine's urgent orders to a later step of the core. */
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
  gboolean has_launch = hr_orders_append_recorded (core, machine, orders, TRUE);
  if (!orders->len)
    return;
  DirectCall *call = g_new0 (DirectCall, 1);
  *call = (DirectCall){machine->index, core->leadership.fencing_token, machine->agent.incarnation,
                       core->leadership.term_began_at, has_launch};
  machine->agent.direct_calls_in_flight++;
  core->metrics.counters.direct_calls++;
  g_debug ("direct: machine=%s incarnation=%" G_GUINT64_FORMAT " token=%" G_GUINT64_FORMAT
           " stops=%u launches=%u",
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
