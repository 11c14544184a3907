/* hoprock: the users' command line. docs/man/hoprock.1 documents it. */
#include "client/history.h"
#include "client/options.h"
#include "client/requests.h"
#include "protocol/json_util.h"
#include "protocol/messages.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Exit codes. */
#define EXIT_REFUSED 1 /* 400, 404 or 422: asking again changes nothing */
#define EXIT_WRONG_USE 2
#define EXIT_GAVE_UP 3   /* no final answer within a minute */
#define EXIT_CANCELLED 4 /* status --watch: the job was cancelled */

/* How long to wait for an answer to a submission or cancellation, and to a question. */
#define SUBMIT_ANSWER_S 5
#define POLL_ANSWER_S 2
/* Between two requests of --watch. */
#define WATCH_INTERVAL_S 5

/* Where a controller's metrics are. */
#define METRICS_PATH "/metrics"

static int
wrong_use (const char *text)
{
  fprintf (stderr, "hoprock: %s; see hoprock --help\n", text);
  return EXIT_WRONG_USE;
}

/* Reports why there is no good answer. Returns the exit code. */
static int
explain (const HrAnswer *answer)
{
  gsize size;
  const char *text = hr_answer_text (answer, &size);
  g_autofree char *why = hr_error_text (text, size);
  if (answer->status == 400 || answer->status == 404 || answer->status == 422) {
    fprintf (stderr, "hoprock: refused (%u): %s\n", answer->status, why);
    return EXIT_REFUSED;
  }
  fprintf (stderr, "hoprock: no node could say within a minute; the last one: %u %s\n",
           answer->status, answer->status ? why : "no answer");
  return EXIT_GAVE_UP;
}

static void
print_state (const HrClientOptions *options, const HrJobStatus *status)
{
  if (options->json) {
    json_t *line = json_pack ("{sssssIsI}", "id", status->id, "state", status->state, "done",
                              (json_int_t)status->done, "running", (json_int_t)status->running);
    if (status->reason)
      json_object_set_new (line, "reason", json_string (status->reason));
    g_autofree char *text = hr_json_take_text (line);
    printf ("%s\n", text);
  } else
    printf ("%s %s, %" G_GUINT64_FORMAT " tasks done, %" G_GUINT64_FORMAT " running%s%s\n",
            status->id, status->state, status->done, status->running, status->reason ? ": " : "",
            status->reason ? status->reason : "");
  fflush (stdout);
}

/* Reads and prints the state; returns the exit code. */
static int
show (const HrClientOptions *options, const HrAnswer *answer, HrJobStatus *status)
{
  gsize size;
  const char *text = hr_answer_text (answer, &size);
  if ((answer->status != 200 && answer->status != 201) || !hr_job_status_read (text, size, status))
    return explain (answer);
  print_state (options, status);
  return 0;
}

static int
ask_and_show (const HrClientOptions *options, HrClient *client, const char *method,
              const char *path, guint answer_s)
{
  g_auto (HrAnswer) answer = hr_client_ask (client, method, path, NULL, answer_s);
  g_auto (HrJobStatus) status = {0};
  return show (options, &answer, &status);
}

/* ---- commands ---- */

/* The body of the submission that the options describe, or that their file holds. */
static char *
submission_body (HrClientOptions *options, GError **error)
{
  char *body = NULL;
  if (options->file) {
    g_file_get_contents (options->file, &body, NULL, error);
    return body;
  }
  HrSubmission *job = &options->job;
  if (!job->job_class || !job->team || !job->image || job->cpus <= 0) {
    g_set_error_literal (error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                         "--class, --team, --image and --cpus are needed, or --file");
    return NULL;
  }
  if (!job->id)
    job->id = g_strdup_printf ("job-%09d", g_random_int_range (0, 1000000000));
  job->shape = job->shape ? job->shape : g_strdup ("batch");
  job->priority = job->priority ? job->priority : g_strdup ("normal");
  return hr_submission_text (job);
}

static int
submit (HrClientOptions *options, HrClient *client, const char *unused G_GNUC_UNUSED)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *body = submission_body (options, &error);
  if (!body)
    return wrong_use (error ? error->message : "the job cannot be read");
  g_autofree char *id = hr_submission_id (body, strlen (body));
  if (!id)
    return wrong_use ("the job has no valid id: `job-` and letters, digits, - _ .");
  g_auto (HrAnswer) answer = hr_client_ask (client, "POST", HR_JOBS_PATH, body, SUBMIT_ANSWER_S);
  g_auto (HrJobStatus) status = {0};
  int code = show (options, &answer, &status);
  if (code == 0 || code == EXIT_GAVE_UP) /* without an answer it may have been accepted */
    hr_history_add (id);
  return code;
}

