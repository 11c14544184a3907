#include "world.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

Site site;
Node nodes[MAX_NODES];
Machine *machines[512];
int n_machines;
Job *jobs[4096];
int n_jobs;
void (*on_task_start) (Machine *machine, Task *task);
void (*world_on_step) (void);

static FILE *record_file;
static struct timespec started;
static char **command;
static int command_argc;
static char folder[64];
static int cloud_port;

/* ---- clock and record ---- */

double
world_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - started.tv_sec) + (now.tv_nsec - started.tv_nsec) / 1e9;
}

void
record (const char *format, ...)
{
  va_list args;
  if (!record_file)
    return;
  fprintf (record_file, "%8.3f ", world_now ());
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
}

/* ---- connections ---- */

typedef struct {
  char *data;
  size_t len, size;
} Buffer;

static void
buffer_add (Buffer *buffer, const char *data, size_t len)
{
  if (buffer->len + len + 1 > buffer->size) {
    buffer->size = (buffer->len + len + 1) * 2;
    buffer->data = realloc (buffer->data, buffer->size);
  }
  memcpy (buffer->data + buffer->len, data, len);
  buffer->len += len;
  buffer->data[buffer->len] = 0;
}

static void
buffer_drop (Buffer *buffer, size_t len)
{
  memmove (buffer->data, buffer->data + len, buffer->len - len + 1);
  buffer->len -= len;
}

typedef enum { AT_STATE, AT_CLOUD, AT_WORKER } Service;

typedef struct Conn Conn;
typedef void (*OnAnswer) (Conn *conn, int status, json_t *body);

struct Conn {
  int fd;
  bool is_client, connecting, closing, dead;
  Buffer in, out;
  /* Server side. */
  Service service;
  int node;         /* of the state service: the controller that uses the port */
  Machine *machine; /* of a worker */
  bool busy;        /* a request waits for its answer (a watch) */
  uint64_t watch_after;
  char watch_prefix[64];
  double watch_until;
  double answer_at; /* an answer is sent then */
  /* Client side. */
  OnAnswer on_answer;
  void *data;
  int to_node;
  double deadline;
};

typedef struct {
  int fd;
  Service service;
  int node;
  Machine *machine;
} Listener;

static Conn *conns[4096];
static int n_conns;
static Listener listeners[1024];
static int n_listeners;

static Conn *
conn_new (int fd)
{
  if (n_conns == 4096)
    cannot_run ("too many connections");
  Conn *conn = calloc (1, sizeof *conn);
  conn->fd = fd;
  conn->node = conn->to_node = -1;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  fcntl (fd, F_SETFD, FD_CLOEXEC);
  conns[n_conns++] = conn;
  return conn;
}

static int
listen_on_free_port (Service service, int node, Machine *machine)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) || listen (fd, 256) ||
      getsockname (fd, (struct sockaddr *)&address, &len) || n_listeners == 1024)
    cannot_run ("cannot listen: %s", strerror (errno));
  fcntl (fd, F_SETFL, O_NONBLOCK);
  listeners[n_listeners++] = (Listener){fd, service, node, machine};
  return ntohs (address.sin_port);
}

/* The socket stays bound, without listening, so that no other program gets the port. */
static int
free_port (void)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) ||
      setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) ||
      bind (fd, (struct sockaddr *)&address, sizeof address) ||
      getsockname (fd, (struct sockaddr *)&address, &len))
    cannot_run ("no free port: %s", strerror (errno));
  return ntohs (address.sin_port);
}

static void
respond_text (Conn *conn, int status, const char *text)
{
  char head[256];
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                      status, strlen (text));
  buffer_add (&conn->out, head, len);
  buffer_add (&conn->out, text, strlen (text));
  conn->busy = false;
}

static void
respond (Conn *conn, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  respond_text (conn, status, text);
  free (text);
  json_decref (body);
}

/* ---- state service ---- */

typedef struct {
  char *path;
  json_t *value; /* NULL: deleted */
  uint64_t stamp, claim;
} Entry;

typedef struct {
  uint64_t id;
  double life_s, expires_at;
  bool gone;
} Lease;

static Entry *rows; /* ordered by path; deleted ones are removed */
static int n_rows, rows_size;
static Entry *changes;
static int n_changes, changes_size;
static Lease leases[4096];
static int n_leases;
static uint64_t epoch = 1;
static double request_tokens, write_tokens, tokens_at;

static int
row_position (const char *path, bool *found)
{
  int low = 0, high = n_rows;
  while (low < high) {
    int middle = (low + high) / 2;
    if (strcmp (rows[middle].path, path) < 0)
      low = middle + 1;
    else
      high = middle;
  }
  *found = low < n_rows && strcmp (rows[low].path, path) == 0;
  return low;
}

static Entry *
row_find (const char *path)
{
  bool found;
  int at = row_position (path, &found);
  return found ? &rows[at] : NULL;
}

json_t *
state_value (const char *path)
{
  Entry *row = row_find (path);
  return row ? row->value : NULL;
}

int
state_count (const char *prefix)
{
  int n = 0;
  for (int i = 0; i < n_rows; i++)
    n += strncmp (rows[i].path, prefix, strlen (prefix)) == 0;
  return n;
}

static void
row_set (const char *path, json_t *value, uint64_t claim)
{
  bool found;
  int at = row_position (path, &found);
  if (n_changes == changes_size)
    changes = realloc (changes, (changes_size = changes_size * 2 + 64) * sizeof *changes);
  changes[n_changes++] =
      (Entry){strdup (path), value ? json_incref (value) : NULL, epoch, claim};
  if (!value) {
    if (found) {
      free (rows[at].path);
      json_decref (rows[at].value);
      memmove (&rows[at], &rows[at + 1], (n_rows - at - 1) * sizeof *rows);
      n_rows--;
    }
    return;
  }
  if (!found) {
    if (n_rows == rows_size)
      rows = realloc (rows, (rows_size = rows_size * 2 + 64) * sizeof *rows);
    memmove (&rows[at + 1], &rows[at], (n_rows - at) * sizeof *rows);
    n_rows++;
    rows[at].path = strdup (path);
  } else
    json_decref (rows[at].value);
  rows[at].value = json_incref (value);
  rows[at].stamp = epoch;
  rows[at].claim = claim;
}

