/**
 * @file edge_link.c
 * The pool of connections to servers. A connection (link) carries one request
 * at a time. It is reused only if the last answer was complete, belonged to the
 * request and was followed by no other bytes.
 *
 * An answer belongs to the request that is open on its connection if it has
 * that request's id. A server may send a late second copy of any earlier
 * answer, so a connection never carries two requests with the same id: neither
 * two sends of one request, nor a request that a caller sends again.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "libedge.h"

#define CONNECT_TIMEOUT_MS 400 /* then the send fails with RT_NOT_SENT */
/* Assumed idle timeout of a server that sends no Keep-Alive timeout. */
#define DEFAULT_IDLE_TIME (5 * USEC_PER_SEC)
#define MAX_IDLE_SECONDS 3600 /* of a server's Keep-Alive timeout */
/* Idle connections are closed this long before the server's timeout; else its
 * close could cross with a new request. */
#define IDLE_MARGIN (700 * USEC_PER_MSEC)
/* A request that must not run twice uses no connection that was idle longer. */
#define ONCE_MAX_IDLE (1 * USEC_PER_SEC)
/* Without keep_idle, connections are closed after this idle time. When all
 * hosts lose power, servers hold the old connections for some seconds beside
 * the new ones: with 2 s here, together they exceed the connection limits. */
#define SPARE_IDLE_TIME (1 * USEC_PER_SEC)
/* Limits link_t::ids. */
#define MAX_LINK_REQUESTS 1000
/* Least time between log lines about invalid load reports: a faulty server
 * sends one with each answer. */
#define LOAD_LOG_PERIOD (1 * USEC_PER_SEC)
#define IDLE_CHECK_PERIOD (250 * USEC_PER_MSEC)
/* Limit of all answers together that are being received or wait for other
 * parts; the smallest hosts have 160 MB. */
#define MAX_RECEIVED_BYTES RT_MAX_RECEIVED_BYTES

/** State of a connection. */
typedef enum link_state {
	LINK_OPENING, /* not connected yet; may have a request already */
	LINK_IDLE,
	LINK_BUSY,
} link_state_t;

/* A server and the connections to it. */
typedef struct target {
	uint64_t server;
	char addr[32];
	GQueue idle; /* of link_t, the most recently used first */
	unsigned nlinks;
	usec_t idle_time; /* idle timeout that the server told last */
	bool keep_idle; /* else idle connections close after SPARE_IDLE_TIME */
	bool removed;	/* freed with its last connection */
} target_t;

/* A request to a server, but for its time limit: that is computed when the
 * request is written. */
typedef struct outgoing {
	str_t head; /* request line and header lines for all servers */
	str_t body;
	str_t server_id;
	usec_t deadline;
} outgoing_t;

/* A connection to a server. */
typedef struct link {
	links_t *links;
	target_t *target;
	struct bufferevent *bev;
	http_msg_t msg;
	link_state_t state;
	bool was_connected;
	bool had_answer;     /* to this or an earlier request */
	uint64_t aid;	     /* attempt; 0: none */
	outgoing_t *waiting; /* for the connection to open; NULL: none */
	bool head_read;	     /* read_notices() was called for the answer */
	str_t id;	     /* of the request; owned */
	GArray *ids;	 /* hashes (uint64_t) of the ids of all its requests */
	size_t received; /* bytes of the current answer */
	usec_t last_used_at;
} link_t;

struct links {
	edge_t *e;
	GHashTable *targets; /* number of the server to target_t */
	GHashTable *busy;    /* attempt to link_t */
	GHashTable *open;    /* set of all link_t */
	size_t received;     /* sum of link_t::received */
	GString *request;    /* memory of write_request() */
	struct event *idle_check;
};

static void on_read(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);

static void target_free_if_unused(target_t *t)
{
	if (t->removed && t->nlinks == 0)
		free(t);
}

static void outgoing_free(outgoing_t *r)
{
	if (!r)
		return;
	str_free(r->head);
	str_free(r->body);
	str_free(r->server_id);
	free(r);
}

