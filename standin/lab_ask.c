/** @file lab_ask.c Sends requests to a lab's daemons and reads the journals of
 * its servers. */
#include "liblab.h"

#include <jansson.h>
#include <ne_request.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define REQUEST_TIMEOUT_S 30

void *lab_client_open(const lab_t *l, unsigned daemon)
{
	char ip[ADDR_HOST_MAX], addr[32];

	lab_host_ip(l, DAEMON_HOST + daemon, ip);
	snprintf(addr, sizeof(addr), "%s:%d", ip, DAEMON_PORT);
	return lab_open_session(addr);
}

void lab_client_free(void *session)
{
	ne_session_destroy(session);
}

static void add_group(GHashTable *groups, const char *id)
{
	const char *dash = strrchr(id, '-');

	if (dash)
		g_hash_table_add(groups, g_strndup(id, (gsize)(dash - id)));
}

static void read_hits(lab_call_t *call, json_t *hits)
{
	GHashTable *groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *tag, *id;
	json_t *h;
	size_t i;

	json_array_foreach(hits, i, h) {
		tag = json_string_value(json_object_get(h, "tag"));
		id = json_string_value(json_object_get(h, "id"));
		if (!tag || strcmp(tag, call->tag) != 0)
			call->has_foreign_hit = true;
		if ((uint64_t)json_integer_value(
			    json_object_get(h, "snapshot")) != call->snapshot)
			call->has_other_snapshot = true;
		if (id)
			add_group(groups, id);
	}
	call->hit_groups = g_hash_table_size(groups);
	g_hash_table_destroy(groups);
}

static void copy_member(char *to, size_t sz, json_t *o, const char *key)
{
	const char *v = json_string_value(json_object_get(o, key));

	g_strlcpy(to, v ? v : "", sz);
}

static void read_answer(lab_call_t *call, const GString *out)
{
	json_t *o = json_loadb(out->str, out->len, 0, NULL);
	json_t *c = json_object_get(o, "coverage");

	copy_member(call->outcome, sizeof(call->outcome), o, "outcome");
	copy_member(call->reason, sizeof(call->reason), o, "reason");
	call->snapshot =
		(uint64_t)json_integer_value(json_object_get(o, "snapshot"));
	call->answered =
		(unsigned)json_integer_value(json_object_get(c, "answered"));
	call->total = (unsigned)json_integer_value(json_object_get(c, "total"));
	call->missing =
		(unsigned)json_array_size(json_object_get(c, "missing"));
	read_hits(call, json_object_get(o, "hits"));
	json_decref(o);
}

/* Provides the request body once. neon starts the body again when it resends a
 * request on a new connection; that fails here, because a non-idempotent
 * request must not be sent twice. */
static ssize_t provide_body_once(void *ud, char *buf, size_t sz)
{
	struct {
		const char *body;
		size_t at;
		unsigned starts;
	} *s = ud;
	size_t left;

	if (sz == 0) {
		s->at = 0;
		return s->starts++ ? -1 : 0;
	}
	left = strlen(s->body) - s->at;
	if (sz > left)
		sz = left;
	memcpy(buf, s->body + s->at, sz);
	s->at += sz;
	return (ssize_t)sz;
}

void lab_send_call_on(void *session, lab_call_t *call)
{
	char path[192], body[128];
	struct {
		const char *body;
		size_t at;
		unsigned starts;
	} sender = { .body = body };
	GString *out = g_string_new(NULL);
	usec_t began = standin_now();
	ne_request *req;

	snprintf(path, sizeof(path), "/v1/services/%s/search", call->service);
	snprintf(body, sizeof(body), "{\"tag\":\"%s\"}", call->tag);
	req = ne_request_create(session, "POST", path);
	ne_add_request_header(req, "Gs-Class", call->class_name);
	ne_add_request_header(req, "Gs-Limit", "1000");
	if (*call->route)
		ne_add_request_header(req, "Gs-Route", call->route);
	if (*call->key)
		ne_add_request_header(req, "Idempotency-Key", call->key);
	if (call->deadline_ms)
		ne_print_request_header(req, "Gs-Deadline-Ms", "%u",
					call->deadline_ms);
	ne_set_request_body_provider(req, (ne_off_t)strlen(body),
				     provide_body_once, &sender);
	ne_add_response_body_reader(req, ne_accept_always, lab_append_body,
				    out);
	ne_set_read_timeout(session, REQUEST_TIMEOUT_S);
	if (ne_request_dispatch(req) == NE_OK)
		call->status = (unsigned)ne_get_status(req)->code;
	call->latency = standin_now() - began;
	read_answer(call, out);
	ne_request_destroy(req);
	call->body = g_string_free(out, FALSE);
}

void lab_send_call(const lab_t *l, lab_call_t *call)
{
	void *s = lab_client_open(l, call->daemon_index);

	lab_send_call_on(s, call);
	lab_client_free(s);
}

static void parse_journal_line(GArray *entries, const char *line, size_t sz)
{
	json_t *o = json_loadb(line, sz, 0, NULL);
	lab_journal_entry_t entry = { 0 };

	if (!o)
		return;
	entry.time = json_integer_value(json_object_get(o, "t"));
	entry.snapshot =
		(uint64_t)json_integer_value(json_object_get(o, "snapshot"));
	entry.map = (unsigned)json_integer_value(json_object_get(o, "map"));
	copy_member(entry.server, sizeof(entry.server), o, "server");
	copy_member(entry.group, sizeof(entry.group), o, "group");
	copy_member(entry.event, sizeof(entry.event), o, "event");
	copy_member(entry.tag, sizeof(entry.tag), o, "tag");
	g_array_append_val(entries, entry);
	json_decref(o);
}

static void read_journal(GArray *entries, const char *path)
{
	char *text = NULL;
	char **lines, **p;
	gsize sz;

	if (!g_file_get_contents(path, &text, &sz, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (p = lines; *p; p++)
		if (**p)
			parse_journal_line(entries, *p, strlen(*p));
	g_strfreev(lines);
	g_free(text);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const lab_journal_entry_t *x = a, *y = b;

	return (x->time > y->time) - (x->time < y->time);
}

GArray *lab_journal(const lab_t *l)
{
	GArray *entries =
		g_array_new(FALSE, FALSE, sizeof(lab_journal_entry_t));
	guint i;

	for (i = 0; i < l->nodes->len; i++) {
		const lab_node_t *n = l->nodes->pdata[i];
		char *path;

		if (n->role != LAB_UPSTREAM)
			continue;
		path = g_strdup_printf("%s/journal-%s", l->dir, n->addr);
		read_journal(entries, path);
		g_free(path);
	}
	g_array_sort(entries, compare_times);
	return entries;
}
