/**
 * @file routes_check.c
 * Finds probable mistakes in a valid configuration of routes: settings that can
 * have no effect or contradict each other.
 */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "libconf.h"

/* Bytes of the shortest request besides its path and its host:
 * "GET  HTTP/1.1\r\nHost: \r\n\r\n". */
#define REQUEST_OVERHEAD 25

/* How the routes use a service. */
typedef struct service_use {
	const rt_route_t *last; /* the last route that names it; NULL: none */
	const rt_route_t *largest; /* the one that needs most connections */
	unsigned connections;	   /* needed by one request of that route */
} service_use_t;

static const char *const finding_names[RT_FIND_MAX] = {
	[RT_FIND_NEVER_MATCHES] = "never_matches",
	[RT_FIND_UNUSED_SERVICE] = "unused_service",
	[RT_FIND_ZERO_WEIGHT] = "zero_weight",
	[RT_FIND_DEADLINE] = "deadline",
	[RT_FIND_COVERAGE] = "coverage",
	[RT_FIND_ATTEMPTS] = "attempts",
	[RT_FIND_RECORDS] = "records",
	[RT_FIND_CONNECTIONS] = "connections",
	[RT_FIND_REPEATED_SHARD] = "repeated_shard",
	[RT_FIND_NO_ROUTES] = "no_routes",
	[RT_FIND_REVISION] = "revision",
	[RT_FIND_TRAFFIC_LOST] = "traffic_lost",
	[RT_FIND_REQUESTS_UNROUTED] = "requests_unrouted",
};

const char *rt_finding_name(rt_finding_kind_t kind)
{
	return kind < RT_FIND_MAX ? finding_names[kind] : "unknown";
}

__attribute__((nonnull)) static str_t format_args(arena_t *mem, const char *fmt,
						  va_list ap)
{
	va_list copy;
	char *s;
	int n;

	va_copy(copy, ap);
	n = vsnprintf(NULL, 0, fmt, copy);
	va_end(copy);
	if (n < 0)
		return STR("");
	s = arena_alloc(mem, (size_t)n + 1);
	vsnprintf(s, (size_t)n + 1, fmt, ap);
	return (str_t){ s, (size_t)n };
}

str_t rt_format(arena_t *mem, const char *fmt, ...)
{
	va_list ap;
	str_t v;

	va_start(ap, fmt);
	v = format_args(mem, fmt, ap);
	va_end(ap);
	return v;
}

void rt_find(rt_findings_t *f, rt_finding_kind_t kind, str_t path,
	     const char *fmt, ...)
{
	rt_finding_t *v;
	va_list ap;

	if (f->n == f->capacity) {
		f->capacity = f->capacity ? f->capacity * 2 : 16;
		f->v = xrealloc(f->v, f->capacity * sizeof(*f->v));
	}
	v = &f->v[f->n++];
	v->kind = kind;
	v->path = arena_str(&f->mem, path);
	va_start(ap, fmt);
	v->text = format_args(&f->mem, fmt, ap);
	va_end(ap);
}

void rt_findings_free(rt_findings_t *f)
{
	arena_free(&f->mem);
	free(f->v);
	*f = (rt_findings_t){ 0 };
}

bool rt_route_reachable(const rt_conf_t *c, const rt_route_t *r)
{
	return rt_conf_route(c, r->host, r->prefix) == r;
}

static str_t route_path(rt_findings_t *f, const rt_route_t *r, const char *key)
{
	return rt_format(&f->mem, "/routes/%.*s/%s", STR_ARG(r->name), key);
}

/* Whether v has a character that neither a path nor a host can have in a
 * request. */
static bool has_blank(str_t v)
{
	size_t i;

	for (i = 0; i < v.sz; i++)
		if ((unsigned char)v.s[i] <= ' ' || v.s[i] == 0x7f)
			return true;
	return false;
}

static void check_match(const rt_conf_t *c, const rt_route_t *r,
			rt_findings_t *f)
{
	const rt_route_t *match = rt_conf_route(c, r->host, r->prefix);
	str_t path = route_path(f, r, "prefix");

	if (match != r && match && str_eq(match->prefix, r->prefix))
		rt_find(f, RT_FIND_NEVER_MATCHES, path,
			"route %.*s takes all requests of this host and prefix",
			STR_ARG(match->name));
	else if (match != r)
		rt_find(f, RT_FIND_NEVER_MATCHES, path,
			"a path is matched without its query: none begins with "
			"%.*s",
			STR_ARG(r->prefix));
	else if (has_blank(r->prefix))
		rt_find(f, RT_FIND_NEVER_MATCHES, path,
			"a path has no spaces or control characters");
	else if (r->prefix.sz + r->host.sz + REQUEST_OVERHEAD >
		 c->limits.header_bytes)
		rt_find(f, RT_FIND_NEVER_MATCHES, path,
			"the header of each request is above %zu bytes",
			c->limits.header_bytes);
}

static void check_host(const rt_conf_t *c, const rt_route_t *r,
		       rt_findings_t *f)
{
	(void)c;
	if (r->host.sz && memchr(r->host.s, ':', r->host.sz))
		rt_find(f, RT_FIND_NEVER_MATCHES, route_path(f, r, "host"),
			"a host is matched without its port");
	else if (has_blank(r->host))
		rt_find(f, RT_FIND_NEVER_MATCHES, route_path(f, r, "host"),
			"a host has no spaces or control characters");
}

