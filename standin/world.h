/**
 * @file world.h
 * Test environment of routed requests: a store of published state, servers
 * with faults, proxies and callers, all in one event loop on 127.0.0.1, and
 * daemons as child processes. Not installed.
 */
#ifndef WORLD_H
#define WORLD_H

#include <event2/event.h>
#include <glib.h>
#include <sys/types.h>

#include "base.h"
#include "libedge.h"

/** Faults that a test can set for the next requests of a server. */
typedef enum server_fault {
	FAULT_NONE,
	FAULT_NO_LENGTH, /**< answer without Content-Length, then a close */
	FAULT_TRUNCATED, /**< answer without Content-Length, then a TCP reset */
	/** An answer, then the start of an unrequested one. */
	FAULT_TRAILING_BYTES,
	/** An answer with another request's id, then the right answer. */
	FAULT_FOREIGN_ANSWER,
	/** An answer, and an unrequested one 60 ms later. */
	FAULT_SECOND_ANSWER,
	FAULT_RESET,	 /**< runs the request, then resets the connection */
	FAULT_NO_ANSWER, /**< runs the request and never answers */
	FAULT_NOT_RUN,	 /**< status 503: the request was not run */
	/** As FAULT_NONE or FAULT_NOT_RUN, with a second copy of the answer
	 * where that to the connection's next request is due. */
	FAULT_COPIED_ANSWER,
	FAULT_COPIED_NOT_RUN,
	FAULT_STATUS_500, /**< runs the request, then status 500 */
	FAULT_STATUS_000, /**< the same with 000 and 600, which are none */
	FAULT_STATUS_600,
	/** Status 421: the request is for another server. */
	FAULT_WRONG_SERVER,
	FAULT_CUT_HEAD, /**< closes the connection within the answer's head */
	/** A header line, header lines, interim answers, a body without length,
	 * one in chunks, or bytes that are no answer: without end, as fast as
	 * the caller reads. */
	FAULT_ENDLESS_HEAD,
	FAULT_ENDLESS_LINES,
	FAULT_ENDLESS_INTERIM,
	FAULT_ENDLESS_BODY,
	FAULT_ENDLESS_CHUNKS,
	FAULT_ENDLESS_JUNK,
	/** Answers before it reads the body, and reads that 100 ms later. */
	FAULT_EARLY_ANSWER,
	/** 131,000 header lines where the blank line after the head is due. */
	FAULT_MANY_LINES,
	FAULT_TRICKLE, /**< a header line without end, a byte each 10 ms */
	FAULT_MAX,
	FAULT_LARGE, /**< no fault: a whole answer with a body of over 2 MB */
} server_fault_t;

/** How a proxy treats its connections. */
typedef enum world_proxy_mode {
	WORLD_PROXY_PASS,
	WORLD_PROXY_DELAY, /**< delays all bytes by 80 ms in each direction */
	WORLD_PROXY_DROP,  /**< drops all bytes, keeps connections open */
	/** Drops the bytes that come from the target, passes the others. */
	WORLD_PROXY_DROP_REPLIES,
	/** Resets all open connections, then behaves as WORLD_PROXY_PASS. */
	WORLD_PROXY_RESET,
	WORLD_PROXY_MODES,
} world_proxy_mode_t;

/** A proxy between a daemon and the store or a server. */
typedef struct world_proxy world_proxy_t;

/** The time limit that came with a request. */
typedef struct world_given {
	usec_t until;	    /**< the sender waits until then */
	usec_t accepted_at; /**< when its connection was accepted */
} world_given_t;

