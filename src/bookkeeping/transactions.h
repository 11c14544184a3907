#pragma once
#include "bookkeeping/store.h"

void hr_transactions_send (HrStore *store);
char *hr_job_record_key (const HrJob *job);
char *hr_record_page_key (const HrJob *job, guint page);
char *hr_record_page_key_of (const HrJob *job, guint tasks_per_page,
                             guint page); /* of a record that was split */
void hr_transaction_submit (HrStore *store, HrTransactionKind kind, json_t *when, json_t *writes,
                            guint changes, double timeout, HrStoreCallback callback, gpointer data);
json_t *hr_transaction_require (json_t *when, const char *path, guint64 revision);
json_t *hr_transaction_put (json_t *writes, const char *path, char *value_text, guint64 lease_id);
