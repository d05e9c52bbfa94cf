/**
 * @file peers_socket.c
 * Messages between daemons of routed requests without ZeroMQ: a short message
 * is one datagram, a longer one takes a TCP connection of its own, on which it
 * follows its length. Both use the peer address. Anyone may send anything to
 * it: what is held for others is bounded in number, in bytes and in time.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libcommon.h"

/* Fits into one packet on all usual links, also in tunnels. */
#define DATAGRAM_MAX_BYTES 1200
/* Datagrams read in one turn of the event loop; the rest wait in the socket, so
 * that a flood does not keep callers waiting. */
#define DATAGRAMS_PER_TURN 64
#define LENGTH_BYTES 4 /* before a message on a connection, big-endian */
/* Connections at a time in each direction. A change that all hosts request at
 * once needs more: the rest wait in the list or in the listener's queue. */
#define MAX_CONNECTIONS 32
#define BACKLOG 128
/* Messages that wait for a connection: as many as a daemon has followers. */
#define MAX_OUTGOING 512
/* Bytes held of messages that are being sent, and as many of those that are
 * being received: the longest message and some of usual length. */
#define MAX_HELD_BYTES (PEER_MSG_MAX_BYTES + ((size_t)4 << 20))
/* Memory for an incoming message grows with what arrived, not with the length
 * that its sender claims. */
#define FIRST_CAPACITY ((size_t)4 << 10)
/* Two lost SYN packets, which the kernel repeats after 1 s and 3 s. */
#define CONNECT_LIMIT_S 4
/* Longest pause of a transfer. Hosts that take turns on a processor may pause
 * for a second. */
#define PROGRESS_LIMIT_S 5
/* 16 MB to each of three hosts take 20 s on a link of 20 Mbit/s. */
#define TRANSFER_LIMIT (30 * USEC_PER_SEC)
#define LOG_PERIOD USEC_PER_SEC /* at most one line of a kind in it */

/* The bytes of a message that is sent to several hosts. */
typedef struct body {
	size_t refs;
	size_t sz; /* with the length before the message */
	char bytes[];
} body_t;

/* One message to one host. */
typedef struct outgoing {
	peer_socket_t *socket;
	struct sockaddr_in to;
	body_t *body;
	size_t sent;
	int fd;		     /* below 0: waits for a connection */
	struct event *event; /* NULL: waits for a connection */
	bool connected;
	usec_t deadline;
	struct outgoing *next;
} outgoing_t;

/* A connection on which messages arrive. */
typedef struct incoming {
	peer_socket_t *socket;
	int fd;
	struct event *event;
	char length[LENGTH_BYTES];
	size_t length_got;
	char *bytes; /* NULL until the length is known */
	size_t sz;
	size_t got;
	size_t capacity;
	usec_t deadline;
	struct incoming *next; /* opened earlier */
} incoming_t;

/* A whole message that was received on a connection. */
typedef struct received {
	char *bytes;
	size_t sz;
	struct received *next;
} received_t;

/* Events that are logged; each kind has its own limit. */
typedef enum log_kind {
	LOG_NOT_SENT,
	LOG_REFUSED,
	LOG_KINDS,
} log_kind_t;

struct peer_socket {
	struct sockaddr_in addr;
	int datagrams;
	int listener;
	struct event *datagrams_event;
	struct event *listener_event;
	peer_ready_fn_t ready;
	void *arg;
	unsigned datagrams_left; /* to be read in this turn */
	outgoing_t *outgoing;	 /* in the order of their requests */
	size_t noutgoing;
	size_t nconnecting; /* of these, those with a connection */
	size_t outgoing_bytes;
	incoming_t *incoming; /* the latest one first */
	size_t nincoming;
	size_t incoming_bytes;
	received_t *received;
	usec_t logged_at[LOG_KINDS];
	uint64_t not_logged[LOG_KINDS];
	peers_counts_t counts;
};

