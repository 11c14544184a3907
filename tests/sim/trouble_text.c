/* Converts planned faults to text and back, one line each, so that a day can be printed, stored and
 * replayed. */
#include "sim/troubles.h"
#include <string.h>

static const char *const kind_names[FAULT_KINDS] = {
    [FAULT_LATE_WRITES] = "late_writes",
    [FAULT_LATE_REPORTS] = "late_reports",
    [FAULT_LATE_COMMANDS] = "late_commands",
    [FAULT_MACHINE_INBOUND_CUT] = "machine_deaf",
    [FAULT_MACHINE_OUTBOUND_CUT] = "machine_mute",
    [FAULT_MACHINE_HANG] = "machine_hang",
    [FAULT_MACHINE_CUT] = "machine_cut",
    [FAULT_MACHINE_CRASH] = "machine_crash",
    [FAULT_CANCEL_NOW] = "cancel_now",
    [FAULT_CANCEL_AT_END] = "cancel_at_end",
    [FAULT_CLOSE_POLLS] = "close_looks",
    [FAULT_NODE_CUT] = "node_cut",
    [FAULT_NODE_CRASH] = "node_crash",
    [FAULT_NODE_FREEZE] = "node_freeze",
    [FAULT_STATE_REFUSES] = "state_refuses",
    [FAULT_STATE_OUTAGE] = "state_outage",
    [FAULT_STATE_SLOW] = "state_slow",
    [FAULT_FAST_BOOT] = "fast_boot",
    [FAULT_ZONE_CUT] = "zone_cut",
    [FAULT_SLOW_LINKS] = "slow_links",
    [FAULT_CLOUD_OUTAGE] = "cloud_outage",
    [FAULT_MALFORMED_REQUESTS] = "odd_requests",
};
static const char *const target_names[] = {"leader", "other", "others", "all"};
static const char *const trigger_names[FAULT_TRIGGERS] = {
    "time", "write_sent", "write_done", "write_answered", "report_answered", "hand_over"};

const char *
fault_kind_name (HrFaultKind kind)
{
  return kind_names[kind];
}

typedef enum { NUMBER, COUNT, FLAG } FieldType;

typedef struct {
  const char *name;
  FieldType type;
  gsize offset;
} Field;

#define FIELD(name, type, member)                                                                  \
  {                                                                                                \
    name, type, G_STRUCT_OFFSET (HrFault, member)                                                  \
  }

static const Field fields[] = {FIELD ("at", NUMBER, at_s),
                               FIELD ("for", NUMBER, for_s),
                               FIELD ("share", NUMBER, share),
                               FIELD ("hang", NUMBER, hang_s),
                               FIELD ("back", NUMBER, back_s),
                               FIELD ("first_back", NUMBER, first_back_s),
                               FIELD ("delay", NUMBER, delay_s),
                               FIELD ("every", NUMBER, every_s),
                               FIELD ("count", COUNT, count),
                               FIELD ("zone", COUNT, zone),
                               FIELD ("times", COUNT, times),
                               FIELD ("hold", FLAG, hold),
                               FIELD ("at_once", FLAG, at_once),
                               FIELD ("for_next", FLAG, for_next),
                               FIELD ("to_all", FLAG, to_all),
                               FIELD ("from_state", FLAG, from_state),
                               FIELD ("from_peers", FLAG, from_peers),
                               FIELD ("from_workers", FLAG, from_workers),
                               FIELD ("from_users", FLAG, from_users)};

char *
fault_to_text (const HrFault *fault)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "kind=%s who=%s on=%s", kind_names[fault->kind],
                          target_names[fault->who], trigger_names[fault->on]);
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    gconstpointer member = (const char *)fault + fields[i].offset;
    char number[G_ASCII_DTOSTR_BUF_SIZE];
    if (fields[i].type == NUMBER && *(const double *)member != 0)
      g_string_append_printf (text, " %s=%s", fields[i].name,
                              g_ascii_dtostr (number, sizeof number, *(const double *)member));
    else if (fields[i].type != NUMBER && *(const guint *)member)
      g_string_append_printf (text, " %s=%u", fields[i].name, *(const guint *)member);
  }
  return g_string_free (text, FALSE);
}

static gboolean
parse_enum (const char *value, const char *const *names, guint n, guint *number)
{
  for (*number = 0; *number < n; ++*number)
    if (g_str_equal (names[*number], value))
      return TRUE;
  return FALSE;
}

static gboolean
parse_field (const char *name, const char *value, HrFault *fault)
{
  char *end = NULL;
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    gpointer member = (char *)fault + fields[i].offset;
    if (!g_str_equal (fields[i].name, name))
      continue;
    if (fields[i].type == NUMBER)
      *(double *)member = g_ascii_strtod (value, &end);
    else
      *(guint *)member = g_ascii_strtoull (value, &end, 10);
    return end != value && !*end;
  }
  return FALSE;
}

gboolean
fault_parse (const char *line, HrFault *fault)
{
  gboolean kind_given = FALSE;
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  memset (fault, 0, sizeof *fault);
  for (guint i = 0; words[i]; i++) {
    guint number;
    char *value = strchr (words[i], '=');
    if (!value)
      return FALSE;
    *value++ = 0;
    if (g_str_equal (words[i], "kind") &&
        parse_enum (value, kind_names, G_N_ELEMENTS (kind_names), &number)) {
      fault->kind = number;
      kind_given = TRUE;
    } else if (g_str_equal (words[i], "who") &&
               parse_enum (value, target_names, G_N_ELEMENTS (target_names), &number))
      fault->who = number;
    else if (g_str_equal (words[i], "on") &&
             parse_enum (value, trigger_names, G_N_ELEMENTS (trigger_names), &number))
      fault->on = number;
    else if (!parse_field (words[i], value, fault))
      return FALSE;
  }
  return kind_given;
}
