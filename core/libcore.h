/**
 * @file libcore.h
 * The core's internal state and the functions that its sources share.
 */
#ifndef LIBCORE_H
#define LIBCORE_H

#include "core.h"

#define SHARD_MAX_PENDING 2 /* an attempt and its hedge */
#define SHARD_MAX_TRIES 12
#define QUERY_MAX_RESTARTS 6
#define UPSTREAM_MIN_LIMIT 1.0
/* A reply slower than this many group medians lowers the broad limit. */
#define SLOW_MEDIAN_FACTOR 3

#define GOSSIP_PERIOD (500 * USEC_PER_MSEC) /* mean time between rounds */
#define GOSSIP_FANOUT 2			    /* digests per round */
#define CHANGE_FANOUT 3 /* digests after a change of list or configuration */
#define PEER_SUSPECT_AFTER (3 * USEC_PER_SEC) /* without a reply */
#define READERS_PER_DC 2 /* daemons per data centre that watch the platform */
/* Other daemons read the platform too if their list is older than this. */
#define EXTRA_READ_LIST_AGE (1200 * USEC_PER_MSEC)
#define EXTRA_READS_PER_SEC 100.0 /* by all daemons of the fleet together */
/* After this time a daemon becomes ready even without peers or evidence. */
#define START_WAIT_MAX (2 * USEC_PER_SEC)
#define KEY_LIFETIME (5 * USEC_PER_SEC) /* a keyed answer is kept this long */
/* An older list is used for keys only while the platform is down. */
#define KEY_LIST_AGE_MAX (3 * USEC_PER_SEC)
/*
 * A restarted daemon, or a new home of a key, waits this long before it runs
 * the key: an earlier home may still use its old list and keep an answer.
 */
#define KEY_HANDOVER_WAIT (KEY_LIFETIME + KEY_LIST_AGE_MAX)
#define LIST_HISTORY 8 /* earlier lists that are kept */
#define HOLDERS_MAX 16
#define HOLDER_BLOCK 36 /* groups of a service with the same holders */
/* Subtracted from a deadline that is sent to another daemon. */
#define LINK_ALLOWANCE (5 * USEC_PER_MSEC)

#define TICK_PERIOD (50 * USEC_PER_MSEC)
/* A longer gap between steps counts as a pause of the process. */
#define PAUSE_GAP (600 * USEC_PER_MSEC)
/* Requests may be sent for this long after the list was confirmed. */
#define LIST_LEASE (2 * USEC_PER_SEC)
/* Evidence allows sending for this long while the platform is down. */
#define EVIDENCE_LEASE (2 * USEC_PER_SEC)
#define EVIDENCE_HALF_LIFE (250 * USEC_PER_MSEC) /* of a reported load */
#define BACKOFF_MIN (5 * USEC_PER_MSEC)
#define BACKOFF_MAX (200 * USEC_PER_MSEC)
#define SHED_BACKOFF_MIN (50 * USEC_PER_MSEC)
#define SHED_BACKOFF_MAX USEC_PER_SEC
#define CONNECT_BACKOFF_MIN (50 * USEC_PER_MSEC)
#define CONNECT_BACKOFF_MAX (2 * USEC_PER_SEC)
#define HEDGE_MIN_DELAY (2 * USEC_PER_MSEC)
#define HEDGE_MIN_SAMPLES 20
/* Unsent non-idempotent attempts are withdrawn this long before a deadline. */
#define WITHDRAW_MARGIN (2 * USEC_PER_MSEC)
#define BUDGET_BURST 10.0     /* most tokens of a budget */
#define DOWN_AFTER_FAILURES 3 /* consecutive failures */
/* Waiting shards per server of a group; above it no broad shard is queued. */
#define QUEUE_MAX_PER_SERVER 64
#define HEDGE_MAX_MEDIANS 4 /* longest hedge delay, in group medians */
/* Without enough samples the hedge delay is the time left divided by this. */
#define HEDGE_DEFAULT_DIVISOR 4
#define LATENCY_HALF_LIFE USEC_PER_SEC /* of a server without results */
/* An attempt older than this many mean latencies makes a server suspect. */
#define SUSPECT_LATENCY_FACTOR 8
#define SUSPECT_AGE_MIN (30 * USEC_PER_MSEC)
#define REPIN_WAIT (20 * USEC_PER_MSEC) /* between searches for a snapshot */
#define HIST_DECAY_COUNT 2000  /* samples at which a histogram decays */
#define MEDIAN_UPDATE_COUNT 16 /* samples between updates of the median */

