#include "coordination/metrics/metrics.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/memory_budget.h"
#include "coordination/leadership/leadership.h"
#include "coordination/state.h"

static void
append_counters (const HrCore *core, GString *text)
{
#define X(field, name, help)                                                                       \
  g_string_append_printf (text,                                                                    \
                          "# HELP hoprock_" #name "_total " help "\n"                              \
                          "# TYPE hoprock_" #name "_total counter\n"                               \
                          "hoprock_" #name "_total %" G_GUINT64_FORMAT "\n",                       \
                          core->metrics.counters.field);
  HR_COUNTERS (X)
#undef X
}

static void
append_gauge (GString *text, const char *name, const char *help, double value)
{
  g_string_append_printf (text, "# HELP hoprock_%s %s\n# TYPE hoprock_%s gauge\nhoprock_%s %.9g\n",
                          name, help, name, name, value);
}

static void
append_leadership (const HrCore *core, GString *text)
{
  append_gauge (text, "leads", "1 while this node leads", core->leadership.is_leader);
  append_gauge (text, "may_answer", "1 while it may renew workers' leases",
                hr_leadership_may_answer (core));
  append_gauge (text, "token", "fencing token of the map that it has read",
                (double)core->leadership.fencing_token);
  append_gauge (text, "epoch", "revision up to which it has read the ledger",
                (double)core->store.replica.applied_revision);
  append_gauge (text, "state_served", "1 while the state service answers it",
                hr_replica_is_current (&core->store));
  append_gauge (text, "reading_age_seconds", "age of its last confirmed reading",
                core->store.replica.synced_once ? core->now - core->store.replica.confirmed_at
                                                : -1);
}

static void
append_jobs (const HrCore *core, GString *text)
{
  guint n_queued = 0, n_bound = 0, n_cancelled = 0;
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    const HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    n_queued += job->state == HR_JOB_QUEUED;
    for (guint32 k = 0; job->tasks && k < job->n_tasks; k++) {
      gboolean is_bound = job->tasks[k].state == HR_TASK_BOUND;
      n_bound += is_bound;
      n_cancelled += is_bound && job->state == HR_JOB_CANCELLED;
    }
  }
  append_gauge (text, "jobs_known", "jobs whose records it has read", core->store.tables.jobs->len);
  append_gauge (text, "jobs_unfinished_bytes", "memory of the jobs that are not final",
                core->store.tables.unfinished_bytes);
  append_gauge (text, "jobs_unfinished_limit_bytes",
                "beyond this, submissions get 429; 0: the settings name no memory",
                hr_memory_budget_bytes (core));
  append_gauge (text, "jobs_queued", "jobs that are not final and wait for none", n_queued);
  append_gauge (text, "tasks_bound", "tasks recorded on machines, as the leader knows", n_bound);
  append_gauge (text, "tasks_withdrawn", "of these, tasks of withdrawn jobs that are to go",
                n_cancelled);
}

static void
append_fleet (const HrCore *core, GString *text)
{
  static const char *const states[] = {
      [HR_MACHINE_BOOTING] = "booting",
      [HR_MACHINE_UP] = "up",
      [HR_MACHINE_DELETING] = "returned",
  };
  guint counts[G_N_ELEMENTS (states)] = {0};
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    const HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state < G_N_ELEMENTS (states))
      counts[machine->state]++;
  }
  g_string_append (text, "# HELP hoprock_machines machines of the leader's fleet, by state\n"
                         "# TYPE hoprock_machines gauge\n");
  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    g_string_append_printf (text, "hoprock_machines{state=\"%s\"} %u\n", states[i],
                            core->leadership.is_leader ? counts[i] : 0);
}

char *
hr_metrics_text (const HrCore *core)
{
  GString *text = g_string_new (NULL);
  append_leadership (core, text);
  append_jobs (core, text);
  append_fleet (core, text);
  append_counters (core, text);
  hr_histogram_print (&core->metrics.read_latency, text, "hoprock_reading_seconds",
                      "how long readings of the state service took");
  hr_histogram_print (&core->metrics.renewal_age, text, "hoprock_renewal_reading_age_seconds",
                      "age of the reading that each renewal of a worker's lease went by");
  return g_string_free (text, FALSE);
}