static Lease *
lease_find (uint64_t id)
{
  for (int i = 0; i < n_leases; i++)
    if (leases[i].id == id && !leases[i].gone)
      return &leases[i];
  return NULL;
}

static void
lease_end (Lease *lease)
{
  bool any = false;
  lease->gone = true;
  for (int i = 0; i < n_rows; i++)
    if (rows[i].claim == lease->id) {
      if (!any)
        epoch++;
      any = true;
      char *path = strdup (rows[i].path);
      row_set (path, NULL, 0);
      free (path);
      i--;
    }
}

static const char *
query_value (const char *path, const char *name, char *out, size_t size)
{
  const char *at = strchr (path, '?');
  size_t len = strlen (name);
  while (at) {
    at++;
    if (strncmp (at, name, len) == 0 && at[len] == '=') {
      const char *value = at + len + 1;
      size_t n = strcspn (value, "&");
      n = n < size - 1 ? n : size - 1;
      memcpy (out, value, n);
      out[n] = 0;
      return out;
    }
    at = strchr (at, '&');
  }
  return NULL;
}

static json_t *
changes_after (const char *prefix, uint64_t after, int *n)
{
  json_t *log = json_array ();
  *n = 0;
  for (int i = 0; i < n_changes; i++) {
    if (changes[i].stamp <= after || strncmp (changes[i].path, prefix, strlen (prefix)) != 0)
      continue;
    json_t *entry =
        changes[i].value
            ? json_pack ("{sssOsI}", "set", changes[i].path, "value", changes[i].value, "stamp",
                         (json_int_t)changes[i].stamp)
            : json_pack ("{sssI}", "delete", changes[i].path, "stamp", (json_int_t)changes[i].stamp);
    json_array_append_new (log, entry);
    ++*n;
  }
  return json_pack ("{sIso}", "epoch", (json_int_t)epoch, "log", log);
}

static void
state_list (Conn *conn, const char *path)
{
  char prefix[256] = "", after[256] = "", text[32] = "1000";
  query_value (path, "starts", prefix, sizeof prefix);
  query_value (path, "after", after, sizeof after);
  query_value (path, "limit", text, sizeof text);
  int limit = atoi (text);
  size_t bytes = 0;
  bool more = false;
  json_t *out = json_array ();
  for (int i = 0; i < n_rows; i++) {
    if (strncmp (rows[i].path, prefix, strlen (prefix)) != 0 ||
        (*after && strcmp (rows[i].path, after) <= 0))
      continue;
    char *value = json_dumps (rows[i].value, JSON_COMPACT | JSON_ENCODE_ANY);
    bytes += strlen (value) + strlen (rows[i].path) + 64;
    free (value);
    if ((int)json_array_size (out) >= limit || bytes > 500 * 1024) {
      more = true;
      break;
    }
    json_array_append_new (out, json_pack ("{sssOsI}", "path", rows[i].path, "value",
                                           rows[i].value, "stamp", (json_int_t)rows[i].stamp));
  }
  respond (conn, 200,
           json_pack ("{sosbsI}", "rows", out, "more", more, "epoch", (json_int_t)epoch));
}

static void
state_commit (Conn *conn, json_t *body)
{
  json_t *when = json_object_get (body, "when"), *writes = json_object_get (body, "writes"), *entry;
  json_t *failed = json_array ();
  size_t i;
  int n = json_array_size (writes);
  if (write_tokens < n) {
    record ("state: node %d: 429", conn->node);
    json_decref (failed);
    respond_text (conn, 429, "{\"error\":\"too many changes\"}");
    return;
  }
  write_tokens -= n;
  json_array_foreach (writes, i, entry)
  {
    uint64_t claim = json_integer_value (json_object_get (entry, "claim"));
    json_t *value = json_object_get (entry, "value");
    char *text = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
    bool too_large = text && strlen (text) > site.value_kb * 1024;
    free (text);
    if ((claim && !lease_find (claim)) || too_large || n > site.txn_ops) {
      json_decref (failed);
      respond_text (conn, 400, too_large ? "{\"error\":\"the value is too large\"}"
                                         : "{\"error\":\"no such lease\"}");
      return;
    }
  }
  json_array_foreach (when, i, entry)
  {
    const char *path = json_string_value (json_object_get (entry, "path"));
    Entry *row = row_find (path);
    if ((uint64_t)json_integer_value (json_object_get (entry, "stamp")) != (row ? row->stamp : 0))
      json_array_append_new (failed, json_string (path));
  }
  if (json_array_size (failed)) {
    respond (conn, 409, json_pack ("{sosI}", "failed", failed, "epoch", (json_int_t)epoch));
    return;
  }
  json_decref (failed);
  if (n)
    epoch++;
  json_array_foreach (writes, i, entry)
  {
    const char *set = json_string_value (json_object_get (entry, "set"));
    char *text = json_dumps (entry, JSON_COMPACT);
    record ("state: epoch %llu, node %d: %s", (unsigned long long)epoch, conn->node, text);
    free (text);
    if (set)
      row_set (set, json_object_get (entry, "value"),
               json_integer_value (json_object_get (entry, "claim")));
    else
      row_set (json_string_value (json_object_get (entry, "delete")), NULL, 0);
  }
  respond (conn, 200, json_pack ("{sI}", "epoch", (json_int_t)epoch));
}

static void
refill (void)
{
  double now = world_now ();
  request_tokens = fmin (site.rps, request_tokens + (now - tokens_at) * site.rps);
  write_tokens = fmin (site.write_rps, write_tokens + (now - tokens_at) * site.write_rps);
  tokens_at = now;
}

