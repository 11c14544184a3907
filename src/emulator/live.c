#include "emulator/live.h"
#include <errno.h>
#include <glib/gstdio.h>

#define STEP_MS 4

void
live_catch_up (Live *s)
{
  double now = (g_get_monotonic_time () - s->began) / 1e6;
  s->longest_gap = MAX (s->longest_gap, now - s->w->now);
  world_run (s->w, now);
}

void
live_prepare (Live *s, guint32 seed, int nodes)
{
  g_autoptr (GError) error = NULL;
  s->dir = g_dir_make_tmp ("hoprock-live-XXXXXX", &error);
  if (!s->dir)
    g_error ("emulator: %s", error->message);
  s->w = world_prepare (seed, nodes);
  s->w->controllers = &live_controllers;
  s->w->controllers_data = s;
  live_wire_prepare (s);
  live_processes_prepare (s);
}

void
live_begin (Live *s)
{
  s->began = g_get_monotonic_time ();
  world_begin (s->w);
}

static gboolean
on_step (gpointer data)
{
  live_catch_up (data);
  return G_SOURCE_CONTINUE;
}

void
live_run (Live *s, double until)
{
  guint step = g_timeout_add (STEP_MS, on_step, s);
  while (s->w->now < until && !s->stop)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (step);
}

void
live_end (Live *s)
{
  for (int i = 0; i < s->w->n; i++)
    node_kill (s->w, i);
  live_wire_end (s);
  live_processes_end (s);
  if (s->remove_files && g_rmdir (s->dir) != 0)
    g_warning ("emulator: %s is left behind: %s", s->dir, g_strerror (errno));
  g_free (s->dir);
}
