/* Reports of workers and the orders they get. */
#include "coordination/state.h"
#include "protocol/jsonx.h"
#include <string.h>

/* Ended attempts that a worker may hold before the baton is raised to clear them. */
#define MAX_KEPT 12

/* Fills in what a machine is and where; FALSE while its type is not known. */
static gboolean
describe (HrCore *c, HrMachine *m, const HrReport *r)
{
  guint32 type = hr_intern_find (&c->names->types, r->type);
  const HrType *t = type == HR_NONE ? NULL : hr_type_by_name (c, type);
  if (!t)
    return FALSE;
  hr_machine_describe (m, t, hr_intern (&c->names->zones, r->zone), r->spot);
  if (g_strcmp0 (m->addr, r->addr) != 0) {
    g_free (m->addr);
    m->addr = g_strdup (r->addr);
  }
  return TRUE;
}

static gboolean
launchable (const HrCore *c, const HrJob *j, const HrTask *t)
{
  /* What an earlier owner recorded is not launched: it may have ended and made
   * place for others since. It is seen on its machine, or proven gone. */
  return j->stance == HR_QUEUED && !hr_job_waits (j) && !t->kill && !t->inherited &&
         (j->spec.shape != HR_GANG ||
          (!j->gang_over && hr_gang_ready (j) && !hr_gang_holds_back (c, j, t)));
}

/* While the state service refuses this owner alone, others confirm withdrawals that it cannot read:
 * it launches nothing. What is recorded may wait for long, a gang's task for others' fetches. In
 * an outage for all nobody confirms any. */
static gboolean
may_launch (const HrCore *c)
{
  return hr_follow_served (c) || hr_leader_outage_for_all (c);
}

/* The order is about to be sent. why: of a stop, else NULL. */
static void
log_order (HrCore *c, const char *order, const char *job, guint32 task, guint32 attempt,
           const HrMachine *m, gboolean direct, const char *why)
{
  g_debug ("%s: task=%s/%u try=%u machine=%s session=%u way=%s%s%s", order, job, task, attempt,
           m->name, m->session, direct ? "direct" : "answer", why ? " why=" : "", why ? why : "");
}

static const char *
stop_reason (const HrJob *j)
{
  return j->stance == HR_WITHDRAWN ? "withdrawn" : j->gang_over ? "gang_over" : "wanted";
}

/* Orders for what is recorded on this machine. Returns whether a launch is among them. */
static gboolean
orders_for (HrCore *c, HrMachine *m, json_t *orders, gboolean direct)
{
  gboolean launch = FALSE, may = may_launch (c);
  for (guint i = 0; i < m->tasks->len; i++) {
    HrRef r = g_array_index (m->tasks, HrRef, i);
    HrJob *j = c->jobs->pdata[r.job];
    HrTask *t = &j->tasks[r.task];
    if (t->state != HR_T_BOUND || t->session != m->session)
      continue;
    if (may && t->shown == HR_NOT_SHOWN && launchable (c, j, t)) {
      hr_order_launch (orders, j->id, r.task, t->try);
      c->counters.starts++;
      log_order (c, "start", j->id, r.task, t->try, m, direct, NULL);
      if (direct)
        hr_absence_note_direct (m, r.job, r.task, t->try, c->baton);
      launch = TRUE;
    } else if (t->kill && (!direct || c->now - t->killed_at > 1)) {
      if (!t->killed_at)
        t->killed_at = c->now;
      /* A save that takes far longer than said is ended. */
      gboolean overdue = c->now - t->killed_at > t->grace + 10;
      if (t->shown != HR_W_FLUSHING || overdue || t->grace == 0) {
        hr_order_kill (orders, j->id, r.task, t->try, overdue ? 0 : t->grace);
        c->counters.stops++;
        log_order (c, "stop", j->id, r.task, t->try, m, direct, stop_reason (j));
      }
    }
  }
  return launch;
}

static HrTask *
match (HrCore *c, HrMachine *m, const HrWorkItem *it, HrJob **job)
{
  HrJob *j = hr_job_find (c, it->job);
  *job = j;
  if (!j || !j->tasks || it->task >= j->ntasks)
    return NULL;
  HrTask *t = &j->tasks[it->task];
  return t->machine == m->idx && t->session == m->session && t->try == it->attempt ? t : NULL;
}

