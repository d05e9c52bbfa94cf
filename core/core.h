/**
 * @file core.h
 * The decision logic of a daemon. core_step() takes an event and the current
 * time and appends the resulting actions. The core has no clock, thread or
 * socket: the same events at the same times produce the same actions.
 */
#ifndef CORE_H
#define CORE_H

#include "base.h"
#include "conf.h"

#define CORE_MAX_HELD_SNAPSHOTS 4 /**< most snapshots reported per server */

/** State of one daemon's core; opaque. */
typedef struct core core_t;

/** Outcome of a request, as its caller gets it. */
typedef enum outcome {
	OUT_COMPLETE, /**< every group answered */
	OUT_PARTIAL,  /**< at least the class's minimum coverage */
	OUT_NOT_RUN,  /**< no server ran any part of the request */
	OUT_UNKNOWN,  /**< may have run, without a usable answer */
	OUT_MAX,
} outcome_t;

/** Reasons in answers and decision log lines. */
typedef enum why {
	WHY_NONE,
	WHY_CHOSEN,
	WHY_ONLY_ONE,
	WHY_RETRY,
	WHY_HEDGE,
	WHY_BUSY,
	WHY_DEADLINE,
	WHY_SOFT_DEADLINE,
	WHY_NO_CONFIG,
	WHY_NO_SERVICE,
	WHY_NO_CLASS,
	WHY_NO_ROUTE,
	WHY_NO_SERVER,
	WHY_NO_COMMON_SNAPSHOT,
	WHY_STOPPING,
	WHY_OVERLOAD,
	WHY_NOT_SENT,
	WHY_SHED,
	WHY_SNAPSHOT_MISSING,
	WHY_LOST,
	WHY_MISMATCH,
	WHY_ERROR,
	WHY_LEAVING,
	WHY_STALE_LIST,
	WHY_DUPLICATE,
	WHY_KEY_HOME_UNAVAILABLE,
	WHY_KEY_HOME_CHANGED,
	WHY_PAUSED,
	WHY_BUDGET,
	WHY_LOWER_REVISION,
	WHY_SAME_REVISION,
	WHY_NEWER_REVISION,
	WHY_KEY_REUSED,
	WHY_FORWARDED,
	WHY_MAX,
} why_t;

/** Result of an attempt. */
typedef enum result {
	RES_OK,		      /**< the hits of a group were received */
	RES_NOT_SENT,	      /**< the request was not sent */
	RES_SHED,	      /**< the server refused it without running it */
	RES_SNAPSHOT_MISSING, /**< not run: snapshot or map is missing */
	RES_LOST,	      /**< sent, but no reply was received */
	RES_MISMATCH,	      /**< the reply belonged to another request */
	RES_ERROR,	      /**< the server replied with an error */
	RES_CANCELLED,	      /**< the server stopped it after a cancel */
	RES_MAX,
} result_t;

/** One search result. */
typedef struct hit {
	double score;
	str_t id;
	str_t text; /**< the hit as the server encoded it */
} hit_t;

/** The hits of one group, by descending score. Free with group_hits_free(). */
typedef struct group_hits {
	arena_t mem;
	hit_t *hits;
	size_t nhits;
} group_hits_t;

/** Allocates an empty list of hits; never returns NULL. */
group_hits_t *group_hits_new(void);
/** Frees the hits; NULL is allowed. */
void group_hits_free(group_hits_t *p);
/** Sorts the hits by descending score, then by id, as merging needs. */
void group_hits_sort(group_hits_t *p);

/** A snapshot of the index under one version of the partition map. */
typedef struct snapshot_ref {
	uint32_t map_version;
	uint64_t snapshot;
} snapshot_ref_t;

