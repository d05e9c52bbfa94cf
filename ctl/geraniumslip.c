/** @file geraniumslip.c The operators' command: options and subcommands. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

static const struct {
	const char *name;
	command_fn_t run;
	int min_args;
	const char *args; /* as the usage message shows them */
	const char *help;
} commands[] = {
	{ "check", command_check, 1, "FILE",
	  "check a configuration for faults" },
	{ "check-routes", command_check_routes, 1, "FILE",
	  "find faults and mistakes in a configuration of routes" },
	{ "diff", command_diff, 2, "OLD NEW", "compare two configurations" },
	{ "route", command_route, 3, "FILE HOST PATH",
	  "find the route of a request" },
	{ "status", command_status, 0, "", "show the state of each daemon" },
	{ "upstreams", command_upstreams, 0, "",
	  "show servers as reported by each daemon" },
	{ "explain", command_explain, 1, "SERVICE",
	  "show how daemons rank the servers of a service" },
	{ "top", command_top, 0, "", "show counter increments once a second" },
	{ "drain", command_drain, 0, "", "stop daemons gracefully" },
	{ "trace", command_trace, 2, "ID LOG...",
	  "show the log lines of a query" },
};

#define NCOMMANDS (sizeof(commands) / sizeof(commands[0]))

static int usage(void)
{
	size_t i;

	fputs("usage: geraniumslip [options] COMMAND [arguments]\n", stderr);
	for (i = 0; i < NCOMMANDS; i++)
		fprintf(stderr, "  %-12s %-14s %s\n", commands[i].name,
			commands[i].args, commands[i].help);
	return CTL_USAGE;
}

static bool read_token(ctl_t *c)
{
	if (!c->token_file)
		return true;
	if (!g_file_get_contents(c->token_file, &c->token, NULL, NULL)) {
		fprintf(stderr, "geraniumslip: %s: cannot be read\n",
			c->token_file);
		return false;
	}
	g_strstrip(c->token);
	return true;
}

static int run(ctl_t *c, const char *name)
{
	size_t i;

	for (i = 0; i < NCOMMANDS; i++) {
		if (strcmp(commands[i].name, name) != 0)
			continue;
		if (c->nargs < commands[i].min_args)
			return usage();
		return read_token(c) ? (int)commands[i].run(c) : CTL_USAGE;
	}
	fprintf(stderr, "geraniumslip: no such command: %s\n", name);
	return usage();
}

int main(int argc, char **argv)
{
	ctl_t c = { 0 };
	gboolean version = FALSE;
	const GOptionEntry entries[] = {
		{ "daemon", 'd', 0, G_OPTION_ARG_STRING_ARRAY, &c.daemons,
		  "Address of a daemon's administration listener; repeatable",
		  "IP:PORT" },
		{ "token-file", 't', 0, G_OPTION_ARG_FILENAME, &c.token_file,
		  "Read the administration token from FILE", "FILE" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &c.json,
		  "Print JSON instead of tables", NULL },
		{ "against", 0, 0, G_OPTION_ARG_FILENAME, &c.against,
		  "Compare with the configuration in FILE (check-routes)",
		  "FILE" },
		{ "rounds", 'n', 0, G_OPTION_ARG_INT, &c.rounds,
		  "Number of tables that top prints; 0: no limit", "N" },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *ctx = g_option_context_new("COMMAND [arguments]");
	GError *error = NULL;
	int rc = CTL_USAGE;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "geraniumslip: %s\n", error->message);
		g_error_free(error);
	} else if (version) {
		puts("geraniumslip " VERSION);
		rc = CTL_OK;
	} else if (argc < 2) {
		rc = usage();
	} else {
		c.args = argv + 2;
		c.nargs = argc - 2;
		rc = run(&c, argv[1]);
	}
	g_option_context_free(ctx);
	g_strfreev(c.daemons);
	g_free(c.token_file);
	g_free(c.against);
	g_free(c.token);
	return rc;
}
