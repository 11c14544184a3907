#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include "protocol/wire_names.h"
#include <math.h>
#include <string.h>

/* Maximum length in bytes of the name of a class, a team or an image. */
#define MAX_NAME_BYTES 200
/* Maximum value of a numeric field in a submission. */
#define MAX_AMOUNT 1e9
/* The bit of HrJobSpec.types that stands for all types that the cloud does not offer. */
#define UNKNOWN_TYPE_BIT HR_MAX_MACHINE_TYPES

/* Indexed by HrShape and by HrPriority. */
static const char *const shapes[] = {HR_WIRE_SHAPE_BATCH, HR_WIRE_SHAPE_GANG,
                                     HR_WIRE_SHAPE_SERVICE};
static const char *const priorities[] = {"production", "urgent", "normal", "low"};

const HrJsonMember hr_submission_members[] = {{.name = HR_WIRE_ID},
                                              {.name = HR_WIRE_JOB_CLASS},
                                              {.name = HR_WIRE_TEAM},
                                              {.name = HR_WIRE_SHAPE},
                                              {.name = HR_WIRE_PRIORITY},
                                              {.name = HR_WIRE_TASKS, .kind = HR_JSON_COUNT},
                                              {.name = HR_WIRE_CPUS},
                                              {.name = HR_WIRE_GPUS},
                                              {.name = HR_WIRE_MEMORY_GB},
                                              {.name = HR_WIRE_IMAGE},
                                              {.name = HR_WIRE_IMAGE_GB},
                                              {.name = HR_WIRE_MACHINE_TYPES, .kind = HR_JSON_LIST},
                                              {.name = HR_WIRE_ZONE},
                                              {.name = HR_WIRE_ONE_ZONE},
                                              {.name = HR_WIRE_SPREAD},
                                              {.name = HR_WIRE_SPOT},
                                              {.name = HR_WIRE_ESTIMATE_S},
                                              {.name = HR_WIRE_CHECKPOINT_S},
                                              {.name = HR_WIRE_SAVE_S},
                                              {.name = HR_WIRE_DEADLINE_S},
                                              {.name = HR_WIRE_AWAITS, .kind = HR_JSON_LIST},
                                              {.name = NULL}};

void
hr_names_init (HrNames *names)
{
  hr_intern_init (&names->classes);
  hr_intern_init (&names->teams);
  hr_intern_init (&names->images);
  hr_intern_init (&names->types);
  hr_intern_init (&names->zones);
}

HrNamesMark
hr_names_mark (const HrNames *names)
{
  return (HrNamesMark){names->classes.names->len, names->teams.names->len, names->images.names->len,
                       names->types.names->len, names->zones.names->len};
}

void
hr_names_reset (HrNames *names, HrNamesMark mark)
{
  hr_intern_truncate (&names->classes, mark.classes);
  hr_intern_truncate (&names->teams, mark.teams);
  hr_intern_truncate (&names->images, mark.images);
  hr_intern_truncate (&names->types, mark.types);
  hr_intern_truncate (&names->zones, mark.zones);
}

void
hr_names_clear (HrNames *names)
{
  hr_intern_clear (&names->classes);
  hr_intern_clear (&names->teams);
  hr_intern_clear (&names->images);
  hr_intern_clear (&names->types);
  hr_intern_clear (&names->zones);
}

gboolean
hr_job_id_valid (const char *id)
{
  if (!id || strncmp (id, "job-", 4) != 0 || !id[4] || strlen (id) > HR_JOB_ID_MAX_BYTES)
    return FALSE;
  for (const char *text = id + 4; *text; text++)
    if (!g_ascii_isalnum (*text) && *text != '-' && *text != '_' && *text != '.')
      return FALSE;
  return TRUE;
}

static int
find_name (const char *const *list, int n, const char *text)
{
  for (int i = 0; text && i < n; i++)
    if (strcmp (list[i], text) == 0)
      return i;
  return -1;
}

/* Sets *error for an invalid field. Always returns FALSE, so that callers can return the result. */
static gboolean
set_field_error (GError **error, const char *field, const char *why)
{
  g_set_error (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_FIELD, "field %s: %s", field, why);
  return FALSE;
}

static gboolean
parse_name (const json_t *object, const char *key, HrIntern *intern, guint32 *out, GError **error)
{
  const char *text = hr_json_str (object, key);
  if (!text || !*text || strlen (text) > MAX_NAME_BYTES)
    return set_field_error (error, key, "expected a text of 1 to 200 bytes");
  *out = hr_intern (intern, text);
  return TRUE;
}

static gboolean
parse_amount (const json_t *object, const char *key, double *out, GError **error)
{
  if (!hr_json_num (object, key, out) || *out < 0 || *out > MAX_AMOUNT)
    return set_field_error (error, key, "expected a number from 0 to 1e9");
  return TRUE;
}

static gboolean
parse_flag (const json_t *object, const char *key, gboolean *out, GError **error)
{
  if (!hr_json_bool (object, key, out))
    return set_field_error (error, key, "expected true or false");
  return TRUE;
}

