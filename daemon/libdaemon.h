/** @file libdaemon.h Internal interfaces of the daemon. */
#ifndef LIBDAEMON_H
#define LIBDAEMON_H

#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <urcu/wfcqueue.h>

#include "conf.h"
#include "core.h"

#define VERSION "0.1.0"
#define MAX_BODY_BYTES ((size_t)1 << 20)  /* of a caller's request */
#define MAX_REPLY_BYTES ((size_t)4 << 20) /* of a server's reply */
#define MAX_REPLY_HITS 10000		  /* hits in a server's reply */

/*
 * ThreadSanitizer does not recognise the memory barriers of liburcu and GLib.
 * These macros mark where a pointer passes from one thread to another.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define TSAN_RELEASE(p) __tsan_release(p)
#define TSAN_ACQUIRE(p) __tsan_acquire(p)
#else
#define TSAN_RELEASE(p) ((void)(p))
#define TSAN_ACQUIRE(p) ((void)(p))
#endif

/** Reasons why the daemon does not start. */
typedef enum daemon_err {
	DAEMON_OK,
	DAEMON_E_SETTINGS,
	DAEMON_E_LISTEN,
	DAEMON_E_THREAD,
	DAEMON_E_PEER,
	DAEMON_E_MAX,
} daemon_err_t;

/** The text of an error; "unknown error" for a value out of range. */
const char *daemon_strerror(daemon_err_t e);

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

/** A reference-counted request body, read by several threads. */
typedef struct body {
	atomic_uint refs;
	size_t sz;
	char *bytes;
} body_t;

/** A body with one reference; takes ownership of bytes, from malloc(). */
body_t *body_new(char *bytes, size_t sz);
/** Adds a reference and returns b. */
body_t *body_ref(body_t *b);
/** Drops a reference and frees the body with the last one; b may be NULL. */
void body_unref(body_t *b);

typedef struct engine engine_t;
typedef struct front front_t;
typedef struct pools pools_t;
typedef struct platform platform_t;
typedef struct admin admin_t;
typedef struct peers peers_t;
typedef struct loader loader_t;

/** A message to the engine's thread, which frees it. */
typedef struct msg {
	struct cds_wfcq_node node;
	bool has_event; /* whether ev is passed to the core */
	event_t ev;
	struct job *job; /* a job that has ended, to be freed; or NULL */
	struct admin_request *admin_req; /* a request to be answered; or NULL */
	arena_t mem;			 /* memory that the event points to */
} msg_t;

/** A new message with an event of that kind, all else zero. */
msg_t *msg_new(ev_kind_t kind);

/* engine.c */
/** A new engine that is not running; s must outlive it. */
engine_t *engine_new(const settings_t *s);
/** Starts all parts and runs in the calling thread until a stop is complete. */
daemon_err_t engine_run(engine_t *e);
/** Queues a message and takes ownership of it; callable from any thread. */
void engine_post(engine_t *e, msg_t *m);
/** Requests a planned stop; safe in a signal handler. */
void engine_stop(engine_t *e);
/** Stops the other threads and frees the engine; e may be NULL. */
void engine_free(engine_t *e);
/**
 * The configuration in force, NULL before the first one. Valid between
 * engine_conf_read_lock() and engine_conf_read_unlock().
 */
const conf_t *engine_conf(const engine_t *e);
/** Begins an RCU read section of the calling thread. */
void engine_conf_read_lock(void);
/** Ends the read section in which conf was read; conf may be NULL. */
void engine_conf_read_unlock(const conf_t *conf);
/** Makes an ne_session connect from the IP address of the peer listener. */
void engine_bind_source_addr(const engine_t *e, void *session);
/** Whether the daemon reports ready; false once a stop has begun. */
bool engine_ready(const engine_t *e);

/* listen.c */
/** The socket address of a valid IP:PORT text. */
struct sockaddr_in addr_to_sockaddr(const char *addr);

/* front.c */
/** An open HTTP request of a caller. */
typedef struct call call_t;
/** Starts the HTTP server for callers at IP:PORT; NULL on failure. */
front_t *front_start(engine_t *e, const char *addr);
/** Closes the listener; open connections stay in use. */
void front_quiesce(front_t *f);
/** The number of searches whose answer is not sent yet. */
unsigned front_open_requests(const front_t *f);
/** Closes all connections and frees the server; f may be NULL. */
void front_stop(front_t *f);
/** Sends the answer; the call must not be used afterwards. */
void front_answer(call_t *call, const answer_t *a);

/* answer.c */
/** The HTTP status of an outcome. */
unsigned answer_status(outcome_t o);
/** The answer as JSON of *sz bytes; the caller frees it. */
char *answer_text(const answer_t *a, size_t *sz);

/* pool.c */
/** New pools without connections. */
pools_t *pools_new(engine_t *e);
/**
 * Sets the maximum number of connections to a server. Connections over it are
 * closed when they are idle; 0 closes all.
 */
void pools_set_max_connections(pools_t *p, str_t addr, unsigned max);
/** Assigns an ACT_SEND to a connection; false if none is available. */
bool pools_send(pools_t *p, const act_t *act);
/** Withdraws an attempt; false if it is unknown, sent or withdrawn. */
bool pools_withdraw(pools_t *p, uint64_t aid);
/**
 * Ends an attempt whose answer is not needed: true if it was withdrawn, else
 * false. If it was sent and is idempotent, sends a cancel to the server.
 */
bool pools_cancel(pools_t *p, uint64_t aid);
/** Frees a job that a connection returned. */
void pools_job_done(pools_t *p, struct job *j);
/** Ends all connections; their last messages are queued at the engine. */
void pools_close(pools_t *p);
/** Frees the pools after pools_close(). */
void pools_free(pools_t *p);