static void
state_request (Conn *conn, const char *method, const char *path, json_t *body)
{
  unsigned long long id;
  char text[64];
  refill ();
  if (nodes[conn->node].state_refuses) {
    respond_text (conn, 503, "{\"error\":\"trouble\"}");
    return;
  }
  if (request_tokens < 1) {
    record ("state: node %d: 429", conn->node);
    respond_text (conn, 429, "{\"error\":\"too many requests\"}");
    return;
  }
  request_tokens -= 1;
  if (strcmp (path, "/commit") == 0)
    state_commit (conn, body);
  else if (strcmp (path, "/leases") == 0) {
    if (n_leases == 4096)
      cannot_run ("too many leases");
    double life_s = json_integer_value (json_object_get (body, "life_ms")) / 1000.0;
    leases[n_leases++] = (Lease){1000 + n_leases, life_s, world_now () + life_s, false};
    respond (conn, 200, json_pack ("{sI}", "claim", (json_int_t)leases[n_leases - 1].id));
  } else if (sscanf (path, "/leases/%llu", &id) == 1) {
    Lease *lease = lease_find (id);
    if (!lease)
      respond_text (conn, 404, "{\"error\":\"no such lease\"}");
    else {
      if (strcmp (method, "DELETE") == 0)
        lease_end (lease);
      else
        lease->expires_at = world_now () + lease->life_s;
      respond_text (conn, 200, "{}");
    }
  } else if (strncmp (path, "/changes", 8) == 0) {
    uint64_t after = strtoull (query_value (path, "after", text, sizeof text) ? text : "0", NULL, 10);
    double hold = atof (query_value (path, "hold_ms", text, sizeof text) ? text : "0") / 1000;
    char prefix[64] = "";
    int n;
    query_value (path, "starts", prefix, sizeof prefix);
    json_t *answer = changes_after (prefix, after, &n);
    if (n || hold <= 0)
      respond (conn, 200, answer);
    else {
      json_decref (answer);
      conn->watch_after = after;
      conn->watch_until = world_now () + hold;
      snprintf (conn->watch_prefix, sizeof conn->watch_prefix, "%s", prefix);
      conn->busy = true;
    }
  } else if (strncmp (path, "/kv/", 4) == 0) {
    Entry *row = row_find (path + 4);
    if (row)
      respond (conn, 200, json_pack ("{sssOsI}", "path", row->path, "value", row->value, "stamp",
                                     (json_int_t)row->stamp));
    else
      respond (conn, 404, json_pack ("{sI}", "epoch", (json_int_t)epoch));
  } else if (strncmp (path, "/kv?", 4) == 0)
    state_list (conn, path);
  else
    respond_text (conn, 400, "{\"error\":\"malformed\"}");
}

static void
state_tick (void)
{
  double now = world_now ();
  for (int i = 0; i < n_leases; i++)
    if (!leases[i].gone && leases[i].expires_at < now)
      lease_end (&leases[i]);
  for (int i = 0; i < n_conns; i++) {
    Conn *conn = conns[i];
    if (conn->dead || conn->is_client || !conn->busy || conn->service != AT_STATE ||
        nodes[conn->node].state_refuses || nodes[conn->node].state_cut)
      continue;
    int n;
    json_t *answer = changes_after (conn->watch_prefix, conn->watch_after, &n);
    if (n || now >= conn->watch_until)
      respond (conn, 200, answer);
    else
      json_decref (answer);
  }
}

int
world_leader (void)
{
  const char *label = json_string_value (json_object_get (state_value ("h/map"), "o"));
  return label ? atoi (label + strlen ("rockhand-")) : -1;
}

/* ---- jobs ---- */

Job *
job_find (const char *id)
{
  for (int i = 0; i < n_jobs; i++)
    if (strcmp (jobs[i]->id, id) == 0)
      return jobs[i];
  return NULL;
}

Job *
job_add (json_t *spec)
{
  Job *job = calloc (1, sizeof *job);
  snprintf (job->id, sizeof job->id, "%s", json_string_value (json_object_get (spec, "name_id")));
  job->spec = json_incref (spec);
  jobs[n_jobs++] = job;
  return job;
}

