/**
 * @file libedge.h
 * The event loop of routed requests: callers, connections to servers, the
 * client of the registry. It runs in one thread; route/ makes all decisions.
 */
#ifndef LIBEDGE_H
#define LIBEDGE_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <http_parser.h>

#include "fleet.h"
#include "libcommon.h"
#include "outside.h"

/** The event loop of routed requests and all that it uses. */
typedef struct edge edge_t;
/** One connection from a caller. */
typedef struct caller caller_t;
/** The pool of connections to servers; one connection is a link. */
typedef struct links links_t;
/** The client that reads published state from the registry. */
typedef struct registry registry_t;

/* edge_http.c: one HTTP/1.1 message, read with the http_parser library. */

/** Why a message was rejected. */
typedef enum http_fault {
	HTTP_FAULT_NONE,
	HTTP_FAULT_SYNTAX,
	HTTP_FAULT_HEADER_SIZE,
	HTTP_FAULT_HEADER_LINES,
	HTTP_FAULT_BODY_SIZE,
} http_fault_t;

/** Header lines of a message; as many fit into a head of 16 KB. */
#define HTTP_MAX_HEADER_LINES 4096

/** A header line: offsets and lengths in http_msg_t::text, in bytes. */
typedef struct http_header {
	size_t name;
	size_t name_sz;
	size_t value;
	size_t value_sz;
	bool hop_by_hop; /**< set once the message is complete */
} http_header_t;

/** A request or a response that is being read. */
typedef struct http_msg {
	http_parser parser;
	GString *text;	 /**< request target or reason phrase, then headers */
	GArray *headers; /**< of http_header_t */
	GString *body;
	size_t start_text_sz; /**< bytes of the request target or reason */
	size_t header_limit;  /**< bytes; beyond it: HTTP_FAULT_HEADER_SIZE */
	size_t body_limit;    /**< bytes; beyond it: HTTP_FAULT_BODY_SIZE */
	size_t consumed;      /**< bytes of the message so far */
	bool started;	      /**< at least one byte was received */
	bool headers_done;    /**< the blank line after the headers was read */
	bool has_length;      /**< and the headers tell where the body ends */
	bool done;	      /**< the message is complete */
	bool keep_alive;      /**< the sender allows the connection's reuse */
	bool no_body;	      /**< response to HEAD: Content-Length, no body */
	bool in_value;	      /**< the last header callback was for a value */
	http_fault_t fault;
} http_msg_t;

/**
 * Initialises a message with default limits; http_msg_clear() frees its
 * buffers.
 */
void http_msg_init(http_msg_t *m, enum http_parser_type type);
/** Discards the message and prepares for the next one; the limits stay. */
void http_msg_reset(http_msg_t *m, enum http_parser_type type);
/** Frees the buffers, but not m itself. */
void http_msg_clear(http_msg_t *m);
/**
 * Reads and removes bytes from the buffer, at most to the end of the message.
 * Returns false and sets m->fault if the message is rejected; m->done tells
 * whether it is complete.
 */
bool http_msg_feed(http_msg_t *m, struct evbuffer *in);
/**
 * Ends the message because the sender closed the connection. Returns true if
 * the message is complete, as a response without a length then is.
 */
bool http_msg_eof(http_msg_t *m);
/** Bytes that are allocated for what was received of the message. */
size_t http_msg_memory(const http_msg_t *m);
/** Value of the first header line with that name; empty if there is none. */
str_t http_msg_get(const http_msg_t *m, const char *name);
/** Whether the message has a header line with that name. */
bool http_msg_has(const http_msg_t *m, const char *name);
/** Gets the i-th header line, counted from 0; false past the last one. */
bool http_msg_header(const http_msg_t *m, size_t i, str_t *name, str_t *value);
/** The target of a request, or the reason phrase of a response. */
str_t http_msg_target(const http_msg_t *m);
/**
 * Whether the i-th header line of a complete message may be forwarded: it is
 * neither hop-by-hop (RFC 9110, section 7.6.1) nor named in a Connection line.
 */
bool http_msg_forwards(const http_msg_t *m, size_t i);
/** Compares header names; letter case does not count. */
bool http_name_equals(str_t name, const char *other);

/* edge_request.c: what the head of a caller's request says. */

