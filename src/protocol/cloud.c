#include "protocol/cloud.h"
#include "protocol/json_util.h"

static void
type_clear (gpointer data)
{
  HrMachineType *type = data;
  g_clear_pointer (&type->zones, g_array_unref);
}

GArray *
hr_machine_types_parse (const json_t *root, HrNames *names)
{
  json_t *list = json_object_get (root, "hulls"), *object, *zone;
  GArray *out = g_array_new (FALSE, TRUE, sizeof (HrMachineType));
  g_array_set_clear_func (out, type_clear);
  size_t i, j;
  json_array_foreach (list, i, object)
  {
    HrMachineType type = {0};
    const char *sku = hr_json_str (object, "sku");
    if (!sku || !hr_json_num (object, "vcpus", &type.cpus) ||
        !hr_json_num (object, "accelerators", &type.gpus) ||
        !hr_json_num (object, "memory_gb", &type.memory_gb) ||
        !hr_json_num (object, "cache_gb", &type.cache_gb) ||
        !hr_json_num (object, "fetch_gb_per_s", &type.fetch_rate) ||
        !hr_json_num (object, "hourly", &type.price) ||
        !hr_json_num (object, "startup_s", &type.boot_s))
      continue;
    if (!hr_json_num (object, "low_price", &type.spot_price))
      type.spot_price = type.price;
    type.fetch_rate = MAX (type.fetch_rate, 1e-3);
    type.type = hr_intern (&names->types, sku);
    if (type.type >= 63)
      continue; /* more types than the bit set of a job holds */
    type.zones = g_array_new (FALSE, TRUE, sizeof (guint32));
    json_t *zones = json_object_get (object, "quarries");
    json_array_foreach (zones, j, zone) if (json_is_string (zone))
    {
      guint32 k = hr_intern (&names->zones, json_string_value (zone));
      g_array_append_val (type.zones, k);
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
  listed->name = hr_json_str (object, "name_id");
  listed->address = hr_json_str (object, "addr");
  listed->type = hr_json_str (object, "hull");
  listed->zone = hr_json_str (object, "quarry");
  const char *state_name = hr_json_str (object, "stance");
  if (!listed->name || !listed->type || !listed->zone || !state_name ||
      !hr_json_bool (object, "loaners", &listed->is_spot))
    return FALSE;
  if (!hr_json_num (object, "age_s", &listed->age))
    listed->age = 0;
  listed->state = g_str_equal (state_name, "starting") ? HR_INSTANCE_STARTING
                  : g_str_equal (state_name, "failed") ? HR_INSTANCE_FAILED
                                                       : HR_INSTANCE_RUNNING;
  return TRUE;
}
