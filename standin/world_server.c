/** @file world_server.c Servers with faults, and accepted connections of
 * servers and the store. */
#include <errno.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libworld.h"
#include "standin.h"

#define SECOND_ANSWER_DELAY_MS 60
#define TRICKLE_MS 10
#define MANY_LINES 131000
#define ENDLESS_BYTES 16384		     /* written at a time */
#define LARGE_BYTES ((size_t)2 << 20)	     /* at least, of a large answer */
#define MAX_REQUEST_BYTES ((size_t)32 << 20) /* of a body */
#define EARLY_ANSWER_MS 100		     /* from the answer to reading on */
#define EARLY_READ_RATE ((size_t)256 << 10)  /* bytes in 10 ms */
/* The default of the setting apply_limit_ms, the time in which daemons apply
 * published state, and 500 ms of slack for a slow machine. */
#define DRAIN_LIMIT_MS (3000 + 500)
/* Connections that fill a listener's queue of length 0. */
#define QUEUED_CONNECTIONS 2
#define RECORDS_PER_PART 3 /* records of 16 bytes */

static bool answer_early(world_conn_t *c);

static bool has_valid_body(const world_conn_t *c)
{
	const GString *body = c->msg.body;
	size_t i;

	for (i = 0; i < body->len; i++)
		if (body->str[i] != 'x')
			return false;
	return true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	bool valid;
	world_conn_t *c = arg;

	if (c->answering)
		return;
	valid = http_msg_feed(&c->msg, bufferevent_get_input(bev));
	if (c->server)
		c->server->invalid_requests +=
			!valid || (c->msg.done && !has_valid_body(c));
	if (!valid) {
		world_conn_free(c, true);
	} else if (c->server && answer_early(c)) {
		return;
	} else if (c->answered_early && c->msg.done) {
		c->answered_early = false;
		world_conn_read_next(c);
	} else if (c->msg.done) {
		c->answering = true;
		/* The fault of a server may make on_request() free c. */
		c->on_request(c);
	}
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	world_conn_t *c = arg;

	(void)bev;
	(void)what;
	if (c->server && c->answering)
		c->server->aborted_connections++;
	world_conn_free(c, false);
}

void world_conn_read_next(world_conn_t *c)
{
	c->answering = false;
	http_msg_reset(&c->msg, HTTP_REQUEST);
	if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void world_conn_free(world_conn_t *c, bool reset)
{
	struct linger now = { 1, 0 };

	if (c->on_closed)
		c->on_closed(c);
	if (c->server)
		c->server->open--;
	if (reset)
		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
			   &now, sizeof(now));
	if (c->timer)
		event_free(c->timer);
	g_free(c->copy);
	bufferevent_free(c->bev);
	http_msg_clear(&c->msg);
	g_free(c);
}

