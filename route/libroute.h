/** @file libroute.h Shared by the files of route/ only. */
#ifndef LIBROUTE_H
#define LIBROUTE_H

#include "route.h"

/* Sends of one shard that may be out at one time. */
#define RT_MAX_LIVE 3
/* Servers of one service that are looked at; more are left out. */
#define RT_MAX_CANDIDATES 256
/* Parts of a window in which further sends are counted. */
#define RT_WINDOW_PARTS 20

/* How long a request takes; one for each route, kept over versions. */
typedef struct rt_stat {
	str_t name;    /* owned; of the route */
	usec_t mean;   /* decaying, of answers that were not hedged away */
	usec_t late;   /* quantile that few answers exceed */
	usec_t second; /* the same of second sends; 0: none was answered */
	uint64_t n;
} rt_stat_t;

/* Sends to a service over a sliding window. */
typedef struct rt_budget {
	uint32_t first[RT_WINDOW_PARTS * 2];
	uint32_t extra[RT_WINDOW_PARTS * 2];
	int64_t part; /* number of the newest part */
} rt_budget_t;

/* A server as this host believes it to be. */
typedef struct rt_server {
	uint64_t num;
	str_t id;   /* owned */
	str_t addr; /* owned */
	str_t dc;   /* owned */
	struct rt_svc *svc;
	uint64_t incarnation;
	uint64_t report;
	unsigned slots;
	bool near;
	bool draining;
	bool gone;	  /* it is freed when nothing is out to it */
	bool listed;	  /* since rt_list_begin() */
	usec_t lapsed_at; /* left the registry while that was away; 0: no */
	usec_t warm_at;	  /* until then it is slow */
	unsigned inflight;
	unsigned nlate;		/* of them, longer out than usual */
	struct rt_attempt *out; /* newest first */
	double pace;		/* its time over the usual time */
	usec_t sampled_at;
	double failing; /* decaying share of sends that failed */
	unsigned fail_streak;
	usec_t avoid_until; /* after failures */
	usec_t probed_at;
} rt_server_t;

/* The last word of a server that is gone. */
typedef struct rt_departed {
	str_t id; /* owned */
	uint64_t incarnation;
	uint64_t report;
	usec_t at;
} rt_departed_t;

/* A service, kept over versions of the configuration. */
typedef struct rt_svc {
	str_t name; /* owned */
	unsigned connections;
	rt_server_t **v;
	size_t n;
	size_t room;
	uint64_t turn;
	rt_budget_t budget;
	struct rt_shard *head; /* that wait, the first to go first */
	struct rt_shard *tail;
	size_t nwaiting;
	usec_t took; /* mean time of its last answers, of any route; 0: none */
	usec_t took_at;
} rt_svc_t;

/* A configuration with the services and statistics of its routes. */
typedef struct rt_view {
	rt_conf_t *conf;
	rt_svc_t **svcs;   /* as conf->services */
	rt_stat_t **stats; /* as conf->routes */
	int **credit;	   /* of weighted targets, by route */
	unsigned refs;
} rt_view_t;

typedef enum rt_shard_state {
	RT_SH_IDLE,
	RT_SH_WAITING,
	RT_SH_OUT,
	RT_SH_DONE,
	RT_SH_FAILED,
} rt_shard_state_t;

typedef struct rt_shard {
	struct rt_query *q;
	rt_svc_t *svc;
	rt_shard_state_t state;
	unsigned nlive;
	uint64_t live[RT_MAX_LIVE];
	unsigned ran; /* servers that may have run it */
	unsigned sends;
	bool arrived;	   /* one send counted as the first */
	uint64_t tried[4]; /* numbers of the servers */
	unsigned ntried;
	rt_why_t why; /* of the last failure */
	rt_reply_t *reply;
	usec_t hedge_at;   /* 0: none */
	usec_t again_at;   /* 0: none; retry after a refusal */
	usec_t waits_from; /* in the queue */
	struct rt_shard *prev;
	struct rt_shard *next;
} rt_shard_t;

