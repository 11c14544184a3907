#include "client/requests.h"
#include "protocol/messages.h"
#include <stdio.h>
#include <string.h>

/* Time limit for all attempts of a request. */
#define MAX_REQUEST_TIME_S 60
/* Range of the delay between two attempts; the maximum also bounds Retry-After. */
#define MIN_RETRY_DELAY_S 1
#define MAX_RETRY_DELAY_S 30

gboolean
hr_client_init (HrClient *client, const char *servers, gboolean quiet)
{
  client->servers = g_strsplit (servers, ",", -1);
  client->next = 0;
  client->quiet = quiet;
  client->session = soup_session_new ();
  soup_session_set_proxy_resolver (client->session, NULL);
  return client->servers[0] && *client->servers[0];
}

void
hr_client_clear (HrClient *client)
{
  g_clear_object (&client->session);
  g_strfreev (client->servers);
}

void
hr_answer_clear (HrAnswer *answer)
{
  g_clear_pointer (&answer->body, g_bytes_unref);
}

const char *
hr_answer_text (const HrAnswer *answer, gsize *size)
{
  *size = 0;
  return answer->body ? g_bytes_get_data (answer->body, size) : NULL;
}

static gboolean
is_final (guint status)
{
  return status == 200 || status == 201 || status == 400 || status == 404 || status == 405 ||
         status == 422;
}

/* Makes one attempt. *retry_after: the answer's Retry-After in seconds; 0: none. */
static HrAnswer
send_once (HrClient *client, const char *server, const char *method, const char *path,
           const char *body, guint timeout_s, guint64 *retry_after)
{
  HrAnswer answer = {0};
  g_autofree char *uri = g_strconcat ("http://", server, path, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new (method, uri);
  *retry_after = 0;
  if (!msg)
    return answer;
  soup_message_add_flags (msg, SOUP_MESSAGE_NO_REDIRECT);
  if (body) {
    g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
    soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  }
  soup_session_set_timeout (client->session, timeout_s);
  answer.body = soup_session_send_and_read (client->session, msg, NULL, NULL);
  if (!answer.body)
    return answer;
  answer.status = soup_message_get_status (msg);
  const char *header =
      soup_message_headers_get_one (soup_message_get_response_headers (msg), "Retry-After");
  if (header)
    g_ascii_string_to_unsigned (header, 10, 0, G_MAXUINT32, retry_after, NULL);
  return answer;
}

static void
report_retry (const HrClient *client, const char *server, const HrAnswer *answer, guint attempt,
              guint delay_s)
{
  gsize size;
  const char *text = hr_answer_text (answer, &size);
  g_autofree char *why = answer->status ? hr_error_text (text, size) : g_strdup ("no answer");
  if (client->quiet)
    return;
  fprintf (stderr, "hoprock: attempt %u: %s: ", attempt, server);
  if (answer->status)
    fprintf (stderr, "%u (%s)", answer->status, why);
  else
    fprintf (stderr, "no answer");
  fprintf (stderr, "; retrying in %u s\n", delay_s);
}

HrAnswer
hr_client_request (HrClient *client, const char *method, const char *path, const char *body,
                   guint timeout_s)
{
  gint64 deadline = g_get_monotonic_time () + (gint64)MAX_REQUEST_TIME_S * G_USEC_PER_SEC;
  for (guint attempt = 1;; attempt++) {
    guint64 retry_after;
    const char *server = client->servers[client->next];
    HrAnswer answer = send_once (client, server, method, path, body, timeout_s, &retry_after);
    if (is_final (answer.status))
      return answer;
    guint delay_s = CLAMP (retry_after, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S);
    if (g_get_monotonic_time () + (gint64)delay_s * G_USEC_PER_SEC > deadline)
      return answer;
    report_retry (client, server, &answer, attempt, delay_s);
    hr_answer_clear (&answer);
    client->next = client->servers[client->next + 1] ? client->next + 1 : 0;
    g_usleep ((gulong)delay_s * G_USEC_PER_SEC);
  }
}

HrAnswer
hr_client_get_once (HrClient *client, const char *server, const char *path, guint timeout_s)
{
  guint64 unused;
  return send_once (client, server, "GET", path, NULL, timeout_s, &unused);
}
