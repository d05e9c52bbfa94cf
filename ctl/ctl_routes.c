/**
 * @file ctl_routes.c
 * Commands check, diff and route, for configurations of routes.
 */
#include <stdio.h>
#include <stdlib.h>

#include "libctl.h"

bool ctl_has_routes(const char *file)
{
	json_t *root = json_load_file(file, 0, NULL);
	bool found = json_object_get(root, "routes") != NULL;

	json_decref(root);
	return found;
}

/* Adds the faults to f; returns NULL if there are any or the file cannot be
 * read. */
static rt_conf_t *read_routes(const char *file, conf_faults_t *f,
			      ctl_exit_t *status)
{
	rt_conf_t *c;
	str_t text;

	if (!ctl_read_file(file, &text, status))
		return NULL;
	c = rt_conf_parse(text, f);
	*status = c ? CTL_OK : CTL_FAULTS;
	str_free(text);
	return c;
}

/* Like read_routes(), but prints the faults to standard error. */
static rt_conf_t *load_routes(const char *file, ctl_exit_t *status)
{
	conf_faults_t *f = g_new0(conf_faults_t, 1);
	rt_conf_t *c = read_routes(file, f, status);

	if (f->n) {
		fprintf(stderr, "%s:\n", file);
		conf_print_faults(stderr, f);
	}
	g_free(f);
	return c;
}

ctl_exit_t ctl_check_routes(ctl_t *c, const char *file)
{
	conf_faults_t *f = g_new0(conf_faults_t, 1);
	ctl_exit_t status;
	rt_conf_t *conf = read_routes(file, f, &status);

	if (status != CTL_USAGE)
		ctl_print_check(c, file, f, conf ? conf->revision : 0);
	rt_conf_unref(conf);
	g_free(f);
	return status;
}

static const rt_route_t *find_route(const rt_conf_t *c, str_t name)
{
	size_t i;

	for (i = 0; i < c->nroutes; i++)
		if (str_eq(c->routes[i].name, name))
			return &c->routes[i];
	return NULL;
}

static str_t target_service(const rt_conf_t *c, const rt_route_t *r, size_t i)
{
	return c->services[r->targets[i].service_index].name;
}

static const rt_target_t *find_target(const rt_conf_t *c, const rt_route_t *r,
				      str_t service)
{
	size_t i;

	for (i = 0; i < r->ntargets; i++)
		if (str_eq(target_service(c, r, i), service))
			return &r->targets[i];
	return NULL;
}

static void diff_number(ctl_diff_t *d, const rt_route_t *r, const char *what,
			long long a, long long b, bool warn)
{
	if (a != b)
		ctl_diff_add(d, warn, "%.*s: %s %lld becomes %lld",
			     STR_ARG(r->name), what, a, b);
}

/* Compares the services of a route and their weights. */
static void diff_targets(ctl_diff_t *d, const rt_conf_t *old,
			 const rt_route_t *a, const rt_conf_t *new,
			 const rt_route_t *b)
{
	size_t kept = 0, i;
	const rt_target_t *t;

	for (i = 0; i < a->ntargets; i++) {
		t = find_target(new, b, target_service(old, a, i));
		kept += t != NULL;
		if (t && a->mode == RT_ONE_SERVICE &&
		    b->mode == RT_ONE_SERVICE &&
		    t->weight != a->targets[i].weight)
			ctl_diff_add(d, t->weight == 0,
				     "%.*s: weight of %.*s %g becomes %g",
				     STR_ARG(a->name),
				     STR_ARG(target_service(old, a, i)),
				     a->targets[i].weight, t->weight);
	}
	if (kept == a->ntargets && kept == b->ntargets)
		return;
	ctl_diff_add(d, kept == 0,
		     "%.*s: %zu services become %zu, %zu of them stay",
		     STR_ARG(a->name), a->ntargets, b->ntargets, kept);
}

/* Compares route a of configuration old with route b of configuration new. */
static void diff_route(ctl_diff_t *d, const rt_conf_t *old, const rt_route_t *a,
		       const rt_conf_t *new, const rt_route_t *b)
{
	if (!str_eq(a->host, b->host) || !str_eq(a->prefix, b->prefix))
		ctl_diff_add(d, true, "%.*s: %.*s%.*s becomes %.*s%.*s",
			     STR_ARG(a->name), STR_ARG(a->host),
			     STR_ARG(a->prefix), STR_ARG(b->host),
			     STR_ARG(b->prefix));
	if (a->mode != b->mode)
		ctl_diff_add(
			d, true, "%.*s: %s", STR_ARG(a->name),
			b->mode == RT_SHARDS
				? "requests go to all services instead of one"
				: "requests go to one service instead of all");
	if (a->idempotent != b->idempotent)
		ctl_diff_add(d, b->idempotent, "%.*s: requests may%s run twice",
			     STR_ARG(a->name), b->idempotent ? "" : " not");
	diff_number(d, a, "deadline in ms", a->deadline / USEC_PER_MSEC,
		    b->deadline / USEC_PER_MSEC, false);
	diff_number(d, a, "objective in ms", a->objective / USEC_PER_MSEC,
		    b->objective / USEC_PER_MSEC, false);
	diff_number(d, a, "attempts", a->attempts, b->attempts,
		    b->attempts < a->attempts);
	diff_number(d, a, "priority", a->priority, b->priority, false);
	diff_number(d, a, "records", (long long)a->max_records,
		    (long long)b->max_records, b->max_records < a->max_records);
	diff_number(d, a, "least coverage in 1/1000",
		    (long long)(a->min_coverage * 1000),
		    (long long)(b->min_coverage * 1000),
		    b->min_coverage < a->min_coverage);
	diff_targets(d, old, a, new, b);
}

