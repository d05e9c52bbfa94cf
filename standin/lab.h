/**
 * @file lab.h
 * Starts a small deployment of stand-ins and daemons as processes on loopback
 * addresses, controls it, and reads the journals of its servers. Each lab
 * uses a network of its own, 127.A.B.0, so that labs that run at the same
 * time don't use the same addresses.
 */
#ifndef LAB_H
#define LAB_H

#include <glib.h>
#include <sys/types.h>

#include "base.h"
#include "conf.h"

#define LAB_TOKEN "lab-token"

/** Kind of a process in the lab. */
typedef enum lab_role {
	LAB_PLATFORM,
	LAB_UPSTREAM,
	LAB_DAEMON,
} lab_role_t;

/** One process of the lab. */
typedef struct lab_node {
	char name[64]; /**< platform, d1, or SERVICE/GROUP/N */
	lab_role_t role;
	char ip[ADDR_HOST_MAX];
	char addr[32];	 /**< IP:PORT that it serves at */
	char dc[32];	 /**< data centre; empty for the platform */
	pid_t pid;	 /**< 0 while it does not run */
	bool leaving;	 /**< marked as leaving in published lists of hosts */
	int exit_status; /**< of its last exit, as returned by waitpid() */
	char **argv;
	struct relay *relay; /**< relay of a daemon's peer port, or NULL */
	bool start_later;    /**< lab_start() does not start it */
} lab_node_t;

/** A search request to a daemon and its answer. */
typedef struct lab_call {
	char tag[64]; /**< identifies the request in journals and hits */
	char service[64];
	char class_name[64];
	char route[64];
	char key[64];	       /**< idempotency key; empty: none is sent */
	unsigned deadline_ms;  /**< 0: none is sent */
	unsigned daemon_index; /**< daemon that it is sent to, from 0 */
	bool non_idempotent;
	usec_t scheduled_at; /**< time at which the request is due */
	/** Time to the answer, from sending or, in a load, scheduled_at. */
	usec_t latency;
	unsigned status; /**< HTTP status; 0: no answer was received */
	char outcome[16];
	char reason[32];
	uint64_t snapshot;
	unsigned answered;    /**< groups that answered */
	unsigned total;	      /**< groups that the request needed */
	unsigned missing;     /**< length of the list of missing groups */
	unsigned hit_groups;  /**< distinct groups among the hits */
	bool has_foreign_hit; /**< a hit has the tag of another request */
	/** A hit is of another snapshot than the answer. */
	bool has_other_snapshot;
	char *body; /**< of the answer; the caller frees it */
} lab_call_t;

/** A deployment. */
typedef struct lab {
	char dir[128];	     /**< temporary directory of settings and logs */
	unsigned net_octet2; /**< second octet of all addresses */
	unsigned net_octet3; /**< third octet of all addresses */
	GPtrArray *nodes;    /**< lab_node_t */
	conf_t *conf;	     /**< owned; freed by lab_free() */
	unsigned ndaemons;
	unsigned hosts_version;	  /**< of the last published list of hosts */
	char held_snapshots[128]; /**< MAP:SNAPSHOT,... held by new servers */
	char policy[32];
	unsigned service_us;	/**< mean service time of servers */
	unsigned sigma_percent; /**< sigma of the lognormal service times */
	unsigned connect_us;	/**< setup time of a new connection */
	unsigned stop_grace_ms;
	bool write_journals; /**< servers log events of requests to journals */
	char log_level[16];
	char extra_settings[256]; /**< JSON object of further daemon settings */
	bool without_relays; /**< daemons connect directly; no partitions */
	bool peer_keys;	     /**< daemons authenticate each other */
	/** Number, from 1, of a daemon with another key pair; 0: none. */
	unsigned wrong_key_daemon;
	/** Number, from 1, of a daemon that lab_start() omits; 0: none. */
	unsigned late_daemon;
	/** Key pairs (public, secret) of the fleet and of wrong_key_daemon. */
	char keys[2][2][41];
} lab_t;

/** Creates an empty lab with a temporary directory for its files. */
lab_t *lab_new(void);
/** Kills all processes and frees the lab; its files stay if keep is set. */
void lab_free(lab_t *l, bool keep);
/** Returns the address of server n, counted from 0 over all services. */
void lab_server_addr(const lab_t *l, unsigned n, char ip[ADDR_HOST_MAX],
		     unsigned *port);
/**
 * Starts platform, servers and daemons for a configuration whose servers have
 * the addresses of lab_server_addr(), and waits until the daemons are ready.
 * The lab owns conf. Returns false if a process cannot be started or is not
 * ready in time.
 */
bool lab_start(lab_t *l, conf_t *conf, unsigned ndaemons);
/** Returns the process with a name, or NULL if there is none. */
lab_node_t *lab_find_node(const lab_t *l, const char *name);
/** Starts a process that does not run; false if that fails. */
bool lab_spawn(lab_t *l, lab_node_t *n);
/** Sends a signal to a process; after SIGKILL, waits for its exit. */
void lab_signal(lab_node_t *n, int sig);
/** Waits for the exit of a process; false if it still runs at the limit. */
bool lab_wait_exit(lab_node_t *n, usec_t limit);
/** Returns true if a daemon reports to its callers that it is ready. */
bool lab_is_ready(const lab_node_t *n);
/** Waits until a daemon reports that it is ready; false at the limit. */
bool lab_wait_ready(const lab_node_t *n, usec_t limit);
/** Publishes a configuration to the platform; false if it is rejected. */
bool lab_publish(lab_t *l, const char *text);
/** Publishes the current list of daemons and leaving servers. */
bool lab_publish_hosts(lab_t *l);
/** Blocks connections between a daemon a and a process b; false on errors. */
bool lab_partition(lab_node_t *a, lab_node_t *b);
/** Allows all connections again that lab_partition() blocked. */
void lab_end_partitions(lab_t *l);
/**
 * Sends an HTTP request to IP:PORT; token, class_name and body may be NULL.
 * Returns the status, or 0 if no answer was received.
 */
int lab_http(const char *addr, const char *method, const char *path,
	     const char *token, const char *class_name, const char *body);
/** Sends a command such as "slow=10" to a stand-in. */
bool lab_control(const lab_node_t *n, const char *command);
/** Returns a number that a stand-in reports, e.g. "peak"; -1 if missing. */
double lab_control_number(const lab_node_t *n, const char *member);
/**
 * Returns a number or boolean of a daemon's status, e.g. "revision"; -1 if
 * missing.
 */
double lab_status_number(const lab_node_t *n, const char *member);
/**
 * Returns a metric of a daemon, named without "geraniumslip_"; -1 if missing.
 */
double lab_metric(const lab_node_t *n, const char *name);
/** Sends a request on a new connection and stores the answer in call. */
void lab_send_call(const lab_t *l, lab_call_t *call);
/** Opens a session with daemon index for lab_send_call_on(). */
void *lab_client_open(const lab_t *l, unsigned daemon);
/** Closes and frees a session. */
void lab_client_free(void *session);
/** Sends a request on an open session and stores the answer in call. */
void lab_send_call_on(void *session, lab_call_t *call);

/** One line of a server's journal. */
typedef struct lab_journal_entry {
	usec_t time; /**< boot clock */
	char server[32];
	char group[64];
	char event[16]; /**< run, done, cancel, or the reason of a refusal */
	char tag[64];
	uint64_t snapshot;
	unsigned map;
} lab_journal_entry_t;

/**
 * Reads the journals of all servers, sorted by time. Returns an array of
 * lab_journal_entry_t; the caller frees it.
 */
GArray *lab_journal(const lab_t *l);

#endif