/** A request to a server, processed by a connection's thread. */
typedef struct job {
	uint64_t aid; /* attempt id */
	char *service;
	char *group;
	char *class_name;
	uint64_t snapshot;
	uint32_t map_version;
	unsigned limit;
	usec_t send_by; /* latest time to send the request */
	usec_t deadline;
	usec_t queued_at;
	bool idempotent;
	bool is_cancel;	   /* cancels the attempt aid; body is NULL */
	struct pool *pool; /* owned by the engine's thread */
	body_t *body;
	atomic_int state; /* job_state_t */
} job_t;

/** States of a job; SENDING and WITHDRAWN only follow QUEUED. */
typedef enum job_state { JOB_QUEUED, JOB_SENDING, JOB_WITHDRAWN } job_state_t;

/** Client side of a protocol of search servers; session is an ne_session. */
typedef struct dialect {
	const char *name;
	/** Requests the server's state; false if there is no valid reply. */
	bool (*probe)(void *session, evidence_t *e);
	/**
	 * Claims and sends the job and reads the reply. Sets *hits with
	 * RES_OK; the caller frees it.
	 */
	result_t (*search)(void *session, job_t *j, evidence_t *e,
			   group_hits_t **hits, bool *connect_failed);
	/** Sends the server a cancel for the request with the id j->aid. */
	void (*cancel)(void *session, const job_t *j);
} dialect_t;

/** The protocol that docs/PROTOCOLS.md specifies. */
extern const dialect_t dialect_plain;

/** Marks a queued job as SENDING; false if it is too late or not queued. */
bool job_claim(job_t *j, usec_t now);
/** Marks a queued job as WITHDRAWN; false if it is not queued. */
bool job_withdraw(job_t *j);

/* loader.c */
/** Starts the loader's thread with an empty store; NULL on failure. */
loader_t *loader_start(engine_t *e);
/** Queues a store of the platform for parsing; takes ownership of it. */
void loader_load_store(loader_t *l, conf_store_t *s);
/** Queues a copy of a peer's delta for parsing. */
void loader_load_delta(loader_t *l, str_t delta);
/** The newest revision that was parsed, valid or not. */
uint64_t loader_newest_revision(loader_t *l);
/** A copy of the newest valid store; the caller frees it. */
conf_store_t *loader_copy_store(loader_t *l);
/** The changes after the revision since as text; the caller frees it. */
char *loader_delta_since(loader_t *l, uint64_t since);
/** Parses what is queued and frees the loader; l may be NULL. */
void loader_stop(loader_t *l);

/* host_list.c */
/**
 * Parses the published list of hosts into mem. Entries that cannot be read are
 * left out and counted in bad. Returns false if the list has no version.
 */
bool host_list_parse(str_t text, host_list_t *l, size_t *bad, arena_t *mem);

/* platform.c */
/** Starts the threads that read the platform; NULL on failure. */
platform_t *platform_start(engine_t *e, loader_t *l, const settings_t *s);
/** Sets whether the platform is read; called by the engine's thread. */
void platform_set_read_mode(platform_t *p, read_mode_t mode);
/** Ends the threads and frees the client. */
void platform_stop(platform_t *p);

/* peers.c */
/** Totals of the peer sockets. */
typedef struct peers_counts {
	uint64_t sent; /* messages */
	uint64_t bytes_sent;
	uint64_t received; /* messages */
	uint64_t bytes_received;
	uint64_t refused;  /* received but not decodable */
	uint64_t not_sent; /* too large, queue full or connect failed */
} peers_counts_t;
/** Binds the peer listener; NULL on failure. s must outlive the result. */
peers_t *peers_new(const settings_t *s);
/** The receiving ZeroMQ socket, for zmq_poll(). */
void *peers_socket(peers_t *p);
/** Encodes and queues m; false if m is certainly not sent. */
bool peers_send(peers_t *p, str_t to, const peer_msg_t *m, usec_t now);
/** Queues a message of sz bytes; false if it is certainly not sent. */
bool peers_send_bytes(peers_t *p, str_t to, const char *bytes, size_t sz,
		      usec_t now);
/** The next message, to be freed; NULL if none is queued. */
char *peers_receive_bytes(peers_t *p, size_t *sz);
/**
 * A descriptor for poll(), edge-triggered: after it becomes readable, receive
 * until no message is left. Owned by p.
 */
int peers_fd(peers_t *p);
/** Decodes the next valid message into m and mem; false if none is queued. */
bool peers_receive(peers_t *p, peer_msg_t *m, arena_t *mem);
/** The totals since peers_new(); owned by p. */
const peers_counts_t *peers_counts(const peers_t *p);
/** Closes the sockets after a short wait for unsent messages; p may be NULL. */
void peers_free(peers_t *p);

/* admin.c */
/** The state that answers to operators are built from. */
typedef struct admin_view {
	const core_t *core;
	const peers_counts_t *counts;
	usec_t now;
	bool ready;
} admin_view_t;

/** An HTTP request of an operator, answered by the engine's thread. */
typedef struct admin_request {
	const char *path; /* valid as long as conn */
	struct MHD_Connection *conn;
	char *text;	  /* body of the answer, freed after sending; or NULL */
	unsigned status;  /* HTTP status of the answer */
	const char *type; /* Content-Type of the answer, or NULL */
	bool answered;
} admin_request_t;
/** Starts the administration API; NULL on failure. s must outlive it. */
admin_t *admin_start(engine_t *e, const settings_t *s);
/** Closes all connections and frees the API. */
void admin_stop(admin_t *a);
/** Fills in the answer; called by the engine's thread. */
void admin_answer(admin_request_t *req, const admin_view_t *v);

#endif