static outgoing_t *outgoing_copy(const outgoing_t *r)
{
	outgoing_t *copy = xcalloc(1, sizeof(*copy));

	copy->head = str_dup(r->head);
	copy->body = str_dup(r->body);
	copy->server_id = str_dup(r->server_id);
	copy->deadline = r->deadline;
	return copy;
}

static void set_received(link_t *k, size_t n)
{
	k->links->received += n - k->received;
	k->received = n;
}

static void link_free(link_t *k)
{
	target_t *t = k->target;

	set_received(k, 0);
	if (k->state == LINK_IDLE)
		g_queue_remove(&t->idle, k);
	if (k->aid)
		g_hash_table_remove(k->links->busy, &k->aid);
	t->nlinks--;
	g_hash_table_remove(k->links->open, k);
	bufferevent_free(k->bev);
	http_msg_clear(&k->msg);
	g_array_free(k->ids, TRUE);
	outgoing_free(k->waiting);
	str_free(k->id);
	free(k);
	target_free_if_unused(t);
}

static link_t *link_new(links_t *l, target_t *t)
{
	struct timeval limit = { CONNECT_TIMEOUT_MS / 1000,
				 CONNECT_TIMEOUT_MS % 1000 * 1000 };
	struct sockaddr_in sa = addr_to_sockaddr(t->addr);
	link_t *k = xcalloc(1, sizeof(*k));

	k->links = l;
	k->target = t;
	http_msg_init(&k->msg, HTTP_RESPONSE);
	k->ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	k->bev = bufferevent_socket_new(l->e->base, edge_socket(),
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(k->bev, on_read, NULL, on_event, k);
	bufferevent_set_timeouts(k->bev, NULL, &limit);
	bufferevent_enable(k->bev, EV_READ | EV_WRITE);
	t->nlinks++;
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
	g_queue_push_head(&k->target->idle, k);
}

static target_t *target_find_or_add(links_t *l, uint64_t server, str_t addr)
{
	target_t *t = g_hash_table_lookup(l->targets, &server);

	if (t)
		return t;
	t = xcalloc(1, sizeof(*t));
	t->server = server;
	t->idle_time = DEFAULT_IDLE_TIME;
	str_copy(t->addr, sizeof(t->addr), addr);
	g_queue_init(&t->idle);
	g_hash_table_insert(l->targets, &t->server, t);
	return t;
}

/* Detaches the request from the connection and reports the result to route/. */
static void end_attempt(link_t *k, rt_result_t r, rt_reply_t *reply)
{
	uint64_t aid = k->aid;

	g_hash_table_remove(k->links->busy, &k->aid);
	k->aid = 0;
	rt_send_ended(k->links->e->rt, aid, r, reply, clock_now());
}

static void fail_link(link_t *k, rt_result_t r)
{
	if (k->aid)
		end_attempt(k, r, NULL);
	link_free(k);
}

static uint64_t hash_id(str_t id)
{
	return str_hash(id, 0);
}

/* Whether an answer with the id may be that of an earlier request of the
 * connection. Requests without an id all look alike. */
static bool has_carried(const link_t *k, str_t id)
{
	uint64_t hash = hash_id(id);
	guint i;

	for (i = 0; i < k->ids->len; i++)
		if (g_array_index(k->ids, uint64_t, i) == hash)
			return true;
	return id.sz == 0 && k->had_answer;
}

/* Returns a reusable idle connection for a request with the id, or NULL; closes
 * idle connections that must not be reused. */
static link_t *pop_idle(target_t *t, str_t id, bool at_most_once, usec_t now)
{
	GList *at = t->idle.head;

	while (at) {
		link_t *k = at->data;
		usec_t idle_for = now - k->last_used_at;

		at = at->next;
		if (evbuffer_get_length(bufferevent_get_input(k->bev)) ||
		    idle_for >= t->idle_time - IDLE_MARGIN ||
		    (at_most_once && idle_for > ONCE_MAX_IDLE)) {
			link_free(k);
		} else if (!has_carried(k, id)) {
			g_queue_remove(&t->idle, k);
			return k;
		}
	}
	return NULL;
}

/*
 * Writes to the socket of a connection that is open, without a turn of the
 * event loop: the parts of a query leave one after the other, and not only
 * after all of them were made. What remains, or an error, is left to the event
 * loop.
 */
static void write_at_once(link_t *k, str_t head, str_t body)
{
	struct evbuffer *out = bufferevent_get_output(k->bev);
	struct iovec v[] = { { (char *)head.s, head.sz },
			     { (char *)body.s, body.sz } };
	size_t written = 0;
	ssize_t n;

	/* An answer may come before its request was written as a whole: the
	 * rest of that one goes first. */
	if (evbuffer_get_length(out) == 0) {
		n = writev(bufferevent_getfd(k->bev), v, body.sz ? 2 : 1);
		written = n > 0 ? (size_t)n : 0;
	}
	if (written < head.sz) {
		evbuffer_add(out, head.s + written, head.sz - written);
		written = head.sz;
	}
	written -= head.sz;
	if (written < body.sz)
		evbuffer_add(out, body.s + written, body.sz - written);
}

static void append_line(GString *to, const char *name, str_t value)
{
	g_string_append(to, name);
	g_string_append_len(to, ": ", 2);
	g_string_append_len(to, value.s, (gssize)value.sz);
	g_string_append_len(to, "\r\n", 2);
}

static void write_request(link_t *k, const outgoing_t *r, usec_t now)
{
	const char *const *names = k->links->e->protocol->headers;
	usec_t ms = (r->deadline - now) / USEC_PER_MSEC;
	GString *head = k->links->request;
	char digits[24], *at = digits + sizeof(digits);

	if (ms < 1)
		ms = 1;
	for (; ms; ms /= 10)
		*--at = (char)('0' + ms % 10);
	g_string_truncate(head, 0);
	g_string_append_len(head, r->head.s, (gssize)r->head.sz);
	append_line(head, names[OUTSIDE_TIME_LEFT],
		    (str_t){ at, (size_t)(digits + sizeof(digits) - at) });
	append_line(head, names[OUTSIDE_SERVER_ID], r->server_id);
	g_string_append_len(head, "\r\n", 2);
	write_at_once(k, (str_t){ head->str, head->len }, r->body);
}

/* Prepares a connection for the answer to a request of the caller. */
static void begin_request(link_t *k, const caller_t *c)
{
	uint64_t hash;

	http_msg_reset(&k->msg, HTTP_RESPONSE);
	k->head_read = false;
	k->msg.no_body = caller_wants_headers_only(c);
	str_free(k->id);
	k->id = str_dup(caller_request_id(c));
	hash = hash_id(k->id);
	g_array_append_val(k->ids, hash);
}

void links_send(links_t *l, const rt_act_t *act)
{
	const caller_t *c = act->send.caller;
	const GString *head = caller_forwarded_headers(c);
	outgoing_t r = { { head->str, head->len },
			 caller_body(c),
			 act->send.server_id,
			 act->send.deadline };
	usec_t now = clock_now();
	target_t *t;
	link_t *k;

	if (now >= r.deadline) {
		rt_send_ended(l->e->rt, act->send.aid, RT_EXPIRED, NULL, now);
		return;
	}
	t = target_find_or_add(l, act->send.server, act->send.addr);
	t->keep_idle = act->send.keep_idle;
	k = pop_idle(t, caller_request_id(c), act->send.non_idempotent, now);
	if (k)
		k->state = LINK_BUSY;
	else
		k = link_new(l, t);
	if (!k) {
		rt_send_ended(l->e->rt, act->send.aid, RT_NOT_SENT, NULL, now);
		return;
	}
	k->aid = act->send.aid;
	g_hash_table_insert(l->busy, &k->aid, k);
	begin_request(k, c);
	if (k->state == LINK_BUSY)
		write_request(k, &r, now);
	else
		k->waiting = outgoing_copy(&r);
}

void links_cancel(links_t *l, uint64_t aid)
{
	link_t *k = g_hash_table_lookup(l->busy, &aid);

	if (k)
		link_free(k);
}

void links_prepare(links_t *l, uint64_t server, str_t addr, unsigned n,
		   bool keep_idle)
{
	target_t *t = target_find_or_add(l, server, addr);

	t->keep_idle = keep_idle;
	while (t->nlinks < n && link_new(l, t))
		;
}

/* A connection to a target that is not open yet, or NULL. */
static link_t *find_opening(const links_t *l, const target_t *t)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->open);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		link_t *k = v;

		if (k->target == t && k->state == LINK_OPENING)
			return k;
	}
	return NULL;
}