static int
status (HrClientOptions *options, HrClient *client, const char *id)
{
  g_autofree char *path = hr_job_path (id);
  if (!options->watch)
    return ask_and_show (options, client, "GET", path, POLL_ANSWER_S);
  g_autofree char *last = NULL;
  for (;;) {
    g_auto (HrAnswer) answer = hr_client_ask (client, "GET", path, NULL, POLL_ANSWER_S);
    g_auto (HrJobStatus) read = {0};
    gsize size;
    const char *text = hr_answer_text (&answer, &size);
    g_autofree char *now = g_strndup (text ? text : "", size);
    if (answer.status != 200 || !hr_job_status_read (text, size, &read))
      return explain (&answer);
    if (g_strcmp0 (now, last) != 0)
      print_state (options, &read);
    g_free (last);
    last = g_steal_pointer (&now);
    if (hr_job_status_is_final (&read))
      return hr_job_status_is_cancelled (&read) ? EXIT_CANCELLED : 0;
    g_usleep ((gulong)WATCH_INTERVAL_S * G_USEC_PER_SEC);
  }
}

static int
cancel (HrClientOptions *options, HrClient *client, const char *id)
{
  g_autofree char *path = hr_cancel_path (id);
  return ask_and_show (options, client, "POST", path, SUBMIT_ANSWER_S);
}

static int
list (HrClientOptions *options, HrClient *client, const char *unused G_GNUC_UNUSED)
{
  g_autoptr (GPtrArray) ids = hr_history_ids ();
  int code = 0;
  for (guint i = 0; i < ids->len; i++) {
    g_autofree char *path = hr_job_path (ids->pdata[i]);
    int one = ask_and_show (options, client, "GET", path, POLL_ANSWER_S);
    code = MAX (code, one);
    if (one == EXIT_GAVE_UP)
      break; /* the others would not be answered either */
  }
  return code;
}

/* The value of a metric; -1 when the node's text has none. */
static double
metric (const HrAnswer *answer, const char *name)
{
  gsize size;
  const char *text = hr_answer_text (answer, &size);
  g_autofree char *copy = g_strndup (text ? text : "", size);
  g_auto (GStrv) lines = g_strsplit (copy, "\n", -1);
  for (guint i = 0; lines[i]; i++)
    if (g_str_has_prefix (lines[i], name) && lines[i][strlen (name)] == ' ')
      return g_ascii_strtod (lines[i] + strlen (name), NULL);
  return -1;
}

static void
print_node (const HrClientOptions *options, const char *server, gboolean answers, gboolean ready,
            const HrAnswer *metrics)
{
  gboolean leads = metric (metrics, "hoprock_leads") == 1;
  if (options->json) {
    json_t *line = json_pack ("{sssbsbsb}", "server", server, "answers", answers, "ready", ready,
                              "leads", leads);
    g_autofree char *text = hr_json_take_text (line);
    printf ("%s\n", text);
  } else
    printf ("%s %s%s\n", server,
            ready     ? "ready"
            : answers ? "not ready"
                      : "does not answer",
            leads ? ", leads" : "");
}

static int
nodes (HrClientOptions *options, HrClient *client, const char *unused G_GNUC_UNUSED)
{
  guint ready = 0;
  for (guint i = 0; client->servers[i]; i++) {
    g_auto (HrAnswer) probe =
        hr_client_ask_node (client, client->servers[i], HR_READY_PATH, POLL_ANSWER_S);
    g_auto (HrAnswer) metrics =
        hr_client_ask_node (client, client->servers[i], METRICS_PATH, POLL_ANSWER_S);
    ready += probe.status == 200;
    print_node (options, client->servers[i], probe.status != 0, probe.status == 200, &metrics);
  }
  return ready ? 0 : EXIT_GAVE_UP;
}

typedef struct {
  const char *name;
  gboolean takes_id;
  int (*run) (HrClientOptions *options, HrClient *client, const char *id);
} Command;

static const Command commands[] = {{"submit", FALSE, submit},
                                   {"status", TRUE, status},
                                   {"cancel", TRUE, cancel},
                                   {"list", FALSE, list},
                                   {"nodes", FALSE, nodes}};

static const Command *
command_of (const char *name)
{
  for (guint i = 0; name && i < G_N_ELEMENTS (commands); i++)
    if (g_str_equal (commands[i].name, name))
      return &commands[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  g_auto (HrClientOptions) options = {.job = {.tasks = 1}};
  HrClient client = {0};
  g_autoptr (GError) error = NULL;
  if (!hr_client_options_parse (&options, &argc, &argv, &error))
    return wrong_use (error->message);
  const Command *command = command_of (argc > 1 ? argv[1] : NULL);
  if (!command)
    return wrong_use ("a command is needed: submit, status, cancel, list or nodes");
  if (argc != (command->takes_id ? 3 : 2))
    return wrong_use (command->takes_id ? "one job's id is needed" : "unexpected argument");
  if (command->takes_id && !hr_job_id_valid (argv[2]))
    return wrong_use ("not a job's id: `job-` and letters, digits, - _ .");
  const char *from_environment = g_getenv ("HOPROCK_SERVER");
  const char *servers = options.server     ? options.server
                        : from_environment ? from_environment
                                           : "127.0.0.1:8080";
  int code = hr_client_begin (&client, servers, options.quiet)
                 ? command->run (&options, &client, command->takes_id ? argv[2] : NULL)
                 : wrong_use ("--server names no node");
  hr_client_end (&client);
  return code;
}
