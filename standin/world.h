/**
 * @file world.h
 * Stand-ins for what routed requests meet: a store of published state,
 * servers with faults, callers, all in one loop on loopback; and daemons as
 * processes. Not installed.
 */
#ifndef WORLD_H
#define WORLD_H

#include <event2/event.h>
#include <glib.h>
#include <sys/types.h>

#include "base.h"
#include "libedge.h"

/** What a server does with its next requests. */
typedef enum fault {
	FAULT_NONE,
	FAULT_NO_LENGTH,   /**< answers without a length, then closes */
	FAULT_CUT,	   /**< the same, but resets before the end */
	FAULT_EXTRA,	   /**< bytes follow the answer */
	FAULT_STRAY,	   /**< answers another request, then this one */
	FAULT_LATE_SECOND, /**< a second answer follows some time later */
	FAULT_RESET,	   /**< runs it and resets the connection */
	FAULT_SILENT,	   /**< runs it and never answers */
	FAULT_REFUSE,	   /**< says that it did not run it */
	FAULT_ERROR,	   /**< runs it and fails */
	FAULT_OTHER,	   /**< says that it is another server */
	FAULT_MAX,
} fault_t;

/** What a proxy does with its connections. */
typedef enum world_proxy_mode {
	WORLD_PROXY_PASS,
	WORLD_PROXY_DELAY,
	WORLD_PROXY_SILENT,  /**< nothing passes, nothing is closed */
	WORLD_PROXY_ONE_WAY, /**< the same for what comes back */
	WORLD_PROXY_RESET,   /**< resets those that are open, then passes */
	WORLD_PROXY_MODES,
} world_proxy_mode_t;

/** A proxy between a daemon and the store or a server. */
typedef struct world_proxy world_proxy_t;

/** A server of a service. */
typedef struct world_server {
	struct world *w;
	char id[24];
	char service[24];
	char dc[24];
	char addr[32];
	struct evconnlistener *listener;
	fault_t fault;
	unsigned nfaults; /**< requests that meet the fault */
	unsigned work_ms;
	unsigned born; /**< rises with each start */
	unsigned seq;  /**< rises with each word of one start */
	bool left;     /**< it said that it drains */
	usec_t left_at;
	unsigned late_runs; /**< requests that came long after that */
	unsigned runs;
	unsigned broken; /**< connections that callers closed during work */
	unsigned open;	 /**< connections to it */
} world_server_t;

/** A daemon that runs as a process. */
typedef struct world_daemon {
	pid_t pid;
	char name[24];
	char listen[32];
	char ready[32];
	char admin[32];
	char peer[32];
	char *settings; /**< path of the file */
	char *log;	/**< path of its output */
	int unread;	/**< a pipe that takes its output and is not read; 0 */
} world_daemon_t;

/** A way of speaking of the stand-ins. */
typedef struct world_speech {
	const char *name; /**< of the daemon's row */
	const char *config_key;
	const char *list_path; /**< that a list is asked with */
	const char *after;     /**< argument of a watch: a revision */
	const char *wait;      /**< the same: milliseconds */
	const char *list[2];   /**< before the items, and before the revision */
	const char *changes[2];
	/** Appends an item; NULL as value: it is deleted. */
	void (*item)(GString *out, const char *key, const char *value,
		     uint64_t revision);
	/** A server's entry; the caller frees it. */
	char *(*entry)(const world_server_t *s, const char *state);
	/** A configuration of the platform's format, as this way has it. */
	char *(*config)(const char *text);
} world_speech_t;

/** Everything of one test. */
typedef struct world {
	const world_speech_t *speech;
	const outside_t *outside; /**< the daemon's row of that way */
	struct event_base *base;
	char *dir;
	char store_addr[32];
	struct evconnlistener *store_listener;
	GHashTable *items;  /**< key to item */
	GPtrArray *changes; /**< item, in order */
	GPtrArray *waiting; /**< watches that wait */
	uint64_t revision;
	bool store_down;
	unsigned store_calls;
	GPtrArray *servers; /**< world_server_t */
	GPtrArray *proxies; /**< world_proxy_t */
	bool use_proxies;   /**< in front of servers and the store */
	usec_t calm_at;	    /**< the store was reached by all since then */
	GHashTable *runs;   /**< id of a request to how often it ran */
	GHashTable *once;   /**< ids of those that ran on a path /once/ */
	bool keep_logs;
	int pipe;	    /**< the unread end of a daemon's output, or 0 */
	GPtrArray *daemons; /**< world_daemon_t */
} world_t;

/** An answer as a caller saw it. */
typedef struct world_answer {
	unsigned status; /**< 0: no whole answer came */
	bool closed;	 /**< the connection ended */
	char stamps[512];
	unsigned missing;
	char retry_after[16];
	GString *body;
	usec_t took;
} world_answer_t;

/** Starts a store without anything in it, which speaks in that way. */
world_t *world_new(const char *speech);
/** The stand-ins' row of a way of speaking. */
const world_speech_t *world_speech(const char *name);
/** Publishes a configuration, given in the platform's format. */
void world_put_config(world_t *w, const char *text);
/** Ends daemons that still run and frees everything. */
void world_free(world_t *w);
/** Writes a key; NULL deletes it. */
void world_put(world_t *w, const char *key, const char *value);
/** Puts a proxy in front of an address; its own is written to addr. */
world_proxy_t *world_proxy(world_t *w, const char *to, char addr[32]);
/** Changes what it does from now on. */
void world_proxy_set(world_proxy_t *x, world_proxy_mode_t mode);
/** Starts a server and publishes it. */
world_server_t *world_server(world_t *w, const char *service, const char *dc);
/** Publishes a server again with a state, or deletes its entry with NULL. */
void world_publish(world_server_t *s, const char *state);
/** Starts a daemon; seeds are those that run. */
world_daemon_t *world_daemon(world_t *w, const char *dc);
/** The same; its output goes into a pipe that nobody reads. */
world_daemon_t *world_daemon_unread(world_t *w, const char *dc);
/** Starts a daemon that has ended again, as it was. */
void world_restart(world_daemon_t *d);
/** Signals a daemon's process once it handles signals. */
void world_signal(const world_daemon_t *d, int sig);
/** Leaves settings and logs of daemons in the world's directory. */
void world_keep_logs(world_t *w);
/** Waits until it is ready, or not; false after two seconds more. */
bool world_wait_ready(world_t *w, world_daemon_t *d, bool ready, unsigned ms);
/** Lets the loop run. */
void world_pass(world_t *w, unsigned ms);
/** A request on a connection of its own, or on one that is kept. */
void world_ask(world_t *w, const char *addr, const char *bytes, unsigned ms,
	       world_answer_t *a);
/** Opens a connection that the test keeps. */
struct bufferevent *world_connect(world_t *w, const char *addr);
/** Sends on it; header lines are given in the platform's words. */
void world_write(world_t *w, struct bufferevent *bev, const char *bytes);
/** Sends on it and reads one answer. */
void world_ask_on(world_t *w, struct bufferevent *bev, const char *bytes,
		  unsigned ms, world_answer_t *a);
/** How often a request with an id ran. */
unsigned world_runs(const world_t *w, const char *id);

#endif
