/** @file libcore.h The blackboard and what its controllers share. */
#ifndef LIBCORE_H
#define LIBCORE_H

#include "core.h"

#define SHARD_MAX_LIVE 2 /* an attempt and its hedge */
#define SHARD_MAX_TRIES 12
#define QUERY_MAX_RESTARTS 6
#define UPSTREAM_MIN_LIMIT 1.0
#define SLOW_MEDIANS 3 /* of the group: a server this slow is too full */

#define GOSSIP_PERIOD (500 * USEC_PER_MSEC)
#define GOSSIP_FANOUT 2
#define NEWS_FANOUT 3
#define PEER_SUSPECT_AFTER (3 * USEC_PER_SEC)
#define READERS_PER_DC 2
#define VOLUNTEER_AFTER (1200 * USEC_PER_MSEC)
#define VOLUNTEERS_PER_SEC 100.0 /* of the whole fleet */
#define START_ALONE (2 * USEC_PER_SEC)
#define KEY_LIFETIME (5 * USEC_PER_SEC)
#define LIST_LAG (3 * USEC_PER_SEC)
#define KEY_WAIT (KEY_LIFETIME + LIST_LAG)
#define LIST_HISTORY 8
#define HOLDERS_MAX 16
#define HOLDER_BLOCK 36 /* groups of a service placed together */
#define LINK_ALLOWANCE (5 * USEC_PER_MSEC)

#define TICK_PERIOD (50 * USEC_PER_MSEC)
#define PAUSE_GAP (600 * USEC_PER_MSEC)
#define LIST_LEASE (2 * USEC_PER_SEC)
#define EVIDENCE_LEASE (2 * USEC_PER_SEC)
#define EVIDENCE_HALF_LIFE (250 * USEC_PER_MSEC)
#define BACKOFF_MIN (5 * USEC_PER_MSEC)
#define BACKOFF_MAX (200 * USEC_PER_MSEC)
#define SHED_BACKOFF_MIN (50 * USEC_PER_MSEC)
#define SHED_BACKOFF_MAX USEC_PER_SEC
#define CONNECT_BACKOFF_MIN (50 * USEC_PER_MSEC)
#define CONNECT_BACKOFF_MAX (2 * USEC_PER_SEC)
#define HEDGE_MIN_DELAY (2 * USEC_PER_MSEC)
#define HEDGE_MIN_SAMPLES 20
#define WITHDRAW_MARGIN (2 * USEC_PER_MSEC)
#define BUDGET_BURST 10.0
#define DOWN_AFTER_FAILURES 3
#define QUEUE_MAX_PER_SERVER 64
#define HEDGE_MEDIANS 4
#define HEDGE_BLIND_PART 4	       /* of the time left, without samples */
#define LATENCY_HALF_LIFE USEC_PER_SEC /* of one that is not used */
#define SUSPECT_LATENCIES 8
#define SUSPECT_MIN (30 * USEC_PER_MSEC)
#define REPIN_WAIT (20 * USEC_PER_MSEC)
#define HIST_DECAY_AT 2000
#define USUAL_EVERY 16 /* counts between looks at the median */

typedef struct group group_t;

/* A server as this daemon believes it to be. */
typedef struct upstream {
	str_t addr;	/* owned */
	str_t dc;	/* owned */
	group_t *group; /* of the configuration in force, or NULL */
	bool near;	/* in this daemon's data centre */
	bool leaving;
	usec_t leaving_at;
	unsigned cap;	    /* connections this daemon may hold */
	double limit;	    /* requests in flight, at most cap */
	double broad_limit; /* of them, broad ones */
	unsigned broad_inflight;
	unsigned inflight;
	struct attempt *first; /* out to it, the oldest first */
	struct attempt *last;
	unsigned slots;
	usec_t latency;	      /* decaying mean, 0 when unknown */
	usec_t latency_at;    /* when it was noted last */
	usec_t heard_at;      /* last direct evidence, 0 for never */
	usec_t blocked_until; /* after connection failures */
	usec_t shed_until;    /* it refuses: others go first */
	unsigned sheds;	      /* in a row */
	unsigned failures;    /* in a row */
	evidence_t evidence;
	uint64_t decreased_epoch; /* last limit decrease, by time */
} upstream_t;

