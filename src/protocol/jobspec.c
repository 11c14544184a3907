#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <math.h>
#include <string.h>

static const char *const shapes[] = {"batch", "ensemble", "daemon"};
static const char *const ranks[] = {"production", "urgent", "normal", "low"};

void
hr_names_init (HrNames *n)
{
  hr_intern_init (&n->classes);
  hr_intern_init (&n->teams);
  hr_intern_init (&n->images);
  hr_intern_init (&n->types);
  hr_intern_init (&n->zones);
}

void
hr_names_clear (HrNames *n)
{
  hr_intern_clear (&n->classes);
  hr_intern_clear (&n->teams);
  hr_intern_clear (&n->images);
  hr_intern_clear (&n->types);
  hr_intern_clear (&n->zones);
}

gboolean
hr_job_id_valid (const char *id)
{
  if (!id || strncmp (id, "job-", 4) != 0 || !id[4] || strlen (id) > 100)
    return FALSE;
  for (const char *p = id + 4; *p; p++)
    if (!g_ascii_isalnum (*p) && *p != '-' && *p != '_' && *p != '.')
      return FALSE;
  return TRUE;
}

static int
find_name (const char *const *list, int n, const char *s)
{
  for (int i = 0; s && i < n; i++)
    if (strcmp (list[i], s) == 0)
      return i;
  return -1;
}

static gboolean
bad (char **reason, const char *field, const char *why)
{
  *reason = g_strdup_printf ("field %s: %s", field, why);
  return FALSE;
}

static gboolean
text_field (const json_t *o, const char *key, HrIntern *in, guint32 *out, char **reason)
{
  const char *s = hr_json_str (o, key);
  if (!s || !*s || strlen (s) > 200)
    return bad (reason, key, "expected a text of 1 to 200 bytes");
  *out = hr_intern (in, s);
  return TRUE;
}

static gboolean
amount (const json_t *o, const char *key, double *out, char **reason)
{
  if (!hr_json_num (o, key, out) || *out < 0 || *out > 1e9)
    return bad (reason, key, "expected a number from 0 to 1e9");
  return TRUE;
}

static gboolean
flag (const json_t *o, const char *key, gboolean *out, char **reason)
{
  if (!hr_json_bool (o, key, out))
    return bad (reason, key, "expected true or false");
  return TRUE;
}

/* TRUE also for what is no array at all. */
static gboolean
only_strings (const json_t *array)
{
  for (size_t i = 0; i < json_array_size (array); i++)
    if (!json_is_string (json_array_get (array, i)))
      return FALSE;
  return TRUE;
}

/* Types that the cloud does not offer are dropped; if none is left, the top bit, which no type
 * has, makes the job fit nothing. No types: any (0). */
static guint64
type_bits (const json_t *types, HrNames *names)
{
  guint64 bits = 0;
  for (size_t i = 0; i < json_array_size (types); i++) {
    guint32 type = hr_intern_find (&names->types, json_string_value (json_array_get (types, i)));
    bits |= (guint64)1 << MIN (type, 63);
  }
  return bits;
}

gboolean
hr_jobspec_parse (const json_t *o, HrNames *names, HrJobSpec *s, const char **id, char **reason)
{
  memset (s, 0, sizeof *s);
  if (!json_is_object (o)) {
    *reason = g_strdup ("the body is not a JSON object");
    return FALSE;
  }
  *id = hr_json_str (o, "name_id");
  if (!hr_job_id_valid (*id))
    return bad (reason, "name_id", "expected a job id such as job-000412");
  int shape = find_name (shapes, 3, hr_json_str (o, "shape"));
  if (shape < 0)
    return bad (reason, "shape", "expected batch, ensemble or daemon");
  int priority = find_name (ranks, 4, hr_json_str (o, "rank"));
  if (priority < 0)
    return bad (reason, "rank", "expected production, urgent, normal or low");
  s->shape = shape;
  s->priority = priority;
  guint64 n;
  if (!hr_json_count (o, "pieces", HR_MAX_TASKS, &n) || n == 0)
    return bad (reason, "pieces", "expected an integer from 1 to 100000");
  s->tasks = n;
  if (!amount (o, "vcpus", &s->cpus, reason) || !amount (o, "accelerators", &s->gpus, reason) ||
      !amount (o, "memory_gb", &s->memory_gb, reason) ||
      !amount (o, "size_gb", &s->image_gb, reason) ||
      !amount (o, "guess_s", &s->estimate_s, reason) ||
      !amount (o, "cairn_s", &s->checkpoint_s, reason) ||
      !amount (o, "stash_s", &s->save_s, reason))
    return FALSE;
  const json_t *due = json_object_get (o, "due_s");
  s->deadline_s = -1;
  if (due && !json_is_null (due) && !amount (o, "due_s", &s->deadline_s, reason))
    return FALSE;
  if (!flag (o, "together", &s->one_zone, reason) || !flag (o, "apart", &s->spread, reason) ||
      !flag (o, "loaners", &s->allows_spot, reason))
    return FALSE;
  /* Names are interned last, so that a bad submission leaves no trace. */
  const json_t *types = json_object_get (o, "hulls"), *zone = json_object_get (o, "quarry");
  if (types && !json_is_null (types) && !json_is_array (types))
    return bad (reason, "hulls", "expected an array of machine types, or null");
  if (zone && !json_is_null (zone) && (!json_is_string (zone) || !json_string_length (zone)))
    return bad (reason, "quarry", "expected the name of a zone, or null");
  if (!only_strings (types))
    return bad (reason, "hulls", "expected an array of machine types, or null");
  if (json_is_array (types) && json_array_size (types) == 0)
    return bad (reason, "hulls", "an empty list allows no machine");
  if (!text_field (o, "jobclass", &names->classes, &s->job_class, reason) ||
      !text_field (o, "crew", &names->teams, &s->team, reason) ||
      !text_field (o, "bundle", &names->images, &s->image, reason))
    return FALSE;
  s->types = type_bits (types, names);
  s->zone = json_is_string (zone) ? hr_intern (&names->zones, json_string_value (zone)) : HR_NONE;
  return TRUE;
}

