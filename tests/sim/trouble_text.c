/* Troubles as text, one line each, so that a day can be printed, kept and played again. */
#include "sim/troubles.h"
#include <string.h>

static const char *const kind_names[TROUBLE_KINDS] = {
    "late_writes",  "late_reports", "late_commands", "machine_deaf", "machine_mute",
    "machine_hang", "machine_cut",  "machine_crash", "cancel_now",   "cancel_at_end",
    "close_looks",  "node_cut",     "node_crash",    "node_freeze",  "state_refuses",
    "state_outage", "state_slow",   "fast_boot",     "zone_cut",     "slow_links",
    "cloud_outage", "odd_requests"};
static const char *const who_names[] = {"leader", "other", "others", "all"};
static const char *const moment_names[TROUBLE_MOMENTS] = {
    "time", "write_sent", "write_done", "write_answered", "report_answered", "hand_over"};

const char *
trouble_kind_name (HrTroubleKind kind)
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
    name, type, G_STRUCT_OFFSET (HrTrouble, member)                                                \
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
trouble_text (const HrTrouble *trouble)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "kind=%s who=%s on=%s", kind_names[trouble->kind],
                          who_names[trouble->who], moment_names[trouble->on]);
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    gconstpointer member = (const char *)trouble + fields[i].offset;
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
parse_name (const char *value, const char *const *names, guint n, guint *number)
{
  for (*number = 0; *number < n; ++*number)
    if (g_str_equal (names[*number], value))
      return TRUE;
  return FALSE;
}

static gboolean
parse_field (const char *name, const char *value, HrTrouble *trouble)
{
  char *end = NULL;
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    gpointer member = (char *)trouble + fields[i].offset;
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
trouble_parse (const char *line, HrTrouble *trouble)
{
  gboolean kind_given = FALSE;
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  memset (trouble, 0, sizeof *trouble);
  for (guint i = 0; words[i]; i++) {
    guint number;
    char *value = strchr (words[i], '=');
    if (!value)
      return FALSE;
    *value++ = 0;
    if (g_str_equal (words[i], "kind") &&
        parse_name (value, kind_names, G_N_ELEMENTS (kind_names), &number)) {
      trouble->kind = number;
      kind_given = TRUE;
    } else if (g_str_equal (words[i], "who") &&
               parse_name (value, who_names, G_N_ELEMENTS (who_names), &number))
      trouble->who = number;
    else if (g_str_equal (words[i], "on") &&
             parse_name (value, moment_names, G_N_ELEMENTS (moment_names), &number))
      trouble->on = number;
    else if (!parse_field (words[i], value, trouble))
      return FALSE;
  }
  return kind_given;
}
