/** @file routes_model.c Lookups and checks in a configuration of routes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "routes.h"

/* Sum of the weights of a route. */
#define MAX_WEIGHT_SUM 1e9

rt_conf_t *rt_conf_new(void)
{
	rt_conf_t *c = xcalloc(1, sizeof(*c));

	c->refs = 1;
	return c;
}

rt_conf_t *rt_conf_ref(rt_conf_t *c)
{
	c->refs++;
	return c;
}

void rt_conf_unref(rt_conf_t *c)
{
	if (!c || --c->refs)
		return;
	arena_free(&c->mem);
	free(c);
}

static str_t strip_query(str_t path)
{
	const char *end = path.sz ? memchr(path.s, '?', path.sz) : NULL;

	if (end)
		path.sz = (size_t)(end - path.s);
	return path;
}

static bool has_prefix(str_t v, str_t prefix)
{
	return v.sz >= prefix.sz && memcmp(v.s, prefix.s, prefix.sz) == 0;
}

const rt_route_t *rt_conf_route(const rt_conf_t *c, str_t host, str_t path)
{
	const rt_route_t *best = NULL;
	size_t i;

	path = strip_query(path);
	for (i = 0; i < c->nroutes; i++) {
		const rt_route_t *r = &c->routes[i];

		if (str_eq(r->host, host) && has_prefix(path, r->prefix) &&
		    (!best || r->prefix.sz > best->prefix.sz))
			best = r;
	}
	return best;
}

size_t rt_conf_service_index(const rt_conf_t *c, str_t name)
{
	size_t i;

	for (i = 0; i < c->nservices; i++)
		if (str_eq(c->services[i].name, name))
			break;
	return i;
}

/* Adds a fault for the member key of a route. */
static void route_fault(conf_faults_t *f, const rt_route_t *r, conf_err_t err,
			const char *key, const char *detail)
{
	char path[CONF_MAX_NAME + 64];

	snprintf(path, sizeof(path), "/routes/%.*s/%s",
		 (int)(r->name.sz < CONF_MAX_NAME ? r->name.sz : CONF_MAX_NAME),
		 r->name.s, key);
	conf_fault(f, err, path, "%s", detail);
}

static bool is_valid_prefix(str_t p)
{
	return p.sz && p.s[0] == '/' && p.s[p.sz - 1] == '/';
}

static void check_targets(const rt_conf_t *c, const rt_route_t *r,
			  conf_faults_t *f)
{
	double weight = 0;
	size_t i;

	if (r->ntargets == 0)
		route_fault(f, r, CONF_E_MISSING, "service",
			    "the route has no service");
	for (i = 0; i < r->ntargets; i++) {
		if (r->targets[i].service_index >= c->nservices)
			route_fault(f, r, CONF_E_REFERENCE, "service",
				    "the service is not declared");
		weight += r->targets[i].weight;
	}
	if (r->ntargets && r->mode == RT_ONE_SERVICE && !(weight > 0))
		route_fault(f, r, CONF_E_RANGE, "split",
			    "at least one weight must be above 0");
	if (weight > MAX_WEIGHT_SUM)
		route_fault(f, r, CONF_E_RANGE, "split",
			    "the sum of all weights is too large");
}

static void check_shards(const rt_route_t *r, conf_faults_t *f)
{
	if (!r->idempotent)
		route_fault(f, r, CONF_E_NONIDEMPOTENT_SCOPE, "idempotent",
			    "a route with shards must be idempotent");
	if (r->record_bytes == 0)
		route_fault(f, r, CONF_E_RANGE, "record_bytes",
			    "must be at least 1");
	if (r->max_records == 0)
		route_fault(f, r, CONF_E_RANGE, "top", "must be at least 1");
}

static void check_route(const rt_conf_t *c, const rt_route_t *r,
			conf_faults_t *f)
{
	if (r->host.sz == 0)
		route_fault(f, r, CONF_E_MISSING, "host", "");
	if (!is_valid_prefix(r->prefix))
		route_fault(f, r, CONF_E_RANGE, "prefix",
			    "must begin and end with a slash");
	if (r->deadline <= 0)
		route_fault(f, r, CONF_E_RANGE, "deadline_ms",
			    "must be above 0");
	if (r->attempts == 0)
		route_fault(f, r, CONF_E_RANGE, "attempts",
			    "must be at least 1");
	if (!(r->min_coverage >= 0 && r->min_coverage <= 1))
		route_fault(f, r, CONF_E_RANGE, "min_coverage",
			    "must be from 0 to 1");
	if (r->mode == RT_SHARDS)
		check_shards(r, f);
	check_targets(c, r, f);
}

void rt_conf_validate(const rt_conf_t *c, conf_faults_t *f)
{
	size_t i;

	if (c->revision == 0)
		conf_fault(f, CONF_E_RANGE, "/revision", "must be at least 1");
	for (i = 0; i < c->nservices; i++)
		if (!(c->services[i].warmup_per_s >= 0 &&
		      c->services[i].warmup_per_s <= RT_MAX_WARMUP_PER_S))
			conf_fault(f, CONF_E_RANGE, "/services",
				   "%.*s: warmup_per_s is out of range",
				   STR_ARG(c->services[i].name));
	for (i = 0; i < c->nroutes; i++)
		check_route(c, &c->routes[i], f);
}
