/**
 * @file edge_caller.c
 * Connections from callers: reads requests and writes answers, one request at a
 * time; pipelined requests wait in the input buffer. If a caller closes its
 * connection, its request is cancelled.
 */
#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libedge.h"

#define BACKLOG 1024
/* Bytes of later requests that are read while one waits for its answer. */
#define MAX_READ_AHEAD ((size_t)16 << 10)
/* Limit of all requests together; the smallest hosts have 160 MB. */
#define MAX_REQUESTS_BYTES ((size_t)32 << 20)
#define MEMORY_RETRY_AFTER (1 * USEC_PER_SEC) /* when that limit is reached */
/* Time for a caller to read the last answer before the connection is closed. */
#define LINGER_TIME (1 * USEC_PER_SEC)
/* Connections stay open 20 % longer than the idle time that callers expect. */
#define IDLE_TIME_FACTOR 1.2
/* Time limits in force until the first configuration arrives. */
#define DEFAULT_HEADER_TIME (10 * USEC_PER_SEC)
#define DEFAULT_IDLE_TIME (75 * USEC_PER_SEC)
/* Round trip to a caller if the kernel does not tell it, and its limit. */
#define DEFAULT_ROUND_TRIP (6 * USEC_PER_MSEC)
#define MAX_ROUND_TRIP (100 * USEC_PER_MSEC)

/** State of a connection. */
typedef enum caller_state {
	CALLER_IDLE,	  /* no byte of a request was read */
	CALLER_READING,	  /* a request is being read */
	CALLER_WAITING,	  /* the request waits for its answer */
	CALLER_LINGERING, /* after the last answer; input is discarded */
} caller_state_t;

struct caller {
	edge_t *e;
	struct bufferevent *bev;
	struct event *timer;
	http_msg_t msg;
	caller_state_t state;
	usec_t round_trip; /* to the caller, as measured at the accept */
	bool had_request;
	input_times_t input;
	usec_t earliest; /* the request in msg didn't begin to arrive before */
	usec_t accept_earliest; /* its connection wasn't open before */
	unsigned accept_turn;	/* e->turn_number at the accept */
	usec_t due_at;	    /* of the answer that is being written; 0: none */
	bool sent_continue; /* 100 Continue was written */
	bool timing_body;   /* the timer is for the body, not the headers */
	size_t received; /* bytes of memory for the request and those ahead */
	GString *forwarded_headers;
	caller_t *prev;
	caller_t *next;
};

struct callers {
	struct evconnlistener *listener;
	caller_t *head;
	size_t n;
	size_t received; /* sum of caller_t::received */
};

static void set_timer(caller_t *c, usec_t in)
{
	struct timeval tv = { in / USEC_PER_SEC, in % USEC_PER_SEC };

	evtimer_add(c->timer, &tv);
}

static void set_received(caller_t *c, size_t n)
{
	c->e->callers->received += n - c->received;
	c->received = n;
}

static void caller_free(caller_t *c)
{
	struct callers *callers = c->e->callers;

	set_received(c, 0);
	if (c->prev)
		c->prev->next = c->next;
	else
		callers->head = c->next;
	if (c->next)
		c->next->prev = c->prev;
	callers->n--;
	event_free(c->timer);
	bufferevent_free(c->bev);
	http_msg_clear(&c->msg);
	g_string_free(c->forwarded_headers, TRUE);
	free(c);
}

const GString *caller_forwarded_headers(const caller_t *c)
{
	return c->forwarded_headers;
}

str_t caller_body(const caller_t *c)
{
	return (str_t){ c->msg.body->str, c->msg.body->len };
}

str_t caller_request_id(const caller_t *c)
{
	return http_msg_get(&c->msg,
			    c->e->protocol->headers[OUTSIDE_REQUEST_ID]);
}

bool caller_wants_headers_only(const caller_t *c)
{
	return c->msg.parser.method == HTTP_HEAD;
}