void world_conn_new(world_t *w, world_server_t *s, int fd,
		    void (*on_request)(world_conn_t *),
		    void (*on_closed)(world_conn_t *))
{
	world_conn_t *c = g_new0(world_conn_t, 1);

	c->w = w;
	c->server = s;
	c->accepted_at = standin_now();
	c->on_request = on_request;
	c->on_closed = on_closed;
	if (s) {
		s->open++;
		s->accepted++;
	}
	http_msg_init(&c->msg, HTTP_REQUEST);
	c->msg.body_limit = MAX_REQUEST_BYTES;
	c->bev = bufferevent_socket_new(w->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Returns true if every daemon should have applied by now what was published at
 * a time: DRAIN_LIMIT_MS have passed with the store reachable. */
static bool is_late_after(const world_server_t *s, usec_t since)
{
	if (s->w->store_reachable_since > since)
		since = s->w->store_reachable_since;
	return standin_now() - since > DRAIN_LIMIT_MS * USEC_PER_MSEC;
}

static void count_run(world_conn_t *c, const char *id)
{
	GHashTable *runs = c->w->runs;
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(runs, id));
	const usec_t *evacuated_at =
		g_hash_table_lookup(c->w->evacuated, c->server->dc);
	str_t target = http_msg_target(&c->msg);
	usec_t now;

	c->server->runs++;
	now = standin_now();
	g_array_append_val(c->server->run_times, now);
	c->server->runs_after_drain +=
		c->server->draining &&
		is_late_after(c->server, c->server->draining_since);
	c->server->runs_after_evacuation +=
		evacuated_at && is_late_after(c->server, *evacuated_at);
	if (target.sz > 6 && memcmp(target.s, "/once/", 6) == 0)
		g_hash_table_add(c->w->non_idempotent_ids, g_strdup(id));
	g_hash_table_replace(runs, g_strdup(id), GUINT_TO_POINTER(n + 1));
}

/* Appends unsorted records that contain the server's id. */
static void append_records(GString *out, const world_server_t *s)
{
	static const char digits[RECORDS_PER_PART] = { '2', '9', '5' };
	size_t i;

	for (i = 0; i < RECORDS_PER_PART; i++)
		g_string_append_printf(out, "%c%-15.15s", digits[i], s->id);
}

static const char *header(const world_server_t *s, outside_header_t h)
{
	return s->w->daemon_protocol->headers[h];
}

/* Appends what the server says about itself in an answer of any kind. */
static void append_notices(GString *out, const world_server_t *s)
{
	char **lines = g_strsplit(s->load, "|", -1);
	size_t i;

	if (s->keep_alive_s)
		g_string_append_printf(out,
				       "Keep-Alive: max=%064u, timeout=%u\r\n",
				       1000U, s->keep_alive_s);
	for (i = 0; lines[i] && lines[i][0]; i++)
		g_string_append_printf(out, "%s: %s\r\n",
				       header(s, OUTSIDE_LOAD), lines[i]);
	g_strfreev(lines);
	if (s->says_leaving)
		g_string_append_printf(out, "%s: 1\r\n",
				       header(s, OUTSIDE_LEAVING));
	if (s->warmup_left[0])
		g_string_append_printf(out, "%s: %s\r\n",
				       header(s, OUTSIDE_WARMUP),
				       s->warmup_left);
}

static void append_answer(GString *out, const world_server_t *s, const char *id,
			  unsigned status, bool with_length)
{
	GString *body = g_string_new(NULL);

	append_records(body, s);
	g_string_append_printf(out,
			       "HTTP/1.1 %03u X\r\n%s: %s\r\n"
			       "%s: %s.%s\r\n",
			       status, header(s, OUTSIDE_REQUEST_ID), id,
			       header(s, OUTSIDE_SERVER_STAMP), s->id, id);
	append_notices(out, s);
	if (with_length)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       body->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, body->str, (gssize)body->len);
	g_string_free(body, TRUE);
}

static void append_refusal(GString *out, const world_server_t *s,
			   const char *id)
{
	g_string_append_printf(out, "HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\n",
			       header(s, OUTSIDE_REQUEST_ID), id,
			       header(s, OUTSIDE_NOT_RUN));
	append_notices(out, s);
	if (s->retry_after[0])
		g_string_append_printf(out, "%s: %s\r\n",
				       header(s, OUTSIDE_RETRY_AFTER),
				       s->retry_after);
	g_string_append(out, "Content-Length: 0\r\n\r\n");
}

static void write_text(world_conn_t *c, const GString *text)
{
	evbuffer_add(bufferevent_get_output(c->bev), text->str, text->len);
}

static void on_second_answer(evutil_socket_t fd, short what, void *arg)
{
	world_conn_t *c = arg;
	GString *out = g_string_new(NULL);

	(void)fd;
	(void)what;
	append_answer(out, c->server, "late", 200, true);
	write_text(c, out);
	g_string_free(out, TRUE);
}

void world_conn_set_timer(world_conn_t *c, unsigned ms, event_callback_fn fn)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	if (c->timer)
		event_free(c->timer);
	c->timer = evtimer_new(c->w->base, fn, c);
	evtimer_add(c->timer, &tv);
}

/* Writes more bytes of an answer without end, until the caller closes. */
static void write_more(struct bufferevent *bev, void *arg)
{
	struct evbuffer *out = bufferevent_get_output(bev);
	static char bytes[ENDLESS_BYTES];
	const world_conn_t *c = arg;
	size_t i;

	memset(bytes, 'a', sizeof(bytes));
	switch (c->endless) {
	case FAULT_ENDLESS_LINES:
		for (i = 0; i < ENDLESS_BYTES / 4; i++)
			evbuffer_add(out, "a:\r\n", 4);
		break;
	case FAULT_ENDLESS_INTERIM:
		for (i = 0; i < ENDLESS_BYTES / 32; i++)
			evbuffer_add_printf(out, "HTTP/1.1 100 Go on\r\n\r\n");
		break;
	case FAULT_ENDLESS_CHUNKS:
		evbuffer_add_printf(out, "%x\r\n", ENDLESS_BYTES);
		evbuffer_add(out, bytes, sizeof(bytes));
		evbuffer_add(out, "\r\n", 2);
		break;
	default:
		evbuffer_add(out, bytes, sizeof(bytes));
		break;
	}
}

