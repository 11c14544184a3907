/* hoprockd: one controller of the cluster. */
#include "coordination/core.h"
#include "policy/policy.h"
#include "protocol/settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer.h"
#include <gio/gio.h>
#include <stdio.h>

#define TICK_MS 100
#define GATHER_MS 5
/* Sockets that are neither users', workers' nor our calls': listeners, the loop's own, and for
 * each member its connection, ours, and one of each that is just being replaced. */
#define OTHER_SOCKETS 24
#define MEMBER_SOCKETS 4

typedef struct {
  HrCore *core;
  HrHttpServer *server;
  HrHttpClient *client;
  HrPeers *peers;
  GPtrArray *queue;
  guint pending;
} Daemon;

static gboolean
run_batch (gpointer data)
{
  Daemon *d = data;
  d->pending = 0;
  g_autoptr (GPtrArray) batch = g_steal_pointer (&d->queue);
  d->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) effects = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  hr_core_step (d->core, g_get_monotonic_time () / 1e6, g_get_real_time () / 1e6, batch, effects);
  for (guint i = 0; i < effects->len; i++) {
    HrEffect *e = effects->pdata[i];
    if (e->kind == HR_E_REPLY)
      hr_http_server_reply (d->server, e);
    else if (e->kind == HR_E_CALL)
      hr_http_client_call (d->client, e);
    else
      hr_peers_tell (d->peers, e->hint);
  }
  hr_http_server_flush (d->server);
  return G_SOURCE_REMOVE;
}

static void
sink (HrCommand *c, gpointer data)
{
  Daemon *d = data;
  g_ptr_array_add (d->queue, c);
  /* At the sockets' own priority: when the loop is busy, commands gather into
   * larger batches, but the owner of the state is never starved. */
  if (!d->pending)
    d->pending = g_idle_add_full (G_PRIORITY_DEFAULT, run_batch, d, NULL);
}

static gboolean
on_tick (gpointer data)
{
  sink (hr_command_new (HR_C_TICK), data);
  return G_SOURCE_CONTINUE;
}

/* Under load the loop waits a little for more to come before it sleeps: one turn, with
 * its fixed cost, then serves several requests. */
static gint
poll_in_batches (GPollFD *fds, guint n, gint timeout)
{
  if (timeout < 0 || timeout > GATHER_MS) {
    g_usleep ((gulong)GATHER_MS * 1000);
    if (timeout > 0)
      timeout -= GATHER_MS;
  }
  return g_poll (fds, n, timeout);
}

/* What our own calls leave, but half at the least. */
static guint
server_share (const HrSettings *s)
{
  guint own =
      hr_http_client_sockets (s->sockets) + OTHER_SOCKETS + MEMBER_SOCKETS * s->members->len;
  return MAX (s->sockets / 2, s->sockets - MIN (own, s->sockets));
}

static int log_level = G_LOG_LEVEL_MESSAGE;

/* Debug lines of the libraries below (GLib's sockets write six for each connection) bury ours: they
 * are shown where G_MESSAGES_DEBUG names their domain, or is "all". */
static gboolean
debug_wanted (const char *domain)
{
  const char *named = g_getenv ("G_MESSAGES_DEBUG");
  if (g_str_equal (domain, G_LOG_DOMAIN))
    return TRUE;
  if (!named)
    return FALSE;
  g_auto (GStrv) domains = g_strsplit_set (named, " ,", -1);
  return g_strv_contains ((const char *const *)domains, domain) ||
         g_strv_contains ((const char *const *)domains, "all");
}

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  if ((int)(level & G_LOG_LEVEL_MASK) > log_level)
    return G_LOG_WRITER_HANDLED;
  const char *text = "", *domain = "hoprock";
  for (gsize i = 0; i < n; i++) {
    if (g_str_equal (fields[i].key, "MESSAGE"))
      text = fields[i].value;
    else if (g_str_equal (fields[i].key, "GLIB_DOMAIN"))
      domain = fields[i].value;
  }
  if (level & G_LOG_LEVEL_DEBUG && !debug_wanted (domain))
    return G_LOG_WRITER_HANDLED;
  const char *name = level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL) ? "error"
                     : level & G_LOG_LEVEL_WARNING                      ? "warning"
                     : level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE) ? "info"
                                                                        : "debug";
  fprintf (stderr, "%.3f %s %s: %s\n", g_get_real_time () / 1e6, name, domain, text);
  return G_LOG_WRITER_HANDLED;
}

