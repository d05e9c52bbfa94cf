/**
 * @file peers_zmq.c
 * Messages between daemons of routed requests over the ZeroMQ sockets of
 * peers.c.
 */
#include <stdlib.h>

#include "libdaemon.h"

struct peer_socket {
	peers_t *peers;
	struct event *readable;
	peer_ready_fn_t ready;
	void *arg;
};

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	peer_socket_t *p = arg;

	(void)fd;
	(void)what;
	p->ready(p->arg);
}

static void socket_close(peer_socket_t *p)
{
	if (!p)
		return;
	if (p->readable)
		event_free(p->readable);
	peers_free(p->peers);
	free(p);
}

static peer_socket_t *socket_open(const settings_t *s, struct event_base *base,
				  peer_ready_fn_t ready, void *arg)
{
	peer_socket_t *p = xcalloc(1, sizeof(*p));

	p->ready = ready;
	p->arg = arg;
	p->peers = peers_new(s);
	if (!p->peers) {
		socket_close(p);
		return NULL;
	}
	p->readable = event_new(base, peers_fd(p->peers), EV_READ | EV_PERSIST,
				on_readable, p);
	event_add(p->readable, NULL);
	return p;
}

/* peers.c counts the messages that are not sent. */
static void socket_send(peer_socket_t *p, const str_t *to, size_t n,
			const char *bytes, size_t sz, peer_way_t way)
{
	usec_t now = clock_now();
	size_t i;

	(void)way;
	for (i = 0; i < n; i++)
		peers_send_bytes(p->peers, to[i], bytes, sz, now);
}

static char *socket_receive(peer_socket_t *p, size_t *sz)
{
	return peers_receive_bytes(p->peers, sz);
}

static const peers_counts_t *socket_counts(const peer_socket_t *p)
{
	return peers_counts(p->peers);
}

const peer_transport_t peer_transport_zmq = {
	.name = "zeromq",
	.has_keys = true,
	.open = socket_open,
	.send = socket_send,
	.receive = socket_receive,
	.counts = socket_counts,
	.close = socket_close,
};
