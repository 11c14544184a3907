/* Days on which troubles meet: played, and looked at when they are over. */
#include "sim/meeting.h"
#include <stdio.h>

#define DAY_S 700.0 /* long enough after the last trouble for all work to end */

/* All work is done, and each planned trouble took effect on something. */
static void
check_end (World *w, const HrTrouble *day, guint n)
{
  for (guint i = 0; i < w->jobs->len; i++) {
    SJob *j = w->jobs->pdata[i];
    if (!j->accepted)
      w_broken (w, "liveness", "%s was never accepted", j->id);
    else if (j->asked_cancel && !j->told_withdrawn && !j->told_done)
      w_broken (w, "liveness", "%s was not withdrawn", j->id);
    else if (!j->asked_cancel && j->shape != HR_SERVICE && !j->told_done)
      w_broken (w, "liveness", "%s (%d, %u tasks) is not done", j->id, j->shape, j->tasks);
    else if (!j->asked_cancel && j->shape == HR_SERVICE && !j->started)
      w_broken (w, "liveness", "%s never ran", j->id);
  }
  for (guint i = 0; i < n; i++)
    if (!w->troubles.played[day[i].kind])
      w_broken (w, "played", "%s took no effect", trouble_kind_name (day[i].kind));
}

guint
meeting_play (guint32 seed, const MeetingSetting *set, const HrTrouble *day, guint n)
{
  World *w = world_new (seed, seed % 3 == 2 ? 5 : 3);
  w->quota_gpus = set->quota_gpus;
  if (set->capacity)
    w->capacity = set->capacity;
  if (set->quota_gpus > 0)
    world_restart (w);
  users_init (w, set->users ? 0 : 40, 300);
  if (set->users)
    set->users (w);
  users_probe (w);
  troubles_plan (w, day, n);
  world_run (w, set->until > 0 ? set->until : DAY_S);
  check_end (w, day, n);
  if (set->started_withdrawn && w->started_withdrawn > set->started_withdrawn)
    w_broken (w, "started_withdrawn", "%u tasks start after a confirmed cancellation",
              w->started_withdrawn);
  guint broken = w->broken->len;
  for (guint i = 0; i < MIN (broken, 12); i++)
    fprintf (stderr, "seed %u: %s\n", seed, (char *)w->broken->pdata[i]);
  if (g_getenv ("HR_SIM_VERBOSE"))
    fprintf (stderr,
             "seed %u: %u jobs, %u starts, %u of cancelled jobs, epoch %" G_GUINT64_FORMAT "\n",
             seed, w->jobs->len, w->starts, w->started_withdrawn, w->epoch);
  world_free (w);
  return broken;
}
