/** @file libroute.h Shared by the files of route/ only. */
#ifndef LIBROUTE_H
#define LIBROUTE_H

#include "route.h"

/* Servers of one service that a choice considers; the rest are ignored. */
#define RT_MAX_CANDIDATES 256
/* Buckets into which the budget window (rt_params_t.extra_sends_window) is
 * split. */
#define RT_WINDOW_BUCKETS 20
/* Priorities of routes whose demand is told apart; the last one stands for all
 * that are less urgent. */
#define RT_DEMAND_LEVELS 4

/* Table of the costs of requests, 3 KB: sets of entries with the same hash. */
#define RT_CLASS_SETS 32
#define RT_CLASS_WAYS 4
#define RT_CLASS_KEYS 3 /* of a request: ever more of its properties */

/* Work of requests with the same properties. */
typedef struct rt_class {
	uint64_t key;	/* hash of the route and the properties */
	usec_t at;	/* time of the last answer */
	float log_work; /* moving average of its binary logarithm, of us */
	uint32_t n;	/* answers, less those that others displaced */
} rt_class_t;

/* Latency statistics of a route, kept across configuration versions. */
typedef struct rt_stat {
	str_t name;	      /* name of the route; owned */
	usec_t mean;	      /* moving average, outliers capped */
	usec_t late_limit;    /* quantile that few latencies exceed */
	usec_t hedge_latency; /* latency quantile of hedged sends; 0: none
				 answered */
	uint64_t nsamples;
	usec_t answered_at; /* time of the last answer */
	double work; /* moving average over all requests, in microseconds */
	uint32_t nwork;
} rt_stat_t;

/* Sends to a service over a sliding window. The rings of buckets hold two
 * windows, so that an earlier window can be counted too. */
typedef struct rt_budget {
	uint32_t first[RT_WINDOW_BUCKETS * 2]; /* first sends */
	uint32_t extra[RT_WINDOW_BUCKETS * 2]; /* retries, hedges and probes */
	int64_t newest; /* number of the newest bucket, counted from time 0 */
	usec_t bucket_time; /* length of a bucket; 0: none was used yet */
} rt_budget_t;

/* A server and this host's estimate of its speed and failures. */
typedef struct rt_server {
	uint64_t num; /* key in rt->server_nums */
	str_t id;     /* owned */
	str_t addr;   /* IP:PORT; owned */
	str_t dc;     /* owned */
	struct rt_svc *svc;
	uint64_t incarnation; /* as in rt_entry_t */
	uint64_t report;      /* as in rt_entry_t */
	unsigned slots;	      /* requests that it processes at once */
	bool same_dc;	      /* it is in this host's data centre */
	uint64_t affinity;    /* differs by host; see rt_affinity.c */
	bool draining;	     /* it gets no new requests, but see rt_leaving.c */
	usec_t serves_until; /* a draining server may stand in until then */
	bool removed;	     /* freed once no send to it is in flight */
	bool evacuated;	     /* its data centre is evacuated */
	usec_t lapsed_at;    /* end of the registry outage in which its lease
			expired; 0: not lapsed */
	usec_t warmup_until; /* it is cold until then, by its entry */
	usec_t said_cold_until; /* the same, by its answers */
	int64_t warmup_slot;	/* slot of time of its last limited send */
	unsigned warmup_taken;	/* limited sends in that slot */
	unsigned inflight;
	unsigned nlate; /* sends in flight that are over the late limit */
	struct rt_attempt *attempts; /* in flight, newest first */
	double pace;	    /* its latency over the mean of the route */
	usec_t evidence_at; /* time of the last evidence: a result or silence of
			       an own send, or a report of a host; 0: none */
	double failing;	    /* moving average of failed sends, 0 to 1 */
	unsigned fail_streak;
	usec_t avoid_until;  /* it is avoided until then after failures */
	usec_t probed_at;    /* time of the last probe */
	usec_t paused_until; /* it asked for no requests until then */
	rt_load_t load;	     /* that it reported last */
	usec_t load_at;	     /* time of that report; 0: none */
	double others;	     /* requests of other hosts by that report */
	double others_mean;  /* moving average of others */
	double speed_mean;   /* the same of the reported speed; 0: none */
} rt_server_t;

