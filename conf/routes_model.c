/** @file routes_model.c The model of routes: look-ups and checks. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "routes.h"

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

static str_t without_query(str_t path)
{
	const char *end = path.sz ? memchr(path.s, '?', path.sz) : NULL;

	if (end)
		path.sz = (size_t)(end - path.s);
	return path;
}

static bool begins(str_t v, str_t with)
{
	return v.sz >= with.sz && memcmp(v.s, with.s, with.sz) == 0;
}

const rt_route_t *rt_conf_route(const rt_conf_t *c, str_t host, str_t path)
{
	const rt_route_t *best = NULL;
	size_t i;

	path = without_query(path);
	for (i = 0; i < c->nroutes; i++) {
		const rt_route_t *r = &c->routes[i];

		if (str_eq(r->host, host) && begins(path, r->prefix) &&
		    (!best || r->prefix.sz > best->prefix.sz))
			best = r;
	}
	return best;
}

size_t rt_conf_service(const rt_conf_t *c, str_t name)
{
	size_t i;

	for (i = 0; i < c->nservices; i++)
		if (str_eq(c->services[i].name, name))
			break;
	return i;
}

static void fault(conf_faults_t *f, const rt_route_t *r, conf_err_t err,
		  const char *key, const char *what)
{
	char path[CONF_MAX_NAME + 64];

	snprintf(path, sizeof(path), "/routes/%.*s/%s",
		 (int)(r->name.sz < CONF_MAX_NAME ? r->name.sz : CONF_MAX_NAME),
		 r->name.s, key);
	conf_fault(f, err, path, "%s", what);
}

static bool is_prefix(str_t p)
{
	return p.sz && p.s[0] == '/' && p.s[p.sz - 1] == '/';
}

static void check_targets(const rt_conf_t *c, const rt_route_t *r,
			  conf_faults_t *f)
{
	unsigned weight = 0;
	size_t i;

	if (r->ntargets == 0)
		fault(f, r, CONF_E_MISSING, "service", "names no service");
	for (i = 0; i < r->ntargets; i++) {
		if (r->targets[i].service >= c->nservices)
			fault(f, r, CONF_E_REFERENCE, "service",
			      "names a service that is not there");
		weight += r->targets[i].weight;
	}
	if (r->ntargets && r->mode == RT_ONE && weight == 0)
		fault(f, r, CONF_E_RANGE, "split", "no weight is above 0");
}

static void check_shards(const rt_route_t *r, conf_faults_t *f)
{
	if (!r->idempotent)
		fault(f, r, CONF_E_NONIDEMPOTENT_SCOPE, "idempotent",
		      "several shards are asked");
	if (r->record_bytes == 0)
		fault(f, r, CONF_E_RANGE, "record_bytes", "below 1");
	if (r->top == 0)
		fault(f, r, CONF_E_RANGE, "top", "below 1");
}

static void check_route(const rt_conf_t *c, const rt_route_t *r,
			conf_faults_t *f)
{
	if (r->host.sz == 0)
		fault(f, r, CONF_E_MISSING, "host", "");
	if (!is_prefix(r->prefix))
		fault(f, r, CONF_E_RANGE, "prefix",
		      "it begins and ends with a slash");
	if (r->timeout <= 0)
		fault(f, r, CONF_E_RANGE, "deadline_ms", "not above 0");
	if (r->attempts == 0)
		fault(f, r, CONF_E_RANGE, "attempts", "below 1");
	if (!(r->least >= 0 && r->least <= 1))
		fault(f, r, CONF_E_RANGE, "min_coverage", "not from 0 to 1");
	if (r->mode == RT_SHARDS)
		check_shards(r, f);
	check_targets(c, r, f);
}

void rt_conf_check(const rt_conf_t *c, conf_faults_t *f)
{
	size_t i;

	if (c->version == 0)
		conf_fault(f, CONF_E_RANGE, "/revision", "below 1");
	for (i = 0; i < c->nroutes; i++)
		check_route(c, &c->routes[i], f);
}
