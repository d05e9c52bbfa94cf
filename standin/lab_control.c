/** @file lab_control.c Controls the processes of a lab over HTTP, publishes
 * configurations and reads status and metrics. */
#include "liblab.h"

#include <jansson.h>
#include <ne_request.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "relay.h"
#include "standin.h"

#define CONTROL_TIMEOUT_S 5

ne_session *lab_open_session(const char *addr)
{
	char host[ADDR_HOST_MAX];
	unsigned port;

	addr_split(str_of(addr), host, &port);
	return ne_session_create("http", host, port);
}

int lab_append_body(void *to, const char *buf, size_t sz)
{
	g_string_append_len(to, buf, (gssize)sz);
	return 0;
}

/* Sends a request and returns the status, or 0 if no answer was received. The
 * answer's body is appended to out, unless that is NULL. */
static int send_request(ne_session *s, const char *method, const char *path,
			const char *body, const char *token, GString *out)
{
	ne_request *req = ne_request_create(s, method, path);
	int status = 0;

	if (token)
		ne_print_request_header(req, "Authorization", "Bearer %s",
					token);
	if (body)
		ne_set_request_body_buffer(req, body, strlen(body));
	if (out)
		ne_add_response_body_reader(req, ne_accept_always,
					    lab_append_body, out);
	ne_set_read_timeout(s, CONTROL_TIMEOUT_S);
	if (ne_request_dispatch(req) == NE_OK)
		status = ne_get_status(req)->code;
	ne_request_destroy(req);
	return status;
}

static int request_once(const char *addr, const char *method, const char *path,
			const char *body, const char *token, GString *out)
{
	ne_session *s = lab_open_session(addr);
	int status = send_request(s, method, path, body, token, out);

	ne_session_destroy(s);
	return status;
}

bool lab_control(const lab_node_t *n, const char *command)
{
	char *path = g_strdup_printf("/control?%s", command);
	int status = request_once(n->addr, "POST", path, "{}", NULL, NULL);

	g_free(path);
	return status == 200;
}

bool lab_partition(lab_node_t *a, lab_node_t *b)
{
	char command[64];

	if (a->role == LAB_DAEMON && b->role == LAB_DAEMON) {
		relay_block(a->relay, b->ip);
		relay_block(b->relay, a->ip);
		return true;
	}
	g_snprintf(command, sizeof(command), "cut=%s", a->ip);
	return lab_control(b, command);
}

void lab_end_partitions(lab_t *l)
{
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];

		if (n->relay)
			relay_unblock_all(n->relay);
		else if (n->pid)
			lab_control(n, "heal=1");
	}
}

int lab_http(const char *addr, const char *method, const char *path,
	     const char *token, const char *class_name, const char *body)
{
	ne_session *s = lab_open_session(addr);
	ne_request *req = ne_request_create(s, method, path);
	int status = 0;

	if (token)
		ne_print_request_header(req, "Authorization", "Bearer %s",
					token);
	if (class_name)
		ne_add_request_header(req, "Gs-Class", class_name);
	if (body)
		ne_set_request_body_buffer(req, body, strlen(body));
	ne_set_read_timeout(s, CONTROL_TIMEOUT_S);
	if (ne_request_dispatch(req) == NE_OK)
		status = ne_get_status(req)->code;
	ne_request_destroy(req);
	ne_session_destroy(s);
	return status;
}

bool lab_publish(lab_t *l, const char *text)
{
	const lab_node_t *p = lab_find_node(l, "platform");

	return request_once(p->addr, "POST", "/control/publish", text, NULL,
			    NULL) == 200;
}

bool lab_publish_hosts(lab_t *l)
{
	GString *d = g_string_new(NULL);
	GString *u = g_string_new(NULL);
	const lab_node_t *p = lab_find_node(l, "platform");
	char *text;
	bool ok;
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];

		if (n->role == LAB_DAEMON)
			g_string_append_printf(
				d,
				"%s{\"name\":\"%s\",\"dc\":\"%s\","
				"\"peer\":\"%s:%d\",\"leaving\":%s}",
				d->len ? "," : "", n->name, n->dc, n->ip,
				l->without_relays ? PEER_PORT : RELAY_PORT,
				n->leaving ? "true" : "false");
		if (n->role == LAB_UPSTREAM && n->leaving)
			g_string_append_printf(u, "%s\"%s\"", u->len ? "," : "",
					       n->addr);
	}
	text = g_strdup_printf(
		"{\"version\":%u,\"daemons\":[%s],\"leaving\":[%s]}",
		++l->hosts_version, d->str, u->str);
	ok = request_once(p->addr, "POST", "/control/hosts", text, NULL,
			  NULL) == 200;
	g_free(text);
	g_string_free(d, TRUE);
	g_string_free(u, TRUE);
	return ok;
}

static json_t *admin_get(const lab_node_t *n, const char *path)
{
	GString *out = g_string_new(NULL);
	char *addr = g_strdup_printf("%s:%d", n->ip, ADMIN_PORT);
	json_t *o = NULL;

	if (request_once(addr, "GET", path, NULL, LAB_TOKEN, out) == 200)
		o = json_loads(out->str, 0, NULL);
	g_free(addr);
	g_string_free(out, TRUE);
	return o;
}

double lab_status_number(const lab_node_t *n, const char *member)
{
	json_t *o = admin_get(n, "/v1/status");
	json_t *v = json_object_get(o, member);
	double d = json_is_boolean(v) ? json_is_true(v) : -1;

	if (json_is_number(v))
		d = json_number_value(v);
	json_decref(o);
	return d;
}

double lab_control_number(const lab_node_t *n, const char *member)
{
	GString *out = g_string_new(NULL);
	json_t *o = NULL, *v;
	double d = -1;

	if (request_once(n->addr, "GET", "/control", NULL, NULL, out) == 200)
		o = json_loads(out->str, 0, NULL);
	v = json_object_get(o, member);
	if (json_is_number(v))
		d = json_number_value(v);
	json_decref(o);
	g_string_free(out, TRUE);
	return d;
}

double lab_metric(const lab_node_t *n, const char *name)
{
	char *addr = g_strdup_printf("%s:%d", n->ip, ADMIN_PORT);
	char *line = g_strdup_printf("\ngeraniumslip_%s ", name);
	GString *out = g_string_new("\n");
	double d = -1;
	char *at;

	if (request_once(addr, "GET", "/metrics", NULL, LAB_TOKEN, out) ==
	    200) {
		at = strstr(out->str, line);
		if (at)
			d = g_ascii_strtod(at + strlen(line), NULL);
	}
	g_string_free(out, TRUE);
	g_free(line);
	g_free(addr);
	return d;
}

bool lab_is_ready(const lab_node_t *n)
{
	return request_once(n->addr, "GET", "/readyz", NULL, NULL, NULL) == 200;
}

bool lab_wait_ready(const lab_node_t *n, usec_t limit)
{
	usec_t until = standin_now() + limit;

	while (standin_now() < until) {
		if (lab_status_number(n, "ready") > 0)
			return true;
		g_usleep(POLL_PERIOD_USEC);
	}
	fprintf(stderr, "lab: %s is not ready\n", n->name);
	return false;
}

bool lab_wait_listening(const char *addr)
{
	usec_t until = standin_now() + READY_LIMIT_USEC;

	while (standin_now() < until) {
		if (request_once(addr, "GET", "/control", NULL, NULL, NULL))
			return true;
		g_usleep(POLL_PERIOD_USEC);
	}
	return false;
}
