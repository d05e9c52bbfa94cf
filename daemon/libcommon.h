/**
 * @file libcommon.h
 * What both daemons use: settings, clock, log lines, and the transport of
 * messages between the daemons of routed requests.
 */
#ifndef LIBCOMMON_H
#define LIBCOMMON_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>

#include "base.h"

#define VERSION "0.1.0"
#define MAX_BODY_BYTES ((size_t)1 << 20)  /* of a caller's request */
#define MAX_REPLY_BYTES ((size_t)4 << 20) /* of a server's reply */

/* daemon_main.c */
/** Reasons why the daemon does not start. */
typedef enum daemon_err {
	DAEMON_OK,
	DAEMON_E_SETTINGS,
	DAEMON_E_LISTEN,
	DAEMON_E_THREAD,
	DAEMON_E_PEER,
	DAEMON_E_MODE,
	DAEMON_E_MAX,
} daemon_err_t;

/** The text of an error; "unknown error" for a value out of range. */
const char *daemon_strerror(daemon_err_t e);
/** Runs a daemon with the settings in a file until a planned stop ends. */
typedef daemon_err_t (*daemon_run_fn_t)(const char *file);
/**
 * The main function of a daemon: reads the command line and calls run. program
 * is the name in messages. Returns the exit status.
 */
int daemon_main(int argc, char **argv, const char *program,
		daemon_run_fn_t run);

/**
 * The settings of a process. Strings end with a null byte and are NULL where an
 * optional key is missing; addresses are IP:PORT text.
 */
typedef struct settings {
	char *name;
	char *dc;
	char *listen;	      /* listener for callers */
	char *admin;	      /* listener for operators */
	char *peer;	      /* listener for other daemons */
	char *peer_advertise; /* address for peers; NULL: the same as peer */
	char **platform;      /* addresses, ended by NULL */
	char **seeds;	      /* peers to contact first, ended by NULL */
	char *admin_token;
	char *peer_secret_key; /* CURVE key, Z85; NULL: no authentication */
	char *peer_public_key; /* set if and only if the secret key is */
	char *policy;
	char *log_level;
	char *protocol;	      /* protocol of routed requests; NULL: searches */
	char *registry_addr;  /* address of the registry; with protocol */
	char *ready_listen;   /* listener of readiness checks; with protocol */
	double stop_grace_ms; /* time for load balancers to see "not ready" */
	double stop_limit_ms; /* longest wait for open requests */
	/* For searches; UINT32_MAX selects the default of core/. */
	unsigned hedge_percentile; /* latency percentile after which to hedge */
	unsigned hedge_budget_percent; /* hedges per 100 first attempts */
	unsigned retry_budget_percent; /* retries per 100 first attempts */
	unsigned seed; /* for random choices; 0: from name and time */
	/* For routed requests. */
	double apply_limit_ms; /* time limit for changes to take effect */
	unsigned fleet_hosts;  /* hosts that share the limits below */
	/* Extra sends (retries and hedges) per window, of all hosts. */
	double extra_sends_fixed;
	double extra_sends_share;    /* extra sends per first send */
	double extra_sends_window_s; /* window of both limits */
	double drain_limit_ms; /* draining servers serve for so long; 0: unknown
				*/
	/* Limit of a cold server: its service's rate times the overage, plus
	 * the slack, in requests. */
	double warmup_overage;
	double warmup_slack;
	double evacuate_limit_ms; /* time limit for evacuations; 0: none */
	unsigned nfaults; /* figures in force that are not those of the file */
} settings_t;

/**
 * Reads and checks the file. Prints each fault with key and value to stderr. A
 * figure outside its range is replaced by the nearest one in it. One that is no
 * number keeps its value of in_force, the settings before a reload, or if that
 * is NULL its default. Other faults return DAEMON_E_SETTINGS; settings_free()
 * is needed in that case too.
 */
daemon_err_t settings_read(const char *file, const settings_t *in_force,
			   settings_t *s);
/** Converts milliseconds of the settings. */
usec_t settings_usec(double ms);
/** Frees the members, not s itself. */
void settings_free(settings_t *s);

/* clock.c */
/** Microseconds of CLOCK_BOOTTIME, which includes time in suspend. */
usec_t clock_now(void);
/** An age in seconds; -1 for an age below 0, which stands for "never". */
double age_seconds(usec_t age);

/* log.c */
/** Starts a thread that writes lines to fd; for level see log_set_level(). */
void log_start(int fd, const char *level);
/** Sets the least severe level written; ignores NULL and unknown names. */
void log_set_level(const char *level);
/** Writes the queued lines and ends the thread. */
void log_stop(void);
/** True if lines of that level are written. */
bool log_enabled(GLogLevelFlags level);
/**
 * Queues a line with "time", "level" and "msg". fmt gives further JSON members
 * without braces; it may give none.
 */
void log_json(GLogLevelFlags level, const char *msg, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/** Lines dropped since the start: the queue was full or a line too long. */
uint64_t log_dropped(void);
/** Writes v into buf as a JSON string, truncated to sz bytes; returns buf. */
const char *log_quote(char *buf, size_t sz, str_t v);

/* listen.c */
/** The socket address of a valid IP:PORT text. */
struct sockaddr_in addr_to_sockaddr(const char *addr);

/* peers_zmq.c, peers_socket.c */
/** Totals of the peer sockets. */
typedef struct peers_counts {
	uint64_t sent; /* messages */
	uint64_t bytes_sent;
	uint64_t received; /* messages */
	uint64_t bytes_received;
	uint64_t refused;  /* received but not decodable */
	uint64_t not_sent; /* too large, queue full or connect failed */
} peers_counts_t;

/** Bytes of the longest message between daemons of routed requests. */
#define PEER_MSG_MAX_BYTES ((size_t)16 << 20)

/** How a message is sent; only a transport with both ways distinguishes. */
typedef enum peer_way {
	PEER_SHORTEST, /**< as a datagram if the message fits into one */
	PEER_RELIABLE, /**< over a connection */
} peer_way_t;

/** Called when messages can be received. */
typedef void (*peer_ready_fn_t)(void *arg);

/** Open sockets of a transport. */
typedef struct peer_socket peer_socket_t;

/**
 * A way in which daemons of routed requests send each other messages. A message
 * may be lost, repeated or overtaken by a later one. Only the thread of the
 * event loop calls these functions.
 */
typedef struct peer_transport {
	const char *name;
	bool has_keys; /**< authenticates peers if the settings have keys */
	/**
	 * Listens on s->peer and registers events with base. NULL if the
	 * address cannot be bound. s must outlive the result.
	 */
	peer_socket_t *(*open)(const settings_t *s, struct event_base *base,
			       peer_ready_fn_t ready, void *arg);
	/** Queues a message to each of n addresses (IP:PORT). */
	void (*send)(peer_socket_t *p, const str_t *to, size_t n,
		     const char *bytes, size_t sz, peer_way_t way);
	/**
	 * The next message, to be freed; NULL if there is none now. The
	 * callback is called again if there are more.
	 */
	char *(*receive)(peer_socket_t *p, size_t *sz);
	/** The totals since open(); owned by p. */
	const peers_counts_t *(*counts)(const peer_socket_t *p);
	/** Closes all; unsent messages may be lost. p may be NULL. */
	void (*close)(peer_socket_t *p);
} peer_transport_t;

/** ZeroMQ, with authentication if the settings have peer keys. */
extern const peer_transport_t peer_transport_zmq;
/** Datagrams and short TCP connections, without authentication. */
extern const peer_transport_t peer_transport_socket;

#endif
