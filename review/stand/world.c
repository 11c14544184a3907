#include "world.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <microhttpd.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

World world;
pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
bool state_refuses[MAX_CONTROLLERS];
bool state_lost[MAX_CONTROLLERS];
bool peers_lost[MAX_CONTROLLERS];
bool cloud_down;
int zone_granted[4] = {-1, -1, -1, -1};

static bool ending;
static const char *folder_path, *hoprockd_path, *policy_path;

/* ---- time and record ---- */

static double started_at;
static FILE *record_file;

static double
monotonic (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec + t.tv_nsec / 1e9;
}

double
now_s (void)
{
  return monotonic () - started_at;
}

void
wait_until (double at_s)
{
  double left = at_s - now_s ();
  if (left > 0)
    g_usleep ((gulong)(left * 1e6));
}

void
record (const char *format, ...)
{
  static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  if (strlen (text) > 600)
    strcpy (text + 590, "...");
  pthread_mutex_lock (&record_lock);
  fprintf (record_file ? record_file : stdout, "%9.3f %s\n", started_at ? now_s () : 0, text);
  fflush (record_file ? record_file : stdout);
  pthread_mutex_unlock (&record_lock);
}

static GHashTable *broken; /* rule -> count */

void
rule_broken (const char *rule, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  record ("RULE BROKEN %s: %s", rule, text);
  int n = GPOINTER_TO_INT (g_hash_table_lookup (broken, rule));
  g_hash_table_insert (broken, g_strdup (rule), GINT_TO_POINTER (n + 1));
}

int
rules_broken (const char *rule)
{
  int n = 0;
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, broken);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (!rule || strcmp (rule, key) == 0)
      n += GPOINTER_TO_INT (value);
  return n;
}

/* ---- HTTP ---- */

/* A request to a stand-in, and the answer that its handler chose. */
typedef struct {
  const char *method, *path;
  struct MHD_Connection *conn;
  GString *body;
  int status; /* 0: the connection is closed without an answer */
  json_t *answer;
} Http;

typedef void (*Handler) (Http *http, gpointer data);

typedef struct {
  Handler handler;
  gpointer data;
  int port;
  struct MHD_Daemon *daemon;
} Server;

static const char *
query (const Http *http, const char *key)
{
  return MHD_lookup_connection_value (http->conn, MHD_GET_ARGUMENT_KIND, key);
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *conn, const char *url, const char *method,
            const char *version G_GNUC_UNUSED, const char *upload, size_t *size, void **state)
{
  Server *server = data;
  GString *body = *state;
  if (!body) {
    *state = g_string_new (NULL);
    return MHD_YES;
  }
  if (*size) {
    g_string_append_len (body, upload, *size);
    *size = 0;
    return MHD_YES;
  }
  Http http = {method, url, conn, body, 404, NULL};
  server->handler (&http, server->data);
  if (!http.status) {
    json_decref (http.answer);
    return MHD_NO;
  }
  char *text =
      http.answer ? json_dumps (http.answer, JSON_COMPACT | JSON_ENCODE_ANY) : strdup ("{}");
  json_decref (http.answer);
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result ok = MHD_queue_response (conn, http.status, response);
  MHD_destroy_response (response);
  return ok;
}

static void
on_completed (void *data G_GNUC_UNUSED, struct MHD_Connection *conn G_GNUC_UNUSED, void **state,
              enum MHD_RequestTerminationCode why G_GNUC_UNUSED)
{
  if (*state)
    g_string_free (*state, TRUE);
  *state = NULL;
}

static int
free_port (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t len = sizeof address;
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 ||
      getsockname (fd, (struct sockaddr *)&address, &len) != 0) {
    record ("no free port: %s", strerror (errno));
    exit (2);
  }
  close (fd);
  return ntohs (address.sin_port);
}

static Server *
serve (Handler handler, gpointer data)
{
  Server *server = g_new0 (Server, 1);
  server->handler = handler;
  server->data = data;
  for (int i = 0; i < 20 && !server->daemon; i++) {
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
    server->port = free_port ();
    address.sin_port = htons (server->port);
    server->daemon = MHD_start_daemon (
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_CONNECTION_TIMEOUT, 60u, MHD_OPTION_END);
  }
  if (!server->daemon) {
    record ("a stand-in cannot listen");
    exit (2);
  }
  return server;
}

/* Sends one request. Returns the status, 0: no response in time. */
static int
http_call (int port, const char *method, const char *path, const char *body, double timeout_s,
           json_t **answer)
{
  double deadline = monotonic () + timeout_s;
  struct sockaddr_in address = {
      .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK), .sin_port = htons (port)};
  int status = 0, fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  g_autoptr (GString) in = g_string_new (NULL);
  g_autofree char *out =
      g_strdup_printf ("%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nConnection: close\r\nContent-Type: "
                       "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                       method, path, port, body ? strlen (body) : 0, body ? body : "");
  gsize sent = 0, size = strlen (out);
  if (answer)
    *answer = NULL;
  if (fd < 0)
    return 0;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0 && errno != EINPROGRESS)
    goto end;
  for (;;) {
    double left = deadline - monotonic ();
    struct pollfd poll_fd = {fd, sent < size ? POLLOUT : POLLIN, 0};
    if (left <= 0 || poll (&poll_fd, 1, (int)(left * 1000) + 1) <= 0)
      goto end;
    if (sent < size) {
      ssize_t n = send (fd, out + sent, size - sent, MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN)
        goto end;
      sent += MAX (n, 0);
      continue;
    }
    char buffer[16384];
    ssize_t n = recv (fd, buffer, sizeof buffer, 0);
    if (n < 0 && errno == EAGAIN)
      continue;
    if (n < 0)
      goto end;
    if (n > 0)
      g_string_append_len (in, buffer, n);
    const char *head_end = strstr (in->str, "\r\n\r\n");
    if (head_end) {
      const char *length = strcasestr (in->str, "content-length:");
      gsize want = length && length < head_end ? strtoul (length + 15, NULL, 10) : G_MAXSIZE;
      gsize have = in->len - (head_end + 4 - in->str);
      if (have >= want || n == 0) {
        status = atoi (in->str + 9);
        if (answer)
          *answer = json_loads (head_end + 4, JSON_DECODE_ANY, NULL);
        goto end;
      }
    }
    if (n == 0)
      goto end;
  }
end:
  close (fd);
  return status;
}

static int controller_by_label (const char *label);

/* ---- state service ---- */

typedef struct {
  json_t *value;
  gint64 stamp, claim;
} Row;

typedef struct {
  char *key;
  json_t *value; /* NULL: deleted */
  gint64 stamp;
} Change;

typedef struct {
  gint64 id;
  double life_s, expires_at;
} Lease;

typedef struct {
  double tokens, at;
} Bucket;

#define KEPT_CHANGES 10000

static GTree *rows;
static GArray *changes; /* Change */
static gint64 epoch;
static GHashTable *leases; /* id -> Lease */
static gint64 last_lease;
static pthread_cond_t changed;
static Bucket state_requests, state_writes;
static double read_at[MAX_CONTROLLERS], renewed_at[MAX_CONTROLLERS];
static int refused_deletions[MAX_CONTROLLERS];

/* Waits, with the lock, while nothing passes between the controller and the state service. */
static void
hold_while_lost (int node, double for_s)
{
  double until = now_s () + for_s;
  while (state_lost[node] && !ending && now_s () < until) {
    pthread_mutex_unlock (&lock);
    g_usleep (20000);
    pthread_mutex_lock (&lock);
  }
}

static void
row_free (gpointer data)
{
  Row *row = data;
  json_decref (row->value);
  g_free (row);
}

