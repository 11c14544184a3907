/* The controllers as processes: started, killed, frozen (SIGSTOP) and resumed, each by its process
 * id, and only those that this program started. */
#include "emulator/live.h"
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <glib/gstdio.h>

/* Reserves a port that the kernel picks: it stays bound, but is not listened on, so that the
 * controller can listen on it after each start and no other program gets it. */
static GSocket *
reserve_port (char **address)
{
  g_autoptr (GError) error = NULL;
  GSocket *socket =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  g_autoptr (GInetAddress) loopback = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  if (!socket || !g_socket_set_option (socket, SOL_SOCKET, SO_REUSEPORT, 1, &error) ||
      !g_socket_bind (socket, any, TRUE, &error))
    g_error ("emulator: no port: %s", error->message);
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, NULL);
  *address = live_address (G_INET_SOCKET_ADDRESS (bound));
  return socket;
}

void
live_processes_prepare (Live *live)
{
  live->relays = g_ptr_array_new_with_free_func (live_relay_free);
  for (int i = 0; i < live->cluster->n; i++) {
    live->nodes[i].held[0] = reserve_port (&live->nodes[i].front);
    live->nodes[i].held[1] = reserve_port (&live->nodes[i].back);
    live->nodes[i].log = g_strdup_printf ("%s/c%d.log", live->dir, i);
  }
  for (int i = 0; i < live->cluster->n; i++)
    for (int k = 0; k < live->cluster->n; k++)
      if (k != i)
        live->nodes[i].peers[k] = live_relay (live, i, k);
}

static char *
settings_file (const Live *live, int i)
{
  return g_strdup_printf ("%s/c%d.json", live->dir, i);
}

static char *
write_settings (Live *live, int i)
{
  const LiveNode *node = &live->nodes[i];
  json_t *root = node_settings (live->cluster, i), *member;
  json_object_set_new (root, "front", json_string (node->front));
  json_object_set_new (root, "back", json_string (node->back));
  json_object_set_new (json_object_get (root, "outside"), "cloud",
                       json_string (node->cloud->address));
  json_object_set_new (json_object_get (root, "outside"), "state",
                       json_string (node->state->address));
  size_t at;
  json_array_foreach (json_object_get (root, "members"), at, member)
  {
    int k = json_string_value (json_object_get (member, "label"))[1] - '0';
    json_object_set_new (member, "endpoint", json_string (node->peers[k]));
  }
  char *file = settings_file (live, i);
  if (json_dump_file (root, file, JSON_INDENT (1)) != 0)
    g_error ("emulator: %s cannot be written", file);
  json_decref (root);
  return file;
}

/* Runs in the child: the kernel kills it when this program ends, in whatever way. */
static void
die_with_parent (gpointer unused G_GNUC_UNUSED)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* A process whose end is waited for. */
typedef struct {
  Live *live;
  int node;
} WatchedProcess;

static void
on_ended (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree WatchedProcess *watched = data;
  Live *live = watched->live;
  g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL);
  if (!live->cluster || live->nodes[watched->node].process != G_SUBPROCESS (source))
    return; /* killed by this program */
  live_catch_up (live);
  sim_report_violation (live->cluster, "ended", "c%d ended by itself", watched->node);
  node_kill (live->cluster, watched->node);
  node_start_at (live->cluster, watched->node, live->cluster->now + 1);
}

/* Waits until the killed process has ended, so that its ports are free. Called only when they are
 * needed: a process with sanitizers takes a while to end, and the simulated cluster must go
 * on meanwhile. */
static void
await_end (LiveNode *node)
{
  if (node->ending)
    g_subprocess_wait (node->ending, NULL, NULL);
  g_clear_object (&node->ending);
}

/* A controller that is not upgraded yet is started again in the old version. */
static const char *
program_of (const Live *live, int i)
{
  return live->old_daemon && !live->cluster->nodes[i].upgraded ? live->old_daemon : live->daemon;
}

static void
start (SimCluster *cluster, int i)
{
  Live *live = cluster->controllers_data;
  LiveNode *node = &live->nodes[i];
  g_autofree char *settings = write_settings (live, i);
  await_end (node);
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_setenv (launcher, "LOG_LEVEL", "debug", TRUE);
  g_subprocess_launcher_unsetenv (launcher, "G_MESSAGES_DEBUG");
  g_subprocess_launcher_set_child_setup (launcher, die_with_parent, NULL, NULL);
  int log = g_open (node->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  g_subprocess_launcher_take_stderr_fd (launcher, log);
  node->process = g_subprocess_launcher_spawn (launcher, &error, program_of (live, i), "--policy",
                                               live->policy, "--config", settings, NULL);
  if (!node->process)
    g_error ("emulator: %s", error->message);
  WatchedProcess *watched = g_new (WatchedProcess, 1);
  *watched = (WatchedProcess){live, i};
  g_subprocess_wait_async (node->process, NULL, on_ended, watched);
}

static void
end (SimCluster *cluster, int i)
{
  Live *live = cluster->controllers_data;
  GSubprocess *process = g_steal_pointer (&live->nodes[i].process);
  if (!process)
    return;
  live->kills++;
  g_subprocess_force_exit (process);
  await_end (&live->nodes[i]);
  live->nodes[i].ending = process;
}

/* A process to be resumed, unless the controller has been started anew since. */
typedef struct {
  int node;
  guint gen; /* counts the controller's starts */
} FrozenProcess;

static void
resume (SimCluster *cluster, gpointer data)
{
  g_autofree FrozenProcess *frozen = data;
  Live *live = cluster->controllers_data;
  if (cluster->nodes[frozen->node].up && cluster->nodes[frozen->node].generation == frozen->gen)
    g_subprocess_send_signal (live->nodes[frozen->node].process, SIGCONT);
}

static void
freeze (SimCluster *cluster, int i, double for_s)
{
  Live *live = cluster->controllers_data;
  live->freezes++;
  g_subprocess_send_signal (live->nodes[i].process, SIGSTOP);
  FrozenProcess *frozen = g_new (FrozenProcess, 1);
  *frozen = (FrozenProcess){i, cluster->nodes[i].generation};
  sim_schedule (cluster, cluster->now + for_s, resume, frozen);
}

const SimControllers live_controllers = {start, end, live_push, freeze, live_worker_address};

static void
remove_file (const char *file)
{
  if (g_unlink (file) != 0)
    g_warning ("emulator: %s is left behind: %s", file, g_strerror (errno));
}

static void
remove_files (const Live *live, int i)
{
  g_autofree char *settings = settings_file (live, i);
  remove_file (settings);
  remove_file (live->nodes[i].log);
}

void
live_processes_end (Live *live)
{
  for (int i = 0; i < live->cluster->n; i++) {
    LiveNode *node = &live->nodes[i];
    await_end (node);
    for (int k = 0; k < 2; k++)
      g_object_unref (node->held[k]);
    for (int k = 0; k < live->cluster->n; k++)
      g_free (node->peers[k]);
    if (live->remove_files)
      remove_files (live, i);
    g_free (node->front);
    g_free (node->back);
    g_free (node->log);
  }
  g_ptr_array_unref (live->relays);
}