typedef struct group group_t;

/* A server and this daemon's estimate of its state. */
typedef struct upstream {
	str_t addr;	/* owned */
	str_t dc;	/* owned */
	group_t *group; /* of the configuration in force, or NULL */
	bool same_dc;	/* the server is in this daemon's data centre */
	bool leaving;
	usec_t leaving_since;
	unsigned max_connections; /* connections this daemon may hold */
	double limit; /* most requests in flight; at most max_connections */
	double broad_limit; /* most broad requests in flight */
	unsigned broad_inflight;
	unsigned inflight;
	struct attempt *oldest; /* list of attempts in flight, by send time */
	struct attempt *newest;
	unsigned slots;
	usec_t latency;	      /* decaying mean; 0: unknown */
	usec_t latency_at;    /* when latency was last updated */
	usec_t evidence_at;   /* time of the last evidence; 0: none */
	usec_t blocked_until; /* no attempts after connection failures */
	usec_t shed_until;    /* after a refusal other servers are preferred */
	unsigned consecutive_sheds;
	unsigned consecutive_failures;
	evidence_t evidence;
	uint64_t last_decrease_period; /* period of the last limit decrease */
} upstream_t;

/* State of a shard of a query. */
typedef enum shard_state {
	SH_IDLE,
	SH_WAITING,   /* queued in its group until a server has a free slot */
	SH_SENT,      /* one or more attempts are in flight */
	SH_BACKOFF,   /* a timer starts the shard again */
	SH_FORWARDED, /* sent to a holder */
	SH_DONE,
	SH_FAILED,
} shard_state_t;

typedef struct shard {
	struct query *q;
	group_t *group;
	shard_state_t state;
	uint64_t pending[SHARD_MAX_PENDING]; /* ids of attempts in flight */
	unsigned npending;
	unsigned tries;
	unsigned backoffs;
	uint64_t tried_mask;   /* bit i: server i of the group was tried */
	uint64_t lacking_mask; /* bit i: server i lacks the snapshot */
	uint64_t
		holders_tried_mask; /* bit i: holder i of the block was tried */
	size_t block;		    /* index among the service's blocks */
	bool reported;	  /* the result was sent to the forwarding daemon */
	bool needs_token; /* the next attempt takes a retry token */
	why_t why;	  /* reason of the last failure */
	group_hits_t *group_hits;
	struct shard *prev; /* neighbours in the group's queue */
	struct shard *next;
} shard_t;

/* Servers of the same data and the queue of shards that wait for a slot. */
struct group {
	str_t key;     /* owned; service, map and name */
	size_t index;  /* in conf_state_t.groups */
	str_t service; /* owned */
	str_t name;    /* owned */
	uint32_t map_version;
	upstream_t **ups;
	size_t nups;
	shard_t *head;
	shard_t *tail;
	size_t nwaiting;
	unsigned refs;	      /* number of views that contain the group */
	uint64_t next_server; /* counter of the round-robin policy */
	hist_t *latency;      /* NULL until the first result */
	usec_t median; /* of latency; updated every MEDIAN_UPDATE_COUNT */
	size_t nheld;  /* snapshots that a holder reported */
	snapshot_ref_t held[CORE_MAX_HELD_SNAPSHOTS];
};

/* Tokens for retries or hedges, earned in proportion to first attempts. */
typedef struct budget {
	double tokens;
} budget_t;

/* A daemon that connects to the servers of a block of groups. */
typedef struct holder {
	str_t addr;
	bool same_dc;
} holder_t;

