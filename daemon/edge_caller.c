/**
 * @file edge_caller.c
 * Callers: requests in, answers out. A connection has one request at a time;
 * what a caller sends ahead waits in its buffer. A caller that closes its
 * connection has left, and its request is broken off.
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libedge.h"

#define BACKLOG 1024
#define READ_AHEAD ((size_t)512 << 10) /* bytes kept of what comes early */
#define LINGER (1 * USEC_PER_SEC)      /* for a caller to read a last answer */
/* Idle callers are given a little more than they are told. */
#define IDLE_FACTOR 1.2
#define HEAD_TIME (10 * USEC_PER_SEC) /* before a configuration is known */
#define IDLE_TIME (75 * USEC_PER_SEC) /* the same */
#define MAX_TIME_LEFT_MS 3600000.0

/** Where a connection is. */
typedef enum caller_state {
	CALLER_IDLE,   /* nothing of a request is here */
	CALLER_READ,   /* a request is coming */
	CALLER_WAIT,   /* its answer is being found */
	CALLER_LINGER, /* the last answer was written; what comes is dropped */
} caller_state_t;

struct caller {
	edge_t *e;
	struct bufferevent *bev;
	struct event *timer;
	http_msg_t msg;
	caller_state_t state;
	bool continued; /* 100 Continue was written */
	bool body_late; /* the time for the head is over */
	GString *forward;
	caller_t *prev;
	caller_t *next;
};

struct callers {
	struct evconnlistener *listener;
	caller_t *head;
	size_t n;
};

static void set_timer(caller_t *c, usec_t in)
{
	struct timeval tv = { in / USEC_PER_SEC, in % USEC_PER_SEC };

	evtimer_add(c->timer, &tv);
}

static void caller_free(caller_t *c)
{
	struct callers *all = c->e->callers;

	if (c->prev)
		c->prev->next = c->next;
	else
		all->head = c->next;
	if (c->next)
		c->next->prev = c->prev;
	all->n--;
	event_free(c->timer);
	bufferevent_free(c->bev);
	http_msg_clear(&c->msg);
	g_string_free(c->forward, TRUE);
	free(c);
}

const GString *caller_forward_head(const caller_t *c)
{
	return c->forward;
}

str_t caller_body(const caller_t *c)
{
	return (str_t){ c->msg.body->str, c->msg.body->len };
}

str_t caller_id(const caller_t *c)
{
	return http_msg_get(&c->msg, c->e->outside->headers[OUTSIDE_ID]);
}

bool caller_head_only(const caller_t *c)
{
	return c->msg.parser.method == HTTP_HEAD;
}

static void start_linger(caller_t *c)
{
	c->state = CALLER_LINGER;
	set_timer(c, LINGER);
	/* Callers see the end at once; a reset could take the answer away. */
	if (evbuffer_get_length(bufferevent_get_output(c->bev)) == 0)
		shutdown(bufferevent_getfd(c->bev), SHUT_WR);
}

static const rt_limits_t *limits(const caller_t *c)
{
	static const rt_limits_t none = {
		.header_bytes = (size_t)64 << 10,
		.body_bytes = MAX_BODY,
		.header_time = HEAD_TIME,
		.idle_time = IDLE_TIME,
	};
	const rt_conf_t *conf = rt_conf(c->e->rt);

	return conf ? &conf->limits : &none;
}

static void wait_for_request(caller_t *c)
{
	const rt_limits_t *l = limits(c);

	http_msg_reset(&c->msg, HTTP_REQUEST);
	c->msg.head_limit = l->header_bytes;
	c->msg.body_limit = l->body_bytes;
	c->continued = false;
	c->body_late = false;
	c->state = CALLER_IDLE;
	set_timer(c, (usec_t)((double)l->idle_time * IDLE_FACTOR));
	/* Not from here: an answer may be on its way up the stack. */
	if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

/* Ends the head of an answer and what follows it. */
static void finish(caller_t *c, struct evbuffer *out, str_t body, bool keep)
{
	keep = keep && c->msg.keep && !c->e->stopping;
	evbuffer_add_printf(out, "Content-Length: %zu\r\n%s\r\n", body.sz,
			    keep ? "" : "Connection: close\r\n");
	if (!caller_head_only(c))
		evbuffer_add(out, body.s, body.sz);
	if (keep)
		wait_for_request(c);
	else
		start_linger(c);
}

static void begin(struct evbuffer *out, unsigned status)
{
	const char *reason = http_status_str((enum http_status)status);

	evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\n", status,
			    reason[0] == '<' ? "Status" : reason);
}