void links_close(links_t *l, uint64_t server, bool end_opening)
{
	target_t *t = g_hash_table_lookup(l->targets, &server);
	link_t *k;

	if (!t)
		return;
	g_hash_table_remove(l->targets, &server);
	/* Keeps t allocated while its connections are freed. */
	t->nlinks++;
	while ((k = g_queue_peek_head(&t->idle)))
		link_free(k);
	while (end_opening && (k = find_opening(l, t)))
		fail_link(k, RT_NOT_SENT);
	t->nlinks--;
	t->removed = true;
	target_free_if_unused(t);
}

/* Reads the seconds of "timeout=N" in the Keep-Alive header line. */
static void read_keep_alive_timeout(link_t *k)
{
	str_t v = http_msg_get(&k->msg, "Keep-Alive");
	unsigned long seconds = MAX_IDLE_SECONDS;
	const char *at;
	char *text;

	if (v.sz == 0)
		return;
	text = g_strndup(v.s, v.sz);
	at = strstr(text, "timeout=");
	if (at)
		seconds = strtoul(at + strlen("timeout="), NULL, 10);
	if (seconds > MAX_IDLE_SECONDS)
		seconds = MAX_IDLE_SECONDS;
	if (at)
		k->target->idle_time = (usec_t)seconds * USEC_PER_SEC;
	g_free(text);
}