static void start_linger(caller_t *c)
{
	c->state = CALLER_LINGERING;
	set_timer(c, LINGER_TIME);
	http_msg_reset(&c->msg, HTTP_REQUEST);
	set_received(c, 0);
	/* Shut down for writing only, which the caller sees at once. Closing
	 * with unread input sends a reset, which may discard the answer. */
	if (evbuffer_get_length(bufferevent_get_output(c->bev)) == 0)
		shutdown(bufferevent_getfd(c->bev), SHUT_WR);
}

static const rt_limits_t *limits(const caller_t *c)
{
	static const rt_limits_t defaults = {
		.header_bytes = (size_t)64 << 10,
		.body_bytes = MAX_BODY_BYTES,
		.header_timeout = DEFAULT_HEADER_TIME,
		.idle_timeout = DEFAULT_IDLE_TIME,
	};
	const rt_conf_t *conf = rt_conf(c->e->rt);

	return conf ? &conf->limits : &defaults;
}

static void wait_for_request(caller_t *c)
{
	const rt_limits_t *l = limits(c);

	http_msg_reset(&c->msg, HTTP_REQUEST);
	c->msg.header_limit = l->header_bytes;
	c->msg.body_limit = l->body_bytes;
	c->sent_continue = false;
	c->timing_body = false;
	c->state = CALLER_IDLE;
	set_received(c, evbuffer_get_length(bufferevent_get_input(c->bev)));
	set_timer(c, (usec_t)((double)l->idle_timeout * IDLE_TIME_FACTOR));
	/* Deferred: this may be called while an answer is being handled. */
	if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

/* Writes the last header lines and the body. */
static void finish_answer(caller_t *c, struct evbuffer *out, str_t body,
			  bool keep)
{
	keep = keep && c->msg.keep_alive && !c->e->stopping;
	evbuffer_add_printf(out, "Content-Length: %zu\r\n%s\r\n", body.sz,
			    keep ? "" : "Connection: close\r\n");
	if (!caller_wants_headers_only(c))
		evbuffer_add(out, body.s, body.sz);
	if (keep)
		wait_for_request(c);
	else
		start_linger(c);
}

static void write_status_line(struct evbuffer *out, unsigned status)
{
	const char *reason = http_status_str((enum http_status)status);

	evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\n", status,
			    reason[0] == '<' ? "Status" : reason);
}

/* Answers with a status and a reason that the daemon itself chose. */
static void answer_error(caller_t *c, unsigned status, const char *why,
			 usec_t retry_after, bool keep)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	char body[96];
	int n = snprintf(body, sizeof(body), "{\"reason\":\"%s\"}\n", why);

	write_status_line(out, status);
	evbuffer_add_printf(out, "Content-Type: application/json\r\n");
	if (retry_after > 0)
		evbuffer_add_printf(
			out, "%s: %.3f\r\n",
			c->e->protocol->headers[OUTSIDE_RETRY_AFTER],
			(double)retry_after / (double)USEC_PER_SEC);
	finish_answer(c, out, (str_t){ body, (size_t)n }, keep);
}

static void answer_from_server(caller_t *c, const rt_reply_t *r)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	write_status_line(out, r->status);
	evbuffer_add(out, r->head.s, r->head.sz);
	finish_answer(c, out, r->body, true);
}

static void answer_merged(caller_t *c, const rt_answer_t *a)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	const char *const *headers = c->e->protocol->headers;
	size_t i;

	write_status_line(out, 200);
	evbuffer_add_printf(out, "%s: ", headers[OUTSIDE_PART_STAMPS]);
	for (i = 0; i < a->nstamps; i++)
		evbuffer_add_printf(out, "%s%.*s", i ? ", " : "",
				    STR_ARG(a->stamps[i]));
	evbuffer_add_printf(out, "\r\n%s: %zu\r\n",
			    headers[OUTSIDE_MISSING_SHARDS], a->missing);
	finish_answer(c, out, a->body, true);
}

