#include "emulator/balancer.h"
#include "emulator/control.h"
#include "protocol/json_util.h"
#include "sim/answer_checks.h"
#include "sim/external_jobs.h"
#include "sim/user.h"
#include <string.h>

/* Health checks. */
#define PROBE_INTERVAL_S 1.0
#define PROBE_TIMEOUT_S 1.0
#define FIRST_PROBE_S 0.1
/* Users wait 5 s for an answer to a submission or cancellation. */
#define REQUEST_TIMEOUT_S 5.0

struct Balancer {
  Emulator *emulator;
  SoupServer *server;
  gboolean healthy[MAX_NODES];
  guint open[MAX_NODES]; /* number of requests that each node has not answered yet */
};

/* ---- health ---- */

typedef struct {
  Balancer *balancer;
  int node;
} Probe;

static void
on_probed (SimCluster *cluster G_GNUC_UNUSED, int status, json_t *body G_GNUC_UNUSED, gpointer data)
{
  g_autofree Probe *probe = data;
  probe->balancer->healthy[probe->node] = status == 200;
}

static void
probe_all (SimCluster *cluster, gpointer data)
{
  Balancer *balancer = data;
  for (int i = 0; i < cluster->n; i++) {
    Probe *probe = g_new (Probe, 1);
    *probe = (Probe){balancer, i};
    sim_send_request (cluster, i, -1, HR_GET, HR_READY_PATH, NULL, PROBE_TIMEOUT_S, on_probed,
                      probe);
  }
  sim_schedule (cluster, cluster->now + PROBE_INTERVAL_S, probe_all, balancer);
}

/* Returns the healthy node with the fewest open requests, or -1 if none is healthy. */
static int
choose_node (const Balancer *balancer)
{
  int best = -1;
  for (int i = 0; i < balancer->emulator->cluster->n; i++)
    if (balancer->healthy[i] && (best < 0 || balancer->open[i] < balancer->open[best]))
      best = i;
  return best;
}

/* ---- requests ---- */

/* A user's request that was forwarded to a controller. */
typedef struct {
  Balancer *balancer;
  int node;
  SoupServerMessage *msg;
  SimUserRequest *user_request; /* NULL: the request concerns no job known to the cluster */
} BalancedRequest;

static void
reply (SoupServerMessage *msg, int status, const char *text)
{
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY, text, strlen (text));
}

static void
on_answered (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  g_autofree BalancedRequest *request = data;
  g_autofree SimUserRequest *user_request = request->user_request;
  g_autoptr (SoupServerMessage) msg = request->msg;
  g_autofree char *text = body ? hr_json_take_text (json_incref (body)) : g_strdup ("{}");
  request->balancer->open[request->node]--;
  if (user_request && (status == 200 || status == 201)) {
    user_request->job->accepted = TRUE;
    check_user_response (cluster, user_request, status, body);
  }
  reply (msg, status ? status : 504, status ? text : "{\"error\":\"the node does not answer\"}");
  soup_server_message_unpause (msg);
}

/* Returns the job that a request concerns, or NULL if the cluster does not know it. A job becomes
 * known with its first submission. Marks the job if the request cancels it. */
static SimJob *
requested_job (SimCluster *cluster, const char *path, const char *body)
{
  static const char jobs[] = HR_JOBS_PATH "/";
  guint32 index;
  if (body && strcmp (path, HR_JOBS_PATH) == 0)
    return external_job (cluster, body);
  if (!g_str_has_prefix (path, jobs))
    return NULL;
  const char *rest = path + strlen (jobs);
  g_autofree char *id = g_strndup (rest, strcspn (rest, "/"));
  SimJob *job = job_by_id (cluster, id, &index);
  if (job && g_str_has_suffix (path, "/abort"))
    job->cancel_requested = TRUE;
  return job;
}

static void
on_request (SoupServer *server G_GNUC_UNUSED, SoupServerMessage *msg, const char *path,
            GHashTable *query G_GNUC_UNUSED, gpointer data)
{
  Balancer *balancer = data;
  SimCluster *cluster = balancer->emulator->cluster;
  emulator_catch_up (balancer->emulator);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  gsize size = g_bytes_get_size (bytes);
  g_autofree char *body = size ? g_strndup (g_bytes_get_data (bytes, NULL), size) : NULL;
  const char *method = soup_server_message_get_method (msg);
  if (control_request (balancer->emulator, msg, path, body))
    return;
  int node = choose_node (balancer);
  if (node < 0) {
    reply (msg, 503, "{\"error\":\"no controller is ready\"}");
    return;
  }
  SimJob *job = requested_job (cluster, path, body);
  BalancedRequest *request = g_new (BalancedRequest, 1);
  *request = (BalancedRequest){balancer, node, g_object_ref (msg),
                               job ? sim_user_request_new (cluster, job) : NULL};
  balancer->open[node]++;
  soup_server_message_pause (msg);
  HrMethod kind = strcmp (method, "GET") == 0    ? HR_GET
                  : strcmp (method, "POST") == 0 ? HR_POST
                                                 : HR_OTHER_METHOD;
  sim_send_request (cluster, node, -1, kind, path, g_steal_pointer (&body), REQUEST_TIMEOUT_S,
                    on_answered, request);
}

Balancer *
balancer_new (Emulator *emulator, const char *address, GError **error)
{
  g_autoptr (GSocketConnectable) net = g_network_address_parse (address, 0, error);
  if (!net)
    return NULL;
  GNetworkAddress *host_port = G_NETWORK_ADDRESS (net);
  g_autoptr (GSocketAddress) listen = g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (host_port), g_network_address_get_port (host_port));
  if (!listen) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an IP address",
                 address);
    return NULL;
  }
  Balancer *balancer = g_new0 (Balancer, 1);
  balancer->emulator = emulator;
  balancer->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (balancer->server, NULL, on_request, balancer, NULL);
  if (!soup_server_listen (balancer->server, listen, 0, error)) {
    balancer_free (balancer);
    return NULL;
  }
  sim_schedule (emulator->cluster, FIRST_PROBE_S, probe_all, balancer);
  return balancer;
}

void
balancer_free (Balancer *balancer)
{
  soup_server_disconnect (balancer->server);
  g_object_unref (balancer->server);
  g_free (balancer);
}
