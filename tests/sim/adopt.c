/* Jobs of users outside this process: the stand-ins learn of them as they are submitted. */
#include "sim/world.h"
#include "protocol/json_util.h"

#define SHORTEST_S 1.0
#define IMAGES 1000

static guint
shape_of (const char *name)
{
  return g_strcmp0 (name, "daemon") == 0     ? HR_SERVICE
         : g_strcmp0 (name, "ensemble") == 0 ? HR_GANG
                                             : HR_BATCH;
}

static double
number (const json_t *o, const char *key)
{
  double value = 0;
  hr_json_num (o, key, &value);
  return value;
}

/* The rules of pipelines are judged by what the stand-ins know: what was never submitted is no job
 * of theirs, and such a submission is refused. */
static GPtrArray *
read_awaits (World *w, const json_t *o)
{
  GPtrArray *awaits = g_ptr_array_new ();
  const json_t *id;
  size_t i;
  json_array_foreach (json_object_get (o, "awaits"), i, id)
  {
    guint32 index;
    SJob *before = json_is_string (id) ? job_by_id (w, json_string_value (id), &index) : NULL;
    if (before)
      g_ptr_array_add (awaits, before);
  }
  return awaits;
}

static SJob *
read_job (World *w, const json_t *o)
{
  SJob *j = g_new0 (SJob, 1);
  const char *zone = hr_json_str (o, "quarry"), *image = hr_json_str (o, "bundle");
  j->id = g_strdup (hr_json_str (o, "name_id"));
  j->shape = shape_of (hr_json_str (o, "shape"));
  j->tasks = CLAMP (number (o, "pieces"), 1, HR_MAX_TASKS);
  j->cpus = number (o, "vcpus");
  j->gpus = number (o, "accelerators");
  j->mem = number (o, "memory_gb");
  j->image = image ? g_str_hash (image) % IMAGES : 0;
  j->image_gb = number (o, "size_gb");
  j->run = MAX (SHORTEST_S, number (o, "guess_s") * w_rand (w, 0.67, 1.33));
  j->checkpoint = number (o, "cairn_s");
  j->save = number (o, "stash_s");
  j->one_zone = json_is_true (json_object_get (o, "together"));
  j->spread = json_is_true (json_object_get (o, "apart"));
  j->spot = json_is_true (json_object_get (o, "loaners"));
  j->zone = zone ? (g_str_equal (zone, "z0") ? 1 : 2) : 0;
  j->submitted = TRUE;
  j->awaits = read_awaits (w, o);
  j->done = g_new0 (guint, j->tasks);
  j->progress = g_new0 (double, j->tasks);
  return j;
}

SJob *
job_adopt (World *w, const char *body)
{
  json_t *o = json_loads (body, 0, NULL);
  const char *id = hr_json_str (o, "name_id");
  guint32 index;
  SJob *j = id ? job_by_id (w, id, &index) : NULL;
  if (!j && hr_job_id_valid (id)) {
    j = read_job (w, o);
    g_ptr_array_add (w->jobs, j);
    g_hash_table_insert (w->job_index, j->id, GUINT_TO_POINTER (w->jobs->len));
  }
  json_decref (o);
  return j;
}
