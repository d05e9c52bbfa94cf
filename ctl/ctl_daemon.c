/** @file ctl_daemon.c Commands on running daemons. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

#define METRIC_PREFIX "geraniumslip_"

static bool has_daemons(const ctl_t *c)
{
	if (c->daemons && *c->daemons)
		return true;
	fputs("geraniumslip: name a daemon with --daemon IP:PORT\n", stderr);
	return false;
}

ctl_exit_t command_status(ctl_t *c)
{
	static const char *const columns[] = {
		"daemon", "ready",	  "stopping",	       "revision",
		"hash",	  "list_version", "list_age_s",	       "platform_read",
		"reads",  "daemons",	  "daemons_suspected", "open_queries",
		NULL
	};
	json_t *rows = json_array();
	ctl_exit_t status = CTL_OK;
	gchar **d;
	json_t *o;

	if (!has_daemons(c)) {
		json_decref(rows);
		return CTL_USAGE;
	}
	for (d = c->daemons; *d; d++) {
		o = ctl_ask_json(c, *d, "/v1/status");
		if (!o) {
			status = CTL_UNREACHED;
			continue;
		}
		json_object_set_new(o, "daemon", json_string(*d));
		json_array_append_new(rows, o);
	}
	ctl_print(c, rows, columns);
	return status;
}

/* Servers of one service, or of all, from each daemon. */
static ctl_exit_t upstreams(ctl_t *c, const char *service,
			    const char *const *columns)
{
	json_t *rows = json_array();
	ctl_exit_t status = CTL_OK;
	json_t *all, *o;
	const char *name;
	gchar **d;
	size_t i;

	if (!has_daemons(c)) {
		json_decref(rows);
		return CTL_USAGE;
	}
	for (d = c->daemons; *d; d++) {
		all = ctl_ask_json(c, *d, "/v1/upstreams");
		if (!all)
			status = CTL_UNREACHED;
		json_array_foreach(all, i, o) {
			name = json_string_value(json_object_get(o, "service"));
			if (service && (!name || strcmp(name, service) != 0))
				continue;
			json_object_set_new(o, "daemon", json_string(*d));
			json_array_append(rows, o);
		}
		json_decref(all);
	}
	ctl_print(c, rows, columns);
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

	return upstreams(c, NULL, columns);
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

	return upstreams(c, c->args[0], columns);
}

ctl_exit_t command_drain(ctl_t *c)
{
	ctl_exit_t status = CTL_OK;
	gchar **d;

	if (!has_daemons(c))
		return CTL_USAGE;
	for (d = c->daemons; *d; d++) {
		char *text = ctl_ask(c, *d, "POST", "/v1/drain");

		if (text)
			printf("%s: draining\n", *d);
		else
			status = CTL_UNREACHED;
		g_free(text);
	}
	return status;
}

static double metric(const char *text, const char *name)
{
	char *mark = g_strdup_printf("\n" METRIC_PREFIX "%s ", name);
	const char *at = strstr(text, mark);
	double v = at ? g_ascii_strtod(at + strlen(mark), NULL) : 0;

	g_free(mark);
	return v;
}

static json_t *rates(const ctl_t *c, const char *daemon, double *before)
{
	static const char *const names[] = { "queries_total",
					     "first_attempts_total",
					     "hedges_total",
					     "retries_total",
					     "shed_total",
					     "lost_total",
					     NULL };
	json_t *o = json_pack("{ss}", "daemon", daemon);
	char *text = ctl_ask(c, daemon, "GET", "/metrics");
	size_t i;

	for (i = 0; names[i] && text; i++) {
		double now = metric(text, names[i]);
		char *label = g_strndup(names[i], strlen(names[i]) - 6);

		json_object_set_new(o, label, json_real(now - before[i]));
		g_free(label);
		before[i] = now;
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
	double(*before)[8];
	gint round;
	guint i;

	if (!has_daemons(c))
		return CTL_USAGE;
	before = g_malloc0_n(n, sizeof(*before));
	for (round = 0; c->rounds == 0 || round <= c->rounds; round++) {
		json_t *rows = json_array();

		for (i = 0; i < n; i++)
			json_array_append_new(
				rows, rates(c, c->daemons[i], before[i]));
		if (round)
			ctl_print(c, rows, columns);
		else
			json_decref(rows);
		fflush(stdout);
		if (c->rounds == 0 || round < c->rounds)
			g_usleep(G_USEC_PER_SEC);
	}
	g_free(before);
	return CTL_OK;
}
