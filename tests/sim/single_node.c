/* One controller core with a fake state store. src/protocol/wire_names.h explains the fields of
 * requests and answers, src/bookkeeping/record_fields.h those of records. */
#include "bookkeeping/tables.h"
#include "coordination/command.h"
#include "coordination/core.h"
#include "coordination/scaling/fleet.h"
#include "protocol/json_util.h"
#include "sim/single_node.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define TYPES                                                                                      \
  "{\"hulls\":[{\"sku\":\"g8\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":96,"                  \
  "\"cache_gb\":100,\"fetch_gb_per_s\":1.0,\"hourly\":4.0,\"low_price\":2.0,\"startup_s\":20,"     \
  "\"quarries\":[\"z0\"]}]}"
#define SETTINGS                                                                                   \
  "{\"label\":\"a\",\"area\":\"z0\",\"front\":\"10.0.0.1:80\",\"back\":\"10.0.0.1:81\","           \
  "\"outside\":{\"cloud\":\"10.2.0.2:84\",\"state\":\"10.2.0.1:23\"},\"members\":[],"              \
  "\"facts\":{\"teams\":[{\"name\":\"crew\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,"                 \
  "\"gpus_max\":0}],\"objectives\":[],\"workers\":{\"report_s\":2.5,\"lease_s\":14,"               \
  "\"gang_wait_s\":30,\"gang_peer_s\":4,\"cancel_s\":36},\"state\":{\"rps\":5000,"                 \
  "\"write_rps\":5000,\"value_kb\":4,\"txn_ops\":12%s},\"cloud\":{\"rps\":8,\"list_lag_s\":3}}}"

/* ---- the state store ---- */

static void
change_clear (gpointer data)
{
  FakeStoreChange *change = data;
  g_free (change->path);
  g_free (change->text);
}

FakeStore *
fake_store_new (void)
{
  FakeStore *store = g_new0 (FakeStore, 1);
  store->log = g_array_new (FALSE, TRUE, sizeof (FakeStoreChange));
  g_array_set_clear_func (store->log, change_clear);
  store->stamp = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return store;
}

void
fake_store_free (FakeStore *store)
{
  g_array_unref (store->log);
  g_hash_table_unref (store->stamp);
  g_free (store);
}

void
fake_store_set (FakeStore *store, const char *path, const char *text)
{
  FakeStoreChange change = {g_strdup (path), g_strdup (text), store->epoch};
  g_array_append_val (store->log, change);
  g_hash_table_replace (store->stamp, g_strdup (path),
                        g_memdup2 (&store->epoch, sizeof store->epoch));
}

static guint64
stamp_of (const FakeStore *store, const char *path)
{
  const guint64 *revision = g_hash_table_lookup (store->stamp, path);
  return revision ? *revision : 0;
}

const char *
fake_store_job_record (const FakeStore *store, const char *id)
{
  g_autofree char *path = g_strconcat ("h/j/", id, NULL);
  for (guint i = store->log->len; i > 0; i--) {
    const FakeStoreChange *change = &g_array_index (store->log, FakeStoreChange, i - 1);
    if (strcmp (change->path, path) == 0)
      return change->text;
  }
  return NULL;
}

static gint
compare_keys (gconstpointer first, gconstpointer second)
{
  const FakeStoreChange *const *changes[] = {first, second};
  return strcmp ((*changes[0])->path, (*changes[1])->path);
}

/* Returns (transfer container) the store's changes in the order in which an answer gives them. */
static GPtrArray *
changes_in_order (const FakeStore *store, gboolean rows)
{
  GPtrArray *changes = g_ptr_array_new ();
  for (guint i = 0; i < store->log->len; i++)
    g_ptr_array_add (changes, &g_array_index (store->log, FakeStoreChange, i));
  if (rows && store->by_key)
    g_ptr_array_sort (changes, compare_keys);
  return changes;
}

/* Returns the store's answer to a read: the changes after a revision or, if `rows` is set, a
 * listing with the latest change of each record. */
static char *
changes_text (const FakeStore *store, guint64 after, gboolean rows)
{
  json_t *list = json_array ();
  g_autoptr (GPtrArray) changes = changes_in_order (store, rows);
  for (guint i = 0; i < changes->len; i++) {
    const FakeStoreChange *change = changes->pdata[i];
    if (change->stamp <= after || (rows && stamp_of (store, change->path) != change->stamp))
      continue;
    json_t *object = json_pack ("{sssosI}", rows ? "path" : "set", change->path, "value",
                                json_loads (change->text, JSON_DECODE_ANY, NULL), "stamp",
                                (json_int_t)change->stamp);
    if (rows && store->newest_first)
      json_array_insert_new (list, 0, object);
    else
      json_array_append_new (list, object);
  }
  return hr_json_take_text (
      json_pack ("{sosbsI}", rows ? "rows" : "log", list, "more", FALSE, "epoch", store->epoch));
}

