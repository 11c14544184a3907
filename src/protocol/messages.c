#include "protocol/messages.h"
#include "protocol/json_util.h"
#include <string.h>

/* Of an answer that is not JSON so much is shown. */
#define SHOWN_BYTES 200

static json_t *
text_or_null (const char *text)
{
  return text ? json_string (text) : json_null ();
}

static json_t *
list_or_null (GStrv texts)
{
  if (!texts || !texts[0])
    return json_null ();
  json_t *list = json_array ();
  for (guint i = 0; texts[i]; i++)
    json_array_append_new (list, json_string (texts[i]));
  return list;
}

char *
hr_submission_text (const HrSubmission *s)
{
  json_t *o = json_object ();
  json_object_set_new (o, "name_id", json_string (s->id));
  json_object_set_new (o, "jobclass", json_string (s->job_class));
  json_object_set_new (o, "crew", json_string (s->team));
  json_object_set_new (o, "shape", json_string (s->shape));
  json_object_set_new (o, "rank", json_string (s->priority));
  json_object_set_new (o, "pieces", json_integer (s->tasks));
  json_object_set_new (o, "vcpus", json_real (s->cpus));
  json_object_set_new (o, "accelerators", json_real (s->accelerators));
  json_object_set_new (o, "memory_gb", json_real (s->memory_gb));
  json_object_set_new (o, "bundle", json_string (s->image));
  json_object_set_new (o, "size_gb", json_real (s->image_gb));
  json_object_set_new (o, "hulls", list_or_null (s->types));
  json_object_set_new (o, "quarry", text_or_null (s->zone));
  json_object_set_new (o, "together", json_boolean (s->one_zone));
  json_object_set_new (o, "apart", json_boolean (s->spread));
  json_object_set_new (o, "loaners", json_boolean (s->allows_spot));
  json_object_set_new (o, "guess_s", json_real (s->estimate_s));
  json_object_set_new (o, "cairn_s", json_real (s->checkpoint_s));
  json_object_set_new (o, "stash_s", json_real (s->save_s));
  json_object_set_new (o, "due_s", s->deadline_s > 0 ? json_real (s->deadline_s) : json_null ());
  if (s->awaits && s->awaits[0])
    json_object_set_new (o, "awaits", list_or_null (s->awaits));
  return hr_json_take_text (o);
}

char *
hr_submission_id (const char *body, gsize size)
{
  json_t *o = hr_json_parse (body, size, NULL);
  const char *id = hr_json_str (o, "name_id");
  char *copy = hr_job_id_valid (id) ? g_strdup (id) : NULL;
  json_decref (o);
  return copy;
}

gboolean
hr_job_status_read (const char *body, gsize size, HrJobStatus *out)
{
  json_t *o = hr_json_parse (body, size, NULL);
  const char *id = hr_json_str (o, "name_id"), *state = hr_json_str (o, "stance");
  gboolean good = id && state;
  memset (out, 0, sizeof *out);
  if (good) {
    out->id = g_strdup (id);
    out->state = g_strdup (state);
    out->reason = g_strdup (hr_json_str (o, "reason"));
    hr_json_count (o, "done", G_MAXINT64, &out->done);
    hr_json_count (o, "running", G_MAXINT64, &out->running);
  }
  json_decref (o);
  return good;
}

void
hr_job_status_clear (HrJobStatus *s)
{
  g_free (s->id);
  g_free (s->state);
  g_free (s->reason);
}

gboolean
hr_job_status_is_cancelled (const HrJobStatus *s)
{
  return g_str_equal (s->state, "withdrawn");
}

gboolean
hr_job_status_is_final (const HrJobStatus *s)
{
  return hr_job_status_is_cancelled (s) || g_str_equal (s->state, "done");
}

char *
hr_error_text (const char *body, gsize size)
{
  json_t *o = hr_json_parse (body, size, NULL);
  const char *error = hr_json_str (o, "error");
  g_autofree char *start = g_strndup (body ? body : "", MIN (size, SHOWN_BYTES));
  char *text = error ? g_strdup (error) : g_utf8_make_valid (start, -1);
  json_decref (o);
  return text;
}

char *
hr_job_path (const char *id)
{
  return g_strconcat (HR_JOBS_PATH "/", id, NULL);
}

char *
hr_cancel_path (const char *id)
{
  return g_strconcat (HR_JOBS_PATH "/", id, "/abort", NULL);
}