/** A server of a service. */
typedef struct world_server {
	struct world *w;
	char id[24];
	char service[24];
	char dc[24];
	char addr[32]; /**< published IP:PORT: of the proxy, if it has one */
	struct evconnlistener *listener;
	server_fault_t fault;
	/** Number of next requests that get the fault. */
	unsigned faulty_requests;
	/** Says in all its answers, of whatever kind, that it will stop soon.
	 */
	bool says_leaving;
	unsigned keep_alive_s; /**< Keep-Alive timeout in answers; 0: none */
	/** Retry-After of FAULT_NOT_RUN; empty: none. */
	char retry_after[32];
	/** Load that all its answers report; lines are separated by '|', empty
	 * text: none. */
	char load[64];
	/** Value of the header line that tells how long it stays cold, in all
	 * its answers; empty: none. */
	char warmup_left[32];
	unsigned warmup_ms;   /**< the same in the entries that it publishes */
	GArray *run_times;    /**< usec_t, of all its runs */
	unsigned work_ms;     /**< time that it takes to run a request */
	unsigned incarnation; /**< incremented by each restart */
	unsigned report_seq;  /**< entries published by this incarnation */
	bool draining;	      /**< it was "draining" when last published */
	usec_t draining_since;
	/**
	 * Requests that the server ran after it had been published as draining,
	 * and all daemons had been able to reach the store, for over 3.5 s.
	 */
	unsigned runs_after_drain;
	/** The same for the evacuation of the server's data centre. */
	unsigned runs_after_evacuation;
	unsigned runs;
	/** Latest time until which senders wait, by the limits they gave. */
	usec_t given_until;
	GArray *given_times; /**< world_given_t, of all requests */
	/** The next accept stops this process (SIGSTOP); 0: none. */
	pid_t stop_at_accept;
	/** Connections closed by callers during a request. */
	unsigned aborted_connections;
	unsigned open;	   /**< open connections */
	unsigned accepted; /**< connections so far */
	/** Requests that were none, or whose bodies were not all 'x'. */
	unsigned invalid_requests;
} world_server_t;

/** A daemon that runs as a process. */
typedef struct world_daemon {
	pid_t pid;
	char name[24];
	char listen[32]; /**< IP:PORT for callers */
	char ready[32];	 /**< IP:PORT for readiness checks */
	char admin[32];
	char peer[32];
	const char *program; /**< name of its program */
	char *settings;	     /**< path of the settings file */
	char *log; /**< path of the file that gets stdout and stderr */
	/** Write end of a pipe for stdout and stderr; 0: the log file is used
	 */
	int unread_output;
} world_daemon_t;

/** Protocol of the store and the servers, as the stand-ins implement it. */
typedef struct world_protocol {
	const char *name; /**< of the outside_protocol_t that the daemons use */
	const char *config_key;
	const char *evacuate_prefix; /**< before the name of a data centre */
	const char *list_path;	     /**< path of requests for a list */
	const char *after_arg;	     /**< watch: query argument, a revision */
	const char *wait_arg;	     /**< watch: query argument, milliseconds */
	/** JSON text before the items and, after these, before the revision. */
	const char *list_frame[2];
	const char *changes_frame[2]; /**< the same for answers to watches */
	/** Appends an item; a NULL value marks the key as deleted. */
	void (*append_item)(GString *out, const char *key, const char *value,
			    uint64_t revision);
	/** Formats the published entry of a server; the caller frees it. */
	char *(*format_entry)(const world_server_t *s, const char *state);
	/** Converts a configuration from the platform's format to this one. */
	char *(*convert_config)(const char *text);
} world_protocol_t;

/** Environment of one test. */
typedef struct world {
	const world_protocol_t *protocol;
	/** The daemons' side of the protocol. */
	const outside_protocol_t *daemon_protocol;
	struct event_base *base;
	char *dir; /**< temporary directory of settings and logs */
	char store_addr[32];
	struct evconnlistener *store_listener;
	GHashTable *items;  /**< key to its current item */
	GPtrArray *changes; /**< all items ever written, oldest first */
	GPtrArray *watches; /**< requests that wait for a change */
	uint64_t revision;
	uint64_t store_era; /**< told in all answers of the store; 0: not */
	bool store_down;    /**< the store answers 503 */
	/**
	 * The store never answers the requests that it gets now, nor later ones
	 * on their connections, which stay open. Watches that wait go on.
	 */
	bool store_silent;
	/** The store answers each request with a head line without end. */
	bool store_trickles;
	/** The store answers each request with this fault, of the endless ones;
	 * FAULT_NONE: it does not. */
	server_fault_t store_endless;
	bool store_copies;	 /**< the store writes each answer twice */
	unsigned store_delay_ms; /**< time until the store handles a request */
	unsigned
		list_page; /**< most items in a page of the list; 0: no limit */
	unsigned store_requests;
	GPtrArray *servers; /**< world_server_t */
	GPtrArray *proxies; /**< world_proxy_t */
	bool use_proxies;   /**< put proxies before new servers and the store */
	/** Time since which all daemons have been able to reach the store. */
	usec_t store_reachable_since;
	GHashTable *runs; /**< request id to how often servers ran it */
	/** Ids of requests that ran on a path /once/. */
	GHashTable *non_idempotent_ids;
	/** Name of a data centre to the time (usec_t) of its evacuation. */
	GHashTable *evacuated;
	GArray *held_sockets; /**< of world_stop_accepting() */
	bool keep_logs;
	int unread_pipe;    /**< read end of a daemon's output pipe, or 0 */
	GPtrArray *daemons; /**< world_daemon_t */
	/** Program of the daemons started next; world_new() sets
	 * geraniumslip-routed. */
	const char *program;
	/** JSON members for the settings of the daemons started next, with a
	 * comma before each; empty: none. */
	const char *more_settings;
} world_t;

