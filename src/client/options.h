/* Options of the command-line client. */
#pragma once
#include "protocol/messages.h"

/* The parsed command line. `job` holds the options of the command submit. */
typedef struct {
  char *server;
  gboolean json, quiet, watch;
  char *file;
  HrSubmission job;
} HrClientOptions;

/**
 * hr_client_options_parse:
 * @options: zeroed, except for defaults; to be cleared even after a failure
 * @argc: (inout): as in main(); arguments that are not options remain
 * @argv: (inout): as in main()
 * @error: a #GOptionError
 *
 * Parses the command line. With --help, prints the usage and ends the program.
 *
 * Returns: %FALSE with @error set when an option is unknown or has no valid value
 */
gboolean hr_client_options_parse (HrClientOptions *options, int *argc, char ***argv,
                                  GError **error);

/**
 * hr_client_options_clear:
 *
 * Frees the strings of the options.
 */
void hr_client_options_clear (HrClientOptions *options);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrClientOptions, hr_client_options_clear)
