/**
 * @file stand.c
 * Stand-ins of the cases 6 to 10: the platform's store and the servers in one
 * process, and callers in another. All names of the users' protocol come from a
 * text file. Commands on the standard input change what is published.
 *
 *   stand serve NAMES STORE_PORT RECORD   commands: see on_command()
 *   stand call NAMES RECORD PORT FILE COUNT GAP_MS RATE BUFFER LIMIT_MS
 *       [HOLD_MS [SECOND_FILE]]
 */
#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_NAMES 32
#define MAX_ITEMS 512
#define MAX_SERVERS 64
#define MAX_HEAD 16384
#define REQUEST_BYTES 524288
#define PACKET_BYTES 1460 /* of a link of 1,500 bytes */

/* A published item; value NULL: deleted. */
typedef struct item {
	char key[200];
	char *value;
	unsigned long revision;
} item_t;

/* A server of a service, which accepts connections of its own. */
typedef struct server {
	char id[64];
	unsigned port;
	unsigned work_ms;
	size_t body;
	unsigned number;
	struct evconnlistener *listener;
} server_t;

/* A connection to the store or to a server. */
typedef struct conn {
	server_t *server; /* NULL: the store */
	struct bufferevent *bev;
	struct event *timer;
	unsigned long after; /* of the watch that waits */
	int waits;
	char id[128];
	struct conn *next;
} conn_t;

static struct event_base *base;
static char names[MAX_NAMES][2][256];
static unsigned nnames;
static item_t items[MAX_ITEMS];
static unsigned nitems;
static unsigned long revision = 100;
static server_t servers[MAX_SERVERS];
static unsigned nservers;
static conn_t *conns;
static FILE *record;

static double now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