/** Destination and time limit of a request; strings are borrowed. */
typedef struct request_head {
	str_t host;	  /**< as written, without the port */
	str_t path;	  /**< with the query */
	usec_t time_left; /**< for which the caller waits; 0: not given */
	unsigned status;  /**< to refuse the request with; 0: it is valid */
	const char *why;  /**< word for the reason; NULL: it is valid */
} request_head_t;

/**
 * Reads a complete request. time_left_name: name of the header line with the
 * caller's time limit in milliseconds. Returns false if it is to be refused.
 */
bool request_head_read(const http_msg_t *m, const char *time_left_name,
		       request_head_t *h);

/* load_header.c: the header line with a server's load. */

/** What the header lines of an answer tell of the server's load. */
typedef enum load_header {
	LOAD_HEADER_NONE,
	LOAD_HEADER_VALID,
	LOAD_HEADER_INVALID, /**< not the figures, or several such lines */
} load_header_t;

/**
 * Parses "running,waiting,slots[,speed]": whole numbers of up to 9 digits, the
 * speed above 0, with blanks around each. False if the text is nothing of the
 * kind; l is undefined then.
 */
bool load_header_parse(str_t text, rt_load_t *l);
/**
 * Reads the load from the header line with that name. text: the line's value,
 * borrowed, set unless there is none.
 */
load_header_t load_header_read(const http_msg_t *m, const char *name,
			       rt_load_t *l, str_t *text);

/* edge_caller.c */
/** Listens for callers at IP:PORT; false if the address cannot be bound. */
bool callers_start(edge_t *e, const char *addr);
/**
 * Closes the listener and the connections without a request. The latter get a
 * status 408 first: it answers a request that is on its way, which then isn't
 * read, as not run.
 */
void callers_close(edge_t *e);
/** Number of open connections from callers. */
size_t callers_count(const edge_t *e);
/** Closes the listener and all connections at once and frees them. */
void callers_free(edge_t *e);
/** Writes the answer to the caller's request; a is borrowed. */
void caller_answer(caller_t *c, const rt_answer_t *a);
/**
 * Request line and headers to forward to each server, without the lines that
 * differ by server and without the blank line. Owned by the caller_t.
 */
const GString *caller_forwarded_headers(const caller_t *c);
/** The body of the caller's request; owned by the caller_t. */
str_t caller_body(const caller_t *c);
/** The id of the caller's request; empty if it has none. */
str_t caller_request_id(const caller_t *c);
/** Whether the request method is HEAD. */
bool caller_wants_headers_only(const caller_t *c);

/* edge_link.c */
/** Makes an empty pool; links_free() frees it. */
links_t *links_new(edge_t *e);
/**
 * Sends a request on an idle connection or a new one, with the time that is
 * left when it is written. If no connection can be opened, calls
 * rt_send_ended() with RT_NOT_SENT; if its deadline has passed by then, with
 * RT_EXPIRED.
 */
void links_send(links_t *l, const rt_act_t *act);
/**
 * Cancels an attempt by closing its connection; rt_send_ended() is not called.
 */
void links_cancel(links_t *l, uint64_t aid);
/**
 * Opens connections to a server before they are needed, until there are n.
 * Without keep_idle, idle connections are closed soon after their use: each
 * server accepts few connections, and after a simultaneous restart of all hosts
 * there must be capacity for the new ones.
 */
void links_prepare(links_t *l, uint64_t server, str_t addr, unsigned n,
		   bool keep_idle);
/**
 * Removes a server: closes idle connections now, busy ones after use. With
 * end_opening, also closes those that are not open yet, whose sends end with
 * RT_NOT_SENT.
 */
void links_close(links_t *l, uint64_t server, bool end_opening);
/** Closes all connections at once and frees the pool; NULL is allowed. */
void links_free(links_t *l);

/* edge_store.c */

/** How a request to the registry ended. */
typedef enum registry_result {
	REGISTRY_ANSWERED,
	REGISTRY_REFUSED,     /**< by its status */
	REGISTRY_INVALID,     /**< the bytes were not an answer */
	REGISTRY_CLOSED,      /**< the registry closed the connection */
	REGISTRY_UNREACHABLE, /**< no connection, or it was reset */
	REGISTRY_TIMEOUT,     /**< no answer within the time limit */
	REGISTRY_RESULT_MAX,
} registry_result_t;