/* Groups of a service that have the same holders. */
typedef struct block {
	bool held_here; /* this daemon, or every daemon, is a holder */
	size_t n;
	holder_t v[HOLDERS_MAX]; /* the other holders */
} block_t;

/* A service of one view. */
typedef struct svc {
	const conf_service_t *conf;
	group_t **groups;
	size_t ngroups;
	struct svc_state *state;
	block_t *blocks;
	size_t nblocks;
} svc_t;

/* State of a service that is kept when the configuration changes. */
typedef struct svc_state {
	str_t name; /* owned */
	budget_t retry;
	budget_t hedge;
} svc_state_t;

/* A configuration with its lookup tables; freed after its last query. */
typedef struct view {
	conf_t *conf;
	svc_t *svcs;
	size_t nsvcs;
	unsigned refs;
	arena_t holder_mem;
} view_t;

/* Where a query's answer is sent: to a caller, a key entry or a peer. */
typedef enum origin { FROM_CALLER, FROM_KEY, FROM_PEER } origin_t;

typedef struct query {
	uint64_t id;
	view_t *view;
	const svc_t *svc;
	const conf_class_t *class;
	origin_t origin;
	void *body;
	bool owns_body;		     /* the body came from a peer */
	void *caller;		     /* with FROM_CALLER */
	struct key_entry *key_entry; /* with FROM_KEY */
	str_t reply_to;		     /* owned; with FROM_PEER */
	uint64_t token;		     /* with FROM_PEER */
	uint64_t *forwards;	     /* ids of the forwards to holders */
	size_t nforwards;
	size_t ndiscoveries; /* forwards that only request held snapshots */
	str_t route;	     /* owned */
	unsigned limit;
	usec_t arrived_at;
	usec_t deadline;
	usec_t soft_deadline;
	uint64_t snapshot;
	unsigned epoch;				    /* number of restarts */
	uint64_t abandoned[QUERY_MAX_RESTARTS + 1]; /* snapshots not to retry */
	size_t nabandoned;
	unsigned sent;
	size_t nshards;
	size_t ndone;
	size_t nfailed;
	unsigned noutstanding; /* attempts and forwards without a result */
	bool may_have_run;     /* an attempt was run, or may have been */
	bool soft_passed;
	bool withdrawn; /* its unsent attempts were withdrawn */
	bool ended;	/* answered; freed when the next step begins */
	shard_t *shards;
	hit_t *merged; /* hits of the answer; freed with the query */
	str_t *missing;
} query_t;

typedef struct attempt {
	uint64_t id;
	uint64_t qid;
	size_t shard;
	unsigned epoch;
	upstream_t *u;
	usec_t sent_at;
	bool hedge;
	bool urgent;
	bool dropped;	      /* the query ignores the result */
	struct attempt *prev; /* neighbours in the server's list */
	struct attempt *next;
} attempt_t;

typedef enum timer_kind {
	TM_DEADLINE,
	TM_WITHDRAW,
	TM_SOFT,
	TM_HEDGE,
	TM_BACKOFF,
	TM_REPIN,
	TM_FORWARD,    /* a holder did not reply in half of the time left */
	TM_KEY_REMOTE, /* a key's home did not reply before the deadline */
} timer_kind_t;

typedef struct timer {
	usec_t at;
	uint64_t seq; /* orders timers of the same time by arming */
	uint64_t qid;
	uint64_t aid;
	size_t shard;
	unsigned epoch;
	timer_kind_t kind;
} timer_entry_t;

/* Written by view.c only. */
typedef struct conf_state {
	view_t *view;
	usec_t adopted_at;
	group_t **groups;
	size_t ngroups;
	size_t group_capacity;
	strmap_t by_key;
	svc_state_t **states;
	size_t nstates;
	strmap_t by_service;
} conf_state_t;

/* Written by list.c only. */
typedef struct list_state {
	arena_t mem;
	host_list_t list;
	usec_t confirmed_at; /* the list was current then; 0: never read */
	bool platform_down;
	bool paused;	   /* the process paused since the list was confirmed */
	usec_t resumed_at; /* end of the last pause */
} list_state_t;

