/**
 * @file edge_link.c
 * Connections to servers. One carries one request at a time and is kept only
 * if its answer was whole, in order, and followed by nothing.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libedge.h"

#define CONNECT_TIME_MS 400		/* beyond it a server counts as away */
#define IDLE_DEFAULT (5 * USEC_PER_SEC) /* where a server tells no time */
#define IDLE_MARGIN                                                            \
	(700 * USEC_PER_MSEC) /* before its time: close crossing               \
			       */
/* A request that must not run twice takes a connection used since then. */
#define FRESH (1 * USEC_PER_SEC)
/* Connections to servers that are not kept stay open for a few requests. When
 * all hosts lose power, servers hold what was open then for some seconds beside
 * the new ones: with 2 s here they are over their limits. */
#define SPARE_IDLE (1 * USEC_PER_SEC)
#define IDLE_LOOK (250 * USEC_PER_MSEC) /* between looks for idle ones */

/** Where a connection is. */
typedef enum link_state {
	LINK_OPENING, /* may have a request already */
	LINK_IDLE,
	LINK_BUSY,
} link_state_t;

/* The connections to one server. */
typedef struct target {
	uint64_t server;
	char addr[32];
	GQueue idle; /* link_t, used last first */
	unsigned n;
	bool keep;
	bool closed;
} target_t;

typedef struct link {
	links_t *all;
	target_t *to;
	struct bufferevent *bev;
	http_msg_t msg;
	link_state_t state;
	bool up;      /* connected once */
	bool served;  /* an answer came on it before */
	uint64_t aid; /* 0: none */
	char id[64];  /* of the request */
	usec_t used_at;
	usec_t idle_time;
} link_t;

struct links {
	edge_t *e;
	GHashTable *targets; /* server to target_t */
	GHashTable *busy;    /* attempt to link_t */
	GHashTable *open;    /* every link_t */
	struct event *look;
};

static void on_read(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);

static void target_release(target_t *t)
{
	if (t->closed && t->n == 0)
		free(t);
}

static void link_free(link_t *k)
{
	target_t *t = k->to;

	if (k->state == LINK_IDLE)
		g_queue_remove(&t->idle, k);
	if (k->aid)
		g_hash_table_remove(k->all->busy, &k->aid);
	t->n--;
	g_hash_table_remove(k->all->open, k);
	bufferevent_free(k->bev);
	http_msg_clear(&k->msg);
	free(k);
	target_release(t);
}