/* An answer of this process's own; why is told for operators. */
static void answer_own(caller_t *c, unsigned status, const char *why,
		       usec_t retry_after, bool keep)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	char body[96];
	int n = snprintf(body, sizeof(body), "{\"reason\":\"%s\"}\n", why);

	begin(out, status);
	evbuffer_add_printf(out, "Content-Type: application/json\r\n");
	if (retry_after > 0)
		evbuffer_add_printf(out, "%s: %.3f\r\n",
				    c->e->outside->headers[OUTSIDE_RETRY_AFTER],
				    (double)retry_after / (double)USEC_PER_SEC);
	finish(c, out, (str_t){ body, (size_t)n }, keep);
}

static void answer_pass(caller_t *c, const rt_reply_t *r)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	begin(out, r->status);
	evbuffer_add(out, r->head.s, r->head.sz);
	finish(c, out, r->body, true);
}

static void answer_merged(caller_t *c, const rt_answer_t *a)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	const char *const *headers = c->e->outside->headers;
	size_t i;

	begin(out, 200);
	evbuffer_add_printf(out, "%s: ", headers[OUTSIDE_STAMPS]);
	for (i = 0; i < a->nstamps; i++)
		evbuffer_add_printf(out, "%s%.*s", i ? ", " : "",
				    STR_ARG(a->stamps[i]));
	evbuffer_add_printf(out, "\r\n%s: %zu\r\n", headers[OUTSIDE_MISSING],
			    a->missing);
	finish(c, out, a->body, true);
}

void caller_answer(caller_t *c, const rt_answer_t *a)
{
	static const unsigned statuses[RT_OUT_MAX] = {
		[RT_OUT_NOT_RUN] = 503,
		[RT_OUT_UNKNOWN] = 502,
		[RT_OUT_TIMEOUT] = 504,
		[RT_OUT_NO_ROUTE] = 404,
	};

	if (a->outcome == RT_OUT_PASS)
		answer_pass(c, a->reply);
	else if (a->outcome == RT_OUT_MERGED)
		answer_merged(c, a);
	else
		answer_own(c, statuses[a->outcome], rt_why_name(a->why),
			   a->retry_after, true);
}

/* A request that breaks the rules: its connection is of no further use. */
static void reject(caller_t *c, unsigned status, const char *why)
{
	char id[128];

	log_json(G_LOG_LEVEL_INFO, "rejected",
		 "\"why\":\"%s\",\"status\":%u,\"request\":%s", why, status,
		 log_quote(id, sizeof(id), caller_id(c)));
	answer_own(c, status, why, 0, false);
}

static bool is_ours(const caller_t *c, str_t name)
{
	const char *const *headers = c->e->outside->headers;

	return http_name_is(name, headers[OUTSIDE_TIME_LEFT]) ||
	       http_name_is(name, headers[OUTSIDE_SERVER_ID]);
}

/* What every server gets; each send adds its own lines and the blank one. */
static void build_forward(caller_t *c)
{
	const http_msg_t *m = &c->msg;
	str_t target = http_msg_start(m);
	str_t name, value;
	size_t i;

	g_string_printf(c->forward, "%s ", http_method_str(m->parser.method));
	g_string_append_len(c->forward, target.s, (gssize)target.sz);
	g_string_append(c->forward, " HTTP/1.1\r\n");
	for (i = 0; http_msg_line(m, i, &name, &value); i++) {
		if (http_is_hop(m, name) || is_ours(c, name))
			continue;
		g_string_append_len(c->forward, name.s, (gssize)name.sz);
		g_string_append(c->forward, ": ");
		g_string_append_len(c->forward, value.s, (gssize)value.sz);
		g_string_append(c->forward, "\r\n");
	}
	if (m->body->len || http_msg_has(m, "Content-Length") ||
	    http_msg_has(m, "Transfer-Encoding"))
		g_string_append_printf(c->forward, "Content-Length: %zu\r\n",
				       m->body->len);
}

/* The host without its port, in lower case. */
static str_t host_of(const http_msg_t *m, char *buf, size_t room)
{
	str_t v = http_msg_get(m, "Host");
	size_t i;

	for (i = 0; i < v.sz && i < room && v.s[i] != ':'; i++)
		buf[i] = (char)tolower((unsigned char)v.s[i]);
	return (str_t){ buf, i };
}

/* The time that the caller waits; 0 if it does not tell, below 0 if wrong. */
static usec_t time_left(const caller_t *c)
{
	const char *name = c->e->outside->headers[OUTSIDE_TIME_LEFT];
	str_t v = http_msg_get(&c->msg, name);
	char text[32];
	char *end;
	double ms;

	if (!http_msg_has(&c->msg, name))
		return 0;
	str_copy(text, sizeof(text), v);
	ms = strtod(text, &end);
	if (end == text || *end || !(ms >= 0) || ms > MAX_TIME_LEFT_MS)
		return -1;
	/* No time at all is told by the shortest one there is. */
	return ms > 0 ? (usec_t)(ms * (double)USEC_PER_MSEC) : 1;
}