__attribute__((format(printf, 1, 2))) static void note(const char *fmt, ...)
{
	struct timespec t;
	va_list ap;

	clock_gettime(CLOCK_REALTIME, &t);
	fprintf(record, "%lld.%03ld ", (long long)t.tv_sec,
		t.tv_nsec / 1000000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static void read_names(const char *path)
{
	FILE *f = fopen(path, "r");
	char line[512], *eq;

	while (f && nnames < MAX_NAMES && fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\n")] = 0;
		eq = strchr(line, '=');
		if (!eq)
			continue;
		*eq = 0;
		snprintf(names[nnames][0], 256, "%.255s", line);
		snprintf(names[nnames++][1], 256, "%.255s", eq + 1);
	}
	if (f)
		fclose(f);
}

static const char *name_of(const char *key)
{
	unsigned i;

	for (i = 0; i < nnames; i++)
		if (strcmp(names[i][0], key) == 0)
			return names[i][1];
	fprintf(stderr, "stand: no name for %s\n", key);
	exit(2);
}

/* Copies the value of a header line of a head; empty if it has none. */
static void header(const char *head, const char *name, char *to, size_t sz)
{
	size_t n = strlen(name);
	const char *at;

	*to = 0;
	for (at = strstr(head, "\r\n"); at; at = strstr(at, "\r\n")) {
		at += 2;
		if (strncasecmp(at, name, n) != 0 || at[n] != ':')
			continue;
		at += n + 1;
		at += strspn(at, " ");
		n = strcspn(at, "\r");
		snprintf(to, sz, "%.*s", (int)(n < sz ? n : sz - 1), at);
		return;
	}
}

/* Takes a whole request from the buffer; returns its body's bytes, or -1. */
static long take_request(struct evbuffer *in, char head[MAX_HEAD])
{
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	char text[32];
	size_t body;

	if (end.pos < 0 || end.pos + 4 >= MAX_HEAD)
		return -1;
	evbuffer_copyout(in, head, (size_t)end.pos + 4);
	head[end.pos + 4] = 0;
	header(head, "Content-Length", text, sizeof(text));
	body = strtoul(text, NULL, 10);
	if (evbuffer_get_length(in) < (size_t)end.pos + 4 + body)
		return -1;
	evbuffer_drain(in, (size_t)end.pos + 4 + body);
	return (long)body;
}

/* The store. */

static void encode(struct evbuffer *out, const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t n = strlen(text), i;

	for (i = 0; i < n; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;
		char four[4];

		v |= i + 1 < n ? (unsigned)(unsigned char)text[i + 1] << 8 : 0;
		v |= i + 2 < n ? (unsigned)(unsigned char)text[i + 2] : 0;
		four[0] = digits[v >> 18];
		four[1] = digits[v >> 12 & 63];
		four[2] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		four[3] = i + 2 < n ? digits[v & 63] : '=';
		evbuffer_add(out, four, 4);
	}
}

static void reply_store(conn_t *c, unsigned status, struct evbuffer *body)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_add_printf(out,
			    "HTTP/1.1 %u X\r\nContent-Type: application/json\r"
			    "\nContent-Length: %zu\r\n\r\n",
			    status, evbuffer_get_length(body));
	evbuffer_add_buffer(out, body);
	evbuffer_free(body);
}

/* Answers with the items after a revision; of a list, only those that are. */
static void reply_items(conn_t *c, int list)
{
	struct evbuffer *out = evbuffer_new();
	unsigned i, n = 0;

	evbuffer_add_printf(out, "%s",
			    name_of(list ? "list_open" : "watch_open"));
	for (i = 0; i < nitems; i++) {
		const item_t *it = &items[i];

		if (list ? !it->value : it->revision <= c->after)
			continue;
		evbuffer_add_printf(out, "%s{\"key\":\"%s\",\"revision\":%lu",
				    n++ ? "," : "", it->key, it->revision);
		if (it->value) {
			evbuffer_add_printf(
				out, ",\"created\":1,\"lease\":0,\"value\":\"");
			encode(out, it->value);
			evbuffer_add_printf(out, "\"}");
		} else {
			evbuffer_add_printf(out, "%s}", name_of("gone"));
		}
	}
	evbuffer_add_printf(out, "%s%lu}",
			    name_of(list ? "list_close" : "watch_close"),
			    revision);
	c->waits = 0;
	reply_store(c, 200, out);
}

static void on_watch_end(evutil_socket_t fd, short what, void *arg)
{
	conn_t *c = arg;

	(void)fd;
	(void)what;
	if (c->waits)
		reply_items(c, 0);
}

static unsigned long argument(const char *head, const char *name)
{
	const char *at = strstr(head, name), *end = strstr(head, " HTTP/");

	return at && at < end ? strtoul(at + strlen(name), NULL, 10) : 0;
}

static void store_request(conn_t *c, const char *head)
{
	unsigned long ms;
	struct timeval tv;

	if (strstr(head, name_of("list"))) {
		c->after = 0;
		reply_items(c, 1);
		return;
	}
	c->after = argument(head, name_of("after"));
	ms = argument(head, name_of("wait"));
	c->waits = 1;
	if (c->after < revision || ms == 0) {
		reply_items(c, 0);
		return;
	}
	tv = (struct timeval){ (time_t)(ms / 1000),
			       (suseconds_t)(ms % 1000 * 1000) };
	evtimer_add(c->timer, &tv);
}

static void put(const char *key, const char *value)
{
	conn_t *c;
	unsigned i;

	for (i = 0; i < nitems && strcmp(items[i].key, key) != 0; i++)
		;
	if (i == MAX_ITEMS)
		return;
	if (i == nitems)
		snprintf(items[nitems++].key, sizeof(items[i].key), "%s", key);
	free(items[i].value);
	items[i].value = value ? strdup(value) : NULL;
	items[i].revision = ++revision;
	for (c = conns; c; c = c->next)
		if (!c->server && c->waits)
			reply_items(c, 0);
}

/* Servers. */

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct evbuffer *out;
	conn_t *c = arg;
	size_t left;
	static char block[65536];

	(void)fd;
	(void)what;
	if (!c->server) {
		on_watch_end(fd, what, arg);
		return;
	}
	out = bufferevent_get_output(c->bev);
	memset(block, 'x', sizeof(block));
	note("answered %s by %s", c->id, c->server->id);
	evbuffer_add_printf(out,
			    "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %x.%s\r\n"
			    "Content-Length: %zu\r\n\r\n",
			    name_of("id"), c->id, name_of("stamp"),
			    c->server->number, c->id, c->server->body);
	for (left = c->server->body; left;) {
		size_t n = left < sizeof(block) ? left : sizeof(block);

		evbuffer_add(out, block, n);
		left -= n;
	}
}

