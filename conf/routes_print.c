/** @file routes_print.c Formats a configuration of routes as canonical JSON. */
#include "libconf.h"

static json_t *jstr(str_t v)
{
	return json_stringn(v.s ? v.s : "", v.sz);
}

static json_t *limits_json(const rt_limits_t *l)
{
	return json_pack(
		"{sI sI sI sI}", "header_bytes", (json_int_t)l->header_bytes,
		"body_bytes", (json_int_t)l->body_bytes, "header_ms",
		(json_int_t)(l->header_timeout / USEC_PER_MSEC), "idle_ms",
		(json_int_t)(l->idle_timeout / USEC_PER_MSEC));
}

static json_t *weight_json(double weight)
{
	if (weight == (double)(json_int_t)weight)
		return json_integer((json_int_t)weight);
	return json_real(weight);
}

static void set_targets(json_t *o, const rt_conf_t *c, const rt_route_t *r)
{
	json_t *to = r->mode == RT_SHARDS ? json_array() : json_object();
	size_t i;

	for (i = 0; i < r->ntargets; i++) {
		const rt_service_t *s =
			&c->services[r->targets[i].service_index];

		if (r->mode == RT_SHARDS)
			json_array_append_new(to, jstr(s->name));
		else
			json_object_setn_new(to, s->name.s, s->name.sz,
					     weight_json(r->targets[i].weight));
	}
	json_object_set_new(o, r->mode == RT_SHARDS ? "shards" : "split", to);
}

static json_t *route_json(const rt_conf_t *c, const rt_route_t *r)
{
	json_t *o;

	o = json_pack("{so so sb sI sI sI sI sf sI sI}", "host", jstr(r->host),
		      "prefix", jstr(r->prefix), "idempotent", r->idempotent,
		      "deadline_ms", (json_int_t)(r->deadline / USEC_PER_MSEC),
		      "objective_ms",
		      (json_int_t)(r->objective / USEC_PER_MSEC), "attempts",
		      (json_int_t)r->attempts, "priority",
		      (json_int_t)r->priority, "min_coverage", r->min_coverage,
		      "top", (json_int_t)r->max_records, "record_bytes",
		      (json_int_t)r->record_bytes);
	set_targets(o, c, r);
	return o;
}

/* A service without a warm-up limit is printed without its key. */
static json_t *service_json(const rt_service_t *s)
{
	json_t *o =
		json_pack("{sI}", "connections", (json_int_t)s->connections);

	if (s->warmup_per_s > 0)
		json_object_set_new(o, "warmup_per_s",
				    weight_json(s->warmup_per_s));
	return o;
}

char *rt_conf_text(const rt_conf_t *c)
{
	json_t *services = json_object();
	json_t *routes = json_object();
	json_t *root;
	char *text;
	size_t i;

	for (i = 0; i < c->nservices; i++)
		json_object_setn_new(services, c->services[i].name.s,
				     c->services[i].name.sz,
				     service_json(&c->services[i]));
	for (i = 0; i < c->nroutes; i++)
		json_object_setn_new(routes, c->routes[i].name.s,
				     c->routes[i].name.sz,
				     route_json(c, &c->routes[i]));
	root = json_pack("{sI so so so}", "revision", (json_int_t)c->revision,
			 "limits", limits_json(&c->limits), "services",
			 services, "routes", routes);
	text = json_dumps(root, JSON_INDENT(1) | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}
