/**
 * @file case.c
 * The store's list of items has pages of 50, and holds entries of another
 * writer with keys of 200 bytes, the longest that the store takes. A daemon is
 * started. Later the configuration moves a route to another service.
 */
#include <stdlib.h>
#include <string.h>

#include "../common/rig.h"

#define PAGE_ITEMS 50
#define DESK_SERVERS 7
#define MAIL_SERVERS 3
#define SERVERS 85 /* with the configuration, 86 items */
#define OTHERS 20
#define OTHER_LETTERS 96 /* of two bytes each, after the prefix of 8 */
#define CHANGE_AT_MS 12000
#define APPLY_MS 3000
#define AFTER_MS 6000
#define REQUEST_PERIOD_MS 50
#define LIMIT_MS 2000
#define WATCH_POLL_MS 20

/* An item of the store, in the order of the keys. */
typedef struct entry {
	char *key;
	char *value;
	unsigned revision;
} entry_t;

/* A request for changes that waits. */
typedef struct watch {
	unsigned after;
	usec_t until;
} watch_t;

static GPtrArray *entries;
static GHashTable *watches; /* world_conn_t to watch_t */
static unsigned revision = 100;
static unsigned list_requests;

static int by_key(const void *a, const void *b)
{
	return strcmp((*(entry_t *const *)a)->key, (*(entry_t *const *)b)->key);
}

static void add_entry(char *key, char *value)
{
	entry_t *e = g_new0(entry_t, 1);

	e->key = key;
	e->value = value;
	e->revision = ++revision;
	g_ptr_array_add(entries, e);
	g_ptr_array_sort(entries, by_key);
}

static void reply(world_conn_t *c, const char *status, const GString *body)
{
	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    status, body->len, body->str);
	world_conn_read_next(c);
}

/* The value of an argument of the query, unescaped; NULL if it is malformed. */
static char *argument(const char *target, const char *name)
{
	const char *at = strstr(target, name);
	char *text, *value;

	if (!at)
		return g_strdup("");
	text = g_strndup(at + strlen(name), strcspn(at + strlen(name), "&"));
	value = g_uri_unescape_string(text, NULL);
	g_free(text);
	return value;
}

static void reply_list(world_conn_t *c, const char *target)
{
	const world_protocol_t *p = c->w->protocol;
	char *after = argument(target, p->after_arg);
	GString *out = g_string_new(NULL);
	unsigned n = 0;
	bool more = false;
	guint i;

	list_requests++;
	if (!after) {
		reply(c, "400 Bad Request", out);
		g_string_free(out, TRUE);
		return;
	}
	g_string_append(out, p->list_frame[0]);
	for (i = 0; i < entries->len; i++) {
		const entry_t *e = entries->pdata[i];

		if (strcmp(e->key, after) <= 0)
			continue;
		more = n == PAGE_ITEMS;
		if (more)
			break;
		g_string_append(out, n++ ? "," : "");
		p->append_item(out, e->key, e->value, e->revision);
	}
	g_string_append_printf(out, "%s%u}", p->list_frame[1], revision);
	if (more)
		g_string_replace(out, "false", "true", 1);
	reply(c, "200 OK", out);
	g_string_free(out, TRUE);
	g_free(after);
}

/* Answers a watch if there is a change or its wait is over. */
static void on_watch_poll(evutil_socket_t fd, short what, void *arg)
{
	world_conn_t *c = arg;
	const watch_t *x = g_hash_table_lookup(watches, c);
	const world_protocol_t *p = c->w->protocol;
	GString *out;
	unsigned n = 0;
	guint i;

	(void)fd;
	(void)what;
	if (revision == x->after && standin_now() < x->until) {
		world_conn_set_timer(c, WATCH_POLL_MS, on_watch_poll);
		return;
	}
	out = g_string_new(p->changes_frame[0]);
	for (i = 0; i < entries->len; i++) {
		const entry_t *e = entries->pdata[i];

		if (e->revision <= x->after)
			continue;
		g_string_append(out, n++ ? "," : "");
		p->append_item(out, e->key, e->value, e->revision);
	}
	g_string_append_printf(out, "%s%u}", p->changes_frame[1], revision);
	reply(c, "200 OK", out);
	g_string_free(out, TRUE);
}

static unsigned number(const char *target, const char *name)
{
	char *text = argument(target, name);
	unsigned n = (unsigned)strtoul(text, NULL, 10);

	g_free(text);
	return n;
}

static void start_watch(world_conn_t *c, const char *target)
{
	const world_protocol_t *p = c->w->protocol;
	watch_t *x = g_new0(watch_t, 1);

	x->after = number(target, p->after_arg);
	x->until = standin_now() + number(target, p->wait_arg) * USEC_PER_MSEC;
	g_hash_table_replace(watches, c, x);
	on_watch_poll(-1, 0, c);
}

