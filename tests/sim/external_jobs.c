/* Creates simulated jobs for submissions from users outside this process.
 * src/protocol/wire_names.h explains the fields of a submission. */
#include "sim/external_jobs.h"
#include "sim/user.h"
#include "sim/cluster.h"
#include "protocol/json_util.h"

#define MIN_RUN_S 1.0
#define N_IMAGES 1000

static guint
shape_of (const char *name)
{
  return g_strcmp0 (name, "daemon") == 0     ? HR_SERVICE
         : g_strcmp0 (name, "ensemble") == 0 ? HR_GANG
                                             : HR_BATCH;
}

static double
number (const json_t *object, const char *key)
{
  double value = 0;
  hr_json_num (object, key, &value);
  return value;
}

/* Returns the jobs that the submission awaits, for the checks in sim/pipeline.c. Ids that were
 * never submitted are left out: a controller refuses such a submission. */
static GPtrArray *
read_awaits (SimCluster *cluster, const json_t *object)
{
  GPtrArray *awaits = g_ptr_array_new ();
  const json_t *id;
  size_t i;
  json_array_foreach (json_object_get (object, "awaits"), i, id)
  {
    guint32 index;
    SimJob *awaited =
        json_is_string (id) ? job_by_id (cluster, json_string_value (id), &index) : NULL;
    if (awaited)
      g_ptr_array_add (awaits, awaited);
  }
  return awaits;
}

static SimJob *
read_job (SimCluster *cluster, const json_t *object)
{
  SimJob *job = g_new0 (SimJob, 1);
  const char *zone = hr_json_str (object, "quarry"), *image = hr_json_str (object, "bundle");
  job->id = g_strdup (hr_json_str (object, "name_id"));
  job->shape = shape_of (hr_json_str (object, "shape"));
  job->tasks = CLAMP (number (object, "pieces"), 1, HR_MAX_TASKS);
  job->cpus = number (object, "vcpus");
  job->gpus = number (object, "accelerators");
  job->mem = number (object, "memory_gb");
  job->image = image ? g_str_hash (image) % N_IMAGES : 0;
  job->image_gb = number (object, "size_gb");
  job->run = MAX (MIN_RUN_S, number (object, "guess_s") * sim_rand_range (cluster, 0.67, 1.33));
  job->checkpoint = number (object, "cairn_s");
  job->save = number (object, "stash_s");
  job->one_zone = json_is_true (json_object_get (object, "together"));
  job->spread = json_is_true (json_object_get (object, "apart"));
  job->spot = json_is_true (json_object_get (object, "loaners"));
  /* Index of the zone plus one; 0: any zone. */
  job->zone = zone ? (g_str_equal (zone, "z0") ? 1 : 2) : 0;
  job->submitted = TRUE;
  job->awaits = read_awaits (cluster, object);
  job->done = g_new0 (guint, job->tasks);
  job->progress = g_new0 (double, job->tasks);
  return job;
}

SimJob *
external_job (SimCluster *cluster, const char *body)
{
  json_t *object = json_loads (body, 0, NULL);
  const char *id = hr_json_str (object, "name_id");
  guint32 index;
  SimJob *job = id ? job_by_id (cluster, id, &index) : NULL;
  if (!job && hr_job_id_valid (id)) {
    job = read_job (cluster, object);
    g_ptr_array_add (cluster->jobs, job);
    g_hash_table_insert (cluster->job_index, job->id, GUINT_TO_POINTER (cluster->jobs->len));
  }
  json_decref (object);
  return job;
}