void caller_answer(caller_t *c, const rt_answer_t *a)
{
	static const unsigned statuses[RT_OUT_MAX] = {
		[RT_OUT_NOT_RUN] = 503,
		[RT_OUT_UNKNOWN] = 502,
		[RT_OUT_TIMEOUT] = 504,
		[RT_OUT_NO_ROUTE] = 404,
	};

	c->due_at = a->due_at;
	if (a->outcome == RT_OUT_PASS)
		answer_from_server(c, a->reply);
	else if (a->outcome == RT_OUT_MERGED)
		answer_merged(c, a);
	else
		answer_error(c, statuses[a->outcome], rt_why_name(a->why),
			     a->retry_after, true);
}

/* Answers an invalid request and closes the connection. */
static void reject(caller_t *c, unsigned status, const char *why)
{
	char id[128];

	log_json(G_LOG_LEVEL_INFO, "rejected",
		 "\"why\":\"%s\",\"status\":%u,\"request\":%s", why, status,
		 log_quote(id, sizeof(id), caller_request_id(c)));
	answer_error(c, status, why, 0, false);
}

static bool is_set_by_daemon(const caller_t *c, str_t name)
{
	const char *const *headers = c->e->protocol->headers;

	return http_name_equals(name, headers[OUTSIDE_TIME_LEFT]) ||
	       http_name_equals(name, headers[OUTSIDE_SERVER_ID]);
}

/* Builds the part of the request that is the same for all servers; each send
 * adds its own header lines and the blank line. */
static void build_forwarded_headers(caller_t *c, str_t path)
{
	const http_msg_t *m = &c->msg;
	str_t name, value;
	size_t i;

	g_string_printf(c->forwarded_headers, "%s ",
			http_method_str(m->parser.method));
	g_string_append_len(c->forwarded_headers, path.s, (gssize)path.sz);
	g_string_append(c->forwarded_headers, " HTTP/1.1\r\n");
	for (i = 0; http_msg_header(m, i, &name, &value); i++) {
		if (!http_msg_forwards(m, i) || is_set_by_daemon(c, name))
			continue;
		g_string_append_len(c->forwarded_headers, name.s,
				    (gssize)name.sz);
		g_string_append(c->forwarded_headers, ": ");
		g_string_append_len(c->forwarded_headers, value.s,
				    (gssize)value.sz);
		g_string_append(c->forwarded_headers, "\r\n");
	}
	if (m->body->len || http_msg_has(m, "Content-Length") ||
	    http_msg_has(m, "Transfer-Encoding"))
		g_string_append_printf(c->forwarded_headers,
				       "Content-Length: %zu\r\n", m->body->len);
}

/* The request and its answer take a round trip. The first request of a
 * connection had to wait for the handshake, which takes another one. */
static usec_t network_time(const caller_t *c)
{
	return c->had_request ? c->round_trip : 2 * c->round_trip;
}

/* Age of the last data of the connection; 0 if the kernel doesn't tell it. */
static usec_t kernel_data_age(const caller_t *c)
{
	struct tcp_info info = { 0 };
	socklen_t sz = sizeof(info);

	if (getsockopt(bufferevent_getfd(c->bev), IPPROTO_TCP, TCP_INFO, &info,
		       &sz) != 0)
		return 0;
	return (usec_t)info.tcpi_last_data_recv * USEC_PER_MSEC;
}

/* Notes when the bytes that were just read can have arrived. */
static void note_input(caller_t *c)
{
	size_t unread = evbuffer_get_length(bufferevent_get_input(c->bev));
	usec_t now, earliest;

	if (!input_times_has_new(&c->input, unread))
		return;
	now = clock_now();
	earliest = edge_turn_earliest_arrival(c->e);
	/* They may have waited with the connection for its accept. */
	if (c->input.received == 0 && c->e->turn_number - c->accept_turn <= 1 &&
	    earliest > c->accept_earliest)
		earliest = c->accept_earliest;
	if (c->state == CALLER_IDLE)
		earliest = input_earliest_arrival(earliest, kernel_data_age(c),
						  c->input.last_seen, now);
	input_times_add(&c->input, unread, MAX_READ_AHEAD, earliest, now);
}