json_t *
job_spec (const char *id, const char *shape, const char *rank, int pieces)
{
  return json_pack ("{ssssssssss si sf sf sf ss sf sn sn sb sb sb sf sf sf sn}", "name_id", id,
                    "jobclass", "pages", "crew", site.team, "shape", shape, "rank", rank, "pieces",
                    pieces, "vcpus", 6.0, "accelerators", 1.0, "memory_gb", 36.0, "bundle",
                    "img-07", "size_gb", 1.0, "hulls", "quarry", "together", 0, "apart", 0,
                    "loaners", 0, "guess_s", 30.0, "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

/* ---- workers ---- */

static double
spec_num (const char *job, const char *key)
{
  Job *found = job_find (job);
  return found ? json_number_value (json_object_get (found->spec, key)) : 0;
}

static Task *
worker_task (Machine *machine, const char *job, int index, uint64_t attempt)
{
  for (int i = 0; i < machine->n_tasks; i++)
    if (machine->tasks[i].index == index && machine->tasks[i].attempt == attempt &&
        strcmp (machine->tasks[i].job, job) == 0)
      return &machine->tasks[i];
  return NULL;
}

Task *
task_on (const char *job, int index, Machine **machine)
{
  for (int m = 0; m < n_machines; m++)
    for (int i = 0; machines[m]->up && i < machines[m]->n_tasks; i++) {
      Task *task = &machines[m]->tasks[i];
      if (task->state != EXITED && task->index == index && strcmp (task->job, job) == 0) {
        if (machine)
          *machine = machines[m];
        return task;
      }
    }
  return NULL;
}

static void
task_exit (Machine *machine, Task *task, const char *cause)
{
  if (task->state == EXITED)
    return;
  task->state = EXITED;
  task->cause = cause;
  machine->changed = true;
  record ("%s (%s): %s/%d try %llu exited: %s", machine->name, site.zones[machine->zone],
          task->job, task->index, (unsigned long long)task->attempt, cause);
}

static void
worker_launch (Machine *machine, const char *job, int index, uint64_t attempt)
{
  if (worker_task (machine, job, index, attempt))
    return;
  machine->tasks = realloc (machine->tasks, (machine->n_tasks + 1) * sizeof *machine->tasks);
  Task *task = &machine->tasks[machine->n_tasks++];
  *task = (Task){.index = index, .attempt = attempt, .state = FETCHING, .cause = ""};
  snprintf (task->job, sizeof task->job, "%s", job);
  machine->changed = true;
  record ("%s (%s): launch %s/%d try %llu", machine->name, site.zones[machine->zone], job, index,
          (unsigned long long)attempt);
  double cpus = 0, gpus = 0, memory = 0;
  for (int i = 0; i < machine->n_tasks; i++) {
    const Task *other = &machine->tasks[i];
    if (other->state == EXITED)
      continue;
    if (other != task && other->index == index && strcmp (other->job, job) == 0) {
      task_exit (machine, task, "in_use");
      return;
    }
    cpus += spec_num (other->job, "vcpus");
    gpus += spec_num (other->job, "accelerators");
    memory += spec_num (other->job, "memory_gb");
  }
  Job *known = job_find (job);
  if (!known) {
    task_exit (machine, task, "unknown");
    return;
  }
  if (cpus > site.cpus + 1e-6 || gpus > site.gpus + 1e-6 || memory > site.memory_gb + 1e-6) {
    task_exit (machine, task, "full");
    return;
  }
  const char *image = json_string_value (json_object_get (known->spec, "bundle"));
  task->image_at = world_now () + spec_num (job, "size_gb") / site.fetch_gb_per_s;
  for (int i = 0; i < machine->n_images; i++)
    if (strcmp (machine->images[i], image) == 0)
      task->image_at = world_now ();
}

static void
worker_kill (Machine *machine, const char *job, int index, uint64_t attempt)
{
  Task *task = worker_task (machine, job, index, attempt);
  if (task)
    task_exit (machine, task, "halted");
}

static void
worker_orders (Machine *machine, json_t *orders)
{
  json_t *order;
  size_t i;
  json_array_foreach (orders, i, order)
  {
    const char *verb = json_string_value (json_object_get (order, "verb"));
    const char *piece = json_string_value (json_object_get (order, "piece"));
    uint64_t attempt = json_integer_value (json_object_get (order, "try"));
    char job[128];
    snprintf (job, sizeof job, "%s", piece ? piece : "");
    char *slash = strrchr (job, '/');
    if (!verb || !slash)
      continue;
    *slash = 0;
    int index = atoi (slash + 1);
    if (strcmp (verb, "launch") == 0)
      worker_launch (machine, job, index, attempt);
    else if (strcmp (verb, "kill") == 0)
      worker_kill (machine, job, index, attempt);
    else if (strcmp (verb, "clear") == 0) {
      Task *task = worker_task (machine, job, index, attempt);
      if (task && task->state == EXITED) {
        *task = machine->tasks[--machine->n_tasks];
        machine->changed = true;
      }
    }
  }
}

static json_t *
worker_report (Machine *machine)
{
  static const char *const states[] = {"fetching", "gathering", "running", "exited"};
  char address[32];
  json_t *pieces = json_array ();
  for (int i = 0; i < machine->n_tasks; i++) {
    const Task *task = &machine->tasks[i];
    char piece[160];
    snprintf (piece, sizeof piece, "%s/%d", task->job, task->index);
    json_t *object = json_pack ("{sssIss}", "piece", piece, "try", (json_int_t)task->attempt,
                                "stance", states[task->state]);
    if (task->state == EXITED)
      json_object_set_new (object, "cause", json_string (task->cause));
    json_array_append_new (pieces, object);
  }
  snprintf (address, sizeof address, "127.0.0.1:%d", machine->port);
  return json_pack ("{sssssssssbsIsIsIsnso}", "rockhand", machine->name, "addr", address, "hull",
                    site.machine_type, "quarry", site.zones[machine->zone], "loaners",
                    machine->spot, "tenure", (json_int_t)machine->tenure, "tally",
                    (json_int_t)++machine->tally, "baton", (json_int_t)machine->baton, "warning_s",
                    "pieces", pieces);
}

static void
worker_see_baton (Machine *machine, uint64_t baton)
{
  if (baton > machine->baton) {
    machine->baton = baton;
    if (world_now () - machine->last_report_sent >= 0)
      machine->changed = true;
  }
}

static void
worker_request (Conn *conn, const char *method, const char *path, json_t *body)
{
  Machine *machine = conn->machine;
  (void)method;
  if (strcmp (path, "/show") == 0) {
    respond (conn, 200, worker_report (machine));
    return;
  }
  if (!json_is_integer (json_object_get (body, "baton")) ||
      !json_is_integer (json_object_get (body, "tenure"))) {
    respond_text (conn, 400, "{\"error\":\"baton or tenure is missing\"}");
    return;
  }
  uint64_t baton = json_integer_value (json_object_get (body, "baton"));
  uint64_t tenure = json_integer_value (json_object_get (body, "tenure"));
  if (baton < machine->baton || tenure != machine->tenure) {
    respond (conn, 409, worker_report (machine));
    return;
  }
  worker_see_baton (machine, baton);
  worker_orders (machine, json_object_get (body, "orders"));
  respond (conn, 200, worker_report (machine));
}

static Conn *client_send (int port, const char *method, const char *path, json_t *body,
                          double timeout_s, OnAnswer on_answer, void *data);

typedef struct {
  Machine *machine;
  double sent_at;
  uint64_t tenure;
} Report;

static void
on_report_answered (Conn *conn, int status, json_t *body)
{
  Report *report = conn->data;
  Machine *machine = report->machine;
  double now = world_now ();
  machine->in_flight = false;
  if (status == 200 && report->tenure == machine->tenure) {
    json_t *baton = json_object_get (body, "baton");
    if (json_is_integer (baton) && (uint64_t)json_integer_value (baton) >= machine->baton) {
      machine->lease_base = report->sent_at;
      worker_see_baton (machine, json_integer_value (baton));
      worker_orders (machine, json_object_get (body, "orders"));
    }
  } else if (status == 421) {
    const char *label = json_string_value (json_object_get (body, "foreman"));
    int to = label ? atoi (label + strlen ("rockhand-")) : -1;
    if (to >= 0 && to < site.nodes && to != machine->node) {
      machine->node = to;
      machine->next_report = now + 0.2;
    } else {
      machine->node = (machine->node + 1) % site.nodes;
      machine->next_report = now + 1;
    }
  } else if (status != 200) {
    machine->node = (machine->node + 1) % site.nodes;
    machine->next_report = now + 1;
  }
  free (report);
}

static void
worker_send_report (Machine *machine)
{
  Report *report = malloc (sizeof *report);
  *report = (Report){machine, world_now (), machine->tenure};
  machine->in_flight = true;
  machine->changed = false;
  machine->last_report_sent = report->sent_at;
  machine->next_report = report->sent_at + site.report_s * (0.75 + 0.5 * drand48 ());
  json_t *body = worker_report (machine);
  client_send (nodes[machine->node].front_port, "POST", "/hello", body, 4, on_report_answered,
               report);
  json_decref (body);
}

/* A gang starts once all tasks of the attempt have their image. */
static void
gang_tick (Task *first)
{
  int pieces = (int)spec_num (first->job, "pieces"), waiting = 0;
  for (int m = 0; m < n_machines; m++)
    for (int i = 0; machines[m]->up && i < machines[m]->n_tasks; i++) {
      Task *task = &machines[m]->tasks[i];
      waiting += task->state == GATHERING && task->attempt == first->attempt &&
                 strcmp (task->job, first->job) == 0;
    }
  if (waiting < pieces)
    return;
  for (int m = 0; m < n_machines; m++)
    for (int i = 0; machines[m]->up && i < machines[m]->n_tasks; i++) {
      Task *task = &machines[m]->tasks[i];
      if (task->state != GATHERING || task->attempt != first->attempt ||
          strcmp (task->job, first->job) != 0)
        continue;
      task->state = RUNNING;
      task->done_at = world_now () + spec_num (task->job, "guess_s");
      machines[m]->changed = true;
    }
}

static void
task_tick (Machine *machine, Task *task)
{
  double now = world_now ();
  Job *job = job_find (task->job);
  const char *shape = job ? json_string_value (json_object_get (job->spec, "shape")) : "";
  if (task->state == FETCHING && now >= task->image_at) {
    const char *image = json_string_value (json_object_get (job->spec, "bundle"));
    snprintf (machine->images[machine->n_images % 8], sizeof machine->images[0], "%s", image);
    machine->n_images = machine->n_images < 8 ? machine->n_images + 1 : 8;
    task->started = true;
    job->starts++;
    machine->changed = true;
    record ("%s (%s): %s/%d try %llu has its image and is on its machine", machine->name,
            site.zones[machine->zone], task->job, task->index, (unsigned long long)task->attempt);
    if (on_task_start)
      on_task_start (machine, task);
    task->state = strcmp (shape, "ensemble") == 0 ? GATHERING : RUNNING;
    task->done_at = now + spec_num (task->job, "guess_s");
  }
  if (task->state == GATHERING) {
    gang_tick (task);
    if (task->state == GATHERING && now > task->image_at + site.gang_wait_s)
      task_exit (machine, task, "incomplete");
  }
  if (task->state == RUNNING && strcmp (shape, "daemon") != 0 && now >= task->done_at)
    task_exit (machine, task, "done");
}

static void
worker_tick (Machine *machine)
{
  double now = world_now ();
  if (machine->gone)
    return;
  if (!machine->up) {
    if (now < machine->up_at)
      return;
    machine->up = true;
    machine->port = listen_on_free_port (AT_WORKER, -1, machine);
    machine->tenure = 1;
    machine->lease_base = now;
    machine->next_report = now;
    machine->node = site.first_node >= 0 ? site.first_node : (int)(drand48 () * site.nodes);
    record ("%s (%s) is up", machine->name, site.zones[machine->zone]);
  }
  for (int i = 0; i < machine->n_tasks; i++)
    task_tick (machine, &machine->tasks[i]);
  if (now - machine->lease_base > site.lease_s) {
    record ("%s: its lease has ended", machine->name);
    machine->tenure++;
    machine->lease_base = now;
    machine->n_tasks = 0;
    machine->changed = true;
  }
  if (!machine->in_flight &&
      (now >= machine->next_report || (machine->changed && now - machine->last_report_sent >= 0.5)))
    worker_send_report (machine);
}

/* ---- cloud ---- */

static char request_names[1024][96];
static json_t *request_answers[1024];
static int n_requests;

static int
zone_of (const char *name)
{
  for (int i = 0; i < site.n_zones; i++)
    if (name && strcmp (site.zones[i], name) == 0)
      return i;
  return -1;
}

static void
cloud_rent (Conn *conn, json_t *body)
{
  const char *ask = json_string_value (json_object_get (body, "ask"));
  int zone = zone_of (json_string_value (json_object_get (body, "quarry")));
  bool spot = json_is_true (json_object_get (body, "loaners"));
  int count = json_integer_value (json_object_get (body, "count")), used = 0;
  for (int i = 0; i < n_requests; i++)
    if (strcmp (request_names[i], ask) == 0) {
      respond (conn, 200, json_incref (request_answers[i]));
      return;
    }
  if (zone < 0 || count < 1 || count > 50) {
    respond_text (conn, 400, "{\"error\":\"malformed\"}");
    return;
  }
  for (int i = 0; i < n_machines; i++)
    used += !machines[i]->gone && machines[i]->zone == zone && machines[i]->spot == spot;
  int room = (spot ? site.spot_capacity : site.capacity)[zone] - used;
  record ("cloud: %d %s machines asked for in %s, %d left", count, spot ? "spot" : "ordinary",
          site.zones[zone], room);
  if (room <= 0) {
    respond_text (conn, 503, "{\"error\":\"no capacity\"}");
    return;
  }
  json_t *names = json_array ();
  for (int i = 0; i < count && i < room; i++) {
    Machine *machine = calloc (1, sizeof *machine);
    snprintf (machine->name, sizeof machine->name, "m-%06d", n_machines + 1);
    machine->zone = zone;
    machine->spot = spot;
    machine->rented_at = world_now ();
    machine->up_at = machine->rented_at + 
        site.boot_s * (site.boot_least + (site.boot_most - site.boot_least) * drand48 ());
    machines[n_machines++] = machine;
    json_array_append_new (names, json_string (machine->name));
  }
  json_t *answer = json_pack ("{so}", "rockhands", names);
  snprintf (request_names[n_requests], sizeof request_names[0], "%s", ask);
  request_answers[n_requests++] = json_incref (answer);
  respond (conn, 200, answer);
}

static void
machine_end (Machine *machine)
{
  machine->gone = true;
  machine->up = false;
  machine->n_tasks = 0;
  for (int i = 0; i < n_listeners; i++)
    if (listeners[i].machine == machine) {
      close (listeners[i].fd);
      listeners[i] = listeners[--n_listeners];
      i--;
    }
  for (int i = 0; i < n_conns; i++)
    if (conns[i]->machine == machine)
      conns[i]->closing = true;
}

static void
cloud_request (Conn *conn, const char *method, const char *path, json_t *body)
{
  if (strcmp (path, "/machine_types") == 0) {
    json_t *zones = json_array ();
    for (int i = 0; i < site.n_zones; i++)
      json_array_append_new (zones, json_string (site.zones[i]));
    respond (conn, 200,
             json_pack ("{s[{sssfsfsfsfsfsfsfsfso}]}", "hulls", "sku", site.machine_type, "vcpus",
                        site.cpus, "accelerators", site.gpus, "memory_gb", site.memory_gb,
                        "cache_gb", site.cache_gb, "fetch_gb_per_s", site.fetch_gb_per_s, "hourly",
                        site.price, "low_price", site.spot_price, "startup_s", site.boot_s,
                        "quarries", zones));
  } else if (strcmp (path, "/rentals") == 0 && strcmp (method, "POST") == 0)
    cloud_rent (conn, body);
  else if (strcmp (path, "/rentals/delete") == 0) {
    json_t *name;
    size_t i;
    json_array_foreach (json_object_get (body, "rockhands"), i, name)
    {
      for (int m = 0; m < n_machines; m++)
        if (!machines[m]->gone && strcmp (machines[m]->name, json_string_value (name)) == 0) {
          record ("cloud: %s is deleted", machines[m]->name);
          machine_end (machines[m]);
        }
    }
    respond_text (conn, 200, "{}");
  } else if (strncmp (path, "/rentals", 8) == 0) {
    char after[64] = "";
    query_value (path, "after", after, sizeof after);
    json_t *list = json_array ();
    double now = world_now ();
    for (int m = 0; m < n_machines; m++) {
      Machine *machine = machines[m];
      char address[32];
      if (machine->gone || strcmp (machine->name, after) <= 0 ||
          now - machine->rented_at < site.list_lag_s)
        continue;
      snprintf (address, sizeof address, "127.0.0.1:%d", machine->port ? machine->port : 1);
      json_array_append_new (
          list, json_pack ("{sssssssssbsssf}", "name_id", machine->name, "addr", address, "hull",
                           site.machine_type, "quarry", site.zones[machine->zone], "loaners",
                           machine->spot, "stance", machine->up ? "running" : "starting", "age_s",
                           now - machine->rented_at));
    }
    respond (conn, 200, json_pack ("{sosb}", "rockhands", list, "more", 0));
  } else
    respond_text (conn, 400, "{\"error\":\"malformed\"}");
}

/* ---- HTTP ---- */

/* Returns the length of the first message in the buffer, 0 while it is not complete. */
static size_t
message_length (const Buffer *in, size_t *head)
{
  char *end = in->len ? strstr (in->data, "\r\n\r\n") : NULL;
  if (!end)
    return 0;
  *head = end + 4 - in->data;
  char *length = strcasestr (in->data, "\r\nContent-Length:");
  size_t body = length && length < end ? strtoul (length + 17, NULL, 10) : 0;
  return in->len >= *head + body ? *head + body : 0;
}

static void
serve (Conn *conn)
{
  size_t head, len;
  while (!conn->busy && !conn->closing && (len = message_length (&conn->in, &head))) {
    char method[16], path[1024];
    if (sscanf (conn->in.data, "%15s %1023s", method, path) != 2) {
      conn->closing = true;
      return;
    }
    json_t *body = len > head ? json_loadb (conn->in.data + head, len - head, 0, NULL) : NULL;
    if (strcasestr (conn->in.data, "\r\nExpect: 100-continue") &&
        strcasestr (conn->in.data, "\r\nExpect: 100-continue") < conn->in.data + head)
      buffer_add (&conn->out, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    if (conn->service == AT_STATE)
      state_request (conn, method, path, body);
    else if (conn->service == AT_CLOUD)
      cloud_request (conn, method, path, body);
    else
      worker_request (conn, method, path, body);
    json_decref (body);
    buffer_drop (&conn->in, len);
  }
}

static void
client_finish (Conn *conn, int status, json_t *body)
{
  OnAnswer on_answer = conn->on_answer;
  conn->on_answer = NULL;
  conn->closing = true;
  if (on_answer)
    on_answer (conn, status, body);
  json_decref (body);
}

static void
client_read (Conn *conn)
{
  size_t head, len = message_length (&conn->in, &head);
  int status = 0;
  if (!len || !conn->on_answer)
    return;
  sscanf (conn->in.data, "HTTP/1.%*d %d", &status);
  client_finish (conn, status,
                 len > head ? json_loadb (conn->in.data + head, len - head, 0, NULL) : NULL);
}

static Conn *
client_send (int port, const char *method, const char *path, json_t *body, double timeout_s,
             OnAnswer on_answer, void *data)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                .sin_port = htons (port)};
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL, head[512];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    cannot_run ("no socket: %s", strerror (errno));
  Conn *conn = conn_new (fd);
  conn->is_client = true;
  conn->on_answer = on_answer;
  conn->data = data;
  conn->deadline = world_now () + timeout_s;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) && errno != EINPROGRESS)
    conn->deadline = 0;
  int len = snprintf (head, sizeof head,
                      "%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nConnection: close\r\n"
                      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                      method, path, port, text ? strlen (text) : 0);
  buffer_add (&conn->out, head, len);
  if (text)
    buffer_add (&conn->out, text, strlen (text));
  free (text);
  return conn;
}

