/* Cancellations: the write, and what its answer means. */
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

/* The record with its tasks is larger than the state service takes. Its user asks again, and
 * meanwhile the leader splits it. */
static HrVerdict
split_first (HrCore *core, HrJob *job)
{
  hr_record_format_report_oversized (&core->store, job);
  return hr_verdict_refuse (HR_VERDICT_REFUSE_FOR_NOW, 503,
                            "the job's record is being split; ask again");
}

/* Brings the tables up to date with the cancellation that the store has confirmed. It is logged
 * first: whoever is told of it is told by a node that has it in its log. */
static void
take_in_confirmed (HrCore *core, HrJob *job, guint64 revision)
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

/* Did the store refuse the write as too large? Otherwise 400 would be a fault of ours. */
static gboolean
is_too_large (const HrCore *core, const HrJob *job, int status)
{
  return status == 400 && core->store.format.supported && job && job->tasks;
}

static HrVerdict
decide_after_failed_write (const HrCore *core, const HrUserRequest *request, int status)
{
  if (hr_user_request_may_try_again (core, request, status))
    return hr_verdict (HR_VERDICT_READ); /* the record may have moved on: read, then try again */
  return hr_verdict_refuse (HR_VERDICT_REFUSE_FOR_NOW, 503,
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
    take_in_confirmed (core, job, revision);
    verdict = hr_verdict_answer (200);
  } else if (is_too_large (core, job, status)) {
    core->store.format.planned_limits_in_force |=
        request->record_bytes > hr_record_layout_planned_bytes (&core->store);
    verdict = split_first (core, job);
  } else {
    request->failed_writes++;
    verdict = decide_after_failed_write (core, request, status);
  }
  hr_user_request_act (core, request, &verdict);
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
    g_auto (HrVerdict) verdict = split_first (core, job);
    hr_user_request_act (core, request, &verdict);
    return;
  }
  g_autofree char *key = hr_job_record_key (job);
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, key, job->record.revision);
  hr_transaction_put (transaction, key, g_steal_pointer (&text));
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, transaction,
                         hr_user_request_timeout (core, request), on_written, request);
}
