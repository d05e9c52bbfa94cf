/**
 * @file world_proxy.c
 * A proxy on loopback between a daemon and the store or a server. It delays or
 * resets connections, or drops their bytes in one or both directions.
 */
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libworld.h"

#define ONE_WAY_DELAY_MS 80 /* about 10 times that between data centres */

/* One direction of a connection. */
typedef struct direction {
	struct proxy_conn *conn;
	struct bufferevent *to;
	struct evbuffer *delayed; /* received, to be forwarded by the timer */
	struct event *timer;
	bool dropping; /* stays set: a stream with a gap is useless */
} direction_t;

/* A connection through the proxy. */
typedef struct proxy_conn {
	world_proxy_t *proxy;
	struct bufferevent *ends[2]; /* client, target */
	direction_t directions[2];   /* bytes sent by the end of that index */
} proxy_conn_t;

struct world_proxy {
	world_t *w;
	char target[32];
	struct evconnlistener *listener;
	world_proxy_mode_t mode;
	GPtrArray *conns; /* proxy_conn_t */
};

static void proxy_conn_free(proxy_conn_t *c, bool reset)
{
	struct linger now = { 1, 0 };
	size_t i;

	for (i = 0; i < 2; i++) {
		if (reset)
			setsockopt(bufferevent_getfd(c->ends[i]), SOL_SOCKET,
				   SO_LINGER, &now, sizeof(now));
		bufferevent_free(c->ends[i]);
		event_free(c->directions[i].timer);
		evbuffer_free(c->directions[i].delayed);
	}
	g_free(c);
}

static void on_delay_over(evutil_socket_t fd, short what, void *arg)
{
	direction_t *d = arg;

	(void)fd;
	(void)what;
	evbuffer_add_buffer(bufferevent_get_output(d->to), d->delayed);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	static const struct timeval delay = { 0, ONE_WAY_DELAY_MS * 1000 };
	struct evbuffer *in = bufferevent_get_input(bev);
	proxy_conn_t *c = arg;
	size_t from = bev == c->ends[1];
	direction_t *d = &c->directions[from];

	if (c->proxy->mode == WORLD_PROXY_DROP ||
	    (c->proxy->mode == WORLD_PROXY_DROP_REPLIES && from == 1))
		d->dropping = true;
	if (d->dropping) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	evbuffer_add_buffer(d->delayed, in);
	if (evtimer_pending(d->timer, NULL))
		return;
	if (c->proxy->mode == WORLD_PROXY_DELAY)
		evtimer_add(d->timer, &delay);
	else
		on_delay_over(-1, 0, d);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	proxy_conn_t *c = arg;
	size_t from = bev == c->ends[1];
	bool clean_end = what & BEV_EVENT_EOF && !c->directions[from].dropping;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* Forwards the remaining bytes before the connection is closed. */
	if (clean_end)
		on_delay_over(-1, 0, &c->directions[from]);
	if (clean_end &&
	    evbuffer_get_length(bufferevent_get_output(c->ends[!from]))) {
		bufferevent_flush(c->ends[!from], EV_WRITE, BEV_FINISHED);
		evbuffer_write(bufferevent_get_output(c->ends[!from]),
			       bufferevent_getfd(c->ends[!from]));
	}
	g_ptr_array_remove_fast(c->proxy->conns, c);
	proxy_conn_free(c, !(what & BEV_EVENT_EOF));
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int sz, void *arg)
{
	world_proxy_t *x = arg;
	proxy_conn_t *c = g_new0(proxy_conn_t, 1);
	size_t i;

	(void)l;
	(void)sa;
	(void)sz;
	c->proxy = x;
	c->ends[0] =
		bufferevent_socket_new(x->w->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(c->ends[0], EV_READ | EV_WRITE);
	c->ends[1] = world_connect(x->w, x->target);
	for (i = 0; i < 2; i++) {
		c->directions[i].conn = c;
		c->directions[i].to = c->ends[!i];
		c->directions[i].delayed = evbuffer_new();
		c->directions[i].timer = evtimer_new(x->w->base, on_delay_over,
						     &c->directions[i]);
		bufferevent_setcb(c->ends[i], on_read, NULL, on_event, c);
	}
	g_ptr_array_add(x->conns, c);
}

world_proxy_t *world_proxy(world_t *w, const char *to, char addr[32])
{
	world_proxy_t *x = g_new0(world_proxy_t, 1);

	x->w = w;
	g_strlcpy(x->target, to, sizeof(x->target));
	x->conns = g_ptr_array_new();
	x->listener = world_listen(w, on_accept, x, addr);
	g_ptr_array_add(w->proxies, x);
	return x;
}

void world_proxy_set(world_proxy_t *x, world_proxy_mode_t mode)
{
	x->mode = mode;
	if (mode != WORLD_PROXY_RESET)
		return;
	while (x->conns->len)
		proxy_conn_free(g_ptr_array_steal_index_fast(x->conns, 0),
				true);
	x->mode = WORLD_PROXY_PASS;
}

void world_proxy_free(world_proxy_t *x)
{
	while (x->conns->len)
		proxy_conn_free(g_ptr_array_steal_index_fast(x->conns, 0),
				false);
	g_ptr_array_free(x->conns, TRUE);
	evconnlistener_free(x->listener);
	g_free(x);
}
