#include "emulator/live.h"
#include <errno.h>
#include <glib/gstdio.h>

/* Between two steps of the cluster. */
#define STEP_MS 4

void
live_catch_up (Live *live)
{
  double now = (g_get_monotonic_time () - live->began) / 1e6;
  live->longest_gap = MAX (live->longest_gap, now - live->cluster->now);
  sim_cluster_run (live->cluster, now);
}

void
live_prepare (Live *live, guint32 seed, int nodes)
{
  g_autoptr (GError) error = NULL;
  live->dir = g_dir_make_tmp ("hoprock-live-XXXXXX", &error);
  if (!live->dir)
    g_error ("emulator: %s", error->message);
  live->cluster = sim_cluster_new_stopped (seed, nodes);
  live->cluster->controllers = &live_controllers;
  live->cluster->controllers_data = live;
  live_wire_prepare (live);
  live_processes_prepare (live);
}

void
live_begin (Live *live)
{
  live->began = g_get_monotonic_time ();
  sim_cluster_start (live->cluster);
}

static gboolean
on_step (gpointer data)
{
  live_catch_up (data);
  return G_SOURCE_CONTINUE;
}

void
live_run (Live *live, double until)
{
  guint step = g_timeout_add (STEP_MS, on_step, live);
  while (live->cluster->now < until && !live->stop)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (step);
}

void
live_end (Live *live)
{
  for (int i = 0; i < live->cluster->n; i++)
    node_kill (live->cluster, i);
  live_wire_end (live);
  live_processes_end (live);
  if (live->remove_files && g_rmdir (live->dir) != 0)
    g_warning ("emulator: %s is left behind: %s", live->dir, g_strerror (errno));
  g_free (live->dir);
}
