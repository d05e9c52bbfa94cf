/** @file geraniumslipd.c Command line and signals of the daemon. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "libedge.h"

static const char *const error_texts[DAEMON_E_MAX] = {
	[DAEMON_OK] = "no error",
	[DAEMON_E_SETTINGS] = "the settings are not valid",
	[DAEMON_E_LISTEN] = "cannot listen on a configured address",
	[DAEMON_E_THREAD] = "cannot start a thread",
	[DAEMON_E_PEER] = "cannot open the peer socket",
};

static engine_t *engine;
static volatile sig_atomic_t stop_signals;

const char *daemon_strerror(daemon_err_t e)
{
	return e < DAEMON_E_MAX ? error_texts[e] : "unknown error";
}

/* The first signal starts a planned stop; the second exits at once. */
static void on_signal(int sig)
{
	(void)sig;
	if (stop_signals++)
		_exit(EXIT_FAILURE);
	engine_stop(engine);
}

static void catch_signals(void)
{
	struct sigaction sa = { .sa_handler = on_signal };

	sigemptyset(&sa.sa_mask);
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static daemon_err_t run(const char *file)
{
	daemon_err_t err;
	settings_t s;

	err = settings_read(file, NULL, &s);
	if (err != DAEMON_OK)
		goto out;
	log_start(STDOUT_FILENO, s.log_level);
	if (s.protocol) {
		err = edge_run(file, &s);
		log_stop();
		goto out;
	}
	engine = engine_new(&s);
	catch_signals();
	err = engine_run(engine);
	engine_free(engine);
	log_stop();
out:
	settings_free(&s);
	return err;
}

int main(int argc, char **argv)
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
		fprintf(stderr, "geraniumslipd: %s\n", error->message);
		g_error_free(error);
	} else if (version) {
		puts("geraniumslipd " VERSION);
		err = DAEMON_OK;
	} else if (!file || argc > 1) {
		fputs("usage: geraniumslipd --settings FILE\n", stderr);
	} else {
		err = run(file);
		if (err != DAEMON_OK)
			fprintf(stderr, "geraniumslipd: %s\n",
				daemon_strerror(err));
	}
	g_option_context_free(ctx);
	g_free(file);
	return err == DAEMON_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