static link_t *link_new(links_t *l, target_t *t)
{
	struct timeval limit = { CONNECT_TIME_MS / 1000,
				 CONNECT_TIME_MS % 1000 * 1000 };
	struct sockaddr_in sa = listen_address(t->addr);
	link_t *k = xcalloc(1, sizeof(*k));

	k->all = l;
	k->to = t;
	k->idle_time = IDLE_DEFAULT;
	http_msg_init(&k->msg, HTTP_RESPONSE);
	k->bev = bufferevent_socket_new(l->e->base, edge_socket(),
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(k->bev, on_read, NULL, on_event, k);
	bufferevent_set_timeouts(k->bev, NULL, &limit);
	bufferevent_enable(k->bev, EV_READ | EV_WRITE);
	t->n++;
	g_hash_table_add(l->open, k);
	if (bufferevent_socket_connect(k->bev, (struct sockaddr *)&sa,
				       sizeof(sa)) == 0)
		return k;
	link_free(k);
	return NULL;
}

static void set_idle(link_t *k)
{
	k->state = LINK_IDLE;
	g_queue_push_head(&k->to->idle, k);
}

static target_t *target_get(links_t *l, uint64_t server, str_t addr)
{
	target_t *t = g_hash_table_lookup(l->targets, &server);

	if (t)
		return t;
	t = xcalloc(1, sizeof(*t));
	t->server = server;
	str_copy(t->addr, sizeof(t->addr), addr);
	g_queue_init(&t->idle);
	g_hash_table_insert(l->targets, &t->server, t);
	return t;
}

/* The request is over for the connection; its attempt is told of. */
static void report(link_t *k, rt_result_t r, rt_reply_t *reply)
{
	uint64_t aid = k->aid;

	g_hash_table_remove(k->all->busy, &k->aid);
	k->aid = 0;
	rt_ended(k->all->e->rt, aid, r, reply, clock_now());
}

static void fail(link_t *k, rt_result_t r)
{
	if (k->aid)
		report(k, r, NULL);
	link_free(k);
}

/* An idle connection that may be used, or NULL. */
static link_t *take_idle(target_t *t, bool once, usec_t now)
{
	link_t *k;
	usec_t unused;

	while ((k = g_queue_peek_head(&t->idle))) {
		unused = now - k->used_at;
		if (evbuffer_get_length(bufferevent_get_input(k->bev)) == 0 &&
		    unused < k->idle_time - IDLE_MARGIN &&
		    !(once && unused > FRESH)) {
			g_queue_pop_head(&t->idle);
			return k;
		}
		link_free(k);
	}
	return NULL;
}

static void write_request(link_t *k, const rt_act_t *act, usec_t now)
{
	const char *const *names = k->all->e->outside->headers;
	struct evbuffer *out = bufferevent_get_output(k->bev);
	const caller_t *c = act->send.caller;
	const GString *head = caller_forward_head(c);
	usec_t left = (act->send.deadline - now) / USEC_PER_MSEC;
	str_t body = caller_body(c);

	http_msg_reset(&k->msg, HTTP_RESPONSE);
	k->msg.no_body = caller_head_only(c);
	str_copy(k->id, sizeof(k->id), caller_id(c));
	evbuffer_add(out, head->str, head->len);
	evbuffer_add_printf(
		out, "%s: %lld\r\n%s: %.*s\r\n\r\n", names[OUTSIDE_TIME_LEFT],
		(long long)(left > 0 ? left : 1), names[OUTSIDE_SERVER_ID],
		STR_ARG(act->send.server_id));
	evbuffer_add(out, body.s, body.sz);
}

void links_send(links_t *l, const rt_act_t *act)
{
	usec_t now = clock_now();
	target_t *t = target_get(l, act->send.server, act->send.addr);
	link_t *k = take_idle(t, act->send.once, now);

	if (k)
		k->state = LINK_BUSY;
	else
		k = link_new(l, t);
	if (!k) {
		rt_ended(l->e->rt, act->send.aid, RT_NOT_SENT, NULL, now);
		return;
	}
	k->aid = act->send.aid;
	g_hash_table_insert(l->busy, &k->aid, k);
	write_request(k, act, now);
}

void links_cancel(links_t *l, uint64_t aid)
{
	link_t *k = g_hash_table_lookup(l->busy, &aid);

	if (k)
		link_free(k);
}

void links_open(links_t *l, uint64_t server, str_t addr, unsigned n, bool keep)
{
	target_t *t = target_get(l, server, addr);

	t->keep = keep;
	while (t->n < n && link_new(l, t))
		;
}

void links_close(links_t *l, uint64_t server)
{
	target_t *t = g_hash_table_lookup(l->targets, &server);
	link_t *k;

	if (!t)
		return;
	g_hash_table_remove(l->targets, &server);
	/* Kept from being freed while its connections go. */
	t->n++;
	while ((k = g_queue_peek_head(&t->idle)))
		link_free(k);
	t->n--;
	t->closed = true;
	target_release(t);
}

/* "timeout=N" of a server's line on kept connections. */
static void read_idle_time(link_t *k)
{
	str_t v = http_msg_get(&k->msg, "Keep-Alive");
	char text[64];
	const char *at;

	str_copy(text, sizeof(text), v);
	at = strstr(text, "timeout=");
	if (at)
		k->idle_time = (usec_t)strtoul(at + 8, NULL, 10) * USEC_PER_SEC;
}

static void append_line(GString *to, str_t name, str_t value)
{
	g_string_append_len(to, name.s, (gssize)name.sz);
	g_string_append(to, ": ");
	g_string_append_len(to, value.s, (gssize)value.sz);
	g_string_append(to, "\r\n");
}

/* The answer as the decisions and the caller need it. */
static rt_reply_t *make_reply(const link_t *k)
{
	const http_msg_t *m = &k->msg;
	rt_reply_t *r = xcalloc(1, sizeof(*r));
	GString *head = g_string_sized_new(256);
	str_t stamp, name, value;
	size_t i;

	stamp = http_msg_get(m, k->all->e->outside->headers[OUTSIDE_STAMP]);
	r->refs = 1;
	r->status = m->parser.status_code;
	for (i = 0; http_msg_line(m, i, &name, &value); i++)
		if (!http_is_hop(m, name))
			append_line(head, name, value);
	r->head.sz = head->len;
	g_string_append_len(head, stamp.s, (gssize)stamp.sz);
	r->stamp.sz = stamp.sz;
	r->mem = g_string_free(head, FALSE);
	r->head.s = r->mem;
	r->stamp.s = r->head.s + r->head.sz;
	r->body = str_dup((str_t){ m->body->str, m->body->len });
	return r;
}

static rt_result_t classify(const link_t *k)
{
	const outside_t *o = k->all->e->outside;
	const http_msg_t *m = &k->msg;
	unsigned status = m->parser.status_code;

	if ((int)status == o->misdirected_status)
		return RT_MOVED;
	if (http_msg_has(m, o->headers[OUTSIDE_NOT_RUN]))
		return RT_NOT_RUN;
	if (!http_msg_has(m, o->headers[OUTSIDE_STAMP]) ||
	    http_msg_has(m, "Content-Encoding"))
		return RT_LOST;
	return status >= 200 && status < 300 ? RT_ANSWERED : RT_FAILED;
}

/* Whether the answer is the one to the request that was sent. */
static bool is_ours(const link_t *k)
{
	const char *name = k->all->e->outside->headers[OUTSIDE_ID];
	str_t id = http_msg_get(&k->msg, name);

	if (!http_msg_has(&k->msg, name))
		return !k->served;
	return str_eq(id, str_of(k->id));
}

static void log_stray(const link_t *k, const char *what)
{
	char id[160], got[160];

	log_json(G_LOG_LEVEL_INFO, "stray answer",
		 "\"what\":\"%s\",\"server\":\"%s\",\"request\":%s,\"got\":%s",
		 what, k->to->addr, log_quote(id, sizeof(id), str_of(k->id)),
		 log_quote(got, sizeof(got),
			   http_msg_get(
				   &k->msg,
				   k->all->e->outside->headers[OUTSIDE_ID])));
}

/* A whole answer is here. */
static void take_answer(link_t *k)
{
	struct evbuffer *in = bufferevent_get_input(k->bev);
	rt_result_t r = classify(k);
	rt_reply_t *reply = NULL;
	bool keep = k->msg.keep && !k->to->closed && r != RT_MOVED;

	if (evbuffer_get_length(in)) {
		log_stray(k, "bytes after the answer");
		keep = false;
	}
	read_idle_time(k);
	k->served = true;
	k->used_at = clock_now();
	if (r == RT_ANSWERED || r == RT_FAILED)
		reply = make_reply(k);
	if (keep) {
		/* Free before it is told: the next send may want it. */
		set_idle(k);
		report(k, r, reply);
	} else {
		report(k, r, reply);
		link_free(k);
	}
}

static void read_answer(link_t *k)
{
	struct evbuffer *in = bufferevent_get_input(k->bev);

	for (;;) {
		if (!http_msg_feed(&k->msg, in)) {
			log_stray(k, "not an answer");
			fail(k, RT_LOST);
			return;
		}
		if (!k->msg.done)
			return;
		if (k->msg.parser.status_code >= 200 && is_ours(k))
			break;
		/* One for an earlier request; ours may still follow it. */
		if (k->msg.parser.status_code >= 200) {
			log_stray(k, "of another request");
			k->msg.keep = false;
		}
		http_msg_reset(&k->msg, HTTP_RESPONSE);
	}
	take_answer(k);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	link_t *k = arg;
	edge_t *e = k->all->e;

	(void)bev;
	if (k->aid)
		read_answer(k);
	else
		link_free(k); /* nothing was asked */
	edge_step(e);
}

static void on_connected(link_t *k)
{
	k->up = true;
	k->used_at = clock_now();
	bufferevent_set_timeouts(k->bev, NULL, NULL);
	if (k->aid)
		k->state = LINK_BUSY;
	else
		set_idle(k);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	link_t *k = arg;
	edge_t *e = k->all->e;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		on_connected(k);
		return;
	}
	if (k->aid && (what & BEV_EVENT_EOF) && k->msg.begun &&
	    http_msg_eof(&k->msg) && is_ours(k)) {
		k->msg.keep = false;
		take_answer(k);
	} else {
		fail(k, k->up ? RT_LOST : RT_NOT_SENT);
	}
	edge_step(e);
}

