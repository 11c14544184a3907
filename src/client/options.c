#include "client/options.h"

static const char usage[] = "COMMAND [OPTIONS]\n\nCommands:\n"
                            "  submit   submit a job, from options or a file\n"
                            "  status   show a job's status; with --watch until it ends\n"
                            "  cancel   cancel a job\n"
                            "  list     show the status of each job that you submitted\n"
                            "  nodes    show which controllers are ready and which one leads\n";

static GOptionGroup *
job_options (HrSubmission *submission)
{
  const GOptionEntry entries[] = {
      {"id", 0, 0, G_OPTION_ARG_STRING, &submission->id, "job id; default: random", "job-NAME"},
      {"class", 0, 0, G_OPTION_ARG_STRING, &submission->job_class,
       "job class, for run time estimates and objectives", "NAME"},
      {"team", 0, 0, G_OPTION_ARG_STRING, &submission->team, "team whose limit and guarantee apply",
       "NAME"},
      {"shape", 0, 0, G_OPTION_ARG_STRING, &submission->shape,
       "batch (independent tasks), ensemble (gang) or daemon (service)", "SHAPE"},
      {"rank", 0, 0, G_OPTION_ARG_STRING, &submission->priority,
       "priority: production, urgent, normal or low", "RANK"},
      {"tasks", 0, 0, G_OPTION_ARG_INT, &submission->tasks, "number of tasks", "N"},
      {"cpus", 0, 0, G_OPTION_ARG_DOUBLE, &submission->cpus, "CPUs of each task", "N"},
      {"gpus", 0, 0, G_OPTION_ARG_DOUBLE, &submission->accelerators, "GPUs of each task", "N"},
      {"memory", 0, 0, G_OPTION_ARG_DOUBLE, &submission->memory_gb, "memory of each task", "GB"},
      {"image", 0, 0, G_OPTION_ARG_STRING, &submission->image, "image", "NAME"},
      {"image-size", 0, 0, G_OPTION_ARG_DOUBLE, &submission->image_gb, "image size", "GB"},
      {"type", 0, 0, G_OPTION_ARG_STRING_ARRAY, &submission->types,
       "allowed machine type, repeatable", "NAME"},
      {"zone", 0, 0, G_OPTION_ARG_STRING, &submission->zone, "the only allowed zone", "NAME"},
      {"together", 0, 0, G_OPTION_ARG_NONE, &submission->one_zone, "all tasks in one zone", NULL},
      {"apart", 0, 0, G_OPTION_ARG_NONE, &submission->spread,
       "at most half of the tasks in one zone", NULL},
      {"spot", 0, 0, G_OPTION_ARG_NONE, &submission->allows_spot, "may use spot machines", NULL},
      {"estimate", 0, 0, G_OPTION_ARG_DOUBLE, &submission->estimate_s,
       "estimated run time of a task", "S"},
      {"checkpoint", 0, 0, G_OPTION_ARG_DOUBLE, &submission->checkpoint_s,
       "time between checkpoints", "S"},
      {"save", 0, 0, G_OPTION_ARG_DOUBLE, &submission->save_s,
       "time that a stopped task needs to save its state", "S"},
      {"due", 0, 0, G_OPTION_ARG_DOUBLE, &submission->deadline_s, "deadline, from now", "S"},
      {"await", 0, 0, G_OPTION_ARG_STRING_ARRAY, &submission->awaits, "job to wait for, repeatable",
       "ID"},
      {NULL}};
  GOptionGroup *group =
      g_option_group_new ("job", "Options of submit:", "Show the options of submit", NULL, NULL);
  g_option_group_add_entries (group, entries);
  return group;
}

gboolean
hr_client_options_parse (HrClientOptions *options, int *argc, char ***argv, GError **error)
{
  const GOptionEntry entries[] = {
      {"server", 's', 0, G_OPTION_ARG_STRING, &options->server,
       "addresses of controllers or of a load balancer; default: $HOPROCK_SERVER, or "
       "127.0.0.1:8080",
       "HOST:PORT,..."},
      {"json", 'j', 0, G_OPTION_ARG_NONE, &options->json, "print one JSON object per line", NULL},
      {"quiet", 'q', 0, G_OPTION_ARG_NONE, &options->quiet, "do not report retries", NULL},
      {"watch", 'w', 0, G_OPTION_ARG_NONE, &options->watch, "status: poll until the job ends",
       NULL},
      {"file", 'f', 0, G_OPTION_ARG_FILENAME, &options->file,
       "submit: read the submission from a JSON file", "FILE"},
      {NULL}};
  g_autoptr (GOptionContext) context = g_option_context_new (usage);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_group (context, job_options (&options->job));
  return g_option_context_parse (context, argc, argv, error);
}

void
hr_client_options_clear (HrClientOptions *options)
{
  HrSubmission *submission = &options->job;
  char *texts[] = {options->server,       options->file,     submission->id,
                   submission->job_class, submission->team,  submission->shape,
                   submission->priority,  submission->image, submission->zone};
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    g_free (texts[i]);
  g_strfreev (submission->types);
  g_strfreev (submission->awaits);
}