/* Seconds, possibly with a fraction; below 0 if the text is neither. A date is
 * of no use: clocks differ. */
static usec_t parse_retry_after(str_t v)
{
	char text[32];
	double s;
	char *end;

	if (v.sz == 0 || v.sz >= sizeof(text))
		return -1;
	str_copy(text, sizeof(text), v);
	s = g_ascii_strtod(text, &end);
	if (end == text || *end || !(s >= 0))
		return -1;
	if (s * (double)USEC_PER_SEC > (double)RT_MAX_PAUSE)
		return RT_MAX_PAUSE;
	return (usec_t)(s * (double)USEC_PER_SEC);
}

static void log_invalid_header(const link_t *k, const char *name, str_t value)
{
	char text[160];

	log_json(G_LOG_LEVEL_WARNING, "invalid header",
		 "\"server\":\"%s\",\"header\":\"%s\",\"value\":%s",
		 k->target->addr, name, log_quote(text, sizeof(text), value));
}

static void read_leaving(const link_t *k)
{
	const char *name = k->links->e->protocol->headers[OUTSIDE_LEAVING];
	str_t v = http_msg_get(&k->msg, name);

	if (!http_msg_has(&k->msg, name))
		return;
	if (str_eq(v, STR("1")))
		rt_on_server_leaving(k->links->e->rt, k->target->server,
				     clock_now());
	else
		log_invalid_header(k, name, v);
}

static void read_pause(const link_t *k)
{
	const char *name = k->links->e->protocol->headers[OUTSIDE_RETRY_AFTER];
	str_t v = http_msg_get(&k->msg, name);
	usec_t pause;

	if (k->msg.parser.status_code != HTTP_STATUS_SERVICE_UNAVAILABLE ||
	    !http_msg_has(&k->msg, name))
		return;
	pause = parse_retry_after(v);
	if (pause < 0 || pause == RT_MAX_PAUSE)
		log_invalid_header(k, name, v);
	rt_on_server_pause(k->links->e->rt, k->target->server, pause,
			   clock_now());
}

static bool answers_request(const link_t *k);

