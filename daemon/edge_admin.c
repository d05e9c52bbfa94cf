/** @file edge_admin.c State of the routed path as JSON, for operators. */
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>

#include "libedge.h"

/* Answers with the JSON value and drops the reference to it. */
static void reply_json(struct evhttp_request *req, json_t *o)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(o, JSON_INDENT(1));

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evbuffer_add_printf(out, "%s\n", text);
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
	free(text);
	json_decref(o);
}

void edge_status(struct evhttp_request *req, void *arg)
{
	edge_t *e = arg;
	const rt_conf_t *c = rt_conf(e->rt);
	usec_t now = clock_now();

	reply_json(
		req,
		json_pack("{ss sb sb sI sI sf sb sI sI sI sI sI sb sI}", "name",
			  e->settings->name, "ready", edge_is_ready(e),
			  "stopping", e->stopping, "revision",
			  (json_int_t)(c ? c->revision : 0), "list_version",
			  (json_int_t)edge_state_number(e), "list_age_s",
			  age_seconds(fleet_state_age(e->fleet, now)), "reads",
			  registry_role(e->registry) != FLEET_FOLLOWER,
			  "daemons",
			  (json_int_t)fleet_alive_count(e->fleet, now),
			  "reckoned",
			  (json_int_t)fleet_estimated_hosts(e->fleet, now),
			  "evacuated", (json_int_t)rt_evacuated_count(e->rt),
			  "open_queries", (json_int_t)rt_open_requests(e->rt),
			  "log_lines_dropped", (json_int_t)log_dropped(),
			  "settings_refused", e->settings_refused,
			  "settings_faults", (json_int_t)e->settings->nfaults));
}

/* null if the server reported none. */
static json_t *load_json(const rt_server_report_t *r)
{
	json_t *o;

	if (r->load_age < 0)
		return json_null();
	o = json_pack("{sI sI sI sf}", "running", (json_int_t)r->load.running,
		      "waiting", (json_int_t)r->load.waiting, "slots",
		      (json_int_t)r->load.slots, "age_s",
		      age_seconds(r->load_age));
	if (r->load.speed)
		json_object_set_new(o, "speed",
				    json_integer((json_int_t)r->load.speed));
	return o;
}

static json_t *server_json(const rt_server_report_t *r)
{
	return json_pack(
		"{ss% ss% ss% ss% ss sb sI sI sf sf sf sI so}", "id", r->id.s,
		r->id.sz, "service", r->service.s, r->service.sz, "addr",
		r->addr.s, r->addr.sz, "data_centre", r->dc.s, r->dc.sz,
		"state", r->state, "leaving", r->leaving, "inflight",
		(json_int_t)r->inflight, "connections",
		(json_int_t)r->max_connections, "pace", r->pace, "failing",
		r->failing, "evidence_age_s", age_seconds(r->age), "order",
		(json_int_t)r->rank, "load", load_json(r));
}

void edge_upstreams(struct evhttp_request *req, void *arg)
{
	json_t *a = json_array();
	usec_t now = clock_now();
	rt_server_report_t r;
	edge_t *e = arg;
	size_t i;

	for (i = 0; rt_report_server(e->rt, i, now, &r); i++)
		json_array_append_new(a, server_json(&r));
	reply_json(req, a);
}
