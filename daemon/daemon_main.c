/** @file daemon_main.c Command line of both daemons. */
#include <stdio.h>
#include <stdlib.h>

#include "libcommon.h"

static const char *const error_texts[DAEMON_E_MAX] = {
	[DAEMON_OK] = "no error",
	[DAEMON_E_SETTINGS] = "the settings are not valid",
	[DAEMON_E_LISTEN] = "cannot listen on a configured address",
	[DAEMON_E_THREAD] = "cannot start a thread",
	[DAEMON_E_PEER] = "cannot open the peer socket",
	[DAEMON_E_MODE] = "the settings are for the other program",
};

const char *daemon_strerror(daemon_err_t e)
{
	return e < DAEMON_E_MAX ? error_texts[e] : "unknown error";
}

int daemon_main(int argc, char **argv, const char *program, daemon_run_fn_t run)
{
	gchar *file = NULL;
	gboolean version = FALSE;
	GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &file,
		  "Read the settings from FILE", "FILE" },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *ctx = g_option_context_new("- answer queries");
	GError *error = NULL;
	daemon_err_t err = DAEMON_E_SETTINGS;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "%s: %s\n", program, error->message);
		g_error_free(error);
	} else if (version) {
		printf("%s " VERSION "\n", program);
		err = DAEMON_OK;
	} else if (!file || argc > 1) {
		fprintf(stderr, "usage: %s --settings FILE\n", program);
	} else {
		err = run(file);
		if (err != DAEMON_OK)
			fprintf(stderr, "%s: %s\n", program,
				daemon_strerror(err));
	}
	g_option_context_free(ctx);
	g_free(file);
	return err == DAEMON_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