static int
compare_keys (gconstpointer left, gconstpointer right, gpointer data G_GNUC_UNUSED)
{
  return strcmp (left, right);
}

static bool
take (Bucket *bucket, double rate, double n)
{
  double now = now_s ();
  bucket->tokens = MIN (rate, bucket->tokens + (now - bucket->at) * rate);
  bucket->at = now;
  if (bucket->tokens < n)
    return false;
  bucket->tokens -= n;
  return true;
}

static void
log_change (const char *key, json_t *value)
{
  Change change = {g_strdup (key), value ? json_incref (value) : NULL, epoch};
  g_array_append_val (changes, change);
  if (changes->len > KEPT_CHANGES)
    g_array_remove_range (changes, 0, changes->len - KEPT_CHANGES);
}

static double leader_since;

static void
state_set (const char *key, json_t *value, gint64 claim)
{
  if (strcmp (key, "h/map") == 0) {
    char *text = json_dumps (value, JSON_COMPACT);
    leader_since = now_s ();
    record ("leader record: %s", text);
    free (text);
  }
  Row *row = g_new0 (Row, 1);
  row->value = json_incref (value);
  row->stamp = epoch;
  row->claim = claim;
  g_tree_replace (rows, g_strdup (key), row);
  log_change (key, value);
}

static void
state_delete (const char *key)
{
  if (g_tree_remove (rows, key))
    log_change (key, NULL);
}

static json_t *
error_body (const char *text)
{
  return json_pack ("{ss}", "error", text);
}

static void
state_commit (Http *http)
{
  json_t *body = json_loads (http->body->str, 0, NULL), *entry;
  json_t *when = json_object_get (body, "when"), *writes = json_object_get (body, "writes");
  json_t *failed = json_array ();
  size_t i;
  if (!json_is_array (writes) || json_array_size (writes) > (size_t)world.txn_ops ||
      json_array_size (when) > 4 * (size_t)world.txn_ops || http->body->len > 64 * 1024) {
    http->status = 400;
    http->answer = error_body ("malformed or too large");
    goto end;
  }
  if (!take (&state_writes, world.state_write_rps, json_array_size (writes))) {
    http->status = 429;
    goto end;
  }
  json_array_foreach (writes, i, entry)
  {
    gint64 claim = json_integer_value (json_object_get (entry, "claim"));
    g_autofree char *text = NULL;
    char *dumped = json_dumps (json_object_get (entry, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
    bool is_large = dumped && strlen (dumped) > world.value_kb * 1024;
    free (dumped);
    if (is_large || (claim && !g_hash_table_contains (leases, &claim))) {
      http->status = 400;
      http->answer = error_body (is_large ? "value too large" : "no such lease");
      goto end;
    }
  }
  json_array_foreach (when, i, entry)
  {
    const char *path = json_string_value (json_object_get (entry, "path"));
    const Row *row = path ? g_tree_lookup (rows, path) : NULL;
    if ((row ? row->stamp : 0) != json_integer_value (json_object_get (entry, "stamp")))
      json_array_append_new (failed, json_string (path ? path : ""));
  }
  if (json_array_size (failed)) {
    http->status = 409;
    http->answer = json_pack ("{sOsI}", "failed", failed, "epoch", (json_int_t)epoch);
    goto end;
  }
  if (json_array_size (writes))
    epoch++;
  json_array_foreach (writes, i, entry)
  {
    const char *set = json_string_value (json_object_get (entry, "set"));
    if (set)
      state_set (set, json_object_get (entry, "value"),
                 json_integer_value (json_object_get (entry, "claim")));
    else
      state_delete (json_string_value (json_object_get (entry, "delete")));
  }
  pthread_cond_broadcast (&changed);
  http->status = 200;
  http->answer = json_pack ("{sI}", "epoch", (json_int_t)epoch);
end:
  json_decref (failed);
  json_decref (body);
}

typedef struct {
  const char *starts, *after;
  guint limit;
  gsize bytes;
  json_t *out;
  bool more;
} Listing;

static gboolean
list_row (gpointer key, gpointer value, gpointer data)
{
  Listing *listing = data;
  Row *row = value;
  if (!g_str_has_prefix (key, listing->starts) ||
      (listing->after && strcmp (key, listing->after) <= 0))
    return FALSE;
  char *text = json_dumps (row->value, JSON_COMPACT | JSON_ENCODE_ANY);
  gsize bytes = strlen (text) + strlen (key) + 40;
  free (text);
  if (json_array_size (listing->out) >= listing->limit || listing->bytes + bytes > 512 * 1024) {
    listing->more = true;
    return TRUE;
  }
  listing->bytes += bytes;
  json_array_append_new (listing->out, json_pack ("{sssOsI}", "path", key, "value", row->value,
                                                  "stamp", (json_int_t)row->stamp));
  return FALSE;
}

static void
state_changes (Http *http)
{
  const char *starts = query (http, "starts"), *after_text = query (http, "after");
  const char *hold = query (http, "hold_ms");
  gint64 after = after_text ? g_ascii_strtoll (after_text, NULL, 10) : 0;
  double until = now_s () + MIN (60, hold ? atof (hold) / 1000 : 0);
  for (;;) {
    json_t *log = json_array ();
    if (changes->len == KEPT_CHANGES && after < g_array_index (changes, Change, 0).stamp - 1) {
      json_decref (log);
      http->status = 410;
      return;
    }
    guint first = changes->len;
    while (first > 0 && g_array_index (changes, Change, first - 1).stamp > after)
      first--;
    for (guint i = first; i < changes->len; i++) {
      const Change *change = &g_array_index (changes, Change, i);
      if (starts && !g_str_has_prefix (change->key, starts))
        continue;
      json_array_append_new (log, change->value ? json_pack ("{sssOsI}", "set", change->key,
                                                             "value", change->value, "stamp",
                                                             (json_int_t)change->stamp)
                                                : json_pack ("{sssI}", "delete", change->key,
                                                             "stamp", (json_int_t)change->stamp));
    }
    if (json_array_size (log) || now_s () >= until || ending) {
      http->status = 200;
      http->answer = json_pack ("{sIso}", "epoch", (json_int_t)epoch, "log", log);
      return;
    }
    json_decref (log);
    struct timespec t;
    clock_gettime (CLOCK_MONOTONIC, &t);
    double wake = t.tv_sec + t.tv_nsec / 1e9 + MIN (1, until - now_s ());
    t.tv_sec = (time_t)wake;
    t.tv_nsec = (long)((wake - t.tv_sec) * 1e9);
    pthread_cond_timedwait (&changed, &lock, &t);
  }
}

static void
state_leases (Http *http)
{
  const char *rest = http->path + strlen ("/leases");
  gint64 id = *rest == '/' ? g_ascii_strtoll (rest + 1, NULL, 10) : 0;
  Lease *lease = id ? g_hash_table_lookup (leases, &id) : NULL;
  if (!*rest) {
    json_t *body = json_loads (http->body->str, 0, NULL);
    double life_s = json_number_value (json_object_get (body, "life_ms")) / 1000;
    json_decref (body);
    lease = g_new0 (Lease, 1);
    *lease = (Lease){++last_lease, life_s, now_s () + life_s};
    g_hash_table_insert (leases, &lease->id, lease);
    http->status = 200;
    http->answer = json_pack ("{sI}", "claim", (json_int_t)lease->id);
  } else if (!lease)
    http->status = 404;
  else if (strcmp (http->method, "DELETE") == 0) {
    lease->expires_at = 0;
    http->status = 200;
  } else {
    lease->expires_at = now_s () + lease->life_s;
    http->status = 200;
  }
}

static void
state_handler (Http *http, gpointer data)
{
  int node = GPOINTER_TO_INT (data);
  const char *hold = query (http, "hold_ms");
  pthread_mutex_lock (&lock);
  if (state_lost[node]) { /* the request does not arrive; its connection ends later */
    hold_while_lost (node, 15);
    http->status = 0;
  } else if (state_refuses[node])
    http->status = 503;
  else if (!take (&state_requests, world.state_rps, 1))
    http->status = 429;
  else if (strcmp (http->path, "/commit") == 0)
    state_commit (http);
  else if (g_str_has_prefix (http->path, "/leases"))
    state_leases (http);
  else if (strcmp (http->path, "/changes") == 0)
    state_changes (http);
  else if (strcmp (http->path, "/kv") == 0) {
    const char *limit = query (http, "limit"), *starts = query (http, "starts");
    Listing listing = {starts ? starts : "",
                       query (http, "after"),
                       limit ? MIN (1000, atoi (limit)) : 1000,
                       0,
                       json_array (),
                       false};
    g_tree_foreach (rows, list_row, &listing);
    http->status = 200;
    http->answer = json_pack ("{sosbsI}", "rows", listing.out, "more", listing.more, "epoch",
                              (json_int_t)epoch);
  } else if (g_str_has_prefix (http->path, "/kv/")) {
    const Row *row = g_tree_lookup (rows, http->path + 4);
    http->status = row ? 200 : 404;
    http->answer = row ? json_pack ("{sssOsI}", "path", http->path + 4, "value", row->value,
                                    "stamp", (json_int_t)row->stamp)
                       : json_pack ("{sI}", "epoch", (json_int_t)epoch);
  }
  if (state_lost[node]) { /* the answer does not arrive */
    hold_while_lost (node, 15);
    http->status = 0;
  }
  int status = http->status;
  if (status == 200 && strcmp (http->path, "/changes") == 0 && (!hold || atoi (hold) == 0))
    read_at[node] = now_s ();
  if (status == 200 && g_str_has_suffix (http->path, "/touch"))
    renewed_at[node] = now_s ();
  pthread_mutex_unlock (&lock);
  if (!world.quiet && strcmp (http->path, "/commit") == 0)
    record ("state: c%d %s -> %d", node, http->body->str, status);
}

static gboolean
collect_claimed (gpointer key, gpointer value, gpointer data)
{
  gpointer *args = data;
  if (((Row *)value)->claim == *(gint64 *)args[0])
    g_ptr_array_add (args[1], g_strdup (key));
  return FALSE;
}

static void
expire_leases (void)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, leases);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    Lease *lease = value;
    if (lease->expires_at > now_s ())
      continue;
    g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
    gpointer args[] = {&lease->id, keys};
    g_tree_foreach (rows, collect_claimed, args);
    if (keys->len)
      epoch++;
    for (guint i = 0; i < keys->len; i++)
      state_delete (keys->pdata[i]);
    if (keys->len)
      pthread_cond_broadcast (&changed);
    g_hash_table_iter_remove (&iter);
  }
}