/** Load and snapshots that a server reports in a reply or to a probe. */
typedef struct evidence {
	bool valid;	 /**< false: the server reported nothing */
	bool draining;	 /**< it accepts no more work */
	unsigned slots;	 /**< requests that it runs at once */
	unsigned busy;	 /**< slots in use, by all callers */
	unsigned queued; /**< requests that wait for a slot */
	size_t nheld;
	/** Snapshots that it can serve. */
	snapshot_ref_t held[CORE_MAX_HELD_SNAPSHOTS];
} evidence_t;

/** A caller's request. The core copies the strings it keeps. */
typedef struct request {
	str_t service;
	str_t class_name;
	str_t route;	 /**< selects the group in scope "one" */
	str_t key;	 /**< Idempotency-Key header; empty: none */
	usec_t deadline; /**< microseconds left; 0: the class's own */
	unsigned limit;	 /**< most hits to return; 0: 10 */
	void *body;	 /**< opaque; returned in ACT_SEND and ACT_PEER */
	uint64_t body_hash;
	void *caller; /**< opaque; returned in ACT_ANSWER */
} request_t;

/** An answer; its pointers are valid until the next core_step(). */
typedef struct answer {
	uint64_t qid;
	void *caller;
	outcome_t outcome;
	why_t why;
	str_t service;
	str_t class_name;
	uint64_t snapshot;
	uint32_t map_version;
	size_t total;	      /**< groups of the request */
	size_t answered;      /**< groups with a result */
	const str_t *missing; /**< names of total - answered groups */
	const hit_t *hits;
	size_t nhits;
	unsigned sent; /**< number of attempts sent */
	unsigned restarts;
	usec_t elapsed; /**< from request to answer, in microseconds */
} answer_t;

/** A daemon on the published list of hosts. */
typedef struct listed_daemon {
	str_t name;
	str_t dc;
	str_t peer; /**< IP:PORT of its peer socket */
	bool leaving;
	uint64_t id; /**< hash of the name; the core sets it */
} listed_daemon_t;

/** The published list of hosts. A higher version replaces a lower. */
typedef struct host_list {
	uint64_t version;
	listed_daemon_t *daemons;
	size_t ndaemons;
	str_t *leaving_upstreams; /**< addresses of leaving upstreams */
	size_t nleaving_upstreams;
} host_list_t;

/** Kinds of messages between daemons; the values are on the wire. */
typedef enum peer_kind {
	PEER_DIGEST,	      /**< the sender's versions; requests a reply */
	PEER_DIGEST_REPLY,    /**< versions of the replying daemon */
	PEER_PULL,	      /**< requests sections newer than a revision */
	PEER_DELTA,	      /**< sections newer than that revision */
	PEER_LIST_PULL,	      /**< requests the list of hosts */
	PEER_LIST,	      /**< the list of hosts */
	PEER_KEY_REQUEST,     /**< a keyed request, sent to its key's home */
	PEER_KEY_ANSWER,      /**< answer to PEER_KEY_REQUEST */
	PEER_FORWARD,	      /**< a query for groups the receiver holds */
	PEER_FORWARD_RESULTS, /**< results of groups: reply to PEER_FORWARD */
	PEER_MAX,
} peer_kind_t;

/** Result of one group of a forwarded query. */
typedef struct group_result {
	str_t group;
	uint64_t result; /**< result_t */
	uint64_t nheld;
	/** Snapshots that the group can serve. */
	snapshot_ref_t held[CORE_MAX_HELD_SNAPSHOTS];
	group_hits_t *group_hits; /**< with RES_OK; owned by the receiver */
} group_result_t;