static void check_weights(const rt_conf_t *c, const rt_route_t *r,
			  rt_findings_t *f)
{
	size_t i;

	for (i = 0; i < r->ntargets; i++) {
		str_t name = c->services[r->targets[i].service_index].name;

		if (r->mode == RT_ONE_SERVICE && !(r->targets[i].weight > 0))
			rt_find(f, RT_FIND_ZERO_WEIGHT,
				route_path(f, r, "split"),
				"%.*s has weight 0 and gets no requests",
				STR_ARG(name));
	}
}

static void check_times(const rt_conf_t *c, const rt_route_t *r,
			rt_findings_t *f)
{
	long long ms = r->deadline / USEC_PER_MSEC;

	(void)c;
	if (r->deadline < r->objective)
		rt_find(f, RT_FIND_DEADLINE, route_path(f, r, "deadline_ms"),
			"%lld ms is below the objective of %lld ms", ms,
			(long long)(r->objective / USEC_PER_MSEC));
	if (ms < (long long)r->attempts)
		rt_find(f, RT_FIND_ATTEMPTS, route_path(f, r, "attempts"),
			"%u attempts do not fit into a deadline of %lld ms",
			r->attempts, ms);
}

static void check_coverage(const rt_conf_t *c, const rt_route_t *r,
			   rt_findings_t *f)
{
	(void)c;
	if (r->mode == RT_ONE_SERVICE && r->min_coverage < 1)
		rt_find(f, RT_FIND_COVERAGE, route_path(f, r, "min_coverage"),
			"the route has no shards");
	else if (r->ntargets == 1 && r->min_coverage > 0 && r->min_coverage < 1)
		rt_find(f, RT_FIND_COVERAGE, route_path(f, r, "min_coverage"),
			"%g of the only shard: it answers or not",
			r->min_coverage);
}

static void check_records(const rt_conf_t *c, const rt_route_t *r,
			  rt_findings_t *f)
{
	(void)c;
	if (r->mode == RT_ONE_SERVICE && r->max_records)
		rt_find(f, RT_FIND_RECORDS, route_path(f, r, "top"),
			"answers are merged for routes with shards only");
	else if (r->mode == RT_SHARDS &&
		 r->max_records > RT_MAX_RECEIVED_BYTES / r->record_bytes)
		rt_find(f, RT_FIND_RECORDS, route_path(f, r, "top"),
			"%zu records of %zu bytes are above the %zu bytes of "
			"answers that a daemon holds",
			r->max_records, r->record_bytes, RT_MAX_RECEIVED_BYTES);
}

static void check_unused(const rt_service_t *s, const service_use_t *use,
			 rt_findings_t *f)
{
	if (!use->last)
		rt_find(f, RT_FIND_UNUSED_SERVICE,
			rt_format(&f->mem, "/services/%.*s", STR_ARG(s->name)),
			"no route uses the service");
}

static void check_connections(const rt_service_t *s, const service_use_t *use,
			      rt_findings_t *f)
{
	if (s->connections < use->connections)
		rt_find(f, RT_FIND_CONNECTIONS,
			rt_format(&f->mem, "/services/%.*s/connections",
				  STR_ARG(s->name)),
			"%u are below the %u sends that a request of route "
			"%.*s may have in flight",
			s->connections, use->connections,
			STR_ARG(use->largest->name));
}

static void (*const route_checks[])(const rt_conf_t *c, const rt_route_t *r,
				    rt_findings_t *f) = {
	check_match, check_host,     check_weights,
	check_times, check_coverage, check_records,
};

static void (*const service_checks[])(const rt_service_t *s,
				      const service_use_t *use,
				      rt_findings_t *f) = {
	check_unused,
	check_connections,
};

/* The sends of a request to one service that may be in flight at the same time.
 * All may go to one server if the others fail; only idempotent requests have
 * more than one. */
static unsigned max_sends(const rt_route_t *r)
{
	if (!r->idempotent)
		return 1;
	return r->attempts < RT_MAX_INFLIGHT ? r->attempts : RT_MAX_INFLIGHT;
}

/* Adds the targets of a route to the uses of the services; finds services that
 * are several shards of the route, of which the records would be merged
 * twice. */
static void add_uses(const rt_conf_t *c, const rt_route_t *r,
		     service_use_t *uses, rt_findings_t *f)
{
	unsigned need = max_sends(r);
	size_t i;

	for (i = 0; i < r->ntargets; i++) {
		size_t at = r->targets[i].service_index;
		service_use_t *use = &uses[at];

		if (use->last == r)
			rt_find(f, RT_FIND_REPEATED_SHARD,
				route_path(f, r, "shards"),
				"%.*s is given twice: its records are merged "
				"twice",
				STR_ARG(c->services[at].name));
		use->last = r;
		if (need > use->connections) {
			use->connections = need;
			use->largest = r;
		}
	}
}

void rt_conf_check(const rt_conf_t *c, rt_findings_t *f)
{
	service_use_t *uses = xcalloc(c->nservices + 1, sizeof(*uses));
	size_t i, j;

	if (c->nroutes == 0)
		rt_find(f, RT_FIND_NO_ROUTES, STR("/routes"),
			"no request is answered");
	for (i = 0; i < c->nroutes; i++) {
		const rt_route_t *r = &c->routes[i];

		for (j = 0; j < sizeof(route_checks) / sizeof(*route_checks);
		     j++)
			route_checks[j](c, r, f);
		add_uses(c, r, uses, f);
	}
	for (i = 0; i < c->nservices; i++)
		for (j = 0;
		     j < sizeof(service_checks) / sizeof(*service_checks); j++)
			service_checks[j](&c->services[i], &uses[i], f);
	free(uses);
}
