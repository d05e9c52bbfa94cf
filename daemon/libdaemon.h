/** @file libdaemon.h Shared by the files of the daemon only. */
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
#define MAX_BODY ((size_t)1 << 20)  /* bytes of a caller's request */
#define MAX_REPLY ((size_t)4 << 20) /* bytes of a server's reply */
#define MAX_REPLY_HITS 10000

/*
 * liburcu and GLib order memory by instructions that the thread sanitizer
 * does not see: where they hand something to another thread it is told.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define HAND_OVER(p) __tsan_release(p)
#define TAKE_OVER(p) __tsan_acquire(p)
#else
#define HAND_OVER(p) ((void)(p))
#define TAKE_OVER(p) ((void)(p))
#endif

/** Errors of the daemon's own layer, the worst first. */
typedef enum daemon_err {
	DAEMON_OK,
	DAEMON_E_SETTINGS,
	DAEMON_E_LISTEN,
	DAEMON_E_THREAD,
	DAEMON_E_PEER,
	DAEMON_E_MAX,
} daemon_err_t;

/** The text of an error. */
const char *daemon_strerror(daemon_err_t e);

/** What a process is told at its start. Strings end with a null byte. */
typedef struct settings {
	char *name;
	char *dc;
	char *listen;	      /* for callers */
	char *admin;	      /* for operators */
	char *peer;	      /* for other daemons */
	char *peer_advertise; /* where they reach it, if elsewhere */
	char **platform;      /* IP:PORT, ended by NULL */
	char **seeds;	      /* peers to ask at the start, ended by NULL */
	char *admin_token;
	char *peer_secret; /* CURVE keys, Z85 text; empty for none */
	char *peer_public;
	char *policy;
	char *log_level;
	char *outside;		/* how others speak; NULL: only the own way */
	char *registry;		/* IP:PORT of published state; of outside */
	char *ready;		/* asked by the balancer; of outside */
	unsigned stop_grace_ms; /* the balancer's lag */
	unsigned stop_limit_ms; /* longest wait for open requests */
	unsigned hedge_percentile; /* UINT32_MAX for the default, as below */
	unsigned hedge_budget;	   /* percent of first attempts */
	unsigned retry_budget;	   /* percent of first attempts */
	unsigned seed;
	unsigned apply_limit_ms; /* published state is in force by then */
	unsigned fleet;		 /* hosts that share limits; of outside */
	unsigned extra_fixed;	 /* further sends a window, all hosts */
	double extra_share;	 /* further sends per first send */
	double extra_window_s;
} settings_t;

/** Reads the file; on a fault prints path and value to stderr. */
daemon_err_t settings_read(const char *file, settings_t *s);
/** Frees what was read. */
void settings_free(settings_t *s);

/* clock.c */
/** The present time on the boot clock. */
usec_t clock_now(void);