/* A shard of a query; waits in its group's queue when no slot is free. */
typedef enum shard_state {
	SH_IDLE,
	SH_WAITING,   /* in the group's queue */
	SH_OUT,	      /* one or more attempts are out */
	SH_BACKOFF,   /* a timer will start it again */
	SH_FORWARDED, /* a holder has it */
	SH_DONE,
	SH_FAILED,
} shard_state_t;

typedef struct shard {
	struct query *q;
	group_t *group;
	shard_state_t state;
	uint64_t live[SHARD_MAX_LIVE];
	unsigned nlive;
	unsigned tries;
	unsigned backoffs;
	uint64_t tried;		/* bits of the group's servers */
	uint64_t missed;	/* bits of those without the snapshot */
	uint64_t holders_tried; /* bits of the block's holders */
	size_t block;		/* of its service */
	bool reported;		/* to the daemon that forwarded it */
	bool owes; /* a token of the budget before it goes out again */
	why_t why; /* of the last failure */
	part_t *part;
	struct shard *prev; /* in the group's queue */
	struct shard *next;
} shard_t;

/* Servers of the same data and the shards that wait for one of them. */
struct group {
	str_t key;     /* owned; service, map and name */
	size_t place;  /* among all groups */
	str_t service; /* owned */
	str_t name;    /* owned */
	uint32_t map;
	upstream_t **ups;
	size_t nups;
	shard_t *head;
	shard_t *tail;
	size_t nwaiting;
	unsigned refs;	 /* views that name it */
	uint64_t turn;	 /* for round robin */
	hist_t *latency; /* NULL until something was counted */
	usec_t usual;	 /* median of latency, by the last look */
	size_t nheld;	 /* as a holder told of it */
	holding_t held[CORE_MAX_HELD];
};

/* Part of first attempts that may be added as retries or hedges. */
typedef struct budget {
	double tokens;
} budget_t;

/* A daemon that connects to a block of groups. */
typedef struct holder {
	str_t addr;
	bool near;
} holder_t;