/* ---- load balancer ---- */

static void
on_probe (Conn *conn, int status, json_t *body)
{
  Node *node = conn->data;
  bool ok = status == 200;
  (void)body;
  node->probe_results = (node->probe_results << 1 | !ok) & 63;
  node->fails = ok ? 0 : node->fails + 1;
  node->successes = ok ? node->successes + 1 : 0;
  if (node->healthy && (node->fails >= 2 || __builtin_popcount (node->probe_results) >= 3)) {
    node->healthy = false;
    node->unhealthy_since = world_now ();
    node->successes = 0;
    record ("load balancer: node %d is unhealthy", (int)(node - nodes));
  } else if (!node->healthy && ok &&
             (!node->ever_healthy ||
              (node->successes >= 2 && world_now () - node->unhealthy_since >= 3))) {
    node->healthy = node->ever_healthy = true;
    node->probe_results = 0;
    record ("load balancer: node %d is healthy", (int)(node - nodes));
  }
}

static void
balancer_tick (void)
{
  for (int i = 0; i < site.nodes; i++)
    if (world_now () >= nodes[i].next_probe) {
      nodes[i].next_probe = world_now () + 1;
      client_send (nodes[i].front_port, "GET", "/ready", NULL, 1, on_probe, &nodes[i]);
    }
}