/** An answer as received by a caller. */
typedef struct world_answer {
	unsigned status; /**< 0: no complete answer was received */
	bool closed;	 /**< the connection ended during the wait */
	char stamps[512];
	unsigned missing; /**< shards without an answer */
	char retry_after[16];
	GString *body;	/**< freed by the caller; empty if status is 0 */
	usec_t latency; /**< time from sending the request to the answer */
} world_answer_t;

/**
 * Creates an environment with an empty store that uses the protocol with this
 * name. The caller frees it with world_free().
 */
world_t *world_new(const char *protocol);
/** Returns the stand-ins' protocol with a name, or NULL if there is none. */
const world_protocol_t *world_protocol(const char *name);
/** Publishes a configuration that is given in the platform's format. */
void world_publish_config(world_t *w, const char *text);
/** Kills all daemons and frees everything. */
void world_free(world_t *w);
/** Writes a key of the store; a NULL value deletes the key. */
void world_put(world_t *w, const char *key, const char *value);
/**
 * Replaces the store by a copy of it at a revision: later writes are lost, and
 * their revisions are given out again. The store's era rises.
 */
void world_restore(world_t *w, uint64_t revision);
/** The same, and writes the lost values again at once. */
void world_restore_rewritten(world_t *w, uint64_t revision);
/** Publishes or withdraws the evacuation of a data centre. */
void world_evacuate(world_t *w, const char *dc, bool evacuated);
/** Most requests that the server ran in a second, among those since a time. */
unsigned world_most_runs_per_s(const world_server_t *s, usec_t since);
/**
 * Makes a server accept no more connections: those that daemons begin stay
 * unanswered.
 */
void world_stop_accepting(world_server_t *s);
/**
 * Starts a proxy to the address in to and writes its own IP:PORT to addr.
 * world_free() frees it.
 */
world_proxy_t *world_proxy(world_t *w, const char *to, char addr[32]);
/** Changes how a proxy treats its connections from now on. */
void world_proxy_set(world_proxy_t *x, world_proxy_mode_t mode);
/** Starts a server and publishes it as ready; world_free() frees it. */
world_server_t *world_start_server(world_t *w, const char *service,
				   const char *dc);
/** Publishes a server with a new state; a NULL state deletes its entry. */
void world_publish_server(world_server_t *s, const char *state);
/**
 * Starts a daemon in a data centre; the daemons started before are its seeds.
 * world_free() frees it.
 */
world_daemon_t *world_start_daemon(world_t *w, const char *dc);
/** As world_start_daemon(), but with output to a pipe that is never read. */
world_daemon_t *world_start_daemon_unread(world_t *w, const char *dc);
/** Starts an exited daemon again with the same settings and addresses. */
void world_restart(world_daemon_t *d);
/**
 * Sends a signal to a daemon's process once the process has installed its
 * signal handlers, or after one second at most.
 */
void world_signal(const world_daemon_t *d, int sig);
/** Makes world_free() keep the daemons' settings and logs. */
void world_keep_logs(world_t *w);
/**
 * Polls a daemon until its readiness is the given one. Returns false if it is
 * not after ms milliseconds; the last poll may take 500 ms more.
 */
bool world_wait_ready(world_t *w, world_daemon_t *d, bool ready, unsigned ms);
/** Runs the event loop for a time. */
void world_run_loop(world_t *w, unsigned ms);
/**
 * Sends a request on a new connection and waits up to ms milliseconds for its
 * answer. The caller frees the body in a.
 */
void world_request(world_t *w, const char *addr, const char *bytes, unsigned ms,
		   world_answer_t *a);
/** Opens a connection; the caller frees it. */
struct bufferevent *world_connect(world_t *w, const char *addr);
/**
 * Sends bytes on a connection. Header names of the platform's protocol are
 * replaced by those of the protocol in use.
 */
void world_write(world_t *w, struct bufferevent *bev, const char *bytes);
/** As world_request(), on an open connection. */
void world_request_on(world_t *w, struct bufferevent *bev, const char *bytes,
		      unsigned ms, world_answer_t *a);
/** Returns how often servers ran the request with an id. */
unsigned world_run_count(const world_t *w, const char *id);

#endif
