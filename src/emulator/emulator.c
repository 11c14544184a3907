#include "emulator/emulator.h"
#include <errno.h>
#include <glib/gstdio.h>

/* Interval at which the simulated cluster's clock is advanced to the time of this process. */
#define STEP_INTERVAL_MS 4

void
emulator_catch_up (Emulator *emulator)
{
  double now = (g_get_monotonic_time () - emulator->started_us) / 1e6;
  emulator->longest_gap = MAX (emulator->longest_gap, now - emulator->cluster->now);
  sim_cluster_run (emulator->cluster, now);
}

void
emulator_prepare (Emulator *emulator, guint32 seed, int nodes)
{
  g_autoptr (GError) error = NULL;
  emulator->dir = g_dir_make_tmp ("hoprock-live-XXXXXX", &error);
  if (!emulator->dir)
    g_error ("emulator: cannot create a temporary directory: %s", error->message);
  emulator->cluster = sim_cluster_new_stopped (seed, nodes);
  emulator->cluster->controllers = &emulator_controllers;
  emulator->cluster->controllers_data = emulator;
  emulator_wire_prepare (emulator);
  emulator_processes_prepare (emulator);
}

void
emulator_begin (Emulator *emulator)
{
  emulator->started_us = g_get_monotonic_time ();
  sim_cluster_start (emulator->cluster);
}

static gboolean
on_step (gpointer data)
{
  emulator_catch_up (data);
  return G_SOURCE_CONTINUE;
}

void
emulator_run (Emulator *emulator, double until)
{
  guint step = g_timeout_add (STEP_INTERVAL_MS, on_step, emulator);
  while (emulator->cluster->now < until && !emulator->stop)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (step);
}

void
emulator_end (Emulator *emulator)
{
  for (int i = 0; i < emulator->cluster->n; i++)
    node_kill (emulator->cluster, i);
  emulator_wire_end (emulator);
  emulator_processes_end (emulator);
  if (emulator->remove_files && g_rmdir (emulator->dir) != 0)
    g_warning ("emulator: cannot delete %s: %s", emulator->dir, g_strerror (errno));
  g_free (emulator->dir);
}
