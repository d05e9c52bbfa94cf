/** @file libworld.h Declarations that only the world_*.c files use. */
#ifndef LIBWORLD_H
#define LIBWORLD_H

#include <event2/listener.h>

#include "world.h"

/** An accepted connection to the store or to a server. */
typedef struct world_conn {
	world_t *w;
	world_server_t *server; /**< NULL: the connection is to the store */
	struct bufferevent *bev;
	usec_t accepted_at;
	http_msg_t msg;	     /**< request that is being received */
	struct event *timer; /**< delays an answer; NULL if not used yet */
	bool silent;	     /**< no request is answered any more */
	bool answering;	     /**< a request was received, no answer sent yet */
	bool answered_early; /**< before its body was read */
	server_fault_t endless; /**< what is written without end */
	char *copy; /**< written once more before the next request is handled */
	void (*on_request)(struct world_conn *c);
	void (*on_closed)(struct world_conn *c); /**< NULL: not called */
} world_conn_t;

/**
 * Takes over an accepted socket, to the store if s is NULL. Calls on_request
 * for each complete request, the next one only after world_conn_read_next(),
 * and on_closed, if not NULL, before the connection is freed.
 */
void world_conn_new(world_t *w, world_server_t *s, int fd,
		    void (*on_request)(world_conn_t *),
		    void (*on_closed)(world_conn_t *));
/** Starts to read the next request of a connection. */
void world_conn_read_next(world_conn_t *c);
/** Calls fn with the connection after a time, unless it is freed before. */
void world_conn_set_timer(world_conn_t *c, unsigned ms, event_callback_fn fn);
/**
 * Writes an answer that never ends, with the id of the request. Returns false
 * if the fault is none of the endless ones.
 */
bool world_conn_write_endless(world_conn_t *c, server_fault_t f,
			      const char *id);
/** Begins an answer with a header line without end, a byte each 10 ms. */
void world_conn_trickle(world_conn_t *c);
/** Closes a connection, with a TCP reset if reset is set, and frees it. */
void world_conn_free(world_conn_t *c, bool reset);
/**
 * Listens on an unused port of 127.0.0.1 and writes IP:PORT to addr. Aborts the
 * process if that fails; the caller frees the listener.
 */
struct evconnlistener *world_listen(world_t *w, evconnlistener_cb fn, void *arg,
				    char addr[32]);
/** Closes a proxy and its connections and frees it. */
void world_proxy_free(world_proxy_t *x);
/** Stops listening for a server and frees it; its connections stay open. */
void world_server_free(world_server_t *s);

#endif
