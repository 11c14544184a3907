/* Starts, kills, freezes (SIGSTOP) and resumes the controller processes. Signals go to process ids
 * only, and only to processes that this program started. */
#include "emulator/emulator.h"
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <glib/gstdio.h>

/* Reserves a port that the kernel chooses. The returned socket stays bound but does not listen, so
 * the controller can listen on the port after each start and no other program gets it. */
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
    g_error ("emulator: cannot reserve a port: %s", error->message);
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, NULL);
  *address = emulator_address (G_INET_SOCKET_ADDRESS (bound));
  return socket;
}

void
emulator_processes_prepare (Emulator *emulator)
{
  emulator->relays = g_ptr_array_new_with_free_func (emulator_relay_free);
  for (int i = 0; i < emulator->cluster->n; i++) {
    emulator->nodes[i].reserved[0] = reserve_port (&emulator->nodes[i].front);
    emulator->nodes[i].reserved[1] = reserve_port (&emulator->nodes[i].back);
    emulator->nodes[i].log = g_strdup_printf ("%s/c%d.log", emulator->dir, i);
  }
  for (int i = 0; i < emulator->cluster->n; i++)
    for (int k = 0; k < emulator->cluster->n; k++)
      if (k != i)
        emulator->nodes[i].peers[k] = emulator_relay (emulator, i, k);
}

static char *
settings_file (const Emulator *emulator, int i)
{
  return g_strdup_printf ("%s/c%d.json", emulator->dir, i);
}

static char *
write_settings (Emulator *emulator, int i)
{
  const EmulatorNode *node = &emulator->nodes[i];
  json_t *root = node_settings (emulator->cluster, i), *member;
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
  char *file = settings_file (emulator, i);
  if (json_dump_file (root, file, JSON_INDENT (1)) != 0)
    g_error ("emulator: cannot write %s", file);
  json_decref (root);
  return file;
}

/* Runs in the child process: makes the kernel kill it when this program exits for any reason. */
static void
die_with_parent (gpointer unused G_GNUC_UNUSED)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* A process whose exit is being watched. */
typedef struct {
  Emulator *emulator;
  int node;
} WatchedProcess;

static void
on_exited (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree WatchedProcess *watched = data;
  Emulator *emulator = watched->emulator;
  g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL);
  if (!emulator->cluster || emulator->nodes[watched->node].process != G_SUBPROCESS (source))
    return; /* this program killed it */
  emulator_catch_up (emulator);
  sim_report_violation (emulator->cluster, "ended", "c%d exited unexpectedly", watched->node);
  node_kill (emulator->cluster, watched->node);
  node_start_at (emulator->cluster, watched->node, emulator->cluster->now + 1);
}

/* Waits until the killed process has exited, so that its ports are free. Called only when the ports
 * are needed: a process with sanitizers takes a while to exit, and the simulated cluster must keep
 * running in the meantime. */
static void
await_termination (EmulatorNode *node)
{
  if (node->terminating)
    g_subprocess_wait (node->terminating, NULL, NULL);
  g_clear_object (&node->terminating);
}

/* Returns the program of controller @i: the old version until the controller is upgraded. */
static const char *
program_of (const Emulator *emulator, int i)
{
  return emulator->old_daemon && !emulator->cluster->nodes[i].upgraded ? emulator->old_daemon
                                                                       : emulator->daemon;
}

static void
start_process (SimCluster *cluster, int i)
{
  Emulator *emulator = cluster->controllers_data;
  EmulatorNode *node = &emulator->nodes[i];
  g_autofree char *settings = write_settings (emulator, i);
  await_termination (node);
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_setenv (launcher, "LOG_LEVEL", "debug", TRUE);
  g_subprocess_launcher_unsetenv (launcher, "G_MESSAGES_DEBUG");
  g_subprocess_launcher_set_child_setup (launcher, die_with_parent, NULL, NULL);
  int log = g_open (node->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  g_subprocess_launcher_take_stderr_fd (launcher, log);
  node->process =
      g_subprocess_launcher_spawn (launcher, &error, program_of (emulator, i), "--policy",
                                   emulator->policy, "--config", settings, NULL);
  if (!node->process)
    g_error ("emulator: cannot start a controller: %s", error->message);
  WatchedProcess *watched = g_new (WatchedProcess, 1);
  *watched = (WatchedProcess){emulator, i};
  g_subprocess_wait_async (node->process, NULL, on_exited, watched);
}

static void
kill_process (SimCluster *cluster, int i)
{
  Emulator *emulator = cluster->controllers_data;
  GSubprocess *process = g_steal_pointer (&emulator->nodes[i].process);
  if (!process)
    return;
  emulator->kills++;
  g_subprocess_force_exit (process);
  await_termination (&emulator->nodes[i]);
  emulator->nodes[i].terminating = process;
}

/* A frozen process. It is resumed unless the controller has been restarted since. */
typedef struct {
  int node;
  guint generation; /* number of starts of the controller when the process was frozen */
} FrozenProcess;

static void
resume (SimCluster *cluster, gpointer data)
{
  g_autofree FrozenProcess *frozen = data;
  Emulator *emulator = cluster->controllers_data;
  if (cluster->nodes[frozen->node].up &&
      cluster->nodes[frozen->node].generation == frozen->generation)
    g_subprocess_send_signal (emulator->nodes[frozen->node].process, SIGCONT);
}

static void
freeze (SimCluster *cluster, int i, double for_s)
{
  Emulator *emulator = cluster->controllers_data;
  emulator->freezes++;
  g_subprocess_send_signal (emulator->nodes[i].process, SIGSTOP);
  FrozenProcess *frozen = g_new (FrozenProcess, 1);
  *frozen = (FrozenProcess){i, cluster->nodes[i].generation};
  sim_schedule (cluster, cluster->now + for_s, resume, frozen);
}

const SimControllers emulator_controllers = {start_process, kill_process, emulator_push, freeze,
                                             emulator_worker_address};

static void
remove_file (const char *file)
{
  if (g_unlink (file) != 0)
    g_warning ("emulator: cannot delete %s: %s", file, g_strerror (errno));
}

static void
remove_files (const Emulator *emulator, int i)
{
  g_autofree char *settings = settings_file (emulator, i);
  remove_file (settings);
  remove_file (emulator->nodes[i].log);
}

void
emulator_processes_end (Emulator *emulator)
{
  for (int i = 0; i < emulator->cluster->n; i++) {
    EmulatorNode *node = &emulator->nodes[i];
    await_termination (node);
    for (int k = 0; k < 2; k++)
      g_object_unref (node->reserved[k]);
    for (int k = 0; k < emulator->cluster->n; k++)
      g_free (node->peers[k]);
    if (emulator->remove_files)
      remove_files (emulator, i);
    g_free (node->front);
    g_free (node->back);
    g_free (node->log);
  }
  g_ptr_array_unref (emulator->relays);
}
