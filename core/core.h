/**
 * @file core.h
 * The decisions of a daemon. One call, core_step(), takes an event and the
 * present time and appends the actions that follow. The core has no clock,
 * thread or socket; given the same events it returns the same actions.
 */
#ifndef CORE_H
#define CORE_H

#include "base.h"
#include "conf.h"

#define CORE_MAX_HELD 4 /**< snapshots that a server tells of */

/** The decisions' state; opaque. */
typedef struct core core_t;

/** How a request ended, for its caller. */
typedef enum outcome {
	OUT_COMPLETE, /**< every group answered */
	OUT_PARTIAL,  /**< enough groups answered for the class */
	OUT_NOT_RUN,  /**< no server ran any of it */
	OUT_UNKNOWN,  /**< it may have run; there is no usable answer */
	OUT_MAX,
} outcome_t;

/** Reasons in answers and in decision lines. */
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
	WHY_NO_SNAPSHOT,
	WHY_STOPPING,
	WHY_OVERLOAD,
	WHY_NOT_SENT,
	WHY_SHED,
	WHY_MISS,
	WHY_LOST,
	WHY_CROSSED,
	WHY_ERROR,
	WHY_LEAVING,
	WHY_STALE_LIST,
	WHY_DUPLICATE,
	WHY_KEY_HOME_AWAY,
	WHY_KEY_HOME_NEW,
	WHY_PAUSED,
	WHY_BUDGET,
	WHY_LOWER_REVISION,
	WHY_SAME_REVISION,
	WHY_NEWER_REVISION,
	WHY_KEY_REUSED,
	WHY_FORWARDED,
	WHY_MAX,
} why_t;

/** What became of an attempt. */
typedef enum result {
	RES_OK,	       /**< the part is here */
	RES_NOT_SENT,  /**< nothing was sent */
	RES_SHED,      /**< the server refused before running it */
	RES_MISS,      /**< the server lacks the snapshot or map; not run */
	RES_LOST,      /**< sent, no reply */
	RES_CROSSED,   /**< the reply was another request's */
	RES_ERROR,     /**< the server ran into an error */
	RES_CANCELLED, /**< the server stopped it on our word */
	RES_MAX,
} result_t;

/** One hit of an answer. */
typedef struct hit {
	double score;
	str_t id;
	str_t text; /**< the hit as the server wrote it */
} hit_t;

/** The hits of one group, the highest score first. */
typedef struct part {
	arena_t mem;
	hit_t *hits;
	size_t nhits;
} part_t;

/** Makes an empty part. */
part_t *part_new(void);
/** Frees a part; NULL is allowed. */
void part_free(part_t *p);
/** Sorts the hits as merging needs them. */
void part_sort(part_t *p);

/** A snapshot of the index under one version of the partition map. */
typedef struct holding {
	uint32_t map;
	uint64_t snapshot;
} holding_t;

/** What a server told of itself on a reply or a probe. */
typedef struct evidence {
	bool valid; /**< the server spoke at all */
	bool draining;
	unsigned slots;
	unsigned busy;
	unsigned queued;
	size_t nheld;
	holding_t held[CORE_MAX_HELD];
} evidence_t;

/** A caller's request. The strings are copied. */
typedef struct request {
	str_t service;
	str_t class_name;
	str_t route;	 /**< which group, for classes of scope "one" */
	str_t key;	 /**< Idempotency-Key, or empty */
	usec_t deadline; /**< time left, 0 for the class's own */
	unsigned limit;	 /**< most hits wanted */
	void *body;	 /**< handed back in ACT_SEND and ACT_PEER */
	uint64_t body_hash;
	void *caller; /**< handed back in ACT_ANSWER */
} request_t;

/** An answer, valid until the next core_step(). */
typedef struct answer {
	uint64_t qid;
	void *caller;
	outcome_t outcome;
	why_t why;
	str_t service;
	str_t class_name;
	uint64_t snapshot;
	uint32_t map;
	size_t total;
	size_t answered;
	const str_t *missing; /**< names of groups, total - answered */
	const hit_t *hits;
	size_t nhits;
	unsigned sent; /**< attempts sent for it */
	unsigned restarts;
	usec_t took;
} answer_t;