/* The last report of a removed server, kept to recognise older reports. */
typedef struct rt_removed {
	str_t id; /* owned */
	uint64_t incarnation;
	uint64_t report;
	bool draining;
	usec_t paused_until;
	usec_t at; /* time of the removal */
} rt_removed_t;

/* A data centre whose evacuation is published. */
typedef struct rt_evacuation {
	str_t dc;	 /* owned */
	bool known;	 /* a server was known there, or this host is in it */
	usec_t check_at; /* then it is logged if it isn't known; 0: it was */
	usec_t withdraw_at; /* unless it is published again; 0: published */
} rt_evacuation_t;

/* A service, kept across configuration versions. */
typedef struct rt_svc {
	str_t name;	      /* owned */
	unsigned connections; /* connections that a server accepts from all
				 hosts */
	double warmup_per_s;  /* as in rt_service_t */
	rt_server_t **v;
	size_t n;
	size_t capacity;
	uint64_t next_turn; /* counter of the round-robin policy */
	rt_budget_t budget;
	struct rt_shard *wait_head; /* queue of waiting shards, by urgency */
	struct rt_shard *wait_tail;
	size_t nwaiting;
	usec_t mean_latency; /* moving average over all routes; 0: none */
	usec_t latency_at;   /* time of its last update */
	double work; /* moving average of the work of sends; 0: not known */
	/* Work that this host's callers ask for at the same time, by priority
	 * of the route: an exponential moving average. */
	double demand[RT_DEMAND_LEVELS];
	usec_t demand_at; /* time of its last update */
	/* Moving averages over answers of servers that report their load: x:
	 * others' requests per slot, y: latency over that expected without
	 * them; see rt_load.c. */
	struct {
		double x, y, xx, xy;
	} told;
	bool scarce; /* as logged last */
} rt_svc_t;

/* A configuration with the services and statistics of its routes. */
typedef struct rt_view {
	rt_conf_t *conf;
	rt_svc_t **svcs;   /* in the order of conf->services */
	rt_stat_t **stats; /* in the order of conf->routes */
	double **
		credit; /* per route: credit of each weighted target, or NULL */
	unsigned refs;
} rt_view_t;

typedef enum rt_shard_state {
	RT_SH_IDLE,    /* to be started, or between two sends */
	RT_SH_WAITING, /* queued until a server has capacity */
	RT_SH_SENT,    /* at least one send is in flight */
	RT_SH_DONE,
	RT_SH_FAILED,
} rt_shard_state_t;

/* The part of a request that one service answers. */
typedef struct rt_shard {
	struct rt_query *q;
	rt_svc_t *svc;
	rt_shard_state_t state;
	unsigned ninflight;
	uint64_t inflight[RT_MAX_INFLIGHT]; /* ids of attempts */
	unsigned may_have_run; /* sends that a server may have run */
	unsigned sends;
	bool in_budget;	   /* the budget counts it, as one first send */
	bool first_sent;   /* a send may have reached a server */
	uint64_t tried[4]; /* numbers of the servers sent to last */
	unsigned ntried;
	rt_why_t why; /* reason of the last failure */
	rt_reply_t *reply;
	usec_t hedge_at;      /* time of the hedge timer; 0: none */
	usec_t retry_at;      /* time of the next start; 0: none */
	usec_t waiting_since; /* time at which it was queued */
	struct rt_shard *prev;
	struct rt_shard *next;
} rt_shard_t;

/* A request of a caller. */
typedef struct rt_query {
	uint64_t num; /* key in rt->queries */
	void *caller;
	str_t id; /* owned */
	rt_view_t *view;
	const rt_route_t *route;
	rt_stat_t *stat;
	usec_t arrived_at;
	usec_t deadline;
	usec_t soft_deadline; /* an incomplete answer is accepted after it */
	usec_t next_at;	      /* time of the next timer */
	double cost;	      /* its work over the mean of the route */
	uint64_t keys[RT_CLASS_KEYS]; /* in rt->classes; 0: not classified */
	usec_t shortfall; /* longest time by which a queue makes a shard miss
			     the deadline; 0: none */
	bool finished;	  /* answered, or the caller closed */
	size_t ndone;
	size_t nfailed;
	size_t nshards;
	rt_shard_t *shards;
	struct rt_query *prev;
	struct rt_query *next;
} rt_query_t;