/** One message; its kind determines which members are set. */
typedef struct peer_msg {
	peer_kind_t kind;
	str_t from;	    /**< name of the sending daemon */
	str_t reply_to;	    /**< peer address of the sender */
	uint64_t token;	    /**< chosen by the sender; replies repeat it */
	uint64_t revision;  /**< in force at the sender */
	uint64_t conf_hash; /**< of the sender's configuration */
	uint64_t list_version;
	int64_t list_age;     /**< microseconds; negative: never read */
	int64_t clock;	      /**< the sender's clock, in microseconds */
	uint64_t incarnation; /**< of the sender; PEER_KEY_REQUEST: receiver */
	int64_t expires_at;   /**< PEER_KEY_REQUEST: by the receiver's clock */
	str_t text;	      /**< a delta or the body of a request */
	host_list_t list;
	str_t service;
	str_t class_name;
	str_t route;
	str_t key;
	int64_t time_left; /**< microseconds until the deadline */
	uint64_t limit;
	uint64_t map_version;
	uint64_t snapshot;
	str_t *groups;
	size_t ngroups;
	group_result_t *group_results;
	size_t ngroup_results;
	/* The following belong to PEER_KEY_ANSWER. */
	uint64_t outcome;
	uint64_t why;
	uint64_t total;
	const hit_t *hits;
	size_t nhits;
} peer_msg_t;

/** Kinds of events. */
typedef enum ev_kind {
	EV_REQUEST,	   /**< a caller sent a request */
	EV_ATTEMPT_ENDED,  /**< an attempt ended */
	EV_WITHDRAW_ENDED, /**< reply to ACT_WITHDRAW: sent or dropped */
	EV_PROBE_ENDED,	   /**< a probe ended, with or without a reply */
	EV_LIST,	   /**< a list of hosts was received */
	EV_LIST_UNCHANGED, /**< the list was read and is unchanged */
	EV_LIST_FAILED,	   /**< the list could not be read */
	EV_CONF,	   /**< a valid configuration was received */
	EV_PEER,	   /**< a message from a daemon was received */
	EV_PEER_NOT_SENT,  /**< a message could not be sent */
	EV_TICK,	   /**< time passed; runs timers */
	EV_STOP,	   /**< a planned stop was requested */
	EV_MAX,
} ev_kind_t;

/** One event. The caller keeps ownership unless noted otherwise. */
typedef struct event {
	ev_kind_t kind;
	union {
		request_t request;
		struct {
			uint64_t aid;
			result_t result;
			evidence_t evidence;
			group_hits_t *group_hits; /**< owned by the core */
			bool connect_failed;	  /**< with RES_NOT_SENT */
		} attempt;
		struct {
			uint64_t aid;
			bool ok; /**< true: the attempt was not sent */
		} withdrawn;
		struct {
			str_t addr;
			bool ok; /**< true: the server replied */
			evidence_t evidence;
			usec_t at; /**< when the probe was sent */
		} probe;
		struct {
			const host_list_t *list;
			uint64_t version;
			usec_t at; /**< the list is no older than this */
		} list;
		conf_t *conf; /**< owned by the core until ACT_CONF_RELEASE */
		struct {
			peer_msg_t *msg; /**< the core owns its group_hits */
			void *body; /**< of a request; see ACT_BODY_RELEASE */
			uint64_t body_hash;
		} peer;
		struct {
			peer_kind_t kind; /**< of the unsent message */
			uint64_t token;
		} not_sent;
	};
} event_t;

/** Whether a daemon reads the platform. */
typedef enum read_mode {
	READ_OFF,   /**< no; peers send list and configuration */
	READ_ONCE,  /**< one read, then as READ_OFF */
	READ_WATCH, /**< watches it on behalf of its data centre */
} read_mode_t;

/** Kinds of actions that the caller of core_step() carries out. */
typedef enum act_kind {
	ACT_SEND,     /**< send an attempt to a server */
	ACT_WITHDRAW, /**< drop an unsent attempt; EV_WITHDRAW_ENDED follows */
	ACT_CANCEL,   /**< cancel an attempt whose result is not needed */
	ACT_ANSWER,   /**< answer a caller */
	ACT_SET_CONNECTIONS, /**< set the number of connections to a server */
	ACT_CONF,	     /**< a configuration came into force */
	ACT_CONF_RELEASE,    /**< free an unused configuration */
	ACT_BODY_RELEASE,    /**< free a body that came from a peer */
	ACT_PEER,	     /**< send a message to a daemon */
	ACT_SET_READ_MODE,   /**< set the read mode of the platform */
	ACT_LOG,	     /**< write a decision log line */
	ACT_MAX,
} act_kind_t;