static void read_load(const link_t *k)
{
	edge_t *e = k->links->e;
	const char *name = e->protocol->headers[OUTSIDE_LOAD];
	usec_t now = clock_now();
	rt_load_t load;
	str_t text;
	load_header_t found = load_header_read(&k->msg, name, &load, &text);

	/* A late copy of an earlier answer has the figures of that time. */
	if (found == LOAD_HEADER_NONE || !answers_request(k))
		return;
	if (found == LOAD_HEADER_VALID &&
	    rt_on_server_load(e->rt, k->target->server, &load, now))
		return;
	e->load_reports_ignored++;
	if (e->load_report_logged_at &&
	    now - e->load_report_logged_at < LOAD_LOG_PERIOD)
		return;
	e->load_report_logged_at = now;
	log_invalid_header(k, name, text);
}

/* Whole milliseconds up to RT_MAX_WARMUP; below 0 if the text is neither. */
static usec_t parse_warmup(str_t v)
{
	usec_t ms = 0;
	size_t i;

	for (i = 0; i < v.sz && ms <= RT_MAX_WARMUP / USEC_PER_MSEC; i++) {
		if (v.s[i] < '0' || v.s[i] > '9')
			return -1;
		ms = ms * 10 + (v.s[i] - '0');
	}
	if (v.sz == 0 || ms > RT_MAX_WARMUP / USEC_PER_MSEC)
		return -1;
	return ms * USEC_PER_MSEC;
}

static void read_warmup(const link_t *k)
{
	const char *name = k->links->e->protocol->headers[OUTSIDE_WARMUP];
	str_t v = http_msg_get(&k->msg, name);
	usec_t left;

	if (!http_msg_has(&k->msg, name))
		return;
	left = parse_warmup(v);
	if (left < 0)
		log_invalid_header(k, name, v);
	rt_on_server_warmup(k->links->e->rt, k->target->server, left,
			    clock_now());
}

/* Reads what a server says about itself as soon as the head of an answer is
 * complete: the body may never be. */
static void read_notices(link_t *k)
{
	const outside_protocol_t *o = k->links->e->protocol;

	if (!k->msg.headers_done || k->head_read)
		return;
	k->head_read = true;
	/* Another server has the address; this one's target is gone. */
	if ((int)k->msg.parser.status_code == o->misdirected_status)
		return;
	read_leaving(k);
	read_warmup(k);
	read_pause(k);
	read_load(k);
}

static char *put(char *to, str_t v)
{
	if (v.sz)
		memcpy(to, v.s, v.sz);
	return to + v.sz;
}

/* Copies the header lines to forward; returns their bytes. Without a place to
 * copy to (NULL), only counts these. */
static size_t forwarded_lines(const http_msg_t *m, char *to)
{
	str_t name, value;
	size_t sz = 0, i;

	for (i = 0; http_msg_header(m, i, &name, &value); i++) {
		if (!http_msg_forwards(m, i))
			continue;
		sz += name.sz + value.sz + strlen(": \r\n");
		if (to)
			to = put(put(put(put(to, name), STR(": ")), value),
				 STR("\r\n"));
	}
	return sz;
}

/* Copies the answer: the headers to forward to the caller, stamp and body. */
static rt_reply_t *make_reply(const link_t *k)
{
	const http_msg_t *m = &k->msg;
	rt_reply_t *r = xcalloc(1, sizeof(*r));
	str_t stamp = http_msg_get(
		m, k->links->e->protocol->headers[OUTSIDE_SERVER_STAMP]);
	size_t head_sz = forwarded_lines(m, NULL);
	char *mem = xmalloc(head_sz + stamp.sz + 1);

	forwarded_lines(m, mem);
	put(mem + head_sz, stamp);
	r->refs = 1;
	r->status = m->parser.status_code;
	r->mem = mem;
	r->head = (str_t){ mem, head_sz };
	r->stamp = (str_t){ mem + head_sz, stamp.sz };
	r->body = str_dup((str_t){ m->body->str, m->body->len });
	r->held = &k->links->e->replies_held;
	r->held_sz = sizeof(*r) + r->head.sz + r->stamp.sz + r->body.sz;
	*r->held += r->held_sz;
	return r;
}

