/* hoprockd: one controller of the cluster. This file connects the core, which makes all decisions
 * and does no I/O, with the transport: it passes incoming commands to the core in batches and
 * carries out the effects that the core returns. It runs in one thread, on the default main
 * context. docs/man/hoprockd.8 documents the program. */
#include "coordination/core.h"
#include "policy/policy.h"
#include "protocol/settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/log_writer.h"
#include "transport/peer.h"
#include "transport/process_metrics.h"
#include <gio/gio.h>
#include <stdio.h>

/* Exit codes. */
#define EXIT_WRONG_SETTINGS 1 /* invalid settings or policy, or an unusable listening address */
#define EXIT_WRONG_USE 2

/* Interval between steps of the core while there is no input. */
#define TICK_MS 100
/* How long the main loop waits for further input before it polls. */
#define BATCH_WAIT_MS 5
/* File descriptors that are used neither by users, by workers nor by calls: listeners and those of
 * the main loop. */
#define OTHER_SOCKETS 24
#define BYTES_PER_MB 1e6
/* Share of the process's memory for the bodies of users' requests. */
#define USER_BODIES_SHARE (1.0 / 16)
/* For each other controller one connection in each direction, and the same number of connections
 * that are being replaced. */
#define SOCKETS_PER_MEMBER 4

typedef struct {
  HrCore *core;
  HrHttpServer *server;
  HrHttpClient *client;
  HrPeers *peers;
  GPtrArray *queue;   /* HrCommand, for the next step */
  guint batch_source; /* id of the GLib source that will run the step; 0: none */
} Daemon;

static gboolean
run_batch (gpointer data)
{
  Daemon *daemon = data;
  daemon->batch_source = 0;
  g_autoptr (GPtrArray) batch = g_steal_pointer (&daemon->queue);
  daemon->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) effects = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  gint64 started_us = g_get_monotonic_time ();
  hr_core_step (daemon->core, started_us / 1e6, g_get_real_time () / 1e6, batch, effects);
  hr_core_set_step_duration (daemon->core, (g_get_monotonic_time () - started_us) / 1e6);
  for (guint i = 0; i < effects->len; i++) {
    HrEffect *effect = effects->pdata[i];
    hr_process_metrics_add (effect);
    if (effect->kind == HR_EFFECT_REPLY)
      hr_http_server_reply (daemon->server, effect);
    else if (effect->kind == HR_EFFECT_CALL)
      hr_http_client_call (daemon->client, effect);
    else
      hr_peers_send_status (daemon->peers, effect->peer_status);
  }
  hr_http_server_flush (daemon->server);
  return G_SOURCE_REMOVE;
}

static void
enqueue_command (HrCommand *command, gpointer data)
{
  Daemon *daemon = data;
  g_ptr_array_add (daemon->queue, command);
  /* The source has the same priority as the sockets: under load the batches grow, but the core
   * still gets its turn. */
  if (!daemon->batch_source)
    daemon->batch_source = g_idle_add_full (G_PRIORITY_DEFAULT, run_batch, daemon, NULL);
}

static gboolean
on_tick (gpointer data)
{
  enqueue_command (hr_command_new (HR_COMMAND_TICK), data);
  return G_SOURCE_CONTINUE;
}

/* Waits a little for further input before it polls, unless a source is due sooner: under load one
 * iteration of the main loop, which has a fixed cost, then serves several requests. */
static gint
poll_in_batches (GPollFD *fds, guint n, gint timeout)
{
  if (timeout < 0 || timeout > BATCH_WAIT_MS) {
    g_usleep ((gulong)BATCH_WAIT_MS * 1000);
    if (timeout > 0)
      timeout -= BATCH_WAIT_MS;
  }
  return g_poll (fds, n, timeout);
}

/* Returns how many connections the HTTP server may keep open: the sockets that are not reserved for
 * calls, peers and internal use, but at least half of all sockets. */