/** Kinds of decisions in log lines. */
typedef enum decision {
	DEC_PIN,	  /**< a snapshot was chosen for a query */
	DEC_ROUTE,	  /**< a server was chosen for an attempt */
	DEC_WAIT,	  /**< a shard waits for a slot */
	DEC_SHARD_FAILED, /**< a group will be missing in the answer */
	DEC_RESTART,	  /**< a query restarts on another snapshot */
	DEC_ANSWER,	  /**< a query was answered */
	DEC_LEAVING,	  /**< a server gets no more requests */
	DEC_CONFIG,	  /**< a revision was adopted or rejected */
	DEC_PAUSE,	  /**< the process did not run for some time */
	DEC_HOLDER,	  /**< groups of a query go to a daemon */
	DEC_KEY_HOME,	  /**< home daemon of a request's key */
	DEC_READ,	  /**< the read mode of the platform changed */
	DEC_MAX,
} decision_t;

/** One decision with its inputs; fields that do not apply are 0. */
typedef struct decision_line {
	decision_t decision;
	why_t why;
	uint64_t qid;
	uint64_t aid;
	str_t service;
	str_t group;
	str_t addr;
	uint64_t snapshot;
	uint64_t n;   /**< candidates, groups, revision; depends on decision */
	double score; /**< expected time of the chosen server, in usec */
} decision_line_t;

/** One action. Its pointers are valid until the next core_step(). */
typedef struct act {
	act_kind_t kind;
	union {
		struct {
			uint64_t aid;
			str_t addr;
			str_t service;
			str_t group;
			str_t class_name;
			uint64_t snapshot;
			uint32_t map_version;
			usec_t send_by; /**< must not be sent later */
			usec_t deadline;
			unsigned limit;
			bool idempotent;
			void *body;
		} send;
		uint64_t aid;
		answer_t answer;
		struct {
			str_t addr;
			unsigned max; /**< connections; 0: close all */
		} connections;
		conf_t *conf;
		void *body;
		struct {
			str_t to;   /**< peer address */
			void *body; /**< to send as msg.text, or NULL */
			peer_msg_t msg;
		} peer;
		read_mode_t read_mode;
		decision_line_t log;
	};
} act_t;

/** The actions of one step, in order. Initialize with zeros. */
typedef struct acts {
	act_t *v;
	size_t n;
	size_t capacity;
} acts_t;

/** Frees the array and resets it to empty. */
void acts_free(acts_t *a);

/** Policies that choose a server of a group. */
typedef enum policy {
	POLICY_EXPECTED, /**< least expected time; the default */
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_LEAST,	    /**< fewest requests in flight */
	POLICY_TWO_CHOICES, /**< the less loaded of two random servers */
	POLICY_PACK,	    /**< the most used server, scored as in KEP-964 */
	POLICY_MAX,
} policy_t;

/** Parameters of core_new(), which copies the strings. */
typedef struct core_params {
	str_t name; /**< name of this daemon */
	str_t dc;
	str_t peer;   /**< IP:PORT of its peer socket */
	str_t *seeds; /**< peer addresses to use before the first list */
	size_t nseeds;
	uint64_t seed; /**< of the random number generator */
	policy_t policy;
	double hedge_quantile;	 /**< of the latency, 0 to 1; 0: no hedges */
	double hedge_budget;	 /**< hedges per first attempt */
	double retry_budget;	 /**< retries per first attempt */
	bool require_list_lease; /**< sending requires a recent list of hosts */
} core_params_t;