static void on_trickle(evutil_socket_t fd, short what, void *arg)
{
	world_conn_t *c = arg;

	(void)fd;
	(void)what;
	evbuffer_add(bufferevent_get_output(c->bev), "a", 1);
	world_conn_set_timer(c, TRICKLE_MS, on_trickle);
}

void world_conn_trickle(world_conn_t *c)
{
	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "HTTP/1.1 200 X\r\nJunk: ");
	world_conn_set_timer(c, TRICKLE_MS, on_trickle);
}

/* Appends the head of an answer, up to its last lines. */
static void append_head(struct evbuffer *out, const world_conn_t *c,
			const char *id)
{
	evbuffer_add_printf(out, "HTTP/1.1 200 X\r\n");
	if (c->server)
		evbuffer_add_printf(out, "%s: %s\r\n%s: %s.%s\r\n",
				    header(c->server, OUTSIDE_REQUEST_ID), id,
				    header(c->server, OUTSIDE_SERVER_STAMP),
				    c->server->id, id);
}

bool world_conn_write_endless(world_conn_t *c, server_fault_t f, const char *id)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	switch (f) {
	case FAULT_TRICKLE:
		world_conn_trickle(c);
		return true;
	case FAULT_ENDLESS_HEAD:
		evbuffer_add_printf(out, "HTTP/1.1 200 X\r\nJunk: ");
		break;
	case FAULT_ENDLESS_LINES:
		append_head(out, c, id);
		break;
	case FAULT_ENDLESS_INTERIM:
		evbuffer_add_printf(out, "HTTP/1.1 100 Go on\r\n\r\n");
		break;
	case FAULT_ENDLESS_BODY:
		append_head(out, c, id);
		evbuffer_add_printf(out, "\r\n");
		break;
	case FAULT_ENDLESS_CHUNKS:
		append_head(out, c, id);
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
		break;
	case FAULT_ENDLESS_JUNK:
		evbuffer_add_printf(out, "junk");
		break;
	default:
		return false;
	}
	c->endless = f;
	bufferevent_setcb(c->bev, on_read, write_more, on_event, c);
	return true;
}

/* Appends an answer with a body of LARGE_BYTES and its length. */
static void append_large(GString *out, const world_server_t *s, const char *id)
{
	GString *body = g_string_sized_new(LARGE_BYTES);

	append_records(body, s);
	while (body->len < LARGE_BYTES)
		g_string_append_len(body, body->str, (gssize)body->len);
	append_answer(out, s, id, 200, false);
	g_string_truncate(out, strstr(out->str, "\r\n\r\n") + 2 - out->str);
	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n", body->len);
	g_string_append_len(out, body->str, (gssize)body->len);
	g_string_free(body, TRUE);
}

static void append_many_lines(GString *out, const world_server_t *s,
			      const char *id)
{
	GString *lines = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < MANY_LINES; i++)
		g_string_append(lines, "a:\r\n");
	append_answer(out, s, id, 200, true);
	g_string_insert_len(out, strstr(out->str, "\r\n\r\n") + 2 - out->str,
			    lines->str, (gssize)lines->len);
	g_string_free(lines, TRUE);
}