/* Reads the request; false if it is rejected. */
static bool feed(caller_t *c, struct evbuffer *in)
{
	size_t before = evbuffer_get_length(in);
	bool valid = http_msg_feed(&c->msg, in);

	input_times_consume(&c->input, before - evbuffer_get_length(in));
	return valid;
}

static void start_request(caller_t *c)
{
	rt_request_t r = { .caller = c };
	usec_t now = clock_now();
	request_head_t head;

	evtimer_del(c->timer);
	c->state = CALLER_WAITING;
	if (!request_head_read(&c->msg,
			       c->e->protocol->headers[OUTSIDE_TIME_LEFT],
			       &head)) {
		reject(c, head.status, head.why);
		return;
	}
	rt_check_suspension(c->e->rt, now);
	build_forwarded_headers(c, head.path);
	r.time_left = head.time_left;
	r.unread = now > c->earliest ? now - c->earliest : 0;
	r.network_time = network_time(c);
	c->had_request = true;
	r.id = caller_request_id(c);
	r.host = (str_t){ g_ascii_strdown(head.host.s, (gssize)head.host.sz),
			  head.host.sz };
	r.path = head.path;
	r.method =
		str_of(http_method_str((enum http_method)c->msg.parser.method));
	r.body_sz = c->msg.body->len;
	rt_request(c->e->rt, &r, now);
	g_free((char *)r.host.s);
}

static void reject_fault(caller_t *c)
{
	static const struct {
		unsigned status;
		const char *why;
	} faults[] = {
		[HTTP_FAULT_SYNTAX] = { 400, "syntax" },
		[HTTP_FAULT_HEADER_SIZE] = { 431, "header_size" },
		[HTTP_FAULT_HEADER_LINES] = { 431, "header_lines" },
		[HTTP_FAULT_BODY_SIZE] = { 413, "body_size" },
	};

	reject(c, faults[c->msg.fault].status, faults[c->msg.fault].why);
}

/* Counts the memory for a caller's requests. If that of all callers is too
 * large, refuses the largest request that is incomplete: it can't have run. */
