/* Micro-benchmark: CPU time of the core of a leading controller, by kind of command, at the size of
 * a large deployment. Usage: bench_core [MACHINES [JOBS]]. It prints figures and checks nothing.
 * The fake services answer at once, so that only the core's own work is measured.
 * src/protocol/wire_names.h explains the fields of messages. */
#include "coordination/core.h"
#include "protocol/json_util.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

typedef struct {
  HrCore *core;
  double now;
  guint64 epoch;
  guint machines, sequence;  /* sequence: number of the latest heartbeat */
  GPtrArray *responses;      /* HrCommand: responses to the core's calls */
  GHashTable *running_tasks; /* machine -> set of the "piece" and "try" members in its heartbeat */
  GString *log;              /* changes since the last read; watches stay open */
  guint writes;
} Bench;

typedef struct {
  const char *name;
  double sum_s, max_s;
  guint n;
} Figure;

static Figure figures[] = {{"report", 0, 0, 0},        {"poll", 0, 0, 0},
                           {"submission", 0, 0, 0},    {"state service's answers", 0, 0, 0},
                           {"planning pass", 0, 0, 0}, {"tick without a pass", 0, 0, 0}};
enum { F_REPORT, F_POLL, F_SUBMIT, F_ANSWER, F_PASS, F_TICK };

static double
cpu_time_s (void)
{
  struct timespec time;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return time.tv_sec + time.tv_nsec / 1e9;
}

static void
add_response (Bench *bench, guint64 id, int status, char *text)
{
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = id;
  command->result.status = status;
  command->body = g_bytes_new_take (text, strlen (text));
  g_ptr_array_add (bench->responses, command);
}

static void
apply_orders (Bench *bench, const char *machine, const char *body)
{
  json_t *object = json_loads (body, 0, NULL), *entry;
  GHashTable *tasks = g_hash_table_lookup (bench->running_tasks, machine);
  size_t i;
  json_array_foreach (json_object_get (object, "orders"), i, entry)
  {
    const char *verb = json_string_value (json_object_get (entry, "verb"));
    g_autofree char *key = g_strdup_printf (
        "\"piece\":\"%s\",\"try\":%d", json_string_value (json_object_get (entry, "piece")),
        (int)json_integer_value (json_object_get (entry, "try")));
    if (strcmp (verb, "launch") == 0)
      g_hash_table_add (tasks, g_steal_pointer (&key));
    else
      g_hash_table_remove (tasks, key);
  }
  json_decref (object);
}

static char *
heartbeat_text (Bench *bench, const char *machine)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer task;
  const char *separator = "";
  g_string_printf (text,
                   "{\"rockhand\":\"%s\",\"addr\":\"%s\",\"hull\":\"g2\",\"quarry\":"
                   "\"z0\",\"loaners\":false,\"tenure\":1,\"tally\":%u,\"baton\":1,\"warning_s\":"
                   "null,\"pieces\":[",
                   machine, machine, ++bench->sequence);
  g_hash_table_iter_init (&iter, g_hash_table_lookup (bench->running_tasks, machine));
  while (g_hash_table_iter_next (&iter, &task, NULL)) {
    g_string_append_printf (text, "%s{%s,\"stance\":\"running\"}", separator, (char *)task);
    separator = ",";
  }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