static void on_store_request(world_conn_t *c)
{
	str_t v = http_msg_target(&c->msg);
	char *target = g_strndup(v.s, v.sz);

	if (g_str_has_prefix(target, c->w->protocol->list_path))
		reply_list(c, target);
	else
		start_watch(c, target);
	g_free(target);
}

static void on_store_closed(world_conn_t *c)
{
	g_hash_table_remove(watches, c);
}

static void on_store_accept(struct evconnlistener *l, evutil_socket_t fd,
			    struct sockaddr *sa, int sz, void *arg)
{
	(void)l;
	(void)sa;
	(void)sz;
	world_conn_new(arg, NULL, fd, on_store_request, on_store_closed);
}

static void handle(rig_server_t *s, world_conn_t *c)
{
	char id[64];

	rig_id(c, id, sizeof(id));
	rig_ran(s, id);
	rig_answer(c, "200 OK", "");
}

static const char *service_of(unsigned i)
{
	if (i < DESK_SERVERS)
		return "compliance-desk";
	return i < DESK_SERVERS + MAIL_SERVERS ? "statement-mail"
					       : "counter-app";
}

static void add_servers(rig_t *r)
{
	rig_server_t *s;
	unsigned i;
	char id[16];

	add_entry(g_strdup(r->w->protocol->config_key),
		  rig_text(r, "config.json"));
	for (i = 0; i < SERVERS; i++) {
		g_snprintf(id, sizeof(id), "i-7f3a91%02x", i);
		s = rig_server(r, id, service_of(i), "almaty-a", handle);
		add_entry(g_strdup_printf("servers/%s", id),
			  r->w->protocol->format_entry(&s->ws, "ready"));
	}
}

/* Entries that name no server to use. */
static void add_others(rig_t *r)
{
	GString *key;
	unsigned i, n;

	for (i = 0; i < OTHERS; i++) {
		key = g_string_new("servers/");
		for (n = 0; n < OTHER_LETTERS - 1; n++)
			g_string_append(key, "\xd2\x9b");
		g_string_append_unichar(key, 0x430 + i);
		rig_note(r, "another writer's key has %zu bytes", key->len);
		add_entry(g_string_free(key, FALSE), g_strdup("{}"));
	}
}

static void send_requests(rig_t *r, unsigned ms)
{
	unsigned until = rig_ms(r) + ms;

	while (rig_ms(r) < until) {
		rig_call(r, "GET /audit/2f", "", LIMIT_MS);
		world_run_loop(r->w, REQUEST_PERIOD_MS);
	}
}

static unsigned served(const rig_t *r, guint from)
{
	unsigned n = 0;
	guint i;

	for (i = from; i < r->calls->len; i++)
		n += ((rig_call_t *)r->calls->pdata[i])->status == 200;
	return n;
}

/* The runs at the servers of a service. */
static unsigned runs_of(const rig_t *r, const char *service)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < r->servers->len; i++) {
		const rig_server_t *s = r->servers->pdata[i];

		if (strcmp(s->ws.service, service) == 0)
			n += s->ws.runs;
	}
	return n;
}

static void change_config(rig_t *r)
{
	guint i;

	for (i = 0; i < entries->len; i++) {
		entry_t *e = entries->pdata[i];

		if (strcmp(e->key, r->w->protocol->config_key) != 0)
			continue;
		g_free(e->value);
		e->value = rig_text(r, "config-2.json");
		e->revision = ++revision;
	}
	rig_note(r, "the store acknowledges a configuration that moves the "
		    "route to statement-mail");
}

/* Returns how many requests the old service ran although they were sent after
 * the time for a change to be in force. */
static unsigned play(rig_t *r)
{
	unsigned old;
	guint from;

	send_requests(r, CHANGE_AT_MS);
	change_config(r);
	send_requests(r, APPLY_MS);
	world_run_loop(r->w, LIMIT_MS);
	old = runs_of(r, "compliance-desk");
	from = r->calls->len;
	rig_note(r, "the configuration must be in force");
	send_requests(r, AFTER_MS);
	world_run_loop(r->w, LIMIT_MS);
	old = runs_of(r, "compliance-desk") - old;
	rig_note(r,
		 "%u requests, %u served, %u runs by the old service; %u list "
		 "requests in all",
		 r->calls->len - from, served(r, from), old, list_requests);
	return old;
}

int main(int argc, char **argv)
{
	rig_t *r = rig_new(argc > 1 ? argv[1] : "review/3");
	struct evconnlistener *store;
	unsigned old;

	entries = g_ptr_array_new();
	watches = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	add_servers(r);
	store = world_listen(r->w, on_store_accept, r->w, r->w->store_addr);
	if (r->trouble)
		add_others(r);
	/* With the disruption, the daemon serves, but is never ready. */
	if (!rig_start_daemon(r) && !r->trouble) {
		rig_free(r);
		return 2;
	}
	old = play(r);
	evconnlistener_free(store);
	rig_free(r);
	return old ? 1 : 0;
}
