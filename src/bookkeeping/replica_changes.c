/* One change of the ledger, as read, goes into the tables. */
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

static void
apply_leader_record (HrCore *c, const json_t *v, guint64 revision)
{
  guint64 baton = 0;
  const char *o = hr_json_str (v, "o"), *inc = hr_json_str (v, "i");
  if (!o || !inc || !hr_json_count (v, "b", G_MAXINT64, &baton)) {
    g_warning ("the map in the state service makes no sense; left as it was");
    return;
  }
  c->leadership.record_revision = revision;
  c->leadership.fencing_token = baton;
  g_free (c->leadership.leader_label);
  g_free (c->leadership.leader_incarnation);
  c->leadership.leader_label = g_strdup (o);
  c->leadership.leader_incarnation = g_strdup (inc);
}

static void
apply_leader_lock (HrCore *c, const json_t *v, guint64 revision)
{
  g_clear_pointer (&c->leadership.lock_label, g_free);
  g_clear_pointer (&c->leadership.lock_incarnation, g_free);
  c->leadership.lock_revision = v ? revision : 0;
  if (v) {
    c->leadership.lock_label = g_strdup (hr_json_str (v, "o"));
    c->leadership.lock_incarnation = g_strdup (hr_json_str (v, "i"));
  } else { /* jitter, so that the members do not all try in the same instant */
    c->leadership.next_election_at =
        c->leadership.is_leader ? c->now : c->now + g_rand_double_range (c->random, 0, 0.4);
    c->leadership.leaderless_since = c->now;
  }
}

/* Where tasks of the job were placed its image is cached, soon: whoever leads next knows
 * that only from here, since reports do not tell it. */
static void
note_cached_images (HrCore *c, HrJob *j, guint32 from, guint32 n)
{
  for (guint32 i = from; i < MIN (from + n, j->n_tasks); i++) {
    guint32 m = j->tasks[i].recorded.machine;
    if (m != HR_NONE && !j->tasks[i].done_recorded)
      hr_machine_touch_image (hr_machine_get (c, hr_intern_name (&c->store.tables.machine_ids, m)),
                              j->spec.image);
  }
}

gboolean
hr_replica_apply_job (HrCore *c, HrJob *j, const json_t *v, guint64 revision)
{
  HrRecord r;
  if (j->is_known && revision <= j->record.revision)
    return TRUE; /* known already: our own write, or a change read twice */
  if (!hr_record_read (v, c->names, &r)) {
    g_warning ("%s: its record makes no sense", j->id);
    j->record.main_unreadable = TRUE;
    hr_record_clear (&r);
    return FALSE;
  }
  j->record.main_unreadable = FALSE;
  g_auto (GStrv) awaits = g_steal_pointer (&r.awaits);
  HrRecordPage *p = j->record.pages;
  if (p && p->write_tag && g_str_equal (p->write_tag, r.tag)) {
    hr_record_clear (&r);
    hr_record_writer_confirmed (c, j, p, revision);
    return TRUE;
  }
  gboolean fresh = !j->is_known;
  j->is_known = TRUE;
  j->record.revision = revision;
  if (r.state == HR_JOB_CANCELLED)
    hr_cancellation_log_append (c, j, revision);
  g_free (j->record.tag);
  j->record.tag = g_steal_pointer (&r.tag);
  if (r.is_tombstone) {
    j->state = r.state;
    j->cancellation.told_by_peer = FALSE;
    j->n_tasks = r.n_tasks;
    j->n_recorded_done = r.n_done;
    j->record.is_compacted = TRUE;
    if (r.cancelled_with)
      j->cancellation.root = hr_job_get (c, r.cancelled_with);
    hr_garbage_add_job (c, j);
    if (!c->leadership.is_leader || !j->run.n_live)
      hr_job_compact (j);
    hr_dependencies_job_final (c, j);
    return TRUE;
  }
  if (fresh || !j->tasks) {
    hr_job_set_spec (j, &r.spec, r.tasks_per_page);
    j->submitted_at = r.submitted_at;
    j->record.sized_page_keys = r.sized_page_keys && c->store.format.supported;
  } else if (c->store.format.supported && r.sized_page_keys &&
             r.tasks_per_page != j->record.tasks_per_page)
    hr_record_split_apply (c, j, r.tasks_per_page, revision);
  if (c->store.format.supported) {
    json_decref (j->record.unknown_members);
    j->record.unknown_members = g_steal_pointer (&r.extra);
  }
  hr_record_clear (&r);
  /* The owner alone changes tasks; what others write leaves them as they were. */
  if (!r.tasks_per_page && r.tasks && (!c->leadership.is_leader || fresh)) {
    j->record.tasks_unreadable = !hr_record_tasks (j, 0, r.tasks, &c->store.tables.machine_ids);
    if (j->record.tasks_unreadable)
      g_warning ("%s: the tasks in its record make no sense", j->id);
    note_cached_images (c, j, 0, j->n_tasks);
  }
  if (!r.tasks_per_page && j->record.pages)
    j->record.pages[0].revision = revision;
  /* A reading may be older than what a member told; a withdrawal is final all the same. */
  gboolean was_told = j->cancellation.told_by_peer;
  j->cancellation.told_by_peer = was_told && r.state == HR_JOB_QUEUED;
  HrJobState before = j->state;
  j->state = j->cancellation.told_by_peer ? HR_JOB_CANCELLED
                                          : r.state; /* a derived withdrawal is derived again */
  hr_dependencies_job_read (c, j, (const char *const *)awaits);
  hr_job_open (c, j);
  gboolean cancelled = r.state == HR_JOB_CANCELLED || j->cancellation.told_by_peer;
  if (c->leadership.is_leader && cancelled && (before != HR_JOB_CANCELLED || was_told))
    hr_job_cancelled (c, j);
  c->scheduling.plan_is_stale = TRUE;
  return TRUE;
}

