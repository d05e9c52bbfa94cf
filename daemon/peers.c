/**
 * @file peers.c
 * Messages between daemons over ZeroMQ: one bound socket receives, and one
 * socket for each destination sends. Only one thread uses them: the engine's,
 * or for routed requests that of the event loop.
 */
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "libdaemon.h"
#include "wire.h"

#define HIGH_WATER_MSGS 1000 /* queued in a socket, for each direction */
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
#define HEARTBEAT_MS 1000
#define HEARTBEAT_TIMEOUT_MS 3000
#define KEEPALIVE_S 1
#define KEEPALIVE_PROBES 2
#define LINGER_MS 200
#define MAX_LINKS 128	 /* the least recently used is closed first */
#define KEY_BYTES 32	 /* of a CURVE key */
#define KEY_Z85_BYTES 40 /* of a CURVE key as Z85 text */
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_REQUEST_ID_FRAME 1
#define ZAP_FRAMES 7 /* of a request; the last one is the public key */

/* The outgoing connection to one daemon. */
typedef struct link {
	char *addr;
	void *socket; /* DEALER */
	usec_t last_used;
} link_t;

struct peers {
	const settings_t *settings;
	void *context;
	void *inbound;			 /* bound ROUTER socket */
	GHashTable *links;		 /* address to link_t */
	char source_host[ADDR_HOST_MAX]; /* source address of links */
	pthread_t zap_handler;
	bool has_zap;
	uint8_t public_key[KEY_BYTES]; /* shared by all daemons */
	peers_counts_t counts;
};

static void set_int_option(void *s, int option, int value)
{
	zmq_setsockopt(s, option, &value, sizeof(value));
}