/* ---- jobs, as users uploaded them ---- */

typedef struct {
  char *id;
  json_t *spec;
  bool is_submitted;
  bool *done;
  double *progress; /* saved */
  int pieces, n_started;
  bool is_gang, is_service;
  double run_s, cairn_s, stash_s, cpus, gpus, memory;
  double cancelled_at; /* when a user was told; 0: not cancelled */
  bool told_done;
} Job;

static GHashTable *jobs; /* id -> Job */

static Job *
job_of_piece (const char *piece, int *index)
{
  const char *slash = strrchr (piece, '/');
  if (!slash)
    return NULL;
  g_autofree char *id = g_strndup (piece, slash - piece);
  Job *job = g_hash_table_lookup (jobs, id);
  *index = atoi (slash + 1);
  return job && *index < job->pieces ? job : NULL;
}

static double
number_of (const json_t *object, const char *key)
{
  return json_number_value (json_object_get (object, key));
}

static Job *
job_upload (json_t *spec)
{
  const char *id = json_string_value (json_object_get (spec, "name_id"));
  Job *job = g_hash_table_lookup (jobs, id);
  if (job)
    return job;
  const char *shape = json_string_value (json_object_get (spec, "shape"));
  job = g_new0 (Job, 1);
  job->id = g_strdup (id);
  job->spec = json_incref (spec);
  job->pieces = (int)number_of (spec, "pieces");
  job->done = g_new0 (bool, job->pieces);
  job->progress = g_new0 (double, job->pieces);
  job->is_gang = strcmp (shape, "ensemble") == 0;
  job->is_service = strcmp (shape, "daemon") == 0;
  job->run_s = number_of (spec, "guess_s");
  job->cairn_s = number_of (spec, "cairn_s");
  job->stash_s = number_of (spec, "stash_s");
  job->cpus = number_of (spec, "vcpus");
  job->gpus = number_of (spec, "accelerators");
  job->memory = number_of (spec, "memory_gb");
  g_hash_table_insert (jobs, job->id, job);
  return job;
}

/* ---- workers ---- */

typedef enum { FETCHING, GATHERING, RUNNING, FLUSHING, EXITED } Stance;
static const char *const stances[] = {"fetching", "gathering", "running", "flushing", "exited"};

typedef struct {
  char *piece;
  Job *job;
  int index, attempt;
  Stance stance;
  const char *cause;
  bool kept, is_on;
  double next_at;  /* end of the fetch or the save */
  double since;    /* gathering or running since */
  double progress; /* when the run began */
  double lost_at;  /* gang: another task is gone since */
  guint64 baton;   /* token under which it was launched */
} Task;

typedef struct {
  char *name, *addr;
  int zone;
  bool spot, is_up, is_gone, dirty;
  double rented_at, up_at, gone_at;
  guint64 tenure, tally, baton;
  double lease_from;
  double reported_at, baton_reported_at;
  GPtrArray *tasks;
  GHashTable *images;
  int node;
  Server *server;
  pthread_t thread;
} Worker;

static GPtrArray *workers; /* Worker, by name */

static int controller_port (int node);

static Worker *
worker_find (const char *name)
{
  for (guint i = 0; name && i < workers->len; i++)
    if (strcmp (((Worker *)workers->pdata[i])->name, name) == 0)
      return workers->pdata[i];
  return NULL;
}

static void
task_free (gpointer data)
{
  Task *task = data;
  g_free (task->piece);
  g_free (task);
}

static void
task_exit (Worker *worker, Task *task, const char *cause)
{
  if (task->stance == EXITED)
    return;
  if (task->is_on)
    record ("task: %s try %d is off %s: %s", task->piece, task->attempt, worker->name, cause);
  task->is_on = false;
  task->stance = EXITED;
  task->cause = cause;
  worker->dirty = true;
}

/* Calls the function for each task that is on a machine. */
#define FOREACH_TASK(worker_, task_)                                                               \
  for (guint w_ = 0; w_ < workers->len; w_++)                                                      \
    for (Worker *worker_ = workers->pdata[w_], *once_ = worker_; once_; once_ = NULL)              \
      for (guint t_ = 0; t_ < worker_->tasks->len; t_++)                                           \
        for (Task *task_ = worker_->tasks->pdata[t_], *again_ = task_; again_; again_ = NULL)

static bool
names (const json_t *list, const char *text)
{
  size_t i;
  json_t *entry;
  json_array_foreach (list, i,
                      entry) if (strcmp (json_string_value (entry), text) == 0) return true;
  return false;
}