static void diff_routes(ctl_diff_t *d, const rt_conf_t *a, const rt_conf_t *b)
{
	const rt_route_t *r;
	size_t i;

	for (i = 0; i < a->nroutes; i++) {
		r = find_route(b, a->routes[i].name);
		if (r)
			diff_route(d, a, &a->routes[i], b, r);
		else
			ctl_diff_add(d, true, "%.*s: the route is removed",
				     STR_ARG(a->routes[i].name));
	}
	for (i = 0; i < b->nroutes; i++)
		if (!find_route(a, b->routes[i].name))
			ctl_diff_add(d, false, "%.*s: the route is added",
				     STR_ARG(b->routes[i].name));
}

static void diff_services(ctl_diff_t *d, const rt_conf_t *a, const rt_conf_t *b)
{
	size_t i, at;

	for (i = 0; i < a->nservices; i++) {
		const rt_service_t *s = &a->services[i];

		at = rt_conf_service_index(b, s->name);
		if (at == b->nservices)
			continue; /* removed: reported with its routes */
		if (b->services[at].connections != s->connections)
			ctl_diff_add(
				d, b->services[at].connections < s->connections,
				"%.*s: connections %u become %u",
				STR_ARG(s->name), s->connections,
				b->services[at].connections);
	}
}

ctl_exit_t ctl_diff_routes(ctl_t *c, const char *before, const char *after)
{
	ctl_diff_t d = { 0 };
	ctl_exit_t status;
	rt_conf_t *a = load_routes(before, &status);
	rt_conf_t *b = a ? load_routes(after, &status) : NULL;

	if (!b)
		goto out;
	d.rows = json_array();
	if (b->revision <= a->revision)
		ctl_diff_add(
			&d, true,
			"revision %llu is not above %llu: no daemon will take "
			"it",
			(unsigned long long)b->revision,
			(unsigned long long)a->revision);
	diff_services(&d, a, b);
	diff_routes(&d, a, b);
	status = ctl_print_diff(c, &d);
out:
	rt_conf_unref(a);
	rt_conf_unref(b);
	return status;
}

static json_t *targets_json(const rt_conf_t *c, const rt_route_t *r)
{
	json_t *a = json_array();
	size_t i;

	for (i = 0; i < r->ntargets; i++) {
		str_t name = target_service(c, r, i);

		json_array_append_new(
			a,
			json_pack(
				"{ss% sI sI}", "service", name.s, name.sz,
				"weight", (json_int_t)r->targets[i].weight,
				"connections",
				(json_int_t)c
					->services[r->targets[i].service_index]
					.connections));
	}
	return a;
}

static void print_route(const rt_conf_t *c, const rt_route_t *r)
{
	size_t i;

	printf("route %.*s: %.*s%.*s, %s, priority %u\n", STR_ARG(r->name),
	       STR_ARG(r->host), STR_ARG(r->prefix),
	       r->idempotent ? "idempotent" : "non-idempotent", r->priority);
	printf("deadline %lld ms, objective %lld ms, %u attempts%s\n",
	       (long long)(r->deadline / USEC_PER_MSEC),
	       (long long)(r->objective / USEC_PER_MSEC), r->attempts,
	       r->mode == RT_SHARDS ? " per shard" : "");
	if (r->mode == RT_SHARDS)
		printf("all of %zu services, at least %.0f%% of them, %zu "
		       "records of %zu bytes\n",
		       r->ntargets, r->min_coverage * 100, r->max_records,
		       r->record_bytes);
	for (i = 0; i < r->ntargets; i++)
		if (r->mode == RT_SHARDS)
			printf("  %.*s\n", STR_ARG(target_service(c, r, i)));
		else
			printf("  %.*s, weight %g\n",
			       STR_ARG(target_service(c, r, i)),
			       r->targets[i].weight);
}

ctl_exit_t command_route(ctl_t *c)
{
	str_t host = str_of(c->args[1]), path = str_of(c->args[2]);
	const rt_route_t *r;
	ctl_exit_t status;
	rt_conf_t *conf = load_routes(c->args[0], &status);

	if (!conf)
		return status;
	r = rt_conf_route(conf, host, path);
	if (!r) {
		fprintf(stderr, "geraniumslip: no route for %s%s\n", c->args[1],
			c->args[2]);
		status = CTL_FAULTS;
	} else if (c->json) {
		ctl_print_json(json_pack("{ss% ss% sb so}", "route", r->name.s,
					 r->name.sz, "prefix", r->prefix.s,
					 r->prefix.sz, "all_services",
					 r->mode == RT_SHARDS, "services",
					 targets_json(conf, r)));
	} else {
		print_route(conf, r);
	}
	rt_conf_unref(conf);
	return status;
}
