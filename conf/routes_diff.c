/** @file routes_diff.c Compares two configurations of routes. */
#include <stdlib.h>

#include "libconf.h"

/* The arguments of a comparison and its results. */
typedef struct diff {
	const rt_conf_t *before, *after;
	rt_changes_t *d;
	rt_findings_t *f;
} diff_t;

/* A member of a route, service or the limits, and how to read its value. */
typedef struct field {
	const char *key;
	double (*number)(const void *item); /* NULL for a text */
	str_t (*text)(const void *item);
} field_t;

#define NUMBER(type, name, member)                                             \
	static double name(const void *item)                                   \
	{                                                                      \
		return (double)((const type *)item)->member;                   \
	}

NUMBER(rt_route_t, route_deadline, deadline / USEC_PER_MSEC)
NUMBER(rt_route_t, route_objective, objective / USEC_PER_MSEC)
NUMBER(rt_route_t, route_attempts, attempts)
NUMBER(rt_route_t, route_priority, priority)
NUMBER(rt_route_t, route_coverage, min_coverage)
NUMBER(rt_route_t, route_records, max_records)
NUMBER(rt_route_t, route_record_bytes, record_bytes)
NUMBER(rt_service_t, service_connections, connections)
NUMBER(rt_service_t, service_warmup_per_s, warmup_per_s)
NUMBER(rt_limits_t, limit_header_bytes, header_bytes)
NUMBER(rt_limits_t, limit_body_bytes, body_bytes)
NUMBER(rt_limits_t, limit_header_ms, header_timeout / USEC_PER_MSEC)
NUMBER(rt_limits_t, limit_idle_ms, idle_timeout / USEC_PER_MSEC)

static str_t route_host(const void *item)
{
	return ((const rt_route_t *)item)->host;
}

static str_t route_prefix(const void *item)
{
	return ((const rt_route_t *)item)->prefix;
}

static str_t route_idempotent(const void *item)
{
	return ((const rt_route_t *)item)->idempotent ? STR("true")
						      : STR("false");
}

static str_t route_mode(const void *item)
{
	return ((const rt_route_t *)item)->mode == RT_SHARDS
		       ? STR("all services")
		       : STR("one service");
}

static const field_t route_fields[] = {
	{ "host", NULL, route_host },
	{ "prefix", NULL, route_prefix },
	{ "mode", NULL, route_mode },
	{ "idempotent", NULL, route_idempotent },
	{ "deadline_ms", route_deadline, NULL },
	{ "objective_ms", route_objective, NULL },
	{ "attempts", route_attempts, NULL },
	{ "priority", route_priority, NULL },
	{ "min_coverage", route_coverage, NULL },
	{ "top", route_records, NULL },
	{ "record_bytes", route_record_bytes, NULL },
	{ 0 },
};

static const field_t service_fields[] = {
	{ "connections", service_connections, NULL },
	{ "warmup_per_s", service_warmup_per_s, NULL },
	{ 0 },
};

static const field_t limit_fields[] = {
	{ "header_bytes", limit_header_bytes, NULL },
	{ "body_bytes", limit_body_bytes, NULL },
	{ "header_ms", limit_header_ms, NULL },
	{ "idle_ms", limit_idle_ms, NULL },
	{ 0 },
};

const char *rt_change_name(rt_change_kind_t kind)
{
	static const char *const names[RT_CHANGE_MAX] = {
		[RT_CHANGE_ADDED] = "added",
		[RT_CHANGE_REMOVED] = "removed",
		[RT_CHANGE_CHANGED] = "changed",
	};

	return kind < RT_CHANGE_MAX ? names[kind] : "unknown";
}

void rt_changes_free(rt_changes_t *d)
{
	arena_free(&d->mem);
	free(d->v);
	*d = (rt_changes_t){ 0 };
}

/* Adds a difference; path is in d->mem already. */
static void add_change(rt_changes_t *d, rt_change_kind_t kind, str_t path,
		       str_t before, str_t after)
{
	if (d->n == d->capacity) {
		d->capacity = d->capacity ? d->capacity * 2 : 16;
		d->v = xrealloc(d->v, d->capacity * sizeof(*d->v));
	}
	d->v[d->n++] = (rt_change_t){ kind, path, arena_str(&d->mem, before),
				      arena_str(&d->mem, after) };
}