/* One send of a shard to a server. */
typedef struct rt_attempt {
	uint64_t id;	/* key in rt->attempts */
	uint64_t query; /* number of the query, which may be freed already */
	size_t shard;	/* index in the query */
	rt_server_t *server;
	rt_stat_t *stat;
	rt_why_t why;
	usec_t sent_at;
	usec_t deadline;
	double cost; /* as in the query */
	double work; /* estimate, in microseconds; 0: none */
	bool alone;  /* the server had a free slot, as far as is known */
	double told; /* others\' requests per slot by reports; below 0: none */
	bool extra;  /* it was taken from the budget of extra sends */
	bool counted_late; /* it is counted in the server's nlate */
	bool counted_slow; /* the server's pace was raised for its silence */
	struct rt_attempt *prev; /* of the same server */
	struct rt_attempt *next;
} rt_attempt_t;

/* A planned stop; times are absolute. */
typedef struct rt_stop {
	rt_stop_step_t step;
	usec_t grace;	      /* length of the time up to grace_ends_at */
	usec_t grace_ends_at; /* load balancers have noticed the stop */
	usec_t answer_by;     /* each open request has its answer */
	usec_t end_at;	      /* the process ends at the latest */
	usec_t last_request_at;
} rt_stop_t;

struct rt {
	rt_params_t p;
	str_t dc; /* owned */
	rng_t rng;
	rt_view_t *view;     /* view of the configuration in force, or NULL */
	strmap_t svcs;	     /* by name */
	rt_svc_t **all_svcs; /* every service named so far */
	size_t nsvcs;
	strmap_t stats;	       /* by name of the route */
	rt_stat_t **all_stats; /* of every route named so far */
	size_t nstats;
	strmap_t servers; /* by id */
	idmap_t server_nums;
	rt_removed_t *removed;
	size_t nremoved;
	rt_evacuation_t *evacuations;
	size_t nevacuations;
	idmap_t attempts;
	idmap_t queries;
	rt_query_t *open; /* list; rt_queries_sweep() frees finished queries */
	size_t nopen;
	size_t nwaiting;      /* shards in the queues of all services */
	usec_t own_delay;     /* see rt_delay.c */
	usec_t last_turn_at;  /* time of the last turn of the event loop */
	usec_t next_trial_at; /* see rt_scarce.c */
	usec_t hold_until;    /* nothing is sent before this time; 0: no hold */
	rt_stop_t stop;
	bool registry_up;
	usec_t state_as_of;	     /* the state was complete then; 0: never */
	usec_t registry_back_at;     /* end of the last outage; 0: none known */
	usec_t registry_restored_at; /* from an older copy; 0: never */
	usec_t next_sweep;
	rt_act_t *acts;
	size_t nacts;
	size_t next_act; /* index of the first action not fetched yet */
	size_t act_capacity;
	arena_t scratch; /* memory that actions point to */
	rt_class_t classes[RT_CLASS_SETS][RT_CLASS_WAYS]; /* see rt_work.c */
	uint64_t counters[RT_CNT_MAX];
	rt_hist_t requests[RT_OUT_MAX];
	rt_hist_t sends[RT_RESULT_MAX];
	rt_hist_t waits;
};

/* rt_act.c */
/* Appends a zeroed action; valid until the next one is appended. */
rt_act_t *rt_act_add(rt_t *rt, rt_act_kind_t kind);
/* Appends a log line; copies its strings. */
void rt_log(rt_t *rt, const rt_log_line_t *line);

/* rt_hist.c */
void rt_hist_add(rt_hist_t *h, usec_t v);

/* rt_view.c */
/* Finds a service by name, or creates it. */
rt_svc_t *rt_svc_get(rt_t *rt, str_t name);
/* Takes over the reference to the configuration. */
rt_view_t *rt_view_new(rt_t *rt, rt_conf_t *c);
void rt_view_unref(rt_view_t *v);
/* Chooses the next target of a route by weight; returns its index. */
size_t rt_view_next_target(rt_view_t *v, const rt_route_t *r);

/* rt_budget.c: limit on the extra sends of all hosts together. */
void rt_budget_add_first(rt_budget_t *b, const rt_params_t *p, usec_t now);
/* Takes one extra send from the budget; false if none remains. */
bool rt_budget_take(rt_budget_t *b, const rt_params_t *p, usec_t now);
/* Puts back an extra send that reached no server; taken_at: time of its
 * rt_budget_take(). */
void rt_budget_put_back(rt_budget_t *b, const rt_params_t *p, usec_t taken_at,
			usec_t now);