/* ---- loop ---- */

static void
reap (void)
{
  for (int i = 0; i < site.nodes; i++) {
    int status;
    if (nodes[i].pid && waitpid (nodes[i].pid, &status, WNOHANG) == nodes[i].pid) {
      record ("node %d ended: status %d", i, status);
      nodes[i].pid = 0;
    }
  }
}

static void
conn_read (Conn *conn)
{
  char data[65536];
  ssize_t n = read (conn->fd, data, sizeof data);
  if (n > 0) {
    buffer_add (&conn->in, data, n);
    if (conn->is_client)
      client_read (conn);
    else if (conn->service != AT_STATE || !nodes[conn->node].state_cut)
      serve (conn);
  } else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
    if (conn->is_client && conn->on_answer)
      client_finish (conn, 0, NULL);
    conn->dead = true;
  }
}

static void
conn_write (Conn *conn)
{
  ssize_t n = send (conn->fd, conn->out.data, conn->out.len, MSG_NOSIGNAL);
  if (n > 0)
    buffer_drop (&conn->out, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR) {
    if (conn->is_client && conn->on_answer)
      client_finish (conn, 0, NULL);
    conn->dead = true;
  }
}

static void
accept_all (Listener listener)
{
  int fd;
  while ((fd = accept (listener.fd, NULL, NULL)) >= 0) {
    Conn *conn = conn_new (fd);
    conn->service = listener.service;
    conn->node = listener.node;
    conn->machine = listener.machine;
  }
}

