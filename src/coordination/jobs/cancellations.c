/* Cancellations: writes a cancellation and handles the response to the write. */
#include "coordination/jobs/cancellations.h"
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/membership/cancellation_log.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

/* Requests a split of the record, which with its tasks exceeds the state store's size limit. The
 * user is asked to retry; the leader splits the record meanwhile. */
static HrVerdict
refuse_until_split (HrCore *core, HrJob *job)
{
  hr_record_format_report_oversized (&core->store, job);
  return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                            "the job's record is being split; ask again");
}

/* Applies a cancellation that the store has confirmed to the tables. It is appended to the
 * cancellation log first, so that a user learns of a cancellation only from a node that has it in
 * its log. */
static void
apply_confirmed_cancellation (HrCore *core, HrJob *job, guint64 revision)
{
  hr_cancellation_log_append (core, job, revision);
  if (job->state != HR_JOB_QUEUED || revision <= job->record.revision)
    return;
  job->state = HR_JOB_CANCELLED;
  job->record.revision = revision;
  if (!job->record.tasks_per_page && job->record.pages)
    job->record.pages[0].revision = revision;
  if (core->leadership.is_leader)
    hr_job_cancelled (core, job);
  hr_dependencies_job_final (core, job);
}

/* Checks whether the store refused the write because the record is too large. In any other case a
 * 400 would mean that this controller sent an invalid request. */
static gboolean
is_too_large (const HrCore *core, const HrJob *job, int status)
{
  return status == 400 && core->store.format.supported && job && job->tasks;
}

static HrVerdict
decide_after_failed_write (const HrCore *core, const HrUserRequest *request, int status)
{
  if (hr_user_request_may_retry (core, request, status))
    return hr_verdict (HR_VERDICT_READ); /* the record may have changed: read, then retry */
  return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                            "the cancellation is not confirmed; ask again");
}

static void
on_written (HrStore *store, int status, json_t *body, double sent_at G_GNUC_UNUSED, gpointer data)
{
  HrCore *core = store->core;
  HrUserRequest *request = data;
  HrJob *job = hr_job_find (&core->store.tables, request->job_id);
  g_auto (HrVerdict) verdict = {0};
  guint64 revision;
  if (status == 200 && job && hr_store_read_revision (body, &revision)) {
    apply_confirmed_cancellation (core, job, revision);
    verdict = hr_verdict_answer (200);
  } else if (is_too_large (core, job, status)) {
    core->store.format.planned_limits_in_force |=
        request->record_bytes > hr_record_layout_planned_bytes (&core->store);
    verdict = refuse_until_split (core, job);
  } else {
    request->failed_writes++;
    verdict = decide_after_failed_write (core, request, status);
  }
  hr_user_request_apply_verdict (core, request, &verdict);
}

void
hr_cancellation_write (HrCore *core, HrUserRequest *request)
{
  HrJob *job = hr_job_find (&core->store.tables, request->job_id);
  g_free (request->write_tag);
  request->write_tag = hr_core_new_tag (core);
  g_autofree char *text = hr_record_main (job, core->names, &core->store.tables.machine_ids,
                                          HR_JOB_CANCELLED, request->write_tag, FALSE);
  request->record_bytes = strlen (text);
  if (request->record_bytes > hr_record_layout_max_bytes (&core->store)) {
    g_auto (HrVerdict) verdict = refuse_until_split (core, job);
    hr_user_request_apply_verdict (core, request, &verdict);
    return;
  }
  g_autofree char *key = hr_job_record_key (job);
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, key, job->record.revision);
  hr_transaction_put (transaction, key, g_steal_pointer (&text));
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, transaction,
                         hr_user_request_timeout (core, request), on_written, request);
}
