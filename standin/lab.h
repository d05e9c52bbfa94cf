/**
 * @file lab.h
 * Starts a small deployment of stand-ins and daemons as processes on
 * loopback, works on it, and reads its journals. Each lab has a network of
 * its own, 127.A.B.0, so that labs do not meet.
 */
#ifndef LAB_H
#define LAB_H

#include <glib.h>
#include <sys/types.h>

#include "base.h"
#include "conf.h"

#define LAB_TOKEN "lab-token"

/** What a process of the lab is. */
typedef enum lab_role {
	LAB_PLATFORM,
	LAB_UPSTREAM,
	LAB_DAEMON,
} lab_role_t;

/** One process. */
typedef struct lab_node {
	char name[64]; /**< platform, d1, or SERVICE/GROUP/N */
	lab_role_t role;
	char ip[ADDR_HOST_MAX];
	char addr[32]; /**< where it serves */
	char dc[32];
	pid_t pid; /**< 0 when it does not run */
	bool leaving;
	int exit_status; /**< of its last end */
	char **argv;
	struct relay *relay; /**< of a daemon: peers come through it */
	bool late;	     /**< not started with the others */
} lab_node_t;

/** One request and what came of it. */
typedef struct lab_call {
	char tag[64];
	char service[64];
	char class_name[64];
	char route[64];
	char key[64];
	unsigned deadline_ms;
	unsigned daemon; /**< index of the daemon asked */
	bool once;	 /**< of a non-idempotent class */
	usec_t at;	 /**< when it was due */
	usec_t took;
	unsigned status; /**< of HTTP, 0 for none */
	char outcome[16];
	char reason[32];
	uint64_t snapshot;
	unsigned answered;
	unsigned total;
	unsigned missing;
	unsigned groups; /**< distinct groups among the hits */
	bool foreign;	 /**< a hit of another request */
	bool mixed;	 /**< a hit of another snapshot */
	char *text;	 /**< the whole answer */
} lab_call_t;

/** A deployment. */
typedef struct lab {
	char dir[128];
	unsigned net_a;
	unsigned net_b;
	GPtrArray *nodes; /**< lab_node_t */
	conf_t *conf;
	unsigned ndaemons;
	unsigned hosts_version;
	char held[128]; /**< snapshots that servers start with */
	char policy[32];
	unsigned service_us;
	unsigned sigma_percent;
	unsigned connect_us;
	unsigned stop_grace_ms;
	bool journal; /**< whether servers keep one */
	char log_level[16];
	char settings[256]; /**< more settings of daemons, a JSON object */
	bool direct;	/**< no relays between daemons; they cannot be cut */
	bool peer_keys; /**< whether daemons authenticate each other */
	unsigned wrong_key; /**< number of the daemon with other keys, or 0 */
	unsigned late; /**< number of the daemon not started at first, or 0 */
	char keys[2][2][41]; /**< fleet's and another: public, secret */
} lab_t;

/** Makes an empty lab with a directory for its files. */
lab_t *lab_new(void);
/** Ends all processes and removes the files, unless keep is set. */
void lab_free(lab_t *l, bool keep);
/** The address that server n of all is given. */
void lab_server_addr(const lab_t *l, unsigned n, char ip[ADDR_HOST_MAX],
		     unsigned *port);
/**
 * Starts platform, servers and daemons for a configuration whose servers
 * have the lab's addresses, and waits until all daemons are ready.
 */
bool lab_start(lab_t *l, conf_t *conf, unsigned ndaemons);
/** Finds a process by name; NULL if there is none. */
lab_node_t *lab_node(const lab_t *l, const char *name);
/** Starts a process that does not run. */
bool lab_spawn(lab_t *l, lab_node_t *n);
/** Sends a signal; waits for the end if it kills. */
void lab_signal(lab_node_t *n, int sig);
/** Waits for its end at most so long; false if it still runs. */
bool lab_wait_end(lab_node_t *n, usec_t limit);
/** Whether a daemon tells its callers that it is ready. */
bool lab_is_ready(const lab_node_t *n);
/** Waits until a daemon says that it is ready. */
bool lab_wait_ready(const lab_node_t *n, usec_t limit);
/** Publishes a configuration to the platform. */
bool lab_publish(lab_t *l, const char *text);
/** Publishes the list of hosts as it is now. */
bool lab_publish_hosts(lab_t *l);
/** Cuts two nodes off from each other; one of them is a daemon. */
bool lab_cut(lab_node_t *a, lab_node_t *b);
/** Ends all cuts. */
void lab_heal(lab_t *l);
/** An HTTP request to IP:PORT; the status, or 0. */
int lab_http(const char *addr, const char *method, const char *path,
	     const char *token, const char *class_name, const char *body);
/** Sends a command, as "slow=10", to a stand-in. */
bool lab_control(const lab_node_t *n, const char *command);
/** A number that a server's stand-in tells of itself, as "peak"; -1: none. */
double lab_number(const lab_node_t *n, const char *member);
/** A number that a daemon's administration gives, as "revision"; -1: none. */
double lab_status(const lab_node_t *n, const char *member);
/** A counter of a daemon by its name in the metrics; -1: none. */
double lab_metric(const lab_node_t *n, const char *name);
/** Asks and fills in what came. */
void lab_ask(const lab_t *l, lab_call_t *call);
/** A session to ask many times with; see lab_ask_on(). */
void *lab_session(const lab_t *l, unsigned daemon);
/** Frees a session. */
void lab_session_free(void *session);
/** Asks on a session. */
void lab_ask_on(void *session, lab_call_t *call);

/** One line of a server's journal. */
typedef struct lab_run {
	usec_t t;
	char server[32];
	char group[64];
	char event[16];
	char tag[64];
	uint64_t snapshot;
	unsigned map;
} lab_run_t;

/** Reads all journals in order of time; an array of lab_run_t. */
GArray *lab_journal(const lab_t *l);

#endif
