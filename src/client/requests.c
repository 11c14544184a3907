#include "client/requests.h"
#include "protocol/messages.h"
#include <stdio.h>
#include <string.h>

/* In all, between two tries at the least, and what a node may ask for at the most; seconds. */
#define GIVE_UP_S 60
#define PAUSE_S 1
#define RETRY_AFTER_MOST_S 30

gboolean
hr_client_begin (HrClient *c, const char *servers, gboolean quiet)
{
  c->servers = g_strsplit (servers, ",", -1);
  c->at = 0;
  c->quiet = quiet;
  c->session = soup_session_new ();
  soup_session_set_proxy_resolver (c->session, NULL);
  return c->servers[0] && *c->servers[0];
}

void
hr_client_end (HrClient *c)
{
  g_clear_object (&c->session);
  g_strfreev (c->servers);
}

void
hr_answer_clear (HrAnswer *a)
{
  g_clear_pointer (&a->body, g_bytes_unref);
}

const char *
hr_answer_text (const HrAnswer *a, gsize *size)
{
  *size = 0;
  return a->body ? g_bytes_get_data (a->body, size) : NULL;
}

static gboolean
is_final (guint status)
{
  return status == 200 || status == 201 || status == 400 || status == 404 || status == 405 ||
         status == 422;
}

/* One try. *retry_after: seconds that the node asks for; 0: none. */
static HrAnswer
send_once (HrClient *c, const char *server, const char *method, const char *path, const char *body,
           guint answer_s, guint64 *retry_after)
{
  HrAnswer a = {0};
  g_autofree char *uri = g_strconcat ("http://", server, path, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new (method, uri);
  *retry_after = 0;
  if (!msg)
    return a;
  soup_message_add_flags (msg, SOUP_MESSAGE_NO_REDIRECT);
  if (body) {
    g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
    soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  }
  soup_session_set_timeout (c->session, answer_s);
  a.body = soup_session_send_and_read (c->session, msg, NULL, NULL);
  if (!a.body)
    return a;
  a.status = soup_message_get_status (msg);
  const char *asked =
      soup_message_headers_get_one (soup_message_get_response_headers (msg), "Retry-After");
  if (asked)
    g_ascii_string_to_unsigned (asked, 10, 0, G_MAXUINT32, retry_after, NULL);
  return a;
}

static void
show_progress (const HrClient *c, const char *server, const HrAnswer *a, guint tries, guint pause)
{
  gsize size;
  const char *text = hr_answer_text (a, &size);
  g_autofree char *why = a->status ? hr_error_text (text, size) : g_strdup ("no answer");
  if (c->quiet)
    return;
  fprintf (stderr, "hoprock: try %u: %s answers ", tries, server);
  if (a->status)
    fprintf (stderr, "%u (%s)", a->status, why);
  else
    fprintf (stderr, "nothing");
  fprintf (stderr, "; again in %u s\n", pause);
}

HrAnswer
hr_client_ask (HrClient *c, const char *method, const char *path, const char *body, guint answer_s)
{
  gint64 until = g_get_monotonic_time () + (gint64)GIVE_UP_S * G_USEC_PER_SEC;
  for (guint tries = 1;; tries++) {
    guint64 retry_after;
    const char *server = c->servers[c->at];
    HrAnswer a = send_once (c, server, method, path, body, answer_s, &retry_after);
    if (is_final (a.status))
      return a;
    guint pause = CLAMP (retry_after, PAUSE_S, RETRY_AFTER_MOST_S);
    if (g_get_monotonic_time () + (gint64)pause * G_USEC_PER_SEC > until)
      return a;
    show_progress (c, server, &a, tries, pause);
    hr_answer_clear (&a);
    c->at = c->servers[c->at + 1] ? c->at + 1 : 0;
    g_usleep ((gulong)pause * G_USEC_PER_SEC);
  }
}

HrAnswer
hr_client_ask_node (HrClient *c, const char *server, const char *path, guint answer_s)
{
  guint64 unused;
  return send_once (c, server, "GET", path, NULL, answer_s, &unused);
}
