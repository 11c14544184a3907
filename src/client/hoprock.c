/* hoprock: the command-line client for users. docs/man/hoprock.1 documents it. */
#include "client/history.h"
#include "client/options.h"
#include "client/requests.h"
#include "protocol/json_util.h"
#include "protocol/messages.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Exit codes. */
#define EXIT_REFUSED 1 /* status 400, 404 or 422: a retry would not help */
#define EXIT_WRONG_USE 2
#define EXIT_GAVE_UP 3   /* no final answer within the retry time of 60 s */
#define EXIT_CANCELLED 4 /* status --watch: the job was cancelled */

/* Timeouts of one attempt: of a submission or cancellation, and of a read. */
#define WRITE_TIMEOUT_S 5
#define READ_TIMEOUT_S 2
/* Polling interval of --watch. */
#define WATCH_INTERVAL_S 5

/* Path of a controller's metrics. */
#define METRICS_PATH "/metrics"

static int
usage_error (const char *text)
{
  fprintf (stderr, "hoprock: %s; see hoprock --help\n", text);
  return EXIT_WRONG_USE;
}

/* Reports why a request did not succeed. Returns the exit code. */
static int
report_failure (const HrAnswer *answer)
{
  gsize size;
  const char *text = hr_answer_text (answer, &size);
  g_autofree char *why = hr_error_text (text, size);
  if (answer->status == 400 || answer->status == 404 || answer->status == 422) {
    fprintf (stderr, "hoprock: refused (%u): %s\n", answer->status, why);
    return EXIT_REFUSED;
  }
  fprintf (stderr, "hoprock: no usable answer within 60 s; last status %u: %s\n", answer->status,
           answer->status ? why : "no answer");
  return EXIT_GAVE_UP;
}

static void
print_status (const HrClientOptions *options, const HrJobStatus *status)
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

/* Parses and prints a job's status. Returns the exit code. */
static int
print_answer (const HrClientOptions *options, const HrAnswer *answer, HrJobStatus *status)
{
  gsize size;
  const char *text = hr_answer_text (answer, &size);
  if ((answer->status != 200 && answer->status != 201) || !hr_job_status_read (text, size, status))
    return report_failure (answer);
  print_status (options, status);
  return 0;
}

static int
request_and_print (const HrClientOptions *options, HrClient *client, const char *method,
                   const char *path, guint timeout_s)
{
  g_auto (HrAnswer) answer = hr_client_request (client, method, path, NULL, timeout_s);
  g_auto (HrJobStatus) status = {0};
  return print_answer (options, &answer, &status);
}

/* ---- commands ---- */

/* Returns the body of the submission: the contents of --file, or made from the other options. */
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
    g_set_error_literal (
        error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
        "--class, --team, --image and --cpus are required, unless --file is given");
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
    return usage_error (error ? error->message : "the submission cannot be read");
  g_autofree char *id = hr_submission_id (body, strlen (body));
  if (!id)
    return usage_error ("the job has no valid id: expected `job-` and letters, digits, - _ .");
  g_auto (HrAnswer) answer =
      hr_client_request (client, "POST", HR_JOBS_PATH, body, WRITE_TIMEOUT_S);
  g_auto (HrJobStatus) status = {0};
  int code = print_answer (options, &answer, &status);
  if (code == 0 || code == EXIT_GAVE_UP) /* a submission without an answer may have been accepted */
    hr_history_add (id);
  return code;
}

static int
status (HrClientOptions *options, HrClient *client, const char *id)
{
  g_autofree char *path = hr_job_path (id);
  if (!options->watch)
    return request_and_print (options, client, "GET", path, READ_TIMEOUT_S);
  g_autofree char *last = NULL;
  for (;;) {
    g_auto (HrAnswer) answer = hr_client_request (client, "GET", path, NULL, READ_TIMEOUT_S);
    g_auto (HrJobStatus) read = {0};
    gsize size;
    const char *text = hr_answer_text (&answer, &size);
    g_autofree char *current = g_strndup (text ? text : "", size);
    if (answer.status != 200 || !hr_job_status_read (text, size, &read))
      return report_failure (&answer);
    if (g_strcmp0 (current, last) != 0)
      print_status (options, &read);
    g_free (last);
    last = g_steal_pointer (&current);
    if (hr_job_status_is_final (&read))
      return hr_job_status_is_cancelled (&read) ? EXIT_CANCELLED : 0;
    g_usleep ((gulong)WATCH_INTERVAL_S * G_USEC_PER_SEC);
  }
}

static int
cancel (HrClientOptions *options, HrClient *client, const char *id)
{
  g_autofree char *path = hr_cancel_path (id);
  return request_and_print (options, client, "POST", path, WRITE_TIMEOUT_S);
}

static int
list (HrClientOptions *options, HrClient *client, const char *unused G_GNUC_UNUSED)
{
  g_autoptr (GPtrArray) ids = hr_history_ids ();
  int code = 0;
  for (guint i = 0; i < ids->len; i++) {
    g_autofree char *path = hr_job_path (ids->pdata[i]);
    int exit_code = request_and_print (options, client, "GET", path, READ_TIMEOUT_S);
    code = MAX (code, exit_code);
    if (exit_code == EXIT_GAVE_UP)
      break; /* requests for the other jobs would fail as well */
  }
  return code;
}

/* Returns the value of a metric; -1 when the answer does not contain it. */
static double
metric_value (const HrAnswer *answer, const char *name)
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
  gboolean leads = metric_value (metrics, "hoprock_leads") == 1;
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
        hr_client_get_once (client, client->servers[i], HR_READY_PATH, READ_TIMEOUT_S);
    g_auto (HrAnswer) metrics =
        hr_client_get_once (client, client->servers[i], METRICS_PATH, READ_TIMEOUT_S);
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
find_command (const char *name)
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
    return usage_error (error->message);
  const Command *command = find_command (argc > 1 ? argv[1] : NULL);
  if (!command)
    return usage_error ("expected a command: submit, status, cancel, list or nodes");
  if (argc != (command->takes_id ? 3 : 2))
    return usage_error (command->takes_id ? "expected one job id" : "unexpected argument");
  if (command->takes_id && !hr_job_id_valid (argv[2]))
    return usage_error ("not a valid job id: expected `job-` and letters, digits, - _ .");
  const char *default_servers = g_getenv ("HOPROCK_SERVER");
  const char *servers = options.server    ? options.server
                        : default_servers ? default_servers
                                          : "127.0.0.1:8080";
  int code = hr_client_init (&client, servers, options.quiet)
                 ? command->run (&options, &client, command->takes_id ? argv[2] : NULL)
                 : usage_error ("--server contains no address");
  hr_client_clear (&client);
  return code;
}