/* The item shows that the machine has the task's image. One that was stopped, or refused,
 * may have ended before that: the fetch is given up with it. */
static gboolean
had_image (const HrWorkItem *it)
{
  if (it->state == HR_W_EXITED)
    return it->cause == HR_X_DONE || it->cause == HR_X_INCOMPLETE || it->cause == HR_X_PEERS;
  return it->state != HR_W_FETCHING;
}

static void
exited (HrCore *c, HrJob *j, const HrWorkItem *it)
{
  if (it->cause == HR_X_DONE && j->stance == HR_QUEUED)
    hr_task_done (c, j, it->task);
  else
    hr_task_gone (c, j, it->task, it->cause, hr_exit_name (it->cause));
}

static void
report_foreign (HrCore *c, HrMachine *m, HrJob *j, const HrWorkItem *it, json_t *orders,
                guint *kept)
{
  if (it->state == HR_W_EXITED) {
    if (hr_absence_may_clear (c, m, j ? j->idx : HR_NONE, it->task, it->attempt)) {
      hr_order_clear (orders, it->job, it->task, it->attempt);
      c->counters.clears++;
      log_order (c, "clear", it->job, it->task, it->attempt, m, FALSE, NULL);
    } else if (++*kept >= MAX_KEPT)
      hr_leader_raise (c, "a worker holds many ended attempts that cannot be cleared yet");
    return;
  }
  /* It takes room until it is gone. */
  if (j && j->known && j->ntasks) {
    m->foreign_cpus += j->spec.cpus;
    m->foreign_gpus += j->spec.gpus;
    m->foreign_mem += j->spec.mem;
  }
  hr_order_kill (orders, it->job, it->task, it->attempt, 0);
  c->counters.stops++;
  log_order (c, "stop", it->job, it->task, it->attempt, m, FALSE,
             j && j->stance == HR_WITHDRAWN ? "withdrawn" : "not_recorded_here");
}

/* Takes in a worker's task list. full: a report, whose silence about a task counts. */
static void
take_items (HrCore *c, HrMachine *m, const HrReport *r, gboolean full, json_t *orders)
{
  g_autoptr (GArray) before = g_array_copy (m->tasks);
  g_autoptr (GHashTable) seen = g_hash_table_new (g_direct_hash, g_direct_equal);
  guint kept = 0;
  m->foreign_cpus = m->foreign_gpus = m->foreign_mem = 0;
  for (guint i = 0; i < r->items->len; i++) {
    HrWorkItem *it = &g_array_index (r->items, HrWorkItem, i);
    HrJob *j;
    HrTask *t = match (c, m, it, &j);
    if (t && t->state == HR_T_BOUND) {
      g_hash_table_add (seen, t);
      t->inherited = 0;
      /* Records tell a new owner where an image should be; one that is still being fetched
       * at the second look is not there. */
      if (it->state == HR_W_FETCHING && t->shown == HR_W_FETCHING)
        hr_machine_forget_image (m, j->spec.image);
      if (t->shown != it->state)
        c->plan_dirty = TRUE;
      t->shown = it->state;
      if (it->state == HR_W_RUNNING && !t->ran_at) {
        t->ran_at = c->now;
        g_debug ("%s/%u runs on %s", j->id, it->task, m->name);
      }
      if (had_image (it))
        hr_machine_touch_image (m, j->spec.image);
      if (it->state == HR_W_EXITED)
        exited (c, j, it);
      continue;
    }
    if (t && t->state == HR_T_DONE && !t->rdone && !j->shrunk)
      continue; /* its ending is still to be recorded: no clear before that */
    if (t && t->state == HR_T_ASSIGNING)
      continue;
    report_foreign (c, m, j, it, orders, &kept);
  }
  if (!full)
    return;
  gboolean proof = hr_absence_orders_settled (m) && r->token >= c->baton;
  for (guint i = 0; i < before->len; i++) {
    HrRef ref = g_array_index (before, HrRef, i);
    HrJob *j = c->jobs->pdata[ref.job];
    HrTask *t = j->tasks ? &j->tasks[ref.task] : NULL;
    if (!t || t->state != HR_T_BOUND || t->machine != m->idx || t->session != m->session ||
        g_hash_table_contains (seen, t))
      continue;
    t->shown = HR_NOT_SHOWN;
    if (j->stance == HR_QUEUED && !t->kill && !t->inherited && !j->gang_over)
      continue; /* it is launched (again) where it is recorded */
    if (proof)
      hr_task_gone (c, j, ref.task, HR_X_NONE, "its worker's report lacks it");
    else if (m->do_lost)
      hr_leader_raise (c, "an order to a worker got no answer");
  }
}