/* The task has its image: it is on the machine from now on. Checks the rules on starts. */
static void
task_is_on (Worker *worker, Task *task)
{
  Job *job = task->job;
  int in_zone = 0, elsewhere = 0;
  double cpus = 0, gpus = 0;
  const char *quarry = json_string_value (json_object_get (job->spec, "quarry"));
  const json_t *hulls = json_object_get (job->spec, "hulls");
  FOREACH_TASK (other_worker, other)
  {
    if (!other->is_on)
      continue;
    cpus += other->job->cpus;
    gpus += other->job->gpus;
    if (other->job != job)
      continue;
    if (other->index == task->index)
      rule_broken ("ran_twice", "%s starts on %s while it is on %s", task->piece, worker->name,
                   other_worker->name);
    in_zone += other_worker->zone == worker->zone;
    elsewhere += other_worker->zone != worker->zone;
  }
  task->is_on = true;
  job->n_started++;
  record ("task: %s try %d starts on %s in zone %s", task->piece, task->attempt, worker->name,
          world.zones[worker->zone]);
  if ((world.team_cpus_max > 0 && cpus + job->cpus > world.team_cpus_max + 1e-6) ||
      (world.team_gpus_max > 0 && gpus + job->gpus > world.team_gpus_max + 1e-6))
    rule_broken ("quota", "%s takes the team to %g cpus, %g gpus", task->piece, cpus + job->cpus,
                 gpus + job->gpus);
  if (json_is_true (json_object_get (job->spec, "apart")) && in_zone + 1 > (job->pieces + 1) / 2)
    rule_broken ("wrong_place",
                 "%s starts in zone %s beside %d others of its job, which has %d tasks and sets "
                 "apart: at most %d may be in one zone",
                 task->piece, world.zones[worker->zone], in_zone, job->pieces,
                 (job->pieces + 1) / 2);
  if (json_is_true (json_object_get (job->spec, "together")) && elsewhere)
    rule_broken ("wrong_place", "%s starts in zone %s, others of its job are elsewhere",
                 task->piece, world.zones[worker->zone]);
  if ((quarry && strcmp (quarry, world.zones[worker->zone]) != 0) ||
      (json_is_array (hulls) && !names (hulls, world.type)) ||
      (worker->spot && !json_is_true (json_object_get (job->spec, "loaners"))))
    rule_broken ("wrong_place", "%s starts on %s", task->piece, worker->name);
  if (job->cancelled_at && now_s () > job->cancelled_at + world.cancel_s)
    rule_broken ("ran_cancelled", "%s starts %.1f s after its user was told", task->piece,
                 now_s () - job->cancelled_at);
}

static void
worker_forget_tasks (Worker *worker, const char *why)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    task_exit (worker, worker->tasks->pdata[i], why);
  g_ptr_array_set_size (worker->tasks, 0);
}

static double
done_s (const Task *task)
{
  return task->progress + now_s () - task->since;
}

static void
save_checkpoint (Task *task)
{
  if (task->stance != RUNNING || task->job->cairn_s <= 0)
    return;
  double saved = floor (done_s (task) / task->job->cairn_s) * task->job->cairn_s;
  task->job->progress[task->index] = MAX (task->job->progress[task->index], saved);
}

static void
worker_launch (Worker *worker, const char *piece, int attempt)
{
  int index = 0;
  Job *job = job_of_piece (piece, &index);
  double cpus = world.type_cpus, gpus = world.type_gpus, memory = world.type_memory;
  const char *refusal = NULL;
  for (guint i = 0; i < worker->tasks->len; i++) {
    const Task *task = worker->tasks->pdata[i];
    if (strcmp (task->piece, piece) == 0 && task->attempt == attempt)
      return;
    if (task->stance == EXITED)
      continue;
    if (strcmp (task->piece, piece) == 0)
      refusal = "in_use";
    cpus -= task->job->cpus;
    gpus -= task->job->gpus;
    memory -= task->job->memory;
  }
  Task *task = g_new0 (Task, 1);
  task->piece = g_strdup (piece);
  task->attempt = attempt;
  task->job = job;
  task->index = index;
  task->baton = worker->baton;
  g_ptr_array_add (worker->tasks, task);
  worker->dirty = true;
  if (!job)
    refusal = "unknown";
  else if (!refusal &&
           (job->cpus > cpus + 1e-6 || job->gpus > gpus + 1e-6 || job->memory > memory + 1e-6))
    refusal = "full";
  if (refusal) {
    task->stance = EXITED;
    task->cause = refusal;
    return;
  }
  const char *image = json_string_value (json_object_get (job->spec, "bundle"));
  bool has_image = g_hash_table_contains (worker->images, image);
  task->next_at = now_s () + (has_image ? 0 : number_of (job->spec, "size_gb") / world.fetch_rate);
}

static void
worker_order (Worker *worker, const json_t *order, const char *way)
{
  const char *verb = json_string_value (json_object_get (order, "verb"));
  const char *piece = json_string_value (json_object_get (order, "piece"));
  int attempt = (int)number_of (order, "try");
  double leeway_s = number_of (order, "leeway_s");
  if (!verb || !piece)
    return;
  record ("order: %s %s %s try %d%s", worker->name, verb, piece, attempt, way);
  if (strcmp (verb, "launch") == 0) {
    worker_launch (worker, piece, attempt);
    return;
  }
  for (guint i = 0; i < worker->tasks->len; i++) {
    Task *task = worker->tasks->pdata[i];
    if (strcmp (task->piece, piece) != 0 || task->attempt != attempt)
      continue;
    if (strcmp (verb, "clear") == 0) {
      if (task->stance == EXITED)
        g_ptr_array_remove_index (worker->tasks, i);
      return;
    }
    if (task->stance == RUNNING && task->job->cairn_s > 0 && leeway_s >= task->job->stash_s) {
      task->job->progress[task->index] = done_s (task);
      task->stance = FLUSHING;
      task->kept = true;
      task->next_at = now_s () + task->job->stash_s;
      worker->dirty = true;
    } else if (task->stance != FLUSHING || leeway_s <= 0) {
      save_checkpoint (task);
      task_exit (worker, task, "halted");
    }
    return;
  }
}

static json_t *
worker_report (Worker *worker)
{
  json_t *pieces = json_array ();
  for (guint i = 0; i < worker->tasks->len; i++) {
    const Task *task = worker->tasks->pdata[i];
    json_t *object = json_pack ("{sssiss}", "piece", task->piece, "try", task->attempt, "stance",
                                stances[task->stance]);
    if (task->stance == EXITED)
      json_object_set_new (object, "cause", json_string (task->cause));
    if (task->stance == EXITED && task->kept)
      json_object_set_new (object, "kept", json_true ());
    json_array_append_new (pieces, object);
  }
  return json_pack ("{sssssssssbsIsIsIsnso}", "rockhand", worker->name, "addr", worker->addr,
                    "hull", world.type, "quarry", world.zones[worker->zone], "loaners",
                    worker->spot, "tenure", (json_int_t)worker->tenure, "tally",
                    (json_int_t)++worker->tally, "baton", (json_int_t)worker->baton, "warning_s",
                    "pieces", pieces);
}

static void
worker_handler (Http *http, gpointer data)
{
  Worker *worker = data;
  pthread_mutex_lock (&lock);
  if (!worker->is_up || worker->is_gone)
    http->status = 0;
  else if (strcmp (http->path, "/show") == 0) {
    http->status = 200;
    http->answer = worker_report (worker);
  } else if (strcmp (http->path, "/do") == 0) {
    json_t *body = json_loads (http->body->str, 0, NULL), *order;
    json_t *baton = json_object_get (body, "baton"), *tenure = json_object_get (body, "tenure");
    size_t i;
    if (!json_is_integer (baton) || !json_is_integer (tenure))
      http->status = 400;
    else if ((guint64)json_integer_value (baton) < worker->baton ||
             (guint64)json_integer_value (tenure) != worker->tenure)
      http->status = 409;
    else {
      http->status = 200;
      if ((guint64)json_integer_value (baton) > worker->baton)
        worker->dirty = true;
      worker->baton = json_integer_value (baton);
      json_array_foreach (json_object_get (body, "orders"), i, order)
          worker_order (worker, order, " (direct)");
    }
    if (http->status != 400)
      http->answer = worker_report (worker);
    json_decref (body);
  }
  pthread_mutex_unlock (&lock);
}

