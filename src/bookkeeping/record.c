#include "bookkeeping/record.h"
#include "protocol/json_util.h"
#include <string.h>

static json_t *
pack_tasks (const HrJob *j, guint32 first, guint32 n, const HrIntern *machines, gboolean pending)
{
  json_t *x = json_array ();
  for (guint32 i = first; i < first + n; i++) {
    const HrTask *t = &j->tasks[i];
    guint32 m = t->recorded.machine, s = t->recorded.incarnation, a = t->recorded.attempt;
    gboolean done = t->done_recorded;
    if (pending && t->write_in_flight) {
      m = t->placement.machine;
      s = t->placement.incarnation;
      a = t->placement.attempt;
      done = done || t->state == HR_TASK_DONE;
    }
    if (done)
      json_array_append_new (x, json_integer (1));
    else if (m == HR_NONE)
      json_array_append_new (x, json_integer (0));
    else
      json_array_append_new (x, json_pack ("[sii]", hr_intern_name (machines, m), (int)s, (int)a));
  }
  return x;
}

/* Written back as it was read. */
static void
pack_extra (json_t *o, const HrJob *j)
{
  if (j->record.unknown_members)
    json_object_update_missing (o, j->record.unknown_members);
}

/* What stands in a record beside the members that this version knows. */
static json_t *
unknown_members (const json_t *v)
{
  static const char *const known[] = {"w", "s", "t", "q", "j", "x", "u", "a", "n", "d", "c"};
  json_t *extra = NULL, *e;
  const char *key;
  json_object_foreach ((json_t *)v, key, e)
  {
    gboolean is_known = FALSE;
    for (guint i = 0; i < G_N_ELEMENTS (known) && !is_known; i++)
      is_known = g_str_equal (key, known[i]);
    if (is_known)
      continue;
    if (!extra)
      extra = json_object ();
    json_object_set (extra, key, e);
  }
  return extra;
}

static json_t *
pack_awaits (const HrJob *j)
{
  json_t *a = json_array ();
  for (guint i = 0; i < j->dependencies.n_awaited; i++)
    json_array_append_new (a, json_string (j->dependencies.awaited[i]->id));
  return a;
}

char *
hr_record_main (const HrJob *j, const HrNames *names, const HrIntern *machines, HrJobState state,
                const char *tag, gboolean pending)
{
  json_t *o = json_pack ("{sssisfsiso}", "w", tag, "s", (int)state, "t", j->submitted_at, "q",
                         (int)j->record.tasks_per_page, "j", hr_jobspec_pack (&j->spec, names));
  if (!j->record.tasks_per_page)
    json_object_set_new (o, "x", pack_tasks (j, 0, j->n_tasks, machines, pending));
  else if (j->record.sized_page_keys)
    json_object_set_new (o, "u", json_integer (1));
  if (j->dependencies.n_awaited)
    json_object_set_new (o, "a", pack_awaits (j));
  pack_extra (o, j);
  return hr_json_take_text (o);
}

char *
hr_record_first (const HrJobSpec *spec, const char *const *awaits, const HrNames *names,
                 double submitted, guint tasks_per_page, const char *tag)
{
  guint n = awaits ? g_strv_length ((GStrv)awaits) : 0;
  g_autofree HrJob *rows = g_new0 (HrJob, n + 1);
  g_autofree HrJob **named = g_new0 (HrJob *, n + 1);
  for (guint i = 0; i < n; i++) {
    rows[i].id = awaits[i];
    named[i] = &rows[i];
  }
  HrJob job = {
      .submitted_at = submitted, .dependencies.awaited = named, .dependencies.n_awaited = n};
  hr_job_set_spec (&job, spec, tasks_per_page);
  char *text = hr_record_main (&job, names, NULL, HR_JOB_QUEUED, tag, FALSE);
  hr_job_compact (&job);
  return text;
}