/* Returns the page of the listing that the path of the request asks for. */
static char *
listing_text (const FakeStore *store, const char *path)
{
  char *whole = changes_text (store, 0, TRUE);
  const char *cursor = strstr (path, "&after=");
  if (!store->page_rows)
    return whole;
  g_autofree char *after = cursor ? g_strndup (cursor + strlen ("&after="),
                                               strcspn (cursor + 1, "&") - strlen ("after="))
                                  : g_strdup ("");
  json_t *object = json_loads (whole, 0, NULL), *rows = json_object_get (object, "rows");
  g_free (whole);
  while (json_array_size (rows) &&
         strcmp (hr_json_str (json_array_get (rows, 0), "path"), after) <= 0)
    json_array_remove (rows, 0);
  json_object_set_new (object, "more", json_boolean (json_array_size (rows) > store->page_rows));
  while (json_array_size (rows) > store->page_rows)
    json_array_remove (rows, json_array_size (rows) - 1);
  return hr_json_take_text (object);
}

static int
commit (FakeStore *store, const char *body, char **text)
{
  json_t *object = json_loads (body, 0, NULL), *entry;
  size_t i;
  int status = 200;
  json_array_foreach (json_object_get (object, "when"), i, entry)
  {
    guint64 want = json_integer_value (json_object_get (entry, "stamp"));
    if (stamp_of (store, hr_json_str (entry, "path")) != want)
      status = 409;
  }
  store->epoch += status == 200;
  json_array_foreach (json_object_get (object, "writes"), i, entry)
  {
    store->n_deleted += status == 200 && hr_json_str (entry, "delete");
    if (status != 200 || !hr_json_str (entry, "set"))
      continue;
    g_autofree char *value = json_dumps (json_object_get (entry, "value"), JSON_COMPACT);
    assert_true (strlen (value) <= 4096);
    fake_store_set (store, hr_json_str (entry, "set"), value);
  }
  json_decref (object);
  *text = g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT ",\"failed\":[]}", store->epoch);
  return status;
}

/* ---- a node ---- */

SingleNode *
single_node_new (FakeStore *store, const char *state_more)
{
  SingleNode *n = g_new0 (SingleNode, 1);
  g_autoptr (GError) error = NULL;
  g_autofree char *text = g_strdup_printf (SETTINGS, state_more);
  json_t *root = json_loads (text, 0, NULL);
  hr_names_init (&n->names);
  n->settings = hr_settings_parse (root, &n->names, &error);
  json_decref (root);
  assert_non_null (n->settings);
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  HrPolicy policy;
  hr_core_policy_vars (n->settings, vars);
  assert_true (hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &policy, &error));
  n->store = store;
  n->now = 100;
  n->core = hr_core_new (n->settings, &policy, &n->names, "inc", 7);
  n->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  n->answers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return n;
}

void
single_node_free (SingleNode *n)
{
  hr_core_free (n->core);
  hr_settings_free (n->settings);
  hr_names_clear (&n->names);
  g_ptr_array_unref (n->inbox);
  g_hash_table_unref (n->answers);
  json_decref (n->body);
  g_free (n);
}

static void
push_result (SingleNode *n, guint64 id, int status, char *text)
{
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = id;
  command->result.status = status;
  command->body = g_bytes_new_take (text, strlen (text));
  g_ptr_array_add (n->inbox, command);
}

static void
answer_call (SingleNode *n, const HrEffect *effect)
{
  FakeStore *store = n->store;
  char *text = NULL;
  if (effect->call.target == HR_TO_CLOUD)
    push_result (n, effect->id, strcmp (effect->call.path, "/machine_types") == 0 ? 200 : 503,
                 g_strdup (TYPES));
  else if (store->down)
    push_result (n, effect->id, 503, g_strdup ("{}"));
  else if (g_str_has_prefix (effect->call.path, "/kv?"))
    push_result (n, effect->id, 200, listing_text (store, effect->call.path));
  else if (g_str_has_prefix (effect->call.path, "/leases"))
    push_result (n, effect->id, 200, g_strdup ("{\"claim\":1}"));
  else if (strcmp (effect->call.path, "/commit") == 0) {
    int status = commit (store, effect->body, &text);
    push_result (n, effect->id, status, text);
  } else if (g_str_has_suffix (effect->call.path, "hold_ms=0") && store->history_lost) {
    store->history_lost = FALSE;
    push_result (n, effect->id, 410, g_strdup ("{}"));
  } else if (g_str_has_suffix (effect->call.path, "hold_ms=0")) {
    const char *after = strstr (effect->call.path, "after=") + strlen ("after=");
    push_result (n, effect->id, 200,
                 changes_text (store, g_ascii_strtoull (after, NULL, 10), FALSE));
  } /* a watch gets no answer */
}