/* Sends one report and carries the answer out. Called without the lock. */
static void
worker_send_report (Worker *worker)
{
  json_t *answer = NULL, *order;
  size_t i;
  pthread_mutex_lock (&lock);
  json_t *report = worker_report (worker);
  worker->dirty = false;
  worker->reported_at = now_s ();
  double sent_at = worker->reported_at;
  guint64 tenure = worker->tenure;
  int node = worker->node;
  pthread_mutex_unlock (&lock);
  char *text = json_dumps (report, JSON_COMPACT);
  json_decref (report);
  int status = http_call (controller_port (node), "POST", "/hello", text, 4, &answer);
  free (text);
  pthread_mutex_lock (&lock);
  bool try_next = false;
  if (worker->is_gone || tenure != worker->tenure)
    ;
  else if (status == 200) {
    const json_t *baton = json_object_get (answer, "baton");
    if (json_is_integer (baton) && (guint64)json_integer_value (baton) >= worker->baton) {
      if ((guint64)json_integer_value (baton) > worker->baton) {
        record ("answer: %s gets token %lld from c%d", worker->name,
                (long long)json_integer_value (baton), node);
        worker->dirty = true;
      }
      worker->baton = json_integer_value (baton);
      worker->lease_from = MAX (worker->lease_from, sent_at);
      json_array_foreach (json_object_get (answer, "orders"), i, order)
          worker_order (worker, order, "");
    }
  } else {
    const char *foreman =
        status == 421 ? json_string_value (json_object_get (answer, "foreman")) : NULL;
    int named = controller_by_label (foreman);
    try_next = named < 0 || named == node;
    worker->node = try_next ? (node + 1) % world.controllers : named;
    worker->dirty = !try_next;
  }
  pthread_mutex_unlock (&lock);
  json_decref (answer);
  if (try_next)
    g_usleep (1000000);
}

static void *
worker_thread (void *data)
{
  Worker *worker = data;
  GRand *rand = g_rand_new_with_seed (g_str_hash (worker->name));
  double pause = 0;
  while (!ending) {
    g_usleep (20000);
    pthread_mutex_lock (&lock);
    double now = now_s (), since = now - worker->reported_at;
    bool gone = worker->is_gone;
    bool due = worker->is_up && (since >= pause || (worker->dirty && since >= 0.5));
    pthread_mutex_unlock (&lock);
    if (gone)
      break;
    if (!due)
      continue;
    worker_send_report (worker);
    pause = world.report_s * g_rand_double_range (rand, 0.75, 1.25);
  }
  g_rand_free (rand);
  return NULL;
}

/* Returns whether all tasks of the gang's attempt gather, or run, on machines that are there. */
static int
gang_count (const Job *job, int attempt, Stance stance)
{
  int n = 0;
  FOREACH_TASK (worker, task)
  n += !worker->is_gone && task->job == job && task->attempt == attempt && task->stance == stance;
  return n;
}

static void
gang_start (Job *job, int attempt)
{
  record ("gang: %s try %d starts", job->id, attempt);
  FOREACH_TASK (worker, task)
  if (task->job == job && task->attempt == attempt && task->stance == GATHERING) {
    task->stance = RUNNING;
    task->since = now_s ();
    task->progress = job->progress[0];
    worker->dirty = true;
  }
}

static void
gang_done (Job *job, int attempt)
{
  for (int i = 0; i < job->pieces; i++)
    job->done[i] = true;
  FOREACH_TASK (worker, task)
  if (task->job == job && task->attempt == attempt && task->stance == RUNNING)
    task_exit (worker, task, "done");
}

static void
task_advance (Worker *worker, Task *task)
{
  Job *job = task->job;
  double now = now_s ();
  switch (task->stance) {
  case FETCHING:
    if (now < task->next_at)
      return;
    g_hash_table_add (worker->images,
                      g_strdup (json_string_value (json_object_get (job->spec, "bundle"))));
    task_is_on (worker, task);
    worker->dirty = true;
    task->since = now;
    task->progress = job->progress[task->index];
    task->stance = job->is_gang ? GATHERING : RUNNING;
    if (job->done[task->index])
      task_exit (worker, task, "done");
    return;
  case GATHERING:
    if (gang_count (job, task->attempt, GATHERING) == job->pieces)
      gang_start (job, task->attempt);
    else if (now - task->since > world.gang_wait_s)
      task_exit (worker, task, "incomplete");
    return;
  case RUNNING:
    if (job->is_gang &&
        gang_count (job, task->attempt, RUNNING) + gang_count (job, task->attempt, FLUSHING) <
            job->pieces) {
      task->lost_at = task->lost_at ? task->lost_at : now;
      if (now - task->lost_at > world.gang_peer_s)
        task_exit (worker, task, "peers");
      return;
    }
    save_checkpoint (task);
    if (job->is_service || done_s (task) < job->run_s)
      return;
    if (job->is_gang)
      gang_done (job, task->attempt);
    else {
      job->done[task->index] = true;
      task_exit (worker, task, "done");
    }
    return;
  case FLUSHING:
    if (now >= task->next_at)
      task_exit (worker, task, "halted");
    return;
  case EXITED:
    return;
  }
}

static void
worker_start (Worker *worker)
{
  worker->server = serve (worker_handler, worker);
  g_free (worker->addr);
  worker->addr = g_strdup_printf ("127.0.0.1:%d", worker->server->port);
  worker->is_up = true;
  worker->tenure = 1;
  worker->lease_from = now_s ();
  record ("machine: %s is up in zone %s", worker->name, world.zones[worker->zone]);
  pthread_create (&worker->thread, NULL, worker_thread, worker);
}

static void
worker_advance (Worker *worker)
{
  if (worker->is_gone)
    return;
  if (!worker->is_up) {
    if (now_s () >= worker->up_at)
      worker_start (worker);
    return;
  }
  if (now_s () - worker->lease_from > world.lease_s) {
    if (worker->tasks->len)
      record ("lease: %s ends its session %d with %u tasks", worker->name, (int)worker->tenure,
              worker->tasks->len);
    worker_forget_tasks (worker, "lease");
    worker->tenure++;
    worker->lease_from = now_s ();
    worker->dirty = true;
  }
  for (guint i = 0; i < worker->tasks->len; i++)
    task_advance (worker, worker->tasks->pdata[i]);
}

static void
check_cancelled (void)
{
  static GHashTable *told;
  if (!told)
    told = g_hash_table_new (g_str_hash, g_str_equal);
  FOREACH_TASK (worker, task)
  if (task->is_on && task->job->cancelled_at &&
      now_s () > task->job->cancelled_at + world.cancel_s && g_hash_table_add (told, task->piece))
    rule_broken ("ran_cancelled", "%s is on %s %.1f s after its user was told", task->piece,
                 worker->name, now_s () - task->job->cancelled_at);
}

static void *
ticker (void *data G_GNUC_UNUSED)
{
  while (!ending) {
    g_usleep (10000);
    pthread_mutex_lock (&lock);
    expire_leases ();
    for (guint i = 0; i < workers->len; i++)
      worker_advance (workers->pdata[i]);
    check_cancelled ();
    pthread_mutex_unlock (&lock);
  }
  return NULL;
}

/* ---- cloud ---- */

static GHashTable *rentals; /* ask -> json_t answer */
static Bucket cloud_requests;