static void
sweep (void)
{
  for (int i = 0; i < n_conns; i++) {
    Conn *conn = conns[i];
    if (conn->is_client && conn->on_answer && world_now () > conn->deadline)
      client_finish (conn, 0, NULL);
    if (!conn->dead && !(conn->closing && !conn->out.len) && !(conn->is_client && conn->closing))
      continue;
    close (conn->fd);
    free (conn->in.data);
    free (conn->out.data);
    free (conn);
    conns[i--] = conns[--n_conns];
  }
}

static void
step (void)
{
  static struct pollfd fds[8192];
  int n = 0, first_conn, conns_polled = n_conns, listeners_polled = n_listeners;
  for (int i = 0; i < n_listeners; i++)
    fds[n++] = (struct pollfd){listeners[i].fd, POLLIN, 0};
  first_conn = n;
  for (int i = 0; i < n_conns; i++)
    fds[n++] = (struct pollfd){conns[i]->fd, POLLIN | (conns[i]->out.len ? POLLOUT : 0), 0};
  poll (fds, n, 5);
  if (world_on_step)
    world_on_step ();
  for (int i = 0; i < conns_polled; i++) {
    short events = fds[first_conn + i].revents;
    if (events & POLLOUT && conns[i]->out.len && !conns[i]->dead)
      conn_write (conns[i]);
    if (events & (POLLIN | POLLHUP | POLLERR) && !conns[i]->dead)
      conn_read (conns[i]);
  }
  Listener ready[1024];
  int n_ready = 0;
  for (int i = 0; i < listeners_polled; i++)
    if (fds[i].revents & POLLIN)
      ready[n_ready++] = listeners[i];
  for (int i = 0; i < n_ready; i++)
    accept_all (ready[i]);
  for (int i = 0; i < n_machines; i++)
    worker_tick (machines[i]);
  state_tick ();
  balancer_tick ();
  for (int i = 0; i < n_conns; i++)
    if (conns[i]->out.len && !conns[i]->dead && !conns[i]->is_client)
      conn_write (conns[i]);
  sweep ();
  reap ();
}

void
world_pump (double seconds)
{
  double until = world_now () + seconds;
  do
    step ();
  while (world_now () < until);
}

bool
world_until (bool (*holds) (void), double limit)
{
  double until = world_now () + limit;
  while (!holds ()) {
    if (world_now () > until)
      return false;
    step ();
  }
  return true;
}

typedef struct {
  Answer answer;
  bool done;
} Call;

static void
on_called (Conn *conn, int status, json_t *body)
{
  Call *call = conn->data;
  call->answer = (Answer){status, body ? json_incref (body) : NULL, world_now ()};
  call->done = true;
}

Answer
world_call (int node, const char *method, const char *path, json_t *body, double timeout_s)
{
  Call call = {.done = false};
  client_send (nodes[node].front_port, method, path, body, timeout_s, on_called, &call);
  while (!call.done)
    step ();
  char *text = call.answer.body ? json_dumps (call.answer.body, JSON_COMPACT) : NULL;
  record ("user: node %d: %s %s: %d %s", node, method, path, call.answer.status, text ? text : "");
  free (text);
  return call.answer;
}

void
answer_clear (Answer *answer)
{
  json_decref (answer->body);
  answer->body = NULL;
}

/* ---- processes ---- */