static void
notice (HrCore *c, HrMachine *m, const HrReport *r)
{
  if (r->notice < 0)
    return;
  if (!m->notice_at)
    g_info ("%s will be taken in about %.0f s", m->name, r->notice);
  m->notice_at = c->now + r->notice;
  m->drain = TRUE;
  for (guint i = 0; i < m->tasks->len; i++) {
    HrRef ref = g_array_index (m->tasks, HrRef, i);
    HrJob *j = c->jobs->pdata[ref.job];
    HrTask *t = &j->tasks[ref.task];
    if (t->state != HR_T_BOUND || t->kill)
      continue;
    if (j->spec.shape == HR_GANG) {
      hr_gang_end (c, j, j->spec.save + 1);
      continue;
    }
    double est = hr_estimate (c, j, m);
    double left = t->ran_at ? est - (c->now - t->ran_at) : est;
    /* What ends in time is left alone; what saves is stopped while it still
     * can; the rest is moved at once. */
    if (left < r->notice * 0.7)
      continue;
    if (j->spec.checkpoint > 0 && r->notice > j->spec.save + 4 && t->shown == HR_W_RUNNING)
      hr_task_stop (c, j, ref.task, j->spec.save + 1);
    else
      hr_task_stop (c, j, ref.task, 0);
  }
}

static void
adopt (HrCore *c, HrMachine *m)
{
  if (m->state == HR_M_GONE) {
    g_info ("%s reports and was not expected; it is taken on", m->name);
    hr_fleet_add (c, m);
  } else if (m->state == HR_M_BOOTING)
    g_info ("%s is up after %.0f s", m->name, c->now - m->rented_at);
  m->state = HR_M_UP;
  m->idle_at = m->tasks->len ? 0 : c->now;
  c->plan_dirty = TRUE;
}

/* machine: NULL where the report was not read. */
static void
log_refusal (const HrCore *c, const char *machine, const char *reason)
{
  g_debug ("refused: machine=%s reason=%s leads=%d token=%" G_GUINT64_FORMAT " reading_age=%.2f",
           machine ? machine : "-", reason, c->leads, c->baton, c->now - c->confirmed_at);
}

/* Not entitled to act for the controllers: the worker is sent to the one that is, if known. */
static void
send_elsewhere (HrCore *c, HrCommand *cmd)
{
  gboolean known = FALSE;
  for (guint i = 0; i < c->set->members->len; i++)
    known |= g_strcmp0 (g_array_index (c->set->members, HrMember, i).label, c->map_owner) == 0;
  if (c->leads || !known)
    hr_refuse (c, cmd->id, 503, 0, "this node may not act for the controllers now");
  else
    hr_reply (c, cmd->id, 421, json_pack ("{ss}", "foreman", c->map_owner), 0);
}

typedef enum { KIND_CURRENT, KIND_OVERTAKEN, KIND_BEFORE_TOKEN } AnswerKind;

static const char *const kind_names[] = {"current", "overtaken", "before_token"};

static guint
count_orders (json_t *orders, const char *verb)
{
  guint n = 0;
  size_t i;
  json_t *order;
  json_array_foreach (orders, i, order) n += g_strcmp0 (hr_json_str (order, "verb"), verb) == 0;
  return n;
}

static void
log_answer (const HrCore *c, const HrMachine *m, const HrReport *r, AnswerKind kind, json_t *orders)
{
  if (kind == KIND_CURRENT && !json_array_size (orders))
    return;
  g_debug ("answer: machine=%s kind=%s seq=%" G_GUINT64_FORMAT " session=%" G_GUINT64_FORMAT
           " token=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT
           " tasks=%u stops=%u launches=%u clears=%u",
           m->name, kind_names[kind], r->seq, r->session, c->baton, r->token, r->items->len,
           count_orders (orders, "kill"), count_orders (orders, "launch"),
           count_orders (orders, "clear"));
}