static int
zone_index (const char *name)
{
  for (int i = 0; name && i < world.n_zones; i++)
    if (strcmp (world.zones[i], name) == 0)
      return i;
  return -1;
}

static void
cloud_rent (Http *http)
{
  json_t *body = json_loads (http->body->str, 0, NULL);
  const char *ask = json_string_value (json_object_get (body, "ask"));
  int zone = zone_index (json_string_value (json_object_get (body, "quarry")));
  int count = (int)number_of (body, "count"), there = 0;
  bool spot = json_is_true (json_object_get (body, "loaners"));
  if (!ask || zone < 0 || count < 1 || count > 50) {
    http->status = 400;
    json_decref (body);
    return;
  }
  json_t *known = g_hash_table_lookup (rentals, ask);
  if (known) {
    http->status = 200;
    http->answer = json_incref (known);
    json_decref (body);
    return;
  }
  for (guint i = 0; i < workers->len; i++) {
    const Worker *worker = workers->pdata[i];
    there += !worker->is_gone && worker->zone == zone;
  }
  int most = zone_granted[zone] >= 0 ? zone_granted[zone] : world.capacity[zone];
  int n = spot ? 0 : MIN (count, most - there);
  if (n <= 0) {
    http->status = 503;
    http->answer = error_body ("no capacity");
  } else {
    json_t *list = json_array ();
    for (int i = 0; i < n; i++) {
      Worker *worker = g_new0 (Worker, 1);
      worker->name = g_strdup_printf ("m-%06u", workers->len + 1);
      worker->addr = g_strdup ("127.0.0.1:9");
      worker->zone = zone;
      worker->spot = spot;
      worker->rented_at = now_s ();
      double share = !world.quick_boots ? 1 : workers->len < world.quick_boots ? 0.7 : 1.4;
      worker->up_at = now_s () + world.boot_s * share;
      worker->tasks = g_ptr_array_new_with_free_func (task_free);
      worker->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      worker->node = (int)workers->len % world.controllers;
      g_ptr_array_add (workers, worker);
      json_array_append_new (list, json_string (worker->name));
    }
    http->status = 200;
    http->answer = json_pack ("{so}", "rockhands", list);
    g_hash_table_insert (rentals, g_strdup (ask), json_incref (http->answer));
  }
  json_decref (body);
}

/* Returning machines is the duty of the one controller that leads. A deletion by another one of a
 * machine on which the leader has since started work breaks that. No request is held up on its way
 * to this cloud, so it arrives when it is sent. */
static void
check_holder (int node, const Worker *worker)
{
  const Row *row = g_tree_lookup (rows, "h/map");
  int leader =
      row ? controller_by_label (json_string_value (json_object_get (row->value, "o"))) : -1;
  guint64 token = row ? json_integer_value (json_object_get (row->value, "b")) : 0;
  for (guint i = 0; i < worker->tasks->len && leader >= 0 && leader != node; i++) {
    const Task *task = worker->tasks->pdata[i];
    if (task->is_on && task->baton == token)
      rule_broken ("single_holder",
                   "c%d returns %s, on which %s runs; it was started by c%d, which has led with "
                   "token %d for %.1f s",
                   node, worker->name, task->piece, leader, (int)token, now_s () - leader_since);
  }
}

static void
cloud_delete (Http *http, int node)
{
  json_t *body = json_loads (http->body->str, 0, NULL), *entry;
  size_t i;
  json_array_foreach (json_object_get (body, "rockhands"), i, entry)
  {
    Worker *worker = worker_find (json_string_value (entry));
    if (!worker || worker->is_gone)
      continue;
    check_holder (node, worker);
    worker_forget_tasks (worker, "deleted");
    worker->is_gone = true;
    worker->gone_at = now_s ();
  }
  http->status = 200;
  json_decref (body);
}

static void
cloud_list (Http *http)
{
  const char *after = query (http, "after"), *limit_text = query (http, "limit");
  guint limit = limit_text ? MIN (500, atoi (limit_text)) : 500;
  double as_of = now_s () - world.list_lag_s;
  json_t *list = json_array ();
  bool more = false;
  for (guint i = 0; i < workers->len; i++) {
    const Worker *worker = workers->pdata[i];
    if ((after && strcmp (worker->name, after) <= 0) || worker->rented_at > as_of ||
        (worker->is_gone && worker->gone_at <= as_of))
      continue;
    if (json_array_size (list) == limit) {
      more = true;
      break;
    }
    json_array_append_new (
        list, json_pack ("{sssssssssbsssf}", "name_id", worker->name, "addr", worker->addr, "hull",
                         world.type, "quarry", world.zones[worker->zone], "loaners", worker->spot,
                         "stance", worker->up_at <= as_of ? "running" : "starting", "age_s",
                         as_of - worker->rented_at));
  }
  http->status = 200;
  http->answer = json_pack ("{sosb}", "rockhands", list, "more", more);
}

static void
cloud_types (Http *http)
{
  json_t *zones = json_array ();
  for (int i = 0; i < world.n_zones; i++)
    json_array_append_new (zones, json_string (world.zones[i]));
  http->status = 200;
  http->answer =
      json_pack ("{s[{sssfsfsfsfsfsfsfsfso}]}", "hulls", "sku", world.type, "vcpus",
                 world.type_cpus, "accelerators", world.type_gpus, "memory_gb", world.type_memory,
                 "cache_gb", 200.0, "fetch_gb_per_s", world.fetch_rate, "hourly", 5.0, "low_price",
                 2.0, "startup_s", world.boot_s, "quarries", zones);
}

static void
cloud_handler (Http *http, gpointer data)
{
  bool is_get = strcmp (http->method, "GET") == 0;
  g_usleep ((gulong)(world.cloud_latency_s * 1e6));
  pthread_mutex_lock (&lock);
  if (cloud_down) {
    http->status = 503;
    http->answer = error_body ("trouble");
    refused_deletions[GPOINTER_TO_INT (data)] += strcmp (http->path, "/rentals/delete") == 0;
  } else if (!take (&cloud_requests, 2 * world.cloud_rps, 1))
    http->status = 429;
  else if (strcmp (http->path, "/machine_types") == 0)
    cloud_types (http);
  else if (strcmp (http->path, "/rentals/delete") == 0)
    cloud_delete (http, GPOINTER_TO_INT (data));
  else if (strcmp (http->path, "/rentals") == 0 && is_get)
    cloud_list (http);
  else if (strcmp (http->path, "/rentals") == 0)
    cloud_rent (http);
  char *text = is_get ? NULL : json_dumps (http->answer, JSON_COMPACT);
  pthread_mutex_unlock (&lock);
  if (!is_get)
    record ("cloud: c%d %s %s -> %d %s", GPOINTER_TO_INT (data), http->path, http->body->str,
            http->status, text ? text : "");
  free (text);
}

/* ---- controllers ---- */

typedef struct {
  int front, back;
  Server *state, *cloud;
  pid_t pid; /* 0: none */
  double back_at;
  bool stays_down;
} Controller;

static Controller controllers[MAX_CONTROLLERS];

/* A relay between two controllers, so that the link can be cut. */
typedef struct {
  int from, to, port, listener;
} Relay;

typedef struct {
  Relay *relay;
  int in;
} Link;

static Relay relays[MAX_CONTROLLERS][MAX_CONTROLLERS];

static bool
link_is_cut (const Relay *relay)
{
  return peers_lost[relay->from] || peers_lost[relay->to];
}