/* Logs an event unless one of its kind was logged shortly before. */
static void log_event(peer_socket_t *p, log_kind_t kind, const char *msg,
		      const struct sockaddr_in *peer, const char *why)
{
	unsigned long ip = peer ? ntohl(peer->sin_addr.s_addr) : 0;
	usec_t now = clock_now();

	if (p->logged_at[kind] && now - p->logged_at[kind] < LOG_PERIOD) {
		p->not_logged[kind]++;
		return;
	}
	p->logged_at[kind] = now;
	log_json(G_LOG_LEVEL_WARNING, msg,
		 "\"peer\":\"%lu.%lu.%lu.%lu:%u\",\"why\":\"%s\","
		 "\"not_logged\":%llu",
		 ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255,
		 peer ? ntohs(peer->sin_port) : 0, why,
		 (unsigned long long)p->not_logged[kind]);
	p->not_logged[kind] = 0;
}

static void report_not_sent(peer_socket_t *p, const struct sockaddr_in *to,
			    const char *why)
{
	p->counts.not_sent++;
	log_event(p, LOG_NOT_SENT, "peer message not sent", to, why);
}

static void report_refused(peer_socket_t *p, const struct sockaddr_in *from,
			   const char *why)
{
	p->counts.refused++;
	log_event(p, LOG_REFUSED, "peer message refused", from, why);
}

/* Outgoing connections. */

static void start_waiting(peer_socket_t *p);

static body_t *body_new(const char *bytes, size_t sz)
{
	body_t *b = xmalloc(sizeof(*b) + LENGTH_BYTES + sz);
	uint32_t length = htonl((uint32_t)sz);

	b->refs = 1;
	b->sz = LENGTH_BYTES + sz;
	memcpy(b->bytes, &length, LENGTH_BYTES);
	memcpy(b->bytes + LENGTH_BYTES, bytes, sz);
	return b;
}

static void body_unref(peer_socket_t *p, body_t *b)
{
	if (--b->refs)
		return;
	p->outgoing_bytes -= b->sz;
	free(b);
}

/* Frees a message that is not in the list. */
static void outgoing_free(outgoing_t *o)
{
	peer_socket_t *p = o->socket;

	p->noutgoing--;
	if (o->event) {
		p->nconnecting--;
		event_free(o->event);
	}
	if (o->fd >= 0)
		close(o->fd);
	body_unref(p, o->body);
	free(o);
}

static void outgoing_end(outgoing_t *o)
{
	outgoing_t **at = &o->socket->outgoing;

	while (*at != o)
		at = &(*at)->next;
	*at = o->next;
	outgoing_free(o);
}

static void outgoing_fail(outgoing_t *o, const char *why)
{
	report_not_sent(o->socket, &o->to, why);
	outgoing_end(o);
}

static void outgoing_wait(outgoing_t *o)
{
	struct timeval limit = { o->connected ? PROGRESS_LIMIT_S
					      : CONNECT_LIMIT_S,
				 0 };

	event_add(o->event, &limit);
}

/* Sends what the socket takes. The connection is closed after the last byte,
 * which the kernel still delivers. */
static void on_writable(evutil_socket_t fd, short what, void *arg)
{
	outgoing_t *o = arg;
	peer_socket_t *p = o->socket;
	ssize_t n;

	if (what & EV_TIMEOUT || clock_now() > o->deadline) {
		outgoing_fail(o, o->connected ? "time limit of the transfer"
					      : "time limit of the connection");
		start_waiting(p);
		return;
	}
	n = send(fd, o->body->bytes + o->sent, o->body->sz - o->sent,
		 MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		outgoing_fail(o, strerror(errno));
		start_waiting(p);
		return;
	}
	if (n >= 0) {
		o->connected = true;
		o->sent += (size_t)n;
	}
	if (o->sent < o->body->sz) {
		outgoing_wait(o);
		return;
	}
	p->counts.sent++;
	p->counts.bytes_sent += o->body->sz;
	outgoing_end(o);
	start_waiting(p);
}