typedef struct rt_query {
	uint64_t num;
	void *caller;
	str_t id; /* owned */
	rt_view_t *view;
	const rt_route_t *route;
	rt_stat_t *stat;
	usec_t arrived;
	usec_t deadline;
	usec_t soft;	/* from then on an incomplete answer will do */
	usec_t next_at; /* nothing is to be done for it before */
	usec_t lacks; /* time that it would need more, by what waits; 0: none */
	bool over;
	size_t ndone;
	size_t nfailed;
	size_t nshards;
	rt_shard_t *shards;
	struct rt_query *prev;
	struct rt_query *next;
} rt_query_t;

typedef struct rt_attempt {
	uint64_t id;
	uint64_t query; /* its number; it may be over */
	size_t shard;
	rt_server_t *server;
	rt_stat_t *stat;
	rt_why_t why;
	usec_t sent_at;
	usec_t deadline;
	bool late;   /* the server was noted as busy with it for long */
	bool silent; /* the server was noted as slow for it */
	struct rt_attempt *prev; /* of the same server */
	struct rt_attempt *next;
} rt_attempt_t;

struct rt {
	rt_params_t p;
	str_t dc; /* owned */
	rng_t rng;
	rt_view_t *view;
	strmap_t svcs;
	rt_svc_t **all_svcs; /* every service that was ever named */
	size_t nsvcs;
	strmap_t stats;
	rt_stat_t **all_stats; /* of every route that was ever named */
	size_t nstats;
	strmap_t servers; /* by id */
	idmap_t server_nums;
	rt_departed_t *departed;
	size_t ndeparted;
	idmap_t attempts;
	idmap_t queries;
	rt_query_t *open; /* not answered yet */
	size_t nopen;
	size_t nwaiting;
	usec_t turned_at;  /* the host was awake */
	usec_t hold_until; /* nothing is sent before; 0: the host is awake */
	bool registry_up;
	usec_t registry_back_at; /* 0: never lost */
	usec_t next_sweep;
	rt_act_t *acts;
	size_t nacts;
	size_t at_act;
	size_t act_room;
	arena_t scratch; /* what actions point to */
	uint64_t counters[RT_CNT_MAX];
	rt_hist_t requests[RT_OUT_MAX];
	rt_hist_t sends[RT_RESULT_MAX];
	rt_hist_t waits;
};

/* rt_act.c */
rt_act_t *rt_act_add(rt_t *rt, rt_act_kind_t kind);
void rt_log(rt_t *rt, const rt_line_t *line);

/* rt_hist.c */
void rt_hist_add(rt_hist_t *h, usec_t v);

/* rt_view.c */
rt_svc_t *rt_svc_get(rt_t *rt, str_t name);
rt_view_t *rt_view_new(rt_t *rt, rt_conf_t *c);
void rt_view_unref(rt_view_t *v);
/* The place of the next target of a route by weight. */
size_t rt_view_turn(rt_view_t *v, const rt_route_t *r);

/* rt_budget.c: further sends that all hosts together may make. */
void rt_budget_first(rt_budget_t *b, const rt_params_t *p, usec_t now);
/* Takes one further send; false if that is one too many. */
bool rt_budget_take(rt_budget_t *b, const rt_params_t *p, usec_t now);
/* How many further sends are left. */
double rt_budget_left(rt_budget_t *b, const rt_params_t *p, usec_t now);
/* Whether more than that share of the allowed further sends is left. */
bool rt_budget_plenty(rt_budget_t *b, const rt_params_t *p, double share,
		      usec_t now);

/* rt_stat.c: how long answers take. */
void rt_stat_note(rt_stat_t *s, usec_t took);
/* An answer to a second send; these often need a new connection. */
void rt_stat_note_second(rt_stat_t *s, usec_t took);
/* Time that a second send needs. */
usec_t rt_stat_second(const rt_stat_t *s);
usec_t rt_stat_usual(const rt_stat_t *s);
usec_t rt_stat_late(const rt_stat_t *s);

/* To register again after an outage of the registry. */
#define RT_LAPSE_WAIT (2 * USEC_PER_SEC)

/* rt_registry.c: servers as they are published. */
void rt_server_leave(rt_t *rt, rt_server_t *s, rt_why_t why, usec_t now);
/* Frees it once it is gone and nothing is out to it. */
void rt_server_release(rt_t *rt, rt_server_t *s);
void rt_servers_free(rt_t *rt);