static str_t format_number(arena_t *mem, double v)
{
	return rt_format(mem, "%.15g", v);
}

static str_t format_field(arena_t *mem, const field_t *v, const void *item)
{
	if (v->number)
		return format_number(mem, v->number(item));
	return v->text(item);
}

/* Compares the members of two items; the path of each begins with prefix. */
static void diff_fields(rt_changes_t *d, const field_t *fields, str_t prefix,
			const void *before, const void *after)
{
	const field_t *v;
	str_t a, b;

	for (v = fields; v->key; v++) {
		if (v->number && v->number(before) == v->number(after))
			continue;
		a = format_field(&d->mem, v, before);
		b = format_field(&d->mem, v, after);
		if (!str_eq(a, b))
			add_change(d, RT_CHANGE_CHANGED,
				   rt_format(&d->mem, "%.*s/%s",
					     STR_ARG(prefix), v->key),
				   a, b);
	}
}

static str_t target_name(const rt_conf_t *c, const rt_route_t *r, size_t i)
{
	return c->services[r->targets[i].service_index].name;
}

/* The target with a service's name; NULL if there is none. Looks at index hint
 * first, where it is unless targets were added or removed. */
static const rt_target_t *find_target(const rt_conf_t *c, const rt_route_t *r,
				      str_t name, size_t hint)
{
	size_t i;

	if (hint < r->ntargets && str_eq(target_name(c, r, hint), name))
		return &r->targets[hint];
	for (i = 0; i < r->ntargets; i++)
		if (str_eq(target_name(c, r, i), name))
			return &r->targets[i];
	return NULL;
}

static str_t format_target(arena_t *mem, const rt_route_t *r,
			   const rt_target_t *t)
{
	if (r->mode == RT_SHARDS)
		return STR("shard");
	return rt_format(mem, "weight %.15g", t->weight);
}

/* Compares the services of a route and their weights. */
static void diff_targets(diff_t *x, const rt_route_t *a, const rt_route_t *b,
			 str_t prefix)
{
	arena_t *mem = &x->d->mem;
	const rt_target_t *t;
	str_t name, old, new;
	size_t i;

	for (i = 0; i < a->ntargets; i++) {
		name = target_name(x->before, a, i);
		t = find_target(x->after, b, name, i);
		old = format_target(mem, a, &a->targets[i]);
		new = t ? format_target(mem, b, t) : STR("");
		if (!str_eq(old, new))
			add_change(x->d,
				   t ? RT_CHANGE_CHANGED : RT_CHANGE_REMOVED,
				   rt_format(mem, "%.*s/services/%.*s",
					     STR_ARG(prefix), STR_ARG(name)),
				   old, new);
	}
	for (i = 0; i < b->ntargets; i++) {
		name = target_name(x->after, b, i);
		if (!find_target(x->before, a, name, i))
			add_change(x->d, RT_CHANGE_ADDED,
				   rt_format(mem, "%.*s/services/%.*s",
					     STR_ARG(prefix), STR_ARG(name)),
				   STR(""),
				   format_target(mem, b, &b->targets[i]));
	}
}

static void map_routes(const rt_conf_t *c, strmap_t *m)
{
	size_t i;

	for (i = 0; i < c->nroutes; i++)
		strmap_put(m, c->routes[i].name, &c->routes[i]);
}

static void map_services(const rt_conf_t *c, strmap_t *m)
{
	size_t i;

	for (i = 0; i < c->nservices; i++)
		strmap_put(m, c->services[i].name, &c->services[i]);
}

static str_t format_address(arena_t *mem, const rt_route_t *r)
{
	return rt_format(mem, "%.*s%.*s", STR_ARG(r->host), STR_ARG(r->prefix));
}