answer_call (Bench *bench, HrEffect *effect)
{
  if (effect->call.target == HR_TO_WORKER) {
    apply_orders (bench, effect->call.address, effect->body);
    add_response (bench, effect->id, 200, heartbeat_text (bench, effect->call.address));
    return;
  }
  if (strcmp (effect->call.path, "/commit") == 0) {
    json_t *object = json_loads (effect->body, 0, NULL), *write;
    size_t i;
    bench->epoch++;
    json_array_foreach (json_object_get (object, "writes"), i, write)
    {
      g_autofree char *value =
          json_dumps (json_object_get (write, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
      bench->writes++;
      g_string_append_printf (
          bench->log, "%s{\"set\":\"%s\",\"value\":%s,\"stamp\":%" G_GUINT64_FORMAT "}",
          bench->log->len ? "," : "", json_string_value (json_object_get (write, "set")), value,
          bench->epoch);
    }
    json_decref (object);
    add_response (bench, effect->id, 200,
                  g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", bench->epoch));
  } else if (g_str_has_prefix (effect->call.path, "/changes?")) {
    if (strstr (effect->call.path, "hold_ms=0")) {
      add_response (bench, effect->id, 200,
                    g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT ",\"log\":[%s]}", bench->epoch,
                                     bench->log->str));
      g_string_truncate (bench->log, 0);
    }
  } else if (strcmp (effect->call.path, "/leases") == 0)
    add_response (bench, effect->id, 200, g_strdup ("{\"claim\":1}"));
  else if (g_str_has_prefix (effect->call.path, "/kv?"))
    add_response (bench, effect->id, 200,
                  g_strdup_printf ("{\"rows\":[],\"more\":false,\"epoch\":%" G_GUINT64_FORMAT "}",
                                   bench->epoch));
  else if (strcmp (effect->call.path, "/machine_types") == 0)
    add_response (
        bench, effect->id, 200,
        g_strdup ("{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":"
                  "96,\"cache_gb\":100,\"fetch_gb_per_s\":0.3,\"hourly\":5.0,\"low_price\":"
                  "2.0,\"startup_s\":40,\"quarries\":[\"z0\"]}]}"));
  else if (strcmp (effect->call.path, "/rentals") == 0 ||
           g_str_has_prefix (effect->call.path, "/rentals?"))
    add_response (bench, effect->id, 503, g_strdup ("{\"error\":\"no capacity\"}"));
  else
    add_response (bench, effect->id, 200, g_strdup ("{}"));
}

/* Runs one step with these commands, which are consumed, then steps with the responses to the calls
 * that result, until there are none. The time of the first step counts for `figure`.
 * @machine: worker that receives the orders in the reply, or NULL */
static void
run_step (Bench *bench, GPtrArray *commands, int figure, const char *machine)
{
  for (int first = 1; commands->len; first = 0) {
    g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
    double started_at = cpu_time_s ();
    hr_core_step (bench->core, bench->now, 1e9 + bench->now, commands, out);
    double elapsed_s = cpu_time_s () - started_at;
    Figure *measured = &figures[first ? figure : F_ANSWER];
    measured->sum_s += elapsed_s;
    measured->max_s = MAX (measured->max_s, elapsed_s);
    measured->n += first ? 1 : commands->len;
    for (guint i = 0; i < out->len; i++) {
      HrEffect *effect = out->pdata[i];
      if (effect->kind == HR_EFFECT_CALL)
        answer_call (bench, effect);
      else if (effect->kind == HR_EFFECT_REPLY && machine && effect->reply.status == 200 && first)
        apply_orders (bench, machine, effect->body);
    }
    g_ptr_array_set_size (commands, 0);
    for (guint i = 0; i < bench->responses->len; i++)
      g_ptr_array_add (commands, bench->responses->pdata[i]);
    g_ptr_array_set_free_func (bench->responses, NULL);
    g_ptr_array_set_size (bench->responses, 0);
  }
}

static void
request (Bench *bench, HrMethod method, const char *path, char *body, int figure,
         const char *machine)
{
  g_autoptr (GPtrArray) queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  static guint64 id;
  command->id = ++id;
  command->request.method = method;
  command->request.path = g_strdup (path);
  command->body = body ? g_bytes_new_take (body, strlen (body)) : NULL;
  g_ptr_array_add (queue, command);
  run_step (bench, queue, figure, machine);
}

static void
tick (Bench *bench, double step_s)
{
  g_autoptr (GPtrArray) queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  bench->now += step_s;
  g_ptr_array_add (queue, hr_command_new (HR_COMMAND_TICK));
  run_step (bench, queue, step_s > 0.1 ? F_PASS : F_TICK, NULL);
}

static char *
submission_text (guint i, guint *tasks)
{
  const char *shape = i % 5 == 0 ? "daemon" : i % 5 < 3 ? "batch" : "ensemble";
  const char *priority = i % 5 == 0 ? "production" : i % 5 < 3 ? "normal" : "urgent";
  *tasks = i % 5 == 0 ? 1 + i % 6 : i % 5 < 3 ? 10 + i % 20 : 1u << i % 4;
  gboolean gang = i % 5 >= 3;
  return g_strdup_printf (
      "{\"name_id\":\"job-%06u\",\"jobclass\":\"%s\",\"crew\":\"crew\",\"shape\":\"%s\",\"rank\":"
      "\"%s\",\"pieces\":%u,\"vcpus\":%d,\"accelerators\":%d,\"memory_gb\":30,\"bundle\":"
      "\"img-%u\",\"size_gb\":5,\"hulls\":null,\"quarry\":null,\"together\":%s,\"apart\":false,"
      "\"loaners\":true,\"guess_s\":60,\"cairn_s\":0,\"stash_s\":0,\"due_s\":%s}",
      i, shape, shape, priority, *tasks, gang ? 10 : 5, gang ? 2 : 1, i % 10,
      gang ? "true" : "false", gang ? "null" : "150");
}

static GLogWriterOutput
discard_log (GLogLevelFlags level G_GNUC_UNUSED, const GLogField *fields G_GNUC_UNUSED,
             gsize n G_GNUC_UNUSED, gpointer data G_GNUC_UNUSED)
{
  return G_LOG_WRITER_HANDLED;
}

static HrSettings *
bench_settings (HrNames *names, GError **error)
{
  json_t *root = json_loads (
      "{\"label\":\"c0\",\"area\":\"z0\",\"front\":\"127.0.0.1:1\",\"back\":\"127.0.0.1:2\","
      "\"outside\":{\"cloud\":\"127.0.0.1:3\",\"state\":\"127.0.0.1:4\"},\"members\":[],\"facts\":"
      "{\"teams\":[{\"name\":\"crew\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}],"
      "\"objectives\":[],\"workers\":{\"report_s\":2.5,\"lease_s\":14,\"gang_wait_s\":30,"
      "\"gang_peer_s\":4,\"cancel_s\":36},\"state\":{\"rps\":1e6,\"write_rps\":1e5,\"value_kb\":4,"
      "\"txn_ops\":12},\"cloud\":{\"rps\":8,\"list_lag_s\":3}}}",
      0, NULL);
  HrSettings *settings = hr_settings_parse (root, names, error);
  json_decref (root);
  return settings;
}

static void
print_figures (const Bench *bench, guint jobs, guint tasks)
{
  printf ("%u machines, %u jobs, %u tasks; %u changes written\n", bench->machines, jobs, tasks,
          bench->writes);
  for (guint i = 0; i < G_N_ELEMENTS (figures); i++)
    printf ("%-26s %7u times %10.1f us each %10.1f us at most\n", figures[i].name, figures[i].n,
            1e6 * figures[i].sum_s / MAX (1, figures[i].n), 1e6 * figures[i].max_s);
}

int
main (int argc, char **argv)
{
  guint machines = argc > 1 ? (guint)atoi (argv[1]) : 600,
        jobs = argc > 2 ? (guint)atoi (argv[2]) : 300;
  Bench bench = {.now = 1, .machines = machines, .epoch = 1};
  HrNames names;
  HrPolicy policy;
  g_autoptr (GError) error = NULL;
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  g_log_set_writer_func (discard_log, NULL, NULL);
  bench.responses = g_ptr_array_new ();
  bench.running_tasks =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
  bench.log = g_string_new (NULL);
  hr_names_init (&names);
  HrSettings *settings = bench_settings (&names, &error);
  if (settings)
    hr_core_policy_vars (settings, vars);
  if (!settings || !hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &policy, &error)) {
    fprintf (stderr, "bench_core: %s\n", error->message);
    return 1;
  }
  bench.core = hr_core_new (settings, &policy, &names, "bench", 1);
  for (int i = 0; i < 100; i++)
    tick (&bench, 0.1);
  guint tasks = 0, total_tasks = 0;
  for (guint round = 0; round < 12; round++) {
    for (guint i = 0; i < machines; i++) {
      g_autofree char *name = g_strdup_printf ("m-%06u", i);
      if (!g_hash_table_contains (bench.running_tasks, name))
        g_hash_table_insert (bench.running_tasks, g_strdup (name),
                             g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL));
      request (&bench, HR_POST, "/hello", heartbeat_text (&bench, name), F_REPORT, name);
    }
    for (guint i = round * jobs / 12; i < (round + 1) * jobs / 12; i++) {
      request (&bench, HR_POST, "/v1/jobs", submission_text (i, &tasks), F_SUBMIT, NULL);
      total_tasks += tasks;
    }
    for (guint i = 0; i < (round + 1) * jobs / 12; i++) {
      g_autofree char *path = g_strdup_printf ("/v1/jobs/job-%06u", i);
      request (&bench, HR_GET, path, NULL, F_POLL, NULL);
    }
    for (int i = 0; i < 5; i++) {
      tick (&bench, 0.2);
      tick (&bench, 0.01);
    }
  }
  print_figures (&bench, jobs, total_tasks);
  return 0;
}
