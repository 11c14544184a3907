/* hoprock-emulator: a complete deployment on one machine for trying out hoprock. The controllers
 * are real processes; the state store, the cloud, the workers and the load balancer are simulated.
 * Documentation: docs/emulator.md. */
#include "emulator/balancer.h"
#include "emulator/control.h"
#include "protocol/json_util.h"
#include "sim/log.h"
#include "sim/user.h"
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>

/* Run time without --seconds. */
#define FOREVER_S 1e9

typedef struct {
  char *daemon, *policy, *settings, *troubles, *listen;
  double seconds;
} Options;

/* A numeric setting of the settings file and its valid range. */
typedef struct {
  const char *key;
  double min, max;
  gsize offset;
} NumericSetting;

typedef struct {
  double controllers, machines, report_s, lease_s, cancel_s, seed;
} NumericSettings;

#define SETTING(key, min, max)                                                                     \
  {                                                                                                \
#key, min, max, G_STRUCT_OFFSET(NumericSettings, key)                                          \
  }

static const NumericSetting known_settings[] = {
    SETTING (controllers, 1, MAX_NODES), SETTING (machines, 1, 200),  SETTING (report_s, 0.5, 60),
    SETTING (lease_s, 2, 600),           SETTING (cancel_s, 5, 3600), SETTING (seed, 0, 4e9)};

static gboolean
set_number (NumericSettings *settings, const char *key, const json_t *value)
{
  for (guint i = 0; i < G_N_ELEMENTS (known_settings); i++) {
    double number = json_is_number (value) ? json_number_value (value) : -1;
    if (!g_str_equal (known_settings[i].key, key))
      continue;
    *(double *)((char *)settings + known_settings[i].offset) = number;
    return number >= known_settings[i].min && number <= known_settings[i].max;
  }
  return FALSE;
}

static gboolean
read_settings (const char *file, NumericSettings *settings)
{
  json_error_t error;
  json_t *root = json_load_file (file, 0, &error), *value;
  const char *key;
  gboolean is_valid = json_is_object (root);
  if (!is_valid)
    fprintf (stderr, "hoprock-emulator: %s:%d: %s\n", file, error.line, error.text);
  json_object_foreach (root, key, value)
  {
    if (!is_valid || set_number (settings, key, value))
      continue;
    fprintf (stderr, "hoprock-emulator: %s: %s is not known, or out of range\n", file, key);
    is_valid = FALSE;
  }
  json_decref (root);
  return is_valid;
}

static gboolean
parse (Options *options, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {{"daemon", 0, 0, G_OPTION_ARG_FILENAME, &options->daemon,
                                   "program of the controllers (hoprockd)", "FILE"},
                                  {"policy", 0, 0, G_OPTION_ARG_FILENAME, &options->policy,
                                   "policy of the controllers", "FILE"},
                                  {"settings", 0, 0, G_OPTION_ARG_FILENAME, &options->settings,
                                   "numeric settings, in JSON", "FILE"},
                                  {"troubles", 0, 0, G_OPTION_ARG_FILENAME, &options->troubles,
                                   "faults to inject, one per line", "FILE"},
                                  {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
                                   "address for users; default 127.0.0.1:8080", "IP:PORT"},
                                  {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options->seconds,
                                   "exit after this time, in seconds", "S"},
                                  {NULL}};
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context =
      g_option_context_new ("- a complete hoprock deployment on this machine");
  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, argc, argv, &error) && *argc == 1 && options->daemon &&
      options->policy)
    return TRUE;
  fprintf (stderr, "hoprock-emulator: %s\n",
           error ? error->message : "--daemon and --policy are needed; see --help");
  return FALSE;
}

static gboolean
on_signal (gpointer emulator)
{
  ((Emulator *)emulator)->stop = TRUE;
  return G_SOURCE_CONTINUE;
}

static void
apply_settings (SimCluster *cluster, const NumericSettings *settings)
{
  cluster->capacity = (guint)settings->machines;
  cluster->report_s = settings->report_s;
  cluster->lease_s = settings->lease_s;
  cluster->cancel_s = settings->cancel_s;
  cluster->loss_share = cluster->duplicate_share = 0; /* only planned faults occur */
}

static gboolean
plan_file (Emulator *emulator, const char *file)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (!file)
    return TRUE;
  if (g_file_get_contents (file, &text, NULL, &error) && control_plan (emulator, text, &error))
    return TRUE;
  fprintf (stderr, "hoprock-emulator: %s\n", error->message);
  return FALSE;
}

/* Runs until a signal arrives or the time of --seconds has passed. Returns the exit code: 1 when a
 * rule was violated. */
static int
emulate (Emulator *emulator, const Options *options)
{
  g_autoptr (GError) error = NULL;
  const char *listen = options->listen ? options->listen : "127.0.0.1:8080";
  users_init (emulator->cluster, 0, 0);
  Balancer *balancer = balancer_new (emulator, listen, &error);
  if (!balancer) {
    fprintf (stderr, "hoprock-emulator: %s\n", error->message);
    return 2;
  }
  if (!plan_file (emulator, options->troubles))
    return 2;
  printf ("%d controllers; users at %s; logs in %s\n", emulator->cluster->n, listen, emulator->dir);
  fflush (stdout);
  emulator_run (emulator, options->seconds > 0 ? options->seconds : FOREVER_S);
  guint broken = emulator->cluster->violations->len;
  for (guint i = 0; i < broken; i++)
    printf ("broken rule: %s\n", (char *)emulator->cluster->violations->pdata[i]);
  printf ("ended after %.0f s: %u starts, %u rules broken\n", emulator->cluster->now,
          emulator->cluster->task_starts, broken);
  balancer_free (balancer);
  return broken > 0;
}

int
main (int argc, char **argv)
{
  Options options = {0};
  NumericSettings settings = {3, 24, 2.5, 14, 36, 1};
  Emulator emulator = {0};
  if (!parse (&options, &argc, &argv) ||
      (options.settings && !read_settings (options.settings, &settings)))
    return 2;
  sim_log_init ();
  emulator.daemon = options.daemon;
  emulator.policy = options.policy;
  emulator_prepare (&emulator, (guint32)settings.seed, (int)settings.controllers);
  apply_settings (emulator.cluster, &settings);
  emulator_begin (&emulator);
  g_unix_signal_add (SIGTERM, on_signal, &emulator);
  g_unix_signal_add (SIGINT, on_signal, &emulator);
  int code = emulate (&emulator, &options);
  emulator_end (&emulator);
  return code;
}