static guint
max_server_connections (const HrSettings *settings)
{
  guint reserved = hr_http_client_max_sockets (settings->sockets) + OTHER_SOCKETS +
                   SOCKETS_PER_MEMBER * settings->members->len;
  return MAX (settings->sockets / 2, settings->sockets - MIN (reserved, settings->sockets));
}

/* Returns the limits of the HTTP server. What the core keeps for a request with a large body is a
 * few times the size of the body. */
static HrHttpServerLimits
server_limits (const HrSettings *settings)
{
  HrHttpServerLimits limits = {.connections = max_server_connections (settings)};
  if (settings->memory_mb > 0)
    limits.user_body_bytes =
        MAX (settings->memory_mb * BYTES_PER_MB * USER_BODIES_SHARE, HR_MAX_BODY);
  return limits;
}

static int
check_policy (const char *file)
{
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  g_autoptr (GError) error = NULL;
  HrPolicy policy;
  hr_core_policy_vars (NULL, vars);
  if (!hr_policy_load (file, vars, &policy, &error) ||
      !hr_core_policy_check (&policy, vars, &error)) {
    fprintf (stderr, "hoprockd: %s\n", error->message);
    return EXIT_WRONG_SETTINGS;
  }
  g_autofree char *text = hr_policy_describe (&policy);
  printf ("%s is valid. Its values on a sample platform:\n%s", file, text);
  return 0;
}

/* Loads the policy for these settings. The error names the file, the line and what was expected. */
static gboolean
load_policy (const char *file, const HrSettings *settings, HrPolicy *policy, GError **error)
{
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  hr_core_policy_vars (settings, vars);
  return hr_policy_load (file, vars, policy, error) && hr_core_policy_check (policy, vars, error);
}

/* Prints the summary for --check-config. */
static void
print_config (const HrSettings *settings, const HrPolicy *policy)
{
  printf ("%s: users and workers at %s, other controllers at %s\n", settings->label,
          settings->front, settings->back);
  for (guint i = 0; i < settings->members->len; i++) {
    const HrMember *member = &g_array_index (settings->members, HrMember, i);
    printf ("member %s (%s) at %s\n", member->label, member->zone, member->endpoint);
  }
  printf ("state service at %s, cloud at %s\n", settings->state, settings->cloud);
  printf ("workers report every %g s, lease %g s, cancellations within %g s; a leader that "
          "cannot read the state service answers workers for up to %g s\n",
          settings->report_s, settings->lease_s, settings->cancel_s, policy->hold_s);
  printf ("the settings and the policy are valid\n");
}

typedef struct {
  char *config, *policy, *check_policy, *log_format;
  gboolean version, check_config;
} Options;

static void
options_clear (Options *options)
{
  g_free (options->config);
  g_free (options->policy);
  g_free (options->check_policy);
  g_free (options->log_format);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Options, options_clear)

static gboolean
parse_options (Options *options, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
      {"config", 'c', 0, G_OPTION_ARG_FILENAME, &options->config, "the platform's settings (JSON)",
       "FILE"},
      {"policy", 'p', 0, G_OPTION_ARG_FILENAME, &options->policy, "the operators' policy", "FILE"},
      {"check-policy", 0, 0, G_OPTION_ARG_FILENAME, &options->check_policy,
       "check a policy file and exit", "FILE"},
      {"check-config", 0, 0, G_OPTION_ARG_NONE, &options->check_config,
       "check the settings and the policy, print a summary, and exit", NULL},
      {"log-format", 0, 0, G_OPTION_ARG_STRING, &options->log_format,
       "text (the default), or json: one object per line", "FORMAT"},
      {"version", 0, 0, G_OPTION_ARG_NONE, &options->version, "show the version and exit", NULL},
      {NULL}};
  g_autoptr (GOptionContext) ctx =
      g_option_context_new ("- a controller of the hoprock cluster scheduler");
  g_option_context_add_main_entries (ctx, entries, NULL);
  g_option_context_set_description (
      ctx,
      "The environment variable LOG_LEVEL=error|info|debug sets what is logged to standard error.");
  g_autoptr (GError) error = NULL;
  if (g_option_context_parse (ctx, argc, argv, &error) && *argc == 1)
    return TRUE;
  fprintf (stderr, "hoprockd: %s\n", error ? error->message : "unexpected argument; see --help");
  return FALSE;
}

