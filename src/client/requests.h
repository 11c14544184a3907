/* One request of a user, repeated as the protocol asks: at one node after the other, until there is
 * a final answer or its time is up. */
#pragma once
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct {
  SoupSession *session;
  GStrv servers; /* IP:PORT or HOST:PORT */
  guint at;      /* the one asked next */
  gboolean quiet;
} HrClient;

typedef struct {
  guint status; /* 0: there was no answer in time */
  GBytes *body;
} HrAnswer;

/* servers: separated by commas. FALSE: there is none. */
gboolean hr_client_begin (HrClient *client, const char *servers, gboolean quiet);
void hr_client_end (HrClient *client);
/* Asks until the answer is final: any of 200, 201, 400, 404, 405, 422. Others, and none, are asked
 * again 1 s later, or after Retry-After (30 s at the most), at the next node; for 60 s in all. A
 * line on standard error says what is waited for. answer_s: how long to wait for each answer. */
HrAnswer hr_client_ask (HrClient *client, const char *method, const char *path, const char *body,
                        guint answer_s);
/* One question to this very node, asked once. */
HrAnswer hr_client_ask_node (HrClient *client, const char *server, const char *path,
                             guint answer_s);
void hr_answer_clear (HrAnswer *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrAnswer, hr_answer_clear)
const char *hr_answer_text (const HrAnswer *answer, gsize *size);
