/* The command line's options. */
#pragma once
#include "protocol/messages.h"

typedef struct {
  char *server;
  gboolean json, quiet, watch;
  char *file;
  HrSubmission job;
} HrClientOptions;

/**
 * hr_client_options_parse:
 * @options: zeroed, but for defaults; to be cleared in any case
 * @argc: (inout): as in main(); what is no option is left
 * @argv: (inout): as in main()
 * @error: a #GOptionError
 *
 * Ends the program after --help.
 *
 * Returns: %FALSE with @error set when an option is not known or lacks its value
 */
gboolean hr_client_options_parse (HrClientOptions *options, int *argc, char ***argv,
                                  GError **error);

/**
 * hr_client_options_clear:
 *
 * Frees what the options hold.
 */
void hr_client_options_clear (HrClientOptions *options);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrClientOptions, hr_client_options_clear)