static rt_result_t classify_answer(const link_t *k)
{
	const outside_protocol_t *o = k->links->e->protocol;
	const http_msg_t *m = &k->msg;
	unsigned status = m->parser.status_code;

	if ((int)status == o->misdirected_status)
		return RT_MOVED;
	if (http_msg_has(m, o->headers[OUTSIDE_NOT_RUN]))
		return RT_NOT_RUN;
	if (!http_msg_has(m, o->headers[OUTSIDE_SERVER_STAMP]) ||
	    http_msg_has(m, "Content-Encoding"))
		return RT_LOST;
	return status >= 200 && status < 300 ? RT_ANSWERED : RT_FAILED;
}

/* Whether the answer belongs to the current request. An answer without an id
 * counts only as the first one of a connection. */
static bool answers_request(const link_t *k)
{
	const char *name = k->links->e->protocol->headers[OUTSIDE_REQUEST_ID];
	str_t id = http_msg_get(&k->msg, name);

	if (!http_msg_has(&k->msg, name))
		return !k->had_answer;
	return str_eq(id, k->id);
}

static void log_stray_answer(const link_t *k, const char *what)
{
	char id[160], got[160];

	log_json(
		G_LOG_LEVEL_INFO, "stray answer",
		"\"what\":\"%s\",\"server\":\"%s\",\"request\":%s,\"got\":%s",
		what, k->target->addr, log_quote(id, sizeof(id), k->id),
		log_quote(got, sizeof(got),
			  http_msg_get(&k->msg,
				       k->links->e->protocol
					       ->headers[OUTSIDE_REQUEST_ID])));
}

/* Handles a complete answer. */
static void handle_answer(link_t *k)
{
	struct evbuffer *in = bufferevent_get_input(k->bev);
	rt_result_t r = classify_answer(k);
	rt_reply_t *reply = NULL;
	bool keep = k->msg.keep_alive && !k->target->removed && r != RT_MOVED &&
		    k->ids->len < MAX_LINK_REQUESTS;

	set_received(k, 0);
	if (evbuffer_get_length(in)) {
		log_stray_answer(k, "bytes after the answer");
		keep = false;
	}
	read_keep_alive_timeout(k);
	k->had_answer = true;
	k->last_used_at = clock_now();
	if (r == RT_ANSWERED || r == RT_FAILED)
		reply = make_reply(k);
	if (keep) {
		/* Make it idle first: end_attempt() may send a new request. */
		http_msg_reset(&k->msg, HTTP_RESPONSE);
		set_idle(k);
		end_attempt(k, r, reply);
	} else {
		end_attempt(k, r, reply);
		link_free(k);
	}
}

/* Whether a is to be given up before b: an answer whose end is not in sight,
 * and the larger of two that are alike in this. */
static bool is_worse(const link_t *a, const link_t *b)
{
	if (a->msg.has_length != b->msg.has_length)
		return b->msg.has_length;
	return a->received > b->received;
}

/* Returns the incomplete answer that is to be given up first. */
static link_t *worst_answer(const links_t *l)
{
	link_t *worst = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->open);
	while (g_hash_table_iter_next(&it, &v, NULL)) {
		link_t *k = v;

		if (k->received && (!worst || is_worse(k, worst)))
			worst = k;
	}
	return worst;
}

/* Counts the memory of an incomplete answer. If all answers together are too
 * large, gives up one, which may be this one. */
static void count_received(link_t *k)
{
	links_t *l = k->links;
	link_t *worst;

	set_received(k, http_msg_memory(&k->msg));
	if (l->received + l->e->replies_held <= MAX_RECEIVED_BYTES)
		return;
	worst = worst_answer(l);
	log_stray_answer(worst, "too large beside others");
	fail_link(worst, RT_LOST);
}

/* The status codes of RFC 9110, section 15. A server in trouble may send
 * another, such as 000, which must not reach a caller. */
static bool is_status(unsigned code)
{
	return code >= 100 && code <= 599;
}