/* Takes orders. */
static void
answer_report (HrCore *c, HrCommand *cmd, const HrMachine *m, const HrReport *r, AnswerKind kind,
               json_t *orders)
{
  c->counters.reports_answered += kind == KIND_CURRENT;
  c->counters.reports_overtaken += kind == KIND_OVERTAKEN;
  c->counters.reports_before_token += kind == KIND_BEFORE_TOKEN;
  log_answer (c, m, r, kind, orders);
  hr_reply (c, cmd->id, 200, json_pack ("{sIso}", "baton", (json_int_t)c->baton, "orders", orders),
            0);
}

static void
begin_session (HrCore *c, HrMachine *m, guint32 session)
{
  /* A session that ends within a lease of our answer shows that the answer was not
   * received: reports come from there, but nothing that we say arrives. Once may also be
   * a report that a cut held back; such ones come in a bunch, not a lease apart. */
  gboolean unreceived = m->answered_at && c->now - m->answered_at < c->set->lease_s - 1;
  if (unreceived && m->unreceived_at && c->now - m->unreceived_at > c->set->lease_s / 2)
    m->deaf_at = c->now;
  if (!unreceived || !m->unreceived_at || c->now - m->unreceived_at > c->set->lease_s / 2)
    m->unreceived_at = unreceived ? c->now : 0;
  m->reply_launch = m->do_lost = 0; /* orders of the old session are void */
  m->session = session;
  g_array_set_size (m->direct, 0);
}

void
hr_workers_hello (HrCore *c, HrCommand *cmd)
{
  if (cmd->method != HR_POST) {
    hr_refuse (c, cmd->id, 405, 0, "use POST");
    return;
  }
  c->contact_count++;
  if (!hr_leader_may_answer (c)) {
    c->counters.reports_refused_not_entitled++;
    log_refusal (c, NULL, c->leads ? "reading_too_old" : "not_leader");
    send_elsewhere (c, cmd);
    return;
  }
  gsize len = 0;
  const char *data = cmd->body ? g_bytes_get_data (cmd->body, &len) : NULL;
  g_autofree char *why = NULL;
  g_autoptr (HrReport) r = hr_report_parse (data, len, &why);
  if (!r) {
    g_info ("a report was dropped: %s", why);
    c->counters.reports_malformed++;
    hr_refuse (c, cmd->id, 400, 0, why);
    return;
  }
  if (r->token > c->baton) {
    g_info ("%s has seen baton %" G_GUINT64_FORMAT ", ours is older", r->machine, r->token);
    c->counters.reports_refused_token++;
    log_refusal (c, r->machine, "newer_token");
    hr_refuse (c, cmd->id, 503, 0, "a newer baton is about");
    return;
  }
  HrMachine *m = hr_machine_get (c, r->machine);
  if (m->state == HR_M_DELETING || (m->state == HR_M_GONE && m->deleted) ||
      r->session < m->session || !describe (c, m, r)) {
    c->counters.reports_refused_machine++;
    log_refusal (c, r->machine, "returned_or_unknown");
    hr_refuse (c, cmd->id, 503, 0, "this machine is being returned, or not known yet");
    return;
  }
  json_t *orders = json_array ();
  if (r->session == m->session && r->seq <= m->seq) {
    /* Overtaken by a newer list, of an answer to /do perhaps, or a late copy: nothing in
     * it counts. Should the worker still wait for this answer, its lease counts from when
     * it sent the report, which was before the newer list came to us. */
    m->answered_at = MAX (m->answered_at, m->seq_at);
    answer_report (c, cmd, m, r, KIND_OVERTAKEN, orders);
    return;
  }
  if (r->session > m->session)
    begin_session (c, m, r->session);
  /* Not only when the session moves on: a new owner may know the session from
   * before, and read older ones in the records. */
  hr_absence_sessions (c, m, m->session - 1, "its worker is in a later session");
  m->seq = r->seq;
  m->seq_at = c->now;
  m->token = MAX (m->token, r->token);
  if (r->token < c->led_baton && !(m->state == HR_M_BOOTING && m->rented_here)) {
    /* Sent before the worker heard from this owner, how long ago nobody knows: it may be
     * a late copy of a machine that is gone. Only its order counts. A worker that is
     * there gets our token now, and reports again at once because of it. */
    m->answered_at = c->now;
    answer_report (c, cmd, m, r, KIND_BEFORE_TOKEN, orders);
    return;
  }
  if (m->state != HR_M_UP || !m->heard_at)
    adopt (c, m);
  m->heard_at = c->now;
  if (r->seq > m->reply_launch)
    m->reply_launch = 0;
  if (r->token > m->do_lost)
    m->do_lost = 0;
  take_items (c, m, r, TRUE, orders);
  if (!hr_follow_served (c) && hr_absence_withdrawn_may_start (c, m)) {
    /* No newer token is to be had to make that launch void: the end of the session does. */
    json_decref (orders);
    c->counters.reports_refused_order++;
    log_refusal (c, r->machine, "order_may_come");
    hr_refuse (c, cmd->id, 503, 0, "an order to this worker may still come");
    return;
  }
  notice (c, m, r);
  if (orders_for (c, m, orders, FALSE))
    m->reply_launch = r->seq;
  m->answered_at = c->now;
  answer_report (c, cmd, m, r, KIND_CURRENT, orders);
}

