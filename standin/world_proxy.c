/**
 * @file world_proxy.c
 * A proxy on loopback between a daemon and the store or a server. It delays,
 * resets or silences connections, or cuts them one way.
 */
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libworld.h"

#define DELAY_MS 80 /* each way; some ten times that between data centres */

/* One way of a connection; what came waits in a buffer while it is delayed. */
typedef struct way {
	struct pair *pair;
	struct bufferevent *to;
	struct evbuffer *held;
	struct event *timer;
	bool cut; /* for good: a stream with a gap is of no use */
} way_t;

/* A connection through the proxy. */
typedef struct pair {
	world_proxy_t *proxy;
	struct bufferevent *ends[2]; /* who connected, and the other */
	way_t ways[2];		     /* what the end with that number sends */
} pair_t;

struct world_proxy {
	world_t *w;
	char to[32];
	struct evconnlistener *listener;
	world_proxy_mode_t mode;
	GPtrArray *pairs; /* pair_t */
};

static void pair_free(pair_t *p, bool reset)
{
	struct linger now = { 1, 0 };
	size_t i;

	for (i = 0; i < 2; i++) {
		if (reset)
			setsockopt(bufferevent_getfd(p->ends[i]), SOL_SOCKET,
				   SO_LINGER, &now, sizeof(now));
		bufferevent_free(p->ends[i]);
		event_free(p->ways[i].timer);
		evbuffer_free(p->ways[i].held);
	}
	g_free(p);
}

static void on_held(evutil_socket_t fd, short what, void *arg)
{
	way_t *y = arg;

	(void)fd;
	(void)what;
	evbuffer_add_buffer(bufferevent_get_output(y->to), y->held);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	static const struct timeval delay = { 0, DELAY_MS * 1000 };
	struct evbuffer *in = bufferevent_get_input(bev);
	pair_t *p = arg;
	size_t from = bev == p->ends[1];
	way_t *y = &p->ways[from];

	if (p->proxy->mode == WORLD_PROXY_SILENT ||
	    (p->proxy->mode == WORLD_PROXY_ONE_WAY && from == 1))
		y->cut = true;
	if (y->cut) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	evbuffer_add_buffer(y->held, in);
	if (evtimer_pending(y->timer, NULL))
		return;
	if (p->proxy->mode == WORLD_PROXY_DELAY)
		evtimer_add(y->timer, &delay);
	else
		on_held(-1, 0, y);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	pair_t *p = arg;
	size_t from = bev == p->ends[1];
	bool whole = what & BEV_EVENT_EOF && !p->ways[from].cut;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* The last bytes go out before the end does. */
	if (whole)
		on_held(-1, 0, &p->ways[from]);
	if (whole &&
	    evbuffer_get_length(bufferevent_get_output(p->ends[!from]))) {
		bufferevent_flush(p->ends[!from], EV_WRITE, BEV_FINISHED);
		evbuffer_write(bufferevent_get_output(p->ends[!from]),
			       bufferevent_getfd(p->ends[!from]));
	}
	g_ptr_array_remove_fast(p->proxy->pairs, p);
	pair_free(p, !(what & BEV_EVENT_EOF));
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int sz, void *arg)
{
	world_proxy_t *x = arg;
	pair_t *p = g_new0(pair_t, 1);
	size_t i;

	(void)l;
	(void)sa;
	(void)sz;
	p->proxy = x;
	p->ends[0] =
		bufferevent_socket_new(x->w->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(p->ends[0], EV_READ | EV_WRITE);
	p->ends[1] = world_connect(x->w, x->to);
	for (i = 0; i < 2; i++) {
		p->ways[i].pair = p;
		p->ways[i].to = p->ends[!i];
		p->ways[i].held = evbuffer_new();
		p->ways[i].timer =
			evtimer_new(x->w->base, on_held, &p->ways[i]);
		bufferevent_setcb(p->ends[i], on_read, NULL, on_event, p);
	}
	g_ptr_array_add(x->pairs, p);
}

world_proxy_t *world_proxy(world_t *w, const char *to, char addr[32])
{
	world_proxy_t *x = g_new0(world_proxy_t, 1);

	x->w = w;
	g_strlcpy(x->to, to, sizeof(x->to));
	x->pairs = g_ptr_array_new();
	x->listener = world_listen(w, on_accept, x, addr);
	g_ptr_array_add(w->proxies, x);
	return x;
}

void world_proxy_set(world_proxy_t *x, world_proxy_mode_t mode)
{
	x->mode = mode;
	if (mode != WORLD_PROXY_RESET)
		return;
	while (x->pairs->len)
		pair_free(g_ptr_array_steal_index_fast(x->pairs, 0), true);
	x->mode = WORLD_PROXY_PASS;
}

void world_proxy_free(world_proxy_t *x)
{
	while (x->pairs->len)
		pair_free(g_ptr_array_steal_index_fast(x->pairs, 0), false);
	g_ptr_array_free(x->pairs, TRUE);
	evconnlistener_free(x->listener);
	g_free(x);
}