static void read_answer(link_t *k)
{
	struct evbuffer *in = bufferevent_get_input(k->bev);

	for (;;) {
		bool valid = http_msg_feed(&k->msg, in);

		if (k->msg.headers_done &&
		    !is_status(k->msg.parser.status_code))
			valid = false;
		read_notices(k);
		if (!valid) {
			log_stray_answer(k, "not an answer");
			fail_link(k, RT_LOST);
			return;
		}
		if (!k->msg.done) {
			count_received(k);
			return;
		}
		if (k->msg.parser.status_code >= 200 && answers_request(k))
			break;
		/* An informational answer, or the answer to an earlier request:
		 * the answer to the current one may follow. */
		if (k->msg.parser.status_code >= 200) {
			log_stray_answer(k, "of another request");
			k->had_answer = true;
		}
		http_msg_reset(&k->msg, HTTP_RESPONSE);
		k->head_read = false;
	}
	handle_answer(k);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	link_t *k = arg;
	edge_t *e = k->links->e;

	(void)bev;
	if (k->aid)
		read_answer(k);
	else
		link_free(k); /* unexpected bytes: no request is open */
	edge_run_actions(e);
}

static void on_connected(link_t *k)
{
	outgoing_t *r = k->waiting;
	usec_t now = clock_now();

	k->was_connected = true;
	k->last_used_at = now;
	bufferevent_set_timeouts(k->bev, NULL, NULL);
	if (!k->aid) {
		set_idle(k);
		return;
	}
	k->state = LINK_BUSY;
	if (now >= r->deadline) {
		fail_link(k, RT_EXPIRED);
		return;
	}
	k->waiting = NULL;
	write_request(k, r, now);
	outgoing_free(r);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	link_t *k = arg;
	edge_t *e = k->links->e;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		on_connected(k);
		edge_run_actions(e);
		return;
	}
	if (k->aid && (what & BEV_EVENT_EOF) && k->msg.started &&
	    http_msg_eof(&k->msg) && answers_request(k)) {
		k->msg.keep_alive = false;
		handle_answer(k);
	} else {
		fail_link(k, k->was_connected ? RT_LOST : RT_NOT_SENT);
	}
	edge_run_actions(e);
}

/*
 * Closes idle connections that the server would soon close, and without
 * keep_idle those that reached SPARE_IDLE_TIME. With keep_idle, a connection
 * that was used is replaced if it was the last one: requests that are further
 * apart than the server's timeout find one, too. One that wasn't used is not
 * replaced.
 */
static void close_unused(links_t *l, target_t *t, usec_t now)
{
	bool replace = false;
	usec_t limit;
	link_t *k;

	while ((k = g_queue_peek_tail(&t->idle))) {
		limit = t->idle_time - IDLE_MARGIN;
		if (!t->keep_idle && limit > SPARE_IDLE_TIME)
			limit = SPARE_IDLE_TIME;
		if (now - k->last_used_at < limit)
			break;
		replace = t->keep_idle && k->had_answer;
		link_free(k);
	}
	if (replace && t->nlinks == 0)
		link_new(l, t);
}

static void on_idle_check(evutil_socket_t fd, short what, void *arg)
{
	usec_t now = clock_now();
	links_t *l = arg;
	GHashTableIter it;
	gpointer v;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, l->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		close_unused(l, v, now);
}

links_t *links_new(edge_t *e)
{
	struct timeval period = { 0, IDLE_CHECK_PERIOD };
	links_t *l = xcalloc(1, sizeof(*l));

	l->e = e;
	l->targets = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->busy = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->open = g_hash_table_new(NULL, NULL);
	l->request = g_string_sized_new(1024);
	l->idle_check = event_new(e->base, -1, EV_PERSIST, on_idle_check, l);
	evtimer_add(l->idle_check, &period);
	return l;
}

void links_free(links_t *l)
{
	GHashTableIter it;
	gpointer v;

	if (!l)
		return;
	event_free(l->idle_check);
	for (;;) {
		g_hash_table_iter_init(&it, l->open);
		if (!g_hash_table_iter_next(&it, &v, NULL))
			break;
		link_free(v);
	}
	g_hash_table_iter_init(&it, l->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		free(v);
	g_string_free(l->request, TRUE);
	g_hash_table_destroy(l->targets);
	g_hash_table_destroy(l->busy);
	g_hash_table_destroy(l->open);
	free(l);
}