/** A daemon on the published list. */
typedef struct member {
	str_t name;
	str_t dc;
	str_t peer; /**< IP:PORT of its peer socket */
	bool leaving;
	uint64_t id; /**< hash of the name; set by the core */
} member_t;

/** The published list of hosts. */
typedef struct host_list {
	uint64_t version;
	member_t *daemons;
	size_t ndaemons;
	str_t *leaving; /**< addresses of leaving upstreams */
	size_t nleaving;
} host_list_t;

/** Messages between daemons. */
typedef enum peer_kind {
	PEER_DIGEST, /**< what I know; please say what you know */
	PEER_DIGEST_REPLY,
	PEER_PULL, /**< send me what is newer than my revision */
	PEER_DELTA,
	PEER_LIST_PULL, /**< send me your list of hosts */
	PEER_LIST,
	PEER_KEYED,   /**< run a request of a key that is yours */
	PEER_ANSWER,  /**< the answer to PEER_KEYED */
	PEER_FORWARD, /**< ask the groups that you hold */
	PEER_PARTS,   /**< results of groups of PEER_FORWARD */
	PEER_MAX,
} peer_kind_t;

/** What became of one group of a forwarded query. */
typedef struct peer_part {
	str_t group;
	uint64_t result; /**< result_t */
	uint64_t nheld;
	holding_t held[CORE_MAX_HELD]; /**< that the group can serve */
	part_t *part;		       /**< with RES_OK; the receiver's */
} peer_part_t;

/** One message; which members it has depends on its kind. */
typedef struct peer_msg {
	peer_kind_t kind;
	str_t from;	    /**< name of the daemon that sends */
	str_t reply_to;	    /**< its peer address */
	uint64_t token;	    /**< of the sender's; a reply returns it */
	uint64_t revision;  /**< in force there */
	uint64_t conf_hash; /**< of the configuration in force */
	uint64_t list_version;
	int64_t list_age;     /**< microseconds, below 0: never read */
	int64_t clock;	      /**< the sender's, in microseconds */
	uint64_t incarnation; /**< of the sender, or of who is meant */
	int64_t expires;      /**< by the clock of who is meant */
	str_t text;	      /**< a delta, or the body of a request */
	host_list_t list;
	str_t service;
	str_t class_name;
	str_t route;
	str_t key;
	int64_t left; /**< time left, in microseconds */
	uint64_t limit;
	uint64_t map;
	uint64_t snapshot;
	str_t *groups;
	size_t ngroups;
	peer_part_t *parts;
	size_t nparts;
	/* Of an answer. */
	uint64_t outcome;
	uint64_t why;
	uint64_t total;
	const hit_t *hits;
	size_t nhits;
} peer_msg_t;

/** What happened. */
typedef enum ev_kind {
	EV_REQUEST,	/**< a caller asks */
	EV_ATTEMPT,	/**< an attempt ended */
	EV_WITHDRAWN,	/**< whether a withdrawal came before sending */
	EV_PROBE,	/**< a server answered, or not, to a probe */
	EV_LIST,	/**< a list of hosts was read */
	EV_LIST_SAME,	/**< the list was read and is unchanged */
	EV_LIST_FAILED, /**< the platform did not answer */
	EV_CONF,	/**< a valid configuration is here */
	EV_PEER,	/**< another daemon sent a message */
	EV_PEER_FAILED, /**< a message with that token was not sent */
	EV_TICK,	/**< time went by */
	EV_STOP,	/**< a planned stop was asked */
	EV_MAX,
} ev_kind_t;