static void
step (SingleNode *n)
{
  g_autoptr (GPtrArray) batch = n->inbox;
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  n->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_ptr_array_add (batch, hr_command_new (HR_COMMAND_TICK));
  hr_core_step (n->core, n->now, 1e9 + n->now, batch, out);
  for (guint i = 0; i < out->len; i++) {
    const HrEffect *effect = out->pdata[i];
    if (effect->kind == HR_EFFECT_CALL)
      answer_call (n, effect);
    else if (effect->kind == HR_EFFECT_REPLY) {
      g_hash_table_insert (n->answers, g_memdup2 (&effect->id, sizeof effect->id),
                           GINT_TO_POINTER (effect->reply.status));
      n->retry_after_s = effect->reply.retry_after_s;
      json_decref (n->body);
      n->body = effect->body ? json_loads (effect->body, 0, NULL) : NULL;
    }
  }
  n->now += 0.1;
}

void
single_node_run (SingleNode *n, double for_s)
{
  for (double until = n->now + for_s; n->now < until;)
    step (n);
}

int
single_node_request (SingleNode *n, HrMethod method, const char *path, char *body)
{
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  guint64 id = ++n->next;
  gpointer status = NULL;
  command->id = id;
  command->request.method = method;
  command->request.path = g_strdup (path);
  command->body = body ? g_bytes_new_take (body, strlen (body)) : NULL;
  g_ptr_array_add (n->inbox, command);
  for (guint i = 0; i < 600 && !status; i++) {
    step (n);
    status = g_hash_table_lookup (n->answers, &id);
  }
  return GPOINTER_TO_INT (status);
}

static char *
submission (const char *id, const char *shape, guint tasks, guint estimate, const char *awaits,
            const char *more)
{
  return g_strdup_printf ("{\"name_id\":\"%s\",\"jobclass\":\"k\",\"crew\":\"crew\","
                          "\"shape\":\"%s\",\"pieces\":%u,\"vcpus\":1,\"accelerators\":0,"
                          "\"memory_gb\":1,\"bundle\":\"i\",\"size_gb\":1,\"hulls\":null,"
                          "\"quarry\":null,\"together\":false,\"apart\":false,"
                          "\"loaners\":false,\"guess_s\":%u,\"cairn_s\":0,\"stash_s\":0%s%s%s}",
                          id, shape, tasks, estimate, awaits ? ",\"awaits\":" : "",
                          awaits ? awaits : "", more);
}

static int
submit (SingleNode *n, const char *id, const char *shape, guint estimate, const char *awaits,
        const char *more)
{
  return single_node_request (n, HR_POST, "/v1/jobs",
                              submission (id, shape, 2, estimate, awaits, more));
}

char *
single_node_submission (const char *id, const char *shape, guint tasks)
{
  return submission (id, shape, tasks, 20, NULL, ",\"due_s\":null,\"rank\":\"low\"");
}

int
single_node_submit (SingleNode *n, const char *id, const char *awaits, const char *more)
{
  return submit (n, id, "batch", 20, awaits, more ? more : ",\"due_s\":null,\"rank\":\"low\"");
}

int
single_node_submit_service (SingleNode *n, const char *id)
{
  return submit (n, id, "daemon", 0, NULL, ",\"due_s\":null,\"rank\":\"production\"");
}

const char *
single_node_poll (SingleNode *n, const char *id)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  int status = single_node_request (n, HR_GET, path, NULL);
  return status == 200 ? hr_json_str (n->body, "stance") : status == 404 ? "unknown" : "none";
}

int
single_node_cancel (SingleNode *n, const char *id)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, "/abort", NULL);
  return single_node_request (n, HR_POST, path, NULL);
}

SingleNode *
single_node_leading (FakeStore *store)
{
  SingleNode *n = single_node_new (store, "");
  single_node_run (n, 5);
  assert_true (n->core->leadership.is_leader);
  return n;
}

gboolean
single_node_lists_open (SingleNode *n, const char *id)
{
  const HrJob *job = hr_job_find (&n->core->store.tables, id);
  for (guint i = 0; job && i < n->core->store.tables.open_jobs->len; i++)
    if (g_array_index (n->core->store.tables.open_jobs, guint32, i) == job->index)
      return TRUE;
  return FALSE;
}

void
fake_store_finish_job (FakeStore *store, const char *id)
{
  g_autofree char *path = g_strconcat ("h/j/", id, NULL);
  store->epoch++;
  fake_store_set (store, path, "{\"w\":\"x.1\",\"s\":1,\"n\":2,\"d\":2}");
}

HrMachine *
single_node_add_machine (SingleNode *n)
{
  HrMachine *machine = hr_machine_get (&n->core->store.tables, "m-1");
  machine->state = HR_MACHINE_UP;
  machine->agent.incarnation = 1;
  machine->agent.last_heartbeat_at = n->now;
  hr_machine_set_type (machine, &g_array_index (n->core->scaling.machine_types, HrMachineType, 0),
                       HR_NONE, FALSE);
  hr_fleet_add (n->core, machine);
  return machine;
}
