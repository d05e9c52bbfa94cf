/** @file ctl_conf.c Commands check and diff, for configurations of searches. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libctl.h"

json_t *ctl_faults_json(const conf_faults_t *f)
{
	size_t n = f->n < CONF_MAX_FAULTS ? f->n : CONF_MAX_FAULTS;
	json_t *a = json_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(a, json_pack("{ss ss ss}", "path",
						   f->v[i].path, "fault",
						   conf_strerror(f->v[i].err),
						   "detail", f->v[i].detail));
	return a;
}

void ctl_print_json(json_t *o)
{
	char *text = json_dumps(o, JSON_INDENT(1));

	puts(text);
	free(text);
	json_decref(o);
}

bool ctl_read_file(const char *file, str_t *text, ctl_exit_t *status)
{
	gchar *bytes = NULL;
	gsize sz;

	if (!g_file_get_contents(file, &bytes, &sz, NULL)) {
		fprintf(stderr, "geraniumslip: %s: cannot be read\n", file);
		*status = CTL_USAGE;
		return false;
	}
	*text = (str_t){ bytes, sz };
	return true;
}

/* Like ctl_read_conf(), but adds the faults to f instead of printing them. */
static conf_t *read_conf(const char *file, conf_faults_t *f, ctl_exit_t *status)
{
	conf_t *c;
	str_t text;

	if (!ctl_read_file(file, &text, status))
		return NULL;
	c = conf_parse(text, f);
	*status = c ? CTL_OK : CTL_FAULTS;
	str_free(text);
	return c;
}

conf_t *ctl_read_conf(const char *file, ctl_exit_t *status)
{
	conf_faults_t *f = g_new0(conf_faults_t, 1);
	conf_t *c = read_conf(file, f, status);

	if (f->n) {
		fprintf(stderr, "%s:\n", file);
		conf_print_faults(stderr, f);
	}
	g_free(f);
	return c;
}

void ctl_print_check(const ctl_t *c, const char *file, const conf_faults_t *f,
		     uint64_t revision)
{
	if (c->json)
		ctl_print_json(json_pack("{sb so}", "valid", f->n == 0,
					 "faults", ctl_faults_json(f)));
	else if (f->n == 0)
		printf("%s: valid, revision %llu\n", file,
		       (unsigned long long)revision);
	else
		conf_print_faults(stdout, f);
}

static ctl_exit_t check_searches(ctl_t *c, const char *file)
{
	conf_faults_t *f = g_new0(conf_faults_t, 1);
	ctl_exit_t status;
	conf_t *conf = read_conf(file, f, &status);

	if (status != CTL_USAGE)
		ctl_print_check(c, file, f, conf ? conf->revision : 0);
	conf_free(conf);
	g_free(f);
	return status;
}

ctl_exit_t command_check(ctl_t *c)
{
	return ctl_has_routes(c->args[0]) ? ctl_check_routes(c, c->args[0])
					  : check_searches(c, c->args[0]);
}

void ctl_diff_add(ctl_diff_t *d, bool warn, const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	d->has_warnings |= warn;
	json_array_append_new(
		d->rows, json_pack("{sb ss}", "warning", warn, "change", text));
}

static const conf_group_t *find_group(const conf_service_t *s, str_t name)
{
	size_t i;

	for (i = 0; i < s->ngroups; i++)
		if (str_eq(s->groups[i].name, name))
			return &s->groups[i];
	return NULL;
}

static bool has_server(const conf_group_t *g, str_t addr)
{
	size_t i;

	for (i = 0; i < g->nservers; i++)
		if (str_eq(g->servers[i].addr, addr))
			return true;
	return false;
}

static void diff_group(ctl_diff_t *d, const conf_service_t *s,
		       const conf_group_t *a, const conf_group_t *b)
{
	size_t kept = 0, i;

	for (i = 0; i < a->nservers; i++)
		kept += has_server(b, a->servers[i].addr);
	if (kept == a->nservers && kept == b->nservers)
		return;
	ctl_diff_add(d, b->nservers < a->nservers || kept == 0,
		     "%.*s/%.*s: %zu servers become %zu, %zu of them stay%s",
		     STR_ARG(s->name), STR_ARG(a->name), a->nservers,
		     b->nservers, kept,
		     kept ? "" : ": all connections are reopened");
}

static void diff_number(ctl_diff_t *d, const conf_service_t *s,
			const char *what, unsigned long a, unsigned long b,
			bool warn_if_less)
{
	if (a != b)
		ctl_diff_add(d, warn_if_less && b < a,
			     "%.*s: %s %lu becomes %lu", STR_ARG(s->name), what,
			     a, b);
}