/* A page of a job that is final, or of a layout that is not, or no longer, in force. */
static void
apply_obsolete_page (HrCore *c, HrJob *j, guint tasks_per_page, guint page, const json_t *v,
                     guint64 revision)
{
  hr_garbage_page_deleted (c, j, tasks_per_page, page);
  if (v && (j->record.is_compacted || !tasks_per_page))
    hr_garbage_add_page (c, j, tasks_per_page, page);
  else if (!j->record.is_compacted && tasks_per_page && j->tasks)
    hr_record_split_stage_page (j, tasks_per_page, page, v ? revision : 0, v);
}

/* per_page: of a page under h/u; 0: one under h/t. */
static void
apply_page (HrCore *c, HrJob *j, guint tasks_per_page, guint64 n, const json_t *v, guint64 revision)
{
  gboolean in_force =
      j->record.sized_page_keys ? tasks_per_page == j->record.tasks_per_page : tasks_per_page == 0;
  if (j->record.is_compacted || (!in_force && c->store.format.supported)) {
    apply_obsolete_page (c, j, tasks_per_page, n, v, revision);
    return;
  }
  const char *tag = hr_json_str (v, "w");
  if (!v || !j->tasks || !j->record.tasks_per_page || n >= j->record.n_pages ||
      revision <= j->record.pages[n].revision)
    return;
  HrRecordPage *p = &j->record.pages[n];
  if (p->write_tag && tag && g_str_equal (p->write_tag, tag)) {
    hr_record_writer_confirmed (c, j, p, revision);
    return;
  }
  p->revision = revision;
  if (!c->leadership.is_leader) {
    /* Other pages may be unreadable too: once one was, the job counts as unreadable. */
    if (!hr_record_tasks (j, n * j->record.tasks_per_page, json_object_get (v, "x"),
                          &c->store.tables.machine_ids)) {
      j->record.tasks_unreadable = TRUE;
      g_warning ("%s: page %u of its record makes no sense", j->id, (guint)n);
    }
    note_cached_images (c, j, n * j->record.tasks_per_page, j->record.tasks_per_page);
  }
}

/* "ID/PAGE", or "ID/SIZE/PAGE" of a page that carries its size. */
static void
apply_page_key (HrCore *c, const char *rest, gboolean sized, const json_t *v, guint64 revision)
{
  g_auto (GStrv) parts = g_strsplit (rest, "/", -1);
  if (g_strv_length (parts) != (sized ? 3 : 2))
    return;
  HrJob *j = hr_job_find (c, parts[0]);
  guint64 tasks_per_page = sized ? g_ascii_strtoull (parts[1], NULL, 10) : 0;
  guint64 n = g_ascii_strtoull (parts[sized ? 2 : 1], NULL, 10);
  if (j && tasks_per_page <= HR_MAX_TASKS && n <= HR_MAX_TASKS && (!sized || tasks_per_page))
    apply_page (c, j, tasks_per_page, n, v, revision);
}

void
hr_replica_apply_change (HrCore *c, const char *key, const json_t *v, guint64 revision)
{
  if (strcmp (key, "h/map") == 0) {
    if (v && revision > c->leadership.record_revision)
      apply_leader_record (c, v, revision);
  } else if (strcmp (key, "h/leader") == 0)
    apply_leader_lock (c, v, revision);
  else if (strcmp (key, "h/types") == 0) {
    c->scaling.types_revision = v ? revision : 0;
    if (v && !c->scaling.machine_types)
      hr_machine_types_load (c, v);
  } else if (g_str_has_prefix (key, "h/j/")) {
    if (v && hr_job_id_valid (key + 4))
      hr_replica_apply_job (c, hr_job_get (c, key + 4), v, revision);
  } else if (g_str_has_prefix (key, "h/t/"))
    apply_page_key (c, key + 4, FALSE, v, revision);
  else if (c->store.format.supported && g_str_has_prefix (key, "h/u/"))
    apply_page_key (c, key + 4, TRUE, v, revision);
  else if (strcmp (key, "h/format") == 0)
    hr_record_format_read (c, v, revision);
}