/* Another daemon and this daemon's estimate of its state. */
typedef struct peer {
	str_t addr;		 /* owned; its peer address */
	usec_t received_at;	 /* time of its last message; 0: none */
	usec_t awaiting_since;	 /* first request without a reply; 0: none */
	uint64_t incarnation;	 /* 0: unknown */
	usec_t clock_offset_max; /* upper bound of its clock minus ours */
} peer_t;

/* Written by peer.c only. */
typedef struct peers_state {
	peer_t *v; /* ordered by address */
	size_t n;
	usec_t gossip_at; /* when the next digests are due */
	read_mode_t read_mode;
	unsigned ndigest_replies;  /* since the start */
	uint64_t highest_revision; /* highest in the replies to digests */
} peers_state_t;

/* Ids of the daemons of an earlier list, without those leaving. */
typedef struct old_list {
	uint64_t *ids;
	size_t n;
	usec_t replaced_at;
} old_list_t;

/* Written by key.c only. */
typedef struct keys_state {
	struct key_entry **v; /* keys that this daemon ran */
	size_t n;
	usec_t started_at; /* set by core_new() */
	old_list_t old[LIST_HISTORY];
	size_t nold;
} keys_state_t;

/* Written by upstream.c only. */
typedef struct upstreams_state {
	upstream_t **v;
	size_t n;
	size_t capacity;
	strmap_t by_addr;
} upstreams_state_t;

/*
 * Shared state of the core, in the blackboard pattern: the sources exchange
 * data only through its sections. The members of a section are written by one
 * source and read by all; the objects that they point to (servers, groups) are
 * also written by other sources.
 */
typedef struct core_state {
	conf_state_t conf;
	list_state_t list;
	upstreams_state_t upstreams;
	peers_state_t peers;
	keys_state_t keys;
} core_state_t;

struct core {
	core_params_t params;
	str_t name;
	str_t dc;
	rng_t rng;
	core_state_t state;
	idmap_t queries;
	uint64_t incarnation; /* id of this process */
	idmap_t attempts;
	idmap_t remote_requests; /* requests sent to a key's home */
	idmap_t forwards;	 /* forwards without all results */
	timer_entry_t *timers;
	size_t ntimers;
	size_t timer_capacity;
	uint64_t timer_seq;
	usec_t last_step;
	bool stopping;
	uint64_t counters[CNT_MAX];
	acts_t *acts;	 /* of the current step */
	arena_t scratch; /* data of the actions; freed at the next step */
	query_t **ended; /* queries to free when the next step begins */
	size_t nended;
	size_t ended_capacity;
	view_t **old_views; /* views to release when the next step begins */
	size_t nold_views;
};

/* act.c */
act_t *act_add(core_t *c, act_kind_t kind);
void act_log(core_t *c, const decision_line_t *line);

/* timer.c */
void timer_arm(core_t *c, timer_entry_t t);
bool timer_pop(core_t *c, usec_t now, timer_entry_t *t);

/* budget.c */
void budget_earn(budget_t *b, double share);
bool budget_take(budget_t *b);

/* upstream.c */
upstream_t *upstream_find(core_t *c, str_t addr);
upstream_t *upstream_get(core_t *c, str_t addr);
/* Stores evidence that a server reported no earlier than time at. */
void upstream_evidence(core_t *c, upstream_t *u, const evidence_t *e, usec_t at,
		       usec_t now);