static void *
link_thread (void *data)
{
  g_autofree Link *link = data;
  Relay *relay = link->relay;
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                .sin_port = htons (controllers[relay->to].back)};
  int out = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool open = connect (out, (struct sockaddr *)&address, sizeof address) == 0;
  while (open && !ending && !link_is_cut (relay)) {
    struct pollfd fds[2] = {{link->in, POLLIN, 0}, {out, POLLIN, 0}};
    char buffer[8192];
    if (poll (fds, 2, 100) <= 0)
      continue;
    for (int i = 0; i < 2 && open; i++) {
      if (!(fds[i].revents & (POLLIN | POLLHUP | POLLERR)))
        continue;
      ssize_t n = recv (fds[i].fd, buffer, sizeof buffer, 0);
      open = n > 0 && send (fds[1 - i].fd, buffer, n, MSG_NOSIGNAL) == n;
    }
  }
  close (out);
  close (link->in);
  return NULL;
}

static void *
relay_thread (void *data)
{
  Relay *relay = data;
  while (!ending) {
    int in = accept4 (relay->listener, NULL, NULL, SOCK_CLOEXEC);
    pthread_t thread;
    if (in < 0 || link_is_cut (relay)) {
      close (in);
      continue;
    }
    Link *link = g_new0 (Link, 1);
    *link = (Link){relay, in};
    pthread_create (&thread, NULL, link_thread, link);
    pthread_detach (thread);
  }
  return NULL;
}