static void diff_class(ctl_diff_t *d, const conf_service_t *s,
		       const conf_class_t *a, const conf_class_t *b)
{
	char what[128];

	snprintf(what, sizeof(what), "class %.*s: deadline in ms",
		 STR_ARG(a->name));
	diff_number(d, s, what, (unsigned long)(a->deadline / 1000),
		    (unsigned long)(b->deadline / 1000), false);
	snprintf(what, sizeof(what), "class %.*s: soft deadline in ms",
		 STR_ARG(a->name));
	diff_number(d, s, what, (unsigned long)(a->soft_deadline / 1000),
		    (unsigned long)(b->soft_deadline / 1000), false);
	snprintf(what, sizeof(what), "class %.*s: least coverage in 1/1000",
		 STR_ARG(a->name));
	diff_number(d, s, what, a->min_coverage_permille,
		    b->min_coverage_permille, true);
	if (a->idempotent != b->idempotent)
		ctl_diff_add(d, b->idempotent,
			     "%.*s: class %.*s becomes %s: its requests may%s "
			     "run twice",
			     STR_ARG(s->name), STR_ARG(a->name),
			     b->idempotent ? "idempotent" : "non-idempotent",
			     b->idempotent ? "" : " not");
}

static void diff_classes(ctl_diff_t *d, const conf_service_t *a,
			 const conf_service_t *b)
{
	const conf_class_t *k;
	size_t i;

	for (i = 0; i < a->nclasses; i++) {
		k = conf_class(b, a->classes[i].name);
		if (k)
			diff_class(d, a, &a->classes[i], k);
		else
			ctl_diff_add(d, true, "%.*s: class %.*s is removed",
				     STR_ARG(a->name),
				     STR_ARG(a->classes[i].name));
	}
	for (i = 0; i < b->nclasses; i++)
		if (!conf_class(a, b->classes[i].name))
			ctl_diff_add(d, false, "%.*s: class %.*s is added",
				     STR_ARG(b->name),
				     STR_ARG(b->classes[i].name));
}

static void diff_service(ctl_diff_t *d, const conf_service_t *a,
			 const conf_service_t *b)
{
	const conf_group_t *g;
	size_t i;

	diff_number(d, a, "partition map", a->map_version, b->map_version,
		    true);
	diff_number(d, a, "slots", a->slots, b->slots, true);
	diff_number(d, a, "connections", a->connections, b->connections, true);
	diff_number(d, a, "holders", a->holders, b->holders, false);
	diff_number(d, a, "groups", a->ngroups, b->ngroups,
		    a->map_version == b->map_version);
	for (i = 0; i < a->ngroups; i++) {
		g = find_group(b, a->groups[i].name);
		if (g)
			diff_group(d, a, &a->groups[i], g);
	}
	diff_classes(d, a, b);
}

static void diff_searches(ctl_diff_t *d, const conf_t *a, const conf_t *b)
{
	const conf_service_t *s;
	size_t i;

	if (b->revision <= a->revision)
		ctl_diff_add(
			d, true,
			"revision %llu is not above %llu: no daemon will take "
			"it",
			(unsigned long long)b->revision,
			(unsigned long long)a->revision);
	if (a->max_daemons != b->max_daemons)
		ctl_diff_add(d, b->max_daemons < a->max_daemons,
			     "maximum number of daemons: %u becomes %u",
			     a->max_daemons, b->max_daemons);
	for (i = 0; i < a->nservices; i++) {
		s = conf_service(b, a->services[i].name);
		if (s)
			diff_service(d, &a->services[i], s);
		else
			ctl_diff_add(d, true, "%.*s: the service is removed",
				     STR_ARG(a->services[i].name));
	}
	for (i = 0; i < b->nservices; i++)
		if (!conf_service(a, b->services[i].name))
			ctl_diff_add(d, false, "%.*s: the service is added",
				     STR_ARG(b->services[i].name));
}

static void print_diff(const ctl_diff_t *d)
{
	json_t *row;
	size_t i;

	json_array_foreach(d->rows, i, row)
		printf("%s %s\n",
		       json_is_true(json_object_get(row, "warning"))
			       ? "WARNING"
			       : "       ",
		       json_string_value(json_object_get(row, "change")));
	if (json_array_size(d->rows) == 0)
		puts("no differences");
}

ctl_exit_t ctl_print_diff(const ctl_t *c, ctl_diff_t *d)
{
	ctl_exit_t status = CTL_OK;

	if (json_array_size(d->rows))
		status = d->has_warnings ? CTL_WARNINGS : CTL_FAULTS;
	if (c->json) {
		ctl_print_json(d->rows);
	} else {
		print_diff(d);
		json_decref(d->rows);
	}
	d->rows = NULL;
	return status;
}

ctl_exit_t command_diff(ctl_t *c)
{
	ctl_diff_t d = { 0 };
	ctl_exit_t status;
	conf_t *a, *b;

	if (ctl_has_routes(c->args[0]))
		return ctl_diff_routes(c, c->args[0], c->args[1]);
	a = ctl_read_conf(c->args[0], &status);
	b = a ? ctl_read_conf(c->args[1], &status) : NULL;
	if (b) {
		d.rows = json_array();
		diff_searches(&d, a, b);
		status = ctl_print_diff(c, &d);
	}
	conf_free(a);
	conf_free(b);
	return status;
}