/** One event. Pointers are borrowed unless said otherwise. */
typedef struct event {
	ev_kind_t kind;
	union {
		request_t request;
		struct {
			uint64_t aid;
			result_t result;
			evidence_t evidence;
			part_t *part; /**< taken over by the core */

			bool connect_failed; /**< with RES_NOT_SENT */
		} attempt;
		struct {
			uint64_t aid;
			bool ok;
		} withdrawn;
		struct {
			str_t addr;
			bool ok;
			evidence_t evidence;
			usec_t at; /**< when the probe was sent */
		} probe;
		struct {
			const host_list_t *list;
			uint64_t version;
			usec_t at; /**< the word is no older */
		} list;
		conf_t *conf; /**< taken over, back in ACT_CONF_DROP */
		struct {
			peer_msg_t *msg; /**< its parts are taken over */
			void *body; /**< of a request; back in ACT_BODY_DROP */
			uint64_t body_hash;
		} peer;
		struct {
			peer_kind_t kind; /**< tokens differ by kind */
			uint64_t token;
		} failed;
	};
} event_t;

/** How a daemon reads the platform. */
typedef enum read_mode {
	READ_OFF,   /**< peers tell it */
	READ_ONCE,  /**< one read, then off */
	READ_WATCH, /**< it watches for the others too */
} read_mode_t;

/** What is to be done. */
typedef enum act_kind {
	ACT_SEND,      /**< send an attempt */
	ACT_WITHDRAW,  /**< stop it if unsent; EV_WITHDRAWN follows */
	ACT_CANCEL,    /**< its answer is not needed any more */
	ACT_ANSWER,    /**< answer a caller */
	ACT_POOL,      /**< a server's number of connections */
	ACT_CONF,      /**< a configuration came in force */
	ACT_CONF_DROP, /**< no query uses this configuration now */
	ACT_BODY_DROP, /**< a body from a peer is not needed any more */
	ACT_PEER,      /**< send a message to a daemon */
	ACT_READ,      /**< how to read the platform */
	ACT_LOG,       /**< a decision line */
	ACT_MAX,
} act_kind_t;

/** What kind of decision a line tells of. */
typedef enum decision {
	DEC_PIN,	  /**< a snapshot for a query */
	DEC_ROUTE,	  /**< a server for an attempt */
	DEC_WAIT,	  /**< an attempt waits for a slot */
	DEC_SHARD_FAILED, /**< a group will be missing */
	DEC_RESTART,	  /**< a query starts over on another snapshot */
	DEC_ANSWER,	  /**< how a query ended */
	DEC_LEAVING,	  /**< a server takes no more work */
	DEC_CONFIG,	  /**< a revision was taken or refused */
	DEC_PAUSE,	  /**< this process was stopped for a time */
	DEC_HOLDER,	  /**< a daemon for groups of a query */
	DEC_KEY_HOME,	  /**< a daemon for a request's key */
	DEC_READ,	  /**< how this daemon reads the platform */
	DEC_MAX,
} decision_t;

/** One decision with its inputs. */
typedef struct decision_line {
	decision_t what;
	why_t why;
	uint64_t qid;
	uint64_t aid;
	str_t service;
	str_t group;
	str_t addr;
	uint64_t snapshot;
	uint64_t n;   /**< candidates, groups or a revision */
	double score; /**< of the choice: expected time in microseconds */
} decision_line_t;

/** One action. Pointers are valid until the next core_step(). */
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
			uint32_t map;
			usec_t send_by; /**< not to be sent after */
			usec_t deadline;
			unsigned limit;
			bool idempotent;
			void *body;
		} send;
		uint64_t aid;
		answer_t answer;
		struct {
			str_t addr;
			unsigned cap; /**< 0: close all */
		} pool;
		conf_t *conf;
		void *body;
		struct {
			str_t to;   /**< peer address */
			void *body; /**< to be sent as the text, or NULL */
			peer_msg_t msg;
		} peer;
		read_mode_t read;
		decision_line_t log;
	};
} act_t;

/** The actions of one step, in order. Zero it once before use. */
typedef struct acts {
	act_t *v;
	size_t n;
	size_t room;
} acts_t;

