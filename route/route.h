/**
 * @file route.h
 * Decisions about routed requests: which route a request takes, which server
 * of which service gets it, when another send is worth its cost, what waits
 * and what is refused, and what the caller is told.
 *
 * Nothing here reads a clock, opens a socket or starts a thread. Each call
 * takes the present time; what is to be done is fetched with rt_next_act().
 */
#ifndef ROUTE_H
#define ROUTE_H

#include "base.h"
#include "routes.h"

/** A server as the registry publishes it. */
typedef struct rt_entry {
	str_t id; /**< of one server; told to it with each request */
	str_t service;
	str_t addr; /**< IP:PORT */
	str_t dc;
	unsigned slots;	      /**< requests that it works on at once */
	bool draining;	      /**< it takes no new work */
	usec_t warm_left;     /**< how much longer it is slow after its start */
	uint64_t incarnation; /**< start of the process, rises; 0: not told */
	uint64_t report;      /**< rises with each word of one process */
} rt_entry_t;

/** What became of one send to a server. */
typedef enum rt_result {
	RT_ANSWERED, /**< a whole successful answer to this request */
	RT_FAILED,   /**< a whole answer that tells of a failure; it ran */
	RT_NOT_RUN,  /**< the server says that it did not run the request */
	RT_MOVED,    /**< another server has that address; it did not run it */
	RT_NOT_SENT, /**< no byte of it was sent */
	RT_LOST,     /**< sent, and no whole answer came */
	RT_RESULT_MAX,
} rt_result_t;

/** A server's answer; the caller of rt_ended() hands over one reference. */
typedef struct rt_reply {
	unsigned refs;
	unsigned status;
	str_t stamp; /**< proof of which server ran what; may be empty */
	str_t head;  /**< header lines for the caller, ends with CRLF */
	str_t body;  /**< owned */
	void *mem;   /**< behind stamp and head; freed with free() */
} rt_reply_t;

/** Adds a reference. */
rt_reply_t *rt_reply_ref(rt_reply_t *r);
/** Drops a reference; NULL is allowed. */
void rt_reply_unref(rt_reply_t *r);

/** Why something was decided. */
typedef enum rt_why {
	RT_WHY_NONE,
	RT_WHY_FIRST,	  /**< first send of a request or shard */
	RT_WHY_RETRY,	  /**< after a failed send */
	RT_WHY_HEDGE,	  /**< the first send is late */
	RT_WHY_PROBE,	  /**< to learn whether a server is well again */
	RT_WHY_NO_CONFIG, /**< no configuration is known yet */
	RT_WHY_NO_ROUTE,  /**< no route has that host and path */
	RT_WHY_NO_SERVER, /**< no server of a service may be used */
	RT_WHY_OVERLOAD,  /**< what waits already takes the time there is */
	RT_WHY_DEADLINE,  /**< the time is over */
	RT_WHY_OBJECTIVE, /**< answered with what there is, in time */
	RT_WHY_COVERAGE,  /**< too few shards can still answer */
	RT_WHY_BUDGET,	  /**< further sends would load the service too much */
	RT_WHY_COMPLETE,
	RT_WHY_LEFT,	/**< the caller closed its connection */
	RT_WHY_NOT_RUN, /**< servers refused it */
	RT_WHY_LOST,	/**< no whole answer came */
	RT_WHY_FAILED,	/**< the server ran it and failed */
	RT_WHY_SLOW,	/**< a server answers late */
	RT_WHY_DRAINING,
	RT_WHY_GONE,
	RT_WHY_NEW,
	RT_WHY_MOVED,
	RT_WHY_WELL,	    /**< a suspect server answered again */
	RT_WHY_OLD_WORD,    /**< said earlier than what is known */
	RT_WHY_STOOD_STILL, /**< the host was frozen or suspended */
	RT_WHY_LAPSED,	    /**< it left the registry while that was away */
	RT_WHY_MAX,
} rt_why_t;

/** The text of a reason, for logs and answers. */
const char *rt_why_name(rt_why_t w);
/** The text of a result. */
const char *rt_result_name(rt_result_t r);

/** What a caller is told. */
typedef enum rt_outcome {
	RT_OUT_PASS,	/**< one server's answer, unchanged */
	RT_OUT_MERGED,	/**< records of the parts */
	RT_OUT_NOT_RUN, /**< nothing ran and nothing will */
	RT_OUT_UNKNOWN, /**< it may have run; no usable answer came */
	RT_OUT_TIMEOUT, /**< as unknown; the time is over */
	RT_OUT_NO_ROUTE,
	RT_OUT_MAX,
} rt_outcome_t;

/** The text of an outcome. */
const char *rt_outcome_name(rt_outcome_t o);