/* Connects from the address of the peer listener, on any port. */
static bool outgoing_connect(outgoing_t *o)
{
	struct sockaddr_in from = o->socket->addr;
	int one = 1;

	from.sin_port = 0;
	o->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (o->fd < 0)
		return false;
	/* Without this option connections to different hosts could not use the
	 * same port; it is only an optimisation. */
	setsockopt(o->fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one,
		   sizeof(one));
	return bind(o->fd, (struct sockaddr *)&from, sizeof(from)) == 0 &&
	       (connect(o->fd, (struct sockaddr *)&o->to, sizeof(o->to)) == 0 ||
		errno == EINPROGRESS);
}

/* Connects for waiting messages as long as connections are available. */
static void start_waiting(peer_socket_t *p)
{
	outgoing_t *o = p->outgoing, *next;

	for (; o && p->nconnecting < MAX_CONNECTIONS; o = next) {
		next = o->next;
		if (o->event)
			continue;
		if (clock_now() > o->deadline) {
			outgoing_fail(o, "time limit of the wait");
		} else if (!outgoing_connect(o)) {
			outgoing_fail(o, strerror(errno));
		} else {
			o->event = event_new(event_get_base(p->listener_event),
					     o->fd, EV_WRITE, on_writable, o);
			p->nconnecting++;
			outgoing_wait(o);
		}
	}
}

static void send_connected(peer_socket_t *p, const struct sockaddr_in *to,
			   body_t *body)
{
	outgoing_t *o, **end = &p->outgoing;

	if (p->noutgoing >= MAX_OUTGOING) {
		report_not_sent(p, to, "too many messages wait");
		return;
	}
	o = xcalloc(1, sizeof(*o));
	o->socket = p;
	o->to = *to;
	o->body = body;
	o->fd = -1;
	o->deadline = clock_now() + TRANSFER_LIMIT;
	body->refs++;
	while (*end)
		end = &(*end)->next;
	*end = o;
	p->noutgoing++;
}

/* Returns false if the message is too long for a datagram on this path. */
static bool send_datagram(peer_socket_t *p, const struct sockaddr_in *to,
			  const char *bytes, size_t sz)
{
	ssize_t n = sendto(p->datagrams, bytes, sz, MSG_NOSIGNAL,
			   (const struct sockaddr *)to, sizeof(*to));

	if (n >= 0) {
		p->counts.sent++;
		p->counts.bytes_sent += sz;
	} else if (errno == EMSGSIZE) {
		return false;
	} else {
		report_not_sent(p, to, strerror(errno));
	}
	return true;
}

static void socket_send(peer_socket_t *p, const str_t *to, size_t n,
			const char *bytes, size_t sz, peer_way_t way)
{
	bool fits = way == PEER_SHORTEST && sz <= DATAGRAM_MAX_BYTES;
	char text[ADDR_HOST_MAX + 8], host[ADDR_HOST_MAX];
	struct sockaddr_in addr;
	body_t *body = NULL;
	unsigned port;
	size_t i;

	if (sz > PEER_MSG_MAX_BYTES ||
	    p->outgoing_bytes + sz > MAX_HELD_BYTES) {
		report_not_sent(p, NULL, "too many bytes");
		return;
	}
	for (i = 0; i < n; i++) {
		if (!addr_split(to[i], host, &port)) {
			report_not_sent(p, NULL, "not an address");
			continue;
		}
		addr = addr_to_sockaddr(str_copy(text, sizeof(text), to[i]));
		if (fits && send_datagram(p, &addr, bytes, sz))
			continue;
		if (!body) {
			body = body_new(bytes, sz);
			p->outgoing_bytes += body->sz;
		}
		send_connected(p, &addr, body);
	}
	if (!body)
		return;
	body_unref(p, body);
	start_waiting(p);
}

/* Incoming connections. */

/* Frees a connection that is not in the list. */
static void incoming_free(incoming_t *in)
{
	peer_socket_t *p = in->socket;

	p->nincoming--;
	p->incoming_bytes -= in->capacity;
	event_free(in->event);
	close(in->fd);
	free(in->bytes);
	free(in);
}

static void incoming_end(incoming_t *in)
{
	incoming_t **at = &in->socket->incoming;

	while (*at != in)
		at = &(*at)->next;
	*at = in->next;
	incoming_free(in);
}