/** Frees the array. */
void acts_free(acts_t *a);

/** Names of replica policies, in the order of their table. */
typedef enum policy {
	POLICY_EXPECTED, /**< least expected time; the default */
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_LEAST, /**< least in flight */
	POLICY_TWO,   /**< two random choices, the less loaded */
	POLICY_PACK,  /**< broad work to the most used, as KEP-964 scores it */
	POLICY_MAX,
} policy_t;

/** What a core is made with. */
typedef struct core_params {
	str_t name; /**< of this daemon */
	str_t dc;
	str_t peer;   /**< its peer address */
	str_t *seeds; /**< peer addresses to ask before there is a list */
	size_t nseeds;
	uint64_t seed;
	policy_t policy;
	double hedge_quantile; /**< 0 for no hedges */
	double hedge_budget;   /**< hedges per first attempt */
	double retry_budget;   /**< retries per first attempt */
	bool list_lease;       /**< whether sending needs a recent list */
} core_params_t;

/** Fills in the defaults that ship. */
void core_params_init(core_params_t *p);
/** Finds a policy by name; POLICY_MAX if there is none. */
policy_t policy_by_name(str_t name);
/** The name of a policy. */
const char *policy_name(policy_t p);

/** Makes the state of one daemon. */
core_t *core_new(const core_params_t *p, usec_t now);
/** Takes an event at a time and appends what is to be done. */
void core_step(core_t *c, event_t *ev, usec_t now, acts_t *acts);
/** When core_step() wants the next EV_TICK at the latest. */
usec_t core_next(const core_t *c);
/** Frees the state; queries still open are dropped. */
void core_free(core_t *c);

/** Counters, read by reports. */
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
	CNT_MISS,
	CNT_LOST,
	CNT_CROSSED,
	CNT_NOT_SENT,
	CNT_RESTARTS,
	CNT_LATE,
	CNT_BUDGET_DENIED,
	CNT_PAUSES,
	CNT_PEER_SENT,
	CNT_PEER_RECEIVED,
	CNT_FORWARDS,
	CNT_FORWARDED_GROUPS,
	CNT_KEYED_AWAY,
	CNT_KEY_DUPLICATES,
	CNT_MAX,
} counter_t;

/** The name of a counter, as reports print it. */
const char *counter_name(counter_t k);
/** The value of a counter. */
uint64_t core_counter(const core_t *c, counter_t k);

/** What one server looks like from here. */
typedef struct upstream_report {
	str_t addr;
	str_t service;
	str_t group;
	str_t dc;
	bool leaving;
	unsigned inflight;
	unsigned cap;
	double limit;
	usec_t latency;
	usec_t evidence_age; /**< below 0: never heard of */
	uint64_t newest;     /**< newest snapshot it tells of */
	why_t state; /**< WHY_CHOSEN if it may be, else what is against it */
	usec_t expected; /**< time that a request would take */
	unsigned order;	 /**< in its group by expected time, from 1 */
} upstream_report_t;

/** The daemon as a whole. */
typedef struct core_report {
	uint64_t revision;
	uint64_t conf_hash;
	uint64_t list_version;
	usec_t list_age; /**< below 0: never read */
	bool ready;
	bool stopping;
	size_t open_queries;
	size_t open_attempts;
	size_t nupstreams;
	size_t nmembers;   /**< daemons on the list */
	size_t nsuspected; /**< of them, those not heard of for long */
	read_mode_t read;
} core_report_t;

/** Fills in the report. */
void core_report(const core_t *c, usec_t now, core_report_t *r);
/** Fills in the report of the i-th server; false past the end. */
bool core_report_upstream(const core_t *c, size_t i, usec_t now,
			  upstream_report_t *r);

/** Texts of the enums, for logs and answers. */
const char *outcome_name(outcome_t o);
/** The text of a reason. */
const char *why_name(why_t w);
/** The text of a result. */
const char *result_name(result_t r);
/** The text of a decision. */
const char *decision_name(decision_t d);

#endif
