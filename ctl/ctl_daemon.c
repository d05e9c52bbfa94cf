/** @file ctl_daemon.c Commands that query or drain running daemons. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

#define METRIC_PREFIX "geraniumslip_"

static bool require_daemons(const ctl_t *c)
{
	if (c->daemons && *c->daemons)
		return true;
	fputs("geraniumslip: name a daemon with --daemon IP:PORT\n", stderr);
	return false;
}

ctl_exit_t command_status(ctl_t *c)
{
	static const char *const columns[] = { "daemon",
					       "ready",
					       "stopping",
					       "revision",
					       "hash",
					       "list_version",
					       "list_age_s",
					       "platform_read",
					       "reads",
					       "daemons",
					       "daemons_suspected",
					       "evacuated",
					       "open_queries",
					       "settings_refused",
					       "settings_faults",
					       NULL };
	json_t *rows = json_array();
	ctl_exit_t status = CTL_OK;
	gchar **d;
	json_t *o;

	if (!require_daemons(c)) {
		json_decref(rows);
		return CTL_USAGE;
	}
	for (d = c->daemons; *d; d++) {
		o = ctl_get_json(c, *d, "/v1/status");
		if (!o) {
			status = CTL_UNREACHABLE;
			continue;
		}
		json_object_set_new(o, "daemon", json_string(*d));
		json_array_append_new(rows, o);
	}
	ctl_print_rows(c, rows, columns);
	return status;
}

/* Prints the servers that each daemon reports: those of one service, or all if
 * service is NULL. */
static ctl_exit_t print_upstreams(ctl_t *c, const char *service,
				  const char *const *columns)
{
	json_t *rows = json_array();
	ctl_exit_t status = CTL_OK;
	json_t *all, *o;
	const char *name;
	gchar **d;
	size_t i;

	if (!require_daemons(c)) {
		json_decref(rows);
		return CTL_USAGE;
	}
	for (d = c->daemons; *d; d++) {
		all = ctl_get_json(c, *d, "/v1/upstreams");
		if (!all)
			status = CTL_UNREACHABLE;
		json_array_foreach(all, i, o) {
			name = json_string_value(json_object_get(o, "service"));
			if (service && (!name || strcmp(name, service) != 0))
				continue;
			json_object_set_new(o, "daemon", json_string(*d));
			json_array_append(rows, o);
		}
		json_decref(all);
	}
	ctl_print_rows(c, rows, columns);
	return status;
}

ctl_exit_t command_upstreams(ctl_t *c)
{
	static const char *const columns[] = { "daemon",
					       "service",
					       "group",
					       "addr",
					       "data_centre",
					       "leaving",
					       "inflight",
					       "connections",
					       "limit",
					       "latency_us",
					       "evidence_age_s",
					       "newest_snapshot",
					       "id",
					       "state",
					       "pace",
					       "failing",
					       NULL };

	return print_upstreams(c, NULL, columns);
}

ctl_exit_t command_explain(ctl_t *c)
{
	static const char *const columns[] = { "group",	      "addr",
					       "state",	      "order",
					       "expected_us", "newest_snapshot",
					       "inflight",    "limit",
					       "connections", "evidence_age_s",
					       "id",	      "pace",
					       "failing",     NULL };

	return print_upstreams(c, c->args[0], columns);
}

ctl_exit_t command_drain(ctl_t *c)
{
	ctl_exit_t status = CTL_OK;
	gchar **d;

	if (!require_daemons(c))
		return CTL_USAGE;
	for (d = c->daemons; *d; d++) {
		char *text = ctl_request(c, *d, "POST", "/v1/drain");

		if (text)
			printf("%s: draining\n", *d);
		else
			status = CTL_UNREACHABLE;
		g_free(text);
	}
	return status;
}

/* The value of a metric in the text of /metrics; 0 if it is missing. */
static double metric_value(const char *text, const char *name)
{
	char *pattern = g_strdup_printf("\n" METRIC_PREFIX "%s ", name);
	const char *match = strstr(text, pattern);
	double v = match ? g_ascii_strtod(match + strlen(pattern), NULL) : 0;

	g_free(pattern);
	return v;
}

/* Increments of a daemon's counters since the values in previous, which are
 * updated. Without an answer, the row has the daemon's address only. */
static json_t *counter_increments(const ctl_t *c, const char *daemon,
				  double *previous)
{
	static const char *const names[] = { "queries_total",
					     "first_attempts_total",
					     "hedges_total",
					     "retries_total",
					     "shed_total",
					     "lost_total",
					     NULL };
	json_t *o = json_pack("{ss}", "daemon", daemon);
	char *text = ctl_request(c, daemon, "GET", "/metrics");
	size_t i;

	for (i = 0; names[i] && text; i++) {
		double value = metric_value(text, names[i]);
		char *key = g_strndup(names[i],
				      strlen(names[i]) - strlen("_total"));

		json_object_set_new(o, key, json_real(value - previous[i]));
		g_free(key);
		previous[i] = value;
	}
	g_free(text);
	return o;
}

ctl_exit_t command_top(ctl_t *c)
{
	static const char *const columns[] = { "daemon",	 "queries",
					       "first_attempts", "hedges",
					       "retries",	 "shed",
					       "lost",		 NULL };
	guint n = c->daemons ? g_strv_length(c->daemons) : 0;
	double(*previous)[8]; /* counters of each daemon */
	gint round;
	guint i;

	if (!require_daemons(c))
		return CTL_USAGE;
	previous = g_malloc0_n(n, sizeof(*previous));
	for (round = 0; c->rounds == 0 || round <= c->rounds; round++) {
		json_t *rows = json_array();

		for (i = 0; i < n; i++)
			json_array_append_new(
				rows, counter_increments(c, c->daemons[i],
							 previous[i]));
		/* Round 0 only reads the initial counter values. */
		if (round)
			ctl_print_rows(c, rows, columns);
		else
			json_decref(rows);
		fflush(stdout);
		if (c->rounds == 0 || round < c->rounds)
			g_usleep(G_USEC_PER_SEC);
	}
	g_free(previous);
	return CTL_OK;
}