/** A caller's request; the strings are copied where they are kept. */
typedef struct rt_request {
	void *caller; /**< handed back with each action */
	str_t id;     /**< as the caller named it, for logs */
	str_t host;
	str_t path;
	usec_t left; /**< time that the caller waits; 0: not told */
} rt_request_t;

/** An answer to a caller. */
typedef struct rt_answer {
	void *caller;
	rt_outcome_t outcome;
	rt_why_t why;
	rt_reply_t *reply;   /**< of RT_OUT_PASS; borrowed */
	const str_t *stamps; /**< of RT_OUT_MERGED; of the parts in it */
	size_t nstamps;
	size_t missing;	    /**< shards that are not in it */
	str_t body;	    /**< merged records, owned by the core */
	usec_t retry_after; /**< of RT_OUT_NOT_RUN; 0: not known */
} rt_answer_t;

/** What is to be done. */
typedef enum rt_act_kind {
	RT_ACT_SEND,	/**< send a request to a server */
	RT_ACT_CANCEL,	/**< break a send off; no rt_ended() follows */
	RT_ACT_ANSWER,	/**< answer a caller */
	RT_ACT_OPEN,	/**< keep connections to a server open */
	RT_ACT_CLOSE,	/**< a server is gone: close what is idle */
	RT_ACT_TELL,	/**< tell neighbours that a server is slow or well */
	RT_ACT_CONFIRM, /**< ask the registry at once; rt_release() follows */
	RT_ACT_LOG,
	RT_ACT_MAX,
} rt_act_kind_t;

/** A line of the log. */
typedef struct rt_line {
	const char *what;
	rt_why_t why;
	str_t id; /**< of the request */
	str_t service;
	str_t server;	    /**< its id */
	rt_result_t result; /**< of a reply; else RT_RESULT_MAX */
	uint64_t n;	    /**< candidates, shards or a version; by what */
	usec_t value;	    /**< expected or taken time; by what */
	usec_t age; /**< of what is believed of the server; below 0: none */
	uint64_t version; /**< of the configuration that the request has */
	bool failure;	  /**< of a request that fails, or a changed belief */
} rt_line_t;

/** One action; what it points to lasts until the next rt_next_act(). */
typedef struct rt_act {
	rt_act_kind_t kind;
	union {
		struct {
			uint64_t aid;
			uint64_t server; /**< number of the server */
			str_t server_id;
			str_t addr;
			void *caller;
			usec_t deadline; /**< of this send */
			bool once;	 /**< it must not run twice */
		} send;
		uint64_t aid;
		rt_answer_t answer;
		struct {
			uint64_t server;
			str_t addr;
			unsigned warm; /**< connections to open early */
			bool keep;     /**< keep them while they are idle */
		} server;
		struct {
			str_t server_id;
			double pace;	/**< its time over the usual time */
			double failing; /**< share of sends that fail, 0 to 1 */
		} tell;
		rt_line_t line;
	};
} rt_act_t;

/** The state of the decisions; opaque. */
typedef struct rt rt_t;

/** How a server is chosen. */
typedef enum rt_policy {
	RT_POLICY_EXPECTED, /**< least expected time; the default */
	RT_POLICY_RANDOM,
	RT_POLICY_ROUND_ROBIN,
	RT_POLICY_LEAST, /**< least in flight */
	RT_POLICY_TWO,	 /**< the less loaded of two random ones */
	RT_POLICY_MAX,
} rt_policy_t;

/** What the decisions are made with. */
typedef struct rt_params {
	str_t dc;
	uint64_t seed;
	rt_policy_t policy;
	unsigned fleet;	      /**< hosts that share limits and budgets */
	double extra_share;   /**< further sends per first send, all hosts */
	unsigned extra_fixed; /**< further sends a window, all hosts */
	usec_t extra_window;
	usec_t caller_link; /**< allowance for the way back to a caller */
} rt_params_t;

/** Fills in the defaults that ship. */
void rt_params_init(rt_params_t *p);
/** Finds a policy by name; RT_POLICY_MAX if there is none. */
rt_policy_t rt_policy_by_name(str_t name);

/** Makes the state. */
rt_t *rt_new(const rt_params_t *p, usec_t now);
/** Frees it; open requests are dropped. */
void rt_free(rt_t *rt);
/** Sets how many hosts share limits and budgets. */
void rt_fleet(rt_t *rt, unsigned hosts);
/** Changes what decisions are made with; data centre and seed stay. */
void rt_set_params(rt_t *rt, const rt_params_t *p);
/** Brings a configuration in force if its version is higher; takes it over. */
bool rt_adopt(rt_t *rt, rt_conf_t *c, usec_t now);
/** The configuration in force, or NULL. */
const rt_conf_t *rt_conf(const rt_t *rt);
/** A server is published, or its entry changed. */
void rt_entry(rt_t *rt, const rt_entry_t *e, usec_t now);
/** A server is not published any more. */
void rt_gone(rt_t *rt, str_t id, usec_t now);
/** A neighbour tells how fast a server answers, and what share it fails. */
void rt_told(rt_t *rt, str_t server_id, double pace, double failing,
	     usec_t now);