static void count_received(caller_t *c)
{
	struct callers *callers = c->e->callers;
	caller_t *largest = NULL, *x;
	size_t ahead = evbuffer_get_length(bufferevent_get_input(c->bev));

	set_received(c, http_msg_memory(&c->msg) + ahead);
	if (callers->received <= MAX_REQUESTS_BYTES)
		return;
	for (x = callers->head; x; x = x->next)
		if (x->state == CALLER_READING &&
		    (!largest || x->received > largest->received))
			largest = x;
	if (!largest)
		return;
	log_json(G_LOG_LEVEL_WARNING, "rejected",
		 "\"why\":\"memory\",\"status\":503,\"bytes\":%zu,"
		 "\"of_all\":%zu",
		 largest->received, callers->received);
	answer_error(largest, 503, "memory", MEMORY_RETRY_AFTER, false);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	caller_t *c = arg;

	if (c->state == CALLER_LINGERING) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	note_input(c);
	if (c->state == CALLER_WAITING)
		count_received(c);
	if (c->state == CALLER_WAITING || evbuffer_get_length(in) == 0)
		return;
	/* A caller that doesn't read its answers gets no further ones. */
	if (c->state == CALLER_IDLE &&
	    evbuffer_get_length(bufferevent_get_output(bev)))
		return;
	if (c->state == CALLER_IDLE) {
		c->state = CALLER_READING;
		c->earliest = input_times_earliest(&c->input, clock_now());
		set_timer(c, limits(c)->header_timeout);
	}
	if (!feed(c, in)) {
		reject_fault(c);
	} else if (c->msg.done) {
		start_request(c);
	} else if (c->msg.headers_done && !c->sent_continue &&
		   http_msg_has(&c->msg, "Expect")) {
		c->sent_continue = true;
		evbuffer_add_printf(bufferevent_get_output(bev),
				    "HTTP/1.1 100 Continue\r\n\r\n");
	}
	if (c->state == CALLER_READING || c->state == CALLER_WAITING)
		count_received(c);
	edge_run_actions(c->e);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	caller_t *c = arg;

	if (c->due_at)
		rt_answer_written(c->e->rt, c->due_at, clock_now());
	c->due_at = 0;
	if (c->state == CALLER_LINGERING)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
	/* A request that waited for this. */
	if (c->state == CALLER_IDLE &&
	    evbuffer_get_length(bufferevent_get_input(bev)))
		bufferevent_trigger(bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	caller_t *c = arg;
	edge_t *e = c->e;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	if (c->state == CALLER_WAITING)
		rt_caller_closed(e->rt, c, clock_now());
	caller_free(c);
	edge_run_actions(e);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	caller_t *c = arg;

	(void)fd;
	(void)what;
	if (c->state == CALLER_READING && c->msg.headers_done &&
	    !c->timing_body) {
		/* That was the time limit for the headers; start the body's. */
		c->timing_body = true;
		set_timer(c, limits(c)->idle_timeout);
	} else if (c->state == CALLER_READING) {
		reject(c, 408,
		       c->msg.headers_done ? "body_time" : "header_time");
	} else {
		caller_free(c);
	}
}

/* The handshake gave the kernel a first measurement. */
static usec_t measure_round_trip(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t sz = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &sz) != 0 ||
	    info.tcpi_rtt == 0)
		return DEFAULT_ROUND_TRIP;
	return info.tcpi_rtt < MAX_ROUND_TRIP ? info.tcpi_rtt : MAX_ROUND_TRIP;
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int sz, void *arg)
{
	edge_t *e = arg;
	caller_t *c = xcalloc(1, sizeof(*c));

	(void)l;
	(void)sa;
	(void)sz;
	edge_set_socket_options(fd);
	c->round_trip = measure_round_trip(fd);
	c->e = e;
	c->accept_earliest = edge_turn_earliest_arrival(e);
	c->accept_turn = e->turn_number;
	c->input.last_seen = e->turn.looked_before;
	c->bev = bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(e->base, on_timer, c);
	c->forwarded_headers = g_string_sized_new(512);
	http_msg_init(&c->msg, HTTP_REQUEST);
	c->next = e->callers->head;
	if (c->next)
		c->next->prev = c;
	e->callers->head = c;
	e->callers->n++;
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, MAX_READ_AHEAD);
	wait_for_request(c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

bool callers_start(edge_t *e, const char *addr)
{
	struct sockaddr_in sa = addr_to_sockaddr(addr);

	e->callers = xcalloc(1, sizeof(*e->callers));
	e->callers->listener = evconnlistener_new_bind(
		e->base, on_accept, e,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
		(struct sockaddr *)&sa, sizeof(sa));
	return e->callers->listener != NULL;
}

/* Accepts the connections that are in the queue: closing the listener would
 * reset them. */
static void accept_queued(edge_t *e)
{
	int fd = evconnlistener_get_fd(e->callers->listener), conn;

	while ((conn = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
	       0)
		on_accept(e->callers->listener, conn, NULL, 0, e);
}

void callers_close(edge_t *e)
{
	caller_t *c;

	accept_queued(e);
	evconnlistener_free(e->callers->listener);
	e->callers->listener = NULL;
	for (c = e->callers->head; c; c = c->next)
		if (c->state == CALLER_IDLE &&
		    evbuffer_get_length(bufferevent_get_input(c->bev)) == 0)
			answer_error(c, 408, rt_why_name(RT_WHY_STOPPING), 0,
				     false);
}

size_t callers_count(const edge_t *e)
{
	return e->callers->n;
}

void callers_free(edge_t *e)
{
	caller_t *c, *next;

	if (!e->callers)
		return;
	if (e->callers->listener)
		evconnlistener_free(e->callers->listener);
	for (c = e->callers->head; c; c = next) {
		next = c->next;
		caller_free(c);
	}
	free(e->callers);
}