/** Sets the default parameters. */
void core_params_init(core_params_t *p);
/** Finds a policy by name; POLICY_MAX if there is none. */
policy_t policy_by_name(str_t name);
/** Returns the name of a policy, "?" if it is unknown. */
const char *policy_name(policy_t p);

/** Creates the state of one daemon; free it with core_free(). */
core_t *core_new(const core_params_t *p, usec_t now);
/** Handles an event at time now (usec) and appends actions to acts. */
void core_step(core_t *c, event_t *ev, usec_t now, acts_t *acts);
/** Returns the latest time for the next EV_TICK, in microseconds. */
usec_t core_next_tick(const core_t *c);
/** Frees the state; open queries get no answer. NULL is allowed. */
void core_free(core_t *c);

/** Counters since the start of the process. */
typedef enum counter {
	CNT_QUERIES,
	CNT_ANSWERED_COMPLETE,
	CNT_ANSWERED_PARTIAL,
	CNT_ANSWERED_NOT_RUN,
	CNT_ANSWERED_UNKNOWN,
	CNT_FIRST_ATTEMPTS,
	CNT_RETRIES,
	CNT_HEDGES,
	CNT_HEDGES_WON,
	CNT_SHED,
	CNT_SNAPSHOT_MISSING,
	CNT_LOST,
	CNT_MISMATCH,
	CNT_NOT_SENT,
	CNT_RESTARTS,
	CNT_LATE_RESULTS,
	CNT_BUDGET_DENIED,
	CNT_PAUSES,
	CNT_PEER_SENT,
	CNT_PEER_RECEIVED,
	CNT_FORWARDS,
	CNT_FORWARDED_GROUPS,
	CNT_KEYS_FORWARDED,
	CNT_KEY_DUPLICATES,
	CNT_MAX,
} counter_t;

/** Returns the name of a counter, "?" if it is unknown. */
const char *counter_name(counter_t k);
/** Returns the value of a counter. */
uint64_t core_counter(const core_t *c, counter_t k);

/** State of one server as this daemon estimates it. */
typedef struct upstream_report {
	str_t addr;
	str_t service;
	str_t group;
	str_t dc;
	bool leaving;
	unsigned inflight;	  /**< requests of this daemon */
	unsigned max_connections; /**< connections of this daemon */
	double limit;		  /**< most requests in flight */
	usec_t latency;		  /**< decaying mean, in usec; 0: unknown */
	usec_t evidence_age;	  /**< microseconds; negative: no evidence */
	uint64_t newest_snapshot; /**< newest reported snapshot */
	why_t state;	 /**< WHY_CHOSEN if usable, else why it is not */
	usec_t expected; /**< expected time of a request, in usec */
	unsigned rank;	 /**< rank in its group by expected time, from 1 */
} upstream_report_t;

/** State of the daemon. */
typedef struct core_report {
	uint64_t revision;
	uint64_t conf_hash;
	uint64_t list_version;
	usec_t list_age; /**< microseconds; negative: never read */
	bool ready;
	bool stopping;
	size_t open_queries;
	size_t open_attempts;
	size_t nupstreams;
	size_t ndaemons;   /**< daemons on the list */
	size_t nsuspected; /**< daemons with an overdue reply */
	read_mode_t read_mode;
} core_report_t;

/** Fills in the report for time now, in microseconds. */
void core_report(const core_t *c, usec_t now, core_report_t *r);
/** Fills in the report of server i, from 0; false if there is none. */
bool core_report_upstream(const core_t *c, size_t i, usec_t now,
			  upstream_report_t *r);

/** Returns the text of an outcome, "?" if it is unknown. */
const char *outcome_name(outcome_t o);
/** Returns the text of a reason, "?" if it is unknown. */
const char *why_name(why_t w);
/** Returns the text of a result, "?" if it is unknown. */
const char *result_name(result_t r);
/** Returns the text of a decision, "?" if it is unknown. */
const char *decision_name(decision_t d);

#endif