static void incoming_refuse(incoming_t *in, const char *why)
{
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);

	getpeername(in->fd, (struct sockaddr *)&from, &len);
	report_refused(in->socket, &from, why);
	incoming_end(in);
}

/* Makes room for more bytes; false if the limit of all connections is reached.
 */
static bool incoming_grow(incoming_t *in)
{
	size_t capacity = in->capacity ? in->capacity * 2 : FIRST_CAPACITY;

	if (capacity > in->sz)
		capacity = in->sz;
	if (in->socket->incoming_bytes + capacity - in->capacity >
	    MAX_HELD_BYTES)
		return false;
	in->socket->incoming_bytes += capacity - in->capacity;
	in->bytes = xrealloc(in->bytes, capacity);
	in->capacity = capacity;
	return true;
}

/* Passes on the whole message and closes the connection. */
static void incoming_complete(incoming_t *in)
{
	peer_socket_t *p = in->socket;
	received_t *r = xcalloc(1, sizeof(*r)), **end = &p->received;

	r->bytes = in->bytes;
	r->sz = in->sz;
	in->bytes = NULL;
	while (*end)
		end = &(*end)->next;
	*end = r;
	incoming_end(in);
	p->ready(p->arg);
}

/* Reads the length or a part of the message. Returns the result of recv(). */
static ssize_t incoming_read(incoming_t *in)
{
	ssize_t n;

	if (in->length_got < LENGTH_BYTES) {
		n = recv(in->fd, in->length + in->length_got,
			 LENGTH_BYTES - in->length_got, 0);
		if (n > 0)
			in->length_got += (size_t)n;
		return n;
	}
	n = recv(in->fd, in->bytes + in->got, in->capacity - in->got, 0);
	if (n > 0)
		in->got += (size_t)n;
	return n;
}

static void on_incoming(evutil_socket_t fd, short what, void *arg)
{
	incoming_t *in = arg;
	uint32_t length;
	ssize_t n;

	(void)fd;
	if (what & EV_TIMEOUT || clock_now() > in->deadline) {
		incoming_refuse(in, "time limit of the transfer");
		return;
	}
	n = incoming_read(in);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		incoming_refuse(in, n ? strerror(errno) : "closed early");
		return;
	}
	if (in->length_got == LENGTH_BYTES && in->sz == 0) {
		memcpy(&length, in->length, LENGTH_BYTES);
		in->sz = ntohl(length);
		if (in->sz == 0 || in->sz > PEER_MSG_MAX_BYTES) {
			incoming_refuse(in, "length out of range");
			return;
		}
	}
	if (in->sz && in->got == in->sz)
		incoming_complete(in);
	else if (in->sz && in->got == in->capacity && !incoming_grow(in))
		incoming_refuse(in, "too many bytes held");
}

/* The oldest connection makes room: a daemon's own message takes a few
 * milliseconds, so the oldest one rather waits for nothing. */
static void close_oldest(peer_socket_t *p)
{
	incoming_t *in = p->incoming;

	while (in->next)
		in = in->next;
	incoming_refuse(in, "too many connections");
}

static void on_connection(evutil_socket_t fd, short what, void *arg)
{
	struct timeval limit = { PROGRESS_LIMIT_S, 0 };
	peer_socket_t *p = arg;
	incoming_t *in;
	int conn;

	(void)what;
	conn = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (conn < 0) {
		if (errno != EAGAIN && errno != ECONNABORTED)
			report_refused(p, NULL, strerror(errno));
		return;
	}
	if (p->nincoming >= MAX_CONNECTIONS)
		close_oldest(p);
	in = xcalloc(1, sizeof(*in));
	in->socket = p;
	in->fd = conn;
	in->deadline = clock_now() + TRANSFER_LIMIT;
	in->next = p->incoming;
	p->incoming = in;
	p->nincoming++;
	in->event = event_new(event_get_base(p->listener_event), conn,
			      EV_READ | EV_PERSIST, on_incoming, in);
	event_add(in->event, &limit);
}

