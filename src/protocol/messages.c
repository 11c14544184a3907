#include "protocol/messages.h"
#include "protocol/json_util.h"
#include "protocol/wire_names.h"
#include <string.h>

/* Maximum number of bytes shown of an answer without an error message. */
#define MAX_EXCERPT_BYTES 200

/* Indexed by HrJobStatusState. */
static const char *const state_names[] = {HR_WIRE_JOB_QUEUED, HR_WIRE_JOB_RUNNING, HR_WIRE_JOB_DONE,
                                          HR_WIRE_JOB_CANCELLED};

static const HrJsonMember id_member[] = {{.name = HR_WIRE_ID}, {.name = NULL}};
static const HrJsonMember error_member[] = {{.name = HR_WIRE_ERROR}, {.name = NULL}};
static const HrJsonMember status_members[] = {{.name = HR_WIRE_ID},
                                              {.name = HR_WIRE_STATE},
                                              {.name = HR_WIRE_REASON},
                                              {.name = HR_WIRE_DONE, .kind = HR_JSON_COUNT},
                                              {.name = HR_WIRE_RUNNING, .kind = HR_JSON_COUNT},
                                              {.name = NULL}};

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
hr_submission_text (const HrSubmission *submission)
{
  json_t *object = json_object ();
  json_object_set_new (object, HR_WIRE_ID, json_string (submission->id));
  json_object_set_new (object, HR_WIRE_JOB_CLASS, json_string (submission->job_class));
  json_object_set_new (object, HR_WIRE_TEAM, json_string (submission->team));
  json_object_set_new (object, HR_WIRE_SHAPE, json_string (submission->shape));
  json_object_set_new (object, HR_WIRE_PRIORITY, json_string (submission->priority));
  json_object_set_new (object, HR_WIRE_TASKS, json_integer (submission->tasks));
  json_object_set_new (object, HR_WIRE_CPUS, json_real (submission->cpus));
  json_object_set_new (object, HR_WIRE_GPUS, json_real (submission->accelerators));
  json_object_set_new (object, HR_WIRE_MEMORY_GB, json_real (submission->memory_gb));
  json_object_set_new (object, HR_WIRE_IMAGE, json_string (submission->image));
  json_object_set_new (object, HR_WIRE_IMAGE_GB, json_real (submission->image_gb));
  json_object_set_new (object, HR_WIRE_MACHINE_TYPES, list_or_null (submission->types));
  json_object_set_new (object, HR_WIRE_ZONE, text_or_null (submission->zone));
  json_object_set_new (object, HR_WIRE_ONE_ZONE, json_boolean (submission->one_zone));
  json_object_set_new (object, HR_WIRE_SPREAD, json_boolean (submission->spread));
  json_object_set_new (object, HR_WIRE_SPOT, json_boolean (submission->allows_spot));
  json_object_set_new (object, HR_WIRE_ESTIMATE_S, json_real (submission->estimate_s));
  json_object_set_new (object, HR_WIRE_CHECKPOINT_S, json_real (submission->checkpoint_s));
  json_object_set_new (object, HR_WIRE_SAVE_S, json_real (submission->save_s));
  json_object_set_new (object, HR_WIRE_DEADLINE_S,
                       submission->deadline_s > 0 ? json_real (submission->deadline_s)
                                                  : json_null ());
  if (submission->awaits && submission->awaits[0])
    json_object_set_new (object, HR_WIRE_AWAITS, list_or_null (submission->awaits));
  return hr_json_take_text (object);
}

char *
hr_submission_id (const char *body, gsize size)
{
  json_t *object = hr_json_parse (body, size, id_member, NULL);
  const char *id = hr_json_str (object, HR_WIRE_ID);
  char *copy = hr_job_id_valid (id) ? g_strdup (id) : NULL;
  json_decref (object);
  return copy;
}

gboolean
hr_job_status_read (const char *body, gsize size, HrJobStatus *out)
{
  json_t *object = hr_json_parse (body, size, status_members, NULL);
  const char *id = hr_json_str (object, HR_WIRE_ID), *state = hr_json_str (object, HR_WIRE_STATE);
  gboolean valid = id && state;
  memset (out, 0, sizeof *out);
  if (valid) {
    out->id = g_strdup (id);
    out->state = g_strdup (state);
    out->reason = g_strdup (hr_json_str (object, HR_WIRE_REASON));
    hr_json_count (object, HR_WIRE_DONE, G_MAXINT64, &out->done);
    hr_json_count (object, HR_WIRE_RUNNING, G_MAXINT64, &out->running);
  }
  json_decref (object);
  return valid;
}

void
hr_job_status_clear (HrJobStatus *status)
{
  g_free (status->id);
  g_free (status->state);
  g_free (status->reason);
}

json_t *
hr_job_status_body (const char *id, HrJobStatusState state, guint32 done, guint32 running,
                    const char *reason)
{
  return json_pack ("{sssssisiss}", HR_WIRE_ID, id, HR_WIRE_STATE, state_names[state], HR_WIRE_DONE,
                    (int)done, HR_WIRE_RUNNING, (int)running, HR_WIRE_REASON, reason);
}

gboolean
hr_job_status_is_cancelled (const HrJobStatus *status)
{
  return g_str_equal (status->state, HR_WIRE_JOB_CANCELLED);
}

gboolean
hr_job_status_is_final (const HrJobStatus *status)
{
  return hr_job_status_is_cancelled (status) || g_str_equal (status->state, HR_WIRE_JOB_DONE);
}

char *
hr_error_text (const char *body, gsize size)
{
  json_t *object = hr_json_parse (body, size, error_member, NULL);
  const char *error = hr_json_str (object, HR_WIRE_ERROR);
  g_autofree char *excerpt = g_strndup (body ? body : "", MIN (size, MAX_EXCERPT_BYTES));
  char *text = error ? g_strdup (error) : g_utf8_make_valid (excerpt, -1);
  json_decref (object);
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
  return g_strconcat (HR_JOBS_PATH "/", id, HR_WIRE_CANCEL_SUFFIX, NULL);
}

gboolean
hr_cancel_path_strip (char *path)
{
  if (!g_str_has_suffix (path, HR_WIRE_CANCEL_SUFFIX))
    return FALSE;
  path[strlen (path) - strlen (HR_WIRE_CANCEL_SUFFIX)] = 0;
  return TRUE;
}