/* Returns whether all elements are strings; TRUE also for a value that is not an array. */
static gboolean
all_strings (const json_t *array)
{
  for (size_t i = 0; i < json_array_size (array); i++)
    if (!json_is_string (json_array_get (array, i)))
      return FALSE;
  return TRUE;
}

/* Returns the bit set of the allowed machine types; 0, which allows any type, for an empty list.
 * Types that the cloud does not offer set the top bit, which no machine type has: a job with no
 * other bit fits no machine. */
static guint64
type_bits (const json_t *types, HrNames *names)
{
  guint64 bits = 0;
  for (size_t i = 0; i < json_array_size (types); i++) {
    guint32 type = hr_intern_find (&names->types, json_string_value (json_array_get (types, i)));
    bits |= (guint64)1 << MIN (type, UNKNOWN_TYPE_BIT);
  }
  return bits;
}

static gboolean
parse_kind (const json_t *object, HrJobSpec *spec, GError **error)
{
  int shape = find_name (shapes, G_N_ELEMENTS (shapes), hr_json_str (object, HR_WIRE_SHAPE));
  if (shape < 0)
    return set_field_error (error, HR_WIRE_SHAPE,
                            "expected " HR_WIRE_SHAPE_BATCH ", " HR_WIRE_SHAPE_GANG
                            " or " HR_WIRE_SHAPE_SERVICE);
  int priority =
      find_name (priorities, G_N_ELEMENTS (priorities), hr_json_str (object, HR_WIRE_PRIORITY));
  if (priority < 0)
    return set_field_error (error, HR_WIRE_PRIORITY, "expected production, urgent, normal or low");
  guint64 tasks;
  if (!hr_json_count (object, HR_WIRE_TASKS, HR_MAX_TASKS, &tasks) || tasks == 0)
    return set_field_error (error, HR_WIRE_TASKS, "expected an integer from 1 to 100000");
  spec->shape = shape;
  spec->priority = priority;
  spec->tasks = tasks;
  return TRUE;
}

static gboolean
parse_amounts (const json_t *object, HrJobSpec *spec, GError **error)
{
  if (!parse_amount (object, HR_WIRE_CPUS, &spec->cpus, error) ||
      !parse_amount (object, HR_WIRE_GPUS, &spec->gpus, error) ||
      !parse_amount (object, HR_WIRE_MEMORY_GB, &spec->memory_gb, error) ||
      !parse_amount (object, HR_WIRE_IMAGE_GB, &spec->image_gb, error) ||
      !parse_amount (object, HR_WIRE_ESTIMATE_S, &spec->estimate_s, error) ||
      !parse_amount (object, HR_WIRE_CHECKPOINT_S, &spec->checkpoint_s, error) ||
      !parse_amount (object, HR_WIRE_SAVE_S, &spec->save_s, error))
    return FALSE;
  spec->deadline_s = -1;
  const json_t *deadline = json_object_get (object, HR_WIRE_DEADLINE_S);
  return !deadline || json_is_null (deadline) ||
         parse_amount (object, HR_WIRE_DEADLINE_S, &spec->deadline_s, error);
}

static gboolean
parse_flags (const json_t *object, HrJobSpec *spec, GError **error)
{
  return parse_flag (object, HR_WIRE_ONE_ZONE, &spec->one_zone, error) &&
         parse_flag (object, HR_WIRE_SPREAD, &spec->spread, error) &&
         parse_flag (object, HR_WIRE_SPOT, &spec->allows_spot, error);
}

/* Checks the fields for machine types and zone; NULL and JSON null allow any. */
static gboolean
check_placement (const json_t *types, const json_t *zone, GError **error)
{
  if (types && !json_is_null (types) && !json_is_array (types))
    return set_field_error (error, HR_WIRE_MACHINE_TYPES,
                            "expected an array of machine types, or null");
  if (zone && !json_is_null (zone) && (!json_is_string (zone) || !json_string_length (zone)))
    return set_field_error (error, HR_WIRE_ZONE, "expected the name of a zone, or null");
  if (!all_strings (types))
    return set_field_error (error, HR_WIRE_MACHINE_TYPES,
                            "expected an array of machine types, or null");
  if (json_is_array (types) && json_array_size (types) == 0)
    return set_field_error (error, HR_WIRE_MACHINE_TYPES, "an empty list allows no machine");
  return TRUE;
}

/* Returns the index of the zone; HR_NONE, which allows any zone, when the value is not a string. */
static guint32
zone_index (const json_t *zone, HrNames *names)
{
  return json_is_string (zone) ? hr_intern (&names->zones, json_string_value (zone)) : HR_NONE;
}