static void server_request(conn_t *c, const char *head, long body)
{
	struct timeval tv = { c->server->work_ms / 1000,
			      (suseconds_t)(c->server->work_ms % 1000 * 1000) };
	struct evbuffer *out = bufferevent_get_output(c->bev);
	char wanted[128];

	header(head, name_of("id"), c->id, sizeof(c->id));
	header(head, name_of("instance"), wanted, sizeof(wanted));
	if (wanted[0] && strcmp(wanted, c->server->id) != 0) {
		evbuffer_add_printf(out,
				    "HTTP/1.1 421 X\r\n%s: %s\r\n%s: 1\r\n"
				    "%s: %s\r\nContent-Length: 0\r\n\r\n",
				    name_of("own"), c->server->id,
				    name_of("not_run"), name_of("id"), c->id);
		return;
	}
	note("ran %s at %s, body of %ld", c->id, c->server->id, body);
	evtimer_add(c->timer, &tv);
}

static void on_server_read(struct bufferevent *bev, void *arg)
{
	char head[MAX_HEAD];
	conn_t *c = arg;
	long body;

	while ((body = take_request(bufferevent_get_input(bev), head)) >= 0)
		if (c->server)
			server_request(c, head, body);
		else
			store_request(c, head);
}

static void on_server_event(struct bufferevent *bev, short what, void *arg)
{
	conn_t *c = arg, **at = &conns;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	event_free(c->timer);
	bufferevent_free(c->bev);
	free(c);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int sz, void *arg)
{
	conn_t *c = calloc(1, sizeof(*c));
	int one = 1;

	(void)l;
	(void)sa;
	(void)sz;
	if (!c)
		exit(2);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->server = arg;
	c->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(base, on_work_done, c);
	c->next = conns;
	conns = c;
	bufferevent_setcb(c->bev, on_server_read, NULL, on_server_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static struct evconnlistener *listen_on(unsigned port, void *arg)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct evconnlistener *l;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)port);
	l = evconnlistener_new_bind(base, on_accept, arg,
				    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
				    1024, (struct sockaddr *)&sa, sizeof(sa));
	if (!l) {
		fprintf(stderr, "stand: cannot listen on port %u\n", port);
		exit(2);
	}
	return l;
}

/*
 * Commands: "put KEY VALUE", "del KEY", "server ID PORT WORK_MS BODY_BYTES",
 * "work ID MS", "body ID BYTES", "end".
 */
static void run_command(char *line)
{
	char *word = strtok(line, " "), *id = strtok(NULL, " "), *rest;
	unsigned i;

	if (!word || strcmp(word, "end") == 0) {
		event_base_loopbreak(base);
		return;
	}
	rest = strtok(NULL, "");
	if (strcmp(word, "put") == 0)
		put(id, rest);
	if (strcmp(word, "del") == 0)
		put(id, NULL);
	if (strcmp(word, "server") == 0 && nservers < MAX_SERVERS) {
		server_t *s = &servers[nservers++];

		snprintf(s->id, sizeof(s->id), "%s", id);
		s->number = nservers;
		sscanf(rest, "%u %u %zu", &s->port, &s->work_ms, &s->body);
		s->listener = listen_on(s->port, s);
	}
	for (i = 0; i < nservers; i++) {
		if (strcmp(servers[i].id, id) != 0)
			continue;
		if (strcmp(word, "work") == 0)
			servers[i].work_ms = (unsigned)atoi(rest);
		if (strcmp(word, "body") == 0)
			servers[i].body = strtoul(rest, NULL, 10);
	}
}