static void
relay_begin (int from, int to)
{
  Relay *relay = &relays[from][to];
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t len = sizeof address;
  pthread_t thread;
  *relay = (Relay){from, to, 0, socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  if (bind (relay->listener, (struct sockaddr *)&address, sizeof address) != 0 ||
      listen (relay->listener, 16) != 0 ||
      getsockname (relay->listener, (struct sockaddr *)&address, &len) != 0) {
    record ("a relay cannot listen");
    exit (2);
  }
  relay->port = ntohs (address.sin_port);
  pthread_create (&thread, NULL, relay_thread, relay);
}

static int
controller_port (int node)
{
  return controllers[node].front;
}

static int
controller_by_label (const char *label)
{
  return label && g_str_has_prefix (label, "rockhand-") ? atoi (label + 9) : -1;
}

static json_t *
settings_of (int node)
{
  json_t *members = json_array (), *zones = json_array ();
  for (int i = 0; i < world.n_zones; i++)
    json_array_append_new (zones, json_string (world.zones[i]));
  for (int i = 0; i < world.controllers; i++) {
    g_autofree char *label = g_strdup_printf ("rockhand-%d", i);
    g_autofree char *endpoint = g_strdup_printf ("127.0.0.1:%d", relays[node][i].port);
    if (i != node)
      json_array_append_new (members, json_pack ("{ssssss}", "label", label, "area", world.areas[i],
                                                 "endpoint", endpoint));
  }
  g_autofree char *label = g_strdup_printf ("rockhand-%d", node);
  g_autofree char *front = g_strdup_printf ("127.0.0.1:%d", controllers[node].front);
  g_autofree char *back = g_strdup_printf ("127.0.0.1:%d", controllers[node].back);
  g_autofree char *cloud = g_strdup_printf ("127.0.0.1:%d", controllers[node].cloud->port);
  g_autofree char *state = g_strdup_printf ("127.0.0.1:%d", controllers[node].state->port);
  json_t *facts = json_pack (
      "{siso s[{sssfsfsfsf}] s[] s{sfsfsfsfsf} s{sfsfsfsi} s{sfsf} s{sfsfsi} sf}", "count",
      world.controllers, "zones", zones, "teams", "name", world.team, "cpus", world.team_cpus,
      "cpus_max", world.team_cpus_max, "gpus", world.team_gpus, "gpus_max", world.team_gpus_max,
      "objectives", "workers", "report_s", world.report_s, "lease_s", world.lease_s, "gang_wait_s",
      world.gang_wait_s, "gang_peer_s", world.gang_peer_s, "cancel_s", world.cancel_s, "state",
      "rps", world.state_rps, "write_rps", world.state_write_rps, "value_kb", world.value_kb,
      "txn_ops", world.txn_ops, "cloud", "rps", world.cloud_rps, "list_lag_s", world.list_lag_s,
      "machine_limits", "cpu", 0.12, "mem_mb", 104.0, "fd_limit", 1500, "clock_error_ms", 250.0);
  return json_pack ("{ssssssssso s{ssss} so}", "label", label, "area", world.areas[node], "front",
                    front, "back", back, "members", members, "outside", "cloud", cloud, "state",
                    state, "facts", facts);
}

void
world_write_settings (void)
{
  for (int i = 0; i < world.controllers; i++) {
    g_autofree char *file = g_strdup_printf ("%s/c%d.json", folder_path, i);
    json_t *settings = settings_of (i);
    if (!settings || json_dump_file (settings, file, JSON_INDENT (1)) != 0) {
      record ("cannot write %s", file);
      exit (2);
    }
    json_decref (settings);
  }
}

static void
controller_start (int node)
{
  g_autofree char *config = g_strdup_printf ("%s/c%d.json", folder_path, node);
  g_autofree char *log = g_strdup_printf ("%s/c%d.log", folder_path, node);
  pid_t parent = getpid (), pid = fork ();
  if (pid == 0) {
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    if (getppid () != parent)
      _exit (2);
    int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2 (fd, 2);
    dup2 (fd, 1);
    execl (hoprockd_path, hoprockd_path, "--policy", policy_path, "--config", config, NULL);
    _exit (127);
  }
  controllers[node].pid = pid;
  record ("controller c%d starts, process %d", node, (int)pid);
}

/* Starts controllers that have ended, as the platform does. Controllers are started by one thread
 * only, which lives as long as the process: they end with it. */
static void *
platform (void *data G_GNUC_UNUSED)
{
  while (!ending) {
    pthread_mutex_lock (&lock);
    for (int i = 0; i < world.controllers; i++) {
      Controller *controller = &controllers[i];
      int status;
      if (controller->pid && waitpid (controller->pid, &status, WNOHANG) == controller->pid) {
        record ("controller c%d has ended: %s %d", i, WIFSIGNALED (status) ? "signal" : "exit",
                WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
        controller->pid = 0;
        if (controller->back_at < now_s ())
          controller->back_at = now_s () + world.restart_s;
      }
      if (!controller->pid && !controller->stays_down && now_s () >= controller->back_at)
        controller_start (i);
    }
    pthread_mutex_unlock (&lock);
    g_usleep (20000);
  }
  return NULL;
}

void
controller_signal (int node, int signal)
{
  pthread_mutex_lock (&lock);
  record ("signal %d to controller c%d", signal, node);
  if (controllers[node].pid)
    kill (controllers[node].pid, signal);
  pthread_mutex_unlock (&lock);
}

void
controller_kill (int node, double back_s)
{
  pthread_mutex_lock (&lock);
  controllers[node].back_at = now_s () + MAX (0, back_s);
  controllers[node].stays_down = back_s < 0;
  if (controllers[node].pid)
    kill (controllers[node].pid, SIGKILL);
  record ("controller c%d is killed", node);
  pthread_mutex_unlock (&lock);
}

int
controller_leading (void)
{
  pthread_mutex_lock (&lock);
  const Row *row = g_tree_lookup (rows, "h/map");
  int node = row ? controller_by_label (json_string_value (json_object_get (row->value, "o"))) : -1;
  pthread_mutex_unlock (&lock);
  return node;
}

bool
controller_ready (int node)
{
  return http_call (controllers[node].front, "GET", "/ready", NULL, 1, NULL) == 200;
}

bool
wait_for_leader (double timeout_s)
{
  double until = now_s () + timeout_s;
  while (now_s () < until) {
    int node = controller_leading ();
    if (node >= 0 && controller_ready (node))
      return true;
    g_usleep (100000);
  }
  return false;
}

double
controller_cpu_s (int node)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", (int)controllers[node].pid);
  g_autofree char *text = NULL;
  unsigned long user = 0, system = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  const char *rest = strrchr (text, ')');
  if (!rest ||
      sscanf (rest + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system) != 2)
    return 0;
  return (double)(user + system) / sysconf (_SC_CLK_TCK);
}

/* ---- users ---- */

static int
user_call (int node, const char *method, const char *path, json_t *body, double timeout_s,
           char stance[16])
{
  json_t *answer = NULL;
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  double from = now_s ();
  int status = http_call (controllers[node].front, method, path, text, timeout_s, &answer);
  char *shown = answer ? json_dumps (answer, JSON_COMPACT) : NULL;
  const char *found = json_string_value (json_object_get (answer, "stance"));
  record ("user: c%d %s %s %s -> %d %s (%.2f s)", node, method, path, text ? text : "", status,
          shown ? shown : "", now_s () - from);
  if (stance)
    g_strlcpy (stance, found ? found : "", 16);
  free (shown);
  free (text);
  json_decref (answer);
  return status;
}

/* Notes what a user was told about a job, and checks it against what was told before. */
static void
told (const char *id, const char *stance)
{
  pthread_mutex_lock (&lock);
  Job *job = g_hash_table_lookup (jobs, id);
  if (!job || !job->is_submitted)
    rule_broken ("invented", "%s is called %s", id, stance);
  else {
    bool all_done = true;
    for (int i = 0; i < job->pieces; i++)
      all_done &= job->done[i];
    if (strcmp (stance, "done") == 0 && !all_done)
      rule_broken ("not_done", "%s is called done", id);
    if ((job->told_done && strcmp (stance, "done") != 0) ||
        (job->cancelled_at && strcmp (stance, "withdrawn") != 0))
      rule_broken ("went_back", "%s is called %s", id, stance);
    job->told_done |= strcmp (stance, "done") == 0;
    if (strcmp (stance, "withdrawn") == 0 && !job->cancelled_at)
      job->cancelled_at = now_s ();
  }
  pthread_mutex_unlock (&lock);
}

int
user_submit (int node, json_t *spec, double timeout_s, char stance[16])
{
  char own[16];
  char *state = stance ? stance : own;
  pthread_mutex_lock (&lock);
  Job *job = job_upload (spec);
  job->is_submitted = true;
  pthread_mutex_unlock (&lock);
  int status = user_call (node, "POST", "/v1/jobs", spec, timeout_s, state);
  if (status == 200 || status == 201)
    told (job->id, state);
  return status;
}

int
user_poll (int node, const char *id, char stance[16])
{
  char own[16];
  char *state = stance ? stance : own;
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s", id);
  int status = user_call (node, "GET", path, NULL, 2, state);
  if (status == 200)
    told (id, state);
  return status;
}

int
user_abort (int node, const char *id, char stance[16])
{
  char own[16];
  char *state = stance ? stance : own;
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s/abort", id);
  int status = user_call (node, "POST", path, NULL, 5, state);
  if (status == 200)
    told (id, state);
  return status;
}

bool
user_submit_until_accepted (json_t *job)
{
  double until = now_s () + 60;
  for (int node = 0; now_s () < until; node = (node + 1) % world.controllers) {
    int status = controller_ready (node) ? user_submit (node, job, 5, NULL) : 503;
    if (status == 200 || status == 201)
      return true;
    if (status == 400 || status == 422)
      return false;
    g_usleep (1000000);
  }
  return false;
}

json_t *
user_job (const char *id, const char *class_name, const char *shape, const char *rank, int pieces,
          double cpus, double gpus, double memory_gb, double guess_s)
{
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", id, "jobclass",
                    class_name, "crew", world.team, "shape", shape, "rank", rank, "pieces", pieces,
                    "vcpus", cpus, "accelerators", gpus, "memory_gb", memory_gb, "bundle", "img-1",
                    "size_gb", 1.0, "hulls", "quarry", "together", 0, "apart", 0, "loaners", 0,
                    "guess_s", guess_s, "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

int
workers_up (const char *zone)
{
  int n = 0;
  pthread_mutex_lock (&lock);
  for (guint i = 0; i < workers->len; i++) {
    const Worker *worker = workers->pdata[i];
    n += worker->is_up && !worker->is_gone &&
         (!zone || strcmp (world.zones[worker->zone], zone) == 0);
  }
  pthread_mutex_unlock (&lock);
  return n;
}

int
machines_rented (void)
{
  int n = 0;
  pthread_mutex_lock (&lock);
  for (guint i = 0; i < workers->len; i++)
    n += !((const Worker *)workers->pdata[i])->is_gone;
  pthread_mutex_unlock (&lock);
  return n;
}

double
state_read_at (int node)
{
  pthread_mutex_lock (&lock);
  double at = read_at[node];
  pthread_mutex_unlock (&lock);
  return at;
}

double
state_renewed_at (int node)
{
  pthread_mutex_lock (&lock);
  double at = renewed_at[node];
  pthread_mutex_unlock (&lock);
  return at;
}

int
deletions_refused (int node)
{
  pthread_mutex_lock (&lock);
  int n = refused_deletions[node];
  pthread_mutex_unlock (&lock);
  return n;
}

int
tasks_on (const char *id)
{
  int n = 0;
  pthread_mutex_lock (&lock);
  FOREACH_TASK (worker, task) n += worker && task->is_on && strcmp (task->job->id, id) == 0;
  pthread_mutex_unlock (&lock);
  return n;
}

int
tasks_started (const char *id)
{
  pthread_mutex_lock (&lock);
  const Job *job = g_hash_table_lookup (jobs, id);
  int n = job ? job->n_started : 0;
  pthread_mutex_unlock (&lock);
  return n;
}

/* ---- begin and end ---- */

void
world_begin (const char *hoprockd, const char *policy, const char *folder)
{
  pthread_t thread;
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &attributes);
  signal (SIGPIPE, SIG_IGN);
  const char *file = g_getenv ("RECORD");
  record_file = file ? fopen (file, "w") : NULL;
  started_at = monotonic ();
  hoprockd_path = hoprockd;
  policy_path = policy;
  folder_path = folder;
  rows = g_tree_new_full (compare_keys, NULL, g_free, row_free);
  changes = g_array_new (FALSE, FALSE, sizeof (Change));
  leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  jobs = g_hash_table_new (g_str_hash, g_str_equal);
  rentals = g_hash_table_new (g_str_hash, g_str_equal);
  broken = g_hash_table_new (g_str_hash, g_str_equal);
  workers = g_ptr_array_new ();
  state_requests.tokens = world.state_rps;
  state_writes.tokens = world.state_write_rps;
  cloud_requests.tokens = 2 * world.cloud_rps;
  for (int i = 0; i < world.controllers; i++) {
    controllers[i].front = free_port ();
    controllers[i].back = free_port ();
    controllers[i].state = serve (state_handler, GINT_TO_POINTER (i));
    controllers[i].cloud = serve (cloud_handler, GINT_TO_POINTER (i));
  }
  for (int i = 0; i < world.controllers * world.controllers; i++)
    if (i / world.controllers != i % world.controllers)
      relay_begin (i / world.controllers, i % world.controllers);
  world_write_settings ();
  pthread_create (&thread, NULL, ticker, NULL);
  pthread_create (&thread, NULL, platform, NULL);
}

void
world_end (void)
{
  pthread_mutex_lock (&lock);
  ending = true;
  for (int i = 0; i < world.controllers; i++)
    if (controllers[i].pid) {
      kill (controllers[i].pid, SIGKILL);
      waitpid (controllers[i].pid, NULL, 0);
      controllers[i].pid = 0;
    }
  pthread_mutex_unlock (&lock);
}
