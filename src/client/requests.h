/* Requests of a user to the controllers. A request is retried, with the next server each time,
 * until there is a final answer or 60 s have passed. */
#pragma once
#include <gio/gio.h>
#include <libsoup/soup.h>

/* A client with the servers that it tries in turn. Not thread-safe. */
typedef struct {
  SoupSession *session;
  GStrv servers; /* each IP:PORT or HOST:PORT */
  guint next;    /* index of the server for the next attempt */
  gboolean quiet;
} HrClient;

/* The answer to a request. */
typedef struct {
  guint status; /* HTTP status; 0: no answer within the timeout */
  GBytes *body; /* NULL: no body */
} HrAnswer;

/**
 * hr_client_init:
 * @client: (out): the client, to be cleared even after a failure
 * @servers: addresses of the servers, separated by commas
 * @quiet: whether to suppress reports of retries
 *
 * Initialises a client.
 *
 * Returns: %FALSE when @servers contains no address
 */
gboolean hr_client_init (HrClient *client, const char *servers, gboolean quiet);

/**
 * hr_client_clear:
 *
 * Closes all connections and frees what the client holds.
 */
void hr_client_clear (HrClient *client);

/**
 * hr_client_request:
 * @method: the HTTP method
 * @path: path of the request
 * @body: (nullable): a body in JSON
 * @timeout_s: timeout of each attempt, in seconds
 *
 * Sends the request until an answer is final: status 200, 201, 400, 404, 405 or 422. After another
 * status or no answer, retries with the next server, 1 s later or after the answer's Retry-After
 * (at most 30 s). Reports each retry on standard error, unless the client is quiet.
 *
 * Returns: (transfer full): the final answer, or the last one when the retry time is over
 */
HrAnswer hr_client_request (HrClient *client, const char *method, const char *path,
                            const char *body, guint timeout_s);

/**
 * hr_client_get_once:
 * @server: one of the client's servers
 * @path: path of the request
 * @timeout_s: timeout in seconds
 *
 * Sends a GET request to one server, without retries.
 *
 * Returns: (transfer full): the answer
 */
HrAnswer hr_client_get_once (HrClient *client, const char *server, const char *path,
                             guint timeout_s);

/**
 * hr_answer_clear:
 *
 * Frees the body.
 */
void hr_answer_clear (HrAnswer *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrAnswer, hr_answer_clear)

/**
 * hr_answer_text:
 * @size: (out): length of the body in bytes
 *
 * Returns: (transfer none) (nullable): the body, which has no terminating NUL
 */
const char *hr_answer_text (const HrAnswer *answer, gsize *size);