/* Closes those that the server is about to close, or that are spare. */
static void close_unused(target_t *t, usec_t now)
{
	usec_t limit;
	link_t *k;

	while ((k = g_queue_peek_tail(&t->idle))) {
		limit = k->idle_time - IDLE_MARGIN;
		if (!t->keep && limit > SPARE_IDLE)
			limit = SPARE_IDLE;
		if (now - k->used_at < limit)
			return;
		link_free(k);
	}
}

static void on_look(evutil_socket_t fd, short what, void *arg)
{
	usec_t now = clock_now();
	links_t *l = arg;
	GHashTableIter it;
	gpointer v;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, l->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		close_unused(v, now);
}

links_t *links_new(edge_t *e)
{
	struct timeval period = { 0, IDLE_LOOK };
	links_t *l = xcalloc(1, sizeof(*l));

	l->e = e;
	l->targets = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->busy = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->open = g_hash_table_new(NULL, NULL);
	l->look = event_new(e->base, -1, EV_PERSIST, on_look, l);
	evtimer_add(l->look, &period);
	return l;
}

void links_free(links_t *l)
{
	GHashTableIter it;
	gpointer v;

	if (!l)
		return;
	event_free(l->look);
	for (;;) {
		g_hash_table_iter_init(&it, l->open);
		if (!g_hash_table_iter_next(&it, &v, NULL))
			break;
		link_free(v);
	}
	g_hash_table_iter_init(&it, l->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		free(v);
	g_hash_table_destroy(l->targets);
	g_hash_table_destroy(l->busy);
	g_hash_table_destroy(l->open);
	free(l);
}