/* log.c */
/** Starts the writer thread; lines go to the file descriptor. */
void log_start(int fd, const char *level);
/** Changes the least severe level written; NULL leaves it. */
void log_set_level(const char *level);
/** Writes what is queued and ends the thread. */
void log_stop(void);
/** True if lines of that level are written. */
bool log_on(GLogLevelFlags level);
/** Queues a line; fmt makes the members after "level" and "msg". */
void log_json(GLogLevelFlags level, const char *msg, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/** Lines that were dropped since the reader was too slow. */
uint64_t log_dropped(void);
/** Quotes a string as JSON into buf, cut to fit, and returns buf. */
const char *log_quote(char *buf, size_t sz, str_t v);

/** Bytes that several threads read. */
typedef struct body {
	atomic_uint refs;
	size_t sz;
	char *bytes;
} body_t;

/** Makes a body of one reference that takes over bytes. */
body_t *body_new(char *bytes, size_t sz);
/** Adds a reference. */
body_t *body_ref(body_t *b);
/** Drops a reference; the last one frees. */
void body_unref(body_t *b);

typedef struct engine engine_t;
typedef struct front front_t;
typedef struct pools pools_t;
typedef struct platform platform_t;
typedef struct admin admin_t;
typedef struct peers peers_t;
typedef struct loader loader_t;

/** An event on its way to the engine's thread. */
typedef struct msg {
	struct cds_wfcq_node node;
	bool has_event;
	event_t ev;
	struct job *job;       /* ended; its connection is free again */
	struct admin_ask *ask; /* an operator asks */
	arena_t mem;	       /* what the event points to */
} msg_t;

/** A new message with a zeroed event of that kind. */
msg_t *msg_new(ev_kind_t kind);

/* engine.c */
/** Makes the engine; it runs in the thread that calls engine_run(). */
engine_t *engine_new(const settings_t *s);
/** Runs until a planned stop is over. */
daemon_err_t engine_run(engine_t *e);
/** Hands a message over; from any thread. */
void engine_post(engine_t *e, msg_t *m);
/** Asks for a planned stop; safe in a signal handler. */
void engine_stop(engine_t *e);
/** Frees it. */
void engine_free(engine_t *e);
/** Published configuration; between engine_read_begin() and _end(). */
const conf_t *engine_conf(const engine_t *e);
void engine_read_begin(void);
void engine_read_end(const conf_t *seen);
/** Makes a session's connections come from this daemon's own address. */
void engine_bind_session(const engine_t *e, void *session);
/** Whether new requests are welcome. */
bool engine_ready(const engine_t *e);

/* listen.c */
/** The socket address of IP:PORT. */
struct sockaddr_in listen_address(const char *addr);

/* front.c */
/** A caller's request while it is open. */
typedef struct call call_t;
front_t *front_start(engine_t *e, const char *addr);
/** Takes no new connections; those open are served on. */
void front_quiesce(front_t *f);
/** Requests that callers wait for. */
unsigned front_open(const front_t *f);
void front_stop(front_t *f);
/** Gives the answer; the call must not be used after. */
void front_answer(call_t *call, const answer_t *a);

/* answer.c */
/** The HTTP status of an outcome. */
unsigned answer_status(outcome_t o);
/** The answer as JSON; the caller frees it. */
char *answer_text(const answer_t *a, size_t *sz);

/* pool.c */
pools_t *pools_new(engine_t *e);
void pools_set(pools_t *p, str_t addr, unsigned cap);
/** Hands an attempt to a connection; false when there is none free. */
bool pools_send(pools_t *p, const act_t *act);
/** Calls an unsent attempt back; false when it was sent. */
bool pools_withdraw(pools_t *p, uint64_t aid);
/** Ends an attempt whose answer is not needed; true if it was unsent. */
bool pools_cancel(pools_t *p, uint64_t aid);
/** Frees a job that has ended. */
void pools_job_done(pools_t *p, struct job *j);
/** Ends all connections; their last messages are posted. */
void pools_close(pools_t *p);
/** Frees the pools after pools_close(). */
void pools_free(pools_t *p);

/** A request to a server, as a connection thread sees it. */
typedef struct job {
	uint64_t aid;
	char *service;
	char *group;
	char *class_name;
	uint64_t snapshot;
	uint32_t map;
	unsigned limit;
	usec_t send_by;
	usec_t deadline;
	usec_t queued_at;
	bool idempotent;
	bool is_cancel;
	struct pool *pool; /* of the engine's thread */
	body_t *body;
	atomic_int state; /* job_state_t */
} job_t;

/** Where a job is; only QUEUED may go to SENDING or WITHDRAWN. */
typedef enum job_state { JOB_QUEUED, JOB_SENDING, JOB_WITHDRAWN } job_state_t;

/** How one kind of server is spoken to. */
typedef struct dialect {
	const char *name;
	/** Asks the server for its state. */
	bool (*probe)(void *session, evidence_t *e);
	/** Sends a request and reads its reply. */
	result_t (*search)(void *session, job_t *j, evidence_t *e,
			   part_t **part, bool *connect_failed);
	/** Tells the server that a request is not needed any more. */
	void (*cancel)(void *session, const job_t *j);
} dialect_t;

/** The dialect that docs/PROTOCOLS.md describes. */
extern const dialect_t dialect_plain;

/** Takes the job for sending if it may still be sent now. */
bool job_last_look(job_t *j, usec_t now);
/** Calls the job back if it was not taken for sending. */
bool job_withdraw(job_t *j);

/* loader.c */
loader_t *loader_start(engine_t *e);
/** Reads a store that came from the platform; takes it over. */
void loader_put(loader_t *l, conf_store_t *s);
/** Reads a delta that came from a peer. */
void loader_apply(loader_t *l, str_t delta);
/** The newest revision that was read, valid or not. */
uint64_t loader_seen(loader_t *l);
/** A copy of the newest valid store. */
conf_store_t *loader_copy(loader_t *l);
/** What changed after a revision; the caller frees it. */
char *loader_delta(loader_t *l, uint64_t since);
void loader_stop(loader_t *l);

/* platform.c */
platform_t *platform_start(engine_t *e, loader_t *l, const settings_t *s);
/** Sets how it is read; from the engine's thread. */
void platform_read(platform_t *p, read_mode_t mode);
void platform_stop(platform_t *p);

/* peers.c */
/** What went over the peer sockets. */
typedef struct peers_counts {
	uint64_t sent;
	uint64_t bytes_sent;
	uint64_t received;
	uint64_t bytes_received;
	uint64_t refused;  /* not messages */
	uint64_t not_sent; /* a queue was full */
} peers_counts_t;
peers_t *peers_new(const settings_t *s);
/** The socket to be polled for what comes. */
void *peers_socket(peers_t *p);
/** Sends; false if it certainly was not sent. */
bool peers_send(peers_t *p, str_t to, const peer_msg_t *m, usec_t now);
/** Sends bytes; false if they certainly were not sent. */
bool peers_send_bytes(peers_t *p, str_t to, const char *bytes, size_t sz,
		      usec_t now);
/** The next message as bytes for free(); NULL if there is none now. */
char *peers_receive_bytes(peers_t *p, size_t *sz);
/** Readable when something may have come; all of it is to be received. */
int peers_fd(peers_t *p);
/** Reads the next message; false if there is none now. */
bool peers_receive(peers_t *p, peer_msg_t *m, arena_t *mem);
const peers_counts_t *peers_counts(const peers_t *p);
void peers_free(peers_t *p);

/* admin.c */
/** What an answer to an operator is made of. */
typedef struct admin_view {
	const core_t *core;
	const peers_counts_t *counts;
	usec_t now;
	bool ready;
} admin_view_t;

/** A question of an operator, answered in the engine's thread. */
typedef struct admin_ask {
	const char *path;
	struct MHD_Connection *conn;
	char *text;
	unsigned status;
	const char *type;
	bool answered;
} admin_ask_t;
admin_t *admin_start(engine_t *e, const settings_t *s);
void admin_stop(admin_t *a);
/** Fills in the answer; runs in the engine's thread. */
void admin_answer(admin_ask_t *ask, const admin_view_t *v);

#endif