static gboolean
set_log_level (void)
{
  const char *v = g_getenv ("LOG_LEVEL");
  if (!v || !*v || g_str_equal (v, "info"))
    log_level = G_LOG_LEVEL_INFO;
  else if (g_str_equal (v, "error"))
    log_level = G_LOG_LEVEL_WARNING;
  else if (g_str_equal (v, "debug"))
    log_level = G_LOG_LEVEL_DEBUG;
  else
    return FALSE;
  g_log_set_writer_func (write_log, NULL, NULL);
  return TRUE;
}

static int
check_policy (const char *file)
{
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  g_autoptr (GError) error = NULL;
  HrPolicy p;
  hr_core_policy_vars (NULL, vars);
  if (!hr_policy_load (file, vars, &p, &error) || !hr_core_policy_check (&p, vars, &error)) {
    fprintf (stderr, "hoprockd: %s\n", error->message);
    return 1;
  }
  g_autofree char *text = hr_policy_describe (&p);
  printf ("%s is valid. With the figures of a sample platform:\n%s", file, text);
  return 0;
}

int
main (int argc, char **argv)
{
  g_autofree char *config = NULL, *policy_file = NULL, *check = NULL;
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
      {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "the platform's settings (JSON)", "FILE"},
      {"policy", 'p', 0, G_OPTION_ARG_FILENAME, &policy_file, "the operators' policy", "FILE"},
      {"check-policy", 0, 0, G_OPTION_ARG_FILENAME, &check, "check a policy file and leave",
       "FILE"},
      {"version", 0, 0, G_OPTION_ARG_NONE, &version, "show the version and leave", NULL},
      {NULL}};
  /* No GIO extension is needed (no TLS, no proxies); loading them costs memory and start-up time.
   */
  g_setenv ("GIO_MODULE_DIR", "/nonexistent", TRUE);
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_autoptr (GOptionContext) ctx =
      g_option_context_new ("- a controller of the hoprock cluster scheduler");
  g_option_context_add_main_entries (ctx, entries, NULL);
  g_option_context_set_description (
      ctx, "LOG_LEVEL=error|info|debug says how much goes to standard error.");
  g_autoptr (GError) error = NULL;
  if (!g_option_context_parse (ctx, &argc, &argv, &error) || argc > 1) {
    fprintf (stderr, "hoprockd: %s\n", error ? error->message : "unexpected argument; see --help");
    return 2;
  }
  if (version) {
    printf ("hoprockd %s\n", HR_VERSION);
    return 0;
  }
  if (!set_log_level ()) {
    fprintf (stderr, "hoprockd: LOG_LEVEL: expected error, info or debug\n");
    return 2;
  }
  if (check)
    return check_policy (check);
  if (!config || !policy_file) {
    fprintf (stderr, "hoprockd: --config FILE and --policy FILE are needed; see --help\n");
    return 2;
  }
  HrNames names;
  hr_names_init (&names);
  g_autoptr (HrSettings) settings = hr_settings_load (config, &names, &error);
  HrPolicy policy;
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  if (settings)
    hr_core_policy_vars (settings, vars);
  if (!settings || !hr_policy_load (policy_file, vars, &policy, &error) ||
      !hr_core_policy_check (&policy, vars, &error)) {
    fprintf (stderr, "hoprockd: %s\n", error->message);
    return 1;
  }
  Daemon d = {0};
  d.queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  /* The incarnation tells this process from every earlier one of the same label. */
  g_autofree char *uuid = g_uuid_string_random ();
  uuid[8] = 0;
  g_autofree char *incarnation =
      g_strdup_printf ("%" G_GINT64_FORMAT "-%s", g_get_real_time (), uuid);
  d.core = hr_core_new (settings, &policy, &names, incarnation, g_random_int ());
  d.client = hr_http_client_new (settings->state, settings->cloud, settings->sockets, sink, &d);
  d.peers = hr_peers_new (settings, sink, &d, &error);
  if (d.peers)
    d.server = hr_http_server_new (settings->front, server_share (settings), sink, &d, &error);
  if (!d.server) {
    fprintf (stderr, "hoprockd: cannot listen: %s\n", error->message);
    return 1;
  }
  g_info ("hoprockd %s: %s, incarnation %s", HR_VERSION, settings->label, incarnation);
  g_main_context_set_poll_func (g_main_context_default (), poll_in_batches);
  g_timeout_add (TICK_MS, on_tick, &d);
  on_tick (&d);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  return 0;
}