static void set_socket_options(const peers_t *p, void *s)
{
	int64_t max = (int64_t)WIRE_MAX_BYTES;

	set_int_option(s, ZMQ_SNDHWM, HIGH_WATER_MSGS);
	set_int_option(s, ZMQ_RCVHWM, HIGH_WATER_MSGS);
	set_int_option(s, ZMQ_LINGER, LINGER_MS);
	if (p->settings->protocol) {
		/*
		 * Traffic between data centres is expensive: the kernel's
		 * keepalive probes replace ZeroMQ's heartbeats.
		 */
		set_int_option(s, ZMQ_TCP_KEEPALIVE, 1);
		set_int_option(s, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_S);
		set_int_option(s, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_S);
		set_int_option(s, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
		set_int_option(s, ZMQ_TCP_MAXRT, HEARTBEAT_TIMEOUT_MS);
	} else {
		set_int_option(s, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
		set_int_option(s, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	}
	zmq_setsockopt(s, ZMQ_MAXMSGSIZE, &max, sizeof(max));
}

static bool has_keys(const peers_t *p)
{
	return p->settings->peer_secret_key != NULL;
}

/*
 * All daemons share one CURVE key pair; a connection of a process without the
 * secret key is refused.
 */
static void set_curve_keys(const peers_t *p, void *s, bool server)
{
	const settings_t *k = p->settings;

	if (!has_keys(p))
		return;
	if (server)
		set_int_option(s, ZMQ_CURVE_SERVER, 1);
	else
		zmq_setsockopt(s, ZMQ_CURVE_SERVERKEY, k->peer_public_key,
			       KEY_Z85_BYTES);
	zmq_setsockopt(s, ZMQ_CURVE_PUBLICKEY, k->peer_public_key,
		       KEY_Z85_BYTES);
	zmq_setsockopt(s, ZMQ_CURVE_SECRETKEY, k->peer_secret_key,
		       KEY_Z85_BYTES);
}

static void send_frame(void *s, const char *text, bool more)
{
	zmq_send(s, text, strlen(text), more ? ZMQ_SNDMORE : 0);
}

/*
 * Handles one authentication request of ZeroMQ (ZAP, RFC 27) for an incoming
 * connection. False when the context was shut down.
 */
static bool zap_handle_request(peers_t *p, void *s)
{
	char request_id[64] = "";
	uint8_t key[KEY_BYTES];
	bool accepted = false;
	int i, n = 0, more = 1;
	size_t sz = sizeof(more);
	char buf[256];

	for (i = 0; more; i++) {
		n = zmq_recv(s, buf, sizeof(buf), 0);
		if (n < 0)
			return false;
		zmq_getsockopt(s, ZMQ_RCVMORE, &more, &sz);
		if (i == ZAP_REQUEST_ID_FRAME && n < (int)sizeof(request_id)) {
			memcpy(request_id, buf, (size_t)n);
			request_id[n] = '\0';
		}
		if (i == ZAP_FRAMES - 1 && n == (int)sizeof(key))
			accepted = memcmp(buf, p->public_key, sizeof(key)) == 0;
	}
	send_frame(s, "1.0", true);
	send_frame(s, request_id, true);
	send_frame(s, accepted ? "200" : "400", true);
	send_frame(s, accepted ? "OK" : "unknown key", true);
	send_frame(s, "", true);
	send_frame(s, "", false);
	return true;
}

static void *zap_thread(void *arg)
{
	peers_t *p = arg;
	void *s = zmq_socket(p->context, ZMQ_REP);

	set_int_option(s, ZMQ_LINGER, 0);
	zmq_bind(s, ZAP_ENDPOINT);
	while (zap_handle_request(p, s))
		;
	zmq_close(s);
	return NULL;
}

static bool start_zap(peers_t *p)
{
	if (!has_keys(p)) {
		log_json(G_LOG_LEVEL_WARNING,
			 "peers are not authenticated: no peer keys are set",
			 "%s", "");
		return true;
	}
	if (!zmq_z85_decode(p->public_key, p->settings->peer_public_key))
		return false;
	p->has_zap = pthread_create(&p->zap_handler, NULL, zap_thread, p) == 0;
	return p->has_zap;
}

static void link_free(gpointer data)
{
	link_t *l = data;

	zmq_close(l->socket);
	free(l->addr);
	free(l);
}

peers_t *peers_new(const settings_t *s)
{
	peers_t *p = xcalloc(1, sizeof(*p));
	char endpoint[64];
	unsigned port;

	p->settings = s;
	p->context = zmq_ctx_new();
	p->links =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	addr_split(str_of(s->peer), p->source_host, &port);
	if (!start_zap(p))
		goto err;
	p->inbound = zmq_socket(p->context, ZMQ_ROUTER);
	set_socket_options(p, p->inbound);
	set_curve_keys(p, p->inbound, true);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", s->peer);
	if (zmq_bind(p->inbound, endpoint) == 0)
		return p;
err:
	peers_free(p);
	return NULL;
}

void *peers_socket(peers_t *p)
{
	return p->inbound;
}

static void close_least_recently_used(peers_t *p)
{
	GHashTableIter it;
	link_t *oldest = NULL;
	gpointer v;

	g_hash_table_iter_init(&it, p->links);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		link_t *l = v;

		if (!oldest || l->last_used < oldest->last_used)
			oldest = l;
	}
	if (oldest)
		g_hash_table_remove(p->links, oldest->addr);
}

static link_t *link_get(peers_t *p, const char *addr, usec_t now)
{
	link_t *l = g_hash_table_lookup(p->links, addr);
	char endpoint[96];

	if (l) {
		l->last_used = now;
		return l;
	}
	if (g_hash_table_size(p->links) >= MAX_LINKS)
		close_least_recently_used(p);
	l = xcalloc(1, sizeof(*l));
	l->addr = strdup(addr);
	l->last_used = now;
	l->socket = zmq_socket(p->context, ZMQ_DEALER);
	set_socket_options(p, l->socket);
	set_int_option(l->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int_option(l->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_curve_keys(p, l->socket, false);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:0;%s", p->source_host,
		   addr);
	if (zmq_connect(l->socket, endpoint) != 0)
		p->counts.not_sent++;
	g_hash_table_insert(p->links, l->addr, l);
	return l;
}

bool peers_send_bytes(peers_t *p, str_t to, const char *bytes, size_t sz,
		      usec_t now)
{
	char addr[64];

	str_copy(addr, sizeof(addr), to);
	if (sz > WIRE_MAX_BYTES ||
	    zmq_send(link_get(p, addr, now)->socket, bytes, sz, ZMQ_DONTWAIT) !=
		    (int)sz) {
		p->counts.not_sent++;
		return false;
	}
	p->counts.bytes_sent += sz;
	p->counts.sent++;
	return true;
}

bool peers_send(peers_t *p, str_t to, const peer_msg_t *m, usec_t now)
{
	size_t sz;
	char *bytes = wire_encode(m, &sz);
	bool ok = peers_send_bytes(p, to, bytes, sz, now);

	free(bytes);
	return ok;
}

static void report_refused(peers_t *p, wire_err_t err)
{
	p->counts.refused++;
	log_json(G_LOG_LEVEL_WARNING, "peer message refused", "\"why\":\"%s\"",
		 wire_strerror(err));
}

/*
 * Receives the next message: skips the sender's identity and keeps the last
 * frame. False if no message is queued.
 */
static bool receive_frame(peers_t *p, zmq_msg_t *frame)
{
	zmq_msg_t id;
	bool more;

	zmq_msg_init(&id);
	if (zmq_msg_recv(&id, p->inbound, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&id);
		return false;
	}
	more = zmq_msg_more(&id);
	zmq_msg_close(&id);
	while (more) {
		zmq_msg_recv(frame, p->inbound, 0);
		more = zmq_msg_more(frame);
	}
	return true;
}

bool peers_receive(peers_t *p, peer_msg_t *m, arena_t *mem)
{
	wire_err_t err = WIRE_E_FORMAT;
	zmq_msg_t frame;

	while (err != WIRE_OK) {
		zmq_msg_init(&frame);
		if (!receive_frame(p, &frame)) {
			zmq_msg_close(&frame);
			return false;
		}
		p->counts.received++;
		p->counts.bytes_received += zmq_msg_size(&frame);
		err = wire_decode(zmq_msg_data(&frame), zmq_msg_size(&frame), m,
				  mem);
		zmq_msg_close(&frame);
		if (err != WIRE_OK)
			report_refused(p, err);
	}
	return true;
}

char *peers_receive_bytes(peers_t *p, size_t *sz)
{
	char *bytes = NULL;
	zmq_msg_t frame;

	zmq_msg_init(&frame);
	if (receive_frame(p, &frame)) {
		*sz = zmq_msg_size(&frame);
		bytes = xmalloc(*sz);
		memcpy(bytes, zmq_msg_data(&frame), *sz);
		p->counts.received++;
		p->counts.bytes_received += *sz;
	}
	zmq_msg_close(&frame);
	return bytes;
}

int peers_fd(peers_t *p)
{
	int fd = -1;
	size_t sz = sizeof(fd);

	zmq_getsockopt(p->inbound, ZMQ_FD, &fd, &sz);
	return fd;
}

const peers_counts_t *peers_counts(const peers_t *p)
{
	return &p->counts;
}

void peers_free(peers_t *p)
{
	if (!p)
		return;
	g_hash_table_destroy(p->links);
	if (p->inbound)
		zmq_close(p->inbound);
	zmq_ctx_shutdown(p->context);
	if (p->has_zap)
		pthread_join(p->zap_handler, NULL);
	zmq_ctx_term(p->context);
	free(p);
}
