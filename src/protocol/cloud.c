#include "protocol/cloud.h"
#include "protocol/json_util.h"

static void
type_clear (gpointer p)
{
  HrMachineType *t = p;
  g_clear_pointer (&t->zones, g_array_unref);
}

GArray *
hr_machine_types_parse (const json_t *root, HrNames *names)
{
  json_t *list = json_object_get (root, "hulls"), *o, *z;
  GArray *out = g_array_new (FALSE, TRUE, sizeof (HrMachineType));
  g_array_set_clear_func (out, type_clear);
  size_t i, j;
  json_array_foreach (list, i, o)
  {
    HrMachineType t = {0};
    const char *sku = hr_json_str (o, "sku");
    if (!sku || !hr_json_num (o, "vcpus", &t.cpus) || !hr_json_num (o, "accelerators", &t.gpus) ||
        !hr_json_num (o, "memory_gb", &t.memory_gb) || !hr_json_num (o, "cache_gb", &t.cache_gb) ||
        !hr_json_num (o, "fetch_gb_per_s", &t.fetch_rate) || !hr_json_num (o, "hourly", &t.price) ||
        !hr_json_num (o, "startup_s", &t.boot_s))
      continue;
    if (!hr_json_num (o, "low_price", &t.spot_price))
      t.spot_price = t.price;
    t.fetch_rate = MAX (t.fetch_rate, 1e-3);
    t.type = hr_intern (&names->types, sku);
    if (t.type >= 63)
      continue; /* more types than the bit set of a job holds */
    t.zones = g_array_new (FALSE, TRUE, sizeof (guint32));
    json_t *zones = json_object_get (o, "quarries");
    json_array_foreach (zones, j, z) if (json_is_string (z))
    {
      guint32 k = hr_intern (&names->zones, json_string_value (z));
      g_array_append_val (t.zones, k);
    }
    if (t.zones->len)
      g_array_append_val (out, t);
    else
      type_clear (&t);
  }
  if (out->len)
    return out;
  g_array_unref (out);
  return NULL;
}

gboolean
hr_listed_instance_parse (const json_t *o, HrListedInstance *m)
{
  m->name = hr_json_str (o, "name_id");
  m->address = hr_json_str (o, "addr");
  m->type = hr_json_str (o, "hull");
  m->zone = hr_json_str (o, "quarry");
  const char *st = hr_json_str (o, "stance");
  if (!m->name || !m->type || !m->zone || !st || !hr_json_bool (o, "loaners", &m->is_spot))
    return FALSE;
  if (!hr_json_num (o, "age_s", &m->age))
    m->age = 0;
  m->state = g_str_equal (st, "starting") ? HR_INSTANCE_STARTING
             : g_str_equal (st, "failed") ? HR_INSTANCE_FAILED
                                          : HR_INSTANCE_RUNNING;
  return TRUE;
}