/* Groups of a service that have the same holders. */
typedef struct block {
	bool mine; /* this daemon is one of them, or all are */
	size_t n;
	holder_t v[HOLDERS_MAX]; /* the others */
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

/* What a service keeps over revisions. */
typedef struct svc_state {
	str_t name; /* owned */
	budget_t retry;
	budget_t hedge;
} svc_state_t;

/* A configuration with its tables; kept while a query uses it. */
typedef struct view {
	conf_t *conf;
	svc_t *svcs;
	size_t nsvcs;
	unsigned refs;
	arena_t holder_mem;
} view_t;

/* Who waits for a query's answer. */
typedef enum origin { FROM_CALLER, FROM_KEY, FROM_PEER } origin_t;

typedef struct query {
	uint64_t id;
	view_t *view;
	const svc_t *svc;
	const conf_class_t *class;
	origin_t origin;
	void *body;
	bool owns_body;	     /* it came from a peer */
	void *caller;	     /* of FROM_CALLER */
	struct keyed *keyed; /* of FROM_KEY */
	str_t reply_to;	     /* owned; of FROM_PEER */
	uint64_t token;	     /* of FROM_PEER */
	uint64_t *forwards;  /* ids of what holders were sent */
	size_t nforwards;
	size_t nasks; /* of them, those that only ask what is held */
	str_t route;  /* owned */
	unsigned limit;
	usec_t arrived;
	usec_t deadline;
	usec_t soft;
	uint64_t snapshot;
	unsigned epoch;				   /* counts restarts */
	uint64_t given_up[QUERY_MAX_RESTARTS + 1]; /* snapshots */
	size_t ngiven_up;
	unsigned sent;
	size_t nshards;
	size_t ndone;
	size_t nfailed;
	unsigned nout; /* attempts without a word yet */
	bool ran;      /* an attempt was, or may have been, run */
	bool soft_passed;
	bool withdrawn; /* unsent attempts were called back */
	bool over;	/* answered; freed when the next step begins */
	shard_t *shards;
	hit_t *merged; /* of the answer, as long as the query is there */
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
	bool dropped;	      /* the query does not wait for it */
	struct attempt *prev; /* of the same server */
	struct attempt *next;
} attempt_t;

typedef enum timer_kind {
	TM_DEADLINE,
	TM_WITHDRAW,
	TM_SOFT,
	TM_HEDGE,
	TM_BACKOFF,
	TM_REPIN,
	TM_FORWARD,  /* a holder has not answered for long */
	TM_KEY_AWAY, /* a key's home has not answered in time */
} timer_kind_t;

typedef struct timer {
	usec_t at;
	uint64_t seq; /* ties go in order of arming */
	uint64_t qid;
	uint64_t aid;
	size_t shard;
	unsigned epoch;
	timer_kind_t kind;
} timer_entry_t;

/* Section written by view.c. */
typedef struct board_conf {
	view_t *view;
	usec_t learnt_at;
	group_t **groups;
	size_t ngroups;
	size_t group_room;
	strmap_t by_key;
	svc_state_t **states;
	size_t nstates;
	strmap_t by_service;
} board_conf_t;

/* Section written by list.c. */
typedef struct board_list {
	arena_t mem;
	host_list_t list;
	usec_t confirmed_at; /* 0: never */
	bool platform_down;
	bool slept; /* since the last list or direct word */
	usec_t woke_at;
} board_list_t;

/* A daemon as this one believes it to be. */
typedef struct peer {
	str_t addr;	      /* owned; its peer address */
	usec_t heard_at;      /* 0: never */
	usec_t asked_at;      /* first question without a word since, or 0 */
	uint64_t incarnation; /* 0: not known */
	usec_t ahead;	      /* its clock less ours, at most this */
} peer_t;

/* Section written by peer.c. */
typedef struct board_peers {
	peer_t *v; /* ordered by address */
	size_t n;
	usec_t gossip_at; /* next digest is due */
	read_mode_t read;
	unsigned told;	  /* replies to digests since the start */
	uint64_t highest; /* revision that a daemon told of */
} board_peers_t;

/* Daemons of an earlier list, by id. */
typedef struct old_list {
	uint64_t *ids;
	size_t n;
	usec_t until; /* when it was replaced */
} old_list_t;

/* Section written by key.c. */
typedef struct board_keys {
	struct keyed **v; /* executed here */
	size_t n;
	usec_t started_at;
	old_list_t old[LIST_HISTORY];
	size_t nold;
} board_keys_t;

/* Section written by upstream.c. */
typedef struct board_upstreams {
	upstream_t **v;
	size_t n;
	size_t room;
	strmap_t by_addr;
} board_upstreams_t;

/* The blackboard: each section is written by one controller only. */
typedef struct board {
	board_conf_t conf;
	board_list_t list;
	board_upstreams_t upstreams;
	board_peers_t peers;
	board_keys_t keys;
} board_t;

struct core {
	core_params_t params;
	str_t name;
	str_t dc;
	rng_t rng;
	board_t board;
	idmap_t queries;
	uint64_t incarnation; /* of this process */
	idmap_t attempts;
	idmap_t waits;	  /* requests that wait for a key's home */
	idmap_t forwards; /* parts that wait for a holder */
	timer_entry_t *timers;
	size_t ntimers;
	size_t timer_room;
	uint64_t timer_seq;
	usec_t last_step;
	bool stopping;
	uint64_t counters[CNT_MAX];
	acts_t *acts;	 /* of the present step */
	arena_t scratch; /* what its actions point to, until the next step */
	query_t **over;	 /* answered; freed when the next step begins */
	size_t nover;
	size_t over_room;
	view_t **old_views; /* let go of when the next step begins */
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
/* Takes what a server said at a time that the word is no older than. */
void upstream_evidence(core_t *c, upstream_t *u, const evidence_t *e, usec_t at,
		       usec_t now);
void upstream_result(upstream_t *u, result_t r, usec_t took, usec_t now);
/* Notes that no connection could be made. */
void upstream_unreachable(upstream_t *u, usec_t now);
void upstream_leave(core_t *c, upstream_t *u, why_t why, usec_t now);
/* Whether it may take work again before long. */
bool upstream_alive(const upstream_t *u);
/* Until when work may be sent to it, by the age of what is believed. */
usec_t upstream_send_until(const core_t *c, const upstream_t *u, usec_t now);
/* Whether work may go to it now, were a slot free. */
bool upstream_usable(const core_t *c, const upstream_t *u, usec_t now);
/* Whether a request of this kind may be added to it now. */
bool upstream_has_room(const upstream_t *u, bool urgent);
/* Whether it told last that it lacks the snapshot. */
bool upstream_lacks(const upstream_t *u, uint64_t snapshot, uint32_t map);
/* Whether it refuses, or its oldest request is out for very long. */
bool upstream_suspect(const upstream_t *u, usec_t now);
void upstream_add(upstream_t *u, struct attempt *a);
void upstream_remove(upstream_t *u, struct attempt *a);
double upstream_expected(const upstream_t *u, usec_t now);
void upstreams_free(core_t *c);

/* pick.c */
typedef struct pick {
	upstream_t *u;
	unsigned index;
	size_t candidates; /* that had room */
	size_t usable;	   /* that may come to have room */
	size_t lacking;	   /* without the snapshot */
	double score;
} pick_t;
void pick_replica(core_t *c, const shard_t *sh, usec_t now, pick_t *p);

/* snapshot.c */
uint64_t snapshot_pin(const query_t *q);

/* list.c */
void list_take(core_t *c, const host_list_t *l, usec_t at, usec_t now);
void list_same(core_t *c, uint64_t version, usec_t at);
void list_failed(core_t *c, usec_t at);
void list_woke(core_t *c, usec_t now);
void list_apply_leaving(core_t *c, usec_t now);
void list_free(core_t *c);

/* view.c */
void view_adopt(core_t *c, conf_t *conf, usec_t now);
void view_unref(core_t *c, view_t *v);
/* Lets go of it when the next step begins. */
void view_unref_later(core_t *c, view_t *v);
/* Whether each group held here has a server that was heard of. */
bool view_heard(const core_t *c, usec_t now);
/* Finds the holders anew, after a change of list or configuration. */
void view_holders(core_t *c, usec_t now);
void view_free_all(core_t *c);

/* queue.c */
void queue_push(shard_t *sh);
void queue_remove(shard_t *sh);
void queue_drain(core_t *c, group_t *g, usec_t now);
void queue_drain_all(core_t *c, usec_t now);

/* shard.c */
void shard_start(core_t *c, shard_t *sh, why_t why, usec_t now);
/* Starts it again after a wait, if the budget allows. */
void shard_resume(core_t *c, shard_t *sh, usec_t now);
void shard_hedge(core_t *c, shard_t *sh, usec_t now);
void shard_result(core_t *c, shard_t *sh, attempt_t *a, result_t r,
		  part_t *part, usec_t now);
/* Leaves the queue and cancels what is out; the part stays. */
void shard_detach(core_t *c, shard_t *sh);
/* Detaches it and frees the part. */
void shard_drop(core_t *c, shard_t *sh);
/* Takes a part that came by way of a holder. */
void shard_take(core_t *c, shard_t *sh, part_t *part, usec_t now);
/* The group will be missing. */
void shard_give_up(core_t *c, shard_t *sh, why_t why, usec_t now);
/* Done or failed. */
bool shard_over(const shard_t *sh);

/* attempt.c */
void attempt_send(core_t *c, shard_t *sh, const pick_t *p, why_t why,
		  usec_t now);
void attempt_ended(core_t *c, event_t *ev, usec_t now);
void attempt_withdrawn(core_t *c, uint64_t aid, bool ok, usec_t now);

/* query.c */
void query_start(core_t *c, const request_t *r, usec_t now);
/* The reason to turn a request away, or WHY_NONE with both filled in. */
why_t query_admit(const core_t *c, const request_t *r, const svc_t **svc,
		  const conf_class_t **class);
/* Answers a request that no query was made for. */
void query_reject(core_t *c, const request_t *r, why_t why);
/* Makes a query; its origin is to be set before query_run(). */
query_t *query_new(core_t *c, const request_t *r, const svc_t *svc,
		   const conf_class_t *class, usec_t now);
void query_run(core_t *c, query_t *q, usec_t now);
/* Pins nothing: for groups that another daemon chose and pinned. */
void query_run_groups(core_t *c, query_t *q, group_t **groups, size_t n,
		      usec_t now);
void query_check(core_t *c, query_t *q, usec_t now);
/* Starts over on another snapshot; false if that may not be. */
bool query_restart(core_t *c, query_t *q, usec_t now);
/* Looks again for a snapshot that servers hold. */
void query_repin(core_t *c, query_t *q, usec_t now);
void query_timer(core_t *c, const timer_entry_t *t, usec_t now);

/* holder.c */
/* Finds the holders of every block of a view. */
void holder_assign(core_t *c, view_t *v);
bool holder_is_self(const svc_t *s, size_t group);
/* The daemon a key belongs to by the list; NULL without a list. */
const member_t *holder_of_hash(const host_list_t *l, uint64_t hash);
uint64_t holder_score(uint64_t id, uint64_t hash);

/* peer.c */
void peer_start(core_t *c, usec_t now);
void peer_tick(core_t *c, usec_t now);
void peer_message(core_t *c, event_t *ev, usec_t now);
/* Tells a few daemons at once that there is news. */
void peer_news(core_t *c);
/* Begins a message from this daemon. */
peer_msg_t *peer_send(core_t *c, str_t to, peer_kind_t kind);
/* What is known of a daemon's process and clock; NULL if nothing. */
const peer_t *peer_known(const core_t *c, str_t addr);
/* Asks a daemon for its digest. */
void peer_ask(core_t *c, str_t addr, usec_t now);
/* Notes that an answer is awaited from it. */
void peer_asked(core_t *c, str_t addr, usec_t now);
bool peer_suspect(const core_t *c, str_t addr, usec_t now);
/* Whether most daemons that were asked lately answered. */
/* Whether what others know when this one starts is in force here. */
bool peer_caught_up(const core_t *c, usec_t now);
bool peer_agreement(const core_t *c, usec_t now);
size_t peer_count_suspects(const core_t *c, usec_t now);
void peer_free(core_t *c);

/* forward.c */
/* Sends the shards that wait for a holder to their holders. */
void forward_start(core_t *c, query_t *q, usec_t now);
/* Asks holders what groups can serve, for a query without a snapshot. */
bool forward_ask(core_t *c, query_t *q, usec_t now);
void forward_request(core_t *c, event_t *ev, usec_t now);
void forward_parts(core_t *c, peer_msg_t *m, usec_t now);
void forward_failed(core_t *c, uint64_t token, usec_t now);
void forward_timer(core_t *c, const timer_entry_t *t, usec_t now);
/* Tells the daemon that forwarded it what is known by now. */
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
/* Sends what waited for word of a daemon's clock. */
void key_peer_known(core_t *c, str_t addr, usec_t now);
void key_done(core_t *c, query_t *q, const answer_t *a, usec_t now);
void key_tick(core_t *c, usec_t now);
void key_list_changes(core_t *c, usec_t now);
void key_free(core_t *c);

/* merge.c */
size_t merge_parts(query_t *q);

#endif
