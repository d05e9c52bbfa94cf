/** @file libworld.h Shared by the files of the routed path's stand-ins. */
#ifndef LIBWORLD_H
#define LIBWORLD_H

#include <event2/listener.h>

#include "world.h"

/** A connection that somebody opened to the store or to a server. */
typedef struct world_conn {
	world_t *w;
	world_server_t *server; /**< NULL: the store */
	struct bufferevent *bev;
	http_msg_t msg;
	struct event *timer; /**< of the answer */
	bool working;
	void (*on_request)(struct world_conn *c);
	void (*on_closed)(struct world_conn *c);
} world_conn_t;

/** Reads requests from an accepted connection. */
void world_conn_new(world_t *w, world_server_t *s, int fd,
		    void (*on_request)(world_conn_t *),
		    void (*on_closed)(world_conn_t *));
/** Goes on to the next request of the connection. */
void world_conn_next(world_conn_t *c);
/** Closes and frees it; with a reset if so asked. */
void world_conn_free(world_conn_t *c, bool reset);
/** Listens on a free port of loopback. */
struct evconnlistener *world_listen(world_t *w, evconnlistener_cb fn, void *arg,
				    char addr[32]);
/** Stops a proxy and frees it. */
void world_proxy_free(world_proxy_t *x);
/** Stops a server and frees it. */
void world_server_free(world_server_t *s);

#endif
