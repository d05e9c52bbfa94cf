/**
 * @file ctl_trace.c
 * Command trace: the log lines of one query, from the logs of several daemons.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

static bool has_id(json_t *o, const char *id)
{
	/* Daemons assign the ids of queries and attempts; the caller assigns
	 * the id of a routed request. */
	static const char *const keys[] = { "query", "attempt", "request" };
	const char *value;
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		value = json_string_value(json_object_get(o, keys[i]));
		if (value && strcmp(value, id) == 0)
			return true;
	}
	return false;
}

static void read_log(json_t *rows, const char *file, const char *id)
{
	char *line = NULL;
	size_t capacity = 0;
	ssize_t n;
	FILE *f = fopen(file, "r");
	json_t *o;

	if (!f) {
		fprintf(stderr, "geraniumslip: %s: cannot be read\n", file);
		return;
	}
	while ((n = getline(&line, &capacity, f)) > 0) {
		/* Skip parsing of lines that belong to other queries. */
		if (!strstr(line, id))
			continue;
		o = json_loadb(line, (size_t)n, 0, NULL);
		if (o && has_id(o, id)) {
			json_object_set_new(o, "log", json_string(file));
			json_array_append(rows, o);
		}
		json_decref(o);
	}
	free(line);
	fclose(f);
}

static int compare_times(const void *x, const void *y)
{
	double a =
		json_number_value(json_object_get(*(json_t *const *)x, "time"));
	double b =
		json_number_value(json_object_get(*(json_t *const *)y, "time"));

	return (a > b) - (a < b);
}

static void sort_rows(json_t *rows)
{
	size_t n = json_array_size(rows), i;
	json_t **v = g_new0(json_t *, n + 1);

	for (i = 0; i < n; i++)
		v[i] = json_incref(json_array_get(rows, i));
	qsort(v, n, sizeof(*v), compare_times);
	json_array_clear(rows);
	for (i = 0; i < n; i++)
		json_array_append_new(rows, v[i]);
	g_free(v);
}

ctl_exit_t command_trace(ctl_t *c)
{
	static const char *const columns[] = {
		"log",	 "time",   "msg",    "why",	 "attempt", "service",
		"group", "server", "result", "snapshot", "version", "n",
		"us",	 "age_us", "score",  NULL
	};
	json_t *rows = json_array();
	ctl_exit_t status;
	int i;

	for (i = 1; i < c->nargs; i++)
		read_log(rows, c->args[i], c->args[0]);
	sort_rows(rows);
	status = json_array_size(rows) ? CTL_OK : CTL_FAULTS;
	ctl_print_rows(c, rows, columns);
	return status;
}