void upstream_result(upstream_t *u, result_t r, usec_t elapsed, usec_t now);
/* Counts a failed connection and delays the next attempt. */
void upstream_unreachable(upstream_t *u, usec_t now);
void upstream_leave(core_t *c, upstream_t *u, why_t why, usec_t now);
/* Whether a server is configured, not leaving and not failing repeatedly. */
bool upstream_alive(const upstream_t *u);
/* Until when requests may be sent, by the age of list and evidence. */
usec_t upstream_send_until(const core_t *c, const upstream_t *u, usec_t now);
/* Whether requests may be sent to a server now, apart from its limits. */
bool upstream_usable(const core_t *c, const upstream_t *u, usec_t now);
/* Whether a server's limits allow one more request, urgent or broad. */
bool upstream_has_room(const upstream_t *u, bool urgent);
/* Whether a server's last evidence does not contain the snapshot. */
bool upstream_lacks(const upstream_t *u, uint64_t snapshot, uint32_t map);
/* Whether a server refused requests or its oldest request is overdue. */
bool upstream_suspect(const upstream_t *u, usec_t now);
void upstream_add(upstream_t *u, struct attempt *a);
void upstream_remove(upstream_t *u, struct attempt *a);
double upstream_expected(const upstream_t *u, usec_t now);
void upstreams_free(core_t *c);

/* pick.c */
typedef struct pick {
	upstream_t *u;
	unsigned index;
	size_t candidates; /* servers with room for the request */
	size_t usable;	   /* servers of the chosen rank, with room or not */
	size_t lacking;	   /* servers without the snapshot */
	double score;
} pick_t;
void pick_replica(core_t *c, const shard_t *sh, usec_t now, pick_t *p);

/* snapshot.c */
uint64_t snapshot_pin(const query_t *q);

/* list.c */
void list_update(core_t *c, const host_list_t *l, usec_t at, usec_t now);
void list_confirm(core_t *c, uint64_t version, usec_t at);
void list_read_failed(core_t *c, usec_t at);
void list_resumed(core_t *c, usec_t now);
void list_apply_leaving(core_t *c, usec_t now);
void list_free(core_t *c);

/* view.c */
void view_adopt(core_t *c, conf_t *conf, usec_t now);
void view_unref(core_t *c, view_t *v);
/* Releases the view when the next step begins. */
void view_unref_later(core_t *c, view_t *v);
/* Whether each group held here has evidence; true after START_WAIT_MAX. */
bool view_has_evidence(const core_t *c, usec_t now);
/* Assigns the holders after a change of list or configuration. */
void view_holders(core_t *c, usec_t now);
void view_free_all(core_t *c);

/* queue.c */
void queue_push(shard_t *sh);
void queue_remove(shard_t *sh);
void queue_drain(core_t *c, group_t *g, usec_t now);
void queue_drain_all(core_t *c, usec_t now);

/* shard.c */
void shard_start(core_t *c, shard_t *sh, why_t why, usec_t now);
/* Starts a shard again after a backoff, if the retry budget allows. */
void shard_resume(core_t *c, shard_t *sh, usec_t now);
void shard_hedge(core_t *c, shard_t *sh, usec_t now);
void shard_result(core_t *c, shard_t *sh, attempt_t *a, result_t r,
		  group_hits_t *hits, usec_t now);
/* Removes a shard from the queue and cancels its attempts; keeps the hits. */
void shard_detach(core_t *c, shard_t *sh);
/* Detaches a shard and frees its hits. */
void shard_drop(core_t *c, shard_t *sh);
/* Completes the shard with its hits, which it takes over. */
void shard_complete(core_t *c, shard_t *sh, group_hits_t *hits, usec_t now);
/* Marks the shard failed; the answer lists its group as missing. */
void shard_fail(core_t *c, shard_t *sh, why_t why, usec_t now);
/* Whether the shard is done or failed. */
bool shard_ended(const shard_t *sh);

/* attempt.c */
void attempt_send(core_t *c, shard_t *sh, const pick_t *p, why_t why,
		  usec_t now);
void attempt_ended(core_t *c, event_t *ev, usec_t now);
void attempt_withdrawn(core_t *c, uint64_t aid, bool ok, usec_t now);

/* query.c */
void query_start(core_t *c, const request_t *r, usec_t now);
/* Returns why a request is rejected, or WHY_NONE and sets svc and class. */
why_t query_admit(const core_t *c, const request_t *r, const svc_t **svc,
		  const conf_class_t **class);
