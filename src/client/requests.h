/* Requests of a user to the controllers. A request is repeated, at one server after the other,
 * until there is a final answer or its time is up: 60 s in all. */
#pragma once
#include <gio/gio.h>
#include <libsoup/soup.h>

/* To be used by one thread. */
typedef struct {
  SoupSession *session;
  GStrv servers; /* IP:PORT or HOST:PORT */
  guint next;    /* index of the server that gets the next try */
  gboolean quiet;
} HrClient;

typedef struct {
  guint status; /* HTTP status; 0: there was no answer in time */
  GBytes *body; /* NULL: none */
} HrAnswer;

/**
 * hr_client_begin:
 * @client: (out): to be ended in any case
 * @servers: separated by commas
 * @quiet: whether to write nothing about retries
 *
 * Returns: %FALSE when @servers names none
 */
gboolean hr_client_begin (HrClient *client, const char *servers, gboolean quiet);

/**
 * hr_client_end:
 *
 * Closes all connections.
 */
void hr_client_end (HrClient *client);

/**
 * hr_client_ask:
 * @method: the HTTP method
 * @path: the path
 * @body: (nullable): a body in JSON
 * @answer_s: seconds to wait for each answer
 *
 * Sends the request until an answer is final: 200, 201, 400, 404, 405 or 422. After any other, or
 * none, the next server is tried 1 s later, or after the answer's Retry-After (30 s at the most).
 * Each retry is reported on standard error, unless the client is quiet.
 *
 * Returns: (transfer full): the final answer; the last one when the time is up
 */
HrAnswer hr_client_ask (HrClient *client, const char *method, const char *path, const char *body,
                        guint answer_s);

/**
 * hr_client_ask_node:
 * @server: one of the client's
 * @path: the path
 * @answer_s: seconds to wait for the answer
 *
 * Sends a GET request once, to that server.
 *
 * Returns: (transfer full): the answer
 */
HrAnswer hr_client_ask_node (HrClient *client, const char *server, const char *path,
                             guint answer_s);

/**
 * hr_answer_clear:
 *
 * Frees the body.
 */
void hr_answer_clear (HrAnswer *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrAnswer, hr_answer_clear)

/**
 * hr_answer_text:
 * @size: (out): bytes of the body
 *
 * Returns: (transfer none) (nullable): the body, without a terminating NUL
 */
const char *hr_answer_text (const HrAnswer *answer, gsize *size);