static void diff_routes(diff_t *x)
{
	strmap_t before = { 0 }, after = { 0 };
	arena_t *mem = &x->d->mem;
	const rt_route_t *r, *other;
	str_t path;
	size_t i;

	map_routes(x->before, &before);
	map_routes(x->after, &after);
	for (i = 0; i < x->before->nroutes; i++) {
		r = &x->before->routes[i];
		other = strmap_get(&after, r->name);
		path = rt_format(mem, "/routes/%.*s", STR_ARG(r->name));
		if (!other) {
			add_change(x->d, RT_CHANGE_REMOVED, path,
				   format_address(mem, r), STR(""));
			continue;
		}
		diff_fields(x->d, route_fields, path, r, other);
		diff_targets(x, r, other, path);
	}
	for (i = 0; i < x->after->nroutes; i++) {
		r = &x->after->routes[i];
		if (!strmap_get(&before, r->name))
			add_change(x->d, RT_CHANGE_ADDED,
				   rt_format(mem, "/routes/%.*s",
					     STR_ARG(r->name)),
				   STR(""), format_address(mem, r));
	}
	strmap_free(&before);
	strmap_free(&after);
}

/* Marks the services that get requests: targets of reachable routes. */
static bool *mark_busy(const rt_conf_t *c)
{
	bool *busy = xcalloc(c->nservices + 1, sizeof(*busy));
	size_t i, j;

	for (i = 0; i < c->nroutes; i++) {
		const rt_route_t *r = &c->routes[i];

		if (!rt_route_reachable(c, r))
			continue;
		for (j = 0; j < r->ntargets; j++)
			if (r->mode == RT_SHARDS || r->targets[j].weight > 0)
				busy[r->targets[j].service_index] = true;
	}
	return busy;
}

static void diff_services(diff_t *x)
{
	bool *busy_before = mark_busy(x->before);
	bool *busy_after = mark_busy(x->after);
	strmap_t before = { 0 }, after = { 0 };
	arena_t *mem = &x->d->mem;
	const rt_service_t *s, *other;
	str_t path;
	size_t i;

	map_services(x->before, &before);
	map_services(x->after, &after);
	for (i = 0; i < x->before->nservices; i++) {
		s = &x->before->services[i];
		other = strmap_get(&after, s->name);
		path = rt_format(mem, "/services/%.*s", STR_ARG(s->name));
		if (other)
			diff_fields(x->d, service_fields, path, s, other);
		else
			add_change(x->d, RT_CHANGE_REMOVED, path, STR(""),
				   STR(""));
		if (busy_before[i] &&
		    !(other && busy_after[other - x->after->services]))
			rt_find(x->f, RT_FIND_TRAFFIC_LOST, path,
				"the service gets no more requests");
	}
	for (i = 0; i < x->after->nservices; i++) {
		s = &x->after->services[i];
		if (!strmap_get(&before, s->name))
			add_change(x->d, RT_CHANGE_ADDED,
				   rt_format(mem, "/services/%.*s",
					     STR_ARG(s->name)),
				   STR(""), STR(""));
	}
	strmap_free(&before);
	strmap_free(&after);
	free(busy_before);
	free(busy_after);
}

/* Finds requests that had a route and have none after the change. */
static void find_unrouted(diff_t *x)
{
	size_t i;

	for (i = 0; i < x->before->nroutes; i++) {
		const rt_route_t *r = &x->before->routes[i];

		if (rt_route_reachable(x->before, r) &&
		    !rt_conf_route(x->after, r->host, r->prefix))
			rt_find(x->f, RT_FIND_REQUESTS_UNROUTED,
				rt_format(&x->f->mem, "/routes/%.*s",
					  STR_ARG(r->name)),
				"no route takes requests for %.*s%.*s any more",
				STR_ARG(r->host), STR_ARG(r->prefix));
	}
}

/* A daemon takes only a higher revision. The same revision with the same
 * content is the configuration in force. */
static void diff_revision(diff_t *x)
{
	unsigned long long a = x->before->revision, b = x->after->revision;

	if (b < a || (b == a && x->d->n))
		rt_find(x->f, RT_FIND_REVISION, STR("/revision"),
			"%llu is not above %llu: no daemon will take it", b, a);
	if (a != b)
		add_change(x->d, RT_CHANGE_CHANGED, STR("/revision"),
			   rt_format(&x->d->mem, "%llu", a),
			   rt_format(&x->d->mem, "%llu", b));
}

void rt_conf_diff(const rt_conf_t *before, const rt_conf_t *after,
		  rt_changes_t *d, rt_findings_t *f)
{
	diff_t x = { before, after, d, f };

	diff_fields(d, limit_fields, STR("/limits"), &before->limits,
		    &after->limits);
	diff_services(&x);
	diff_routes(&x);
	diff_revision(&x);
	find_unrouted(&x);
}
