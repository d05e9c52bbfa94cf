/** @file rt_conf.c The model of routes: look-ups and checks. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libroute.h"

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

static const char *fault(rt_conf_t *c, const rt_route_t *r, const char *what)
{
	char buf[256];
	int n = snprintf(buf, sizeof(buf), "route \"%.*s\" %s",
			 STR_ARG(r->name), what);

	return arena_str(&c->mem, (str_t){ buf, (size_t)n }).s;
}

static bool is_prefix(str_t p)
{
	return p.sz && p.s[0] == '/' && p.s[p.sz - 1] == '/';
}

static const char *check_targets(rt_conf_t *c, const rt_route_t *r)
{
	unsigned weight = 0;
	size_t i;

	if (r->ntargets == 0)
		return fault(c, r, "names no service");
	for (i = 0; i < r->ntargets; i++) {
		if (r->targets[i].service >= c->nservices)
			return fault(c, r, "names a service that is not there");
		weight += r->targets[i].weight;
	}
	if (r->mode == RT_ONE && weight == 0)
		return fault(c, r, "has no weight above 0");
	return NULL;
}

static const char *check_route(rt_conf_t *c, const rt_route_t *r)
{
	if (r->host.sz == 0)
		return fault(c, r, "has no host");
	if (!is_prefix(r->prefix))
		return fault(c, r, "has a prefix without a slash at both ends");
	if (r->timeout <= 0)
		return fault(c, r, "has no timeout above 0");
	if (r->attempts == 0)
		return fault(c, r, "allows no attempt");
	if (r->mode == RT_SHARDS && !r->idempotent)
		return fault(c, r, "asks several shards and is not idempotent");
	if (r->mode == RT_SHARDS && (r->record_bytes == 0 || r->top == 0))
		return fault(c, r, "merges no records");
	if (!(r->least >= 0 && r->least <= 1))
		return fault(c, r, "has a least share that is not 0 to 1");
	return check_targets(c, r);
}

const char *rt_conf_check(rt_conf_t *c)
{
	const char *text;
	size_t i;

	if (c->version == 0)
		return "the version is 0";
	for (i = 0; i < c->nroutes; i++) {
		text = check_route(c, &c->routes[i]);
		if (text)
			return text;
	}
	return NULL;
}
