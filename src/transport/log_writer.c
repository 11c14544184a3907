#include "transport/log_writer.h"
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* The least severe level that is written; more severe levels have smaller values in GLib. */
static int max_level = G_LOG_LEVEL_INFO;
static HrLogFormat log_format;
static char *node_label;

/* Returns whether debug messages of the log domain are written. Those of libraries are off by
 * default, because there are too many: GLib's sockets write six per connection. */
static gboolean
is_debug_enabled (const char *domain)
{
  const char *enabled = g_getenv ("G_MESSAGES_DEBUG");
  if (g_str_equal (domain, G_LOG_DOMAIN))
    return TRUE;
  if (!enabled)
    return FALSE;
  g_auto (GStrv) domains = g_strsplit_set (enabled, " ,", -1);
  return g_strv_contains ((const char *const *)domains, domain) ||
         g_strv_contains ((const char *const *)domains, "all");
}

static gboolean
is_name (const char *text, gsize size)
{
  for (gsize i = 0; i < size; i++)
    if (!g_ascii_isalnum (text[i]) && text[i] != '_')
      return FALSE;
  return size > 0;
}

/* Adds the fields of a message of the form "NAME: KEY=VALUE ...". Returns FALSE, without changes to
 * the line, when the message has another form. */
static gboolean
add_fields (json_t *line, const char *message)
{
  const char *colon = strstr (message, ": ");
  if (!colon || !is_name (message, colon - message))
    return FALSE;
  g_auto (GStrv) words = g_strsplit (colon + 2, " ", -1);
  for (guint i = 0; words[i]; i++) {
    const char *equals = strchr (words[i], '=');
    if (!equals || !is_name (words[i], equals - words[i]))
      return FALSE;
  }
  json_object_set_new (line, "event", json_stringn (message, colon - message));
  for (guint i = 0; words[i]; i++) {
    char *equals = strchr (words[i], '=');
    *equals = 0;
    /* A key must not replace a member that every line has. */
    g_autofree char *key =
        g_strconcat (json_object_get (line, words[i]) ? "field_" : "", words[i], NULL);
    json_object_set_new (line, key, json_string (equals + 1));
  }
  return TRUE;
}

static char *
json_line (double time, const char *level, const char *domain, const char *message)
{
  g_autofree char *text = g_utf8_make_valid (message, -1);
  json_t *line = json_pack ("{sfssss}", "time", time, "level", level, "domain", domain);
  if (node_label)
    json_object_set_new (line, "label", json_string (node_label));
  if (!add_fields (line, text))
    json_object_set_new (line, "message", json_string (text));
  char *json_text = json_dumps (line, JSON_COMPACT | JSON_REAL_PRECISION (14));
  char *copy = g_strdup (json_text);
  free (json_text);
  json_decref (line);
  return copy;
}

char *
hr_log_writer_line (HrLogFormat format, double time, const char *level, const char *domain,
                    const char *message)
{
  if (format == HR_LOG_JSON)
    return json_line (time, level, domain, message);
  return g_strdup_printf ("%.3f %s %s: %s", time, level, domain, message);
}

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data G_GNUC_UNUSED)
{
  if ((int)(level & G_LOG_LEVEL_MASK) > max_level)
    return G_LOG_WRITER_HANDLED;
  const char *text = "", *domain = "hoprock";
  for (gsize i = 0; i < n; i++) {
    if (g_str_equal (fields[i].key, "MESSAGE"))
      text = fields[i].value;
    else if (g_str_equal (fields[i].key, "GLIB_DOMAIN"))
      domain = fields[i].value;
  }
  if (level & G_LOG_LEVEL_DEBUG && !is_debug_enabled (domain))
    return G_LOG_WRITER_HANDLED;
  const char *name = level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL) ? "error"
                     : level & G_LOG_LEVEL_WARNING                      ? "warning"
                     : level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE) ? "info"
                                                                        : "debug";
  g_autofree char *line =
      hr_log_writer_line (log_format, g_get_real_time () / 1e6, name, domain, text);
  fprintf (stderr, "%s\n", line);
  return G_LOG_WRITER_HANDLED;
}

gboolean
hr_log_writer_install (const char *level, HrLogFormat format)
{
  if (!level || !*level || g_str_equal (level, "info"))
    max_level = G_LOG_LEVEL_INFO;
  else if (g_str_equal (level, "error"))
    max_level = G_LOG_LEVEL_WARNING;
  else if (g_str_equal (level, "debug"))
    max_level = G_LOG_LEVEL_DEBUG;
  else
    return FALSE;
  log_format = format;
  g_log_set_writer_func (write_log, NULL, NULL);
  return TRUE;
}

void
hr_log_writer_set_label (const char *label)
{
  g_free (node_label);
  node_label = g_strdup (label);
}