static void on_command(struct bufferevent *bev, void *arg)
{
	char *line;

	(void)arg;
	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
				       EVBUFFER_EOL_LF))) {
		run_command(line);
		free(line);
	}
}

static void on_command_end(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	(void)arg;
	event_base_loopbreak(base);
}

static int serve(unsigned port)
{
	struct bufferevent *in = bufferevent_socket_new(base, 0, 0);

	evutil_make_socket_nonblocking(0);
	listen_on(port, NULL);
	bufferevent_setcb(in, on_command, NULL, on_command_end, NULL);
	bufferevent_enable(in, EV_READ);
	return event_base_dispatch(base) < 0 ? 2 : 0;
}

/* Callers. */

/* A caller that sends one request and reads the answer at a given rate. */
typedef struct call {
	unsigned number;
	int fd;
	struct event *event;
	char *request;
	double begun, ends, last_read;
	double held_until; /* between the two requests; 0: not */
	size_t sent, got, expected;
	char head[MAX_HEAD];
	size_t head_sz;
	unsigned status;
	int done;
	int first; /* of two requests on the connection; read at once */
} call_t;

static unsigned call_port, ncalls, nopen, nincomplete;
static double rate, limit_ms;
static int buffer, hold_ms;
static char *request_text, *second_text;

static void call_end(call_t *c, const char *why)
{
	int whole = c->status && c->got >= c->expected;

	if (c->done)
		return;
	c->done = 1;
	nopen--;
	nincomplete += !whole;
	note("caller r%u: %s, status %u, %zu of %zu bytes, %.0f ms", c->number,
	     whole ? "whole" : why, c->status, c->got, c->expected,
	     now_ms() - c->begun);
	event_del(c->event);
	close(c->fd);
}

/* Takes the head from what was read; the rest counts as body. */
static void take_head(call_t *c, const char *bytes, size_t n)
{
	size_t room = sizeof(c->head) - 1 - c->head_sz;
	char text[32], *end;
	size_t before = c->head_sz;

	if (c->status) {
		c->got += n;
		return;
	}
	memcpy(c->head + c->head_sz, bytes, n < room ? n : room);
	c->head_sz += n < room ? n : room;
	c->head[c->head_sz] = 0;
	end = strstr(c->head, "\r\n\r\n");
	if (!end)
		return;
	end += 4;
	c->status = (unsigned)atoi(c->head + strlen("HTTP/1.1 "));
	c->got = before + n - (size_t)(end - c->head);
	header(c->head, "Content-Length", text, sizeof(text));
	c->expected = strtoul(text, NULL, 10);
}

static char *make_request(const char *text, unsigned number,
			  const char *prefix);

/* After the whole answer to the first request of a kept connection. */
static void send_second(call_t *c)
{
	free(c->request);
	c->request = make_request(second_text, c->number, "r");
	c->begun = c->last_read = now_ms();
	c->ends = c->begun + limit_ms;
	c->held_until = 0;
	c->sent = c->got = c->expected = c->head_sz = 0;
	c->status = 0;
	note("caller r%u: sends", c->number);
}

/* Sends what is left of the request, then reads as much as the rate allows. */
static void on_call(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = { 0, 20000 };
	call_t *c = arg;
	double now = now_ms();
	size_t may, left = strlen(c->request) - c->sent;
	static char bytes[1 << 20];
	ssize_t n = 0;

	(void)fd;
	(void)what;
	if (now < c->held_until) {
		evtimer_add(c->event, &tv);
		return;
	}
	if (c->held_until > 0) {
		send_second(c);
		left = strlen(c->request);
	}
	if (left) {
		n = send(c->fd, c->request + c->sent, left, MSG_NOSIGNAL);
		c->sent += n > 0 ? (size_t)n : 0;
	}
	if (now > c->ends) {
		call_end(c, "time limit");
		return;
	}
	may = (size_t)(rate * (now - c->last_read) / 1e3);
	may = may < sizeof(bytes) && !c->first ? may : sizeof(bytes);
	c->last_read = now;
	n = may ? recv(c->fd, bytes, may, MSG_DONTWAIT) : -2;
	if (n > 0)
		take_head(c, bytes, (size_t)n);
	if (n == 0) {
		call_end(c, "closed early");
		return;
	}
	if (n == -1 && errno != EAGAIN && errno != ENOTCONN &&
	    errno != EINPROGRESS) {
		call_end(c, strerror(errno));
		return;
	}
	if (c->first && c->status && c->got >= c->expected) {
		c->held_until = now + hold_ms;
		c->first = 0;
		evtimer_add(c->event, &tv);
		return;
	}
	if (c->status && c->got >= c->expected)
		call_end(c, "");
	else
		evtimer_add(c->event, &tv);
}