/** Starts to read published state from the registry at IP:PORT. */
registry_t *registry_start(edge_t *e, const char *addr);
/** Whether the registry's address is addr (IP:PORT). */
bool registry_has_addr(const registry_t *r, const char *addr);
/**
 * Requests changes from the registry at once; its answer leads to
 * rt_on_registry_read().
 */
void registry_refresh(registry_t *r);
/** Sets how this daemon reads the registry. */
void registry_set_role(registry_t *r, fleet_role_t role);
/** How this daemon reads the registry. */
fleet_role_t registry_role(const registry_t *r);
/** Counts the requests that ended in a way since the start. */
uint64_t registry_requests(const registry_t *r, registry_result_t result);
/** The text of a result, for logs and metrics. */
const char *registry_result_name(registry_result_t result);
/**
 * Time by which the answer to the open request is late: since the request, less
 * the time for which the registry may hold it back. 0 if none is late.
 */
usec_t registry_overdue(const registry_t *r, usec_t now);
/** Closes the connection to the registry; NULL is allowed. */
void registry_free(registry_t *r);

/* edge_state.c */
/** Makes an empty published state whose changes are applied to e->rt. */
fleet_state_t *edge_state_new(edge_t *e);
/** The state's revision as the registry tells it, for logs and metrics. */
unsigned long long edge_state_number(const edge_t *e);

/* edge_peer.c */
/** Opens the socket for other daemons; false if that fails. */
bool fleet_peers_start(edge_t *e);
/**
 * Called when the registry has answered: the state has all changes up to the
 * time as_of. A FLEET_CONFIRMER sends that, with the changes after
 * since_revision, to the daemons of its data centre.
 */
void fleet_peers_push_changes(edge_t *e, uint64_t since_revision, usec_t as_of);
/** As FLEET_CONFIRMER, notifies them that the registry does not answer. */
void fleet_peers_send_registry_lost(edge_t *e);
/** Notifies followers that this daemon stops. */
void fleet_peers_send_leave(edge_t *e);
/**
 * Reports the pace of a server (latency relative to the mean of the route) and
 * the share of failed sends (failing, 0 to 1) to followers.
 */
void fleet_peers_send_pace(edge_t *e, str_t server_id, double pace,
			   double failing);
/** Totals of messages to and from other daemons since the start. */
peers_counts_t fleet_peers_counts(const edge_t *e);
/** Closes the socket for other daemons. */
void fleet_peers_free(edge_t *e);

/* edge_turn.c: turns of the event loop, and how long input waited unread. */

/** The times of a turn of the event loop, which waits for events first. */
typedef struct turn_times {
	/** When an earlier turn looked for events: what was there was read. */
	usec_t looked_before;
	usec_t wait_began;
	usec_t wake_due;     /**< by then, a timer ends the wait */
	usec_t wait_ended;   /**< when this turn got its events */
	usec_t ended_before; /**< wait_ended of the turn before */
} turn_times_t;

/**
 * Begins the next turn. A wait that ended much later than it was to end may
 * have been interrupted without a look at the sockets, as it is if the process
 * was stopped: the look of the turn before counts instead.
 */
void turn_begin(turn_times_t *t, usec_t wake_due, usec_t now);

/**
 * The earliest time at which input that is read in a turn can have arrived.
 * Input that ends a wait arrived then; else it may have arrived at any time
 * since the turn before got its events.
 */
usec_t turn_earliest_arrival(const turn_times_t *t);
/**
 * Corrects the earliest arrival of a connection's input by the kernel's age of
 * the last data (microseconds; 0: unknown). Data that would have arrived before
 * the connection was last seen without input (last_seen) is ignored. The result
 * is never later than earliest.
 */
usec_t input_earliest_arrival(usec_t earliest, usec_t kernel_age,
			      usec_t last_seen, usec_t now);

#define INPUT_MARKS 8
/** Bytes of a connection up to an offset, with a bound on their age. */
typedef struct input_mark {
	uint64_t end;
	usec_t earliest; /**< they didn't arrive before */
} input_mark_t;

/** Arrival of the bytes of a connection that are not consumed yet. */
typedef struct input_times {
	uint64_t received; /**< bytes so far */
	uint64_t consumed; /**< bytes so far */
	input_mark_t marks[INPUT_MARKS];
	unsigned nmarks;
	bool was_full;	      /**< the last read left bytes in the socket */
	usec_t last_earliest; /**< of the last read */
	usec_t last_seen;     /**< time of the last read */
} input_times_t;