/* Extra sends that this host may still make; may be negative. */
double rt_budget_remaining(rt_budget_t *b, const rt_params_t *p, usec_t now);
/* Whether more than the given share (0 to 1) of the allowed extra sends
 * remains. */
bool rt_budget_above_share(rt_budget_t *b, const rt_params_t *p, double share,
			   usec_t now);

/* rt_delay.c */
#define RT_OWN_DELAY_INITIAL (6 * USEC_PER_MSEC) /* of a small host */

/* rt_stat.c: latency statistics of routes. */
/* Adds the latency of an answer to any send. */
void rt_stat_add(rt_stat_t *s, usec_t latency, usec_t now);
/* Adds the latency of an answer to a hedged send; such a send often needs a
 * new connection. */
void rt_stat_add_hedge(rt_stat_t *s, usec_t latency);
/* Time to allow for a hedged send. */
usec_t rt_stat_hedge_latency(const rt_stat_t *s);
/* Mean latency, or a default before the first answer. */
usec_t rt_stat_mean(const rt_stat_t *s);
/* Mean latency to expect of a request that begins now. Without a recent answer
 * it is at most the default: a high mean that refused all requests would
 * otherwise never fall. */
usec_t rt_stat_expected(const rt_stat_t *s, usec_t now);
/* Latency above which a send counts as late. */
usec_t rt_stat_late_limit(const rt_stat_t *s);

/* Time that servers have to register again after a registry outage. */
#define RT_LAPSE_GRACE (2 * USEC_PER_SEC)

/* rt_registry.c: servers as the registry publishes them. */
/* Marks a server as draining (RT_WHY_DRAINING, RT_WHY_SAID_LEAVING) or removed
 * (other reasons). */
void rt_server_mark_leaving(rt_t *rt, rt_server_t *s, rt_why_t why, usec_t now);
/* Frees a server that is removed and has no send in flight. */
void rt_server_free_if_idle(rt_t *rt, rt_server_t *s);
void rt_servers_free(rt_t *rt);

/* Opens connections in advance to a server that may get requests from now on.
 */
void rt_server_open(rt_t *rt, rt_server_t *s);

/* rt_evacuate.c: data centres whose servers get no requests. */
/* Sets whether a new server is in an evacuated data centre. */
void rt_evacuate_new_server(rt_t *rt, rt_server_t *s);
/* Logs evacuations of data centres that remain unknown. */
void rt_evacuations_sweep(rt_t *rt, usec_t now);
void rt_evacuations_free(rt_t *rt);

/* rt_warmup.c: rate limit of cold servers. */
/* Whether the server is cold, by its entry or its answers. */
bool rt_server_is_cold(const rt_server_t *s, usec_t now);
/* Whether the server is cold and has a rate limit. */
bool rt_warmup_limits(const rt_server_t *s, usec_t now);
/* Whether this host may send a request to the server now. */
bool rt_warmup_allows(const rt_t *rt, const rt_server_t *s, usec_t now);
/* Counts a request that is sent to the server now. */
void rt_warmup_take(rt_t *rt, rt_server_t *s, usec_t now);
/* Requests a second that a cold server gets from all hosts together. */
double rt_warmup_rate(const rt_t *rt, const rt_server_t *s);
/* Whether the servers of a service that accept requests or may stand in, at
 * least one, all are cold and have a rate limit. */
bool rt_svc_all_cold(const rt_svc_t *svc, usec_t now);
/* Time until this host may have sent so many requests more to the servers of
 * such a service. */
usec_t rt_svc_warmup_wait(const rt_t *rt, const rt_svc_t *svc, uint64_t n,
			  usec_t now);

/* rt_server.c: estimates of the speed and failures of servers. */
void rt_server_log(rt_t *rt, const rt_server_t *s, rt_why_t why, usec_t value);
/* Pace that is assumed before the first answer. */
double rt_server_initial_pace(const rt_server_t *s);
void rt_server_add_attempt(rt_server_t *s, rt_attempt_t *a);
/* Updates the estimate of a server from the result of an attempt. */
void rt_server_send_ended(rt_t *rt, rt_attempt_t *a, rt_result_t r, usec_t now);
/* Frees a cancelled attempt; that changes no estimate of its server. */
void rt_server_drop_attempt(rt_t *rt, rt_attempt_t *a);
/* Cost of a send to the server, as a multiple of the mean latency. It includes
 * the sends that replace those which the server refuses or fails. */