static void call_start(evutil_socket_t fd, short what, void *arg)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	call_t *c = arg;
	struct timeval tv = { 0, 20000 };
	int packet = PACKET_BYTES;

	(void)fd;
	(void)what;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)call_port);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	setsockopt(c->fd, IPPROTO_TCP, TCP_MAXSEG, &packet, sizeof(packet));
	(void)connect(c->fd, (struct sockaddr *)&sa, sizeof(sa));
	c->begun = c->last_read = now_ms();
	c->ends = c->begun + limit_ms;
	event_free(c->event);
	c->event = evtimer_new(base, on_call, c);
	evtimer_add(c->event, &tv);
	note("caller r%u: %s", c->number, c->first ? "begins" : "sends");
}

static void on_all_done(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	if (!nopen)
		event_base_loopbreak(base);
}

/* Makes the request of a caller: each '@' of the file becomes its number, each
 * line end of it one of the protocol. */
static char *make_request(const char *text, unsigned number, const char *prefix)
{
	char *to = calloc(1, strlen(text) * 3 + 256), *at = to;
	const char *p;

	if (!to)
		exit(2);
	for (p = text; *p; p++)
		if (*p == '@')
			at += sprintf(at, "%s%u", prefix, number);
		else if (*p == '\n')
			at += sprintf(at, "\r\n");
		else
			*at++ = *p;
	return to;
}

/* The text of a file; it stays allocated. */
static char *read_text(const char *path)
{
	char *text = calloc(1, REQUEST_BYTES);
	FILE *f = fopen(path, "r");

	if (!f || !text)
		exit(2);
	text[fread(text, 1, REQUEST_BYTES - 1, f)] = 0;
	fclose(f);
	return text;
}

static int call(char **v, int n)
{
	struct timeval poll = { 0, 100000 };
	struct event *done = event_new(base, -1, EV_PERSIST, on_all_done, NULL);
	unsigned gap = (unsigned)atoi(v[3]), i;

	request_text = read_text(v[1]);
	second_text = n > 8 ? read_text(v[8]) : request_text;
	call_port = (unsigned)atoi(v[0]);
	ncalls = nopen = (unsigned)atoi(v[2]);
	rate = atof(v[4]);
	buffer = atoi(v[5]);
	limit_ms = atof(v[6]);
	hold_ms = n > 7 ? atoi(v[7]) : 0;
	for (i = 0; i < ncalls; i++) {
		call_t *c = calloc(1, sizeof(*c));
		struct timeval tv = { gap * i / 1000,
				      (suseconds_t)(gap * i % 1000 * 1000) };

		if (!c)
			return 2;
		c->number = i;
		c->first = hold_ms > 0;
		c->request =
			make_request(request_text, i, c->first ? "first" : "r");
		c->event = evtimer_new(base, call_start, c);
		evtimer_add(c->event, &tv);
	}
	event_add(done, &poll);
	event_base_dispatch(base);
	note("callers: %u of %u without a whole answer", nincomplete, ncalls);
	return nincomplete ? 1 : 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc < 5)
		return 2;
	base = event_base_new();
	read_names(argv[2]);
	if (strcmp(argv[1], "serve") == 0) {
		record = fopen(argv[4], "a");
		return record ? serve((unsigned)atoi(argv[3])) : 2;
	}
	record = fopen(argv[3], "a");
	if (!record || argc < 11)
		return 2;
	return call(argv + 4, argc - 4);
}