/**
 * The loop turns; to be called before what came meanwhile is handled. After a
 * sleep beliefs may be old: RT_ACT_CONFIRM follows, and nothing is sent until
 * rt_release(), or for a short time: without the registry old ones must do.
 */
void rt_awake(rt_t *rt, usec_t now);
/** The registry confirmed what is believed. */
void rt_release(rt_t *rt, usec_t now);
/** Whether the registry answers. */
void rt_registry(rt_t *rt, bool up, usec_t now);
/**
 * Another host tells when the registry came back after it was away: what
 * leaves it soon after that may have lapsed.
 */
void rt_registry_was_back(rt_t *rt, usec_t at);
/** How long ago it came back, as far as is known; below 0: never. */
usec_t rt_registry_back(const rt_t *rt, usec_t now);

/** A caller asks; an RT_ACT_ANSWER follows, at once or later. */
void rt_request(rt_t *rt, const rt_request_t *r, usec_t now);
/** The caller is gone: what runs for it is broken off, no answer follows. */
void rt_left(rt_t *rt, void *caller, usec_t now);
/** A send ended; takes over the reply, which may be NULL. */
void rt_ended(rt_t *rt, uint64_t aid, rt_result_t r, rt_reply_t *reply,
	      usec_t now);
/** Time went by. */
void rt_tick(rt_t *rt, usec_t now);
/** When rt_tick() is wanted at the latest. */
usec_t rt_next(const rt_t *rt);
/** Requests that have no answer yet. */
size_t rt_open(const rt_t *rt);
/** Takes the next action; false when there is none. */
bool rt_next_act(rt_t *rt, rt_act_t *act);

/** What is believed of a server; strings are borrowed. */
typedef struct rt_server_report {
	str_t id;
	str_t service;
	str_t addr;
	str_t dc;
	const char *state; /**< well, late, slow, avoided, lapsed, leaving */
	bool leaving;
	unsigned inflight;
	unsigned connections; /**< that this host may have to it */
	double pace;	      /**< its time over the usual time */
	double failing;	      /**< share of sends that fail, 0 to 1 */
	usec_t age;	      /**< of the last evidence; below 0: none */
	unsigned order;	      /**< among its service by cost, from 1 */
} rt_server_report_t;

/** Reports the i-th server; false past the end. */
bool rt_report_server(const rt_t *rt, size_t i, usec_t now,
		      rt_server_report_t *r);

/** Counters. */
typedef enum rt_counter {
	RT_CNT_REQUESTS,
	RT_CNT_PASSED,
	RT_CNT_COMPLETE,
	RT_CNT_PARTIAL,
	RT_CNT_REFUSED,
	RT_CNT_UNKNOWN,
	RT_CNT_NO_ROUTE,
	RT_CNT_LEFT,
	RT_CNT_FIRST,
	RT_CNT_RETRIES,
	RT_CNT_HEDGES,
	RT_CNT_HEDGES_WON,
	RT_CNT_PROBES,
	RT_CNT_NO_BUDGET,
	RT_CNT_WAITED,
	RT_CNT_MAX,
} rt_counter_t;

/** The name of a counter, in the form of a metric. */
const char *rt_counter_name(rt_counter_t k);
/** The value of a counter. */
uint64_t rt_counter(const rt_t *rt, rt_counter_t k);

/** Upper bounds of the parts of a histogram, in microseconds. */
#define RT_HIST_PARTS 14
extern const usec_t rt_hist_bounds[RT_HIST_PARTS];

/** Times counted by parts; the last part has no upper bound. */
typedef struct rt_hist {
	uint64_t count[RT_HIST_PARTS + 1];
	uint64_t total;
	usec_t sum;
} rt_hist_t;

/** Requests by outcome, from arrival to answer. */
const rt_hist_t *rt_hist_requests(const rt_t *rt, rt_outcome_t o);
/** Sends by result, from send to reply. */
const rt_hist_t *rt_hist_sends(const rt_t *rt, rt_result_t r);
/** Time that shards waited for a server with room. */
const rt_hist_t *rt_hist_waits(const rt_t *rt);

/** Writes the greatest records of the bodies, greatest first. */
size_t rt_merge(const str_t *bodies, size_t n, size_t record, size_t top,
		char *out);

#endif