double rt_server_cost(const rt_server_t *s);
/* Whether the server counts as slow: then it gets hardly any requests other
 * than probes. */
bool rt_server_is_slow(const rt_server_t *s);
/* Whether the server refused and failed hardly any recent requests. */
bool rt_server_is_reliable(const rt_server_t *s);
/* Whether the server may get requests: it is neither draining nor removed nor
 * in an evacuated data centre. */
bool rt_server_usable(const rt_server_t *s);
/* Whether it may get requests now: usable, and not in a pause. */
bool rt_server_accepts(const rt_server_t *s, usec_t now);
/* Time until a usable server of a service accepts requests; 0: one does now,
 * below 0: there is no usable server. */
usec_t rt_svc_pause(const rt_svc_t *svc, usec_t now);
/* Counts an attempt in flight that is over the late limit; at most once. */
void rt_server_mark_late(rt_attempt_t *a);
/* Whether a probe to a slow or failing server is due. */
bool rt_server_needs_probe(const rt_t *rt, const rt_server_t *s, double best,
			   usec_t now);
/* Present estimate of the cost of a server. Without new answers it decays
 * towards the best cost of the service, which is raised for remote servers. */
double rt_server_current_cost(const rt_server_t *s, double best, usec_t now);
/* Lowest cost among the usable servers of a service; 0 if there are none. */
double rt_svc_best_cost(const rt_svc_t *svc);
/* Requests that this host may have in flight to the server, at least 1. */
unsigned rt_server_max_inflight(const rt_t *rt, const rt_server_t *s);
/* Handles timeouts of sends, and removes lapsed servers. */
void rt_servers_sweep(rt_t *rt, usec_t now);

/* rt_leaving.c: draining servers as a last choice. */
/* Sets the time until which a server that begins to drain may stand in. */
void rt_leaving_begin(const rt_t *rt, rt_server_t *s);
/* Whether a draining server may get requests if the others lack room. */
bool rt_server_stands_in(const rt_server_t *s, usec_t now);
/* After a suspension no draining server stands in: its time may be over. */
void rt_leaving_end_all(rt_t *rt);

/* rt_scarce.c: shards that cannot carry the demand. */
/* Counts the work that a query asks for. */
void rt_scarce_count(rt_query_t *q, usec_t now);
/* Leaves out scarce shards of a query. Returns false if the query is to be
 * refused; q->shortfall is its retry-after time then. */
bool rt_scarce_admit(rt_t *rt, rt_query_t *q, size_t min_shards, usec_t now);
/* Whether no server of a service answers at a usual pace and rate. */
bool rt_svc_is_slow(const rt_svc_t *svc, usec_t now);
/* Whether the servers of a service that accept requests lack room, so that
 * draining ones have to stand in. */
bool rt_svc_needs_leaving(const rt_t *rt, const rt_svc_t *svc, usec_t now);

/* rt_load.c: load that servers report. */
/* Whether the last report of the server is recent enough to count. */
bool rt_load_is_known(const rt_server_t *s, usec_t now);
/* Requests of other hosts to expect at the server; 0 if nothing is known. */
double rt_load_others(const rt_server_t *s, usec_t now);
/* Sets what reports say of the server of a new attempt. */
void rt_load_sent(rt_attempt_t *a, usec_t now);
/* Learns from an answer how far reports tell the latency; ratio: its latency
 * over that of a request like it at a server of that pace. */
void rt_load_answered(const rt_attempt_t *a, double ratio);
/* Requests that the server processes at once. */
unsigned rt_load_slots(const rt_server_t *s, usec_t now);
/* Time that work takes there, as a multiple of its usual time there. */
double rt_load_speed(const rt_server_t *s, usec_t now);

/* rt_work.c: work of requests, and work left at servers. */
/* Sets the query's cost; 1 unless the policy is RT_POLICY_WORK. */
void rt_work_classify(rt_t *rt, rt_query_t *q, const rt_request_t *r,
		      usec_t now);
/* Mean latency of requests of the query's cost. */
usec_t rt_work_latency(const rt_query_t *q);
/* Sets cost and work of an attempt that is not in its server's list yet. */
void rt_work_sent(const rt_t *rt, rt_attempt_t *a, const rt_query_t *q,
		  usec_t now);