/* rt_server.c: what is believed of servers. */
void rt_server_log(rt_t *rt, const rt_server_t *s, rt_why_t why, usec_t value);
/* Before the first answer. */
double rt_server_first_pace(const rt_server_t *s);
void rt_server_sent(rt_server_t *s, rt_attempt_t *a);
void rt_server_ended(rt_t *rt, rt_attempt_t *a, rt_result_t r, usec_t now);
/* Forgets a send that was broken off: that says nothing of the server. */
void rt_server_dropped(rt_t *rt, rt_attempt_t *a);
/* Time that it costs to ask it, over the usual time: a send that it refuses
 * or fails has to be made up for by another one. */
double rt_server_cost(const rt_server_t *s);
/* Whether it gets copies of requests only. */
bool rt_server_is_slow(const rt_server_t *s);
/* Whether it refused and failed nearly nothing lately. */
bool rt_server_is_sound(const rt_server_t *s);
/* Whether it may be given work at all. */
bool rt_server_usable(const rt_server_t *s);
/* Notes that a request is out to it for longer than usual. */
void rt_server_late(rt_attempt_t *a);
/* Whether it may be tried again after it was slow or failed. */
bool rt_server_wants_probe(const rt_t *rt, const rt_server_t *s, double best,
			   usec_t now);
/* Its time over the usual time, as it is believed by now. */
double rt_server_pace(const rt_server_t *s, double best, usec_t now);
/* The best pace of its usable servers; 0 if there are none. */
double rt_svc_best_pace(const rt_svc_t *svc);
/* Requests that this host may have out to it. */
unsigned rt_server_cap(const rt_t *rt, const rt_server_t *s);
void rt_server_sweep(rt_t *rt, usec_t now);

/* rt_pick.c: which server. */
typedef struct rt_pick {
	rt_server_t *s;
	rt_why_t why;  /* RT_WHY_PROBE, or as asked */
	size_t usable; /* that may be given work, busy or not */
	size_t candidates;
	usec_t expected;
	usec_t age; /* of what is believed of it; below 0: nothing */
} rt_pick_t;
void rt_pick(rt_t *rt, const rt_shard_t *sh, rt_why_t why, usec_t now,
	     rt_pick_t *p);
/* A server of which is to be learnt whether it is well again, if any. */
void rt_pick_probe(rt_t *rt, const rt_shard_t *sh, usec_t now, rt_pick_t *p);

/* rt_wait.c: shards that wait until a server has room. */
void rt_wait_push(rt_t *rt, rt_shard_t *sh, usec_t now);
void rt_wait_remove(rt_t *rt, rt_shard_t *sh);
void rt_wait_drain(rt_t *rt, rt_svc_t *svc, usec_t now);
/* Notes how long an answer of the service took. */
void rt_wait_note(rt_svc_t *svc, usec_t took, usec_t now);
/* When a new request of that priority would have its answer, from now on. */
usec_t rt_wait_expected(const rt_t *rt, const rt_svc_t *svc,
			const rt_query_t *q, usec_t now);

/* rt_shard.c */
void rt_shard_start(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now);
void rt_shard_result(rt_t *rt, rt_shard_t *sh, rt_attempt_t *a, rt_result_t r,
		     rt_reply_t *reply, usec_t now);
void rt_shard_time(rt_t *rt, rt_shard_t *sh, usec_t now);
void rt_shard_fail(rt_t *rt, rt_shard_t *sh, rt_why_t why, usec_t now);
/* Leaves the queue; what is out goes on unless broken off. */
void rt_shard_detach(rt_t *rt, rt_shard_t *sh, bool break_off);

/* rt_query.c */
/* Goes on with what waited for rt_release(). */
void rt_queries_release(rt_t *rt, usec_t now);
/* Looks at the query again no later than that. */
void rt_query_wake(rt_query_t *q, usec_t at);
/* Answers if there is nothing left to wait for. */
void rt_query_check(rt_t *rt, rt_query_t *q, usec_t now);
void rt_query_end(rt_t *rt, rt_query_t *q);
/* Does what is due for open queries. */
void rt_queries_time(rt_t *rt, usec_t now);
/* Frees those that were answered. */
void rt_queries_sweep(rt_t *rt);

#endif
