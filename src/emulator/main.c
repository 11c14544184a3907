/* hoprock-emulator: a whole deployment on one machine, for trying hoprock out. The controllers are
 * real; state store, cloud, workers and load balancer are simulated. docs/emulator.md documents it.
 */
#include "emulator/balancer.h"
#include "emulator/control.h"
#include "protocol/json_util.h"
#include "sim/log.h"
#include "sim/user.h"
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>

/* Without --seconds. */
#define FOREVER_S 1e9

typedef struct {
  char *daemon, *policy, *settings, *troubles, *listen;
  double seconds;
} Options;

/* Figures of the settings file, each with its range. */
typedef struct {
  const char *key;
  double min, max;
  gsize offset;
} Figure;

typedef struct {
  double controllers, machines, report_s, lease_s, cancel_s, seed;
} Figures;

#define FIGURE(key, min, max)                                                                      \
  {                                                                                                \
#key, min, max, G_STRUCT_OFFSET(Figures, key)                                                  \
  }

static const Figure known_figures[] = {
    FIGURE (controllers, 1, MAX_NODES), FIGURE (machines, 1, 200),  FIGURE (report_s, 0.5, 60),
    FIGURE (lease_s, 2, 600),           FIGURE (cancel_s, 5, 3600), FIGURE (seed, 0, 4e9)};

static gboolean
set_figure (Figures *figures, const char *key, const json_t *value)
{
  for (guint i = 0; i < G_N_ELEMENTS (known_figures); i++) {
    double number = json_is_number (value) ? json_number_value (value) : -1;
    if (!g_str_equal (known_figures[i].key, key))
      continue;
    *(double *)((char *)figures + known_figures[i].offset) = number;
    return number >= known_figures[i].min && number <= known_figures[i].max;
  }
  return FALSE;
}

static gboolean
read_settings (const char *file, Figures *figures)
{
  json_error_t error;
  json_t *root = json_load_file (file, 0, &error), *value;
  const char *key;
  gboolean good = json_is_object (root);
  if (!good)
    fprintf (stderr, "hoprock-emulator: %s:%d: %s\n", file, error.line, error.text);
  json_object_foreach (root, key, value)
  {
    if (!good || set_figure (figures, key, value))
      continue;
    fprintf (stderr, "hoprock-emulator: %s: %s is not known, or out of range\n", file, key);
    good = FALSE;
  }
  json_decref (root);
  return good;
}

static gboolean
parse (Options *options, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
      {"daemon", 0, 0, G_OPTION_ARG_FILENAME, &options->daemon, "the controller's program", "FILE"},
      {"policy", 0, 0, G_OPTION_ARG_FILENAME, &options->policy, "its policy", "FILE"},
      {"settings", 0, 0, G_OPTION_ARG_FILENAME, &options->settings, "figures, in JSON", "FILE"},
      {"troubles", 0, 0, G_OPTION_ARG_FILENAME, &options->troubles, "one trouble a line", "FILE"},
      {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
       "users' address; default 127.0.0.1:8080", "IP:PORT"},
      {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options->seconds, "end by itself after so long", "S"},
      {NULL}};
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context =
      g_option_context_new ("- a whole hoprock deployment on this machine");
  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, argc, argv, &error) && *argc == 1 && options->daemon &&
      options->policy)
    return TRUE;
  fprintf (stderr, "hoprock-emulator: %s\n",
           error ? error->message : "--daemon and --policy are needed; see --help");
  return FALSE;
}

static gboolean
on_signal (gpointer live)
{
  ((Live *)live)->stop = TRUE;
  return G_SOURCE_CONTINUE;
}

static void
set_figures (SimCluster *cluster, const Figures *figures)
{
  cluster->capacity = (guint)figures->machines;
  cluster->report_s = figures->report_s;
  cluster->lease_s = figures->lease_s;
  cluster->cancel_s = figures->cancel_s;
  cluster->loss_share = cluster->duplicate_share =
      0; /* the only faults are those of the troubles file */
}

static gboolean
plan_file (Live *live, const char *file)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (!file)
    return TRUE;
  if (g_file_get_contents (file, &text, NULL, &error) && control_plan (live, text, &error))
    return TRUE;
  fprintf (stderr, "hoprock-emulator: %s\n", error->message);
  return FALSE;
}

/* Runs until a signal, or until --seconds are over. Returns the exit code: 1 when a rule was
 * broken.
 */
static int
emulate (Live *live, const Options *options)
{
  g_autoptr (GError) error = NULL;
  const char *listen = options->listen ? options->listen : "127.0.0.1:8080";
  users_init (live->cluster, 0, 0);
  Balancer *balancer = balancer_new (live, listen, &error);
  if (!balancer) {
    fprintf (stderr, "hoprock-emulator: %s\n", error->message);
    return 2;
  }
  if (!plan_file (live, options->troubles))
    return 2;
  printf ("%d controllers; users at %s; logs in %s\n", live->cluster->n, listen, live->dir);
  fflush (stdout);
  live_run (live, options->seconds > 0 ? options->seconds : FOREVER_S);
  guint broken = live->cluster->violations->len;
  for (guint i = 0; i < broken; i++)
    printf ("broken rule: %s\n", (char *)live->cluster->violations->pdata[i]);
  printf ("ended after %.0f s: %u starts, %u rules broken\n", live->cluster->now,
          live->cluster->task_starts, broken);
  balancer_free (balancer);
  return broken > 0;
}

int
main (int argc, char **argv)
{
  Options options = {0};
  Figures figures = {3, 24, 2.5, 14, 36, 1};
  Live live = {0};
  if (!parse (&options, &argc, &argv) ||
      (options.settings && !read_settings (options.settings, &figures)))
    return 2;
  sim_log_init ();
  live.daemon = options.daemon;
  live.policy = options.policy;
  live_prepare (&live, (guint32)figures.seed, (int)figures.controllers);
  set_figures (live.cluster, &figures);
  live_begin (&live);
  g_unix_signal_add (SIGTERM, on_signal, &live);
  g_unix_signal_add (SIGINT, on_signal, &live);
  int code = emulate (&live, &options);
  live_end (&live);
  return code;
}