char *
hr_record_tombstone (const HrJob *j, HrJobState state, const char *tag)
{
  json_t *o = json_pack ("{sssisisi}", "w", tag, "s", (int)state, "n", (int)j->n_tasks, "d",
                         (int)(state == HR_JOB_DONE ? j->n_tasks : j->n_recorded_done));
  if (state == HR_JOB_CANCELLED && j->cancellation.root)
    json_object_set_new (o, "c", json_string (j->cancellation.root->id));
  pack_extra (o, j);
  return hr_json_take_text (o);
}

char *
hr_record_page (const HrJob *j, guint page, const HrIntern *machines, const char *tag,
                gboolean pending)
{
  return hr_record_page_of (j, page * j->record.tasks_per_page, j->record.tasks_per_page, machines,
                            tag, pending);
}

char *
hr_record_page_of (const HrJob *j, guint32 first, guint32 n, const HrIntern *machines,
                   const char *tag, gboolean pending)
{
  json_t *x = pack_tasks (j, first, MIN (n, j->n_tasks - first), machines, pending);
  return hr_json_take_text (json_pack ("{ssso}", "w", tag, "x", x));
}

gboolean
hr_record_read (const json_t *v, HrNames *names, HrRecord *r)
{
  guint64 n, d = 0;
  memset (r, 0, sizeof *r);
  const char *tag = hr_json_str (v, "w");
  if (!tag || !hr_json_count (v, "s", HR_JOB_CANCELLED, &n))
    return FALSE;
  r->state = n;
  const json_t *spec = json_object_get (v, "j");
  if (!spec) {
    if (!hr_json_count (v, "n", HR_MAX_TASKS, &n) || !hr_json_count (v, "d", HR_MAX_TASKS, &d))
      return FALSE;
    r->is_tombstone = TRUE;
    r->n_tasks = n;
    r->n_done = d;
    const char *root = hr_json_str (v, "c");
    r->cancelled_with = hr_job_id_valid (root) ? root : NULL;
  } else {
    if (!hr_jobspec_unpack (spec, names, &r->spec) || !hr_json_num (v, "t", &r->submitted_at) ||
        !hr_json_count (v, "q", HR_MAX_TASKS, &n))
      return FALSE;
    r->tasks_per_page = n;
    r->sized_page_keys = n && json_integer_value (json_object_get (v, "u")) == 1;
    r->n_tasks = r->spec.tasks;
    r->tasks = json_object_get (v, "x");
    /* A job whose awaited ones cannot be read must not start: it makes no sense as a whole. */
    const json_t *awaits = json_object_get (v, "a");
    if (awaits && !(r->awaits = hr_job_ids_read (awaits)))
      return FALSE;
    r->extra = unknown_members (v);
  }
  r->tag = g_strdup (tag);
  return TRUE;
}

void
hr_record_clear (HrRecord *r)
{
  g_clear_pointer (&r->tag, g_free);
  g_clear_pointer (&r->extra, json_decref);
  g_clear_pointer (&r->awaits, g_strfreev);
}

gboolean
hr_record_tasks (HrJob *j, guint32 first, const json_t *x, HrIntern *machines)
{
  size_t i;
  json_t *e;
  guint32 n =
      MIN (j->record.tasks_per_page ? j->record.tasks_per_page : j->n_tasks, j->n_tasks - first);
  if (!json_is_array (x) || json_array_size (x) != n)
    return FALSE;
  json_array_foreach (x, i, e)
  {
    HrTask *t = &j->tasks[first + i];
    gboolean done = json_is_integer (e) && json_integer_value (e) == 1;
    if (done != t->done_recorded)
      j->n_recorded_done += done ? 1 : -1;
    t->done_recorded = done;
    if (json_is_array (e)) {
      const char *m;
      int s, a;
      if (json_unpack (e, "[sii]", &m, &s, &a) != 0)
        return FALSE;
      t->recorded.machine = hr_intern (machines, m);
      t->recorded.incarnation = s;
      t->recorded.attempt = a;
    } else if (!json_is_integer (e))
      return FALSE;
    else if (!done)
      t->recorded.machine = HR_NONE;
  }
  return TRUE;
}