/* Answers a request as not run without making a query. */
void query_reject(core_t *c, const request_t *r, why_t why);
/* Makes a query; set its origin before query_run(). */
query_t *query_new(core_t *c, const request_t *r, const svc_t *svc,
		   const conf_class_t *class, usec_t now);
void query_run(core_t *c, query_t *q, usec_t now);
/* Runs a query on groups and a snapshot that another daemon chose. */
void query_run_groups(core_t *c, query_t *q, group_t **groups, size_t n,
		      usec_t now);
void query_check(core_t *c, query_t *q, usec_t now);
/* Restarts on another snapshot; false if that is not allowed. */
bool query_restart(core_t *c, query_t *q, usec_t now);
/* Searches again for a snapshot that the servers hold. */
void query_repin(core_t *c, query_t *q, usec_t now);
void query_timer(core_t *c, const timer_entry_t *t, usec_t now);

/* holder.c */
/* Computes the holders of every block of a view. */
void holder_assign(core_t *c, view_t *v);
bool holder_is_self(const svc_t *s, size_t group);
/* Returns a hash's home, the daemon with the highest score; NULL: none. */
const listed_daemon_t *holder_of_hash(const host_list_t *l, uint64_t hash);
uint64_t holder_score(uint64_t id, uint64_t hash);

/* peer.c */
void peer_start(core_t *c, usec_t now);
void peer_tick(core_t *c, usec_t now);
void peer_message(core_t *c, event_t *ev, usec_t now);
/* Sends digests to a few daemons after a change. */
void peer_announce(core_t *c);
/* Adds a message to a daemon; the caller fills in the rest. */
peer_msg_t *peer_send(core_t *c, str_t to, peer_kind_t kind);
/* A peer of known incarnation and clock; NULL if there is none. */
const peer_t *peer_with_clock(const core_t *c, str_t addr);
/* Sends this daemon's digest and requests the other's. */
void peer_send_digest(core_t *c, str_t addr, usec_t now);
/* Records that a reply is expected from a daemon. */
void peer_expect_reply(core_t *c, str_t addr, usec_t now);
bool peer_suspect(const core_t *c, str_t addr, usec_t now);
/* Whether this daemon has its peers' revision; true after START_WAIT_MAX. */
bool peer_caught_up(const core_t *c, usec_t now);
/* Whether more peers responded recently than are overdue. */
bool peer_majority_responds(const core_t *c, usec_t now);
size_t peer_count_suspects(const core_t *c, usec_t now);
void peer_free(core_t *c);

/* forward.c */
/* Forwards the idle shards of blocks held elsewhere. */
void forward_start(core_t *c, query_t *q, usec_t now);
/* Requests the snapshots of groups from holders; false without holders. */
bool forward_discover(core_t *c, query_t *q, usec_t now);
void forward_request(core_t *c, event_t *ev, usec_t now);
void forward_results(core_t *c, peer_msg_t *m, usec_t now);
void forward_failed(core_t *c, uint64_t token, usec_t now);
void forward_timer(core_t *c, const timer_entry_t *t, usec_t now);
/* Sends the results so far to the forwarding daemon. */
void forward_report(core_t *c, query_t *q, bool last);
void forward_drop(core_t *c, query_t *q);
typedef struct forward forward_t;
void forward_free(forward_t *f);

/* key.c */
void key_start(core_t *c, const request_t *r, const svc_t *svc,
	       const conf_class_t *class, usec_t now);
void key_request(core_t *c, event_t *ev, usec_t now);
void key_answer(core_t *c, peer_msg_t *m, usec_t now);
void key_failed(core_t *c, uint64_t token, usec_t now);
void key_timer(core_t *c, const timer_entry_t *t, usec_t now);
/* Sends the requests that waited for the clock of the daemon at addr. */
void key_clock_known(core_t *c, str_t addr, usec_t now);
void key_done(core_t *c, query_t *q, const answer_t *a, usec_t now);
void key_tick(core_t *c, usec_t now);
void key_list_replaced(core_t *c, usec_t now);
void key_free(core_t *c);

/* merge.c */
size_t merge_group_hits(query_t *q);

#endif