/* Writes the answer for a fault; returns true if the connection stays open. */
static bool write_fault(world_conn_t *c, server_fault_t f, const char *id,
			GString *out)
{
	switch (f) {
	case FAULT_NO_LENGTH:
	case FAULT_TRUNCATED:
		append_answer(out, c->server, id, 200, false);
		return false;
	case FAULT_CUT_HEAD:
		append_answer(out, c->server, id, 200, true);
		g_string_truncate(out, strstr(out->str, "Content-Length") -
					       out->str + 10);
		return false;
	case FAULT_TRAILING_BYTES:
		append_answer(out, c->server, id, 200, true);
		g_string_append(out, "HTTP/1.1 200 X\r\nContent-Length: 1");
		break;
	case FAULT_FOREIGN_ANSWER:
		append_answer(out, c->server, "another", 200, true);
		append_answer(out, c->server, id, 200, true);
		break;
	case FAULT_NOT_RUN:
	case FAULT_COPIED_NOT_RUN:
		append_refusal(out, c->server, id);
		break;
	case FAULT_WRONG_SERVER:
		g_string_append_printf(out,
				       "HTTP/1.1 421 X\r\n%s: %s\r\n"
				       "Content-Length: 0\r\n\r\n",
				       header(c->server, OUTSIDE_REQUEST_ID),
				       id);
		break;
	case FAULT_LARGE:
		append_large(out, c->server, id);
		break;
	case FAULT_MANY_LINES:
		append_many_lines(out, c->server, id);
		break;
	case FAULT_STATUS_500:
		append_answer(out, c->server, id, 500, true);
		break;
	case FAULT_STATUS_000:
		append_answer(out, c->server, id, 0, true);
		break;
	case FAULT_STATUS_600:
		append_answer(out, c->server, id, 600, true);
		break;
	default:
		append_answer(out, c->server, id, 200, true);
		break;
	}
	return true;
}

static server_fault_t next_fault(world_server_t *s)
{
	if (s->faulty_requests == 0)
		return FAULT_NONE;
	s->faulty_requests--;
	return s->fault;
}

static void on_answer_written(struct bufferevent *bev, void *arg)
{
	(void)bev;
	world_conn_free(arg, false);
}

static void on_truncated_written(struct bufferevent *bev, void *arg)
{
	(void)bev;
	world_conn_free(arg, true);
}

static void send_answer(world_conn_t *c)
{
	str_t rid =
		http_msg_get(&c->msg, header(c->server, OUTSIDE_REQUEST_ID));
	server_fault_t f = next_fault(c->server);
	GString *out = g_string_new(NULL);
	char *id = g_strndup(rid.s, rid.sz);
	bool keep;

	if (f != FAULT_NOT_RUN && f != FAULT_COPIED_NOT_RUN &&
	    f != FAULT_WRONG_SERVER)
		count_run(c, id);
	if (f == FAULT_NO_ANSWER || world_conn_write_endless(c, f, id))
		goto out;
	if (f == FAULT_RESET) {
		world_conn_free(c, true);
		goto out;
	}
	keep = write_fault(c, f, id, out);
	write_text(c, out);
	if (f == FAULT_COPIED_ANSWER || f == FAULT_COPIED_NOT_RUN)
		c->copy = g_strdup(out->str);
	if (f == FAULT_SECOND_ANSWER)
		world_conn_set_timer(c, SECOND_ANSWER_DELAY_MS,
				     on_second_answer);
	if (keep) {
		world_conn_read_next(c);
	} else {
		bufferevent_setcb(c->bev, NULL,
				  f == FAULT_TRUNCATED ? on_truncated_written
						       : on_answer_written,
				  on_event, c);
	}
out:
	g_string_free(out, TRUE);
	g_free(id);
}

