#include "protocol/cloud.h"
#include "protocol/json_util.h"
#include "protocol/wire_names.h"

/* Maximum number of entries on one page of the list of instances. */
#define LIST_PAGE_ENTRIES "500"
/* Lower bound of the fetch rate, in gigabytes per second. The rate must not be zero, since an
 * image's fetch time is its size divided by the rate. */
#define MIN_FETCH_RATE 1e-3

static const HrJsonMember machine_type_members[] = {{.name = HR_WIRE_TYPE_NAME},
                                                    {.name = HR_WIRE_CPUS},
                                                    {.name = HR_WIRE_GPUS},
                                                    {.name = HR_WIRE_MEMORY_GB},
                                                    {.name = HR_WIRE_CACHE_GB},
                                                    {.name = HR_WIRE_FETCH_GB_PER_S},
                                                    {.name = HR_WIRE_PRICE},
                                                    {.name = HR_WIRE_SPOT_PRICE},
                                                    {.name = HR_WIRE_BOOT_S},
                                                    {.name = HR_WIRE_ZONES, .kind = HR_JSON_LIST},
                                                    {.name = NULL}};

static const HrJsonMember instance_members[] = {{.name = HR_WIRE_ID},
                                                {.name = HR_WIRE_ADDRESS},
                                                {.name = HR_WIRE_MACHINE_TYPE},
                                                {.name = HR_WIRE_ZONE},
                                                {.name = HR_WIRE_SPOT},
                                                {.name = HR_WIRE_STATE},
                                                {.name = HR_WIRE_INSTANCE_AGE_S},
                                                {.name = NULL}};

const HrJsonMember hr_cloud_answer_members[] = {
    {.name = HR_WIRE_MACHINE_TYPES, .kind = HR_JSON_LIST, .members = machine_type_members},
    {.name = HR_WIRE_INSTANCES,
     .kind = HR_JSON_LIST,
     .members = instance_members}, /* or the names of new instances */
    {.name = HR_WIRE_MORE},
    {.name = HR_WIRE_ERROR},
    {.name = NULL}};

static void
type_clear (gpointer data)
{
  HrMachineType *type = data;
  g_clear_pointer (&type->zones, g_array_unref);
}

GArray *
hr_machine_types_parse (const json_t *root, HrNames *names)
{
  json_t *list = json_object_get (root, HR_WIRE_MACHINE_TYPES), *object, *zone;
  GArray *out = g_array_new (FALSE, TRUE, sizeof (HrMachineType));
  g_array_set_clear_func (out, type_clear);
  size_t i, k;
  json_array_foreach (list, i, object)
  {
    HrMachineType type = {0};
    const char *sku = hr_json_str (object, HR_WIRE_TYPE_NAME);
    if (!sku || !hr_json_num (object, HR_WIRE_CPUS, &type.cpus) ||
        !hr_json_num (object, HR_WIRE_GPUS, &type.gpus) ||
        !hr_json_num (object, HR_WIRE_MEMORY_GB, &type.memory_gb) ||
        !hr_json_num (object, HR_WIRE_CACHE_GB, &type.cache_gb) ||
        !hr_json_num (object, HR_WIRE_FETCH_GB_PER_S, &type.fetch_rate) ||
        !hr_json_num (object, HR_WIRE_PRICE, &type.price) ||
        !hr_json_num (object, HR_WIRE_BOOT_S, &type.boot_s))
      continue;
    if (!hr_json_num (object, HR_WIRE_SPOT_PRICE, &type.spot_price))
      type.spot_price = type.price;
    type.fetch_rate = MAX (type.fetch_rate, MIN_FETCH_RATE);
    type.type = hr_intern (&names->types, sku);
    if (type.type >= HR_MAX_MACHINE_TYPES)
      continue; /* HrJobSpec.types has no bit for it */
    type.zones = g_array_new (FALSE, TRUE, sizeof (guint32));
    json_t *zones = json_object_get (object, HR_WIRE_ZONES);
    json_array_foreach (zones, k, zone) if (json_is_string (zone))
    {
      guint32 zone_index = hr_intern (&names->zones, json_string_value (zone));
      g_array_append_val (type.zones, zone_index);
    }
    if (type.zones->len)
      g_array_append_val (out, type);
    else
      type_clear (&type);
  }
  if (out->len)
    return out;
  g_array_unref (out);
  return NULL;
}

gboolean
hr_listed_instance_parse (const json_t *object, HrListedInstance *listed)
{
  listed->name = hr_json_str (object, HR_WIRE_ID);
  listed->address = hr_json_str (object, HR_WIRE_ADDRESS);
  listed->type = hr_json_str (object, HR_WIRE_MACHINE_TYPE);
  listed->zone = hr_json_str (object, HR_WIRE_ZONE);
  const char *state_name = hr_json_str (object, HR_WIRE_STATE);
  if (!listed->name || !listed->type || !listed->zone || !state_name ||
      !hr_json_bool (object, HR_WIRE_SPOT, &listed->is_spot))
    return FALSE;
  if (!hr_json_num (object, HR_WIRE_INSTANCE_AGE_S, &listed->age))
    listed->age = 0;
  listed->state = g_str_equal (state_name, HR_WIRE_INSTANCE_STARTING) ? HR_INSTANCE_STARTING
                  : g_str_equal (state_name, HR_WIRE_INSTANCE_FAILED) ? HR_INSTANCE_FAILED
                                                                      : HR_INSTANCE_RUNNING;
  return TRUE;
}

char *
hr_instance_list_path (const char *cursor)
{
  return cursor ? g_strdup_printf (HR_CLOUD_INSTANCES_PATH "?after=%s&limit=" LIST_PAGE_ENTRIES,
                                   cursor)
                : g_strdup (HR_CLOUD_INSTANCES_PATH "?limit=" LIST_PAGE_ENTRIES);
}

const json_t *
hr_instance_list_entries (const json_t *answer)
{
  const json_t *entries = json_object_get (answer, HR_WIRE_INSTANCES);
  return json_is_array (entries) ? entries : NULL;
}

gboolean
hr_instance_list_has_more (const json_t *answer)
{
  gboolean more = FALSE;
  hr_json_bool (answer, HR_WIRE_MORE, &more);
  return more;
}

char *
hr_instance_request_text (const HrInstanceRequest *request)
{
  return hr_json_take_text (json_pack ("{sssssssbsi}", HR_WIRE_REQUEST_NAME, request->name,
                                       HR_WIRE_MACHINE_TYPE, request->type, HR_WIRE_ZONE,
                                       request->zone, HR_WIRE_SPOT, request->is_spot, HR_WIRE_COUNT,
                                       (int)request->count));
}

const json_t *
hr_instances_granted (const json_t *answer)
{
  return json_object_get (answer, HR_WIRE_INSTANCES);
}

char *
hr_instance_deletion_text (json_t *names)
{
  return hr_json_take_text (json_pack ("{so}", HR_WIRE_INSTANCES, names));
}