gboolean
hr_jobspec_parse (const json_t *object, HrNames *names, HrJobSpec *spec, const char **id,
                  GError **error)
{
  memset (spec, 0, sizeof *spec);
  if (!json_is_object (object)) {
    g_set_error_literal (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_FIELD,
                         "the body is not a JSON object");
    return FALSE;
  }
  *id = hr_json_str (object, HR_WIRE_ID);
  if (!hr_job_id_valid (*id))
    return set_field_error (error, HR_WIRE_ID, "expected a job id such as job-000412");
  const json_t *types = json_object_get (object, HR_WIRE_MACHINE_TYPES);
  const json_t *zone = json_object_get (object, HR_WIRE_ZONE);
  if (!parse_kind (object, spec, error) || !parse_amounts (object, spec, error) ||
      !parse_flags (object, spec, error) || !check_placement (types, zone, error))
    return FALSE;
  /* Names are interned last, so that an invalid submission adds none to the tables. */
  if (!parse_name (object, HR_WIRE_JOB_CLASS, &names->classes, &spec->job_class, error) ||
      !parse_name (object, HR_WIRE_TEAM, &names->teams, &spec->team, error) ||
      !parse_name (object, HR_WIRE_IMAGE, &names->images, &spec->image, error))
    return FALSE;
  spec->types = type_bits (types, names);
  spec->zone = zone_index (zone, names);
  return TRUE;
}

GStrv
hr_job_ids_read (const json_t *array)
{
  size_t i;
  json_t *entry;
  if (!json_is_array (array))
    return NULL;
  g_autoptr (GStrvBuilder) ids = g_strv_builder_new ();
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  json_array_foreach (array, i, entry)
  {
    const char *id = json_string_value (entry);
    if (!hr_job_id_valid (id))
      return NULL;
    if (g_hash_table_add (seen, (gpointer)id))
      g_strv_builder_add (ids, id);
  }
  return g_strv_builder_end (ids);
}

gboolean
hr_jobspec_parse_awaits (const json_t *object, GStrv *out, GError **error)
{
  const json_t *array = json_object_get (object, HR_WIRE_AWAITS);
  *out = NULL;
  if (!array || json_is_null (array))
    return TRUE;
  *out = hr_job_ids_read (array);
  if (!*out)
    return set_field_error (error, HR_WIRE_AWAITS,
                            "expected an array of job ids such as job-000398, or null");
  if (!**out)
    g_clear_pointer (out, g_strfreev);
  return TRUE;
}

json_t *
hr_jobspec_pack (const HrJobSpec *spec, const HrNames *names)
{
  json_t *types = json_null ();
  if (spec->types) {
    types = json_array ();
    for (guint i = 0; i < HR_MAX_MACHINE_TYPES; i++)
      if (spec->types >> i & 1)
        json_array_append_new (types, json_string (hr_intern_name (&names->types, i)));
  }
  json_t *zone = spec->zone == HR_NONE ? json_null ()
                                       : json_string (hr_intern_name (&names->zones, spec->zone));
  return json_pack ("[sssiiiffffofffobbbf]", hr_intern_name (&names->classes, spec->job_class),
                    hr_intern_name (&names->teams, spec->team),
                    hr_intern_name (&names->images, spec->image), (int)spec->shape,
                    (int)spec->priority, (int)spec->tasks, spec->cpus, spec->gpus, spec->memory_gb,
                    spec->image_gb, types, spec->estimate_s, spec->checkpoint_s, spec->save_s, zone,
                    spec->one_zone, spec->spread, spec->allows_spot, spec->deadline_s);
}

gboolean
hr_jobspec_unpack (const json_t *array, HrNames *names, HrJobSpec *spec)
{
  const char *class_name, *team_name, *image_name;
  int shape, priority, tasks, one_zone, spread, allows_spot;
  json_t *types, *zone;
  memset (spec, 0, sizeof *spec);
  if (json_unpack ((json_t *)array, "[sssiiiFFFFoFFFobbbF]", &class_name, &team_name, &image_name,
                   &shape, &priority, &tasks, &spec->cpus, &spec->gpus, &spec->memory_gb,
                   &spec->image_gb, &types, &spec->estimate_s, &spec->checkpoint_s, &spec->save_s,
                   &zone, &one_zone, &spread, &allows_spot, &spec->deadline_s) != 0)
    return FALSE;
  if (shape < 0 || shape >= (int)G_N_ELEMENTS (shapes) || priority < 0 ||
      priority >= (int)G_N_ELEMENTS (priorities) || tasks < 1 || tasks > HR_MAX_TASKS)
    return FALSE;
  spec->shape = shape;
  spec->priority = priority;
  spec->tasks = tasks;
  spec->one_zone = one_zone;
  spec->spread = spread;
  spec->allows_spot = allows_spot;
  spec->job_class = hr_intern (&names->classes, class_name);
  spec->team = hr_intern (&names->teams, team_name);
  spec->image = hr_intern (&names->images, image_name);
  spec->zone = zone_index (zone, names);
  size_t i;
  json_t *entry;
  json_array_foreach (types, i, entry)
  {
    /* Records may be read before the list of machine types, so the names are added here. */
    guint32 type = json_is_string (entry) ? hr_intern (&names->types, json_string_value (entry))
                                          : UNKNOWN_TYPE_BIT;
    spec->types |= (guint64)1 << MIN (type, UNKNOWN_TYPE_BIT);
  }
  return TRUE;
}