typedef struct {
  guint32 machine;
  guint64 baton, session;
  double led_at;
  gboolean launch;
} Direct;

static void
on_direct (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  g_autofree Direct *d = data;
  HrMachine *m = c->machines->pdata[d->machine];
  if (!c->leads || d->led_at != c->led_at)
    return; /* of an earlier term: its token is void */
  m->do_out--;
  c->counters.direct_unanswered += status != 200 && status != 409;
  c->counters.direct_refused += status == 409;
  if (status != 200)
    g_debug ("direct: machine=%s result=%s", m->name, status == 409 ? "refused" : "unanswered");
  if (status != 200 && status != 409) {
    if (d->launch && m->session == d->session)
      m->do_lost = MAX (m->do_lost, d->baton);
    m->do_pause = c->now + 2;
    return;
  }
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  g_autofree char *why = NULL;
  g_autoptr (HrReport) r = hr_report_parse (text, text ? strlen (text) : 0, &why);
  if (!r || strcmp (r->machine, m->name) != 0 || m->state != HR_M_UP || r->session != m->session ||
      r->seq <= m->seq)
    return;
  m->seq = r->seq;
  m->seq_at = c->now;
  m->token = MAX (m->token, r->token);
  json_t *orders = json_array ();
  take_items (c, m, r, FALSE, orders); /* its orders go out with the next report's answer */
  json_decref (orders);
}

void
hr_workers_send (HrCore *c)
{
  if (!c->leads || !c->urgent || c->pol.direct_launch < 1)
    return;
  c->urgent = FALSE;
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    if (!m->urgent)
      continue;
    if (m->do_out || c->now < m->do_pause) {
      if (!m->put_off) {
        c->counters.direct_put_off++;
        g_debug ("direct: machine=%s result=put_off out=%u pause=%.2f", m->name, m->do_out,
                 MAX (0, m->do_pause - c->now));
      }
      m->put_off = TRUE;
      c->urgent = TRUE; /* looked at again with the next step */
      continue;
    }
    m->urgent = m->put_off = FALSE;
    if (m->state != HR_M_UP || !m->addr || !m->heard_at)
      continue;
    json_t *orders = json_array ();
    gboolean launch = orders_for (c, m, orders, TRUE);
    if (!json_array_size (orders)) {
      json_decref (orders);
      continue;
    }
    Direct *d = g_new0 (Direct, 1);
    *d = (Direct){m->idx, c->baton, m->session, c->led_at, launch};
    m->do_out++;
    c->counters.direct_calls++;
    g_debug ("direct: machine=%s session=%u token=%" G_GUINT64_FORMAT " stops=%u launches=%u",
             m->name, m->session, c->baton, count_orders (orders, "kill"),
             count_orders (orders, "launch"));
    hr_call (c, HR_TO_WORKER, m->addr, HR_POST, g_strdup ("/do"),
             hr_orders_text (c->baton, m->session, orders), 3, on_direct, d);
  }
}