/* Learns from an answer; the attempt's query may be gone already. */
void rt_work_answered(rt_t *rt, const rt_attempt_t *a, usec_t now);
/* Work that the server has to do before a new request, in microseconds of one
 * slot at usual speed; mean: latency for sends whose work was not learned. */
double rt_work_left(const rt_server_t *s, usec_t mean, usec_t now);
/* Time in the queue of the least loaded server by what the servers report; 0
 * where one of them reports nothing. */
usec_t rt_work_queue_time(const rt_t *rt, const rt_svc_t *svc, usec_t now);

/* rt_affinity.c */
/* The server that this host prefers among equal ones of a service; NULL: no
 * server accepts requests. */
const rt_server_t *rt_preferred_server(const rt_svc_t *svc, usec_t now);
/* Whether idle connections to the server stay open. */
bool rt_keeps_idle(const rt_t *rt, const rt_server_t *s, usec_t now);

/* rt_pick.c: choice of a server for a send. */
typedef struct rt_pick {
	rt_server_t *s; /* NULL: none was found */
	rt_why_t why;	/* reason of the send */
	size_t usable;	/* servers of the ranks considered, with or without
			   capacity */
	size_t candidates;
	usec_t expected; /* expected latency */
	usec_t age;	 /* age of the last evidence; below 0: none */
} rt_pick_t;
void rt_pick(rt_t *rt, const rt_shard_t *sh, rt_why_t why, usec_t now,
	     rt_pick_t *p);
/* Picks a slow or failing server that is due for a probe, if any. */
void rt_pick_probe(rt_t *rt, const rt_shard_t *sh, usec_t now, rt_pick_t *p);

/* rt_wait.c: queues of shards that wait for a server with capacity. */
void rt_wait_push(rt_t *rt, rt_shard_t *sh, usec_t now);
void rt_wait_remove(rt_t *rt, rt_shard_t *sh);
/* Fails the shards that wait for services of which no server accepts requests.
 */
void rt_waits_sweep(rt_t *rt, usec_t now);
/* Starts waiting shards while a server of the service has capacity. */
void rt_wait_drain(rt_t *rt, rt_svc_t *svc, usec_t now);
/* Adds the latency of an answer to the mean of the service. */
void rt_wait_add_latency(rt_svc_t *svc, usec_t latency, usec_t now);
/* Time from now until a new request of the query's priority would be
 * answered, including the time in the queue. */
usec_t rt_wait_expected(const rt_t *rt, const rt_svc_t *svc,
			const rt_query_t *q, usec_t now);

/* rt_shard.c */
/* Sends the shard, queues it, or fails it if no server can be used. */
void rt_shard_start(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now);
/* Handles the end of an attempt; takes over the reply. */
void rt_shard_result(rt_t *rt, rt_shard_t *sh, rt_attempt_t *a, rt_result_t r,
		     rt_reply_t *reply, usec_t now);
void rt_shard_run_timers(rt_t *rt, rt_shard_t *sh, usec_t now);
/* Fails a shard before it was sent; a probe may still be sent for it. */
void rt_shard_leave_out(rt_t *rt, rt_shard_t *sh, usec_t now);
void rt_shard_fail(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now);
/* Removes the shard from its queue; its sends in flight continue unless
 * cancel is set. */
void rt_shard_detach(rt_t *rt, rt_shard_t *sh, bool cancel);

/* rt_stop.c */
/* Whether a request that arrives now is taken; time_left: until its deadline.
 */
bool rt_stop_takes(const rt_stop_t *s, const rt_route_t *route,
		   const rt_stat_t *stat, usec_t time_left, usec_t now);

/* rt_query.c */
/* Makes the deadline of the query no later than at that time. */
void rt_query_limit(rt_query_t *q, usec_t at);
/* Starts the shards that were held until rt_on_registry_read(). */
void rt_queries_resume(rt_t *rt, usec_t now);
/* Makes the timers of the query run no later than at that time. */
void rt_query_schedule(rt_query_t *q, usec_t at);
/* Answers the query if the state of its shards allows it. */
void rt_query_try_answer(rt_t *rt, rt_query_t *q, usec_t now);
void rt_query_free(rt_t *rt, rt_query_t *q);
/* Runs the timers that are due. */
void rt_queries_run_timers(rt_t *rt, usec_t now);
/* Frees finished queries. */
void rt_queries_sweep(rt_t *rt);

#endif