/** Whether bytes were read since the last input_times_add(). */
bool input_times_has_new(const input_times_t *t, size_t unread);
/**
 * Adds the bytes that were read now. Beyond INPUT_MARKS reads, bytes count as
 * old as those before them.
 * @param unread bytes that are read and not consumed
 * @param most the same at which reading stops until some are consumed
 * @param earliest earliest arrival of the new bytes
 */
void input_times_add(input_times_t *t, size_t unread, size_t most,
		     usec_t earliest, usec_t now);
/** Earliest arrival of the first byte that isn't consumed; now without one. */
usec_t input_times_earliest(const input_times_t *t, usec_t now);
/** Counts bytes as consumed. */
void input_times_consume(input_times_t *t, size_t n);

/**
 * Notes when the present turn got its events, unless that is done. Each
 * callback that may take long calls it, directly or by edge_run_actions().
 */
void edge_turn_mark(edge_t *e);
/** turn_earliest_arrival() of the present turn. */
usec_t edge_turn_earliest_arrival(edge_t *e);
/**
 * Runs one turn of the event loop.
 * @param flags of event_base_loop()
 * @param wake_due time by which a timer is due
 * @return that of event_base_loop()
 */
int edge_turn_run(edge_t *e, int flags, usec_t wake_due);

/* edge_log.c */
#define EDGE_LOG_KINDS 6 /**< kinds of log lines with a rate limit each */
/** Writes the log line of a decision, unless its kind is over its limit. */
void edge_log_decision(edge_t *e, const rt_log_line_t *l, usec_t now);

/* edge_admin.c */
struct evhttp_request;
/** Answers with the daemon's state as JSON; arg is the edge_t. */
void edge_status(struct evhttp_request *req, void *arg);
/** Answers with the estimates for all servers as JSON; arg is the edge_t. */
void edge_upstreams(struct evhttp_request *req, void *arg);

/* edge_metrics.c */
/** Answers with metrics as Prometheus text; arg is the edge_t. */
void edge_metrics(struct evhttp_request *req, void *arg);

/* edge.c */
struct edge {
	const settings_t *settings;
	const outside_protocol_t *protocol;
	const peer_transport_t *transport;
	struct event_base *base;
	rt_t *rt;
	links_t *links;
	registry_t *registry;
	fleet_t *fleet;
	fleet_state_t *state;
	struct fleet_peers *peers;
	struct callers *callers;
	struct event *tick_timer; /* ends a wait when rt_tick() is due */
	usec_t tick_at;		  /* for which that is set */
	turn_times_t turn;
	unsigned turn_number;
	bool turn_marked;     /* turn.wait_ended is that of this turn */
	bool running_actions; /* edge_run_actions() is on the stack */
	bool stopping;	/* not ready; connections close after their answer */
	bool state_old; /* "state is old" was logged */
	bool settings_refused; /* by the last reload */
	size_t replies_held;   /* bytes of answers that wait for other parts */
	usec_t log_second_start; /* start of the second that log_lines counts */
	unsigned log_lines[EDGE_LOG_KINDS]; /* by kind */
	uint64_t load_reports_ignored;	    /* lines that were invalid */
	usec_t load_report_logged_at; /* time of the last line about one */
};

/**
 * Whether the daemon accepts requests: it has a configuration and published
 * state, and it isn't stopping.
 */
bool edge_is_ready(const edge_t *e);
/** A share (0 to 1) of the setting apply_limit_ms. */
usec_t edge_apply_share(const edge_t *e, double share);
/** Executes the pending actions of e->rt. */
void edge_run_actions(edge_t *e);
/** Whether the transport can do what the settings ask for. */
bool edge_supports(const peer_transport_t *t, const settings_t *s);
/**
 * Runs the event loop until a planned stop ends. Takes ownership of the
 * contents of s; file is re-read on reload and must stay valid. t carries the
 * messages to other daemons.
 */
daemon_err_t edge_run(const char *file, settings_t *s,
		      const peer_transport_t *t);
/**
 * Opens a non-blocking TCP socket with the options of
 * edge_set_socket_options(); below 0 on failure.
 */
int edge_socket(void);
/**
 * Sets TCP_NODELAY, and keepalive and timeout options that detect a lost peer
 * in about 3 s. Errors are ignored.
 */
void edge_set_socket_options(int fd);

#endif