static void take_request(caller_t *c)
{
	char host[256];
	rt_request_t r = { .caller = c };

	evtimer_del(c->timer);
	c->state = CALLER_WAIT;
	r.left = time_left(c);
	if (!http_msg_has(&c->msg, "Host") || r.left < 0) {
		reject(c, 400, r.left < 0 ? "time_left" : "host");
		return;
	}
	rt_awake(c->e->rt, clock_now());
	build_forward(c);
	r.id = caller_id(c);
	r.host = host_of(&c->msg, host, sizeof(host));
	r.path = http_msg_start(&c->msg);
	rt_request(c->e->rt, &r, clock_now());
}

static void reject_fault(caller_t *c)
{
	static const struct {
		unsigned status;
		const char *why;
	} faults[] = {
		[HTTP_FAULT_SYNTAX] = { 400, "syntax" },
		[HTTP_FAULT_HEAD_SIZE] = { 431, "header_size" },
		[HTTP_FAULT_BODY_SIZE] = { 413, "body_size" },
	};

	reject(c, faults[c->msg.fault].status, faults[c->msg.fault].why);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	caller_t *c = arg;

	if (c->state == CALLER_LINGER) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	if (c->state == CALLER_WAIT || evbuffer_get_length(in) == 0)
		return;
	if (c->state == CALLER_IDLE) {
		c->state = CALLER_READ;
		set_timer(c, limits(c)->header_time);
	}
	if (!http_msg_feed(&c->msg, in)) {
		reject_fault(c);
	} else if (c->msg.done) {
		take_request(c);
	} else if (c->msg.head_done && !c->continued &&
		   http_msg_has(&c->msg, "Expect")) {
		c->continued = true;
		evbuffer_add_printf(bufferevent_get_output(bev),
				    "HTTP/1.1 100 Continue\r\n\r\n");
	}
	edge_step(c->e);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	caller_t *c = arg;

	if (c->state == CALLER_LINGER)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	caller_t *c = arg;
	edge_t *e = c->e;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	if (c->state == CALLER_WAIT)
		rt_left(e->rt, c, clock_now());
	caller_free(c);
	edge_step(e);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	caller_t *c = arg;

	(void)fd;
	(void)what;
	if (c->state == CALLER_READ && c->msg.head_done && !c->body_late) {
		/* The first time was for the head; a body gets its own. */
		c->body_late = true;
		set_timer(c, limits(c)->idle_time);
	} else if (c->state == CALLER_READ) {
		reject(c, 408, c->msg.head_done ? "body_time" : "header_time");
	} else {
		caller_free(c);
	}
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int sz, void *arg)
{
	edge_t *e = arg;
	caller_t *c = xcalloc(1, sizeof(*c));

	(void)l;
	(void)sa;
	(void)sz;
	edge_socket_options(fd);
	c->e = e;
	c->bev = bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(e->base, on_timer, c);
	c->forward = g_string_sized_new(512);
	http_msg_init(&c->msg, HTTP_REQUEST);
	c->next = e->callers->head;
	if (c->next)
		c->next->prev = c;
	e->callers->head = c;
	e->callers->n++;
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD);
	wait_for_request(c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

bool callers_start(edge_t *e, const char *addr)
{
	struct sockaddr_in sa = listen_address(addr);

	e->callers = xcalloc(1, sizeof(*e->callers));
	e->callers->listener = evconnlistener_new_bind(
		e->base, on_accept, e,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
		(struct sockaddr *)&sa, sizeof(sa));
	return e->callers->listener != NULL;
}

void callers_close_listener(edge_t *e)
{
	if (e->callers->listener)
		evconnlistener_free(e->callers->listener);
	e->callers->listener = NULL;
}

void callers_close_idle(edge_t *e)
{
	caller_t *c, *next;

	for (c = e->callers->head; c; c = next) {
		next = c->next;
		if (c->state == CALLER_IDLE &&
		    evbuffer_get_length(bufferevent_get_input(c->bev)) == 0)
			start_linger(c);
	}
}

size_t callers_open(const edge_t *e)
{
	return e->callers->n;
}

void callers_free(edge_t *e)
{
	caller_t *c, *next;

	if (!e->callers)
		return;
	callers_close_listener(e);
	for (c = e->callers->head; c; c = next) {
		next = c->next;
		caller_free(c);
	}
	free(e->callers);
}
