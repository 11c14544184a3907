/* What the files of bookkeeping/ offer to the single owner of all state: reading and writing the
 * state store, the layout of records, and proofs that a task is on no machine. Times are in seconds
 * of the steady clock unless said otherwise. state.h includes it. */
#pragma once
#include "coordination/state.h"

/* bookkeeping/replica.c: the state store, as read */
void hr_replica_tick (HrCore *core);
void hr_replica_reset (HrCore *core);
void hr_replica_read (HrCore *core, HrReadCallback callback, gpointer data);
/* The state service has answered this node of late. */
gboolean hr_replica_is_served (const HrCore *core);

/* bookkeeping/apply.c: one change; v: its value, NULL where the key was deleted */
void hr_replica_apply_change (HrCore *core, const char *key, const json_t *value, guint64 revision);
gboolean hr_replica_apply_job (HrCore *core, HrJob *job, const json_t *value, guint64 revision);

/* bookkeeping/transactions.c: what is written, within the allowance; users first */
void hr_transactions_send (HrCore *core);
char *hr_job_record_key (const HrJob *job);
char *hr_record_page_key (const HrJob *job, guint page);
char *hr_record_page_key_of (const HrJob *job, guint tasks_per_page,
                             guint page); /* of a record that was split */
void hr_transaction_submit (HrCore *core, HrTransactionKind kind, json_t *when, json_t *writes,
                            guint changes, double timeout, HrResultCallback callback,
                            gpointer data);
json_t *hr_transaction_require (json_t *when, const char *path, guint64 revision);
json_t *hr_transaction_put (json_t *writes, const char *path, char *value_text, guint64 lease_id);

/* bookkeeping/state store.c: the state store, as written */
void hr_record_writer_tick (HrCore *core);
void hr_record_writer_mark (HrCore *core, HrJob *job, guint32 task_index);
void hr_record_writer_confirmed (HrCore *core, HrJob *job, HrRecordPage *page, guint64 revision);
/* Not written again before a while, longer each time. */
void hr_record_writer_back_off (HrCore *core, HrJob *job);

/* bookkeeping/format.c: which records every member understands */
void hr_record_format_read (HrCore *core, const json_t *value, guint64 revision);
void hr_record_format_tick (HrCore *core);
void hr_record_format_fill_status (const HrCore *core, HrPeerStatus *status);
void hr_record_format_status_received (HrCore *core, const HrPeerStatus *status);
/* The job's record is too large to be cancelled: the leader is to split it first. */
void hr_record_format_note_oversized (HrCore *core, HrJob *job);

/* bookkeeping/layout.c: how tasks are spread over records; sizes in bytes */
/* What records are planned for, and what is sent at all. */
gsize hr_record_layout_planned_bytes (const HrCore *core);
gsize hr_record_layout_max_bytes (const HrCore *core);
/* Tasks a page; 0: all tasks stand in the main record. beside: bytes of what else stands there. */
guint hr_record_layout_choose (HrCore *core, const HrJobSpec *spec, gsize beside);
guint hr_record_layout_page_size (HrCore *core, guint32 tasks);
/* For a record that has become too large. */
guint hr_record_layout_smaller (HrCore *core, const HrJob *job);
/* Is any record of the job, as it stands in the state store, beyond what is planned for? */
gboolean hr_record_layout_is_oversized (HrCore *core, const HrJob *job);

/* bookkeeping/record_split.c: records that have become too large */
gboolean hr_record_split_is_possible (const HrCore *core, const HrJob *job);
void hr_record_split_request (HrCore *core, HrJob *job, gboolean urgent);
void hr_record_split_rescan (HrCore *core);
void hr_record_split_reset (HrCore *core);
void hr_record_split_scan (HrCore *core);
void hr_record_split_tick (HrCore *core);
HrStagedPage *hr_record_split_staged_page (HrJob *job, guint tasks_per_page, guint page);
/* Takes note of a page that no main record names. revision 0: it is gone. */
void hr_record_split_stage_page (HrJob *job, guint tasks_per_page, guint page, guint64 revision,
                                 const json_t *value);
void hr_record_split_apply (HrCore *core, HrJob *job, guint tasks_per_page, guint64 revision);

/* bookkeeping/garbage.c: pages of final jobs */
void hr_garbage_add_page (HrCore *core, const HrJob *job, guint tasks_per_page, guint page);
void hr_garbage_add_job (HrCore *core, const HrJob *job);
void hr_garbage_page_deleted (HrCore *core, const HrJob *job, guint tasks_per_page, guint page);
void hr_garbage_tick (HrCore *core);

/* bookkeeping/dependencies.c: jobs that await others */
/* The job's record was read or written, at the stance now in j; `ids`: what it awaits, or NULL. */
void hr_dependencies_job_read (HrCore *core, HrJob *job, const char *const *ids);
/* The job is done or cancelled: those that await it become ready, or are cancelled with it. */
void hr_dependencies_job_final (HrCore *core, HrJob *job);
/* The first of these jobs that this node knows nothing of, or NULL. */
const char *hr_dependencies_find_unknown (HrCore *core, GStrv ids);
/* The first of these jobs that is a service which goes on, or NULL. */
const char *hr_dependencies_find_service (HrCore *core, GStrv ids);
/* Which jobs it waits for, or which cancelled one took it along; NULL: neither. */
char *hr_dependencies_reason (const HrJob *job);
void hr_dependencies_tick (HrCore *core);

/* bookkeeping/termination.c: proofs that a task is on no machine */
/* A lease and its margin: the longest that a worker may keep tasks unanswered. */
double hr_lease_duration_s (const HrCore *core);
gboolean hr_lease_has_expired (const HrCore *core, const HrMachine *machine);
gboolean hr_termination_orders_settled (const HrMachine *machine);
gboolean hr_termination_cancelled_may_start (const HrCore *core, const HrMachine *machine);
void hr_termination_note_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                        guint32 attempt, guint64 token);
gboolean hr_termination_may_clear (const HrCore *core, HrMachine *machine, guint32 job_index,
                                   guint32 task_index, guint32 attempt);
void hr_agents_tick (HrCore *core);
/* Every task of incarnations up to `upto` is gone from the machine. */
void hr_termination_incarnations_over (HrCore *core, HrMachine *machine, guint32 upto,
                                       const char *why);