static void on_read_on(evutil_socket_t fd, short what, void *arg)
{
	static struct ev_token_bucket_cfg *slowly;
	struct timeval tick = { 0, 10000 };
	world_conn_t *c = arg;

	(void)fd;
	(void)what;
	/* Slow enough for the next requests to come while the body is read. */
	if (!slowly)
		slowly = ev_token_bucket_cfg_new(
			EARLY_READ_RATE, EARLY_READ_RATE, EV_RATE_LIMIT_MAX,
			EV_RATE_LIMIT_MAX, &tick);
	bufferevent_set_rate_limit(c->bev, slowly);
	bufferevent_enable(c->bev, EV_READ);
	bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

/* Answers a request whose head was read, for FAULT_EARLY_ANSWER. */
static bool answer_early(world_conn_t *c)
{
	world_server_t *s = c->server;
	str_t rid;
	GString *out;
	char *id;

	if (!c->msg.headers_done || c->answered_early || c->msg.done ||
	    s->fault != FAULT_EARLY_ANSWER || next_fault(s) == FAULT_NONE)
		return false;
	c->answered_early = true;
	rid = http_msg_get(&c->msg, header(s, OUTSIDE_REQUEST_ID));
	id = g_strndup(rid.s, rid.sz);
	count_run(c, id);
	out = g_string_new(NULL);
	append_answer(out, s, id, 200, true);
	write_text(c, out);
	g_string_free(out, TRUE);
	g_free(id);
	bufferevent_disable(c->bev, EV_READ);
	world_conn_set_timer(c, EARLY_ANSWER_MS, on_read_on);
	return true;
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_answer(arg);
}

/* Notes until when the sender of a request waits for its answer. */
static void note_time_left(const world_conn_t *c)
{
	str_t v = http_msg_get(&c->msg, header(c->server, OUTSIDE_TIME_LEFT));
	char *text = g_strndup(v.s, v.sz);
	world_given_t given = { .accepted_at = c->accepted_at };
	usec_t until;

	until = standin_now() +
		(usec_t)(g_ascii_strtod(text, NULL) * (double)USEC_PER_MSEC);
	if (c->server->given_until < until)
		c->server->given_until = until;
	given.until = until;
	g_array_append_val(c->server->given_times, given);
	g_free(text);
}

static void handle_server_request(world_conn_t *c)
{
	note_time_left(c);
	if (c->copy)
		evbuffer_add(bufferevent_get_output(c->bev), c->copy,
			     strlen(c->copy));
	g_free(c->copy);
	c->copy = NULL;
	if (c->server->work_ms)
		world_conn_set_timer(c, c->server->work_ms, on_work_done);
	else
		send_answer(c);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int sz, void *arg)
{
	world_server_t *s = arg;

	(void)l;
	(void)sa;
	(void)sz;
	if (s->stop_at_accept)
		kill(s->stop_at_accept, SIGSTOP);
	s->stop_at_accept = 0;
	world_conn_new(s->w, s, fd, handle_server_request, NULL);
}

void world_publish_server(world_server_t *s, const char *state)
{
	char *key = g_strdup_printf("servers/%s", s->id);
	char *value = NULL;

	/* A server that was draining has terminated. If it is ready again, a
	 * new process was started. */
	if (state && s->draining && strcmp(state, "ready") == 0) {
		s->incarnation++;
		s->report_seq = 0;
		s->draining = false;
	}
	if (state && strcmp(state, "draining") == 0) {
		s->draining_since =
			s->draining ? s->draining_since : standin_now();
		s->draining = true;
	}
	s->report_seq += state != NULL;
	if (state)
		value = s->w->protocol->format_entry(s, state);
	world_put(s->w, key, value);
	g_free(value);
	g_free(key);
}

world_server_t *world_start_server(world_t *w, const char *service,
				   const char *dc)
{
	world_server_t *s = g_new0(world_server_t, 1);

	s->w = w;
	s->run_times = g_array_new(FALSE, FALSE, sizeof(usec_t));
	s->given_times = g_array_new(FALSE, FALSE, sizeof(world_given_t));
	g_snprintf(s->id, sizeof(s->id), "i-%s-%u", service, w->servers->len);
	g_snprintf(s->service, sizeof(s->service), "%s", service);
	g_snprintf(s->dc, sizeof(s->dc), "%s", dc);
	s->listener = world_listen(w, on_accept, s, s->addr);
	if (w->use_proxies) {
		char own[32];

		g_strlcpy(own, s->addr, sizeof(own));
		world_proxy(w, own, s->addr);
	}
	g_ptr_array_add(w->servers, s);
	world_publish_server(s, "ready");
	return s;
}

unsigned world_most_runs_per_s(const world_server_t *s, usec_t since)
{
	const usec_t *t = (const usec_t *)s->run_times->data;
	unsigned most = 0;
	guint i, first = 0;

	for (i = 0; i < s->run_times->len; i++) {
		while (t[first] < since && first < i)
			first++;
		while (t[first] <= t[i] - USEC_PER_SEC)
			first++;
		if (t[i] >= since && i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

void world_stop_accepting(world_server_t *s)
{
	struct sockaddr_in sa = addr_to_sockaddr(s->addr);
	int i, fd;

	evconnlistener_disable(s->listener);
	/* The kernel drops what exceeds the queue of accepted connections. */
	if (listen(evconnlistener_get_fd(s->listener), 0))
		g_error("stand-in: cannot listen: %s", g_strerror(errno));
	for (i = 0; i < QUEUED_CONNECTIONS; i++) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		/* A connection that is in progress is an error, too. */
		(void)connect(fd, (struct sockaddr *)&sa, sizeof(sa));
		g_array_append_val(s->w->held_sockets, fd);
	}
}

void world_server_free(world_server_t *s)
{
	evconnlistener_free(s->listener);
	g_array_free(s->run_times, TRUE);
	g_array_free(s->given_times, TRUE);
	g_free(s);
}