static void on_datagram(evutil_socket_t fd, short what, void *arg)
{
	peer_socket_t *p = arg;

	(void)fd;
	(void)what;
	p->datagrams_left = DATAGRAMS_PER_TURN;
	p->ready(p->arg);
}

/* Reads the next datagram; NULL if there is none or the turn is over. */
static char *receive_datagram(peer_socket_t *p, size_t *sz)
{
	struct sockaddr_in from = { 0 };
	char buf[DATAGRAM_MAX_BYTES];
	socklen_t len = sizeof(from);
	char *bytes;
	ssize_t n;

	while (p->datagrams_left) {
		p->datagrams_left--;
		n = recvfrom(p->datagrams, buf, sizeof(buf), MSG_TRUNC,
			     (struct sockaddr *)&from, &len);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0) {
			if (errno != EAGAIN)
				report_refused(p, NULL, strerror(errno));
			return NULL;
		}
		if (n == 0 || (size_t)n > sizeof(buf)) {
			report_refused(p, &from, "length out of range");
			continue;
		}
		*sz = (size_t)n;
		bytes = xmalloc(*sz);
		memcpy(bytes, buf, *sz);
		return bytes;
	}
	return NULL;
}

static char *socket_receive(peer_socket_t *p, size_t *sz)
{
	received_t *r = p->received;
	char *bytes;

	if (r) {
		p->received = r->next;
		bytes = r->bytes;
		*sz = r->sz;
		free(r);
	} else {
		bytes = receive_datagram(p, sz);
	}
	if (bytes) {
		p->counts.received++;
		p->counts.bytes_received += *sz;
	}
	return bytes;
}

static const peers_counts_t *socket_counts(const peer_socket_t *p)
{
	return &p->counts;
}

static void socket_close(peer_socket_t *p)
{
	outgoing_t *o;
	incoming_t *in;
	received_t *r;

	if (!p)
		return;
	while ((o = p->outgoing)) {
		p->outgoing = o->next;
		outgoing_free(o);
	}
	while ((in = p->incoming)) {
		p->incoming = in->next;
		incoming_free(in);
	}
	while ((r = p->received)) {
		p->received = r->next;
		free(r->bytes);
		free(r);
	}
	if (p->datagrams_event)
		event_free(p->datagrams_event);
	if (p->listener_event)
		event_free(p->listener_event);
	if (p->datagrams >= 0)
		close(p->datagrams);
	if (p->listener >= 0)
		close(p->listener);
	free(p);
}

/* Opens a bound socket of a type; below 0 on failure. */
static int open_bound(const struct sockaddr_in *addr, int type)
{
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	/* A restarted daemon finds old connections on its port. Two daemons
	 * must not share the datagrams of one address. */
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) == 0 &&
	    (type != SOCK_STREAM || listen(fd, BACKLOG) == 0))
		return fd;
	close(fd);
	return -1;
}

static peer_socket_t *socket_open(const settings_t *s, struct event_base *base,
				  peer_ready_fn_t ready, void *arg)
{
	peer_socket_t *p = xcalloc(1, sizeof(*p));

	p->ready = ready;
	p->arg = arg;
	p->addr = addr_to_sockaddr(s->peer);
	p->datagrams = open_bound(&p->addr, SOCK_DGRAM);
	p->listener = open_bound(&p->addr, SOCK_STREAM);
	if (p->datagrams < 0 || p->listener < 0) {
		socket_close(p);
		return NULL;
	}
	p->datagrams_event = event_new(base, p->datagrams, EV_READ | EV_PERSIST,
				       on_datagram, p);
	p->listener_event = event_new(base, p->listener, EV_READ | EV_PERSIST,
				      on_connection, p);
	event_add(p->datagrams_event, NULL);
	event_add(p->listener_event, NULL);
	return p;
}

const peer_transport_t peer_transport_socket = {
	.name = "socket",
	.open = socket_open,
	.send = socket_send,
	.receive = socket_receive,
	.counts = socket_counts,
	.close = socket_close,
};