static void
write_settings (int i, char *path, size_t size)
{
  json_t *members = json_array (), *zones = json_array ();
  for (int k = 0; k < site.nodes; k++) {
    char label[32];
    snprintf (label, sizeof label, "rockhand-%d", k);
    if (k != i)
      json_array_append_new (members, json_pack ("{ssssss}", "label", label, "area", site.zones[0],
                                                 "endpoint", nodes[k].back));
  }
  json_array_append_new (zones, json_string (site.zones[0]));
  char label[32], cloud[32], state[32];
  snprintf (label, sizeof label, "rockhand-%d", i);
  snprintf (cloud, sizeof cloud, "127.0.0.1:%d", cloud_port);
  snprintf (state, sizeof state, "127.0.0.1:%d", nodes[i].state_port);
  json_t *facts = json_pack (
      "{siso s[{sssfsfsfsf}] s[] s{sfsfsfsfsf} s{sfsfsfsi} s{sfsf} s{sfsfsi} sf}", "count",
      site.nodes, "zones", zones, "teams", "name", site.team, "cpus", 0.0, "cpus_max",
      site.cpus_max, "gpus", 0.0, "gpus_max", site.gpus_max, "objectives", "workers", "report_s",
      site.report_s, "lease_s", site.lease_s, "gang_wait_s", site.gang_wait_s, "gang_peer_s",
      site.gang_peer_s, "cancel_s", site.cancel_s, "state", "rps", site.rps, "write_rps",
      site.write_rps, "value_kb", site.value_kb, "txn_ops", site.txn_ops, "cloud", "rps",
      site.cloud_rps, "list_lag_s", site.list_lag_s, "machine_limits", "cpu", 0.12, "mem_mb", 104.0,
      "fd_limit", site.fd_limit, "clock_error_ms", 250.0);
  json_t *root = json_pack ("{ss ss ss ss so s{ssss} so}", "label", label, "area", site.zones[0],
                            "front", nodes[i].front, "back", nodes[i].back, "members", members,
                            "outside", "cloud", cloud, "state", state, "facts", facts);
  snprintf (path, size, "%s/c%d.json", folder, i);
  if (!root || json_dump_file (root, path, JSON_INDENT (1)))
    cannot_run ("cannot write %s", path);
  json_decref (root);
}

void
node_start (int i)
{
  char path[128], log[128];
  snprintf (path, sizeof path, "%s/c%d.json", folder, i);
  snprintf (log, sizeof log, "%s/c%d.log", folder, i);
  char **argv = calloc (command_argc + 2, sizeof *argv);
  memcpy (argv, command, command_argc * sizeof *argv);
  argv[command_argc] = path;
  pid_t parent = getpid (), pid = fork ();
  if (pid < 0)
    cannot_run ("cannot start a controller");
  if (pid == 0) {
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    if (getppid () != parent)
      _exit (126);
    int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2 (fd, 2);
    execv (argv[0], argv);
    _exit (127);
  }
  free (argv);
  nodes[i].pid = pid;
  record ("node %d is started", i);
}

void
node_signal (int i, int signal)
{
  record ("node %d gets signal %d", i, signal);
  if (nodes[i].pid)
    kill (nodes[i].pid, signal);
  if (signal == SIGKILL && nodes[i].pid) {
    waitpid (nodes[i].pid, NULL, 0);
    nodes[i].pid = 0;
  }
}

void
world_defaults (void)
{
  site = (Site){.nodes = 3,
                .report_s = 2.5,
                .lease_s = 14,
                .gang_wait_s = 30,
                .gang_peer_s = 4,
                .cancel_s = 44,
                .rps = 100,
                .write_rps = 15,
                .value_kb = 4,
                .txn_ops = 12,
                .cloud_rps = 8,
                .list_lag_s = 3,
                .fd_limit = 1500,
                .n_zones = 1,
                .zones = {"sabarmati-rack"},
                .machine_type = "chhapkhana-node",
                .team = "pana-team",
                .cpus = 16,
                .gpus = 2,
                .memory_gb = 96,
                .cache_gb = 120,
                .fetch_gb_per_s = 0.5,
                .price = 5.44,
                .spot_price = 2.42,
                .boot_s = 10,
                .boot_least = 0.6,
                .boot_most = 1.5,
                .first_node = -1,
                .capacity = {8}};
}

void
world_start (int argc, char **argv, const char *record_path)
{
  clock_gettime (CLOCK_MONOTONIC, &started);
  signal (SIGPIPE, SIG_IGN);
  srand48 (started.tv_nsec);
  command = argv;
  command_argc = argc;
  record_file = fopen (record_path, "w");
  snprintf (folder, sizeof folder, "%s/hoprock-case-XXXXXX", getenv ("TMPDIR") ?: "/tmp");
  if (!record_file || argc < 1 || !mkdtemp (folder))
    cannot_run ("no record, no command or no temporary folder");
  request_tokens = site.rps;
  write_tokens = site.write_rps;
  cloud_port = listen_on_free_port (AT_CLOUD, -1, NULL);
  for (int i = 0; i < site.nodes; i++) {
    nodes[i].state_port = listen_on_free_port (AT_STATE, i, NULL);
    nodes[i].front_port = free_port ();
    nodes[i].back_port = free_port ();
    snprintf (nodes[i].front, sizeof nodes[i].front, "127.0.0.1:%d", nodes[i].front_port);
    snprintf (nodes[i].back, sizeof nodes[i].back, "127.0.0.1:%d", nodes[i].back_port);
  }
  for (int i = 0; i < site.nodes; i++) {
    char path[128];
    write_settings (i, path, sizeof path);
    node_start (i);
  }
}

int
world_end (int code)
{
  for (int i = 0; i < site.nodes; i++)
    if (nodes[i].pid) {
      kill (nodes[i].pid, SIGKILL);
      waitpid (nodes[i].pid, NULL, 0);
      nodes[i].pid = 0;
    }
  for (int i = 0; *folder && !getenv ("KEEP") && i < site.nodes; i++) {
    char path[128];
    snprintf (path, sizeof path, "%s/c%d.json", folder, i);
    unlink (path);
    snprintf (path, sizeof path, "%s/c%d.log", folder, i);
    unlink (path);
  }
  if (*folder && !getenv ("KEEP"))
    rmdir (folder);
  record ("exit code %d", code);
  if (record_file)
    fclose (record_file);
  return code;
}

void
cannot_run (const char *format, ...)
{
  char text[512];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  record ("cannot run: %s", text);
  fprintf (stderr, "cannot run: %s\n", text);
  exit (world_end (2));
}
