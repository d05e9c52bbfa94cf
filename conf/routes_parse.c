/** @file routes_parse.c Parses the JSON text of a configuration of routes. */
#include <ctype.h>
#include <stdlib.h>

#include "libconf.h"

/* Largest limits that can be set for the header and the body of a request. */
#define MAX_REQUEST_BYTES ((uint64_t)1 << 30)
#define MAX_PRIORITY 1000
#define MAX_ATTEMPTS 16
#define MAX_WEIGHT 1000000
#define DEFAULT_RECORD_BYTES 16

static void parse_limits(conf_cursor_t *cu, json_t *o, rt_limits_t *l);
static void parse_services(conf_cursor_t *cu, json_t *o, rt_conf_t *c);
static void parse_routes(conf_cursor_t *cu, json_t *o, rt_conf_t *c);
static void parse_route(conf_cursor_t *cu, json_t *o, rt_conf_t *c,
			rt_route_t *r);

static usec_t get_ms(conf_cursor_t *cu, json_t *o, const char *key,
		     uint64_t dflt)
{
	uint64_t ms = cur_uint(cu, o, key, dflt, 1, CONF_MAX_DEADLINE_MS);

	return (usec_t)ms * USEC_PER_MSEC;
}

static void parse_limits(conf_cursor_t *cu, json_t *o, rt_limits_t *l)
{
	static const char *const keys[] = { "header_bytes", "body_bytes",
					    "header_ms", "idle_ms", NULL };
	size_t n = cur_push_key(cu, "limits");

	cur_check_keys(cu, o, keys);
	l->header_bytes = (size_t)cur_uint(cu, o, "header_bytes", UINT64_MAX, 1,
					   MAX_REQUEST_BYTES);
	l->body_bytes = (size_t)cur_uint(cu, o, "body_bytes", UINT64_MAX, 0,
					 MAX_REQUEST_BYTES);
	l->header_timeout = get_ms(cu, o, "header_ms", UINT64_MAX);
	l->idle_timeout = get_ms(cu, o, "idle_ms", UINT64_MAX);
	cur_pop(cu, n);
}

/* A rate a second, with a fraction; 0 if it is missing. */
static double get_rate(conf_cursor_t *cu, json_t *o, const char *key)
{
	json_t *v = json_object_get(o, key);

	if (!v)
		return 0;
	if (!json_is_number(v) || !(json_number_value(v) >= 0) ||
	    json_number_value(v) > RT_MAX_WARMUP_PER_S)
		cur_add_fault(cu, CONF_E_RANGE, key, "from 0 to 1000000");
	return json_number_value(v);
}

static void parse_services(conf_cursor_t *cu, json_t *o, rt_conf_t *c)
{
	static const char *const keys[] = { "connections", "warmup_per_s",
					    NULL };
	size_t n = cur_push_key(cu, "services"), m;
	const char *key;
	json_t *v;

	c->services = arena_alloc(cu->mem,
				  json_object_size(o) * sizeof(rt_service_t));
	json_object_foreach(o, key, v) {
		rt_service_t *s = &c->services[c->nservices++];

		m = cur_push_key(cu, key);
		s->name = arena_str(cu->mem, str_of(key));
		if (cur_require_object(cu, v)) {
			cur_check_keys(cu, v, keys);
			s->connections = (unsigned)cur_uint(
				cu, v, "connections", UINT64_MAX, 1,
				CONF_MAX_CONNECTIONS);
			s->warmup_per_s = get_rate(cu, v, "warmup_per_s");
		}
		cur_pop(cu, m);
	}
	cur_pop(cu, n);
}

static void set_target(conf_cursor_t *cu, const rt_conf_t *c, rt_target_t *t,
		       const char *key, str_t name, double weight)
{
	t->service_index = rt_conf_service_index(c, name);
	t->weight = weight;
	if (t->service_index == c->nservices)
		cur_add_fault(cu, CONF_E_REFERENCE, key, name.s ? name.s : "");
}

/* "shards": an array of services, each of which returns a part of the
 * answer. */
static void parse_shards(conf_cursor_t *cu, json_t *a, const rt_conf_t *c,
			 rt_route_t *r)
{
	size_t i;

	r->mode = RT_SHARDS;
	r->targets = cur_alloc_array(cu, a, CONF_MAX_GROUPS,
				     sizeof(*r->targets), &r->ntargets);
	for (i = 0; i < r->ntargets; i++) {
		json_t *v = json_array_get(a, i);

		set_target(
			cu, c, &r->targets[i], "shards",
			(str_t){ json_string_value(v), json_string_length(v) },
			1);
	}
}

/* "split": an object of services and their weights. */
static void parse_split(conf_cursor_t *cu, json_t *o, const rt_conf_t *c,
			rt_route_t *r)
{
	const char *key;
	json_t *v;

	r->targets =
		arena_alloc(cu->mem, json_object_size(o) * sizeof(*r->targets));
	json_object_foreach(o, key, v) {
		if (!json_is_number(v) || json_number_value(v) < 0 ||
		    json_number_value(v) > MAX_WEIGHT)
			cur_add_fault(cu, CONF_E_RANGE, "split", key);
		set_target(cu, c, &r->targets[r->ntargets++], "split",
			   str_of(key), json_number_value(v));
	}
}