GStrv
hr_job_ids_read (const json_t *a)
{
  size_t i;
  json_t *e;
  if (!json_is_array (a))
    return NULL;
  g_autoptr (GStrvBuilder) ids = g_strv_builder_new ();
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  json_array_foreach (a, i, e)
  {
    const char *id = json_string_value (e);
    if (!hr_job_id_valid (id))
      return NULL;
    if (g_hash_table_add (seen, (gpointer)id))
      g_strv_builder_add (ids, id);
  }
  return g_strv_builder_end (ids);
}

gboolean
hr_jobspec_awaits (const json_t *o, GStrv *out, char **reason)
{
  const json_t *a = json_object_get (o, "awaits");
  *out = NULL;
  if (!a || json_is_null (a))
    return TRUE;
  *out = hr_job_ids_read (a);
  if (!*out)
    return bad (reason, "awaits", "expected an array of job ids such as job-000398, or null");
  if (!**out)
    g_clear_pointer (out, g_strfreev);
  return TRUE;
}

json_t *
hr_jobspec_pack (const HrJobSpec *s, const HrNames *names)
{
  json_t *types = json_null ();
  if (s->types) {
    types = json_array ();
    for (guint i = 0; i < 63; i++)
      if (s->types >> i & 1)
        json_array_append_new (types, json_string (hr_intern_name (&names->types, i)));
  }
  json_t *zone =
      s->zone == HR_NONE ? json_null () : json_string (hr_intern_name (&names->zones, s->zone));
  return json_pack ("[sssiiiffffofffobbbf]", hr_intern_name (&names->classes, s->job_class),
                    hr_intern_name (&names->teams, s->team),
                    hr_intern_name (&names->images, s->image), (int)s->shape, (int)s->priority,
                    (int)s->tasks, s->cpus, s->gpus, s->memory_gb, s->image_gb, types,
                    s->estimate_s, s->checkpoint_s, s->save_s, zone, s->one_zone, s->spread,
                    s->allows_spot, s->deadline_s);
}

gboolean
hr_jobspec_unpack (const json_t *a, HrNames *names, HrJobSpec *s)
{
  const char *k, *t, *im;
  int shape, priority, tasks, z, sp, st;
  json_t *types, *zone;
  memset (s, 0, sizeof *s);
  if (json_unpack ((json_t *)a, "[sssiiiFFFFoFFFobbbF]", &k, &t, &im, &shape, &priority, &tasks,
                   &s->cpus, &s->gpus, &s->memory_gb, &s->image_gb, &types, &s->estimate_s,
                   &s->checkpoint_s, &s->save_s, &zone, &z, &sp, &st, &s->deadline_s) != 0)
    return FALSE;
  if (shape < 0 || shape > 2 || priority < 0 || priority > 3 || tasks < 1 || tasks > HR_MAX_TASKS)
    return FALSE;
  s->shape = shape;
  s->priority = priority;
  s->tasks = tasks;
  s->one_zone = z;
  s->spread = sp;
  s->allows_spot = st;
  s->job_class = hr_intern (&names->classes, k);
  s->team = hr_intern (&names->teams, t);
  s->image = hr_intern (&names->images, im);
  s->zone = json_is_string (zone) ? hr_intern (&names->zones, json_string_value (zone)) : HR_NONE;
  size_t i;
  json_t *e;
  json_array_foreach (types, i, e)
  {
    /* A record is read before the machine types are known: intern them here. */
    guint32 x = json_is_string (e) ? hr_intern (&names->types, json_string_value (e)) : 63;
    s->types |= (guint64)1 << MIN (x, 63);
  }
  return TRUE;
}
