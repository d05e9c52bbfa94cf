/**
 * @file libedge.h
 * The event loop of routed requests: callers, connections to servers, the
 * reader of published state. One thread; all decisions are in route/.
 */
#ifndef LIBEDGE_H
#define LIBEDGE_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <http_parser.h>

#include "fleet.h"
#include "libdaemon.h"
#include "outside.h"

typedef struct edge edge_t;
typedef struct caller caller_t;
typedef struct links links_t;
typedef struct store store_t;

/* edge_http.c: one message of HTTP/1.1, read by the parser library. */

/** What is wrong with a message. */
typedef enum http_fault {
	HTTP_FAULT_NONE,
	HTTP_FAULT_SYNTAX,
	HTTP_FAULT_HEAD_SIZE,
	HTTP_FAULT_BODY_SIZE,
} http_fault_t;

/** A header line: places in the text of the message. */
typedef struct http_line {
	size_t name;
	size_t name_sz;
	size_t value;
	size_t value_sz;
} http_line_t;

/** A request or a response, as far as it was read. */
typedef struct http_msg {
	http_parser parser;
	GString *text; /**< target or reason, then header lines */
	GArray *lines; /**< http_line_t */
	GString *body;
	size_t start_sz; /**< bytes of the target or reason */
	size_t head_limit;
	size_t body_limit;
	bool begun; /**< a first byte came */
	bool head_done;
	bool done;
	bool keep;     /**< the sender lets the connection stay open */
	bool no_body;  /**< answer to HEAD: the length is not followed */
	bool in_value; /**< state of the header callbacks */
	http_fault_t fault;
} http_msg_t;

/** Makes it ready for a message of that type. */
void http_msg_init(http_msg_t *m, enum http_parser_type type);
/** Forgets what was read; limits stay. */
void http_msg_reset(http_msg_t *m, enum http_parser_type type);
/** Frees what it holds. */
void http_msg_clear(http_msg_t *m);
/**
 * Takes bytes from the buffer up to the end of the message. False on a
 * fault; whether the message is complete is in done.
 */
bool http_msg_feed(http_msg_t *m, struct evbuffer *in);
/** The sender closed: true if that ends the message as it may. */
bool http_msg_eof(http_msg_t *m);
/** The value of the first header line with that name; empty if none. */
str_t http_msg_get(const http_msg_t *m, const char *name);
/** Whether a header line with that name is there. */
bool http_msg_has(const http_msg_t *m, const char *name);
/** The i-th header line; false past the end. */
bool http_msg_line(const http_msg_t *m, size_t i, str_t *name, str_t *value);
/** The target of a request or the reason of a response. */
str_t http_msg_start(const http_msg_t *m);
/** Whether a header line concerns one connection only. */
bool http_is_hop(const http_msg_t *m, str_t name);
/** Compares names of header lines. */
bool http_name_is(str_t name, const char *is);

/* edge_caller.c */
/** Listens for callers; false if the address cannot be had. */
bool callers_start(edge_t *e, const char *addr);
/** Takes no new connections. */
void callers_close_listener(edge_t *e);
/** Closes connections without a request. */
void callers_close_idle(edge_t *e);
/** Connections that are open. */
size_t callers_open(const edge_t *e);
/** Breaks off all connections and frees them. */
void callers_free(edge_t *e);
/** Gives a caller its answer. */
void caller_answer(caller_t *c, const rt_answer_t *a);
/** What is sent to servers for the caller's request. */
const GString *caller_forward_head(const caller_t *c);
/** The body of the caller's request. */
str_t caller_body(const caller_t *c);
/** The id of the caller's request. */
str_t caller_id(const caller_t *c);
/** Whether the request asks for a head only. */
bool caller_head_only(const caller_t *c);

/* edge_link.c */
links_t *links_new(edge_t *e);
/** Sends; RT_NOT_SENT is reported by rt_ended() if there is no way. */
void links_send(links_t *l, const rt_act_t *act);
/** Breaks a send off. */
void links_cancel(links_t *l, uint64_t aid);
/**
 * Opens connections to a server before they are needed. Those of a server
 * that is not kept are closed soon after their use: each server takes few,
 * and all hosts must find room for new ones after they restart at once.
 */
void links_open(links_t *l, uint64_t server, str_t addr, unsigned n, bool keep);
/** Closes what is idle; what is busy is closed when it is done. */
void links_close(links_t *l, uint64_t server);
void links_free(links_t *l);

/* edge_store.c */
/** Starts to read published state at IP:PORT. */
store_t *store_start(edge_t *e, const char *addr);
/** Whether it reads at that address. */
bool store_is_at(const store_t *s, const char *addr);
/** Asks at once for what changed; rt_release() follows the answer. */
void store_confirm(store_t *s);
/** Whether to read, or to leave that to a neighbour. */
void store_read(store_t *s, bool reading);
/** Whether it reads for itself; else a neighbour reads for this daemon. */
bool store_reads(const store_t *s);
void store_free(store_t *s);

/* edge_state.c */
/** Published state that is brought in force as it changes. */
fleet_state_t *edge_state_new(edge_t *e);

/* edge_peer.c */
/** Opens the socket for other daemons; false if that cannot be. */
bool fleet_peers_start(edge_t *e);
/** The registry answered: neighbours are told what changed since. */
void fleet_peers_read(edge_t *e, uint64_t before);
/** The registry does not answer: neighbours that rely on it are told. */
void fleet_peers_away(edge_t *e);
/** Tells neighbours that this daemon ends. */
void fleet_peers_leave(edge_t *e);
/** Tells neighbours how fast a server answers, and what share it fails. */
void fleet_peers_tell(edge_t *e, str_t server_id, double pace, double failing);
void fleet_peers_free(edge_t *e);

/* edge_log.c */
#define EDGE_LOG_KINDS 6
/** Writes a line of the decisions, if there is room for it this second. */
void edge_log(edge_t *e, const rt_line_t *l, usec_t now);

/* edge_admin.c */
struct evhttp_request;
/** Answers with the daemon's state as JSON; arg is the edge_t. */
void edge_status(struct evhttp_request *req, void *arg);
/** The same with what is believed of servers. */
void edge_upstreams(struct evhttp_request *req, void *arg);

/* edge_metrics.c */
/** Answers a request for metrics; arg is the edge_t. */
void edge_metrics(struct evhttp_request *req, void *arg);

/* edge.c */
struct edge {
	const settings_t *settings;
	const outside_t *outside;
	struct event_base *base;
	rt_t *rt;
	links_t *links;
	store_t *store;
	fleet_t *fleet;
	fleet_state_t *state;
	struct fleet_peers *peers;
	struct callers *callers;
	struct event *tick;
	bool running_acts;
	bool stopping;	   /* not ready; callers are sent away */
	bool closed;	   /* no listener any more */
	usec_t log_second; /* began then */
	unsigned log_lines[EDGE_LOG_KINDS]; /* since then */
};

/** Whether new connections are welcome. */
bool edge_is_ready(const edge_t *e);
/** Does what the decisions ask for and sets the next tick. */
void edge_step(edge_t *e);
/** Runs until a planned stop is over; takes over the settings. */
daemon_err_t edge_run(const char *file, settings_t *s);
/** Makes a socket for connections to others: no delay, dead peers noticed. */
int edge_socket(void);
/** Sets the same on a socket that was accepted. */
void edge_socket_options(int fd);

#endif