/* Exactly one of "service", "split" and "shards" sets the targets. */
static void parse_targets(conf_cursor_t *cu, json_t *o, const rt_conf_t *c,
			  rt_route_t *r)
{
	json_t *shards = json_object_get(o, "shards");
	json_t *split = json_object_get(o, "split");
	json_t *single = json_object_get(o, "service");

	if (!!shards + !!split + !!single != 1) {
		cur_add_fault(
			cu, CONF_E_MISSING, "service",
			"exactly one of service, split and shards is required");
		return;
	}
	r->mode = RT_ONE_SERVICE;
	if (shards) {
		parse_shards(cu, cur_require(cu, o, "shards", JSON_ARRAY), c,
			     r);
	} else if (split) {
		parse_split(cu, cur_require(cu, o, "split", JSON_OBJECT), c, r);
	} else {
		r->ntargets = 1;
		r->targets = arena_alloc(cu->mem, sizeof(*r->targets));
		set_target(cu, c, r->targets, "service",
			   cur_str(cu, o, "service", false), 1);
	}
}

/* Converts v to lower case in place; its bytes must be in the arena. */
static str_t to_lower(str_t v)
{
	char *p = (char *)v.s;
	size_t i;

	for (i = 0; i < v.sz; i++)
		p[i] = (char)tolower((unsigned char)p[i]);
	return v;
}

static void parse_route(conf_cursor_t *cu, json_t *o, rt_conf_t *c,
			rt_route_t *r)
{
	static const char *const keys[] = { "host",	    "prefix",
					    "idempotent",   "deadline_ms",
					    "objective_ms", "attempts",
					    "priority",	    "min_coverage",
					    "top",	    "record_bytes",
					    "shards",	    "split",
					    "service",	    NULL };

	cur_check_keys(cu, o, keys);
	r->host = to_lower(cur_str(cu, o, "host", false));
	r->prefix = cur_str(cu, o, "prefix", false);
	r->idempotent = cur_bool(cu, o, "idempotent", false);
	r->deadline = get_ms(cu, o, "deadline_ms", UINT64_MAX);
	r->objective = get_ms(cu, o, "objective_ms",
			      (uint64_t)(r->deadline / USEC_PER_MSEC));
	r->attempts = (unsigned)cur_uint(cu, o, "attempts", 1, 1, MAX_ATTEMPTS);
	r->priority = (unsigned)cur_uint(cu, o, "priority", 0, 0, MAX_PRIORITY);
	r->min_coverage = cur_fraction(cu, o, "min_coverage");
	r->max_records =
		(size_t)cur_uint(cu, o, "top", 0, 0, RT_MAX_MERGED_RECORDS);
	r->record_bytes =
		(size_t)cur_uint(cu, o, "record_bytes", DEFAULT_RECORD_BYTES, 1,
				 RT_MAX_RECORD_BYTES);
	parse_targets(cu, o, c, r);
}

static void parse_routes(conf_cursor_t *cu, json_t *o, rt_conf_t *c)
{
	size_t n = cur_push_key(cu, "routes"), m;
	const char *key;
	json_t *v;

	if (json_object_size(o) > RT_MAX_ROUTES) {
		conf_fault(cu->f, CONF_E_SIZE, cu->path, "at most %d routes",
			   RT_MAX_ROUTES);
		goto out;
	}
	c->routes =
		arena_alloc(cu->mem, json_object_size(o) * sizeof(rt_route_t));
	json_object_foreach(o, key, v) {
		rt_route_t *r = &c->routes[c->nroutes++];

		m = cur_push_key(cu, key);
		r->name = arena_str(cu->mem, str_of(key));
		if (cur_require_object(cu, v))
			parse_route(cu, v, c, r);
		cur_pop(cu, m);
	}
out:
	cur_pop(cu, n);
}

static void parse_document(conf_cursor_t *cu, json_t *root, rt_conf_t *c)
{
	static const char *const keys[] = { "revision", "limits", "services",
					    "routes", NULL };
	json_t *limits, *services, *routes;

	cur_check_keys(cu, root, keys);
	c->revision = cur_uint(cu, root, "revision", UINT64_MAX, 1, INT64_MAX);
	limits = cur_require(cu, root, "limits", JSON_OBJECT);
	services = cur_require(cu, root, "services", JSON_OBJECT);
	routes = cur_require(cu, root, "routes", JSON_OBJECT);
	if (limits)
		parse_limits(cu, limits, &c->limits);
	/* Services are parsed before the routes, which refer to them. */
	if (services)
		parse_services(cu, services, c);
	if (routes)
		parse_routes(cu, routes, c);
}

rt_conf_t *rt_conf_parse(str_t text, conf_faults_t *f)
{
	rt_conf_t *c = rt_conf_new();
	conf_cursor_t cu = { .mem = &c->mem, .f = f };
	json_error_t err;
	json_t *root;

	root = json_loadb(text.s ? text.s : "", text.sz, JSON_REJECT_DUPLICATES,
			  &err);
	if (!root)
		conf_fault(f, CONF_E_JSON, "/", "line %d: %s", err.line,
			   err.text);
	else if (cur_require_object(&cu, root))
		parse_document(&cu, root, c);
	if (f->n == 0)
		rt_conf_validate(c, f);
	json_decref(root);
	if (f->n == 0)
		return c;
	rt_conf_unref(c);
	return NULL;
}