static gboolean
init_logging (const Options *options)
{
  gboolean json = g_strcmp0 (options->log_format, "json") == 0;
  if (options->log_format && !json && !g_str_equal (options->log_format, "text")) {
    fprintf (stderr, "hoprockd: --log-format: expected text or json, not %s\n",
             options->log_format);
    return FALSE;
  }
  if (!hr_log_writer_install (g_getenv ("LOG_LEVEL"), json ? HR_LOG_JSON : HR_LOG_TEXT)) {
    fprintf (stderr, "hoprockd: LOG_LEVEL: expected error, info or debug\n");
    return FALSE;
  }
  return TRUE;
}

/* Runs until the process is killed; returns only if an address cannot be listened on. */
static int
serve (const HrSettings *settings, const HrPolicy *policy, HrNames *names)
{
  g_autoptr (GError) error = NULL;
  Daemon daemon = {0};
  daemon.queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  /* The incarnation distinguishes this process from every earlier process with the same label. */
  g_autofree char *uuid = g_uuid_string_random ();
  uuid[8] = 0;
  g_autofree char *incarnation =
      g_strdup_printf ("%" G_GINT64_FORMAT "-%s", g_get_real_time (), uuid);
  daemon.core = hr_core_new (settings, policy, names, incarnation, g_random_int ());
  daemon.client = hr_http_client_new (settings->state, settings->cloud, settings->sockets,
                                      enqueue_command, &daemon);
  daemon.peers = hr_peers_new (settings, enqueue_command, &daemon, &error);
  if (daemon.peers)
    daemon.server = hr_http_server_new (settings->front, server_limits (settings), enqueue_command,
                                        &daemon, &error);
  if (!daemon.server) {
    fprintf (stderr, "hoprockd: cannot start: %s\n", error->message);
    return EXIT_WRONG_SETTINGS;
  }
  g_info ("hoprockd %s: %s, incarnation %s", HR_VERSION, settings->label, incarnation);
  g_main_context_set_poll_func (g_main_context_default (), poll_in_batches);
  g_timeout_add (TICK_MS, on_tick, &daemon);
  on_tick (&daemon);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  return 0;
}

int
main (int argc, char **argv)
{
  /* No GIO extension is needed (no TLS, no proxies); loading them costs memory and start-up time.
   */
  g_setenv ("GIO_MODULE_DIR", "/nonexistent", TRUE);
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_auto (Options) options = {0};
  if (!parse_options (&options, &argc, &argv))
    return EXIT_WRONG_USE;
  if (options.version) {
    printf ("hoprockd %s\n", HR_VERSION);
    return 0;
  }
  if (!init_logging (&options))
    return EXIT_WRONG_USE;
  if (options.check_policy)
    return check_policy (options.check_policy);
  if (!options.config || !options.policy) {
    fprintf (stderr, "hoprockd: --config FILE and --policy FILE are needed; see --help\n");
    return EXIT_WRONG_USE;
  }
  g_autoptr (GError) error = NULL;
  HrNames names;
  hr_names_init (&names);
  g_autoptr (HrSettings) settings = hr_settings_load (options.config, &names, &error);
  HrPolicy policy;
  if (!settings || !load_policy (options.policy, settings, &policy, &error)) {
    fprintf (stderr, "hoprockd: %s\n", error->message);
    return EXIT_WRONG_SETTINGS;
  }
  if (options.check_config) {
    print_config (settings, &policy);
    return 0;
  }
  hr_log_writer_set_label (settings->label);
  return serve (settings, &policy, &names);
}
